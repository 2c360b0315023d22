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
