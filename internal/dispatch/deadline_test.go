package dispatch

import (
	"testing"

	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// TestUndecidedRequestIsAnswered checks that the dispatcher answers a request that the module never decides, at most
// half a second after the client's deadline, and ends its outstanding attempt.
func TestUndecidedRequestIsAnswered(t *testing.T) {
	for name, c := range map[string]struct {
		sent, idempotent bool
		want             answerCounts
	}{
		"idempotent, never sent":     {idempotent: true, want: answerCounts{rejected: 1}},
		"idempotent, sent":           {sent: true, idempotent: true, want: answerCounts{rejected: 1}},
		"non-idempotent, sent":       {sent: true, want: answerCounts{failed: 1}},
		"non-idempotent, never sent": {want: answerCounts{rejected: 1}},
	} {
		t.Run(name, func(t *testing.T) {
			loop := newTestLoop(t)
			class := policy.Class{LatencyTarget: 1e9, Timeout: 5e9}
			if !c.idempotent {
				class.Idempotency = policy.NonIdempotent
			}
			module, backend, answers := &scriptedModule{}, &silentBackend{}, &answerCounts{}
			dispatcher := newTestDispatcher(loop, module, backend, class)
			const timeout = 200e6 // nanoseconds
			id, err := dispatcher.Submit(loop.Now(), answers,
				&frontend.Request{Class: []byte("a"), PromptTokens: 10, FirstTokenTimeout: timeout})
			if err != nil {
				t.Fatal(err)
			}
			if c.sent {
				module.decisions = []policy.Decision{
					{Action: policy.SendAttempt, Request: id, Server: 1, Duration: 1e12},
				}
			}
			dispatcher.RunIteration(loop.Now())
			var answeredAt eventloop.Nanos
			var testTimeout eventloop.Timer
			loop.SetTimer(&testTimeout, 5e9, func(eventloop.Nanos) { loop.Stop() })
			if err := loop.Run(func(now eventloop.Nanos) {
				if dispatcher.RunIteration(now); answers.rejected+answers.failed > 0 {
					answeredAt = now
					loop.Stop()
				}
			}); err != nil {
				t.Fatal(err)
			}
			if *answers != c.want || answeredAt < timeout || answeredAt > timeout+500e6 {
				t.Errorf("got %+v after %d ms, want %+v after 200 to 700 ms", *answers, answeredAt/1e6, c.want)
			}
			if dispatcher.Counts.MissedDeadlines != 1 || module.canceled != 1 || dispatcher.requests.Len() != 0 {
				t.Errorf("%d missed deadlines, %d requests canceled in the module, %d requests in flight; want 1, 1, 0",
					dispatcher.Counts.MissedDeadlines, module.canceled, dispatcher.requests.Len())
			}
			if c.sent && (backend.finished != 1 || len(module.outcomes) != 1) {
				t.Errorf("attempt finished %d times, its end reported %d times; want 1, 1",
					backend.finished, len(module.outcomes))
			}
		})
	}
}
