package eventloop

import (
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// Listener accepts connections.
type Listener struct {
	loop        *Loop
	fd          int
	addr        netip.AddrPort
	onAccept    func(c *Conn, from netip.AddrPort) Handler
	accept4     func(fd, flags int) (int, unix.Sockaddr, error) // accept4; a test may stand in for it
	resumeTimer Timer

	// In a world:
	acceptPaused bool
	pendingDials []*Conn // that dialed while it was held
}

// Listen opens a listener; port 0 takes any. accept is called for each new connection and gives its handler,
// or nil to close it at once. With share, several processes may listen on the port.
func (l *Loop) Listen(at netip.AddrPort, share bool, accept func(c *Conn, from netip.AddrPort) Handler) (*Listener, error) {
	if l.network != nil {
		return l.listenSimulated(at, accept)
	}
	fd, err := newSocket(at)
	if err != nil {
		return nil, err
	}
	fail := func(what string, err error) (*Listener, error) {
		unix.Close(fd)
		return nil, fmt.Errorf("listen on %s: %w", at, os.NewSyscallError(what, err))
	}
	unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	if share {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err != nil {
			return fail("setsockopt", err)
		}
	}
	if err := unix.Bind(fd, sockaddr(at)); err != nil {
		return fail("bind", err)
	}
	if err := unix.Listen(fd, listenBacklog); err != nil {
		return fail("listen", err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return fail("getsockname", err)
	}
	ln := &Listener{loop: l, fd: fd, addr: addrPort(bound), onAccept: accept, accept4: unix.Accept4}
	if err := l.register(fd, unix.EPOLLIN, ln); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return ln, nil
}

// Addr is where it listens.
func (ln *Listener) Addr() netip.AddrPort { return ln.addr }

// Close stops listening; connections already accepted stay.
func (ln *Listener) Close() {
	if w := ln.loop.network; w != nil {
		if w.listeners[ln.addr] == ln {
			delete(w.listeners, ln.addr)
		}
		return
	}
	if ln.fd >= 0 {
		ln.loop.CancelTimer(&ln.resumeTimer)
		ln.loop.unregister(ln.fd)
		unix.Close(ln.fd)
		ln.fd = -1
	}
}

// SetAcceptPaused has connections wait in the kernel's queue, or takes them again.
func (ln *Listener) SetAcceptPaused(paused bool) {
	if ln.loop.network != nil {
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

// AcceptPendingAndClose accepts whoever waits, and stops listening.
func (ln *Listener) AcceptPendingAndClose() {
	switch {
	case ln.loop.network != nil:
		ln.acceptPendingSimulated()
	case ln.fd >= 0:
		ln.acceptPending(listenBacklog)
	}
	ln.Close()
}

func (ln *Listener) handleEvents(*Loop, uint32) { ln.acceptPending(maxAcceptsPerIteration) }

// acceptPending accepts connections that wait, a bounded number of them.
func (ln *Listener) acceptPending(limit int) {
	l := ln.loop
	for range limit {
		fd, from, err := ln.accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EINTR, unix.ECONNABORTED:
			continue
		case unix.EMFILE:
			ln.closeOnePending()
			return
		case unix.ENFILE, unix.ENOBUFS, unix.ENOMEM: // the machine's want, which may be over in a moment: whoever waits goes on waiting
			ln.pauseAccepting()
			return
		default: // EAGAIN: nobody waits
			return
		}
		c := newConn(l, fd)
		if c.handler = ln.onAccept(c, addrPort(from)); c.handler == nil {
			unix.Close(fd)
			continue
		}
		if err := l.register(fd, unix.EPOLLIN|unix.EPOLLRDHUP, c); err != nil {
			c.terminate(err)
			continue
		}
		l.connCount++
		c.counted = true
		c.handler.Opened(l.now)
		if ln.fd < 0 {
			return
		}
	}
}

// closeOnePending closes one waiting connection with the spare descriptor, so that its client learns at once, and rests.
func (ln *Listener) closeOnePending() {
	l := ln.loop
	if l.spareFD >= 0 {
		unix.Close(l.spareFD)
	}
	if fd, _, err := ln.accept4(ln.fd, unix.SOCK_CLOEXEC); err == nil {
		unix.Close(fd)
	}
	l.spareFD, _ = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	ln.pauseAccepting()
}

// pauseAccepting has the listener rest for a while: one that is left ready would spin the loop.
func (ln *Listener) pauseAccepting() {
	l := ln.loop
	l.acceptPauseCount++
	l.setInterest(ln.fd, 0)
	l.SetTimer(&ln.resumeTimer, l.now+int64(acceptPause), func(Nanos) { l.setInterest(ln.fd, unix.EPOLLIN) })
}

func newSocket(at netip.AddrPort) (int, error) {
	family := unix.AF_INET
	if at.Addr().Is6() && !at.Addr().Is4In6() {
		family = unix.AF_INET6
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, os.NewSyscallError("socket", err)
	}
	return fd, nil
}

func sockaddr(at netip.AddrPort) unix.Sockaddr {
	if a := at.Addr().Unmap(); a.Is4() {
		return &unix.SockaddrInet4{Port: int(at.Port()), Addr: a.As4()}
	}
	return &unix.SockaddrInet6{Port: int(at.Port()), Addr: at.Addr().As16()}
}

func addrPort(sa unix.Sockaddr) netip.AddrPort {
	switch a := sa.(type) {
	case *unix.SockaddrInet4:
		return netip.AddrPortFrom(netip.AddrFrom4(a.Addr), uint16(a.Port))
	case *unix.SockaddrInet6:
		return netip.AddrPortFrom(netip.AddrFrom16(a.Addr), uint16(a.Port))
	}
	return netip.AddrPort{}
}
