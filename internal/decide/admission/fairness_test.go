package admission

import (
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

// TestFairnessBounds checks that the admitted costs of waiting tenants, by weight, keep the bound of start-time fair
// queueing, and differ from an ideal fluid schedule by at most one largest request for each tenant and one more.
func TestFairnessBounds(t *testing.T) {
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
		tenantOf, cost := map[RequestID]int{}, map[RequestID]float64{}
		largest := 0.0
		for i := range n { // each has enough waiting requests for the whole test
			for range 400 {
				request := newRequest(i, 0, int64(1+rng.IntN(1000)))
				if verdict, _ := q.Enqueue(1, request); verdict != Queued {
					rt.Fatalf("rejected: %v", verdict)
				}
				tenantOf[request.ID], cost[request.ID] = i, EstimatedCost(request.PromptTokens, 0)
				largest = max(largest, cost[request.ID])
			}
		}
		admitted, total := make([]float64, n), 0.0
		for range 300 {
			id, ok := q.NextAdmissible(0, 0)
			if !ok {
				rt.Fatal("no request is admissible while requests wait")
			}
			q.Admit(2, id)
			admitted[tenantOf[id]] += cost[id]
			total += cost[id]
			for i := range n {
				for k := range n {
					difference := math.Abs(admitted[i]/tenants[i].Weight - admitted[k]/tenants[k].Weight)
					bound := largest/tenants[i].Weight + largest/tenants[k].Weight
					if difference > bound+1e-6 {
						rt.Fatalf("seed %d: tenants %d and %d differ by %.0f relative to weight, want at most %.0f",
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

// TestFlood checks that a client that floods the queue, under one name or under many invented ones, hardly delays
// known clients that send few requests.
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
				for range 30 { // fifteen times the throughput
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
				t.Errorf("a small client waited %d ms, want at most 50", maxSmallWait/ms)
			}
			if maxFloodWait < 500*ms {
				t.Errorf("the flood waited at most %d ms, want 500 or more", maxFloodWait/ms)
			}
		})
	}
}

// TestIdleTenant checks that a tenant without requests does not accumulate service.
func TestIdleTenant(t *testing.T) {
	q := newQueue(t, 1000, TenantLimits{Weight: 1}, TenantLimits{Weight: 1})
	for range 100 {
		q.Enqueue(1, newRequest(0, 0, 100))
		admitNext(q, 1)
	}
	now := 3600 * sec
	tenantOf := map[RequestID]int{}
	for range 50 {
		for i := range 2 {
			request := newRequest(i, 0, 100)
			q.Enqueue(now, request)
			tenantOf[request.ID] = i
		}
	}
	admitted := [2]int{}
	for range 40 {
		admitted[tenantOf[admitNext(q, now)]]++
	}
	if admitted[0] < 18 || admitted[1] < 18 {
		t.Errorf("%v of 40 requests admitted by tenant, want 18 or more each", admitted)
	}
}

// TestHugeRequest checks that of two huge requests, the charge for the first delays the second behind the small
// requests of another client.
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

// TestWeightsChange checks that service follows a change of weights at once.
func TestWeightsChange(t *testing.T) {
	q := newQueue(t, 10000, TenantLimits{Weight: 1}, TenantLimits{Weight: 1})
	tenantOf := map[RequestID]int{}
	for range 2000 {
		for i := range 2 {
			request := newRequest(i, 0, 100)
			q.Enqueue(1, request)
			tenantOf[request.ID] = i
		}
	}
	admit := func(n int) [2]int {
		admitted := [2]int{}
		for range n {
			admitted[tenantOf[admitNext(q, 2)]]++
		}
		return admitted
	}
	if got := admit(200); got[0] < 99 || got[1] < 99 {
		t.Errorf("with equal weights %v of 200 requests admitted by tenant, want 99 or more each", got)
	}
	if err := q.SetTenant(1, TenantLimits{Weight: 4}); err != nil {
		t.Fatal(err)
	}
	if got := admit(500); got[1] < 396 || got[1] > 404 {
		t.Errorf("with weights 1 and 4 %v of 500 requests admitted by tenant, want 396 to 404 of the second", got)
	}
}

// TestLeastTimeLeftFirst checks that the requests of a client are admitted in the order in which their work has to
// begin: the caller with the least time cannot wait for the others.
func TestLeastTimeLeftFirst(t *testing.T) {
	q := newQueue(t, 100, TenantLimits{Weight: 1})
	makeKnown(q, 1, 0, 5)
	patient, urgent, long := newRequest(0, 5, 100), newRequest(0, 5, 100), newRequest(0, 5, 100)
	patient.Deadline, urgent.Deadline = 8*sec, 3*sec
	long.Deadline, long.Work = 4*sec, 2*sec
	for i, request := range []Request{patient, urgent, long} {
		q.Enqueue(Nanos(i+1), request)
	}
	for _, want := range []RequestID{long.ID, urgent.ID, patient.ID} {
		if id := admitNext(q, 10); id != want {
			t.Errorf("request %d is admitted, want %d, which has to begin earlier", id, want)
		}
	}
}
