package requesttable

import (
	"testing"

	"pgregory.net/rapid"

	"docksail/policy"
)

// TestTable compares a table with a map under random additions and removals.
func TestTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var table Table[int]
		model := map[policy.RequestID]int{}
		var ids, removed []policy.RequestID
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(ids) == 0 || rapid.Bool().Draw(t, "add") {
				id, value := table.Add()
				if _, ok := model[id]; ok || id == 0 {
					t.Fatalf("ID %d is zero or already in use", id)
				}
				*value = step
				model[id] = step
				ids = append(ids, id)
			} else {
				i := rapid.IntRange(0, len(ids)-1).Draw(t, "which")
				table.Remove(ids[i])
				delete(model, ids[i])
				removed = append(removed, ids[i])
				ids = append(ids[:i], ids[i+1:]...)
			}
		}
		visited := 0
		table.Each(func(id policy.RequestID, value *int) {
			visited++
			if model[id] != *value {
				t.Fatalf("request %d is %d, want %d", id, *value, model[id])
			}
		})
		if visited != len(model) || table.Len() != len(model) {
			t.Fatalf("visited %d requests, length is %d, want %d", visited, table.Len(), len(model))
		}
		for _, id := range removed {
			if table.Find(id) != nil {
				t.Fatalf("found a request by the removed ID %d", id)
			}
			table.Remove(id)
		}
		if table.Len() != len(model) {
			t.Fatal("removing an ID twice removed another request")
		}
	})
}

func TestTableDoesNotAllocate(t *testing.T) {
	var table Table[[4]int]
	use := func() {
		id, _ := table.Add()
		table.Remove(id)
	}
	use()
	if n := testing.AllocsPerRun(1000, use); n != 0 {
		t.Errorf("%v allocations per request, want 0", n)
	}
}
