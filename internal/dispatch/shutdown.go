package dispatch

import (
	"docksail/internal/decide/intake"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
)

// The end of a dispatcher.

// Drain drains: no new clients or requests; those in hand have so long to end; then done is called, once.
func (d *Dispatcher) Drain(within int64, done func()) {
	if d.draining {
		return
	}
	d.draining, d.gate.Draining = true, true
	d.onDrained = func() {
		d.loop.CancelTimer(&d.drainTimer)
		d.onDrained = func() {}
		done()
	}
	d.log.Info("draining", "requests", d.requests.Len(), "within_ms", within/1e6)
	d.entry.Drain()
	d.loop.SetTimer(&d.drainTimer, d.loop.Now()+within, func(now eventloop.Nanos) {
		d.log.Warn("drain time is up", "requests", d.requests.Len())
		d.requests.Each(func(_ policy.RequestID, req *Request) {
			if req.Answered() {
				return
			}
			d.abort(now, req, "dispatcher leaves")
		})
		d.loop.SetTimer(&d.drainTimer, now+int64(d.answerAhead), func(eventloop.Nanos) { d.onDrained() })
	})
}

// abort gives a request its final answer whatever the module holds of it, and tells the module that nothing more is owed.
func (d *Dispatcher) abort(now eventloop.Nanos, req *Request, why string) {
	if intake.OutcomeAtDrainDeadline(d.classTimes[req.class].idempotent && req.firstTokenAt == 0, req.mayHaveRun) == intake.Rejected {
		d.answer(req, func() { req.call.Reject(req.ID, frontend.RejectionError{Reason: why}) }, &d.Counts.Rejected)
	} else {
		d.answer(req, func() { req.call.Fail(req.ID, why) }, &d.Counts.Failed)
	}
	d.clientLeft(now, req)
}

// DrainWithoutDeadline has the entry leave and takes requests as before; done is called, once, when none is in hand and the entry idle.
func (d *Dispatcher) DrainWithoutDeadline(done func()) {
	if d.draining {
		return
	}
	d.draining = true
	d.onDrained = func() { d.onDrained = func() {}; done() }
	d.entry.Drain()
}
