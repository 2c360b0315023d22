// Package frontend defines what all frontends share: the requests that they submit, the interface for writing a
// response, and the interface of the dispatcher. Each frontend is a package below this one.
package frontend

import (
	"errors"

	"docksail/internal/eventloop"
	"docksail/policy"
)

// ErrInvalidRequest is wrapped by the errors of Dispatcher.Submit for requests that cannot be served unless the client
// changes them.
var ErrInvalidRequest = errors.New("request cannot be taken")

// Dispatcher serves the requests that a frontend submits. Its methods are called on the event loop.
type Dispatcher interface {
	// Submit submits a request and returns its ID. The slices of r are valid only during the call; w must stay valid
	// until the request has its response. The error is a RejectionError if the request is rejected, or wraps
	// ErrInvalidRequest if it is invalid. The dispatcher must not call w before Submit has returned, nor after an error.
	Submit(now eventloop.Nanos, w ResponseWriter, r *Request) (policy.RequestID, error)
	// ClientDisconnected reports that the client of a request has disconnected.
	ClientDisconnected(now eventloop.Nanos, id policy.RequestID)
	// ClientWritable reports that all output queued for the client of a request was sent.
	ClientWritable(now eventloop.Nanos, id policy.RequestID)
	// RequestName returns the name of a request for messages and logs, unique across dispatchers and restarts.
	RequestName(id policy.RequestID) string
}

// ResponseWriter writes the response to one request. Exactly one call of Complete, Fail or Reject ends it, unless the
// client has disconnected.
type ResponseWriter interface {
	// WriteTokens writes a piece of the response. If blocked is true, output waits for the client, and the server must
	// be held back until Dispatcher.ClientWritable is called.
	WriteTokens(id policy.RequestID, p []byte) (blocked bool)
	// Complete ends a response that was written in full.
	Complete(id policy.RequestID)
	// Fail ends a response with an error, whether or not it has begun. The request may have been executed.
	Fail(id policy.RequestID, reason string)
	// Reject rejects a request for which WriteTokens was not called. The client may retry.
	Reject(id policy.RequestID, rejection RejectionError)
}

// RejectionError rejects a request that was not executed and says when to retry it.
type RejectionError struct {
	Reason              string
	RetryAfter          eventloop.Nanos // 0 = at once, at another dispatcher
	TenantLimitExceeded bool            // a limit of the request's own tenant was exceeded
	Ticket              []byte          // reservation for the retry, which presents it; nil = none
}

func (e RejectionError) Error() string { return e.Reason }

// Request is a decoded request. Its slices belong to the frontend, which may reuse them after Dispatcher.Submit. An
// empty slice or a zero means that the client does not set the field.
type Request struct {
	Raw             []byte // the message, which is forwarded to servers unchanged
	RawHandedOver   bool   // if the request is accepted, Raw belongs to the dispatcher; nobody may change it any more
	ClientRequestID []byte // the client's ID of the request, forwarded to servers
	Path            []byte // the path of the request, forwarded to servers
	Header          []byte // header fields forwarded to servers, as lines

	Class          []byte
	Tenant         []byte
	Session        []byte
	Prefix         []byte // name of the prefix that the prompt shares with other prompts
	IdempotencyKey []byte
	Client         []byte   // name of the client within its tenant
	Source         [16]byte // address of the client
	Ticket         []byte   // ticket of an earlier RejectionError

	Background        bool // the request uses idle capacity only
	PromptTokens      int64
	PrefixTokens      int64 // tokens of the prompt that belong to the shared prefix
	MaxTokens         int64 // maximum length of the response
	FirstTokenTimeout int64 // nanoseconds
	ExpectedDuration  int64 // estimated duration of the response, nanoseconds
	CallTimeout       int64 // timeout of the whole call, nanoseconds
	PreviousAttempts  int64 // earlier attempts by the client
	TraceParent       string
}
