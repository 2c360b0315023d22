package eventloop

import (
	"net/netip"

	"docksail/internal/indexedheap"
)

// ephemeralPortBase is one less than the first port that is assigned to a listener on port 0.
const ephemeralPortBase = 1024

// SimulatedNetwork runs loops in simulated time. Their sockets are in-memory pipes with a fixed latency, their clock is
// the network's, and one goroutine runs them all. Runs are deterministic.
type SimulatedNetwork struct {
	// Latency is the one-way latency between two loops. It must not change once there is a loop.
	Latency Nanos
	// NewTap, if not nil, is called for each connection that is dialed. If it returns a Tap, the Tap observes the bytes
	// on the dialer's side of the connection.
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
	lastSequence uint64 // last number given to an event or a connection

	partitions map[loopPair]bool
	heldEvents []*event // events delayed until a partition ends
}

// Tap observes one connection on its dialer's side.
type Tap interface {
	// Sent passes bytes that the dialer has sent.
	Sent(p []byte)
	// Received passes bytes that the dialer has received.
	Received(p []byte)
	// Closed reports that the dialer's side is closed.
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
		lastPort:        ephemeralPortBase,
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

// runIteration runs one iteration of a loop. It handles the due events of the loop up to the first event of another
// loop.
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

// SetPartitioned starts or ends a network partition between two loops. Everything that would arrive during the
// partition, in either direction, arrives when the partition ends.
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

// crossesPartition reports whether an event was sent by a loop that is partitioned from the event's own loop.
func (sn *SimulatedNetwork) crossesPartition(e *event) bool {
	return e.fromLoop > 0 && len(sn.partitions) > 0 && sn.partitions[newLoopPair(e.fromLoop, e.loop.sim.id)]
}
