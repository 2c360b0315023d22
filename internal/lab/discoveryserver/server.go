// Package discoveryserver is a stand-in for the discovery service. Dispatchers watch its endpoint list; changes reach
// them after a configurable delay.
package discoveryserver

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/eventlog"
)

// watchBuffer is the number of unsent updates after which a watch is ended.
const watchBuffer = 64

// errUpdateDropped ends a watch whose buffer was full. The watcher must start a new watch, which begins with the
// complete list.
var errUpdateDropped = errors.New("update dropped: watcher is too slow")

// Server is the discovery server of one dispatcher.
type Server struct {
	pb.UnimplementedFleetServer
	delay      time.Duration
	log        *eventlog.Log
	dispatcher int

	mu         sync.Mutex
	addr       string
	grpcServer *grpc.Server // nil while the server is stopped
	version    uint64
	endpoints  map[uint32]*pb.Host
	order      []uint32 // IDs of the endpoints, in the order in which they were added
	watchers   map[chan *pb.FleetNews]bool
}

// New returns a server for one dispatcher that announces changes after a delay. It records the endpoints sent to the
// dispatcher in log, which may be nil.
func New(delay time.Duration, dispatcher int, log *eventlog.Log) *Server {
	return &Server{
		delay:      delay,
		log:        log,
		dispatcher: dispatcher,
		endpoints:  map[uint32]*pb.Host{},
		watchers:   map[chan *pb.FleetNews]bool{},
	}
}

// Start starts the server on the given address; port 0 selects a free port. Later starts ignore addr and use the
// address of the first one.
func (s *Server) Start(addr string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr != "" {
		addr = s.addr
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("discovery server: %w", err)
	}
	s.addr = listener.Addr().String()
	grpcServer := grpc.NewServer()
	pb.RegisterFleetServer(grpcServer, s)
	s.grpcServer = grpcServer
	go func() { _ = grpcServer.Serve(listener) }() // fails only after Stop
	return nil
}

// Stop stops the server. The endpoint list is kept for the next start.
func (s *Server) Stop() {
	s.mu.Lock()
	grpcServer := s.grpcServer
	s.grpcServer = nil
	s.mu.Unlock()
	if grpcServer != nil {
		grpcServer.Stop()
	}
}

// Addr returns the address on which the server listens, or last listened.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Set adds or changes an endpoint and announces it: immediately, or after the delay of the server.
func (s *Server) Set(endpoint *pb.Host, immediately bool) {
	endpoint = proto.Clone(endpoint).(*pb.Host)
	if immediately || s.delay == 0 {
		s.announce(endpoint)
		return
	}
	time.AfterFunc(s.delay, func() { s.announce(endpoint) })
}

// announce changes the endpoint list and sends the change to all watchers. It ends watches whose buffer is full.
func (s *Server) announce(endpoint *pb.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.endpoints[endpoint.Id] == nil {
		s.order = append(s.order, endpoint.Id)
	}
	s.endpoints[endpoint.Id] = endpoint
	s.version++
	update := &pb.FleetNews{Version: s.version, Hosts: []*pb.Host{endpoint}}
	for watcher := range s.watchers {
		select {
		case watcher <- update:
		default:
			delete(s.watchers, watcher)
			close(watcher)
		}
	}
}

// Watch implements the Fleet service: it sends the complete list, and then each change.
func (s *Server) Watch(_ *pb.WatchRequest, out grpc.ServerStreamingServer[pb.FleetNews]) error {
	updates := make(chan *pb.FleetNews, watchBuffer)
	update := s.addWatcher(updates)
	defer s.removeWatcher(updates)
	for {
		if err := out.Send(update); err != nil {
			return err
		}
		s.recordUpdate(update)
		var ok bool
		select {
		case update, ok = <-updates:
			if !ok {
				return errUpdateDropped
			}
		case <-out.Context().Done():
			return out.Context().Err()
		}
	}
}

// addWatcher registers a watcher and returns the complete list. The updates continue from this list.
func (s *Server) addWatcher(updates chan *pb.FleetNews) *pb.FleetNews {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := &pb.FleetNews{Version: s.version, Full: true}
	for _, id := range s.order {
		list.Hosts = append(list.Hosts, s.endpoints[id])
	}
	s.watchers[updates] = true
	return list
}

func (s *Server) removeWatcher(updates chan *pb.FleetNews) {
	s.mu.Lock()
	delete(s.watchers, updates)
	s.mu.Unlock()
}

// recordUpdate adds a log entry for each endpoint in an update that was sent.
func (s *Server) recordUpdate(update *pb.FleetNews) {
	for _, endpoint := range update.Hosts {
		s.log.Add(eventlog.Entry{
			Kind:       eventlog.EndpointNotified,
			Server:     int(endpoint.Id),
			Dispatcher: s.dispatcher,
			Note:       endpoint.Health.String(),
			Value:      endpoint.StartedUnixNs,
		})
	}
}
