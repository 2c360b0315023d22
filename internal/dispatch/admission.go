package dispatch

import (
	"docksail/internal/decide/door"
	"docksail/internal/front"
	"docksail/internal/loop"
	"docksail/policy"
	"slices"
)

// Jobs that wait at the door, until the module takes them or they are refused.

// unlaunched is a job that the module has and has not launched.
type unlaunched struct {
	id policy.RequestID
	at loop.Nanos // let in
}

func (d *Dispatcher) insideAt(id policy.RequestID) int {
	return slices.IndexFunc(d.inside, func(u unlaunched) bool { return u.id == id })
}

// open tells whether the door lets in another.
func (d *Dispatcher) open(now loop.Nanos) bool {
	d.ages = d.ages[:0]
	for _, u := range d.inside {
		d.ages = append(d.ages, now-u.at)
	}
	return d.queue.Open(d.ages)
}

// letIn hands a job that waited at the door to the module.
func (d *Dispatcher) letIn(now loop.Nanos, id policy.RequestID) {
	d.queue.Let(now, door.JobID(id))
	j := d.jobs.Find(id)
	j.atDoor, j.let = false, true
	d.inside = append(d.inside, unlaunched{id: id, at: now})
	d.mod.RequestArrived(d.Time(now), j.given)
}

// turnAway refuses a job that waits at the door.
func (d *Dispatcher) turnAway(now loop.Nanos, id policy.RequestID, why door.Cause) {
	d.turnedAway(id, why, d.queue.Refuse(now, door.JobID(id), why))
}

// turnedAway answers a job that the door has given up.
func (d *Dispatcher) turnedAway(id policy.RequestID, why door.Cause, a door.Advice) {
	j := d.jobs.Find(id)
	j.atDoor = false
	d.answer(j, func() { j.call.Nack(j.ID, d.refusal(why.String(), why.Own(), a)) }, &d.Counts.Nacked)
	d.settle(j)
}

func (d *Dispatcher) refusal(why string, own bool, a door.Advice) front.Refusal {
	no := front.Refusal{Why: why, Own: own, After: min(a.After, d.advises)}
	if a.Ticket != nil && no.After == a.After {
		no.Ticket = d.signer.Encode(a.Ticket)
	}
	return no
}
