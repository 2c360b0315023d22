package batchmodel

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// TransferID identifies a transfer of a state.
type TransferID uint64

// Network models the network links for transfers of states between servers. Transfers over the same link share its
// rate equally, and the rate of a transfer is the smallest of its shares. Create it with NewNetwork.
type Network struct {
	links     []link
	transfers []*transfer // sorted by ID
	now       Nanos       // time up to which all transfers have advanced
}

type link struct {
	tokensPerSecond float64
	transfers       int // number of transfers that use the link
}

type transfer struct {
	id         TransferID
	tokensLeft float64
	slowdown   float64 // factor by which the transfer takes longer
	links      []int
}

// NewNetwork returns a network without links.
func NewNetwork() *Network { return &Network{} }

// AddLink adds a link with the given rate and returns its index. The rate must be above 0.
func (n *Network) AddLink(tokensPerSecond float64) (int, error) {
	if !(tokensPerSecond > 0) {
		return 0, fmt.Errorf("link of %v tokens a second: want more than 0", tokensPerSecond)
	}
	n.links = append(n.links, link{tokensPerSecond: tokensPerSecond})
	return len(n.links) - 1, nil
}

// SetRate changes the rate of a link, also for running transfers. A rate of 0 stops them until the next change.
func (n *Network) SetRate(now Nanos, index int, tokensPerSecond float64) {
	n.advance(now)
	n.links[index].tokensPerSecond = max(tokensPerSecond, 0)
}

// Start starts a transfer over the given links, which takes slowdown times as long as the rates of the links allow.
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

// find returns the index of a transfer, or the index at which to insert it and false.
func (n *Network) find(id TransferID) (int, bool) {
	return slices.BinarySearchFunc(n.transfers, id, func(t *transfer, id TransferID) int { return cmp.Compare(t.id, id) })
}

// Stop cancels a transfer. It returns false if there is no transfer with this ID.
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

// rate returns the current rate of a transfer in tokens per nanosecond.
func (n *Network) rate(t *transfer) float64 {
	share := math.Inf(1)
	for _, index := range t.links {
		l := &n.links[index]
		share = min(share, l.tokensPerSecond/float64(l.transfers))
	}
	return share / t.slowdown / 1e9
}

// advance advances all transfers to the given time. No transfer may end before that time.
func (n *Network) advance(now Nanos) {
	if now <= n.now {
		return
	}
	for _, t := range n.transfers {
		t.tokensLeft -= n.rate(t) * float64(now-n.now)
	}
	n.now = now
}

// NextEnd returns the time at which the next transfer ends if nothing changes, or false if no transfer will end.
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

// AdvanceTo advances all transfers to the given time. It appends those that have ended to ended, in order of time.
func (n *Network) AdvanceTo(now Nanos, ended []TransferID) []TransferID {
	const roundingTokens = 1e-6 // tolerance for rounding errors at the end of a transfer
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
