package eventloop

import (
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// With no descriptor left, a waiting client is closed at once, the loop does not spin, and it accepts again once there
// are descriptors.
func TestOutOfDescriptors(t *testing.T) {
	l, on := startLoop(t)
	var accepted atomic.Int64
	ln := listen(t, l, on, func(c *Conn) Handler { accepted.Add(1); return &recordingPeer{conn: c} })
	to := ln.Addr().String()
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	client, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(client)
	// Take every descriptor that is left under a low limit.
	low := limit
	low.Cur = uint64(client) + 8
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &low); err != nil {
		t.Fatal(err)
	}
	var taken []int
	for {
		fd, err := unix.Dup(client)
		if err != nil {
			break
		}
		taken = append(taken, fd)
	}
	free := func() {
		for _, fd := range taken {
			unix.Close(fd)
		}
		taken = nil
		if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
			t.Error(err)
		}
	}
	defer free()
	at := netip.MustParseAddrPort(to)
	if err := unix.Connect(client, sockaddr(at)); err != nil {
		t.Fatal(err)
	}
	must(t, unix.SetsockoptTimeval(client, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 5}))
	var b [1]byte
	if n, err := unix.Read(client, b[:]); n > 0 || err == unix.EAGAIN {
		t.Errorf("read %d, %v: want the connection closed at once", n, err)
	}
	waitUntil(t, on, "accepting is paused", func() bool { return l.AcceptPauseCount() > 0 })
	time.Sleep(120 * time.Millisecond)
	var pauses uint64
	on(func() { pauses = l.AcceptPauseCount() })
	if pauses > 10 {
		t.Errorf("accepting was paused %d times in 120 ms: the loop spins", pauses)
	}
	free()
	c, err := net.DialTimeout("tcp", to, 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	waitUntil(t, on, "accepted again", func() bool { return accepted.Load() > 0 })
}

// Where the machine, not the process, is short of something for a moment, a waiting client is accepted once that is
// over. No client is closed unread.
func TestAcceptFailsForAMoment(t *testing.T) {
	for _, want := range []unix.Errno{unix.ENFILE, unix.ENOBUFS, unix.ENOMEM, unix.ECONNABORTED, unix.EPROTO} {
		t.Run(want.Error(), func(t *testing.T) {
			l, on := startLoop(t)
			var accepted atomic.Int64
			ln := listen(t, l, on, func(c *Conn) Handler { accepted.Add(1); return &recordingPeer{conn: c} })
			calls := 0
			on(func() {
				ln.accept4 = func(fd, flags int) (int, unix.Sockaddr, error) {
					if calls++; calls == 1 {
						return -1, nil, want
					}
					return unix.Accept4(fd, flags)
				}
			})
			c, err := net.DialTimeout("tcp", ln.Addr().String(), 5*time.Second)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			waitUntil(t, on, "accepted", func() bool { return accepted.Load() == 1 })
		})
	}
}
