package dispatch

import (
	"docksail/internal/decide/inflight"
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
func (m *deafModule) Woken(policy.Nanos) {}
func (m *deafModule) AttemptEnded(_ policy.Nanos, _ policy.RequestID, _ policy.AttemptNumber, outcome policy.Outcome, _ policy.Nanos, _ bool, _ policy.Load) {
	m.ended = append(m.ended, outcome)
}
func (m *deafModule) ClientLeft(policy.Nanos, policy.RequestID) { m.left++ }
func (m *deafModule) HeldSince(policy.Nanos, policy.RequestID, policy.Nanos) {
}

func (m *deafModule) Next(policy.Nanos) (policy.Decision, bool) {
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
func (noEntry) Conns() int                                               { return 0 }
func (noEntry) Idle() bool                                               { return true }
func (noEntry) Drain()                                                   {}

type silentExit struct{ closed int }

func (*silentExit) Start(eventloop.Nanos) {}

func (*silentExit) Watch(eventloop.Nanos) {}

func (*silentExit) IsPrefill(policy.ServerID) (reads, known bool) { return false, true }

func (x *silentExit) Send(eventloop.Nanos, *Request, policy.AttemptNumber) Attempt { return x }

func (*silentExit) Release(eventloop.Nanos, *Request, policy.ServerID, policy.AttemptNumber, eventloop.Nanos) {
}

func (*silentExit) Flush() {}

func (*silentExit) Idle() bool { return true }

func (*silentExit) Close() {}

func (x *silentExit) End(eventloop.Nanos) bool { x.closed++; return true }

func (*silentExit) Ended(eventloop.Nanos) {}

func (*silentExit) Credit(int) {}

func (*silentExit) ServerHeard() bool { return true }

func (*silentExit) Stage() inflight.Stage { return inflight.Arrived }

// answers counts what a client was told.
type answers struct{ nacked, abandoned int }

func (*answers) Tokens(policy.RequestID, []byte) bool        { return false }
func (*answers) Served(policy.RequestID)                     {}
func (a *answers) Fail(policy.RequestID, string)             { a.abandoned++ }
func (a *answers) Reject(policy.RequestID, frontend.Refusal) { a.nacked++ }

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
			class := policy.Class{Target: 1e9, Timeout: 5e9}
			if !c.redoable {
				class.Effect = policy.NonIdempotent
			}
			module, out, told := &deafModule{}, &silentExit{}, &answers{}
			d, err := Direct(l, slog.New(slog.DiscardHandler), module, []string{"a"}, []policy.Class{class}, nil, 10, 1000, 0, 0, 1)
			if err != nil {
				t.Fatal(err)
			}
			d.gate.ListKnown = true
			d.Attach(noEntry{}, out)
			const left = 200e6
			id, err := d.Arrive(l.Now(), told, &frontend.Request{Class: []byte("a"), Prompt: 10, WaitLimit: left})
			if err != nil {
				t.Fatal(err)
			}
			if c.launched {
				module.decisions = []policy.Decision{{Verb: policy.Attempt, Request: id, Server: 1, For: 1e12}}
			}
			d.Round(l.Now())
			var answered eventloop.Nanos
			var end eventloop.Timer
			l.At(&end, 5e9, func(eventloop.Nanos) { l.Stop() })
			l.Run(func(now eventloop.Nanos) {
				if d.Round(now); told.nacked+told.abandoned > 0 {
					answered = now
					l.Stop()
				}
			})
			if *told != c.want || answered < left || answered > left+500e6 {
				t.Errorf("%+v after %d ms, want %+v after 200 to 700 ms", *told, answered/1e6, c.want)
			}
			if d.Counts.Overdue != 1 || module.left != 1 || d.requests.Len() != 0 {
				t.Errorf("counted %d, module told %d times, %d in hand", d.Counts.Overdue, module.left, d.requests.Len())
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
	tracks := []policy.Class{{Target: 1e9, Timeout: 5e9}}
	d, err := Direct(l, slog.New(slog.DiscardHandler), module, []string{"a"}, tracks, []string{"north", "south"}, 10, 1000, 0, 0, 1)
	if err != nil {
		t.Fatal(err)
	}
	d.gate.ListKnown = true
	for _, tenant := range []string{"south", "north", ""} {
		r := frontend.Request{Class: []byte("a"), Tenant: []byte(tenant), Session: []byte("s"), Prefix: []byte("p"), Prompt: 10}
		if _, err := d.Arrive(l.Now(), &answers{}, &r); err != nil {
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
