package dispatch

import (
	"net/netip"

	"docksail/internal/loop"
	"docksail/policy"
)

// Entry is a door by which clients come in; it hands jobs over by Arrive and answers them by their front.Call.
type Entry interface {
	Listen(at netip.AddrPort, share bool) (netip.AddrPort, error)
	Flush()     // queues on the sockets what has come together in this turn
	Conns() int // open connections
	Idle() bool // none of them has anything under way or output waiting
	Leave()     // no new connections, no new jobs
}

// Exit is the way to the hosts and to their list. It tells the dispatcher what becomes of launches by Heard,
// Tokens and Finish, and the module, by the dispatcher's Listed, what the list says.
type Exit interface {
	Start(now loop.Nanos) // asks for the list of hosts
	Watch(now loop.Nanos) // asks for it again
	// Reads tells whether a host is a reader; known, whether there is such a host.
	Reads(host policy.ServerID) (reads, known bool)
	// Launch sends the job to its Host; nil: it was not sent and will not be.
	Launch(now loop.Nanos, j *Job, shot policy.AttemptNumber) Sent
	// LetGo has what a launch of the job left at a host let go of. The job may be over after the call.
	LetGo(now loop.Nanos, j *Job, at policy.ServerID, shot policy.AttemptNumber)
	Flush()     // queues on the sockets what has come together in this turn
	Idle() bool // nothing is on its way to a host that must still come there
	Close()     // the loop has ended
}

// Sent is a launch that is out, as its exit holds it.
type Sent interface {
	// End is called once, when the launch is over, whoever ended it. What is left of it at the host is ended before
	// End returns; true: there was something.
	End(now loop.Nanos) bool
	// Over follows End once the module has been told.
	Over(now loop.Nanos)
	// Credit tells that the client has taken so many bytes that had to wait.
	Credit(n int)
	// Stage is how far it has come.
	Stage() Stage
	// Reached tells that there is a sign that it came to the host; a host that is cut off gives none.
	Reached() bool
}

// Stage is how far a launch has come.
type Stage uint8

const (
	Connecting Stage = iota // its connection is under way
	Queued                  // it waits for its turn at the host
	Wired                   // it was written to the host
)

// Listed tells the module news of the list: tell is called between its beginning and its end; some, that they name a host.
func (d *Dispatcher) Listed(now loop.Nanos, full, some bool, tell func(mod Module)) {
	d.mod.ListBegin(full)
	tell(d.mod)
	d.mod.ListEnd(d.Time(now))
	d.gate.Known = d.gate.Known || some
}

// ListLost tells the module that the list can't be had.
func (d *Dispatcher) ListLost(now loop.Nanos) { d.mod.ListFailed(d.Time(now)) }

// Tokens relays a piece of a job's answer, of so many bytes on the wire; the first piece begins it. True: the host is
// to be held back until the launch's Credit.
func (d *Dispatcher) Tokens(now loop.Nanos, j *Job, p []byte, size int) bool {
	if j.Answered() { // its client was gone as this came: nobody reads it
		d.ended(now, j, policy.Canceled, true, policy.NoLoad)
		d.settle(j)
		return false
	}
	if j.begun == 0 {
		d.began(now, j)
	}
	j.last = now
	j.tokens++
	d.Counts.Tokens++
	if !j.call.Tokens(j.ID, p) {
		return false
	}
	j.waits += size
	return true
}

// Given is the job as the module was told of it.
func (j *Job) Given() policy.Request { return j.given }

// Begun tells that the answer has begun.
func (j *Job) Begun() bool { return j.begun > 0 }

// Finish tells how the launch that is out has come to its end; why is for a client whose answer had begun.
func (d *Dispatcher) Finish(now loop.Nanos, j *Job, how policy.Outcome, why string, load policy.Load) {
	begun := j.begun > 0
	switch {
	case j.Answered():
	case how == policy.Served:
		d.answer(j, func() { j.call.Honour(j.ID) }, &d.Counts.Honoured)
	case begun:
		d.answer(j, func() { j.call.Abandon(j.ID, "the stream broke"+why) }, &d.Counts.Abandoned)
	}
	d.ended(now, j, how, how == policy.Served || begun, load)
	d.settle(j)
}

// Unusable tells that a host finds the job itself at fault: that is no news of the host, and no other would find
// otherwise.
func (d *Dispatcher) Unusable(now loop.Nanos, j *Job, why string) {
	if !j.Answered() {
		d.answer(j, func() { j.call.Abandon(j.ID, why) }, &d.Counts.Abandoned)
	}
	d.ended(now, j, policy.NotSent, true, policy.NoLoad)
	d.settle(j)
}

// Free lets go of what is held for a job beside the launch that is out and may never come to its host.
func (d *Dispatcher) Free(now loop.Nanos, j *Job) {
	if at, held := j.Held(); held {
		j.LetGo()
		d.exit.LetGo(now, j, at, policy.AttemptNumber(j.Launches()-1))
	}
}

// Moved tells that a launch is from now on held as s; nil: it could not be sent after all.
func (d *Dispatcher) Moved(now loop.Nanos, j *Job, s Sent) {
	if j.sent = s; s == nil {
		d.ended(now, j, policy.NotSent, false, policy.NoLoad)
		d.settle(j)
	}
}

// TimeLeft is how long the launch that is out may still take.
func (j *Job) TimeLeft(now loop.Nanos) int64 { return max(j.Sent+j.Within-now, 1) }
