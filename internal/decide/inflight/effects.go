// Package inflight is the one place that decides what may be sent, repeated, closed or started now for a request, and when KV state that
// is held for it has to be released. It keeps the life of each thing that is sent: reads, writes and releases. What is known of it at its
// server is told apart from what was done here: a connect that worked, bytes that the system took, or an answer on another connection
// are no proof that it arrived, and a close that was made here is no proof that the server knows of it.
//
// Record is the account of one request. Settlement follows what a request's attempts may have left until it is gone for sure. The
// package does no I/O and reads no clock.
package inflight

import "fmt"

// Kind is what was sent.
type Kind uint8

const (
	Read    Kind = iota // an attempt at a prefill server
	Write               // an attempt at a decode server
	Release             // a call that has the state of a request dropped
)

var kindNames = [...]string{"read", "write", "release"}

// String names a kind in logs.
func (k Kind) String() string { return kindNames[k] }

// Stage is how far an effect has come, as far as is known here.
type Stage uint8

const (
	Planned    Stage = iota // no connection carries it yet
	Connecting              // its connection is coming up
	Writing                 // its bytes are queued or in part with the system
	Written                 // the system has its last byte; whether the server has it is not known
	Arrived                 // something came back on the same connection
	GivenUp                 // ended here; the server may not know yet
	Over                    // over at the server, or known never to have come there whole
)

var stageNames = [...]string{"planned", "connecting", "writing", "written", "arrived", "given up", "over"}

// String names a stage in logs.
func (s Stage) String() string { return stageNames[s] }

// Effect is one thing that is sent.
type Effect struct {
	Kind  Kind
	stage Stage
}

// New makes an effect that nothing carries yet.
func New(kind Kind) Effect { return Effect{Kind: kind} }

// Stage is how far it has come.
func (e *Effect) Stage() Stage { return e.stage }

// TransitionError is a change of stage that cannot be: a fault of the program.
type TransitionError struct {
	Kind     Kind
	From, To Stage
}

// Error implements error.
func (e *TransitionError) Error() string {
	return fmt.Sprintf("a %s that is %s cannot become %s", e.Kind, e.From, e.To)
}

// Advance takes down a new stage. Stages follow in their order; some may be left out, none comes again.
func (e *Effect) Advance(to Stage) error {
	if to <= e.stage {
		return &TransitionError{e.Kind, e.stage, to}
	}
	e.stage = to
	return nil
}

// MayHaveArrived tells that the server may have all of it: only then can it have had an effect.
func (e *Effect) MayHaveArrived() bool { return e.stage >= Written }

// KnownArrived tells that the server is known to have all of it. A connect that worked, bytes that the system took and signs of
// life on other connections are no proof.
func (e *Effect) KnownArrived() bool { return e.stage == Arrived }

// Parting is how the connection of an attempt that ends here is left.
type Parting uint8

const (
	CloseAtOnce Parting = iota
	// WatchForEnd ends the sending on it, which is how the server learns that the attempt is given up, and keeps it until the server's end shows that it has.
	WatchForEnd
)

// Parting tells how to leave the connection of an attempt. answered: something came back, so that its server is done with it; streaming: its answer has
// begun, and the state is taken.
func (e *Effect) Parting(answered, streaming bool) Parting {
	if e.MayHaveArrived() && !answered && !streaming {
		return WatchForEnd
	}
	return CloseAtOnce
}

// LeavesBehind tells that an attempt whose connection was lost may go on at its server, and leave a state or keep the one that it was to take.
func (e *Effect) LeavesBehind(streaming bool) bool { return e.stage == GivenUp && !streaming }
