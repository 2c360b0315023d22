package dispatch

import (
	"docksail/internal/eventloop"
	"docksail/policy"
)

// Drain accepts no new clients and requests. Requests in flight have timeout nanoseconds to end; those that are left
// are answered then. done is called once, when nothing is left or shortly after the timeout.
func (d *Dispatcher) Drain(timeout int64, done func()) {
	if d.draining {
		return
	}
	d.draining, d.intake.Draining = true, true
	d.onDrained = func() {
		d.loop.CancelTimer(&d.drainTimer)
		d.onDrained = func() {}
		done()
	}
	d.log.Info("drain started", "requests", d.requests.Len(), "timeout_ms", timeout/1e6)
	d.frontend.Drain()
	d.loop.SetTimer(&d.drainTimer, d.loop.Now()+timeout, d.drainTimedOut)
}

// drainTimedOut answers the requests that are left and gives the answers time to be sent.
func (d *Dispatcher) drainTimedOut(now eventloop.Nanos) {
	d.log.Warn("drain deadline exceeded", "requests", d.requests.Len())
	d.requests.Each(func(_ policy.RequestID, req *Request) {
		if !req.Answered() {
			d.abort(now, req, "dispatcher leaves")
		}
	})
	d.loop.SetTimer(&d.drainTimer, now+d.answerLeadTime, func(eventloop.Nanos) { d.onDrained() })
}

// DrainWithoutDeadline has the frontend send its clients away but still accepts requests. done is called once, when no
// request is in flight and frontend and backend are idle.
func (d *Dispatcher) DrainWithoutDeadline(done func()) {
	if d.draining {
		return
	}
	d.draining = true
	d.onDrained = func() { d.onDrained = func() {}; done() }
	d.frontend.Drain()
}
