// Package requests keeps the requests that a dispatcher has in hand, in a slab with reused places, and with each the
// account of what is owed for it: a final answer, once, and the end of the attempt that is out, of which there
// is at most one. What would break the account is refused with an error, whoever asks for it.
package requests

import (
	"errors"

	"docksail/policy"
)

// Errors of the account. Each is a fault of the program, never of a peer.
var (
	ErrAnswered = errors.New("the request has its final answer already")
	ErrOut      = errors.New("an attempt of the request is out already")
	ErrNotOut   = errors.New("no attempt of that number is out")
)

// Record is what is owed for one request.
type Record struct {
	ID          policy.RequestID
	answered    bool
	out         bool
	current     policy.AttemptNumber
	attempts    int32
	stateServer policy.ServerID
	stateHeld   bool
}

// Answer takes down the final answer.
func (a *Record) Answer() error {
	if a.answered {
		return ErrAnswered
	}
	a.answered = true
	return nil
}

// Answered tells that nothing more is owed to the client.
func (a *Record) Answered() bool { return a.answered }

// BeginAttempt records that an attempt is sent and gives its number.
func (a *Record) BeginAttempt() (policy.AttemptNumber, error) {
	switch {
	case a.out:
		return 0, ErrOut
	case a.answered:
		return 0, ErrAnswered
	}
	a.out, a.current = true, policy.AttemptNumber(a.attempts)
	a.attempts++
	return a.current, nil
}

// Outstanding is the number of the attempt that is out.
func (a *Record) Outstanding() (policy.AttemptNumber, bool) { return a.current, a.out }

// Attempts counts the attempts so far.
func (a *Record) Attempts() int32 { return a.attempts }

// EndAttempt takes down the end of an attempt.
func (a *Record) EndAttempt(shot policy.AttemptNumber) error {
	if !a.out || shot != a.current {
		return ErrNotOut
	}
	a.out = false
	return nil
}

// HoldState takes down that a server holds the state of the request.
func (a *Record) HoldState(at policy.ServerID) { a.stateServer, a.stateHeld = at, true }

// StateHeld is the server that holds the state of the request.
func (a *Record) StateHeld() (policy.ServerID, bool) { return a.stateServer, a.stateHeld }

// ReleaseState takes down that nothing is held any more.
func (a *Record) ReleaseState() { a.stateHeld = false }

// Done tells that nothing is owed, out or held: the request's place may be used again.
func (a *Record) Done() bool { return a.answered && !a.out && !a.stateHeld }

// Table is a slab of requests. An id names a place and its use, so that an old id finds nothing. Its zero value
// is ready.
type Table[T any] struct {
	slots []slot[T]
	free  []uint32
	n     int
}

type slot[T any] struct {
	gen   uint32
	used  bool
	value *T // kept over uses: what points into it stays right while the slab grows
}

// Add takes a place. The request in it is as its last use left it: the caller sets it up anew.
func (t *Table[T]) Add() (policy.RequestID, *T) {
	var i uint32
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
	} else {
		i = uint32(len(t.slots))
		t.slots = append(t.slots, slot[T]{value: new(T)})
	}
	p := &t.slots[i]
	p.gen++
	p.used = true
	t.n++
	return policy.RequestID(uint64(p.gen)<<32 | uint64(i)), p.value
}

// Find gives the request of an id; nil if it is over.
func (t *Table[T]) Find(id policy.RequestID) *T {
	i, gen := uint32(id), uint32(id>>32)
	if int(i) < len(t.slots) && t.slots[i].used && t.slots[i].gen == gen {
		return t.slots[i].value
	}
	return nil
}

// Drop frees the place of an id.
func (t *Table[T]) Drop(id policy.RequestID) {
	if t.Find(id) != nil {
		t.slots[uint32(id)].used = false
		t.free = append(t.free, uint32(id))
		t.n--
	}
}

// Len counts the requests in hand.
func (t *Table[T]) Len() int { return t.n }

// Each calls f for every request in hand, in the order of their places; f may drop it.
func (t *Table[T]) Each(f func(id policy.RequestID, value *T)) {
	for i := range t.slots {
		if p := &t.slots[i]; p.used {
			f(policy.RequestID(uint64(p.gen)<<32|uint64(i)), p.value)
		}
	}
}
