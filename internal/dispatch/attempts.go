package dispatch

import (
	"docksail/internal/decide/pace"
	"docksail/internal/front"
	"docksail/internal/loop"
	"docksail/policy"
	"fmt"
	"math"
	"slices"
)

// What the module decides about jobs, and how its launches go.

func (d *Dispatcher) do(now loop.Nanos, what policy.Decision) {
	switch what.Verb {
	case policy.Wake:
		d.l.At(&d.wake, now+loop.Nanos(what.For), d.onWake)
		return
	case policy.Watch:
		d.exit.Watch(now)
		return
	case policy.Log:
		d.log.Info("module", "says", what.Text)
		return
	}
	j := d.jobs.Find(what.Request)
	if j == nil {
		d.Counts.Guarded++
		d.log.Error("decision about a job that is over", "job", what.Request, "verb", int(what.Verb))
		return
	}
	switch what.Verb {
	case policy.Attempt:
		j.Kept = what.Kept
		j.Before = math.MaxInt64
		if what.Before > 0 {
			j.Before = int64(what.Before) - d.wall
		}
		d.launch(now, j, what.Server, int64(what.For))
	case policy.Cancel:
		if shot, out := j.Out(); out && shot == what.Attempt {
			d.Counts.Recalls++
			d.ended(now, j, policy.Canceled, false, policy.NoLoad)
		}
	case policy.Reject:
		no := front.Refusal{Why: "no engine could take it in time"}
		if d.insideAt(j.ID) >= 0 {
			d.queue.Unplaced()
		}
		no.After = min(int64(what.For), d.advises)
		if what.For > 0 && !d.direct { // that at least; the door books a place
			no = d.refusal(no.Why, false, d.queue.Again(now, j.ask, loop.Nanos(what.For)))
		}
		d.answer(j, func() { j.call.Nack(j.ID, no) }, &d.Counts.Nacked)
	case policy.Fail:
		d.answer(j, func() { j.call.Abandon(j.ID, "its time is up") }, &d.Counts.Abandoned)
	case policy.Release:
		if at, held := j.Held(); held {
			j.LetGo()
			d.exit.LetGo(now, j, at, policy.AttemptNumber(j.Launches()-1))
		}
	default:
		panic(fmt.Sprintf("decision with unknown verb %d", what.Verb))
	}
	d.settle(j)
}

// launch sends a job to a host.
func (d *Dispatcher) launch(now loop.Nanos, j *Job, to policy.ServerID, within int64) {
	shot, err := j.Launch()
	if err != nil {
		d.Counts.Guarded++
		d.log.Error("launch refused", "job", j.ID, "host", to, "err", err)
		return
	}
	d.Counts.Launches++
	if i := d.insideAt(j.ID); i >= 0 {
		d.inside = slices.Delete(d.inside, i, i+1)
		d.queue.Taken(now, j.ask)
	}
	j.Host, j.Sent, j.Within, j.sent = to, now, within, nil
	known := false
	if j.Reads, known = d.exit.Reads(to); known {
		j.ran = j.ran || !j.Reads
		d.l.At(&j.timer, now+within, j.onTimer)
		j.sent = d.exit.Launch(now, j, shot)
	}
	if j.sent == nil {
		d.ended(now, j, policy.NotSent, false, policy.NoLoad)
	}
}

// due is the timer of a job: its launch's time, or, once the answer streams, the time to look at it.
func (j *Job) due(now loop.Nanos) {
	d := j.d
	if j.begun == 0 {
		if _, out := j.Out(); out {
			d.Counts.Late++
			how := policy.Late
			switch j.sent.Stage() {
			case Queued: // others stood before it
				how = policy.NotSent
			case Connecting:
				how = policy.Unreachable
			}
			d.ended(now, j, how, false, policy.NoLoad)
			d.settle(j)
		}
		return
	}
	d.watchStream(now, j)
}

// watchStream has the pace of a running answer judged.
func (d *Dispatcher) watchStream(now loop.Nanos, j *Job) {
	t := &d.times[j.track]
	verdict, again := pace.Judge(now, pace.Stream{Begun: j.begun, Last: j.last, Gap: t.gap, Expected: t.expected,
		Ends: j.ends, Ahead: d.ahead, Hush: d.hush, Unread: j.waits > 0})
	if verdict == pace.GoesOn {
		d.l.At(&j.timer, again, j.onTimer)
		return
	}
	if !j.Answered() {
		d.answer(j, func() { j.call.Abandon(j.ID, verdict.String()) }, &d.Counts.Abandoned)
	}
	how := policy.Late
	if verdict == pace.Unread {
		how = policy.Canceled
	}
	d.ended(now, j, how, true, policy.NoLoad)
	d.settle(j)
}

// began tells of the first token.
func (d *Dispatcher) began(now loop.Nanos, j *Job) {
	shot, _ := j.Out()
	j.begun, j.last = now, now
	d.l.Cancel(&j.overdue)
	if j.let {
		d.queue.First(now, j.ask, now-j.arrived)
	}
	j.LetGo()
	d.mod.StreamBegan(d.Time(now), j.ID, shot, policy.Nanos(now-j.Sent))
	d.watchStream(now, j)
}

// ended tells how the launch that is out has ended; where the engine has not ended it, its stream is reset
// first, so that it is no longer out. The job may be over by this.
func (d *Dispatcher) ended(now loop.Nanos, j *Job, how policy.Outcome, over bool, load policy.Load) {
	shot, out := j.Out()
	if !out {
		return
	}
	d.l.Cancel(&j.timer)
	sent := j.sent
	lost := !j.Reads && j.begun == 0 && (sent == nil || !sent.Reached())
	cut := sent != nil && sent.End(now)
	// A read that was cut off may have ended all the same: what it left is let go.
	cut = j.Reads && (cut || how == policy.Broken || how == policy.Late || how == policy.StaleConnection)
	j.sent, j.waits = nil, 0
	j.End(shot)
	if d.traces {
		d.log.Debug("launch over", "job", string(j.Named), "shot", shot, "host", j.Host, "read", j.Reads, "how", how, "sent", d.Time(j.Sent), "took", now-j.Sent,
			"begun", j.begun > 0, "answered", j.Answered())
	}
	switch how {
	case policy.Read:
		j.Hold(j.Host)
		j.ReadAt = now
	case policy.Broken:
		d.Counts.Broken++
	}
	if cut {
		d.exit.LetGo(now, j, j.Host, shot)
	}
	d.mod.AttemptEnded(d.Time(now), j.ID, shot, how, policy.Nanos(now-j.Sent), over || j.Answered(), load)
	if lost {
		since := policy.Never
		if _, held := j.Held(); held {
			since = d.Time(j.ReadAt)
		}
		d.mod.HeldSince(d.Time(now), j.ID, since)
	}
	if sent != nil {
		sent.Over(now)
	}
}
