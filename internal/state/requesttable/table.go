// Package requesttable keeps the requests that a dispatcher has in progress, in a slab whose slots are reused. The
// state of each request is in package inflight.
package requesttable

import "docksail/policy"

// Table is a slab of requests. A request's ID names a slot and its generation, so that the ID of an earlier request
// finds nothing. The zero value is an empty table.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32 // indices of slots that are not in use
	count int
}

// slot is a place for one request at a time.
type slot[T any] struct {
	generation uint32 // how often the slot was used
	used       bool
	value      *T // reused by the next request, and stays where it is while the slab grows
}

// makeID returns the ID of the request in a slot.
func makeID(index, generation uint32) policy.RequestID {
	return policy.RequestID(uint64(generation)<<32 | uint64(index))
}

// splitID returns the slot and generation that an ID names.
func splitID(id policy.RequestID) (index, generation uint32) {
	return uint32(id), uint32(id >> 32)
}

// Add takes a slot for a new request and returns its ID and value. The value is as the slot's last use left it: the
// caller sets it up.
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

// Find returns the request of that ID, or nil if it was removed.
func (t *Table[T]) Find(id policy.RequestID) *T {
	index, generation := splitID(id)
	if int(index) < len(t.slots) && t.slots[index].used && t.slots[index].generation == generation {
		return t.slots[index].value
	}
	return nil
}

// Remove frees the slot of a request. It does nothing if the request was removed before.
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

// Each calls visit for every request in the order of their slots. visit may remove the request.
func (t *Table[T]) Each(visit func(id policy.RequestID, value *T)) {
	for index := range t.slots {
		if s := &t.slots[index]; s.used {
			visit(makeID(uint32(index), s.generation), s.value)
		}
	}
}
