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
		if q.interactive.throughput.costPerNano(start+sec) == 0 {
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
