package platform

import (
	"net"
	"testing"

	"docksail/internal/dispatch"
	"docksail/internal/platformconfig"
)

// TestReleaseSkipsServerThatCannotBeDialed: a release goes to the next server at once, not in the next round.
func TestReleaseSkipsServerThatCannotBeDialed(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	b := newBackend(t, newLoop(t), &scriptedModule{}, platformconfig.Config{})
	b.SetInitialList(0, EndpointList{Full: true, Endpoints: []Endpoint{
		readyServer("w1", "[fe80::1]:1"), // Dial fails: the address has no zone, or its family is not supported
		readyServer("w2", listener.Addr().String()),
	}})
	req := &dispatch.Request{Message: dispatch.Message{ClientRequestID: []byte("0000000000000001")}}
	req.ID = 7
	b.Release(0, req, 0, 0, 0)
	tracker := b.releaseTrackers[req.ID]
	tracker.run(0)
	if len(tracker.pending) != 1 || tracker.pending[0].server.name != "w2" || tracker.round != 1 {
		t.Errorf("%d releases pending after %d rounds, want one at w2 after one", len(tracker.pending), tracker.round)
	}
}
