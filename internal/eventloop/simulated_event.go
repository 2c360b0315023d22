package eventloop

import "docksail/internal/indexedheap"

// eventKind is the kind of an event.
type eventKind uint8

const (
	eventTimersDue    eventKind = iota // a timer is due, or the loop must iterate again
	eventCall                          // the loop must call callback
	eventDial                          // conn, of another loop, dials this loop's listener
	eventDialAccepted                  // conn's dial was accepted
	eventDialRefused                   // conn's dial was refused
	eventData                          // data has arrived for conn
	eventPeerClosed                    // conn's peer has closed its sending side or the connection
	eventPeerRead                      // conn's peer has read bytes, so that conn may write again
)

// noLoop is the value of event.fromLoop for an event that no other loop has sent.
const noLoop = -1

// event is a scheduled event of a simulated loop.
type event struct {
	at        Nanos
	sequence  uint64 // order of scheduling, for events at the same time
	kind      eventKind
	loop      *Loop
	conn      *Conn
	fromLoop  int // id of the loop that sent the event, or noLoop
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

// schedule adds an event for a loop at a time, or now if that time is past. The caller sets the other fields that the
// kind requires.
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

// scheduleFrom adds an event about conn that the loop from sends to the loop to. A partition between the two loops
// delays it.
func (sn *SimulatedNetwork) scheduleFrom(from *Loop, at Nanos, kind eventKind, to *Loop, conn *Conn) *event {
	e := sn.schedule(at, to, kind)
	e.conn, e.fromLoop = conn, from.sim.id
	return e
}

// handleSimulatedEvent handles an event of the loop.
func (l *Loop) handleSimulatedEvent(e *event) {
	if l.sim.terminated {
		if e.kind == eventDial && e.conn.fd >= 0 {
			l.refuseDial(e.conn)
		}
		return
	}
	switch e.kind {
	case eventTimersDue: // finishIteration calls the timers
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
