package policy

import (
	"fmt"
	"testing"
)

// newRouter returns a router with these settings. It ends the test if they are invalid.
func newRouter(tb testing.TB, config Config) *Router {
	tb.Helper()
	router, err := New(config)
	if err != nil {
		tb.Fatal(err)
	}
	return router
}

// discardDecisions takes and ignores all decisions that are due.
func discardDecisions(router *Router, now Nanos) {
	for ok := true; ok; {
		_, ok = router.NextDecision(now)
	}
}

// takeAttempt takes all decisions that are due and returns the server of the last attempt among them, or 0.
func takeAttempt(router *Router, now Nanos) ServerID {
	server := ServerID(0)
	for decision, ok := router.NextDecision(now); ok; decision, ok = router.NextDecision(now) {
		if decision.Action == SendAttempt {
			server = decision.Server
		}
	}
	return server
}

// TestNewRejectsInvalidConfig checks that New returns an error for each kind of invalid setting.
func TestNewRejectsInvalidConfig(t *testing.T) {
	valid := Config{
		Self: Identity{Count: 1}, Classes: []Class{{LatencyTarget: 1e9, Timeout: 5e9}}, Roles: []Role{Prefill},
		Attempts: AttemptLimits{MaxAttempts: 1}, ReleaseTime: 1e9,
	}
	newRouter(t, valid)
	for name, invalidate := range map[string]func(c *Config){
		"no classes":      func(c *Config) { c.Classes = nil },
		"no roles":        func(c *Config) { c.Roles = nil },
		"no attempts":     func(c *Config) { c.Attempts.MaxAttempts = 0 },
		"no release time": func(c *Config) { c.ReleaseTime = 0 },
		"no dispatchers":  func(c *Config) { c.Self.Count = 0 },
		"no target":       func(c *Config) { c.Classes = []Class{{Timeout: 5e9}} },
		"no timeout":      func(c *Config) { c.Classes = []Class{{LatencyTarget: 1e9}} },
	} {
		t.Run(name, func(t *testing.T) {
			config := valid
			invalidate(&config)
			if _, err := New(config); err == nil {
				t.Error("got no error, want one")
			}
		})
	}
}

// TestEnumerationNames checks that every value of an enumeration has a name of its own.
func TestEnumerationNames(t *testing.T) {
	for _, c := range []struct {
		enumeration string
		count       int
		name        func(value uint8) fmt.Stringer
	}{
		{"Role", int(roleCount), func(v uint8) fmt.Stringer { return Role(v) }},
		{"Idempotency", int(NonIdempotent) + 1, func(v uint8) fmt.Stringer { return Idempotency(v) }},
		{"DedupScope", int(DedupScopeCell) + 1, func(v uint8) fmt.Stringer { return DedupScope(v) }},
		{"Health", int(Gone) + 1, func(v uint8) fmt.Stringer { return Health(v) }},
		{"Outcome", int(StaleConnection) + 1, func(v uint8) fmt.Stringer { return Outcome(v) }},
		{"Action", int(LogEjection) + 1, func(v uint8) fmt.Stringer { return Action(v) }},
		{"EjectionReason", int(EjectedSilent) + 1, func(v uint8) fmt.Stringer { return EjectionReason(v) }},
	} {
		seen := map[string]bool{}
		for value := range c.count {
			name := c.name(uint8(value)).String()
			if name == "unknown" || seen[name] {
				t.Errorf("%s %d: got name %q, want a unique name", c.enumeration, value, name)
			}
			seen[name] = true
		}
		if name := c.name(uint8(c.count)).String(); name != "unknown" {
			t.Errorf("%s %d, which does not exist: got name %q, want unknown", c.enumeration, c.count, name)
		}
	}
}

// TestEjectionString checks the description of ejections, which is part of the protocol with the simulator.
func TestEjectionString(t *testing.T) {
	for want, ejection := range map[string]Ejection{
		"server 3 ejected for 500 ms: failing":              {3, NoClass, EjectedFailing, 500 * ms},
		"server 3 ejected for 500 ms: not reached":          {3, NoClass, EjectedUnreachable, 500*ms + 999},
		"server 3 ejected for 500 ms: slow to answer":       {3, NoClass, EjectedSlow, 500 * ms},
		"server 3 silent to class 0, left alone for 500 ms": {3, 0, EjectedSilent, 500 * ms},
	} {
		if got := ejection.String(); got != want {
			t.Errorf("%+v: got %q, want %q", ejection, got, want)
		}
	}
}
