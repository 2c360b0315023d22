// Package frontend is what every front of the dispatcher has in common: the requests that come in by it, the ends that they
// come to, and what stands behind it. The doors themselves are packages below.
package frontend

import (
	"errors"

	"docksail/internal/eventloop"
	"docksail/policy"
)

// ErrInvalidRequest is wrapped by the core's errors about a request that can never be taken as it is.
var ErrInvalidRequest = errors.New("request cannot be taken")

// Dispatcher is what stands behind a front.
type Dispatcher interface {
	// Submit hands over a request. The request's slices are valid during the call only. An error that wraps ErrInvalidRequest
	// is the caller's fault; a Refusal rejects the request.
	Submit(now eventloop.Nanos, call ResponseWriter, r *Request) (policy.RequestID, error)
	// ClientDisconnected tells that the client of a request is gone.
	ClientDisconnected(now eventloop.Nanos, id policy.RequestID)
	// RequestName is a request's for the outside.
	RequestName(id policy.RequestID) string
	// ClientWritable tells that all that was sent to the client has left.
	ClientWritable(now eventloop.Nanos, id policy.RequestID)
}

// ResponseWriter is the client's end of a request.
type ResponseWriter interface {
	// WriteTokens relays a piece of the answer. True says that it waits for the client: the server is to be held back until
	// the core's Room.
	WriteTokens(id policy.RequestID, p []byte) (waits bool)
	// Complete ends the answer as it should end.
	Complete(id policy.RequestID)
	// Fail ends the call, begun or not: nothing is promised.
	Fail(id policy.RequestID, why string)
	// Reject refuses the request: trying again is harmless.
	Reject(id policy.RequestID, no RejectionError)
}

// RejectionError is an error that says when to come back.
type RejectionError struct {
	Reason              string
	RetryAfter          eventloop.Nanos // 0 = at once, elsewhere
	TenantLimitExceeded bool            // a limit of the caller's own was met
	Ticket              []byte          // to be brought back then; nil = none
}

func (r RejectionError) Error() string { return r.Reason }

// Request is one request as it stands in a message: slices of it, without a copy. Raw is handed on to servers as it came.
type Request struct {
	Raw            []byte
	ClientID       []byte // the client's own name for the request, where servers are told it; nil = none
	Path           []byte // where the request was sent, where servers are told that; nil = nowhere
	Header         []byte // header fields that servers are to see as well, as lines; nil = none
	Class          []byte
	Tenant         []byte
	Session        []byte
	Prefix         []byte
	IdempotencyKey []byte
	Client         []byte
	Source         [16]byte // address it comes from
	Ticket         []byte   // as a refusal gave it; nil = none

	Background        bool // it fills what is idle, and yields to all others
	PromptTokens      int64
	PrefixTokens      int64
	MaxTokens         int64
	FirstTokenTimeout int64 // nanoseconds; 0 = not told
	LengthHint        int64
	CallTimeout       int64 // of the call, nanoseconds; 0 = none
	PreviousAttempts  int64 // earlier tries, as the client tells
	TraceParent       string
}
