// Package indexedheap keeps things in a heap from which any of them can be taken or moved.
package indexedheap

import "container/heap"

// Heap holds things, the least first. Its two functions are set before the first Push: Less orders, and Place gives
// where a thing notes its place in the heap, from 1; 0 says that it is not there.
type Heap[T any] struct {
	Less  func(a, b T) bool
	Index func(T) *int
	list  []T
}

// Len counts the things.
func (h *Heap[T]) Len() int { return len(h.list) }

// Min is the least; the heap must not be empty.
func (h *Heap[T]) Min() T { return h.list[0] }

// Items gives the things in no order that means anything; it is valid until the next change.
func (h *Heap[T]) Items() []T { return h.list }

// PushOrFix puts a thing where it belongs, whether or not it is there already.
func (h *Heap[T]) PushOrFix(x T) {
	if i := *h.Index(x); i > 0 {
		heap.Fix(inner[T]{h}, i-1)
	} else {
		heap.Push(inner[T]{h}, x)
	}
}

// Remove takes a thing out, if it is there.
func (h *Heap[T]) Remove(x T) {
	if i := *h.Index(x); i > 0 {
		heap.Remove(inner[T]{h}, i-1)
	}
}

// Reset empties the heap and keeps its room.
func (h *Heap[T]) Reset() {
	for _, x := range h.list {
		*h.Index(x) = 0
	}
	clear(h.list)
	h.list = h.list[:0]
}

// inner is the heap as container/heap wants it.
type inner[T any] struct{ h *Heap[T] }

func (n inner[T]) Len() int           { return len(n.h.list) }
func (n inner[T]) Less(i, j int) bool { return n.h.Less(n.h.list[i], n.h.list[j]) }
func (n inner[T]) Swap(i, j int) {
	l := n.h.list
	l[i], l[j] = l[j], l[i]
	*n.h.Index(l[i]), *n.h.Index(l[j]) = i+1, j+1
}

func (n inner[T]) Push(x any) {
	n.h.list = append(n.h.list, x.(T))
	*n.h.Index(x.(T)) = len(n.h.list)
}

func (n inner[T]) Pop() any {
	last := len(n.h.list) - 1
	x := n.h.list[last]
	var none T
	n.h.list[last] = none
	n.h.list = n.h.list[:last]
	*n.h.Index(x) = 0
	return x
}
