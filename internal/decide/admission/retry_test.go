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
