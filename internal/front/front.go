// Package front is what every door of the dispatcher has in common: the jobs that come in by it, the ends that they
// come to, and what stands behind it. The doors themselves are packages below.
package front

import (
	"errors"

	"docksail/internal/loop"
	"docksail/policy"
)

// ErrBad is wrapped by the core's errors about a request that can never be taken as it is.
var ErrBad = errors.New("request cannot be taken")

// Core is what stands behind a door.
type Core interface {
	// Arrive hands over a job. The request's slices are valid during the call only. An error that wraps ErrBad
	// is the caller's fault; a Refusal is a nack.
	Arrive(now loop.Nanos, call Call, r *Request) (policy.RequestID, error)
	// Left tells that the client of a job is gone.
	Left(now loop.Nanos, id policy.RequestID)
	// Name is a job's for the outside.
	Name(id policy.RequestID) string
	// Room tells that all that was sent to the client has left.
	Room(now loop.Nanos, id policy.RequestID)
}

// Call is the client's end of a job.
type Call interface {
	// Tokens relays a piece of the answer. True says that it waits for the client: the host is to be held back until
	// the core's Room.
	Tokens(id policy.RequestID, p []byte) (waits bool)
	// Honour ends the answer as it should end.
	Honour(id policy.RequestID)
	// Abandon ends the call, begun or not: nothing is promised.
	Abandon(id policy.RequestID, why string)
	// Nack refuses the job: trying again is harmless.
	Nack(id policy.RequestID, no Refusal)
}

// Refusal is an error that says when to come back.
type Refusal struct {
	Why    string
	After  loop.Nanos // 0 = at once, elsewhere
	Own    bool       // a limit of the caller's own was met
	Ticket []byte     // to be brought back then; nil = none
}

func (r Refusal) Error() string { return r.Why }

// Request is one job as it stands in a message: slices of it, without a copy. Raw is handed on to hosts as it came.
type Request struct {
	Raw       []byte
	Named     []byte // the client's own name for the job, where hosts are told it; nil = none
	Target    []byte // where the request was sent, where hosts are told that; nil = nowhere
	Fields    []byte // header fields that hosts are to see as well, as lines; nil = none
	Track     []byte
	Tenant    []byte
	Session   []byte
	Beginning []byte
	Label     []byte
	Client    []byte
	Source    [16]byte // address it comes from
	Ticket    []byte   // as a refusal gave it; nil = none

	Background bool // it fills what is idle, and yields to all others
	Prompt     int64
	Shared     int64
	Most       int64
	Patience   int64 // nanoseconds; 0 = not told
	Hint       int64
	Timeout    int64 // of the call, nanoseconds; 0 = none
	Repeat     int64 // earlier tries, as the client tells
	Trace      string
}
