package dispatch

import (
	"fmt"
	"strconv"

	"docksail/internal/decide/intake"
	"docksail/internal/decide/memory"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// noTenant is the tenant of requests that have none.
const noTenant policy.TenantID = -1

// Submit implements frontend.Dispatcher. It accepts a request and returns its ID. Otherwise it returns a
// frontend.RejectionError if the client may retry, or an error that wraps frontend.ErrInvalidRequest.
func (d *Dispatcher) Submit(now eventloop.Nanos, response frontend.ResponseWriter, r *frontend.Request,
) (policy.RequestID, error) {
	class, tenant, err := d.classAndTenant(r)
	if err != nil {
		return 0, err
	}
	settings := &d.classSettings[class]
	timeLeft := settings.timeLeft(r) - d.answerLeadTime
	deadline := now + timeLeft
	policyRequest := d.policyRequest(class, tenant, r, d.ModuleTime(deadline))
	estimate := d.module.Estimate(d.ModuleTime(now), policyRequest)
	if err := d.checkIntake(r, timeLeft, estimate); err != nil {
		return 0, err
	}
	id, req := d.requests.Add()
	policyRequest.ID = id
	if req.dispatcher == nil { // the record is new
		req.memory = d.memory.NewAccount(memory.Requests)
	}
	queueRequest, err := d.admission.enqueue(now, arrival{
		request: r, id: id, tenant: tenant, deadline: deadline, estimate: estimate,
	})
	if err != nil {
		d.requests.Remove(id)
		return 0, err
	}
	d.Counts.Requests++
	req.reset(d, id, class, response, r, now)
	req.queueRequest = queueRequest
	req.policyRequest = policyRequest
	d.loop.SetTimer(&req.answerTimer, deadline+intake.OverdueMarginNanos, req.onAnswerDeadline)
	d.admission.enqueued(now, req)
	return id, nil
}

// classAndTenant looks up the class and the tenant that a request names.
func (d *Dispatcher) classAndTenant(r *frontend.Request) (policy.ClassID, policy.TenantID, error) {
	class, ok := d.classes[string(r.Class)]
	if !ok {
		return 0, noTenant, fmt.Errorf("class %q is unknown: %w", r.Class, frontend.ErrInvalidRequest)
	}
	if len(d.tenants) == 0 || d.tenantOptional && len(r.Tenant) == 0 {
		return class, noTenant, nil
	}
	tenant, ok := d.tenants[string(r.Tenant)]
	if !ok {
		return 0, noTenant, fmt.Errorf("tenant %q is unknown: %w", r.Tenant, frontend.ErrInvalidRequest)
	}
	return class, tenant, nil
}

// timeLeft returns how long the client of an arriving request waits: the timeout of the class, or less if the request
// sets a shorter one.
func (s *classSettings) timeLeft(r *frontend.Request) int64 {
	left := s.timeout
	if r.FirstTokenTimeout > 0 {
		left = min(left, r.FirstTokenTimeout)
	}
	if r.CallTimeout > 0 {
		left = min(left, r.CallTimeout)
	}
	return left
}

// checkIntake returns an error if intake does not accept the request.
func (d *Dispatcher) checkIntake(r *frontend.Request, timeLeft int64, estimate policy.Estimate) error {
	verdict, retryAfter := d.intake.Check(d.requests.Len(), intake.Arrival{
		PromptTokens: r.PromptTokens, TimeLeft: timeLeft,
		Work: int64(estimate.Work), RetryAfter: int64(estimate.RetryAfter),
	})
	if verdict == intake.Accepted && !d.memory.Admits(memory.Requests, 0, requestBytes(r)) {
		verdict, retryAfter = intake.OutOfMemory, int64(estimate.RetryAfter)
	}
	if verdict == intake.Accepted {
		return nil
	}
	d.Counts.RejectedAtIntake++
	if verdict.IsRetryable() {
		return frontend.RejectionError{Reason: verdict.String(), RetryAfter: min(retryAfter, d.maxRetryAfter)}
	}
	return fmt.Errorf("%s, %d tokens of at most %d: %w", verdict, r.PromptTokens, d.intake.MaxPromptTokens,
		frontend.ErrInvalidRequest)
}

// requestBytes returns the memory that a request takes while it is in flight.
func requestBytes(r *frontend.Request) int64 {
	return memory.RequestBytes + int64(len(r.Raw)+len(r.ClientRequestID)+len(r.Path)+len(r.Header))
}

// policyRequest returns the module's description of a request, without its ID.
func (d *Dispatcher) policyRequest(class policy.ClassID, tenant policy.TenantID, r *frontend.Request,
	deadline policy.Nanos,
) policy.Request {
	owner := tenant
	if d.keysAreGlobal {
		owner = noTenant
	}
	return policy.Request{
		Class: class, Tenant: tenant,
		Session:      policy.SessionKey(d.hashKey(sessionKey, owner, r.Session)),
		Prefix:       policy.PrefixKey(d.hashKey(prefixKey, owner, r.Prefix)),
		PromptTokens: r.PromptTokens, PrefixTokens: r.PrefixTokens, MaxOutputTokens: r.MaxTokens,
		Deadline: deadline, ExpectedDuration: policy.Nanos(r.ExpectedDuration), IsRetry: r.PreviousAttempts > 0,
	}
}

// Kinds of keys. The kind is part of what is hashed, so that a session and a prefix of the same name differ.
const (
	sessionKey byte = 's'
	prefixKey  byte = 'b'
)

// hashKey returns the number that identifies a session or prefix of an owner at every dispatcher; 0 = no name.
func (d *Dispatcher) hashKey(kind byte, owner policy.TenantID, name []byte) uint64 {
	if len(name) == 0 {
		return 0
	}
	d.keyHash.ResetWithSeed(d.keyHashSeed)
	_, _ = d.keyHash.Write([]byte{kind, byte(owner), byte(owner >> 8), byte(owner >> 16), byte(owner >> 24)})
	_, _ = d.keyHash.Write(name) // never fails
	return max(d.keyHash.Sum64(), 1)
}

// RequestName implements frontend.Dispatcher. The name consists of the dispatcher's incarnation and the request's ID,
// so it is unique over dispatchers and restarts.
func (d *Dispatcher) RequestName(id policy.RequestID) string {
	var b [33]byte
	return string(strconv.AppendUint(append(strconv.AppendUint(b[:0], d.incarnation, 16), '.'), uint64(id), 16))
}
