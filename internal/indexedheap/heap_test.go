package indexedheap

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type item struct{ key, index int }

// TestHeap compares the heap with a plain slice under random pushes, changes of keys and removals.
func TestHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := Heap[*item]{
			Less:  func(a, b *item) bool { return a.key < b.key },
			Index: func(x *item) *int { return &x.index },
		}
		var model []*item
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch operation := rapid.IntRange(0, 3).Draw(t, "operation"); {
			case operation < 2 || len(model) == 0:
				x := &item{key: rapid.IntRange(0, 50).Draw(t, "key")}
				h.PushOrFix(x)
				model = append(model, x)
			case operation == 2:
				x := model[rapid.IntRange(0, len(model)-1).Draw(t, "which")]
				x.key = rapid.IntRange(0, 50).Draw(t, "key")
				h.PushOrFix(x)
			default:
				i := rapid.IntRange(0, len(model)-1).Draw(t, "which")
				h.Remove(model[i])
				h.Remove(model[i]) // a second removal must have no effect
				model = slices.Delete(model, i, i+1)
			}
			if h.Len() != len(model) {
				t.Fatalf("heap has %d items, want %d", h.Len(), len(model))
			}
			if len(model) > 0 {
				least := slices.MinFunc(model, func(a, b *item) int { return a.key - b.key })
				if h.Min().key != least.key {
					t.Fatalf("least key is %d, want %d", h.Min().key, least.key)
				}
			}
		}
		last := -1
		for h.Len() > 0 {
			x := h.Min()
			if x.key < last {
				t.Fatalf("key %d follows %d, want ascending order", x.key, last)
			}
			last = x.key
			h.Remove(x)
		}
	})
}
