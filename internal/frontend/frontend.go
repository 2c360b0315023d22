// Package frontend holds what all frontends have in common: the requests that they submit, how a response is given, and
// what they expect of the dispatcher. Each frontend is a package below this one.
package frontend

import (
	"errors"

	"docksail/internal/eventloop"
	"docksail/policy"
)

// ErrInvalidRequest is wrapped by errors of Dispatcher.Submit about a request that can never be served as it is.
var ErrInvalidRequest = errors.New("request cannot be taken")

// Dispatcher is what a frontend submits requests to. Its methods are called on the event loop.
type Dispatcher interface {
	// Submit submits a request and returns its id. The slices of r are valid during the call only; w must stay valid
	// until the request has its response. A RejectionError rejects the request; any other error, which wraps
	// ErrInvalidRequest, is the client's. w must not be called before Submit has returned, nor after an error.
	Submit(now eventloop.Nanos, w ResponseWriter, r *Request) (policy.RequestID, error)
	// ClientDisconnected reports that the client of a request has left.
	ClientDisconnected(now eventloop.Nanos, id policy.RequestID)
	// ClientWritable reports that all output for the client of a request was sent.
	ClientWritable(now eventloop.Nanos, id policy.RequestID)
	// RequestName returns the name of a request in messages and logs, unique over dispatchers and restarts.
	RequestName(id policy.RequestID) string
}

// ResponseWriter gives the response to one request. Exactly one of Complete, Fail and Reject ends it, unless the client
// has disconnected.
type ResponseWriter interface {
	// WriteTokens relays a piece of the response. If blocked is true, output waits for the client, and the server must
	// be held back until Dispatcher.ClientWritable.
	WriteTokens(id policy.RequestID, p []byte) (blocked bool)
	// Complete ends a response that is complete.
	Complete(id policy.RequestID)
	// Fail ends a response, begun or not. The request may have been executed.
	Fail(id policy.RequestID, reason string)
	// Reject refuses a request for which WriteTokens was not called. The client may retry.
	Reject(id policy.RequestID, rejection RejectionError)
}

// RejectionError refuses a request that was not executed and states when to retry.
type RejectionError struct {
	Reason              string
	RetryAfter          eventloop.Nanos // 0 = at once, elsewhere
	TenantLimitExceeded bool            // the tenant's own limit was exceeded
	Ticket              []byte          // reserves a place for the retry that brings it back; nil = none
}

func (e RejectionError) Error() string { return e.Reason }

// Request is a request as it stands in a message. Its slices point into that message. Nil slices and zeros stand for
// what the message does not state.
type Request struct {
	Raw      []byte // the message, which servers are sent unchanged
	ClientID []byte // the client's own id of the request, for servers
	Path     []byte // the path to which the request was sent, for servers
	Header   []byte // header fields for servers, as lines

	Class          []byte
	Tenant         []byte
	Session        []byte
	Prefix         []byte // name of a prefix that the prompt shares with others
	IdempotencyKey []byte
	Client         []byte   // name of the client within its tenant
	Source         [16]byte // address of the client
	Ticket         []byte   // of an earlier RejectionError

	Background        bool // the request uses idle capacity only
	PromptTokens      int64
	PrefixTokens      int64 // of the prompt, the length of the shared prefix
	MaxTokens         int64 // of the response
	FirstTokenTimeout int64 // nanoseconds
	LengthHint        int64 // estimated duration of the response, nanoseconds
	CallTimeout       int64 // of the whole call, nanoseconds
	PreviousAttempts  int64 // of the client
	TraceParent       string
}
