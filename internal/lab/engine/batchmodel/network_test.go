package batchmodel

import (
	"math"
	"testing"

	"pgregory.net/rapid"
)

const second = Nanos(1e9)

// mustAddLink adds a link with the given rate.
func mustAddLink(t testingT, n *Network, tokensPerSecond float64) int {
	t.Helper()
	index, err := n.AddLink(tokensPerSecond)
	if err != nil {
		t.Fatal(err)
	}
	return index
}

// mustStart starts a transfer at time 0.
func mustStart(t testingT, n *Network, id TransferID, tokens int, slowdown float64, links ...int) {
	t.Helper()
	if err := n.Start(0, id, tokens, slowdown, links...); err != nil {
		t.Fatal(err)
	}
}

// testingT is the part of *testing.T and *rapid.T that helpers use.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

// TestTransfersShareLinks checks that a single transfer uses the full rate of its links, that two transfers over one
// link share it, and that a slowdown lengthens a transfer.
func TestTransfersShareLinks(t *testing.T) {
	n := NewNetwork()
	fastLink := mustAddLink(t, n, 1000)
	link := mustAddLink(t, n, 500)
	for _, c := range []struct {
		name  string
		start func()
		want  map[TransferID]Nanos
	}{
		{"single transfer", func() { mustStart(t, n, 1, 1000, 1, fastLink) }, map[TransferID]Nanos{1: second}},
		{"over a slower link", func() { mustStart(t, n, 1, 1000, 1, fastLink, link) }, map[TransferID]Nanos{1: 2 * second}},
		{"with a slowdown", func() { mustStart(t, n, 1, 1000, 3, fastLink) }, map[TransferID]Nanos{1: 3 * second}},
		{"two over a link", func() {
			mustStart(t, n, 1, 1000, 1, fastLink)
			mustStart(t, n, 2, 1000, 1, fastLink)
		}, map[TransferID]Nanos{1: 2 * second, 2: 2 * second}},
		{"a short and a long one", func() {
			mustStart(t, n, 1, 500, 1, fastLink)
			mustStart(t, n, 2, 1000, 1, fastLink)
		}, map[TransferID]Nanos{1: second, 2: second + second/2}},
	} {
		n.now = 0
		c.start()
		got := map[TransferID]Nanos{}
		for len(n.transfers) > 0 {
			at, ok := n.NextEnd()
			if !ok {
				t.Fatalf("%s: no transfer ends", c.name)
			}
			for _, id := range n.AdvanceTo(at, nil) {
				got[id] = at
			}
		}
		for id, want := range c.want {
			if d := got[id] - want; d < -10 || d > 10 {
				t.Errorf("%s: transfer %d ended at %d, want %d", c.name, id, got[id], want)
			}
		}
	}
}

// TestLinkInterrupted checks that a transfer stops while the rate of its link is 0 and resumes afterwards.
func TestLinkInterrupted(t *testing.T) {
	n := NewNetwork()
	link := mustAddLink(t, n, 1000)
	mustStart(t, n, 1, 1000, 1, link)
	n.SetRate(second/2, link, 0)
	if _, ok := n.NextEnd(); ok || len(n.AdvanceTo(10*second, nil)) > 0 {
		t.Error("a transfer ended over a link of rate 0")
	}
	n.SetRate(10*second, link, 1000)
	if at, ok := n.NextEnd(); !ok || at < 10*second+second/2-10 || at > 10*second+second/2+10 {
		t.Errorf("after the interruption the transfer ends at %d, want %d", at, 10*second+second/2)
	}
}

// TestNetworkProperties checks, for random transfers, that no link exceeds its rate, that each transfer ends once, and
// that the result does not depend on how often the network is advanced.
func TestNetworkProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		coarse, fine := NewNetwork(), NewNetwork()
		rates := []float64{}
		for range rapid.IntRange(1, 4).Draw(t, "links") {
			r := float64(rapid.IntRange(1, 100).Draw(t, "rate")) * 100
			rates = append(rates, r)
			mustAddLink(t, coarse, r)
			mustAddLink(t, fine, r)
		}
		moved := make([]float64, len(rates))
		size, links := map[TransferID]int{}, map[TransferID][]int{}
		ended := map[TransferID]bool{}
		now := Nanos(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			id, tokens := TransferID(i+1), rapid.IntRange(1, 5000).Draw(t, "tokens")
			link := rapid.IntRange(0, len(rates)-1).Draw(t, "link")
			if coarse.Start(now, id, tokens, 1, link) != nil || fine.Start(now, id, tokens, 1, link) != nil {
				t.Fatal("a new transfer was rejected")
			}
			size[id], links[id] = tokens, []int{link}
			target := now + rapid.Int64Range(0, 2e9).Draw(t, "time")
			for now < target {
				now = min(now+rapid.Int64Range(1, 1e9).Draw(t, "time step"), target)
				fine.AdvanceTo(now, nil)
			}
			for _, id := range coarse.AdvanceTo(now, nil) {
				if ended[id] {
					t.Fatalf("transfer %d ended twice", id)
				}
				ended[id] = true
				for _, link := range links[id] {
					moved[link] += float64(size[id])
				}
			}
			if len(coarse.transfers) != len(fine.transfers) {
				t.Fatalf("%d transfers, advanced in smaller steps %d", len(coarse.transfers), len(fine.transfers))
			}
			for i, x := range coarse.transfers {
				if y := fine.transfers[i]; math.Abs(x.tokensLeft-y.tokensLeft) > 0.01 {
					t.Fatalf("transfer %d has %v tokens left, advanced in smaller steps %v", x.id, x.tokensLeft, y.tokensLeft)
				}
			}
			for link, r := range rates {
				if moved[link] > r*float64(now)/1e9+0.01 {
					t.Fatalf("link %d moved %v tokens by %d, its rate allows %v", link, moved[link], now, r*float64(now)/1e9)
				}
			}
		}
		if got := coarse.AdvanceTo(1<<60, nil); len(ended)+len(got) != len(size) {
			t.Fatalf("%d of %d transfers ended", len(ended)+len(got), len(size))
		}
	})
}
