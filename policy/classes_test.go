package policy

import (
	"math/rand/v2"
	"testing"
)

// runRandomEvents reports random events to a router with these classes, and returns all its decisions. The class of
// each request is one of the two classIDs, with equal probability.
func runRandomEvents(t *testing.T, seed uint64, classes []Class, classIDs []ClassID) []Decision {
	t.Helper()
	router := newRouter(t, Config{
		Seed:      7,
		Self:      Identity{Count: 3},
		Classes:   classes,
		Roles:     []Role{Prefill, Decode},
		SlowStart: SlowStart{InitialCapacity: 0.3, WarmupTime: 5e9, OverloadFactor: 2.5, OverloadWindow: 3e9},
		Attempts:  AttemptLimits{MaxAttempts: 4, CanCancel: true},
		Responses: ResponseSettings{
			DeadlineGrace: 16e6, RoundInterval: 4e6, SendRetryAfter: true, MaxRetryAfter: 1e9,
		},
		ReleaseTime: 1e9,
	})
	now, rng := Nanos(10e9), rand.New(rand.NewPCG(seed, 0))
	router.ListUpdateStarted(true)
	for id := range ServerID(8) {
		router.ServerListed(id+1, 0, KindID(id%2), CellID(id%4/2), Serving, 0)
	}
	router.ListUpdateEnded(now)
	timer := Never
	var decisions, outstanding []Decision
	for n := range 4000 {
		now += Nanos(rng.Int64N(20e6))
		if now >= timer {
			timer = Never
			router.TimerFired(now)
		}
		if rng.Int64N(2) == 0 {
			router.RequestArrived(now, Request{
				ID: RequestID(n + 1), Class: classIDs[rng.IntN(2)], Tenant: -1,
				Session: SessionKey(rng.IntN(50) + 1), Prefix: PrefixKey(rng.IntN(5) + 1),
				PromptTokens: 1000 + rng.Int64N(3000), PrefixTokens: 800,
				Deadline: now + Nanos(1e9+rng.Int64N(4e9)),
			})
		}
		if k := rng.IntN(max(len(outstanding), 1)); len(outstanding) > 0 && rng.IntN(3) > 0 {
			attempt := outstanding[k]
			outstanding = append(outstanding[:k], outstanding[k+1:]...)
			outcome := []Outcome{Prefilled, Prefilled, Prefilled, Failed, TimedOut, Rejected}[rng.IntN(6)]
			if attempt.Server%2 == 0 && outcome == Prefilled {
				outcome = Served
			}
			router.AttemptEnded(now, attempt.Request, attempt.Attempt, outcome, Nanos(rng.Int64N(800e6)),
				outcome == Served, NoLoadReport)
		}
		for decision, ok := router.NextDecision(now); ok; decision, ok = router.NextDecision(now) {
			switch decision.Action {
			case SendAttempt:
				_, req := router.requests.find(decision.Request)
				decision.Attempt = AttemptNumber(req.attempts - 1)
				outstanding = append(outstanding, decision)
			case SetTimer:
				timer = now + decision.Duration
			case CancelAttempt:
				for k := range outstanding {
					if outstanding[k].Request == decision.Request {
						outstanding = append(outstanding[:k], outstanding[k+1:]...)
						break
					}
				}
				router.AttemptEnded(now, decision.Request, decision.Attempt, Canceled, 1e6, false, NoLoadReport)
			default:
			}
			decision.Ejection = Ejection{} // an Ejection contains the ClassID, which depends on the order
			decisions = append(decisions, decision)
		}
	}
	return decisions
}

// TestDecisionsIgnoreClassOrder checks that no decision depends on the order of the classes in the settings.
func TestDecisionsIgnoreClassOrder(t *testing.T) {
	quick := Class{LatencyTarget: 1e9, LatencyTargetPer1k: 40e6, Timeout: 5e9, Value: 1}
	slow := Class{
		LatencyTarget: 4e9, LatencyTargetPer1k: 40e6, Timeout: 9e9, Value: 3,
		Idempotency: Deduplicated, DedupWindow: 3e9,
	}
	for seed := range uint64(5) {
		inOrder := runRandomEvents(t, seed, []Class{quick, slow}, []ClassID{0, 1})
		reversed := runRandomEvents(t, seed, []Class{slow, quick}, []ClassID{1, 0})
		for i := range min(len(inOrder), len(reversed)) {
			if inOrder[i] != reversed[i] {
				t.Fatalf("seed %d, decision %d of %d: got %+v, but %+v with the classes in reverse order",
					seed, i, len(inOrder), inOrder[i], reversed[i])
			}
		}
		if len(inOrder) != len(reversed) || len(inOrder) < 4000 {
			t.Errorf("seed %d: got %d decisions, %d with the classes in reverse order, want equal numbers from 4000 on",
				seed, len(inOrder), len(reversed))
		}
	}
}

// TestStallIgnoresLatencyTarget checks that a server counts as stalled for all classes after the same silence, whatever
// their latency targets are: while nothing is known of the work, after half of the time for which callers wait.
func TestStallIgnoresLatencyTarget(t *testing.T) {
	p := newCallerPlay(t, Class{LatencyTarget: 1e9, Timeout: 20e9}, Class{LatencyTarget: 6e9, Timeout: 20e9})
	p.list(Prefill, Serving, 1)
	p.list(Decode, Serving, 2, 3)
	for id, class := range []ClassID{0, 1} {
		p.arrive(RequestID(id), class, 20e9)
		p.end(RequestID(id), 0, Prefilled, 1e6, false)
	}
	for _, c := range []struct{ duration, wantCanceled Nanos }{{9900 * ms, 0}, {200 * ms, 2}} {
		p.advance(c.duration)
		canceled := Nanos(0)
		for _, decision := range p.decisions {
			if decision.Action == CancelAttempt {
				canceled++
			}
		}
		if canceled != c.wantCanceled {
			t.Errorf("after %d ms: got %d cancelled attempts, want %d", (p.now-10e9)/ms, canceled, c.wantCanceled)
		}
	}
}
