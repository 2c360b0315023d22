package policy

// phase is the stage that a request has reached.
type phase uint8

const (
	awaitingPrefill phase = iota // the prompt has to be read
	awaitingDecode               // the prompt has been read, the answer has to be written
	streaming                    // the answer has begun
)

// maxAvoidedServers is how many servers a request remembers to avoid.
const maxAvoidedServers = 4

// requestState is a request in hand.
type requestState struct {
	Request
	phase              phase
	used               bool // the slot holds a request
	enqueued           bool // waits in the work queue
	finished           bool // has its final answer, or was cancelled by its client
	attemptOutstanding bool
	cancelSent         bool // the outstanding attempt has been cancelled
	stateHeld          bool // a KV state is held for it
	combined           bool // the outstanding attempt both reads the prompt and writes the answer
	mayHaveRun         bool // some attempt may have been executed
	givenUp            bool // to be answered as soon as its KV state has been released
	overQuota          bool // its tenant was over its quota when it arrived
	attempts           int32
	attemptServer      int32 // server of the outstanding attempt
	prefillServer      int32 // server that holds the KV state
	firstRunServer     int32 // server of the first attempt that may have been executed
	avoided            [maxAvoidedServers]int32
	avoidedCount       int32
	queuedTokens       int64 // counted as queued at the prefill server
	arrivedAt          Nanos
	sentAt             Nanos // when the outstanding attempt was sent
	firstRunAt         Nanos
	heldSince          Nanos
	reviewAt           Nanos // when to decide about it again
	latencyTarget      Nanos // of this request, the part for its prompt's length included
}

// avoid remembers a server that the request should not be sent to again; of many, the last few.
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

// forgetAvoided forgets that the request should avoid a server.
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

// requestTable holds the requests in hand in reused slots, and the queue of those to decide about.
type requestTable struct {
	entries []requestState
	free    []int32
	byID    map[RequestID]int32
	queue   []int32 // slots of requests to decide about, first come first
	head    int     // index of the first slot in queue that is still to be done
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

// find returns a request and its slot; the request is nil if it is not in hand.
func (t *requestTable) find(id RequestID) (int32, *requestState) {
	if slot, ok := t.byID[id]; ok {
		return slot, &t.entries[slot]
	}
	return -1, nil
}

// enqueue puts a request into the work queue unless it is there.
func (t *requestTable) enqueue(slot int32) {
	if req := &t.entries[slot]; !req.enqueued {
		req.enqueued = true
		t.queue = append(t.queue, slot)
	}
}

// peek returns the first slot of the work queue, and whether there is one.
func (t *requestTable) peek() (int32, bool) {
	if t.head == len(t.queue) {
		t.queue, t.head = t.queue[:0], 0
		return 0, false
	}
	return t.queue[t.head], true
}

// dequeue removes the first slot of the work queue.
func (t *requestTable) dequeue() {
	t.entries[t.queue[t.head]].enqueued = false
	t.head++
}

// RequestArrived reports a request, for which the router returns one final answer from now on.
func (r *Router) RequestArrived(now Nanos, request Request) {
	slot := r.requests.add(request)
	req, class := &r.requests.entries[slot], &r.config.Classes[request.Class]
	req.arrivedAt = now
	req.latencyTarget = class.LatencyTarget + class.LatencyTargetPer1k*Nanos(req.PromptTokens)/1000
	if request.Tenant >= 0 {
		perSecond := r.config.Tenants[request.Tenant].RequestsPerSecond / float64(r.config.Self.Count)
		req.overQuota = !r.quotas[request.Tenant].take(now, perSecond)
	}
	if req.Prefix != 0 {
		r.prefixes.countRequest(uint64(req.Prefix))
	}
	r.requests.enqueue(slot)
}

// RequestCanceled reports that a request needs no answer any more: its client has cancelled it or is gone.
func (r *Router) RequestCanceled(_ Nanos, id RequestID) {
	if slot, req := r.requests.find(id); req != nil {
		req.finished = true
		r.requests.enqueue(slot)
	}
}
