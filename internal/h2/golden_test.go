package h2

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
)

var updateGolden = flag.Bool("update", false, "write the golden files of this package anew")

// transcript records, in order, the bytes that two ends exchange and the calls that their handlers receive.
type transcript struct{ bytes.Buffer }

// line records one line; a long one is cut, with a digest of all of it.
func (tr *transcript) line(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(text) > 500 {
		text = fmt.Sprintf("%s... sha256 %x", text[:400], sha256.Sum256([]byte(text)))
	}
	fmt.Fprintln(tr, text)
}

// wire records output as its length, its first bytes and a digest of all.
func (tr *transcript) wire(from string, p []byte) {
	sum := sha256.Sum256(p)
	tr.line("%s sends %d bytes %x... sha256 %x", from, len(p), p[:min(len(p), 96)], sum[:8])
}

// recorder is a Handler that records each call and then does what its script says.
type recorder struct {
	tr      *transcript
	name    string
	streams []*Stream // those whose headers have come, in order
	retain  bool
	onHead  func(s *Stream)
	onMsg   func(s *Stream, p []byte)
	onEnd   func(s *Stream)
}

func (r *recorder) HeadersReceived(s *Stream, h *Header) {
	r.tr.line("%s: headers of %d: %q", r.name, s.ID(), h.Fields)
	r.streams = append(r.streams, s)
	if r.onHead != nil {
		r.onHead(s)
	}
}

func (r *recorder) MessageReceived(s *Stream, p []byte) bool {
	sum := sha256.Sum256(p)
	r.tr.line("%s: message of %d: %d bytes sha256 %x", r.name, s.ID(), len(p), sum[:8])
	if r.onMsg != nil {
		r.onMsg(s, p)
	}
	return r.retain
}

func (r *recorder) RequestEnded(s *Stream) {
	r.tr.line("%s: request of %d ended", r.name, s.ID())
	if r.onEnd != nil {
		r.onEnd(s)
	}
}

func (r *recorder) StreamFinished(s *Stream, code codes.Code, message string, trailer *Header) {
	r.tr.line("%s: %d finished: %v %q %q", r.name, s.ID(), code, message, trailer.Fields)
}

func (r *recorder) StreamReset(s *Stream, code http2.ErrCode, refused bool) {
	r.tr.line("%s: %d reset: %v refused %v", r.name, s.ID(), code, refused)
}
func (r *recorder) StreamFlushed(s *Stream) { r.tr.line("%s: %d flushed", r.name, s.ID()) }
func (r *recorder) GoAwayReceived()         { r.tr.line("%s: GOAWAY received", r.name) }
func (r *recorder) PingAcked()              { r.tr.line("%s: ping acknowledged", r.name) }

// pair is a client's and a server's end whose bytes are recorded on their way.
type pair struct {
	tr             *transcript
	client, server *Conn
	ask, answer    *recorder
	now            int64
}

func newPair(tr *transcript, limits Limits) *pair {
	p := &pair{tr: tr, ask: &recorder{tr: tr, name: "client"}, answer: &recorder{tr: tr, name: "server"}}
	p.client, p.server = NewClientConn(limits, p.ask), NewServerConn(limits, p.answer)
	return p
}

// step records its name, runs it and carries bytes both ways until neither end has any.
func (p *pair) step(name string, do func()) {
	p.tr.line("-- %s", name)
	do()
	p.carry(whole)
}

func (p *pair) carry(piece func() int) {
	for p.client.HasOutput() || p.server.HasOutput() {
		p.move("client", p.client, p.server, piece)
		p.move("server", p.server, p.client, piece)
	}
	p.tr.line("open %d %d, resets %d %d", p.client.OpenStreamCount(), p.server.OpenStreamCount(),
		p.client.peerResetCount, p.server.peerResetCount)
}

func (p *pair) move(name string, from, to *Conn, piece func() int) {
	data := bytes.Clone(from.TakeOutput())
	if len(data) > 0 {
		p.tr.wire(name, data)
	}
	p.now += 1e6
	for len(data) > 0 {
		n := min(len(data), piece())
		if err := to.Feed(p.now, data[:n]); err != nil {
			p.tr.line("the other end of the %s: %v", name, err)
		}
		data = data[n:]
	}
}

// numbered returns n bytes that differ from place to place.
func numbered(n int) []byte {
	p := make([]byte, n)
	for i := range p {
		p[i] = byte(i * 7)
	}
	return p
}

// recordExchange plays an exchange of both ends: requests, answers, flow control, resets, pings, drain.
func recordExchange(tr *transcript) {
	p := newPair(tr, Limits{MaxStreams: 3, StreamWindow: 20000, ConnWindow: 80000, MaxHeaderListBytes: 40000, MaxMessageBytes: 60000})
	p.answer.onMsg = func(s *Stream, m []byte) { s.SendMessage(m, false) }
	p.answer.onEnd = func(s *Stream) {
		s.EndWithStatus(codes.OK, "", hpack.HeaderField{Name: "docksail-job", Value: "7"})
	}
	var one, two *Stream
	p.step("preface and settings", func() {})
	p.step("one request, answered", func() {
		one = p.client.OpenStream("/x/Y", "there", 1500e6, hpack.HeaderField{Name: "a", Value: "b"})
		one.SendMessage([]byte("question"), true)
	})
	p.step("headers longer than a frame", func() {
		s := p.client.OpenStream("/x/Y", "there", 0, hpack.HeaderField{Name: "pad", Value: strings.Repeat("\x00\x01", 17000)})
		s.CloseSend()
	})
	p.step("two messages longer than the window, in turn", func() {
		one, two = p.client.OpenStream("/x/Y", "there", 0), p.client.OpenStream("/x/Z", "there", 0)
		one.SendMessage(numbered(50000), false)
		two.SendMessage(numbered(45000), true)
	})
	p.step("the end alone", func() { one.CloseSend() })
	p.step("messages retained, then credited", func() {
		p.answer.retain, p.answer.onMsg = true, nil
		one = p.client.OpenStream("/x/Y", "there", 0)
		for range 30 {
			one.SendMessage(numbered(1000), false)
		}
	})
	p.step("credit", func() { p.answer.streams[len(p.answer.streams)-1].CreditWindow(19 * 1005) })
	p.step("reset by the client", func() { one.Reset(http2.ErrCodeCancel) })
	p.step("status before the request's end", func() {
		p.answer.retain = false
		p.answer.onHead = func(s *Stream) { s.EndWithStatus(codes.Aborted, "100% naïve\n") }
		p.client.OpenStream("/x/Y", "there", 0).SendMessage([]byte("unread"), false)
	})
	p.step("headers first, reset by the server", func() {
		p.answer.onHead = func(s *Stream) {
			s.SendHeaders(hpack.HeaderField{Name: "early", Value: "yes"})
			s.SendHeaders(hpack.HeaderField{Name: "early", Value: "twice"})
			s.Reset(http2.ErrCodeInternal)
		}
		p.client.OpenStream("/x/Y", "there", 0)
	})
	p.step("more streams than allowed", func() {
		p.answer.onHead = nil
		for range 5 {
			p.client.OpenStream("/x/Y", "there", 0).SendMessage([]byte("x"), false)
		}
	})
	p.step("output paused", func() {
		p.server.SetOutputPaused(true)
		p.server.ForEachStream(func(s *Stream) { s.SendMessage(numbered(300), false) })
	})
	p.step("output goes on", func() { p.server.SetOutputPaused(false) })
	p.step("too long a message", func() {
		p.client.ForEachStream(func(s *Stream) {
			if s.ID()%4 == 1 {
				s.SendMessage(numbered(60001), false)
			}
		})
	})
	p.step("pings", func() { p.client.Ping(); p.server.Ping() })
	p.step("drain", func() { p.server.StartDrain(); p.server.StartDrain() })
	p.step("a stream after GOAWAY", func() {
		p.tr.line("may open %v, final GOAWAY sent %v", p.client.CanOpenStream(), p.server.finalGoAwaySent)
		p.client.OpenStream("/x/Y", "there", 0)
	})
	p.step("connection lost", func() { p.client.TransportClosed(); p.server.TransportClosed() })
}

// recordRequestFaults plays what a faulty or hostile client sends to a server.
func recordRequestFaults(t *testing.T, tr *transcript) {
	ok := []byte{0, 0, 0, 0, 1, 'm'}
	for _, c := range []struct {
		name string
		do   func(r *raw)
	}{
		{"padded data, settings, window updates", func(r *raw) {
			r.headers(1, r.usual(), false)
			r.fr.WriteDataPadded(1, false, ok, make([]byte, 200))
			r.fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 3}, http2.Setting{ID: http2.SettingMaxFrameSize, Val: 16400},
				http2.Setting{ID: http2.SettingHeaderTableSize, Val: 100}, http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 5})
			r.headers(3, r.usual(), false)
			r.fr.WriteData(3, false, ok)
			r.fr.WriteWindowUpdate(3, 2)
			r.fr.WriteWindowUpdate(3, 200)
			r.fr.WriteData(3, true, ok)
		}},
		{"rejected while output waits", func(r *raw) {
			r.headers(1, r.usual(), false)
			r.fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 2})
			r.fr.WriteData(1, false, ok)
			r.fr.WriteData(1, false, []byte{0, 1, 0, 0, 0, 0, 0, 0, 0, 1, 'x', 0, 0, 0, 0, 1, 'y'})
			r.fr.WriteData(1, false, []byte{1, 0, 0, 0, 0, 0, 0, 0, 0, 1, 'z'})
			r.fr.WriteData(1, true, ok)
			r.fr.WriteWindowUpdate(1, 1000)
		}},
		{"compressed while output waits", func(r *raw) {
			r.headers(1, r.usual(), false)
			r.fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 2})
			r.fr.WriteData(1, false, ok)
			r.fr.WriteData(1, true, append([]byte{1, 0, 0, 0, 0}, ok...))
			r.fr.WriteWindowUpdate(1, 1000)
		}},
		{"content length", func(r *raw) {
			for i, length := range []string{"6", "7", "5", "-3", "-1", "0"} {
				id := uint32(2*i + 1)
				r.headers(id, r.block(":method", "POST", ":scheme", "http", ":path", "/", "content-type", "application/grpc",
					"content-length", length), false)
				r.fr.WriteData(id, true, ok)
			}
		}},
		{"message in pieces", func(r *raw) {
			r.headers(1, r.usual(), false)
			for _, b := range ok {
				r.fr.WriteData(1, false, []byte{b})
			}
			r.fr.WriteData(1, true, nil)
		}},
		{"trailers of a request", func(r *raw) {
			r.headers(1, r.usual(), false)
			r.headers(1, r.block("some", "trailer"), true)
		}},
		{"headers without an end", func(r *raw) { r.headers(1, r.usual(), false); r.headers(1, r.usual(), false) }},
		{"stream depends on itself", func(r *raw) {
			r.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: r.usual(), EndHeaders: true, Priority: http2.PriorityParam{StreamDep: 1, Weight: 3}})
		}},
		{"method missing", func(r *raw) { r.headers(1, r.block(":scheme", "http", ":path", "/"), true) }},
		{"GET", func(r *raw) { r.headers(1, r.block(":method", "GET", ":scheme", "http", ":path", "/"), true) }},
		{"length that is no number", func(r *raw) {
			r.headers(1, r.block(":method", "POST", ":scheme", "http", ":path", "/", "content-length", "x"), true)
		}},
		{"not gRPC", func(r *raw) { r.headers(1, r.block(":method", "POST", ":scheme", "http", ":path", "/"), true) }},
		{"long headers", func(r *raw) { r.headers(1, r.block(":method", "POST", "long", strings.Repeat("z", 9000)), true) }},
		{"compressed message", func(r *raw) { r.headers(1, r.usual(), false); r.fr.WriteData(1, false, []byte{1, 0, 0, 0, 0}) }},
		{"message cut off", func(r *raw) { r.headers(1, r.usual(), false); r.fr.WriteData(1, true, ok[:3]) }},
		{"message too long", func(r *raw) { r.headers(1, r.usual(), false); r.fr.WriteData(1, false, []byte{0, 1, 0, 0, 0}) }},
		{"data after the end", func(r *raw) { r.headers(1, r.usual(), true); r.fr.WriteData(1, false, ok) }},
		{"no settings first", func(r *raw) { r.out.Reset(); r.out.WriteString(http2.ClientPreface); r.fr.WritePing(false, [8]byte{}) }},
		{"window of a stream overflows", func(r *raw) { r.headers(1, r.usual(), false); r.fr.WriteWindowUpdate(1, 1<<31-1) }},
		{"settings overflow a window", func(r *raw) {
			r.headers(1, r.usual(), false)
			r.fr.WriteWindowUpdate(1, 1<<30)
			r.fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: 1<<31 - 1})
		}},
		{"bad setting", func(r *raw) { r.fr.WriteSettings(http2.Setting{ID: http2.SettingEnablePush, Val: 2}) }},
		{"window update on an idle stream", func(r *raw) { r.fr.WriteWindowUpdate(5, 1) }},
		{"reset by the client", func(r *raw) { r.headers(1, r.usual(), false); r.fr.WriteRSTStream(1, http2.ErrCodeRefusedStream) }},
		{"data beyond the connection's window", func(r *raw) {
			r.headers(1, r.usual(), false)
			r.fr.WriteData(1, false, append([]byte{0, 0, 0, 0x3f, 0}, make([]byte, 0x3f00)...))
		}},
		{"too many pings", func(r *raw) {
			for i := range 30 {
				r.fr.WritePing(i%2 == 0, [8]byte{byte(i)})
			}
		}},
		{"too many settings", func(r *raw) {
			for range 30 {
				r.fr.WriteSettings()
			}
		}},
		{"too many faulty streams", func(r *raw) {
			for i := range 60 {
				r.headers(uint32(2*i+1), r.block(":method", "GET"), true)
			}
		}},
		{"too many resets", func(r *raw) {
			for i := range 500 {
				r.headers(uint32(2*i+1), r.usual(), false)
				r.fr.WriteRSTStream(uint32(2*i+1), http2.ErrCodeCancel)
			}
		}},
		{"goaway", func(r *raw) { r.headers(1, r.usual(), false); r.fr.WriteGoAway(0, http2.ErrCodeNo, nil) }},
		{"push", func(r *raw) {
			r.fr.WriteRawFrame(http2.FramePushPromise, http2.FlagPushPromiseEndHeaders, 1, []byte{0, 0, 0, 2})
		}},
		{"bad compression", func(r *raw) { r.headers(1, []byte{0xff, 0xff, 0xff, 0xff, 0xff}, true) }},
		{"frame too long", func(r *raw) { r.out.Write([]byte{0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1}) }},
		{"frame too short", func(r *raw) { r.fr.WriteRawFrame(http2.FrameRSTStream, 0, 1, []byte{1}) }},
		{"another protocol", func(r *raw) { r.out.Reset(); r.out.WriteString("GET / HTTP/1.1\r\n\r\n") }},
	} {
		tr.line("-- %s", c.name)
		r := newRaw(t)
		app := &recorder{tr: tr, name: "server"}
		app.onMsg = func(s *Stream, p []byte) { s.SendMessage(p, false) }
		app.onEnd = func(s *Stream) { s.EndWithStatus(codes.OK, "") }
		r.c = NewServerConn(Limits{MaxStreams: 100, StreamWindow: 65535, ConnWindow: 1 << 20, MaxHeaderListBytes: 8 << 10, MaxMessageBytes: 1 << 16}, app)
		c.do(r)
		tr.line("error %v", r.feed(1))
		tr.wire("server", r.c.TakeOutput())
		tr.line("open %d", r.c.OpenStreamCount())
		r.c.TransportClosed()
	}
}

// recordResponseFaults plays what a faulty server answers to a client.
func recordResponseFaults(t *testing.T, tr *transcript) {
	ok := []byte{0, 0, 0, 0, 1, 'm'}
	for _, c := range []struct {
		name string
		do   func(r *raw)
	}{
		{"trailers only", func(r *raw) {
			r.headers(1, r.block(":status", "200", "grpc-status", "14", "grpc-message", "a%20b%zz%"), true)
		}},
		{"headers, message, trailers", func(r *raw) {
			r.headers(1, r.block(":status", "200"), false)
			r.fr.WriteData(1, false, ok)
			r.headers(1, r.block("grpc-status", "0"), true)
		}},
		{"early hint", func(r *raw) {
			r.headers(1, r.block(":status", "103"), false)
			r.headers(1, r.block(":status", "200", "grpc-status", "0"), true)
		}},
		{"no status", func(r *raw) { r.headers(1, r.block(":status", "200"), true) }},
		{"status out of range", func(r *raw) { r.headers(1, r.block(":status", "200", "grpc-status", "99"), true) }},
		{"end without trailers", func(r *raw) {
			r.headers(1, r.block(":status", "200"), false)
			r.fr.WriteData(1, true, ok)
		}},
		{"message cut off", func(r *raw) {
			r.headers(1, r.block(":status", "200"), false)
			r.fr.WriteData(1, false, ok[:4])
			r.headers(1, r.block("grpc-status", "0"), true)
		}},
		{"compressed message", func(r *raw) {
			r.headers(1, r.block(":status", "200"), false)
			r.fr.WriteData(1, false, []byte{1, 0, 0, 0, 0})
		}},
		{"HTTP statuses", func(r *raw) {
			for i, status := range []string{"400", "401", "403", "404", "429", "500"} {
				r.headers(uint32(2*i+1), r.block(":status", status), true)
			}
		}},
		{"headers twice", func(r *raw) {
			r.headers(1, r.block(":status", "200"), false)
			r.headers(1, r.block("x", "y"), false)
		}},
		{"data before headers", func(r *raw) { r.fr.WriteData(1, false, ok) }},
		{"upper case", func(r *raw) { r.headers(1, r.block(":status", "200", "Upper", "x"), true) }},
		{"headers of an idle stream", func(r *raw) { r.headers(99, r.block(":status", "200"), true) }},
		{"reset", func(r *raw) {
			r.fr.WriteRSTStream(1, http2.ErrCodeRefusedStream)
			r.fr.WriteRSTStream(3, http2.ErrCodeCancel)
		}},
		{"goaway", func(r *raw) { r.fr.WriteGoAway(5, http2.ErrCodeNo, nil) }},
		{"fewer streams", func(r *raw) {
			r.fr.WriteSettings(http2.Setting{ID: http2.SettingMaxConcurrentStreams, Val: 6})
			r.fr.WritePing(true, [8]byte{'a', 'l', 'i', 'v', 'e'})
		}},
	} {
		tr.line("-- %s", c.name)
		r := newRaw(t)
		app := &recorder{tr: tr, name: "client"}
		r.c = NewClientConn(DefaultLimits, app)
		for range 6 {
			r.c.OpenStream("/x/Y", "there", 0)
		}
		r.out.Reset()
		r.fr.WriteSettings()
		c.do(r)
		tr.line("error %v", r.feed(1))
		tr.wire("client", r.c.TakeOutput())
		tr.line("open %d, may open %v", r.c.OpenStreamCount(), r.c.CanOpenStream())
		r.c.TransportClosed()
	}
}

// recordRandom plays a random exchange of both ends with small windows, in random pieces.
func recordRandom(tr *transcript, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := newPair(tr, Limits{MaxStreams: uint32(2 + rng.IntN(8)), StreamWindow: uint32(1 + rng.IntN(70000)), ConnWindow: uint32(rng.IntN(200000)), MaxHeaderListBytes: 30000, MaxMessageBytes: 50000})
	budget := &PartialMessageBudget{MaxBytes: 200000}
	p.server.SetPartialMessageBudget(budget)
	p.answer.retain = rng.IntN(2) == 0
	p.answer.onMsg = func(s *Stream, m []byte) {
		if rng.IntN(3) == 0 {
			s.SendMessage(numbered(rng.IntN(20000)), false)
		}
	}
	p.answer.onEnd = func(s *Stream) { s.EndWithStatus(codes.Code(rng.IntN(17)), "done") }
	for range 60 {
		p.randomAct(rng)
		if rng.IntN(2) == 0 {
			p.carry(func() int { return 1 + rng.IntN(1+rng.IntN(5000)) })
		}
	}
	p.server.StartDrain()
	p.carry(whole)
	p.server.TransportClosed()
	p.client.TransportClosed()
	tr.line("budget %d used, %d rejected", budget.usedBytes, budget.RejectedStreams)
}

func (p *pair) randomAct(rng *rand.Rand) {
	pick := func(c *Conn, do func(s *Stream)) {
		if n := c.OpenStreamCount(); n > 0 {
			chosen, i := rng.IntN(n), 0
			c.ForEachStream(func(s *Stream) {
				if i == chosen {
					do(s)
				}
				i++
			})
		}
	}
	switch rng.IntN(12) {
	case 0, 1, 2:
		if p.client.CanOpenStream() {
			p.client.OpenStream("/x/Y", "there", rng.Int64N(1e12), hpack.HeaderField{Name: "pad", Value: strings.Repeat("x", rng.IntN(25000))})
		}
	case 3, 4, 5:
		pick(p.client, func(s *Stream) { s.SendMessage(numbered(rng.IntN(50100)), rng.IntN(4) == 0) })
	case 6:
		pick(p.client, func(s *Stream) { s.CloseSend() })
	case 7:
		pick(p.client, func(s *Stream) { s.Reset(http2.ErrCodeCancel) })
	case 8:
		pick(p.server, func(s *Stream) { s.CreditWindow(rng.IntN(30000)) })
	case 9:
		pick(p.server, func(s *Stream) { s.SendMessage(numbered(rng.IntN(30000)), false) })
	case 10:
		pick(p.server, func(s *Stream) { s.EndWithStatus(codes.Unavailable, "busy") })
	case 11:
		p.server.SetOutputPaused(rng.IntN(2) == 0)
	}
}

// TestGoldenExchanges compares the bytes and calls of scripted exchanges with the recorded ones, so that a change of
// this package that moves a byte on the wire or the order of calls is seen.
func TestGoldenExchanges(t *testing.T) {
	for name, record := range map[string]func(tr *transcript){
		"exchange":        recordExchange,
		"request-faults":  func(tr *transcript) { recordRequestFaults(t, tr) },
		"response-faults": func(tr *transcript) { recordResponseFaults(t, tr) },
		"random": func(tr *transcript) {
			for seed := range uint64(60) {
				var one transcript
				recordRandom(&one, seed)
				tr.line("seed %d: %d bytes of transcript, sha256 %x", seed, one.Len(), sha256.Sum256(one.Bytes()))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var got transcript
			record(&got)
			file := "testdata/" + name + ".golden"
			if *updateGolden {
				if err := os.WriteFile(file, got.Bytes(), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			compareLines(t, got.String(), string(want))
		})
	}
}

// compareLines reports the first line in which two transcripts differ.
func compareLines(t *testing.T, got, want string) {
	t.Helper()
	g, w := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range max(len(g), len(w)) {
		switch {
		case i >= len(g):
			t.Fatalf("line %d: got the end, want %s", i+1, w[i])
		case i >= len(w):
			t.Fatalf("line %d: got %s, want the end", i+1, g[i])
		case g[i] != w[i]:
			t.Fatalf("line %d:\n got %s\nwant %s", i+1, g[i], w[i])
		}
	}
}
