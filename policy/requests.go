package policy

// phase is the stage of a request.
type phase uint8

const (
	awaitingPrefill phase = iota // the prompt has to be processed
	awaitingDecode               // the prompt has been processed, the answer has to be generated
	streaming                    // the answer has begun
)

// waitingPhases is the number of phases in which a request waits for a server.
const waitingPhases = 2

// maxAvoidedServers is the maximum number of servers that a request avoids.
const maxAvoidedServers = 4

// requestState is the state of a request, from its arrival until it is finished and its last attempt has ended.
type requestState struct {
	Request
	phase              phase
	used               bool // the slot holds a request
	enqueued           bool // is in the work queue
	finished           bool // has its final answer or was canceled by its client
	attemptOutstanding bool
	cancelSent         bool // the outstanding attempt has been canceled
	stateHeld          bool // a server holds a KV state for it
	combined           bool // one server processes the prompt and generates the answer in the outstanding attempt
	mayHaveRun         bool // an attempt may have executed the request
	givenUp            bool // gets its final answer once its KV state has been released
	overQuota          bool // its tenant was over quota when it arrived
	attempts           int32
	attemptServer      int32 // server of the outstanding attempt
	prefillServer      int32 // server that holds the KV state
	firstRunServer     int32 // server of the first attempt that may have executed the request
	avoided            [maxAvoidedServers]int32
	avoidedCount       int32 // number of calls of avoid; may exceed maxAvoidedServers
	queuedTokens       int64 // prompt tokens counted as queued at the server of the outstanding attempt
	arrivedAt          Nanos
	sentAt             Nanos // when the outstanding attempt was sent
	firstRunAt         Nanos // when that attempt was sent
	heldSince          Nanos
	reviewAt           Nanos   // when it is enqueued again
	stage              stage   // of the outstanding attempt
	workTokens         int64   // tokens that the time of the outstanding attempt depends on
	startBy            Nanos   // when the rest of it has to begin for its answer to be in time; see setUrgency
	cost               float64 // share of it in the work that waits
	queueIndex         int32   // in the work queue
	isWaiting          bool    // waits for a server
	awaitsDecodeServer bool    // its prompt is read again once there is a decode server; see releaseToReadAnew
	unreachable        bool    // cannot be reached in time behind the requests before it
}

// avoid records a server that the request should not be sent to again. Only the last maxAvoidedServers are kept.
func (req *requestState) avoid(server int32) {
	req.avoided[req.avoidedCount%maxAvoidedServers] = server
	req.avoidedCount++
}

// avoids reports whether the request should not be sent to a server again.
func (req *requestState) avoids(server int32) bool {
	for i := range min(req.avoidedCount, maxAvoidedServers) {
		if req.avoided[i] == server {
			return true
		}
	}
	return false
}

// forgetAvoided removes a server from those that the request should avoid.
func (req *requestState) forgetAvoided(server int32) {
	for i := range min(req.avoidedCount, maxAvoidedServers) {
		if req.avoided[i] == server {
			req.avoided[i] = noServer
		}
	}
}

// refersTo reports whether the request has an attempt or a KV state at a server, or may have run there.
func (req *requestState) refersTo(server int32) bool {
	return req.used && (req.attemptServer == server || req.prefillServer == server || req.firstRunServer == server)
}

// requestTable holds the state of all requests in slots that are reused, and the work queue: the requests that need a
// decision.
type requestTable struct {
	entries []requestState
	free    []int32
	byID    map[RequestID]int32
	queue   workQueue
}

func newRequestTable() requestTable { return requestTable{byID: make(map[RequestID]int32)} }

func (t *requestTable) add(request Request) int32 {
	var slot int32
	if n := len(t.free); n > 0 {
		slot, t.free = t.free[n-1], t.free[:n-1]
	} else {
		slot = int32(len(t.entries))
		t.entries = append(t.entries, requestState{})
	}
	t.entries[slot] = requestState{
		Request: request, used: true,
		attemptServer: noServer, prefillServer: noServer, firstRunServer: noServer,
	}
	t.byID[request.ID] = slot
	return slot
}

func (t *requestTable) remove(slot int32) {
	delete(t.byID, t.entries[slot].ID)
	t.entries[slot].used = false
	t.free = append(t.free, slot)
}

// find returns the slot and the state of a request. The state is nil if the table does not have the request.
func (t *requestTable) find(id RequestID) (int32, *requestState) {
	if slot, ok := t.byID[id]; ok {
		return slot, &t.entries[slot]
	}
	return -1, nil
}

// RequestArrived reports a new request. Unless it is canceled, it gets one final answer: that of an attempt, or a
// RejectRequest or FailRequest decision.
func (r *Router) RequestArrived(now Nanos, request Request) {
	slot := r.requests.add(request)
	req := &r.requests.entries[slot]
	req.arrivedAt = now
	if request.Tenant >= 0 {
		perSecond := r.config.Tenants[request.Tenant].RequestsPerSecond / float64(r.config.Self.Count)
		req.overQuota = !r.quotas[request.Tenant].take(now, perSecond)
	}
	if req.Prefix != 0 {
		r.prefixes.countRequest(uint64(req.Prefix))
	}
	r.setUrgency(now, req)
	r.requests.enqueue(slot)
	r.wakeWaiting(wokenPerEvent)
}

// RequestCanceled reports that a request no longer needs an answer: its client has canceled it or disconnected.
func (r *Router) RequestCanceled(_ Nanos, id RequestID) {
	if slot, req := r.requests.find(id); req != nil {
		req.finished = true
		r.requests.enqueue(slot)
	}
}
