package eventloop

import (
	"net/netip"

	"docksail/internal/indexedheap"
)

// firstEphemeralPort is the port below the first one that a listener on port 0 is given.
const firstEphemeralPort = 1024

// SimulatedNetwork runs loops in simulated time. Their sockets are pipes in memory with a fixed latency, their clock is
// the network's, and one goroutine runs them all. Equal calls give equal runs.
type SimulatedNetwork struct {
	// Latency is how long bytes travel between two loops. It is set before the first loop is made.
	Latency Nanos
	// NewTap, if not nil, is called for each connection that is dialed. If it returns a Tap, that sees what passes on
	// the dialer's side.
	NewTap func(from *Loop, address netip.AddrPort) Tap
	// Iterations counts the iterations of all loops.
	Iterations uint64

	now             Nanos
	originUnixNanos int64
	loopCount       int
	listeners       map[netip.AddrPort]*Listener
	lastPort        uint16

	events       indexedheap.Heap[*event] // by time, then by sequence
	freeEvents   []*event
	lastSequence uint64 // of events and of connections

	partitions map[loopPair]bool
	heldEvents []*event // events that came to a partition, until it heals
}

// Tap observes one connection on its dialer's side.
type Tap interface {
	// Sent passes bytes that the dialer has sent.
	Sent(p []byte)
	// Received passes bytes that have reached the dialer.
	Received(p []byte)
	// Closed reports the end of the connection.
	Closed()
}

// loopPair holds the ids of two loops, the smaller one first.
type loopPair [2]int

func newLoopPair(a, b int) loopPair { return loopPair{min(a, b), max(a, b)} }

// NewSimulatedNetwork returns a network whose clock reads 0 at the given wall-clock time.
func NewSimulatedNetwork(originUnixNanos int64, latency Nanos) *SimulatedNetwork {
	return &SimulatedNetwork{
		Latency:         latency,
		originUnixNanos: originUnixNanos,
		listeners:       map[netip.AddrPort]*Listener{},
		lastPort:        firstEphemeralPort,
		events:          newEventHeap(),
		partitions:      map[loopPair]bool{},
	}
}

// Now returns the time of the network's clock.
func (sn *SimulatedNetwork) Now() Nanos { return sn.now }

// UnixNanos returns the wall-clock time of Now, in Unix nanoseconds.
func (sn *SimulatedNetwork) UnixNanos() int64 { return sn.originUnixNanos + sn.now }

// RunUntil runs the loops until the clock reaches a time or no event is left. The clock then reads that time.
func (sn *SimulatedNetwork) RunUntil(end Nanos) {
	for sn.events.Len() > 0 && sn.events.Min().at <= end {
		first := sn.events.Min()
		sn.now = max(sn.now, first.at)
		sn.runIteration(first.loop)
	}
	sn.now = max(sn.now, end)
}

// runIteration runs one iteration of a loop with all events that are due for it now and come before those of another
// loop, as epoll would report them.
func (sn *SimulatedNetwork) runIteration(l *Loop) {
	l.now = sn.now
	for sn.events.Len() > 0 {
		e := sn.events.Min()
		if e.at > sn.now || e.loop != l {
			break
		}
		sn.events.Remove(e)
		if sn.crossesPartition(e) {
			sn.heldEvents = append(sn.heldEvents, e)
			continue
		}
		l.handleSimulatedEvent(e)
		sn.freeEvents = append(sn.freeEvents, e)
	}
	sn.Iterations++
	l.finishIteration()
}

// SetPartitioned begins or ends a network partition between two loops: nothing passes either way. What was sent
// meanwhile arrives when the partition ends.
func (sn *SimulatedNetwork) SetPartitioned(a, b *Loop, partitioned bool) {
	pair := newLoopPair(a.sim.id, b.sim.id)
	if partitioned {
		sn.partitions[pair] = true
		return
	}
	delete(sn.partitions, pair)
	held := sn.heldEvents
	sn.heldEvents = nil
	for _, e := range held {
		e.at = max(e.at, sn.now)
		if sn.crossesPartition(e) {
			sn.heldEvents = append(sn.heldEvents, e)
		} else {
			sn.events.PushOrFix(e)
		}
	}
}

// crossesPartition reports whether an event comes from a loop that is partitioned from its own.
func (sn *SimulatedNetwork) crossesPartition(e *event) bool {
	return e.fromLoop > 0 && len(sn.partitions) > 0 && sn.partitions[newLoopPair(e.fromLoop, e.loop.sim.id)]
}
