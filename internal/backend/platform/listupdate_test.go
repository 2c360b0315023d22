package platform

import (
	"fmt"
	"testing"

	"docksail/internal/platformconfig"
)

// newLargeBackend returns a backend with so many servers and their entries.
func newLargeBackend(tb testing.TB, servers int) (*Backend, []Endpoint) {
	tb.Helper()
	b := newBackend(tb, newLoop(tb), &scriptedModule{}, platformconfig.Config{})
	endpoints := make([]Endpoint, servers)
	for i := range endpoints {
		endpoints[i] = readyServer(fmt.Sprintf("s%d", i), "127.0.0.1:80")
	}
	b.ApplyList(0, EndpointList{Full: true, Endpoints: endpoints})
	return b, endpoints
}

// TestChangeAllocationsDoNotGrow: a change of the list costs what it names, however many servers there are.
func TestChangeAllocationsDoNotGrow(t *testing.T) {
	allocations := func(servers int) float64 {
		b, endpoints := newLargeBackend(t, servers)
		n := 0
		return testing.AllocsPerRun(100, func() {
			endpoint := endpoints[n%len(endpoints)]
			if n++; n%2 == 0 {
				endpoint.State = "Terminating"
			}
			b.ApplyList(0, EndpointList{Endpoints: []Endpoint{endpoint}})
		})
	}
	if small, large := allocations(20), allocations(2000); large > small {
		t.Errorf("%v allocations for a change with 2,000 servers, %v with 20", large, small)
	}
}

// BenchmarkChange measures the change of one server by the number of servers.
func BenchmarkChange(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			backend, endpoints := newLargeBackend(b, servers)
			for b.Loop() {
				backend.ApplyList(0, EndpointList{Endpoints: endpoints[:1]})
			}
		})
	}
}
