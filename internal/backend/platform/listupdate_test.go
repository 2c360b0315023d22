package platform

import (
	"fmt"
	"testing"

	"docksail/internal/platformconfig"
)

// newLargeBackend returns a backend with the given number of servers, and their endpoint list entries.
func newLargeBackend(tb testing.TB, servers int) (*Backend, []Endpoint) {
	tb.Helper()
	backend := newBackend(tb, newLoop(tb), &scriptedModule{}, platformconfig.Config{})
	endpoints := make([]Endpoint, servers)
	for i := range endpoints {
		endpoints[i] = readyServer(fmt.Sprintf("s%d", i), "127.0.0.1:80")
	}
	backend.ApplyList(0, EndpointList{Full: true, Endpoints: endpoints})
	return backend, endpoints
}

// TestListChangeAllocationsDoNotGrow checks that the allocations for a change of the endpoint list do not grow with
// the number of servers that the change does not name.
func TestListChangeAllocationsDoNotGrow(t *testing.T) {
	allocations := func(servers int) float64 {
		backend, endpoints := newLargeBackend(t, servers)
		changes := 0
		return testing.AllocsPerRun(100, func() {
			endpoint := endpoints[changes%len(endpoints)]
			if changes++; changes%2 == 0 {
				endpoint.State = "Terminating"
			}
			backend.ApplyList(0, EndpointList{Endpoints: []Endpoint{endpoint}})
		})
	}
	if small, large := allocations(20), allocations(2000); large > small {
		t.Errorf("got %v allocations for a change with 2,000 servers, want at most %v as with 20", large, small)
	}
}

// BenchmarkListChange measures a change of one server, by the number of servers in the list.
func BenchmarkListChange(b *testing.B) {
	for _, servers := range []int{200, 3200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			backend, endpoints := newLargeBackend(b, servers)
			for b.Loop() {
				backend.ApplyList(0, EndpointList{Endpoints: endpoints[:1]})
			}
		})
	}
}
