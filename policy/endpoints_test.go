package policy

import "testing"

// TestReplacedServersAreRemoved guards against a memory leak while servers are replaced under new names, each in a
// cell of its own.
func TestReplacedServersAreRemoved(t *testing.T) {
	router := newRouter(t, Config{
		Seed:        1,
		Self:        Identity{Count: 2},
		Classes:     []Class{{LatencyTarget: 1e9, Timeout: 5e9, Value: 1}},
		Roles:       []Role{Prefill, Decode},
		SlowStart:   SlowStart{InitialCapacity: 0.3, WarmupTime: 1e9, OverloadFactor: 2.5, OverloadWindow: 1e9},
		Attempts:    AttemptLimits{MaxAttempts: 6, CanCancel: true},
		Responses:   ResponseSettings{RoundInterval: 4e6},
		ReleaseTime: 1e9,
	})
	now, nextID := Nanos(1e9), ServerID(1)
	router.ListUpdateStarted(true)
	for ; nextID <= 14; nextID++ {
		router.ServerListed(nextID, ZoneID(nextID%3), KindID(nextID%2), CellID(nextID), Serving, 0)
	}
	router.ListUpdateEnded(now)
	discardDecisions(router, now)
	for n := range 10000 {
		now += 50e6
		id := RequestID(n + 1)
		router.RequestArrived(now, Request{
			ID: id, Tenant: -1, Session: SessionKey(n/3 + 1), PromptTokens: 3000, Deadline: now + 5e9,
		})
		prefill := takeAttempt(router, now)
		if prefill == 0 {
			t.Fatalf("request %d: got no prefill server", n)
		}
		// The prefill server goes while it holds the request's state. Its successor has another ID and cell.
		router.ListUpdateStarted(false)
		router.ServerListed(prefill, ZoneID(prefill%3), 0, CellID(prefill), Gone, 0)
		for nextID%2 != 0 {
			nextID++
		}
		router.ServerListed(nextID, ZoneID(nextID%3), 0, CellID(nextID), Serving, 0)
		nextID++
		router.ListUpdateEnded(now)
		router.AttemptEnded(now, id, 0, Prefilled, 1e6, false, NoLoadReport)
		if decode := takeAttempt(router, now); decode == 0 || decode%2 == 0 {
			t.Fatalf("request %d: got server %d, want a decode server", n, decode)
		}
		router.StreamStarted(now, id, 1, 1e6)
		router.AttemptEnded(now, id, 1, Served, 1e6, true, NoLoadReport)
		discardDecisions(router, now)
	}
	if len(router.servers) > 20 || len(router.serverIndex) > 20 || len(router.locality.cells) > 20 {
		t.Errorf("after 10000 replacements: got %d servers, %d ids, %d cells, want at most 20 of each",
			len(router.servers), len(router.serverIndex), len(router.locality.cells))
	}
	if n := len(router.prefixes.hints); n > 2000 { // sessions of the last 30 s, one every 150 ms
		t.Errorf("got %d prefixes with hints, want at most 2000", n)
	}
}
