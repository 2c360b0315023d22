package policy

import "testing"

// TestServedRequestDoesNotAllocate checks that a request that is served by its first attempts allocates no memory.
func TestServedRequestDoesNotAllocate(t *testing.T) {
	router := newRouter(t, Config{
		Seed:        1,
		Self:        Identity{Count: 1},
		Classes:     []Class{{LatencyTarget: 1000 * ms, Timeout: 5000 * ms, Value: 1, InterTokenTarget: 50 * ms}},
		Tenants:     []Tenant{{}},
		Roles:       []Role{Prefill, Decode, Mixed},
		Attempts:    AttemptLimits{MaxAttempts: 6},
		Discovery:   Discovery{MaxInterval: 10000 * ms},
		ReleaseTime: 500 * ms,
	})
	router.ListUpdateStarted(true)
	router.ServerListed(1, 0, 0, 0, Serving, 0)
	router.ServerListed(2, 0, 1, 0, Serving, 0)
	router.ListUpdateEnded(0)
	now, id := 1000*ms, RequestID(0)
	serveRequest := func() {
		now, id = now+10*ms, id+1
		router.RequestArrived(now, Request{
			ID: id, Tenant: -1, Session: 5, Prefix: 7, PromptTokens: 500, PrefixTokens: 400, Deadline: now + 5e9,
		})
		discardDecisions(router, now)
		router.AttemptEnded(now, id, 0, Prefilled, 5*ms, false, NoLoadReport)
		discardDecisions(router, now)
		router.StreamStarted(now, id, 1, 5*ms)
		router.AttemptEnded(now, id, 1, Served, 5*ms, true, NoLoadReport)
		discardDecisions(router, now)
	}
	for range 100 {
		serveRequest()
	}
	if n := testing.AllocsPerRun(500, serveRequest); n > 0 {
		t.Fatalf("got %v allocations for a request, want 0", n)
	}
}
