package eventloop

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// testTimeout is how long a test waits for what must happen.
const testTimeout = 10 * time.Second

// recordingPeer is a Handler that records what happens to its connection; only the loop's goroutine touches it.
type recordingPeer struct {
	conn       *Conn
	opened     int
	received   []byte
	halfClosed bool
	flushed    int
	closed     int
	err        error
	onReceived func(p []byte)
}

func (p *recordingPeer) Opened(Nanos) { p.opened++ }
func (p *recordingPeer) Received(_ Nanos, b []byte) {
	if p.onReceived != nil {
		p.onReceived(b)
		return
	}
	p.received = append(p.received, b...)
}

func (p *recordingPeer) PeerHalfClosed(Nanos)      { p.halfClosed = true }
func (p *recordingPeer) OutputFlushed(Nanos)       { p.flushed++ }
func (p *recordingPeer) Closed(_ Nanos, err error) { p.closed++; p.err = err }

// anyPort is a free port of the loopback address.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// must fails the test at once if a step of its set-up fails.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// startLoop runs a loop on its own goroutine until the end of the test. It returns the loop and a function that runs a
// call on it and waits for it.
func startLoop(t *testing.T) (*Loop, func(func())) {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := l.Run(nil); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() {
		l.Stop()
		<-done
		l.Close()
	})
	return l, func(call func()) {
		returned := make(chan struct{})
		posted := func() bool { return l.Post(func() { call(); close(returned) }) }
		for end := time.Now().Add(testTimeout); !posted(); time.Sleep(time.Millisecond) { // full for a moment
			if time.Now().After(end) {
				t.Fatal("the loop accepts no posted calls")
			}
		}
		<-returned
	}
}

// waitUntil waits for a condition that is read on the loop.
func waitUntil(t *testing.T, on func(func()), what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		var ok bool
		if on(func() { ok = condition() }); ok {
			return
		}
	}
	t.Fatalf("not within %v: %s", testTimeout, what)
}

// listen opens a listener on the running loop.
func listen(t *testing.T, l *Loop, on func(func()), newHandler func(c *Conn) Handler) *Listener {
	t.Helper()
	var ln *Listener
	var err error
	on(func() {
		ln, err = l.Listen(anyPort, false, func(c *Conn, _ netip.AddrPort) Handler { return newHandler(c) })
	})
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// acceptPeers returns a loop that has accepted one connection for each handler, in order, and the other ends of the
// connections. The loop does not run afterwards.
func acceptPeers(t *testing.T, handlers ...*recordingPeer) (*Loop, []*net.TCPConn) {
	t.Helper()
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	accepted := 0
	ln, err := l.Listen(anyPort, false, func(c *Conn, _ netip.AddrPort) Handler {
		p := handlers[accepted]
		p.conn = c
		accepted++
		return p
	})
	if err != nil {
		t.Fatal(err)
	}
	var ends []*net.TCPConn
	for range handlers {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		ends = append(ends, c.(*net.TCPConn))
		runUntil(t, l, func() bool { return accepted == len(ends) })
	}
	return l, ends
}

// runUntil runs the loop until a condition holds.
func runUntil(t *testing.T, l *Loop, condition func() bool) {
	t.Helper()
	var deadline Timer
	late := false
	l.SetTimer(&deadline, l.ReadClock()+int64(testTimeout), func(Nanos) { late = true; l.Stop() })
	must(t, l.Run(func(Nanos) {
		l.SkipNextWait()
		if condition() {
			l.Stop()
		}
	}))
	l.CancelTimer(&deadline)
	l.stopped.Store(false)
	if late {
		t.Fatalf("not within %v", testTimeout)
	}
}
