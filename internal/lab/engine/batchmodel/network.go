package batchmodel

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// TransferID identifies a transfer of a state.
type TransferID uint64

// Network is the links over which states move between servers: ports of prefill servers and links of cells. The
// transfers over a link share it evenly, and a transfer is as fast as its smallest share. Make it with NewNetwork.
type Network struct {
	links     []link
	transfers []*transfer // by ID
	now       Nanos       // the time to which all transfers are advanced
}

type link struct {
	tokensPerSecond float64
	transfers       int // that use it now
}

type transfer struct {
	id         TransferID
	tokensLeft float64
	slowdown   float64 // multiple of the time that each token takes
	links      []int
}

// NewNetwork returns a network without links.
func NewNetwork() *Network { return &Network{} }

// AddLink adds a link of the given rate and returns its index.
func (n *Network) AddLink(tokensPerSecond float64) (int, error) {
	if !(tokensPerSecond > 0) {
		return 0, fmt.Errorf("link of %v tokens a second: want more than 0", tokensPerSecond)
	}
	n.links = append(n.links, link{tokensPerSecond: tokensPerSecond})
	return len(n.links) - 1, nil
}

// SetRate changes the rate of a link, also for the transfers that use it now. 0 stops them.
func (n *Network) SetRate(now Nanos, index int, tokensPerSecond float64) {
	n.advance(now)
	n.links[index].tokensPerSecond = max(tokensPerSecond, 0)
}

// Start begins a transfer over the given links. Each token takes slowdown times as long as the links alone would.
func (n *Network) Start(now Nanos, id TransferID, tokens int, slowdown float64, links ...int) error {
	i, exists := n.find(id)
	if exists || tokens < 1 || !(slowdown >= 1) || len(links) == 0 {
		return fmt.Errorf("transfer %d (exists: %v) of %d tokens, slowdown %v, over links %v: "+
			"want a new ID, 1 token or more, a slowdown of 1 or more and one link or more", id, exists, tokens, slowdown, links)
	}
	n.advance(now)
	t := &transfer{id: id, tokensLeft: float64(tokens), slowdown: slowdown, links: slices.Clone(links)}
	n.transfers = slices.Insert(n.transfers, i, t)
	for _, index := range links {
		n.links[index].transfers++
	}
	return nil
}

// find returns the index of a transfer, or the one at which it would be inserted and false.
func (n *Network) find(id TransferID) (int, bool) {
	return slices.BinarySearchFunc(n.transfers, id, func(t *transfer, id TransferID) int { return cmp.Compare(t.id, id) })
}

// Stop ends a transfer early. It returns false if there is none of this ID.
func (n *Network) Stop(now Nanos, id TransferID) bool {
	i, exists := n.find(id)
	if !exists {
		return false
	}
	n.advance(now)
	n.remove(i)
	return true
}

func (n *Network) remove(i int) {
	for _, index := range n.transfers[i].links {
		n.links[index].transfers--
	}
	n.transfers = slices.Delete(n.transfers, i, i+1)
}

// rate returns the present speed of a transfer in tokens a nanosecond.
func (n *Network) rate(t *transfer) float64 {
	share := math.Inf(1)
	for _, index := range t.links {
		l := &n.links[index]
		share = min(share, l.tokensPerSecond/float64(l.transfers))
	}
	return share / t.slowdown / 1e9
}

// advance moves all transfers on to a time. No transfer may end before it.
func (n *Network) advance(now Nanos) {
	if now <= n.now {
		return
	}
	for _, t := range n.transfers {
		t.tokensLeft -= n.rate(t) * float64(now-n.now)
	}
	n.now = now
}

// NextEnd returns when the next transfer ends if nothing else changes, and false if none does.
func (n *Network) NextEnd() (Nanos, bool) {
	next, found := Nanos(math.MaxInt64), false
	for _, t := range n.transfers {
		if rate := n.rate(t); rate > 0 {
			next = min(next, n.now+Nanos(math.Ceil(max(t.tokensLeft, 0)/rate)))
			found = true
		}
	}
	return next, found
}

// AdvanceTo moves all transfers on to a time and returns ended with those that ended by then appended, in order.
func (n *Network) AdvanceTo(now Nanos, ended []TransferID) []TransferID {
	const roundingTokens = 1e-6 // what rounding may leave of a transfer that has ended
	for {
		next, found := n.NextEnd()
		if !found || next > now {
			n.advance(now)
			return ended
		}
		n.advance(next)
		for i := 0; i < len(n.transfers); {
			if n.transfers[i].tokensLeft > roundingTokens {
				i++
				continue
			}
			ended = append(ended, n.transfers[i].id)
			n.remove(i)
		}
	}
}
