package inflight

import (
	"docksail/policy"
	"testing"

	"pgregory.net/rapid"
)

// Whatever is asked in whatever order: one final answer, one attempt out, no attempt after the answer, and no held state is forgotten.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := RequestState{ID: 1}
		answers, out, held := 0, false, false
		kind, next := PrefillAttempt, policy.AttemptNumber(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				if r.MarkAnswered() == nil {
					answers++
				}
			case 1:
				wanted := rapid.SampledFrom([]OperationKind{PrefillAttempt, DecodeAttempt}).Draw(t, "kind")
				number, err := r.BeginAttempt(wanted)
				if (err == nil) != (!out && answers == 0) {
					t.Fatalf("attempt: %v while out %v, %d answers", err, out, answers)
				}
				if err == nil {
					if number != next {
						t.Fatalf("attempt is number %d, want %d", number, next)
					}
					out, next, kind = true, next+1, wanted
				}
			case 2:
				number := policy.AttemptNumber(rapid.IntRange(0, int(next)+1).Draw(t, "number"))
				outcome := rapid.SampledFrom([]policy.Outcome{policy.Prefilled, policy.Failed, policy.TimedOut, policy.NotSent}).Draw(t, "outcome")
				_, err := r.EndAttempt(5, number, outcome, 3, Sent, true)
				if (err == nil) != (out && number == next-1) {
					t.Fatalf("end of %d: %v while out %v, last %d", number, err, out, next-1)
				}
				held = held || err == nil && kind == PrefillAttempt && outcome == policy.Prefilled
				out = out && err != nil
			case 3:
				if (r.MarkStateReleased() == nil) != held {
					t.Fatalf("taken for a release though held is %v", held)
				}
				held = false
			case 4:
				if out {
					r.MarkAnswerStarted()
					held = false
				}
			}
			if _, is := r.StateHolder(); is != held {
				t.Fatalf("held %v, want %v", is, held)
			}
			if r.Done() != (answers == 1 && !out && !held) {
				t.Fatalf("done %v with %d answers, out %v, held %v", r.Done(), answers, out, held)
			}
		}
		if answers > 1 {
			t.Fatalf("%d final answers", answers)
		}
	})
}

// What an attempt may leave is released whatever its end but where it cannot have run; an end that is no proof of arrival starts no
// clock anew.
func TestEndings(t *testing.T) {
	read := func(outcome policy.Outcome, written bool) AttemptEnd {
		r := RequestState{}
		number, _ := r.BeginAttempt(PrefillAttempt)
		ending, _ := r.EndAttempt(9, number, outcome, 3, Sent, written)
		return ending
	}
	for outcome, want := range map[policy.Outcome]bool{
		policy.Prefilled: false, policy.Rejected: false, policy.NotSent: false, policy.Unreachable: false,
		policy.Failed: true, policy.TimedOut: true, policy.ConnectionLost: true, policy.StaleConnection: true, policy.Canceled: true, policy.Served: true,
	} {
		if got := read(outcome, true).NeedsRelease; got != want {
			t.Errorf("a read that ended with %d: release %v, want %v", outcome, got, want)
		}
	}
	if read(policy.Canceled, false).NeedsRelease {
		t.Error("a read that was never written whole leaves nothing")
	}
	write := func(outcome policy.Outcome, stage DeliveryState, released, begun bool) AttemptEnd {
		r := RequestState{}
		number, _ := r.BeginAttempt(PrefillAttempt)
		r.EndAttempt(9, number, policy.Prefilled, 3, Acknowledged, true)
		number, _ = r.BeginAttempt(DecodeAttempt)
		if released && r.MarkStateReleased() != nil {
			t.Error("a held state may be released beside a write")
		}
		if begun {
			r.MarkAnswerStarted()
		}
		ending, _ := r.EndAttempt(20, number, outcome, 4, stage, stage >= Sent)
		return ending
	}
	for name, c := range map[string]struct{ got, want AttemptEnd }{
		"written, no sign":            {write(policy.TimedOut, Sent, false, false), AttemptEnd{HoldClockUnchanged: true, HeldSince: 9}},
		"broken, no sign":             {write(policy.ConnectionLost, Sent, false, false), AttemptEnd{HoldClockUnchanged: true, HeldSince: 9}},
		"not reached":                 {write(policy.Unreachable, Connecting, false, false), AttemptEnd{HoldClockUnchanged: true, HeldSince: 9}},
		"answered: full":              {write(policy.Rejected, Completed, false, false), AttemptEnd{}},
		"answered in part":            {write(policy.ConnectionLost, Acknowledged, false, false), AttemptEnd{}},
		"released beside, then full":  {write(policy.Rejected, Completed, true, false), AttemptEnd{NeedsRelease: true, HoldClockUnchanged: true, StateLost: true}},
		"released beside, then late":  {write(policy.TimedOut, Sent, true, false), AttemptEnd{NeedsRelease: true, HoldClockUnchanged: true, StateLost: true}},
		"released beside, then begun": {write(policy.Served, Acknowledged, true, true), AttemptEnd{}},
		"begun":                       {write(policy.ConnectionLost, Acknowledged, false, true), AttemptEnd{}},
	} {
		if c.got != c.want {
			t.Errorf("%s: %+v, want %+v", name, c.got, c.want)
		}
	}
}

// The clock of a held state runs from its read, and anew only from an end that is known to have come after arrival.
func TestEarlyRelease(t *testing.T) {
	const releaseTime = 1000
	r := RequestState{}
	due := func(stage DeliveryState) int64 {
		at, due := r.EarlyReleaseTime(stage, releaseTime)
		if !due {
			return -1
		}
		return at
	}
	number, _ := r.BeginAttempt(PrefillAttempt)
	r.EndAttempt(100, number, policy.Prefilled, 3, Acknowledged, true)
	if due(Planned) != -1 {
		t.Error("no attempt is out: that is the module's")
	}
	number, _ = r.BeginAttempt(DecodeAttempt)
	for stage, want := range map[DeliveryState]int64{Planned: 700, Connecting: 700, Sending: 700, Sent: 700, Acknowledged: -1} {
		if got := due(stage); got != want {
			t.Errorf("%s: due at %d, want %d", stage, got, want)
		}
	}
	r.EndAttempt(300, number, policy.Unreachable, 4, Connecting, false)
	number, _ = r.BeginAttempt(DecodeAttempt)
	if got := due(Sent); got != 700 {
		t.Errorf("after an attempt in vain: due at %d, want 700", got)
	}
	r.EndAttempt(400, number, policy.Rejected, 4, Completed, true)
	r.BeginAttempt(DecodeAttempt)
	if got := due(Sent); got != 1000 {
		t.Errorf("after an answer: due at %d, want 1000", got)
	}
	if r.MarkStateReleased() != nil || due(Sent) != -1 || r.ReleasePermission(Sent, false) != ReleaseAllowed {
		t.Error("released beside it: not due again, and sent")
	}
}

// A release must not take what an attempt needs, a read must not cross a release.
func TestMayReleaseAndWrite(t *testing.T) {
	r := RequestState{}
	free := SendConditions{Now: 5, StartDeadline: 6, ServerServing: true}
	releasing, draining, late := free, free, free
	releasing.ReleaseInFlight, draining.ServerServing, late.Now = true, false, 6
	if r.ReleasePermission(Planned, false) != ReleaseAllowed || r.CheckSend(free) != ErrNoSuchAttempt {
		t.Error("nothing is out or held")
	}
	number, _ := r.BeginAttempt(PrefillAttempt)
	if r.ReleasePermission(Planned, false) != ReleaseAllowed || r.ReleasePermission(Connecting, false) != ReleaseIfUrgent || r.ReleasePermission(Sent, true) != ReleaseForbidden || r.CheckSend(releasing) != ErrReleaseInFlight || r.CheckSend(free) != nil {
		t.Error("a read that waits lets a release pass, one that is sent only if its server is silent")
	}
	r.EndAttempt(9, number, policy.Prefilled, 3, Acknowledged, true)
	if r.ReleasePermission(Planned, false) != ReleaseForbidden {
		t.Error("a state is held")
	}
	r.BeginAttempt(DecodeAttempt)
	if r.CheckSend(draining) != ErrServerNotServing || r.CheckSend(late) != ErrStartDeadlinePassed {
		t.Error("not to a server that drains, not when it is too late")
	}
	if r.ReleasePermission(Sent, false) != ReleaseForbidden || r.CheckSend(releasing) != nil {
		t.Error("a write takes the state")
	}
	r.MarkAnswerStarted()
	if r.ReleasePermission(Acknowledged, false) != ReleaseAllowed {
		t.Error("its answer has begun")
	}
	r.MarkAnswered()
	if r.CheckSend(free) != ErrAlreadyAnswered {
		t.Error("nothing is written for a request that has its answer")
	}
}

// A release that comes too late for a read beside which it was to go is no fault, one that would take a state otherwise is.
func TestMayWriteRelease(t *testing.T) {
	for permit, want := range map[ReleasePermission][2]error{ReleaseAllowed: {nil, nil}, ReleaseIfUrgent: {nil, nil}, ReleaseForbidden: {ErrStateNeeded, ErrReleaseSuperseded}} {
		if got := [2]error{CheckSendRelease(permit, false), CheckSendRelease(permit, true)}; got != want {
			t.Errorf("permit %d: %v, want %v", permit, got, want)
		}
	}
}

// Stages follow in their order.
func TestAdvance(t *testing.T) {
	e := NewOperation(StateRelease)
	for _, to := range []DeliveryState{Connecting, Sending, Sent, Acknowledged, Completed} {
		if err := e.Advance(to); err != nil {
			t.Error(err)
		}
		if e.IsAcknowledged() != (to == Acknowledged) || e.MayHaveBeenReceived() != (to >= Sent) {
			t.Errorf("%s: known to have arrived %v, may have %v", to, e.IsAcknowledged(), e.MayHaveBeenReceived())
		}
	}
	if err := e.Advance(Sent); err == nil || err.Error() != "a release that is over cannot become written" {
		t.Error(err)
	}
}

// The connection of an attempt is kept for its end where the server may have it and has said nothing.
func TestParting(t *testing.T) {
	at := func(stage DeliveryState) *Operation { return &Operation{Kind: PrefillAttempt, stage: stage} }
	for name, c := range map[string]struct{ got, want CloseMode }{
		"coming up":       {at(Connecting).CloseMode(false, false), CloseImmediately},
		"written in part": {at(Sending).CloseMode(false, false), CloseImmediately},
		"written":         {at(Sent).CloseMode(false, false), AwaitPeerClose},
		"answered":        {at(Acknowledged).CloseMode(true, false), CloseImmediately},
		"streams":         {at(Acknowledged).CloseMode(true, true), CloseImmediately},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", name, c.got, c.want)
		}
	}
	if at(Completed).MayContinueOnServer(false) || !at(Abandoned).MayContinueOnServer(false) || at(Abandoned).MayContinueOnServer(true) {
		t.Error("what was lost while it may run leaves something behind")
	}
}

func TestAllocates(t *testing.T) {
	use := func() {
		r := RequestState{ID: 1}
		number, _ := r.BeginAttempt(PrefillAttempt)
		r.EndAttempt(1, number, policy.Prefilled, 3, Acknowledged, true)
		number, _ = r.BeginAttempt(DecodeAttempt)
		r.EarlyReleaseTime(Sent, 1000)
		r.MarkAnswerStarted()
		r.EndAttempt(2, number, policy.Served, 4, Completed, true)
		r.MarkAnswered()
	}
	if n := testing.AllocsPerRun(1000, use); n != 0 {
		t.Errorf("%v allocations a request, want none", n)
	}
}
