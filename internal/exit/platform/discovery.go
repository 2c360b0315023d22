package platform

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	decide "docksail/internal/decide/discovery"
	"docksail/internal/dispatch"
	"docksail/internal/h1"
	"docksail/internal/loop"
	"docksail/policy"
)

// List is the platform's list of servers, or changes of it.
type List struct {
	Version    int64    `json:"version"`
	Full       bool     `json:"full"`
	Servers    []Server `json:"servers"`
	Unreadable []error  `json:"-"` // entries that are no Server; the others are taken without them
}

// Server is one entry of it.
type Server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int64   `json:"cell"`
	State   string  `json:"state"`
	Started float64 `json:"started_ms"`
}

// UnmarshalJSON reads a list entry by entry, so that one that cannot be read does not cost the others.
func (l *List) UnmarshalJSON(text []byte) error {
	var raw struct {
		Version int64             `json:"version"`
		Full    bool              `json:"full"`
		Servers []json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return err
	}
	*l = List{Version: raw.Version, Full: raw.Full, Servers: make([]Server, 0, len(raw.Servers))}
	for _, entry := range raw.Servers {
		var server Server
		if err := json.Unmarshal(entry, &server); err != nil {
			l.Unreadable = append(l.Unreadable, fmt.Errorf("entry %.80q: %w", entry, err))
			if server.ID == "" {
				continue
			}
			server.State = "" // no state: a server that is known stays as it was
		}
		l.Servers = append(l.Servers, server)
	}
	return nil
}

var states = map[string]policy.Health{"Ready": policy.Serving, "Terminating": policy.Draining, "Gone": policy.Gone}

// discovery follows the list.
type discovery struct {
	exit      *Exit
	addr      netip.AddrPort // where the configuration says that it is
	onRequest bool           // lists are asked for, not pushed
	current   *watch         // the one whose news counts
	next      *watch         // one that has told nothing yet
	failures  int            // watches in a row that were not to be had
	refusals  int            // calls in a row that discovery refused
	version   int64          // of the last news from addr; -1 = none came from there: a whole list is asked for
	timer     loop.Timer
	onTimer   func(loop.Nanos)
	onNews    func() // the first news of this process, once
}

func (s *discovery) init(x *Exit, addr netip.AddrPort, asked bool) {
	*s = discovery{exit: x, addr: addr, onRequest: asked, version: -1, onTimer: s.watch}
}

// watch begins a watch, if none at the address is under way or at work.
func (s *discovery) watch(now loop.Nanos) {
	if s.next != nil || s.current != nil && s.current.addr == s.addr {
		return
	}
	w := &watch{discovery: s, addr: s.addr, decoder: h1.NewClient(h1.Limits{Head: headMost})}
	lc, err := s.exit.loop.Dial(s.addr, decide.ConnectTimeout, w)
	if err != nil {
		s.exit.log.Warn("discovery", "at", s.addr, "err", err)
		s.failures++
		s.retryLater(now)
		return
	}
	s.exit.Counts.Watches++
	w.conn, s.next = lc, w
}

// retryLater tries again after a while.
func (s *discovery) retryLater(now loop.Nanos) {
	wait := decide.RetryAfter(s.failures, s.refusals, s.exit.rng.Float64())
	s.exit.loop.At(&s.timer, now+max(wait, 1), s.onTimer)
}

// Discovery has the list watched at another address; the old watch goes when the new one has told something. Versions
// are a discovery's own: one at another address may count otherwise, so it is asked for the whole list.
func (x *Exit) Discovery(now loop.Nanos, addr netip.AddrPort) {
	s := &x.discovery
	if addr == s.addr {
		return
	}
	s.addr, s.failures, s.refusals, s.version = addr, 0, 0, -1
	if s.next != nil {
		s.next.end()
		s.next = nil
	}
	s.watch(now)
}

// watch is one connection to discovery.
type watch struct {
	discovery *discovery
	addr      netip.AddrPort
	conn      *loop.Conn
	decoder   h1.Decoder
	feed      h1.Feeder
	list      values
	timer     loop.Timer
	over      bool
	silent    bool // it was given up as it said nothing
	refused   bool // the call was answered with another status
}

func (w *watch) end() {
	w.over = true
	w.discovery.exit.loop.Cancel(&w.timer)
	w.conn.Close()
}

func (w *watch) Opened(now loop.Nanos) {
	b := []byte("GET /registry/instances?watch=1")
	if w.discovery.version >= 0 {
		b = strconv.AppendInt(append(b, "&from="...), w.discovery.version, 10)
	}
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), w.addr.String()...), "\r\n\r\n"...)
	w.conn.Write(b)
	w.expectWithin(now, decide.AnswerWithin(w.discovery.onRequest, w.discovery.refusals))
}

// expectWithin sets the time in which the next sign of life must come: the head of the answer, then whole news or the blank
// line between them. Bytes of what never becomes whole are none.
func (w *watch) expectWithin(now loop.Nanos, span int64) {
	w.discovery.exit.loop.At(&w.timer, now+span, func(loop.Nanos) {
		w.silent = true
		w.conn.Close()
	})
}

func (w *watch) Data(now loop.Nanos, p []byte) {
	w.feed.Feed(p, func(p []byte) (n int) {
		for !w.over {
			piece, data, k, err := w.decoder.Next(p[n:])
			n += k
			switch {
			case err == nil && piece == h1.None:
				return n
			case err == nil && piece == h1.Start && w.decoder.Head.Status == 200:
				w.expectWithin(now, decide.AnswerWithin(w.discovery.onRequest, w.discovery.refusals))
			case err == nil && piece == h1.Data:
				err = w.list.feed(data, func(text []byte) error { return w.update(now, text) })
				if err == nil && !w.over && w.list.between() {
					w.becomeCurrent()
					w.expectWithin(now, decide.SilenceLimit)
				}
			default:
				w.refused = err == nil && piece == h1.Start
				if err == nil {
					err = fmt.Errorf("answer with status %d, or its end", w.decoder.Head.Status)
				}
			}
			if err != nil {
				w.discovery.exit.log.Warn("discovery", "at", w.addr, "err", err)
				w.conn.Close()
				return len(p)
			}
		}
		return len(p)
	})
}

// becomeCurrent makes this watch the one that counts, with the first that it tells.
func (w *watch) becomeCurrent() {
	s := w.discovery
	if s.next != w {
		return
	}
	old := s.current
	s.current, s.next, s.failures, s.refusals = w, nil, 0, 0
	if old != nil {
		old.end()
	}
	s.exit.log.Info("discovery", "at", w.addr)
}

// update takes one object of the watch. What an old address tells while the new one has told nothing is taken, whatever
// its version.
func (w *watch) update(now loop.Nanos, text []byte) error {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return fmt.Errorf("news %.60q: %w", text, err)
	}
	w.becomeCurrent()
	s := w.discovery
	if w.addr == s.addr {
		if !list.Full && list.Version < s.version {
			return nil // it crossed with newer news
		}
		s.version = list.Version
	}
	s.exit.Take(now, list)
	if f := s.onNews; f != nil {
		s.onNews = nil
		f()
	}
	return nil
}

func (w *watch) PeerDone(loop.Nanos) { w.conn.Close() }
func (w *watch) Drained(loop.Nanos)  {}

func (w *watch) Closed(now loop.Nanos, err error) {
	s := w.discovery
	s.exit.loop.Cancel(&w.timer)
	if w.over {
		return
	}
	w.over = true
	s.exit.log.Warn("discovery lost", "at", w.addr, "quiet", w.silent, "spoke", s.current == w, "err", err)
	switch w {
	case s.current:
		s.current = nil
		if w.silent { // it has been out of reach for long enough
			s.watch(now)
			return
		}
	case s.next:
		s.next = nil
		s.failures++
		switch {
		case w.refused:
			s.refusals++
		case !w.silent: // it could not be reached at all
			s.refusals = 0
		}
	}
	s.retryLater(now)
}

// Known takes the list that the process was started with.
func (x *Exit) Known(now loop.Nanos, list List) {
	x.discovery.version = list.Version
	x.Take(now, list)
}

// Take hands news of the list on.
func (x *Exit) Take(now loop.Nanos, list List) {
	x.Counts.ListUpdates++
	for _, err := range list.Unreadable {
		x.log.Warn("line of the list not taken", "err", err)
	}
	if len(list.Servers) == 0 && !list.Full {
		return
	}
	named := make(map[string]bool, len(list.Servers))
	x.dispatcher.ListUpdated(now, list.Full, len(list.Servers) > 0, func(mod dispatch.Module) {
		for _, e := range list.Servers {
			named[e.ID] = true
			if err := x.entry(now, mod, e); err != nil {
				x.log.Warn("line of the list not taken", "err", err)
				if srv := x.byName[e.ID]; list.Full && srv != nil && srv.health != policy.Gone {
					x.entry(now, mod, srv.entry) // it stays as it was
				}
			}
		}
	})
	for _, srv := range slices.Clone(x.servers) {
		if list.Full && !named[srv.name] {
			srv.health = policy.Gone
		}
		if srv.health != policy.Serving {
			srv.endUnsent(now)
		}
		if srv.health == policy.Gone {
			srv.closeIdle()
			x.forgetGone(srv)
		}
	}
}

// entry takes one line.
func (x *Exit) entry(now loop.Nanos, mod dispatch.Module, e Server) error {
	health, ok := states[e.State]
	zone, kind := slices.Index(x.zones, e.Zone), slices.Index(x.kinds, e.Kind)
	srv := x.byName[e.ID]
	if health == policy.Gone {
		if srv != nil {
			srv.health = health
			mod.ServerListed(srv.id, policy.ZoneID(max(zone, 0)), policy.KindID(max(kind, 0)), policy.CellID(e.Cell), health, 0)
		}
		return nil
	}
	addr, err := netip.ParseAddrPort(e.Addr)
	switch {
	case e.ID == "" || !ok:
		return fmt.Errorf("server %q: state %q", e.ID, e.State)
	case err != nil:
		return fmt.Errorf("server %q: %w", e.ID, err)
	case zone < 0 || kind < 0:
		return fmt.Errorf("server %q: zone %q and kind %q: want ones of the settings", e.ID, e.Zone, e.Kind)
	}
	if srv == nil {
		srv = &server{x: x, id: x.idOf(e.ID), name: e.ID, load: policy.NoLoad}
		x.servers = append(x.servers, srv)
		x.byName[e.ID], x.byID[srv.id] = srv, srv
	}
	started := int64(e.Started * 1e6)
	if srv.addr != addr || srv.startedAt < started { // another process: nothing unused to the old one is of use
		srv.closeIdle()
	}
	srv.entry = e
	srv.addr, srv.startedAt, srv.role, srv.health = addr, max(started, srv.startedAt), x.roles[kind], health
	mod.ServerListed(srv.id, policy.ZoneID(zone), policy.KindID(kind), policy.CellID(e.Cell), health,
		min(policy.Nanos(started), x.dispatcher.Time(now)))
	return nil
}

// forgetGone drops a server that has gone once nothing runs to it.
func (x *Exit) forgetGone(srv *server) {
	if srv.health != policy.Gone || len(srv.conns) > 0 || x.byID[srv.id] != srv {
		return
	}
	delete(x.byID, srv.id)
	delete(x.byName, srv.name)
	if i := slices.Index(x.servers, srv); i >= 0 {
		x.servers = slices.Delete(x.servers, i, i+1)
	}
}
