package eventloop

import "docksail/internal/indexedheap"

// eventKind says what an event does to its loop.
type eventKind uint8

const (
	eventTimersDue    eventKind = iota // a timer is due, or the loop has to iterate again
	eventCall                          // callback is to be called
	eventDial                          // conn, of another loop, dials this loop's listener
	eventDialAccepted                  // conn's dial was accepted
	eventDialRefused                   // conn's dial was refused
	eventData                          // data has arrived for conn
	eventPeerClosed                    // conn's peer has closed its half or the connection
	eventPeerRead                      // conn's peer has read bytes, so that conn may write again
)

// noLoop is the fromLoop of an event that comes from no other loop.
const noLoop = -1

// event is something that happens to a simulated loop at a time.
type event struct {
	at        Nanos
	sequence  uint64 // order of scheduling, for events at the same time
	kind      eventKind
	loop      *Loop
	conn      *Conn
	fromLoop  int // id of the loop that it comes from, or noLoop
	data      []byte
	callback  func()
	heapIndex int // index in SimulatedNetwork.events plus 1; 0 = not queued
}

func newEventHeap() indexedheap.Heap[*event] {
	return indexedheap.Heap[*event]{
		Index: func(e *event) *int { return &e.heapIndex },
		Less:  func(a, b *event) bool { return a.at < b.at || a.at == b.at && a.sequence < b.sequence },
	}
}

// schedule adds an event of a loop at a time, or now if that is past. The caller sets what its kind needs beyond that.
func (sn *SimulatedNetwork) schedule(at Nanos, l *Loop, kind eventKind) *event {
	var e *event
	if n := len(sn.freeEvents); n > 0 {
		e, sn.freeEvents = sn.freeEvents[n-1], sn.freeEvents[:n-1]
	} else {
		e = new(event)
	}
	sn.lastSequence++
	*e = event{
		at:       max(at, sn.now),
		sequence: sn.lastSequence,
		kind:     kind,
		loop:     l,
		fromLoop: noLoop,
		data:     e.data[:0],
	}
	sn.events.PushOrFix(e)
	return e
}

// scheduleFrom adds an event of loop to about conn that comes from another loop, so that a partition between the two
// holds it back.
func (sn *SimulatedNetwork) scheduleFrom(from *Loop, at Nanos, kind eventKind, to *Loop, conn *Conn) *event {
	e := sn.schedule(at, to, kind)
	e.conn, e.fromLoop = conn, from.sim.id
	return e
}

// handleSimulatedEvent carries out an event of the loop.
func (l *Loop) handleSimulatedEvent(e *event) {
	if l.sim.terminated {
		if e.kind == eventDial && e.conn.fd >= 0 {
			l.refuseDial(e.conn)
		}
		return
	}
	switch e.kind {
	case eventTimersDue: // the iteration that follows calls the timers
	case eventCall:
		e.callback()
	case eventDial:
		l.acceptSimulated(e.conn)
	case eventDialAccepted:
		e.conn.handleDialAccepted()
	case eventDialRefused:
		e.conn.handleDialRefused()
	case eventData:
		e.conn.handleData(e.data)
	case eventPeerClosed:
		e.conn.handlePeerClosed()
	case eventPeerRead:
		e.conn.handlePeerRead()
	}
}
