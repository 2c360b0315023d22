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

// newQueuedDispatcher returns a dispatcher with an admission queue of two tenants.
func newQueuedDispatcher(t *testing.T, loop *eventloop.Loop, module Module) *Dispatcher {
	t.Helper()
	d, err := NewQueued(loop, slog.New(slog.DiscardHandler), &Config{
		Module: module, ClassNames: []string{"a"}, Classes: []policy.Class{{LatencyTarget: 1e9, Timeout: 5e9}},
		TenantNames: []string{"north", "south"},
		Intake:      intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000, ListKnown: true}, Incarnation: 1,
	}, &QueueConfig{
		MaxWaiting: 10, MaxClients: 10, Secrets: bytes.NewReader(make([]byte, 64)),
		Tenants: []Tenant{
			{Name: "north", Limits: admission.TenantLimits{Weight: 1}},
			{Name: "south", Limits: admission.TenantLimits{Weight: 2}},
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	d.Attach(idleFrontend{}, &silentBackend{})
	return d
}

func submit(t *testing.T, d *Dispatcher, answers *answerCounts, tenant string) policy.RequestID {
	t.Helper()
	id, err := d.Submit(d.loop.Now(), answers, &frontend.Request{
		Class: []byte("a"), Tenant: []byte(tenant), Prefix: []byte("p"), PromptTokens: 10, MaxTokens: 10,
	})
	if err != nil {
		t.Fatal(err)
	}
	return id
}

// A request reaches the module when the queue admits it, which is in an iteration of the loop. A client that leaves
// before that is the queue's matter only.
func TestQueuedRequestReachesModuleWhenAdmitted(t *testing.T) {
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	module, answers := &scriptedModule{}, &answerCounts{}
	d := newQueuedDispatcher(t, l, module)

	gone := submit(t, d, answers, "north")
	d.ClientDisconnected(l.Now(), gone)
	admitted := submit(t, d, answers, "south")
	if len(module.arrived) != 0 {
		t.Fatalf("%d requests reached the module before an iteration, want 0", len(module.arrived))
	}
	d.RunIteration(l.Now())
	if len(module.arrived) != 1 || module.arrived[0].ID != admitted || module.arrived[0].Tenant != 1 {
		t.Fatalf("the module got %+v, want request %d of tenant 1", module.arrived, admitted)
	}
	if module.canceled != 0 || d.InFlight() != 1 {
		t.Errorf("%d requests canceled, %d in flight, want 0, 1", module.canceled, d.InFlight())
	}

	module.decisions = []policy.Decision{{Action: policy.RejectRequest, Request: admitted, Duration: 1e9}}
	d.RunIteration(l.Now())
	if answers.rejected != 1 || d.InFlight() != 0 {
		t.Errorf("%d requests rejected, %d in flight, want 1, 0", answers.rejected, d.InFlight())
	}
}

// With an admission queue, prefixes of one name are different for different tenants.
func TestQueuedPrefixesBelongToTenants(t *testing.T) {
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	module, answers := &scriptedModule{}, &answerCounts{}
	d := newQueuedDispatcher(t, l, module)
	first := submit(t, d, answers, "north")
	d.RunIteration(l.Now())
	module.decisions = []policy.Decision{{Action: policy.RejectRequest, Request: first}} // makes room for the next
	submit(t, d, answers, "south")
	d.RunIteration(l.Now())
	if len(module.arrived) != 2 || module.arrived[0].Prefix == module.arrived[1].Prefix {
		t.Errorf("the module got %+v, want two requests with different prefixes", module.arrived)
	}
	_, err = d.Submit(l.Now(), answers, &frontend.Request{Class: []byte("a"), PromptTokens: 10})
	if !errors.Is(err, frontend.ErrInvalidRequest) {
		t.Errorf("a request without a tenant: %v, want %v", err, frontend.ErrInvalidRequest)
	}
}

// Limits of tenants change all or none, and only for the tenants of the start.
func TestSetTenantLimits(t *testing.T) {
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	d := newQueuedDispatcher(t, l, &scriptedModule{})
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
		{"one tenant left out", tenants("north", "south", 6)[:1], true, [2]float64{1, 2}},
		{"other order", tenants("south", "north", 6), true, [2]float64{1, 2}},
		{"invalid weight", tenants("north", "south", -1), true, [2]float64{1, 2}},
		{"valid", tenants("north", "south", 6), false, [2]float64{5, 6}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if err := d.SetTenantLimits(c.tenants); (err != nil) != c.wantError {
				t.Errorf("error %v, want one: %v", err, c.wantError)
			}
			statuses := d.TenantStatuses()
			if got := [2]float64{statuses[0].Weight, statuses[1].Weight}; got != c.wantWeights {
				t.Errorf("weights %v, want %v", got, c.wantWeights)
			}
		})
	}
}
