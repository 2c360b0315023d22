package dispatch

import (
	"log/slog"
	"net/netip"
	"testing"

	"docksail/internal/decide/inflight"
	"docksail/internal/decide/intake"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// scriptedModule is a Module that returns only the decisions that a test has set. It records the requests and outcomes
// reported to it.
type scriptedModule struct {
	estimate policy.Estimate // of every request
	Module
	decisions []policy.Decision
	arrived   []policy.Request
	outcomes  []policy.Outcome
	canceled  int // calls to RequestCanceled
}

func (m *scriptedModule) RequestArrived(_ policy.Nanos, request policy.Request) {
	m.arrived = append(m.arrived, request)
}

func (m *scriptedModule) TimerFired(policy.Nanos) {}

func (m *scriptedModule) AttemptEnded(_ policy.Nanos, _ policy.RequestID, _ policy.AttemptNumber,
	outcome policy.Outcome, _ policy.Nanos, _ bool, _ policy.LoadReport,
) {
	m.outcomes = append(m.outcomes, outcome)
}

func (m *scriptedModule) RequestCanceled(policy.Nanos, policy.RequestID) { m.canceled++ }

func (m *scriptedModule) StateHeldSince(policy.Nanos, policy.RequestID, policy.Nanos) {}

func (m *scriptedModule) Estimate(policy.Nanos, policy.Request) policy.Estimate {
	return m.estimate
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

// silentBackend is a Backend whose servers never respond. It is also the Attempt that StartAttempt returns, and counts
// the calls to Finish.
type silentBackend struct {
	finished int
	unsent   bool                   // delivery is the state of attempts, in place of inflight.Acknowledged
	delivery inflight.DeliveryState // of attempts, if unsent is set
}

func (*silentBackend) Start(eventloop.Nanos)          {}
func (*silentBackend) WatchEndpoints(eventloop.Nanos) {}
func (*silentBackend) Flush()                         {}
func (*silentBackend) IsIdle() bool                   { return true }
func (*silentBackend) Close()                         {}

func (*silentBackend) IsPrefill(policy.ServerID) (isPrefill, known bool) { return false, true }
func (*silentBackend) ServerName(policy.ServerID) string                 { return "s" }

func (b *silentBackend) StartAttempt(eventloop.Nanos, *Request, policy.AttemptNumber) Attempt {
	return b
}

func (*silentBackend) Release(eventloop.Nanos, *Request, policy.ServerID, policy.AttemptNumber, eventloop.Nanos) {
}

func (b *silentBackend) Finish(eventloop.Nanos) bool {
	b.finished++
	return true
}
func (*silentBackend) AfterFinish(eventloop.Nanos) {}
func (*silentBackend) CreditWindow(int)            {}
func (*silentBackend) ServerResponsive() bool      { return true }

func (b *silentBackend) DeliveryState() inflight.DeliveryState {
	if b.unsent {
		return b.delivery
	}
	return inflight.Acknowledged
}

// newTestDispatcher returns a dispatcher of one class, "a", without clients.
func newTestDispatcher(loop *eventloop.Loop, module Module, backend Backend, class policy.Class) *Dispatcher {
	dispatcher := NewDirect(loop, slog.New(slog.DiscardHandler), &Config{
		Module: module, ClassNames: []string{"a"}, Classes: []policy.Class{class},
		Intake: intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000, EndpointListKnown: true}, Incarnation: 1,
	})
	dispatcher.Attach(idleFrontend{}, backend)
	return dispatcher
}

// newTestLoop returns an event loop that is closed at the end of the test.
func newTestLoop(t *testing.T) *eventloop.Loop {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(loop.Close)
	return loop
}

// answerCounts is a frontend.ResponseWriter that counts rejections and failures.
type answerCounts struct{ rejected, failed int }

func (*answerCounts) WriteTokens(policy.RequestID, []byte) bool          { return false }
func (*answerCounts) Complete(policy.RequestID)                          {}
func (a *answerCounts) Fail(policy.RequestID, string)                    { a.failed++ }
func (a *answerCounts) Reject(policy.RequestID, frontend.RejectionError) { a.rejected++ }
