package eventloop

import (
	"errors"
	"net"
	"net/netip"
	"os"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestRefusedConnect(t *testing.T) {
	l, on := startLoop(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	to := netip.MustParseAddrPort(ln.Addr().String())
	ln.Close()
	p := &recordingPeer{}
	on(func() {
		if _, err := l.Dial(to, int64(time.Second), p); err != nil {
			t.Error(err)
		}
	})
	waitUntil(t, on, "the refusal is reported", func() bool { return p.closed == 1 })
	on(func() {
		if !errors.Is(p.err, unix.ECONNREFUSED) || p.opened != 0 {
			t.Errorf("opened %d times, closed with %v, want ECONNREFUSED", p.opened, p.err)
		}
	})
}

// An error that the system reports at once, before any packet is sent, ends the connection like one that it reports
// later: the caller learns from Closed that the peer cannot be reached, and does not take it for a fault of its own
// machine.
func TestUnreachableAtOnce(t *testing.T) {
	l, on := startLoop(t)
	p := &recordingPeer{}
	broadcast := netip.MustParseAddrPort("127.255.255.255:9") // the connect call itself fails
	on(func() {
		c, err := l.Dial(broadcast, int64(time.Second), p)
		if err != nil {
			t.Error(err)
			return
		}
		if c.IsOpen() || p.closed != 0 {
			t.Errorf("open %v, closed reported %d times within the call", c.IsOpen(), p.closed)
		}
	})
	waitUntil(t, on, "the error is reported", func() bool { return p.closed == 1 })
	on(func() {
		if !errors.Is(p.err, unix.ENETUNREACH) || p.opened != 0 {
			t.Errorf("opened %d times, closed with %v, want ENETUNREACH", p.opened, p.err)
		}
	})
}

// A connection to a listener whose queue is full ends by its timeout.
func TestConnectTimeout(t *testing.T) {
	l, on := startLoop(t)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer unix.Close(fd)
	must(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	must(t, unix.Listen(fd, 0))
	sa, err := unix.Getsockname(fd)
	must(t, err)
	to := addrPort(sa)
	var peers []*recordingPeer
	on(func() {
		for range 8 {
			p := &recordingPeer{}
			peers = append(peers, p)
			if _, err := l.Dial(to, int64(300*time.Millisecond), p); err != nil {
				t.Error(err)
			}
		}
	})
	waitUntil(t, on, "a connection ends by its timeout", func() bool {
		for _, p := range peers {
			if errors.Is(p.err, os.ErrDeadlineExceeded) && p.opened == 0 {
				return true
			}
		}
		return false
	})
}
