package platform

import (
	"net"
	"testing"

	"docksail/internal/dispatch"
	"docksail/internal/platformconfig"
)

// TestReleaseSkipsServerThatCannotBeDialed checks that a release goes to another server in the same round if one
// cannot be dialed.
func TestReleaseSkipsServerThatCannotBeDialed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	backend := newBackend(t, newLoop(t), &scriptedModule{}, platformconfig.Config{})
	backend.SetInitialList(0, EndpointList{Full: true, Endpoints: []Endpoint{
		readyServer("w1", "[fe80::1]:1"), // Dial fails: the link-local address has no zone, or IPv6 is not supported
		readyServer("w2", listener.Addr().String()),
	}})
	req := &dispatch.Request{Message: dispatch.Message{ClientRequestID: []byte("0000000000000001")}}
	req.ID = 7
	backend.Release(0, req, 0, 0, 0)
	tracker := backend.releaseTrackers[req.ID]
	tracker.run(0)
	if len(tracker.pending) != 1 || tracker.pending[0].server.name != "w2" || tracker.round != 1 {
		t.Errorf("got %d releases pending after %d rounds, want one at w2 after one", len(tracker.pending), tracker.round)
	}
}
