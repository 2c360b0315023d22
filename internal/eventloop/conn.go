package eventloop

import (
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// Conn is one connection. Output is queued by Write and written at the end of the turn.
type Conn struct {
	l          *Loop
	fd         int
	handler    Handler
	err        error
	out        []byte // queued; taken from the loop's pool while there is any
	sent       int    // of out, written already
	bound      int    // most bytes queued; 0 = no bound
	interest   uint32
	connecting bool
	dirty      bool
	counted    bool
	paused     bool
	endFirst   bool // the peer's end is told also while reading is paused
	closing    bool // to be closed once all is written
	ending     bool // its output is to be ended once all is written
	blocked    bool // the socket took less than there was
	reads      bool // the peer has not ended its half
	deadline   Timer

	// In a world:
	peer     *Conn
	made     uint64
	place    int
	lastSent Nanos
	flying   int // bytes that the peer has not taken
	inbox    []byte
	handed   bool
	mute     bool
	tap      Tap
}

func newConn(l *Loop, fd int) *Conn {
	unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
	return &Conn{l: l, fd: fd, interest: unix.EPOLLIN | unix.EPOLLRDHUP, reads: true}
}

// Dial begins a connection; the handler's Opened or Closed tells what became of it, the latter with
// os.ErrDeadlineExceeded if it was not made within the time. An error is returned if it could not even begin for want of
// something of this machine's own.
func (l *Loop) Dial(to netip.AddrPort, within Nanos, h Handler) (*Conn, error) {
	if l.world != nil {
		return l.simDial(to, within, h)
	}
	fd, err := socket(to)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", to, err)
	}
	err = unix.Connect(fd, sockaddr(to))
	c := newConn(l, fd)
	c.handler, c.connecting, c.interest = h, true, unix.EPOLLOUT
	switch err {
	case nil, unix.EINPROGRESS:
	case unix.ECONNREFUSED, unix.ECONNRESET, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT: // the peer's answer, at once
		c.die(os.NewSyscallError("connect", err))
		return c, nil
	default: // a want of ours, as of ports
		unix.Close(fd)
		return nil, fmt.Errorf("connect to %s: %w", to, os.NewSyscallError("connect", err))
	}
	if err := l.watch(fd, c.interest, c); err != nil {
		unix.Close(fd)
		return nil, err
	}
	l.conns++
	c.counted = true
	l.At(&c.deadline, l.now+within, func(Nanos) { c.die(os.ErrDeadlineExceeded) })
	return c, nil
}

// Bound sets how many bytes of output may be queued; at the bound the connection ends with ErrOutputBound.
func (c *Conn) Bound(n int) { c.bound = n }

// Queued is how many bytes of output wait.
func (c *Conn) Queued() int { return len(c.out) - c.sent }

// Blocked tells that the peer has not taken all that was written so far.
func (c *Conn) Blocked() bool { return c.blocked }

// Open tells that the connection is neither under way nor over.
func (c *Conn) Open() bool { return c.fd >= 0 && !c.connecting }

// Write queues bytes; it copies them.
func (c *Conn) Write(p []byte) {
	if c.fd < 0 || c.closing || c.ending || len(p) == 0 {
		return
	}
	if c.out == nil {
		c.out = c.l.pool.get()
	}
	c.out = append(c.out, p...)
	if c.bound > 0 && c.Queued() > c.bound {
		c.die(ErrOutputBound)
		return
	}
	c.touch()
}

func (c *Conn) touch() {
	if !c.dirty {
		c.dirty = true
		c.l.dirty = append(c.l.dirty, c)
	}
}

// Close ends the connection at once; queued output is lost.
func (c *Conn) Close() { c.die(nil) }

// CloseSoon ends the connection once all output is written.
func (c *Conn) CloseSoon() {
	if c.fd >= 0 {
		c.closing = true
		c.touch()
	}
}

// EndOutput ends the half of the connection that we write once all output is written; the peer may go on to send, and
// whoever has unread input closed on it would lose what we wrote.
func (c *Conn) EndOutput() {
	if c.fd >= 0 {
		c.ending = true
		c.touch()
	}
}

// Quiet tells that the peer has sent nothing that is not read yet, its end included.
func (c *Conn) Quiet() bool {
	if c.fd < 0 || c.connecting {
		return false
	}
	if c.l.world != nil {
		return len(c.inbox) == 0
	}
	var b [1]byte
	_, _, err := unix.Recvfrom(c.fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	return err == unix.EAGAIN
}

// EndFirst has the peer's end told while reading is paused, ahead of what it sent before and is not read yet: who asks and
// goes need not be read to the end.
func (c *Conn) EndFirst() { c.endFirst = true }

// Pause stops, or lets go on, reading from the peer.
func (c *Conn) Pause(yes bool) {
	if c.paused = yes; c.fd >= 0 && !c.connecting {
		c.setInterest()
	}
}

func (c *Conn) setInterest() {
	if c.l.world != nil {
		c.resume()
		return
	}
	want := uint32(0)
	if c.reads && !c.paused {
		want |= unix.EPOLLIN | unix.EPOLLRDHUP
	} else if c.reads && c.endFirst {
		want |= unix.EPOLLRDHUP
	}
	if c.blocked {
		want |= unix.EPOLLOUT
	}
	if want != c.interest {
		c.interest = want
		c.l.rewatch(c.fd, want)
	}
}

// die ends a connection; its handler is told at the end of the turn, never from inside its own call.
func (c *Conn) die(err error) {
	if c.fd < 0 {
		return
	}
	c.l.Cancel(&c.deadline)
	if c.l.world != nil {
		c.hang()
	} else {
		c.l.unwatch(c.fd)
		if err == ErrOutputBound { // what the peer did not take must not linger in the kernel
			unix.SetsockoptLinger(c.fd, unix.SOL_SOCKET, unix.SO_LINGER, &unix.Linger{Onoff: 1})
		}
		unix.Close(c.fd)
	}
	c.fd, c.err = -1, err
	c.l.pool.put(c.out)
	c.out, c.sent = nil, 0
	if c.counted {
		c.counted = false
		c.l.conns--
	}
	c.l.dead = append(c.l.dead, c)
}

func (c *Conn) ready(l *Loop, events uint32) {
	if c.connecting {
		code, err := unix.GetsockoptInt(c.fd, unix.SOL_SOCKET, unix.SO_ERROR)
		if err == nil && code != 0 {
			err = unix.Errno(code)
		}
		if err != nil {
			c.die(os.NewSyscallError("connect", err))
			return
		}
		if events&unix.EPOLLOUT == 0 {
			return
		}
		l.Cancel(&c.deadline)
		c.connecting, c.interest = false, 0
		c.setInterest()
		c.handler.Opened(l.now)
		if c.fd >= 0 {
			c.touch()
		}
		return
	}
	if events&unix.EPOLLOUT != 0 && c.fd >= 0 {
		c.flush()
	}
	if events&(unix.EPOLLIN|unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) == 0 || c.fd < 0 {
		return
	}
	if c.paused || !c.reads {
		switch {
		case events&(unix.EPOLLHUP|unix.EPOLLERR) != 0:
			c.die(unix.ECONNRESET)
		case events&unix.EPOLLRDHUP != 0 && c.reads && c.endFirst:
			c.reads = false
			c.setInterest()
			c.handler.PeerDone(l.now)
		}
		return
	}
	if events&unix.EPOLLRDHUP == 0 {
		c.read()
		return
	}
	for n := 0; n < readsToEnd && c.fd >= 0 && c.reads && !c.paused; n++ {
		if !c.read() {
			return
		}
	}
}

// read hands over what has come, a bounded part of it; false: there is no more.
func (c *Conn) read() bool {
	n, err := unix.Read(c.fd, c.l.buf)
	switch {
	case err == unix.EAGAIN || err == unix.EINTR:
		return false
	case err != nil:
		c.die(os.NewSyscallError("read", err))
		return false
	case n == 0:
		c.reads = false
		c.setInterest()
		c.handler.PeerDone(c.l.now)
		return false
	}
	c.handler.Data(c.l.now, c.l.buf[:n])
	return true
}

func (c *Conn) flush() {
	for c.l.world != nil && c.sent < len(c.out) {
		n := c.simFlush(c.out[c.sent:])
		c.sent += n
		if n == 0 {
			c.blocked = true
			c.compact()
			return
		}
	}
	for c.sent < len(c.out) {
		n, err := unix.Write(c.fd, c.out[c.sent:])
		if err == unix.EINTR {
			continue
		}
		if err == unix.EAGAIN {
			c.blocked = true
			c.setInterest()
			c.compact()
			return
		}
		if err != nil {
			c.die(os.NewSyscallError("write", err))
			return
		}
		c.sent += n
	}
	had := c.out != nil
	c.l.pool.put(c.out)
	c.out, c.sent = nil, 0
	if c.blocked {
		c.blocked = false
		c.setInterest()
	}
	if c.closing {
		if c.l.world == nil {
			unix.Shutdown(c.fd, unix.SHUT_WR)
		}
		c.die(nil)
		return
	}
	if c.ending {
		c.ending = false
		if c.l.world != nil {
			c.send(ends, nil)
		} else {
			unix.Shutdown(c.fd, unix.SHUT_WR)
		}
	}
	if had {
		c.handler.Drained(c.l.now)
	}
}

// compact moves what is left to the front once more than half has been written.
func (c *Conn) compact() {
	if c.sent > len(c.out)/2 {
		c.out = c.out[:copy(c.out, c.out[c.sent:])]
		c.sent = 0
	}
}

const (
	poolSize  = 4 << 10  // a pooled buffer starts with this much
	poolMost  = 32 << 10 // larger ones are not kept
	poolCount = 128      // nor more of them: more are rarely queued in one turn
)

// bufPool keeps buffers for reuse.
type bufPool struct{ free [][]byte }

func (p *bufPool) get() []byte {
	if n := len(p.free); n > 0 {
		b := p.free[n-1]
		p.free = p.free[:n-1]
		return b
	}
	return make([]byte, 0, poolSize)
}

func (p *bufPool) put(b []byte) {
	if cap(b) > 0 && cap(b) <= poolMost && len(p.free) < poolCount {
		p.free = append(p.free, b[:0])
	}
}
