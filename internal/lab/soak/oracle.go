package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Limits are the time limits that the oracle checks.
type Limits struct {
	ReleaseTime        time.Duration // release time in the dispatchers' settings
	HoldTolerance      time.Duration // by which a state may be held for longer than ReleaseTime
	LateStartTolerance time.Duration // longest time from a client's cancellation to the start of an attempt
	// OverlapTolerance is the longest time for which two attempts of a request may appear to be in flight. The end of
	// one and the arrival of the next pass different sockets.
	OverlapTolerance time.Duration
}

// DefaultLimits returns the platform's limits, with tolerances for processes that wait for a core between events on
// different sockets.
func DefaultLimits(release time.Duration) Limits {
	const tolerance = 300 * time.Millisecond
	return Limits{
		ReleaseTime: release, HoldTolerance: tolerance, LateStartTolerance: tolerance, OverlapTolerance: tolerance,
	}
}

// maxAnswerTransit is the time that an answer may take to its dispatcher. The time for which a state is held counts
// from the end of the prefill or from this long before its answer was forwarded, whichever is later.
const maxAnswerTransit = Instant(100 * time.Millisecond)

// Oracle records what servers, proxies and clients report about each request and checks the invariants: a state is
// held no longer than the limits allow, one attempt of a request is in flight at a time, no attempt starts after the
// client has canceled, and each client gets its answer. It is safe for concurrent use.
type Oracle struct {
	limits Limits
	epoch  Instant

	mu         sync.Mutex
	requests   map[string]*requestRecord // by request ID
	unanswered map[string]string         // reasons of missing answers that are excused if the request was never read
	started    map[ConnID]startedAttempt // last attempt on each connection
	violations []violation
	groups     map[string]*requestGroup // by the first groupIDBytes of the IDs of their requests

	// ReleasesRemoveAwaitedStates makes a release remove a state even while a decode attempt waits for it. The platform
	// does not specify whether servers do so.
	ReleasesRemoveAwaitedStates bool
	PrefillsCompleted           int // prefills that left a state
	ReleasesReceived            int // releases that reached a server
}

// violation is one violation of an invariant.
type violation struct {
	at        Instant // when it was detected
	requestID string
	text      string
}

// startedAttempt is an attempt whose first byte has left a dispatcher.
type startedAttempt struct {
	requestID string
	closed    Instant // the dispatcher closed the connection; 0 = not yet
}

// requestGroup is a group of requests whose clients do not report each of them.
type requestGroup struct {
	dispatcher string
	killed     bool // the dispatcher's process that the group was sent to was killed
}

// groupIDBytes is the length of the beginning that the IDs of all requests of a group share.
const groupIDBytes = 6

// RegisterGroup records that all requests whose IDs begin with prefix are sent to one process of a dispatcher.
func (o *Oracle) RegisterGroup(prefix, dispatcher string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.groups[prefix] = &requestGroup{dispatcher: dispatcher}
}

// NewOracle returns an oracle without any requests.
func NewOracle(limits Limits) *Oracle {
	return &Oracle{
		limits: limits, epoch: Now(), requests: map[string]*requestRecord{}, started: map[ConnID]startedAttempt{},
		unanswered: map[string]string{}, groups: map[string]*requestGroup{},
	}
}

// RequestSent records that a client has sent a request to a dispatcher.
func (o *Oracle) RequestSent(at Instant, id, dispatcher string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	r.dispatcher = dispatcher
	r.addTrace(o.epoch, at, "sent to %s", dispatcher)
}

// RequestComplete records that a client has written the last byte of a request. Before that no dispatcher has taken it.
func (o *Oracle) RequestComplete(at Instant, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	r.complete = at
	r.addTrace(o.epoch, at, "sent completely")
}

// ClientCanceled records that the client of a request has closed its connection.
func (o *Oracle) ClientCanceled(at Instant, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	r.clientCanceled = at
	r.addTrace(o.epoch, at, "canceled by the client")
}

// Note adds a line to the trace of a request.
func (o *Oracle) Note(at Instant, id, text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.request(id).addTrace(o.epoch, at, "%s", text)
}

// AnswerMissing records the violation that a client did not get an answer to its request.
func (o *Oracle) AnswerMissing(id, reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation(id, "lost: %s", reason)
}

// AnswerMissingUnlessUnread records that a client got no answer to its request because the connection ended. That is a
// violation if the dispatcher had read the request; CheckRead decides it.
func (o *Oracle) AnswerMissingUnlessUnread(id, reason string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.unanswered[id] = reason
}

// CheckRead records a violation for each request that was read, according to the dispatchers' logs, and whose client
// got no answer. It returns how many missing answers it excused, because the requests were never read.
func (o *Oracle) CheckRead(wasRead func(id string) bool) (excused int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, reason := range o.unanswered {
		if wasRead(id) {
			o.addViolation(id, "lost: read and not answered: %s", reason)
		} else {
			excused++
		}
	}
	return excused
}

// StreamTruncated records that the answer to a request ended early. That is a violation if the request was complete
// after rejectionDeadline of its dispatcher's termination: such a request may be rejected, but not begun and cut off.
func (o *Oracle) StreamTruncated(id string, terminatedAt Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	if terminatedAt > 0 && r.complete > terminatedAt+Instant(rejectionDeadline) {
		o.addViolation(id, "lost: a stream that began %v after SIGTERM was cut off", r.complete.Sub(terminatedAt))
	}
}

// DispatcherKilled records that a dispatcher's process was killed at the given time. Of its requests, those that were
// complete at exemptUntil, or never, are exempt from the invariants from now on, and their violations detected since
// the kill are dropped.
func (o *Oracle) DispatcherKilled(at Instant, dispatcher string, exemptUntil Instant) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range o.requests {
		if r.dispatcher == dispatcher && r.complete <= exemptUntil {
			r.exempt = true
			r.addTrace(o.epoch, at, "%s killed", dispatcher)
		}
	}
	for _, group := range o.groups {
		group.killed = group.killed || group.dispatcher == dispatcher
	}
	o.violations = slices.DeleteFunc(o.violations, func(v violation) bool {
		r := o.requests[v.requestID]
		return v.at >= at && r.dispatcher == dispatcher && r.exempt
	})
}

// AttemptStarted records that the first byte of an attempt has left a dispatcher.
func (o *Oracle) AttemptStarted(at Instant, id string, conn ConnID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.started[conn] = startedAttempt{requestID: id}
	r := o.request(id)
	r.addTrace(o.epoch, at, "attempt started to %s:%d", conn.Server, conn.Port)
	if r.clientCanceled == 0 {
		return
	}
	if late := at.Sub(r.clientCanceled); late > o.limits.LateStartTolerance {
		o.addViolation(id, "lost: an attempt started %v after its client had canceled", late)
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
	r.addTrace(o.epoch, at, "connection to %s:%d closed by the dispatcher", conn.Server, conn.Port)
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
	r.addTrace(o.epoch, at, "answer of %s:%d forwarded", conn.Server, conn.Port)
	r.update(max(t.finished, at-maxAnswerTransit), t, func() { t.answered = at })
}

// AttemptReceived records that a server has received an attempt completely.
func (o *Oracle) AttemptReceived(at Instant, id string, isPrefill bool, conn ConnID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	r.addTrace(o.epoch, at, "attempt received by %s:%d", conn.Server, conn.Port)
	o.checkHeldStates(at, id, "an attempt")
	received := &attempt{isPrefill: isPrefill}
	if s := o.started[conn]; s.requestID == id { // the dispatcher may already have closed the connection
		received.closed = s.closed
	}
	for otherConn, other := range r.attempts {
		if other.finished == 0 && other.closed == 0 && received.closed == 0 && otherConn != conn {
			go o.checkOverlap(id, otherConn, other)
		}
	}
	r.attempts[conn] = received
}

// PrefillFinished records that a prefill has ended at its server, which holds the state from now on.
func (o *Oracle) PrefillFinished(at Instant, id string, conn ConnID) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	r.addTrace(o.epoch, at, "prefill finished at %s:%d", conn.Server, conn.Port)
	o.PrefillsCompleted++
	r.heldStates[conn.Server] = at
	r.finish(at, conn)
}

// AttemptFinished records that a server has finished an attempt.
func (o *Oracle) AttemptFinished(at Instant, id string, conn ConnID, outcome string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	r.addTrace(o.epoch, at, "finished at %s:%d: %s", conn.Server, conn.Port, outcome)
	r.finish(at, conn)
}

// FetchState records that a decode server fetches the state of a request. It reports whether a server held one.
func (o *Oracle) FetchState(at Instant, id string, conn ConnID) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	found := len(r.heldStates) > 0
	r.addTrace(o.epoch, at, "state fetch by %s:%d: found %v", conn.Server, conn.Port, found)
	clear(r.heldStates)
	return found
}

// ReleaseReceived records that a release has reached a server. It removes the state, unless a decode attempt waits for
// it and ReleasesRemoveAwaitedStates is not set.
func (o *Oracle) ReleaseReceived(at Instant, id, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	r := o.request(id)
	o.ReleasesReceived++
	r.addTrace(o.epoch, at, "release received by %s", server)
	if r.hasWaitingDecode() && !o.ReleasesRemoveAwaitedStates {
		return
	}
	o.checkHeldStates(at, id, "a release")
	clear(r.heldStates)
}

// ServerStopped records that a server's process has ended, which loses all states that it held.
func (o *Oracle) ServerStopped(at Instant, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, r := range o.requests {
		if _, held := r.heldStates[server]; held {
			o.checkHeldStates(at, id, "its server stopped")
			delete(r.heldStates, server)
		}
		for conn, t := range r.attempts {
			if conn.Server == server && t.inFlight() {
				r.update(at, t, func() { t.finished, t.answered = at, at })
				r.addTrace(o.epoch, at, "%s stopped", server)
			}
		}
	}
}

// Check checks the states that are still held and returns the texts of all violations so far.
func (o *Oracle) Check(at Instant) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id := range o.requests {
		o.checkHeldStates(at, id, "the end of the run")
	}
	var texts []string
	for _, v := range o.violations {
		texts = append(texts, v.text)
	}
	return texts
}

// HeldRequests returns the sorted IDs of the requests, except exempt ones, for which a state is held. Only tests that
// script a fault call it.
func (o *Oracle) HeldRequests() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	var ids []string
	for id, r := range o.requests {
		if len(r.heldStates) > 0 && !r.exempt {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Trace returns the recorded events of a request, one per line. Only tests that script a fault call it.
func (o *Oracle) Trace(id string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Join(o.request(id).trace, "\n")
}

// request returns the record of a request, which it creates if there is none. The caller must hold o.mu.
func (o *Oracle) request(id string) *requestRecord {
	r := o.requests[id]
	if r == nil {
		r = newRequestRecord()
		if group := o.groups[id[:min(len(id), groupIDBytes)]]; group != nil {
			r.dispatcher, r.exempt = group.dispatcher, group.killed
		}
		o.requests[id] = r
	}
	return r
}

// addViolation records a violation with the trace of its request so far. The caller must hold o.mu.
func (o *Oracle) addViolation(id, format string, args ...any) {
	r := o.request(id)
	if r.exempt {
		return
	}
	text := fmt.Sprintf("%s: request %s of %s\n    %s",
		fmt.Sprintf(format, args...), id, r.dispatcher, strings.Join(r.trace, "\n    "))
	o.violations = append(o.violations, violation{Now(), id, text})
}

// checkHeldStates records a violation for each state of a request that was held for too long until an event. The
// caller must hold o.mu.
func (o *Oracle) checkHeldStates(at Instant, id, event string) {
	r := o.request(id)
	if r.hasAttemptInFlight() {
		return
	}
	for server, since := range r.heldStates {
		since = max(since, r.lastFinished)
		if held := at.Sub(since); held > o.limits.ReleaseTime+o.limits.HoldTolerance {
			o.addViolation(id, "held: a state at %s for %v, until %s", server, held.Round(time.Millisecond), event)
			delete(r.heldStates, server)
		}
	}
}

// checkOverlap records a violation if an attempt that was in flight when another arrived does not end within the
// tolerance.
func (o *Oracle) checkOverlap(id string, conn ConnID, first *attempt) {
	time.Sleep(o.limits.OverlapTolerance)
	o.mu.Lock()
	defer o.mu.Unlock()
	if first.closed == 0 && first.finished == 0 {
		o.addViolation(id, "duplicate: an attempt arrived while the one at %s was in flight", conn.Server)
	}
}
