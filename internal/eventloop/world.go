package eventloop

import (
	"docksail/internal/indexedheap"
	"fmt"
	"net/netip"
	"os"

	"golang.org/x/sys/unix"
)

// World is simulated time with loops in it: their sockets are pipes in memory, a fixed time long, their clock is the
// world's, and one goroutine turns them all. Equal calls give equal runs.
type World struct {
	// Delay is how long bytes are under way between two loops, in nanoseconds. It is set before the first loop is made.
	Delay Nanos
	// Tap, if not nil, is asked about each connection as it is dialed, and sees what passes on the dialer's side.
	Tap func(from *Loop, to netip.AddrPort) Tap

	now       Nanos
	wall      int64
	events    indexedheap.Heap[*event]
	free      []*event
	n         uint64
	loops     int
	listeners map[netip.AddrPort]*Listener
	cuts      map[[2]int]bool
	parked    []*event // that were to pass where there is a cut
	ports     uint16
	Turns     uint64 // of all loops
}

// Tap sees one connection on its dialer's side: bytes that leave, bytes that come, and its end.
type Tap interface {
	Ahead(p []byte)
	Back(p []byte)
	Closed()
}

// event is something that happens to a loop.
type event struct {
	at   Nanos
	n    uint64
	kind eventKind
	l    *Loop
	c    *Conn
	from int // number of the loop that it comes from; -1 = none
	p    []byte
	call func()
	i    int
}

type eventKind uint8

const (
	wakes   eventKind = iota // timers are due
	calls                    // Post
	dials                    // c wants to reach a listener of this world
	accepts                  // c's dial was taken
	refuses                  // c's dial was not
	bytes_                   // bytes for c
	ends                     // c's peer has closed
	takes                    // c's peer has taken bytes
)

// pipeRoom bytes may be under way and untaken on one side of a connection, as a socket's buffers have it.
const pipeRoom = 256 << 10

// NewWorld makes a world whose clock stands at 0 at a wall-clock time in Unix nanoseconds.
func NewWorld(wall int64, delay Nanos) *World {
	return &World{
		Delay: delay, wall: wall, listeners: map[netip.AddrPort]*Listener{}, cuts: map[[2]int]bool{}, ports: 1024,
		events: indexedheap.Heap[*event]{Place: func(e *event) *int { return &e.i }, Less: func(a, b *event) bool {
			if a.at != b.at {
				return a.at < b.at
			}
			return a.n < b.n
		}},
	}
}

// Now is the world's time.
func (w *World) Now() Nanos { return w.now }

// Wall is the wall-clock time of now, in Unix nanoseconds.
func (w *World) Wall() int64 { return w.wall + w.now }

// Loop makes a loop in the world at an address; round is what Run calls once a turn.
func (w *World) Loop(at netip.Addr, round func(now Nanos)) *Loop {
	w.loops++
	return &Loop{world: w, number: w.loops, at: at, round: round, now: w.now, timers: newTimers(), wakeAt: never, live: map[*Conn]uint64{}}
}

// SetRound sets what a simulated loop calls once a turn.
func (l *Loop) SetRound(round func(now Nanos)) { l.round = round }

const never = Nanos(1) << 62

// Cut stops, or lets pass again, all that is under way between two loops, either way. What was sent meanwhile passes
// when the cut is over.
func (w *World) Cut(a, b *Loop, yes bool) {
	k := [2]int{min(a.number, b.number), max(a.number, b.number)}
	if yes {
		w.cuts[k] = true
		return
	}
	delete(w.cuts, k)
	parked := w.parked
	w.parked = nil
	for _, e := range parked {
		if e.at = max(e.at, w.now); w.isCut(e) {
			w.parked = append(w.parked, e)
		} else {
			w.events.Put(e)
		}
	}
}

func (w *World) isCut(e *event) bool {
	return e.from > 0 && len(w.cuts) > 0 && w.cuts[[2]int{min(e.from, e.l.number), max(e.from, e.l.number)}]
}

func (w *World) push(at Nanos, l *Loop, kind eventKind) *event {
	var e *event
	if n := len(w.free); n > 0 {
		e, w.free = w.free[n-1], w.free[:n-1]
	} else {
		e = new(event)
	}
	w.n++
	*e = event{at: max(at, w.now), n: w.n, kind: kind, l: l, from: -1, p: e.p[:0]}
	w.events.Put(e)
	return e
}

// send has something happen to a connection on another loop, a delay from now, after all that was sent before it.
func (c *Conn) send(kind eventKind, p []byte) {
	if c.peer == nil || c.mute {
		return
	}
	w := c.l.world
	e := w.push(max(w.now+w.Delay+c.l.extra+c.peer.l.extra, c.lastSent), c.peer.l, kind)
	c.lastSent = e.at
	e.c, e.from, e.p = c.peer, c.l.number, append(e.p, p...)
}

// Run turns the world's loops until its clock stands at a time or nothing is left to happen.
func (w *World) Run(until Nanos) {
	for w.events.Len() > 0 && w.events.Min().at <= until {
		e := w.events.Min()
		w.now = max(w.now, e.at)
		l := e.l
		l.begin()
		// All that happens to this loop now and stands next is one turn, as epoll would give it.
		for w.events.Len() > 0 && w.events.Min().at <= w.now && w.events.Min().l == l {
			e := w.events.Min()
			w.events.Take(e)
			if w.isCut(e) {
				w.parked = append(w.parked, e)
				continue
			}
			l.happen(e)
			w.free = append(w.free, e)
		}
		l.turn()
	}
	w.now = max(w.now, until)
}

func (l *Loop) begin() { l.now = l.world.now }

// turn ends a turn of a simulated loop.
func (l *Loop) turn() {
	w := l.world
	w.Turns++
	if l.stop.Load() {
		l.end()
		return
	}
	if l.wakeAt <= l.now {
		l.wakeAt = never
	}
	l.timers.fire(l.now)
	l.bury()
	if l.round != nil {
		l.round(l.now)
	}
	l.flush()
	if l.stop.Load() {
		l.end()
		return
	}
	at := never
	if next, ok := l.timers.next(); ok {
		at = max(next, l.now)
	}
	if l.again || len(l.dirty) > 0 || len(l.dead) > 0 {
		l.again = false
		at = l.now + 1
	}
	if at < l.wakeAt {
		l.wakeAt = at
		w.push(at, l, wakes)
	}
}

// end takes a stopped loop out of the world: its connections end, its listeners close.
func (l *Loop) end() {
	if l.ended {
		return
	}
	l.ended = true
	w := l.world
	for at, ln := range w.listeners {
		if ln.l == l {
			delete(w.listeners, at)
		}
	}
	for _, c := range l.open() {
		c.hang()
	}
}

// open gives the loop's connections in the order of their making.
func (l *Loop) open() []*Conn {
	heap := indexedheap.Heap[*Conn]{Place: func(c *Conn) *int { return &c.place }, Less: func(a, b *Conn) bool { return a.made < b.made }}
	for c := range l.live {
		heap.Put(c)
	}
	var list []*Conn
	for heap.Len() > 0 {
		list = append(list, heap.Min())
		heap.Take(heap.Min())
	}
	return list
}

// Reset closes every connection of a simulated loop; its listeners stay.
func (l *Loop) Reset() {
	for _, c := range l.open() {
		c.die(unix.ECONNRESET)
	}
	l.world.push(l.world.now, l, wakes)
}

// Mute has the connections that a simulated loop has swallow all that is sent on them from now on, either way, their
// end included; new ones pass.
func (l *Loop) Mute() {
	for c := range l.live {
		c.mute = true
		if c.peer != nil {
			c.peer.mute = true
		}
	}
}

// Slow has bytes to and from a simulated loop be under way so much longer, and with trickle reach handlers one by one.
func (l *Loop) Slow(by Nanos, trickle bool) { l.extra, l.trickle = by, trickle }

// Kill ends a simulated loop at once, as the end of its process would: every connection closes, nothing is said.
func (l *Loop) Kill() {
	l.stop.Store(true)
	l.end()
}

// hang closes a connection of a simulated loop on the wire.
func (c *Conn) hang() {
	if c.tap != nil {
		c.tap.Closed()
		c.tap = nil
	}
	c.send(ends, nil)
	delete(c.l.live, c)
	c.fd = -1
	c.inbox = nil
}

// Number tells connections of a world apart, in the order of their making.
func (c *Conn) Number() uint64 { return c.made }

func (l *Loop) simConn() *Conn {
	l.world.n++
	c := &Conn{l: l, reads: true, made: l.world.n}
	l.live[c] = c.made
	return c
}

func (l *Loop) simListen(at netip.AddrPort, accept func(c *Conn, from netip.AddrPort) Handler) (*Listener, error) {
	w := l.world
	if at.Port() == 0 {
		w.ports++
		at = netip.AddrPortFrom(l.at, w.ports)
	}
	if w.listeners[at] != nil {
		return nil, fmt.Errorf("listen on %s: %w", at, os.NewSyscallError("bind", unix.EADDRINUSE))
	}
	ln := &Listener{l: l, addr: at, accept: accept}
	w.listeners[at] = ln
	return ln, nil
}

// simHold has connections wait before they are accepted, or accepts those that wait.
func (ln *Listener) simHold(yes bool) {
	ln.held = yes
	if yes {
		return
	}
	w := ln.l.world
	for _, from := range ln.waiting {
		w.push(w.now, ln.l, dials).c = from
	}
	ln.waiting = nil
}

// simFinish accepts the connections that wait.
func (ln *Listener) simFinish() {
	ln.held = false
	waiting := ln.waiting
	ln.waiting = nil
	for _, from := range waiting {
		ln.l.taken(from)
	}
}

func (l *Loop) simDial(to netip.AddrPort, within Nanos, h Handler) (*Conn, error) {
	w := l.world
	c := l.simConn()
	c.handler, c.connecting, c.counted = h, true, true
	l.conns++
	if w.Tap != nil {
		c.tap = w.Tap(l, to)
	}
	l.At(&c.deadline, l.now+within, func(Nanos) { c.die(os.ErrDeadlineExceeded) })
	ln := w.listeners[to]
	if ln == nil {
		w.push(w.now+2*w.Delay, l, refuses).c = c
		return c, nil
	}
	e := w.push(w.now+w.Delay, ln.l, dials)
	c.lastSent = e.at
	e.c, e.from = c, l.number
	return c, nil
}

// happen does what an event says.
func (l *Loop) happen(e *event) {
	c := e.c
	if l.ended {
		if e.kind == dials && c.fd >= 0 { // its process is gone
			l.world.push(l.world.now+l.world.Delay, c.l, refuses).c = c
		}
		return
	}
	switch e.kind {
	case calls:
		e.call()
	case dials:
		l.taken(c)
	case accepts:
		if c.fd < 0 || !c.connecting {
			return
		}
		l.Cancel(&c.deadline)
		c.connecting = false
		c.handler.Opened(l.now)
		if c.fd >= 0 {
			c.touch()
		}
	case refuses:
		if c.fd >= 0 && c.connecting {
			c.die(os.NewSyscallError("connect", unix.ECONNREFUSED))
		}
	case bytes_:
		if c.fd < 0 {
			return
		}
		if c.paused || len(c.inbox) > 0 {
			c.inbox = append(c.inbox, e.p...)
			return
		}
		c.hear(e.p)
	case ends:
		if c.fd >= 0 && c.reads {
			c.reads = false
			if c.paused || len(c.inbox) > 0 {
				c.die(unix.ECONNRESET)
				return
			}
			c.handler.PeerDone(l.now)
		}
	case takes:
		if c.fd >= 0 && c.blocked {
			c.touch()
		}
	}
}

// taken hands a dial to the listener that stands at its address now.
func (l *Loop) taken(from *Conn) {
	w := l.world
	var ln *Listener
	for _, x := range w.listeners {
		if x.l == l { // a simulated loop has one listener
			ln = x
		}
	}
	if from.fd < 0 || ln == nil {
		w.push(w.now+w.Delay, from.l, refuses).c = from
		return
	}
	if ln.held && len(ln.waiting) < backlog {
		ln.waiting = append(ln.waiting, from)
		return
	}
	c := l.simConn()
	c.peer, from.peer = from, c
	e := w.push(w.now+w.Delay, from.l, accepts)
	e.c, e.from = from, l.number
	c.lastSent = e.at
	if c.handler = ln.accept(c, netip.AddrPortFrom(from.l.at, 1)); c.handler == nil {
		c.hang()
		return
	}
	c.counted = true
	l.conns++
	c.handler.Opened(l.now)
}

// hear hands bytes that came to the handler and lets the peer send on.
func (c *Conn) hear(p []byte) {
	if c.tap != nil {
		c.tap.Back(p)
	}
	n, most := len(p), readSize
	if c.l.trickle || c.peer != nil && c.peer.l.trickle {
		most = 1
	}
	for len(p) > 0 && c.fd >= 0 {
		part := p[:min(len(p), most)]
		p = p[len(part):]
		c.handler.Data(c.l.now, part)
	}
	if peer := c.peer; peer != nil {
		if peer.flying -= n; peer.blocked {
			e := c.l.world.push(c.l.world.now+c.l.world.Delay, peer.l, takes)
			e.c, e.from = peer, c.l.number
		}
	}
}

// simFlush writes what the pipe has room for; it tells how much.
func (c *Conn) simFlush(p []byte) int {
	n := min(len(p), max(pipeRoom-c.flying, 0))
	if n > 0 {
		c.flying += n
		if c.tap != nil {
			c.tap.Ahead(p[:n])
		}
		c.send(bytes_, p[:n])
	}
	return n
}

// resume hands over what came while reading was paused.
func (c *Conn) resume() {
	if c.paused || len(c.inbox) == 0 || c.handed {
		return
	}
	c.handed = true
	w := c.l.world
	e := w.push(w.now, c.l, calls)
	e.call = func() {
		c.handed = false
		if p := c.inbox; c.fd >= 0 && !c.paused {
			c.inbox = nil
			c.hear(p)
		}
	}
}
