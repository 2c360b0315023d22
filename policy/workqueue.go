package policy

// workQueue holds the slots of the requests that need a decision: a binary heap by compareUrgency, so that a server
// goes to the request whose caller has the least time left.
type workQueue struct{ slots []int32 }

// enqueue adds a request to the work queue. If it is already there, it moves to its place after a change of its
// urgency.
func (t *requestTable) enqueue(slot int32) {
	req := &t.entries[slot]
	if !req.enqueued {
		req.enqueued, req.queueIndex = true, int32(len(t.queue.slots))
		t.queue.slots = append(t.queue.slots, slot)
	}
	t.moveUp(req.queueIndex)
	t.moveDown(req.queueIndex)
}

// peek returns the slot of the most urgent request in the work queue, and whether there is one.
func (t *requestTable) peek() (int32, bool) {
	if len(t.queue.slots) == 0 {
		return 0, false
	}
	return t.queue.slots[0], true
}

// dequeue removes a request from the work queue.
func (t *requestTable) dequeue(slot int32) {
	index, last := t.entries[slot].queueIndex, int32(len(t.queue.slots)-1)
	t.swap(index, last)
	t.queue.slots = t.queue.slots[:last]
	t.entries[slot].enqueued = false
	if index < last {
		t.moveUp(index)
		t.moveDown(index)
	}
}

func (t *requestTable) swap(i, j int32) {
	slots := t.queue.slots
	slots[i], slots[j] = slots[j], slots[i]
	t.entries[slots[i]].queueIndex, t.entries[slots[j]].queueIndex = i, j
}

func (t *requestTable) isMoreUrgent(i, j int32) bool {
	return compareUrgency(&t.entries[t.queue.slots[i]], &t.entries[t.queue.slots[j]]) < 0
}

func (t *requestTable) moveUp(i int32) {
	for parent := (i - 1) / 2; i > 0 && t.isMoreUrgent(i, parent); i, parent = parent, (parent-1)/2 {
		t.swap(i, parent)
	}
}

func (t *requestTable) moveDown(i int32) {
	for count := int32(len(t.queue.slots)); ; {
		least := i
		for child := 2*i + 1; child <= 2*i+2 && child < count; child++ {
			if t.isMoreUrgent(child, least) {
				least = child
			}
		}
		if least == i {
			return
		}
		t.swap(i, least)
		i = least
	}
}
