package eventloop

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// A connection that ends is reported before the iteration function of the same iteration.
func TestClosedBeforeIterationFunction(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	late, closed := 0, 0
	here, there := &recordingPeer{}, &recordingPeer{}
	ln, err := l.Listen(anyPort, false, func(c *Conn, _ netip.AddrPort) Handler {
		here.conn = c
		here.onReceived = func([]byte) { c.Close() }
		return here
	})
	if err != nil {
		t.Fatal(err)
	}
	if there.conn, err = l.Dial(ln.Addr(), int64(time.Second), there); err != nil {
		t.Fatal(err)
	}
	there.conn.Write([]byte("x"))
	var deadline Timer
	l.SetTimer(&deadline, int64(5*time.Second), func(Nanos) { l.Stop() })
	must(t, l.Run(func(Nanos) {
		late += len(l.closedConns)
		if closed += here.closed; closed > 0 {
			l.Stop()
		}
	}))
	if closed == 0 || late > 0 {
		t.Errorf("%d ends were reported, %d had not been when the iteration function was called", closed, late)
	}
}

// A loop with nothing to do iterates now and then: a garbage collection that stops all goroutines may have to wait for
// it.
func TestWaitIsBounded(t *testing.T) {
	l, err := New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	if got := l.waitMillis(); got != 100 {
		t.Errorf("without timers it waits %d ms, want 100", got)
	}
	var timer Timer
	l.SetTimer(&timer, l.ReadClock()+3600e9, func(Nanos) {})
	if got := l.waitMillis(); got != 100 {
		t.Errorf("with a timer far off it waits %d ms, want 100", got)
	}
	l.SetTimer(&timer, l.ReadClock(), func(Nanos) {})
	if got := l.waitMillis(); got != 0 {
		t.Errorf("with a timer due it waits %d ms, want 0", got)
	}
}

// An event that epoll reported for a descriptor closed earlier in the iteration does not reach the connection that was
// given the descriptor next, which would be taken for connected.
func TestDescriptorReusedWithinIteration(t *testing.T) {
	// The queue of this listener is filled, so that connections to it are never made.
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

	first, second, dialed := &recordingPeer{}, &recordingPeer{}, &recordingPeer{}
	l, ends := acceptPeers(t, first, second)
	closeAndDial := func(other *recordingPeer) func([]byte) {
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
				t.Fatalf("descriptor %d, want %d again", dialed.conn.fd, fd)
			}
		}
	}
	// Whichever event comes first closes the other connection.
	first.onReceived, second.onReceived = closeAndDial(second), closeAndDial(first)
	for _, p := range []*recordingPeer{first, second} { // both are blocked, so that epoll reports when they may write
		p.conn.Write(make([]byte, 16<<20))
	}
	runUntil(t, l, func() bool { return first.conn.WriteBlocked() && second.conn.WriteBlocked() })
	for _, c := range ends {
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
	for _, p := range []*recordingPeer{first, second} { // both events of both are there when the loop iterates
		const both = unix.POLLIN | unix.POLLOUT
		for fds := []unix.PollFd{{Fd: int32(p.conn.fd), Events: both}}; fds[0].Revents&both != both; {
			_, _ = unix.Poll(fds, 1000) // may be interrupted; only Revents counts
		}
	}
	runUntil(t, l, func() bool { return dialed.conn != nil })
	iterations := 0
	runUntil(t, l, func() bool { iterations++; return iterations > 3 })
	if dialed.opened > 0 {
		t.Error("a connection that is being made was reported as open")
	}
}
