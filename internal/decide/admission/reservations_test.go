package admission

import (
	"math/rand/v2"
	"testing"
)

// TestTickets checks that a ticket is valid once, for its client and in its time, and cannot be changed or forged.
func TestTickets(t *testing.T) {
	q := newQueue(t, 16, TenantLimits{Weight: 1}, TenantLimits{Weight: 1})
	now := sec
	var tickets []*Ticket
	for i := range 200 {
		verdict, advice := q.Enqueue(now, newRequest(0, 5, 100))
		if verdict != Queued && advice.Ticket != nil {
			tickets = append(tickets, advice.Ticket)
		}
		if i%4 == 0 {
			sendNext(q, now)
		}
		now += 10 * ms
	}
	if len(tickets) < 50 {
		t.Fatalf("%d reservations, want 50 or more", len(tickets))
	}
	r := q.interactive.reservations
	for _, ticket := range tickets {
		checkEncoding(t, r.signer, ticket)
	}
	if _, err := NewTicketSigner([]byte("another")).Decode(r.signer.Encode(tickets[0])); err == nil {
		t.Error("a ticket that was signed with another key is accepted")
	}
	ticket := tickets[len(tickets)-1]
	due := ticket.Slot * slotLength
	for _, test := range []struct {
		name   string
		now    Nanos
		tenant int
		client uint64
		want   bool
	}{
		{"too early", due - 3*slotLength, 0, 5, false},
		{"another tenant", due, 1, 5, false},
		{"another client", due, 0, 6, false},
		{"too late", due + 6*slotLength, 0, 5, false},
		{"a little early", due - slotLength/2, 0, 5, true},
		{"second time", due, 0, 5, false},
	} {
		if got := r.redeem(test.now, test.tenant, test.client, ticket); got != test.want {
			t.Errorf("%s: valid %v, want %v", test.name, got, test.want)
		}
	}
	if r.redeem(due, 0, 5, &Ticket{Tenant: 0, Client: 5, Slot: ticket.Slot, Serial: ticket.Serial + 4000}) {
		t.Error("a ticket with a serial that was not granted is valid")
	}
}

// checkEncoding checks that an encoded ticket can be decoded, and not if any of its bytes was changed.
func checkEncoding(t *testing.T, signer *TicketSigner, ticket *Ticket) {
	t.Helper()
	encoded := signer.Encode(ticket)
	if got, err := signer.Decode(encoded); err != nil || *got != *ticket {
		t.Fatalf("ticket %v decoded as %v, %v", ticket, got, err)
	}
	for i := range encoded {
		encoded[i] ^= 1
		if _, err := signer.Decode(encoded); err == nil {
			t.Fatalf("ticket accepted although byte %d was changed", i)
		}
		encoded[i] ^= 1
	}
}

// TestRetriesWithTickets checks that nearly all requests that were rejected in a burst are served if they retry with
// their ticket at the advised time, also with clock skew or after the throughput has fallen by half.
func TestRetriesWithTickets(t *testing.T) {
	const costPerMS = 25
	for _, test := range []struct {
		name            string
		throughputLater float64 // after the burst, as a fraction of that before
		maxClockError   Nanos
		minServed       float64 // as a fraction of the retries
	}{
		{"at the advised time", 1, 0, 0.95},
		{"clock skew", 1, 150 * ms, 0.95},
		{"half the throughput", 0.5, 0, 0.95},
	} {
		t.Run(test.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(3, 3))
			q := newQueue(t, 256, TenantLimits{Weight: 1})
			served := map[RequestID]bool{}
			servers := fleet{queue: q, served: func(id RequestID, _ Nanos) { served[id] = true }}
			now := sec
			step := func(costPerMS float64) {
				rejectExpired(q, now)
				servers.serve(now, now+ms, costPerMS)
				now += ms
			}
			type retry struct {
				at      Nanos
				request Request
			}
			var retries []retry
			for range 300 { // 1.2 s at five times the throughput
				for range 5 {
					request := newRequest(0, uint64(1+rng.IntN(500)), 100)
					request.Deadline = now + 2*sec
					verdict, advice := q.Enqueue(now, request)
					if verdict == Queued || advice.Ticket == nil {
						continue
					}
					clockError := Nanos(0)
					if test.maxClockError > 0 {
						clockError = rng.Int64N(2*test.maxClockError) - test.maxClockError
					}
					request.Ticket = advice.Ticket
					retries = append(retries, retry{now + advice.RetryAfter + clockError, request})
				}
				for range 4 {
					step(costPerMS)
				}
			}
			if len(retries) < 100 {
				t.Fatalf("%d rejections with a reservation, want 100 or more; counts %+v", len(retries), q.TenantCounts(0))
			}
			retryCount, queued := 0, map[RequestID]bool{}
			for end := now + 80*sec; now < end; {
				for i := range retries {
					if retries[i].request.Ticket == nil || now < retries[i].at {
						continue
					}
					request := retries[i].request
					retries[i].request.Ticket = nil // retried
					lastRequestID++
					request.ID, request.Deadline = lastRequestID, now+2*sec
					retryCount++
					if verdict, _ := q.Enqueue(now, request); verdict == Queued {
						queued[request.ID] = true
					}
				}
				step(costPerMS * test.throughputLater)
			}
			servedCount := 0
			for id := range queued {
				if served[id] {
					servedCount++
				}
			}
			fraction := float64(servedCount) / float64(retryCount)
			t.Logf("%d retries at the advised time, %.3f of them served", retryCount, fraction)
			if retryCount < 100 || fraction < test.minServed {
				t.Errorf("%.3f of %d retries served, want %.2f or more of at least 100", fraction, retryCount, test.minServed)
			}
		})
	}
}

// TestManyReservationsOfOneClient checks that a client with many reservations leaves capacity of each slot to others.
func TestManyReservationsOfOneClient(t *testing.T) {
	q := newQueue(t, 64, TenantLimits{Weight: 1})
	makeKnown(q, 1, 0, 5, 6)
	now := sec
	for range 2000 { // measures a throughput and fills the queue
		q.Enqueue(now, newRequest(0, 7, 100))
		if q.Waiting() > 50 {
			sendNext(q, now)
		}
		now += ms
	}
	var firstRetryAfter Nanos
	reservations := 0
	for range 1000 {
		if verdict, advice := q.Enqueue(now, newRequest(0, 5, 100)); verdict != Queued && advice.Ticket != nil {
			reservations++
			if firstRetryAfter == 0 {
				firstRetryAfter = advice.RetryAfter
			}
		}
	}
	if reservations < 20 {
		t.Fatalf("%d reservations, want 20 or more", reservations)
	}
	other := newRequest(0, 6, 100)
	if verdict, _ := q.Enqueue(now, other); verdict != Queued {
		t.Fatal(verdict)
	}
	advice := q.Reject(now, other.ID, Overloaded)
	if advice.Ticket == nil {
		t.Fatalf("no ticket in advice %+v", advice)
	}
	if advice.RetryAfter > firstRetryAfter+2*slotLength {
		t.Errorf("after %d reservations of another client the retry is due in %d ms; that client's first was in %d ms",
			reservations, advice.RetryAfter/ms, firstRetryAfter/ms)
	}
}

// TestEarlyRetries checks that when many clients retry before their time, their tickets are not valid, the number of
// waiting requests stays bounded, and a known client with one request is admitted soon.
func TestEarlyRetries(t *testing.T) {
	q := newQueue(t, 64, TenantLimits{Weight: 1})
	makeKnown(q, 1, 0, 6)
	now := sec
	var retries []Request
	for i := range 2000 {
		request := newRequest(0, 7, 100)
		verdict, advice := q.Enqueue(now, request)
		soon := (now + 4*sec) / slotLength
		if verdict != Queued && advice.Ticket != nil && advice.Ticket.Slot > soon {
			request.Ticket = advice.Ticket
			retries = append(retries, request)
		}
		if i%2 == 0 {
			sendNext(q, now)
		}
		now += ms
	}
	if len(retries) < 50 {
		t.Fatalf("%d retries, want 50 or more", len(retries))
	}
	before := q.TenantCounts(0)
	for _, request := range retries {
		lastRequestID++
		request.ID = lastRequestID
		q.Enqueue(now, request)
	}
	redeemed := q.TenantCounts(0).ReservationsRedeemed - before.ReservationsRedeemed
	if redeemed != 0 || q.Waiting() > 64 {
		t.Errorf("%d tickets valid before their time, want none; %d requests wait, want at most 64",
			redeemed, q.Waiting())
	}
	admitNext(q, now)
	small := newRequest(0, 6, 100)
	if verdict, _ := q.Enqueue(now, small); verdict != Queued {
		t.Fatalf("a small client is rejected: %v", verdict)
	}
	admitNext(q, now)
	if id, _ := q.NextAdmissible(0, 0); id != small.ID {
		if q.interactive.contains(small.ID) {
			t.Error("the request of the small client is not among the next two")
		}
	}
}

// TestRetryDelayFollowsShare checks that the retry delay of a client depends on its own share of the throughput and
// not on the waiting requests of a client that floods the queue.
func TestRetryDelayFollowsShare(t *testing.T) {
	q := newQueue(t, 1000, TenantLimits{Weight: 1})
	makeKnown(q, 0, 0, 7, 8)
	for range 100 {
		if verdict, _ := q.Enqueue(sec, newRequest(0, 7, 1000)); verdict != Queued {
			t.Fatal(verdict)
		}
	}
	now := sec
	for range 20 {
		now += 10 * ms
		admitNext(q, now)
		q.RecordSent(now, Request{PromptTokens: 1000})
	}
	small, flood := q.ReserveRetry(now, newRequest(0, 8, 1000), 0), q.ReserveRetry(now, newRequest(0, 7, 1000), 0)
	if small.Ticket == nil || flood.Ticket == nil {
		t.Fatalf("advice %+v and %+v, want two reservations", small, flood)
	}
	if small.RetryAfter > flood.RetryAfter/2 || flood.RetryAfter < 500*ms {
		t.Errorf("small client: retry after %d ms, want at most half of the flood's; flood: after %d ms, want 500",
			small.RetryAfter/ms, flood.RetryAfter/ms)
	}
}
