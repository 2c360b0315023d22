package platform

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"

	decide "docksail/internal/decide/watch"
	"docksail/internal/dispatch"
	"docksail/internal/h1"
	"docksail/internal/loop"
	"docksail/policy"
)

// List is the platform's list of hosts, or changes of it.
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
	x        *Exit
	addr     netip.AddrPort // where the configuration says that it is
	asked    bool           // lists are asked for, not pushed
	current  *watch         // the one whose news counts
	next     *watch         // one that has told nothing yet
	failures int            // watches in a row that were not to be had
	refusals int            // calls in a row that discovery refused
	version  int64          // of the last news from addr; -1 = none came from there: a whole list is asked for
	timer    loop.Timer
	onTimer  func(loop.Nanos)
	onNews   func() // the first news of this process, once
}

func (s *discovery) init(x *Exit, addr netip.AddrPort, asked bool) {
	*s = discovery{x: x, addr: addr, asked: asked, version: -1, onTimer: s.watch}
}

// watch begins a watch, if none at the address is under way or at work.
func (s *discovery) watch(now loop.Nanos) {
	if s.next != nil || s.current != nil && s.current.addr == s.addr {
		return
	}
	w := &watch{s: s, addr: s.addr, dec: h1.NewClient(h1.Limits{Head: headMost})}
	lc, err := s.x.l.Dial(s.addr, decide.Connect, w)
	if err != nil {
		s.x.log.Warn("discovery", "at", s.addr, "err", err)
		s.failures++
		s.later(now)
		return
	}
	s.x.Counts.Watches++
	w.lc, s.next = lc, w
}

// later tries again after a while.
func (s *discovery) later(now loop.Nanos) {
	wait := decide.RetryAfter(s.failures, s.refusals, s.x.rng.Float64())
	s.x.l.At(&s.timer, now+max(wait, 1), s.onTimer)
}

// Discovery has the list watched at another address; the old watch goes when the new one has told something. Versions
// are a discovery's own: one at another address may count otherwise, so it is asked for the whole list.
func (x *Exit) Discovery(now loop.Nanos, addr netip.AddrPort) {
	s := &x.list
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
	s       *discovery
	addr    netip.AddrPort
	lc      *loop.Conn
	dec     h1.Decoder
	feed    h1.Feeder
	list    values
	timer   loop.Timer
	over    bool
	quiet   bool // it was given up as it said nothing
	refused bool // the call was answered with another status
}

func (w *watch) end() {
	w.over = true
	w.s.x.l.Cancel(&w.timer)
	w.lc.Close()
}

func (w *watch) Opened(now loop.Nanos) {
	b := []byte("GET /registry/instances?watch=1")
	if w.s.version >= 0 {
		b = strconv.AppendInt(append(b, "&from="...), w.s.version, 10)
	}
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), w.addr.String()...), "\r\n\r\n"...)
	w.lc.Write(b)
	w.within(now, decide.AnswerWithin(w.s.asked, w.s.refusals))
}

// within sets the time in which the next sign of life must come: the head of the answer, then whole news or the blank
// line between them. Bytes of what never becomes whole are none.
func (w *watch) within(now loop.Nanos, span int64) {
	w.s.x.l.At(&w.timer, now+span, func(loop.Nanos) {
		w.quiet = true
		w.lc.Close()
	})
}

func (w *watch) Data(now loop.Nanos, p []byte) {
	w.feed.Feed(p, func(p []byte) (n int) {
		for !w.over {
			piece, data, k, err := w.dec.Next(p[n:])
			n += k
			switch {
			case err == nil && piece == h1.None:
				return n
			case err == nil && piece == h1.Start && w.dec.Head.Status == 200:
				w.within(now, decide.AnswerWithin(w.s.asked, w.s.refusals))
			case err == nil && piece == h1.Data:
				err = w.list.feed(data, func(text []byte) error { return w.news(now, text) })
				if err == nil && !w.over && w.list.between() {
					w.counts()
					w.within(now, decide.Quiet)
				}
			default:
				w.refused = err == nil && piece == h1.Start
				if err == nil {
					err = fmt.Errorf("answer with status %d, or its end", w.dec.Head.Status)
				}
			}
			if err != nil {
				w.s.x.log.Warn("discovery", "at", w.addr, "err", err)
				w.lc.Close()
				return len(p)
			}
		}
		return len(p)
	})
}

// counts makes this watch the one that counts, with the first that it tells.
func (w *watch) counts() {
	s := w.s
	if s.next != w {
		return
	}
	old := s.current
	s.current, s.next, s.failures, s.refusals = w, nil, 0, 0
	if old != nil {
		old.end()
	}
	s.x.log.Info("discovery", "at", w.addr)
}

// news takes one object of the watch. What an old address tells while the new one has told nothing is taken, whatever
// its version.
func (w *watch) news(now loop.Nanos, text []byte) error {
	var list List
	if err := json.Unmarshal(text, &list); err != nil {
		return fmt.Errorf("news %.60q: %w", text, err)
	}
	w.counts()
	s := w.s
	if w.addr == s.addr {
		if !list.Full && list.Version < s.version {
			return nil // it crossed with newer news
		}
		s.version = list.Version
	}
	s.x.Take(now, list)
	if f := s.onNews; f != nil {
		s.onNews = nil
		f()
	}
	return nil
}

func (w *watch) PeerDone(loop.Nanos) { w.lc.Close() }
func (w *watch) Drained(loop.Nanos)  {}

func (w *watch) Closed(now loop.Nanos, err error) {
	s := w.s
	s.x.l.Cancel(&w.timer)
	if w.over {
		return
	}
	w.over = true
	s.x.log.Warn("discovery lost", "at", w.addr, "quiet", w.quiet, "spoke", s.current == w, "err", err)
	switch w {
	case s.current:
		s.current = nil
		if w.quiet { // it has been out of reach for long enough
			s.watch(now)
			return
		}
	case s.next:
		s.next = nil
		s.failures++
		switch {
		case w.refused:
			s.refusals++
		case !w.quiet: // it could not be reached at all
			s.refusals = 0
		}
	}
	s.later(now)
}

// Known takes the list that the process was started with.
func (x *Exit) Known(now loop.Nanos, list List) {
	x.list.version = list.Version
	x.Take(now, list)
}

// Take hands news of the list on.
func (x *Exit) Take(now loop.Nanos, list List) {
	x.Counts.News++
	for _, err := range list.Unreadable {
		x.log.Warn("line of the list not taken", "err", err)
	}
	if len(list.Servers) == 0 && !list.Full {
		return
	}
	named := make(map[string]bool, len(list.Servers))
	x.d.Listed(now, list.Full, len(list.Servers) > 0, func(mod dispatch.Module) {
		for _, e := range list.Servers {
			named[e.ID] = true
			if err := x.entry(now, mod, e); err != nil {
				x.log.Warn("line of the list not taken", "err", err)
				if h := x.byName[e.ID]; list.Full && h != nil && h.health != policy.Gone {
					x.entry(now, mod, h.listed) // it stays as it was
				}
			}
		}
	})
	for _, h := range slices.Clone(x.hosts) {
		if list.Full && !named[h.name] {
			h.health = policy.Gone
		}
		if h.health != policy.Serving {
			h.unlaunch(now)
		}
		if h.health == policy.Gone {
			h.distrust()
			x.forgetGone(h)
		}
	}
}

// entry takes one line.
func (x *Exit) entry(now loop.Nanos, mod dispatch.Module, e Server) error {
	health, ok := states[e.State]
	zone, kind := slices.Index(x.zones, e.Zone), slices.Index(x.kinds, e.Kind)
	h := x.byName[e.ID]
	if health == policy.Gone {
		if h != nil {
			h.health = health
			mod.ServerListed(h.id, policy.ZoneID(max(zone, 0)), policy.KindID(max(kind, 0)), policy.CellID(e.Cell), health, 0)
		}
		return nil
	}
	addr, err := netip.ParseAddrPort(e.Addr)
	switch {
	case e.ID == "" || !ok:
		return fmt.Errorf("host %q: state %q", e.ID, e.State)
	case err != nil:
		return fmt.Errorf("host %q: %w", e.ID, err)
	case zone < 0 || kind < 0:
		return fmt.Errorf("host %q: zone %q and kind %q: want ones of the settings", e.ID, e.Zone, e.Kind)
	}
	if h == nil {
		h = &host{x: x, id: x.idOf(e.ID), name: e.ID, load: policy.NoLoad}
		x.hosts = append(x.hosts, h)
		x.byName[e.ID], x.byID[h.id] = h, h
	}
	started := int64(e.Started * 1e6)
	if h.addr != addr || h.started < started { // another process: nothing unused to the old one is of use
		h.distrust()
	}
	h.listed = e
	h.addr, h.started, h.role, h.health = addr, max(started, h.started), x.roles[kind], health
	mod.ServerListed(h.id, policy.ZoneID(zone), policy.KindID(kind), policy.CellID(e.Cell), health,
		min(policy.Nanos(started), x.d.Time(now)))
	return nil
}

// forgetGone drops a host that has gone once nothing runs to it.
func (x *Exit) forgetGone(h *host) {
	if h.health != policy.Gone || len(h.conns) > 0 || x.byID[h.id] != h {
		return
	}
	delete(x.byID, h.id)
	delete(x.byName, h.name)
	if i := slices.Index(x.hosts, h); i >= 0 {
		x.hosts = slices.Delete(x.hosts, i, i+1)
	}
}
