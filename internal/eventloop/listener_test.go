package eventloop

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestOutOfDescriptors checks that, with no descriptor left, a pending connection is closed at once and the loop does
// not spin, and that the loop accepts again once descriptors are free.
func TestOutOfDescriptors(t *testing.T) {
	l, onLoop := startLoop(t)
	var accepted atomic.Int64
	ln := listen(t, l, onLoop, func(c *Conn) Handler { accepted.Add(1); return &connRecorder{conn: c} })
	listenAddress := ln.Addr().String()
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	client, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(client)
	// Lower the limit and use all descriptors up to it.
	low := limit
	low.Cur = uint64(client) + 8
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &low); err != nil {
		t.Fatal(err)
	}
	var duplicates []int
	for {
		fd, err := unix.Dup(client)
		if err != nil {
			break
		}
		duplicates = append(duplicates, fd)
	}
	closeDuplicates := func() {
		for _, fd := range duplicates {
			unix.Close(fd)
		}
		duplicates = nil
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			t.Error(err)
		}
	}
	defer closeDuplicates()
	address := netip.MustParseAddrPort(listenAddress)
	if err := unix.Connect(client, sockaddr(address)); err != nil {
		t.Fatal(err)
	}
	must(t, unix.SetsockoptTimeval(client, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 5}))
	var b [1]byte
	if n, err := unix.Read(client, b[:]); n > 0 || err == unix.EAGAIN {
		t.Errorf("read %d bytes, error %v, want the connection closed at once", n, err)
	}
	waitUntil(t, onLoop, "accepting paused", func() bool { return l.AcceptPauseCount() > 0 })
	time.Sleep(120 * time.Millisecond)
	var pauses uint64
	onLoop(func() { pauses = l.AcceptPauseCount() })
	if pauses > 10 {
		t.Errorf("accepting was paused %d times in 120 ms: the loop spins", pauses)
	}
	closeDuplicates()
	c, err := net.DialTimeout("tcp", listenAddress, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	waitUntil(t, onLoop, "accepted again", func() bool { return accepted.Load() > 0 })
}

// TestPauseOutlastsShortage guards against accepting that was paused on purpose and is resumed by the end of a pause
// for lack of descriptors.
func TestPauseOutlastsShortage(t *testing.T) {
	l, onLoop := startLoop(t)
	var accepted atomic.Int64
	ln := listen(t, l, onLoop, func(c *Conn) Handler { accepted.Add(1); return &connRecorder{conn: c} })
	calls := 0
	onLoop(func() {
		ln.accept4 = func(fd, flags int) (int, unix.Sockaddr, error) {
			if calls++; calls == 1 {
				ln.SetAcceptPaused(true) // between the shortage and its end
				return -1, nil, unix.ENFILE
			}
			return unix.Accept4(fd, flags)
		}
	})
	c, err := net.DialTimeout("tcp", ln.Addr().String(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	waitUntil(t, onLoop, "accepting paused", func() bool { return l.AcceptPauseCount() == 1 })
	ended := make(chan struct{})
	onLoop(func() { // runs after the timer that ends the pause, which was set earlier for the same time
		var timer Timer
		l.SetTimer(&timer, ln.resumeTimer.due+1, func(Nanos) { close(ended) })
	})
	<-ended
	onLoop(func() {})
	onLoop(func() {})
	if n := accepted.Load(); n > 0 {
		t.Errorf("%d connections accepted while accepting is paused", n)
	}
	onLoop(func() { ln.SetAcceptPaused(false) })
	waitUntil(t, onLoop, "accepted", func() bool { return accepted.Load() == 1 })
}

// TestAcceptAfterTransientError checks that a pending connection is accepted, not closed, after accept has failed once
// with an error other than that the process has no descriptor left.
func TestAcceptAfterTransientError(t *testing.T) {
	for _, firstErr := range []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EPROTO} {
		t.Run(firstErr.Error(), func(t *testing.T) {
			l, onLoop := startLoop(t)
			var accepted atomic.Int64
			ln := listen(t, l, onLoop, func(c *Conn) Handler { accepted.Add(1); return &connRecorder{conn: c} })
			calls := 0
			onLoop(func() {
				ln.accept4 = func(fd, flags int) (int, unix.Sockaddr, error) {
					if calls++; calls == 1 {
						return -1, nil, firstErr
					}
					return unix.Accept4(fd, flags)
				}
			})
			c, err := net.DialTimeout("tcp", ln.Addr().String(), 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			waitUntil(t, onLoop, "accepted", func() bool { return accepted.Load() == 1 })
		})
	}
}
