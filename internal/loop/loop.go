// Package loop runs sockets, timers and calls from other threads on one epoll loop. It moves bytes and knows
// no protocol. All methods belong to the goroutine that runs the loop, except Post, Stop and Dropped.
//
// One turn of the loop reads the clock once, hands over what has arrived, fires the timers that are due, calls
// the host's round function and then writes all that was queued, one write a connection.
package loop

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	readSize   = 64 << 10              // most bytes taken from one connection in a turn: no peer holds up another
	readsToEnd = 16                    // reads in a turn from a peer that has ended its half: its end is told in the turn of its last bytes
	eventsTurn = 512                   // events taken in a turn
	acceptTurn = 64                    // connections accepted in a turn
	backlog    = 4096                  // connections that may wait to be accepted
	postRoom   = 1 << 14               // calls from other threads that may wait
	acceptRest = 50 * time.Millisecond // a listener rests so long after the process ran out of descriptors

	// waitMost is the longest wait for events. Go's runtime stops all goroutines for a moment in each garbage collection;
	// where that meets this goroutine as it enters the wait, the others stand still until the wait is over (Go 1.26).
	waitMost = 100 * time.Millisecond
)

// Nanos is a time on the loop's monotonic clock, in nanoseconds since the loop was made.
type Nanos = int64

// Handler is told what happens to a connection. Data's bytes are valid during the call only.
type Handler interface {
	Opened(now Nanos)            // a connection under way is made
	Data(now Nanos, p []byte)    // bytes came in
	PeerDone(now Nanos)          // the peer sends no more, but may still read
	Drained(now Nanos)           // all that was queued has been written
	Closed(now Nanos, err error) // the connection is over; nil after Close
}

// ErrOutputBound closes a connection whose peer takes nothing while its queue of output is at its bound.
var ErrOutputBound = errors.New("output queue at its bound")

// Loop is one epoll instance. Make it with New.
type Loop struct {
	ep, wake int
	spare    int // descriptor kept for the moment in which there are no others
	start    time.Time
	now      Nanos
	timers   timers
	byFD     map[int32]registration
	watched  int32 // registrations so far
	dirty    []*Conn
	dead     []*Conn
	buf      []byte
	pool     bufPool
	posts    postQueue
	stop     atomic.Bool
	conns    int
	lag      Nanos // how long the last turn took beyond waiting
	rests    uint64
	again    bool

	// In a world:
	world   *World
	number  int
	at      netip.Addr
	round   func(now Nanos)
	wakeAt  Nanos
	live    map[*Conn]uint64
	ended   bool
	extra   Nanos
	trickle bool
}

type source interface{ ready(l *Loop, events uint32) }

// registration is a source under its descriptor. Its number travels with the events that epoll reports: one that was
// reported for a descriptor closed in the same turn must not reach the connection that was given the descriptor next.
type registration struct {
	source source
	number int32
}

// New makes a loop; it holds four descriptors until Close.
func New() (*Loop, error) {
	l := &Loop{start: time.Now(), timers: newTimers(), byFD: make(map[int32]registration), buf: make([]byte, readSize)}
	var err error
	if l.ep, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	if l.wake, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		unix.Close(l.ep)
		return nil, os.NewSyscallError("eventfd", err)
	}
	if l.spare, err = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0); err != nil {
		unix.Close(l.ep)
		unix.Close(l.wake)
		return nil, os.NewSyscallError("open", err)
	}
	if err = l.watch(l.wake, unix.EPOLLIN, waker{}); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Close lets go of the loop's descriptors and closes what is still open. Run must have returned.
func (l *Loop) Close() {
	if l.world != nil {
		return
	}
	for fd := range l.byFD {
		if int(fd) != l.wake {
			unix.Close(int(fd))
		}
	}
	clear(l.byFD)
	unix.Close(l.spare)
	unix.Close(l.wake)
	unix.Close(l.ep)
}

// Now is the time of this turn.
func (l *Loop) Now() Nanos { return l.now }

// Clock reads the loop's clock anew.
func (l *Loop) Clock() Nanos {
	if l.world != nil {
		return l.world.now
	}
	return int64(time.Since(l.start))
}

// Wall is the wall-clock time, in Unix nanoseconds, at which the loop's clock stood at 0.
func (l *Loop) Wall() int64 {
	if l.world != nil {
		return l.world.wall
	}
	return l.start.UnixNano()
}

// Lag is how long the last turn worked.
func (l *Loop) Lag() Nanos { return l.lag }

// Again has the loop turn once more without waiting: for what came up too late in this turn.
func (l *Loop) Again() { l.again = true }

// Conns counts the open connections.
func (l *Loop) Conns() int { return l.conns }

// Rests counts how often accepting was put off for want of descriptors.
func (l *Loop) Rests() uint64 { return l.rests }

// Post has the loop call f in its next turn; false if too many calls wait already, which Dropped counts.
// Any goroutine may call it.
func (l *Loop) Post(f func()) bool {
	if l.world != nil { // a world has one goroutine
		l.world.push(l.world.now, l, calls).call = f
		return true
	}
	taken, first := l.posts.put(f)
	if first {
		l.wakeUp()
	}
	return taken
}

// Dropped counts calls that Post could not take.
func (l *Loop) Dropped() uint64 { return l.posts.droppedCount() }

// wakeUp ends the loop's wait for events.
func (l *Loop) wakeUp() {
	one := [8]byte{1}
	unix.Write(l.wake, one[:])
}

// Stop ends Run after its present turn. Any goroutine may call it.
func (l *Loop) Stop() {
	l.stop.Store(true)
	if l.world != nil {
		return
	}
	l.wakeUp()
}

// postQueue holds the calls from other goroutines until the loop takes them all at once.
type postQueue struct {
	mu      sync.Mutex
	calls   []func()
	taken   []func() // those of the last turn: its memory is used again
	dropped uint64
}

// put adds a call if there is room; first tells that none waited before it.
func (q *postQueue) put(call func()) (taken, first bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.calls) >= postRoom {
		q.dropped++
		return false, false
	}
	q.calls = append(q.calls, call)
	return true, len(q.calls) == 1
}

// takeAll gives the calls that wait, valid until it is called again.
func (q *postQueue) takeAll() []func() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.calls, q.taken = q.taken[:0], q.calls
	return q.taken
}

func (q *postQueue) droppedCount() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

// waker is the descriptor by which other goroutines wake the loop.
type waker struct{}

func (waker) ready(l *Loop, _ uint32) {
	var b [8]byte
	unix.Read(l.wake, b[:])
	calls := l.posts.takeAll()
	for _, call := range calls {
		call()
	}
	clear(calls) // what they hold is not needed any more
}

func (l *Loop) watch(fd int, events uint32, s source) error {
	l.watched++
	l.byFD[int32(fd)] = registration{s, l.watched}
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.watched}
	if err := unix.EpollCtl(l.ep, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		delete(l.byFD, int32(fd))
		return os.NewSyscallError("epoll_ctl", err)
	}
	return nil
}

func (l *Loop) rewatch(fd int, events uint32) {
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.byFD[int32(fd)].number}
	unix.EpollCtl(l.ep, unix.EPOLL_CTL_MOD, fd, &ev)
}

func (l *Loop) unwatch(fd int) {
	delete(l.byFD, int32(fd))
	unix.EpollCtl(l.ep, unix.EPOLL_CTL_DEL, fd, nil)
}

// Run turns the loop until Stop. round is called once a turn, after all that has happened was handed over.
func (l *Loop) Run(round func(now Nanos)) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	events := make([]unix.EpollEvent, eventsTurn)
	for !l.stop.Load() {
		n, err := unix.EpollWait(l.ep, events, l.waitTime())
		if err != nil && err != unix.EINTR {
			return os.NewSyscallError("epoll_wait", err)
		}
		l.now = l.Clock()
		for _, ev := range events[:max(n, 0)] {
			if r, ok := l.byFD[ev.Fd]; ok && r.number == ev.Pad {
				r.source.ready(l, ev.Events)
			}
		}
		l.timers.fire(l.now)
		l.bury()
		if round != nil {
			round(l.now)
		}
		l.flush()
		l.lag = l.Clock() - l.now
	}
	return nil
}

// waitTime is how long to wait for events, in whole milliseconds, rounded up.
func (l *Loop) waitTime() int {
	if l.again || len(l.dirty) > 0 || len(l.dead) > 0 {
		l.again = false
		return 0
	}
	wait := int64(waitMost)
	if at, ok := l.timers.next(); ok {
		wait = min(max(at-l.Clock(), 0), wait)
	}
	return int((wait + 1e6 - 1) / 1e6)
}

// flush writes what was queued in this turn and tells of connections that ended in it. What these calls queue
// or end in turn is done too, as far as a bounded number of passes goes; the rest is left for the next turn.
func (l *Loop) flush() {
	for pass := 0; pass < 4 && len(l.dirty)+len(l.dead) > 0; pass++ {
		dirty := l.dirty
		l.dirty = nil
		for _, c := range dirty {
			c.dirty = false
			if c.fd >= 0 && !c.connecting {
				c.flush()
			}
		}
		if l.dirty == nil {
			l.dirty = dirty[:0]
		}
		if l.bury() {
			l.again = true // what follows from it is for the next round
		}
	}
}

// bury tells of the connections that have ended: before decisions are pulled, so that none is made for a peer that is
// known to be gone, and after what was written.
func (l *Loop) bury() bool {
	dead := l.dead
	l.dead = nil
	for _, c := range dead {
		c.handler.Closed(l.now, c.err)
	}
	return len(dead) > 0
}

// Listener accepts connections.
type Listener struct {
	l      *Loop
	fd     int
	addr   netip.AddrPort
	accept func(c *Conn, from netip.AddrPort) Handler
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
	ln := &Listener{l: l, fd: fd, addr: addrPort(bound), accept: accept}
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
		fd, from, err := unix.Accept4(ln.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
		switch err {
		case nil:
		case unix.EINTR, unix.ECONNABORTED:
			continue
		case unix.EMFILE, unix.ENFILE, unix.ENOBUFS, unix.ENOMEM:
			ln.shed()
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

// shed closes one waiting connection with the spare descriptor, so that its client learns at once, and rests:
// a listener that is left ready would spin the loop.
func (ln *Listener) shed() {
	l := ln.l
	l.rests++
	unix.Close(l.spare)
	if fd, _, err := unix.Accept4(ln.fd, unix.SOCK_CLOEXEC); err == nil {
		unix.Close(fd)
	}
	l.spare, _ = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0)
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
