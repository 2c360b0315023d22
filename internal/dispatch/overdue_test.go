package dispatch

import (
	"docksail/internal/decide/inflight"
	"docksail/internal/decide/intake"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
	"log/slog"
	"net/netip"
	"testing"
)

// deafModule decides what it is given to decide and nothing else: it forgets every request.
type deafModule struct {
	Module
	decisions []policy.Decision
	left      int
	arrived   []policy.Request
	ended     []policy.Outcome
}

func (m *deafModule) RequestArrived(_ policy.Nanos, given policy.Request) {
	m.arrived = append(m.arrived, given)
}
func (m *deafModule) TimerFired(policy.Nanos) {}
func (m *deafModule) AttemptEnded(_ policy.Nanos, _ policy.RequestID, _ policy.AttemptNumber, outcome policy.Outcome, _ policy.Nanos, _ bool, _ policy.LoadReport) {
	m.ended = append(m.ended, outcome)
}
func (m *deafModule) RequestCanceled(policy.Nanos, policy.RequestID) { m.left++ }
func (m *deafModule) StateHeldSince(policy.Nanos, policy.RequestID, policy.Nanos) {
}

func (m *deafModule) NextDecision(policy.Nanos) (policy.Decision, bool) {
	if len(m.decisions) == 0 {
		return policy.Decision{}, false
	}
	next := m.decisions[0]
	m.decisions = m.decisions[1:]
	return next, true
}

// noEntry and silentExit are ways in and out on which nothing happens.
type noEntry struct{}

func (noEntry) Listen(at netip.AddrPort, _ bool) (netip.AddrPort, error) { return at, nil }
func (noEntry) Flush()                                                   {}
func (noEntry) ConnCount() int                                           { return 0 }
func (noEntry) IsIdle() bool                                             { return true }
func (noEntry) Drain()                                                   {}

type silentExit struct{ closed int }

func (*silentExit) Start(eventloop.Nanos) {}

func (*silentExit) WatchEndpoints(eventloop.Nanos) {}

func (*silentExit) IsPrefill(policy.ServerID) (reads, known bool) { return false, true }

func (x *silentExit) StartAttempt(eventloop.Nanos, *Request, policy.AttemptNumber) Attempt { return x }

func (*silentExit) Release(eventloop.Nanos, *Request, policy.ServerID, policy.AttemptNumber, eventloop.Nanos) {
}

func (*silentExit) Flush() {}

func (*silentExit) IsIdle() bool { return true }

func (*silentExit) Close() {}

func (x *silentExit) Finish(eventloop.Nanos) bool { x.closed++; return true }

func (*silentExit) AfterFinish(eventloop.Nanos) {}

func (*silentExit) CreditWindow(int) {}

func (*silentExit) ServerResponsive() bool { return true }

func (*silentExit) DeliveryState() inflight.DeliveryState { return inflight.Acknowledged }

// answers counts what a client was told.
type answers struct{ nacked, abandoned int }

func (*answers) WriteTokens(policy.RequestID, []byte) bool          { return false }
func (*answers) Complete(policy.RequestID)                          {}
func (a *answers) Fail(policy.RequestID, string)                    { a.abandoned++ }
func (a *answers) Reject(policy.RequestID, frontend.RejectionError) { a.nacked++ }

// A request that the module forgets has its final answer by the dispatcher's own deadline, within half a second of its client's;
// the attempt that is out is closed.
func TestForgottenJobIsAnswered(t *testing.T) {
	for decision, c := range map[string]struct {
		launched, redoable bool
		want               answers
	}{
		"never sent":             {redoable: true, want: answers{nacked: 1}},
		"out":                    {launched: true, redoable: true, want: answers{nacked: 1}},
		"out, not to be redone":  {launched: true, want: answers{abandoned: 1}},
		"never sent, not redone": {want: answers{nacked: 1}},
	} {
		t.Run(decision, func(t *testing.T) {
			l, err := eventloop.New()
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			class := policy.Class{LatencyTarget: 1e9, Timeout: 5e9}
			if !c.redoable {
				class.Idempotency = policy.NonIdempotent
			}
			module, out, told := &deafModule{}, &silentExit{}, &answers{}
			d := NewDirect(l, slog.New(slog.DiscardHandler), &Config{
				Module: module, ClassNames: []string{"a"}, Classes: []policy.Class{class},
				Intake: intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000, ListKnown: true}, Incarnation: 1,
			})
			d.Attach(noEntry{}, out)
			const left = 200e6
			id, err := d.Submit(l.Now(), told, &frontend.Request{Class: []byte("a"), PromptTokens: 10, FirstTokenTimeout: left})
			if err != nil {
				t.Fatal(err)
			}
			if c.launched {
				module.decisions = []policy.Decision{{Action: policy.SendAttempt, Request: id, Server: 1, Duration: 1e12}}
			}
			d.RunIteration(l.Now())
			var answered eventloop.Nanos
			var end eventloop.Timer
			l.SetTimer(&end, 5e9, func(eventloop.Nanos) { l.Stop() })
			l.Run(func(now eventloop.Nanos) {
				if d.RunIteration(now); told.nacked+told.abandoned > 0 {
					answered = now
					l.Stop()
				}
			})
			if *told != c.want || answered < left || answered > left+500e6 {
				t.Errorf("%+v after %d ms, want %+v after 200 to 700 ms", *told, answered/1e6, c.want)
			}
			if d.Counts.MissedDeadlines != 1 || module.left != 1 || d.requests.Len() != 0 {
				t.Errorf("counted %d, module told %d times, %d in hand", d.Counts.MissedDeadlines, module.left, d.requests.Len())
			}
			if c.launched && (out.closed != 1 || len(module.ended) != 1) {
				t.Errorf("attempt closed %d times, its end told %d times", out.closed, len(module.ended))
			}
		})
	}
}

// The module learns whose a request is; its session and prefix stand for the same text whoever asks.
func TestTenantOfJob(t *testing.T) {
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	module := &deafModule{}
	classes := []policy.Class{{LatencyTarget: 1e9, Timeout: 5e9}}
	d := NewDirect(l, slog.New(slog.DiscardHandler), &Config{
		Module: module, ClassNames: []string{"a"}, Classes: classes, TenantNames: []string{"north", "south"},
		Intake: intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000, ListKnown: true}, Incarnation: 1,
	})
	for _, tenant := range []string{"south", "north", ""} {
		r := frontend.Request{Class: []byte("a"), Tenant: []byte(tenant), Session: []byte("s"), Prefix: []byte("p"), PromptTokens: 10}
		if _, err := d.Submit(l.Now(), &answers{}, &r); err != nil {
			t.Fatal(err)
		}
	}
	for i, want := range []policy.TenantID{1, 0, -1} {
		got := module.arrived[i]
		if got.Tenant != want || got.Session != module.arrived[0].Session || got.Prefix != module.arrived[0].Prefix {
			t.Errorf("request %d: %+v, want tenant %d and the keys of the others", i, got, want)
		}
	}
}
