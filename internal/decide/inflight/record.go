package inflight

import (
	"docksail/policy"
	"errors"
)

// Errors of a request's account. Each is a fault of the program, never of a peer.
var (
	ErrAnswered = errors.New("the request has its final answer already")
	ErrOut      = errors.New("an attempt of the request is out already")
	ErrNotOut   = errors.New("no attempt of that number is out")
	ErrNoState  = errors.New("no state is held that could be released")
	ErrNeeded   = errors.New("a release now would take a state that the next attempt needs")
	ErrCrossing = errors.New("a read may not be sent while a release of the request is under way")
	ErrDraining = errors.New("nothing new may be sent to a server that drains or is gone")
)

// ErrOvertaken is no fault: while the connection of a release came up, the read that it was to go beside has been answered, or its server heard.
var ErrOvertaken = errors.New("the read beside which the release was to go has shown a sign of life")

// ErrTooLate is no fault: the connection of a repeat took longer to come up than its group remembers the first run.
var ErrTooLate = errors.New("the attempt may not be begun any more")

// stateAccount is what is known of the state of a request.
type stateAccount uint8

const (
	noState    stateAccount = iota // none that is known: what attempts may have left is a Settlement's
	held                           // a prefill server holds it
	writtenOff                     // it was released beside a write that is out: no attempt may rely on it, though the write may have kept it
)

// Record is what is owed for one request: a final answer, once; the end of the attempt that is out, of which there is at most one;
// and the state that its read left.
type Record struct {
	ID       policy.RequestID
	answered bool
	out      bool
	begun    bool // the answer of the attempt that is out has begun: it has its state
	kind     Kind // of the attempt that is out, or was last
	current  policy.AttemptNumber
	attempts int32

	state       stateAccount
	stateServer policy.ServerID
	heldSince   int64 // the clock of the held state runs from then
}

// Answer takes down the final answer.
func (r *Record) Answer() error {
	if r.answered {
		return ErrAnswered
	}
	r.answered = true
	return nil
}

// Answered tells that nothing more is owed to the client.
func (r *Record) Answered() bool { return r.answered }

// BeginAttempt records that an attempt is sent and gives its number.
func (r *Record) BeginAttempt(kind Kind) (policy.AttemptNumber, error) {
	switch {
	case r.out:
		return 0, ErrOut
	case r.answered:
		return 0, ErrAnswered
	}
	r.out, r.begun, r.kind, r.current = true, false, kind, policy.AttemptNumber(r.attempts)
	r.attempts++
	return r.current, nil
}

// Outstanding is the number of the attempt that is out.
func (r *Record) Outstanding() (policy.AttemptNumber, bool) { return r.current, r.out }

// Attempts counts the attempts so far.
func (r *Record) Attempts() int32 { return r.attempts }

// WriteFacts are what is known as the bytes of an attempt are about to be written.
type WriteFacts struct {
	Now       int64
	Before    int64 // it may begin until then
	Serving   bool  // its server is listed as one that takes requests
	Releasing bool  // a release of the request is under way that was begun before the read
}

// MayWrite tells whether the bytes of the attempt that is out may be written now, as its connection has come up or what it waited for is over.
func (r *Record) MayWrite(f WriteFacts) error {
	switch {
	case !r.out:
		return ErrNotOut
	case r.answered:
		return ErrAnswered
	case !f.Serving:
		return ErrDraining
	case r.kind == Read && f.Releasing:
		return ErrCrossing
	case f.Now >= f.Before:
		return ErrTooLate
	}
	return nil
}

// Begun records that the answer of the attempt that is out has begun: its server has the state.
func (r *Record) Begun() { r.begun, r.state = true, noState }

// Ending is what follows from the end of an attempt.
type Ending struct {
	Release bool // what the attempt left, or may have left, is to be released
	// ClockRuns: the attempt is not known to have come to its server, so its end starts no clock anew.
	ClockRuns bool
	Since     int64 // with ClockRuns: the state has been held since then ...
	Lost      bool  // ... or can't be relied on any more
}

// answeredBy tells outcomes that are a server's answer: the attempt is known to have arrived.
func answeredBy(outcome policy.Outcome) bool {
	switch outcome {
	case policy.Served, policy.Read, policy.Rejected, policy.Stateless, policy.Failed:
		return true
	}
	return false
}

// mayLeaveState tells whether a read with this outcome may have left a state at its server. written: the server may have had all of it.
func mayLeaveState(outcome policy.Outcome, written bool) bool {
	switch outcome {
	case policy.Read: // it has, and that is taken down
		return false
	case policy.Rejected, policy.Stateless, policy.NotSent, policy.Unreachable: // it never ran
		return false
	case policy.Canceled:
		return written
	}
	return true // late, broken, spoilt, an error, an answer that is none
}

// EndAttempt takes down the end of an attempt: at is its server, stage how far it had come, written whether that server may have had all of it.
func (r *Record) EndAttempt(now int64, number policy.AttemptNumber, outcome policy.Outcome, at policy.ServerID, stage Stage, written bool) (Ending, error) {
	if !r.out || number != r.current {
		return Ending{}, ErrNotOut
	}
	r.out = false
	if r.kind == Read {
		if outcome == policy.Read {
			r.state, r.stateServer, r.heldSince = held, at, now
		}
		return Ending{Release: mayLeaveState(outcome, written)}, nil
	}
	if r.begun {
		return Ending{}, nil
	}
	switch r.state {
	case writtenOff: // the write may have kept it: once it is over, it is released for good
		r.state = noState
		return Ending{Release: true, ClockRuns: true, Lost: true}, nil
	case held:
		if stage == Arrived || answeredBy(outcome) {
			r.heldSince = now
			return Ending{}, nil
		}
		return Ending{ClockRuns: true, Since: r.heldSince}, nil
	}
	return Ending{ClockRuns: true, Lost: true}, nil
}

// StateHeld is the server that holds the state of the request.
func (r *Record) StateHeld() (policy.ServerID, bool) { return r.stateServer, r.state == held }

// HeldSince is since when the clock of the held state runs.
func (r *Record) HeldSince() int64 { return r.heldSince }

// TakeForRelease takes down that the held state is to be released: no attempt relies on it any more.
func (r *Record) TakeForRelease() error {
	if r.state != held {
		return ErrNoState
	}
	r.state = noState
	if r.out && r.kind == Write && !r.begun {
		r.state = writtenOff
	}
	return nil
}

// Permit tells how freely a release may be sent for a request.
type Permit uint8

const (
	Free Permit = iota
	// Reluctantly: a read of the request is out to a server that has been silent since. A release would spoil the read if it is there after all; but
	// while it has not arrived, the clock of what else is held runs.
	Reluctantly
	Forbidden // the next attempt needs the state, or a read is out that is likely to be at work
)

// MayRelease tells how freely a release may be sent now. stage is that of the attempt that is out; heard tells that its server has been heard since it was
// written, be it on another connection: that is no proof that it arrived, but makes it likely.
func (r *Record) MayRelease(stage Stage, heard bool) Permit {
	switch {
	case r.state == held:
		return Forbidden
	case !r.out || r.kind != Read || stage == Planned:
		return Free
	case heard:
		return Forbidden
	}
	return Reluctantly
}

// MayWriteRelease tells whether a release may be written now, as its connection has come up. besideRead: it was begun beside a read that had shown no sign of
// life.
func MayWriteRelease(permit Permit, besideRead bool) error {
	switch {
	case permit != Forbidden:
		return nil
	case besideRead:
		return ErrOvertaken
	}
	return ErrNeeded
}

// Done tells that nothing is owed, out or held: the request's place may be used again.
func (r *Record) Done() bool { return r.answered && !r.out && r.state != held }

// earlyReleaseShare of the release time a state waits for an attempt that is not known to have come to its server: while it has not, the
// server counts the state as held for nobody. What is left of the time is for a process that was held up, and for servers that do not answer.
const earlyReleaseShare = 0.6

// EarlyRelease tells when the state of a request is to be released though an attempt that is to take it is out; stage is that attempt's.
// False: it need not be.
func (r *Record) EarlyRelease(stage Stage, releaseTime int64) (at int64, due bool) {
	if !r.out || r.kind != Write || r.begun || r.state != held || stage >= Arrived {
		return 0, false
	}
	return r.heldSince + int64(earlyReleaseShare*float64(releaseTime)), true
}
