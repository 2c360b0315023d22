package inflight

import "docksail/policy"

// MayHaveRun reports whether a decode attempt of the request may have run or may be running: one that has ended, unless
// its outcome shows that it did not run, or the outstanding one, whose delivery state is given, once it was sent.
func (s *RequestState) MayHaveRun(outstanding DeliveryState) bool {
	return s.mayHaveRun || s.outstanding && s.kind == DecodeAttempt && outstanding >= Sent
}

// didNotRun reports whether the outcome shows that the server did not begin to execute the attempt.
func didNotRun(outcome policy.Outcome) bool {
	switch outcome {
	case policy.Rejected, policy.StateMissing, policy.NotSent, policy.Unreachable:
		return true
	default:
		return false
	}
}

// TimeoutOutcome returns the outcome of an attempt that times out in a delivery state. A server does not begin an
// attempt that it has not received completely.
func TimeoutOutcome(state DeliveryState) policy.Outcome {
	switch state {
	case Planned: // it waited for a throttle or a release
		return policy.NotSent
	case Connecting, Sending:
		return policy.Unreachable
	default:
		return policy.TimedOut
	}
}
