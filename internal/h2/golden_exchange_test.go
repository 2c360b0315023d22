package h2

import (
	"math/rand/v2"
	"strings"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
)

// recordExchange records an exchange with requests, responses, flow control, resets, pings and a drain.
func recordExchange(tr *transcript) {
	p := newConnPair(tr, Limits{
		MaxStreams: 3, StreamWindow: 20000, ConnWindow: 80000, MaxHeaderListBytes: 40000, MaxMessageBytes: 60000,
	})
	p.serverCalls.onMessage = func(s *Stream, m []byte) { s.SendMessage(m, false) }
	p.serverCalls.onEnd = func(s *Stream) {
		s.EndWithStatus(codes.OK, "", hpack.HeaderField{Name: "docksail-job", Value: "7"})
	}
	var one, two *Stream
	p.step("preface and settings", func() {})
	p.step("one request, answered", func() {
		one = p.client.OpenStream("/x/Y", "there", 1500e6, hpack.HeaderField{Name: "a", Value: "b"})
		one.SendMessage([]byte("question"), true)
	})
	p.step("headers longer than a frame", func() {
		pad := hpack.HeaderField{Name: "pad", Value: strings.Repeat("\x00\x01", 17000)}
		s := p.client.OpenStream("/x/Y", "there", 0, pad)
		s.CloseSend()
	})
	p.step("two messages longer than the window, in turn", func() {
		one, two = p.client.OpenStream("/x/Y", "there", 0), p.client.OpenStream("/x/Z", "there", 0)
		one.SendMessage(patternBytes(50000), false)
		two.SendMessage(patternBytes(45000), true)
	})
	p.step("the end alone", func() { one.CloseSend() })
	p.step("messages retained, then credited", func() {
		p.serverCalls.retain, p.serverCalls.onMessage = true, nil
		one = p.client.OpenStream("/x/Y", "there", 0)
		for range 30 {
			one.SendMessage(patternBytes(1000), false)
		}
	})
	p.step("credit", func() { p.serverCalls.streams[len(p.serverCalls.streams)-1].CreditWindow(19 * 1005) })
	p.step("reset by the client", func() { one.Reset(http2.ErrCodeCancel) })
	p.step("status before the request's end", func() {
		p.serverCalls.retain = false
		p.serverCalls.onHeaders = func(s *Stream) { s.EndWithStatus(codes.Aborted, "100% naïve\n") }
		p.client.OpenStream("/x/Y", "there", 0).SendMessage([]byte("unread"), false)
	})
	p.step("headers first, reset by the server", func() {
		p.serverCalls.onHeaders = func(s *Stream) {
			s.SendHeaders(hpack.HeaderField{Name: "early", Value: "yes"})
			s.SendHeaders(hpack.HeaderField{Name: "early", Value: "twice"})
			s.Reset(http2.ErrCodeInternal)
		}
		p.client.OpenStream("/x/Y", "there", 0)
	})
	p.step("more streams than allowed", func() {
		p.serverCalls.onHeaders = nil
		for range 5 {
			p.client.OpenStream("/x/Y", "there", 0).SendMessage([]byte("x"), false)
		}
	})
	p.step("output paused", func() {
		p.server.SetOutputPaused(true)
		p.server.ForEachStream(func(s *Stream) { s.SendMessage(patternBytes(300), false) })
	})
	p.step("output goes on", func() { p.server.SetOutputPaused(false) })
	p.step("too long a message", func() {
		p.client.ForEachStream(func(s *Stream) {
			if s.ID()%4 == 1 {
				s.SendMessage(patternBytes(60001), false)
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

// recordRandom records a random exchange with small windows. The bytes are transferred in pieces of random size.
func recordRandom(tr *transcript, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 1))
	p := newConnPair(tr, Limits{
		MaxStreams:         uint32(2 + rng.IntN(8)),
		StreamWindow:       uint32(1 + rng.IntN(70000)),
		ConnWindow:         uint32(rng.IntN(200000)),
		MaxHeaderListBytes: 30000,
		MaxMessageBytes:    50000,
	})
	budget := &PartialMessageBudget{MaxBytes: 200000}
	p.server.SetPartialMessageBudget(budget)
	p.serverCalls.retain = rng.IntN(2) == 0
	p.serverCalls.onMessage = func(s *Stream, _ []byte) {
		if rng.IntN(3) == 0 {
			s.SendMessage(patternBytes(rng.IntN(20000)), false)
		}
	}
	p.serverCalls.onEnd = func(s *Stream) { s.EndWithStatus(codes.Code(rng.IntN(17)), "done") }
	for range 60 {
		p.randomAction(rng)
		if rng.IntN(2) == 0 {
			p.transfer(func() int { return 1 + rng.IntN(1+rng.IntN(5000)) })
		}
	}
	p.server.StartDrain()
	p.transfer(inOnePiece)
	p.server.TransportClosed()
	p.client.TransportClosed()
	tr.line("budget %d used, %d rejected", budget.usedBytes, budget.RejectedStreams)
}

// randomAction performs a random action on a random stream or connection of one end.
func (p *connPair) randomAction(rng *rand.Rand) {
	onRandomStream := func(c *Conn, do func(s *Stream)) {
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
			timeout := rng.Int64N(1e12)
			pad := hpack.HeaderField{Name: "pad", Value: strings.Repeat("x", rng.IntN(25000))}
			p.client.OpenStream("/x/Y", "there", timeout, pad)
		}
	case 3, 4, 5:
		onRandomStream(p.client, func(s *Stream) { s.SendMessage(patternBytes(rng.IntN(50100)), rng.IntN(4) == 0) })
	case 6:
		onRandomStream(p.client, func(s *Stream) { s.CloseSend() })
	case 7:
		onRandomStream(p.client, func(s *Stream) { s.Reset(http2.ErrCodeCancel) })
	case 8:
		onRandomStream(p.server, func(s *Stream) { s.CreditWindow(rng.IntN(30000)) })
	case 9:
		onRandomStream(p.server, func(s *Stream) { s.SendMessage(patternBytes(rng.IntN(30000)), false) })
	case 10:
		onRandomStream(p.server, func(s *Stream) { s.EndWithStatus(codes.Unavailable, "busy") })
	case 11:
		p.server.SetOutputPaused(rng.IntN(2) == 0)
	}
}
