package h2

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"golang.org/x/net/http2/hpack"
)

// The same messages arrive however the bytes are cut, with windows smaller than messages.
func TestInputSplitAnywhere(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 0))
		limits := Limits{
			MaxStreams: 100, StreamWindow: uint32(1 + rng.IntN(70000)), ConnWindow: 65535,
			MaxHeaderListBytes: 16 << 10, MaxMessageBytes: 1 << 20,
		}
		client, server := newClientHandler(), &echoHandler{}
		c, s := NewClientConn(limits, client), NewServerConn(limits, server)
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
			if client.finished[id] != "OK " {
				t.Fatalf("seed %d: stream %d ended as %q, want OK once", seed, id, client.finished[id])
			}
			if len(client.messages[id]) != len(want[id]) {
				t.Fatalf("seed %d: stream %d: %d messages, want %d", seed, id, len(client.messages[id]), len(want[id]))
			}
			for i := range want[id] {
				if !bytes.Equal(client.messages[id][i], want[id][i]) {
					t.Fatalf("seed %d: stream %d message %d differs", seed, id, i)
				}
			}
		}
		if c.OpenStreamCount() != 0 || s.OpenStreamCount() != 0 {
			t.Fatalf("seed %d: %d and %d streams left open", seed, c.OpenStreamCount(), s.OpenStreamCount())
		}
	}
}

// Messages that the Handler retains shrink their stream's window, and only that one.
func TestRetainedMessagesUseTheWindow(t *testing.T) {
	limits := Limits{
		MaxStreams: 100, StreamWindow: 65535, ConnWindow: 1 << 20,
		MaxHeaderListBytes: 16 << 10, MaxMessageBytes: 1 << 20,
	}
	client, server := newClientHandler(), &echoHandler{retain: true}
	c, s := NewClientConn(limits, client), NewServerConn(limits, server)
	carry(t, c, s, inOnePiece)
	slow := c.OpenStream("/x/Y", "there", 0)
	for range 100 {
		slow.SendMessage(make([]byte, 2000), false)
	}
	carry(t, c, s, inOnePiece)
	if server.retainedBytes == 0 || server.retainedBytes > 65535 {
		t.Fatalf("%d bytes came through for a stream whose messages are retained, want up to its window of 65535",
			server.retainedBytes)
	}
	if slow.PendingBytes() == 0 {
		t.Fatal("nothing waits at the sender")
	}
	retained, before := server.lastStream, len(server.messages)
	server.retain = false
	quick := c.OpenStream("/x/Y", "there", 0)
	quick.SendMessage([]byte("quick"), true)
	carry(t, c, s, inOnePiece)
	if client.finished[quick.ID()] != "OK " || len(server.messages) != before+1 {
		t.Fatalf("another stream of the connection did not get through: %q", client.finished[quick.ID()])
	}
	retained.CreditWindow(server.retainedBytes)
	slow.CloseSend()
	carry(t, c, s, inOnePiece)
	if n := len(server.messages) - 1; n != 100 || client.finished[slow.ID()] != "OK " {
		t.Fatalf("after credit %d of 100 messages came, ended %q", n, client.finished[slow.ID()])
	}
}

// Streams that cross with a GOAWAY are served, later ones are refused, and the client learns which.
func TestDrain(t *testing.T) {
	client, server := newClientHandler(), &echoHandler{}
	c, s := NewClientConn(DefaultLimits, client), NewServerConn(DefaultLimits, server)
	carry(t, c, s, inOnePiece)
	a := c.OpenStream("/x/Y", "there", 0)
	s.StartDrain()
	b := c.OpenStream("/x/Y", "there", 0) // crosses
	carry(t, c, s, inOnePiece)
	if !client.goAway || !s.finalGoAwaySent || c.CanOpenStream() {
		t.Fatal("the client does not know that the server drains")
	}
	for _, st := range []*Stream{a, b} {
		st.SendMessage([]byte("x"), true)
	}
	ids := []uint32{a.ID(), b.ID()}
	carry(t, c, s, inOnePiece)
	for _, id := range ids {
		if client.finished[id] != "OK " {
			t.Errorf("stream %d ended as %q", id, client.finished[id])
		}
	}
	late := c.OpenStream("/x/Y", "there", 0) // in spite of it
	late.SendMessage([]byte("x"), true)
	carry(t, c, s, inOnePiece)
	if client.refused != 1 {
		t.Errorf("%d streams refused, want the one opened after GOAWAY", client.refused)
	}
}

// The ordinary way of a token through a connection allocates nothing.
func TestRelayAllocates(t *testing.T) {
	server := &capturingHandler{}
	c, s := NewClientConn(DefaultLimits, &discardingHandler{}), NewServerConn(DefaultLimits, server)
	carry(t, c, s, inOnePiece)
	c.OpenStream("/x/Y", "there", 0).SendMessage([]byte("x"), true)
	carry(t, c, s, inOnePiece)
	token := make([]byte, 24)
	run := func() {
		server.stream.SendMessage(token, false)
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

// capturingHandler is a server's Handler that answers nothing by itself.
type capturingHandler struct {
	echoHandler
	stream *Stream // the last one
}

func (h *capturingHandler) HeadersReceived(s *Stream, _ *Header) { h.stream = s }
func (h *capturingHandler) MessageReceived(*Stream, []byte) bool { return false }
func (h *capturingHandler) RequestEnded(*Stream)                 {}

// discardingHandler is a client's Handler that keeps no message.
type discardingHandler struct{ clientHandler }

func (discardingHandler) MessageReceived(*Stream, []byte) bool { return false }
