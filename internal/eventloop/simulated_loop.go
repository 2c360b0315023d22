package eventloop

import (
	"cmp"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"
)

// noWake is the nextWake of a loop that waits for no timer.
const noWake = Nanos(1) << 62

// simulatedLoop is what a loop of a SimulatedNetwork holds beyond a Loop on real sockets.
type simulatedLoop struct {
	id           int // from 1, in the order of NewLoop
	addr         netip.Addr
	onIteration  func(now Nanos)
	nextWake     Nanos // time of the earliest eventTimersDue that is scheduled
	conns        map[*Conn]struct{}
	terminated   bool
	extraLatency Nanos
	byteByByte   bool
}

// NewLoop adds a loop to the network at an address. onIteration, if not nil, is called once in each iteration, after
// events and timers and before output is written.
func (sn *SimulatedNetwork) NewLoop(addr netip.Addr, onIteration func(now Nanos)) *Loop {
	sn.loopCount++
	return &Loop{
		now:     sn.now,
		timers:  newTimerQueue(),
		network: sn,
		sim: simulatedLoop{
			id:          sn.loopCount,
			addr:        addr,
			onIteration: onIteration,
			nextWake:    noWake,
			conns:       map[*Conn]struct{}{},
		},
	}
}

// SetOnIteration replaces the iteration function of a simulated loop.
func (l *Loop) SetOnIteration(onIteration func(now Nanos)) { l.sim.onIteration = onIteration }

// finishIteration does what Run does after the events of an iteration.
func (l *Loop) finishIteration() {
	if l.stopped.Load() {
		l.terminate()
		return
	}
	if l.sim.nextWake <= l.now {
		l.sim.nextWake = noWake
	}
	l.timers.fireDue(l.now)
	l.notifyClosed()
	if l.sim.onIteration != nil {
		l.sim.onIteration(l.now)
	}
	l.flushOutput()
	if l.stopped.Load() {
		l.terminate()
		return
	}
	l.scheduleWake()
}

// scheduleWake schedules the loop's next iteration without events: for its first timer, or at once if work is left.
func (l *Loop) scheduleWake() {
	at := noWake
	if due, ok := l.timers.nextDue(); ok {
		at = max(due, l.now)
	}
	if l.mustIterateAgain() {
		at = l.now + 1
	}
	if at < l.sim.nextWake {
		l.sim.nextWake = at
		l.network.schedule(at, l, eventTimersDue)
	}
}

// terminate removes a stopped loop from the network: its listeners close and its connections end.
func (l *Loop) terminate() {
	if l.sim.terminated {
		return
	}
	l.sim.terminated = true
	for address, ln := range l.network.listeners {
		if ln.loop == l {
			delete(l.network.listeners, address)
		}
	}
	for _, c := range l.sortedConns() {
		c.closeSimulated()
	}
}

// sortedConns returns the loop's connections in the order in which they were made.
func (l *Loop) sortedConns() []*Conn {
	list := make([]*Conn, 0, len(l.sim.conns))
	for c := range l.sim.conns {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *Conn) int { return cmp.Compare(a.sim.id, b.sim.id) })
	return list
}

// Kill ends a simulated loop at once, as the end of its process would: every connection closes and nothing more is
// sent.
func (l *Loop) Kill() {
	l.stopped.Store(true)
	l.terminate()
}

// ResetConnections ends every connection of a simulated loop with ECONNRESET; its listeners stay.
func (l *Loop) ResetConnections() {
	for _, c := range l.sortedConns() {
		c.terminate(unix.ECONNRESET)
	}
	l.network.schedule(l.network.now, l, eventTimersDue)
}

// BlackholeConnections drops all that is sent from now on over the present connections of a simulated loop, either way,
// their end included. New connections are not affected.
func (l *Loop) BlackholeConnections() {
	for c := range l.sim.conns {
		c.sim.blackholed = true
		if peer := c.sim.peer; peer != nil {
			peer.sim.blackholed = true
		}
	}
}

// SetSlowdown adds latency to what a simulated loop sends and receives. With byteByByte, handlers receive one byte at a
// time.
func (l *Loop) SetSlowdown(extraLatency Nanos, byteByByte bool) {
	l.sim.extraLatency, l.sim.byteByByte = extraLatency, byteByByte
}
