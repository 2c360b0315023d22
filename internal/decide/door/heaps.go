package door

import "container/heap"

// jobHeap is the jobs of a flow, the soonest due first.
type jobHeap []*job

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || h[i].due == h[j].due && h[i].order < h[j].order
}
func (h jobHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}
func (h *jobHeap) Push(x any) {
	w := x.(*job)
	w.at = len(*h)
	*h = append(*h, w)
}
func (h *jobHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// lateHeap is all waiting jobs, the one first for which it is too late soonest.
type lateHeap []*job

func (h lateHeap) Len() int { return len(h) }
func (h lateHeap) Less(i, j int) bool {
	return h[i].late < h[j].late || h[i].late == h[j].late && h[i].order < h[j].order
}
func (h lateHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].lateI, h[j].lateI = i, j
}
func (h *lateHeap) Push(x any) {
	w := x.(*job)
	w.lateI = len(*h)
	*h = append(*h, w)
}
func (h *lateHeap) Pop() any {
	old := *h
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return w
}

// flowHeap is the flows of a tenant that have jobs, least start tag first.
type flowHeap []*flow

func (h flowHeap) Len() int { return len(h) }
func (h flowHeap) Less(i, j int) bool {
	return h[i].start < h[j].start || h[i].start == h[j].start && h[i].order < h[j].order
}
func (h flowHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}
func (h *flowHeap) Push(x any) {
	f := x.(*flow)
	f.at = len(*h)
	*h = append(*h, f)
}
func (h *flowHeap) Pop() any {
	old := *h
	f := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	f.at = -1
	return f
}

// placeFlow puts a flow where it belongs among its tenant's.
func (d *Door) placeFlow(f *flow) {
	t := f.tenant
	switch {
	case len(f.jobs) == 0 && f.at >= 0:
		heap.Remove(&t.active, f.at)
	case len(f.jobs) > 0 && f.at < 0:
		heap.Push(&t.active, f)
	case f.at >= 0:
		heap.Fix(&t.active, f.at)
	}
}

// tenantHeap is the tenants that may have a job let in, least start tag first.
type tenantHeap []*tenant

func (h tenantHeap) Len() int { return len(h) }
func (h tenantHeap) Less(i, j int) bool {
	return h[i].start < h[j].start || h[i].start == h[j].start && h[i].n < h[j].n
}
func (h tenantHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].at, h[j].at = i, j
}
func (h *tenantHeap) Push(x any) {
	t := x.(*tenant)
	t.at = len(*h)
	*h = append(*h, t)
}
func (h *tenantHeap) Pop() any {
	old := *h
	t := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	t.at = -1
	return t
}

// place puts a tenant where it belongs among those that may have a job let in.
func (d *Door) place(t *tenant) {
	may := len(t.active) > 0 && (t.Running == 0 || t.running < t.Running)
	switch {
	case !may && t.at >= 0:
		heap.Remove(&d.active, t.at)
	case may && t.at < 0:
		t.start = max(t.start, d.virtual) // what it could not use is not saved up
		heap.Push(&d.active, t)
	case t.at >= 0:
		heap.Fix(&d.active, t.at)
	}
}
