package inflight

import (
	"errors"
	"testing"

	"pgregory.net/rapid"

	"docksail/policy"
)

// begin begins an attempt and fails the test if that is not permitted.
func begin(t *testing.T, s *RequestState, kind OperationKind) policy.AttemptNumber {
	t.Helper()
	number, err := s.BeginAttempt(kind)
	if err != nil {
		t.Fatal(err)
	}
	return number
}

// end ends the outstanding attempt and fails the test if it does not have the given number.
func end(t *testing.T, s *RequestState, now int64, number policy.AttemptNumber, result AttemptResult) AttemptEnd {
	t.Helper()
	attemptEnd, err := s.EndAttempt(now, number, result)
	if err != nil {
		t.Fatal(err)
	}
	return attemptEnd
}

// prefill begins and ends a prefill attempt that leaves KV state on server 3.
func prefill(t *testing.T, s *RequestState, now int64) {
	t.Helper()
	end(t, s, now, begin(t, s, PrefillAttempt), prefilled)
}

var prefilled = AttemptResult{
	Outcome: policy.Prefilled, Server: 3, State: Acknowledged, MayHaveBeenReceived: true,
}

// TestRequestInvariants checks, with methods called in random order, that there is at most one final answer and one
// outstanding attempt, that no attempt begins after the answer, and that held state is tracked.
func TestRequestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := RequestState{ID: 1}
		answers, outstanding, holds := 0, false, false
		kind, next := PrefillAttempt, policy.AttemptNumber(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "method") {
			case 0:
				if s.MarkAnswered() == nil {
					answers++
				}
			case 1:
				newKind := rapid.SampledFrom([]OperationKind{PrefillAttempt, DecodeAttempt}).Draw(t, "kind")
				number, err := s.BeginAttempt(newKind)
				if (err == nil) != (!outstanding && answers == 0) {
					t.Fatalf("BeginAttempt: error %v with outstanding %v, %d answers", err, outstanding, answers)
				}
				if err == nil {
					if number != next {
						t.Fatalf("attempt has number %d, want %d", number, next)
					}
					outstanding, next, kind = true, next+1, newKind
				}
			case 2:
				number := policy.AttemptNumber(rapid.IntRange(0, int(next)+1).Draw(t, "number"))
				outcome := rapid.SampledFrom([]policy.Outcome{
					policy.Prefilled, policy.Failed, policy.TimedOut, policy.NotSent,
				}).Draw(t, "outcome")
				_, err := s.EndAttempt(5, number, AttemptResult{
					Outcome: outcome, Server: 3, State: Sent, MayHaveBeenReceived: true,
				})
				if (err == nil) != (outstanding && number == next-1) {
					t.Fatalf("EndAttempt of %d: error %v with outstanding %v, latest attempt %d", number, err, outstanding, next-1)
				}
				holds = holds || err == nil && kind == PrefillAttempt && outcome == policy.Prefilled
				outstanding = outstanding && err != nil
			case 3:
				if (s.MarkStateReleased() == nil) != holds {
					t.Fatalf("MarkStateReleased: want success only if state is held, held is %v", holds)
				}
				holds = false
			case 4:
				if outstanding {
					s.MarkAnswerStarted()
					holds = false
				}
			}
			if _, ok := s.StateHolder(); ok != holds {
				t.Fatalf("state held %v, want %v", ok, holds)
			}
			if s.Done() != (answers == 1 && !outstanding && !holds) {
				t.Fatalf("done %v with %d answers, outstanding %v, held %v", s.Done(), answers, outstanding, holds)
			}
		}
		if answers > 1 {
			t.Fatalf("%d final answers", answers)
		}
	})
}

// TestPrefillAttemptEnd checks that a release is needed if a prefill attempt may have left state that is not held.
func TestPrefillAttemptEnd(t *testing.T) {
	endOf := func(outcome policy.Outcome, mayHaveBeenReceived bool) AttemptEnd {
		s := RequestState{}
		return end(t, &s, 9, begin(t, &s, PrefillAttempt), AttemptResult{
			Outcome: outcome, Server: 3, State: Sent, MayHaveBeenReceived: mayHaveBeenReceived,
		})
	}
	for outcome, want := range map[policy.Outcome]bool{
		policy.Prefilled: false, policy.Rejected: false, policy.NotSent: false, policy.Unreachable: false,
		policy.Failed: true, policy.TimedOut: true, policy.ConnectionLost: true, policy.StaleConnection: true,
		policy.Canceled: true, policy.Served: true,
	} {
		if got := endOf(outcome, true).NeedsRelease; got != want {
			t.Errorf("prefill attempt with outcome %d: needs release %v, want %v", outcome, got, want)
		}
	}
	if endOf(policy.Canceled, false).NeedsRelease {
		t.Error("a prefill attempt that was not sent completely needs a release, want none")
	}
}

// TestDecodeAttemptEnd checks that the end of a decode attempt that is not known to have arrived does not restart the
// hold clock.
func TestDecodeAttemptEnd(t *testing.T) {
	endOf := func(outcome policy.Outcome, state DeliveryState, released, started bool) AttemptEnd {
		s := RequestState{}
		prefill(t, &s, 9)
		number := begin(t, &s, DecodeAttempt)
		if released && s.MarkStateReleased() != nil {
			t.Error("held state cannot be released during a decode attempt")
		}
		if started {
			s.MarkAnswerStarted()
		}
		return end(t, &s, 20, number, AttemptResult{
			Outcome: outcome, Server: 4, State: state, MayHaveBeenReceived: state >= Sent,
		})
	}
	unchanged := AttemptEnd{HoldClockUnchanged: true, HeldSince: 9}
	lost := AttemptEnd{NeedsRelease: true, HoldClockUnchanged: true, StateLost: true}
	for name, c := range map[string]struct{ got, want AttemptEnd }{
		"sent, timed out":               {endOf(policy.TimedOut, Sent, false, false), unchanged},
		"sent, connection lost":         {endOf(policy.ConnectionLost, Sent, false, false), unchanged},
		"unreachable":                   {endOf(policy.Unreachable, Connecting, false, false), unchanged},
		"rejected":                      {endOf(policy.Rejected, Completed, false, false), AttemptEnd{}},
		"partial answer":                {endOf(policy.ConnectionLost, Acknowledged, false, false), AttemptEnd{}},
		"released during, rejected":     {endOf(policy.Rejected, Completed, true, false), lost},
		"released during, timed out":    {endOf(policy.TimedOut, Sent, true, false), lost},
		"released during, then started": {endOf(policy.Served, Acknowledged, true, true), AttemptEnd{}},
		"started":                       {endOf(policy.ConnectionLost, Acknowledged, false, true), AttemptEnd{}},
	} {
		if c.got != c.want {
			t.Errorf("%s: %+v, want %+v", name, c.got, c.want)
		}
	}
}

// TestEarlyReleaseTime checks that the hold clock starts at the end of the prefill attempt, and restarts only at the
// end of an attempt that is known to have arrived.
func TestEarlyReleaseTime(t *testing.T) {
	const releaseTime = 1000
	s := RequestState{}
	due := func(state DeliveryState) int64 {
		at, ok := s.EarlyReleaseTime(state, releaseTime)
		if !ok {
			return -1
		}
		return at
	}
	prefill(t, &s, 100)
	if due(Planned) != -1 {
		t.Error("an early release is due without an outstanding attempt")
	}
	number := begin(t, &s, DecodeAttempt)
	for state, want := range map[DeliveryState]int64{
		Planned: 700, Connecting: 700, Sending: 700, Sent: 700, Acknowledged: -1,
	} {
		if got := due(state); got != want {
			t.Errorf("%s: due at %d, want %d", state, got, want)
		}
	}
	end(t, &s, 300, number, AttemptResult{Outcome: policy.Unreachable, Server: 4, State: Connecting})
	number = begin(t, &s, DecodeAttempt)
	if got := due(Sent); got != 700 {
		t.Errorf("after an unreachable server: due at %d, want 700", got)
	}
	end(t, &s, 400, number, AttemptResult{
		Outcome: policy.Rejected, Server: 4, State: Completed, MayHaveBeenReceived: true,
	})
	begin(t, &s, DecodeAttempt)
	if got := due(Sent); got != 1000 {
		t.Errorf("after an answer: due at %d, want 1000", got)
	}
	if s.MarkStateReleased() != nil || due(Sent) != -1 || s.ReleasePermission(Sent, false) != ReleaseAllowed {
		t.Error("released during the attempt: want no further release due, and the release allowed")
	}
}

// TestReleasePermissionAndCheckSend checks that a release is not sent while an attempt needs the state, and that a
// prefill attempt is not sent while an earlier release may still arrive after it.
func TestReleasePermissionAndCheckSend(t *testing.T) {
	s := RequestState{}
	conditions := SendConditions{Now: 5, StartDeadline: 6, ServerServing: true}
	releasing, draining, late := conditions, conditions, conditions
	releasing.ReleaseInFlight, draining.ServerServing, late.Now = true, false, 6
	wantPermission := func(when string, state DeliveryState, serverHeard bool, want ReleasePermission) {
		t.Helper()
		if got := s.ReleasePermission(state, serverHeard); got != want {
			t.Errorf("%s: permission %d, want %d", when, got, want)
		}
	}
	wantSend := func(when string, conditions SendConditions, want error) {
		t.Helper()
		if got := s.CheckSend(conditions); !errors.Is(got, want) {
			t.Errorf("%s: error %v, want %v", when, got, want)
		}
	}
	wantPermission("no attempt outstanding, no state held", Planned, false, ReleaseAllowed)
	wantSend("no attempt outstanding", conditions, ErrNoSuchAttempt)

	number := begin(t, &s, PrefillAttempt)
	wantPermission("prefill attempt planned", Planned, false, ReleaseAllowed)
	wantPermission("prefill attempt, silent server", Connecting, false, ReleaseIfUrgent)
	wantPermission("prefill attempt, server heard", Sent, true, ReleaseForbidden)
	wantSend("prefill attempt during a release", releasing, ErrReleaseInFlight)
	wantSend("prefill attempt", conditions, nil)

	end(t, &s, 9, number, prefilled)
	wantPermission("state held", Planned, false, ReleaseForbidden)

	begin(t, &s, DecodeAttempt)
	wantSend("server draining", draining, ErrServerNotServing)
	wantSend("start deadline passed", late, ErrStartDeadlinePassed)
	wantPermission("decode attempt outstanding", Sent, false, ReleaseForbidden)
	wantSend("decode attempt during a release", releasing, nil)

	s.MarkAnswerStarted()
	wantPermission("answer has begun", Acknowledged, false, ReleaseAllowed)
	if err := s.MarkAnswered(); err != nil {
		t.Fatal(err)
	}
	wantSend("request is answered", conditions, ErrAlreadyAnswered)
}

// TestCheckReleaseSend checks that a forbidden release has its own error if it was begun during a prefill attempt.
func TestCheckReleaseSend(t *testing.T) {
	for permission, want := range map[ReleasePermission][2]error{
		ReleaseAllowed: {nil, nil}, ReleaseIfUrgent: {nil, nil},
		ReleaseForbidden: {ErrStateNeeded, ErrReleaseSuperseded},
	} {
		got := [2]error{CheckReleaseSend(permission, false), CheckReleaseSend(permission, true)}
		if got != want {
			t.Errorf("permission %d: errors %v, want %v", permission, got, want)
		}
	}
}

func TestRequestStateDoesNotAllocate(t *testing.T) {
	served := AttemptResult{Outcome: policy.Served, Server: 4, State: Completed, MayHaveBeenReceived: true}
	use := func() {
		s := RequestState{ID: 1}
		number, _ := s.BeginAttempt(PrefillAttempt)
		_, _ = s.EndAttempt(1, number, prefilled)
		number, _ = s.BeginAttempt(DecodeAttempt)
		s.EarlyReleaseTime(Sent, 1000)
		s.MarkAnswerStarted()
		_, _ = s.EndAttempt(2, number, served)
		_ = s.MarkAnswered()
	}
	if n := testing.AllocsPerRun(1000, use); n != 0 {
		t.Errorf("%v allocations per request, want none", n)
	}
}
