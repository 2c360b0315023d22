// Package eventloop runs sockets, timers and calls from other goroutines on one epoll instance. It moves bytes and
// knows no protocol. All methods belong to the goroutine that runs the loop, except Post, Stop and DroppedPosts.
//
// One iteration of the loop reads the clock once, passes what has arrived to the handlers, calls the timers that are
// due, calls the owner's iteration function and then writes all queued output, with one write for each connection.
//
// A SimulatedNetwork runs the same loops in simulated time, with pipes in memory in place of sockets.
package eventloop

import (
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxEventsPerWait is how many epoll events one iteration takes.
	maxEventsPerWait = 512

	// maxWait is the longest wait for events. Go's runtime stops all goroutines for a moment in each garbage collection;
	// where that meets this goroutine as it enters the wait, the others stand still until the wait is over (Go 1.26).
	maxWait = 100 * time.Millisecond

	// maxFlushPasses bounds how often one iteration writes output that handlers queue while output is written.
	maxFlushPasses = 4
)

// Nanos is a time on the loop's monotonic clock, in nanoseconds since the loop was made.
type Nanos = int64

// Loop is one epoll instance with its sockets and timers, or a loop of a SimulatedNetwork. Make it with New or
// SimulatedNetwork.NewLoop.
type Loop struct {
	epollFD        int
	wakeFD         int // eventfd by which other goroutines end the wait for events
	spareFD        int // closed to make room for one accept when the process has no descriptor left
	registrations  map[int32]registration
	lastGeneration int32

	start   time.Time
	now     Nanos // time of the current iteration
	timers  timerQueue
	posts   postQueue
	stopped atomic.Bool

	flushQueue   []*Conn // connections with output or a close to carry out
	closedConns  []*Conn // ended connections whose handlers are not notified yet
	readBuffer   []byte
	buffers      bufferPool
	skipNextWait bool

	connCount             int
	acceptPauseCount      uint64
	lastIterationDuration Nanos // without the wait for events

	network *SimulatedNetwork // nil for a loop on real sockets
	sim     simulatedLoop
}

// New returns a loop on real sockets. It holds three descriptors until Close.
func New() (*Loop, error) {
	l := &Loop{
		start:         time.Now(),
		timers:        newTimerQueue(),
		registrations: make(map[int32]registration),
		readBuffer:    make([]byte, maxReadBytes),
	}
	var err error
	if l.epollFD, err = unix.EpollCreate1(unix.EPOLL_CLOEXEC); err != nil {
		return nil, os.NewSyscallError("epoll_create1", err)
	}
	if l.wakeFD, err = unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC); err != nil {
		unix.Close(l.epollFD)
		return nil, os.NewSyscallError("eventfd", err)
	}
	if l.spareFD, err = openSpare(); err != nil {
		unix.Close(l.epollFD)
		unix.Close(l.wakeFD)
		return nil, os.NewSyscallError("open", err)
	}
	if err = l.register(l.wakeFD, unix.EPOLLIN, wakeSource{}); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// Close closes the loop's descriptors and every socket that is still open. Run must have returned.
func (l *Loop) Close() {
	if l.isSimulated() {
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

// isSimulated reports whether the loop belongs to a SimulatedNetwork.
func (l *Loop) isSimulated() bool { return l.network != nil }

// Now returns the time at which the current iteration began.
func (l *Loop) Now() Nanos { return l.now }

// ReadClock reads the loop's clock, which may be ahead of Now.
func (l *Loop) ReadClock() Nanos {
	if l.isSimulated() {
		return l.network.now
	}
	return int64(time.Since(l.start))
}

// OriginUnixNanos returns the wall-clock time, in Unix nanoseconds, at which the loop's clock read 0.
func (l *Loop) OriginUnixNanos() int64 {
	if l.isSimulated() {
		return l.network.originUnixNanos
	}
	return l.start.UnixNano()
}

// LastIterationDuration returns how long the last iteration worked; its wait for events does not count.
func (l *Loop) LastIterationDuration() Nanos { return l.lastIterationDuration }

// SkipNextWait makes the next iteration start without waiting for events: for work that came up too late in this one.
func (l *Loop) SkipNextWait() { l.skipNextWait = true }

// ConnCount returns how many connections are open or being made.
func (l *Loop) ConnCount() int { return l.connCount }

// AcceptPauseCount returns how often accepting was paused for want of descriptors or kernel memory.
func (l *Loop) AcceptPauseCount() uint64 { return l.acceptPauseCount }

// Stop makes Run return after the current iteration. Any goroutine may call it.
func (l *Loop) Stop() {
	l.stopped.Store(true)
	if l.isSimulated() {
		return
	}
	l.wake()
}

// Run runs the loop until Stop. It calls onIteration, if not nil, once in each iteration, after events and timers and
// before output is written. It returns an error only if waiting for events fails.
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
		for _, event := range events[:max(n, 0)] {
			l.dispatch(event)
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

// waitMillis returns how long to wait for events, in whole milliseconds, rounded up.
func (l *Loop) waitMillis() int {
	if l.mustIterateAgain() {
		return 0
	}
	wait := int64(maxWait)
	if due, ok := l.timers.nextDue(); ok {
		wait = min(max(due-l.ReadClock(), 0), wait)
	}
	const nanosPerMilli = int64(time.Millisecond)
	return int((wait + nanosPerMilli - 1) / nanosPerMilli)
}

// mustIterateAgain reports whether work is left that must not wait for events. It resets skipNextWait.
func (l *Loop) mustIterateAgain() bool {
	if l.skipNextWait || len(l.flushQueue) > 0 || len(l.closedConns) > 0 {
		l.skipNextWait = false
		return true
	}
	return false
}

// flushOutput writes the output that was queued in this iteration and notifies the handlers of connections that ended
// in it. What these calls queue or close is handled too, in a bounded number of passes; the rest is left for the next
// iteration.
func (l *Loop) flushOutput() {
	for pass := 0; pass < maxFlushPasses && len(l.flushQueue)+len(l.closedConns) > 0; pass++ {
		queue := l.flushQueue
		l.flushQueue = nil
		for _, c := range queue {
			c.flushQueued = false
			if c.IsOpen() {
				c.flush()
			}
		}
		if l.flushQueue == nil {
			l.flushQueue = queue[:0]
		}
		if l.notifyClosed() {
			l.skipNextWait = true // the iteration function has to see what follows from it
		}
	}
}

// notifyClosed calls Closed for the connections that have ended and reports whether there were any. It runs before the
// iteration function, so that no decision is made for a peer that is known to be gone, and after output is written.
func (l *Loop) notifyClosed() bool {
	closed := l.closedConns
	l.closedConns = nil
	for _, c := range closed {
		c.handler.Closed(l.now, c.closeErr)
	}
	return len(closed) > 0
}
