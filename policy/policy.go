package policy

// All routing decisions are made in this file. types.go is the interface, events.go records events without
// judging them, state.go holds the state.
//
// A caller makes a Dispatcher with New and reports events to it: ListUpdateStarted, ServerListed, ListUpdateEnded,
// ListUpdateFailed, RequestArrived, StreamStarted, AttemptEnded, StateHeldSince, RequestCanceled, Woken. These only update
// state. After them it calls Next until that has no further decision. The package reads no clock.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
)

// Prefix affinity and placement.
const (
	// affinityYield is the multiple of the shortest queue and the prompt at which affinity yields (design page).
	affinityYield = 2
	// markLifetime is how long after its last use a prefix is believed to be cached (design page).
	markLifetime = 30 * 1e9
	// shortPromptTokens: a mixed server may read a prompt with fewer uncached tokens itself (design page).
	shortPromptTokens = 2000
	// localityStreams: of decode servers within so many streams of the fewest, locality chooses (design page).
	localityStreams = 1
	// comparableStreams per decode server make a difference of one more than chance.
	comparableStreams = 4
	// replicaSpread is the number of replicas of a prefix, per server that its requests would keep busy.
	replicaSpread = 1.5
	// extraReplicas are added while fewer requests than servers were seen. It guards against hot spots where a
	// few prefixes make most of the load and each dispatcher has seen too little of it to tell.
	extraReplicas = 3
	// loadReportTargets is the time, in shortest targets, over which a server's report loses its weight.
	loadReportTargets = 8
)

// Ejection of slow and failing servers.
const (
	// latencyTargets is the time, in shortest targets, over which latencies are judged.
	latencyTargets = 8
	// highQuantile of the latencies judges a server: one slow request in ten is no verdict.
	highQuantile = 0.9
	// slowFactor times its peers' median makes a server slow: uneven load makes 2, sickness 4 and more.
	slowFactor = 3.0
	// slowFloor is the share of the target under which no latency counts as slow.
	slowFloor = 1.0 / 3
	// stallFactor high latencies without an answer are no chance.
	stallFactor = 2.0
	// stallFloor is the share of the target that is the least high latency a stall is measured by.
	stallFloor = 1.0 / 6
	// manyUnanswered attempts at a prefill server that answers none: a queue would move.
	manyUnanswered = 6
	// failureDecay is the weight of the past in a server's share of failures.
	failureDecay = 0.8
	// failureLimit is reached by two failures in a row, or by one attempt in three.
	failureLimit = 0.3
	// failureFactor times its peers' median share of failures: what happens to all is not one server's fault.
	failureFactor = 3.0
	// ejectedPart: at most one server in so many is ejected for slowness or failures.
	ejectedPart = 3
)

// Concurrency limits and deadlines.
const (
	// lateStage is the share of the target from which one stage of two came late.
	lateStage = 1.0 / 2
	// queuedRead is the share of the target from which a read has waited in a queue.
	queuedRead = 1.0 / 4
	// lateWeight is the weight of the last answer in the share of late ones: two late of three show.
	lateWeight = 1.0 / 4
	// lateLimit is the share of late answers that one sick server does not reach: the pool is full.
	lateLimit = 1.0 / 4
	// unansweredPerServer attempts, of all dispatchers together, may always wait at a server.
	unansweredPerServer = 3.0
	// overShareLimit is the share of the request limit that is open to tenants beyond their own share.
	overShareLimit = 3.0 / 4
	// limitDecrease is the share of what is in hand that a cut of the request limit keeps.
	limitDecrease = 0.85
	// limitIncrease is the share of the request limit that is added at a time: it grows slower than it is cut.
	limitIncrease = 1.0 / 16
	// waitLimit is the share of the target for which a new request may wait: the work needs the rest.
	waitLimit = 1.0 / 8
	// heldLimit is the share of the release time for which a held state may wait.
	heldLimit = 0.6
	// reviewsPerTarget is how often all that is in hand is reviewed within the shortest target.
	reviewsPerTarget = 16
)

// Slow start.
const (
	// manyWarming is the share of a role's servers: while fewer warm up, the others bear the load.
	manyWarming = 1.0 / 2
	// slowStartMargin is the share used of what makes a cold server fail: the rest is for chance.
	slowStartMargin = 0.9
)

// ---- Events.

// ListUpdateFailed reports that the list of servers could not be had.
func (d *Router) ListUpdateFailed(now Nanos) {
	d.watching, d.watchAt = false, now+d.listing.MaxInterval/8 // early enough for several more tries
	d.reviewAt = min(d.reviewAt, d.watchAt)
}

// StateHeldSince reports, after the end of an attempt that may never have reached its server, since when the KV
// state of its request counts as held; Never: it has been released. Where decode servers fall silent,
// attempts in vain must not extend the time in which a state has to be released (rule five). A state that
// is too old for another attempt is released and its prompt read anew.
func (d *Router) StateHeldSince(now Nanos, id RequestID, since Nanos) {
	_, req := d.requests.find(id)
	switch {
	case req == nil || !req.stateHeld || req.attemptOut:
	case since == Never:
		req.stateHeld, req.phase = false, toRead
	default:
		if req.heldSince = since; now >= since+Nanos(heldLimit*float64(d.releaseTime)) {
			req.phase = toRead
		}
	}
}

// review goes over everything in hand: requests that are due, expired prefix marks, servers against their
// peers, concurrency limits.
func (d *Router) review(now Nanos) {
	d.reviewAt = Never
	for i := range d.requests.entries {
		if req := &d.requests.entries[i]; !req.used || req.reviewAt >= Never {
			continue
		} else if req.reviewAt <= now {
			d.requests.enqueue(int32(i))
		} else {
			d.reviewAt = min(d.reviewAt, req.reviewAt, now+d.reviewInterval)
		}
	}
	before := d.reviewedAt
	d.reviewedAt = now
	measured := d.summarizeLatencies(now - latencyTargets*d.shortestTarget)
	recounted := d.countServers(now)
	d.measureThroughput(now, before, 2*d.coldStart.WarmupTime) // outlasts any warm-up
	for i := range measured {
		srv := &d.servers[i]
		if srv.highLatency <= max(slowFloor, slowFactor*d.medianHighLatency[srv.role]) {
			continue
		}
		if srv.health == Serving && now >= srv.ejectedUntil && !d.inSlowStart(now, srv) {
			d.eject(now, srv, "slow to answer", true)
		}
	}
	if d.countServers(now) || recounted { // some were ejected just now, or the fleet has changed before
		d.shareCapacity()
	}
	d.adjustRequestLimit(now)
	d.prefixes.dropExpired(now)
	d.prefixes.decay(max(0, 1-float64(now-before)/markLifetime))
}

// requestLimitFor is the request limit that applies to a request. The last part of it is kept from requests
// beyond their tenant's share, so that tenants within theirs find room. Without pressure the share has no
// effect.
func (d *Router) requestLimitFor(req *requestState) float64 {
	if req.overShare {
		return overShareLimit * d.requestLimit
	}
	return d.requestLimit
}

// adjustLimit bounds the outstanding attempts by the latency of the last one, x as a share of the target:
// attempts at the servers of a role, or transfers over the link of a cell. A queue at a prefill server
// makes sessions come back after their prefix was evicted, which makes more to read; on a link, transfers
// slow each other down until none ends in time. The limit is set by the first late answer and is cut to no
// less than what lets all dispatchers together keep a few attempts waiting at each server. A limit below
// one means pauses between attempts.
func (d *Router) adjustLimit(limit *concurrencyLimit, latency, servers float64) {
	if latency > queuedRead {
		if limit.limit == 0 {
			limit.limit = float64(limit.outstanding + 1)
		}
		limit.limit = max(limitDecrease*limit.limit, unansweredPerServer*servers/float64(d.self.Count))
	} else if limit.limit > 0 {
		limit.limit += min(1, 1/limit.limit)
	}
}

// limitAllows tells whether a concurrency limit admits one more attempt.
func (d *Router) limitAllows(now Nanos, limit *concurrencyLimit) bool {
	switch {
	case limit.limit == 0:
		return true
	case limit.limit >= 1:
		return float64(limit.outstanding) < limit.limit
	}
	pause := Nanos(queuedRead * float64(d.shortestTarget) / limit.limit)
	return limit.outstanding == 0 && now >= limit.lastSentAt+pause
}

// adjustRequestLimit adapts the number of requests in hand to what the servers bear (additive increase,
// multiplicative decrease): it is cut when many answers are late or rejected, else it grows. It guards
// against overload, whether load has grown or capacity has shrunk. It may do harm when answers are late for
// a reason that fewer requests do not cure.
func (d *Router) adjustRequestLimit(now Nanos) {
	if now < d.limitReviewAt {
		return
	}
	if d.lateShare > lateLimit && d.answered {
		d.requestLimit = max(limitDecrease*min(d.requestLimit, float64(d.active)), 1)
	} else if float64(d.active) > d.requestLimit/2 {
		d.requestLimit += limitIncrease*d.requestLimit + 1
	}
	d.answered, d.limitReviewAt = false, now+d.shortestTarget/2
}

// recordLateness records whether an answer was late or missing; the average is short so that a few answers
// already show.
func (d *Router) recordLateness(late bool) {
	d.answered = true
	if d.lateShare -= d.lateShare * lateWeight; late {
		d.lateShare += lateWeight
	}
}

// recordFirstAnswer takes the latency of a first answer, x as a share of its request's target, as a sign of
// the load and of its server's health.
func (d *Router) recordFirstAnswer(now Nanos, req *requestState, srv *server, latency float64) {
	d.adjustLimit(&d.roleLimits[srv.role], latency, d.serving[srv.role])
	d.latencies[srv.role].add(now, latency)
	if d.transferSlow(now, req) {
		return
	}
	srv.addLatency(now, latency)
	d.recordLateness(latency > lateStage)
}

// recordOutcome updates a server's share of failures. It guards against servers that fail fast, hang, or
// are gone before the list says so. A rejection is no failure: the server is full and says so.
func (d *Router) recordOutcome(now Nanos, srv *server, req *requestState, outcome Outcome) {
	failure, reason := 0.0, "failing"
	switch outcome {
	case Failed, ConnectionLost:
		failure = 1
	case TimedOut, Canceled:
		excused := d.transferSlow(now, req) || req.phase == streaming || req.finished
		if excused || !d.stalled(now, srv, req.Class) && !req.canceled {
			if outcome == TimedOut {
				d.recordLateness(true)
			}
			return
		}
		d.ejectForClass(now, srv, req)
		return
	case Unreachable:
		failure, reason = 1, "not reached"
		srv.failureShare = max(srv.failureShare, 2*failureLimit)
		srv.unreachable = true
	case Rejected:
		d.recordLateness(true)
		d.adjustLimit(&d.roleLimits[srv.role], 1, d.serving[srv.role])
		srv.fullUntil = now + req.target/8
		return
	case NotSent, StateMissing, StaleConnection: // a kept connection that died is no sign
		return
	default:
		srv.halfOpen = false
		if srv.unreachable { // it is back, since an unknown time: treated as just started
			srv.unreachable, srv.startedAt, d.countsStale = false, now, true
		}
	}
	srv.failureShare = srv.failureShare*failureDecay + failure*(1-failureDecay)
	suspect := failure > 0 && srv.failureShare > failureLimit && now >= srv.ejectedUntil
	if suspect && (outcome == Unreachable || d.failsMoreThanPeers(srv)) {
		d.eject(now, srv, reason, outcome == Failed || outcome == ConnectionLost)
	}
}

// failsMoreThanPeers tells that a server fails far more often than its peers. Where attempts fail at all
// servers alike, because of the network or of what is sent, ejecting some only leaves fewer; and a server
// that has begun to read a prompt keeps its prefix, so a request whose read broke may go there again.
func (d *Router) failsMoreThanPeers(srv *server) bool {
	typical := d.median(srv.role, func(o *server) float64 { return o.failureShare + 1e-9 })
	return srv.failureShare > failureFactor*typical
}

// eject keeps new requests from a server for a time; after that, one request at a time probes it. An
// ejection that soon follows another lasts twice as long, up to the time in which a server warms up, so
// that a long outage costs few probes.
func (d *Router) eject(now Nanos, srv *server, reason string, keepsOthers bool) {
	if keepsOthers && d.tooManyEjected(now, srv.role) {
		return
	}
	if now > srv.ejectedUntil+4*srv.ejectionTime {
		srv.ejectionTime = 0
	}
	srv.ejectionTime = min(max(2*srv.ejectionTime, d.shortestTarget/2), max(d.coldStart.WarmupTime, d.shortestTarget))
	srv.ejectedUntil, srv.halfOpen, d.countsStale = now+srv.ejectionTime, true, true
	srv.forgetLatencies()
	d.logLines = append(d.logLines,
		fmt.Sprintf("server %d ejected for %d ms: %s", srv.id, srv.ejectionTime/1e6, reason))
}

// tooManyEjected tells that no more servers of a stage may be ejected but those that cannot be reached.
func (d *Router) tooManyEjected(now Nanos, role Role) bool {
	ejected, total := 1, 0
	for i := range d.servers {
		srv := &d.servers[i]
		if (srv.role == Prefill) != (role == Prefill) || srv.health != Serving {
			continue
		}
		if total++; now < srv.ejectedUntil {
			ejected++
		}
	}
	return ejected*ejectedPart > total
}

// ejectForClass keeps requests of one class from a server that did not answer one, for times that double;
// it may well serve other classes. All requests are kept from it for a moment, unless it has answered
// another since.
func (d *Router) ejectForClass(now Nanos, srv *server, req *requestState) {
	b := &srv.byClass[req.Class]
	if now > b.ejectedUntil+4*b.ejectionTime {
		b.ejectionTime = 0
	}
	b.ejectionTime = max(2*b.ejectionTime, d.shortestTarget/2, d.answerInterval(srv.role))
	b.ejectionTime = min(b.ejectionTime, max(d.coldStart.WarmupTime, d.shortestTarget))
	b.ejectedUntil, srv.halfOpen = now+b.ejectionTime, true
	if srv.lastAnswerAt <= req.sentAt {
		srv.ejectedUntil, d.countsStale = max(srv.ejectedUntil, now+d.shortestTarget/2), true
	}
	d.logLines = append(d.logLines,
		fmt.Sprintf("server %d silent to class %d, left alone for %d ms", srv.id, req.Class, b.ejectionTime/1e6))
}

// answerInterval is the usual time between two answers of a server to this dispatcher: a shorter ejection
// would never be noticed.
func (d *Router) answerInterval(role Role) Nanos {
	if d.answersPerWindow[role] == 0 {
		return 0
	}
	return Nanos(float64(d.coldStart.OverloadWindow) / d.answersPerWindow[role])
}

// ---- Decisions.

// NextDecision gives the next decision, until there is none.
func (d *Router) NextDecision(now Nanos) (Decision, bool) {
	if n := len(d.logLines); n > 0 {
		text := d.logLines[n-1]
		d.logLines = d.logLines[:n-1]
		return Decision{Action: LogMessage, Text: text}, true
	}
	for {
		slot, ok := d.requests.peek()
		if !ok {
			break
		}
		if what, ok := d.decide(now, slot); ok {
			return what, true
		}
		d.requests.dequeue()
		if req := &d.requests.entries[slot]; req.used && req.finished && !req.attemptOut {
			if req.attempts > 0 {
				d.active--
			}
			d.requests.drop(slot)
		}
	}
	if !d.watching && now >= d.watchAt {
		d.watching = true
		return Decision{Action: WatchEndpoints}, true
	}
	if d.reviewAt < d.wakeAt {
		d.wakeAt = max(d.reviewAt, now+1)
		return Decision{Action: SetTimer, Duration: d.wakeAt - now}, true
	}
	return Decision{}, false
}

func (d *Router) decide(now Nanos, slot int32) (Decision, bool) {
	req := &d.requests.entries[slot]
	switch {
	case req.finished:
		req.reviewAt = Never
		if req.attemptOut && req.phase != streaming && d.attemptLimits.CanCancel && !req.canceled {
			return d.cancel(req)
		}
		if !req.attemptOut && req.stateHeld { // rule five: whatever ended it, nothing stays held
			return d.releaseState(req)
		}
		return Decision{}, false
	case req.phase == streaming:
		return Decision{}, false
	case req.attemptOut:
		last := req.Deadline + d.answering.DeadlineGrace/2
		if now >= last { // an outcome that never comes must not cost the final answer
			return d.giveUp(now, req)
		}
		if srv := &d.servers[req.attemptServer]; d.attemptLimits.CanCancel && !req.canceled && d.mayRetry(now, req) &&
			(srv.role != Prefill || srv.outstanding >= manyUnanswered) && d.stalled(now, srv, req.Class) {
			return d.cancel(req)
		}
		d.reviewLater(now, req, min(last, now+d.reviewInterval))
		return Decision{}, false
	case req.phase == toRead && req.stateHeld:
		return d.releaseState(req)
	case req.givenUp, now+d.answering.RoundInterval >= req.Deadline, req.attempts >= d.attemptLimits.MaxAttempts,
		!d.mayAttempt(now, req):
		return d.giveUp(now, req)
	case req.phase == toRead && d.tooShort(now, req):
		return d.giveUp(now, req)
	case req.attempts == 0 && float64(d.active) >= d.requestLimitFor(req):
		if now >= req.arrivedAt+Nanos(waitLimit*float64(req.target)) {
			return d.giveUp(now, req)
		}
		d.reviewLater(now, req, min(now+d.reviewInterval, req.Deadline-d.answering.RoundInterval))
		return Decision{}, false
	}
	to := noServer
	for pass := 0; pass < 3 && to == noServer; pass++ {
		if req.phase == toWrite {
			to = d.pickDecode(now, req, pass)
		} else if to = d.pickMixed(now, req, pass); to == noServer {
			to = d.pickPrefill(now, req, pass)
		}
		if to == noServer && req.phase == toRead {
			to = d.pickWithoutPrefill(now, req, pass)
		}
	}
	if to == noServer {
		if d.waitedTooLong(now, req) {
			return d.giveUp(now, req)
		}
		d.reviewLater(now, req, min(now+d.reviewInterval, req.Deadline-d.answering.RoundInterval))
		return Decision{}, false
	}
	return d.attempt(now, req, to), true
}

func (d *Router) reviewLater(now Nanos, req *requestState, at Nanos) {
	req.reviewAt = max(at, now+1)
	d.reviewAt = min(d.reviewAt, req.reviewAt)
}

func (d *Router) cancel(req *requestState) (Decision, bool) {
	req.canceled = true
	return Decision{Action: CancelAttempt, Request: req.ID, Attempt: AttemptNumber(req.attempts - 1)}, true
}

func (d *Router) releaseState(req *requestState) (Decision, bool) {
	req.stateHeld = false
	return Decision{Action: ReleaseState, Request: req.ID}, true
}

// mayAttempt keeps rule two: a request that may have run is sent again only where a repeat does no harm.
func (d *Router) mayAttempt(now Nanos, req *requestState) bool {
	t := &d.classes[req.Class]
	return !req.mayHaveRun || t.Idempotency == Idempotent || t.Idempotency == Deduplicated && now < req.ranSince+t.DedupWindow
}

// repeatBefore tells until when an attempt may begin to be written. A repeat has to arrive while its group
// still remembers the first run, and its connection may take longer than that to be established.
func (d *Router) repeatBefore(req *requestState, srv *server) Nanos {
	t := &d.classes[req.Class]
	if req.mayHaveRun && t.Idempotency == Deduplicated && srv.role != Prefill {
		return req.ranSince + t.DedupWindow
	}
	return 0
}

// mayRetry tells whether the request may be sent again once the attempt that is out is cancelled.
func (d *Router) mayRetry(now Nanos, req *requestState) bool {
	t := &d.classes[req.Class]
	harmless := t.Idempotency == Idempotent || d.servers[req.attemptServer].role == Prefill
	return req.attempts < d.attemptLimits.MaxAttempts && harmless
}

// knowsRepeats tells whether a server recognises a repeat of a deduplicated request that may have run.
func (d *Router) knowsRepeats(req *requestState, srv *server) bool {
	t := &d.classes[req.Class]
	if !req.mayHaveRun || t.Idempotency != Deduplicated || t.DedupScope == DedupScopeAll {
		return true
	}
	ran := &d.servers[req.ranOn]
	return t.DedupScope == DedupScopeZone && srv.zone == ran.zone || t.DedupScope == DedupScopeCell && srv.cell == ran.cell
}

// waitedTooLong tells that a request without an eligible server should stop waiting for one.
func (d *Router) waitedTooLong(now Nanos, req *requestState) bool {
	if req.stateHeld && now >= req.heldSince+Nanos(heldLimit*float64(d.releaseTime)) {
		return true
	}
	if req.attempts == 0 {
		return now >= req.arrivedAt+Nanos(waitLimit*float64(req.target))
	}
	return now >= req.arrivedAt+req.target/2 // half is needed for the work itself
}

// tooShort tells that the client will be gone before servers as quick as usual could begin to answer. It
// guards against clients with hardly any time left, which come back at once and in numbers: the work begun
// for them is wasted.
func (d *Router) tooShort(now Nanos, req *requestState) bool {
	usual := (d.medianLatency[Prefill] + d.medianLatency[Decode]) * float64(req.target)
	return req.Deadline-now < Nanos(usual)
}

// giveUp ends a request: first its held state is released, then the client is answered; with a rejection
// where that is true, and a failure where the request may have run or its time is over.
func (d *Router) giveUp(now Nanos, req *requestState) (Decision, bool) {
	req.givenUp = true
	if req.stateHeld && !req.attemptOut {
		return d.releaseState(req)
	}
	t := &d.classes[req.Class]
	req.finished = true
	unsafe := req.mayHaveRun || req.attemptOut && d.servers[req.attemptServer].role != Prefill
	unsafe = unsafe && (t.Idempotency == NonIdempotent || t.Idempotency == Deduplicated && t.DedupScope != DedupScopeAll)
	if unsafe || now >= req.Deadline {
		return Decision{Action: FailRequest, Request: req.ID}, true
	}
	advice := Nanos(0)
	if d.answering.SendRetryAfter {
		advice = min(t.LatencyTarget/2, d.answering.MaxRetryAfter) // about the length of a burst
	}
	return Decision{Action: RejectRequest, Request: req.ID, Duration: advice}, true
}

func (d *Router) attempt(now Nanos, req *requestState, to int32) Decision {
	srv := &d.servers[to]
	srv.attemptSent(now, req.Class)
	d.roleLimits[srv.role].attemptSent(now)
	srv.longestAllowance = max(srv.longestAllowance, req.target-d.classes[req.Class].LatencyTarget)
	srv.creditSpent++
	if srv.role != Prefill {
		srv.streams++
	}
	if req.phase == toWrite && d.servers[req.prefillServer].cell != srv.cell {
		d.cells[d.servers[req.prefillServer].cellIndex].link.attemptSent(now)
	}
	kept := int64(0)
	if req.phase == toRead {
		kept = d.expectedCached(now, req, to)
		req.combined = srv.role != Prefill
		req.queuedTokens = req.PromptTokens - kept
		srv.queuedTokens += req.queuedTokens
		if req.Prefix != 0 && req.PrefixTokens > 0 {
			d.prefixes.mark(uint64(req.Prefix), to, req.PrefixTokens, now+markLifetime)
		}
		if req.Session != 0 {
			d.prefixes.mark(^uint64(req.Session), to, req.PromptTokens, now+markLifetime)
		}
	}
	req.attemptOut, req.canceled, req.attemptServer, req.sentAt = true, false, to, now
	if req.attempts++; req.attempts == 1 {
		d.active++
	}
	return Decision{
		Action: SendAttempt, Request: req.ID, Server: srv.id, CachedTokens: kept,
		Duration: d.attemptTimeout(now, req, srv.role), SendBefore: d.repeatBefore(req, srv),
	}
}

// attemptTimeout bounds an attempt. Where attempts can be cancelled, a stalled decode server is noticed by
// other means and the timeout only keeps the last quarter of the time for a retry; else it is several usual
// latencies, at most half of what is left.
func (d *Router) attemptTimeout(now Nanos, req *requestState, role Role) Nanos {
	left := req.Deadline - now
	if d.attemptLimits.CanCancel {
		return left - left/4
	}
	usual := Nanos(stallFactor * max(d.highLatency[role], stallFloor) * float64(req.target))
	return max(min(usual, left/2), min(left, req.target/2))
}

// eligible tells whether a server may and should be sent a request now. Later passes, used when no other
// server is left, lift what is only advice: first that this request has failed there, then probing and
// stalls.
func (d *Router) eligible(now Nanos, req *requestState, i int32, pass int) bool {
	srv := &d.servers[i]
	switch {
	case srv.health != Serving, !d.knowsRepeats(req, srv), !d.slowStartAllows(now, srv):
		return false // rules two, three and four
	case now < srv.fullUntil, now < srv.ejectedUntil, now < srv.byClass[req.Class].ejectedUntil:
		return false
	case !d.limitAllows(now, &d.roleLimits[srv.role]):
		return false
	case pass < 2 && (srv.halfOpen && srv.outstanding > 0 || d.stalled(now, srv, req.Class)):
		return false
	}
	return pass > 0 || !req.avoids(i)
}

// stalled tells that a server has attempts outstanding and has not answered for far longer than its role
// takes: hung, cut off, or gone while the list is still silent. Its first answer ends the stall. A stalled
// prefill server gets no new request, but a read is cancelled only where many are outstanding: a few have
// mostly queued, and read again elsewhere they lengthen that queue too.
func (d *Router) stalled(now Nanos, srv *server, class ClassID) bool {
	usual := stallFactor * max(d.highLatency[srv.role], stallFloor) * float64(d.classes[class].LatencyTarget)
	c := &srv.byClass[class]
	return c.outstanding > 0 && now-c.lastAnswerAt > Nanos(usual)+srv.longestAllowance
}

func (d *Router) inSlowStart(now Nanos, srv *server) bool {
	return d.coldStart.OverloadWindow > 0 && srv.startedAt > 0 && now < srv.startedAt+d.coldStart.WarmupTime
}

// slowStartAllows keeps rule four. All dispatchers together may send a server that has just started only a
// share of what its warm peers get. Each dispatcher accrues credit for its own part of it, from what it
// sees warm servers answer; so the sum is right however little one of them sees. The first credit is offset
// by the dispatcher's number. Credit that is not used within two windows lapses, so that it cannot be saved
// and spent at once. A dispatcher that has seen no answers accrues its part of one attempt a window. Due
// credit goes before locality and prefix affinity: a dispatcher with little traffic has some only now and
// then, and where half of the servers warm up, the other half would be overloaded while credit stays
// unused. Where few warm up, prompts that they hold nothing of are better read by the others.
func (d *Router) slowStartAllows(now Nanos, srv *server) bool {
	if !d.inSlowStart(now, srv) {
		return true
	}
	n := float64(d.self.Count)
	if srv.creditStart != srv.startedAt {
		srv.creditStart, srv.creditedAt, srv.creditSpent = srv.startedAt, srv.startedAt, 0
		_, srv.credit = math.Modf(float64(d.self.Number)/n + float64(mixBits(uint64(srv.id))>>11)/(1<<53))
	}
	share := max(slowStartMargin*d.coldStart.OverloadFactor*d.coldStart.InitialCapacity*d.answersPerWindow[srv.role], 1/n)
	srv.credit += share * float64(now-srv.creditedAt) / float64(d.coldStart.OverloadWindow)
	srv.creditedAt = now
	srv.creditSpent = max(srv.creditSpent, math.Floor(srv.credit-2*share))
	return srv.credit >= srv.creditSpent+1
}

// pickMixed implements the design's rule for short prompts: the mixed server with the fewest own streams
// reads them itself. While own streams are too few to compare, it does so only under pressure: hundreds of
// dispatchers would each find it empty, and what it reads slows its streams. It also serves where no
// prefill server is listed.
func (d *Router) pickMixed(now Nanos, req *requestState, pass int) int32 {
	if req.PromptTokens-req.PrefixTokens >= shortPromptTokens {
		return noServer
	}
	fewest := d.lowestEligible(now, req, pass, func(srv *server) (int64, bool) {
		return streams(srv), srv.role != Prefill
	})
	pressed := d.prefillOverloaded(now, req, pass)
	bound := fewest + localityStreams
	if pressed {
		bound *= affinityYield
	} else if fewest < comparableStreams {
		return noServer
	}
	d.findReplicas(now, req, Mixed, pass, int64(Never))
	return d.pickLowestRank(func(i int32, srv *server) (rank, bool) {
		willing := srv.role == Mixed && streams(srv) <= bound && (pressed || srv.highLatency <= slowFloor)
		distance := d.prefixDistance(now, req, i)
		willing = willing && (distance < 2 || req.PromptTokens < shortPromptTokens)
		return rank{distance, streams(srv)}, willing && d.eligible(now, req, i, pass)
	})
}

// prefillOverloaded tells that no prefill server is likely to read this request in good time: each is being
// probed, has more tokens queued than the class's allowance for prompt length gives time for, or has
// answered late. It guards against pools that shrink and against load that this dispatcher cannot see.
func (d *Router) prefillOverloaded(now Nanos, req *requestState, pass int) bool {
	t := &d.classes[req.Class]
	wait := Nanos(queuedRead * float64(t.LatencyTarget))
	for i := range d.servers {
		srv := &d.servers[i]
		if srv.role != Prefill || srv.halfOpen || !d.eligible(now, req, int32(i), pass) {
			continue
		}
		late := srv.outstanding > 0 && (srv.lastLatency > queuedRead || now-srv.lastAnswerAt > wait)
		if !late && Nanos(d.backlog(now, srv))*t.LatencyTargetPer1k/1000 < wait {
			return false
		}
	}
	return true
}

// pickWithoutPrefill places a request while there is no prefill server at all: at a mixed server whatever
// its length, or at a decode server where those may read. It guards against the loss of the whole prefill
// pool.
func (d *Router) pickWithoutPrefill(now Nanos, req *requestState, pass int) int32 {
	if d.serving[Prefill] > 0 {
		return noServer
	}
	return d.pickLowestRank(func(i int32, srv *server) (rank, bool) {
		reads := srv.role == Mixed || srv.role == Decode && d.attemptLimits.DecodeCanPrefill
		return rank{streams(srv)}, reads && d.eligible(now, req, i, pass)
	})
}

// lowestEligible is the least value of a figure among the eligible servers that have it.
func (d *Router) lowestEligible(now Nanos, req *requestState, pass int,
	of func(srv *server) (int64, bool),
) int64 {
	low := int64(Never)
	for i := range d.servers {
		if x, ok := of(&d.servers[i]); ok && d.eligible(now, req, int32(i), pass) {
			low = min(low, x)
		}
	}
	return low
}

func streams(srv *server) int64 { return int64(srv.streams) }

// backlog is the design's load signal of a prefill server: the own queued prompt tokens, plus what the
// server reported lately.
func (d *Router) backlog(now Nanos, srv *server) int64 {
	age := float64(now-srv.loadAt) / float64(loadReportTargets*d.shortestTarget)
	if srv.load.QueuedPromptTokens > 0 && age < 1 {
		return srv.queuedTokens + int64(srv.load.QueuedPromptTokens*(1-age))
	}
	return srv.queuedTokens
}

// pickPrefill picks, among prefill servers that hold the request's prefix and are not overloaded, the one
// with the fewest queued prompt tokens, the uncached ones of this prompt included. A server that has read
// this session before holds the longest prefix and goes first: a session that moves is read anew each time,
// and what it leaves behind evicts what others need.
func (d *Router) pickPrefill(now Nanos, req *requestState, pass int) int32 {
	lowest := d.lowestEligible(now, req, pass, func(srv *server) (int64, bool) {
		return d.backlog(now, srv), srv.role == Prefill
	})
	d.findReplicas(now, req, Prefill, pass, affinityYield*(lowest+req.PromptTokens))
	return d.pickLowestRank(func(i int32, srv *server) (rank, bool) {
		if srv.role != Prefill || !d.eligible(now, req, i, pass) {
			return rank{}, false
		}
		queue, cached := d.backlog(now, srv), d.expectedCached(now, req, i)
		distance, remote := int64(2), int64(1)
		if queue < affinityYield*(lowest+req.PromptTokens) {
			distance = d.prefixDistance(now, req, i)
		}
		if srv.zone == d.self.Zone {
			remote = 0
		}
		c := &d.cells[srv.cellIndex]
		overLink := c.link.limit > 0 && hashFraction(uint64(req.ID)) >= c.localCapacity
		if overLink && !d.limitAllows(now, &c.link) {
			distance += 3 // its state would have to cross an overloaded link
		}
		if d.inSlowStart(now, srv) && d.warming[Prefill] > manyWarming*d.serving[Prefill] {
			distance = -1 // see slowStartAllows
		}
		return rank{distance, queue + req.PromptTokens - cached, remote}, true
	})
}

// findReplicas finds the servers of a role that are likely to hold a request's prefix, whichever dispatcher
// sent it there, by rendezvous hashing of prefix and server; and, of those, the one that the session hashes
// to. The turns of a session come to many dispatchers, none of which could remember it. A prefix has more
// replicas the more requests share it. Overloaded servers are left out, so that the next in the same order
// takes over at every dispatcher that knows.
func (d *Router) findReplicas(now Nanos, req *requestState, role Role, pass int, fullQueue int64) {
	d.replicas, d.sessionReplica = d.replicas[:0], noServer
	d.replicaPick++
	d.loadMarks(req)
	if req.Prefix == 0 && req.Session == 0 {
		return
	}
	for i := range d.servers {
		srv := &d.servers[i]
		if srv.role == role && d.backlog(now, srv) < fullQueue && d.eligible(now, req, int32(i), pass) {
			d.replicas = append(d.replicas, replica{mixBits(uint64(req.Prefix) ^ mixBits(uint64(srv.id))), int32(i)})
		}
	}
	if most := d.replicaCount(req); len(d.replicas) > most {
		slices.SortFunc(d.replicas, func(a, b replica) int { return cmp.Compare(b.hash, a.hash) })
		d.replicas = d.replicas[:most]
	}
	highest := uint64(0)
	for _, r := range d.replicas {
		srv := &d.servers[r.server]
		srv.replicaPick = d.replicaPick
		hash := mixBits(uint64(req.Session)^mixBits(uint64(srv.id))) >> 1
		if srv.zone == d.self.Zone {
			hash += 1 << 63
		}
		if req.Session != 0 && hash >= highest {
			d.sessionReplica, highest = r.server, hash
		}
	}
}

// replicaCount is how many replicas a request's prefix has; without a prefix any server is one.
func (d *Router) replicaCount(req *requestState) int {
	if req.Prefix == 0 {
		return len(d.servers)
	}
	count := 1 + int(replicaSpread*d.prefixes.share(uint64(req.Prefix))*float64(len(d.servers)))
	if d.prefixes.total < float64(len(d.servers)) { // too few to tell a rare one from one that all others send
		count += extraReplicas
	}
	return count
}

// prefixDistance tells how much of a request's prefix a server holds: 0, that of its session; 1, what it
// shares with others; 2, nothing.
func (d *Router) prefixDistance(now Nanos, req *requestState, i int32) int64 {
	held := d.expectedCached(now, req, i)
	switch {
	case i == d.sessionReplica || held > req.PrefixTokens:
		return 0
	case held > 0 || d.servers[i].replicaPick == d.replicaPick:
		return 1
	}
	return 2
}

// remoteTransfersSlow tells that KV transfers from other cells take far longer than those within one, and
// long enough to matter. It ends with a few quick ones, or when none was seen for some time.
func (d *Router) remoteTransfersSlow(now Nanos) bool {
	since := now - 4*d.shortestTarget
	far := d.transferLatencies[1].quantile(since, 0.5)
	return far > slowFloor/2 && far > affinityYield*d.transferLatencies[0].quantile(since, 0.5)
}

// transferSlow tells that the outstanding attempt transfers its state over slow links: neither its decode
// server nor the load is to blame for its latency.
func (d *Router) transferSlow(now Nanos, req *requestState) bool {
	if req.phase != toWrite {
		return false
	}
	from, to := &d.servers[req.prefillServer], &d.servers[req.attemptServer]
	return from.cell != to.cell && d.remoteTransfersSlow(now)
}

// pickDecode picks the decode server with the fewest own streams; within localityStreams of the fewest, the
// prefill server's cell comes first, then its zone. While remote links are slow, locality yields only where
// a near server has twice the fewest. While own streams are too few to compare, locality is chosen at
// random, as often as the near decode servers can bear if all dispatchers do so; the rest goes where there
// are more decode servers than their prefill servers need.
func (d *Router) pickDecode(now Nanos, req *requestState, pass int) int32 {
	from := &d.servers[req.prefillServer]
	linkFull := !d.limitAllows(now, &d.cells[from.cellIndex].link)
	fewest := d.lowestEligible(now, req, pass, func(srv *server) (int64, bool) {
		return streams(srv), srv.role != Prefill && !(linkFull && srv.cell != from.cell)
	})
	bound, reach, factor := fewest+localityStreams, int64(0), 1.0
	if d.remoteTransfersSlow(now) {
		bound, factor = bound*affinityYield, affinityYield
	}
	if c := &d.cells[from.cellIndex]; fewest < comparableStreams && d.rng.float() >= factor*c.localCapacity {
		if reach = 1; d.rng.float() >= factor*c.zoneCapacity {
			reach = 2
		}
	}
	return d.pickLowestRank(func(i int32, srv *server) (rank, bool) {
		distance := int64(2)
		if srv.cell == from.cell {
			distance = 0
		} else if srv.zone == from.zone {
			distance = 1
		}
		order := rank{distance, 2 * streams(srv), int64(srv.load.MemoryUtilization * 100)}
		if d.inSlowStart(now, srv) && d.warming[srv.role] > manyWarming*d.serving[srv.role] { // too
			order[1]--
		}
		c := &d.cells[srv.cellIndex]
		if reach > 0 && distance == reach && d.rng.float() < c.spareCapacity[distance-1] {
			order[0] = -1
		}
		near := !(linkFull && distance > 0)
		return order, srv.role != Prefill && near && streams(srv) <= bound && d.eligible(now, req, i, pass)
	})
}

// shareCapacity computes, from the servers in service, how much of what a cell's prefill servers read its
// own decode servers, or those of its zone, can take, if all servers of a role are alike; and how much
// decode capacity is left for others.
func (d *Router) shareCapacity() {
	for i := range d.cells {
		c := &d.cells[i]
		z := &d.zones[c.zone]
		c.localCapacity = min(1, c.decodeShare/max(c.share[Prefill], 1e-9))
		c.zoneCapacity = min(1, z.spare/max(z.missing, 1e-9))
		c.spareCapacity = [2]float64{}
		if c.decodeShare > 0 {
			c.spareCapacity[0] = max(0, 1-c.share[Prefill]/c.decodeShare)
			c.spareCapacity[1] = c.spareCapacity[0] * max(0, 1-z.missing/max(z.spare, 1e-9))
		}
	}
}
