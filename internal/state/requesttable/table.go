// Package requesttable stores the requests that a dispatcher has in progress, in a slab whose slots are reused. Package
// inflight defines the state of a request.
package requesttable

import "docksail/policy"

// Table is a slab of requests. A request's ID encodes a slot and its generation, so that the ID of a removed request is
// not mistaken for that of the slot's next one. The zero value is an empty table.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32 // indices of slots that are not in use
	count int
}

// slot holds one request at a time.
type slot[T any] struct {
	generation uint32 // incremented at each use of the slot
	used       bool
	value      *T // reused by the next request; not moved when the slab grows
}

// makeID returns the request ID of a slot and generation.
func makeID(index, generation uint32) policy.RequestID {
	return policy.RequestID(uint64(generation)<<32 | uint64(index))
}

// splitID returns the slot and generation that a request ID encodes.
func splitID(id policy.RequestID) (index, generation uint32) {
	return uint32(id), uint32(id >> 32)
}

// Add allocates a slot for a new request and returns its ID and value. The value may have the content of an earlier
// request: the caller must initialize it.
func (t *Table[T]) Add() (policy.RequestID, *T) {
	var index uint32
	if n := len(t.free); n > 0 {
		index, t.free = t.free[n-1], t.free[:n-1]
	} else {
		index = uint32(len(t.slots))
		t.slots = append(t.slots, slot[T]{value: new(T)})
	}
	s := &t.slots[index]
	s.generation++
	s.used = true
	t.count++
	return makeID(index, s.generation), s.value
}

// Find returns the request with that ID, or nil if there is none.
func (t *Table[T]) Find(id policy.RequestID) *T {
	index, generation := splitID(id)
	if int(index) < len(t.slots) && t.slots[index].used && t.slots[index].generation == generation {
		return t.slots[index].value
	}
	return nil
}

// Remove frees the slot of a request. It does nothing if the request was already removed.
func (t *Table[T]) Remove(id policy.RequestID) {
	if t.Find(id) == nil {
		return
	}
	index, _ := splitID(id)
	t.slots[index].used = false
	t.free = append(t.free, index)
	t.count--
}

// Len returns the number of requests.
func (t *Table[T]) Len() int { return t.count }

// Each calls visit for every request in slot order. visit may remove the request that it is called for.
func (t *Table[T]) Each(visit func(id policy.RequestID, value *T)) {
	for index := range t.slots {
		if s := &t.slots[index]; s.used {
			visit(makeID(uint32(index), s.generation), s.value)
		}
	}
}
