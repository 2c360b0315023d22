// Package jobs keeps the jobs that a dispatcher has in hand, in a slab with reused places, and with each the
// account of what is owed for it: a final answer, once, and the end of the launch that is out, of which there
// is at most one. What would break the account is refused with an error, whoever asks for it.
package jobs

import (
	"errors"

	"docksail/policy"
)

// Errors of the account. Each is a fault of the program, never of a peer.
var (
	ErrAnswered = errors.New("the job has its final answer already")
	ErrOut      = errors.New("a launch of the job is out already")
	ErrNotOut   = errors.New("no launch of that number is out")
)

// Account is what is owed for one job.
type Account struct {
	ID       policy.RequestID
	answered bool
	out      bool
	shot     policy.AttemptNumber
	launches int32
	holder   policy.ServerID
	held     bool
}

// Answer takes down the final answer.
func (a *Account) Answer() error {
	if a.answered {
		return ErrAnswered
	}
	a.answered = true
	return nil
}

// Answered tells that nothing more is owed to the client.
func (a *Account) Answered() bool { return a.answered }

// Launch takes down a launch and gives its number.
func (a *Account) Launch() (policy.AttemptNumber, error) {
	switch {
	case a.out:
		return 0, ErrOut
	case a.answered:
		return 0, ErrAnswered
	}
	a.out, a.shot = true, policy.AttemptNumber(a.launches)
	a.launches++
	return a.shot, nil
}

// Out is the number of the launch that is out.
func (a *Account) Out() (policy.AttemptNumber, bool) { return a.shot, a.out }

// Launches counts the launches so far.
func (a *Account) Launches() int32 { return a.launches }

// End takes down the end of a launch.
func (a *Account) End(shot policy.AttemptNumber) error {
	if !a.out || shot != a.shot {
		return ErrNotOut
	}
	a.out = false
	return nil
}

// Hold takes down that a host holds the state of the job.
func (a *Account) Hold(at policy.ServerID) { a.holder, a.held = at, true }

// Held is the host that holds the state of the job.
func (a *Account) Held() (policy.ServerID, bool) { return a.holder, a.held }

// LetGo takes down that nothing is held any more.
func (a *Account) LetGo() { a.held = false }

// Done tells that nothing is owed, out or held: the job's place may be used again.
func (a *Account) Done() bool { return a.answered && !a.out && !a.held }

// Table is a slab of jobs. An id names a place and its use, so that an old id finds nothing. Its zero value
// is ready.
type Table[T any] struct {
	places []place[T]
	free   []uint32
	n      int
}

type place[T any] struct {
	gen  uint32
	used bool
	job  *T // kept over uses: what points into it stays right while the slab grows
}

// Add takes a place. The job in it is as its last use left it: the caller sets it up anew.
func (t *Table[T]) Add() (policy.RequestID, *T) {
	var i uint32
	if n := len(t.free); n > 0 {
		i, t.free = t.free[n-1], t.free[:n-1]
	} else {
		i = uint32(len(t.places))
		t.places = append(t.places, place[T]{job: new(T)})
	}
	p := &t.places[i]
	p.gen++
	p.used = true
	t.n++
	return policy.RequestID(uint64(p.gen)<<32 | uint64(i)), p.job
}

// Find gives the job of an id; nil if it is over.
func (t *Table[T]) Find(id policy.RequestID) *T {
	i, gen := uint32(id), uint32(id>>32)
	if int(i) < len(t.places) && t.places[i].used && t.places[i].gen == gen {
		return t.places[i].job
	}
	return nil
}

// Drop frees the place of an id.
func (t *Table[T]) Drop(id policy.RequestID) {
	if t.Find(id) != nil {
		t.places[uint32(id)].used = false
		t.free = append(t.free, uint32(id))
		t.n--
	}
}

// Len counts the jobs in hand.
func (t *Table[T]) Len() int { return t.n }

// Each calls f for every job in hand, in the order of their places; f may drop it.
func (t *Table[T]) Each(f func(id policy.RequestID, job *T)) {
	for i := range t.places {
		if p := &t.places[i]; p.used {
			f(policy.RequestID(uint64(p.gen)<<32|uint64(i)), p.job)
		}
	}
}
