package inflight

import "docksail/policy"

// holdStatus says whether a server holds the KV state of a request.
type holdStatus uint8

const (
	// notHeld means that no server is known to hold KV state. A ReleaseTracker handles what attempts may have left.
	notHeld holdStatus = iota
	// held means that a prefill server holds KV state.
	held
	// releasedDuringDecode means that the KV state was released while a decode attempt was outstanding. No further
	// attempt may rely on it, but that attempt may have kept it.
	releasedDuringDecode
)

// RequestState is the state of one request: whether it has its final answer, which it has once, its outstanding
// attempt, of which there is at most one, and the KV state that a prefill server holds for it.
type RequestState struct {
	ID       policy.RequestID
	answered bool

	attemptCount  int32
	current       policy.AttemptNumber // the outstanding attempt, or the last one
	kind          OperationKind        // of the current attempt
	outstanding   bool
	answerStarted bool // the answer of the current attempt has begun, so its server has the KV state
	mayHaveRun    bool // a decode attempt that has ended may have run

	holdStatus  holdStatus
	stateHolder policy.ServerID
	heldSince   int64 // when the time for which the state may be held began
}

// MarkAnswered records that the final answer was given to the client, or returns ErrAlreadyAnswered if it had been.
func (s *RequestState) MarkAnswered() error {
	if s.answered {
		return ErrAlreadyAnswered
	}
	s.answered = true
	return nil
}

// Answered reports whether the final answer was given to the client.
func (s *RequestState) Answered() bool { return s.answered }

// BeginAttempt records that an attempt begins and returns its number. It returns ErrAttemptOutstanding if another
// attempt is outstanding, and ErrAlreadyAnswered after the final answer.
func (s *RequestState) BeginAttempt(kind OperationKind) (policy.AttemptNumber, error) {
	switch {
	case s.outstanding:
		return 0, ErrAttemptOutstanding
	case s.answered:
		return 0, ErrAlreadyAnswered
	}
	s.outstanding, s.answerStarted, s.kind = true, false, kind
	s.current = policy.AttemptNumber(s.attemptCount)
	s.attemptCount++
	return s.current, nil
}

// OutstandingAttempt returns the number of the outstanding attempt, and whether there is one.
func (s *RequestState) OutstandingAttempt() (number policy.AttemptNumber, ok bool) {
	return s.current, s.outstanding
}

// AttemptCount returns the number of attempts so far.
func (s *RequestState) AttemptCount() int32 { return s.attemptCount }

// SendConditions describes the situation in which the bytes of the outstanding attempt are about to be sent.
type SendConditions struct {
	Now             int64
	StartDeadline   int64 // the attempt may be sent only before this time
	ServerServing   bool  // the server is serving according to the endpoint list
	ReleaseInFlight bool  // a release started before the prefill attempt has not been answered
}

// CheckSend returns nil if the outstanding attempt may be sent now. Otherwise it returns ErrNoSuchAttempt,
// ErrAlreadyAnswered, ErrServerNotServing, ErrReleaseInFlight or ErrStartDeadlinePassed.
func (s *RequestState) CheckSend(conditions SendConditions) error {
	switch {
	case !s.outstanding:
		return ErrNoSuchAttempt
	case s.answered:
		return ErrAlreadyAnswered
	case !conditions.ServerServing:
		return ErrServerNotServing
	case s.kind == PrefillAttempt && conditions.ReleaseInFlight:
		return ErrReleaseInFlight
	case conditions.Now >= conditions.StartDeadline:
		return ErrStartDeadlinePassed
	}
	return nil
}

// MarkAnswerStarted records that the answer of the outstanding attempt has begun, so that its server has the KV state.
func (s *RequestState) MarkAnswerStarted() { s.answerStarted, s.holdStatus = true, notHeld }

// AttemptResult describes the end of an attempt.
type AttemptResult struct {
	Outcome policy.Outcome
	Server  policy.ServerID
	State   DeliveryState // at the end of the attempt, before it is abandoned
	// MayHaveBeenReceived reports whether the server may have received the complete message.
	MayHaveBeenReceived bool
}

// AttemptEnd describes the consequences of the end of an attempt.
type AttemptEnd struct {
	// NeedsRelease means that the attempt left, or may have left, KV state that is to be released.
	NeedsRelease bool
	// HoldClockUnchanged means that the attempt is not known to have reached its server, so that its end does not restart
	// the time for which the KV state may be held. The state has been held since HeldSince or, with StateLost, can no
	// longer be relied on.
	HoldClockUnchanged bool
	HeldSince          int64
	StateLost          bool
}

// EndAttempt records the end of the outstanding attempt and returns its consequences. It returns ErrNoSuchAttempt if no
// attempt with that number is outstanding.
func (s *RequestState) EndAttempt(now int64, number policy.AttemptNumber, result AttemptResult) (AttemptEnd, error) {
	if !s.outstanding || number != s.current {
		return AttemptEnd{}, ErrNoSuchAttempt
	}
	s.outstanding = false
	if s.kind == PrefillAttempt {
		return s.endPrefill(now, result), nil
	}
	s.mayHaveRun = s.mayHaveRun || !didNotRun(result.Outcome)
	return s.endDecode(now, result), nil
}

// endPrefill records the end of a prefill attempt.
func (s *RequestState) endPrefill(now int64, result AttemptResult) AttemptEnd {
	if result.Outcome == policy.Prefilled {
		s.holdStatus, s.stateHolder, s.heldSince = held, result.Server, now
	}
	return AttemptEnd{NeedsRelease: mayLeaveState(result)}
}

// endDecode records the end of a decode attempt.
func (s *RequestState) endDecode(now int64, result AttemptResult) AttemptEnd {
	switch {
	case s.answerStarted:
		return AttemptEnd{}
	case s.holdStatus == releasedDuringDecode: // the attempt may have kept the state, which can be released now
		s.holdStatus = notHeld
		return AttemptEnd{NeedsRelease: true, HoldClockUnchanged: true, StateLost: true}
	case s.holdStatus == notHeld:
		return AttemptEnd{HoldClockUnchanged: true, StateLost: true}
	case result.State == Acknowledged || isServerAnswer(result.Outcome):
		s.heldSince = now
		return AttemptEnd{}
	}
	return AttemptEnd{HoldClockUnchanged: true, HeldSince: s.heldSince}
}

// isServerAnswer reports whether the outcome is an answer of the server, which proves that it received the attempt.
func isServerAnswer(outcome policy.Outcome) bool {
	switch outcome {
	case policy.Served, policy.Prefilled, policy.Rejected, policy.StateMissing, policy.Failed:
		return true
	default:
		return false
	}
}

// mayLeaveState reports whether a prefill attempt may have left KV state on its server that is not recorded as held.
func mayLeaveState(result AttemptResult) bool {
	switch result.Outcome {
	case policy.Prefilled: // its state is recorded as held
		return false
	case policy.Canceled:
		return result.MayHaveBeenReceived
	default: // unless it did not run, it timed out, lost its connection or got no usable result
		return !didNotRun(result.Outcome)
	}
}

// StateHolder returns the server that holds the KV state of the request, and whether there is one.
func (s *RequestState) StateHolder() (server policy.ServerID, ok bool) {
	return s.stateHolder, s.holdStatus == held
}

// HeldSince returns when the time for which the KV state may be held began.
func (s *RequestState) HeldSince() int64 { return s.heldSince }

// MarkStateReleased records that the held KV state is being released, so that no further attempt may rely on it. It
// returns ErrNoStateHeld if no server holds state for the request.
func (s *RequestState) MarkStateReleased() error {
	if s.holdStatus != held {
		return ErrNoStateHeld
	}
	s.holdStatus = notHeld
	if s.outstanding && s.kind == DecodeAttempt && !s.answerStarted {
		s.holdStatus = releasedDuringDecode
	}
	return nil
}

// Done reports whether the request has its final answer, no outstanding attempt and no held KV state. Its entry may
// then be reused.
func (s *RequestState) Done() bool { return s.answered && !s.outstanding && s.holdStatus != held }

// earlyReleaseFraction is the fraction of the release time for which KV state waits for a decode attempt that is not
// known to have reached its server. Until the attempt arrives, the state counts as held unused. The rest of the release
// time allows for pauses of this process and servers that do not answer.
const earlyReleaseFraction = 0.6

// EarlyReleaseTime returns when the held KV state is to be released although a decode attempt that needs it is
// outstanding. state is the delivery state of that attempt. ok is false if no early release is needed.
func (s *RequestState) EarlyReleaseTime(state DeliveryState, releaseTime int64) (at int64, ok bool) {
	awaitingArrival := s.outstanding && s.kind == DecodeAttempt && !s.answerStarted && state < Acknowledged
	if !awaitingArrival || s.holdStatus != held {
		return 0, false
	}
	return s.heldSince + int64(earlyReleaseFraction*float64(releaseTime)), true
}
