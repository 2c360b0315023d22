package eventloop

import "docksail/internal/indexedheap"

// Timer is one call at a time. Its zero value is ready; it must not be copied while it is set.
type Timer struct {
	due       Nanos
	sequence  uint64 // order of setting, for those due at the same time
	callback  func(now Nanos)
	heapIndex int // place in the heap, from 1; 0 = not set
}

// IsSet tells whether the timer is waiting.
func (t *Timer) IsSet() bool { return t.heapIndex > 0 }

// SetTimer sets a timer, or moves it if it is set already. call is kept, so it is best made once.
func (l *Loop) SetTimer(t *Timer, due Nanos, callback func(now Nanos)) {
	l.timers.set(t, due, callback)
}

// CancelTimer takes a timer back; it does no harm to one that is not set.
func (l *Loop) CancelTimer(t *Timer) { l.timers.cancel(t) }

type timerQueue struct {
	heap         indexedheap.Heap[*Timer]
	lastSequence uint64
}

func newTimerQueue() timerQueue {
	return timerQueue{heap: indexedheap.Heap[*Timer]{
		Index: func(t *Timer) *int { return &t.heapIndex },
		Less:  func(a, b *Timer) bool { return a.due < b.due || a.due == b.due && a.sequence < b.sequence },
	}}
}

func (q *timerQueue) set(t *Timer, at Nanos, call func(Nanos)) {
	q.lastSequence++
	t.due, t.sequence, t.callback = at, q.lastSequence, call
	q.heap.PushOrFix(t)
}

func (q *timerQueue) cancel(t *Timer) { q.heap.Remove(t) }

func (q *timerQueue) nextDue() (Nanos, bool) {
	if q.heap.Len() == 0 {
		return 0, false
	}
	return q.heap.Min().due, true
}

// fireDue calls what is due. What is set meanwhile for a time already past waits for the next turn.
func (q *timerQueue) fireDue(now Nanos) {
	last := q.lastSequence
	for q.heap.Len() > 0 && q.heap.Min().due <= now && q.heap.Min().sequence <= last {
		t := q.heap.Min()
		q.heap.Remove(t)
		t.callback(now)
	}
}
