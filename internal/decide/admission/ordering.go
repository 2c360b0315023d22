package admission

import "docksail/internal/indexedheap"

// The heaps break ties by sequence or tenant number, so that decisions are deterministic.

// newRequestHeap returns a heap of the requests of a flow with the one that is due first at the top.
func newRequestHeap() indexedheap.Heap[*queuedRequest] {
	return indexedheap.Heap[*queuedRequest]{
		Less: func(a, b *queuedRequest) bool {
			return a.dueAt < b.dueAt || a.dueAt == b.dueAt && a.sequence < b.sequence
		},
		Index: func(queued *queuedRequest) *int { return &queued.flowIndex },
	}
}

// newExpiryHeap returns a heap of all waiting requests with the one that expires first at the top.
func newExpiryHeap() indexedheap.Heap[*queuedRequest] {
	return indexedheap.Heap[*queuedRequest]{
		Less: func(a, b *queuedRequest) bool {
			return a.admitBy < b.admitBy || a.admitBy == b.admitBy && a.sequence < b.sequence
		},
		Index: func(queued *queuedRequest) *int { return &queued.expiryIndex },
	}
}

// newFlowHeap returns a heap of the flows of a tenant with the one with the least start tag at the top.
func newFlowHeap() indexedheap.Heap[*flow] {
	return indexedheap.Heap[*flow]{
		Less: func(a, b *flow) bool {
			return a.startTag < b.startTag || a.startTag == b.startTag && a.sequence < b.sequence
		},
		Index: func(f *flow) *int { return &f.activeIndex },
	}
}

// newLoadHeap returns a heap of the flows of a tenant with the one with the most load at the top.
func newLoadHeap() indexedheap.Heap[*flow] {
	return indexedheap.Heap[*flow]{
		Less: func(a, b *flow) bool {
			loadA, loadB := a.load(), b.load()
			return loadA > loadB || loadA == loadB && a.sequence > b.sequence
		},
		Index: func(f *flow) *int { return &f.loadIndex },
	}
}

// newTenantHeap returns a heap of tenants with the one with the least start tag at the top.
func newTenantHeap() indexedheap.Heap[*tenant] {
	return indexedheap.Heap[*tenant]{
		Less: func(a, b *tenant) bool {
			return a.startTag < b.startTag || a.startTag == b.startTag && a.number < b.number
		},
		Index: func(t *tenant) *int { return &t.activeIndex },
	}
}

// updateFlow adds a flow to its tenant's heaps, moves it in them or removes it from them after a change.
func (q *fairQueue) updateFlow(f *flow) {
	if f.requests.Len() == 0 {
		f.tenant.activeFlows.Remove(f)
		f.tenant.flowsByLoad.Remove(f)
		return
	}
	f.tenant.activeFlows.PushOrFix(f)
	f.tenant.flowsByLoad.PushOrFix(f)
}

// updateTenant adds a tenant to activeTenants, moves it there or removes it after a change.
func (q *fairQueue) updateTenant(t *tenant) {
	if t.activeFlows.Len() == 0 || t.MaxRunning > 0 && t.running >= t.MaxRunning {
		q.activeTenants.Remove(t)
		return
	}
	if t.activeIndex == 0 {
		t.startTag = max(t.startTag, q.virtualTime) // unused service is not carried over
	}
	q.activeTenants.PushOrFix(t)
}
