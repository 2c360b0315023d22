package indexedheap

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

type thing struct{ key, at int }

// TestHeap plays puts, moves and takes against a sorted list.
func TestHeap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := Heap[*thing]{Less: func(a, b *thing) bool { return a.key < b.key }, Index: func(x *thing) *int { return &x.at }}
		var model []*thing
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch what := rapid.IntRange(0, 3).Draw(t, "what"); {
			case what < 2 || len(model) == 0:
				x := &thing{key: rapid.IntRange(0, 50).Draw(t, "key")}
				h.PushOrFix(x)
				model = append(model, x)
			case what == 2:
				x := model[rapid.IntRange(0, len(model)-1).Draw(t, "which")]
				x.key = rapid.IntRange(0, 50).Draw(t, "key")
				h.PushOrFix(x)
			default:
				i := rapid.IntRange(0, len(model)-1).Draw(t, "which")
				h.Remove(model[i])
				h.Remove(model[i]) // does no harm
				model = slices.Delete(model, i, i+1)
			}
			if h.Len() != len(model) {
				t.Fatalf("%d things, want %d", h.Len(), len(model))
			}
			if len(model) > 0 {
				if least := slices.MinFunc(model, func(a, b *thing) int { return a.key - b.key }); h.Min().key != least.key {
					t.Fatalf("least is %d, want %d", h.Min().key, least.key)
				}
			}
		}
		last := -1
		for h.Len() > 0 {
			x := h.Min()
			if x.key < last {
				t.Fatal("out of order")
			}
			last = x.key
			h.Remove(x)
		}
	})
}
