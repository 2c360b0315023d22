package platform

import (
	"net/http"

	"docksail/internal/decide/clientconn"
	"docksail/internal/eventloop"
)

// lifecycle is the state of a connection and the timer that bounds the time in that state.
type lifecycle struct {
	state      clientconn.ConnState
	stateSince eventloop.Nanos
	heapIndex  int // in the heap of its state
	timer      eventloop.Timer
	onTimer    func(eventloop.Nanos) // conn.stateTimedOut

	// While the connection lingers: the output queued at the last check, the time of the last check at which the client
	// had read some of it, and the input discarded so far.
	unsentBytes    int
	lastReadAt     eventloop.Nanos
	discardedBytes int64
}

// setState enters a state and starts its timer. It takes the time from the loop, as c.now is out of date if the event
// of a server caused the transition.
func (c *conn) setState(state clientconn.ConnState) {
	c.now = c.server.loop.Now()
	life := &c.lifecycle
	if heap := c.server.heapOf(life.state); heap != nil {
		heap.Remove(c)
	}
	// The timeout of a connection's first request runs from the time of connecting.
	if life.state != clientconn.StateNew || state != clientconn.StateReadingRequest {
		life.stateSince = c.now
	}
	life.state = state
	life.unsentBytes, life.lastReadAt = c.transport.QueuedBytes(), c.now
	if heap := c.server.heapOf(state); heap != nil {
		heap.PushOrFix(c)
	}
	if deadline := clientconn.StateDeadline(state, life.stateSince); deadline > 0 {
		c.server.loop.SetTimer(&life.timer, max(deadline, c.now+1), life.onTimer)
	} else {
		c.server.loop.CancelTimer(&life.timer)
	}
}

// stateTimedOut ends a connection whose time in its state is over, unless its input has arrived but is not read yet or
// its client still reads the last response.
func (c *conn) stateTimedOut(now eventloop.Nanos) {
	c.now = now
	state, timer := c.lifecycle.state, &c.lifecycle.timer
	switch {
	case state == clientconn.StateReadingRequest:
		c.rejectInvalid(http.StatusRequestTimeout, "the request did not come in time")
	case state == clientconn.StateIdle:
		c.response.closeAfter = true
		c.enterNextState()
	case state == clientconn.StateNew && !c.transport.InputEmpty():
		c.server.loop.SetTimer(timer, now+clientconn.UnreadRecheckDelay, c.lifecycle.onTimer)
	case state == clientconn.StateLingering && c.mayKeepLingering():
		deadline := clientconn.StateDeadline(clientconn.StateLingering, now)
		c.server.loop.SetTimer(timer, deadline, c.lifecycle.onTimer)
	default:
		c.server.logEvent(c, "connection closed", "its time in the state is over")
		c.transport.Close()
	}
}

// enterNextState enters the state that follows when no request is in flight on the connection.
func (c *conn) enterNextState() {
	listenerClosed := c.server.phase >= phaseListenerClosed
	unread := listenerClosed && (c.hasPipelinedInput() || !c.transport.InputEmpty())
	next := clientconn.NextState(clientconn.AnswerEnd{
		CloseAnnounced: c.response.closeAfter, ListenerClosed: listenerClosed, HasUnreadInput: unread,
	})
	c.setState(next)
	if next == clientconn.StateLingering {
		c.dropInput()
		c.transport.CloseWriteAfterFlush()
		c.transport.SetReadPaused(false)
	}
}

// mayKeepLingering reports whether the connection stays open because the client still reads its last response.
func (c *conn) mayKeepLingering() bool {
	life := &c.lifecycle
	queued := c.transport.QueuedBytes()
	if queued < life.unsentBytes {
		life.unsentBytes, life.lastReadAt = queued, c.now
	}
	return clientconn.MayKeepLingering(c.now, life.stateSince, life.lastReadAt, queued)
}

// discard counts n bytes of discarded input of a lingering connection. It closes the connection if there are too many.
func (c *conn) discard(n int) {
	c.lifecycle.discardedBytes += int64(n)
	if c.lifecycle.discardedBytes > clientconn.MaxDiscardBytes {
		c.transport.Close()
	}
}
