package policy

import "testing"

// TestPrefixesAreLimited guards against memory that grows with the names that clients give: under ever new prefixes and
// sessions the router remembers a limited number, the latest ones.
func TestPrefixesAreLimited(t *testing.T) {
	const limit, names = 100, 1000
	router := newRouter(t, Config{
		Seed: 1, Self: Identity{Count: 1},
		Classes:   []Class{{LatencyTarget: 1000 * ms, Timeout: 5000 * ms, Value: 1}},
		Tenants:   []Tenant{{}},
		Roles:     []Role{Prefill, Decode, Mixed},
		Attempts:  AttemptLimits{MaxAttempts: 6},
		Discovery: Discovery{MaxInterval: 10000 * ms}, ReleaseTime: 500 * ms,
	})
	router.LimitPrefixes(limit)
	for n := range uint64(names) {
		router.prefixes.countRequest(n)
		router.prefixes.addHint(n, 1, 10, Never)
	}
	if hints, requests := len(router.prefixes.hints), len(router.prefixes.requests); hints != limit || requests != limit {
		t.Errorf("%d prefixes have hints and %d counts after %d names, want %d each", hints, requests, names, limit)
	}
	latest := router.prefixes.hints[names-1]
	if latest.tokensAt(0, 1) != 10 {
		t.Error("the latest prefix is forgotten")
	}
}
