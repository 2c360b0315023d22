package invariants

import (
	"cmp"
	"slices"
)

// heldState is the time for which a server held a KV state.
type heldState struct {
	request      string
	server       int
	from, to     int64
	releaseCause string
}

// checkHeldStates checks RuleRelease. It skips states that were held while a dispatcher was stopped or the server was
// partitioned, which may delay the release.
func (c *checker) checkHeldStates() {
	slices.SortFunc(c.heldStates, func(a, b heldState) int { return cmp.Compare(a.from, b.from) })
	for _, s := range c.heldStates {
		if c.overlaps(c.downtimes, s.from, s.to) || c.overlaps(c.partitions[s.server], s.from, s.to) {
			continue
		}
		if longest := c.longestIdle(s); longest > int64(c.limits.ReleaseTime)+c.tolerance {
			c.addViolation(RuleRelease, s.from, "server %d held the state of request %s for %v with no attempt in flight (%s)",
				s.server, s.request, milliseconds(longest), s.releaseCause)
		}
	}
}

// longestIdle returns the longest time for which a state was held while its request had no attempt in flight.
func (c *checker) longestIdle(s heldState) int64 {
	idleSince, longest := s.from, int64(0)
	for _, a := range c.attempts[s.request] {
		if a.endedAt < s.from || a.sentAt > s.to {
			continue
		}
		longest = max(longest, a.sentAt-idleSince)
		idleSince = max(idleSince, min(a.endedAt, s.to))
	}
	return max(longest, s.to-idleSince)
}
