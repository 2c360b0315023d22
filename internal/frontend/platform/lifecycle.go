package platform

import (
	"net/http"

	"docksail/internal/decide/clientconn"
	"docksail/internal/eventloop"
)

// lifecycle is the state of a connection, and the time that it has in it.
type lifecycle struct {
	state      clientconn.ConnState
	stateSince eventloop.Nanos
	heapIndex  int // in the heap of its state
	timer      eventloop.Timer
	onTimer    func(eventloop.Nanos)

	// While the connection lingers: output that was queued when it was looked at last, when the client was last seen to
	// have read some, and input that was discarded.
	unsentBytes    int
	lastReadAt     eventloop.Nanos
	discardedBytes int64
}

// setState records the transition to a state and starts its timer. The time is the loop's, as an event of a server may
// have brought the transition about.
func (c *conn) setState(state clientconn.ConnState) {
	c.now = c.server.loop.Now()
	life := &c.lifecycle
	if heap := c.server.heapOf(life.state); heap != nil {
		heap.Remove(c)
	}
	// The time of a first request runs from when its client connected.
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

// stateTimedOut ends a connection that has been in its state for too long.
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
		c.transport.Close()
	}
}

// enterNextState moves the connection to the state that follows when no request of it is in flight.
func (c *conn) enterNextState() {
	listenerClosed := c.server.phase >= phaseListenerClosed
	unread := listenerClosed && (c.pipelinedBytes() > 0 || !c.transport.InputEmpty())
	next := clientconn.NextState(clientconn.AnswerEnd{
		CloseAnnounced: c.response.closeAfter, ListenerClosed: listenerClosed, HasUnreadInput: unread,
	})
	c.setState(next)
	if next == clientconn.StateLingering {
		c.transport.CloseWriteAfterFlush()
		c.transport.SetReadPaused(false)
	}
}

// mayKeepLingering reports whether the client still reads its last response.
func (c *conn) mayKeepLingering() bool {
	life := &c.lifecycle
	queued := c.transport.QueuedBytes()
	if queued < life.unsentBytes {
		life.unsentBytes, life.lastReadAt = queued, c.now
	}
	return clientconn.MayKeepLingering(c.now, life.stateSince, life.lastReadAt, queued)
}

// discard counts input of a lingering connection, which nobody reads, and closes the connection if it is too much.
func (c *conn) discard(n int) {
	c.lifecycle.discardedBytes += int64(n)
	if c.lifecycle.discardedBytes > clientconn.MaxDiscardBytes {
		c.transport.Close()
	}
}
