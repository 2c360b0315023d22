package policy

import "testing"

// replicasUsed returns how many of twenty prefill servers get the first requests of forty sessions that share a
// prefix. The first request of each session goes to a dispatcher of its own, which has counted otherCount other
// requests. A fraction 1/every of them has the prefix, or none if every is 0.
func replicasUsed(t *testing.T, otherCount, every int) int {
	t.Helper()
	const prefix = PrefixKey(99)
	used := map[ServerID]bool{}
	for session := range 40 {
		router := newRouter(t, Config{
			Seed:        1,
			Self:        Identity{Index: int32(session), Count: 40},
			Classes:     []Class{{LatencyTarget: 1e9, Timeout: 5e9, Value: 1}},
			Roles:       []Role{Prefill},
			Attempts:    AttemptLimits{MaxAttempts: 3},
			Responses:   ResponseSettings{RoundInterval: 1e6},
			ReleaseTime: 1e9,
		})
		now := Nanos(1e9)
		router.ListUpdateStarted(true)
		for id := range ServerID(20) {
			router.ServerListed(id+1, 0, 0, 0, Serving, 0)
		}
		router.ListUpdateEnded(now)
		send := func(id RequestID, session SessionKey, prefix PrefixKey) ServerID {
			now += 1e6
			router.RequestArrived(now, Request{
				ID: id, Tenant: -1, Session: session, Prefix: prefix, PromptTokens: 1500, PrefixTokens: 1000,
				Deadline: now + 5e9,
			})
			server := takeAttempt(router, now)
			router.AttemptEnded(now, id, 0, Prefilled, 1e6, true, NoLoadReport)
			discardDecisions(router, now)
			return server
		}
		for n := range otherCount {
			other := PrefixKey(1000 + n)
			if every > 0 && n%every == 0 {
				other = prefix
			}
			send(RequestID(n+1), SessionKey(5000+100*session+n), other)
		}
		router.prefixes.hints = map[uint64]prefixHints{} // without hints from the dispatcher's own requests
		used[send(1000, SessionKey(session+1), prefix)] = true
	}
	return len(used)
}

// TestReplicaCount checks that a rare prefix has one replica at every dispatcher and a common one several, and any
// prefix at least four where too few requests were counted to tell, so that a common one does not overload a server.
func TestReplicaCount(t *testing.T) {
	for _, c := range []struct{ otherCount, every, minReplicas, maxReplicas int }{
		{24, 0, 1, 1},
		{0, 0, 4, 4},
		{6, 0, 4, 4},
		{24, 4, 4, 12},
		{12, 4, 4, 12},
	} {
		if n := replicasUsed(t, c.otherCount, c.every); n < c.minReplicas || n > c.maxReplicas {
			t.Errorf("%d requests counted, one in %d with the prefix: got %d replicas, want %d to %d",
				c.otherCount, c.every, n, c.minReplicas, c.maxReplicas)
		}
	}
}
