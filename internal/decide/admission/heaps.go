package admission

import "docksail/internal/indexedheap"

// A flow's requests stand by when they are due, all waiting requests by when it is too late for them, a tenant's flows and the
// tenants by their start tags.

func byDue(a, b *queuedRequest) bool {
	return a.startBy < b.startBy || a.startBy == b.startBy && a.order < b.order
}

func byLate(a, b *queuedRequest) bool {
	return a.tooLateAt < b.tooLateAt || a.tooLateAt == b.tooLateAt && a.order < b.order
}

func byStart(a, b *flow) bool {
	return a.start < b.start || a.start == b.start && a.order < b.order
}
func byTenant(a, b *tenant) bool { return a.start < b.start || a.start == b.start && a.n < b.n }

func requestHeap() indexedheap.Heap[*queuedRequest] {
	return indexedheap.Heap[*queuedRequest]{Less: byDue, Index: func(w *queuedRequest) *int { return &w.at }}
}

func lateHeap() indexedheap.Heap[*queuedRequest] {
	return indexedheap.Heap[*queuedRequest]{Less: byLate, Index: func(w *queuedRequest) *int { return &w.overdueIndex }}
}

func flowHeap() indexedheap.Heap[*flow] {
	return indexedheap.Heap[*flow]{Less: byStart, Index: func(f *flow) *int { return &f.at }}
}

func tenantHeap() indexedheap.Heap[*tenant] {
	return indexedheap.Heap[*tenant]{Less: byTenant, Index: func(t *tenant) *int { return &t.at }}
}

// load is what a flow has waiting for its weight.
func (f *flow) load() float64 { return float64(f.requests.Len()) / f.weight }

func byLoad(a, b *flow) bool {
	x, y := a.load(), b.load()
	return x > y || x == y && a.order > b.order
}

func heavyHeap() indexedheap.Heap[*flow] {
	return indexedheap.Heap[*flow]{Less: byLoad, Index: func(f *flow) *int { return &f.heavyAt }}
}

// placeFlow puts a flow where it belongs among its tenant's that have requests.
func (q *Queue) placeFlow(f *flow) {
	if f.requests.Len() > 0 {
		f.tenant.active.PushOrFix(f)
		f.tenant.heavy.PushOrFix(f)
	} else {
		f.tenant.active.Remove(f)
		f.tenant.heavy.Remove(f)
	}
}

// place puts a tenant where it belongs among those that may have a request let in.
func (q *Queue) place(t *tenant) {
	if t.active.Len() == 0 || t.MaxRunning > 0 && t.running >= t.MaxRunning {
		q.active.Remove(t)
		return
	}
	if t.at == 0 {
		t.start = max(t.start, q.virtual) // what it could not use is not saved up
	}
	q.active.PushOrFix(t)
}
