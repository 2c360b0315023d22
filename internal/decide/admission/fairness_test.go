package admission

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestFairAgainstFluid checks that what tenants with waiting requests are admitted differs from their shares by no more
// than the bound of start-time fair queueing, and from an ideal fluid schedule by no more than a largest request each.
func TestFairAgainstFluid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		rng := rand.New(rand.NewPCG(seed, 0))
		n := 2 + rng.IntN(5)
		var tenants []TenantLimits
		totalWeight := 0.0
		for range n {
			weight := float64(1 + rng.IntN(8))
			totalWeight += weight
			tenants = append(tenants, TenantLimits{Weight: weight})
		}
		q := newQueue(t, 100000, tenants...)
		owner, cost := map[RequestID]int{}, map[RequestID]float64{}
		largest := 0.0
		for i := range n { // each has enough waiting for the whole test
			for range 400 {
				request := newRequest(i, 0, int64(1+rng.IntN(1000)))
				if verdict, _ := q.Enqueue(1, request); verdict != Queued {
					rt.Fatalf("rejected: %v", verdict)
				}
				owner[request.ID], cost[request.ID] = i, EstimatedCost(request.PromptTokens, 0)
				largest = max(largest, cost[request.ID])
			}
		}
		admitted, total := make([]float64, n), 0.0
		for range 300 {
			id, ok := q.NextAdmissible(0, 0)
			if !ok {
				rt.Fatal("no request is admissible while some wait")
			}
			q.Admit(2, id)
			admitted[owner[id]] += cost[id]
			total += cost[id]
			for i := range n {
				for k := range n {
					difference := math.Abs(admitted[i]/tenants[i].Weight - admitted[k]/tenants[k].Weight)
					bound := largest/tenants[i].Weight + largest/tenants[k].Weight
					if difference > bound+1e-6 {
						rt.Fatalf("seed %d: tenants %d and %d differ by %.0f for their weights, want at most %.0f",
							seed, i, k, difference, bound)
					}
				}
			}
		}
		for i := range n {
			if fluid := total * tenants[i].Weight / totalWeight; math.Abs(admitted[i]-fluid) > float64(n+1)*largest {
				rt.Fatalf("seed %d: tenant %d was admitted %.0f, a fluid schedule gives %.0f", seed, i, admitted[i], fluid)
			}
		}
	})
}

// TestFlood checks that a client that floods the queue, under one name or under many invented ones, does not make small
// known clients wait longer than a few of their own requests take.
func TestFlood(t *testing.T) {
	for name, floodClient := range map[string]func(i int) uint64{
		"one name":   func(int) uint64 { return 77 },
		"many names": func(i int) uint64 { return 1000 + uint64(i) },
	} {
		t.Run(name, func(t *testing.T) {
			q := newQueue(t, 20000, TenantLimits{Weight: 1})
			makeKnown(q, 1, 0, 1, 2, 3, 77)
			arrivedAt, isSmall := map[RequestID]Nanos{}, map[RequestID]bool{}
			var maxSmallWait, maxFloodWait Nanos
			servers := fleet{queue: q, served: func(id RequestID, at Nanos) {
				if isSmall[id] {
					maxSmallWait = max(maxSmallWait, at-arrivedAt[id])
				} else {
					maxFloodWait = max(maxFloodWait, at-arrivedAt[id])
				}
			}}
			n := 0
			for now := Nanos(0); now < 4*sec; now += 10 * ms {
				for range 30 { // fifteen times what is served
					n++
					request := newRequest(0, floodClient(n), 100)
					request.Source = 9
					if verdict, _ := q.Enqueue(now, request); verdict == Queued {
						arrivedAt[request.ID] = now
					}
				}
				if now%(50*ms) == 0 {
					request := newRequest(0, 1+uint64(now/(50*ms))%3, 100)
					if verdict, _ := q.Enqueue(now, request); verdict != Queued {
						t.Fatalf("a small client was rejected: %v", verdict)
					}
					arrivedAt[request.ID], isSmall[request.ID] = now, true
				}
				servers.serve(now, now+10*ms, 20)
			}
			if maxSmallWait > 50*ms {
				t.Errorf("a small client waited %d ms, want at most 50: five requests take 25", maxSmallWait/ms)
			}
			if maxFloodWait < 500*ms {
				t.Errorf("the flood waited %d ms at most, want 500: it was no flood", maxFloodWait/ms)
			}
		})
	}
}

// TestIdleTenant checks that a tenant does not save up service in an hour without a request.
func TestIdleTenant(t *testing.T) {
	q := newQueue(t, 1000, TenantLimits{Weight: 1}, TenantLimits{Weight: 1})
	for range 100 {
		q.Enqueue(1, newRequest(0, 0, 100))
		admitNext(q, 1)
	}
	now := 3600 * sec
	owner := map[RequestID]int{}
	for range 50 {
		for i := range 2 {
			request := newRequest(i, 0, 100)
			q.Enqueue(now, request)
			owner[request.ID] = i
		}
	}
	admitted := [2]int{}
	for range 40 {
		admitted[owner[admitNext(q, now)]]++
	}
	if admitted[0] < 18 || admitted[1] < 18 {
		t.Errorf("of 40 requests %v were admitted, want half of each", admitted)
	}
}

// TestHugeRequest checks that among many small requests of another client at most one huge request is admitted: the
// second has to wait for the charge of the first.
func TestHugeRequest(t *testing.T) {
	q := newQueue(t, 1000, TenantLimits{Weight: 1})
	makeKnown(q, 1, 0, 1, 2)
	q.Enqueue(1, newRequest(0, 1, 100000))
	q.Enqueue(1, newRequest(0, 1, 100000))
	for range 200 {
		q.Enqueue(1, newRequest(0, 2, 100))
	}
	small := 0
	for range 150 {
		id, _ := q.NextAdmissible(0, 0)
		if q.interactive.requests[id].Client == 2 {
			small++
		}
		q.Admit(1, id)
	}
	if small < 149 {
		t.Errorf("%d of 150 admitted requests were small, want 149 or more", small)
	}
}

// TestWeightsChange checks that service follows new weights from the change on.
func TestWeightsChange(t *testing.T) {
	q := newQueue(t, 10000, TenantLimits{Weight: 1}, TenantLimits{Weight: 1})
	owner := map[RequestID]int{}
	for range 2000 {
		for i := range 2 {
			request := newRequest(i, 0, 100)
			q.Enqueue(1, request)
			owner[request.ID] = i
		}
	}
	admit := func(n int) [2]int {
		admitted := [2]int{}
		for range n {
			admitted[owner[admitNext(q, 2)]]++
		}
		return admitted
	}
	if got := admit(200); got[0] < 99 || got[1] < 99 {
		t.Errorf("with equal weights %v of 200 were admitted, want 99 or more of each", got)
	}
	if err := q.SetTenant(1, TenantLimits{Weight: 4}); err != nil {
		t.Fatal(err)
	}
	if got := admit(500); got[1] < 396 || got[1] > 404 {
		t.Errorf("at four to one %v of 500 were admitted, want 396 to 404 of the second", got)
	}
}

// TestEarliestDueFirst checks that of a client's requests the one is admitted first whose latency objective ends first.
func TestEarliestDueFirst(t *testing.T) {
	q := newQueue(t, 100, TenantLimits{Weight: 1})
	makeKnown(q, 1, 0, 5)
	slow, quick := newRequest(0, 5, 100), newRequest(0, 5, 100)
	slow.LatencyObjective, quick.LatencyObjective = 10*sec, sec
	q.Enqueue(1, slow)
	q.Enqueue(2, quick)
	if id, _ := q.NextAdmissible(0, 0); id != quick.ID {
		t.Errorf("request %d is first, want %d, which is due earlier", id, quick.ID)
	}
}
