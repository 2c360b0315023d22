package dispatch

import (
	"docksail/internal/decide/gate"
	"docksail/internal/front"
	"docksail/internal/loop"
	"docksail/policy"
)

// The end of a dispatcher.

// Leave drains: no new clients or jobs; those in hand have so long to end; then done is called, once.
func (d *Dispatcher) Leave(within int64, done func()) {
	if d.leaving {
		return
	}
	d.leaving, d.gate.Leaving = true, true
	d.leaveEnd = func() {
		d.l.Cancel(&d.leaveAt)
		d.leaveEnd = func() {}
		done()
	}
	d.log.Info("draining", "jobs", d.jobs.Len(), "within_ms", within/1e6)
	d.clients.Leave()
	d.l.At(&d.leaveAt, d.l.Now()+within, func(now loop.Nanos) {
		d.log.Warn("drain time is up", "jobs", d.jobs.Len())
		d.jobs.Each(func(_ policy.RequestID, j *Job) {
			if j.Answered() {
				return
			}
			d.cutShort(now, j, "dispatcher leaves")
		})
		d.l.At(&d.leaveAt, now+int64(d.ahead), func(loop.Nanos) { d.leaveEnd() })
	})
}

// cutShort gives a job its final answer whatever the module holds of it, and tells the module that nothing more is owed.
func (d *Dispatcher) cutShort(now loop.Nanos, j *Job, why string) {
	if gate.AtEnd(d.times[j.track].redoable && j.begun == 0, j.ran) == gate.Nacked {
		d.answer(j, func() { j.call.Nack(j.ID, front.Refusal{Why: why}) }, &d.Counts.Nacked)
	} else {
		d.answer(j, func() { j.call.Abandon(j.ID, why) }, &d.Counts.Abandoned)
	}
	d.left(now, j)
}

// LeaveIdle has the entry leave and takes jobs as before; done is called, once, when none is in hand and the entry idle.
func (d *Dispatcher) LeaveIdle(done func()) {
	if d.leaving {
		return
	}
	d.leaving = true
	d.leaveEnd = func() { d.leaveEnd = func() {}; done() }
	d.clients.Leave()
}
