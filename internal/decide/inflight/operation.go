// Package inflight holds the state of requests in flight and decides which operations are permitted for them: sending
// or repeating an attempt, closing its connection, and releasing the KV state that a server holds for the request.
//
// An Operation is one message to a server, with a DeliveryState that says only what this process knows. An established
// connection, bytes accepted by the operating system and data on another connection do not prove that the server
// received the message; closing a connection here does not prove that the server has noticed.
//
// RequestState holds the final answer, the outstanding attempt and the KV state of one request. ReleaseTracker decides
// when KV state that attempts may have left on servers is released, and when all of it has been.
//
// The package does no I/O and reads no clock. All times are nanoseconds on one clock of the caller.
package inflight

import "fmt"

// OperationKind is the kind of message that an operation sends.
type OperationKind uint8

// The operation kinds.
const (
	PrefillAttempt OperationKind = iota // an attempt at a prefill server
	DecodeAttempt                       // an attempt at a decode server
	StateRelease                        // a call that releases the KV state of a request
)

var operationKindNames = [...]string{"prefill attempt", "decode attempt", "state release"}

// String returns the name of the kind for logs.
func (k OperationKind) String() string { return operationKindNames[k] }

// DeliveryState is the known progress of an operation. States are ordered, and an operation only moves forward.
type DeliveryState uint8

// The delivery states, in order.
const (
	Planned      DeliveryState = iota // no connection is assigned
	Connecting                        // its connection is being established
	Sending                           // its bytes are queued, or partly passed to the operating system
	Sent                              // completely passed to the operating system; the server may not have received it
	Acknowledged                      // data was received on the same connection since
	Abandoned                         // ended by this process; the server may not have noticed
	Completed                         // ended at the server, or known not to have reached it completely
)

var deliveryStateNames = [...]string{
	"planned", "connecting", "sending", "sent", "acknowledged", "abandoned", "completed",
}

// String returns the name of the state for logs.
func (s DeliveryState) String() string { return deliveryStateNames[s] }

// Operation is one message to a server and its delivery state.
type Operation struct {
	Kind  OperationKind
	state DeliveryState
}

// NewOperation returns an operation in state Planned.
func NewOperation(kind OperationKind) Operation { return Operation{Kind: kind} }

// State returns the operation's delivery state.
func (o *Operation) State() DeliveryState { return o.state }

// TransitionError reports an invalid transition in Advance. Only a bug in this program causes it, never a peer.
type TransitionError struct {
	Kind     OperationKind
	From, To DeliveryState
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("%s cannot change from state %q to %q", e.Kind, e.From, e.To)
}

// Advance moves the operation to a later state; states may be skipped. If the state is not later than the current one,
// it returns a *TransitionError and leaves the state unchanged.
func (o *Operation) Advance(to DeliveryState) error {
	if to <= o.state {
		return &TransitionError{Kind: o.Kind, From: o.state, To: to}
	}
	o.state = to
	return nil
}

// MayHaveBeenReceived reports whether the server may have received the complete message, and so may have processed it.
func (o *Operation) MayHaveBeenReceived() bool { return o.state >= Sent }

// IsAcknowledged reports whether the server is known to have received the message and its answer is not complete.
func (o *Operation) IsAcknowledged() bool { return o.state == Acknowledged }

// CloseMode says how the connection of an abandoned attempt is closed.
type CloseMode uint8

// The ways to close the connection of an attempt.
const (
	// CloseImmediately closes the connection at once.
	CloseImmediately CloseMode = iota
	// AwaitPeerClose closes the output, which tells the server that the attempt is abandoned, and keeps the input open
	// until the server closes its side, which shows that it has noticed.
	AwaitPeerClose
)

// CloseMode returns how to close the connection of an abandoned attempt. answered means that data of the answer was
// received, so that the server will no longer begin to hold or take KV state; streaming means that the answer has begun
// to stream, so that the KV state has been taken.
func (o *Operation) CloseMode(answered, streaming bool) CloseMode {
	if o.MayHaveBeenReceived() && !answered && !streaming {
		return AwaitPeerClose
	}
	return CloseImmediately
}

// MayContinueOnServer reports whether an attempt that has ended here may still run on its server, where it may leave KV
// state or keep the state that it was to take.
func (o *Operation) MayContinueOnServer(streaming bool) bool {
	return o.state == Abandoned && !streaming
}
