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

// TestRefusedConnect checks that Closed reports ECONNREFUSED when no one listens on the address.
func TestRefusedConnect(t *testing.T) {
	l, onLoop := startLoop(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	to := netip.MustParseAddrPort(ln.Addr().String())
	ln.Close()
	p := &connRecorder{}
	onLoop(func() {
		if _, err := l.Dial(to, int64(time.Second), p); err != nil {
			t.Error(err)
		}
	})
	waitUntil(t, onLoop, "refusal reported", func() bool { return p.closed == 1 })
	onLoop(func() {
		if !errors.Is(p.err, unix.ECONNREFUSED) || p.opened != 0 {
			t.Errorf("opened %d times, closed with %v, want ECONNREFUSED", p.opened, p.err)
		}
	})
}

// TestImmediateConnectError checks that an error that the connect call itself returns is reported by Closed, like a
// later one, and that Dial does not return it as an error of this machine.
func TestImmediateConnectError(t *testing.T) {
	l, onLoop := startLoop(t)
	p := &connRecorder{}
	broadcast := netip.MustParseAddrPort("127.255.255.255:9") // the connect call itself fails
	onLoop(func() {
		c, err := l.Dial(broadcast, int64(time.Second), p)
		if err != nil {
			t.Error(err)
			return
		}
		if c.IsOpen() || p.closed != 0 {
			t.Errorf("open %v, Closed called %d times within Dial, want false and 0", c.IsOpen(), p.closed)
		}
	})
	waitUntil(t, onLoop, "error reported", func() bool { return p.closed == 1 })
	onLoop(func() {
		if !errors.Is(p.err, unix.ENETUNREACH) || p.opened != 0 {
			t.Errorf("opened %d times, closed with %v, want ENETUNREACH", p.opened, p.err)
		}
	})
}

// TestConnectTimeout checks that a dial to a listener whose queue is full fails after its timeout.
func TestConnectTimeout(t *testing.T) {
	l, onLoop := startLoop(t)
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
	var recorders []*connRecorder
	onLoop(func() {
		for range 8 {
			p := &connRecorder{}
			recorders = append(recorders, p)
			if _, err := l.Dial(to, int64(300*time.Millisecond), p); err != nil {
				t.Error(err)
			}
		}
	})
	waitUntil(t, onLoop, "a dial fails by timeout", func() bool {
		for _, p := range recorders {
			if errors.Is(p.err, os.ErrDeadlineExceeded) && p.opened == 0 {
				return true
			}
		}
		return false
	})
}
