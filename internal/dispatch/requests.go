package dispatch

import (
	"docksail/internal/decide/admission"
	"docksail/internal/decide/inflight"
	"docksail/internal/decide/intake"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
	"fmt"
	"slices"
	"strconv"
)

// What clients do, and the answers that they get.

// Request is one request in hand.
type Request struct {
	inflight.RequestState
	call             frontend.ResponseWriter // nil once it is answered
	Raw              []byte                  // the client's message
	ClientRequestID  []byte                  // the client's name for it
	Path             []byte                  // where the client sent it
	Header           []byte                  // header fields that go with it, as lines
	class            policy.ClassID
	PreviousAttempts uint32
	TraceParent      string
	arrivedAt        eventloop.Nanos
	callEnds         eventloop.Nanos   // the call's own time is up; 0 = never
	firstTokenAt     eventloop.Nanos   // the answer's first token came; 0 = not yet
	lastTokenAt      eventloop.Nanos   // its last token
	unread           int               // bytes of the engine's window that wait for the client
	policyRequest    policy.Request    // as the module is told of it
	queueRequest     admission.Request // as the admission queue is
	queued           bool
	admitted         bool  // the admission queue has let it in, and not been told of its end
	messages         int64 // messages relayed
	mayHaveRun       bool  // an attempt was sent to a server that answers

	attempt               Attempt         // the attempt that is out; nil = it is none of the exit's
	Server                policy.ServerID // where it goes
	IsPrefill             bool            // it is a read
	SentAt                eventloop.Nanos
	AttemptTimeout        int64           // its time
	StartDeadline         eventloop.Nanos // it may begin to be written until then
	PrefilledAt           eventloop.Nanos // its last read ended
	ConsecutiveStaleConns int             // attempts in a row that were lost with connections that had died unseen
	ExpectedCachedTokens  int64           // prompt tokens that the module expects to be kept where it is read
	grpcAttempt           grpcAttempt     // how the gRPC exit holds it
	timer                 eventloop.Timer
	onTimer               func(eventloop.Nanos)
	overdueTimer          eventloop.Timer // set while the request is owed its first answer
	onOverdue             func(eventloop.Nanos)
	d                     *Dispatcher
}

// hashName hashes a name under the settings' key and its owner, the same at every dispatcher; 0 stands for no name.
func (d *Dispatcher) hashName(kind byte, owner policy.TenantID, name []byte) uint64 {
	if len(name) == 0 {
		return 0
	}
	d.hash.ResetWithSeed(d.hashKey)
	d.hash.Write([]byte{kind, byte(owner), byte(owner >> 8), byte(owner >> 16), byte(owner >> 24)})
	d.hash.Write(name)
	return max(d.hash.Sum64(), 1)
}

// requestName is a request's for the outside: the dispatcher's life and the request, unique over dispatchers and restarts.
func (d *Dispatcher) requestName(id policy.RequestID) string {
	var b [33]byte
	return string(strconv.AppendUint(append(strconv.AppendUint(b[:0], d.incarnation, 16), '.'), uint64(id), 16))
}

// RequestName implements the admission queue's core.
func (d *Dispatcher) RequestName(id policy.RequestID) string { return d.requestName(id) }

// hashSecretly hashes a name that strangers choose, under a key of this life's own; 0 stands for no name.
func (d *Dispatcher) hashSecretly(owner policy.TenantID, name []byte) uint64 {
	if len(name) == 0 {
		return 0
	}
	d.hash.ResetWithSeed(d.secretKey ^ uint64(owner)*0x9e3779b97f4a7c15)
	d.hash.Write(name)
	return max(d.hash.Sum64(), 1)
}

// Submit implements the fronts' core: it takes a request in, or tells why not.
func (d *Dispatcher) Submit(now eventloop.Nanos, call frontend.ResponseWriter, r *frontend.Request) (policy.RequestID, error) {
	class, tenant, err := d.classAndTenant(r)
	if err != nil {
		return 0, err
	}
	times := &d.classTimes[class]
	left := times.timeLeft(r) - d.answerAhead
	target := times.target + times.targetPer1k*r.PromptTokens/1000
	if err := d.checkIntake(r, left, target); err != nil {
		return 0, err
	}
	id, req := d.requests.Add()
	waiting := d.admissionRequest(r, tenant, now+left, target)
	waiting.ID = admission.RequestID(id)
	if !d.direct {
		if err := d.enqueue(now, waiting); err != nil {
			d.requests.Remove(id)
			return 0, err
		}
	}
	waiting.Ticket = nil
	d.Counts.Requests++
	req.begin(d, id, class, call, r, now)
	req.queueRequest, req.queued = waiting, !d.direct
	req.policyRequest = d.policyRequest(id, class, tenant, r, d.ModuleTime(now+left))
	d.loop.SetTimer(&req.overdueTimer, now+left+intake.OverdueMargin, req.onOverdue)
	if d.direct {
		d.module.RequestArrived(d.ModuleTime(now), req.policyRequest)
	}
	return id, nil
}

// classAndTenant looks up what a request names; the tenant is -1 where there are none.
func (d *Dispatcher) classAndTenant(r *frontend.Request) (policy.ClassID, policy.TenantID, error) {
	class, ok := d.classes[string(r.Class)]
	if !ok {
		return 0, -1, fmt.Errorf("class %q is unknown: %w", r.Class, frontend.ErrInvalidRequest)
	}
	if len(d.tenants) == 0 || d.direct && len(r.Tenant) == 0 {
		return class, -1, nil
	}
	tenant, ok := d.tenants[string(r.Tenant)]
	if !ok {
		return 0, -1, fmt.Errorf("tenant %q is unknown: %w", r.Tenant, frontend.ErrInvalidRequest)
	}
	return class, tenant, nil
}

// timeLeft is how long a request's client waits: its class's time, or less if it says so.
func (t *classTimes) timeLeft(r *frontend.Request) int64 {
	left := t.timeout
	if r.FirstTokenTimeout > 0 {
		left = min(left, r.FirstTokenTimeout)
	}
	if r.CallTimeout > 0 {
		left = min(left, r.CallTimeout)
	}
	return left
}

// checkIntake tells why a request is not taken at all; nil if it is.
func (d *Dispatcher) checkIntake(r *frontend.Request, left, target int64) error {
	cause, after := d.gate.Check(d.requests.Len(), r.PromptTokens, left, target)
	if cause == intake.Accepted {
		return nil
	}
	d.Counts.RejectedAtIntake++
	if cause.IsRetryable() {
		return frontend.RejectionError{Reason: cause.String(), RetryAfter: min(after, d.maxRetryAfter)}
	}
	return fmt.Errorf("%s, %d tokens of at most %d: %w", cause, r.PromptTokens, d.gate.MaxPromptTokens, frontend.ErrInvalidRequest)
}

// admissionRequest is a request as the admission queue is told of it.
func (d *Dispatcher) admissionRequest(r *frontend.Request, tenant policy.TenantID, deadline eventloop.Nanos, target int64) admission.Request {
	waiting := admission.Request{
		Tenant: max(int(tenant), 0), Client: d.hashSecretly(tenant, r.Client),
		Source: d.hashSecretly(-1, r.Source[:]), PromptTokens: r.PromptTokens, Background: r.Background, MaxAnswerTokens: r.MaxTokens,
		LatencyObjective: target, Deadline: deadline,
	}
	if r.Ticket != nil && d.signer != nil {
		if ticket, err := d.signer.Decode(r.Ticket); err == nil {
			waiting.Ticket = ticket
		}
	}
	return waiting
}

// enqueue has a request wait in the admission queue, or tells why it may not.
func (d *Dispatcher) enqueue(now eventloop.Nanos, waiting admission.Request) error {
	cause, advice := d.queue.Enqueue(now, waiting)
	if cause == admission.Queued {
		return nil
	}
	d.Counts.RejectedAtIntake++
	if cause == admission.PromptTooLong {
		return fmt.Errorf("%s, %d tokens: %w", cause, waiting.PromptTokens, frontend.ErrInvalidRequest)
	}
	return d.refusal(cause.String(), cause.IsTenantLimit(), advice)
}

// begin makes a record that may have been used before that of a new request; its buffers and timers stay.
func (req *Request) begin(d *Dispatcher, id policy.RequestID, class policy.ClassID, call frontend.ResponseWriter, r *frontend.Request, now eventloop.Nanos) {
	*req = Request{
		RequestState: inflight.RequestState{ID: id}, call: call, class: class, d: d,
		Raw: append(req.Raw[:0], r.Raw...), ClientRequestID: append(req.ClientRequestID[:0], r.ClientID...),
		Path: append(req.Path[:0], r.Path...), Header: append(req.Header[:0], r.Header...),
		PreviousAttempts: uint32(r.PreviousAttempts), TraceParent: r.TraceParent, arrivedAt: now,
		timer: req.timer, onTimer: req.onTimer, overdueTimer: req.overdueTimer, onOverdue: req.onOverdue,
	}
	req.grpcAttempt.request = req
	if req.onTimer == nil {
		req.onTimer, req.onOverdue = req.timerDue, req.deadlineMissed
	}
	if r.CallTimeout > 0 {
		req.callEnds = now + r.CallTimeout
	}
}

// policyRequest is a request as the decision module is told of it.
func (d *Dispatcher) policyRequest(id policy.RequestID, class policy.ClassID, tenant policy.TenantID, r *frontend.Request,
	deadline policy.Nanos,
) policy.Request {
	owner := tenant
	if d.direct { // as in the simulator: equal names stand for equal text, whoever asks
		owner = -1
	}
	return policy.Request{
		ID: id, Class: class, Tenant: tenant,
		Session:      policy.SessionKey(d.hashName('s', owner, r.Session)),
		Prefix:       policy.PrefixKey(d.hashName('b', owner, r.Prefix)),
		PromptTokens: r.PromptTokens, PrefixTokens: r.PrefixTokens, MaxOutputTokens: r.MaxTokens, Deadline: deadline, ExpectedDuration: policy.Nanos(r.LengthHint),
		IsRetry: r.PreviousAttempts > 0,
	}
}

// ClientDisconnected tells that a client is gone.
func (d *Dispatcher) ClientDisconnected(now eventloop.Nanos, id policy.RequestID) {
	if req := d.requests.Find(id); req != nil && !req.Answered() {
		if d.debug {
			attempt, out := req.OutstandingAttempt()
			d.log.Debug("client left", "request", string(req.ClientRequestID), "out", out, "attempt", attempt, "begun", req.firstTokenAt > 0)
		}
		d.answer(req, func() {}, &d.Counts.ClientDisconnects)
		d.clientLeft(now, req)
	}
}

// clientLeft tells the module that nothing more is owed, and ends a stream that nobody reads.
func (d *Dispatcher) clientLeft(now eventloop.Nanos, req *Request) {
	if req.queued {
		req.queued = false
		d.queue.Cancel(now, admission.RequestID(req.ID))
		d.dropIfDone(req)
		return
	}
	d.module.RequestCanceled(d.ModuleTime(now), req.ID)
	switch {
	case req.firstTokenAt > 0:
		d.attemptEnded(now, req, policy.Canceled, true, policy.NoLoadReport)
	case req.attempt != nil && req.attempt.DeliveryState() < inflight.Sending: // it is not to begin any more, also where what has begun may not be withdrawn
		d.attemptEnded(now, req, policy.NotSent, true, policy.NoLoadReport)
	}
	d.dropIfDone(req)
}

// ClientWritable lets an engine go on that was held back for its client.
func (d *Dispatcher) ClientWritable(now eventloop.Nanos, id policy.RequestID) {
	req := d.requests.Find(id)
	if req == nil || req.unread == 0 || req.attempt == nil {
		return
	}
	n := req.unread
	req.unread, req.lastTokenAt = 0, now
	req.attempt.CreditWindow(n)
	d.loop.SkipNextWait()
}

// answer gives a request its final answer, if it has none yet.
func (d *Dispatcher) answer(req *Request, give func(), count *uint64) {
	if err := req.MarkAnswered(); err != nil {
		d.Counts.InvalidDecisions++
		d.log.Error("decision refused", "request", req.ID, "err", err)
		return
	}
	d.loop.CancelTimer(&req.overdueTimer)
	give()
	req.call = nil
	*count++
	d.leaveQueue(req, count == &d.Counts.Served)
}

// leaveQueue tells the admission queue that a request which it let in has its answer.
func (d *Dispatcher) leaveQueue(req *Request, served bool) {
	if req.admitted {
		req.admitted = false
		d.queue.RecordFinished(d.loop.Now(), req.queueRequest, admission.Result{Served: served, AnswerTokens: req.messages})
		if i := d.unsentIndex(req.ID); i >= 0 {
			d.unsent = slices.Delete(d.unsent, i, i+1)
		}
	}
}

// dropIfDone frees the place of a request for which nothing is owed, out or held.
func (d *Dispatcher) dropIfDone(req *Request) {
	if req.Done() {
		d.loop.CancelTimer(&req.timer)
		d.loop.CancelTimer(&req.overdueTimer)
		d.requests.Remove(req.ID)
	}
}

// deadlineMissed is the dispatcher's own deadline of a request that has no answer yet and no stream. The module answers every request
// before; this guards against a fault by which it does not.
func (req *Request) deadlineMissed(now eventloop.Nanos) {
	d := req.d
	_, out := req.OutstandingAttempt()
	d.Counts.MissedDeadlines++
	d.log.Error("request without an answer at its deadline", "request", req.ID, "name", string(req.ClientRequestID), "attempts", req.AttemptCount(), "out", out, "server", req.Server)
	id := req.ID
	d.abort(now, req, "its time is up")
	if req = d.requests.Find(id); req != nil && out {
		d.attemptEnded(now, req, policy.Canceled, true, policy.NoLoadReport)
		d.dropIfDone(req)
	}
}
