package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxAcceptsPerIteration is how many connections a listener accepts in one iteration.
	maxAcceptsPerIteration = 64

	// listenBacklog is how many connections may wait to be accepted.
	listenBacklog = 4096

	// acceptPause is how long a listener pauses when the process or the machine is short of something.
	acceptPause = 50 * time.Millisecond
)

// AcceptFunc is called for each new connection. It returns the connection's handler, or nil to close it at once.
type AcceptFunc func(c *Conn, from netip.AddrPort) Handler

// Listener accepts connections on one address. Make it with Loop.Listen.
type Listener struct {
	loop        *Loop
	fd          int // -1 once the listener is closed
	addr        netip.AddrPort
	onAccept    AcceptFunc
	accept4     func(fd, flags int) (int, unix.Sockaddr, error) // the system call; tests replace it
	resumeTimer Timer

	sim simulatedListener
}

// Listen opens a listener on an address; port 0 takes any free port. With reusePort, several processes may listen on
// the same port.
func (l *Loop) Listen(address netip.AddrPort, reusePort bool, onAccept AcceptFunc) (*Listener, error) {
	if l.isSimulated() {
		return l.listenSimulated(address, onAccept)
	}
	fd, err := newSocket(address)
	if err != nil {
		return nil, err
	}
	bound, err := listenOn(fd, address, reusePort)
	if err != nil {
		unix.Close(fd)
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	ln := &Listener{loop: l, fd: fd, addr: bound, onAccept: onAccept, accept4: unix.Accept4}
	if err := l.register(fd, unix.EPOLLIN, ln); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return ln, nil
}

// listenOn makes a socket listen on an address and returns the address with the port that the system chose.
func listenOn(fd int, address netip.AddrPort, reusePort bool) (netip.AddrPort, error) {
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // bind reports an address that is in use
	if reusePort {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
			return netip.AddrPort{}, os.NewSyscallError("setsockopt", err)
		}
	}
	if err := unix.Bind(fd, sockaddr(address)); err != nil {
		return netip.AddrPort{}, os.NewSyscallError("bind", err)
	}
	if err := unix.Listen(fd, listenBacklog); err != nil {
		return netip.AddrPort{}, os.NewSyscallError("listen", err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return netip.AddrPort{}, os.NewSyscallError("getsockname", err)
	}
	return addrPort(bound), nil
}

// Addr returns the address on which the listener accepts.
func (ln *Listener) Addr() netip.AddrPort { return ln.addr }

// Close stops listening. Connections that are accepted already stay; those that wait are lost.
func (ln *Listener) Close() {
	if ln.loop.isSimulated() {
		ln.closeSimulated()
		return
	}
	if ln.fd >= 0 {
		ln.loop.CancelTimer(&ln.resumeTimer)
		ln.loop.unregister(ln.fd)
		unix.Close(ln.fd)
		ln.fd = -1
	}
}

// SetAcceptPaused makes new connections wait in the kernel's queue, or accepts them again.
func (ln *Listener) SetAcceptPaused(paused bool) {
	if ln.loop.isSimulated() {
		ln.setAcceptPausedSimulated(paused)
		return
	}
	if ln.fd < 0 {
		return
	}
	events := uint32(unix.EPOLLIN)
	if paused {
		events = 0
	}
	ln.loop.setInterest(ln.fd, events)
}

// AcceptPendingAndClose accepts the connections that wait and stops listening.
func (ln *Listener) AcceptPendingAndClose() {
	switch {
	case ln.loop.isSimulated():
		ln.acceptPendingSimulated()
	case ln.fd >= 0:
		ln.acceptPending(listenBacklog)
	}
	ln.Close()
}

// handleEvents accepts the connections that epoll reports.
func (ln *Listener) handleEvents(*Loop, uint32) { ln.acceptPending(maxAcceptsPerIteration) }

// acceptPending accepts at most limit connections that wait.
func (ln *Listener) acceptPending(limit int) {
	for range limit {
		fd, from, err := ln.accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch {
		case err == nil:
		case errors.Is(err, unix.EINTR), errors.Is(err, unix.ECONNABORTED):
			continue
		case errors.Is(err, unix.EMFILE):
			ln.rejectOnePending()
			return
		case errors.Is(err, unix.ENFILE), errors.Is(err, unix.ENOBUFS), errors.Is(err, unix.ENOMEM):
			// The whole machine is short, perhaps for a moment only: the clients go on waiting.
			ln.pauseAccepting()
			return
		default: // EAGAIN: no connection waits
			return
		}
		ln.accept(fd, addrPort(from))
		if ln.fd < 0 {
			return
		}
	}
}

// accept gives an accepted socket to the handler that onAccept returns.
func (ln *Listener) accept(fd int, from netip.AddrPort) {
	c := newConn(ln.loop, fd)
	if c.handler = ln.onAccept(c, from); c.handler == nil {
		unix.Close(fd)
		return
	}
	if err := ln.loop.register(fd, unix.EPOLLIN|unix.EPOLLRDHUP, c); err != nil {
		c.terminate(err)
		return
	}
	ln.loop.addConn(c)
	c.handler.Opened(ln.loop.now)
}

// rejectOnePending accepts and closes one connection with the spare descriptor, so that its client learns at once that
// the process has no descriptor left, and pauses accepting.
func (ln *Listener) rejectOnePending() {
	l := ln.loop
	if l.spareFD >= 0 {
		unix.Close(l.spareFD)
	}
	if fd, _, err := ln.accept4(ln.fd, unix.SOCK_CLOEXEC); err == nil {
		unix.Close(fd)
	}
	l.spareFD, _ = openSpare()
	ln.pauseAccepting()
}

// pauseAccepting stops accepting for a while: epoll would report a listener that cannot accept again and again.
func (ln *Listener) pauseAccepting() {
	l := ln.loop
	l.acceptPauseCount++
	l.setInterest(ln.fd, 0)
	l.SetTimer(&ln.resumeTimer, l.now+int64(acceptPause), func(Nanos) { l.setInterest(ln.fd, unix.EPOLLIN) })
}
