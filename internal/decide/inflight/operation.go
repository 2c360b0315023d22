// Package inflight keeps the state of requests in flight and decides which operations are permitted for them: sending
// an attempt, sending it again, closing its connection, releasing the KV state that a server holds for the request.
//
// An Operation is one message sent to a server, with a DeliveryState. A DeliveryState reports only what this process
// knows. A connection that was established, bytes that the operating system accepted, and data on another connection do
// not prove that the server received the message; a connection that was closed here does not prove that the server
// noticed.
//
// RequestState is the state of one request: its final answer, its outstanding attempt and its KV state.
// ReleaseTracker decides when KV state that attempts may have left on servers is released, and when that is complete.
//
// The package does no I/O and reads no clock. All times are nanoseconds on one clock of the caller.
package inflight

import "fmt"

// OperationKind is the kind of message that an operation sends.
type OperationKind uint8

// The kinds of operation.
const (
	PrefillAttempt OperationKind = iota // an attempt at a prefill server
	DecodeAttempt                       // an attempt at a decode server
	StateRelease                        // a call that releases the KV state of a request
)

var operationKindNames = [...]string{"prefill attempt", "decode attempt", "state release"}

// String returns the name of the kind for logs.
func (k OperationKind) String() string { return operationKindNames[k] }

// DeliveryState is how far an operation is known to have come. States are ordered: an operation only moves forward.
type DeliveryState uint8

// The states of an operation, in order.
const (
	Planned      DeliveryState = iota // no connection is assigned to it
	Connecting                        // its connection is being established
	Sending                           // its bytes are queued or partly passed to the operating system
	Sent                              // the operating system has the last byte; the server may or may not have it
	Acknowledged                      // data came back on the same connection
	Abandoned                         // ended by this process; the server may not know
	Completed                         // over at the server, or known never to have reached it completely
)

var deliveryStateNames = [...]string{
	"planned", "connecting", "sending", "sent", "acknowledged", "abandoned", "completed",
}

// String returns the name of the state for logs.
func (s DeliveryState) String() string { return deliveryStateNames[s] }

// Operation is one message that is sent to a server.
type Operation struct {
	Kind  OperationKind
	state DeliveryState
}

// NewOperation returns an operation in state Planned.
func NewOperation(kind OperationKind) Operation { return Operation{Kind: kind} }

// State returns the operation's delivery state.
func (o *Operation) State() DeliveryState { return o.state }

// TransitionError is the error of Advance. It is always a fault of the program, never of a peer.
type TransitionError struct {
	Kind     OperationKind
	From, To DeliveryState
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("%s cannot change from state %q to %q", e.Kind, e.From, e.To)
}

// Advance records the transition to a later state; states may be skipped. It returns a *TransitionError, and leaves the
// state as it is, if the new state is not later than the current one.
func (o *Operation) Advance(to DeliveryState) error {
	if to <= o.state {
		return &TransitionError{Kind: o.Kind, From: o.state, To: to}
	}
	o.state = to
	return nil
}

// MayHaveBeenReceived reports whether the server may have received the complete message and so may have acted on it.
func (o *Operation) MayHaveBeenReceived() bool { return o.state >= Sent }

// IsAcknowledged reports whether the server is known to have received the message and its answer is not complete.
func (o *Operation) IsAcknowledged() bool { return o.state == Acknowledged }

// CloseMode is how the connection of an attempt that ends here is closed.
type CloseMode uint8

// The ways to close the connection of an attempt.
const (
	// CloseImmediately closes the connection at once.
	CloseImmediately CloseMode = iota
	// AwaitPeerClose ends the output, by which the server learns that the attempt is abandoned, and keeps the
	// connection open until the server closes its side, which shows that it has noticed.
	AwaitPeerClose
)

// CloseMode returns how to close the connection of an attempt that is abandoned. answered reports that data of the
// answer was received, so that the server is past the point where it holds or takes KV state; streaming reports that
// the answer has begun to stream, so that the KV state is taken.
func (o *Operation) CloseMode(answered, streaming bool) CloseMode {
	if o.MayHaveBeenReceived() && !answered && !streaming {
		return AwaitPeerClose
	}
	return CloseImmediately
}

// MayContinueOnServer reports whether an attempt whose connection was lost may still run on its server, and so may
// leave KV state there or keep the state that it was to take.
func (o *Operation) MayContinueOnServer(streaming bool) bool {
	return o.state == Abandoned && !streaming
}
