// Package indexedheap implements a min-heap in which any item can be removed, or moved after its key has changed, in
// logarithmic time.
package indexedheap

import "container/heap"

// Heap is a min-heap of items that record their own position in it. Less and Index must be set before the first item is
// pushed and must not change afterwards.
type Heap[T any] struct {
	// Less reports whether a sorts before b.
	Less func(a, b T) bool
	// Index returns a pointer to the field in which item records its position in this heap, counted from 1. The field
	// is 0 while item is not in the heap. Only the heap writes it.
	Index func(item T) *int

	items []T
}

// Len returns the number of items.
func (h *Heap[T]) Len() int { return len(h.items) }

// Min returns the least item without removing it. It panics if the heap is empty.
func (h *Heap[T]) Min() T { return h.items[0] }

// Items returns all items in unspecified order. The slice is valid until the next change and must not be modified.
func (h *Heap[T]) Items() []T { return h.items }

// PushOrFix adds item. If item is already in the heap, PushOrFix moves it to its position after a change of its key.
func (h *Heap[T]) PushOrFix(item T) {
	if position := *h.Index(item); position > 0 {
		heap.Fix(adapter[T]{h}, position-1)
	} else {
		heap.Push(adapter[T]{h}, item)
	}
}

// Remove removes item. It does nothing if item is not in the heap.
func (h *Heap[T]) Remove(item T) {
	if position := *h.Index(item); position > 0 {
		heap.Remove(adapter[T]{h}, position-1)
	}
}

// adapter implements heap.Interface for a Heap, so that Heap need not export those methods.
type adapter[T any] struct{ heap *Heap[T] }

func (a adapter[T]) Len() int           { return len(a.heap.items) }
func (a adapter[T]) Less(i, j int) bool { return a.heap.Less(a.heap.items[i], a.heap.items[j]) }

func (a adapter[T]) Swap(i, j int) {
	items := a.heap.items
	items[i], items[j] = items[j], items[i]
	*a.heap.Index(items[i]), *a.heap.Index(items[j]) = i+1, j+1
}

func (a adapter[T]) Push(x any) {
	item := x.(T)
	a.heap.items = append(a.heap.items, item)
	*a.heap.Index(item) = len(a.heap.items)
}

func (a adapter[T]) Pop() any {
	last := len(a.heap.items) - 1
	item := a.heap.items[last]
	var zero T
	a.heap.items[last] = zero // lets the garbage collector free the item
	a.heap.items = a.heap.items[:last]
	*a.heap.Index(item) = 0
	return item
}
