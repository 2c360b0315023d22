package admission

import "testing"

const (
	ms  = Nanos(1e6)
	sec = Nanos(1e9)
)

// newQueue returns a queue for maxWaiting requests with the given tenants.
func newQueue(tb testing.TB, maxWaiting int, tenants ...TenantLimits) *Queue {
	tb.Helper()
	q, err := New(Config{
		MaxWaiting: maxWaiting, MaxKnownClients: 1024, Signer: NewTicketSigner([]byte("a key")),
	})
	if err != nil {
		tb.Fatal(err)
	}
	setTenants(tb, q, tenants...)
	return q
}

// setTenants adds tenants with the given limits, numbered from 0.
func setTenants(tb testing.TB, q *Queue, tenants ...TenantLimits) {
	tb.Helper()
	for number, limits := range tenants {
		if err := q.SetTenant(number, limits); err != nil {
			tb.Fatal(err)
		}
	}
}

// makeKnown records enough served requests of each client to make it known.
func makeKnown(q *Queue, now Nanos, tenant int, clients ...uint64) {
	for _, client := range clients {
		for range minServedRequests {
			q.interactive.clients.recordServed(now, tenant, client, 1000*sec)
		}
	}
}

var lastRequestID RequestID

// newRequest returns a request with a unique ID, no answer tokens and a deadline beyond the end of any test.
func newRequest(tenant int, client uint64, promptTokens int64) Request {
	lastRequestID++
	return Request{
		ID: lastRequestID, Tenant: tenant, Client: client, Source: 1, PromptTokens: promptTokens,
		Deadline: 1 << 60, RetryAfter: sec / 2,
	}
}

// admitNext admits the next request and returns its ID; 0 if there is none.
func admitNext(q *Queue, now Nanos) RequestID {
	id, _ := q.NextAdmissible(now, 0)
	q.Admit(now, id)
	return id
}

// sendNext admits the next request, if there is one, and records that it was sent.
func sendNext(q *Queue, now Nanos) {
	if id, ok := q.NextAdmissible(0, 0); ok {
		q.RecordSent(now, q.interactive.requests[id].Request)
		q.Admit(now, id)
	}
}

// rejectExpired rejects the requests that it is too late to admit.
func rejectExpired(q *Queue, now Nanos) {
	for id, ok := q.NextExpired(now); ok; id, ok = q.NextExpired(now) {
		q.Reject(now, id, TooLate)
	}
}

// fleet simulates servers with a limited throughput and no latency.
type fleet struct {
	queue  *Queue
	credit float64                      // cost that may be served now
	served func(id RequestID, at Nanos) // called for each served request
}

// serve admits and serves requests from one time to another, up to costPerMS in each millisecond.
func (f *fleet) serve(from, to Nanos, costPerMS float64) {
	for now := from; now < to; now += ms {
		f.credit = min(f.credit+costPerMS, 10*costPerMS)
		for f.credit > 0 {
			id, ok := f.queue.NextAdmissible(0, 0)
			if !ok {
				break
			}
			request := f.queue.interactive.requests[id].Request
			f.credit -= EstimatedCost(request.PromptTokens, request.MaxAnswerTokens)
			f.queue.RecordSent(now, request)
			f.queue.Admit(now, id)
			f.queue.RecordFinished(now, request, Result{Served: true})
			f.served(id, now)
		}
	}
}
