package dispatch

import (
	"bytes"
	"errors"
	"log/slog"
	"testing"

	"docksail/internal/decide/admission"
	"docksail/internal/decide/intake"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// newQueuedDispatcher returns a dispatcher with an admission queue for two tenants.
func newQueuedDispatcher(t *testing.T, loop *eventloop.Loop, module Module) *Dispatcher {
	t.Helper()
	dispatcher, err := NewQueued(loop, slog.New(slog.DiscardHandler), &Config{
		Module: module, ClassNames: []string{"a"}, Classes: []policy.Class{{LatencyTarget: 1e9, Timeout: 5e9}},
		TenantNames: []string{"north", "south"},
		Intake:      intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000, EndpointListKnown: true}, Incarnation: 1,
	}, &QueueConfig{
		MaxWaiting: 10, MaxKnownClients: 10, Secrets: bytes.NewReader(make([]byte, 64)),
		Tenants: []Tenant{
			{Name: "north", Limits: admission.TenantLimits{Weight: 1}},
			{Name: "south", Limits: admission.TenantLimits{Weight: 2}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	dispatcher.Attach(idleFrontend{}, &silentBackend{})
	return dispatcher
}

// submit submits a request of a tenant and returns its ID.
func submit(t *testing.T, dispatcher *Dispatcher, answers *answerCounts, tenant string) policy.RequestID {
	t.Helper()
	id, err := dispatcher.Submit(dispatcher.loop.Now(), answers, &frontend.Request{
		Class: []byte("a"), Tenant: []byte(tenant), Prefix: []byte("p"), PromptTokens: 10, MaxTokens: 10,
	})
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// TestQueuedRequestReachesModuleWhenAdmitted checks that the module gets a request in the iteration of the loop that
// admits it, and learns nothing of a request whose client disconnects before that.
func TestQueuedRequestReachesModuleWhenAdmitted(t *testing.T) {
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Close()
	module, answers := &scriptedModule{}, &answerCounts{}
	dispatcher := newQueuedDispatcher(t, loop, module)

	disconnected := submit(t, dispatcher, answers, "north")
	dispatcher.ClientDisconnected(loop.Now(), disconnected)
	admitted := submit(t, dispatcher, answers, "south")
	if len(module.arrived) != 0 {
		t.Fatalf("%d requests reached the module before the first iteration, want 0", len(module.arrived))
	}
	dispatcher.RunIteration(loop.Now())
	if len(module.arrived) != 1 || module.arrived[0].ID != admitted || module.arrived[0].Tenant != 1 {
		t.Fatalf("the module got %+v, want request %d of tenant 1", module.arrived, admitted)
	}
	if module.canceled != 0 || dispatcher.InFlight() != 1 {
		t.Errorf("%d requests canceled, %d in flight, want 0, 1", module.canceled, dispatcher.InFlight())
	}

	module.decisions = []policy.Decision{{Action: policy.RejectRequest, Request: admitted, Duration: 1e9}}
	dispatcher.RunIteration(loop.Now())
	if answers.rejected != 1 || dispatcher.InFlight() != 0 {
		t.Errorf("%d requests rejected, %d in flight, want 1, 0", answers.rejected, dispatcher.InFlight())
	}
}

// TestQueuedPrefixesBelongToTenants checks that, with an admission queue, prefixes with the same name differ between
// tenants, and a request without a tenant is invalid.
func TestQueuedPrefixesBelongToTenants(t *testing.T) {
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Close()
	module, answers := &scriptedModule{}, &answerCounts{}
	dispatcher := newQueuedDispatcher(t, loop, module)
	first := submit(t, dispatcher, answers, "north")
	dispatcher.RunIteration(loop.Now())
	// The first request ends, so that the next one is admitted.
	module.decisions = []policy.Decision{{Action: policy.RejectRequest, Request: first}}
	submit(t, dispatcher, answers, "south")
	dispatcher.RunIteration(loop.Now())
	if len(module.arrived) != 2 || module.arrived[0].Prefix == module.arrived[1].Prefix {
		t.Errorf("the module got %+v, want two requests with different prefixes", module.arrived)
	}
	_, err = dispatcher.Submit(loop.Now(), answers, &frontend.Request{Class: []byte("a"), PromptTokens: 10})
	if !errors.Is(err, frontend.ErrInvalidRequest) {
		t.Errorf("request without a tenant: got error %v, want %v", err, frontend.ErrInvalidRequest)
	}
}

// TestSetTenantLimits checks that the limits of all tenants change together or not at all, and only if the tenants are
// those that the dispatcher was started with.
func TestSetTenantLimits(t *testing.T) {
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Close()
	dispatcher := newQueuedDispatcher(t, loop, &scriptedModule{})
	tenants := func(first, second string, weight float64) []Tenant {
		return []Tenant{
			{Name: first, Limits: admission.TenantLimits{Weight: 5}},
			{Name: second, Limits: admission.TenantLimits{Weight: weight}},
		}
	}
	for _, c := range []struct {
		name        string
		tenants     []Tenant
		wantError   bool
		wantWeights [2]float64
	}{
		{"one tenant missing", tenants("north", "south", 6)[:1], true, [2]float64{1, 2}},
		{"different order", tenants("south", "north", 6), true, [2]float64{1, 2}},
		{"invalid weight", tenants("north", "south", -1), true, [2]float64{1, 2}},
		{"valid", tenants("north", "south", 6), false, [2]float64{5, 6}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := dispatcher.SetTenantLimits(c.tenants); (err != nil) != c.wantError {
				t.Errorf("got error %v, want an error: %v", err, c.wantError)
			}
			statuses := dispatcher.TenantStatuses()
			if got := [2]float64{statuses[0].Weight, statuses[1].Weight}; got != c.wantWeights {
				t.Errorf("got weights %v, want %v", got, c.wantWeights)
			}
		})
	}
}
