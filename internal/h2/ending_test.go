package h2

import (
	"testing"

	"golang.org/x/net/http2"
)

// TestRejectedStreamIsReportedOnce guards against a rejected stream whose output still waits being reported as reset a
// second time, by whatever ends it.
func TestRejectedStreamIsReportedOnce(t *testing.T) {
	message := []byte{0, 0, 0, 0, 2, 'o', 'k'}
	compressed := []byte{1, 0, 0, 0, 1, 'x'}
	for _, c := range []struct {
		name string
		end  func(p *scriptedPeer)
	}{
		{"another invalid message", func(p *scriptedPeer) { p.frames.WriteData(1, false, compressed) }},
		{"data after the end", func(p *scriptedPeer) {
			p.frames.WriteData(1, true, nil)
			p.frames.WriteData(1, false, message)
		}},
		{"reset by the peer", func(p *scriptedPeer) { p.frames.WriteRSTStream(1, http2.ErrCodeCancel) }},
		{"connection closed", func(*scriptedPeer) {}},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newScriptedClient(t)
			p.frames.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
			p.headers(1, p.request(), false)
			p.frames.WriteData(1, false, message) // its echo waits for window
			p.frames.WriteData(1, false, compressed)
			c.end(p)
			if err := p.feed(1); err != nil {
				t.Fatal(err)
			}
			p.conn.TransportClosed()
			if p.handler.resets != 1 {
				t.Errorf("the stream was reported as reset %d times, want once", p.handler.resets)
			}
		})
	}
}
