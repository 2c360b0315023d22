package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// Dial begins a connection to an address. The handler's Opened reports that it is made. If it is not, Closed reports
// why: os.ErrDeadlineExceeded if it was not made within the timeout, otherwise the error of the connect call. Dial
// returns an error if the connection could not even begin because this machine is short of something, such as
// descriptors or ports.
func (l *Loop) Dial(address netip.AddrPort, timeout Nanos, handler Handler) (*Conn, error) {
	if l.isSimulated() {
		return l.dialSimulated(address, timeout, handler)
	}
	fd, err := newSocket(address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	err = unix.Connect(fd, sockaddr(address))
	c := newConn(l, fd)
	c.handler, c.connecting, c.interest = handler, true, unix.EPOLLOUT
	switch {
	case err == nil || errors.Is(err, unix.EINPROGRESS):
	case isPeerConnectError(err):
		c.terminate(os.NewSyscallError("connect", err))
		return c, nil
	default:
		unix.Close(fd)
		return nil, fmt.Errorf("connect to %s: %w", address, os.NewSyscallError("connect", err))
	}
	if err := l.register(fd, c.interest, c); err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.addConn(c)
	c.startConnectTimer(timeout)
	return c, nil
}

// isPeerConnectError reports whether an error of connect says something of the peer or of the way to it, rather than of
// this machine.
func isPeerConnectError(err error) bool {
	var errno unix.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case unix.ECONNREFUSED, unix.ECONNRESET, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT:
		return true
	default:
		return false
	}
}

// startConnectTimer ends the connection if it is not made within the timeout.
func (c *Conn) startConnectTimer(timeout Nanos) {
	c.loop.SetTimer(&c.connectTimer, c.loop.now+timeout, func(Nanos) { c.terminate(os.ErrDeadlineExceeded) })
}

// handleConnectEvents finishes a connection under way if it is made or has failed.
func (c *Conn) handleConnectEvents(events uint32) {
	code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
	if err == nil && code != 0 {
		err = unix.Errno(code)
	}
	if err != nil {
		c.terminate(os.NewSyscallError("connect", err))
		return
	}
	if events&unix.EPOLLOUT == 0 {
		return
	}
	c.loop.CancelTimer(&c.connectTimer)
	c.connecting, c.interest = false, 0
	c.updateInterest()
	c.notifyOpened()
}

// notifyOpened notifies the handler of a dialed connection that it is made, and queues the output written meanwhile.
func (c *Conn) notifyOpened() {
	c.handler.Opened(c.loop.now)
	if c.fd >= 0 {
		c.queueFlush()
	}
}
