// Package eventloop runs sockets, timers and calls from other threads on one epoll loop. It moves bytes and knows
// no protocol. All methods belong to the goroutine that runs the loop, except Post, Stop and Dropped.
//
// One turn of the loop reads the clock once, hands over what has arrived, fires the timers that are due, calls
// the host's round function and then writes all that was queued, one write a connection.
package eventloop

import (
	"errors"
	"net/netip"
	"os"
	"runtime"
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

// Stop ends Run after its present turn. Any goroutine may call it.
func (l *Loop) Stop() {
	l.stop.Store(true)
	if l.world != nil {
		return
	}
	l.wakeUp()
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
