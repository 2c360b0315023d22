package inflight

import (
	"docksail/policy"
	"testing"

	"pgregory.net/rapid"
)

// Whatever is asked in whatever order: one final answer, one attempt out, no attempt after the answer, and no held state is forgotten.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Record{ID: 1}
		answers, out, held := 0, false, false
		kind, next := Read, policy.AttemptNumber(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				if r.Answer() == nil {
					answers++
				}
			case 1:
				wanted := rapid.SampledFrom([]Kind{Read, Write}).Draw(t, "kind")
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
				outcome := rapid.SampledFrom([]policy.Outcome{policy.Read, policy.Failed, policy.Late, policy.NotSent}).Draw(t, "outcome")
				_, err := r.EndAttempt(5, number, outcome, 3, Written, true)
				if (err == nil) != (out && number == next-1) {
					t.Fatalf("end of %d: %v while out %v, last %d", number, err, out, next-1)
				}
				held = held || err == nil && kind == Read && outcome == policy.Read
				out = out && err != nil
			case 3:
				if (r.TakeForRelease() == nil) != held {
					t.Fatalf("taken for a release though held is %v", held)
				}
				held = false
			case 4:
				if out {
					r.Begun()
					held = false
				}
			}
			if _, is := r.StateHeld(); is != held {
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
	read := func(outcome policy.Outcome, written bool) Ending {
		r := Record{}
		number, _ := r.BeginAttempt(Read)
		ending, _ := r.EndAttempt(9, number, outcome, 3, Written, written)
		return ending
	}
	for outcome, want := range map[policy.Outcome]bool{
		policy.Read: false, policy.Rejected: false, policy.NotSent: false, policy.Unreachable: false,
		policy.Failed: true, policy.Late: true, policy.Broken: true, policy.StaleConnection: true, policy.Canceled: true, policy.Served: true,
	} {
		if got := read(outcome, true).Release; got != want {
			t.Errorf("a read that ended with %d: release %v, want %v", outcome, got, want)
		}
	}
	if read(policy.Canceled, false).Release {
		t.Error("a read that was never written whole leaves nothing")
	}
	write := func(outcome policy.Outcome, stage Stage, released, begun bool) Ending {
		r := Record{}
		number, _ := r.BeginAttempt(Read)
		r.EndAttempt(9, number, policy.Read, 3, Arrived, true)
		number, _ = r.BeginAttempt(Write)
		if released && r.TakeForRelease() != nil {
			t.Error("a held state may be released beside a write")
		}
		if begun {
			r.Begun()
		}
		ending, _ := r.EndAttempt(20, number, outcome, 4, stage, stage >= Written)
		return ending
	}
	for name, c := range map[string]struct{ got, want Ending }{
		"written, no sign":            {write(policy.Late, Written, false, false), Ending{ClockRuns: true, Since: 9}},
		"broken, no sign":             {write(policy.Broken, Written, false, false), Ending{ClockRuns: true, Since: 9}},
		"not reached":                 {write(policy.Unreachable, Connecting, false, false), Ending{ClockRuns: true, Since: 9}},
		"answered: full":              {write(policy.Rejected, Over, false, false), Ending{}},
		"answered in part":            {write(policy.Broken, Arrived, false, false), Ending{}},
		"released beside, then full":  {write(policy.Rejected, Over, true, false), Ending{Release: true, ClockRuns: true, Lost: true}},
		"released beside, then late":  {write(policy.Late, Written, true, false), Ending{Release: true, ClockRuns: true, Lost: true}},
		"released beside, then begun": {write(policy.Served, Arrived, true, true), Ending{}},
		"begun":                       {write(policy.Broken, Arrived, false, true), Ending{}},
	} {
		if c.got != c.want {
			t.Errorf("%s: %+v, want %+v", name, c.got, c.want)
		}
	}
}

// The clock of a held state runs from its read, and anew only from an end that is known to have come after arrival.
func TestEarlyRelease(t *testing.T) {
	const releaseTime = 1000
	r := Record{}
	due := func(stage Stage) int64 {
		at, due := r.EarlyRelease(stage, releaseTime)
		if !due {
			return -1
		}
		return at
	}
	number, _ := r.BeginAttempt(Read)
	r.EndAttempt(100, number, policy.Read, 3, Arrived, true)
	if due(Planned) != -1 {
		t.Error("no attempt is out: that is the module's")
	}
	number, _ = r.BeginAttempt(Write)
	for stage, want := range map[Stage]int64{Planned: 700, Connecting: 700, Writing: 700, Written: 700, Arrived: -1} {
		if got := due(stage); got != want {
			t.Errorf("%s: due at %d, want %d", stage, got, want)
		}
	}
	r.EndAttempt(300, number, policy.Unreachable, 4, Connecting, false)
	number, _ = r.BeginAttempt(Write)
	if got := due(Written); got != 700 {
		t.Errorf("after an attempt in vain: due at %d, want 700", got)
	}
	r.EndAttempt(400, number, policy.Rejected, 4, Over, true)
	r.BeginAttempt(Write)
	if got := due(Written); got != 1000 {
		t.Errorf("after an answer: due at %d, want 1000", got)
	}
	if r.TakeForRelease() != nil || due(Written) != -1 || r.MayRelease(Written, false) != Free {
		t.Error("released beside it: not due again, and sent")
	}
}

// A release must not take what an attempt needs, a read must not cross a release.
func TestMayReleaseAndWrite(t *testing.T) {
	r := Record{}
	free := WriteFacts{Now: 5, Before: 6, Serving: true}
	releasing, draining, late := free, free, free
	releasing.Releasing, draining.Serving, late.Now = true, false, 6
	if r.MayRelease(Planned, false) != Free || r.MayWrite(free) != ErrNotOut {
		t.Error("nothing is out or held")
	}
	number, _ := r.BeginAttempt(Read)
	if r.MayRelease(Planned, false) != Free || r.MayRelease(Connecting, false) != Reluctantly || r.MayRelease(Written, true) != Forbidden || r.MayWrite(releasing) != ErrCrossing || r.MayWrite(free) != nil {
		t.Error("a read that waits lets a release pass, one that is sent only if its server is silent")
	}
	r.EndAttempt(9, number, policy.Read, 3, Arrived, true)
	if r.MayRelease(Planned, false) != Forbidden {
		t.Error("a state is held")
	}
	r.BeginAttempt(Write)
	if r.MayWrite(draining) != ErrDraining || r.MayWrite(late) != ErrTooLate {
		t.Error("not to a server that drains, not when it is too late")
	}
	if r.MayRelease(Written, false) != Forbidden || r.MayWrite(releasing) != nil {
		t.Error("a write takes the state")
	}
	r.Begun()
	if r.MayRelease(Arrived, false) != Free {
		t.Error("its answer has begun")
	}
	r.Answer()
	if r.MayWrite(free) != ErrAnswered {
		t.Error("nothing is written for a request that has its answer")
	}
}

// A release that comes too late for a read beside which it was to go is no fault, one that would take a state otherwise is.
func TestMayWriteRelease(t *testing.T) {
	for permit, want := range map[Permit][2]error{Free: {nil, nil}, Reluctantly: {nil, nil}, Forbidden: {ErrNeeded, ErrOvertaken}} {
		if got := [2]error{MayWriteRelease(permit, false), MayWriteRelease(permit, true)}; got != want {
			t.Errorf("permit %d: %v, want %v", permit, got, want)
		}
	}
}

// Stages follow in their order.
func TestAdvance(t *testing.T) {
	e := New(Release)
	for _, to := range []Stage{Connecting, Writing, Written, Arrived, Over} {
		if err := e.Advance(to); err != nil {
			t.Error(err)
		}
		if e.KnownArrived() != (to == Arrived) || e.MayHaveArrived() != (to >= Written) {
			t.Errorf("%s: known to have arrived %v, may have %v", to, e.KnownArrived(), e.MayHaveArrived())
		}
	}
	if err := e.Advance(Written); err == nil || err.Error() != "a release that is over cannot become written" {
		t.Error(err)
	}
}

// The connection of an attempt is kept for its end where the server may have it and has said nothing.
func TestParting(t *testing.T) {
	at := func(stage Stage) *Effect { return &Effect{Kind: Read, stage: stage} }
	for name, c := range map[string]struct{ got, want Parting }{
		"coming up":       {at(Connecting).Parting(false, false), CloseAtOnce},
		"written in part": {at(Writing).Parting(false, false), CloseAtOnce},
		"written":         {at(Written).Parting(false, false), WatchForEnd},
		"answered":        {at(Arrived).Parting(true, false), CloseAtOnce},
		"streams":         {at(Arrived).Parting(true, true), CloseAtOnce},
	} {
		if c.got != c.want {
			t.Errorf("%s: %d, want %d", name, c.got, c.want)
		}
	}
	if at(Over).LeavesBehind(false) || !at(GivenUp).LeavesBehind(false) || at(GivenUp).LeavesBehind(true) {
		t.Error("what was lost while it may run leaves something behind")
	}
}

func TestAllocates(t *testing.T) {
	use := func() {
		r := Record{ID: 1}
		number, _ := r.BeginAttempt(Read)
		r.EndAttempt(1, number, policy.Read, 3, Arrived, true)
		number, _ = r.BeginAttempt(Write)
		r.EarlyRelease(Written, 1000)
		r.Begun()
		r.EndAttempt(2, number, policy.Served, 4, Over, true)
		r.Answer()
	}
	if n := testing.AllocsPerRun(1000, use); n != 0 {
		t.Errorf("%v allocations a request, want none", n)
	}
}
