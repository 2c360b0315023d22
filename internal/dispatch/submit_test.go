package dispatch

import (
	"errors"
	"log/slog"
	"testing"

	"docksail/internal/decide/intake"
	"docksail/internal/decide/memory"
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

// TestRequestsShareOneBudget guards against requests in flight whose bytes nothing limits: those that do not fit are
// rejected, and their room is free again when an earlier one has ended.
func TestRequestsShareOneBudget(t *testing.T) {
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Close()
	const (
		limit        = 1 << 20 // bytes
		messageBytes = 100 << 10
	)
	budget := memory.NewForHeap(limit)
	dispatcher := NewDirect(loop, slog.New(slog.DiscardHandler), &Config{
		Module: &scriptedModule{}, ClassNames: []string{"a"}, Classes: []policy.Class{{LatencyTarget: 1e9, Timeout: 5e9}},
		Intake: intake.Limits{MaxRequests: 100, MaxPromptTokens: 1000, EndpointListKnown: true},
		Memory: budget, Incarnation: 1,
	})
	submit := func(bytes int) (policy.RequestID, error) {
		request := frontend.Request{Class: []byte("a"), Raw: make([]byte, bytes), PromptTokens: 10}
		return dispatcher.Submit(loop.Now(), &answerCounts{}, &request)
	}
	var accepted []policy.RequestID
	for {
		id, err := submit(messageBytes)
		if _, rejected := errors.AsType[frontend.RejectionError](err); rejected {
			break
		}
		if err != nil || len(accepted)*messageBytes > limit {
			t.Fatalf("request %d of %d bytes: %v, want it rejected", len(accepted), messageBytes, err)
		}
		accepted = append(accepted, id)
	}
	if _, err := submit(1); err != nil {
		t.Errorf("a small request: %v, want it accepted", err)
	}
	dispatcher.ClientDisconnected(loop.Now(), accepted[0])
	if _, err := submit(messageBytes); err != nil {
		t.Errorf("after the end of a request: %v, want another accepted", err)
	}
	if held := budget.Status().HeldBytes; held > limit {
		t.Errorf("%d bytes held, limit %d", held, limit)
	}
}

// TestRejectedClientsComeBackWhenThereMayBeRoom checks that clients that find the dispatcher full are told to come back
// when the module expects room, whatever the latency target of their class is.
func TestRejectedClientsComeBackWhenThereMayBeRoom(t *testing.T) {
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Close()
	const wantRetryAfter = int64(700e6)
	full := intake.Limits{MaxRequests: 0, MaxPromptTokens: 1000, EndpointListKnown: true}
	listUnknown := intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000}
	for name, limits := range map[string]intake.Limits{"full": full, "no list": listUnknown} {
		dispatcher := NewDirect(loop, slog.New(slog.DiscardHandler), &Config{
			Module:     &scriptedModule{estimate: policy.Estimate{RetryAfter: policy.Nanos(wantRetryAfter)}},
			ClassNames: []string{"quick", "slow"},
			Classes:    []policy.Class{{LatencyTarget: 2e8, Timeout: 5e9}, {LatencyTarget: 4e9, Timeout: 5e9}},
			Intake:     limits, MaxRetryAfter: 10e9, Incarnation: 1,
		})
		for _, class := range []string{"quick", "slow"} {
			request := frontend.Request{Class: []byte(class), PromptTokens: 10}
			_, err := dispatcher.Submit(loop.Now(), &answerCounts{}, &request)
			rejection, rejected := errors.AsType[frontend.RejectionError](err)
			if !rejected || rejection.RetryAfter != wantRetryAfter {
				t.Errorf("%s, class %s: %v, retry after %d ms, want 700", name, class, err, rejection.RetryAfter/1e6)
			}
		}
	}
}

// TestTooLittleTimeIsRejectedAtIntake checks that a request whose client waits less long than the work usually takes is
// rejected at once.
func TestTooLittleTimeIsRejectedAtIntake(t *testing.T) {
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Close()
	dispatcher := NewDirect(loop, slog.New(slog.DiscardHandler), &Config{
		Module:     &scriptedModule{estimate: policy.Estimate{Work: 300e6}},
		ClassNames: []string{"a"}, Classes: []policy.Class{{LatencyTarget: 1e9, Timeout: 5e9}},
		Intake: intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000, EndpointListKnown: true}, Incarnation: 1,
	})
	for _, c := range []struct {
		timeLeft int64
		accepted bool
	}{{299e6, false}, {300e6, true}} {
		request := frontend.Request{Class: []byte("a"), PromptTokens: 10, FirstTokenTimeout: c.timeLeft}
		if _, err := dispatcher.Submit(loop.Now(), &answerCounts{}, &request); (err == nil) != c.accepted {
			t.Errorf("with %d ms left for work of 300 ms: %v, want it accepted: %v", c.timeLeft/1e6, err, c.accepted)
		}
	}
}
