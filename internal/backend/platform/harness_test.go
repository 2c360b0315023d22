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

// newLoop returns an event loop that the test closes at its end.
func newLoop(tb testing.TB) *eventloop.Loop {
	tb.Helper()
	l, err := eventloop.New()
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(l.Close)
	return l
}

// newBackend returns a backend of a dispatcher without clients, with zone "z" and servers of the kind "decode".
func newBackend(tb testing.TB, l *eventloop.Loop, module dispatch.Module, config platformconfig.Config) *Backend {
	tb.Helper()
	log := slog.New(slog.DiscardHandler)
	classes := []policy.Class{{LatencyTarget: 1e9, Timeout: 9e9}}
	d := dispatch.NewDirect(l, log, &dispatch.Config{
		Module: module, ClassNames: []string{"a"}, Classes: classes,
		Intake: intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000}, Incarnation: 1,
	})
	config.Zones, config.Kinds, config.Roles = []string{"z"}, []string{"decode"}, []policy.Role{policy.Decode}
	config.ReleaseTime = 1e9
	b := New(l, d, log, &config, 10, netip.AddrPort{})
	d.Attach(noClients{}, b)
	return b
}

// readyServer returns the entry of a server that takes requests.
func readyServer(id, addr string) Endpoint {
	return Endpoint{ID: id, Addr: addr, Zone: "z", Kind: "decode", State: "Ready"}
}

// scriptedModule returns the decisions that a test gives it.
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

func (m *scriptedModule) NextDecision(policy.Nanos) (policy.Decision, bool) {
	if len(m.decisions) == 0 {
		return policy.Decision{}, false
	}
	next := m.decisions[0]
	m.decisions = m.decisions[1:]
	return next, true
}

// noClients is a frontend without clients.
type noClients struct{}

func (noClients) Listen(at netip.AddrPort, _ bool) (netip.AddrPort, error) { return at, nil }
func (noClients) Flush()                                                   {}
func (noClients) ConnCount() int                                           { return 0 }
func (noClients) IsIdle() bool                                             { return true }
func (noClients) Drain()                                                   {}

// slowClient is a client whose connection takes nothing: what is relayed to it waits.
type slowClient struct{ completed int }

func (*slowClient) WriteTokens(policy.RequestID, []byte) bool        { return true }
func (c *slowClient) Complete(policy.RequestID)                      { c.completed++ }
func (*slowClient) Fail(policy.RequestID, string)                    {}
func (*slowClient) Reject(policy.RequestID, frontend.RejectionError) {}
