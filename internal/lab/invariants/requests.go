package invariants

import (
	"slices"

	"docksail/internal/lab/eventlog"
	"docksail/policy"
)

// Names of gRPC status codes, as entries have them.
const (
	codeOK                 = "OK"
	codeAborted            = "Aborted"
	codeUnavailable        = "Unavailable"
	codeResourceExhausted  = "ResourceExhausted"
	codeFailedPrecondition = "FailedPrecondition"
)

// isRejection reports whether an answer with this status says that the request was not executed.
func isRejection(code string) bool { return code == codeUnavailable || code == codeResourceExhausted }

// checkFinalAnswer checks RuleFinalAnswer for one attempt of a client.
func (c *checker) checkFinalAnswer(key string, t *clientAttempt) {
	sent := t.sent
	if t.outcome == nil {
		c.addViolation(RuleFinalAnswer, sent.At, "%s (class %s) never ended", key, sent.Class)
		return
	}
	if t.outcomeCount > 1 {
		c.addViolation(RuleFinalAnswer, sent.At, "%s ended %d times", key, t.outcomeCount)
	}
	outcome := *t.outcome
	if outcome.Kind == eventlog.RequestUnanswered && !c.overlaps(c.downtimes, sent.At, outcome.At) {
		c.addViolation(RuleFinalAnswer, outcome.At, "%s (class %s, request %s) got no final answer: %s",
			key, sent.Class, t.request, outcome.Code)
	}
	if outcome.Kind == eventlog.RequestAnswered {
		c.checkAnswer(key, outcome)
	}
	for _, a := range c.attempts[t.request] {
		if t.request != "" && a.sentAt > outcome.At+c.tolerance {
			c.addViolation(RuleFinalAnswer, a.sentAt, "request %s (%s) was sent to server %d %v after its end",
				t.request, key, a.server, milliseconds(a.sentAt-outcome.At))
		}
	}
}

// checkAnswer checks the status of an answer, and that a rejection came before the deadline.
func (c *checker) checkAnswer(key string, answer eventlog.Entry) {
	if answer.Code == codeOK || answer.Code == codeAborted {
		return
	}
	if !isRejection(answer.Code) {
		c.addViolation(RuleFinalAnswer, answer.At,
			"%s ended with status %s, want OK, Aborted, Unavailable or ResourceExhausted", key, answer.Code)
	}
	if answer.At > answer.Deadline+c.tolerance {
		c.addViolation(RuleFinalAnswer, answer.At, "%s was rejected %v after its deadline",
			key, milliseconds(answer.At-answer.Deadline))
	}
}

// checkOneAtATime checks the first half of RuleNoDuplicates: a request never has two attempts in flight.
func (c *checker) checkOneAtATime(request string, attempts []*attempt) {
	for i, later := range attempts {
		for _, earlier := range attempts[:i] {
			if earlier.endedAt > later.sentAt+c.tolerance {
				c.addViolation(RuleNoDuplicates, later.sentAt,
					"request %s had two attempts in flight: at server %d since %v, then at server %d",
					request, earlier.server, milliseconds(later.sentAt-earlier.sentAt), later.server)
			}
		}
	}
}

// checkRepeats checks the second half of RuleNoDuplicates: after an attempt that may have run, a request that is not
// idempotent is neither repeated where it is not deduplicated, nor rejected.
func (c *checker) checkRepeats(request string, attempts []*attempt) {
	t := c.clientAttemptByRequest[request]
	if t == nil {
		return
	}
	class := c.limits.Classes[t.sent.Class]
	first := slices.IndexFunc(attempts, func(a *attempt) bool { return !a.isKnownNotRun() })
	if first < 0 || class.Idempotency == policy.Idempotent {
		return
	}
	ran := attempts[first]
	for _, repeat := range attempts[first+1:] {
		c.checkRepeat(request, class, ran, repeat)
	}
	rejected := t.outcome != nil && t.outcome.Kind == eventlog.RequestAnswered && isRejection(t.outcome.Code)
	repeatable := class.Idempotency != policy.NonIdempotent && class.DedupScope == policy.DedupScopeAll
	if rejected && !repeatable && ran.sentAt < t.outcome.At {
		c.addViolation(RuleNoDuplicates, t.outcome.At, "%s request %s was rejected though it may have run at server %d",
			idempotencyName(class.Idempotency), request, ran.server)
	}
}

// checkRepeat checks whether a request that may have run was allowed to be sent again.
func (c *checker) checkRepeat(request string, class Class, ran, repeat *attempt) {
	first, second := c.limits.Servers[ran.server], c.limits.Servers[repeat.server]
	switch {
	case class.Idempotency == policy.NonIdempotent:
		c.addViolation(RuleNoDuplicates, repeat.sentAt,
			"non-idempotent request %s was sent to server %d after it may have run at server %d",
			request, repeat.server, ran.server)
	case class.DedupScope == policy.DedupScopeZone && repeat.isDecode && first.Zone != second.Zone:
		c.addViolation(RuleNoDuplicates, repeat.sentAt,
			"deduplicated request %s was sent to server %d, outside the zone of server %d",
			request, repeat.server, ran.server)
	case class.DedupScope == policy.DedupScopeCell && repeat.isDecode && first != second:
		c.addViolation(RuleNoDuplicates, repeat.sentAt,
			"deduplicated request %s was sent to server %d, outside the cell of server %d",
			request, repeat.server, ran.server)
	case repeat.isDecode && repeat.sentAt > ran.sentAt+int64(class.DedupWindow)+c.tolerance:
		c.addViolation(RuleNoDuplicates, repeat.sentAt,
			"deduplicated request %s was sent again after its deduplication window", request)
	}
}

// checkStartedOnce checks RuleNoDuplicates against the records of the servers, over all attempts of a client.
func (c *checker) checkStartedOnce() {
	for label, starts := range c.startedAnswers {
		if label == "" || len(starts) < 2 {
			continue
		}
		if c.limits.Classes[starts[0].Class].Idempotency == policy.NonIdempotent {
			c.addViolation(RuleNoDuplicates, starts[1].At, "non-idempotent request %s ran %d times, at servers %d and %d",
				label, len(starts), starts[0].Server, starts[1].Server)
		}
	}
}
