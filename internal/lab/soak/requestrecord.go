package soak

import "fmt"

// ConnID identifies a connection between a proxy and a server.
type ConnID struct {
	Server string
	Port   int // the proxy's local port
}

// attempt is the record of an attempt that a server has received completely.
type attempt struct {
	isPrefill bool
	closed    Instant // when the dispatcher closed its connection; 0 = not yet
	finished  Instant // when the server finished it; 0 = not yet
	answered  Instant // when its answer was forwarded to the dispatcher; 0 = not yet
}

// inFlight reports whether the attempt is in flight: until the dispatcher has received the answer or closed the
// connection. An answer that a network fault holds back has not been received. A decode attempt whose connection was
// closed stays in flight until its server detects that, because the server waits for the state until then.
func (t *attempt) inFlight() bool {
	dispatcherKnows := t.closed > 0 || t.finished > 0 && t.answered > 0
	return !dispatcherKnows || !t.isPrefill && t.finished == 0
}

// requestRecord holds what servers, proxies and clients have reported about one request.
type requestRecord struct {
	dispatcher     string
	exempt         bool    // whether its dispatcher was killed: no invariant applies to it
	complete       Instant // when its client had written its last byte; 0 = not yet
	clientCanceled Instant // 0 = it has not
	attempts       map[ConnID]*attempt
	lastFinished   Instant            // when the last attempt ceased to be in flight
	heldStates     map[string]Instant // by server: since when it holds the state
	trace          []string
}

func newRequestRecord() *requestRecord {
	return &requestRecord{attempts: map[ConnID]*attempt{}, heldStates: map[string]Instant{}}
}

// addTrace adds a line to the trace that starts with the time from since to at.
func (r *requestRecord) addTrace(since, at Instant, format string, args ...any) {
	r.trace = append(r.trace, fmt.Sprintf("%.3f ", at.Sub(since).Seconds())+fmt.Sprintf(format, args...))
}

// update applies a change to an attempt. If the change ends the time in flight, the time for which a state may be held
// counts from at.
func (r *requestRecord) update(at Instant, t *attempt, change func()) {
	wasInFlight := t.inFlight()
	change()
	if wasInFlight && !t.inFlight() {
		r.lastFinished = max(r.lastFinished, at)
	}
}

// finish records that the server has finished the attempt on a connection.
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

// hasWaitingDecode reports whether a server has an unfinished decode attempt, for which it may still fetch the state.
func (r *requestRecord) hasWaitingDecode() bool {
	for _, t := range r.attempts {
		if !t.isPrefill && t.finished == 0 {
			return true
		}
	}
	return false
}
