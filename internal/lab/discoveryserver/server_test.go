package discoveryserver

import (
	"context"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/eventlog"
)

// watch starts a watch of the server's endpoint list.
func watch(t *testing.T, s *Server) grpc.ServerStreamingClient[pb.FleetNews] {
	t.Helper()
	conn, err := grpc.NewClient(s.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	stream, err := pb.NewFleetClient(conn).Watch(ctx, &pb.WatchRequest{})
	if err != nil {
		t.Fatal(err)
	}
	return stream
}

func receive(t *testing.T, stream grpc.ServerStreamingClient[pb.FleetNews]) *pb.FleetNews {
	t.Helper()
	update, err := stream.Recv()
	if err != nil {
		t.Fatal(err)
	}
	return update
}

// TestWatch checks that a watch receives the complete list and then the changes, after the delay, and that the list
// survives a restart.
func TestWatch(t *testing.T) {
	const delay = 50 * time.Millisecond
	log := &eventlog.Log{}
	s := New(delay, 3, log)
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	s.Set(&pb.Host{Id: 7}, true)
	stream := watch(t, s)
	if list := receive(t, stream); !list.Full || len(list.Hosts) != 1 || list.Hosts[0].Id != 7 {
		t.Errorf("first update %v, want the complete list with endpoint 7", list)
	}
	start := time.Now()
	s.Set(&pb.Host{Id: 8}, false)
	if change := receive(t, stream); change.Full || len(change.Hosts) != 1 || change.Hosts[0].Id != 8 {
		t.Errorf("second update %v, want the change of endpoint 8", change)
	}
	if took := time.Since(start); took < delay {
		t.Errorf("the change arrived after %v, want %v at least", took, delay)
	}
	s.Stop()
	if update, err := stream.Recv(); err == nil {
		t.Errorf("update %v after the stop, want an error", update)
	}
	if err := s.Start(""); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	if list := receive(t, watch(t, s)); !list.Full || len(list.Hosts) != 2 {
		t.Errorf("update %v after the restart, want the complete list with 2 endpoints", list)
	}
	for _, e := range log.Entries() {
		if e.Kind != eventlog.EndpointNotified || e.Dispatcher != 3 {
			t.Errorf("entry %+v, want a notification of dispatcher 3", e)
		}
	}
}

// TestSlowWatcher checks that a watcher that does not receive its updates is removed.
func TestSlowWatcher(t *testing.T) {
	s := New(0, 0, nil)
	updates := make(chan *pb.FleetNews, 1)
	s.addWatcher(updates)
	s.Set(&pb.Host{Id: 1}, true)
	s.Set(&pb.Host{Id: 2}, true)
	if len(s.watchers) != 0 {
		t.Errorf("%d watchers, want none", len(s.watchers))
	}
	<-updates
	if _, ok := <-updates; ok {
		t.Error("received an update after a dropped one, want the channel closed")
	}
}
