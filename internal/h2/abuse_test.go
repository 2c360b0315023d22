package h2

import (
	"strings"
	"testing"

	"golang.org/x/net/http2"
)

// TestAbuseEndsConnection checks that each kind of abuse ends the connection with ENHANCE_YOUR_CALM, after a bounded
// number of events.
func TestAbuseEndsConnection(t *testing.T) {
	for name, send := range map[string]func(p *scriptedPeer, i int){
		"rapid reset": func(p *scriptedPeer, i int) {
			id := uint32(2*i + 1)
			p.headers(id, p.request(), false)
			p.frames.WriteRSTStream(id, http2.ErrCodeCancel)
		},
		"pings":                func(p *scriptedPeer, i int) { p.frames.WritePing(false, [8]byte{byte(i)}) },
		"unexpected ping acks": func(p *scriptedPeer, i int) { p.frames.WritePing(true, [8]byte{byte(i)}) },
		"settings": func(p *scriptedPeer, i int) {
			p.frames.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(i)})
		},
		"priorities":     func(p *scriptedPeer, _ int) { p.frames.WritePriority(1, http2.PriorityParam{}) },
		"unknown frames": func(p *scriptedPeer, _ int) { p.frames.WriteRawFrame(0x20, 0, 0, nil) },
		"window updates": func(p *scriptedPeer, _ int) { p.frames.WriteWindowUpdate(0, 1) },
		"empty data": func(p *scriptedPeer, i int) {
			if i == 0 {
				p.headers(1, p.request(), false)
			}
			p.frames.WriteData(1, false, nil)
		},
		"endless continuations": func(p *scriptedPeer, i int) {
			if i == 0 {
				p.frames.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: p.request()})
			}
			p.frames.WriteContinuation(1, false, nil)
		},
		"endless headers": func(p *scriptedPeer, i int) {
			if i == 0 {
				p.frames.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: p.request()})
			}
			p.frames.WriteContinuation(1, false, p.encode("x", strings.Repeat("y", 500)))
		},
		"malformed streams": func(p *scriptedPeer, i int) {
			p.headers(uint32(2*i+1), p.encode(":method", "GET"), true)
		},
	} {
		t.Run(name, func(t *testing.T) {
			p := newScriptedClient(t)
			n, err := 0, error(nil)
			for ; n < 20000 && err == nil; n++ {
				send(p, n)
				err = p.feed(int64(n) * 1000) // one microsecond apart
				if len(p.conn.output) > 4<<20 {
					t.Fatal("more than 4 MiB of output are queued")
				}
			}
			code := p.takeSentFrames().goAway
			if err == nil || code != http2.ErrCodeEnhanceYourCalm {
				t.Fatalf("after %d events: error %v, GOAWAY %v, want ENHANCE_YOUR_CALM", n, err, code)
			}
			if p.conn.OpenStreamCount() > 100 {
				t.Fatalf("%d streams open, want at most 100", p.conn.OpenStreamCount())
			}
		})
	}
}

// TestModerateUseIsAllowed checks that occasional resets and pings do not end the connection.
func TestModerateUseIsAllowed(t *testing.T) {
	p := newScriptedClient(t)
	for i := range 2000 {
		id := uint32(2*i + 1)
		p.headers(id, p.request(), false)
		p.frames.WriteRSTStream(id, http2.ErrCodeCancel)
		if i%30 == 0 {
			p.frames.WritePing(false, [8]byte{})
		}
		if err := p.feed(int64(i) * 20e6); err != nil {
			t.Fatalf("connection ended with %v after %d resets at 50 per second", err, i)
		}
		p.conn.TakeOutput()
	}
}
