package platform

import (
	"docksail/internal/decide/intake"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/platformconfig"
	"docksail/policy"
	"fmt"
	"log/slog"
	"net/netip"
	"testing"
)

// largeExit is the way to a fleet of so many servers.
func largeExit(tb testing.TB, servers int) (*Backend, []Endpoint) {
	tb.Helper()
	l, err := eventloop.New()
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(l.Close)
	log := slog.New(slog.DiscardHandler)
	d := dispatch.NewDirect(l, log, &dispatch.Config{
		Module: &scriptedModule{}, ClassNames: []string{"a"}, Classes: []policy.Class{{LatencyTarget: 1e9, Timeout: 9e9}},
		Intake: intake.Limits{MaxRequests: 10, MaxPromptTokens: 1000}, Incarnation: 1,
	})
	x := New(l, d, log, &platformconfig.Config{Zones: []string{"z"}, Kinds: []string{"decode"}, Roles: []policy.Role{policy.Decode}, ReleaseTime: 1e9},
		10, netip.AddrPort{})
	d.Attach(noClients{}, x)
	list := make([]Endpoint, servers)
	for i := range list {
		list[i] = Endpoint{ID: fmt.Sprintf("s%d", i), Addr: "127.0.0.1:80", Zone: "z", Kind: "decode", State: "Ready"}
	}
	x.ApplyList(0, EndpointList{Full: true, Endpoints: list})
	return x, list
}

// A change costs what it names, not what the fleet is: the allocations are the same before a large one.
func TestChangeCostsWhatItNames(t *testing.T) {
	cost := func(servers int) float64 {
		x, list := largeExit(t, servers)
		n := 0
		return testing.AllocsPerRun(100, func() {
			entry := list[n%len(list)]
			if n++; n%2 == 0 {
				entry.State = "Terminating"
			}
			x.ApplyList(0, EndpointList{Endpoints: []Endpoint{entry}})
		})
	}
	if small, large := cost(20), cost(2000); large > small {
		t.Errorf("%v allocations for a change before 2,000 servers, %v before 20", large, small)
	}
}

// BenchmarkChange is what one changed server costs, by the size of the fleet.
func BenchmarkChange(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			x, list := largeExit(b, servers)
			entry := list[:1]
			for b.Loop() {
				x.ApplyList(0, EndpointList{Endpoints: entry})
			}
		})
	}
}
