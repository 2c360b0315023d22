package eventloop

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"testing"

	"golang.org/x/sys/unix"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files of this package")

const testLatency = Nanos(1000)

var (
	clientAddr = netip.MustParseAddr("10.0.0.1")
	serverAddr = netip.MustParseAddr("10.0.0.2")
)

// simulation is a simulated network with a client's and a server's loop. It records the calls of their handlers.
type simulation struct {
	t              *testing.T
	log            bytes.Buffer
	network        *SimulatedNetwork
	client, server *Loop
	listener       *Listener
	accepted       []*recordingHandler
	dialed         []*recordingHandler
	rejectAll      bool
}

// recordingHandler is a Handler that records its calls with their times.
type recordingHandler struct {
	s    *simulation
	name string
	c    *Conn
	echo bool
}

func (h *recordingHandler) record(now Nanos, format string, args ...any) {
	fmt.Fprintf(&h.s.log, "%d %s %s\n", now, h.name, fmt.Sprintf(format, args...))
}

// quote returns p quoted, or only its length if p is long.
func quote(p []byte) string {
	if len(p) <= 16 {
		return fmt.Sprintf("%q", p)
	}
	return fmt.Sprintf("%d bytes", len(p))
}

func (h *recordingHandler) Opened(now Nanos) { h.record(now, "opened %d", h.c.SimulatedID()) }
func (h *recordingHandler) Received(now Nanos, p []byte) {
	h.record(now, "received %s", quote(p))
	if h.echo {
		h.c.Write(p)
	}
}
func (h *recordingHandler) PeerHalfClosed(now Nanos)    { h.record(now, "peer half closed") }
func (h *recordingHandler) OutputFlushed(now Nanos)     { h.record(now, "output flushed") }
func (h *recordingHandler) Closed(now Nanos, err error) { h.record(now, "closed %v", err) }

// recordingTap is a Tap that records its calls.
type recordingTap struct{ h *recordingHandler }

func (r recordingTap) Sent(p []byte) { r.h.record(r.h.s.network.Now(), "sent %s", quote(p)) }
func (r recordingTap) Received(p []byte) {
	r.h.record(r.h.s.network.Now(), "received %s", quote(p))
}
func (r recordingTap) Closed() { r.h.record(r.h.s.network.Now(), "closed") }

func newSimulation(t *testing.T) *simulation {
	t.Helper()
	s := &simulation{t: t, network: NewSimulatedNetwork(1e18, testLatency)}
	s.network.NewTap = func(_ *Loop, to netip.AddrPort) Tap {
		return recordingTap{&recordingHandler{s: s, name: fmt.Sprintf("tap%d to %v", len(s.dialed), to)}}
	}
	s.client = s.network.NewLoop(clientAddr, nil)
	s.server = s.network.NewLoop(serverAddr, nil)
	var err error
	s.listener, err = s.server.Listen(netip.AddrPortFrom(serverAddr, 0), false, s.accept)
	must(t, err)
	return s
}

// accept is the AcceptFunc of the server's listener.
func (s *simulation) accept(c *Conn, from netip.AddrPort) Handler {
	if s.rejectAll {
		return nil
	}
	h := &recordingHandler{s: s, name: fmt.Sprintf("server%d from %v", len(s.accepted), from), c: c}
	s.accepted = append(s.accepted, h)
	return h
}

// dial dials an address from the client's loop.
func (s *simulation) dial(to netip.AddrPort) *recordingHandler {
	s.t.Helper()
	h := &recordingHandler{s: s, name: fmt.Sprintf("client%d", len(s.dialed))}
	var err error
	if h.c, err = s.client.Dial(to, 50*testLatency, h); err != nil {
		s.t.Fatal(err)
	}
	s.dialed = append(s.dialed, h)
	return h
}

// connect dials the listener, queues output while connecting, and runs until both ends are open.
func (s *simulation) connect() (client, server *recordingHandler) {
	s.t.Helper()
	n := len(s.accepted)
	h := s.dial(s.listener.Addr())
	h.c.Write([]byte("hello"))
	s.run(4)
	if len(s.accepted) != n+1 {
		s.t.Fatalf("%d connections accepted, want %d", len(s.accepted), n+1)
	}
	return h, s.accepted[n]
}

// run runs the network for a number of latencies and records its counters.
func (s *simulation) run(latencies Nanos) {
	s.network.RunUntil(s.network.Now() + latencies*testLatency)
	fmt.Fprintf(&s.log, "-- %d: %d iterations, %d and %d connections\n",
		s.network.Now(), s.network.Iterations, s.client.ConnCount(), s.server.ConnCount())
}

// runOn runs a call on a loop and then the network for three latencies.
func (s *simulation) runOn(l *Loop, call func()) {
	l.Post(call)
	s.run(3)
}

// TestSimulatedNetwork compares the calls of handlers and taps, and their times, with the golden files.
func TestSimulatedNetwork(t *testing.T) {
	for name, script := range map[string]func(s *simulation){
		"echo and close": func(s *simulation) {
			c, srv := s.connect()
			srv.echo = true
			s.runOn(s.client, func() { c.c.Write([]byte("one")); c.c.Write([]byte("two")) })
			s.runOn(s.client, func() { c.c.Write([]byte("last")); c.c.CloseWriteAfterFlush() })
			s.runOn(s.server, func() { srv.c.Write([]byte("bye")); srv.c.CloseAfterFlush() })
			s.runOn(s.client, func() { c.c.Close() })
		},
		"refused": func(s *simulation) {
			s.dial(netip.AddrPortFrom(serverAddr, 9))
			s.run(5)
			s.runOn(s.server, func() { s.listener.Close() })
			s.dial(s.listener.Addr())
			s.run(5)
		},
		"rejected by the listener": func(s *simulation) {
			s.rejectAll = true
			s.dial(s.listener.Addr())
			s.run(5)
		},
		"accept paused": func(s *simulation) {
			s.listener.SetAcceptPaused(true)
			s.dial(s.listener.Addr())
			s.dial(s.listener.Addr())
			s.run(5)
			s.runOn(s.server, func() { s.listener.SetAcceptPaused(false) })
			s.listener.SetAcceptPaused(true)
			s.dial(s.listener.Addr())
			s.run(5)
			s.runOn(s.server, func() { s.listener.AcceptPendingAndClose() })
			s.listener.SetAcceptPaused(true)
		},
		"partition": func(s *simulation) {
			c, srv := s.connect()
			s.network.SetPartitioned(s.client, s.server, true)
			s.runOn(s.client, func() { c.c.Write([]byte("held")) })
			s.runOn(s.server, func() { srv.c.Write([]byte("held too")) })
			s.dial(s.listener.Addr())
			s.run(60)
			s.network.SetPartitioned(s.server, s.client, false)
			s.run(3)
		},
		"read paused": func(s *simulation) {
			c, srv := s.connect()
			s.runOn(s.server, func() { srv.c.SetReadPaused(true) })
			s.runOn(s.client, func() { c.c.Write([]byte("one")) })
			s.runOn(s.client, func() { c.c.Write([]byte("two")) })
			fmt.Fprintf(&s.log, "input empty %v\n", srv.c.InputEmpty())
			s.runOn(s.server, func() { srv.c.SetReadPaused(false) })
			fmt.Fprintf(&s.log, "input empty %v\n", srv.c.InputEmpty())
			s.runOn(s.server, func() { srv.c.SetReadPaused(true) })
			s.runOn(s.client, func() { c.c.Write([]byte("unread")); c.c.CloseAfterFlush() })
		},
		"blocked output": func(s *simulation) {
			c, srv := s.connect()
			s.runOn(s.server, func() { srv.c.SetReadPaused(true) })
			s.runOn(s.client, func() { c.c.Write(make([]byte, 700<<10)) })
			fmt.Fprintf(&s.log, "blocked %v, %d queued\n", c.c.WriteBlocked(), c.c.QueuedBytes())
			s.runOn(s.server, func() { srv.c.SetReadPaused(false) })
			s.run(20)
			s.runOn(s.server, func() { srv.c.SetReadPaused(true) })
			s.runOn(s.client, func() { c.c.SetOutputLimit(1 << 20); c.c.Write(make([]byte, 2<<20)) })
		},
		"faults of the server": func(s *simulation) {
			one, _ := s.connect()
			s.server.BlackholeConnections()
			two, _ := s.connect()
			s.runOn(s.client, func() { one.c.Write([]byte("lost")); two.c.Write([]byte("arrives")) })
			s.server.SetSlowdown(5*testLatency, true)
			s.runOn(s.client, func() { two.c.Write([]byte("slow")) })
			s.run(10)
			s.server.SetSlowdown(0, false)
			s.server.ResetConnections()
			s.run(3)
			s.connect()
			s.server.Kill()
			s.run(3)
			s.dial(s.listener.Addr())
			s.run(3)
		},
		"timers, stop": func(s *simulation) {
			var first, second Timer
			s.client.SetTimer(&first, 3*testLatency, func(now Nanos) {
				fmt.Fprintf(&s.log, "%d first, wall %d\n", now, s.network.UnixNanos()-s.client.OriginUnixNanos())
				s.client.SetTimer(&first, now, func(now Nanos) { fmt.Fprintf(&s.log, "%d again\n", now) })
			})
			s.client.SetTimer(&second, 3*testLatency, func(now Nanos) { fmt.Fprintf(&s.log, "%d second\n", now) })
			s.client.SetOnIteration(func(now Nanos) { fmt.Fprintf(&s.log, "%d iteration\n", now) })
			s.runOn(s.client, func() {})
			s.runOn(s.client, func() { s.client.SkipNextWait() })
			s.connect()
			s.runOn(s.client, func() { s.client.Stop() })
			s.runOn(s.client, func() {})
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t)
			script(s)
			file := "testdata/simulated-" + strings.NewReplacer(" ", "-", ",", "").Replace(name) + ".golden"
			if *updateGolden {
				if err := os.WriteFile(file, s.log.Bytes(), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if got := s.log.String(); got != string(want) {
				t.Errorf("got\n%s\nwant\n%s", got, want)
			}
		})
	}
}

// TestSimulatedAddressInUse checks that a second listener on an address fails with EADDRINUSE, as on a real system.
func TestSimulatedAddressInUse(t *testing.T) {
	s := newSimulation(t)
	_, err := s.client.Listen(s.listener.Addr(), false, nil)
	if !errors.Is(err, unix.EADDRINUSE) {
		t.Errorf("got error %v, want EADDRINUSE", err)
	}
}
