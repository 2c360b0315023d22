// Package eventloop runs sockets, timers and calls from other goroutines on one epoll instance. It transports bytes and
// implements no protocol. Only the goroutine that runs the loop may call its methods, except for Post, Stop and
// DroppedPosts.
//
// One iteration of the loop reads the clock once, passes input to the handlers, calls the timers that are due, calls
// the owner's iteration function and then writes all queued output, with one write for each connection.
//
// A SimulatedNetwork runs the same loops in simulated time, with in-memory pipes in place of sockets.
package eventloop

import (
	"os"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// maxEventsPerWait bounds the epoll events of one iteration.
	maxEventsPerWait = 512

	// maxWait bounds the wait for events. If the garbage collector stops the world just as this goroutine enters
	// epoll_wait, the other goroutines stay stopped until the wait returns (Go 1.26).
	maxWait = 100 * time.Millisecond

	// maxEventTime is the time in nanoseconds after which an iteration handles no further events, so that timers,
	// decisions and output get their turn while many connections are busy.
	maxEventTime = 5e6

	// maxFlushPasses bounds how often one iteration flushes output that handlers queued during the previous flush.
	maxFlushPasses = 4
)

// Nanos is a time on the loop's monotonic clock, in nanoseconds since the loop was created.
type Nanos = int64

// Loop is an event loop on one epoll instance, or a loop of a SimulatedNetwork. New and SimulatedNetwork.NewLoop create
// one.
type Loop struct {
	epollFD        int
	wakeFD         int // eventfd with which other goroutines wake the loop
	spareFD        int // freed to accept one connection when the process has no descriptor left
	registrations  map[int32]registration
	lastGeneration int32

	start   time.Time
	now     Nanos // time of the current iteration
	timers  timerQueue
	posts   postQueue
	stopped atomic.Bool

	flushQueue   []*Conn // connections with queued output or a requested close
	closedConns  []*Conn // closed connections whose handlers have not been notified
	readBuffer   []byte
	buffers      bufferPool
	outputBytes  int // capacity of the buffers that hold queued output
	skipNextWait bool

	connCount             int
	acceptPauseCount      uint64
	lastIterationDuration Nanos // excludes the wait for events

	network *SimulatedNetwork // nil for a loop on real sockets
	sim     simulatedLoop
}

// New returns a loop on real sockets. The loop holds three descriptors until Close.
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
	if l.spareFD, err = openSpareFD(); err != nil {
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

// Close closes the loop's descriptors and all sockets that are still open. Run must have returned.
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

// LastIterationDuration returns the duration of the last iteration, excluding its wait for events.
func (l *Loop) LastIterationDuration() Nanos { return l.lastIterationDuration }

// SkipNextWait makes the next iteration start without waiting for events, because there is work left for it.
func (l *Loop) SkipNextWait() { l.skipNextWait = true }

// ConnCount returns the number of connections that are open or connecting.
func (l *Loop) ConnCount() int { return l.connCount }

// OutputBytes returns the memory that holds queued output or is kept for it, without that of WriteShared.
func (l *Loop) OutputBytes() int64 { return int64(l.outputBytes + l.buffers.freeBytes) }

// AcceptPauseCount returns how often accepting was paused for lack of descriptors or kernel memory.
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
	events, recent := make([]unix.EpollEvent, maxEventsPerWait), make([]unix.EpollEvent, maxEventsPerWait)
	var unhandled []unix.EpollEvent // of events
	for !l.stopped.Load() {
		var closes []unix.EpollEvent // that came while earlier events were handled
		var err error
		if len(unhandled) == 0 {
			unhandled, err = l.waitForEvents(events, l.waitMillis())
		} else {
			closes, err = l.waitForEvents(recent, 0)
		}
		if err != nil {
			return err
		}
		l.now = l.ReadClock()
		l.handleCloses(closes)
		unhandled = l.handleEvents(unhandled)
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

// waitForEvents waits for events and returns them, in a part of buffer.
func (l *Loop) waitForEvents(buffer []unix.EpollEvent, timeoutMillis int) ([]unix.EpollEvent, error) {
	n, err := unix.EpollWait(l.epollFD, buffer, timeoutMillis)
	if err != nil && err != unix.EINTR {
		return nil, os.NewSyscallError("epoll_wait", err)
	}
	return buffer[:max(n, 0)], nil
}

// handleEvents handles events for at most about maxEventTime, and then only closes. It returns those that are left for
// the next iteration.
func (l *Loop) handleEvents(events []unix.EpollEvent) (unhandled []unix.EpollEvent) {
	for i, event := range events {
		l.dispatch(event)
		if l.ReadClock()-l.now >= maxEventTime {
			return l.handleCloses(events[i+1:])
		}
	}
	return nil
}

// handleCloses handles those events that report that a peer has closed or reset its connection: the iteration makes
// decisions for the peers whose close it has not seen. It returns the other events, in the memory of events.
func (l *Loop) handleCloses(events []unix.EpollEvent) (others []unix.EpollEvent) {
	others = events[:0]
	for _, event := range events {
		if event.Events&(unix.EPOLLRDHUP|unix.EPOLLHUP|unix.EPOLLERR) != 0 {
			l.dispatch(event)
			continue
		}
		others = append(others, event)
	}
	return others
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

// mustIterateAgain reports whether the next iteration has work that must not wait for events. It resets skipNextWait.
func (l *Loop) mustIterateAgain() bool {
	if l.skipNextWait || len(l.flushQueue) > 0 || len(l.closedConns) > 0 {
		l.skipNextWait = false
		return true
	}
	return false
}

// flushOutput writes the output that was queued in this iteration and notifies the handlers of closed connections.
// Handlers may queue more output or close connections meanwhile; flushOutput repeats for at most maxFlushPasses passes
// and leaves the rest to the next iteration.
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
			l.skipNextWait = true // the iteration function must run after the handlers' changes
		}
	}
}

// notifyClosed calls Closed for the closed connections and reports whether there were any. It runs before the iteration
// function, so that the function makes no decision for a closed connection, and after each flush.
func (l *Loop) notifyClosed() bool {
	closed := l.closedConns
	l.closedConns = nil
	for _, c := range closed {
		c.handler.Closed(l.now, c.closeErr)
	}
	return len(closed) > 0
}
