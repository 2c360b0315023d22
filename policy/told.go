package policy

import (
	"fmt"
	"math"
)

// What the server tells is taken down here, as far as no judgement goes into it; the rest is in policy.go.

// New starts a dispatcher that knows nothing but its settings. seed feeds all chance.
func New(seed uint64, place Place, tracks []Class, tenants []Tenant, roles []Role, cold ColdStart,
	launching AttemptLimits, answering Answering, listing Listing, release Nanos) (*Dispatcher, error) {
	switch {
	case len(tracks) == 0:
		return nil, fmt.Errorf("no tracks")
	case len(roles) == 0:
		return nil, fmt.Errorf("no kinds of host")
	case launching.Most < 1:
		return nil, fmt.Errorf("launches for a job: %d, want 1 or more", launching.Most)
	case release <= 0:
		return nil, fmt.Errorf("time for letting go: %d, want more than 0", release)
	case place.Count < 1:
		return nil, fmt.Errorf("number of dispatchers: %d, want 1 or more", place.Count)
	}
	shortest, pace := release, Never
	for i, t := range tracks {
		if t.Target <= 0 || t.Patience <= 0 {
			return nil, fmt.Errorf("track %d: expected time %d and patience %d: want both above 0",
				i, t.Target, t.Patience)
		}
		shortest, pace = min(shortest, t.Target), min(pace, t.Target)
	}
	d := &Dispatcher{
		intake: intake{classes: tracks, pace: pace, tenants: tenants, answering: answering, jobs: newSlab(),
			shares: make([]bucket, len(tenants))},
		pool:     pool{place: place, roles: roles, byID: make(map[ServerID]int32), holds: newBeginnings()},
		guards:   guards{cold: cold, launching: launching, release: release},
		pressure: pressure{requestLimit: math.MaxInt32},
		clockwork: clockwork{listing: listing, watching: !listing.Asked, wakeAt: Never, lookAt: Never,
			step: max(shortest/lookParts, answering.Round, 1)},
		rng: chance{seed},
	}
	d.rng.below(1)
	return d, nil
}

// ListBegin opens news of the list; full lists name every server that there is.
func (d *Dispatcher) ListBegin(full bool) {
	d.news++
	if full {
		for i := range d.hosts {
			if h := &d.hosts[i]; h.health != Gone {
				h.health, h.goneIn = Gone, d.news
			}
		}
	}
}

// ServerListed is one entry of the news.
func (d *Dispatcher) ServerListed(id ServerID, zone ZoneID, kind KindID, cell CellID, health Health,
	launched Nanos) {
	i, ok := d.byID[id]
	if !ok {
		if health == Gone {
			return
		}
		i = d.vacant()
		d.byID[id] = i
		d.hosts[i] = server{id: id, load: NoLoad, by: make([]trackAt, len(d.classes))}
	}
	h := &d.hosts[i]
	if health == Gone && h.health != Gone {
		h.goneIn = d.news
	}
	if launched > h.launched && ok { // a new process has kept nothing, and no old verdict on it holds
		d.holds.forget(i)
		h.restarted()
	}
	h.zone, h.cell, h.health, h.launched = zone, cell, health, max(launched, h.launched)
	h.at = noHost
	h.at = d.cellOf(zone, cell)
	if int(kind) < len(d.roles) {
		h.role = d.roles[kind]
	}
}

// ListEnd closes the news.
func (d *Dispatcher) ListEnd(now Nanos) { d.review(now) }

// RequestArrived hands over a request; from now on it is owed one final answer.
func (d *Dispatcher) RequestArrived(now Nanos, given Request) {
	slot := d.jobs.add(given)
	j, t := &d.jobs.jobs[slot], &d.classes[given.Class]
	j.born = now
	j.expected = t.Target + t.TargetPer1k*Nanos(j.Prompt)/1000
	if given.Tenant >= 0 {
		j.beyond = d.shares[given.Tenant].take(now, d.tenants[given.Tenant].PerSecond/float64(d.place.Count))
	}
	if j.Prefix != 0 {
		d.holds.count(uint64(j.Prefix))
	}
	d.jobs.enqueue(slot)
}

// StreamBegan tells that an attempt's answer has begun: from now on it has no deadline.
func (d *Dispatcher) StreamBegan(now Nanos, id RequestID, shot AttemptNumber, elapsed Nanos) {
	_, j := d.jobs.find(id)
	if j == nil || !j.out || j.phase == streaming || shot != AttemptNumber(j.launches-1) {
		return
	}
	d.answered(now, j, elapsed, true, false)
	j.phase, j.held, j.due = streaming, false, Never
}

// AttemptEnded tells how an attempt ended; over, that the request is finally answered.
func (d *Dispatcher) AttemptEnded(now Nanos, id RequestID, shot AttemptNumber, how Outcome,
	elapsed Nanos, over bool, load Load) {
	slot, j := d.jobs.find(id)
	if j == nil || !j.out || shot != AttemptNumber(j.launches-1) {
		return
	}
	h := &d.hosts[j.at]
	if load != NoLoad {
		h.load, h.loadAt = load, now
	}
	d.recordOutcome(now, h, j, how)
	if j.phase != streaming {
		d.answered(now, j, elapsed, how == Read || how == Served, how == Late || j.withdrew)
	}
	if j.phase != toRead || j.unsplit {
		h.streams--
	}
	if (how == Failed || how == Late || how == Broken || how == Canceled || how == StaleConnection) && h.role != Prefill && !j.mayRun {
		j.mayRun, j.ranAt, j.ranSince = true, j.at, j.sent
	}
	if how != Read && how != Stateless && how != StaleConnection && (how != Broken || d.failsMoreThanPeers(h)) {
		j.shun(j.at)
	}
	switch {
	case how == Read:
		j.phase, j.reader, j.held, j.heldFrom = toWrite, j.at, true, now
	case how == Stateless: // the state may be cut off rather than gone: it is released before the next read
		j.phase, j.heldFrom = toRead, now
		j.shun(j.reader)
	case j.phase == streaming:
		over = true
	case !j.held:
		j.phase = toRead
	case how != NotSent && how != StaleConnection:
		j.heldFrom = now
	}
	j.out, j.over, j.at, j.unsplit = false, j.over || over, noHost, false
	d.jobs.enqueue(slot)
}

// ClientLeft tells that nothing more is owed for a request.
func (d *Dispatcher) ClientLeft(now Nanos, id RequestID) {
	if slot, j := d.jobs.find(id); j != nil {
		j.over = true
		d.jobs.enqueue(slot)
	}
}

// Woken tells that a Wake has come due.
func (d *Dispatcher) Woken(now Nanos) {
	d.wakeAt = Never
	if now >= d.lookAt {
		d.review(now)
	}
}

// answered books the first answer of the attempt that is out: a read that ended, a stream begun, or a
// failure.
func (d *Dispatcher) answered(now Nanos, j *job, elapsed Nanos, good, slow bool) {
	h := &d.hosts[j.at]
	h.gave(now, j.Class)
	d.waits[h.role].out--
	h.queued = max(h.queued-j.tokens, 0)
	j.tokens = 0
	if h.out == 0 {
		h.longest = 0
	}
	x := float64(elapsed) / float64(j.expected)
	if j.phase == toWrite {
		from, far := &d.hosts[j.reader], 0
		if from.cell != h.cell {
			far = 1
			d.cells[from.at].link.out--
		}
		if good || slow { // a pull that did not end took at least so long
			d.pulls[far].add(now, x)
			if far == 1 {
				c := &d.cells[from.at]
				d.adjustWindow(&c.link, x, c.has[Prefill]*d.serving[Prefill])
			}
		}
	}
	if !good {
		if slow {
			d.recent[h.role].add(now, x)
		}
		return
	}
	h.last = x
	if !d.inSlowStart(now, h) {
		d.answers[h.role]++
	}
	d.recordFirstAnswer(now, j, h, x)
}

// Belief is what the module holds of a server, for whoever compares it with what is so.
type Belief struct {
	Unread  int64 // own prompt tokens sent there and not yet read
	Waiting int32 // own attempts there that have not answered
	Writing int32 // own requests there as a decode server, begun or not
	Aside   bool  // kept from new requests, or on trial
}

// Believes tells what is held of a server; false if it is not known.
func (d *Dispatcher) Believes(now Nanos, id ServerID) (Belief, bool) {
	i, ok := d.byID[id]
	if !ok {
		return Belief{}, false
	}
	h := &d.hosts[i]
	return Belief{Unread: h.queued, Waiting: h.out, Writing: h.streams, Aside: now < h.aside || h.trial}, true
}
