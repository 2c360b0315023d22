package dispatch

import (
	"docksail/internal/decide/admission"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// admissionControl decides when a request that intake has accepted is handed to the module. The dispatcher reports the
// progress of admitted requests to it.
type admissionControl interface {
	// enqueue adds an arriving request. It returns the admission queue's description of the request, which is stored in
	// Request.queueRequest, or an error that rejects the request.
	enqueue(now eventloop.Nanos, arrival arrival) (admission.Request, error)
	// enqueued is called after enqueue, when the request's record is complete.
	enqueued(now eventloop.Nanos, req *Request)
	// cancel removes a waiting request. It reports whether the request was waiting.
	cancel(now eventloop.Nanos, req *Request) bool

	// iterationStarted is called at the start of each iteration of the event loop.
	iterationStarted(now eventloop.Nanos)
	// advance is called when the module has no decision left. It admits or rejects at most one waiting request, and
	// reports whether it did.
	advance(now eventloop.Nanos) bool
	// iterationEnded is called when neither the module nor advance has anything left to do.
	iterationEnded(now eventloop.Nanos)

	// attemptStarted is called when an attempt of a request has begun.
	attemptStarted(now eventloop.Nanos, req *Request)
	// firstTokenReceived is called when the answer of a request has begun.
	firstTokenReceived(now eventloop.Nanos, req *Request)
	// answered is called when a request has its final answer.
	answered(req *Request, served bool)
	// policyRejection returns the answer for a request that the module rejects, with the delay that the module asks for.
	policyRejection(now eventloop.Nanos, req *Request, retryAfter int64) frontend.RejectionError

	// addStatus sets the fields of status that describe the queue.
	addStatus(status *Status)
	tenantStatuses() []TenantStatus
	setTenantLimits(tenants []Tenant) error
}

// arrival is a request that intake has accepted.
type arrival struct {
	request  *frontend.Request
	id       policy.RequestID
	tenant   policy.TenantID // noTenant if it has none
	deadline eventloop.Nanos // when the answer must be sent at the latest
	estimate policy.Estimate // the module's
}

// policyRejectionReason is the reason that clients receive if the module rejects a request.
const policyRejectionReason = "no engine could take it in time"

// directAdmission hands every request to the module as it arrives.
type directAdmission struct{ dispatcher *Dispatcher }

func (a *directAdmission) enqueue(eventloop.Nanos, arrival) (admission.Request, error) {
	return admission.Request{}, nil
}

func (a *directAdmission) enqueued(now eventloop.Nanos, req *Request) {
	a.dispatcher.module.RequestArrived(a.dispatcher.ModuleTime(now), req.policyRequest)
}

func (a *directAdmission) cancel(eventloop.Nanos, *Request) bool        { return false }
func (a *directAdmission) iterationStarted(eventloop.Nanos)             {}
func (a *directAdmission) advance(eventloop.Nanos) bool                 { return false }
func (a *directAdmission) iterationEnded(eventloop.Nanos)               {}
func (a *directAdmission) attemptStarted(eventloop.Nanos, *Request)     {}
func (a *directAdmission) firstTokenReceived(eventloop.Nanos, *Request) {}
func (a *directAdmission) answered(*Request, bool)                      {}
func (a *directAdmission) addStatus(*Status)                            {}
func (a *directAdmission) tenantStatuses() []TenantStatus               { return nil }
func (a *directAdmission) setTenantLimits([]Tenant) error               { return errNoAdmissionQueue }

func (a *directAdmission) policyRejection(_ eventloop.Nanos, _ *Request, retryAfter int64) frontend.RejectionError {
	return frontend.RejectionError{Reason: policyRejectionReason, RetryAfter: min(retryAfter, a.dispatcher.maxRetryAfter)}
}
