package eventloop

import (
	"sync"

	"golang.org/x/sys/unix"
)

// maxPendingPosts bounds the posted calls that wait for the loop.
const maxPendingPosts = 1 << 14

// Post queues f to be called by the loop in its next iteration. It returns false if the queue is full and f was
// dropped, which DroppedPosts counts. Any goroutine may call Post.
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

// DroppedPosts returns how many calls Post has dropped. Any goroutine may call DroppedPosts.
func (l *Loop) DroppedPosts() uint64 { return l.posts.droppedCount() }

// wake ends the loop's wait for events. The write fails only if the eventfd's counter is at its limit; the loop then
// wakes up anyway.
func (l *Loop) wake() {
	one := [8]byte{1}
	_, _ = unix.Write(l.wakeFD, one[:])
}

// postQueue holds the calls from other goroutines until the loop takes them all at once.
type postQueue struct {
	mu      sync.Mutex
	calls   []func()
	taken   []func() // returned by the last takeAll; its memory is reused by the next one
	dropped uint64
}

// push adds a call unless the queue is full. If wasEmpty is true, the queue was empty and the caller must wake the
// loop.
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

// takeAll removes and returns all queued calls. The slice is valid until takeAll is called again.
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

// wakeSource is the event source of the loop's eventfd.
type wakeSource struct{}

// handleEvents runs the calls that other goroutines have posted.
func (wakeSource) handleEvents(l *Loop, _ uint32) {
	var counter [8]byte
	_, _ = unix.Read(l.wakeFD, counter[:]) // resets the eventfd; the counter's value does not matter
	calls := l.posts.takeAll()
	for _, call := range calls {
		call()
	}
	clear(calls) // lets the garbage collector free the closures
}
