package policy

import (
	"math/rand/v2"
	"testing"
)

// play gives a module with these classes some thousand events drawn from a seed, requests of class i being told as of place[i],
// and gives all that it decides.
func play(t *testing.T, seed uint64, tracks []Class, place []ClassID) (decided []Decision) {
	t.Helper()
	d := newRouter(t, Config{
		Seed:        7,
		Self:        Identity{Count: 3},
		Classes:     tracks,
		Roles:       []Role{Prefill, Decode},
		SlowStart:   SlowStart{InitialCapacity: 0.3, WarmupTime: 5e9, OverloadFactor: 2.5, OverloadWindow: 3e9},
		Attempts:    AttemptLimits{MaxAttempts: 4, CanCancel: true},
		Responses:   ResponseSettings{DeadlineGrace: 16e6, RoundInterval: 4e6, SendRetryAfter: true, MaxRetryAfter: 1e9},
		ReleaseTime: 1e9,
	})
	now, rng, out := Nanos(10e9), rand.New(rand.NewPCG(seed, 0)), []Decision{}
	d.ListUpdateStarted(true)
	for id := range ServerID(8) {
		d.ServerListed(id+1, 0, KindID(id%2), CellID(id%4/2), Serving, 0)
	}
	d.ListUpdateEnded(now)
	wake := Never
	for n := range 4000 {
		now += Nanos(rng.Int64N(20e6))
		if now >= wake {
			wake = Never
			d.TimerFired(now)
		}
		if rng.Int64N(2) == 0 {
			d.RequestArrived(now, Request{
				ID: RequestID(n + 1), Class: place[rng.IntN(2)], Tenant: -1, Session: SessionKey(rng.IntN(50) + 1),
				Prefix: PrefixKey(rng.IntN(5) + 1), PromptTokens: 1000 + rng.Int64N(3000), PrefixTokens: 800, Deadline: now + Nanos(1e9+rng.Int64N(4e9)),
			})
		}
		if k := rng.IntN(max(len(out), 1)); len(out) > 0 && rng.IntN(3) > 0 {
			what := out[k]
			out = append(out[:k], out[k+1:]...)
			outcome := []Outcome{Prefilled, Prefilled, Prefilled, Failed, TimedOut, Rejected}[rng.IntN(6)]
			if what.Server%2 == 0 && outcome == Prefilled {
				outcome = Served
			}
			d.AttemptEnded(now, what.Request, what.Attempt, outcome, Nanos(rng.Int64N(800e6)), outcome == Served, NoLoadReport)
		}
		for what, ok := d.NextDecision(now); ok; what, ok = d.NextDecision(now) {
			switch what.Action {
			case SendAttempt:
				_, req := d.requests.find(what.Request)
				what.Attempt = AttemptNumber(req.attempts - 1)
				out = append(out, what)
			case SetTimer:
				wake = now + what.Duration
			case CancelAttempt:
				for k := range out {
					if out[k].Request == what.Request {
						out = append(out[:k], out[k+1:]...)
						break
					}
				}
				d.AttemptEnded(now, what.Request, what.Attempt, Canceled, 1e6, false, NoLoadReport)
			}
			what.Text = ""
			decided = append(decided, what)
		}
	}
	return decided
}

// No decision goes by the place of a class in the settings.
func TestClassOrder(t *testing.T) {
	quick := Class{LatencyTarget: 1e9, LatencyTargetPer1k: 40e6, Timeout: 5e9, Value: 1}
	slow := Class{LatencyTarget: 4e9, LatencyTargetPer1k: 40e6, Timeout: 9e9, Value: 3, Idempotency: Deduplicated, DedupWindow: 3e9}
	for seed := range uint64(5) {
		a := play(t, seed, []Class{quick, slow}, []ClassID{0, 1})
		b := play(t, seed, []Class{slow, quick}, []ClassID{1, 0})
		for i := range min(len(a), len(b)) {
			if a[i] != b[i] {
				t.Fatalf("seed %d, decision %d of %d: %+v, and %+v where the classes stand the other way round", seed, i, len(a), a[i], b[i])
			}
		}
		if len(a) != len(b) || len(a) < 4000 {
			t.Errorf("seed %d: %d and %d decisions", seed, len(a), len(b))
		}
	}
}

// A server that has not answered a class whose target is long is not taken for silent at the pace of a quicker one.
func TestSilenceByOwnTarget(t *testing.T) {
	quick, slow := Class{LatencyTarget: 1e9, Timeout: 20e9}, Class{LatencyTarget: 6e9, Timeout: 20e9}
	d := newRouter(t, Config{
		Seed:        7,
		Self:        Identity{Count: 1},
		Classes:     []Class{quick, slow},
		Roles:       []Role{Prefill, Decode},
		Attempts:    AttemptLimits{MaxAttempts: 4, CanCancel: true},
		Responses:   ResponseSettings{DeadlineGrace: 16e6, RoundInterval: 4e6},
		ReleaseTime: 5e9,
	})
	now := Nanos(1e9)
	d.ListUpdateStarted(true)
	d.ServerListed(1, 0, 0, 0, Serving, 0)
	d.ServerListed(2, 0, 1, 0, Serving, 0)
	d.ServerListed(3, 0, 1, 0, Serving, 0)
	d.ListUpdateEnded(now)
	recalled := func() (n int) {
		for what, ok := d.NextDecision(now); ok; what, ok = d.NextDecision(now) {
			if what.Action == CancelAttempt {
				n++
			}
		}
		return n
	}
	for id, class := range []ClassID{0, 1} {
		d.RequestArrived(now, Request{ID: RequestID(id), Class: class, Tenant: -1, PromptTokens: 100, Deadline: now + 20e9})
		recalled()
		d.AttemptEnded(now, RequestID(id), 0, Prefilled, 1e6, false, NoLoadReport)
		recalled()
	}
	now += 1500e6 // over a sixth of twice the quick target, under that of the slow one
	d.TimerFired(now)
	if n := recalled(); n != 1 {
		t.Errorf("%d launches withdrawn, want that of the quick class alone", n)
	}
}
