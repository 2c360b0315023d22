// Package discoveryserver is a stand-in for the service that knows which engines run: it tells dispatchers the list, and
// changes some time after they happened.
package discoveryserver

import (
	"docksail/internal/lab/eventlog"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
)

// Lister is one such service.
type Lister struct {
	pb.UnimplementedFleetServer
	late time.Duration
	book *eventlog.Book
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
func New(late time.Duration, disp int, b *eventlog.Book) *Lister {
	return &Lister{late: late, book: b, disp: disp, hosts: map[uint32]*pb.Host{}, watch: map[chan *pb.FleetNews]bool{}}
}

// Start serves on an address; port 0 takes any, and the same one again later.
func (l *Lister) Start(addr string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.addr != "" {
		addr = l.addr
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("lister: %w", err)
	}
	l.addr = ln.Addr().String()
	l.srv = grpc.NewServer()
	pb.RegisterFleetServer(l.srv, l)
	go l.srv.Serve(ln)
	return nil
}

// Stop ends the service; the list is kept.
func (l *Lister) Stop() {
	l.mu.Lock()
	srv := l.srv
	l.srv = nil
	l.mu.Unlock()
	if srv != nil {
		srv.Stop()
	}
}

// Addr is where it serves.
func (l *Lister) Addr() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.addr
}

// Set makes a change known, at once or as late as the lister is.
func (l *Lister) Set(h *pb.Host, atOnce bool) {
	h = proto.Clone(h).(*pb.Host)
	if atOnce || l.late == 0 {
		l.apply(h)
		return
	}
	time.AfterFunc(l.late, func() { l.apply(h) })
}

func (l *Lister) apply(h *pb.Host) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.hosts[h.Id] == nil {
		l.order = append(l.order, h.Id)
	}
	l.hosts[h.Id] = h
	l.version++
	news := &pb.FleetNews{Version: l.version, Hosts: []*pb.Host{h}}
	for ch := range l.watch {
		select {
		case ch <- news:
		default: // it lags: it has to begin anew
			delete(l.watch, ch)
			close(ch)
		}
	}
}

// Watch implements the Fleet service.
func (l *Lister) Watch(_ *pb.WatchRequest, out grpc.ServerStreamingServer[pb.FleetNews]) error {
	ch := make(chan *pb.FleetNews, 64)
	l.mu.Lock()
	first := &pb.FleetNews{Version: l.version, Full: true}
	for _, id := range l.order {
		first.Hosts = append(first.Hosts, l.hosts[id])
	}
	l.watch[ch] = true
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.watch, ch)
		l.mu.Unlock()
	}()
	for news := first; ; {
		if err := out.Send(news); err != nil {
			return err
		}
		for _, h := range news.Hosts {
			l.book.Add(eventlog.Entry{Kind: eventlog.Told, Server: int(h.Id), Disp: l.disp, Note: h.Health.String(), N: h.StartedUnixNs})
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
