// Package frontend is what every front of the dispatcher has in common: the requests that come in by it, the ends that they
// come to, and what stands behind it. The doors themselves are packages below.
package frontend

import (
	"docksail/internal/eventloop"
	"docksail/policy"
	"errors"
)

// ErrBad is wrapped by the core's errors about a request that can never be taken as it is.
var ErrBad = errors.New("request cannot be taken")

// Core is what stands behind a front.
type Core interface {
	// Arrive hands over a request. The request's slices are valid during the call only. An error that wraps ErrBad
	// is the caller's fault; a Refusal rejects the request.
	Arrive(now eventloop.Nanos, call Call, r *Request) (policy.RequestID, error)
	// ClientLeft tells that the client of a request is gone.
	ClientLeft(now eventloop.Nanos, id policy.RequestID)
	// Name is a request's for the outside.
	Name(id policy.RequestID) string
	// Room tells that all that was sent to the client has left.
	Room(now eventloop.Nanos, id policy.RequestID)
}

// Call is the client's end of a request.
type Call interface {
	// Tokens relays a piece of the answer. True says that it waits for the client: the server is to be held back until
	// the core's Room.
	Tokens(id policy.RequestID, p []byte) (waits bool)
	// Served ends the answer as it should end.
	Served(id policy.RequestID)
	// Fail ends the call, begun or not: nothing is promised.
	Fail(id policy.RequestID, why string)
	// Reject refuses the request: trying again is harmless.
	Reject(id policy.RequestID, no Refusal)
}

// Refusal is an error that says when to come back.
type Refusal struct {
	Reason      string
	RetryAfter  eventloop.Nanos // 0 = at once, elsewhere
	TenantLimit bool            // a limit of the caller's own was met
	Ticket      []byte          // to be brought back then; nil = none
}

func (r Refusal) Error() string { return r.Reason }

// Request is one request as it stands in a message: slices of it, without a copy. Raw is handed on to servers as it came.
type Request struct {
	Raw      []byte
	ClientID []byte // the client's own name for the request, where servers are told it; nil = none
	Path     []byte // where the request was sent, where servers are told that; nil = nowhere
	Header   []byte // header fields that servers are to see as well, as lines; nil = none
	Class    []byte
	Tenant   []byte
	Session  []byte
	Prefix   []byte
	Label    []byte
	Client   []byte
	Source   [16]byte // address it comes from
	Ticket   []byte   // as a refusal gave it; nil = none

	Background bool // it fills what is idle, and yields to all others
	Prompt     int64
	Shared     int64
	MaxTokens  int64
	WaitLimit  int64 // nanoseconds; 0 = not told
	Hint       int64
	Timeout    int64 // of the call, nanoseconds; 0 = none
	Repeat     int64 // earlier tries, as the client tells
	Trace      string
}
