package h2

import (
	"bytes"
	"math/rand/v2"
	"strings"
	"testing"

	"golang.org/x/net/http2/hpack"
)

// TestInputSplitAnywhere checks that the received messages do not depend on how the bytes are split, and that messages
// longer than the flow-control windows are received.
func TestInputSplitAnywhere(t *testing.T) {
	for seed := range uint64(30) {
		rng := rand.New(rand.NewPCG(seed, 0))
		limits := Limits{
			MaxStreams: 100, StreamWindow: uint32(1 + rng.IntN(70000)), ConnWindow: 65535,
			MaxHeaderListBytes: 16 << 10, MaxMessageBytes: 1 << 20,
		}
		client, server := newClientHandler(), &echoHandler{}
		c, s := NewClientConn(limits, client), NewServerConn(limits, server)
		pieceBytes := func() int { return 1 + rng.IntN(1+rng.IntN(5000)) }
		transfer(t, c, s, pieceBytes)
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
					transfer(t, c, s, pieceBytes)
				}
			}
		}
		for _, st := range open {
			st.CloseSend()
		}
		transfer(t, c, s, pieceBytes)
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
			t.Fatalf("seed %d: %d and %d streams are still open, want none", seed, c.OpenStreamCount(), s.OpenStreamCount())
		}
	}
}

// TestRetainedMessagesUseTheWindow checks that messages that the Handler retains reduce the window of their own stream
// and of no other.
func TestRetainedMessagesUseTheWindow(t *testing.T) {
	limits := Limits{
		MaxStreams: 100, StreamWindow: 65535, ConnWindow: 1 << 20,
		MaxHeaderListBytes: 16 << 10, MaxMessageBytes: 1 << 20,
	}
	client, server := newClientHandler(), &echoHandler{retain: true}
	c, s := NewClientConn(limits, client), NewServerConn(limits, server)
	transfer(t, c, s, inOnePiece)
	blocked := c.OpenStream("/x/Y", "there", 0)
	for range 100 {
		blocked.SendMessage(make([]byte, 2000), false)
	}
	transfer(t, c, s, inOnePiece)
	if server.retainedBytes == 0 || server.retainedBytes > 65535 {
		t.Fatalf("%d bytes received on a stream whose messages are retained, want 1 to 65535, its window",
			server.retainedBytes)
	}
	if blocked.PendingBytes() == 0 {
		t.Fatal("the sender has no pending output")
	}
	retained, before := server.lastStream, len(server.messages)
	server.retain = false
	other := c.OpenStream("/x/Y", "there", 0)
	other.SendMessage([]byte("other"), true)
	transfer(t, c, s, inOnePiece)
	if client.finished[other.ID()] != "OK " || len(server.messages) != before+1 {
		t.Fatalf("another stream of the connection ended as %q, want OK and one message", client.finished[other.ID()])
	}
	retained.CreditWindow(server.retainedBytes)
	blocked.CloseSend()
	transfer(t, c, s, inOnePiece)
	if n := len(server.messages) - 1; n != 100 || client.finished[blocked.ID()] != "OK " {
		t.Fatalf("after CreditWindow %d of 100 messages were received, status %q", n, client.finished[blocked.ID()])
	}
}

// TestDrain checks that streams opened before the client receives GOAWAY are served, that later ones are refused, and
// that the client is notified.
func TestDrain(t *testing.T) {
	client, server := newClientHandler(), &echoHandler{}
	c, s := NewClientConn(DefaultLimits, client), NewServerConn(DefaultLimits, server)
	transfer(t, c, s, inOnePiece)
	a := c.OpenStream("/x/Y", "there", 0)
	s.StartDrain()
	b := c.OpenStream("/x/Y", "there", 0) // opened before the GOAWAY arrives
	transfer(t, c, s, inOnePiece)
	if !client.goAway || !s.finalGoAwaySent || c.CanOpenStream() {
		t.Fatal("the client was not notified of the drain")
	}
	for _, st := range []*Stream{a, b} {
		st.SendMessage([]byte("x"), true)
	}
	ids := []uint32{a.ID(), b.ID()}
	transfer(t, c, s, inOnePiece)
	for _, id := range ids {
		if client.finished[id] != "OK " {
			t.Errorf("stream %d ended as %q", id, client.finished[id])
		}
	}
	late := c.OpenStream("/x/Y", "there", 0) // opened despite the GOAWAY
	late.SendMessage([]byte("x"), true)
	transfer(t, c, s, inOnePiece)
	if client.refused != 1 {
		t.Errorf("%d streams refused, want 1, the one opened after GOAWAY", client.refused)
	}
}

// TestRelayDoesNotAllocate checks that sending and receiving a token allocates nothing.
func TestRelayDoesNotAllocate(t *testing.T) {
	server := &capturingHandler{}
	c, s := NewClientConn(DefaultLimits, &discardingHandler{}), NewServerConn(DefaultLimits, server)
	transfer(t, c, s, inOnePiece)
	c.OpenStream("/x/Y", "there", 0).SendMessage([]byte("x"), true)
	transfer(t, c, s, inOnePiece)
	token := make([]byte, 24)
	relayToken := func() {
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
		relayToken()
	}
	if n := testing.AllocsPerRun(10000, relayToken); n >= 1 {
		t.Errorf("%v allocations per token, want none", n)
	}
}

// capturingHandler is a server's Handler that keeps the last stream and sends nothing.
type capturingHandler struct {
	echoHandler
	stream *Stream // the last stream
}

func (h *capturingHandler) HeadersReceived(s *Stream, _ *Header) { h.stream = s }
func (h *capturingHandler) MessageReceived(*Stream, []byte) bool { return false }
func (h *capturingHandler) RequestEnded(*Stream)                 {}

// discardingHandler is a client's Handler that discards messages.
type discardingHandler struct{ clientHandler }

func (discardingHandler) MessageReceived(*Stream, []byte) bool { return false }
