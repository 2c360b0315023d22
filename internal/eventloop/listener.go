package eventloop

import (
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// Listener accepts connections.
type Listener struct {
	l      *Loop
	fd     int
	addr   netip.AddrPort
	accept func(c *Conn, from netip.AddrPort) Handler
	system func(fd, flags int) (int, unix.Sockaddr, error) // accept4; a test may stand in for it
	rest   Timer

	// In a world:
	held    bool
	waiting []*Conn // that dialed while it was held
}

// Listen opens a listener; port 0 takes any. accept is called for each new connection and gives its handler,
// or nil to close it at once. With share, several processes may listen on the port.
func (l *Loop) Listen(at netip.AddrPort, share bool, accept func(c *Conn, from netip.AddrPort) Handler) (*Listener, error) {
	if l.world != nil {
		return l.simListen(at, accept)
	}
	fd, err := socket(at)
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
	if err := unix.Listen(fd, backlog); err != nil {
		return fail("listen", err)
	}
	bound, err := unix.Getsockname(fd)
	if err != nil {
		return fail("getsockname", err)
	}
	ln := &Listener{l: l, fd: fd, addr: addrPort(bound), accept: accept, system: unix.Accept4}
	if err := l.watch(fd, unix.EPOLLIN, ln); err != nil {
		unix.Close(fd)
		return nil, err
	}
	return ln, nil
}

// Addr is where it listens.
func (ln *Listener) Addr() netip.AddrPort { return ln.addr }

// Close stops listening; connections already accepted stay.
func (ln *Listener) Close() {
	if w := ln.l.world; w != nil {
		if w.listeners[ln.addr] == ln {
			delete(w.listeners, ln.addr)
		}
		return
	}
	if ln.fd >= 0 {
		ln.l.Cancel(&ln.rest)
		ln.l.unwatch(ln.fd)
		unix.Close(ln.fd)
		ln.fd = -1
	}
}

// Hold has connections wait in the kernel's queue, or takes them again.
func (ln *Listener) Hold(yes bool) {
	if ln.l.world != nil {
		ln.simHold(yes)
		return
	}
	if ln.fd < 0 {
		return
	}
	events := uint32(unix.EPOLLIN)
	if yes {
		events = 0
	}
	ln.l.rewatch(ln.fd, events)
}

// Finish accepts whoever waits, and stops listening.
func (ln *Listener) Finish() {
	switch {
	case ln.l.world != nil:
		ln.simFinish()
	case ln.fd >= 0:
		ln.take(backlog)
	}
	ln.Close()
}

func (ln *Listener) ready(*Loop, uint32) { ln.take(acceptTurn) }

// take accepts connections that wait, a bounded number of them.
func (ln *Listener) take(most int) {
	l := ln.l
	for range most {
		fd, from, err := ln.system(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EINTR, unix.ECONNABORTED:
			continue
		case unix.EMFILE:
			ln.shed()
			return
		case unix.ENFILE, unix.ENOBUFS, unix.ENOMEM: // the machine's want, which may be over in a moment: whoever waits goes on waiting
			ln.pause()
			return
		default: // EAGAIN: nobody waits
			return
		}
		c := newConn(l, fd)
		if c.handler = ln.accept(c, addrPort(from)); c.handler == nil {
			unix.Close(fd)
			continue
		}
		if err := l.watch(fd, unix.EPOLLIN|unix.EPOLLRDHUP, c); err != nil {
			c.die(err)
			continue
		}
		l.conns++
		c.counted = true
		c.handler.Opened(l.now)
		if ln.fd < 0 {
			return
		}
	}
}

// shed closes one waiting connection with the spare descriptor, so that its client learns at once, and rests.
func (ln *Listener) shed() {
	l := ln.l
	if l.spare >= 0 {
		unix.Close(l.spare)
	}
	if fd, _, err := ln.system(ln.fd, unix.SOCK_CLOEXEC); err == nil {
		unix.Close(fd)
	}
	l.spare, _ = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
	ln.pause()
}

// pause has the listener rest for a while: one that is left ready would spin the loop.
func (ln *Listener) pause() {
	l := ln.l
	l.rests++
	l.rewatch(ln.fd, 0)
	l.At(&ln.rest, l.now+int64(acceptRest), func(Nanos) { l.rewatch(ln.fd, unix.EPOLLIN) })
}

func socket(at netip.AddrPort) (int, error) {
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
