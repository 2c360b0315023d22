package requests

import (
	"testing"

	"pgregory.net/rapid"

	"docksail/policy"
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
				table.Drop(ids[k])
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
			table.Drop(id) // does no harm
		}
		if table.Len() != len(model) {
			t.Fatal("dropping an old id took another request")
		}
	})
}

// TestAccount: whatever is asked in whatever order, one final answer, one attempt out, no attempt after the answer.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Record{ID: 1}
		answers, out := 0, false
		next := policy.AttemptNumber(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				if a.Answer() == nil {
					answers++
				}
			case 1:
				shot, err := a.BeginAttempt()
				if (err == nil) != (!out && answers == 0) {
					t.Fatalf("attempt: %v while out %v, %d answers", err, out, answers)
				}
				if err == nil {
					if shot != next {
						t.Fatalf("attempt is number %d, want %d", shot, next)
					}
					out, next = true, next+1
				}
			case 2:
				shot := policy.AttemptNumber(rapid.IntRange(0, int(next)+1).Draw(t, "shot"))
				err := a.EndAttempt(shot)
				if (err == nil) != (out && shot == next-1) {
					t.Fatalf("end of %d: %v while out %v, last %d", shot, err, out, next-1)
				}
				out = out && err != nil
			case 3:
				a.HoldState(3)
			case 4:
				a.ReleaseState()
			}
			_, held := a.StateHeld()
			if a.Done() != (answers == 1 && !out && !held) {
				t.Fatalf("done %v with %d answers, out %v, held %v", a.Done(), answers, out, held)
			}
		}
		if answers > 1 {
			t.Fatalf("%d final answers", answers)
		}
	})
}

func TestAllocates(t *testing.T) {
	var table Table[Record]
	use := func() {
		id, a := table.Add()
		*a = Record{ID: id}
		a.BeginAttempt()
		a.EndAttempt(0)
		a.Answer()
		table.Drop(id)
	}
	use()
	if n := testing.AllocsPerRun(1000, use); n != 0 {
		t.Errorf("%v allocations a request, want none", n)
	}
}
