// Package inflight is the one place that decides what may be sent, repeated, closed or started now for a request, and when KV state that
// is held for it has to be released. It keeps the life of each thing that is sent: reads, writes and releases. What is known of it at its
// server is told apart from what was done here: a connect that worked, bytes that the system took, or an answer on another connection
// are no proof that it arrived, and a close that was made here is no proof that the server knows of it.
//
// Record is the account of one request. Settlement follows what a request's attempts may have left until it is gone for sure. The
// package does no I/O and reads no clock.
package inflight

import "fmt"

// OperationKind is what was sent.
type OperationKind uint8

const (
	PrefillAttempt OperationKind = iota // an attempt at a prefill server
	DecodeAttempt                       // an attempt at a decode server
	StateRelease                        // a call that has the state of a request dropped
)

var kindNames = [...]string{"read", "write", "release"}

// String names a kind in logs.
func (k OperationKind) String() string { return kindNames[k] }

// DeliveryState is how far an effect has come, as far as is known here.
type DeliveryState uint8

const (
	Planned      DeliveryState = iota // no connection carries it yet
	Connecting                        // its connection is coming up
	Sending                           // its bytes are queued or in part with the system
	Sent                              // the system has its last byte; whether the server has it is not known
	Acknowledged                      // something came back on the same connection
	Abandoned                         // ended here; the server may not know yet
	Completed                         // over at the server, or known never to have come there whole
)

var stageNames = [...]string{"planned", "connecting", "writing", "written", "arrived", "given up", "over"}

// String names a stage in logs.
func (s DeliveryState) String() string { return stageNames[s] }

// Operation is one thing that is sent.
type Operation struct {
	Kind  OperationKind
	stage DeliveryState
}

// NewOperation makes an effect that nothing carries yet.
func NewOperation(kind OperationKind) Operation { return Operation{Kind: kind} }

// State is how far it has come.
func (e *Operation) State() DeliveryState { return e.stage }

// TransitionError is a change of stage that cannot be: a fault of the program.
type TransitionError struct {
	Kind     OperationKind
	From, To DeliveryState
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("a %s that is %s cannot become %s", e.Kind, e.From, e.To)
}

// Advance takes down a new stage. Stages follow in their order; some may be left out, none comes again.
func (e *Operation) Advance(to DeliveryState) error {
	if to <= e.stage {
		return &TransitionError{e.Kind, e.stage, to}
	}
	e.stage = to
	return nil
}

// MayHaveBeenReceived tells that the server may have all of it: only then can it have had an effect.
func (e *Operation) MayHaveBeenReceived() bool { return e.stage >= Sent }

// IsAcknowledged tells that the server is known to have all of it. A connect that worked, bytes that the system took and signs of
// life on other connections are no proof.
func (e *Operation) IsAcknowledged() bool { return e.stage == Acknowledged }

// CloseMode is how the connection of an attempt that ends here is left.
type CloseMode uint8

const (
	CloseImmediately CloseMode = iota
	// AwaitPeerClose ends the sending on it, which is how the server learns that the attempt is given up, and keeps it until the server's end shows that it has.
	AwaitPeerClose
)

// CloseMode tells how to leave the connection of an attempt. answered: something came back, so that its server is done with it; streaming: its answer has
// begun, and the state is taken.
func (e *Operation) CloseMode(answered, streaming bool) CloseMode {
	if e.MayHaveBeenReceived() && !answered && !streaming {
		return AwaitPeerClose
	}
	return CloseImmediately
}

// MayContinueOnServer tells that an attempt whose connection was lost may go on at its server, and leave a state or keep the one that it was to take.
func (e *Operation) MayContinueOnServer(streaming bool) bool {
	return e.stage == Abandoned && !streaming
}
