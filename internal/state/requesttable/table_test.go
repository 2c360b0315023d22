package requesttable

import (
	"docksail/policy"
	"testing"

	"pgregory.net/rapid"
)

// TestTable plays random uses against a map.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table[int]
		model := map[policy.RequestID]int{}
		var ids, old []policy.RequestID
		for i := range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(ids) == 0 || rapid.Bool().Draw(t, "add") {
				id, v := table.Add()
				if _, ok := model[id]; ok || id == 0 {
					t.Fatalf("id %d is in use, or none", id)
				}
				*v = i
				model[id] = i
				ids = append(ids, id)
			} else {
				k := rapid.IntRange(0, len(ids)-1).Draw(t, "which")
				table.Remove(ids[k])
				delete(model, ids[k])
				old = append(old, ids[k])
				ids = append(ids[:k], ids[k+1:]...)
			}
		}
		n := 0
		table.Each(func(id policy.RequestID, v *int) {
			n++
			if model[id] != *v {
				t.Fatalf("request %d is %d, want %d", id, *v, model[id])
			}
		})
		if n != len(model) || table.Len() != len(model) {
			t.Fatalf("%d requests, %d by count, want %d", n, table.Len(), len(model))
		}
		for _, id := range old {
			if table.Find(id) != nil {
				t.Fatalf("old id %d finds a request", id)
			}
			table.Remove(id) // does no harm
		}
		if table.Len() != len(model) {
			t.Fatal("dropping an old id took another request")
		}
	})
}

func TestAllocates(t *testing.T) {
	var table Table[[4]int]
	use := func() {
		id, _ := table.Add()
		table.Remove(id)
	}
	use()
	if n := testing.AllocsPerRun(1000, use); n != 0 {
		t.Errorf("%v allocations a request, want none", n)
	}
}
