package dispatch

import (
	"log/slog"
	"testing"

	"docksail/internal/decide/intake"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// A request that the module forgets has its final answer by the dispatcher's own deadline, within half a second of its
// client's. An outstanding attempt ends with it.
func TestForgottenRequestIsAnswered(t *testing.T) {
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
			l, err := eventloop.New()
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			class := policy.Class{LatencyTarget: 1e9, Timeout: 5e9}
			if !c.idempotent {
				class.Idempotency = policy.NonIdempotent
			}
			module, backend, answers := &scriptedModule{}, &silentBackend{}, &answerCounts{}
			d := NewDirect(l, slog.New(slog.DiscardHandler), &Config{
				Module: module, ClassNames: []string{"a"}, Classes: []policy.Class{class},
				Intake: intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000, ListKnown: true}, Incarnation: 1,
			})
			d.Attach(idleFrontend{}, backend)
			const timeout = 200e6
			id, err := d.Submit(l.Now(), answers,
				&frontend.Request{Class: []byte("a"), PromptTokens: 10, FirstTokenTimeout: timeout})
			if err != nil {
				t.Fatal(err)
			}
			if c.sent {
				module.decisions = []policy.Decision{
					{Action: policy.SendAttempt, Request: id, Server: 1, Duration: 1e12},
				}
			}
			d.RunIteration(l.Now())
			var answeredAt eventloop.Nanos
			var end eventloop.Timer
			l.SetTimer(&end, 5e9, func(eventloop.Nanos) { l.Stop() })
			if err := l.Run(func(now eventloop.Nanos) {
				if d.RunIteration(now); answers.rejected+answers.failed > 0 {
					answeredAt = now
					l.Stop()
				}
			}); err != nil {
				t.Fatal(err)
			}
			if *answers != c.want || answeredAt < timeout || answeredAt > timeout+500e6 {
				t.Errorf("%+v after %d ms, want %+v after 200 to 700 ms", *answers, answeredAt/1e6, c.want)
			}
			if d.Counts.MissedDeadlines != 1 || module.canceled != 1 || d.requests.Len() != 0 {
				t.Errorf("%d missed deadlines, module told %d times, %d requests in flight; want 1, 1, 0",
					d.Counts.MissedDeadlines, module.canceled, d.requests.Len())
			}
			if c.sent && (backend.finished != 1 || len(module.outcomes) != 1) {
				t.Errorf("attempt finished %d times, its end reported %d times; want 1, 1",
					backend.finished, len(module.outcomes))
			}
		})
	}
}
