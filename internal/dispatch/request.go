package dispatch

import (
	"math"

	"docksail/internal/decide/admission"
	"docksail/internal/decide/inflight"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// Request is a request in flight: from its arrival until it is answered, no attempt is outstanding and no KV state is
// held for it. Its record is used again for later requests.
type Request struct {
	inflight.RequestState
	Message
	AttemptInfo
	// BackendState is what the backend keeps with the record. It is reset, not removed, when the record is used again.
	BackendState BackendState

	dispatcher *Dispatcher
	attempt    Attempt // the outstanding attempt; nil = the backend has none
	clientState
	admissionState
	timers
}

// Message is what of a client's request is forwarded to servers.
type Message struct {
	Raw              []byte // the client's message as it came
	ClientRequestID  []byte // the client's own name for the request
	Path             []byte // the path that the client used
	Header           []byte // header fields, as lines
	PreviousAttempts uint32 // earlier attempts of the client, as it tells
	TraceParent      string
}

// AttemptInfo describes the outstanding attempt, or the last one.
type AttemptInfo struct {
	Server         policy.ServerID
	IsPrefill      bool
	SentAt         eventloop.Nanos
	AttemptTimeout int64           // nanoseconds from SentAt
	StartDeadline  eventloop.Nanos // the attempt must not be written to a connection at this time or later
	// ConsecutiveStaleConns counts the attempts in a row that were lost because an idle connection had died unseen.
	ConsecutiveStaleConns int
	// ExpectedCachedTokens is how many prompt tokens the module expects the prefill server to have cached.
	ExpectedCachedTokens int64

	prefilledAt eventloop.Nanos // the last prefill attempt succeeded
	mayHaveRun  bool            // a decode attempt was sent
}

// clientState is the client's side of a request: its call and the answer so far.
type clientState struct {
	response        frontend.ResponseWriter // nil once the request is answered
	class           policy.ClassID
	arrivedAt       eventloop.Nanos
	callDeadline    eventloop.Nanos // end of the call as the client set it; 0 = none
	firstTokenAt    eventloop.Nanos // 0 = the answer has not begun
	lastTokenAt     eventloop.Nanos
	heldBackBytes   int // bytes of the answer that the client has to take before the server gets credit for them
	relayedMessages int64
}

// admissionState is the request as the module and the admission queue know it.
type admissionState struct {
	policyRequest policy.Request
	queueRequest  admission.Request
	isQueued      bool
	isAdmitted    bool // admitted by the queue, which has not been told of the answer
}

// timers are the timers of a record. Their callbacks are made once.
type timers struct {
	attemptTimer     eventloop.Timer // end of the outstanding attempt, or next check of the stream
	onAttemptTimer   func(eventloop.Nanos)
	answerTimer      eventloop.Timer // set until the answer has begun or the request is answered
	onAnswerDeadline func(eventloop.Nanos)
}

// reset makes the record that of a new request. Buffers, timers and the backend's state are used again.
func (req *Request) reset(d *Dispatcher, id policy.RequestID, class policy.ClassID, response frontend.ResponseWriter,
	r *frontend.Request, now eventloop.Nanos,
) {
	*req = Request{
		RequestState: inflight.RequestState{ID: id},
		Message: Message{
			Raw: append(req.Raw[:0], r.Raw...), ClientRequestID: append(req.ClientRequestID[:0], r.ClientID...),
			Path: append(req.Path[:0], r.Path...), Header: append(req.Header[:0], r.Header...),
			PreviousAttempts: uint32(r.PreviousAttempts), TraceParent: r.TraceParent,
		},
		BackendState: req.BackendState,
		dispatcher:   d,
		clientState:  clientState{response: response, class: class, arrivedAt: now},
		timers:       req.timers,
	}
	if req.BackendState != nil {
		req.BackendState.Reset()
	}
	if req.onAttemptTimer == nil {
		req.onAttemptTimer, req.onAnswerDeadline = req.attemptTimerFired, req.answerDeadlineMissed
	}
	if r.CallTimeout > 0 {
		req.callDeadline = now + r.CallTimeout
	}
}

// PolicyRequest returns the request as the module knows it.
func (req *Request) PolicyRequest() policy.Request { return req.policyRequest }

// IsStreaming reports whether the answer has begun.
func (req *Request) IsStreaming() bool { return req.firstTokenAt > 0 }

// AttemptTimeLeft returns how long the outstanding attempt may still take, at least 1 ns.
func (req *Request) AttemptTimeLeft(now eventloop.Nanos) int64 {
	return max(req.SentAt+req.AttemptTimeout-now, 1)
}

// deliveryState returns how far the outstanding attempt is known to have come.
func (req *Request) deliveryState() inflight.DeliveryState {
	if req.attempt == nil {
		return inflight.Planned
	}
	return req.attempt.DeliveryState()
}

// setStartDeadline sets the deadline of the next attempt; 0 = none.
func (req *Request) setStartDeadline(sendBefore policy.Nanos) {
	req.StartDeadline = math.MaxInt64
	if sendBefore > 0 {
		req.StartDeadline = int64(sendBefore) - req.dispatcher.originUnixNs
	}
}

// logID returns the name of the request in log records: the client's own if it has one.
func (req *Request) logID() string {
	if len(req.ClientRequestID) > 0 {
		return string(req.ClientRequestID)
	}
	return req.dispatcher.RequestName(req.ID)
}
