package eventloop

import (
	"errors"
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// Dial starts a connection to an address. Handler.Opened reports that the connection is established. If that fails,
// Handler.Closed reports os.ErrDeadlineExceeded after the timeout, or the error of the connect call. Dial itself
// returns an error only if the attempt cannot start because this machine lacks a resource, such as descriptors or
// ports.
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
	l.countConn(c)
	c.startConnectTimer(timeout)
	return c, nil
}

// isPeerConnectError reports whether a connect error is caused by the peer or by the network path to it, rather than by
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

// startConnectTimer closes the connection if it is not established within the timeout.
func (c *Conn) startConnectTimer(timeout Nanos) {
	c.loop.SetTimer(&c.connectTimer, c.loop.now+timeout, func(Nanos) { c.terminate(os.ErrDeadlineExceeded) })
}

// handleConnectEvents handles the epoll events of a socket that is connecting.
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

// notifyOpened notifies the handler of a dialed connection that it is established, and schedules a flush of the output
// that was written while connecting.
func (c *Conn) notifyOpened() {
	c.handler.Opened(c.loop.now)
	if c.fd >= 0 {
		c.queueFlush()
	}
}
