package gate

import "testing"

func TestTake(t *testing.T) {
	for _, c := range []struct {
		name                   string
		g                      Gate
		inHand                 int
		prompt, left, expected int64
		want                   Cause
		advice                 int64
	}{
		{"room", Gate{Most: 10, Prompt: 100, Known: true}, 9, 100, 1, 1000, Taken, 0},
		{"full", Gate{Most: 10, Prompt: 100, Known: true}, 10, 100, 1, 1000, Full, 500},
		{"too long", Gate{Most: 10, Prompt: 100, Known: true}, 0, 101, 1, 1000, TooLong, 0},
		{"no time", Gate{Most: 10, Prompt: 100, Known: true}, 0, 1, 0, 1000, NoTime, 0},
		{"leaving before full", Gate{Most: 10, Prompt: 100, Known: true, Leaving: true}, 10, 1, 1, 1000, Leaving, 0},
		{"no list yet", Gate{Most: 10, Prompt: 100}, 0, 1, 1, 1000, NoEngine, 1000},
	} {
		got, advice := c.g.Take(c.inHand, c.prompt, c.left, c.expected)
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
		want          End
	}{{true, true, Nacked}, {true, false, Nacked}, {false, false, Nacked}, {false, true, Abandoned}} {
		if got := AtEnd(c.redoable, c.ran); got != c.want {
			t.Errorf("redoable %v, may have run %v: %v, want %v", c.redoable, c.ran, got, c.want)
		}
	}
}
