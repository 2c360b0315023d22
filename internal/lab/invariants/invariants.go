// Package invariants judges the five rules from what passed on the sockets, as both ends wrote it down. It never asks
// the dispatcher.
package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"docksail/internal/lab/eventlog"
	"docksail/policy"
)

// Class is what the rules need to know of a class of requests.
type Class struct {
	Idempotency policy.Idempotency
	DedupScope  policy.DedupScope
	DedupWindow time.Duration
}

// Server is what the rules need to know of a server.
type Server struct{ Zone, Cell string }

// Limits are the figures by which a run is judged.
type Limits struct {
	Classes     map[string]Class
	Servers     map[int]Server
	ReleaseTime time.Duration // KV states are fetched or released within this
	DrainGrace  time.Duration // nothing new to a server so long after the dispatcher was told of its drain
	Tolerance   time.Duration // for what crosses on the wire and for a busy machine
}

// Violation is one broken rule.
type Violation struct {
	Rule    int
	At      int64
	Message string
}

func (v Violation) String() string { return fmt.Sprintf("rule %d: %s", v.Rule, v.Message) }

// Check gives all rules that were broken, by time.
func Check(entries []eventlog.Entry, facts Limits) []Violation {
	c := newChecker(facts)
	for i := range entries {
		c.record(&entries[i])
	}
	c.finish(entries)
	for _, key := range c.tryOrder {
		c.checkAnswers(key, c.tries[key])
	}
	for _, name := range c.requestOrder {
		attempts := c.attempts[name]
		slices.SortStableFunc(attempts, func(a, b *attempt) int { return cmp.Compare(a.sent, b.sent) })
		c.checkOneAtATime(name, attempts)
		c.checkRepeats(name, attempts)
	}
	c.checkRanOnce()
	c.checkHeld()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

// checkAnswers is rule one: each try ends once, in time, and nothing is sent for it after.
func (c *checker) checkAnswers(key string, t *try) {
	asked := t.asked
	if t.final == nil {
		c.broken(1, asked.At, "%s (class %s) never ended", key, asked.Class)
		return
	}
	if t.finals > 1 {
		c.broken(1, asked.At, "%s ended %d times", key, t.finals)
	}
	final := *t.final
	if final.Kind == eventlog.RequestUnanswered && !c.overlaps(c.downtimes, asked.At, final.At) {
		c.broken(1, final.At, "%s (class %s, request %s) got no final answer: %s", key, asked.Class, t.request, final.Code)
	}
	if final.Kind == eventlog.RequestAnswered {
		c.checkFinalAnswer(key, final)
	}
	for _, a := range c.attempts[t.request] {
		if t.request != "" && a.sent > final.At+c.slack {
			c.broken(1, a.sent, "request %s (%s) was sent to server %d %v after its end", t.request, key, a.server, milliseconds(a.sent-final.At))
		}
	}
}

// checkFinalAnswer is what rule one asks of an answer's words and time.
func (c *checker) checkFinalAnswer(key string, final eventlog.Entry) {
	switch final.Code {
	case "OK", "Aborted":
		return
	case "Unavailable", "ResourceExhausted":
	default:
		c.broken(1, final.At, "%s ended with %s, which is no final answer of ours", key, final.Code)
	}
	if final.At > final.Deadline+c.slack {
		c.broken(1, final.At, "%s was rejected %v after its time was up", key, milliseconds(final.At-final.Deadline))
	}
}

// checkOneAtATime is one half of rule two: never two attempts out.
func (c *checker) checkOneAtATime(name string, attempts []*attempt) {
	for i, later := range attempts {
		for _, before := range attempts[:i] {
			if before.end > later.sent+c.slack {
				c.broken(2, later.sent, "request %s had two attempts out: at server %d since %v, then at server %d", name, before.server,
					milliseconds(later.sent-before.sent), later.server)
			}
		}
	}
}

// checkRepeats is the other half: no attempt after one that may have run, but where a repeat does no harm.
func (c *checker) checkRepeats(name string, attempts []*attempt) {
	t := c.tryOf[name]
	if t == nil {
		return
	}
	class := c.facts.Classes[t.asked.Class]
	first := slices.IndexFunc(attempts, func(a *attempt) bool { return !a.harmless() })
	if first < 0 || class.Idempotency == policy.Idempotent {
		return
	}
	ran := attempts[first]
	for _, again := range attempts[first+1:] {
		c.checkRepeat(name, class, ran, again)
	}
	rejected := t.final != nil && t.final.Kind == eventlog.RequestAnswered && (t.final.Code == "Unavailable" || t.final.Code == "ResourceExhausted")
	if rejected && (class.Idempotency == policy.NonIdempotent || class.DedupScope != policy.DedupScopeAll) && ran.sent < t.final.At {
		c.broken(2, t.final.At, "%s request %s was rejected though it may have run at server %d", effectName(class.Idempotency), name, ran.server)
	}
}

func (c *checker) checkRepeat(name string, class Class, ran, again *attempt) {
	was, is := c.facts.Servers[ran.server], c.facts.Servers[again.server]
	switch {
	case class.Idempotency == policy.NonIdempotent:
		c.broken(2, again.sent, "non-idempotent request %s was sent to server %d after it may have run at server %d", name, again.server, ran.server)
	case class.DedupScope == policy.DedupScopeZone && again.decode && was.Zone != is.Zone:
		c.broken(2, again.sent, "deduplicated request %s was sent to server %d, outside the zone of server %d", name, again.server, ran.server)
	case class.DedupScope == policy.DedupScopeCell && again.decode && was != is:
		c.broken(2, again.sent, "deduplicated request %s was sent to server %d, outside the cell of server %d", name, again.server, ran.server)
	case again.decode && again.sent > ran.sent+int64(class.DedupWindow)+c.slack:
		c.broken(2, again.sent, "deduplicated request %s was sent again after its window", name)
	}
}

// checkRanOnce has what servers wrote down judge rule two, over all tries of a client.
func (c *checker) checkRanOnce() {
	for label, runs := range c.ran {
		if label != "" && len(runs) > 1 && c.facts.Classes[runs[0].Class].Idempotency == policy.NonIdempotent {
			c.broken(2, runs[1].At, "non-idempotent %s ran %d times, at servers %d and %d", label, len(runs), runs[0].Server, runs[1].Server)
		}
	}
}

// checkHeld is rule five: no KV state is held for long while no attempt of its request is out.
func (c *checker) checkHeld() {
	slices.SortFunc(c.states, func(a, b heldState) int { return cmp.Compare(a.from, b.from) })
	for _, s := range c.states {
		if c.overlaps(c.downtimes, s.from, s.to) || c.overlaps(c.cuts[s.server], s.from, s.to) {
			continue
		}
		if longest := c.longestIdle(s); longest > int64(c.facts.ReleaseTime)+c.slack {
			c.broken(5, s.from, "server %d held the state of request %s for %v with no attempt out (%s)", s.server, s.request, milliseconds(longest), s.how)
		}
	}
}

// longestIdle is the longest time for which a state was held with no attempt of its request out.
func (c *checker) longestIdle(s heldState) int64 {
	at, longest := s.from, int64(0)
	for _, a := range c.attempts[s.request] {
		if a.end < s.from || a.sent > s.to {
			continue
		}
		longest = max(longest, a.sent-at)
		at = max(at, min(a.end, s.to))
	}
	return max(longest, s.to-at)
}

func milliseconds(span int64) time.Duration { return time.Duration(span).Round(time.Millisecond) }

func effectName(e policy.Idempotency) string {
	return map[policy.Idempotency]string{policy.Idempotent: "idempotent", policy.Deduplicated: "deduplicated", policy.NonIdempotent: "non-idempotent"}[e]
}
