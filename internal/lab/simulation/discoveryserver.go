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

// lister tells one dispatcher which hosts run, some time after it happened.
type lister struct {
	d       *Simulation
	disp    int
	addr    netip.AddrPort
	l       *eventloop.Loop // nil while it is away
	version uint64
	hosts   []*pb.Host // by number
	watch   map[*wire]*h2.Stream
}

func (w *lister) start() error {
	if w.l != nil {
		return nil
	}
	w.l, w.watch = w.d.world.NewLoop(w.addr.Addr(), nil), map[*wire]*h2.Stream{}
	_, err := w.l.Listen(w.addr, false, func(c *eventloop.Conn, _ netip.AddrPort) eventloop.Handler { return serveWire(w.l, c, w) })
	return err
}

func (w *lister) stop() {
	if w.l != nil {
		w.l.Kill()
		w.l = nil
	}
}

// set makes a change known after the lister's time, whether or not it is away meanwhile.
func (w *lister) set(h *pb.Host, late eventloop.Nanos) {
	h = proto.Clone(h).(*pb.Host)
	w.d.after(late, func() {
		w.hosts[h.Id-1] = h
		w.version++
		if news := (&pb.FleetNews{Version: w.version, Hosts: []*pb.Host{h}}); w.l != nil {
			w.l.Post(func() { w.tell(news) })
		}
	})
}

// tell sends news to who watches: there is one dispatcher, with one connection but for the moments of a new one.
func (w *lister) tell(news *pb.FleetNews) {
	for _, to := range sortedBy(w.watch, func(a *wire) uint64 { return a.lc.SimulatedID() }) {
		w.send(to, w.watch[to], news)
	}
}

func (w *lister) send(to *wire, s *h2.Stream, news *pb.FleetNews) {
	b, err := proto.Marshal(news)
	if err != nil {
		panic(err)
	}
	s.SendMessage(b, false)
	to.flush()
	for _, h := range news.Hosts {
		w.d.Log.Add(eventlog.Entry{Kind: eventlog.EndpointNotified, Server: int(h.Id), Dispatcher: w.disp, Note: h.Health.String(), Value: h.StartedUnixNs})
	}
}

func (w *lister) opened(*wire)                          {}
func (w *lister) headers(*wire, *h2.Stream, *h2.Header) {}
func (w *lister) message(from *wire, s *h2.Stream, _ []byte) {
	w.watch[from] = s
	w.send(from, s, &pb.FleetNews{Version: w.version, Full: true, Hosts: w.hosts})
}
func (w *lister) finished(*h2.Stream, codes.Code, string, *h2.Header) {}
func (w *lister) reset(s *h2.Stream) {
	for at, x := range w.watch {
		if x == s {
			delete(w.watch, at)
		}
	}
}
func (w *lister) closed(at *wire) { delete(w.watch, at) }
