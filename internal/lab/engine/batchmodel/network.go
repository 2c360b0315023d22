package batchmodel

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// TransferID names a state under way.
type TransferID uint64

// Network is the ways over which read states move: ports of readers, links of cells. What moves over a way shares it
// evenly; a move goes at the pace of its narrowest share. Make it with NewNetwork.
type Network struct {
	ways  []way
	moves []*move // by their numbers
	at    Nanos
}

type way struct {
	rate float64 // tokens a second
	n    int     // moves on it
}

type move struct {
	id   TransferID
	left float64 // tokens
	slow float64 // times as long, as to a far zone
	over []int
}

// NewNetwork makes a net without ways.
func NewNetwork() *Network { return &Network{} }

// AddLink adds a way of so many tokens a second and gives its number.
func (n *Network) AddLink(rate float64) (int, error) {
	if !(rate > 0) {
		return 0, fmt.Errorf("way of %v tokens a second: want more than 0", rate)
	}
	n.ways = append(n.ways, way{rate: rate})
	return len(n.ways) - 1, nil
}

// SetRate changes a way's pace, for what moves on it too; 0 cuts it.
func (n *Network) SetRate(now Nanos, w int, rate float64) {
	n.pass(now)
	n.ways[w].rate = max(rate, 0)
}

// Start begins a move; slow is how many times as long each token takes.
func (n *Network) Start(now Nanos, id TransferID, tokens int, slow float64, over ...int) error {
	i, there := n.find(id)
	if there || tokens < 1 || !(slow >= 1) || len(over) == 0 {
		return fmt.Errorf("move %d of %d tokens, %v times as long, over %v: want a new one, 1 or more, 1 or more, a way at least", id, tokens, slow, over)
	}
	n.pass(now)
	n.moves = slices.Insert(n.moves, i, &move{id, float64(tokens), slow, slices.Clone(over)})
	for _, w := range over {
		n.ways[w].n++
	}
	return nil
}

func (n *Network) find(id TransferID) (int, bool) {
	return slices.BinarySearchFunc(n.moves, id, func(m *move, id TransferID) int { return cmp.Compare(m.id, id) })
}

// Stop ends a move before its time; false if there is none of that number.
func (n *Network) Stop(now Nanos, id TransferID) bool {
	i, there := n.find(id)
	if !there {
		return false
	}
	n.pass(now)
	n.end(i)
	return true
}

func (n *Network) end(i int) {
	for _, w := range n.moves[i].over {
		n.ways[w].n--
	}
	n.moves = slices.Delete(n.moves, i, i+1)
}

// pace of a move now, in tokens a nanosecond.
func (n *Network) pace(m *move) float64 {
	p := math.Inf(1)
	for _, w := range m.over {
		p = min(p, n.ways[w].rate/float64(n.ways[w].n))
	}
	return p / m.slow / 1e9
}

// pass moves everything on to a time. Shares must not have changed since the last.
func (n *Network) pass(now Nanos) {
	if now <= n.at {
		return
	}
	for _, m := range n.moves {
		m.left -= n.pace(m) * float64(now-n.at)
	}
	n.at = now
}

// NextEnd is when the next move ends, if nothing else changes.
func (n *Network) NextEnd() (Nanos, bool) {
	at, some := Nanos(math.MaxInt64), false
	for _, m := range n.moves {
		if p := n.pace(m); p > 0 {
			at, some = min(at, n.at+Nanos(math.Ceil(max(m.left, 0)/p))), true
		}
	}
	return at, some
}

// AdvanceTo moves everything on to a time, in steps from one end to the next, and gives what has ended, in order.
func (n *Network) AdvanceTo(now Nanos, into []TransferID) []TransferID {
	const crumb = 1e-6 // of a token, left by rounding
	for {
		at, some := n.NextEnd()
		if !some || at > now {
			n.pass(now)
			return into
		}
		n.pass(at)
		for i := 0; i < len(n.moves); i++ {
			if n.moves[i].left <= crumb {
				into = append(into, n.moves[i].id)
				n.end(i)
				i--
			}
		}
	}
}
