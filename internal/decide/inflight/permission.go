package inflight

// ReleasePermission is whether a release of the KV state of a request may be sent.
type ReleasePermission uint8

// The permissions.
const (
	// ReleaseAllowed: no attempt can lose state that it needs.
	ReleaseAllowed ReleasePermission = iota
	// ReleaseIfUrgent: a prefill attempt is outstanding at a server that has sent nothing since. If the attempt arrived
	// after all, a release would destroy its result; if not, state of earlier attempts may be held for too long.
	ReleaseIfUrgent
	// ReleaseForbidden: the next attempt needs the state, or a prefill attempt is probably running.
	ReleaseForbidden
)

// ReleasePermission returns whether a release may be sent now. state is the delivery state of the outstanding attempt.
// serverHeard reports whether its server was heard from since the attempt was sent, on any connection: that does not
// prove that the attempt arrived, but makes it probable.
func (s *RequestState) ReleasePermission(state DeliveryState, serverHeard bool) ReleasePermission {
	switch {
	case s.holdStatus == held:
		return ReleaseForbidden
	case !s.outstanding || s.kind != PrefillAttempt || state == Planned:
		return ReleaseAllowed
	case serverHeard:
		return ReleaseForbidden
	}
	return ReleaseIfUrgent
}

// CheckSendRelease returns nil if a release may be sent now that its connection is established. besidePrefill reports
// whether it was begun beside an unacknowledged prefill attempt, where the error is ErrReleaseSuperseded; otherwise it
// is ErrStateNeeded.
func CheckSendRelease(permission ReleasePermission, besidePrefill bool) error {
	switch {
	case permission != ReleaseForbidden:
		return nil
	case besidePrefill:
		return ErrReleaseSuperseded
	}
	return ErrStateNeeded
}
