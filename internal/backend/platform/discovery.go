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
	backend       *Backend
	addr          netip.AddrPort // where the configuration says that it is
	listOnRequest bool           // lists are asked for, not pushed
	current       *watch         // the one whose news counts
	next          *watch         // one that has told nothing yet
	failedWatches int            // watches in a row that were not to be had
	rejectedCalls int            // calls in a row that discovery refused
	version       int64          // of the last news from addr; -1 = none came from there: a whole list is asked for
	timer         eventloop.Timer
	onTimer       func(eventloop.Nanos)
	onFirstList   func() // the first news of this process, once
}

func (d *discovery) init(x *Backend, addr netip.AddrPort, listOnRequest bool) {
	*d = discovery{backend: x, addr: addr, listOnRequest: listOnRequest, version: -1, onTimer: d.watch}
}

// watch begins a watch, if none at the address is under way or at work.
func (d *discovery) watch(now eventloop.Nanos) {
	if d.next != nil || d.current != nil && d.current.addr == d.addr {
		return
	}
	w := &watch{discovery: d, addr: d.addr, decoder: h1.NewResponseDecoder(h1.Limits{HeadBytes: maxHeadBytes})}
	lc, err := d.backend.loop.Dial(d.addr, decide.ConnectTimeout, w)
	if err != nil {
		d.backend.log.Warn("discovery", "at", d.addr, "err", err)
		d.failedWatches++
		d.scheduleRetry(now)
		return
	}
	d.backend.Counts.DiscoveryWatches++
	w.conn, d.next = lc, w
}

// scheduleRetry tries again after a while.
func (d *discovery) scheduleRetry(now eventloop.Nanos) {
	wait := decide.RetryDelay(d.failedWatches, d.rejectedCalls, d.backend.rng.Float64())
	d.backend.loop.SetTimer(&d.timer, now+max(wait, 1), d.onTimer)
}

// SetDiscoveryAddr has the list watched at another address; the old watch goes when the new one has told something. Versions
// are a discovery's own: one at another address may count otherwise, so it is asked for the whole list.
func (b *Backend) SetDiscoveryAddr(now eventloop.Nanos, addr netip.AddrPort) {
	d := &b.discovery
	if addr == d.addr {
		return
	}
	d.addr, d.failedWatches, d.rejectedCalls, d.version = addr, 0, 0, -1
	if d.next != nil {
		d.next.end()
		d.next = nil
	}
	d.watch(now)
}

// watch is one connection to discovery.
type watch struct {
	discovery *discovery
	addr      netip.AddrPort
	conn      *eventloop.Conn
	decoder   h1.Decoder
	feeder    h1.InputBuffer
	objects   objectSplitter
	timer     eventloop.Timer
	ended     bool
	timedOut  bool // it was given up as it said nothing
	rejected  bool // the call was answered with another status
}

func (w *watch) end() {
	w.ended = true
	w.discovery.backend.loop.CancelTimer(&w.timer)
	w.conn.Close()
}

func (w *watch) Opened(now eventloop.Nanos) {
	b := []byte("GET /registry/instances?watch=1")
	if w.discovery.version >= 0 {
		b = strconv.AppendInt(append(b, "&from="...), w.discovery.version, 10)
	}
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), w.addr.String()...), "\r\n\r\n"...)
	w.conn.Write(b)
	w.resetSilenceTimer(now, decide.ResponseTimeout(w.discovery.listOnRequest, w.discovery.rejectedCalls))
}

// resetSilenceTimer sets the time in which the next sign of life must come: the head of the answer, then whole news or the blank
// line between them. Bytes of what never becomes whole are none.
func (w *watch) resetSilenceTimer(now eventloop.Nanos, span int64) {
	w.discovery.backend.loop.SetTimer(&w.timer, now+span, func(eventloop.Nanos) {
		w.timedOut = true
		w.conn.Close()
	})
}

func (w *watch) Received(now eventloop.Nanos, p []byte) {
	w.feeder.Process(p, func(p []byte) (n int) {
		for !w.ended {
			piece, data, k, err := w.decoder.Next(p[n:])
			n += k
			switch {
			case err == nil && piece == h1.NeedData:
				return n
			case err == nil && piece == h1.MessageHead && w.decoder.Head.StatusCode == 200:
				w.resetSilenceTimer(now, decide.ResponseTimeout(w.discovery.listOnRequest, w.discovery.rejectedCalls))
			case err == nil && piece == h1.BodyData:
				err = w.objects.feed(data, func(text []byte) error { return w.applyObject(now, text) })
				if err == nil && !w.ended && w.objects.atBoundary() {
					w.becomeCurrent()
					w.resetSilenceTimer(now, decide.SilenceTimeout)
				}
			default:
				w.rejected = err == nil && piece == h1.MessageHead
				if err == nil {
					err = fmt.Errorf("answer with status %d, or its end", w.decoder.Head.StatusCode)
				}
			}
			if err != nil {
				w.discovery.backend.log.Warn("discovery", "at", w.addr, "err", err)
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
	s.current, s.next, s.failedWatches, s.rejectedCalls = w, nil, 0, 0
	if old != nil {
		old.end()
	}
	s.backend.log.Info("discovery", "at", w.addr)
}

// applyObject takes one object of the watch. What an old address tells while the new one has told nothing is taken, whatever
// its version.
func (w *watch) applyObject(now eventloop.Nanos, text []byte) error {
	var list EndpointList
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
	s.backend.ApplyList(now, list)
	if f := s.onFirstList; f != nil {
		s.onFirstList = nil
		f()
	}
	return nil
}

func (w *watch) PeerHalfClosed(eventloop.Nanos) { w.conn.Close() }
func (w *watch) OutputFlushed(eventloop.Nanos)  {}

func (w *watch) Closed(now eventloop.Nanos, err error) {
	s := w.discovery
	s.backend.loop.CancelTimer(&w.timer)
	if w.ended {
		return
	}
	w.ended = true
	s.backend.log.Warn("discovery lost", "at", w.addr, "quiet", w.timedOut, "spoke", s.current == w, "err", err)
	switch w {
	case s.current:
		s.current = nil
		if w.timedOut { // it has been out of reach for long enough
			s.watch(now)
			return
		}
	case s.next:
		s.next = nil
		s.failedWatches++
		switch {
		case w.rejected:
			s.rejectedCalls++
		case !w.timedOut: // it could not be reached at all
			s.rejectedCalls = 0
		}
	}
	s.scheduleRetry(now)
}
