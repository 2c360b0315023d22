package memory

import "testing"

const testMemory = 100 << 20 // bytes; the budget is 30 MiB

// TestBudgetAdmitsUpToItsCeilings guards against peers that fill the memory with one kind of bytes: requests and
// partial requests leave room for small requests, and these for answers.
func TestBudgetAdmitsUpToItsCeilings(t *testing.T) {
	const large = 256 << 10
	for name, test := range map[string]struct {
		use   Use
		bytes int64
		want  float64 // fraction of the budget
	}{
		"partial requests":       {PartialRequests, large, ceilings[PartialRequests].own},
		"requests":               {Requests, large, ceilings[Requests].own},
		"small partial requests": {PartialRequests, smallBytes, smallCeiling},
		"small requests":         {Requests, smallBytes, smallCeiling},
		"answers":                {Responses, large, 1},
	} {
		t.Run(name, func(t *testing.T) {
			budget := New(testMemory)
			held := int64(0)
			for ; budget.Admits(test.use, 0, test.bytes); held += test.bytes {
				account := budget.NewAccount(test.use)
				account.Set(test.bytes)
			}
			limit := test.want * float64(budget.limit)
			if float64(held) > limit || float64(held+test.bytes) <= limit {
				t.Errorf("admitted %d bytes, want the most that do not exceed %.0f", held, limit)
			}
			if refused := budget.Status().Refused[test.use]; refused != 1 {
				t.Errorf("%d refusals counted, want 1", refused)
			}
		})
	}
}

// TestGrowthIsJudgedByTheWhole guards against large requests that grow in small steps and so take the room that is left
// for small ones.
func TestGrowthIsJudgedByTheWhole(t *testing.T) {
	budget := New(testMemory)
	account := budget.NewAccount(PartialRequests)
	for budget.Admits(PartialRequests, account.Bytes(), smallBytes/2) {
		account.Set(account.Bytes() + smallBytes/2)
	}
	if limit := ceilings[PartialRequests].own * float64(budget.limit); float64(account.Bytes()) > limit {
		t.Errorf("a request grew to %d bytes, want at most %.0f", account.Bytes(), limit)
	}
}

// TestHeapLimitLeavesRoomForTheProgram guards against a heap that, beside the program itself, passes the limit of a
// small process.
func TestHeapLimitLeavesRoomForTheProgram(t *testing.T) {
	for _, test := range []struct{ memoryMB, wantMB int64 }{{32, 8}, {48, 24}, {80, 48}, {200, 120}} {
		if got := HeapLimit(test.memoryMB << 20); got != test.wantMB<<20 {
			t.Errorf("%d MB: heap limit %d, want %d", test.memoryMB, got, test.wantMB<<20)
		}
	}
}

// TestMeasuredMemoryRefusesLargeRequests guards against memory that no account counts: while the process uses more than
// it may, large requests are refused and small ones admitted.
func TestMeasuredMemoryRefusesLargeRequests(t *testing.T) {
	budget := New(testMemory)
	budget.SetMeasured(testMemory)
	if budget.Admits(Requests, 0, 2*smallBytes) || !budget.Admits(Requests, 0, smallBytes) {
		t.Error("want a large request refused and a small one admitted")
	}
	budget.SetMeasured(0)
	if !budget.Admits(Requests, 0, 2*smallBytes) {
		t.Error("a large request is refused after the memory was freed")
	}
}

// TestSendersArePausedEarlier guards against answers that fill the budget while many clients do not read.
func TestSendersArePausedEarlier(t *testing.T) {
	budget := New(testMemory)
	output := int64(0)
	budget.MeasureOutput(func() int64 { return output })
	if got := budget.PauseThreshold(); got != pauseBytes {
		t.Errorf("threshold %d, want %d", got, pauseBytes)
	}
	output = budget.limit/4 + 1
	if got := budget.PauseThreshold(); got != 0 {
		t.Errorf("threshold %d while answers fill a quarter of the budget, want 0", got)
	}
}

// TestNoBudget checks that a nil budget admits everything and that its accounts may be used.
func TestNoBudget(t *testing.T) {
	var budget *Budget
	account := budget.NewAccount(Requests)
	account.Set(1 << 40)
	if !budget.Admits(Requests, 0, 1<<40) || budget.PauseThreshold() != pauseBytes || budget.Status() != (Status{}) {
		t.Error("a nil budget has a limit")
	}
}
