package policy

// Every decision of docksail is in this file; its interface is in types.go, what is remembered in state.go.
//
// To call it: New once for each dispatcher, then, as things happen, the methods that tell it (ListBegin ..
// ListEnd, JobArrived, StreamBegan, LaunchEnded, ClientLeft, Woken). They only update what is known. After them
// call Next until it has no further decision. All times are the host's; the module reads no clock of its own.

import "fmt"

// Ratios that the parts below share, each with its reason.
const (
	gateFactor  = 2    // affinity yields when its holder has this multiple of the shortest queue (design page)
	keepMarks   = 30   // seconds that a beginning is believed held after its last use (design page)
	shortPrompt = 2000 // unshared prompt tokens under which a mixed host reads by itself (design page)
	nearStreams = 1    // writers within so many streams of the fewest are chosen by nearness (design page)

	highQuantile = 0.9 // answer times are judged by this quantile: one slow job in ten is no verdict
	quantileStep = 0.3 // a host that turns 5 times slower shows within seven answers
	slowAgainst  = 3.0 // times its fellows' median quantile: load makes 2, sickness 4 and more
	stallAgainst = 4.0 // silence of so many high answer times of its role is no chance
	failKeep     = 0.8 // weight of the past in a host's share of failures
	failLimit    = 0.3 // two failures in a row from clean, or one launch in three
	coldMargin   = 0.5 // of what topples a cold host: the rest is for the dispatchers that can't be seen
	holdMargin   = 0.6 // of the time for letting go that a held state may wait
)

// Dispatcher decides for one dispatcher. It shares nothing with others.
type Dispatcher struct {
	place     Place
	tracks    []Track
	tenants   []Tenant
	roles     []Role
	cold      ColdStart
	launching Launching
	answering Answering
	listing   Listing
	release   Nanos

	rng      chance
	jobs     slab
	hosts    []host
	byID     map[HostID]int32
	holds    beginnings
	answers  [roleCount]gauge   // answer time over expected time, all hosts of a role
	fellows  [roleCount]float64 // median over hosts of their high quantile
	step     Nanos              // time between two looks at everything in hand
	wakeAt   Nanos              // the earliest Wake asked for; Never = none
	lookAt   Nanos              // next look at everything in hand
	watching bool
	watchAt  Nanos
	fullList bool
	scratch  []float64
}

// New starts a dispatcher that knows nothing but its settings. seed feeds all chance.
func New(seed uint64, place Place, tracks []Track, tenants []Tenant, roles []Role, cold ColdStart,
	launching Launching, answering Answering, listing Listing, release Nanos) (*Dispatcher, error) {
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
	shortest := release
	for i, t := range tracks {
		if t.Expected <= 0 || t.Patience <= 0 {
			return nil, fmt.Errorf("track %d: expected time %d and patience %d must be above 0", i, t.Expected, t.Patience)
		}
		shortest = min(shortest, t.Expected)
	}
	d := &Dispatcher{place: place, tracks: tracks, tenants: tenants, roles: roles, cold: cold, launching: launching,
		answering: answering, listing: listing, release: release, rng: chance{seed}, jobs: newSlab(),
		byID: make(map[HostID]int32), holds: newBeginnings(), wakeAt: Never, lookAt: Never}
	d.rng.below(1)
	d.step = max(shortest/16, answering.Round, 1) // fine against every time that a decision waits for
	d.watching = !listing.Asked
	return d, nil
}

// ---- What is told. These only update what is known.

// ListBegin opens news of the list; full lists name every host that there is.
func (d *Dispatcher) ListBegin(full bool) {
	d.fullList = full
	if full {
		for i := range d.hosts {
			d.hosts[i].health = Gone
		}
	}
}

// HostListed is one entry of the news.
func (d *Dispatcher) HostListed(now Nanos, id HostID, zone ZoneID, kind KindID, cell CellID, health Health, launched Nanos) {
	i, ok := d.byID[id]
	if !ok {
		i = int32(len(d.hosts))
		d.byID[id] = i
		d.hosts = append(d.hosts, host{id: id, load: NoLoad})
	}
	h := &d.hosts[i]
	if launched > h.launched && ok {
		d.holds.forget(i) // a new process has kept nothing, and no old verdict on it holds
		h.queued, h.doubt, h.aside, h.spell, h.answers, h.load = 0, 0, 0, 0, gauge{}, NoLoad
	}
	h.zone, h.cell, h.health, h.launched = zone, cell, health, max(launched, h.launched)
	if int(kind) < len(d.roles) {
		h.role = d.roles[kind]
	}
}

// ListEnd closes the news; ListFailed tells that it could not be had.
func (d *Dispatcher) ListEnd(now Nanos) { d.look(now) }

func (d *Dispatcher) ListFailed(now Nanos) {
	d.watching, d.watchAt = false, now+d.listing.Within/8 // early enough for several more tries
	d.look(now)
}

// JobArrived hands over a job; from now on it is owed one final answer.
func (d *Dispatcher) JobArrived(now Nanos, given Job) {
	slot := d.jobs.add(given)
	j := &d.jobs.jobs[slot]
	t := &d.tracks[j.Track]
	j.born = now
	j.expected = t.Expected + t.ExpectedPer1k*Nanos(j.Prompt)/1000
	d.jobs.enqueue(slot)
}

// StreamBegan tells that a launch's answer has begun: from now on it has no deadline.
func (d *Dispatcher) StreamBegan(now Nanos, id JobID, elapsed Nanos) {
	_, j := d.jobs.find(id)
	if j == nil || !j.out || j.phase == streaming {
		return
	}
	d.answered(now, j, elapsed, true)
	j.phase, j.held, j.due = streaming, false, Never
}

// LaunchEnded tells how a launch ended; over, that the job is finally answered.
func (d *Dispatcher) LaunchEnded(now Nanos, id JobID, shot Shot, how Outcome, elapsed Nanos, over bool, load Load) {
	slot, j := d.jobs.find(id)
	if j == nil || !j.out || shot != Shot(j.launches-1) {
		return
	}
	h := &d.hosts[j.at]
	if load != NoLoad {
		h.load, h.loadAt = load, now
	}
	if j.phase != streaming {
		d.answered(now, j, elapsed, how == Read || how == Honoured)
	}
	d.judge(now, h, j, how)
	if j.phase == toWrite || j.phase == streaming || j.unsplit {
		h.streams--
	}
	if (how == Failed || how == Late || how == Broken || how == Recalled) && (h.role != Reader) && !j.mayRun {
		j.mayRun, j.ranAt, j.ranSince = true, j.at, j.sent
	}
	j.out, j.over, j.due = false, j.over || over, now
	switch {
	case how == Read:
		j.phase, j.reader, j.held, j.heldFrom = toWrite, j.at, true, now
	case how == Stateless:
		j.phase, j.heldFrom = toRead, now // the state may be cut off rather than gone: it is let go before the next read
		j.shun(j.reader)
	case j.phase == streaming:
		j.over = true
	case j.held && how != NotSent:
		j.heldFrom = now
	case j.held:
	default:
		j.phase = toRead
	}
	if how != Read && how != Stateless {
		j.shun(j.at)
	}
	j.at, j.unsplit = noHost, false
	d.jobs.enqueue(slot)
}

// ClientLeft tells that nothing more is owed for a job.
func (d *Dispatcher) ClientLeft(now Nanos, id JobID) {
	if slot, j := d.jobs.find(id); j != nil {
		j.over, j.due = true, now
		d.jobs.enqueue(slot)
	}
}

// Woken tells that a Wake has come due.
func (d *Dispatcher) Woken(now Nanos) {
	if now < d.lookAt {
		d.wakeAt = Never
		return
	}
	d.wakeAt = Never
	d.look(now)
}

// look goes over all that is in hand: jobs that fell due, marks that ran out, hosts against their fellows.
func (d *Dispatcher) look(now Nanos) {
	d.lookAt = Never
	for i := range d.jobs.jobs {
		if j := &d.jobs.jobs[i]; j.used && j.due < Never {
			if j.due <= now {
				d.jobs.enqueue(int32(i))
			} else {
				d.lookAt = min(d.lookAt, j.due, now+d.step)
			}
		}
	}
	for role := range d.fellows {
		d.scratch = d.scratch[:0]
		for i := range d.hosts {
			if h := &d.hosts[i]; h.role == Role(role) && h.health == Serving && h.answers.n > 0 {
				d.scratch = append(d.scratch, h.answers.q)
			}
		}
		d.fellows[role] = median(d.scratch)
	}
	d.holds.sweep(now)
}

func median(xs []float64) float64 {
	for i := range xs {
		for k := i; k > 0 && xs[k] < xs[k-1]; k-- {
			xs[k], xs[k-1] = xs[k-1], xs[k]
		}
	}
	if len(xs) == 0 {
		return 0
	}
	return xs[len(xs)/2]
}

// answered books the first answer of the launch that is out: a read that ended, a stream begun, or a failure.
func (d *Dispatcher) answered(now Nanos, j *job, elapsed Nanos, good bool) {
	h := &d.hosts[j.at]
	h.out--
	h.queued = max(h.queued-j.tokens, 0)
	j.tokens = 0
	h.moved = now
	if h.out == 0 {
		h.longest = 0
	}
	if good {
		h.carried.add(now, d.cold.Window)
		x := float64(elapsed) / float64(j.expected)
		h.answers.see(x, highQuantile, quantileStep)
		d.answers[h.role].see(x, highQuantile, quantileStep/4) // a pool's figure moves slower than a host's
		if h.aside > 0 && x < h.answers.q {
			h.answers.q = (h.answers.q + x) / 2 // a host on trial is few-worded: each good answer counts double
		}
	}
}

// judge keeps a host's share of failures, and sets it aside when the share is high. It guards against hosts that
// fail fast, hang, or are gone before the list says so; a spell that relapses doubles, up to the warm-up time.
func (d *Dispatcher) judge(now Nanos, h *host, j *job, how Outcome) {
	bad := 0.0
	switch how {
	case Failed, Broken:
		bad = 1
	case Late:
		if now < j.Deadline || j.sent+j.expected < now {
			bad = 1
		}
	case Unreachable:
		bad, h.doubt, h.downed = 1, 1, true
	case Turned:
		h.fullTill = now + j.expected/16
		return
	case Recalled, NotSent, Stateless:
		return
	default:
		if h.downed { // it is back, and nobody has said since when: treat it as just started
			h.downed, h.launched = false, now
		}
	}
	h.doubt = h.doubt*failKeep + bad*(1-failKeep)
	if bad > 0 && h.doubt > failLimit && now >= h.aside {
		h.spell = min(max(2*h.spell, d.tracks[j.Track].Expected/2), max(d.cold.Warm, d.tracks[j.Track].Expected))
		h.aside = now + h.spell
	}
	if bad == 0 && h.doubt < failLimit/4 {
		h.spell = 0
	}
}

// ---- What is decided.

// Next gives the next decision, until there is none.
func (d *Dispatcher) Next(now Nanos) (Decision, bool) {
	for {
		slot, ok := d.jobs.peek()
		if !ok {
			break
		}
		if what, ok := d.decide(now, slot); ok {
			return what, true
		}
		d.jobs.dequeue()
		if j := &d.jobs.jobs[slot]; j.used && j.over && !j.out {
			d.jobs.drop(slot)
		}
	}
	if !d.watching && now >= d.watchAt {
		d.watching = true
		return Decision{Verb: Watch}, true
	}
	next := d.lookAt
	if !d.watching {
		next = min(next, d.watchAt)
		d.lookAt = next
	}
	if next < d.wakeAt {
		d.wakeAt = max(next, now+1)
		return Decision{Verb: Wake, For: d.wakeAt - now}, true
	}
	return Decision{}, false
}

func (d *Dispatcher) decide(now Nanos, slot int32) (Decision, bool) {
	j := &d.jobs.jobs[slot]
	switch {
	case j.over:
		j.due = Never
		if j.out && j.phase != streaming && d.launching.Recall && !j.withdrew {
			j.withdrew = true
			return Decision{Verb: Recall, Job: j.ID, Shot: Shot(j.launches - 1)}, true
		}
		if !j.out && j.held { // keeps rule five: whatever ended the job, nothing stays pinned for it
			j.held = false
			return Decision{Verb: LetGo, Job: j.ID}, true
		}
		return Decision{}, false
	case j.phase == streaming:
		return Decision{}, false
	case j.out:
		if now >= j.Deadline+d.answering.Slack/2 { // an outcome that never comes must not cost the final answer
			return d.giveUp(now, j)
		}
		d.lookAgain(now, j, j.Deadline+d.answering.Slack/2)
		return Decision{}, false
	case now+d.answering.Round >= j.Deadline, j.launches >= d.launching.Most, !d.mayLaunch(now, j):
		return d.giveUp(now, j)
	}
	to := noHost
	if j.phase == toRead && j.held {
		j.held = false
		return Decision{Verb: LetGo, Job: j.ID}, true
	}
	if j.phase == toRead {
		to = d.pickFirst(now, j)
	} else {
		to = d.pickWriter(now, j)
	}
	if to == noHost {
		if d.hopeless(now, j) {
			return d.giveUp(now, j)
		}
		d.lookAgain(now, j, min(now+d.step, j.Deadline-d.answering.Round))
		return Decision{}, false
	}
	return d.launch(now, j, to), true
}

func (d *Dispatcher) lookAgain(now Nanos, j *job, at Nanos) {
	j.due = max(at, now+1)
	d.lookAt = min(d.lookAt, j.due)
}

// mayLaunch keeps rule two: what may have run is launched again only where the repeat does no harm.
func (d *Dispatcher) mayLaunch(now Nanos, j *job) bool {
	t := &d.tracks[j.Track]
	return !j.mayRun || t.Effect == Redoable || t.Effect == Labelled && now < j.ranSince+t.Window
}

// inGroup tells whether a host drops repeats of a labelled job that may have run.
func (d *Dispatcher) inGroup(j *job, h *host) bool {
	t := &d.tracks[j.Track]
	if !j.mayRun || t.Effect != Labelled || t.Group == GroupAll {
		return true
	}
	ran := &d.hosts[j.ranAt]
	return t.Group == GroupZone && h.zone == ran.zone || t.Group == GroupCell && h.cell == ran.cell
}

// hopeless tells whether a job that finds no place should stop waiting for one.
func (d *Dispatcher) hopeless(now Nanos, j *job) bool {
	if j.held && now >= j.heldFrom+Nanos(holdMargin*float64(d.release)) {
		return true
	}
	return now >= j.born+j.expected/2 // half is needed for the work itself
}

// giveUp ends a job: first whatever is held goes, then the client is told; a nack wherever it tells the truth.
func (d *Dispatcher) giveUp(now Nanos, j *job) (Decision, bool) {
	if j.held && !j.out {
		j.held = false
		return Decision{Verb: LetGo, Job: j.ID}, true
	}
	t := &d.tracks[j.Track]
	j.over = true
	unsafe := j.mayRun || j.out && d.hosts[j.at].role != Reader
	if unsafe && t.Effect != Redoable && (t.Effect == Irreversible || t.Group != GroupAll) {
		return Decision{Verb: Abandon, Job: j.ID}, true
	}
	if j.out || now >= j.Deadline {
		return Decision{Verb: Abandon, Job: j.ID}, true
	}
	advice := Nanos(0)
	if d.answering.Advice {
		advice = min(t.Expected/2, d.answering.MaxAdvice)
	}
	return Decision{Verb: Nack, Job: j.ID, For: advice}, true
}

func (d *Dispatcher) launch(now Nanos, j *job, to int32) Decision {
	h := &d.hosts[to]
	if h.out == 0 {
		h.moved = now
	}
	h.out++
	h.longest = max(h.longest, j.expected)
	h.sent.add(now, d.cold.Window)
	if h.role != Reader {
		h.streams++
	}
	j.unsplit = j.phase == toRead && h.role != Reader
	if j.phase == toRead {
		j.tokens = j.Prompt - d.expectHeld(now, j, to)
		h.queued += j.tokens
		until := now + keepMarks*1e9
		if j.Prefix != 0 && j.Shared > 0 {
			d.holds.mark(uint64(j.Prefix), to, j.Shared, until)
		}
		if j.Session != 0 {
			d.holds.mark(^uint64(j.Session), to, j.Prompt, until)
		}
	}
	j.out, j.withdrew, j.at, j.sent = true, false, to, now
	j.launches++
	return Decision{Verb: Launch, Job: j.ID, Host: h.id, For: d.timeOut(now, j, h.role)}
}

// timeOut leaves time for another launch: several high answer times of the role, no more than half of what is left.
func (d *Dispatcher) timeOut(now Nanos, j *job, role Role) Nanos {
	left := j.Deadline - now
	usual := Nanos(stallAgainst * d.answers[role].q * float64(j.expected))
	return max(min(max(usual, j.expected/2), left/2), min(left, j.expected/2))
}

// expectHeld is how much of a job's prompt a host is expected to have kept.
func (d *Dispatcher) expectHeld(now Nanos, j *job, h int32) int64 {
	kept := int64(0)
	if j.Prefix != 0 {
		kept = min(d.holds.held(now, uint64(j.Prefix), h), j.Shared)
	}
	if j.Session != 0 {
		kept = max(kept, d.holds.held(now, ^uint64(j.Session), h))
	}
	return min(kept, j.Prompt)
}

// fit tells whether a host may and should be sent anything now.
func (d *Dispatcher) fit(now Nanos, j *job, i int32, pass int) bool {
	h := &d.hosts[i]
	if h.health != Serving || !d.inGroup(j, h) || !d.coldRoom(now, h) {
		return false // rules two, three and four: no pass lifts these
	}
	if pass == 0 && j.shuns(i) || now < h.fullTill {
		return false
	}
	if h.aside > 0 && now < h.aside {
		return false
	}
	if pass < 2 {
		if h.doubt > failLimit && h.out > 0 { // on trial: one launch at a time
			return false
		}
		if d.slow(h) && h.out > 0 || d.stalled(now, h) {
			return false
		}
	}
	return true
}

// slow judges a host by the high quantile of its answer times against its fellows'. It guards against hosts that
// run slowly however that came; it may do harm where fellows differ by design, which slowAgainst allows for.
func (d *Dispatcher) slow(h *host) bool {
	mid := d.fellows[h.role]
	return mid > 0 && h.answers.q > slowAgainst*mid
}

// stalled tells that a host has launches out and has not answered one for far longer than its role takes: hung,
// cut off, or gone with the list still silent. Its first answer lifts it.
func (d *Dispatcher) stalled(now Nanos, h *host) bool {
	if h.out == 0 {
		return false
	}
	usual := max(d.answers[h.role].q, 1.0/16)
	return now-h.moved > Nanos(stallAgainst*usual*float64(h.longest))
}

// coldRoom keeps rule four alone: a host that has just started gets a share of what its warm fellows carry from
// here, so that all dispatchers together stay under what topples it, and at least one launch in a window.
func (d *Dispatcher) coldRoom(now Nanos, h *host) bool {
	if d.cold.Window <= 0 || h.launched <= 0 || now >= h.launched+d.cold.Warm {
		return true
	}
	total, warm := int32(0), int32(0)
	for i := range d.hosts {
		o := &d.hosts[i]
		if o.role == h.role && o.health == Serving && (o.launched <= 0 || now >= o.launched+d.cold.Warm) {
			total += o.carried.sum(now, d.cold.Window)
			warm++
		}
	}
	room := 1.0
	if warm > 0 {
		room = max(room, coldMargin*d.cold.Multiple*d.cold.From*float64(total)/float64(warm))
	}
	return float64(h.sent.sum(now, d.cold.Window))+1 <= room
}

// pickFirst places a job whose prompt is not read: unsplit at a mixed host if it is short, else at a reader.
func (d *Dispatcher) pickFirst(now Nanos, j *job) int32 {
	for pass := 0; pass < 3; pass++ {
		if to := d.pickMixed(now, j, pass); to != noHost {
			return to
		}
		if to := d.pickReader(now, j, pass); to != noHost {
			return to
		}
	}
	return noHost
}

// pickMixed is the design's rule for short prompts: the mixed host with fewest own streams.
func (d *Dispatcher) pickMixed(now Nanos, j *job, pass int) int32 {
	best, ties := noHost, int32(0)
	for i := range d.hosts {
		h, i := &d.hosts[i], int32(i)
		if h.role != Mixed || j.Prompt-d.expectHeld(now, j, i) >= shortPrompt || !d.fit(now, j, i, pass) {
			continue
		}
		if best == noHost || h.streams < d.hosts[best].streams {
			best, ties = i, 1
		} else if h.streams == d.hosts[best].streams {
			if ties++; d.rng.below(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// backlog is the design's load signal of a reader: own unread prompts, plus what the host reported of late.
func (d *Dispatcher) backlog(now Nanos, h *host) int64 {
	if h.load.Unread > 0 && now-h.loadAt < d.tracks[0].Expected {
		return h.queued + int64(h.load.Unread)
	}
	return h.queued
}

// pickReader: among readers that hold the job's beginning and are not overloaded, the fewest queued prompt tokens.
func (d *Dispatcher) pickReader(now Nanos, j *job, pass int) int32 {
	lowest := int64(-1)
	for i := range d.hosts {
		h := &d.hosts[i]
		if h.role == Reader && d.fit(now, j, int32(i), pass) {
			if b := d.backlog(now, h); lowest < 0 || b < lowest {
				lowest = b
			}
		}
	}
	if lowest < 0 {
		return noHost
	}
	gate := gateFactor*lowest + j.Prompt
	best, ties := noHost, int32(0)
	var bestHolds, bestNear bool
	var bestLog int64
	for i := range d.hosts {
		h := &d.hosts[i]
		if h.role != Reader || !d.fit(now, j, int32(i), pass) {
			continue
		}
		log := d.backlog(now, h)
		holds := log < gate && d.expectHeld(now, j, int32(i)) > 0
		near := h.zone == d.place.Zone
		better := holds && !bestHolds
		if holds == bestHolds {
			better = log < bestLog || log == bestLog && near && !bestNear
		}
		if best == noHost || better {
			best, ties, bestHolds, bestNear, bestLog = int32(i), 1, holds, near, log
		} else if holds == bestHolds && log == bestLog && near == bestNear {
			if ties++; d.rng.below(ties) == 0 {
				best = int32(i)
			}
		}
	}
	return best
}

// pickWriter: the fewest own streams; within one of the fewest the reader's cell, then its zone.
func (d *Dispatcher) pickWriter(now Nanos, j *job) int32 {
	for pass := 0; pass < 3; pass++ {
		fewest := int32(-1)
		for i := range d.hosts {
			h := &d.hosts[i]
			if h.role != Reader && d.fit(now, j, int32(i), pass) && (fewest < 0 || h.streams < fewest) {
				fewest = h.streams
			}
		}
		if fewest < 0 {
			continue
		}
		from := &d.hosts[j.reader]
		best, ties := noHost, int32(0)
		for i := range d.hosts {
			h := &d.hosts[i]
			if h.role == Reader || h.streams > fewest+nearStreams || !d.fit(now, j, int32(i), pass) {
				continue
			}
			if best == noHost {
				best, ties = int32(i), 1
				continue
			}
			o := &d.hosts[best]
			order := nearness(from, o) - nearness(from, h)
			if order == 0 {
				order = int(h.streams - o.streams)
			}
			if order == 0 && h.load.Memory != o.load.Memory {
				order = 1
				if h.load.Memory < o.load.Memory {
					order = -1
				}
			}
			if order < 0 {
				best, ties = int32(i), 1
			} else if order == 0 {
				if ties++; d.rng.below(ties) == 0 {
					best = int32(i)
				}
			}
		}
		return best
	}
	return noHost
}

func nearness(from, to *host) int {
	switch {
	case from.cell == to.cell:
		return 2
	case from.zone == to.zone:
		return 1
	}
	return 0
}
