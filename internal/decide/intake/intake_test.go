package intake

import "testing"

func TestTake(t *testing.T) {
	for _, c := range []struct {
		name                   string
		g                      Limits
		inHand                 int
		prompt, left, expected int64
		want                   Cause
		advice                 int64
	}{
		{"room", Limits{Requests: 10, PromptTokens: 100, ListKnown: true}, 9, 100, 1, 1000, Accepted, 0},
		{"full", Limits{Requests: 10, PromptTokens: 100, ListKnown: true}, 10, 100, 1, 1000, Full, 500},
		{"too long", Limits{Requests: 10, PromptTokens: 100, ListKnown: true}, 0, 101, 1, 1000, TooLong, 0},
		{"no time", Limits{Requests: 10, PromptTokens: 100, ListKnown: true}, 0, 1, 0, 1000, NoTime, 0},
		{"leaving before full", Limits{Requests: 10, PromptTokens: 100, ListKnown: true, Draining: true}, 10, 1, 1, 1000, Draining, 0},
		{"no list yet", Limits{Requests: 10, PromptTokens: 100}, 0, 1, 1, 1000, NoServer, 1000},
	} {
		got, advice := c.g.Check(c.inHand, c.prompt, c.left, c.expected)
		if got != c.want || advice != c.advice {
			t.Errorf("%s: %v, advice %d, want %v, %d", c.name, got, advice, c.want, c.advice)
		}
		if got.Harmless() == (got == TooLong) {
			t.Errorf("%s: harmless %v: only what can never be taken is not worth another try", c.name, got.Harmless())
		}
	}
}

func TestAtEnd(t *testing.T) {
	for _, c := range []struct {
		redoable, ran bool
		want          Answer
	}{{true, true, Rejected}, {true, false, Rejected}, {false, false, Rejected}, {false, true, Failed}} {
		if got := AtDrainEnd(c.redoable, c.ran); got != c.want {
			t.Errorf("redoable %v, may have run %v: %v, want %v", c.redoable, c.ran, got, c.want)
		}
	}
}
