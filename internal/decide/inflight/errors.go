package inflight

import "errors"

// Errors of RequestState and CheckSendRelease that are faults of the program, never of a peer.
var (
	ErrAlreadyAnswered    = errors.New("request already has its final answer")
	ErrAttemptOutstanding = errors.New("request already has an outstanding attempt")
	ErrNoSuchAttempt      = errors.New("request has no outstanding attempt of that number")
	ErrNoStateHeld        = errors.New("request has no held state to release")
	ErrStateNeeded        = errors.New("release not permitted: the request's next attempt needs the held state")
	ErrReleaseInFlight    = errors.New("prefill attempt not permitted: a release of the request is in flight")
	ErrServerNotServing   = errors.New("attempt not permitted: the server is draining or gone")
)

// ErrReleaseSuperseded is the expected error of a release that was to be sent beside an unacknowledged prefill attempt:
// while the connection of the release was established, the attempt was answered or its server was heard from.
var ErrReleaseSuperseded = errors.New("release superseded: the prefill attempt beside it has made progress")

// ErrStartDeadlinePassed is the expected error of a repeated attempt whose connection took so long to establish that
// the servers may no longer remember the first attempt, and would not deduplicate the repeat.
var ErrStartDeadlinePassed = errors.New("attempt not permitted: its start deadline has passed")
