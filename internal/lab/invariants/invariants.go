// Package invariants checks the five invariants of a dispatcher on an event log of what both ends of its
// connections observed. It uses no information from the dispatcher itself.
package invariants

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"docksail/internal/lab/eventlog"
	"docksail/policy"
)

// Rule is the number of an invariant. The zero Rule marks a violation that no invariant covers.
type Rule int

const (
	// RuleFinalAnswer requires that every request gets exactly one final answer in time, and that no attempt of it is
	// sent after the answer.
	RuleFinalAnswer Rule = 1
	// RuleNoDuplicates requires that a request has at most one attempt in flight, and that a request that may have run
	// is retried only where its idempotency permits it.
	RuleNoDuplicates Rule = 2
	// RuleDrain requires that no attempt is sent to a server that is draining or gone.
	RuleDrain Rule = 3
	// RuleSlowStart requires that no server in slow start is overloaded.
	RuleSlowStart Rule = 4
	// RuleRelease requires that no KV state is held beyond the release time while its request has no attempt in flight.
	RuleRelease Rule = 5
)

// String returns the number of the rule.
func (r Rule) String() string { return strconv.Itoa(int(r)) }

// Class holds the idempotency and deduplication of a class of requests.
type Class struct {
	Idempotency policy.Idempotency
	DedupScope  policy.DedupScope
	DedupWindow time.Duration
}

// Server is the location of a server.
type Server struct{ Zone, Cell string }

// Limits are the classes, servers and time limits that the invariants depend on.
type Limits struct {
	Classes     map[string]Class
	Servers     map[int]Server
	ReleaseTime time.Duration // limit of the time for which a KV state is held without an attempt in flight
	DrainGrace  time.Duration // from the notification that a server drains to the last permitted attempt
	Tolerance   time.Duration // for events that cross on the wire, and for delays on a busy machine
}

// Violation is one violation of an invariant.
type Violation struct {
	Rule    Rule
	At      int64 // Unix nanoseconds
	Message string
}

// String returns the rule and the message.
func (v Violation) String() string { return fmt.Sprintf("rule %v: %s", v.Rule, v.Message) }

// Check returns all violations in entries, sorted by time. The entries must be sorted by time.
func Check(entries []eventlog.Entry, limits Limits) []Violation {
	c := newChecker(limits)
	for i := range entries {
		c.record(&entries[i])
	}
	c.closeOpenIntervals(entries)
	for _, key := range c.clientAttemptOrder {
		c.checkFinalAnswer(key, c.clientAttempts[key])
	}
	for _, request := range c.requestOrder {
		attempts := c.attempts[request]
		slices.SortStableFunc(attempts, func(a, b *attempt) int { return cmp.Compare(a.sentAt, b.sentAt) })
		c.checkSingleInFlight(request, attempts)
		c.checkRetries(request, attempts)
	}
	c.checkStartedOnce()
	c.checkHeldStates()
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.At, b.At) })
	return c.violations
}

// milliseconds returns a time in nanoseconds as a duration, rounded to milliseconds.
func milliseconds(nanos int64) time.Duration { return time.Duration(nanos).Round(time.Millisecond) }

// idempotencyName returns the name of an idempotency in violations.
func idempotencyName(e policy.Idempotency) string {
	switch e {
	case policy.Idempotent:
		return "idempotent"
	case policy.Deduplicated:
		return "deduplicated"
	case policy.NonIdempotent:
		return "non-idempotent"
	}
	return ""
}
