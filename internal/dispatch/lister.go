package dispatch

import (
	"errors"
	"net/netip"
	"os"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
	"docksail/internal/decide/links"
	"docksail/internal/h2"
	"docksail/internal/loop"
	"docksail/internal/setup"
	"docksail/internal/state/fleet"
	"docksail/policy"
)

// lister follows the list of engines: a watch on a lister, or a file.
type lister struct {
	d      *Dispatcher
	x      *engines
	addr   netip.AddrPort
	file   string
	keepAt string // file that keeps the list for the next start
	every  int64
	lc     *loop.Conn
	h      *h2.Conn
	now    loop.Nanos
	open   bool
	heard  loop.Nanos
	asked  loop.Nanos
	asks   int
	timer  loop.Timer
	stamp  time.Time
	keeps  chan []byte
}

func (w *lister) init(x *engines, s setup.Fleet) {
	*w = lister{d: x.d, x: x, addr: s.Watch, file: s.File, keepAt: s.Keep, every: int64(s.Retry) / 8}
}

func (w *lister) start() {
	if w.keepAt != "" {
		told, err := w.x.list.Load(w.keepAt)
		switch {
		case err == nil:
			w.d.log.Info("list of engines as it was kept", "hosts", len(told), "version", w.x.list.Version())
			w.tell(w.d.l.Now(), true, told)
		case !errors.Is(err, os.ErrNotExist):
			w.d.log.Warn("kept list of engines not used", "err", err)
		}
		w.keeps = make(chan []byte, 1)
		go keepList(w.keepAt, w.keeps, w.d)
	}
	if w.file != "" {
		w.poll(w.d.l.Now())
		return
	}
	w.watch(w.d.l.Now())
}

// keepList writes lists beside the loop; of several that wait only the newest counts.
func keepList(name string, lists <-chan []byte, d *Dispatcher) {
	for b := range lists {
		if err := fleet.Save(name, b); err != nil {
			d.log.Warn("list of engines not kept", "err", err)
		}
	}
}

func (w *lister) keep() {
	if w.keeps == nil {
		return
	}
	b := w.x.list.Encode()
	select {
	case w.keeps <- b:
	default:
		select { // make room: an older list need not be written any more
		case <-w.keeps:
		default:
		}
		select {
		case w.keeps <- b:
		default:
		}
	}
}

// tell hands news to the module.
func (w *lister) tell(now loop.Nanos, full bool, told []fleet.Host) {
	d := w.d
	if full {
		told = w.x.list.Hosts() // the module forgets what a full list does not name
	}
	d.Listed(now, full, len(told) > 0, func(mod Module) { w.hosts(now, mod, told) })
}

func (w *lister) hosts(now loop.Nanos, mod Module, told []fleet.Host) {
	d := w.d
	for _, h := range told {
		e := w.x.by[h.ID]
		if e == nil {
			e = &engine{d: d, x: w.x, id: h.ID}
			w.x.by[h.ID] = e
		}
		e.role = h.Role
		if e.addr != h.Address {
			e.addr, e.name = h.Address, h.Address.String()
			for _, k := range e.links { // it has moved: what runs there ends there
				k.past = true
			}
		}
		if h.Health != policy.Serving || e.trial.On() { // the module decides anew, by what it knows now
			e.unqueue(now)
		}
		e.trial.Listed()
		started := policy.Nanos(0)
		if h.Started > 0 {
			started = min(policy.Nanos(h.Started), d.Time(now)) // a clock ahead of ours
		}
		mod.ServerListed(h.ID, w.x.list.Zone(h.Zone), policy.KindID(h.Role), w.x.list.Cell(h.Zone, h.Cell), h.Health, started)
		d.log.Info("host", "id", h.ID, "at", h.Address, "role", int(h.Role), "health", int(h.Health))
	}
}

func (w *lister) take(now loop.Nanos, version uint64, full bool, hosts []fleet.Host) error {
	told, err := w.x.list.Take(version, full, hosts)
	if err != nil {
		return err
	}
	if full || len(told) > 0 {
		w.tell(now, full, told)
		w.keep()
	}
	return nil
}

// watch opens the watch on the lister; losing it is told to the module, which asks for it again.
func (w *lister) watch(now loop.Nanos) {
	if w.file != "" || w.lc != nil {
		return
	}
	w.h = h2.NewClient(w.x.lim, w)
	lc, err := w.d.l.Dial(w.addr, w.x.connect, w)
	if err != nil {
		w.d.log.Warn("lister", "err", err)
		w.d.ListLost(now)
		return
	}
	w.lc = lc
}

// lost tells that the list is as it was some time ago.
func (w *lister) lost() bool { return w.file == "" && !w.open }

func (w *lister) Opened(now loop.Nanos) {
	w.now, w.heard, w.asked, w.asks, w.open = now, now, 0, 0, true
	s := w.h.OpenStream(pathWatch, w.addr.String(), 0)
	b, err := proto.Marshal(&pb.WatchRequest{})
	if err != nil {
		panic(err)
	}
	s.Send(b, true)
	w.lc.Write(w.h.Take())
	w.d.l.At(&w.timer, now+w.every, w.keepWatch)
}

// keepWatch pings a lister that is silent: on a half-open connection news would never come.
func (w *lister) keepWatch(now loop.Nanos) {
	if w.lc == nil {
		return
	}
	verdict, again := links.Keeper{Expected: w.every}.Judge(now, links.Link{Ready: true, Out: 1, Heard: w.heard,
		Asked: w.asked, Asks: w.asks})
	switch verdict {
	case links.Ask:
		w.asked = now
		w.asks++
		w.h.Ping()
		w.lc.Write(w.h.Take())
	case links.Dead:
		w.d.log.Warn("lister does not answer a ping")
		w.lc.Close()
		return
	}
	w.d.l.At(&w.timer, again, w.keepWatch)
}

func (w *lister) Data(now loop.Nanos, p []byte) {
	w.now, w.heard = now, now
	w.h.Feed(now, p)
	w.lc.Write(w.h.Take())
	if w.h.Over() != nil {
		w.lc.CloseSoon()
	}
}

func (w *lister) PeerDone(loop.Nanos) { w.lc.Close() }
func (w *lister) Drained(loop.Nanos)  {}

func (w *lister) Closed(now loop.Nanos, err error) {
	w.d.l.Cancel(&w.timer)
	if w.open {
		w.d.log.Warn("lister lost", "err", err)
	}
	w.lc, w.h, w.open = nil, nil, false
	w.d.ListLost(now)
}

func (w *lister) Headers(*h2.Stream, *h2.Header) {}

func (w *lister) Message(s *h2.Stream, p []byte) bool {
	w.asks = 0
	var news pb.FleetNews
	err := proto.Unmarshal(p, &news)
	if err == nil {
		var hosts []fleet.Host
		if hosts, err = fromNews(&news); err == nil {
			err = w.take(w.now, news.Version, news.Full, hosts)
		}
	}
	if err != nil { // a new watch begins with the whole list
		w.d.log.Warn("news of the list not taken", "version", news.Version, "err", err)
		w.lc.Close()
	}
	return false
}

var healths = map[pb.Health]policy.Health{pb.Health_HEALTH_SERVING: policy.Serving,
	pb.Health_HEALTH_DRAINING: policy.Draining, pb.Health_HEALTH_GONE: policy.Gone}

var roles = map[pb.Role]policy.Role{pb.Role_ROLE_READER: policy.Prefill, pb.Role_ROLE_WRITER: policy.Decode,
	pb.Role_ROLE_MIXED: policy.Mixed}

func fromNews(news *pb.FleetNews) ([]fleet.Host, error) {
	var hosts []fleet.Host
	for _, h := range news.Hosts {
		role, ok := roles[h.Role]
		health, ok2 := healths[h.Health]
		addr, err := netip.ParseAddrPort(h.Address)
		switch {
		case !ok:
			return nil, errors.New("host " + h.Address + " has no role")
		case !ok2:
			return nil, errors.New("host " + h.Address + " has no health")
		case err != nil:
			return nil, err
		}
		hosts = append(hosts, fleet.Host{ID: policy.ServerID(h.Id), Address: addr, Role: role, Zone: h.Zone,
			Cell: h.Cell, Health: health, Started: h.StartedUnixNs})
	}
	return hosts, nil
}

func (w *lister) HalfClosed(*h2.Stream) {}
func (w *lister) Finished(_ *h2.Stream, code codes.Code, message string, _ *h2.Header) {
	w.d.log.Warn("lister ended the watch", "code", code.String(), "message", message)
	w.lc.Close()
}
func (w *lister) Reset(*h2.Stream, http2.ErrCode, bool) {
	if w.lc != nil {
		w.lc.Close()
	}
}
func (w *lister) Room(*h2.Stream) {}
func (w *lister) GoingAway()      {}
func (w *lister) Pong()           {}

// poll reads the file again when it has changed, beside the loop.
func (w *lister) poll(now loop.Nanos) {
	name, stamp := w.file, w.stamp
	go func() {
		hosts, at, err := readHosts(name, stamp)
		w.d.l.Post(func() {
			switch {
			case err != nil:
				w.d.log.Warn("list of engines not read", "err", err)
			case at != w.stamp:
				w.stamp = at
				if err := w.take(w.d.l.Now(), w.x.list.Version()+1, true, hosts); err != nil {
					w.d.log.Warn("list of engines not taken", "file", name, "err", err)
				}
			}
		})
	}()
	w.d.l.At(&w.timer, now+w.every, w.poll)
}

// readHosts reads a list of engines from a file, unless it is as old as was read before.
func readHosts(name string, stamp time.Time) ([]fleet.Host, time.Time, error) {
	info, err := os.Stat(name)
	if err != nil || info.ModTime().Equal(stamp) {
		return nil, stamp, err
	}
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, stamp, err
	}
	var hosts []fleet.Host
	if hosts, err = setup.Hosts(name, text); err != nil {
		return nil, stamp, err
	}
	return hosts, info.ModTime(), nil
}

// close ends the writer of kept lists; the loop must have ended.
func (w *lister) close() {
	if w.keeps != nil {
		close(w.keeps)
	}
}
