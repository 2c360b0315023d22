package eventloop

import "docksail/internal/indexedheap"

// Timer is one call at a time. Its zero value is ready; it must not be copied while it is set.
type Timer struct {
	at   Nanos
	n    uint64 // order of setting, for those due at the same time
	call func(now Nanos)
	i    int // place in the heap, from 1; 0 = not set
}

// Set tells whether the timer is waiting.
func (t *Timer) Set() bool { return t.i > 0 }

// At sets a timer, or moves it if it is set already. call is kept, so it is best made once.
func (l *Loop) At(t *Timer, at Nanos, call func(now Nanos)) { l.timers.set(t, at, call) }

// Cancel takes a timer back; it does no harm to one that is not set.
func (l *Loop) Cancel(t *Timer) { l.timers.cancel(t) }

type timers struct {
	heap indexedheap.Heap[*Timer]
	n    uint64
}

func newTimers() timers {
	return timers{heap: indexedheap.Heap[*Timer]{
		Place: func(t *Timer) *int { return &t.i },
		Less:  func(a, b *Timer) bool { return a.at < b.at || a.at == b.at && a.n < b.n },
	}}
}

func (ts *timers) set(t *Timer, at Nanos, call func(Nanos)) {
	ts.n++
	t.at, t.n, t.call = at, ts.n, call
	ts.heap.Put(t)
}

func (ts *timers) cancel(t *Timer) { ts.heap.Take(t) }

func (ts *timers) next() (Nanos, bool) {
	if ts.heap.Len() == 0 {
		return 0, false
	}
	return ts.heap.Min().at, true
}

// fire calls what is due. What is set meanwhile for a time already past waits for the next turn.
func (ts *timers) fire(now Nanos) {
	last := ts.n
	for ts.heap.Len() > 0 && ts.heap.Min().at <= now && ts.heap.Min().n <= last {
		t := ts.heap.Min()
		ts.heap.Take(t)
		t.call(now)
	}
}
