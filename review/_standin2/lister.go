package main

import (
	"net"
	"sync"

	"google.golang.org/grpc"

	pb "docksail/api/docksail/v1"
)

// lister is a stand-in for discovery (docksail.v1.Fleet): it sends the whole list, then each change at once.
type lister struct {
	pb.UnimplementedFleetServer
	record   *record
	addr     string
	server   *grpc.Server
	mu       sync.Mutex
	version  uint64
	hosts    []*pb.Host
	watchers map[chan *pb.FleetNews]bool
}

func startLister(r *record, hosts ...*pb.Host) (*lister, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &lister{
		record: r, addr: listener.Addr().String(), server: grpc.NewServer(), version: 1, hosts: hosts,
		watchers: map[chan *pb.FleetNews]bool{},
	}
	pb.RegisterFleetServer(l.server, l)
	go func() { _ = l.server.Serve(listener) }()
	return l, nil
}

// change adds or replaces an entry and tells all watchers.
func (l *lister) change(host *pb.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version++
	found := false
	for i, h := range l.hosts {
		if h.Id == host.Id {
			l.hosts[i], found = host, true
		}
	}
	if !found {
		l.hosts = append(l.hosts, host)
	}
	l.record.addf("discovery has version %d: host %d at %s is %s", l.version, host.Id, host.Address, host.Health)
	for w := range l.watchers {
		w <- &pb.FleetNews{Version: l.version, Hosts: []*pb.Host{host}}
	}
}

// Watch implements pb.FleetServer.
func (l *lister) Watch(_ *pb.WatchRequest, stream grpc.ServerStreamingServer[pb.FleetNews]) error {
	news := make(chan *pb.FleetNews, 1000)
	l.mu.Lock()
	whole := &pb.FleetNews{Version: l.version, Full: true, Hosts: append([]*pb.Host(nil), l.hosts...)}
	l.watchers[news] = true
	l.record.addf("discovery is watched, from version %d on", l.version)
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.watchers, news)
		l.mu.Unlock()
	}()
	if err := stream.Send(whole); err != nil {
		return err
	}
	for {
		select {
		case n := <-news:
			if err := stream.Send(n); err != nil {
				return err
			}
		case <-stream.Context().Done():
			return nil
		}
	}
}
