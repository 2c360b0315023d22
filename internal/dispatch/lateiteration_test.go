package dispatch

import (
	"testing"

	"docksail/internal/decide/intake"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// retryingModule is a scriptedModule that rejects a request when its attempt has ended.
type retryingModule struct{ scriptedModule }

func (m *retryingModule) AttemptEnded(
	_ policy.Nanos, id policy.RequestID, _ policy.AttemptNumber, _ policy.Outcome, _ policy.Nanos, _ bool,
	_ policy.LoadReport,
) {
	m.decisions = append(m.decisions, policy.Decision{Action: policy.RejectRequest, Request: id})
}

// TestModuleDecidesInLateIteration guards against a request that is answered as overdue in the iteration in which the
// module first learns of the end of its attempt. After a pause of the process both timers are due together.
func TestModuleDecidesInLateIteration(t *testing.T) {
	loop := newTestLoop(t)
	module, answers := &retryingModule{}, &answerCounts{}
	dispatcher := newTestDispatcher(loop, module, &silentBackend{}, policy.Class{LatencyTarget: 1e9, Timeout: 5e9})
	const timeout = 100e6 // nanoseconds
	id, err := dispatcher.Submit(loop.Now(), answers,
		&frontend.Request{Class: []byte("a"), PromptTokens: 10, FirstTokenTimeout: timeout})
	if err != nil {
		t.Fatal(err)
	}
	module.decisions = []policy.Decision{
		{Action: policy.SendAttempt, Request: id, Server: 1, Duration: timeout + intake.OverdueMarginNanos},
	}
	dispatcher.RunIteration(loop.Now())
	var testTimeout eventloop.Timer
	loop.SetTimer(&testTimeout, loop.Now()+5e9, func(eventloop.Nanos) { loop.Stop() })
	if err := loop.Run(func(now eventloop.Nanos) {
		if dispatcher.RunIteration(now); answers.rejected+answers.failed > 0 {
			loop.Stop()
		}
	}); err != nil {
		t.Fatal(err)
	}
	if dispatcher.Counts.MissedDeadlines != 0 || answers.rejected != 1 || answers.failed != 0 {
		t.Errorf("%d deadlines missed, answers %+v; want none missed and one rejection",
			dispatcher.Counts.MissedDeadlines, *answers)
	}
}
