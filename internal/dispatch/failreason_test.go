package dispatch

import (
	"testing"

	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// failReasons is a frontend.ResponseWriter that records the reasons of failures.
type failReasons struct {
	answerCounts
	reasons []string
}

func (r *failReasons) Fail(_ policy.RequestID, reason string) { r.reasons = append(r.reasons, reason) }

// TestReasonOfFailureBeforeDeadline guards against a request that is not retried as it may do harm, and is answered as
// one whose time is up although it is not.
func TestReasonOfFailureBeforeDeadline(t *testing.T) {
	for _, c := range []struct {
		name   string
		failAt eventloop.Nanos // after the arrival; the deadline is 1 s after it
		want   string
	}{{"before the deadline", 5e8, mayHaveRunReason}, {"at the deadline", 1e9, deadlineExceededReason}} {
		t.Run(c.name, func(t *testing.T) {
			loop := newTestLoop(t)
			module, answer := &scriptedModule{}, &failReasons{}
			dispatcher := newTestDispatcher(loop, module, &silentBackend{}, policy.Class{LatencyTarget: 1e9, Timeout: 5e9})
			start := loop.Now()
			id, err := dispatcher.Submit(start, answer,
				&frontend.Request{Class: []byte("a"), PromptTokens: 10, FirstTokenTimeout: 1e9})
			if err != nil {
				t.Fatal(err)
			}
			module.decisions = []policy.Decision{{Action: policy.FailRequest, Request: id}}
			dispatcher.RunIteration(start + c.failAt)
			if len(answer.reasons) != 1 || answer.reasons[0] != c.want {
				t.Errorf("the request is failed with %q, want %q", answer.reasons, c.want)
			}
		})
	}
}
