package eventloop

import (
	"sync"

	"golang.org/x/sys/unix"
)

// Post has the loop call f in its next turn; false if too many calls wait already, which Dropped counts.
// Any goroutine may call it.
func (l *Loop) Post(f func()) bool {
	if l.network != nil { // a world has one goroutine
		l.network.schedule(l.network.now, l, eventCall).callback = f
		return true
	}
	taken, first := l.posts.push(f)
	if first {
		l.wake()
	}
	return taken
}

// DroppedPosts counts calls that Post could not take.
func (l *Loop) DroppedPosts() uint64 { return l.posts.droppedCount() }

// wake ends the loop's wait for events.
func (l *Loop) wake() {
	one := [8]byte{1}
	unix.Write(l.wakeFD, one[:])
}

// postQueue holds the calls from other goroutines until the loop takes them all at once.
type postQueue struct {
	mu      sync.Mutex
	calls   []func()
	running []func() // those of the last turn: its memory is used again
	dropped uint64
}

// push adds a call if there is room; first tells that none waited before it.
func (q *postQueue) push(call func()) (taken, first bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.calls) >= maxPendingPosts {
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
	q.calls, q.running = q.running[:0], q.calls
	return q.running
}

func (q *postQueue) droppedCount() uint64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.dropped
}

// waker is the descriptor by which other goroutines wake the loop.
type waker struct{}

func (waker) handleEvents(l *Loop, _ uint32) {
	var b [8]byte
	unix.Read(l.wakeFD, b[:])
	calls := l.posts.takeAll()
	for _, call := range calls {
		call()
	}
	clear(calls) // what they hold is not needed any more
}
