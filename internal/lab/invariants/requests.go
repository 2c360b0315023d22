package invariants

import (
	"slices"

	"docksail/internal/lab/eventlog"
	"docksail/policy"
)

// Names of gRPC status codes in entries.
const (
	codeOK                 = "OK"
	codeAborted            = "Aborted"
	codeUnavailable        = "Unavailable"
	codeResourceExhausted  = "ResourceExhausted"
	codeFailedPrecondition = "FailedPrecondition"
)

// isRejection reports whether an answer with this status code says that the request was not executed.
func isRejection(code string) bool { return code == codeUnavailable || code == codeResourceExhausted }

// checkFinalAnswer checks RuleFinalAnswer on one attempt of a client.
func (c *checker) checkFinalAnswer(key string, t *clientAttempt) {
	sent := t.sent
	if t.outcome == nil {
		c.addViolation(RuleFinalAnswer, sent.At, "%s (class %s) has no outcome", key, sent.Class)
		return
	}
	if t.outcomeCount > 1 {
		c.addViolation(RuleFinalAnswer, sent.At, "%s has %d outcomes", key, t.outcomeCount)
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
			c.addViolation(RuleFinalAnswer, a.sentAt, "request %s (%s) was sent to server %d %v after its outcome",
				t.request, key, a.server, milliseconds(a.sentAt-outcome.At))
		}
	}
}

// checkAnswer checks the status of an answer, and that a rejection reached the client before the deadline.
func (c *checker) checkAnswer(key string, answer eventlog.Entry) {
	if answer.Code == codeOK || answer.Code == codeAborted {
		return
	}
	if !isRejection(answer.Code) {
		c.addViolation(RuleFinalAnswer, answer.At,
			"%s was answered with status %s, must be OK, Aborted, Unavailable or ResourceExhausted", key, answer.Code)
	}
	if answer.At > answer.Deadline+c.tolerance {
		c.addViolation(RuleFinalAnswer, answer.At, "%s was rejected %v after its deadline",
			key, milliseconds(answer.At-answer.Deadline))
	}
}

// checkSingleInFlight checks the part of RuleNoDuplicates that a request never has two attempts in flight.
func (c *checker) checkSingleInFlight(request string, attempts []*attempt) {
	for i, later := range attempts {
		for _, earlier := range attempts[:i] {
			if earlier.endedAt > later.sentAt+c.tolerance {
				c.addViolation(RuleNoDuplicates, later.sentAt,
					"request %s had two attempts in flight: at server %d for %v, then also at server %d",
					request, earlier.server, milliseconds(later.sentAt-earlier.sentAt), later.server)
			}
		}
	}
}

// checkRetries checks the part of RuleNoDuplicates about attempts that may have run: a request that is not idempotent
// is neither retried where it is not deduplicated, nor rejected after such an attempt.
func (c *checker) checkRetries(request string, attempts []*attempt) {
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
	for _, retry := range attempts[first+1:] {
		c.checkRetry(request, class, ran, retry)
	}
	rejected := t.outcome != nil && t.outcome.Kind == eventlog.RequestAnswered && isRejection(t.outcome.Code)
	isRetryable := class.Idempotency != policy.NonIdempotent && class.DedupScope == policy.DedupScopeAll
	if rejected && !isRetryable && ran.sentAt < t.outcome.At {
		c.addViolation(RuleNoDuplicates, t.outcome.At, "%s request %s was rejected though it may have run at server %d",
			idempotencyName(class.Idempotency), request, ran.server)
	}
}

// checkRetry checks whether a request that may have run was permitted to be sent again.
func (c *checker) checkRetry(request string, class Class, ran, retry *attempt) {
	first, second := c.limits.Servers[ran.server], c.limits.Servers[retry.server]
	switch {
	case class.Idempotency == policy.NonIdempotent:
		c.addViolation(RuleNoDuplicates, retry.sentAt,
			"non-idempotent request %s was sent to server %d after it may have run at server %d",
			request, retry.server, ran.server)
	case class.DedupScope == policy.DedupScopeZone && retry.isDecode && first.Zone != second.Zone:
		c.addViolation(RuleNoDuplicates, retry.sentAt,
			"deduplicated request %s was sent to server %d, outside the zone of server %d",
			request, retry.server, ran.server)
	case class.DedupScope == policy.DedupScopeCell && retry.isDecode && first != second:
		c.addViolation(RuleNoDuplicates, retry.sentAt,
			"deduplicated request %s was sent to server %d, outside the cell of server %d",
			request, retry.server, ran.server)
	case retry.isDecode && retry.sentAt > ran.sentAt+int64(class.DedupWindow)+c.tolerance:
		c.addViolation(RuleNoDuplicates, retry.sentAt,
			"deduplicated request %s was sent again after its dedup window", request)
	}
}

// checkStartedOnce checks RuleNoDuplicates on the answers that servers started, over all attempts of a client.
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
