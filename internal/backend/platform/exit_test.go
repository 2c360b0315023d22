package platform

import (
	"bufio"
	"docksail/internal/decide/intake"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/internal/platformconfig"
	"docksail/policy"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// scriptedModule decides what the test gives it to decide.
type scriptedModule struct{ decisions []policy.Decision }

func (*scriptedModule) ListUpdateStarted(bool) {}
func (*scriptedModule) ServerListed(policy.ServerID, policy.ZoneID, policy.KindID, policy.CellID, policy.Health, policy.Nanos) {
}
func (*scriptedModule) ListUpdateEnded(policy.Nanos)                {}
func (*scriptedModule) ListUpdateFailed(policy.Nanos)               {}
func (*scriptedModule) RequestArrived(policy.Nanos, policy.Request) {}
func (*scriptedModule) StreamStarted(policy.Nanos, policy.RequestID, policy.AttemptNumber, policy.Nanos) {
}
func (*scriptedModule) RequestCanceled(policy.Nanos, policy.RequestID)              {}
func (*scriptedModule) StateHeldSince(policy.Nanos, policy.RequestID, policy.Nanos) {}
func (*scriptedModule) TimerFired(policy.Nanos)                                     {}
func (*scriptedModule) AttemptEnded(policy.Nanos, policy.RequestID, policy.AttemptNumber, policy.Outcome, policy.Nanos, bool, policy.LoadReport) {
}

func (m *scriptedModule) NextDecision(policy.Nanos) (policy.Decision, bool) {
	if len(m.decisions) == 0 {
		return policy.Decision{}, false
	}
	next := m.decisions[0]
	m.decisions = m.decisions[1:]
	return next, true
}

// noClients is an entry by which nobody comes.
type noClients struct{}

func (noClients) Listen(at netip.AddrPort, _ bool) (netip.AddrPort, error) { return at, nil }
func (noClients) Flush()                                                   {}
func (noClients) ConnCount() int                                           { return 0 }
func (noClients) IsIdle() bool                                             { return true }
func (noClients) Drain()                                                   {}

// slowCall is a client that has never room: whatever is relayed to it waits.
type slowCall struct{ served int }

func (*slowCall) WriteTokens(policy.RequestID, []byte) bool        { return true }
func (c *slowCall) Complete(policy.RequestID)                      { c.served++ }
func (*slowCall) Fail(policy.RequestID, string)                    {}
func (*slowCall) Reject(policy.RequestID, frontend.RejectionError) {}

// A connection that was held back for a slow client as its answer ended is read again when it carries the next request.
func TestHeldBackConnectionIsReadAgain(t *testing.T) {
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	host, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer host.Close()
	mod, call := &scriptedModule{}, &slowCall{}
	log := slog.New(slog.DiscardHandler)
	d := dispatch.NewDirect(l, log, &dispatch.Config{
		Module: mod, ClassNames: []string{"a"}, Classes: []policy.Class{{LatencyTarget: 1e9, Timeout: 9e9}},
		Intake: intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000}, Incarnation: 1,
	})
	x := New(l, d, log, &platformconfig.Config{
		Zones: []string{"z"}, Kinds: []string{"decode"}, Roles: []policy.Role{policy.Decode},
		IdleTimeout: 15e9, ReleaseTime: 1e9, ConnectTimeout: 250e6,
	}, 10, netip.AddrPort{})
	d.Attach(noClients{}, x)
	x.SetInitialList(0, EndpointList{Full: true, Endpoints: []Endpoint{{ID: "w1", Addr: host.Addr().String(), Zone: "z", Kind: "decode", State: "Ready"}}})
	done := make(chan error)
	go func() { done <- l.Run(d.RunIteration) }()
	defer func() { l.Stop(); <-done; l.Close() }()
	on := func(f func()) {
		got := make(chan struct{})
		l.Post(func() { f(); close(got) })
		<-got
	}
	ask := func() {
		on(func() {
			id, err := d.Submit(l.Now(), call, &frontend.Request{Class: []byte("a"), ClientID: []byte("n"), Path: []byte("/"), Raw: []byte("x"), PromptTokens: 1})
			if err != nil {
				t.Error(err)
			}
			mod.decisions = append(mod.decisions, policy.Decision{Action: policy.SendAttempt, Request: id, Server: x.byName["w1"].id, Duration: 9e9})
		})
	}
	until := func(what string, is func() bool) {
		t.Helper()
		for end := time.Now().Add(5 * time.Second); ; {
			var ok bool
			if on(func() { ok = is() }); ok {
				return
			}
			if time.Now().After(end) {
				t.Fatalf("%s: not within 5 s", what)
			}
		}
	}
	const answer = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n8\r\ndata: x\n\r\n9\r\ndata: y\n\n\r\n0\r\n\r\n"

	ask()
	c, err := host.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	in := bufio.NewReader(c)
	for n := range 2 {
		r, err := http.ReadRequest(in)
		if err != nil {
			t.Fatal(err)
		}
		io.Copy(io.Discard, r.Body)
		io.WriteString(c, answer) // its end comes in the same bytes as what waits for the client
		until("the answer is relayed", func() bool { return call.served == n+1 })
		if n == 0 {
			until("the connection may be used again", func() bool { return x.byName["w1"].takeReusableConn(l.Now()) != nil })
			ask()
		}
	}
}
