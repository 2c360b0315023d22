package intake

import "testing"

// TestCheck checks the verdict and the retry delay at each limit.
func TestCheck(t *testing.T) {
	const work, later = 200, 700
	limits := Limits{MaxRequests: 10, MaxPromptTokens: 100, EndpointListKnown: true}
	draining, listUnknown := limits, limits
	draining.Draining, listUnknown.EndpointListKnown = true, false
	for _, c := range []struct {
		name             string
		limits           Limits
		inProgress       int
		prompt, timeLeft int64
		want             Verdict
		retryAfter       int64
	}{
		{"below all limits", limits, 9, 100, work, Accepted, 0},
		{"at capacity", limits, 10, 100, work, AtCapacity, later},
		{"prompt too long", limits, 0, 101, work, PromptTooLong, 0},
		{"no time left", limits, 0, 1, 0, DeadlineTooClose, 0},
		{"less time left than the work takes", limits, 0, 1, work - 1, DeadlineTooClose, 0},
		{"draining before capacity", draining, 10, 1, work, Draining, 0},
		{"no endpoint list yet", listUnknown, 0, 1, work, EndpointListUnknown, later},
	} {
		got, retryAfter := c.limits.Check(c.inProgress, Arrival{
			PromptTokens: c.prompt, TimeLeft: c.timeLeft, Work: work, RetryAfter: later,
		})
		if got != c.want || retryAfter != c.retryAfter {
			t.Errorf("%s: %v, retry after %d, want %v, %d", c.name, got, retryAfter, c.want, c.retryAfter)
		}
		if got.IsRetryable() == (got == PromptTooLong) {
			t.Errorf("%s: IsRetryable is %v, want false for PromptTooLong only", c.name, got.IsRetryable())
		}
	}
}

// TestOutcomeAtDrainDeadline checks that only a request that must not run twice and may have run fails.
func TestOutcomeAtDrainDeadline(t *testing.T) {
	for _, c := range []struct {
		idempotent, mayHaveRun bool
		want                   DrainOutcome
	}{
		{true, true, Rejected},
		{true, false, Rejected},
		{false, false, Rejected},
		{false, true, Failed},
	} {
		if got := OutcomeAtDrainDeadline(c.idempotent, c.mayHaveRun); got != c.want {
			t.Errorf("idempotent %v, may have run %v: %v, want %v", c.idempotent, c.mayHaveRun, got, c.want)
		}
	}
}
