package inflight

import (
	"errors"
	"testing"
)

// TestAdvance checks that states only change to later ones.
func TestAdvance(t *testing.T) {
	operation := NewOperation(StateRelease)
	for _, to := range []DeliveryState{Connecting, Sending, Sent, Acknowledged, Completed} {
		if err := operation.Advance(to); err != nil {
			t.Error(err)
		}
		if got, want := operation.IsAcknowledged(), to == Acknowledged; got != want {
			t.Errorf("%s: acknowledged %v, want %v", to, got, want)
		}
		if got, want := operation.MayHaveBeenReceived(), to >= Sent; got != want {
			t.Errorf("%s: may have been received %v, want %v", to, got, want)
		}
	}
	err := operation.Advance(Sent)
	var transition *TransitionError
	if !errors.As(err, &transition) || *transition != (TransitionError{StateRelease, Completed, Sent}) {
		t.Errorf("backward transition: error %v, want a *TransitionError from completed to sent", err)
	}
	if err == nil || err.Error() != `state release cannot change from state "completed" to "sent"` {
		t.Error(err)
	}
}

// TestCloseMode checks that the connection of an abandoned attempt is kept open if the server may have received the
// attempt and has not answered.
func TestCloseMode(t *testing.T) {
	at := func(state DeliveryState) *Operation { return &Operation{Kind: PrefillAttempt, state: state} }
	for name, c := range map[string]struct{ got, want CloseMode }{
		"connecting":     {at(Connecting).CloseMode(false, false), CloseImmediately},
		"partly sent":    {at(Sending).CloseMode(false, false), CloseImmediately},
		"sent":           {at(Sent).CloseMode(false, false), AwaitPeerClose},
		"answered":       {at(Acknowledged).CloseMode(true, false), CloseImmediately},
		"answer streams": {at(Acknowledged).CloseMode(true, true), CloseImmediately},
	} {
		if c.got != c.want {
			t.Errorf("%s: close mode %d, want %d", name, c.got, c.want)
		}
	}
	if at(Completed).MayContinueOnServer(false) || !at(Abandoned).MayContinueOnServer(false) ||
		at(Abandoned).MayContinueOnServer(true) {
		t.Error("only an abandoned attempt without an answer may continue on its server")
	}
}
