package dispatch

import (
	"testing"

	"docksail/internal/decide/inflight"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// runUndecided submits a non-idempotent request, starts an attempt whose delivery stays in a state, and runs the loop
// until the request is answered at its deadline.
func runUndecided(t *testing.T, state inflight.DeliveryState, attemptTimeout policy.Nanos) (
	*scriptedModule, *silentBackend, *answerCounts,
) {
	t.Helper()
	loop := newTestLoop(t)
	module, answers := &scriptedModule{}, &answerCounts{}
	backend := &silentBackend{unsent: true, delivery: state}
	class := policy.Class{LatencyTarget: 1e9, Timeout: 5e9, Idempotency: policy.NonIdempotent}
	dispatcher := newTestDispatcher(loop, module, backend, class)
	id, err := dispatcher.Submit(loop.Now(), answers,
		&frontend.Request{Class: []byte("a"), PromptTokens: 10, FirstTokenTimeout: 100e6})
	if err != nil {
		t.Fatal(err)
	}
	module.decisions = []policy.Decision{{Action: policy.SendAttempt, Request: id, Server: 1, Duration: attemptTimeout}}
	var testTimeout eventloop.Timer
	loop.SetTimer(&testTimeout, 5e9, func(eventloop.Nanos) { loop.Stop() })
	if err := loop.Run(func(now eventloop.Nanos) {
		if dispatcher.RunIteration(now); answers.rejected+answers.failed > 0 {
			loop.Stop()
		}
	}); err != nil {
		t.Fatal(err)
	}
	return module, backend, answers
}

// TestUnsentAttemptDidNotRun guards against an attempt that was not completely passed to the system, and so cannot have
// run, being reported as one that may have, and against its request being answered as one whose repetition may do harm.
func TestUnsentAttemptDidNotRun(t *testing.T) {
	for _, c := range []struct {
		state   inflight.DeliveryState
		outcome policy.Outcome // of an attempt that times out
		want    answerCounts
	}{
		{inflight.Planned, policy.NotSent, answerCounts{rejected: 1}},
		{inflight.Connecting, policy.Unreachable, answerCounts{rejected: 1}},
		{inflight.Sending, policy.Unreachable, answerCounts{rejected: 1}},
		{inflight.Sent, policy.TimedOut, answerCounts{failed: 1}},
		{inflight.Acknowledged, policy.TimedOut, answerCounts{failed: 1}},
	} {
		t.Run(c.state.String(), func(t *testing.T) {
			module, _, answers := runUndecided(t, c.state, 10e6)
			if len(module.outcomes) != 1 || module.outcomes[0] != c.outcome || *answers != c.want {
				t.Errorf("timed out: outcomes %v, answers %+v; want %v, %+v", module.outcomes, *answers, c.outcome, c.want)
			}
			module, backend, answers := runUndecided(t, c.state, 1e12)
			if *answers != c.want || backend.finished != 1 || len(module.outcomes) != 1 {
				t.Errorf("outstanding: answers %+v, finished %d times; want %+v, once", *answers, backend.finished, c.want)
			}
		})
	}
}
