package inflight

import "errors"

// Errors of RequestState and CheckReleaseSend that only a bug in this program causes, never a peer.
var (
	ErrAlreadyAnswered    = errors.New("request already has its final answer")
	ErrAttemptOutstanding = errors.New("request already has an outstanding attempt")
	ErrNoSuchAttempt      = errors.New("request has no outstanding attempt with that number")
	ErrNoStateHeld        = errors.New("request has no held state to release")
	ErrStateNeeded        = errors.New("release not permitted: the request's next attempt needs the held state")
	ErrReleaseInFlight    = errors.New("prefill attempt not permitted: a release of the request is in flight")
	ErrServerNotServing   = errors.New("attempt not permitted: the server is draining or gone")
)

// ErrReleaseSuperseded is returned for a release that was to be sent during an unacknowledged prefill attempt: while
// its connection was being established, the attempt was answered or its server was heard from. It can occur without a
// bug.
var ErrReleaseSuperseded = errors.New("release superseded: the outstanding prefill attempt has made progress")

// ErrStartDeadlinePassed is returned for a repeated attempt whose connection took so long to establish that servers may
// no longer deduplicate the attempt. It can occur without a bug.
var ErrStartDeadlinePassed = errors.New("attempt not permitted: its start deadline has passed")
