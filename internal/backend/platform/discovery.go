package platform

import (
	"docksail/internal/eventloop"
	"docksail/internal/h1"
	"encoding/json"
	"fmt"
	"net/netip"
	"strconv"

	decide "docksail/internal/decide/discovery"
)

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
	timer     eventloop.Timer
	onTimer   func(eventloop.Nanos)
	onNews    func() // the first news of this process, once
}

func (s *discovery) init(x *Exit, addr netip.AddrPort, asked bool) {
	*s = discovery{exit: x, addr: addr, onRequest: asked, version: -1, onTimer: s.watch}
}

// watch begins a watch, if none at the address is under way or at work.
func (s *discovery) watch(now eventloop.Nanos) {
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
func (s *discovery) retryLater(now eventloop.Nanos) {
	wait := decide.RetryAfter(s.failures, s.refusals, s.exit.rng.Float64())
	s.exit.loop.At(&s.timer, now+max(wait, 1), s.onTimer)
}

// Discovery has the list watched at another address; the old watch goes when the new one has told something. Versions
// are a discovery's own: one at another address may count otherwise, so it is asked for the whole list.
func (x *Exit) Discovery(now eventloop.Nanos, addr netip.AddrPort) {
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
	conn      *eventloop.Conn
	decoder   h1.Decoder
	feed      h1.Feeder
	list      values
	timer     eventloop.Timer
	over      bool
	silent    bool // it was given up as it said nothing
	refused   bool // the call was answered with another status
}

func (w *watch) end() {
	w.over = true
	w.discovery.exit.loop.Cancel(&w.timer)
	w.conn.Close()
}

func (w *watch) Opened(now eventloop.Nanos) {
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
func (w *watch) expectWithin(now eventloop.Nanos, span int64) {
	w.discovery.exit.loop.At(&w.timer, now+span, func(eventloop.Nanos) {
		w.silent = true
		w.conn.Close()
	})
}

func (w *watch) Data(now eventloop.Nanos, p []byte) {
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
func (w *watch) update(now eventloop.Nanos, text []byte) error {
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

func (w *watch) PeerDone(eventloop.Nanos) { w.conn.Close() }
func (w *watch) Drained(eventloop.Nanos)  {}

func (w *watch) Closed(now eventloop.Nanos, err error) {
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
