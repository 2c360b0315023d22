package eventloop

import (
	"sync"

	"golang.org/x/sys/unix"
)

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
