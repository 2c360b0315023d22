package platform

import (
	"testing"

	"docksail/policy"
)

// TestAttemptOutcome checks that the outcome of an attempt with a complete response depends on the status, on whether
// the server reports that it has not run the request, and on the role of the server.
func TestAttemptOutcome(t *testing.T) {
	for name, c := range map[string]struct {
		result  attemptResult
		prefill bool
		want    policy.Outcome
	}{
		"stream with an event":      {attemptResult{statusCode: 200, isStream: true, streaming: true}, false, policy.Served},
		"stream without an event":   {attemptResult{statusCode: 200, isStream: true}, false, policy.ConnectionLost},
		"prefill accepted":          {attemptResult{statusCode: 202}, true, policy.Prefilled},
		"decode accepted":           {attemptResult{statusCode: 202}, false, policy.Failed},
		"state gone":                {attemptResult{statusCode: 410, rejected: true}, false, policy.StateMissing},
		"state gone at prefill":     {attemptResult{statusCode: 410, rejected: true}, true, policy.Failed},
		"state gone after a run":    {attemptResult{statusCode: 410}, false, policy.Failed},
		"unavailable, not run":      {attemptResult{statusCode: 503, rejected: true}, true, policy.Rejected},
		"unavailable after a run":   {attemptResult{statusCode: 503}, true, policy.Failed},
		"gateway timeout, not run":  {attemptResult{statusCode: 504, rejected: true}, false, policy.Rejected},
		"gateway timeout after run": {attemptResult{statusCode: 504}, false, policy.Failed},
		"no stream":                 {attemptResult{statusCode: 200}, false, policy.Failed},
		"error":                     {attemptResult{statusCode: 500}, false, policy.Failed},
	} {
		if got := c.result.outcome(c.prefill); got != c.want {
			t.Errorf("%s: got %v, want %v", name, got, c.want)
		}
	}
	for status, want := range map[int]bool{400: true, 404: true, 410: false, 500: false} {
		if got := (attemptResult{statusCode: status}).refusesRequest(); got != want {
			t.Errorf("status %d refuses the request: got %v, want %v", status, got, want)
		}
	}
}
