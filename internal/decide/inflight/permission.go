package inflight

// ReleasePermission says whether a release of a request's KV state may be sent.
type ReleasePermission uint8

// The permissions.
const (
	// ReleaseAllowed means that a release takes no state from an attempt that needs it.
	ReleaseAllowed ReleasePermission = iota
	// ReleaseIfUrgent means that a prefill attempt is outstanding and its server has sent nothing since. If the attempt
	// has arrived, a release destroys its result; if not, waiting may hold the state of earlier attempts for too long.
	ReleaseIfUrgent
	// ReleaseForbidden means that the next attempt needs the state, or that a prefill attempt is probably running.
	ReleaseForbidden
)

// ReleasePermission returns whether a release may be sent now. state is the delivery state of the outstanding attempt.
// serverHeard means that data was received from its server, on any connection, since the attempt was sent: the attempt
// has then probably arrived.
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

// CheckReleaseSend returns nil if a release may be sent now that its connection is established. Otherwise it returns
// ErrReleaseSuperseded if the release was begun during an unacknowledged prefill attempt, and ErrStateNeeded if not.
func CheckReleaseSend(permission ReleasePermission, duringPrefill bool) error {
	switch {
	case permission != ReleaseForbidden:
		return nil
	case duringPrefill:
		return ErrReleaseSuperseded
	}
	return ErrStateNeeded
}
