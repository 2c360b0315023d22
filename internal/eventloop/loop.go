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
	maxReadBytes           = 64 << 10              // most bytes taken from one connection in a turn: no peer holds up another
	maxReadsAtHalfClose    = 16                    // reads in a turn from a peer that has ended its half: its end is told in the turn of its last bytes
	maxEventsPerWait       = 512                   // events taken in a turn
	maxAcceptsPerIteration = 64                    // connections accepted in a turn
	listenBacklog          = 4096                  // connections that may wait to be accepted
	maxPendingPosts        = 1 << 14               // calls from other threads that may wait
	acceptPause            = 50 * time.Millisecond // a listener rests so long after the process ran out of descriptors

	// maxWait is the longest wait for events. Go's runtime stops all goroutines for a moment in each garbage collection;
	// where that meets this goroutine as it enters the wait, the others stand still until the wait is over (Go 1.26).
	maxWait = 100 * time.Millisecond
)

// Nanos is a time on the loop's monotonic clock, in nanoseconds since the loop was made.
type Nanos = int64

// Handler is told what happens to a connection. Data's bytes are valid during the call only.
type Handler interface {
	Opened(now Nanos)             // a connection under way is made
	Received(now Nanos, p []byte) // bytes came in
	PeerHalfClosed(now Nanos)     // the peer sends no more, but may still read
	OutputFlushed(now Nanos)      // all that was queued has been written
	Closed(now Nanos, err error)  // the connection is over; nil after Close
}

// ErrOutputLimit closes a connection whose peer takes nothing while its queue of output is at its bound.
var ErrOutputLimit = errors.New("output queue at its bound")

// Loop is one epoll instance. Make it with New.
type Loop struct {
	epollFD, wakeFD       int
	spareFD               int // descriptor kept for the moment in which there are no others
	start                 time.Time
	now                   Nanos
	timers                timerQueue
	registrations         map[int32]registration
	lastGeneration        int32 // registrations so far
	flushQueue            []*Conn
	closedConns           []*Conn
	readBuffer            []byte
	buffers               bufferPool
	posts                 postQueue
	stopped               atomic.Bool
	connCount             int
	lastIterationDuration Nanos // how long the last turn took beyond waiting
	acceptPauseCount      uint64
	skipNextWait          bool

	// In a world:
	network      *SimulatedNetwork
	id           int
	addr         netip.Addr
	onIteration  func(now Nanos)
	nextWake     Nanos
	openConns    map[*Conn]uint64
	terminated   bool
	extraLatency Nanos
	byteByByte   bool
}

type eventSource interface{ handleEvents(l *Loop, events uint32) }

// registration is a source under its descriptor. Its number travels with the events that epoll reports: one that was
// reported for a descriptor closed in the same turn must not reach the connection that was given the descriptor next.
type registration struct {
	source     eventSource
	generation int32
}

// New makes a loop; it holds four descriptors until Close.
func New() (*Loop, error) {
	l := &Loop{start: time.Now(), timers: newTimerQueue(), registrations: make(map[int32]registration), readBuffer: make([]byte, maxReadBytes)}
	var err error
	if l.epollFD, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	if l.wakeFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		unix.Close(l.epollFD)
		return nil, os.NewSyscallError("eventfd", err)
	}
	if l.spareFD, err = unix.Open("/dev/null", unix.O_RDONLY|unix.O_CLOEXEC, 0); err != nil {
		unix.Close(l.epollFD)
		unix.Close(l.wakeFD)
		return nil, os.NewSyscallError("open", err)
	}
	if err = l.register(l.wakeFD, unix.EPOLLIN, waker{}); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Close lets go of the loop's descriptors and closes what is still open. Run must have returned.
func (l *Loop) Close() {
	if l.network != nil {
		return
	}
	for fd := range l.registrations {
		if int(fd) != l.wakeFD {
			unix.Close(int(fd))
		}
	}
	clear(l.registrations)
	unix.Close(l.spareFD)
	unix.Close(l.wakeFD)
	unix.Close(l.epollFD)
}

// Now is the time of this turn.
func (l *Loop) Now() Nanos { return l.now }

// ReadClock reads the loop's clock anew.
func (l *Loop) ReadClock() Nanos {
	if l.network != nil {
		return l.network.now
	}
	return int64(time.Since(l.start))
}

// OriginUnixNanos is the wall-clock time, in Unix nanoseconds, at which the loop's clock stood at 0.
func (l *Loop) OriginUnixNanos() int64 {
	if l.network != nil {
		return l.network.originUnixNanos
	}
	return l.start.UnixNano()
}

// LastIterationDuration is how long the last turn worked.
func (l *Loop) LastIterationDuration() Nanos { return l.lastIterationDuration }

// SkipNextWait has the loop turn once more without waiting: for what came up too late in this turn.
func (l *Loop) SkipNextWait() { l.skipNextWait = true }

// ConnCount counts the open connections.
func (l *Loop) ConnCount() int { return l.connCount }

// AcceptPauseCount counts how often accepting was put off for want of descriptors.
func (l *Loop) AcceptPauseCount() uint64 { return l.acceptPauseCount }

// Stop ends Run after its present turn. Any goroutine may call it.
func (l *Loop) Stop() {
	l.stopped.Store(true)
	if l.network != nil {
		return
	}
	l.wake()
}

func (l *Loop) register(fd int, events uint32, s eventSource) error {
	l.lastGeneration++
	l.registrations[int32(fd)] = registration{s, l.lastGeneration}
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.lastGeneration}
	if err := unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_ADD, fd, &ev); err != nil {
		delete(l.registrations, int32(fd))
		return os.NewSyscallError("epoll_ctl", err)
	}
	return nil
}

func (l *Loop) setInterest(fd int, events uint32) {
	ev := unix.EpollEvent{Events: events, Fd: int32(fd), Pad: l.registrations[int32(fd)].generation}
	unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_MOD, fd, &ev)
}

func (l *Loop) unregister(fd int) {
	delete(l.registrations, int32(fd))
	unix.EpollCtl(l.epollFD, unix.EPOLL_CTL_DEL, fd, nil)
}

// Run turns the loop until Stop. round is called once a turn, after all that has happened was handed over.
func (l *Loop) Run(onIteration func(now Nanos)) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	events := make([]unix.EpollEvent, maxEventsPerWait)
	for !l.stopped.Load() {
		n, err := unix.EpollWait(l.epollFD, events, l.waitMillis())
		if err != nil && err != unix.EINTR {
			return os.NewSyscallError("epoll_wait", err)
		}
		l.now = l.ReadClock()
		for _, ev := range events[:max(n, 0)] {
			if r, ok := l.registrations[ev.Fd]; ok && r.generation == ev.Pad {
				r.source.handleEvents(l, ev.Events)
			}
		}
		l.timers.fireDue(l.now)
		l.notifyClosed()
		if onIteration != nil {
			onIteration(l.now)
		}
		l.flushOutput()
		l.lastIterationDuration = l.ReadClock() - l.now
	}
	return nil
}

// waitMillis is how long to wait for events, in whole milliseconds, rounded up.
func (l *Loop) waitMillis() int {
	if l.skipNextWait || len(l.flushQueue) > 0 || len(l.closedConns) > 0 {
		l.skipNextWait = false
		return 0
	}
	wait := int64(maxWait)
	if at, ok := l.timers.nextDue(); ok {
		wait = min(max(at-l.ReadClock(), 0), wait)
	}
	return int((wait + 1e6 - 1) / 1e6)
}

// flushOutput writes what was queued in this turn and tells of connections that ended in it. What these calls queue
// or end in turn is done too, as far as a bounded number of passes goes; the rest is left for the next turn.
func (l *Loop) flushOutput() {
	for pass := 0; pass < 4 && len(l.flushQueue)+len(l.closedConns) > 0; pass++ {
		dirty := l.flushQueue
		l.flushQueue = nil
		for _, c := range dirty {
			c.flushQueued = false
			if c.fd >= 0 && !c.connecting {
				c.flush()
			}
		}
		if l.flushQueue == nil {
			l.flushQueue = dirty[:0]
		}
		if l.notifyClosed() {
			l.skipNextWait = true // what follows from it is for the next round
		}
	}
}

// notifyClosed tells of the connections that have ended: before decisions are pulled, so that none is made for a peer that is
// known to be gone, and after what was written.
func (l *Loop) notifyClosed() bool {
	dead := l.closedConns
	l.closedConns = nil
	for _, c := range dead {
		c.handler.Closed(l.now, c.closeErr)
	}
	return len(dead) > 0
}
