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

	// listenBacklog is how many connections the kernel may queue until they are accepted.
	listenBacklog = 4096

	// acceptPause is how long a listener stops accepting after it ran out of descriptors or kernel memory.
	acceptPause = 50 * time.Millisecond
)

// AcceptFunc is called for each accepted connection. It returns the connection's handler, or nil to close the
// connection at once.
type AcceptFunc func(c *Conn, from netip.AddrPort) Handler

// Listener accepts connections on one address. Make it with Loop.Listen.
type Listener struct {
	loop     *Loop
	fd       int // -1 once the listener is closed
	addr     netip.AddrPort
	onAccept AcceptFunc
	accept4  func(fd, flags int) (int, unix.Sockaddr, error) // the system call, replaced by tests
	// resumeTimer is set while accepting is paused for lack of descriptors or kernel memory.
	resumeTimer Timer
	isPaused    bool // SetAcceptPaused has paused accepting

	sim simulatedListener
}

// Listen opens a listener on an address. Port 0 selects any free port. With reusePort, several processes may listen on
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

// listenOn makes a socket listen on an address. It returns the bound address, with the port that the system chose.
func listenOn(fd int, address netip.AddrPort, reusePort bool) (netip.AddrPort, error) {
	_ = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1) // a failure shows up as an error of bind
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

// Addr returns the address that the listener is bound to.
func (ln *Listener) Addr() netip.AddrPort { return ln.addr }

// Close stops listening. Accepted connections stay open; pending ones are lost.
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

// SetAcceptPaused pauses or resumes accepting. While it is paused, new connections wait in the kernel's queue.
func (ln *Listener) SetAcceptPaused(paused bool) {
	if ln.loop.isSimulated() {
		ln.setAcceptPausedSimulated(paused)
		return
	}
	if ln.fd < 0 {
		return
	}
	ln.isPaused = paused
	ln.updateInterest()
}

// updateInterest makes the loop report pending connections unless accepting is paused for one reason or the other.
func (ln *Listener) updateInterest() {
	events := uint32(unix.EPOLLIN)
	if ln.isPaused || ln.resumeTimer.IsSet() {
		events = 0
	}
	ln.loop.setInterest(ln.fd, events)
}

// AcceptPendingAndClose accepts the pending connections and stops listening.
func (ln *Listener) AcceptPendingAndClose() {
	switch {
	case ln.loop.isSimulated():
		ln.acceptPendingSimulated()
	case ln.fd >= 0:
		ln.acceptPending(listenBacklog)
	}
	ln.Close()
}

// handleEvents accepts pending connections.
func (ln *Listener) handleEvents(*Loop, uint32) { ln.acceptPending(maxAcceptsPerIteration) }

// acceptPending accepts at most limit pending connections.
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
			// The machine lacks descriptors or memory, perhaps only briefly: the connections stay pending.
			ln.pauseAccepting()
			return
		default: // EAGAIN: no connection is pending
			return
		}
		ln.accept(fd, addrPort(from))
		if ln.fd < 0 {
			return
		}
	}
}

// accept sets up an accepted socket with the handler that onAccept returns.
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
	ln.loop.countConn(c)
	c.handler.Opened(ln.loop.now)
}

// rejectOnePending pauses accepting because the process has no descriptor left. Before that it frees the spare
// descriptor to accept and close one connection, so that its client is not left waiting.
func (ln *Listener) rejectOnePending() {
	l := ln.loop
	if l.spareFD >= 0 {
		unix.Close(l.spareFD)
	}
	if fd, _, err := ln.accept4(ln.fd, unix.SOCK_CLOEXEC); err == nil {
		unix.Close(fd)
	}
	l.spareFD, _ = openSpareFD()
	ln.pauseAccepting()
}

// pauseAccepting stops accepting for acceptPause. Otherwise the loop would spin, as epoll keeps reporting a listener
// whose connections cannot be accepted.
func (ln *Listener) pauseAccepting() {
	l := ln.loop
	l.acceptPauseCount++
	l.SetTimer(&ln.resumeTimer, l.now+int64(acceptPause), func(Nanos) { ln.updateInterest() })
	ln.updateInterest()
}
