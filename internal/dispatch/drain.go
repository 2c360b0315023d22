package dispatch

import (
	"docksail/internal/eventloop"
	"docksail/policy"
)

// Drain stops accepting clients and requests. Requests in flight have timeout nanoseconds to end; the remaining ones
// are then answered without being served. done is called once, when all work is done or shortly after the timeout.
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

// drainTimedOut answers the remaining requests and allows answerLeadTime for the answers to be sent.
func (d *Dispatcher) drainTimedOut(now eventloop.Nanos) {
	d.log.Warn("drain deadline exceeded", "requests", d.requests.Len())
	d.requests.Each(func(_ policy.RequestID, req *Request) {
		if !req.Answered() {
			d.abort(now, req, "dispatcher leaves")
		}
	})
	d.loop.SetTimer(&d.drainTimer, now+d.answerLeadTime, func(eventloop.Nanos) { d.onDrained() })
}

// DrainWithoutDeadline drains the frontend, but accepts the requests that it still submits. done is called once, when
// no request is in flight and frontend and backend are idle.
func (d *Dispatcher) DrainWithoutDeadline(done func()) {
	if d.draining {
		return
	}
	d.draining = true
	d.onDrained = func() { d.onDrained = func() {}; done() }
	d.frontend.Drain()
}
