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
	for _, key := range c.clientAttemptOrder {
		c.checkAnswers(key, c.clientAttempts[key])
	}
	for _, name := range c.requestOrder {
		attempts := c.attempts[name]
		slices.SortStableFunc(attempts, func(a, b *attempt) int { return cmp.Compare(a.sentAt, b.sentAt) })
		c.checkOneAtATime(name, attempts)
		c.checkRepeats(name, attempts)
	}
	c.checkStartedOnce()
	c.checkHeldStates()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

// checkAnswers is rule one: each try ends once, in time, and nothing is sent for it after.
func (c *checker) checkAnswers(key string, t *clientAttempt) {
	asked := t.sent
	if t.outcome == nil {
		c.addViolation(1, asked.At, "%s (class %s) never ended", key, asked.Class)
		return
	}
	if t.outcomeCount > 1 {
		c.addViolation(1, asked.At, "%s ended %d times", key, t.outcomeCount)
	}
	final := *t.outcome
	if final.Kind == eventlog.RequestUnanswered && !c.overlaps(c.downtimes, asked.At, final.At) {
		c.addViolation(1, final.At, "%s (class %s, request %s) got no final answer: %s", key, asked.Class, t.request, final.Code)
	}
	if final.Kind == eventlog.RequestAnswered {
		c.checkFinalAnswer(key, final)
	}
	for _, a := range c.attempts[t.request] {
		if t.request != "" && a.sentAt > final.At+c.tolerance {
			c.addViolation(1, a.sentAt, "request %s (%s) was sent to server %d %v after its end", t.request, key, a.server, milliseconds(a.sentAt-final.At))
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
		c.addViolation(1, final.At, "%s ended with %s, which is no final answer of ours", key, final.Code)
	}
	if final.At > final.Deadline+c.tolerance {
		c.addViolation(1, final.At, "%s was rejected %v after its time was up", key, milliseconds(final.At-final.Deadline))
	}
}

// checkOneAtATime is one half of rule two: never two attempts out.
func (c *checker) checkOneAtATime(name string, attempts []*attempt) {
	for i, later := range attempts {
		for _, before := range attempts[:i] {
			if before.endedAt > later.sentAt+c.tolerance {
				c.addViolation(2, later.sentAt, "request %s had two attempts out: at server %d since %v, then at server %d", name, before.server,
					milliseconds(later.sentAt-before.sentAt), later.server)
			}
		}
	}
}

// checkRepeats is the other half: no attempt after one that may have run, but where a repeat does no harm.
func (c *checker) checkRepeats(name string, attempts []*attempt) {
	t := c.clientAttemptByRequest[name]
	if t == nil {
		return
	}
	class := c.limits.Classes[t.sent.Class]
	first := slices.IndexFunc(attempts, func(a *attempt) bool { return !a.isKnownNotRun() })
	if first < 0 || class.Idempotency == policy.Idempotent {
		return
	}
	ran := attempts[first]
	for _, again := range attempts[first+1:] {
		c.checkRepeat(name, class, ran, again)
	}
	rejected := t.outcome != nil && t.outcome.Kind == eventlog.RequestAnswered && (t.outcome.Code == "Unavailable" || t.outcome.Code == "ResourceExhausted")
	if rejected && (class.Idempotency == policy.NonIdempotent || class.DedupScope != policy.DedupScopeAll) && ran.sentAt < t.outcome.At {
		c.addViolation(2, t.outcome.At, "%s request %s was rejected though it may have run at server %d", idempotencyName(class.Idempotency), name, ran.server)
	}
}

func (c *checker) checkRepeat(name string, class Class, ran, again *attempt) {
	was, is := c.limits.Servers[ran.server], c.limits.Servers[again.server]
	switch {
	case class.Idempotency == policy.NonIdempotent:
		c.addViolation(2, again.sentAt, "non-idempotent request %s was sent to server %d after it may have run at server %d", name, again.server, ran.server)
	case class.DedupScope == policy.DedupScopeZone && again.decode && was.Zone != is.Zone:
		c.addViolation(2, again.sentAt, "deduplicated request %s was sent to server %d, outside the zone of server %d", name, again.server, ran.server)
	case class.DedupScope == policy.DedupScopeCell && again.decode && was != is:
		c.addViolation(2, again.sentAt, "deduplicated request %s was sent to server %d, outside the cell of server %d", name, again.server, ran.server)
	case again.decode && again.sentAt > ran.sentAt+int64(class.DedupWindow)+c.tolerance:
		c.addViolation(2, again.sentAt, "deduplicated request %s was sent again after its window", name)
	}
}

// checkStartedOnce has what servers wrote down judge rule two, over all tries of a client.
func (c *checker) checkStartedOnce() {
	for label, runs := range c.startedAnswers {
		if label != "" && len(runs) > 1 && c.limits.Classes[runs[0].Class].Idempotency == policy.NonIdempotent {
			c.addViolation(2, runs[1].At, "non-idempotent %s ran %d times, at servers %d and %d", label, len(runs), runs[0].Server, runs[1].Server)
		}
	}
}

// checkHeldStates is rule five: no KV state is held for long while no attempt of its request is out.
func (c *checker) checkHeldStates() {
	slices.SortFunc(c.heldStates, func(a, b heldState) int { return cmp.Compare(a.from, b.from) })
	for _, s := range c.heldStates {
		if c.overlaps(c.downtimes, s.from, s.to) || c.overlaps(c.partitions[s.server], s.from, s.to) {
			continue
		}
		if longest := c.longestIdle(s); longest > int64(c.limits.ReleaseTime)+c.tolerance {
			c.addViolation(5, s.from, "server %d held the state of request %s for %v with no attempt out (%s)", s.server, s.request, milliseconds(longest), s.releaseCause)
		}
	}
}

// longestIdle is the longest time for which a state was held with no attempt of its request out.
func (c *checker) longestIdle(s heldState) int64 {
	at, longest := s.from, int64(0)
	for _, a := range c.attempts[s.request] {
		if a.endedAt < s.from || a.sentAt > s.to {
			continue
		}
		longest = max(longest, a.sentAt-at)
		at = max(at, min(a.endedAt, s.to))
	}
	return max(longest, s.to-at)
}

func milliseconds(span int64) time.Duration { return time.Duration(span).Round(time.Millisecond) }

func idempotencyName(e policy.Idempotency) string {
	return map[policy.Idempotency]string{policy.Idempotent: "idempotent", policy.Deduplicated: "deduplicated", policy.NonIdempotent: "non-idempotent"}[e]
}
