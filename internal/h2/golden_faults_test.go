package h2

import (
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
)

// recordRequestFaults records how a server handles invalid or abusive input from a client.
func recordRequestFaults(t *testing.T, tr *transcript) {
	t.Helper()
	msg := []byte{0, 0, 0, 0, 1, 'm'}
	for _, c := range []struct {
		name string
		send func(p *scriptedPeer)
	}{
		{"padded data, settings, window updates", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteDataPadded(1, false, msg, make([]byte, 200))
			p.frames.WriteSettings(
				http2.Setting{ID: http2.SettingInitialWindowSize, Val: 3},
				http2.Setting{ID: http2.SettingMaxFrameSize, Val: 16400},
				http2.Setting{ID: http2.SettingHeaderTableSize, Val: 100},
				http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 5})
			p.headers(3, p.request(), false)
			p.frames.WriteData(3, false, msg)
			p.frames.WriteWindowUpdate(3, 2)
			p.frames.WriteWindowUpdate(3, 200)
			p.frames.WriteData(3, true, msg)
		}},
		{"rejected while output waits", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 2})
			p.frames.WriteData(1, false, msg)
			p.frames.WriteData(1, false, []byte{0, 1, 0, 0, 0, 0, 0, 0, 0, 1, 'x', 0, 0, 0, 0, 1, 'y'})
			p.frames.WriteData(1, false, []byte{1, 0, 0, 0, 0, 0, 0, 0, 0, 1, 'z'})
			p.frames.WriteData(1, true, msg)
			p.frames.WriteWindowUpdate(1, 1000)
		}},
		{"compressed while output waits", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 2})
			p.frames.WriteData(1, false, msg)
			p.frames.WriteData(1, true, append([]byte{1, 0, 0, 0, 0}, msg...))
			p.frames.WriteWindowUpdate(1, 1000)
		}},
		{"content length", func(p *scriptedPeer) {
			for i, length := range []string{"6", "7", "5", "-3", "-1", "0"} {
				id := uint32(2*i + 1)
				p.headers(id, p.encode(":method", "POST", ":scheme", "http", ":path", "/",
					"content-type", "application/grpc", "content-length", length), false)
				p.frames.WriteData(id, true, msg)
			}
		}},
		{"message in pieces", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			for _, b := range msg {
				p.frames.WriteData(1, false, []byte{b})
			}
			p.frames.WriteData(1, true, nil)
		}},
		{"trailers of a request", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.headers(1, p.encode("some", "trailer"), true)
		}},
		{"headers without an end", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.headers(1, p.request(), false)
		}},
		{"stream depends on itself", func(p *scriptedPeer) {
			p.frames.WriteHeaders(http2.HeadersFrameParam{
				StreamID: 1, BlockFragment: p.request(), EndHeaders: true,
				Priority: http2.PriorityParam{StreamDep: 1, Weight: 3},
			})
		}},
		{"method missing", func(p *scriptedPeer) { p.headers(1, p.encode(":scheme", "http", ":path", "/"), true) }},
		{"GET", func(p *scriptedPeer) { p.headers(1, p.encode(":method", "GET", ":scheme", "http", ":path", "/"), true) }},
		{"length that is no number", func(p *scriptedPeer) {
			p.headers(1, p.encode(":method", "POST", ":scheme", "http", ":path", "/", "content-length", "x"), true)
		}},
		{"not gRPC", func(p *scriptedPeer) {
			p.headers(1, p.encode(":method", "POST", ":scheme", "http", ":path", "/"), true)
		}},
		{"long headers", func(p *scriptedPeer) {
			p.headers(1, p.encode(":method", "POST", "long", strings.Repeat("z", 9000)), true)
		}},
		{"compressed message", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteData(1, false, []byte{1, 0, 0, 0, 0})
		}},
		{"message cut off", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteData(1, true, msg[:3])
		}},
		{"message too long", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteData(1, false, []byte{0, 1, 0, 0, 0})
		}},
		{"data after the end", func(p *scriptedPeer) { p.headers(1, p.request(), true); p.frames.WriteData(1, false, msg) }},
		{"no settings first", func(p *scriptedPeer) {
			p.output.Reset()
			p.output.WriteString(http2.ClientPreface)
			p.frames.WritePing(false, [8]byte{})
		}},
		{"window of a stream overflows", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteWindowUpdate(1, 1<<31-1)
		}},
		{"settings overflow a window", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteWindowUpdate(1, 1<<30)
			p.frames.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1<<31 - 1})
		}},
		{"bad setting", func(p *scriptedPeer) {
			p.frames.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 2})
		}},
		{"window update on an idle stream", func(p *scriptedPeer) { p.frames.WriteWindowUpdate(5, 1) }},
		{"reset by the client", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteRSTStream(1, http2.ErrCodeRefusedStream)
		}},
		{"data beyond the connection's window", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteData(1, false, append([]byte{0, 0, 0, 0x3f, 0}, make([]byte, 0x3f00)...))
		}},
		{"too many pings", func(p *scriptedPeer) {
			for i := range 30 {
				p.frames.WritePing(i%2 == 0, [8]byte{byte(i)})
			}
		}},
		{"too many settings", func(p *scriptedPeer) {
			for range 30 {
				p.frames.WriteSettings()
			}
		}},
		{"too many faulty streams", func(p *scriptedPeer) {
			for i := range 60 {
				p.headers(uint32(2*i+1), p.encode(":method", "GET"), true)
			}
		}},
		{"too many resets", func(p *scriptedPeer) {
			for i := range 500 {
				p.headers(uint32(2*i+1), p.request(), false)
				p.frames.WriteRSTStream(uint32(2*i+1), http2.ErrCodeCancel)
			}
		}},
		{"goaway", func(p *scriptedPeer) {
			p.headers(1, p.request(), false)
			p.frames.WriteGoAway(0, http2.ErrCodeNo, nil)
		}},
		{"push", func(p *scriptedPeer) {
			p.frames.WriteRawFrame(http2.FramePushPromise, http2.FlagPushPromiseEndHeaders, 1, []byte{0, 0, 0, 2})
		}},
		{"bad compression", func(p *scriptedPeer) { p.headers(1, []byte{0xff, 0xff, 0xff, 0xff, 0xff}, true) }},
		{"frame too long", func(p *scriptedPeer) { p.output.Write([]byte{0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1}) }},
		{"frame too short", func(p *scriptedPeer) { p.frames.WriteRawFrame(http2.FrameRSTStream, 0, 1, []byte{1}) }},
		{"another protocol", func(p *scriptedPeer) { p.output.Reset(); p.output.WriteString("GET / HTTP/1.1\r\n\r\n") }},
	} {
		tr.line("-- %s", c.name)
		p := newScriptedClient(t)
		handler := &recorder{tr: tr, name: "server"}
		handler.onMessage = func(s *Stream, p []byte) { s.SendMessage(p, false) }
		handler.onEnd = func(s *Stream) { s.EndWithStatus(codes.OK, "") }
		p.conn = NewServerConn(scriptedServerLimits, handler)
		c.send(p)
		tr.line("error %v", p.feed(1))
		tr.wire("server", p.conn.TakeOutput())
		tr.line("open %d", p.conn.OpenStreamCount())
		p.conn.TransportClosed()
	}
}

// recordResponseFaults records how a client handles unusual or invalid responses of a server.
func recordResponseFaults(t *testing.T, tr *transcript) {
	t.Helper()
	msg := []byte{0, 0, 0, 0, 1, 'm'}
	for _, c := range []struct {
		name string
		send func(p *scriptedPeer)
	}{
		{"trailers only", func(p *scriptedPeer) {
			p.headers(1, p.encode(":status", "200", "grpc-status", "14", "grpc-message", "a%20b%zz%"), true)
		}},
		{"headers, message, trailers", func(p *scriptedPeer) {
			p.headers(1, p.encode(":status", "200"), false)
			p.frames.WriteData(1, false, msg)
			p.headers(1, p.encode("grpc-status", "0"), true)
		}},
		{"early hint", func(p *scriptedPeer) {
			p.headers(1, p.encode(":status", "103"), false)
			p.headers(1, p.encode(":status", "200", "grpc-status", "0"), true)
		}},
		{"no status", func(p *scriptedPeer) { p.headers(1, p.encode(":status", "200"), true) }},
		{"status out of range", func(p *scriptedPeer) {
			p.headers(1, p.encode(":status", "200", "grpc-status", "99"), true)
		}},
		{"end without trailers", func(p *scriptedPeer) {
			p.headers(1, p.encode(":status", "200"), false)
			p.frames.WriteData(1, true, msg)
		}},
		{"message cut off", func(p *scriptedPeer) {
			p.headers(1, p.encode(":status", "200"), false)
			p.frames.WriteData(1, false, msg[:4])
			p.headers(1, p.encode("grpc-status", "0"), true)
		}},
		{"compressed message", func(p *scriptedPeer) {
			p.headers(1, p.encode(":status", "200"), false)
			p.frames.WriteData(1, false, []byte{1, 0, 0, 0, 0})
		}},
		{"HTTP statuses", func(p *scriptedPeer) {
			for i, status := range []string{"400", "401", "403", "404", "429", "500"} {
				p.headers(uint32(2*i+1), p.encode(":status", status), true)
			}
		}},
		{"headers twice", func(p *scriptedPeer) {
			p.headers(1, p.encode(":status", "200"), false)
			p.headers(1, p.encode("x", "y"), false)
		}},
		{"data before headers", func(p *scriptedPeer) { p.frames.WriteData(1, false, msg) }},
		{"upper case", func(p *scriptedPeer) { p.headers(1, p.encode(":status", "200", "Upper", "x"), true) }},
		{"headers of an idle stream", func(p *scriptedPeer) { p.headers(99, p.encode(":status", "200"), true) }},
		{"reset", func(p *scriptedPeer) {
			p.frames.WriteRSTStream(1, http2.ErrCodeRefusedStream)
			p.frames.WriteRSTStream(3, http2.ErrCodeCancel)
		}},
		{"goaway", func(p *scriptedPeer) { p.frames.WriteGoAway(5, http2.ErrCodeNo, nil) }},
		{"fewer streams", func(p *scriptedPeer) {
			p.frames.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 6})
			p.frames.WritePing(true, [8]byte{'a', 'l', 'i', 'v', 'e'})
		}},
	} {
		tr.line("-- %s", c.name)
		p := newScriptedClient(t)
		handler := &recorder{tr: tr, name: "client"}
		p.conn = NewClientConn(DefaultLimits, handler)
		for range 6 {
			p.conn.OpenStream("/x/Y", "there", 0)
		}
		p.output.Reset()
		p.frames.WriteSettings()
		c.send(p)
		tr.line("error %v", p.feed(1))
		tr.wire("client", p.conn.TakeOutput())
		tr.line("open %d, may open %v", p.conn.OpenStreamCount(), p.conn.CanOpenStream())
		p.conn.TransportClosed()
	}
}
