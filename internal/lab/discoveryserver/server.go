// Package discoveryserver is a stand-in for the service that knows which engines run: it tells dispatchers the list,
// and changes some time after they happened.
package discoveryserver

import (
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/eventlog"
)

// Server is one such service.
type Server struct {
	pb.UnimplementedFleetServer
	late time.Duration
	book *eventlog.Log
	disp int // the dispatcher that it tells

	mu      sync.Mutex
	addr    string
	srv     *grpc.Server
	version uint64
	hosts   map[uint32]*pb.Host
	order   []uint32
	watch   map[chan *pb.FleetNews]bool
}

// New makes a lister for one dispatcher that tells changes so late. Entries go to the book, which may be nil.
func New(late time.Duration, disp int, b *eventlog.Log) *Server {
	return &Server{late: late, book: b, disp: disp, hosts: map[uint32]*pb.Host{}, watch: map[chan *pb.FleetNews]bool{}}
}

// Start serves on an address; port 0 takes any, and the same one again later.
func (s *Server) Start(addr string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.addr != "" {
		addr = s.addr
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("lister: %w", err)
	}
	s.addr = ln.Addr().String()
	s.srv = grpc.NewServer()
	pb.RegisterFleetServer(s.srv, s)
	go s.srv.Serve(ln)
	return nil
}

// Stop ends the service; the list is kept.
func (s *Server) Stop() {
	s.mu.Lock()
	srv := s.srv
	s.srv = nil
	s.mu.Unlock()
	if srv != nil {
		srv.Stop()
	}
}

// Addr is where it serves.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Set makes a change known, at once or as late as the lister is.
func (s *Server) Set(h *pb.Host, atOnce bool) {
	h = proto.Clone(h).(*pb.Host)
	if atOnce || s.late == 0 {
		s.apply(h)
		return
	}
	time.AfterFunc(s.late, func() { s.apply(h) })
}

func (s *Server) apply(h *pb.Host) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hosts[h.Id] == nil {
		s.order = append(s.order, h.Id)
	}
	s.hosts[h.Id] = h
	s.version++
	news := &pb.FleetNews{Version: s.version, Hosts: []*pb.Host{h}}
	for ch := range s.watch {
		select {
		case ch <- news:
		default: // it lags: it has to begin anew
			delete(s.watch, ch)
			close(ch)
		}
	}
}

// Watch implements the Fleet service.
func (s *Server) Watch(_ *pb.WatchRequest, out grpc.ServerStreamingServer[pb.FleetNews]) error {
	ch := make(chan *pb.FleetNews, 64)
	s.mu.Lock()
	first := &pb.FleetNews{Version: s.version, Full: true}
	for _, id := range s.order {
		first.Hosts = append(first.Hosts, s.hosts[id])
	}
	s.watch[ch] = true
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.watch, ch)
		s.mu.Unlock()
	}()
	for news := first; ; {
		if err := out.Send(news); err != nil {
			return err
		}
		for _, h := range news.Hosts {
			s.book.Add(eventlog.Entry{Kind: eventlog.EndpointNotified, Server: int(h.Id), Dispatcher: s.disp, Note: h.Health.String(), Value: h.StartedUnixNs})
		}
		var ok bool
		select {
		case news, ok = <-ch:
			if !ok {
				return fmt.Errorf("watcher lags")
			}
		case <-out.Context().Done():
			return out.Context().Err()
		}
	}
}
