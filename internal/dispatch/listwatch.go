package dispatch

import (
	"docksail/internal/config"
	"docksail/internal/decide/keepalive"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/internal/state/endpointlist"
	"docksail/policy"
	"errors"
	"net/netip"
	"os"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
)

// listWatch follows the list of engines: a watch on a lister, or a file.
type listWatch struct {
	d        *Dispatcher
	exit     *grpcExit
	addr     netip.AddrPort
	file     string
	savePath string // file that keeps the list for the next start
	every    int64
	conn     *eventloop.Conn
	http2    *h2.Conn
	now      eventloop.Nanos
	open     bool
	heardAt  eventloop.Nanos
	pingedAt eventloop.Nanos
	pings    int
	timer    eventloop.Timer
	stamp    time.Time
	saves    chan []byte
}

func (w *listWatch) init(x *grpcExit, s config.Discovery) {
	*w = listWatch{d: x.d, exit: x, addr: s.Watch, file: s.File, savePath: s.CacheFile, every: int64(s.RetryInterval) / 8}
}

func (w *listWatch) start() {
	if w.savePath != "" {
		told, err := w.exit.list.Load(w.savePath)
		switch {
		case err == nil:
			w.d.log.Info("list of engines as it was kept", "servers", len(told), "version", w.exit.list.Version())
			w.update(w.d.loop.Now(), true, told)
		case !errors.Is(err, os.ErrNotExist):
			w.d.log.Warn("kept list of engines not used", "err", err)
		}
		w.saves = make(chan []byte, 1)
		go keepList(w.savePath, w.saves, w.d)
	}
	if w.file != "" {
		w.poll(w.d.loop.Now())
		return
	}
	w.watch(w.d.loop.Now())
}

// keepList writes lists beside the loop; of several that wait only the newest counts.
func keepList(name string, lists <-chan []byte, d *Dispatcher) {
	for b := range lists {
		if err := endpointlist.Save(name, b); err != nil {
			d.log.Warn("list of engines not kept", "err", err)
		}
	}
}

func (w *listWatch) keep() {
	if w.saves == nil {
		return
	}
	b := w.exit.list.Encode()
	select {
	case w.saves <- b:
	default:
		select { // make room: an older list need not be written any more
		case <-w.saves:
		default:
		}
		select {
		case w.saves <- b:
		default:
		}
	}
}

// update hands news to the module.
func (w *listWatch) update(now eventloop.Nanos, full bool, told []endpointlist.Endpoint) {
	d := w.d
	if full {
		told = w.exit.list.Endpoints() // the module forgets what a full list does not name
	}
	d.EndpointListUpdated(now, full, len(told) > 0, func(module Module) { w.hosts(now, module, told) })
}

func (w *listWatch) hosts(now eventloop.Nanos, module Module, told []endpointlist.Endpoint) {
	d := w.d
	for _, h := range told {
		srv := w.exit.servers[h.ID]
		if srv == nil {
			srv = &grpcServer{d: d, exit: w.exit, id: h.ID}
			w.exit.servers[h.ID] = srv
		}
		srv.role = h.Role
		if srv.addr != h.Address {
			srv.addr, srv.name = h.Address, h.Address.String()
			for _, k := range srv.links { // it has moved: what runs there ends there
				k.retired = true
			}
		}
		if h.Health != policy.Serving || srv.trial.IsActive() { // the module decides anew, by what it knows now
			srv.dropQueued(now)
		}
		srv.trial.ListUpdated()
		started := policy.Nanos(0)
		if h.StartedAt > 0 {
			started = min(policy.Nanos(h.StartedAt), d.ModuleTime(now)) // a clock ahead of ours
		}
		module.ServerListed(h.ID, w.exit.list.ZoneID(h.Zone), policy.KindID(h.Role), w.exit.list.CellID(h.Zone, h.Cell), h.Health, started)
		d.log.Info("server", "id", h.ID, "at", h.Address, "role", int(h.Role), "health", int(h.Health))
	}
}

func (w *listWatch) take(now eventloop.Nanos, version uint64, full bool, servers []endpointlist.Endpoint) error {
	told, err := w.exit.list.Apply(endpointlist.Update{Version: version, Full: full, Endpoints: servers})
	if err != nil {
		return err
	}
	if full || len(told) > 0 {
		w.update(now, full, told)
		w.keep()
	}
	return nil
}

// watch opens the watch on the lister; losing it is told to the module, which asks for it again.
func (w *listWatch) watch(now eventloop.Nanos) {
	if w.file != "" || w.conn != nil {
		return
	}
	w.http2 = h2.NewClientConn(w.exit.lim, w)
	lc, err := w.d.loop.Dial(w.addr, w.exit.connect, w)
	if err != nil {
		w.d.log.Warn("lister", "err", err)
		w.d.EndpointListFailed(now)
		return
	}
	w.conn = lc
}

// lost tells that the list is as it was some time ago.
func (w *listWatch) lost() bool { return w.file == "" && !w.open }

func (w *listWatch) Opened(now eventloop.Nanos) {
	w.now, w.heardAt, w.pingedAt, w.pings, w.open = now, now, 0, 0, true
	s := w.http2.OpenStream(pathWatch, w.addr.String(), 0)
	b, err := proto.Marshal(&pb.WatchRequest{})
	if err != nil {
		panic(err)
	}
	s.SendMessage(b, true)
	w.conn.Write(w.http2.TakeOutput())
	w.d.loop.SetTimer(&w.timer, now+w.every, w.keepWatch)
}

// keepWatch pings a lister that is silent: on a half-open connection news would never come.
func (w *listWatch) keepWatch(now eventloop.Nanos) {
	if w.conn == nil {
		return
	}
	verdict, again := keepalive.Policy{LatencyTarget: w.every}.Check(now, keepalive.ConnStatus{
		Ready: true, StreamCount: 1, LastReceivedAt: w.heardAt,
		LastPingAt: w.pingedAt, PingsWithoutData: w.pings,
	})
	switch verdict {
	case keepalive.SendPing:
		w.pingedAt = now
		w.pings++
		w.http2.Ping()
		w.conn.Write(w.http2.TakeOutput())
	case keepalive.CloseDead:
		w.d.log.Warn("lister does not answer a ping")
		w.conn.Close()
		return
	}
	w.d.loop.SetTimer(&w.timer, again, w.keepWatch)
}

func (w *listWatch) Received(now eventloop.Nanos, p []byte) {
	w.now, w.heardAt = now, now
	w.http2.Feed(now, p)
	w.conn.Write(w.http2.TakeOutput())
	if w.http2.Err() != nil {
		w.conn.CloseAfterFlush()
	}
}

func (w *listWatch) PeerHalfClosed(eventloop.Nanos) { w.conn.Close() }
func (w *listWatch) OutputFlushed(eventloop.Nanos)  {}

func (w *listWatch) Closed(now eventloop.Nanos, err error) {
	w.d.loop.CancelTimer(&w.timer)
	if w.open {
		w.d.log.Warn("lister lost", "err", err)
	}
	w.conn, w.http2, w.open = nil, nil, false
	w.d.EndpointListFailed(now)
}

func (w *listWatch) HeadersReceived(*h2.Stream, *h2.Header) {}

func (w *listWatch) MessageReceived(s *h2.Stream, p []byte) bool {
	w.pings = 0
	var news pb.FleetNews
	err := proto.Unmarshal(p, &news)
	if err == nil {
		var servers []endpointlist.Endpoint
		if servers, err = fromNews(&news); err == nil {
			err = w.take(w.now, news.Version, news.Full, servers)
		}
	}
	if err != nil { // a new watch begins with the whole list
		w.d.log.Warn("news of the list not taken", "version", news.Version, "err", err)
		w.conn.Close()
	}
	return false
}

var healths = map[pb.Health]policy.Health{
	pb.Health_HEALTH_SERVING:  policy.Serving,
	pb.Health_HEALTH_DRAINING: policy.Draining, pb.Health_HEALTH_GONE: policy.Gone,
}

var roles = map[pb.Role]policy.Role{
	pb.Role_ROLE_READER: policy.Prefill, pb.Role_ROLE_WRITER: policy.Decode,
	pb.Role_ROLE_MIXED: policy.Mixed,
}

func fromNews(news *pb.FleetNews) ([]endpointlist.Endpoint, error) {
	var servers []endpointlist.Endpoint
	for _, h := range news.Hosts {
		role, ok := roles[h.Role]
		health, ok2 := healths[h.Health]
		addr, err := netip.ParseAddrPort(h.Address)
		switch {
		case !ok:
			return nil, errors.New("server " + h.Address + " has no role")
		case !ok2:
			return nil, errors.New("server " + h.Address + " has no health")
		case err != nil:
			return nil, err
		}
		servers = append(servers, endpointlist.Endpoint{
			ID: policy.ServerID(h.Id), Address: addr, Role: role, Zone: h.Zone,
			Cell: h.Cell, Health: health, StartedAt: h.StartedUnixNs,
		})
	}
	return servers, nil
}

func (w *listWatch) RequestEnded(*h2.Stream) {}
func (w *listWatch) StreamFinished(_ *h2.Stream, code codes.Code, message string, _ *h2.Header) {
	w.d.log.Warn("lister ended the watch", "code", code.String(), "message", message)
	w.conn.Close()
}

func (w *listWatch) StreamReset(*h2.Stream, http2.ErrCode, bool) {
	if w.conn != nil {
		w.conn.Close()
	}
}
func (w *listWatch) StreamFlushed(*h2.Stream) {}
func (w *listWatch) GoAwayReceived()          {}
func (w *listWatch) PingAcked()               {}

// poll reads the file again when it has changed, beside the loop.
func (w *listWatch) poll(now eventloop.Nanos) {
	name, stamp := w.file, w.stamp
	go func() {
		servers, warnings, at, err := readServers(name, stamp)
		w.d.loop.Post(func() {
			switch {
			case err != nil:
				w.d.log.Warn("list of engines not read", "err", err)
			case at != w.stamp:
				w.stamp = at
				for _, warning := range warnings {
					w.d.log.Warn("list of engines", "former_name", warning)
				}
				if err := w.take(w.d.loop.Now(), w.exit.list.Version()+1, true, servers); err != nil {
					w.d.log.Warn("list of engines not taken", "file", name, "err", err)
				}
			}
		})
	}()
	w.d.loop.SetTimer(&w.timer, now+w.every, w.poll)
}

// readServers reads a list of engines from a file, unless it is as old as was read before.
func readServers(name string, stamp time.Time) (servers []endpointlist.Endpoint, warnings []string, at time.Time, err error) {
	info, err := os.Stat(name)
	if err != nil || info.ModTime().Equal(stamp) {
		return nil, nil, stamp, err
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, nil, stamp, err
	}
	if servers, warnings, err = config.ParseServers(name, text); err != nil {
		return nil, nil, stamp, err
	}
	return servers, warnings, info.ModTime(), nil
}

// close ends the decode server of kept lists; the loop must have ended.
func (w *listWatch) close() {
	if w.saves != nil {
		close(w.saves)
	}
}
