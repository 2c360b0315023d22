package inflight

import (
	"docksail/policy"
	"errors"
)

// Errors of a request's account. Each is a fault of the program, never of a peer.
var (
	ErrAlreadyAnswered    = errors.New("the request has its final answer already")
	ErrAttemptOutstanding = errors.New("an attempt of the request is out already")
	ErrNoSuchAttempt      = errors.New("no attempt of that number is out")
	ErrNoStateHeld        = errors.New("no state is held that could be released")
	ErrStateNeeded        = errors.New("a release now would take a state that the next attempt needs")
	ErrReleaseInFlight    = errors.New("a read may not be sent while a release of the request is under way")
	ErrServerNotServing   = errors.New("nothing new may be sent to a server that drains or is gone")
)

// ErrReleaseSuperseded is no fault: while the connection of a release came up, the read that it was to go beside has been answered, or its server heard.
var ErrReleaseSuperseded = errors.New("the read beside which the release was to go has shown a sign of life")

// ErrStartDeadlinePassed is no fault: the connection of a repeat took longer to come up than its group remembers the first run.
var ErrStartDeadlinePassed = errors.New("the attempt may not be begun any more")

// stateAccount is what is known of the state of a request.
type stateAccount uint8

const (
	noState    stateAccount = iota // none that is known: what attempts may have left is a Settlement's
	held                           // a prefill server holds it
	writtenOff                     // it was released beside a write that is out: no attempt may rely on it, though the write may have kept it
)

// RequestState is what is owed for one request: a final answer, once; the end of the attempt that is out, of which there is at most one;
// and the state that its read left.
type RequestState struct {
	ID       policy.RequestID
	answered bool
	out      bool
	begun    bool          // the answer of the attempt that is out has begun: it has its state
	kind     OperationKind // of the attempt that is out, or was last
	current  policy.AttemptNumber
	attempts int32

	state       stateAccount
	stateServer policy.ServerID
	heldSince   int64 // the clock of the held state runs from then
}

// MarkAnswered takes down the final answer.
func (s *RequestState) MarkAnswered() error {
	if s.answered {
		return ErrAlreadyAnswered
	}
	s.answered = true
	return nil
}

// Answered tells that nothing more is owed to the client.
func (s *RequestState) Answered() bool { return s.answered }

// BeginAttempt records that an attempt is sent and gives its number.
func (s *RequestState) BeginAttempt(kind OperationKind) (policy.AttemptNumber, error) {
	switch {
	case s.out:
		return 0, ErrAttemptOutstanding
	case s.answered:
		return 0, ErrAlreadyAnswered
	}
	s.out, s.begun, s.kind, s.current = true, false, kind, policy.AttemptNumber(s.attempts)
	s.attempts++
	return s.current, nil
}

// OutstandingAttempt is the number of the attempt that is out.
func (s *RequestState) OutstandingAttempt() (policy.AttemptNumber, bool) { return s.current, s.out }

// AttemptCount counts the attempts so far.
func (s *RequestState) AttemptCount() int32 { return s.attempts }

// SendConditions are what is known as the bytes of an attempt are about to be written.
type SendConditions struct {
	Now             int64
	StartDeadline   int64 // it may begin until then
	ServerServing   bool  // its server is listed as one that takes requests
	ReleaseInFlight bool  // a release of the request is under way that was begun before the read
}

// CheckSend tells whether the bytes of the attempt that is out may be written now, as its connection has come up or what it waited for is over.
func (s *RequestState) CheckSend(f SendConditions) error {
	switch {
	case !s.out:
		return ErrNoSuchAttempt
	case s.answered:
		return ErrAlreadyAnswered
	case !f.ServerServing:
		return ErrServerNotServing
	case s.kind == PrefillAttempt && f.ReleaseInFlight:
		return ErrReleaseInFlight
	case f.Now >= f.StartDeadline:
		return ErrStartDeadlinePassed
	}
	return nil
}

// MarkAnswerStarted records that the answer of the attempt that is out has begun: its server has the state.
func (s *RequestState) MarkAnswerStarted() { s.begun, s.state = true, noState }

// AttemptEnd is what follows from the end of an attempt.
type AttemptEnd struct {
	NeedsRelease bool // what the attempt left, or may have left, is to be released
	// HoldClockUnchanged: the attempt is not known to have come to its server, so its end starts no clock anew.
	HoldClockUnchanged bool
	HeldSince          int64 // with HoldClockUnchanged: the state has been held since then ...
	StateLost          bool  // ... or can't be relied on any more
}

// answeredBy tells outcomes that are a server's answer: the attempt is known to have arrived.
func answeredBy(outcome policy.Outcome) bool {
	switch outcome {
	case policy.Served, policy.Prefilled, policy.Rejected, policy.StateMissing, policy.Failed:
		return true
	}
	return false
}

// mayLeaveState tells whether a read with this outcome may have left a state at its server. written: the server may have had all of it.
func mayLeaveState(outcome policy.Outcome, written bool) bool {
	switch outcome {
	case policy.Prefilled: // it has, and that is taken down
		return false
	case policy.Rejected, policy.StateMissing, policy.NotSent, policy.Unreachable: // it never ran
		return false
	case policy.Canceled:
		return written
	}
	return true // late, broken, spoilt, an error, an answer that is none
}

// EndAttempt takes down the end of an attempt: at is its server, stage how far it had come, written whether that server may have had all of it.
func (s *RequestState) EndAttempt(now int64, number policy.AttemptNumber, outcome policy.Outcome, at policy.ServerID, stage DeliveryState, written bool) (AttemptEnd, error) {
	if !s.out || number != s.current {
		return AttemptEnd{}, ErrNoSuchAttempt
	}
	s.out = false
	if s.kind == PrefillAttempt {
		if outcome == policy.Prefilled {
			s.state, s.stateServer, s.heldSince = held, at, now
		}
		return AttemptEnd{NeedsRelease: mayLeaveState(outcome, written)}, nil
	}
	if s.begun {
		return AttemptEnd{}, nil
	}
	switch s.state {
	case writtenOff: // the write may have kept it: once it is over, it is released for good
		s.state = noState
		return AttemptEnd{NeedsRelease: true, HoldClockUnchanged: true, StateLost: true}, nil
	case held:
		if stage == Acknowledged || answeredBy(outcome) {
			s.heldSince = now
			return AttemptEnd{}, nil
		}
		return AttemptEnd{HoldClockUnchanged: true, HeldSince: s.heldSince}, nil
	}
	return AttemptEnd{HoldClockUnchanged: true, StateLost: true}, nil
}

// StateHolder is the server that holds the state of the request.
func (s *RequestState) StateHolder() (policy.ServerID, bool) { return s.stateServer, s.state == held }

// HeldSince is since when the clock of the held state runs.
func (s *RequestState) HeldSince() int64 { return s.heldSince }

// MarkStateReleased takes down that the held state is to be released: no attempt relies on it any more.
func (s *RequestState) MarkStateReleased() error {
	if s.state != held {
		return ErrNoStateHeld
	}
	s.state = noState
	if s.out && s.kind == DecodeAttempt && !s.begun {
		s.state = writtenOff
	}
	return nil
}

// ReleasePermission tells how freely a release may be sent for a request.
type ReleasePermission uint8

const (
	ReleaseAllowed ReleasePermission = iota
	// Reluctantly: a read of the request is out to a server that has been silent since. A release would spoil the read if it is there after all; but
	// while it has not arrived, the clock of what else is held runs.
	ReleaseIfUrgent
	ReleaseForbidden // the next attempt needs the state, or a read is out that is likely to be at work
)

// ReleasePermission tells how freely a release may be sent now. stage is that of the attempt that is out; heard tells that its server has been heard since it was
// written, be it on another connection: that is no proof that it arrived, but makes it likely.
func (s *RequestState) ReleasePermission(stage DeliveryState, heard bool) ReleasePermission {
	switch {
	case s.state == held:
		return ReleaseForbidden
	case !s.out || s.kind != PrefillAttempt || stage == Planned:
		return ReleaseAllowed
	case heard:
		return ReleaseForbidden
	}
	return ReleaseIfUrgent
}

// CheckSendRelease tells whether a release may be written now, as its connection has come up. besideRead: it was begun beside a read that had shown no sign of
// life.
func CheckSendRelease(permit ReleasePermission, besideRead bool) error {
	switch {
	case permit != ReleaseForbidden:
		return nil
	case besideRead:
		return ErrReleaseSuperseded
	}
	return ErrStateNeeded
}

// Done tells that nothing is owed, out or held: the request's place may be used again.
func (s *RequestState) Done() bool { return s.answered && !s.out && s.state != held }

// earlyReleaseShare of the release time a state waits for an attempt that is not known to have come to its server: while it has not, the
// server counts the state as held for nobody. What is left of the time is for a process that was held up, and for servers that do not answer.
const earlyReleaseShare = 0.6

// EarlyReleaseTime tells when the state of a request is to be released though an attempt that is to take it is out; stage is that attempt's.
// False: it need not be.
func (s *RequestState) EarlyReleaseTime(stage DeliveryState, releaseTime int64) (at int64, due bool) {
	if !s.out || s.kind != DecodeAttempt || s.begun || s.state != held || stage >= Acknowledged {
		return 0, false
	}
	return s.heldSince + int64(earlyReleaseShare*float64(releaseTime)), true
}
