package dispatch

import (
	"docksail/internal/decide/inflight"
	"docksail/internal/eventloop"
	"docksail/policy"
	"net/netip"
)

// Frontend is a front by which clients come in; it hands requests over by Arrive and answers them by their front.Call.
type Frontend interface {
	Listen(at netip.AddrPort, share bool) (netip.AddrPort, error)
	Flush()         // queues on the sockets what has come together in this turn
	ConnCount() int // open connections
	IsIdle() bool   // none of them has anything under way or output waiting
	Drain()         // no new connections, no new requests
}

// Backend is the way to the servers and to their list. It tells the dispatcher what becomes of attempts by Heard,
// Tokens and Finish, and the module, by the dispatcher's Listed, what the list says.
type Backend interface {
	Start(now eventloop.Nanos)          // asks for the list of servers
	WatchEndpoints(now eventloop.Nanos) // asks for it again
	// IsPrefill tells whether a server is a prefill server; known, whether there is such a server.
	IsPrefill(host policy.ServerID) (reads, known bool)
	// Attempt sends the request to its Host; nil: it was not sent and will not be.
	StartAttempt(now eventloop.Nanos, j *Request, shot policy.AttemptNumber) Attempt
	// Release has what an attempt of the request left at a server released; the clock of that state runs since then. The request may be
	// over after the call.
	Release(now eventloop.Nanos, j *Request, at policy.ServerID, shot policy.AttemptNumber, since eventloop.Nanos)
	Flush()       // queues on the sockets what has come together in this turn
	IsIdle() bool // nothing is on its way to a server that must still come there
	Close()       // the loop has ended
}

// Attempt is an attempt that is out, as its exit holds it.
type Attempt interface {
	// Finish is called once, when the attempt is over, whoever ended it. It is given up at its server before End returns; true: the server may
	// have had all of it.
	Finish(now eventloop.Nanos) bool
	// AfterFinish follows End once the module has been told.
	AfterFinish(now eventloop.Nanos)
	// CreditWindow tells that the client has taken so many bytes that had to wait.
	CreditWindow(n int)
	// DeliveryState is how far it is known to have come.
	DeliveryState() inflight.DeliveryState
	// ServerResponsive tells that its server has been heard since it was written, on whatever connection.
	ServerResponsive() bool
}

// EndpointListUpdated tells the module news of the list: tell is called between its beginning and its end; some, that they name a server.
func (d *Dispatcher) EndpointListUpdated(now eventloop.Nanos, full, some bool, tell func(module Module)) {
	d.module.ListUpdateStarted(full)
	tell(d.module)
	d.module.ListUpdateEnded(d.ModuleTime(now))
	d.gate.ListKnown = d.gate.ListKnown || some
}

// EndpointListFailed tells the module that the list can't be had.
func (d *Dispatcher) EndpointListFailed(now eventloop.Nanos) {
	d.module.ListUpdateFailed(d.ModuleTime(now))
}

// RelayTokens relays a piece of a request's answer, of so many bytes on the wire; the first piece begins it. True: the server is
// to be held back until the attempt's Credit.
func (d *Dispatcher) RelayTokens(now eventloop.Nanos, req *Request, p []byte, size int) bool {
	if req.Answered() { // its client was gone as this came: nobody reads it
		d.attemptEnded(now, req, policy.Canceled, true, policy.NoLoadReport)
		d.dropIfDone(req)
		return false
	}
	if req.firstTokenAt == 0 {
		d.streamBegan(now, req)
	}
	req.lastTokenAt = now
	req.messages++
	d.Counts.Messages++
	if !req.call.WriteTokens(req.ID, p) {
		return false
	}
	req.unread += size
	return true
}

// PolicyRequest is the request as the module was told of it.
func (req *Request) PolicyRequest() policy.Request { return req.policyRequest }

// IsStreaming tells that the answer has begun.
func (req *Request) IsStreaming() bool { return req.firstTokenAt > 0 }

// FinishAttempt tells how the attempt that is out has come to its end; why is for a client whose answer had begun.
func (d *Dispatcher) FinishAttempt(now eventloop.Nanos, req *Request, outcome policy.Outcome, why string, load policy.LoadReport) {
	begun := req.firstTokenAt > 0
	switch {
	case req.Answered():
	case outcome == policy.Served:
		d.answer(req, func() { req.call.Complete(req.ID) }, &d.Counts.Served)
	case begun:
		d.answer(req, func() { req.call.Fail(req.ID, "the stream broke"+why) }, &d.Counts.Failed)
	}
	d.attemptEnded(now, req, outcome, outcome == policy.Served || begun, load)
	d.dropIfDone(req)
}

// FailInvalidRequest tells that a server finds the request itself at fault: that is no news of the server, and no other would find
// otherwise.
func (d *Dispatcher) FailInvalidRequest(now eventloop.Nanos, req *Request, why string) {
	if !req.Answered() {
		d.answer(req, func() { req.call.Fail(req.ID, why) }, &d.Counts.Failed)
	}
	d.attemptEnded(now, req, policy.NotSent, true, policy.NoLoadReport)
	d.dropIfDone(req)
}

// releaseHeld has the state that is held for a request released.
func (d *Dispatcher) releaseHeld(now eventloop.Nanos, req *Request, why string) {
	at, _ := req.StateHolder()
	since := req.HeldSince()
	if err := req.MarkStateReleased(); err != nil {
		return
	}
	d.logRelease(now, req, why, at)
	d.exit.Release(now, req, at, policy.AttemptNumber(req.AttemptCount()-1), since)
}

// ReleaseEarly releases what is held for a request beside the attempt that is out and may never come to its server.
func (d *Dispatcher) ReleaseEarly(now eventloop.Nanos, req *Request) {
	d.releaseHeld(now, req, "beside an attempt that may not have come")
}

// ReleasePermission tells how freely a release may be sent for a request, which may be over by now, and whether an attempt of it is on its way or at a server.
func (d *Dispatcher) ReleasePermission(id policy.RequestID) (permit inflight.ReleasePermission, out bool) {
	req := d.requests.Find(id)
	if req == nil {
		return inflight.ReleaseAllowed, false
	}
	_, out = req.OutstandingAttempt()
	stage := req.stage()
	heard := req.attempt != nil && req.attempt.ServerResponsive()
	return req.ReleasePermission(stage, heard), out && stage > inflight.Planned
}

// stage is how far the attempt that is out has come.
func (req *Request) stage() inflight.DeliveryState {
	if req.attempt == nil {
		return inflight.Planned
	}
	return req.attempt.DeliveryState()
}

// ReplaceAttempt tells that an attempt is from now on held as s; nil: it could not be sent after all.
func (d *Dispatcher) ReplaceAttempt(now eventloop.Nanos, req *Request, s Attempt) {
	if req.attempt = s; s == nil {
		d.attemptEnded(now, req, policy.NotSent, false, policy.NoLoadReport)
		d.dropIfDone(req)
	}
}

// AttemptTimeLeft is how long the attempt that is out may still take.
func (req *Request) AttemptTimeLeft(now eventloop.Nanos) int64 {
	return max(req.SentAt+req.AttemptTimeout-now, 1)
}
