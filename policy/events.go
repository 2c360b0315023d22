package policy

import (
	"fmt"
	"math"
)

// Events are recorded here as far as that needs no judgement; the rest is in policy.go.

// New makes a dispatcher that knows nothing but its settings. All its random choices follow from the seed.
func New(seed uint64, self Identity, classes []Class, tenants []Tenant, roles []Role, coldStart SlowStart,
	limits AttemptLimits, answering ResponseSettings, listing Discovery, releaseTime Nanos,
) (*Router, error) {
	switch {
	case len(classes) == 0:
		return nil, fmt.Errorf("no classes")
	case len(roles) == 0:
		return nil, fmt.Errorf("no kinds of server")
	case limits.MaxAttempts < 1:
		return nil, fmt.Errorf("attempts of a request: %d, want 1 or more", limits.MaxAttempts)
	case releaseTime <= 0:
		return nil, fmt.Errorf("release time: %d, want more than 0", releaseTime)
	case self.Count < 1:
		return nil, fmt.Errorf("number of dispatchers: %d, want 1 or more", self.Count)
	}
	shortestWait, shortestTarget := releaseTime, Never
	for i, t := range classes {
		if t.LatencyTarget <= 0 || t.Timeout <= 0 {
			return nil, fmt.Errorf("class %d: target %d and timeout %d: want both above 0",
				i, t.LatencyTarget, t.Timeout)
		}
		shortestWait, shortestTarget = min(shortestWait, t.LatencyTarget), min(shortestTarget, t.LatencyTarget)
	}
	d := &Router{
		requestPart: requestPart{
			classes: classes, shortestTarget: shortestTarget, tenants: tenants,
			answering: answering, requests: newRequestTable(), shares: make([]tokenBucket, len(tenants)),
		},
		serverPart: serverPart{
			self: self, roles: roles, byID: make(map[ServerID]int32),
			cellIndex: make(map[cellKey]int32), prefixes: newPrefixIndex(),
		},
		limitPart: limitPart{coldStart: coldStart, attemptLimits: limits, releaseTime: releaseTime},
		loadPart:  loadPart{requestLimit: math.MaxInt32},
		schedulePart: schedulePart{
			listing: listing, watching: !listing.OnRequest, wakeAt: Never, reviewAt: Never,
			reviewInterval: max(shortestWait/reviewsPerTarget, answering.RoundInterval, 1),
		},
		rng: pcg{seed},
	}
	d.rng.intn(1)
	return d, nil
}

// ListUpdateStarted begins an update of the list; a full one names every server that there is.
func (d *Router) ListUpdateStarted(full bool) {
	d.listUpdates++
	d.countsStale = true
	if full {
		for i := range d.servers {
			if srv := &d.servers[i]; srv.health != Gone {
				srv.health, srv.goneInUpdate = Gone, d.listUpdates
			}
		}
	}
}

// ServerListed reports one entry of the update.
func (d *Router) ServerListed(id ServerID, zone ZoneID, kind KindID, cell CellID, health Health,
	startedAt Nanos,
) {
	i, ok := d.byID[id]
	if !ok {
		if health == Gone {
			return
		}
		i = d.freeServerSlot()
		d.byID[id] = i
		d.servers[i] = server{id: id, cellIndex: noCell, load: NoLoadReport, byClass: make([]serverClass, len(d.classes))}
	}
	srv := &d.servers[i]
	if health == Gone && srv.health != Gone {
		srv.goneInUpdate = d.listUpdates
	}
	if startedAt > srv.startedAt && ok { // a new process: empty cache, no failures
		d.prefixes.dropServer(i)
		srv.resetHistory()
	}
	srv.health, srv.startedAt = health, max(startedAt, srv.startedAt)
	d.joinCell(srv, cellKey{zone, cell})
	if int(kind) < len(d.roles) {
		srv.role = d.roles[kind]
	}
}

// ListUpdateEnded ends the update.
func (d *Router) ListUpdateEnded(now Nanos) { d.review(now) }

// RequestArrived hands over a request, which is owed one final answer from now on.
func (d *Router) RequestArrived(now Nanos, request Request) {
	slot := d.requests.add(request)
	req, t := &d.requests.entries[slot], &d.classes[request.Class]
	req.arrivedAt = now
	req.target = t.LatencyTarget + t.LatencyTargetPer1k*Nanos(req.PromptTokens)/1000
	if request.Tenant >= 0 {
		perSecond := d.tenants[request.Tenant].RequestsPerSecond / float64(d.self.Count)
		req.overShare = d.shares[request.Tenant].take(now, perSecond)
	}
	if req.Prefix != 0 {
		d.prefixes.count(uint64(req.Prefix))
	}
	d.requests.enqueue(slot)
}

// StreamStarted reports that the answer to an attempt has begun: it has no deadline any more.
func (d *Router) StreamStarted(now Nanos, id RequestID, attempt AttemptNumber, elapsed Nanos) {
	_, req := d.requests.find(id)
	if req == nil || !req.attemptOut || req.phase == streaming || attempt != AttemptNumber(req.attempts-1) {
		return
	}
	d.recordFirstResponse(now, req, elapsed, true, false)
	req.phase, req.stateHeld, req.reviewAt = streaming, false, Never
}

// AttemptEnded reports the outcome of an attempt; over tells that the request has its final answer.
func (d *Router) AttemptEnded(now Nanos, id RequestID, attempt AttemptNumber, outcome Outcome,
	elapsed Nanos, over bool, load LoadReport,
) {
	slot, req := d.requests.find(id)
	if req == nil || !req.attemptOut || attempt != AttemptNumber(req.attempts-1) {
		return
	}
	srv := &d.servers[req.attemptServer]
	if load != NoLoadReport {
		srv.load, srv.loadAt = load, now
	}
	d.recordOutcome(now, srv, req, outcome)
	if req.phase != streaming {
		good, slow := outcome == Prefilled || outcome == Served, outcome == TimedOut || req.canceled
		d.recordFirstResponse(now, req, elapsed, good, slow)
	}
	if req.phase != toRead || req.combined {
		srv.streams--
	}
	if outcome.mayHaveRun() && srv.role != Prefill && !req.mayHaveRun {
		req.mayHaveRun, req.ranOn, req.ranSince = true, req.attemptServer, req.sentAt
	}
	if outcome.blamesServer() && (outcome != ConnectionLost || d.failsMoreThanPeers(srv)) {
		req.avoid(req.attemptServer)
	}
	switch {
	case outcome == Prefilled:
		req.phase, req.prefillServer, req.stateHeld, req.heldSince = toWrite, req.attemptServer, true, now
	case outcome == StateMissing: // the state may be cut off rather than gone: released before the next read
		req.phase, req.heldSince = toRead, now
		req.avoid(req.prefillServer)
	case req.phase == streaming:
		over = true
	case !req.stateHeld:
		req.phase = toRead
	case outcome != NotSent && outcome != StaleConnection:
		req.heldSince = now
	}
	req.attemptOut, req.attemptServer, req.combined = false, noServer, false
	req.finished = req.finished || over
	d.requests.enqueue(slot)
}

// mayHaveRun tells that after an attempt with this outcome its request may have been executed.
func (o Outcome) mayHaveRun() bool {
	return o == Failed || o == TimedOut || o == ConnectionLost || o == Canceled || o == StaleConnection
}

// blamesServer tells that the request should rather not go to the same server again.
func (o Outcome) blamesServer() bool {
	return o != Prefilled && o != StateMissing && o != StaleConnection
}

// RequestCanceled reports that nothing more is owed for a request.
func (d *Router) RequestCanceled(now Nanos, id RequestID) {
	if slot, req := d.requests.find(id); req != nil {
		req.finished = true
		d.requests.enqueue(slot)
	}
}

// TimerFired reports that a Wake is due.
func (d *Router) TimerFired(now Nanos) {
	d.wakeAt = Never
	if now >= d.reviewAt {
		d.review(now)
	}
}

// recordFirstResponse records the first response to the outstanding attempt: a read that ended, a stream that
// began, or a failure.
func (d *Router) recordFirstResponse(now Nanos, req *requestState, elapsed Nanos, good, slow bool) {
	srv := &d.servers[req.attemptServer]
	srv.attemptAnswered(now, req.Class)
	d.roleLimits[srv.role].outstanding--
	srv.queuedTokens = max(srv.queuedTokens-req.queuedTokens, 0)
	req.queuedTokens = 0
	if srv.outstanding == 0 {
		srv.longestAllowance = 0
	}
	latency := float64(elapsed) / float64(req.target)
	if req.phase == toWrite {
		from, far := &d.servers[req.prefillServer], 0
		if from.cell != srv.cell {
			far = 1
			d.cells[from.cellIndex].link.outstanding--
		}
		if good || slow { // a transfer that did not end took at least so long
			d.transferLatencies[far].add(now, latency)
			if far == 1 {
				c := &d.cells[from.cellIndex]
				d.adjustLimit(&c.link, latency, c.share[Prefill]*d.serving[Prefill])
			}
		}
	}
	if !good {
		if slow {
			d.latencies[srv.role].add(now, latency)
		}
		return
	}
	srv.lastLatency = latency
	if !d.inSlowStart(now, srv) {
		d.warmAnswers[srv.role]++
	}
	d.recordFirstAnswer(now, req, srv, latency)
}

// ServerEstimate is what a dispatcher assumes of a server, to be compared with what is true.
type ServerEstimate struct {
	QueuedPromptTokens int64 // own prompt tokens sent there and not yet read
	UnansweredAttempts int32 // own attempts there that have not answered
	Streams            int32 // own requests there as a decode server, begun or not
	Ejected            bool  // kept from new requests, or on trial
}

// EstimateServer gives what is assumed of a server; false if it is not known.
func (d *Router) EstimateServer(now Nanos, id ServerID) (ServerEstimate, bool) {
	i, ok := d.byID[id]
	if !ok {
		return ServerEstimate{}, false
	}
	srv := &d.servers[i]
	return ServerEstimate{
		QueuedPromptTokens: srv.queuedTokens, UnansweredAttempts: srv.outstanding, Streams: srv.streams,
		Ejected: now < srv.ejectedUntil || srv.halfOpen,
	}, true
}
