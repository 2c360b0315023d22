package platform

import (
	"log/slog"
	"net/netip"
	"testing"

	"docksail/internal/decide/intake"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/internal/platformconfig"
	"docksail/policy"
)

// newLoop returns an event loop that is closed at the end of the test.
func newLoop(tb testing.TB) *eventloop.Loop {
	tb.Helper()
	loop, err := eventloop.New()
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(loop.Close)
	return loop
}

// newBackend returns a backend for servers of kind "decode" in zone "z", attached to a dispatcher without clients.
func newBackend(tb testing.TB, loop *eventloop.Loop, module dispatch.Module, config platformconfig.Config) *Backend {
	tb.Helper()
	log := slog.New(slog.DiscardHandler)
	classes := []policy.Class{{LatencyTarget: 1e9, Timeout: 9e9}}
	dispatcher := dispatch.NewDirect(loop, log, &dispatch.Config{
		Module: module, ClassNames: []string{"a"}, Classes: classes,
		Intake: intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000}, Incarnation: 1,
	})
	config.Zones, config.Kinds, config.Roles = []string{"z"}, []string{"decode"}, []policy.Role{policy.Decode}
	config.ReleaseTime = 1e9
	backend := New(loop, dispatcher, log, &config, nil, 10, netip.AddrPort{})
	dispatcher.Attach(idleFrontend{}, backend)
	return backend
}

// readyServer returns the endpoint list entry of a server that accepts requests.
func readyServer(id, addr string) Endpoint {
	return Endpoint{ID: id, Addr: addr, Zone: "z", Kind: "decode", State: "Ready"}
}

// scriptedModule is a dispatch.Module that returns only the decisions that a test has set.
type scriptedModule struct{ decisions []policy.Decision }

func (*scriptedModule) ListUpdateStarted(bool) {}

func (*scriptedModule) ServerListed(
	policy.ServerID, policy.ZoneID, policy.KindID, policy.CellID, policy.Health, policy.Nanos,
) {
}

func (*scriptedModule) ListUpdateEnded(policy.Nanos)                {}
func (*scriptedModule) ListUpdateFailed(policy.Nanos)               {}
func (*scriptedModule) RequestArrived(policy.Nanos, policy.Request) {}

func (*scriptedModule) StreamStarted(policy.Nanos, policy.RequestID, policy.AttemptNumber, policy.Nanos) {
}

func (*scriptedModule) RequestCanceled(policy.Nanos, policy.RequestID)              {}
func (*scriptedModule) StateHeldSince(policy.Nanos, policy.RequestID, policy.Nanos) {}
func (*scriptedModule) TimerFired(policy.Nanos)                                     {}

func (*scriptedModule) AttemptEnded(
	policy.Nanos, policy.RequestID, policy.AttemptNumber, policy.Outcome, policy.Nanos, bool, policy.LoadReport,
) {
}

func (m *scriptedModule) Estimate(policy.Nanos, policy.Request) policy.Estimate {
	return policy.Estimate{}
}

func (m *scriptedModule) NextDecision(policy.Nanos) (policy.Decision, bool) {
	if len(m.decisions) == 0 {
		return policy.Decision{}, false
	}
	next := m.decisions[0]
	m.decisions = m.decisions[1:]
	return next, true
}

// idleFrontend is a frontend without clients.
type idleFrontend struct{}

func (idleFrontend) Listen(addr netip.AddrPort, _ bool) (netip.AddrPort, error) { return addr, nil }
func (idleFrontend) Flush()                                                     {}
func (idleFrontend) ConnCount() int                                             { return 0 }
func (idleFrontend) IsIdle() bool                                               { return true }
func (idleFrontend) Drain()                                                     {}

// slowClient is the frontend.ResponseWriter of a client that reads nothing, so that reading from the server is paused.
type slowClient struct{ completed int }

func (*slowClient) WriteTokens(policy.RequestID, []byte) bool        { return true }
func (c *slowClient) Complete(policy.RequestID)                      { c.completed++ }
func (*slowClient) Fail(policy.RequestID, string)                    {}
func (*slowClient) Reject(policy.RequestID, frontend.RejectionError) {}
