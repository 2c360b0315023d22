package eventloop

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestClosedBeforeIterationFunction checks that a closed connection is reported to its handler before the iteration
// function of the same iteration is called.
func TestClosedBeforeIterationFunction(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	unreported, closed := 0, 0
	acceptedSide, dialedSide := &connRecorder{}, &connRecorder{}
	ln, err := l.Listen(anyPort, false, func(c *Conn, _ netip.AddrPort) Handler {
		acceptedSide.conn = c
		acceptedSide.onReceived = func([]byte) { c.Close() }
		return acceptedSide
	})
	if err != nil {
		t.Fatal(err)
	}
	if dialedSide.conn, err = l.Dial(ln.Addr(), int64(time.Second), dialedSide); err != nil {
		t.Fatal(err)
	}
	dialedSide.conn.Write([]byte("x"))
	var deadline Timer
	l.SetTimer(&deadline, int64(5*time.Second), func(Nanos) { l.Stop() })
	must(t, l.Run(func(Nanos) {
		unreported += len(l.closedConns)
		if closed += acceptedSide.closed; closed > 0 {
			l.Stop()
		}
	}))
	if closed == 0 || unreported > 0 {
		t.Errorf("Closed was called %d times, and %d calls were missing when the iteration function ran", closed, unreported)
	}
}

// TestWaitIsBounded checks that an idle loop waits for at most maxWait, because a garbage collection may have to wait
// for it.
func TestWaitIsBounded(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if got := l.waitMillis(); got != 100 {
		t.Errorf("wait without timers is %d ms, want 100", got)
	}
	var timer Timer
	l.SetTimer(&timer, l.ReadClock()+3600e9, func(Nanos) {})
	if got := l.waitMillis(); got != 100 {
		t.Errorf("wait for a timer in an hour is %d ms, want 100", got)
	}
	l.SetTimer(&timer, l.ReadClock(), func(Nanos) {})
	if got := l.waitMillis(); got != 0 {
		t.Errorf("wait with a timer due is %d ms, want 0", got)
	}
}

// TestDescriptorReusedWithinIteration checks that an event of a connection closed earlier in the iteration does not
// reach a new connection on the same descriptor, which would wrongly be reported as established.
func TestDescriptorReusedWithinIteration(t *testing.T) {
	// The queue of this listener is full, so that connections to it are never established.
	full, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(full)
	if err := unix.Bind(full, sockaddr(anyPort)); err != nil {
		t.Fatal(err)
	}
	if err := unix.Listen(full, 0); err != nil {
		t.Fatal(err)
	}
	bound, _ := unix.Getsockname(full)
	filler, err := net.Dial("tcp", addrPort(bound).String())
	if err != nil {
		t.Fatal(err)
	}
	defer filler.Close()

	first, second, dialed := &connRecorder{}, &connRecorder{}, &connRecorder{}
	l, clients := acceptConns(t, first, second)
	closeAndDial := func(other *connRecorder) func([]byte) {
		return func([]byte) {
			if dialed.conn != nil {
				return
			}
			fd := other.conn.fd
			other.conn.Close()
			if dialed.conn, err = l.Dial(addrPort(bound), int64(time.Second), dialed); err != nil {
				t.Fatal(err)
			}
			if dialed.conn.fd != fd {
				t.Fatalf("descriptor %d, want %d reused", dialed.conn.fd, fd)
			}
		}
	}
	// The handler of the first event closes the other connection.
	first.onReceived, second.onReceived = closeAndDial(second), closeAndDial(first)
	for _, p := range []*connRecorder{first, second} { // write-blocked, so that epoll reports EPOLLOUT
		p.conn.Write(make([]byte, 16<<20))
	}
	runUntil(t, l, func() bool { return first.conn.WriteBlocked() && second.conn.WriteBlocked() })
	for _, c := range clients {
		_, err := c.Write([]byte("x"))
		must(t, err)
		go func() {
			var b [64 << 10]byte
			for {
				if _, err := c.Read(b[:]); err != nil {
					return
				}
			}
		}()
	}
	for _, p := range []*connRecorder{first, second} { // wait until both sockets are readable and writable
		const readWrite = unix.POLLIN | unix.POLLOUT
		for fds := []unix.PollFd{{Fd: int32(p.conn.fd), Events: readWrite}}; fds[0].Revents&readWrite != readWrite; {
			_, _ = unix.Poll(fds, 1000) // an interrupted call is repeated
		}
	}
	runUntil(t, l, func() bool { return dialed.conn != nil })
	iterations := 0
	runUntil(t, l, func() bool { iterations++; return iterations > 3 })
	if dialed.opened > 0 {
		t.Error("Opened was called for a connection that is not established")
	}
}

// TestBusyConnectionsDelayNoTimer guards against an iteration that handles all events of many busy connections before
// timers, decisions and output get their turn.
func TestBusyConnectionsDelayNoTimer(t *testing.T) {
	const (
		conns    = 30
		workTime = 10 * time.Millisecond // of one event
		// maxHandled is how many events may be handled while the timer is due: those of one iteration of limited length.
		maxHandled = 3
	)
	l, onLoop := startLoop(t)
	handled, accepted := 0, 0
	ln := listen(t, l, onLoop, func(c *Conn) Handler {
		accepted++
		return &connRecorder{conn: c, onReceived: func([]byte) { handled++; time.Sleep(workTime) }}
	})
	var clients []net.Conn
	for range conns {
		client, err := net.Dial("tcp", ln.Addr().String())
		must(t, err)
		defer client.Close()
		clients = append(clients, client)
	}
	waitUntil(t, onLoop, "all connections are accepted", func() bool { return accepted == conns })
	var timer Timer
	handledAtTimer := -1
	onLoop(func() { // while it runs, all input arrives
		for _, client := range clients {
			_, err := client.Write([]byte("x"))
			must(t, err)
		}
		l.SetTimer(&timer, l.Now()+1, func(Nanos) { handledAtTimer = handled })
	})
	waitUntil(t, onLoop, "all input is handled", func() bool { return handled == conns && handledAtTimer >= 0 })
	onLoop(func() {
		if handledAtTimer > maxHandled {
			t.Errorf("the timer fired after %d of %d events, want at most %d", handledAtTimer, conns, maxHandled)
		}
	})
}
