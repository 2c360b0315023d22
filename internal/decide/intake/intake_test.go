package intake

import "testing"

func TestTake(t *testing.T) {
	for _, c := range []struct {
		name                   string
		g                      Limits
		inHand                 int
		prompt, left, expected int64
		want                   Verdict
		advice                 int64
	}{
		{"room", Limits{MaxRequests: 10, MaxPromptTokens: 100, ListKnown: true}, 9, 100, 1, 1000, Accepted, 0},
		{"full", Limits{MaxRequests: 10, MaxPromptTokens: 100, ListKnown: true}, 10, 100, 1, 1000, AtCapacity, 500},
		{"too long", Limits{MaxRequests: 10, MaxPromptTokens: 100, ListKnown: true}, 0, 101, 1, 1000, PromptTooLong, 0},
		{"no time", Limits{MaxRequests: 10, MaxPromptTokens: 100, ListKnown: true}, 0, 1, 0, 1000, DeadlineTooClose, 0},
		{"leaving before full", Limits{MaxRequests: 10, MaxPromptTokens: 100, ListKnown: true, Draining: true}, 10, 1, 1, 1000, Draining, 0},
		{"no list yet", Limits{MaxRequests: 10, MaxPromptTokens: 100}, 0, 1, 1, 1000, NoServersKnown, 1000},
	} {
		got, advice := c.g.Check(c.inHand, c.prompt, c.left, c.expected)
		if got != c.want || advice != c.advice {
			t.Errorf("%s: %v, advice %d, want %v, %d", c.name, got, advice, c.want, c.advice)
		}
		if got.IsRetryable() == (got == PromptTooLong) {
			t.Errorf("%s: harmless %v: only what can never be taken is not worth another try", c.name, got.IsRetryable())
		}
	}
}

func TestAtEnd(t *testing.T) {
	for _, c := range []struct {
		redoable, ran bool
		want          DrainOutcome
	}{{true, true, Rejected}, {true, false, Rejected}, {false, false, Rejected}, {false, true, Failed}} {
		if got := OutcomeAtDrainDeadline(c.redoable, c.ran); got != c.want {
			t.Errorf("redoable %v, may have run %v: %v, want %v", c.redoable, c.ran, got, c.want)
		}
	}
}
