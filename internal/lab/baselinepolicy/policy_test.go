package baselinepolicy

import (
	"slices"
	"testing"

	"docksail/policy"
)

const deadline = policy.Nanos(10e9)

// newTestPolicy returns a policy with prefill servers 1 and 2, decode servers 3 and 4, and one request.
func newTestPolicy(t *testing.T, name string, oracle LoadOracle) *Policy {
	t.Helper()
	p, err := New(name, 1, oracle)
	if err != nil {
		t.Fatal(err)
	}
	p.ListUpdateStarted(true)
	for id := policy.ServerID(1); id <= 4; id++ {
		role := policy.Prefill
		if id > 2 {
			role = policy.Decode
		}
		p.ServerListed(id, 0, policy.KindID(role), 0, policy.Serving, 0)
	}
	p.ListUpdateEnded(0)
	p.RequestArrived(0, policy.Request{ID: 1, Deadline: deadline})
	return p
}

// endAttempt ends the attempt of the request that is in flight.
func endAttempt(p *Policy, outcome policy.Outcome) {
	p.AttemptEnded(0, 1, 0, outcome, 0, false, policy.LoadReport{})
}

// takeDecisions removes all pending decisions. It returns their actions and the servers of the attempts among them.
func takeDecisions(p *Policy) (actions []policy.Action, servers []policy.ServerID) {
	for {
		d, ok := p.NextDecision(0)
		if !ok {
			return actions, servers
		}
		actions = append(actions, d.Action)
		if d.Action == policy.SendAttempt {
			servers = append(servers, d.Server)
		}
	}
}

// TestAttempts checks the actions that follow each outcome of an attempt.
func TestAttempts(t *testing.T) {
	const (
		send    = policy.SendAttempt
		release = policy.ReleaseState
	)
	for _, test := range []struct {
		name     string
		outcomes []policy.Outcome
		want     []policy.Action
	}{
		{"prefill and decode", []policy.Outcome{policy.Prefilled}, []policy.Action{send, send}},
		{
			"prefill retried at each server",
			[]policy.Outcome{policy.Failed, policy.Unreachable},
			[]policy.Action{send, send, policy.RejectRequest},
		},
		{
			"decode that did not run is retried",
			[]policy.Outcome{policy.Prefilled, policy.Rejected, policy.NotSent},
			[]policy.Action{send, send, send, release, policy.RejectRequest},
		},
		{
			"decode that may have run is not retried",
			[]policy.Outcome{policy.Prefilled, policy.Failed},
			[]policy.Action{send, send, release, policy.FailRequest},
		},
		{
			"prefill repeated after missing state",
			[]policy.Outcome{policy.Prefilled, policy.StateMissing},
			[]policy.Action{send, send, send},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newTestPolicy(t, roundRobin, nil)
			for _, outcome := range test.outcomes {
				endAttempt(p, outcome)
			}
			if got, _ := takeDecisions(p); !slices.Equal(got, test.want) {
				t.Errorf("actions %v, want %v", got, test.want)
			}
		})
	}
}

// TestSelectServer checks that each policy sends a stage only to servers of its role, and that "full sight" selects
// the least loaded one.
func TestSelectServer(t *testing.T) {
	loads := map[policy.ServerID]int{1: 20, 2: 10, 3: 5, 4: 7}
	oracle := func(id policy.ServerID) (queuedTokens, requests int) { return loads[id], loads[id] }
	for _, name := range Names {
		t.Run(name, func(t *testing.T) {
			p := newTestPolicy(t, name, oracle)
			endAttempt(p, policy.Prefilled)
			_, servers := takeDecisions(p)
			if len(servers) != 2 || servers[0] > 2 || servers[1] < 3 {
				t.Fatalf("sent to servers %v, want a prefill server and then a decode server", servers)
			}
			if name == trueLoad && !slices.Equal(servers, []policy.ServerID{2, 3}) {
				t.Errorf("sent to servers %v, want the least loaded ones, 2 and 3", servers)
			}
		})
	}
}

// TestRequestCanceled checks that canceling a request cancels an attempt that has not started to stream, and releases
// the state.
func TestRequestCanceled(t *testing.T) {
	p := newTestPolicy(t, roundRobin, nil)
	endAttempt(p, policy.Prefilled)
	p.RequestCanceled(0, 1)
	endAttempt(p, policy.Canceled)
	want := []policy.Action{policy.SendAttempt, policy.SendAttempt, policy.CancelAttempt, policy.ReleaseState}
	if got, _ := takeDecisions(p); !slices.Equal(got, want) {
		t.Errorf("actions %v, want %v", got, want)
	}
	if len(p.requests) != 0 {
		t.Errorf("%d requests left, want none", len(p.requests))
	}
}

// TestNewErrors checks the errors of New.
func TestNewErrors(t *testing.T) {
	if _, err := New("unknown", 1, nil); err == nil {
		t.Error("an unknown policy was accepted")
	}
	if _, err := New(trueLoad, 1, nil); err == nil {
		t.Error("a policy by true load was accepted without an oracle")
	}
}
