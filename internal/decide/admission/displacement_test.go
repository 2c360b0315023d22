package admission

import "testing"

// TestDisplacement checks that in a full queue the requests of one client are displaced by those of another, the
// newest first, until both have an equal share, and that the same holds at the limit of one tenant.
func TestDisplacement(t *testing.T) {
	q := newQueue(t, 64, TenantLimits{Weight: 1, MaxWaiting: 100}, TenantLimits{Weight: 1, MaxWaiting: 4})
	makeKnown(q, 0, 0, 5, 6, 7)
	makeKnown(q, 0, 1, 8, 9)
	last := RequestID(0)
	for {
		request := newRequest(0, 5, 100)
		if verdict, _ := q.Enqueue(0, request); verdict != Queued {
			break
		}
		last = request.ID
	}
	capacity := q.Waiting()
	for i := range capacity {
		verdict, _ := q.Enqueue(0, newRequest(0, 6, 100))
		if want := i < capacity/2; want != (verdict == Queued) {
			t.Fatalf("request %d of the other client, at a capacity of %d: %v", i, capacity, verdict)
		}
		id, _, ok := q.PopDisplaced(0)
		if ok != (verdict == Queued) || ok && id != last-RequestID(i) {
			t.Fatalf("request %d displaces %d (%v), want the newest, %d", i, id, ok, last-RequestID(i))
		}
		if q.Waiting() != capacity {
			t.Fatalf("%d requests wait, want %d", q.Waiting(), capacity)
		}
	}
	checkDisplacementWithinTenant(t, q)
}

// checkDisplacementWithinTenant checks on a full queue that the requests of the second tenant, of which 4 may wait,
// displace each other at that limit, and that a displaced request whose client leaves is discarded.
func checkDisplacementWithinTenant(t *testing.T, q *Queue) {
	t.Helper()
	for range 5 {
		q.Enqueue(0, newRequest(1, 8, 100))
	}
	if waiting, _ := q.TenantLoad(1); waiting != 4 {
		t.Fatalf("%d requests of the second tenant wait, want its limit of 4", waiting)
	}
	q.interactive.displacedRequests = q.interactive.displacedRequests[:0]
	if verdict, _ := q.Enqueue(0, newRequest(1, 9, 100)); verdict != Queued {
		t.Error(verdict)
	}
	displaced := q.interactive.displacedRequests
	if waiting, _ := q.TenantLoad(1); waiting != 4 || len(displaced) != 1 || displaced[0].Client != 8 {
		t.Fatalf("%d requests wait, want 4; %v displaced, want one of client 8", waiting, displaced)
	}
	if q.Cancel(0, displaced[0].ID) || len(q.interactive.displacedRequests) != 0 {
		t.Error("a displaced request is still to be rejected after its client has left")
	}
}
