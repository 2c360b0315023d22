package admission

import "testing"

// TestClockGoesBack guards against a tenant that loses its tokens because a time is earlier than the one before.
func TestClockGoesBack(t *testing.T) {
	q := newQueue(t, 100, TenantLimits{Weight: 1, RequestsPerSecond: 10})
	for i, now := range []Nanos{5 * sec, 4 * sec, 4 * sec} {
		if verdict, _ := q.Enqueue(now, newRequest(0, 1, 100)); verdict != Queued {
			t.Errorf("request %d is rejected (%v), want it within the burst of 10", i, verdict)
		}
	}
}

// TestThroughputFromTimeZero guards against a queue that is not measured because its first request came at time 0.
func TestThroughputFromTimeZero(t *testing.T) {
	for _, start := range []Nanos{0, sec} {
		q := newQueue(t, 100, TenantLimits{Weight: 1})
		for range 20 {
			q.Enqueue(start, newRequest(0, 1, 100))
		}
		for i := range Nanos(10) {
			sendNext(q, start+(i+1)*100*ms)
		}
		if q.interactive.throughput.CostPerNano() == 0 {
			t.Errorf("no throughput is measured from time %d on", start)
		}
	}
}

// TestDisplacementByTenantLimit guards against a request that is displaced because of its tenant's own limit and counts
// as one that found the whole queue full.
func TestDisplacementByTenantLimit(t *testing.T) {
	q := newQueue(t, 1000, TenantLimits{Weight: 1, MaxWaiting: 4})
	makeKnown(q, 0, 0, 1, 2)
	for range 4 {
		q.Enqueue(sec, newRequest(0, 1, 100))
	}
	if verdict, _ := q.Enqueue(sec, newRequest(0, 2, 100)); verdict != Queued {
		t.Fatalf("the other client's request is rejected: %v", verdict)
	}
	rejected := q.TenantCounts(0).Rejected
	if rejected[TenantQueueFull] != 1 || rejected[QueueFull] != 0 {
		t.Errorf("%d rejections count as TenantQueueFull and %d as QueueFull, want 1 and 0",
			rejected[TenantQueueFull], rejected[QueueFull])
	}
}

// TestRetryNotBeforeAskedTime guards against advice to retry before the delay that was asked for, at a reserved slot or
// where no slot has capacity.
func TestRetryNotBeforeAskedTime(t *testing.T) {
	q := newQueue(t, 1000, TenantLimits{Weight: 1})
	for range 40 {
		q.Enqueue(sec, newRequest(0, 1, 100))
	}
	for i := range Nanos(20) {
		sendNext(q, sec+(i+1)*50*ms)
	}
	now := 2 * sec
	for _, delay := range []Nanos{0, 333 * ms, 1111 * ms, 2*sec + 1, 100 * sec} {
		for range 8 { // serials spread the retries over a slot
			advice := q.ReserveRetry(now, newRequest(0, 1, 100), delay)
			if advice.RetryAfter < delay {
				t.Errorf("a retry is advised after %d ms (ticket %v), want %d ms or more",
					advice.RetryAfter/ms, advice.Ticket, delay/ms)
			}
		}
	}
}

// TestRejectionKeepsTicket guards against a ticket that is used up by a rejection: the request that presented it has to
// get another one, or may present it again.
func TestRejectionKeepsTicket(t *testing.T) {
	q := newQueue(t, 8, TenantLimits{Weight: 1})
	makeKnown(q, 0, 0, 1, 2, 3)
	for range 7 {
		q.Enqueue(sec, newRequest(0, 9, 100))
	}
	for i := range Nanos(7) {
		sendNext(q, sec+(i+1)*50*ms)
	}
	now := 2 * sec
	present := func(client uint64, ticket *Ticket) (Verdict, RetryAdvice) {
		request := newRequest(0, client, 100)
		request.Ticket = ticket
		return q.Enqueue(now, request)
	}
	first := q.ReserveRetry(now, newRequest(0, 1, 100), 0).Ticket
	second := q.ReserveRetry(now, newRequest(0, 2, 100), 0).Ticket
	if first == nil || second == nil {
		t.Fatalf("tickets %v and %v, want two", first, second)
	}
	now = max(first.Slot, second.Slot) * slotLength
	for i := range uint64(7) {
		if verdict, _ := present(100+i, nil); verdict != Queued {
			t.Fatalf("request %d of 7 is rejected: %v", i, verdict)
		}
	}
	if verdict, _ := present(1, first); verdict != Queued {
		t.Fatalf("the request for which room is kept is rejected: %v", verdict)
	}
	q.interactive.fifo = true               // so that no waiting request gives way
	q.interactive.reservations.signer = nil // so that no further reservation is made
	verdict, advice := present(2, second)
	if verdict != QueueFull || advice.Ticket == nil || *advice.Ticket != *second {
		t.Fatalf("verdict %v, ticket %v; want a full queue and the same ticket", verdict, advice.Ticket)
	}
	for range 4 {
		admitNext(q, now)
	}
	if verdict, _ := present(2, advice.Ticket); verdict != Queued || q.TenantCounts(0).ReservationsInvalid > 0 {
		t.Errorf("verdict %v, %d tickets invalid; want the request queued with its ticket",
			verdict, q.TenantCounts(0).ReservationsInvalid)
	}
}
