package dispatch

import (
	"docksail/internal/decide/admission"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
	"slices"
)

// Requests that wait in the admission queue, until the module takes them or they are refused.

// unsentRequest is a request that the module has and has not sent.
type unsentRequest struct {
	id         policy.RequestID
	admittedAt eventloop.Nanos // let in
}

func (d *Dispatcher) unsentIndex(id policy.RequestID) int {
	return slices.IndexFunc(d.unsent, func(u unsentRequest) bool { return u.id == id })
}

// admits tells whether the admission queue lets in another.
func (d *Dispatcher) admits(now eventloop.Nanos) bool {
	d.ages = d.ages[:0]
	for _, u := range d.unsent {
		d.ages = append(d.ages, now-u.admittedAt)
	}
	return d.queue.CanAdmit(d.ages)
}

// admit hands a request that waited in the admission queue to the module.
func (d *Dispatcher) admit(now eventloop.Nanos, id policy.RequestID) {
	d.queue.Admit(now, admission.RequestID(id))
	req := d.requests.Find(id)
	req.queued, req.admitted = false, true
	d.unsent = append(d.unsent, unsentRequest{id: id, admittedAt: now})
	d.module.RequestArrived(d.ModuleTime(now), req.policyRequest)
}

// refuseQueued refuses a request that waits in the admission queue.
func (d *Dispatcher) refuseQueued(now eventloop.Nanos, id policy.RequestID, why admission.Verdict) {
	d.rejectQueued(id, why, d.queue.Reject(now, admission.RequestID(id), why))
}

// rejectQueued answers a request that the admission queue has given up.
func (d *Dispatcher) rejectQueued(id policy.RequestID, why admission.Verdict, a admission.RetryAdvice) {
	req := d.requests.Find(id)
	req.queued = false
	d.answer(req, func() { req.call.Reject(req.ID, d.refusal(why.String(), why.IsTenantLimit(), a)) }, &d.Counts.Rejected)
	d.dropIfDone(req)
}

func (d *Dispatcher) refusal(why string, own bool, a admission.RetryAdvice) frontend.RejectionError {
	no := frontend.RejectionError{Reason: why, TenantLimitExceeded: own, RetryAfter: min(a.RetryAfter, d.maxRetryAfter)}
	if a.Ticket != nil && no.RetryAfter == a.RetryAfter {
		no.Ticket = d.signer.Encode(a.Ticket)
	}
	return no
}
