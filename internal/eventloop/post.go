package eventloop

import (
	"sync"

	"golang.org/x/sys/unix"
)

// maxPendingPosts is how many posted calls may wait for the loop.
const maxPendingPosts = 1 << 14

// Post makes the loop call f in its next iteration and reports whether it will: f is dropped if too many calls wait
// already, which DroppedPosts counts. Any goroutine may call it.
func (l *Loop) Post(f func()) bool {
	if l.isSimulated() { // all loops of a simulated network run on one goroutine
		l.network.schedule(l.network.now, l, eventCall).callback = f
		return true
	}
	accepted, wasEmpty := l.posts.push(f)
	if wasEmpty {
		l.wake()
	}
	return accepted
}

// DroppedPosts returns how many calls Post has dropped. Any goroutine may call it.
func (l *Loop) DroppedPosts() uint64 { return l.posts.droppedCount() }

// wake ends the loop's wait for events. If the write fails, the eventfd's counter is at its limit and the loop will
// wake in any case.
func (l *Loop) wake() {
	one := [8]byte{1}
	_, _ = unix.Write(l.wakeFD, one[:])
}

// postQueue holds the calls from other goroutines until the loop takes them all at once.
type postQueue struct {
	mu      sync.Mutex
	calls   []func()
	running []func() // calls of the last takeAll, whose memory the next one uses again
	dropped uint64
}

// push adds a call if there is room. wasEmpty reports that it was added to an empty queue, so that the loop must be
// woken.
func (q *postQueue) push(call func()) (accepted, wasEmpty bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.calls) >= maxPendingPosts {
		q.dropped++
		return false, false
	}
	q.calls = append(q.calls, call)
	return true, len(q.calls) == 1
}

// takeAll removes and returns the calls that wait. The slice is valid until takeAll is called again.
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

// wakeSource is the event source of the loop's eventfd.
type wakeSource struct{}

// handleEvents makes the calls that other goroutines have posted.
func (wakeSource) handleEvents(l *Loop, _ uint32) {
	var counter [8]byte
	_, _ = unix.Read(l.wakeFD, counter[:]) // resets the eventfd; what it counts does not matter
	calls := l.posts.takeAll()
	for _, call := range calls {
		call()
	}
	clear(calls) // so that the closures do not keep their data alive
}
