package eventloop

import (
	"net"
	"net/netip"
	"testing"
	"time"
)

// testTimeout is how long a test waits for a condition.
const testTimeout = 10 * time.Second

// connRecorder is a Handler that records the events of its connection. Only the loop's goroutine may access it.
type connRecorder struct {
	conn       *Conn
	opened     int
	received   []byte
	halfClosed bool
	flushed    int
	closed     int
	err        error
	onReceived func(p []byte)
}

func (p *connRecorder) Opened(Nanos) { p.opened++ }
func (p *connRecorder) Received(_ Nanos, b []byte) {
	if p.onReceived != nil {
		p.onReceived(b)
		return
	}
	p.received = append(p.received, b...)
}

func (p *connRecorder) PeerHalfClosed(Nanos)      { p.halfClosed = true }
func (p *connRecorder) OutputFlushed(Nanos)       { p.flushed++ }
func (p *connRecorder) Closed(_ Nanos, err error) { p.closed++; p.err = err }

// anyPort is the loopback address with port 0, which selects a free port.
var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// must fails the test at once if err is not nil.
func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// startLoop runs a loop on its own goroutine until the end of the test. It returns the loop and a function that makes
// the loop run a call and waits until the call has returned.
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
		for end := time.Now().Add(testTimeout); !posted(); time.Sleep(time.Millisecond) { // the queue may be full
			if time.Now().After(end) {
				t.Fatal("the loop accepts no posted calls: its queue stays full")
			}
		}
		<-returned
	}
}

// waitUntil waits until a condition holds, which it evaluates on the loop. what names the condition.
func waitUntil(t *testing.T, onLoop func(func()), what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		var ok bool
		if onLoop(func() { ok = condition() }); ok {
			return
		}
	}
	t.Fatalf("timed out after %v: %s", testTimeout, what)
}

// listen opens a listener on the running loop.
func listen(t *testing.T, l *Loop, onLoop func(func()), newHandler func(c *Conn) Handler) *Listener {
	t.Helper()
	var ln *Listener
	var err error
	onLoop(func() {
		ln, err = l.Listen(anyPort, false, func(c *Conn, _ netip.AddrPort) Handler { return newHandler(c) })
	})
	if err != nil {
		t.Fatal(err)
	}
	return ln
}

// acceptConns returns a loop that has accepted one connection for each handler, in order, and the clients' ends of the
// connections. The loop is not running when it returns.
func acceptConns(t *testing.T, handlers ...*connRecorder) (*Loop, []*net.TCPConn) {
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
	var clients []*net.TCPConn
	for range handlers {
		c, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		clients = append(clients, c.(*net.TCPConn))
		runUntil(t, l, func() bool { return accepted == len(clients) })
	}
	return l, clients
}

// runUntil runs the loop until a condition holds.
func runUntil(t *testing.T, l *Loop, condition func() bool) {
	t.Helper()
	var deadline Timer
	timedOut := false
	l.SetTimer(&deadline, l.ReadClock()+int64(testTimeout), func(Nanos) { timedOut = true; l.Stop() })
	must(t, l.Run(func(Nanos) {
		l.SkipNextWait()
		if condition() {
			l.Stop()
		}
	}))
	l.CancelTimer(&deadline)
	l.stopped.Store(false)
	if timedOut {
		t.Fatalf("the condition did not hold within %v", testTimeout)
	}
}
