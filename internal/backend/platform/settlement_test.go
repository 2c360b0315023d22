package platform

import (
	"docksail/internal/decide/intake"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/platformconfig"
	"docksail/policy"
	"log/slog"
	"net"
	"net/netip"
	"testing"
)

// A release does not wait for another round where a server cannot even be dialed: the next one is asked.
func TestReleasePassesOverServerThatCannotBeDialed(t *testing.T) {
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	sound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer sound.Close()
	log := slog.New(slog.DiscardHandler)
	d := dispatch.NewDirect(l, log, &dispatch.Config{
		Module: &scriptedModule{}, ClassNames: []string{"a"}, Classes: []policy.Class{{LatencyTarget: 1e9, Timeout: 9e9}},
		Intake: intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000}, Incarnation: 1,
	})
	x := New(l, d, log, &platformconfig.Config{Zones: []string{"z"}, Kinds: []string{"decode"}, Roles: []policy.Role{policy.Decode}, ReleaseTime: 1e9}, 10, netip.AddrPort{})
	d.Attach(noClients{}, x)
	x.SetInitialList(0, EndpointList{Full: true, Endpoints: []Endpoint{
		{ID: "w1", Addr: "[fe80::1]:1", Zone: "z", Kind: "decode", State: "Ready"}, // refused within the call: no zone, or no such family
		{ID: "w2", Addr: sound.Addr().String(), Zone: "z", Kind: "decode", State: "Ready"},
	}})
	req := &dispatch.Request{Message: dispatch.Message{ClientRequestID: []byte("0000000000000001")}}
	req.ID = 7
	x.Release(0, req, 0, 0, 0)
	s := x.releaseTrackers[req.ID]
	s.run(0)
	if len(s.pending) != 1 || s.pending[0].server.name != "w2" || s.round != 1 {
		t.Errorf("%d releases under way after %d rounds, want one by w2 after one", len(s.pending), s.round)
	}
}
