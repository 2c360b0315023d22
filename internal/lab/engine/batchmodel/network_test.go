package batchmodel

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

const second = Nanos(1e9)

// TestShares: alone a move takes its tokens at its way's pace; two on one way take twice as long; a far zone
// stretches it.
func TestShares(t *testing.T) {
	n := NewNetwork()
	port, _ := n.AddLink(1000)
	link, _ := n.AddLink(500)
	for _, c := range []struct {
		name  string
		start func()
		want  map[TransferID]Nanos
	}{
		{"alone", func() { n.Start(0, 1, 1000, 1, port) }, map[TransferID]Nanos{1: second}},
		{"over a narrow link", func() { n.Start(0, 1, 1000, 1, port, link) }, map[TransferID]Nanos{1: 2 * second}},
		{"to a far zone", func() { n.Start(0, 1, 1000, 3, port) }, map[TransferID]Nanos{1: 3 * second}},
		{"two at a port", func() { n.Start(0, 1, 1000, 1, port); n.Start(0, 2, 1000, 1, port) }, map[TransferID]Nanos{1: 2 * second, 2: 2 * second}},
		{
			"a short one beside a long one", func() { n.Start(0, 1, 500, 1, port); n.Start(0, 2, 1000, 1, port) },
			map[TransferID]Nanos{1: second, 2: second + second/2},
		},
	} {
		n.at = 0
		c.start()
		got := map[TransferID]Nanos{}
		for len(n.moves) > 0 {
			at, ok := n.NextEnd()
			if !ok {
				t.Fatalf("%s: nothing ends", c.name)
			}
			for _, id := range n.AdvanceTo(at, nil) {
				got[id] = at
			}
		}
		for id, want := range c.want {
			if d := got[id] - want; d < -10 || d > 10 {
				t.Errorf("%s: move %d ended at %d, want %d", c.name, id, got[id], want)
			}
		}
	}
}

// TestCut: over a way that is cut nothing moves, and nothing is lost.
func TestCut(t *testing.T) {
	n := NewNetwork()
	w, _ := n.AddLink(1000)
	n.Start(0, 1, 1000, 1, w)
	n.SetRate(second/2, w, 0)
	if _, ok := n.NextEnd(); ok || len(n.AdvanceTo(10*second, nil)) > 0 {
		t.Error("a move ended over a way that is cut")
	}
	n.SetRate(10*second, w, 1000)
	if at, ok := n.NextEnd(); !ok || at < 10*second+second/2-10 || at > 10*second+second/2+10 {
		t.Errorf("after the cut it ends at %d, want %d", at, 10*second+second/2)
	}
}

// TestNet plays random moves: no way carries more than its pace, a way with moves on it alone is never idle, and
// looking more often changes nothing.
func TestNet(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewNetwork(), NewNetwork()
		rates := []float64{}
		for range rapid.IntRange(1, 4).Draw(t, "ways") {
			r := float64(rapid.IntRange(1, 100).Draw(t, "rate")) * 100
			rates = append(rates, r)
			a.AddLink(r)
			b.AddLink(r)
		}
		moved := make([]float64, len(rates))
		size, over := map[TransferID]int{}, map[TransferID][]int{}
		ended := map[TransferID]bool{}
		now := Nanos(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			id, tokens := TransferID(i+1), rapid.IntRange(1, 5000).Draw(t, "tokens")
			w := rapid.IntRange(0, len(rates)-1).Draw(t, "way")
			if a.Start(now, id, tokens, 1, w) != nil || b.Start(now, id, tokens, 1, w) != nil {
				t.Fatal("a new move is refused")
			}
			size[id], over[id] = tokens, []int{w}
			to := now + rapid.Int64Range(0, 2e9).Draw(t, "time")
			for now < to { // b is looked at more often
				now = min(now+rapid.Int64Range(1, 1e9).Draw(t, "look"), to)
				b.AdvanceTo(now, nil)
			}
			for _, id := range a.AdvanceTo(now, nil) {
				if ended[id] {
					t.Fatalf("move %d ended twice", id)
				}
				ended[id] = true
				for _, w := range over[id] {
					moved[w] += float64(size[id])
				}
			}
			if len(a.moves) != len(b.moves) {
				t.Fatalf("%d under way, looked at more often %d", len(a.moves), len(b.moves))
			}
			for i := range a.moves {
				if math.Abs(a.moves[i].left-b.moves[i].left) > 0.01 {
					t.Fatalf("move %d has %v left, looked at more often %v", a.moves[i].id, a.moves[i].left, b.moves[i].left)
				}
			}
			for w, r := range rates {
				if moved[w] > r*float64(now)/1e9+0.01 {
					t.Fatalf("way %d moved %v tokens by %d, its pace allows %v", w, moved[w], now, r*float64(now)/1e9)
				}
			}
		}
		if got := a.AdvanceTo(1<<60, nil); len(ended)+len(got) != len(size) {
			t.Fatalf("%d of %d moves ended", len(ended)+len(got), len(size))
		}
	})
}
