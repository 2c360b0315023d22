package simulation

import (
	"net/netip"

	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/internal/lab/eventlog"
)

// discoveryServer tells one dispatcher which hosts run, some time after it happened.
type discoveryServer struct {
	sim        *Simulation
	dispatcher int
	addr       netip.AddrPort
	loop       *eventloop.Loop // nil while it is away
	version    uint64
	endpoints  []*pb.Host // by number
	watchers   map[*grpcConn]*h2.Stream
}

func (d *discoveryServer) start() error {
	if d.loop != nil {
		return nil
	}
	d.loop, d.watchers = d.sim.network.NewLoop(d.addr.Addr(), nil), map[*grpcConn]*h2.Stream{}
	_, err := d.loop.Listen(d.addr, false, func(c *eventloop.Conn, _ netip.AddrPort) eventloop.Handler { return serveConn(d.loop, c, d) })
	return err
}

func (d *discoveryServer) stop() {
	if d.loop != nil {
		d.loop.Kill()
		d.loop = nil
	}
}

// set makes a change known after the lister's time, whether or not it is away meanwhile.
func (d *discoveryServer) set(h *pb.Host, late eventloop.Nanos) {
	h = proto.Clone(h).(*pb.Host)
	d.sim.scheduleAfter(late, func() {
		d.endpoints[h.Id-1] = h
		d.version++
		if news := (&pb.FleetNews{Version: d.version, Hosts: []*pb.Host{h}}); d.loop != nil {
			d.loop.Post(func() { d.notifyWatchers(news) })
		}
	})
}

// notifyWatchers sends news to who watches: there is one dispatcher, with one connection but for the moments of a new one.
func (d *discoveryServer) notifyWatchers(news *pb.FleetNews) {
	for _, to := range sortedKeysBy(d.watchers, func(a *grpcConn) uint64 { return a.transport.SimulatedID() }) {
		d.send(to, d.watchers[to], news)
	}
}

func (d *discoveryServer) send(to *grpcConn, s *h2.Stream, news *pb.FleetNews) {
	b, err := proto.Marshal(news)
	if err != nil {
		panic(err)
	}
	s.SendMessage(b, false)
	to.flush()
	for _, h := range news.Hosts {
		d.sim.Log.Add(eventlog.Entry{Kind: eventlog.EndpointNotified, Server: int(h.Id), Dispatcher: d.dispatcher, Note: h.Health.String(), Value: h.StartedUnixNs})
	}
}

func (d *discoveryServer) opened(*grpcConn)                          {}
func (d *discoveryServer) headers(*grpcConn, *h2.Stream, *h2.Header) {}
func (d *discoveryServer) message(from *grpcConn, s *h2.Stream, _ []byte) {
	d.watchers[from] = s
	d.send(from, s, &pb.FleetNews{Version: d.version, Full: true, Hosts: d.endpoints})
}
func (d *discoveryServer) finished(*h2.Stream, codes.Code, string, *h2.Header) {}
func (d *discoveryServer) reset(s *h2.Stream) {
	for at, x := range d.watchers {
		if x == s {
			delete(d.watchers, at)
		}
	}
}
func (d *discoveryServer) closed(at *grpcConn) { delete(d.watchers, at) }
