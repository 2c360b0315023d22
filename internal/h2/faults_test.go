package h2

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"golang.org/x/net/http2"
)

// TestPeerFaults checks that invalid input ends its stream or its connection with the error code that HTTP/2 or gRPC
// specifies, and that other streams are unaffected.
func TestPeerFaults(t *testing.T) {
	const length = 0x3f00 // of a message that, with its prefix, fits one DATA frame
	for _, c := range []struct {
		name   string
		send   func(p *scriptedPeer)
		goAway http2.ErrCode // code of the GOAWAY; noErrCode: the connection stays open
		reset  http2.ErrCode // code of the reset of stream 1; noErrCode: not reset
		status string        // status of stream 1
	}{
		{"pseudo-header field twice", func(p *scriptedPeer) {
			p.headers(1, p.encode(":method", "POST", ":method", "POST", ":scheme", "http", ":path", "/x"), true)
		}, noErrCode, http2.ErrCodeProtocol, ""},
		{"pseudo-header field after a regular field", func(p *scriptedPeer) {
			p.headers(1, p.encode("a", "b", ":method", "POST", ":scheme", "http", ":path", "/x"), true)
		}, noErrCode, http2.ErrCodeProtocol, ""},
		{"timeout twice", func(p *scriptedPeer) {
			p.headers(1, p.encodeRequest("grpc-timeout", "1S", "grpc-timeout", "2S"), true)
		}, noErrCode, http2.ErrCodeProtocol, ""},
		{"connection-specific field", func(p *scriptedPeer) {
			p.headers(1, p.encode(":method", "POST", ":scheme", "http", ":path", "/x", "connection", "close"), true)
		}, noErrCode, http2.ErrCodeProtocol, ""},
		{"upper-case field name", func(p *scriptedPeer) {
			p.headers(1, p.encode(":method", "POST", ":scheme", "http", ":path", "/x", "Upper", "case"), true)
		}, noErrCode, http2.ErrCodeProtocol, ""},
		{"headers too long", func(p *scriptedPeer) {
			p.headers(1, p.encodeRequest("long", strings.Repeat("z", 9000)), true)
		}, noErrCode, noErrCode, "8"},
		{"not gRPC", func(p *scriptedPeer) {
			p.headers(1, p.encode(":method", "POST", ":scheme", "http", ":path", "/x", "content-type", "text/plain"), true)
		}, noErrCode, noErrCode, "415"},
		{"message too long", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteData(1, false, []byte{0, 0, 2, 0, 0, 1})
		}, noErrCode, http2.ErrCodeNo, "8"},
		{"compressed message", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteData(1, false, []byte{1, 0, 0, 0, 1, 1})
		}, noErrCode, http2.ErrCodeNo, "12"},
		{"truncated message", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteData(1, true, []byte{0, 0, 0, 0, 9, 1})
		}, noErrCode, noErrCode, "13"},
		{"data after the answer", func(p *scriptedPeer) { // which the peer may have sent before it arrived
			p.headers(1, p.request(), true)
			p.frames.WriteData(1, false, []byte{0})
		}, noErrCode, noErrCode, "0"},
		{"content length negative", func(p *scriptedPeer) {
			p.headers(1, p.encodeRequest("content-length", "-3"), false)
		}, noErrCode, http2.ErrCodeProtocol, ""},
		{"content length with a sign", func(p *scriptedPeer) {
			p.headers(1, p.encodeRequest("content-length", "+3"), false)
		}, noErrCode, http2.ErrCodeProtocol, ""},
		{"data beyond the stream's window", func(p *scriptedPeer) {
			p.handler.retain = true
			p.headers(1, p.request(), false)
			for range 5 {
				p.frames.WriteData(1, false, append([]byte{0, 0, 0, length >> 8, length & 0xff}, make([]byte, length)...))
			}
		}, noErrCode, http2.ErrCodeFlowControl, ""},
		{"content length exceeded", func(p *scriptedPeer) {
			p.headers(1, p.encodeRequest("content-length", "3"), false)
			p.frames.WriteData(1, false, []byte{0, 0, 0, 0, 1, 7})
		}, noErrCode, http2.ErrCodeProtocol, ""},
		{"data after the end", func(p *scriptedPeer) { // of a stream whose answer waits for window
			p.frames.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 0})
			p.headers(1, p.request(), false)
			p.frames.WriteData(1, true, []byte{0, 0, 0, 0, 2, 'o', 'k'})
			p.frames.WriteData(1, false, []byte{0})
			p.frames.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: initialWindow})
		}, noErrCode, http2.ErrCodeStreamClosed, ""},
		{"data on an idle stream", func(p *scriptedPeer) {
			p.frames.WriteData(7, false, []byte{0})
		}, http2.ErrCodeProtocol, noErrCode, ""},
		{"reset of an idle stream", func(p *scriptedPeer) {
			p.frames.WriteRSTStream(9, http2.ErrCodeCancel)
		}, http2.ErrCodeProtocol, noErrCode, ""},
		{"even stream ID", func(p *scriptedPeer) {
			p.headers(2, p.request(), true)
		}, http2.ErrCodeProtocol, noErrCode, ""},
		{"PUSH_PROMISE frame", func(p *scriptedPeer) {
			p.frames.WriteRawFrame(http2.FramePushPromise, http2.FlagPushPromiseEndHeaders, 1, []byte{0, 0, 0, 2})
		}, http2.ErrCodeProtocol, noErrCode, ""},
		{"invalid header compression", func(p *scriptedPeer) {
			p.headers(1, []byte{0xff, 0xff, 0xff, 0xff, 0xff}, true)
		}, http2.ErrCodeCompression, noErrCode, ""},
		{"window overflow", func(p *scriptedPeer) {
			p.frames.WriteWindowUpdate(0, 1<<31-1)
		}, http2.ErrCodeFlowControl, noErrCode, ""},
		{"window update by zero", func(p *scriptedPeer) {
			p.frames.WriteRawFrame(http2.FrameWindowUpdate, 0, 0, []byte{0, 0, 0, 0})
		}, http2.ErrCodeProtocol, noErrCode, ""},
		{"ping of invalid length", func(p *scriptedPeer) {
			p.frames.WriteRawFrame(http2.FramePing, 0, 0, []byte{1})
		}, http2.ErrCodeFrameSize, noErrCode, ""},
		{"frame between headers", func(p *scriptedPeer) {
			p.frames.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: p.request()})
			p.frames.WritePing(false, [8]byte{})
		}, http2.ErrCodeProtocol, noErrCode, ""},
		{"frame too long", func(p *scriptedPeer) {
			p.output.Write([]byte{0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1})
		}, http2.ErrCodeFrameSize, noErrCode, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newScriptedClient(t)
			c.send(p)
			err := p.feed(1)
			got := p.takeSentFrames()
			if got.goAway != c.goAway {
				t.Errorf("GOAWAY %v (error %v), want %v", got.goAway, err, c.goAway)
			}
			reset, wasReset := got.resets[1]
			if wantReset := c.reset != noErrCode; wasReset != wantReset || wantReset && reset != c.reset {
				t.Errorf("stream 1 reset %v with %v, want %v", wasReset, reset, c.reset)
			}
			if got.statuses[1] != c.status {
				t.Errorf("stream 1 status %q, want %q", got.statuses[1], c.status)
			}
			if c.goAway != noErrCode {
				return
			}
			// Other streams are unaffected.
			p.headers(101, p.request(), false)
			p.handler.retain = false
			p.frames.WriteData(101, true, []byte{0, 0, 0, 0, 2, 'o', 'k'})
			if err := p.feed(2); err != nil {
				t.Fatal(err)
			}
			if status := p.takeSentFrames().statuses[101]; status != "0" {
				t.Errorf("another stream of the connection ended with %q, want 0", status)
			}
		})
	}
}

// TestHTTP1ClientReceivesHTTP1Response checks that an HTTP/1 client receives an HTTP/1 response that names HTTP/2.
func TestHTTP1ClientReceivesHTTP1Response(t *testing.T) {
	p := newScriptedClient(t)
	err := p.conn.Feed(1, []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	output := string(p.conn.TakeOutput())
	if err == nil || !strings.HasPrefix(output, "HTTP/1.1 400") || !strings.Contains(output, "HTTP/2") {
		t.Fatalf("got error %v, output %q, want an error and an HTTP/1.1 400 that names HTTP/2", err, output)
	}
}

// FuzzFeed checks that the result of an input does not depend on how its bytes are split.
func FuzzFeed(f *testing.F) {
	f.Add([]byte("PRI"), uint8(3))
	seed := newScriptedClient(f)
	seed.headers(1, seed.request(), false)
	seed.frames.WriteData(1, true, []byte{0, 0, 0, 0, 1, 7})
	f.Add(bytes.Clone(seed.output.Bytes()), uint8(7))
	limits := Limits{
		MaxStreams: 10, StreamWindow: 65535, ConnWindow: 65535, MaxHeaderListBytes: 1 << 10, MaxMessageBytes: 1 << 10,
	}
	f.Fuzz(func(t *testing.T, input []byte, maxPiece uint8) {
		feed := func(pieceBytes int) string {
			handler := &echoHandler{}
			c := NewServerConn(limits, handler)
			for rest := input; len(rest) > 0 && c.Err() == nil; {
				n := min(len(rest), pieceBytes)
				_ = c.Feed(1, rest[:n]) // Err is compared below
				rest = rest[n:]
			}
			return fmt.Sprint(c.Err(), c.OpenStreamCount(), len(handler.messages), handler.resets)
		}
		whole, inPieces := feed(len(input)), feed(int(maxPiece)+1)
		if whole != inPieces {
			t.Fatalf("in one piece %s, in pieces %s", whole, inPieces)
		}
	})
}
