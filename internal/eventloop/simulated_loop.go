package eventloop

import (
	"cmp"
	"net/netip"
	"slices"

	"golang.org/x/sys/unix"
)

// noWake is the value of nextWake while no eventTimersDue is scheduled.
const noWake = Nanos(1) << 62

// simulatedLoop is the additional state of a Loop on a SimulatedNetwork.
type simulatedLoop struct {
	id           int // from 1, in order of creation
	addr         netip.Addr
	onIteration  func(now Nanos)
	nextWake     Nanos // time of the earliest scheduled eventTimersDue, or noWake
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

// finishIteration does what Run does in an iteration after its events have been handled.
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

// scheduleWake schedules an iteration for the loop's first timer, or an immediate one if there is work left.
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

// terminate removes a stopped loop from the network and closes its listeners and connections.
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

// sortedConns returns the loop's connections in order of creation.
func (l *Loop) sortedConns() []*Conn {
	list := make([]*Conn, 0, len(l.sim.conns))
	for c := range l.sim.conns {
		list = append(list, c)
	}
	slices.SortFunc(list, func(a, b *Conn) int { return cmp.Compare(a.sim.id, b.sim.id) })
	return list
}

// Kill ends a simulated loop at once, as a crash of its process would: all connections are closed and no queued output
// is sent.
func (l *Loop) Kill() {
	l.stopped.Store(true)
	l.terminate()
}

// ResetConnections closes all connections of a simulated loop with ECONNRESET. Its listeners stay open.
func (l *Loop) ResetConnections() {
	for _, c := range l.sortedConns() {
		c.terminate(unix.ECONNRESET)
	}
	l.network.schedule(l.network.now, l, eventTimersDue)
}

// BlackholeConnections drops everything that is sent from now on over the present connections of a simulated loop, in
// both directions and including their close. New connections are not affected.
func (l *Loop) BlackholeConnections() {
	for c := range l.sim.conns {
		c.sim.blackholed = true
		if peer := c.sim.peer; peer != nil {
			peer.sim.blackholed = true
		}
	}
}

// SetSlowdown adds latency to everything that a simulated loop sends and receives. With byteByByte, the handlers at
// both ends of its connections receive one byte at a time.
func (l *Loop) SetSlowdown(extraLatency Nanos, byteByByte bool) {
	l.sim.extraLatency, l.sim.byteByByte = extraLatency, byteByByte
}
