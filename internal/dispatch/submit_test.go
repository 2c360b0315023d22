package dispatch

import (
	"log/slog"
	"testing"

	"docksail/internal/decide/intake"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// TestTenantOfRequest checks that, without an admission queue, the module learns the tenant of a request, and sessions
// and prefixes with the same name are identical for all tenants.
func TestTenantOfRequest(t *testing.T) {
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Close()
	module := &scriptedModule{}
	dispatcher := NewDirect(loop, slog.New(slog.DiscardHandler), &Config{
		Module: module, ClassNames: []string{"a"}, Classes: []policy.Class{{LatencyTarget: 1e9, Timeout: 5e9}},
		TenantNames: []string{"north", "south"},
		Intake:      intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000, EndpointListKnown: true}, Incarnation: 1,
	})
	for _, tenant := range []string{"south", "north", ""} {
		request := frontend.Request{
			Class: []byte("a"), Tenant: []byte(tenant), Session: []byte("s"), Prefix: []byte("p"), PromptTokens: 10,
		}
		if _, err := dispatcher.Submit(loop.Now(), &answerCounts{}, &request); err != nil {
			t.Fatal(err)
		}
	}
	for i, want := range []policy.TenantID{1, 0, -1} {
		got := module.arrived[i]
		if got.Tenant != want || got.Session != module.arrived[0].Session || got.Prefix != module.arrived[0].Prefix {
			t.Errorf("request %d: got %+v, want tenant %d and the session and prefix of request 0", i, got, want)
		}
	}
}
