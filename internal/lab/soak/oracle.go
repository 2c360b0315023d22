package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits are the times that the oracle judges by.
type Limits struct {
	ReleaseTime        time.Duration // the release time of the settings
	HoldTolerance      time.Duration // how much longer than ReleaseTime a state may be held
	LateStartTolerance time.Duration // how long after its client has left an attempt may start
	// OverlapTolerance is how long before the end of the previous attempt is seen an attempt may arrive: the two pass
	// different sockets.
	OverlapTolerance time.Duration
}

// DefaultLimits returns the platform's limits, with tolerances for processes that wait for a core where the order of
// events on two sockets is judged.
func DefaultLimits(release time.Duration) Limits {
	const tolerance = 300 * time.Millisecond
	return Limits{
		ReleaseTime: release, HoldTolerance: tolerance, LateStartTolerance: tolerance, OverlapTolerance: tolerance,
	}
}

// maxAnswerTransit is how long an answer may take to its dispatcher. The time that a state may be held counts from the
// end of the prefill, or from this long before its answer was forwarded, whichever is later.
const maxAnswerTransit = Instant(100 * time.Millisecond)

// Oracle records what servers, proxies and clients report of each request, and judges the rules by it: a state is held
// no longer than the limits allow, one attempt of a request is in flight at a time, no attempt starts after the
// client has left, and each client gets its answer. Its methods may be called from several goroutines.
type Oracle struct {
	limits Limits
	began  Instant

	mu         sync.Mutex
	requests   map[string]*requestRecord // by request ID
	started    map[ConnID]startedAttempt // the last one of each connection
	violations []violation

	// ReleasesRemoveAwaitedStates makes a release remove a state even while a decode attempt waits for it. The platform
	// does not specify whether servers do so.
	ReleasesRemoveAwaitedStates bool
	PrefillsCompleted           int // prefills that left a state
	ReleasesReceived            int // releases that reached a server
}

// violation is a broken rule.
type violation struct {
	at        Instant // when it was seen
	requestID string
	text      string
}

// startedAttempt is an attempt whose first byte has left a dispatcher.
type startedAttempt struct {
	requestID string
	closed    Instant // the dispatcher closed the connection; 0 = not yet
}

// NewOracle returns an oracle that knows no request yet.
func NewOracle(limits Limits) *Oracle {
	return &Oracle{
		limits: limits, began: Now(), requests: map[string]*requestRecord{}, started: map[ConnID]startedAttempt{},
	}
}

// RequestSent records that a client has sent a request to a dispatcher.
func (o *Oracle) RequestSent(at Instant, id, dispatcher string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	r.dispatcher = dispatcher
	r.addTrace(o.began, at, "sent to %s", dispatcher)
}

// ClientCanceled records that the request's client has closed its connection.
func (o *Oracle) ClientCanceled(at Instant, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	r.clientCanceled = at
	r.addTrace(o.began, at, "client left")
}

// Note adds a line to the request's trace.
func (o *Oracle) Note(at Instant, id, text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.request(id).addTrace(o.began, at, "%s", text)
}

// AnswerMissing records as a violation that a client did not get an answer to its request.
func (o *Oracle) AnswerMissing(id, reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation(id, "lost: %s", reason)
}

// DispatcherKilled records that a dispatcher's process was killed at that time. Its requests are excused from then on,
// and violations of them seen since are dropped.
func (o *Oracle) DispatcherKilled(at Instant, dispatcher string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.requests {
		if r.dispatcher == dispatcher {
			r.excused = true
			r.addTrace(o.began, at, "%s killed", dispatcher)
		}
	}
	o.violations = slices.DeleteFunc(o.violations, func(v violation) bool {
		return v.at >= at && o.requests[v.requestID].dispatcher == dispatcher
	})
}

// AttemptStarted records that the first byte of an attempt has left a dispatcher.
func (o *Oracle) AttemptStarted(at Instant, id string, conn ConnID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started[conn] = startedAttempt{requestID: id}
	r := o.request(id)
	r.addTrace(o.began, at, "begun to %s:%d", conn.Server, conn.Port)
	if r.clientCanceled == 0 {
		return
	}
	if late := at.Sub(r.clientCanceled); late > o.limits.LateStartTolerance {
		o.addViolation(id, "lost: an attempt began %v after its client had left", late)
	}
}

// ConnClosed records that a dispatcher has closed a connection, or its sending side.
func (o *Oracle) ConnClosed(at Instant, conn ConnID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.started[conn]
	if !ok || s.closed > 0 {
		return
	}
	s.closed = at
	o.started[conn] = s
	r := o.request(s.requestID)
	r.addTrace(o.began, at, "closed by the dispatcher, %s:%d", conn.Server, conn.Port)
	if t := r.attempts[conn]; t != nil {
		r.update(at, t, func() { t.closed = at })
	}
}

// ResponseForwarded records that bytes from a server were forwarded to the dispatcher.
func (o *Oracle) ResponseForwarded(at Instant, conn ConnID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	s, ok := o.started[conn]
	if !ok {
		return
	}
	r := o.request(s.requestID)
	t := r.attempts[conn]
	if t == nil || t.answered > 0 || t.isPrefill && t.finished == 0 {
		return
	}
	r.addTrace(o.began, at, "answer of %s:%d passed on", conn.Server, conn.Port)
	r.update(max(t.finished, at-maxAnswerTransit), t, func() { t.answered = at })
}

// AttemptReceived records that a server has received an attempt completely.
func (o *Oracle) AttemptReceived(at Instant, id string, isPrefill bool, conn ConnID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	r.addTrace(o.began, at, "arrived at %s:%d", conn.Server, conn.Port)
	o.judgeHeldStates(at, id, "an attempt")
	received := &attempt{isPrefill: isPrefill}
	if s := o.started[conn]; s.requestID == id { // the dispatcher may have closed the connection before
		received.closed = s.closed
	}
	for otherConn, other := range r.attempts {
		if other.finished == 0 && other.closed == 0 && received.closed == 0 && otherConn != conn {
			go o.judgeOverlap(id, otherConn, other)
		}
	}
	r.attempts[conn] = received
}

// PrefillFinished records that a prefill has ended at its server, which holds the state from now on.
func (o *Oracle) PrefillFinished(at Instant, id string, conn ConnID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	r.addTrace(o.began, at, "read at %s:%d", conn.Server, conn.Port)
	o.PrefillsCompleted++
	r.heldStates[conn.Server] = at
	r.finish(at, conn)
}

// AttemptFinished records that a server is done with an attempt.
func (o *Oracle) AttemptFinished(at Instant, id string, conn ConnID, outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	r.addTrace(o.began, at, "over at %s:%d, %s", conn.Server, conn.Port, outcome)
	r.finish(at, conn)
}

// FetchState records that a decode server fetches the state of a request. It reports whether there was one.
func (o *Oracle) FetchState(at Instant, id string, conn ConnID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	found := len(r.heldStates) > 0
	r.addTrace(o.began, at, "fetched by %s:%d: %v", conn.Server, conn.Port, found)
	clear(r.heldStates)
	return found
}

// ReleaseReceived records that a release has reached a server. A state that an attempt waits for stays, unless
// ReleasesAlwaysTakeState is set.
func (o *Oracle) ReleaseReceived(at Instant, id, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	o.ReleasesReceived++
	r.addTrace(o.began, at, "release at %s", server)
	if r.hasWaitingDecode() && !o.ReleasesRemoveAwaitedStates {
		return
	}
	o.judgeHeldStates(at, id, "a release")
	clear(r.heldStates)
}

// ServerStopped records that a server's process has ended, with all states that it held.
func (o *Oracle) ServerStopped(at Instant, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, r := range o.requests {
		if _, held := r.heldStates[server]; held {
			o.judgeHeldStates(at, id, "its server died")
			delete(r.heldStates, server)
		}
		for conn, t := range r.attempts {
			if conn.Server == server && t.inFlight() {
				r.update(at, t, func() { t.finished, t.answered = at, at })
				r.addTrace(o.began, at, "%s died", server)
			}
		}
	}
}

// Check judges the states that are still held and returns the texts of all violations so far.
func (o *Oracle) Check(at Instant) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.requests {
		o.judgeHeldStates(at, id, "the end of the run")
	}
	var texts []string
	for _, v := range o.violations {
		texts = append(texts, v.text)
	}
	return texts
}

// HeldRequests returns the IDs, sorted, of the requests for which a state is held. Only tests that script a fault
// call it.
func (o *Oracle) HeldRequests() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []string
	for id, r := range o.requests {
		if len(r.heldStates) > 0 && !r.excused {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Trace returns what was recorded of a request, one event a line. Only tests that script a fault call it.
func (o *Oracle) Trace(id string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Join(o.request(id).trace, "\n")
}

// request returns the record of a request, a new one if there is none. The oracle is locked.
func (o *Oracle) request(id string) *requestRecord {
	r := o.requests[id]
	if r == nil {
		r = newRequestRecord()
		o.requests[id] = r
	}
	return r
}

// addViolation records a violation with the request's trace so far. The oracle is locked.
func (o *Oracle) addViolation(id, format string, args ...any) {
	r := o.request(id)
	if r.excused {
		return
	}
	text := fmt.Sprintf("%s: request %s of %s\n    %s",
		fmt.Sprintf(format, args...), id, r.dispatcher, strings.Join(r.trace, "\n    "))
	o.violations = append(o.violations, violation{Now(), id, text})
}

// judgeHeldStates records a violation for each state of the request that has been held for too long when an event
// happens to the request. The oracle is locked.
func (o *Oracle) judgeHeldStates(at Instant, id, event string) {
	r := o.request(id)
	if r.hasAttemptInFlight() {
		return
	}
	for server, since := range r.heldStates {
		since = max(since, r.lastFinished)
		if held := at.Sub(since); held > o.limits.ReleaseTime+o.limits.HoldTolerance {
			o.addViolation(id, "held: a state at %s for %v, then %s", server, held.Round(time.Millisecond), event)
			delete(r.heldStates, server)
		}
	}
}

// judgeOverlap waits for the end of an attempt that was in flight as another arrived, and records a violation if it
// does not come in time.
func (o *Oracle) judgeOverlap(id string, conn ConnID, first *attempt) {
	time.Sleep(o.limits.OverlapTolerance)
	o.mu.Lock()
	defer o.mu.Unlock()
	if first.closed == 0 && first.finished == 0 {
		o.addViolation(id, "duplicate: an attempt arrived while the one at %s was out", conn.Server)
	}
}
