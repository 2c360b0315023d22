package h2

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
)

// echo is a server's App that answers each message with itself and ends when the client has.
type echo struct {
	t      *testing.T
	hold   bool
	held   int
	resets int
	got    [][]byte
	last   *Stream
}

func (a *echo) HeadersReceived(s *Stream, h *Header) { a.last = s }
func (a *echo) MessageReceived(s *Stream, p []byte) bool {
	a.got = append(a.got, bytes.Clone(p))
	if a.hold {
		a.held += len(p) + 5
		return true
	}
	s.SendMessage(p, false)
	return false
}

func (a *echo) RequestEnded(s *Stream)                              { s.EndWithStatus(codes.OK, "") }
func (a *echo) StreamFinished(*Stream, codes.Code, string, *Header) {}
func (a *echo) StreamReset(*Stream, http2.ErrCode, bool)            { a.resets++ }
func (a *echo) StreamFlushed(*Stream)                               {}
func (a *echo) GoAwayReceived()                                     {}
func (a *echo) PingAcked()                                          {}

// asker is a client's App that keeps what comes back.
type asker struct {
	got     map[uint32][][]byte
	done    map[uint32]string
	refused int
	resets  int
	away    bool
}

func newAsker() *asker { return &asker{got: map[uint32][][]byte{}, done: map[uint32]string{}} }

func (a *asker) HeadersReceived(*Stream, *Header) {}
func (a *asker) MessageReceived(s *Stream, p []byte) bool {
	a.got[s.ID()] = append(a.got[s.ID()], bytes.Clone(p))
	return false
}
func (a *asker) RequestEnded(*Stream) {}
func (a *asker) StreamFinished(s *Stream, code codes.Code, message string, _ *Header) {
	a.done[s.ID()] += code.String() + " " + message
}

func (a *asker) StreamReset(s *Stream, _ http2.ErrCode, refused bool) {
	a.resets++
	if refused {
		a.refused++
	}
}
func (a *asker) StreamFlushed(*Stream) {}
func (a *asker) GoAwayReceived()       { a.away = true }
func (a *asker) PingAcked()            {}

// carry moves bytes between two ends until neither has any, in pieces of at most n bytes.
func carry(t *testing.T, a, b *Conn, piece func() int) {
	t.Helper()
	for a.HasOutput() || b.HasOutput() {
		for _, way := range [][2]*Conn{{a, b}, {b, a}} {
			p := bytes.Clone(way[0].TakeOutput())
			for len(p) > 0 {
				n := min(len(p), piece())
				if err := way[1].Feed(1, p[:n]); err != nil {
					t.Fatalf("feed: %v", err)
				}
				p = p[n:]
			}
		}
	}
}

func whole() int { return 1 << 30 }

// TestSplitAnywhere: the same streams come out however the bytes are cut, with windows smaller than messages.
func TestSplitAnywhere(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 0))
		lim := Limits{MaxStreams: 100, StreamWindow: uint32(1 + rng.IntN(70000)), ConnWindow: 65535, MaxHeaderListBytes: 16 << 10, MaxMessageBytes: 1 << 20}
		ask, srv := newAsker(), &echo{t: t}
		c, s := NewClientConn(lim, ask), NewServerConn(lim, srv)
		piece := func() int { return 1 + rng.IntN(1+rng.IntN(5000)) }
		carry(t, c, s, piece)
		want := map[uint32][][]byte{}
		var open []*Stream
		for range 1 + rng.IntN(8) {
			st := c.OpenStream("/x/Y", "there", 0, hpack.HeaderField{Name: "pad", Value: strings.Repeat("x", rng.IntN(9000))})
			open = append(open, st)
			for range rng.IntN(4) {
				m := bytes.Repeat([]byte{byte(rng.IntN(256))}, rng.IntN(100000))
				want[st.ID()] = append(want[st.ID()], m)
				st.SendMessage(m, false)
				if rng.IntN(2) == 0 {
					carry(t, c, s, piece)
				}
			}
		}
		for _, st := range open {
			st.CloseSend()
		}
		carry(t, c, s, piece)
		for _, st := range open {
			id := st.ID()
			if ask.done[id] != "OK " {
				t.Fatalf("seed %d: stream %d ended as %q, want OK once", seed, id, ask.done[id])
			}
			if len(ask.got[id]) != len(want[id]) {
				t.Fatalf("seed %d: stream %d: %d messages, want %d", seed, id, len(ask.got[id]), len(want[id]))
			}
			for i := range want[id] {
				if !bytes.Equal(ask.got[id][i], want[id][i]) {
					t.Fatalf("seed %d: stream %d message %d differs", seed, id, i)
				}
			}
		}
		if c.OpenStreamCount() != 0 || s.OpenStreamCount() != 0 {
			t.Fatalf("seed %d: %d and %d streams left open", seed, c.OpenStreamCount(), s.OpenStreamCount())
		}
	}
}

// TestHeldMessagesHoldThePeerBack: what the App holds shrinks the stream's window, and only that stream's.
func TestHeldMessagesHoldThePeerBack(t *testing.T) {
	lim := Limits{MaxStreams: 100, StreamWindow: 65535, ConnWindow: 1 << 20, MaxHeaderListBytes: 16 << 10, MaxMessageBytes: 1 << 20}
	ask, srv := newAsker(), &echo{t: t, hold: true}
	c, s := NewClientConn(lim, ask), NewServerConn(lim, srv)
	carry(t, c, s, whole)
	slow := c.OpenStream("/x/Y", "there", 0)
	for range 100 {
		slow.SendMessage(make([]byte, 2000), false)
	}
	carry(t, c, s, whole)
	if srv.held == 0 || srv.held > 65535 {
		t.Fatalf("%d bytes came through for a stream that is held, want up to its window of 65535", srv.held)
	}
	if slow.PendingBytes() == 0 {
		t.Fatal("nothing waits at the sender")
	}
	held, before := srv.last, len(srv.got)
	srv.hold = false
	quick := c.OpenStream("/x/Y", "there", 0)
	quick.SendMessage([]byte("quick"), true)
	carry(t, c, s, whole)
	if ask.done[quick.ID()] != "OK " || len(srv.got) != before+1 {
		t.Fatalf("another stream of the connection did not get through: %q", ask.done[quick.ID()])
	}
	held.CreditWindow(srv.held)
	slow.CloseSend()
	carry(t, c, s, whole)
	if n := len(srv.got) - 1; n != 100 || ask.done[slow.ID()] != "OK " {
		t.Fatalf("after credit %d of 100 messages came, ended %q", n, ask.done[slow.ID()])
	}
}

// raw is a scripted peer of a server.
type raw struct {
	c   *Conn
	app *echo
	fr  *http2.Framer
	out bytes.Buffer
	enc *hpack.Encoder
	blk bytes.Buffer
	dec *hpack.Decoder
}

func newRaw(t *testing.T) *raw {
	r := &raw{app: &echo{t: t}, dec: hpack.NewDecoder(4096, nil)}
	r.c = NewServerConn(Limits{MaxStreams: 100, StreamWindow: 65535, ConnWindow: 1 << 20, MaxHeaderListBytes: 8 << 10, MaxMessageBytes: 1 << 16}, r.app)
	r.fr = http2.NewFramer(&r.out, nil)
	r.fr.AllowIllegalWrites = true
	r.enc = hpack.NewEncoder(&r.blk)
	r.out.WriteString(http2.ClientPreface)
	r.fr.WriteSettings()
	return r
}

func (r *raw) block(fields ...string) []byte {
	r.blk.Reset()
	for i := 0; i+1 < len(fields); i += 2 {
		r.enc.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	return bytes.Clone(r.blk.Bytes())
}

func (r *raw) usual() []byte {
	return r.block(":method", "POST", ":scheme", "http", ":path", "/x/Y", "content-type", "application/grpc", "te", "trailers")
}

func (r *raw) headers(id uint32, block []byte, end bool) {
	r.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: block, EndHeaders: true, EndStream: end})
}

// feed hands over what was written, at a time.
func (r *raw) feed(now int64) error {
	p := bytes.Clone(r.out.Bytes())
	r.out.Reset()
	return r.c.Feed(now, p)
}

// answers reads what the server sent: frames by kind, and the last GOAWAY's code.
func (r *raw) answers(t *testing.T) (kinds map[http2.FrameType]int, goaway http2.ErrCode, resets map[uint32]http2.ErrCode, statuses map[uint32]string) {
	fr := http2.NewFramer(nil, bytes.NewReader(bytes.Clone(r.c.TakeOutput())))
	fr.ReadMetaHeaders = r.dec
	kinds, resets, statuses = map[http2.FrameType]int{}, map[uint32]http2.ErrCode{}, map[uint32]string{}
	goaway = 999
	for {
		f, err := fr.ReadFrame()
		if err != nil {
			return
		}
		kinds[f.Header().Type]++
		switch f := f.(type) {
		case *http2.GoAwayFrame:
			goaway = f.ErrCode
		case *http2.RSTStreamFrame:
			resets[f.StreamID] = f.ErrCode
		case *http2.MetaHeadersFrame:
			for _, h := range f.Fields {
				if h.Name == "grpc-status" || h.Name == ":status" && h.Value != "200" {
					statuses[f.StreamID] = h.Value
				}
			}
		}
	}
}

// TestFloods: each kind of abuse ends the connection with ENHANCE_YOUR_CALM, after a bounded number.
func TestFloods(t *testing.T) {
	for name, one := range map[string]func(r *raw, i int){
		"rapid reset": func(r *raw, i int) {
			id := uint32(2*i + 1)
			r.headers(id, r.usual(), false)
			r.fr.WriteRSTStream(id, http2.ErrCodeCancel)
		},
		"pings":             func(r *raw, i int) { r.fr.WritePing(false, [8]byte{byte(i)}) },
		"strange ping acks": func(r *raw, i int) { r.fr.WritePing(true, [8]byte{byte(i)}) },
		"settings": func(r *raw, i int) {
			r.fr.WriteSettings(http2.Setting{ID: http2.SettingInitialWindowSize, Val: uint32(i)})
		},
		"priorities":     func(r *raw, i int) { r.fr.WritePriority(1, http2.PriorityParam{}) },
		"unknown frames": func(r *raw, i int) { r.fr.WriteRawFrame(0x20, 0, 0, nil) },
		"window updates": func(r *raw, i int) { r.fr.WriteWindowUpdate(0, 1) },
		"empty data": func(r *raw, i int) {
			if i == 0 {
				r.headers(1, r.usual(), false)
			}
			r.fr.WriteData(1, false, nil)
		},
		"endless continuations": func(r *raw, i int) {
			if i == 0 {
				r.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: r.usual()})
			}
			r.fr.WriteContinuation(1, false, nil)
		},
		"endless headers": func(r *raw, i int) {
			if i == 0 {
				r.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: r.usual()})
			}
			r.fr.WriteContinuation(1, false, r.block("x", strings.Repeat("y", 500)))
		},
		"malformed streams": func(r *raw, i int) { r.headers(uint32(2*i+1), r.block(":method", "GET"), true) },
	} {
		t.Run(name, func(t *testing.T) {
			r := newRaw(t)
			n, err := 0, error(nil)
			for ; n < 20000 && err == nil; n++ {
				one(r, n)
				err = r.feed(int64(n) * 1000) // a microsecond each
				if len(r.c.output) > 4<<20 {
					t.Fatal("output grows without bound")
				}
			}
			_, code, _, _ := r.answers(t)
			if err == nil || code != http2.ErrCodeEnhanceYourCalm {
				t.Fatalf("after %d: %v, GOAWAY %v, want ENHANCE_YOUR_CALM", n, err, code)
			}
			if r.c.OpenStreamCount() > 100 {
				t.Fatalf("%d streams open", r.c.OpenStreamCount())
			}
		})
	}
}

// TestLeisure: a client that does the same things seldom is left alone.
func TestLeisure(t *testing.T) {
	r := newRaw(t)
	for i := range 2000 {
		id := uint32(2*i + 1)
		r.headers(id, r.usual(), false)
		r.fr.WriteRSTStream(id, http2.ErrCodeCancel)
		if i%30 == 0 {
			r.fr.WritePing(false, [8]byte{})
		}
		if err := r.feed(int64(i) * 20e6); err != nil {
			t.Fatalf("cancelling fifty times a second: %v after %d", err, i)
		}
		r.c.TakeOutput()
	}
}

// TestBadPeers: what a peer does wrong ends its stream or its connection, as the specification has it.
func TestBadPeers(t *testing.T) {
	long := strings.Repeat("z", 9000)
	for _, c := range []struct {
		name   string
		do     func(r *raw)
		conn   http2.ErrCode // 999: the connection goes on
		reset  http2.ErrCode // of stream 1, 999: none
		status string
	}{
		{"pseudo field twice", func(r *raw) {
			r.headers(1, r.block(":method", "POST", ":method", "POST", ":scheme", "http", ":path", "/x"), true)
		}, 999, http2.ErrCodeProtocol, ""},
		{
			"pseudo field late", func(r *raw) {
				r.headers(1, r.block("a", "b", ":method", "POST", ":scheme", "http", ":path", "/x"), true)
			},
			999, http2.ErrCodeProtocol, "",
		},
		{"timeout twice", func(r *raw) {
			r.headers(1, r.block(":method", "POST", ":scheme", "http", ":path", "/x", "content-type", "application/grpc",
				"grpc-timeout", "1S", "grpc-timeout", "2S"), true)
		}, 999, http2.ErrCodeProtocol, ""},
		{"connection field", func(r *raw) {
			r.headers(1, r.block(":method", "POST", ":scheme", "http", ":path", "/x", "connection", "close"), true)
		}, 999, http2.ErrCodeProtocol, ""},
		{"upper case", func(r *raw) {
			r.headers(1, r.block(":method", "POST", ":scheme", "http", ":path", "/x", "Upper", "case"), true)
		}, 999, http2.ErrCodeProtocol, ""},
		{"headers too long", func(r *raw) {
			r.headers(1, r.block(":method", "POST", ":scheme", "http", ":path", "/x", "content-type", "application/grpc", "long", long), true)
		}, 999, 999, "8"},
		{
			"not gRPC", func(r *raw) {
				r.headers(1, r.block(":method", "POST", ":scheme", "http", ":path", "/x", "content-type", "text/plain"), true)
			},
			999, 999, "415",
		},
		{"message too long", func(r *raw) {
			r.headers(1, r.usual(), false)
			r.fr.WriteData(1, false, []byte{0, 0, 2, 0, 0, 1})
		}, 999, http2.ErrCodeNo, "8"},
		{"compressed message", func(r *raw) {
			r.headers(1, r.usual(), false)
			r.fr.WriteData(1, false, []byte{1, 0, 0, 0, 1, 1})
		}, 999, http2.ErrCodeNo, "12"},
		{"message cut off", func(r *raw) {
			r.headers(1, r.usual(), false)
			r.fr.WriteData(1, true, []byte{0, 0, 0, 0, 9, 1})
		}, 999, 999, "13"},
		{"data past the stream's window", func(r *raw) {
			r.app.hold = true
			r.headers(1, r.usual(), false)
			for range 5 {
				r.fr.WriteData(1, false, append([]byte{0, 0, 0, 0x3f, 0x00}, make([]byte, 0x3f00)...))
			}
		}, 999, http2.ErrCodeFlowControl, ""},
		{"length told and not kept", func(r *raw) {
			r.headers(1, r.block(":method", "POST", ":scheme", "http", ":path", "/x", "content-type", "application/grpc", "content-length", "3"), false)
			r.fr.WriteData(1, false, []byte{0, 0, 0, 0, 1, 7})
		}, 999, http2.ErrCodeProtocol, ""},
		{"data after the end", func(r *raw) {
			r.headers(1, r.usual(), false)
			r.app.hold = true
			r.fr.WriteData(1, false, []byte{0, 0, 0, 0, 0})
			r.headers(3, r.usual(), true)
			r.fr.WriteData(3, false, []byte{0})
		}, 999, 999, ""},
		{"data on an idle stream", func(r *raw) { r.fr.WriteData(7, false, []byte{0}) }, http2.ErrCodeProtocol, 999, ""},
		{"reset of an idle stream", func(r *raw) { r.fr.WriteRSTStream(9, http2.ErrCodeCancel) }, http2.ErrCodeProtocol, 999, ""},
		{"even stream", func(r *raw) { r.headers(2, r.usual(), true) }, http2.ErrCodeProtocol, 999, ""},
		{
			"push", func(r *raw) {
				r.fr.WriteRawFrame(http2.FramePushPromise, http2.FlagPushPromiseEndHeaders, 1, []byte{0, 0, 0, 2})
			},
			http2.ErrCodeProtocol, 999, "",
		},
		{"bad compression", func(r *raw) { r.headers(1, []byte{0xff, 0xff, 0xff, 0xff, 0xff}, true) }, http2.ErrCodeCompression, 999, ""},
		{"window overflow", func(r *raw) { r.fr.WriteWindowUpdate(0, 1<<31-1) }, http2.ErrCodeFlowControl, 999, ""},
		{"window update of nothing", func(r *raw) { r.fr.WriteRawFrame(http2.FrameWindowUpdate, 0, 0, []byte{0, 0, 0, 0}) }, http2.ErrCodeProtocol, 999, ""},
		{"ping of a wrong length", func(r *raw) { r.fr.WriteRawFrame(http2.FramePing, 0, 0, []byte{1}) }, http2.ErrCodeFrameSize, 999, ""},
		{"frame between headers", func(r *raw) {
			r.fr.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: r.usual()})
			r.fr.WritePing(false, [8]byte{})
		}, http2.ErrCodeProtocol, 999, ""},
		{"frame too long", func(r *raw) { r.out.Write([]byte{0xff, 0xff, 0xff, 0, 0, 0, 0, 0, 1}) }, http2.ErrCodeFrameSize, 999, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRaw(t)
			c.do(r)
			err := r.feed(1)
			_, code, resets, statuses := r.answers(t)
			if code != c.conn {
				t.Errorf("GOAWAY %v (%v), want %v", code, err, c.conn)
			}
			if got, ok := resets[1]; c.reset != 999 && (!ok || got != c.reset) || c.reset == 999 && ok {
				t.Errorf("stream 1 reset: %v %v, want %v", ok, got, c.reset)
			}
			if statuses[1] != c.status {
				t.Errorf("stream 1 status %q, want %q", statuses[1], c.status)
			}
			if c.conn == 999 { // others go on
				r.headers(101, r.usual(), false)
				r.app.hold = false
				r.fr.WriteData(101, true, []byte{0, 0, 0, 0, 2, 'o', 'k'})
				if err := r.feed(2); err != nil {
					t.Fatal(err)
				}
				if _, _, _, statuses := r.answers(t); statuses[101] != "0" {
					t.Errorf("another stream of the connection ended with %q, want 0", statuses[101])
				}
			}
		})
	}
}

// TestOtherProtocol: HTTP/1 on the port is told so.
func TestOtherProtocol(t *testing.T) {
	r := newRaw(t)
	err := r.c.Feed(1, []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	if out := string(r.c.TakeOutput()); err == nil || !strings.HasPrefix(out, "HTTP/1.1 400") || !strings.Contains(out, "HTTP/2") {
		t.Fatalf("got %v, %q", err, out)
	}
}

// TestLeaving: streams that cross with a GOAWAY are served, later ones refused, and the client hears which.
func TestLeaving(t *testing.T) {
	ask, srv := newAsker(), &echo{t: t}
	c, s := NewClientConn(DefaultLimits, ask), NewServerConn(DefaultLimits, srv)
	carry(t, c, s, whole)
	a := c.OpenStream("/x/Y", "there", 0)
	s.StartDrain()
	b := c.OpenStream("/x/Y", "there", 0) // crosses
	carry(t, c, s, whole)
	if !ask.away || !s.FinalGoAwaySent() || c.CanOpenStream() {
		t.Fatal("the client does not know that the server leaves")
	}
	for _, st := range []*Stream{a, b} {
		st.SendMessage([]byte("x"), true)
	}
	ids := []uint32{a.ID(), b.ID()}
	carry(t, c, s, whole)
	for _, id := range ids {
		if ask.done[id] != "OK " {
			t.Errorf("stream %d ended as %q", id, ask.done[id])
		}
	}
	late := c.OpenStream("/x/Y", "there", 0) // in spite of it
	late.SendMessage([]byte("x"), true)
	carry(t, c, s, whole)
	if ask.refused != 1 {
		t.Errorf("%d streams refused, want the one opened after GOAWAY", ask.refused)
	}
}

func TestTimeouts(t *testing.T) {
	for _, ns := range []int64{1, 999, 99999999, 100000000, 123456789012, 5e9, 3600e9, 1 << 61} {
		got, err := ParseTimeout(FormatTimeout(ns))
		if err != nil || got < ns || float64(got) > 1.01*float64(ns)+1 {
			t.Errorf("%d ns came back as %d, %v", ns, got, err)
		}
	}
	for _, bad := range []string{"", "S", "1", "123456789S", "-1S", "1s", "1.5S", "+1S"} {
		if _, err := ParseTimeout(bad); err == nil {
			t.Errorf("%q was taken for a timeout", bad)
		}
	}
}

// TestRelayAllocates: the ordinary path of a token through a connection allocates nothing.
func TestRelayAllocates(t *testing.T) {
	srv := &holder{}
	c, s := NewClientConn(DefaultLimits, newDiscard()), NewServerConn(DefaultLimits, srv)
	carry(t, c, s, whole)
	c.OpenStream("/x/Y", "there", 0).SendMessage([]byte("x"), true)
	carry(t, c, s, whole)
	token := make([]byte, 24)
	run := func() {
		srv.s.SendMessage(token, false)
		if err := c.Feed(1, s.TakeOutput()); err != nil {
			t.Fatal(err)
		}
		if c.HasOutput() {
			if err := s.Feed(1, c.TakeOutput()); err != nil {
				t.Fatal(err)
			}
		}
	}
	for range 10000 {
		run()
	}
	if n := testing.AllocsPerRun(10000, run); n >= 1 {
		t.Errorf("%v allocations a token, want none", n)
	}
}

type holder struct {
	echo
	s *Stream
}

func (h *holder) HeadersReceived(s *Stream, _ *Header) { h.s = s }
func (h *holder) MessageReceived(*Stream, []byte) bool { return false }
func (h *holder) RequestEnded(*Stream)                 {}

type discard struct{ asker }

func newDiscard() *discard                           { return &discard{} }
func (discard) MessageReceived(*Stream, []byte) bool { return false }

func FuzzFeed(f *testing.F) {
	f.Add([]byte("PRI"), uint8(3))
	r := newRaw(&testing.T{})
	r.headers(1, r.usual(), false)
	r.fr.WriteData(1, true, []byte{0, 0, 0, 0, 1, 7})
	f.Add(bytes.Clone(r.out.Bytes()), uint8(7))
	f.Fuzz(func(t *testing.T, p []byte, cut uint8) {
		// The same bytes in one piece and in several end the same way.
		var ends [2]string
		for i := range ends {
			app := &echo{t: t}
			c := NewServerConn(Limits{MaxStreams: 10, StreamWindow: 65535, ConnWindow: 65535, MaxHeaderListBytes: 1 << 10, MaxMessageBytes: 1 << 10}, app)
			rest := p
			for len(rest) > 0 && c.Err() == nil {
				n := len(rest)
				if i == 1 {
					n = min(n, int(cut)+1)
				}
				c.Feed(1, rest[:n])
				rest = rest[n:]
			}
			ends[i] = fmt.Sprint(c.Err(), c.OpenStreamCount(), len(app.got), app.resets)
		}
		if ends[0] != ends[1] {
			t.Fatalf("in one piece %s, in pieces %s", ends[0], ends[1])
		}
	})
}

// TestPartialMessagesAreBounded: a peer that begins many large messages and ends none is refused at its part of the
// budget; another connection on the same budget goes on, and nothing stays in use.
func TestPartialMessagesAreBounded(t *testing.T) {
	b := &PartialMessageBudget{MaxBytes: 64 << 10}
	bad, good := newRaw(t), newRaw(t)
	bad.c.SetPartialMessageBudget(b)
	good.c.SetPartialMessageBudget(b)
	for i := range 50 {
		id := uint32(2*i + 1)
		bad.headers(id, bad.usual(), false)
		bad.fr.WriteData(id, false, append([]byte{0, 0, 0, 0xff, 0xff}, make([]byte, 4000)...))
		if err := bad.feed(1); err != nil {
			t.Fatal(err)
		}
		if b.UsedBytes() > b.MaxBytes/8 {
			t.Fatalf("one connection holds %d bytes, want at most an eighth of %d", b.UsedBytes(), b.MaxBytes)
		}
	}
	if b.RejectedStreams == 0 {
		t.Error("nothing was refused")
	}
	good.headers(1, good.usual(), false)
	good.fr.WriteData(1, false, []byte{0, 0, 0, 0, 2, 'o'})
	good.fr.WriteData(1, true, []byte{'k'})
	if err := good.feed(1); err != nil {
		t.Fatal(err)
	}
	if _, _, _, statuses := good.answers(t); statuses[1] != "0" || string(good.app.got[0]) != "ok" {
		t.Errorf("another connection's message in two parts ended with %q", statuses[1])
	}
	bad.c.TransportClosed()
	if b.UsedBytes() != 0 {
		t.Errorf("%d bytes in use when all connections are gone", b.UsedBytes())
	}
}
