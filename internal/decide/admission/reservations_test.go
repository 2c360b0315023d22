package admission

import (
	"math/rand/v2"
	"testing"
)

// TestTickets checks that a ticket is valid once, for its client, at its time, and cannot be changed or invented.
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
	due := ticket.Slot * r.slotLength
	for _, test := range []struct {
		name   string
		now    Nanos
		tenant int
		client uint64
		want   bool
	}{
		{"too early", due - 3*r.slotLength, 0, 5, false},
		{"another tenant", due, 1, 5, false},
		{"another client", due, 0, 6, false},
		{"too late", due + 6*r.slotLength, 0, 5, false},
		{"a little early", due - r.slotLength/2, 0, 5, true},
		{"second time", due, 0, 5, false},
	} {
		if got := r.redeem(test.now, test.tenant, test.client, ticket); got != test.want {
			t.Errorf("%s: valid %v, want %v", test.name, got, test.want)
		}
	}
	if r.redeem(due, 0, 5, &Ticket{Tenant: 0, Client: 5, Slot: ticket.Slot, Serial: ticket.Serial + 4000}) {
		t.Error("a ticket with a serial that was never granted is valid")
	}
}

// checkEncoding checks that a ticket can be decoded, and that none of its bytes can be changed.
func checkEncoding(t *testing.T, signer *TicketSigner, ticket *Ticket) {
	t.Helper()
	encoded := signer.Encode(ticket)
	if got, err := signer.Decode(encoded); err != nil || *got != *ticket {
		t.Fatalf("ticket %v decoded as %v, %v", ticket, got, err)
	}
	for i := range encoded {
		encoded[i] ^= 1
		if _, err := signer.Decode(encoded); err == nil {
			t.Fatalf("byte %d was changed and the ticket accepted", i)
		}
		encoded[i] ^= 1
	}
}

// TestRetriesWithTickets checks that nearly all requests that were rejected in a burst are admitted and served if they
// retry with their ticket at the advised time, also if clocks are off or the throughput has fallen to half meanwhile.
func TestRetriesWithTickets(t *testing.T) {
	const costPerMS = 25
	for _, test := range []struct {
		name            string
		throughputLater float64 // after the burst, as a part of that before
		maxClockError   Nanos
		minServed       float64 // as a part of the retries
	}{
		{"at the advised time", 1, 0, 0.95},
		{"clocks off", 1, 150 * ms, 0.95},
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
			for range 300 { // more than a second of five times the throughput
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
				t.Fatalf("%d rejected with a reservation, want 100 or more; %+v", len(retries), q.TenantCounts(0))
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
			part := float64(servedCount) / float64(retryCount)
			t.Logf("%d retries at the advised time, %.3f of them served", retryCount, part)
			if retryCount < 100 || part < test.minServed {
				t.Errorf("%.3f of %d retries served, want %.2f or more of at least 100", part, retryCount, test.minServed)
			}
		})
	}
}

// TestManyReservationsOfOneClient checks that a client that makes a thousand reservations leaves capacity of each slot
// to others.
func TestManyReservationsOfOneClient(t *testing.T) {
	q := newQueue(t, 64, TenantLimits{Weight: 1})
	makeKnown(q, 1, 0, 5, 6)
	now := sec
	for range 2000 { // a throughput is measured, and the queue is full
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
		t.Fatalf("%+v: want a reservation", advice)
	}
	if advice.RetryAfter > firstRetryAfter+2*q.interactive.reservations.slotLength {
		t.Errorf("after %d reservations of another client the retry is due in %d ms, the first of those was in %d ms",
			reservations, advice.RetryAfter/ms, firstRetryAfter/ms)
	}
}

// TestEarlyRetries checks that tickets are not valid if their clients all retry at once before their time, that the
// number of waiting requests stays bounded then, and that a small known client is admitted soon.
func TestEarlyRetries(t *testing.T) {
	q := newQueue(t, 64, TenantLimits{Weight: 1})
	makeKnown(q, 1, 0, 6)
	now := sec
	var retries []Request
	for i := range 2000 {
		request := newRequest(0, 7, 100)
		verdict, advice := q.Enqueue(now, request)
		soon := (now + 4*sec) / q.interactive.reservations.slotLength
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
		t.Errorf("%d tickets were valid before their time, want none; %d requests wait, want at most 64",
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

// TestRetryDelayFollowsShare checks that a client that is rejected while the flood of another waits is told to retry
// after the requests before its own share, and not after the flood.
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
		t.Fatalf("%+v and %+v, want two reservations", small, flood)
	}
	if small.RetryAfter > flood.RetryAfter/2 || flood.RetryAfter < 500*ms {
		t.Errorf("retry after %d ms for the small client, want at most half of the flood's; %d ms for the flood, want 500",
			small.RetryAfter/ms, flood.RetryAfter/ms)
	}
}
