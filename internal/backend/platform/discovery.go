package platform

import (
	"net/netip"

	decide "docksail/internal/decide/discovery"
	"docksail/internal/eventloop"
	"docksail/internal/h1"
)

// noVersion stands for the version of a list while discovery has sent none: the complete list is asked for then.
const noVersion = -1

// discovery keeps a watch on the endpoint list open. While the address changes there are two: the one in force,
// and the next, which replaces it once it has delivered a list.
type discovery struct {
	backend       *Backend
	addr          netip.AddrPort // of the configuration
	listOnRequest bool           // the settings have lists asked for, not pushed
	current       *watch
	next          *watch
	failedWatches int   // in a row
	rejectedCalls int   // in a row
	version       int64 // of the last list from addr, or noVersion
	timer         eventloop.Timer
	onTimer       func(eventloop.Nanos)
	onFirstList   func() // called and cleared with the first list
}

func (d *discovery) init(b *Backend, addr netip.AddrPort, listOnRequest bool) {
	*d = discovery{backend: b, addr: addr, listOnRequest: listOnRequest, version: noVersion, onTimer: d.watch}
}

// watch begins a watch, unless one at the address is in force or being opened.
func (d *discovery) watch(now eventloop.Nanos) {
	if d.next != nil || d.current != nil && d.current.addr == d.addr {
		return
	}
	w := &watch{
		discovery: d, addr: d.addr, decoder: h1.NewResponseDecoder(h1.Limits{HeadBytes: maxHeadBytes}),
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

// scheduleRetry has watch called after a backoff.
func (d *discovery) scheduleRetry(now eventloop.Nanos) {
	delay := decide.RetryDelay(d.failedWatches, d.rejectedCalls, d.backend.rng.Float64())
	d.backend.loop.SetTimer(&d.timer, now+max(delay, 1), d.onTimer)
}

// setAddr has the list watched at another address.
func (d *discovery) setAddr(now eventloop.Nanos, addr netip.AddrPort) {
	if addr == d.addr {
		return
	}
	d.addr, d.failedWatches, d.rejectedCalls, d.version = addr, 0, 0, noVersion
	if d.next != nil {
		d.next.end()
		d.next = nil
	}
	d.watch(now)
}

// makeCurrent puts the next watch in force and ends the one that it replaces.
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

// applyList applies a list or a change of it that a watch has delivered. A change that is older than the last one is
// ignored. Until the watch at a new address has delivered a list, those of the old address are applied whatever their
// version.
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

// handleLost replaces a watch whose connection has ended: at once if it was in force and silent for too long, else
// after a backoff.
func (d *discovery) handleLost(now eventloop.Nanos, w *watch) {
	switch w {
	case d.current:
		d.current = nil
		if w.timedOut {
			d.watch(now)
			return
		}
	case d.next:
		d.next = nil
		d.failedWatches++
		switch {
		case w.rejected:
			d.rejectedCalls++
		case !w.timedOut: // it was not reached at all
			d.rejectedCalls = 0
		}
	}
	d.scheduleRetry(now)
}
