package dispatch

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/cespare/xxhash/v2"

	"docksail/internal/decide/admission"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

var errNoAdmissionQueue = errors.New("the dispatcher has no admission queue")

// Tenant is a tenant of the admission queue.
type Tenant struct {
	Name   string
	Limits admission.TenantLimits
}

// QueueConfig describes the admission queue of a dispatcher.
type QueueConfig struct {
	MaxWaiting      int  // interactive requests that may wait
	MaxKnownClients int  // clients whose recent use is remembered
	FIFO            bool // admits interactive requests in order of arrival
	// IssueTickets gives rejected clients a signed reservation, which they present when they retry.
	IssueTickets bool
	// MaxHeapBytes is the size of the heap above which waiting requests are shed; 0 = not limited.
	MaxHeapBytes uint64
	// Tenants are the tenants in the module's order. If tenants are not distinguished, there is one without a name.
	Tenants []Tenant
	// Secrets is the random source of the secret keys of tickets and hashes: crypto/rand.Reader except in simulations.
	Secrets io.Reader
}

// ticketKeyBytes is the length of the key that signs tickets.
const ticketKeyBytes = 32

// queuedAdmission keeps requests in an admission queue until the module can place them.
type queuedAdmission struct {
	dispatcher *Dispatcher
	queue      *admission.Queue
	signer     *admission.TicketSigner // nil = no tickets are issued
	tenants    []Tenant
	heap       heapMonitor
	hashSeed   uint64 // seeds the hashes of clients' names
	hash       xxhash.Digest

	unsent      []unsentRequest   // in the order of their admission
	unsentWaits []eventloop.Nanos // scratch of canAdmit: how long each of unsent has waited since its admission
	admitted    int               // requests admitted in this iteration of the loop ...
	maxAdmitted int               // ... and how many may be

	wakeupTimer eventloop.Timer
	onWakeup    func(eventloop.Nanos)
}

// unsentRequest is an admitted request for which no attempt was started yet.
type unsentRequest struct {
	id         policy.RequestID
	admittedAt eventloop.Nanos
}

// newQueuedAdmission returns an admission control with an empty queue. It returns an error if the keys cannot be read
// or a limit in config is invalid.
func newQueuedAdmission(d *Dispatcher, config *QueueConfig) (*queuedAdmission, error) {
	var keys [ticketKeyBytes + 8]byte
	if _, err := io.ReadFull(config.Secrets, keys[:]); err != nil {
		return nil, fmt.Errorf("read keys of the admission queue: %w", err)
	}
	a := &queuedAdmission{
		dispatcher: d, tenants: config.Tenants, heap: heapMonitor{maxBytes: config.MaxHeapBytes},
		hashSeed: binary.LittleEndian.Uint64(keys[ticketKeyBytes:]),
		onWakeup: func(eventloop.Nanos) {}, // the timer only has to start an iteration of the loop
	}
	if config.IssueTickets {
		a.signer = admission.NewTicketSigner(keys[:ticketKeyBytes])
	}
	var err error
	a.queue, err = admission.New(admission.Config{
		MaxWaiting: config.MaxWaiting, MaxKnownClients: config.MaxKnownClients, Signer: a.signer, FIFO: config.FIFO,
	})
	if err != nil {
		return nil, err
	}
	for i, tenant := range a.tenants {
		if err := a.queue.SetTenant(i, tenant.Limits); err != nil {
			return nil, err
		}
	}
	return a, nil
}

func (a *queuedAdmission) enqueue(now eventloop.Nanos, arrival arrival) (admission.Request, error) {
	request := a.queueRequest(arrival)
	verdict, advice := a.queue.Enqueue(now, request)
	if verdict == admission.Queued {
		request.Ticket = nil
		return request, nil
	}
	a.dispatcher.Counts.RejectedAtIntake++
	if verdict == admission.PromptTooLong {
		return admission.Request{}, fmt.Errorf("%s, %d tokens: %w", verdict, request.PromptTokens, frontend.ErrInvalidRequest)
	}
	return admission.Request{}, a.rejection(verdict.String(), verdict.IsTenantLimit(), advice)
}

// queueRequest returns the admission queue's description of a request.
func (a *queuedAdmission) queueRequest(arrival arrival) admission.Request {
	r := arrival.request
	request := admission.Request{
		ID: admission.RequestID(arrival.id), Tenant: max(int(arrival.tenant), 0),
		Client: a.hashName(arrival.tenant, r.Client), Source: a.hashName(-1, r.Source[:]),
		PromptTokens: r.PromptTokens, MaxAnswerTokens: r.MaxTokens, Background: r.Background,
		Deadline: arrival.deadline, Work: int64(arrival.estimate.Work),
		QueuedAfter: int64(arrival.estimate.QueuedAfter), RetryAfter: int64(arrival.estimate.RetryAfter),
	}
	if r.Ticket != nil && a.signer != nil {
		if ticket, err := a.signer.Decode(r.Ticket); err == nil {
			request.Ticket = ticket
		}
	}
	return request
}

// hashName returns a hash of a name that clients choose; 0 = no name. The seed is secret, so that no client can choose
// a name that collides with another's.
func (a *queuedAdmission) hashName(owner policy.TenantID, name []byte) uint64 {
	if len(name) == 0 {
		return 0
	}
	a.hash.ResetWithSeed(a.hashSeed ^ uint64(owner)*0x9e3779b97f4a7c15)
	_, _ = a.hash.Write(name) // never fails
	return max(a.hash.Sum64(), 1)
}

func (a *queuedAdmission) enqueued(_ eventloop.Nanos, req *Request) { req.isQueued = true }

func (a *queuedAdmission) cancel(now eventloop.Nanos, req *Request) bool {
	if !req.isQueued {
		return false
	}
	req.isQueued = false
	a.queue.Cancel(now, admission.RequestID(req.ID))
	return true
}

// iterationStarted sheds waiting requests if the loop lags or the heap exceeds its limit.
func (a *queuedAdmission) iterationStarted(now eventloop.Nanos) {
	lag := a.dispatcher.loop.LastIterationDuration()
	a.admitted, a.maxAdmitted = 0, a.queue.MaxAdmissions(lag)
	for n := a.queue.ShedCount(lag, a.heap.bytesInUse(now), a.heap.maxBytes); n > 0; n-- {
		id, ok := a.queue.NextToShed()
		if !ok {
			break
		}
		a.reject(now, policy.RequestID(id), admission.Overloaded)
	}
}

func (a *queuedAdmission) advance(now eventloop.Nanos) bool {
	if id, advice, ok := a.queue.PopDisplaced(now); ok {
		a.answerRejected(policy.RequestID(id), admission.QueueFull, advice)
		return true
	}
	if id, ok := a.queue.NextExpired(now); ok {
		a.reject(now, policy.RequestID(id), admission.TooLate)
		return true
	}
	id, ok := a.queue.NextAdmissible(now, len(a.unsent))
	if !ok || !a.canAdmit(now) {
		return false
	}
	if a.admitted >= a.maxAdmitted {
		a.dispatcher.loop.SkipNextWait()
		return false
	}
	a.admitted++
	a.admit(now, policy.RequestID(id))
	return true
}

// iterationEnded sets a timer for the time at which a waiting request expires or background requests may be admitted.
func (a *queuedAdmission) iterationEnded(now eventloop.Nanos) {
	if at, ok := a.queue.NextWakeup(now); ok {
		a.dispatcher.loop.SetTimer(&a.wakeupTimer, max(at, now+1), a.onWakeup)
	}
}

// canAdmit reports whether another request may be admitted in addition to those that have not been sent yet.
func (a *queuedAdmission) canAdmit(now eventloop.Nanos) bool {
	a.unsentWaits = a.unsentWaits[:0]
	for _, u := range a.unsent {
		a.unsentWaits = append(a.unsentWaits, now-u.admittedAt)
	}
	return a.queue.CanAdmit(a.unsentWaits)
}

// admit hands a waiting request to the module.
func (a *queuedAdmission) admit(now eventloop.Nanos, id policy.RequestID) {
	d := a.dispatcher
	a.queue.Admit(now, admission.RequestID(id))
	req := d.requests.Find(id)
	req.isQueued, req.isAdmitted = false, true
	a.unsent = append(a.unsent, unsentRequest{id: id, admittedAt: now})
	d.module.RequestArrived(d.ModuleTime(now), req.policyRequest)
}

// reject removes a waiting request from the queue and answers it.
func (a *queuedAdmission) reject(now eventloop.Nanos, id policy.RequestID, verdict admission.Verdict) {
	a.answerRejected(id, verdict, a.queue.Reject(now, admission.RequestID(id), verdict))
}

// answerRejected answers a request that the queue has removed.
func (a *queuedAdmission) answerRejected(id policy.RequestID, verdict admission.Verdict, advice admission.RetryAdvice) {
	d := a.dispatcher
	req := d.requests.Find(id)
	req.isQueued = false
	d.reject(req, a.rejection(verdict.String(), verdict.IsTenantLimit(), advice))
	d.removeIfDone(req)
}

// rejection returns the error that tells a client when to retry. It has a signed ticket if a place was reserved, unless
// maxRetryAfter makes the client retry before the reserved time.
func (a *queuedAdmission) rejection(reason string, tenantLimit bool, advice admission.RetryAdvice,
) frontend.RejectionError {
	rejection := frontend.RejectionError{
		Reason: reason, TenantLimitExceeded: tenantLimit, RetryAfter: min(advice.RetryAfter, a.dispatcher.maxRetryAfter),
	}
	if advice.Ticket != nil && rejection.RetryAfter == advice.RetryAfter {
		rejection.Ticket = a.signer.Encode(advice.Ticket)
	}
	return rejection
}

func (a *queuedAdmission) policyRejection(now eventloop.Nanos, req *Request, retryAfter int64) frontend.RejectionError {
	if a.unsentIndex(req.ID) >= 0 {
		a.queue.RecordNotSent()
	}
	if retryAfter > 0 { // the queue reserves a place after that delay or a longer one
		advice := a.queue.ReserveRetry(now, req.queueRequest, retryAfter)
		return a.rejection(policyRejectionReason, false, advice)
	}
	return frontend.RejectionError{Reason: policyRejectionReason, RetryAfter: min(retryAfter, a.dispatcher.maxRetryAfter)}
}

func (a *queuedAdmission) attemptStarted(now eventloop.Nanos, req *Request) {
	if i := a.unsentIndex(req.ID); i >= 0 {
		a.unsent = slices.Delete(a.unsent, i, i+1)
		a.queue.RecordSent(now, req.queueRequest)
	}
}

func (a *queuedAdmission) firstTokenReceived(now eventloop.Nanos, req *Request) {
	if req.isAdmitted {
		a.queue.RecordFirstToken(now, req.queueRequest, now-req.arrivedAt)
	}
}

func (a *queuedAdmission) answered(req *Request, served bool) {
	if !req.isAdmitted {
		return
	}
	req.isAdmitted = false
	result := admission.Result{Served: served, AnswerTokens: req.relayedMessages}
	a.queue.RecordFinished(a.dispatcher.loop.Now(), req.queueRequest, result)
	if i := a.unsentIndex(req.ID); i >= 0 {
		a.unsent = slices.Delete(a.unsent, i, i+1)
	}
}

func (a *queuedAdmission) unsentIndex(id policy.RequestID) int {
	return slices.IndexFunc(a.unsent, func(u unsentRequest) bool { return u.id == id })
}

func (a *queuedAdmission) addStatus(status *Status) {
	status.Waiting, status.Flows = a.queue.Waiting(), a.queue.FlowCount()
	status.BackgroundWaiting = a.queue.BackgroundWaiting()
	status.BackgroundInFlight = a.queue.BackgroundInFlight()
	status.BackgroundLimit = a.queue.BackgroundLimit()
}

func (a *queuedAdmission) tenantStatuses() []TenantStatus {
	var statuses []TenantStatus
	for i, tenant := range a.tenants {
		waiting, running := a.queue.TenantLoad(i)
		statuses = append(statuses, TenantStatus{
			Name: tenant.Name, Weight: tenant.Limits.Weight,
			Waiting: waiting, Running: running, Counts: a.queue.TenantCounts(i),
		})
	}
	return statuses
}

func (a *queuedAdmission) setTenantLimits(tenants []Tenant) error {
	if len(tenants) != len(a.tenants) {
		return fmt.Errorf("configuration has %d tenants, the dispatcher was started with %d", len(tenants), len(a.tenants))
	}
	for i, tenant := range tenants {
		if tenant.Name != a.tenants[i].Name {
			return fmt.Errorf("tenant %q was added or moved, which requires a restart", tenant.Name)
		}
	}
	for _, tenant := range tenants {
		if err := tenant.Limits.Validate(); err != nil {
			return err
		}
	}
	for i, tenant := range tenants {
		if err := a.queue.SetTenant(i, tenant.Limits); err != nil {
			return err
		}
	}
	a.tenants = tenants
	return nil
}
