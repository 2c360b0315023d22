package eventloop

import (
	"docksail/internal/indexedheap"
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// SimulatedNetwork is simulated time with loops in it: their sockets are pipes in memory, a fixed time long, their clock is the
// world's, and one goroutine turns them all. Equal calls give equal runs.
type SimulatedNetwork struct {
	// Latency is how long bytes are under way between two loops, in nanoseconds. It is set before the first loop is made.
	Latency Nanos
	// Tap, if not nil, is asked about each connection as it is dialed, and sees what passes on the dialer's side.
	NewTap func(from *Loop, to netip.AddrPort) Tap

	now             Nanos
	originUnixNanos int64
	events          indexedheap.Heap[*event]
	freeEvents      []*event
	lastSequence    uint64
	loopCount       int
	listeners       map[netip.AddrPort]*Listener
	partitions      map[[2]int]bool
	heldEvents      []*event // that were to pass where there is a cut
	lastPort        uint16
	Iterations      uint64 // of all loops
}

// Tap sees one connection on its dialer's side: bytes that leave, bytes that come, and its end.
type Tap interface {
	Sent(p []byte)
	Received(p []byte)
	Closed()
}

// event is something that happens to a loop.
type event struct {
	at        Nanos
	sequence  uint64
	kind      eventKind
	loop      *Loop
	conn      *Conn
	fromLoop  int // number of the loop that it comes from; -1 = none
	data      []byte
	callback  func()
	heapIndex int
}

type eventKind uint8

const (
	eventTimersDue    eventKind = iota // timers are due
	eventCall                          // Post
	eventDial                          // c wants to reach a listener of this world
	eventDialAccepted                  // c's dial was taken
	eventDialRefused                   // c's dial was not
	eventData                          // bytes for c
	eventPeerClosed                    // c's peer has closed
	eventPeerRead                      // c's peer has taken bytes
)

// maxInFlightBytes bytes may be under way and untaken on one side of a connection, as a socket's buffers have it.
const maxInFlightBytes = 256 << 10

// NewSimulatedNetwork makes a world whose clock stands at 0 at a wall-clock time in Unix nanoseconds.
func NewSimulatedNetwork(originUnixNanos int64, latency Nanos) *SimulatedNetwork {
	return &SimulatedNetwork{
		Latency: latency, originUnixNanos: originUnixNanos, listeners: map[netip.AddrPort]*Listener{}, partitions: map[[2]int]bool{}, lastPort: 1024,
		events: indexedheap.Heap[*event]{Index: func(e *event) *int { return &e.heapIndex }, Less: func(a, b *event) bool {
			if a.at != b.at {
				return a.at < b.at
			}
			return a.sequence < b.sequence
		}},
	}
}

// Now is the world's time.
func (sn *SimulatedNetwork) Now() Nanos { return sn.now }

// UnixNanos is the wall-clock time of now, in Unix nanoseconds.
func (sn *SimulatedNetwork) UnixNanos() int64 { return sn.originUnixNanos + sn.now }

// NewLoop makes a loop in the world at an address; round is what Run calls once a turn.
func (sn *SimulatedNetwork) NewLoop(addr netip.Addr, onIteration func(now Nanos)) *Loop {
	sn.loopCount++
	return &Loop{network: sn, id: sn.loopCount, addr: addr, onIteration: onIteration, now: sn.now, timers: newTimerQueue(), nextWake: noWake, openConns: map[*Conn]uint64{}}
}

// SetOnIteration sets what a simulated loop calls once a turn.
func (l *Loop) SetOnIteration(onIteration func(now Nanos)) { l.onIteration = onIteration }

const noWake = Nanos(1) << 62

// SetPartitioned stops, or lets pass again, all that is under way between two loops, either way. What was sent meanwhile passes
// when the cut is over.
func (sn *SimulatedNetwork) SetPartitioned(a, b *Loop, partitioned bool) {
	pair := [2]int{min(a.id, b.id), max(a.id, b.id)}
	if partitioned {
		sn.partitions[pair] = true
		return
	}
	delete(sn.partitions, pair)
	parked := sn.heldEvents
	sn.heldEvents = nil
	for _, e := range parked {
		if e.at = max(e.at, sn.now); sn.crossesPartition(e) {
			sn.heldEvents = append(sn.heldEvents, e)
		} else {
			sn.events.PushOrFix(e)
		}
	}
}

func (sn *SimulatedNetwork) crossesPartition(e *event) bool {
	return e.fromLoop > 0 && len(sn.partitions) > 0 && sn.partitions[[2]int{min(e.fromLoop, e.loop.id), max(e.fromLoop, e.loop.id)}]
}

func (sn *SimulatedNetwork) schedule(at Nanos, l *Loop, kind eventKind) *event {
	var e *event
	if n := len(sn.freeEvents); n > 0 {
		e, sn.freeEvents = sn.freeEvents[n-1], sn.freeEvents[:n-1]
	} else {
		e = new(event)
	}
	sn.lastSequence++
	*e = event{at: max(at, sn.now), sequence: sn.lastSequence, kind: kind, loop: l, fromLoop: -1, data: e.data[:0]}
	sn.events.PushOrFix(e)
	return e
}

// sendToPeer has something happen to a connection on another loop, a delay from now, after all that was sent before it.
func (c *Conn) sendToPeer(kind eventKind, p []byte) {
	if c.peer == nil || c.blackholed {
		return
	}
	w := c.loop.network
	e := w.schedule(max(w.now+w.Latency+c.loop.extraLatency+c.peer.loop.extraLatency, c.lastArrival), c.peer.loop, kind)
	c.lastArrival = e.at
	e.conn, e.fromLoop, e.data = c.peer, c.loop.id, append(e.data, p...)
}

// RunUntil turns the world's loops until its clock stands at a time or nothing is left to happen.
func (sn *SimulatedNetwork) RunUntil(until Nanos) {
	for sn.events.Len() > 0 && sn.events.Min().at <= until {
		e := sn.events.Min()
		sn.now = max(sn.now, e.at)
		l := e.loop
		l.beginIteration()
		// All that happens to this loop now and stands next is one turn, as epoll would give it.
		for sn.events.Len() > 0 && sn.events.Min().at <= sn.now && sn.events.Min().loop == l {
			e := sn.events.Min()
			sn.events.Remove(e)
			if sn.crossesPartition(e) {
				sn.heldEvents = append(sn.heldEvents, e)
				continue
			}
			l.handleEvent(e)
			sn.freeEvents = append(sn.freeEvents, e)
		}
		l.finishIteration()
	}
	sn.now = max(sn.now, until)
}

func (l *Loop) beginIteration() { l.now = l.network.now }

// finishIteration ends a turn of a simulated loop.
func (l *Loop) finishIteration() {
	w := l.network
	w.Iterations++
	if l.stopped.Load() {
		l.terminate()
		return
	}
	if l.nextWake <= l.now {
		l.nextWake = noWake
	}
	l.timers.fireDue(l.now)
	l.notifyClosed()
	if l.onIteration != nil {
		l.onIteration(l.now)
	}
	l.flushOutput()
	if l.stopped.Load() {
		l.terminate()
		return
	}
	at := noWake
	if next, ok := l.timers.nextDue(); ok {
		at = max(next, l.now)
	}
	if l.skipNextWait || len(l.flushQueue) > 0 || len(l.closedConns) > 0 {
		l.skipNextWait = false
		at = l.now + 1
	}
	if at < l.nextWake {
		l.nextWake = at
		w.schedule(at, l, eventTimersDue)
	}
}

// terminate takes a stopped loop out of the world: its connections end, its listeners close.
func (l *Loop) terminate() {
	if l.terminated {
		return
	}
	l.terminated = true
	w := l.network
	for at, ln := range w.listeners {
		if ln.loop == l {
			delete(w.listeners, at)
		}
	}
	for _, c := range l.sortedConns() {
		c.closeSimulated()
	}
}

// sortedConns gives the loop's connections in the order of their making.
func (l *Loop) sortedConns() []*Conn {
	heap := indexedheap.Heap[*Conn]{Index: func(c *Conn) *int { return &c.heapIndex }, Less: func(a, b *Conn) bool { return a.simulatedID < b.simulatedID }}
	for c := range l.openConns {
		heap.PushOrFix(c)
	}
	var list []*Conn
	for heap.Len() > 0 {
		list = append(list, heap.Min())
		heap.Remove(heap.Min())
	}
	return list
}

// ResetConnections closes every connection of a simulated loop; its listeners stay.
func (l *Loop) ResetConnections() {
	for _, c := range l.sortedConns() {
		c.terminate(unix.ECONNRESET)
	}
	l.network.schedule(l.network.now, l, eventTimersDue)
}

// BlackholeConnections has the connections that a simulated loop has swallow all that is sent on them from now on, either way, their
// end included; new ones pass.
func (l *Loop) BlackholeConnections() {
	for c := range l.openConns {
		c.blackholed = true
		if c.peer != nil {
			c.peer.blackholed = true
		}
	}
}

// SetSlowdown has bytes to and from a simulated loop be under way so much longer, and with trickle reach handlers one by one.
func (l *Loop) SetSlowdown(extraLatency Nanos, byteByByte bool) {
	l.extraLatency, l.byteByByte = extraLatency, byteByByte
}

// Kill ends a simulated loop at once, as the end of its process would: every connection closes, nothing is said.
func (l *Loop) Kill() {
	l.stopped.Store(true)
	l.terminate()
}

// closeSimulated closes a connection of a simulated loop on the wire.
func (c *Conn) closeSimulated() {
	if c.tap != nil {
		c.tap.Closed()
		c.tap = nil
	}
	c.sendToPeer(eventPeerClosed, nil)
	delete(c.loop.openConns, c)
	c.fd = -1
	c.unreadInput = nil
}

// SimulatedID tells connections of a world apart, in the order of their making.
func (c *Conn) SimulatedID() uint64 { return c.simulatedID }

func (l *Loop) newSimulatedConn() *Conn {
	l.network.lastSequence++
	c := &Conn{loop: l, readOpen: true, simulatedID: l.network.lastSequence}
	l.openConns[c] = c.simulatedID
	return c
}

func (l *Loop) listenSimulated(at netip.AddrPort, accept func(c *Conn, from netip.AddrPort) Handler) (*Listener, error) {
	w := l.network
	if at.Port() == 0 {
		w.lastPort++
		at = netip.AddrPortFrom(l.addr, w.lastPort)
	}
	if w.listeners[at] != nil {
		return nil, fmt.Errorf("listen on %s: %w", at, os.NewSyscallError("bind", unix.EADDRINUSE))
	}
	ln := &Listener{loop: l, addr: at, onAccept: accept}
	w.listeners[at] = ln
	return ln, nil
}

// setAcceptPausedSimulated has connections wait before they are accepted, or accepts those that wait.
func (ln *Listener) setAcceptPausedSimulated(yes bool) {
	ln.acceptPaused = yes
	if yes {
		return
	}
	w := ln.loop.network
	for _, from := range ln.pendingDials {
		w.schedule(w.now, ln.loop, eventDial).conn = from
	}
	ln.pendingDials = nil
}

// acceptPendingSimulated accepts the connections that wait.
func (ln *Listener) acceptPendingSimulated() {
	ln.acceptPaused = false
	waiting := ln.pendingDials
	ln.pendingDials = nil
	for _, from := range waiting {
		ln.loop.acceptSimulated(from)
	}
}

func (l *Loop) dialSimulated(to netip.AddrPort, within Nanos, h Handler) (*Conn, error) {
	w := l.network
	c := l.newSimulatedConn()
	c.handler, c.connecting, c.counted = h, true, true
	l.connCount++
	if w.NewTap != nil {
		c.tap = w.NewTap(l, to)
	}
	l.SetTimer(&c.connectTimer, l.now+within, func(Nanos) { c.terminate(os.ErrDeadlineExceeded) })
	ln := w.listeners[to]
	if ln == nil {
		w.schedule(w.now+2*w.Latency, l, eventDialRefused).conn = c
		return c, nil
	}
	e := w.schedule(w.now+w.Latency, ln.loop, eventDial)
	c.lastArrival = e.at
	e.conn, e.fromLoop = c, l.id
	return c, nil
}

// handleEvent does what an event says.
func (l *Loop) handleEvent(e *event) {
	c := e.conn
	if l.terminated {
		if e.kind == eventDial && c.fd >= 0 { // its process is gone
			l.network.schedule(l.network.now+l.network.Latency, c.loop, eventDialRefused).conn = c
		}
		return
	}
	switch e.kind {
	case eventCall:
		e.callback()
	case eventDial:
		l.acceptSimulated(c)
	case eventDialAccepted:
		if c.fd < 0 || !c.connecting {
			return
		}
		l.CancelTimer(&c.connectTimer)
		c.connecting = false
		c.handler.Opened(l.now)
		if c.fd >= 0 {
			c.queueFlush()
		}
	case eventDialRefused:
		if c.fd >= 0 && c.connecting {
			c.terminate(os.NewSyscallError("connect", unix.ECONNREFUSED))
		}
	case eventData:
		if c.fd < 0 {
			return
		}
		if c.readPaused || len(c.unreadInput) > 0 {
			c.unreadInput = append(c.unreadInput, e.data...)
			return
		}
		c.deliverSimulated(e.data)
	case eventPeerClosed:
		if c.fd >= 0 && c.readOpen {
			c.readOpen = false
			if c.readPaused || len(c.unreadInput) > 0 {
				c.terminate(unix.ECONNRESET)
				return
			}
			c.handler.PeerHalfClosed(l.now)
		}
	case eventPeerRead:
		if c.fd >= 0 && c.writeBlocked {
			c.queueFlush()
		}
	}
}

// acceptSimulated hands a dial to the listener that stands at its address now.
func (l *Loop) acceptSimulated(from *Conn) {
	w := l.network
	var ln *Listener
	for _, x := range w.listeners {
		if x.loop == l { // a simulated loop has one listener
			ln = x
		}
	}
	if from.fd < 0 || ln == nil {
		w.schedule(w.now+w.Latency, from.loop, eventDialRefused).conn = from
		return
	}
	if ln.acceptPaused && len(ln.pendingDials) < listenBacklog {
		ln.pendingDials = append(ln.pendingDials, from)
		return
	}
	c := l.newSimulatedConn()
	c.peer, from.peer = from, c
	e := w.schedule(w.now+w.Latency, from.loop, eventDialAccepted)
	e.conn, e.fromLoop = from, l.id
	c.lastArrival = e.at
	if c.handler = ln.onAccept(c, netip.AddrPortFrom(from.loop.addr, 1)); c.handler == nil {
		c.closeSimulated()
		return
	}
	c.counted = true
	l.connCount++
	c.handler.Opened(l.now)
}

// deliverSimulated hands bytes that came to the handler and lets the peer send on.
func (c *Conn) deliverSimulated(p []byte) {
	if c.tap != nil {
		c.tap.Received(p)
	}
	n, most := len(p), maxReadBytes
	if c.loop.byteByByte || c.peer != nil && c.peer.loop.byteByByte {
		most = 1
	}
	for len(p) > 0 && c.fd >= 0 {
		part := p[:min(len(p), most)]
		p = p[len(part):]
		c.handler.Received(c.loop.now, part)
	}
	if peer := c.peer; peer != nil {
		if peer.inFlightBytes -= n; peer.writeBlocked {
			e := c.loop.network.schedule(c.loop.network.now+c.loop.network.Latency, peer.loop, eventPeerRead)
			e.conn, e.fromLoop = peer, c.loop.id
		}
	}
}

// writeSimulated writes what the pipe has room for; it tells how much.
func (c *Conn) writeSimulated(p []byte) int {
	n := min(len(p), max(maxInFlightBytes-c.inFlightBytes, 0))
	if n > 0 {
		c.inFlightBytes += n
		if c.tap != nil {
			c.tap.Sent(p[:n])
		}
		c.sendToPeer(eventData, p[:n])
	}
	return n
}

// resumeSimulated hands over what came while reading was paused.
func (c *Conn) resumeSimulated() {
	if c.readPaused || len(c.unreadInput) == 0 || c.deliveryScheduled {
		return
	}
	c.deliveryScheduled = true
	w := c.loop.network
	e := w.schedule(w.now, c.loop, eventCall)
	e.callback = func() {
		c.deliveryScheduled = false
		if p := c.unreadInput; c.fd >= 0 && !c.readPaused {
			c.unreadInput = nil
			c.deliverSimulated(p)
		}
	}
}
