package dispatch

import (
	"math"

	"docksail/internal/decide/admission"
	"docksail/internal/decide/inflight"
	"docksail/internal/decide/memory"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// Request is a request in flight: from its arrival until it is answered, no attempt is outstanding and no KV state is
// held for it. Its record is reused for later requests.
type Request struct {
	inflight.RequestState
	Message
	AttemptInfo
	// BackendState is the backend's own data. It is reset, not removed, when the record is reused.
	BackendState BackendState

	dispatcher *Dispatcher
	attempt    Attempt // the backend's record of the outstanding attempt; nil = none
	memory     memory.Account
	clientState
	admissionState
	timers
}

// Message is the part of a client's request that is forwarded to servers.
type Message struct {
	Raw              []byte // the client's message as received
	ClientRequestID  []byte // the client's own name for the request
	Path             []byte // the path that the client used
	Header           []byte // header fields, as lines
	PreviousAttempts uint32 // earlier attempts that the client reports
	TraceParent      string
}

// AttemptInfo describes the outstanding attempt or, if there is none, the last one.
type AttemptInfo struct {
	Server         policy.ServerID
	IsPrefill      bool
	StartedAt      eventloop.Nanos // when the attempt was started, even if its message was not written yet
	AttemptTimeout int64           // nanoseconds from StartedAt
	StartDeadline  eventloop.Nanos // the attempt must not be written to a connection at this time or later
	// ConsecutiveStaleConns counts the latest consecutive attempts that were lost with stale connections.
	ConsecutiveStaleConns int
	// ExpectedCachedTokens is how many prompt tokens the module expects the prefill server to have cached.
	ExpectedCachedTokens int64

	prefilledAt eventloop.Nanos // when the last prefill attempt succeeded
}

// clientState is the client's side of a request: its call and the answer so far.
type clientState struct {
	response        frontend.ResponseWriter // nil once the request is answered
	class           policy.ClassID
	arrivedAt       eventloop.Nanos
	callDeadline    eventloop.Nanos // end of the call that the client set; 0 = none
	firstTokenAt    eventloop.Nanos // 0 = the answer has not begun
	lastTokenAt     eventloop.Nanos
	lastByteAt      eventloop.Nanos // of the answer, even of a piece that is not complete
	uncreditedBytes int             // bytes that wait for the client; the server gets credit once they are sent
	relayedMessages int64
}

// admissionState holds the module's and the admission queue's descriptions of the request, and its state in the queue.
type admissionState struct {
	policyRequest policy.Request
	queueRequest  admission.Request
	isQueued      bool
	isAdmitted    bool // admitted by the queue, and its answer not yet reported to the queue
}

// timers are the timers of a record. Their callbacks are created once per record.
type timers struct {
	attemptTimer     eventloop.Timer // end of the outstanding attempt, or next check of the stream
	onAttemptTimer   func(eventloop.Nanos)
	answerTimer      eventloop.Timer // set until the answer has begun or the request is answered
	onAnswerDeadline func(eventloop.Nanos)
	isOverdue        bool // answerTimer has fired once
}

// reset initializes the record for a new request. It reuses the buffers, the timers and the backend's data.
func (req *Request) reset(d *Dispatcher, id policy.RequestID, class policy.ClassID, response frontend.ResponseWriter,
	r *frontend.Request, now eventloop.Nanos,
) {
	*req = Request{
		RequestState: inflight.RequestState{ID: id},
		Message: Message{
			Raw: req.takeRaw(r), ClientRequestID: append(req.ClientRequestID[:0], r.ClientRequestID...),
			Path: append(req.Path[:0], r.Path...), Header: append(req.Header[:0], r.Header...),
			PreviousAttempts: uint32(r.PreviousAttempts), TraceParent: r.TraceParent,
		},
		BackendState: req.BackendState,
		dispatcher:   d,
		clientState:  clientState{response: response, class: class, arrivedAt: now},
		timers:       req.timers,
		memory:       req.memory,
	}
	req.chargeMemory(memory.RequestBytes)
	if req.BackendState != nil {
		req.BackendState.Reset()
	}
	req.isOverdue = false
	if req.onAttemptTimer == nil {
		req.onAttemptTimer, req.onAnswerDeadline = req.attemptTimerFired, req.answerDeadlinePassed
	}
	if r.CallTimeout > 0 {
		req.callDeadline = now + r.CallTimeout
	}
}

// takeRaw returns the message of an arriving request: the client's own if it is handed over, else a copy.
func (req *Request) takeRaw(r *frontend.Request) []byte {
	if r.RawHandedOver {
		return r.Raw
	}
	return append(req.Raw[:0], r.Raw...)
}

// chargeMemory charges the buffers of the record to the budget, and what else the request takes.
func (req *Request) chargeMemory(otherBytes int64) {
	req.memory.Set(otherBytes + int64(cap(req.Raw)+cap(req.ClientRequestID)+cap(req.Path)+cap(req.Header)))
}

// releaseMessage drops the message, which no attempt needs any more, if the record would keep much memory for it.
func (req *Request) releaseMessage() {
	if cap(req.Raw)+cap(req.Header)+cap(req.Path) > memory.KeptRequestBytes {
		req.Raw, req.Header, req.Path = nil, nil, nil
	}
}

// PolicyRequest returns the module's description of the request.
func (req *Request) PolicyRequest() policy.Request { return req.policyRequest }

// IsStreaming reports whether the answer has begun.
func (req *Request) IsStreaming() bool { return req.firstTokenAt > 0 }

// AttemptTimeLeft returns how long the outstanding attempt may still take, at least 1 ns.
func (req *Request) AttemptTimeLeft(now eventloop.Nanos) int64 {
	return max(req.StartedAt+req.AttemptTimeout-now, 1)
}

// deliveryState returns how far the delivery of the outstanding attempt is known to have progressed.
func (req *Request) deliveryState() inflight.DeliveryState {
	if req.attempt == nil {
		return inflight.Planned
	}
	return req.attempt.DeliveryState()
}

// setStartDeadline sets the time before which the next attempt must be sent; 0 = none.
func (req *Request) setStartDeadline(sendBefore policy.Nanos) {
	req.StartDeadline = math.MaxInt64
	if sendBefore > 0 {
		req.StartDeadline = int64(sendBefore) - req.dispatcher.originUnixNs
	}
}

// logID returns the name of the request in log records: the client's own name for it, if there is one.
func (req *Request) logID() string {
	if len(req.ClientRequestID) > 0 {
		return string(req.ClientRequestID)
	}
	return req.dispatcher.RequestName(req.ID)
}
