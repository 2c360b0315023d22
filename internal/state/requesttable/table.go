// Package requesttable keeps the requests that a dispatcher has in hand, in a slab with reused places. What is owed for each is in
// decide/effects.
package requesttable

import "docksail/policy"

// Table is a slab of requests. An id names a place and its use, so that an old id finds nothing. Its zero value
// is ready.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32
	n     int
}

type slot[T any] struct {
	gen   uint32
	used  bool
	value *T // kept over uses: what points into it stays right while the slab grows
}

// Add takes a place. The request in it is as its last use left it: the caller sets it up anew.
func (t *Table[T]) Add() (policy.RequestID, *T) {
	var i uint32
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
	} else {
		i = uint32(len(t.slots))
		t.slots = append(t.slots, slot[T]{value: new(T)})
	}
	p := &t.slots[i]
	p.gen++
	p.used = true
	t.n++
	return policy.RequestID(uint64(p.gen)<<32 | uint64(i)), p.value
}

// Find gives the request of an id; nil if it is over.
func (t *Table[T]) Find(id policy.RequestID) *T {
	i, gen := uint32(id), uint32(id>>32)
	if int(i) < len(t.slots) && t.slots[i].used && t.slots[i].gen == gen {
		return t.slots[i].value
	}
	return nil
}

// Remove frees the place of an id.
func (t *Table[T]) Remove(id policy.RequestID) {
	if t.Find(id) != nil {
		t.slots[uint32(id)].used = false
		t.free = append(t.free, uint32(id))
		t.n--
	}
}

// Len counts the requests in hand.
func (t *Table[T]) Len() int { return t.n }

// Each calls f for every request in hand, in the order of their places; f may drop it.
func (t *Table[T]) Each(f func(id policy.RequestID, value *T)) {
	for i := range t.slots {
		if p := &t.slots[i]; p.used {
			f(policy.RequestID(uint64(p.gen)<<32|uint64(i)), p.value)
		}
	}
}
