package admission

import "testing"

func newBackgroundRequest() Request {
	request := newRequest(0, 0, 100)
	request.Background, request.Deadline = true, sec
	return request
}

// TestBackgroundRequests checks that background requests are admitted only while no interactive request waits and none
// is unsent, have a queue limit of their own, and are shed first.
func TestBackgroundRequests(t *testing.T) {
	q := newQueue(t, 40, TenantLimits{Weight: 1})
	var first Request
	for i := range 12 {
		request := newBackgroundRequest()
		if i == 0 {
			first = request
		}
		verdict, advice := q.Enqueue(0, request)
		want := i < 9 // a quarter of 40, less the eighth kept for reservations
		if (verdict == Queued) != want || verdict != Queued && advice.RetryAfter <= 0 {
			t.Fatalf("background request %d: %v, %+v", i, verdict, advice)
		}
	}
	for range 35 {
		if verdict, _ := q.Enqueue(0, newRequest(0, 0, 100)); verdict != Queued {
			t.Fatalf("an interactive request is rejected while background requests wait: %v", verdict)
		}
	}
	for range 35 {
		id, ok := q.NextAdmissible(1, 0)
		if !ok || !q.interactive.contains(id) {
			t.Fatal("a background request is admissible before interactive ones")
		}
		q.Admit(1, id)
	}
	if _, ok := q.NextAdmissible(1, 1); ok {
		t.Error("a background request is admissible while a request is unsent")
	}
	id, ok := q.NextAdmissible(1, 0)
	if !ok || id != first.ID {
		t.Fatalf("request %d is next (%v), want the first background request, %d", id, ok, first.ID)
	}
	q.Admit(1, id)
	if _, ok := q.NextAdmissible(1, 0); ok || q.BackgroundInFlight() != 1 {
		t.Errorf("a second background request is admissible before the first token of the first; %d in flight, want 1",
			q.BackgroundInFlight())
	}
	q.RecordFirstToken(2, first, 1)
	q.RecordFinished(2, first, Result{Served: true, AnswerTokens: 10})
	if q.BackgroundInFlight() != 0 {
		t.Errorf("%d background requests in flight after the only one ended, want none", q.BackgroundInFlight())
	}
	interactive := newRequest(0, 0, 100)
	interactive.Deadline = sec
	q.Enqueue(3, interactive)
	if id, _ := q.NextToShed(); !q.background.contains(id) {
		t.Error("an interactive request is shed before background requests")
	}
	now, expired := 2*sec, 0
	for id, ok := q.NextExpired(now); ok; id, ok = q.NextExpired(now) {
		if advice := q.Reject(now, id, TooLate); advice.RetryAfter <= 0 {
			t.Errorf("request rejected with advice %+v, want a retry delay", advice)
		}
		expired++
	}
	if expired != 9 || q.Waiting() != 0 {
		t.Errorf("%d requests expired, want 9; %d wait, want none", expired, q.Waiting())
	}
}
