package platform

import (
	"net/netip"

	decide "docksail/internal/decide/discovery"
	"docksail/internal/decide/memory"
	"docksail/internal/decide/serverconn"
	"docksail/internal/eventloop"
	"docksail/internal/h1"
)

// noVersion is the version before discovery has sent a list. The watch asks for a full list then.
const noVersion = -1

// discovery keeps a watch on the endpoint list open. While the address changes there are two watches: the current one,
// and the next one, which replaces it once it has delivered a list or white space between lists.
type discovery struct {
	backend       *Backend
	addr          netip.AddrPort // from the configuration
	listOnRequest bool           // by the settings, discovery sends lists on request only
	current       *watch
	next          *watch
	failedWatches int   // consecutive
	rejectedCalls int   // consecutive
	version       int64 // of the latest list from addr, or noVersion
	timer         eventloop.Timer
	onTimer       func(eventloop.Nanos)
	onFirstList   func() // called once, with the first list; nil afterwards
}

func (d *discovery) init(b *Backend, addr netip.AddrPort, listOnRequest bool) {
	*d = discovery{backend: b, addr: addr, listOnRequest: listOnRequest, version: noVersion, onTimer: d.openWatch}
}

// openWatch opens a watch, unless there is a current one at the address or one is being opened.
func (d *discovery) openWatch(now eventloop.Nanos) {
	if d.next != nil || d.current != nil && d.current.addr == d.addr {
		return
	}
	w := &watch{
		discovery: d, addr: d.addr, memory: d.backend.memory.NewAccount(memory.Responses),
		decoder: h1.NewResponseDecoder(h1.Limits{HeadBytes: maxHeadBytes, HeadFields: serverconn.MaxHeadFields}),
	}
	socket, err := d.backend.loop.Dial(d.addr, decide.ConnectTimeout, w)
	if err != nil {
		d.backend.log.Warn("discovery connect failed", "address", d.addr, "error", err)
		d.failedWatches++
		d.scheduleRetry(now)
		return
	}
	d.backend.Counts.DiscoveryWatches++
	w.socket, d.next = socket, w
}

// scheduleRetry schedules openWatch after a backoff.
func (d *discovery) scheduleRetry(now eventloop.Nanos) {
	delay := decide.RetryDelay(d.failedWatches, d.rejectedCalls, d.backend.rng.Float64())
	d.backend.loop.SetTimer(&d.timer, now+max(delay, 1), d.onTimer)
}

// setAddr changes the address of discovery and opens a watch there.
func (d *discovery) setAddr(now eventloop.Nanos, addr netip.AddrPort) {
	if addr == d.addr {
		return
	}
	d.addr, d.failedWatches, d.rejectedCalls, d.version = addr, 0, 0, noVersion
	if d.next != nil {
		d.next.end()
		d.next = nil
	}
	d.openWatch(now)
}

// makeCurrent makes the next watch the current one and ends the one that it replaces.
func (d *discovery) makeCurrent(w *watch) {
	if d.next != w {
		return
	}
	replaced := d.current
	d.current, d.next, d.failedWatches, d.rejectedCalls = w, nil, 0, 0
	if replaced != nil {
		replaced.end()
	}
	d.backend.log.Info("discovery watch established", "address", w.addr)
}

// applyList applies a full list or a change that a watch has delivered. A change is ignored if its version is older
// than the latest. Lists from a former address, whose watch is still current, are applied regardless of their version.
func (d *discovery) applyList(now eventloop.Nanos, w *watch, list EndpointList) {
	if w.addr == d.addr {
		if !list.Full && list.Version < d.version {
			return
		}
		d.version = list.Version
	}
	d.backend.ApplyList(now, list)
	if f := d.onFirstList; f != nil {
		d.onFirstList = nil
		f()
	}
}

// handleLost replaces a watch whose connection has ended: at once if it was the current one and timed out, else after a
// backoff.
func (d *discovery) handleLost(now eventloop.Nanos, w *watch) {
	switch w {
	case d.current:
		d.current = nil
		if w.timedOut {
			d.openWatch(now)
			return
		}
	case d.next:
		d.next = nil
		d.failedWatches++
		switch {
		case w.rejected:
			d.rejectedCalls++
		case !w.timedOut: // discovery could not be reached
			d.rejectedCalls = 0
		}
	}
	d.scheduleRetry(now)
}
