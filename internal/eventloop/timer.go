package eventloop

import "docksail/internal/indexedheap"

// Timer calls a function once at a given time. The zero value is ready for use. A Timer must not be copied while it is
// set.
type Timer struct {
	due       Nanos
	sequence  uint64 // order of SetTimer calls, for timers due at the same time
	callback  func(now Nanos)
	heapIndex int // index in timerQueue.heap plus 1; 0 = not set
}

// IsSet reports whether the timer is set and has not fired.
func (t *Timer) IsSet() bool { return t.heapIndex > 0 }

// SetTimer makes a timer call callback at the time due. If the timer is already set, it is rescheduled. Callers on hot
// paths should create the callback once, because each closure is an allocation.
func (l *Loop) SetTimer(t *Timer, due Nanos, callback func(now Nanos)) {
	l.timers.set(t, due, callback)
}

// CancelTimer stops a timer; it does nothing if the timer is not set.
func (l *Loop) CancelTimer(t *Timer) { l.timers.cancel(t) }

// timerQueue holds the timers that are set, by due time and then by the order in which they were set.
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

func (q *timerQueue) set(t *Timer, due Nanos, callback func(Nanos)) {
	q.lastSequence++
	t.due, t.sequence, t.callback = due, q.lastSequence, callback
	q.heap.PushOrFix(t)
}

func (q *timerQueue) cancel(t *Timer) { q.heap.Remove(t) }

// nextDue returns the due time of the first timer; ok is false if no timer is set.
func (q *timerQueue) nextDue() (due Nanos, ok bool) {
	if q.heap.Len() == 0 {
		return 0, false
	}
	return q.heap.Min().due, true
}

// fireDue calls the timers that are due. A timer that a callback sets waits for the next iteration even if it is
// already due, so that a timer that sets itself again cannot keep the loop busy.
func (q *timerQueue) fireDue(now Nanos) {
	last := q.lastSequence
	for q.heap.Len() > 0 {
		t := q.heap.Min()
		if t.due > now || t.sequence > last {
			return
		}
		q.heap.Remove(t)
		t.callback(now)
	}
}
