package soak

import "fmt"

// ConnID names a connection between a proxy and a server.
type ConnID struct {
	Server string
	Port   int // the proxy's local port
}

// attempt is an attempt that a server has received completely.
type attempt struct {
	isPrefill bool
	closed    Instant // the dispatcher ended its connection; 0 = not yet
	finished  Instant // the server was done with it; 0 = not yet
	answered  Instant // its answer was forwarded to the dispatcher; 0 = not yet
}

// inFlight reports whether the attempt is in flight. The dispatcher waits for it until it has the answer or closes the
// connection: an answer that the network holds back does not count. A decode attempt whose connection was closed
// stays in flight until its server notices, because the server keeps waiting for the state until then.
func (t *attempt) inFlight() bool {
	dispatcherKnows := t.closed > 0 || t.finished > 0 && t.answered > 0
	return !dispatcherKnows || !t.isPrefill && t.finished == 0
}

// requestRecord is what the servers and clients have reported about one request.
type requestRecord struct {
	dispatcher     string
	excused        bool    // its dispatcher was killed: no rule applies any more
	clientCanceled Instant // 0 = not
	attempts       map[ConnID]*attempt
	lastFinished   Instant            // when the last of its attempts ceased to be in flight
	heldStates     map[string]Instant // by server, since when
	trace          []string
}

func newRequestRecord() *requestRecord {
	return &requestRecord{attempts: map[ConnID]*attempt{}, heldStates: map[string]Instant{}}
}

// addTrace adds a line to the trace, with the time since the oracle began.
func (r *requestRecord) addTrace(since, at Instant, format string, args ...any) {
	r.trace = append(r.trace, fmt.Sprintf("%.3f ", at.Sub(since).Seconds())+fmt.Sprintf(format, args...))
}

// update applies a change to an attempt. If the attempt is no longer in flight after it, the time that a state may be
// held counts from at.
func (r *requestRecord) update(at Instant, t *attempt, change func()) {
	wasInFlight := t.inFlight()
	change()
	if wasInFlight && !t.inFlight() {
		r.lastFinished = max(r.lastFinished, at)
	}
}

// finish records that the server is done with the attempt on a connection.
func (r *requestRecord) finish(at Instant, conn ConnID) {
	if t := r.attempts[conn]; t != nil && t.finished == 0 {
		r.update(at, t, func() { t.finished = at })
	}
}

// hasAttemptInFlight reports whether one of the request's attempts is in flight.
func (r *requestRecord) hasAttemptInFlight() bool {
	for _, t := range r.attempts {
		if t.inFlight() {
			return true
		}
	}
	return false
}

// hasWaitingDecode reports whether a decode attempt is at its server, which may still fetch the state.
func (r *requestRecord) hasWaitingDecode() bool {
	for _, t := range r.attempts {
		if !t.isPrefill && t.finished == 0 {
			return true
		}
	}
	return false
}
