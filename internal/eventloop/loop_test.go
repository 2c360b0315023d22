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

// busyLoop is a running loop with connections whose events take long to be handled.
type busyLoop struct {
	loop    *Loop
	onLoop  func(func())
	clients []net.Conn
	handled int // events of the connections; only the loop's goroutine may access it
	// closedAfter is how many events had been handled when the last connection closed; -1 = it has not.
	closedAfter int
}

const (
	busyConns    = 30
	busyWorkTime = 10 * time.Millisecond // of one event
	// maxHandledMeanwhile is how many events may be handled while something else is due: those of an iteration.
	maxHandledMeanwhile = 3
)

// startBusyLoop starts a loop with busyConns connections, and one more that is not busy.
func startBusyLoop(t *testing.T) *busyLoop {
	t.Helper()
	b := &busyLoop{closedAfter: -1}
	b.loop, b.onLoop = startLoop(t)
	accepted := 0
	ln := listen(t, b.loop, b.onLoop, func(c *Conn) Handler {
		accepted++
		return &busyHandler{connRecorder: connRecorder{conn: c}, loop: b}
	})
	for range busyConns + 1 {
		client, err := net.Dial("tcp", ln.Addr().String())
		must(t, err)
		t.Cleanup(func() { client.Close() })
		b.clients = append(b.clients, client)
	}
	waitUntil(t, b.onLoop, "all connections are accepted", func() bool { return accepted == len(b.clients) })
	return b
}

// makeBusy lets input of all busy connections arrive in one iteration, and then calls then on the loop.
func (b *busyLoop) makeBusy(t *testing.T, then func()) {
	t.Helper()
	b.onLoop(func() {
		for _, client := range b.clients[:busyConns] {
			_, err := client.Write([]byte("x"))
			must(t, err)
		}
		then()
	})
}

// busyHandler takes busyWorkTime for each event.
type busyHandler struct {
	connRecorder
	loop *busyLoop
}

func (h *busyHandler) Received(Nanos, []byte) {
	h.loop.handled++
	time.Sleep(busyWorkTime)
}

func (h *busyHandler) PeerHalfClosed(Nanos) { h.loop.closedAfter = h.loop.handled }

// TestBusyConnectionsDelayNoTimer guards against an iteration that handles all events of many busy connections before
// timers, decisions and output get their turn.
func TestBusyConnectionsDelayNoTimer(t *testing.T) {
	b := startBusyLoop(t)
	var timer Timer
	handledAtTimer := -1
	b.makeBusy(t, func() {
		b.loop.SetTimer(&timer, b.loop.Now()+1, func(Nanos) { handledAtTimer = b.handled })
	})
	waitUntil(t, b.onLoop, "all input is handled", func() bool { return b.handled == busyConns && handledAtTimer >= 0 })
	if handledAtTimer > maxHandledMeanwhile {
		t.Errorf("the timer fired after %d of %d events, want at most %d", handledAtTimer, busyConns, maxHandledMeanwhile)
	}
}

// TestBusyConnectionsHideNoClose guards against decisions for a peer that has left, whose close waits behind the events
// of busy connections.
func TestBusyConnectionsHideNoClose(t *testing.T) {
	for name, wait := range map[string]time.Duration{"with the events": 0, "while they are handled": 3 * busyWorkTime} {
		t.Run(name, func(t *testing.T) {
			b := startBusyLoop(t)
			leaving, handledAtClose := b.clients[busyConns], 0
			b.makeBusy(t, func() {
				time.AfterFunc(wait, func() { leaving.Close() })
				handledAtClose = int(wait / busyWorkTime)
				time.Sleep(busyWorkTime) // the first close is there when the events are
			})
			late := 0
			waitUntil(t, b.onLoop, "the close is noticed", func() bool {
				late = b.closedAfter - handledAtClose
				return b.closedAfter >= 0
			})
			if late > maxHandledMeanwhile {
				t.Errorf("the close was noticed after %d more events, want at most %d", late, maxHandledMeanwhile)
			}
		})
	}
}
