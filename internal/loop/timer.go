package loop

import "container/heap"

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
	heap timerHeap
	n    uint64
}

type timerHeap []*Timer

func (h timerHeap) Len() int { return len(h) }
func (h timerHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].n < h[j].n
}
func (h timerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].i, h[j].i = i+1, j+1
}
func (h *timerHeap) Push(x any) {
	t := x.(*Timer)
	*h = append(*h, t)
	t.i = len(*h)
}
func (h *timerHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.i = 0
	return t
}

func (ts *timers) set(t *Timer, at Nanos, call func(Nanos)) {
	ts.n++
	t.at, t.n, t.call = at, ts.n, call
	if t.i > 0 {
		heap.Fix(&ts.heap, t.i-1)
	} else {
		heap.Push(&ts.heap, t)
	}
}

func (ts *timers) cancel(t *Timer) {
	if t.i > 0 {
		heap.Remove(&ts.heap, t.i-1)
	}
}

func (ts *timers) next() (Nanos, bool) {
	if len(ts.heap) == 0 {
		return 0, false
	}
	return ts.heap[0].at, true
}

// fire calls what is due. What is set meanwhile for a time already past waits for the next turn.
func (ts *timers) fire(now Nanos) {
	last := ts.n
	for len(ts.heap) > 0 && ts.heap[0].at <= now && ts.heap[0].n <= last {
		t := heap.Pop(&ts.heap).(*Timer)
		t.call(now)
	}
}
