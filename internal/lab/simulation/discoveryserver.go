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

// discoveryServer sends the endpoint list and, after a delay, its changes to one dispatcher.
type discoveryServer struct {
	sim        *Simulation
	dispatcher int
	addr       netip.AddrPort
	loop       *eventloop.Loop // nil while it is stopped
	version    uint64
	endpoints  []*pb.Host // by server number minus 1
	watchers   map[*grpcConn]*h2.Stream
}

func (d *discoveryServer) start() error {
	if d.loop != nil {
		return nil
	}
	d.loop, d.watchers = d.sim.network.NewLoop(d.addr.Addr(), nil), map[*grpcConn]*h2.Stream{}
	_, err := d.loop.Listen(d.addr, false, func(c *eventloop.Conn, _ netip.AddrPort) eventloop.Handler {
		return serveConn(d.loop, c, d)
	})
	return err
}

func (d *discoveryServer) stop() {
	if d.loop != nil {
		d.loop.Kill()
		d.loop = nil
	}
}

// set publishes the state of a server after a delay. If the discovery server is stopped then, later watches get it.
func (d *discoveryServer) set(endpoint *pb.Host, delay eventloop.Nanos) {
	d.sim.scheduleAfter(delay, func() {
		d.endpoints[endpoint.Id-1] = endpoint
		d.version++
		event := &pb.FleetNews{Version: d.version, Hosts: []*pb.Host{endpoint}}
		if d.loop != nil {
			d.loop.Post(func() { d.notifyWatchers(event) })
		}
	})
}

// notifyWatchers sends an event on all watches: one, except while the dispatcher reconnects.
func (d *discoveryServer) notifyWatchers(event *pb.FleetNews) {
	for _, c := range sortedKeysBy(d.watchers, func(c *grpcConn) uint64 { return c.transport.SimulatedID() }) {
		d.send(c, d.watchers[c], event)
	}
}

func (d *discoveryServer) send(c *grpcConn, stream *h2.Stream, event *pb.FleetNews) {
	stream.SendMessage(mustMarshal(event), false)
	c.flush()
	for _, endpoint := range event.Hosts {
		d.sim.Log.Add(eventlog.Entry{
			Kind: eventlog.EndpointNotified, Server: int(endpoint.Id), Dispatcher: d.dispatcher,
			Note: endpoint.Health.String(), Value: endpoint.StartedUnixNs,
		})
	}
}

// message starts a watch and sends the complete list on it.
func (d *discoveryServer) message(c *grpcConn, s *h2.Stream, _ []byte) {
	d.watchers[c] = s
	d.send(c, s, &pb.FleetNews{Version: d.version, Full: true, Hosts: d.endpoints})
}

func (d *discoveryServer) reset(s *h2.Stream) {
	for c, stream := range d.watchers {
		if stream == s {
			delete(d.watchers, c)
		}
	}
}

func (d *discoveryServer) closed(c *grpcConn)                                  { delete(d.watchers, c) }
func (d *discoveryServer) opened(*grpcConn)                                    {}
func (d *discoveryServer) headers(*grpcConn, *h2.Stream, *h2.Header)           {}
func (d *discoveryServer) finished(*h2.Stream, codes.Code, string, *h2.Header) {}

// mustMarshal encodes a message. It panics if the message is invalid, which is a bug of this package.
func mustMarshal(m proto.Message) []byte {
	text, err := proto.Marshal(m)
	if err != nil {
		panic(err)
	}
	return text
}
