package policy

// Every decision of docksail is in this file; its interface is types.go, and told.go takes down what needs
// no judgement. To call it: New once for each dispatcher, then, as things happen, the methods that tell it
// (ListBegin, ServerListed, ListEnd, ListFailed, RequestArrived, StreamBegan, AttemptEnded, ClientLeft,
// Woken). They only update what is known. After them call Next until it has no further decision. The
// module reads no clock of its own.

import (
	"fmt"
	"math"
	"slices"
)

const (
	gateFactor  = 2        // affinity yields at this multiple of shortest queue and prompt (design page)
	keepMarks   = 30 * 1e9 // a prefix is believed held so long after its last use (design page)
	shortPrompt = 2000     // unshared prompt tokens under which a mixed server reads by itself (design page)
	nearStreams = 1        // within so many streams of the fewest, locality chooses (design page)
	tellStreams = 4        // own streams at each decode server from which on one more is no chance

	highQuantile = 0.9      // answer times are judged by this quantile: one slow request in ten is no verdict
	slowAgainst  = 3.0      // times its peers' median: uneven load makes 2, sickness 4 and more
	slowHarms    = 1.0 / 3  // of the target: answers faster than that harm nobody, whatever peers do
	stallAgainst = 2.0      // silence of so many high answer times is no chance
	stallFloor   = 1.0 / 6  // of the target, taken as the high answer time while servers are quicker
	manySilent   = 6        // attempts out at a prefill server that answers none: a queue would move
	failKeep     = 0.8      // weight of the past in a server's share of failures
	failLimit    = 0.3      // two failures in a row from clean, or one attempt in three
	failAgainst  = 3.0      // times its peers' median share: what befalls all alike is no sickness of one
	keepLoad     = 8        // targets over which a server's report fades: as long as answers count
	fewHomes     = 2        // replicas more while little is known: one jams where prefixes are few
	manyWarm     = 1.0 / 2  // of the servers of a role that warm up: beside fewer the others bear the rest
	mostAside    = 3        // one server in so many may be ejected for slowness or failures
	poorAnswer   = 1.0 / 2  // of the target, for one stage of two: a longer answer has waited too long
	lateRead     = 1.0 / 4  // of the target: a read that takes longer has waited in a queue
	poorWeight   = 1.0 / 4  // of the last answer in the share of late ones: two of three in a row tell
	poorShare    = 1.0 / 4  // of the answers: one sick server makes fewer, so it is the pool that is full
	waitAtHost   = 3.0      // attempts of all dispatchers that may always wait at a server
	beyondShare  = 3.0 / 4  // of the request limit is open to tenants beyond their share
	homeSpread   = 1.5      // replicas of a prefix, against the servers that its requests would keep busy
	roomCut      = 0.85     // of what is in hand is kept when the pool is full: a few steps find any level
	roomGrow     = 1.0 / 16 // of the request limit is added back at a time: slower than it is cut
	waitShare    = 1.0 / 8  // of the target a new request may wait: the work needs the rest
	coldMargin   = 0.9      // of what topples a cold server: the rest is for chance and unequal sights
	holdMargin   = 0.6      // of the time for release that a held state may wait
	lookParts    = 16       // of the shortest time that decisions wait for, between two looks at everything
)

// ---- What is told, where judgement goes in.

// ListFailed tells that the list could not be had.
func (d *Dispatcher) ListFailed(now Nanos) {
	d.watching, d.watchAt = false, now+d.listing.Within/8 // early enough for several more tries
	d.lookAt = min(d.lookAt, d.watchAt)
}

// HeldSince tells, after an attempt that may never have come to its server has ended, since when what is
// held for its request counts as held; Never: it has been released. It keeps rule five where decode
// servers fall silent: there each attempt in vain would put the time for release off. A state too old for
// another attempt is read anew.
func (d *Dispatcher) HeldSince(now Nanos, id RequestID, since Nanos) {
	_, j := d.jobs.find(id)
	switch {
	case j == nil || !j.held || j.out:
	case since == Never:
		j.held, j.phase = false, toRead
	default:
		if j.heldFrom = since; now >= since+Nanos(holdMargin*float64(d.release)) {
			j.phase = toRead
		}
	}
}

// review goes over all that is in hand: requests that fell due, marks that ran out, servers against their
// peers.
func (d *Dispatcher) review(now Nanos) {
	d.lookAt = Never
	for i := range d.jobs.jobs {
		if j := &d.jobs.jobs[i]; !j.used || j.due >= Never {
			continue
		} else if j.due <= now {
			d.jobs.enqueue(int32(i))
		} else {
			d.lookAt = min(d.lookAt, j.due, now+d.step)
		}
	}
	for i := range d.hosts {
		h := &d.hosts[i]
		h.high = h.answers.quantile(now-8*d.pace, highQuantile)
	}
	was := d.lookedAt
	d.lookedAt = now
	for role := Prefill; role < roleCount; role++ {
		d.usual[role] = d.recent[role].quantile(now-8*d.pace, highQuantile)
		d.peerHigh[role] = d.median(role, func(h *server) float64 { return h.high })
		d.typical[role] = d.recent[role].quantile(now-8*d.pace, 0.5)
	}
	d.carried(now, was, 2*d.cold.Warm) // outlasts any warm-up
	for i := range d.hosts {
		h := &d.hosts[i]
		if h.health != Serving || now < h.aside || d.inSlowStart(now, h) {
			continue
		}
		if h.high > slowHarms && h.high > slowAgainst*d.peerHigh[h.role] {
			d.eject(now, h, "slow to answer", true)
		}
	}
	d.countPlaces(now)
	d.sharePlaces()
	d.adjustRequestLimit(now)
	d.holds.sweep(now)
	d.holds.fade(max(0, 1-float64(now-was)/keepMarks))
}

// requestLimitFor is the request limit as a request sees it: what its tenant asks beyond its share waits
// before the request limit is full, so that a tenant within its share finds some left. Without pressure
// nobody is held to a share.
func (d *Dispatcher) requestLimitFor(j *job) float64 {
	if j.beyond {
		return beyondShare * d.requestLimit
	}
	return d.requestLimit
}

// adjustWindow bounds what is out at once by how long it takes, share x of the target: own attempts
// unanswered by servers of a role, or pulls over the link of a cell. A queue at a prefill server makes
// sessions come back later than their text is kept, which makes more to read; on a link pulls delay each
// other until none ends in time. A window opens with the first late answer, and is cut down to what lets
// all dispatchers together keep a few waiting at each server. Less than one stands for pauses.
func (d *Dispatcher) adjustWindow(w *window, x, hosts float64) {
	if x > lateRead {
		if w.most == 0 {
			w.most = float64(w.out + 1)
		}
		w.most = max(roomCut*w.most, waitAtHost*hosts/float64(d.place.Count))
	} else if w.most > 0 {
		w.most += min(1, 1/w.most)
	}
}

// windowOpen tells whether a window lets one more out.
func (d *Dispatcher) windowOpen(now Nanos, w *window) bool {
	if w.most == 0 || w.most >= 1 {
		return w.most == 0 || float64(w.out) < w.most
	}
	return w.out == 0 && now >= w.sent+Nanos(lateRead*float64(d.pace)/w.most)
}

// adjustRequestLimit finds how many requests in hand the pools bear, from how their answers come: cut when
// many are late or turned away, else let grow. It guards against load beyond capacity, whatever made the
// one grow or the other shrink. It may do harm when answers are late for a reason that fewer requests
// don't cure.
func (d *Dispatcher) adjustRequestLimit(now Nanos) {
	if now < d.roomAt {
		return
	}
	if d.lateShare > poorShare && d.told {
		d.requestLimit = max(roomCut*min(d.requestLimit, float64(d.active)), 1)
	} else if float64(d.active) > d.requestLimit/2 {
		d.requestLimit += roomGrow*d.requestLimit + 1
	}
	d.told, d.roomAt = false, now+d.pace/2
}

// recordLateness takes down whether an answer came late, or none, so that a few answers already tell.
func (d *Dispatcher) recordLateness(late bool) {
	d.told = true
	if d.lateShare -= d.lateShare * poorWeight; late {
		d.lateShare += poorWeight
	}
}

// recordFirstAnswer takes a first answer, of share x of its request's target, as a sign of the load and of
// its server.
func (d *Dispatcher) recordFirstAnswer(now Nanos, j *job, h *server, x float64) {
	d.adjustWindow(&d.waits[h.role], x, d.serving[h.role])
	d.recent[h.role].add(now, x)
	if d.crawls(now, j) {
		return
	}
	h.answers.add(now, x)
	d.recordLateness(x > poorAnswer)
}

// recordOutcome keeps a server's share of failures. It guards against servers that fail fast, hang, or are
// gone before the list says so. A turned-away request is no failure: the server is full and says so.
func (d *Dispatcher) recordOutcome(now Nanos, h *server, j *job, how Outcome) {
	bad, why := 0.0, "failing"
	switch how {
	case Failed, Broken:
		bad = 1
	case Late, Canceled:
		excused := d.crawls(now, j) || j.phase == streaming || j.over
		if excused || !d.stalled(now, h, j.Class) && !j.withdrew {
			if how == Late {
				d.recordLateness(true)
			}
			return
		}
		d.ejectForClass(now, h, j)
		return
	case Unreachable:
		bad, h.doubt, h.downed, why = 1, max(h.doubt, 2*failLimit), true, "not reached"
	case Rejected:
		d.recordLateness(true)
		d.adjustWindow(&d.waits[h.role], 1, d.serving[h.role])
		h.fullTill = now + j.expected/8
		return
	case NotSent, Stateless, StaleConnection: // a kept connection that died is no sign
		return
	default:
		h.trial = false
		if h.downed { // it is back, and nobody has said since when: treat it as just started
			h.downed, h.launched = false, now
		}
	}
	h.doubt = h.doubt*failKeep + bad*(1-failKeep)
	alone := how == Unreachable || d.failsMoreThanPeers(h)
	if bad > 0 && h.doubt > failLimit && alone && now >= h.aside {
		d.eject(now, h, why, how == Failed || how == Broken)
	}
}

// failsMoreThanPeers tells that a server fails far more often than its peers. Where attempts fail at all
// servers alike, by the network or by what is sent, to set some aside only leaves fewer, and whoever has
// begun to read a prompt keeps it: a request whose read broke may go there again.
func (d *Dispatcher) failsMoreThanPeers(h *server) bool {
	return h.doubt > failAgainst*d.median(h.role, func(o *server) float64 { return o.doubt + 1e-9 })
}

// eject keeps new requests from a server for an ejection; then one request at a time tries it. An ejection
// that follows soon on the last one is twice as long, up to the time in which a server warms up, so that a
// long trouble costs few trials.
func (d *Dispatcher) eject(now Nanos, h *server, why string, sparing bool) {
	if sparing {
		aside, all := 1, 0
		for i := range d.hosts {
			if o := &d.hosts[i]; (o.role == Prefill) == (h.role == Prefill) && o.health == Serving {
				if all++; now < o.aside {
					aside++
				}
			}
		}
		if aside*mostAside > all {
			return
		}
	}
	if now > h.aside+4*h.spell {
		h.spell = 0
	}
	h.spell = min(max(2*h.spell, d.pace/2), max(d.cold.Warm, d.pace))
	h.aside, h.trial = now+h.spell, true
	h.answers = ring{}
	d.says = append(d.says, fmt.Sprintf("server %d ejected for %d ms: %s", h.id, h.spell/1e6, why))
}

// ejectForClass keeps requests of a class from a server that was silent to one, for ejections that double;
// it may well serve the others. All are kept from it for a moment, unless it has answered another since.
func (d *Dispatcher) ejectForClass(now Nanos, h *server, j *job) {
	b := &h.by[j.Class]
	if now > b.quiet+4*b.spell {
		b.spell = 0
	}
	b.spell = max(2*b.spell, d.pace/2, d.between(h.role))
	b.spell = min(b.spell, max(d.cold.Warm, d.pace))
	b.quiet, h.trial = now+b.spell, true
	if h.moved <= j.sent {
		h.aside = max(h.aside, now+d.pace/2)
	}
	d.says = append(d.says,
		fmt.Sprintf("server %d silent to class %d, left alone for %d ms", h.id, j.Class, b.spell/1e6))
}

// between is the usual time between two own answers of a server: a mark that lapses sooner is never used.
func (d *Dispatcher) between(role Role) Nanos {
	if d.carry[role] == 0 {
		return 0
	}
	return Nanos(float64(d.cold.Window) / d.carry[role])
}

// ---- What is decided.

// Next gives the next decision, until there is none.
func (d *Dispatcher) Next(now Nanos) (Decision, bool) {
	if n := len(d.says); n > 0 {
		text := d.says[n-1]
		d.says = d.says[:n-1]
		return Decision{Verb: Log, Text: text}, true
	}
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
			if j.launches > 0 {
				d.active--
			}
			d.jobs.drop(slot)
		}
	}
	if !d.watching && now >= d.watchAt {
		d.watching = true
		return Decision{Verb: Watch}, true
	}
	if d.lookAt < d.wakeAt {
		d.wakeAt = max(d.lookAt, now+1)
		return Decision{Verb: Wake, For: d.wakeAt - now}, true
	}
	return Decision{}, false
}

func (d *Dispatcher) decide(now Nanos, slot int32) (Decision, bool) {
	j := &d.jobs.jobs[slot]
	switch {
	case j.over:
		j.due = Never
		if j.out && j.phase != streaming && d.launching.Cancel && !j.withdrew {
			return d.cancel(j)
		}
		if !j.out && j.held { // rule five: whatever ended it, nothing stays held
			return d.releaseState(j)
		}
		return Decision{}, false
	case j.phase == streaming:
		return Decision{}, false
	case j.out:
		last := j.Deadline + d.answering.Slack/2
		if now >= last { // an outcome that never comes must not cost the final answer
			return d.giveUp(now, j)
		}
		if h := &d.hosts[j.at]; d.launching.Cancel && !j.withdrew && d.mayRetry(now, j) &&
			(h.role != Prefill || h.out >= manySilent) && d.stalled(now, h, j.Class) {
			return d.cancel(j)
		}
		d.reviewLater(now, j, min(last, now+d.step))
		return Decision{}, false
	case j.phase == toRead && j.held:
		return d.releaseState(j)
	case j.doomed, now+d.answering.Round >= j.Deadline, j.launches >= d.launching.Most,
		!d.mayAttempt(now, j):
		return d.giveUp(now, j)
	case j.phase == toRead && d.tooShort(now, j):
		return d.giveUp(now, j)
	case j.launches == 0 && float64(d.active) >= d.requestLimitFor(j):
		if now >= j.born+Nanos(waitShare*float64(j.expected)) {
			return d.giveUp(now, j)
		}
		d.reviewLater(now, j, min(now+d.step, j.Deadline-d.answering.Round))
		return Decision{}, false
	}
	to := noHost
	for pass := 0; pass < 3 && to == noHost; pass++ {
		if j.phase == toWrite {
			to = d.pickDecode(now, j, pass)
		} else if to = d.pickMixed(now, j, pass); to == noHost {
			to = d.pickPrefill(now, j, pass)
		}
		if to == noHost && j.phase == toRead {
			to = d.pickWithoutPrefill(now, j, pass)
		}
	}
	if to == noHost {
		if d.hopeless(now, j) {
			return d.giveUp(now, j)
		}
		d.reviewLater(now, j, min(now+d.step, j.Deadline-d.answering.Round))
		return Decision{}, false
	}
	return d.attempt(now, j, to), true
}

func (d *Dispatcher) reviewLater(now Nanos, j *job, at Nanos) {
	j.due = max(at, now+1)
	d.lookAt = min(d.lookAt, j.due)
}

func (d *Dispatcher) cancel(j *job) (Decision, bool) {
	j.withdrew = true
	return Decision{Verb: Cancel, Request: j.ID, Attempt: AttemptNumber(j.launches - 1)}, true
}

func (d *Dispatcher) releaseState(j *job) (Decision, bool) {
	j.held = false
	return Decision{Verb: Release, Request: j.ID}, true
}

// mayAttempt keeps rule two: what may have run is sent again only where the repeat does no harm.
func (d *Dispatcher) mayAttempt(now Nanos, j *job) bool {
	t := &d.classes[j.Class]
	return !j.mayRun || t.Effect == Idempotent || t.Effect == Deduplicated && now < j.ranSince+t.Window
}

// repeatBefore tells until when an attempt may begin to be written: a repeat has to come while its group
// still remembers the first run, and its connection may take longer than that to come up.
func (d *Dispatcher) repeatBefore(j *job, h *server) Nanos {
	t := &d.classes[j.Class]
	if j.mayRun && t.Effect == Deduplicated && h.role != Prefill {
		return j.ranSince + t.Window
	}
	return 0
}

// mayRetry tells whether withdrawing the attempt that is out leaves the request another.
func (d *Dispatcher) mayRetry(now Nanos, j *job) bool {
	t := &d.classes[j.Class]
	return j.launches < d.launching.Most && (t.Effect == Idempotent || d.hosts[j.at].role == Prefill)
}

// knowsRepeats tells whether a server drops repeats of a deduplicated request that may have run.
func (d *Dispatcher) knowsRepeats(j *job, h *server) bool {
	t := &d.classes[j.Class]
	if !j.mayRun || t.Effect != Deduplicated || t.Group == GroupAll {
		return true
	}
	ran := &d.hosts[j.ranAt]
	return t.Group == GroupZone && h.zone == ran.zone || t.Group == GroupCell && h.cell == ran.cell
}

// hopeless tells whether a request that finds no place should stop waiting for one.
func (d *Dispatcher) hopeless(now Nanos, j *job) bool {
	if j.held && now >= j.heldFrom+Nanos(holdMargin*float64(d.release)) {
		return true
	}
	if j.launches == 0 {
		return now >= j.born+Nanos(waitShare*float64(j.expected))
	}
	return now >= j.born+j.expected/2 // half is needed for the work itself
}

// tooShort tells that a client will be gone before servers as quick as usual could begin to answer it. It
// guards against clients with hardly any time, who come back at once and by the dozen: what is begun for
// them is wasted.
func (d *Dispatcher) tooShort(now Nanos, j *job) bool {
	usual := (d.typical[Prefill] + d.typical[Decode]) * float64(j.expected)
	return j.Deadline-now < Nanos(usual)
}

// giveUp ends a request: first whatever is held goes, then the client is told; a rejection wherever it
// tells the truth.
func (d *Dispatcher) giveUp(now Nanos, j *job) (Decision, bool) {
	j.doomed = true
	if j.held && !j.out {
		return d.releaseState(j)
	}
	t := &d.classes[j.Class]
	j.over = true
	unsafe := j.mayRun || j.out && d.hosts[j.at].role != Prefill
	unsafe = unsafe && (t.Effect == NonIdempotent || t.Effect == Deduplicated && t.Group != GroupAll)
	if unsafe || now >= j.Deadline {
		return Decision{Verb: Fail, Request: j.ID}, true
	}
	advice := Nanos(0)
	if d.answering.Advice {
		advice = min(t.Target/2, d.answering.MaxAdvice) // about as long as a burst's head takes to pass
	}
	return Decision{Verb: Reject, Request: j.ID, For: advice}, true
}

func (d *Dispatcher) attempt(now Nanos, j *job, to int32) Decision {
	h := &d.hosts[to]
	h.took(now, j.Class)
	d.waits[h.role].send(now)
	h.longest = max(h.longest, j.expected-d.classes[j.Class].Target)
	h.spent++
	if h.role != Prefill {
		h.streams++
	}
	if j.phase == toWrite && d.hosts[j.reader].cell != h.cell {
		d.cells[d.hosts[j.reader].at].link.send(now)
	}
	kept := int64(0)
	if j.phase == toRead {
		kept = d.expectHeld(now, j, to)
		j.unsplit = h.role != Prefill
		j.tokens = j.Prompt - kept
		h.queued += j.tokens
		if j.Prefix != 0 && j.Shared > 0 {
			d.holds.mark(uint64(j.Prefix), to, j.Shared, now+keepMarks)
		}
		if j.Session != 0 {
			d.holds.mark(^uint64(j.Session), to, j.Prompt, now+keepMarks)
		}
	}
	j.out, j.withdrew, j.at, j.sent = true, false, to, now
	if j.launches++; j.launches == 1 {
		d.active++
	}
	return Decision{Verb: Attempt, Request: j.ID, Server: h.id, Kept: kept,
		For: d.attemptTimeout(now, j, h.role), Before: d.repeatBefore(j, h)}
}

// attemptTimeout bounds an attempt. Where attempts can be cancelled, a decode server's silence ends them
// and the time-out only keeps the last quarter for another; else several usual answer times, at most half
// of what is left.
func (d *Dispatcher) attemptTimeout(now Nanos, j *job, role Role) Nanos {
	left := j.Deadline - now
	if d.launching.Cancel {
		return left - left/4
	}
	usual := Nanos(stallAgainst * max(d.usual[role], stallFloor) * float64(j.expected))
	return max(min(usual, left/2), min(left, j.expected/2))
}

// eligible tells whether a server may and should be sent a request now. Later passes, when nothing else is
// left, lift what is only advice: first the servers that this request has failed at, then trials and
// silence.
func (d *Dispatcher) eligible(now Nanos, j *job, i int32, pass int) bool {
	h := &d.hosts[i]
	switch {
	case h.health != Serving, !d.knowsRepeats(j, h), !d.slowStartAllows(now, h): // rules two, three and four
		return false
	case now < h.fullTill, now < h.aside, now < h.by[j.Class].quiet, !d.windowOpen(now, &d.waits[h.role]):
		return false
	case pass < 2 && (h.trial && h.out > 0 || d.stalled(now, h, j.Class)):
		return false
	}
	return pass > 0 || !j.shuns(i)
}

// stalled tells that a server has attempts out and has not answered one for far longer than its role
// takes: hung, cut off, or gone with the list still silent. Its first answer lifts it. A prefill server
// gets no new request, but a read is cancelled only where many are out: a few have mostly queued, and read
// anew elsewhere they spoil that queue too.
func (d *Dispatcher) stalled(now Nanos, h *server, track ClassID) bool {
	usual := stallAgainst * max(d.usual[h.role], stallFloor) * float64(d.classes[track].Target)
	return h.by[track].out > 0 && now-h.by[track].moved > Nanos(usual)+h.longest
}

func (d *Dispatcher) inSlowStart(now Nanos, h *server) bool {
	return d.cold.Window > 0 && h.launched > 0 && now < h.launched+d.cold.Warm
}

// slowStartAllows keeps rule four alone. All dispatchers together may send a server that has just started
// a share of what warm peers carry, so each is granted its own small part of an attempt as time goes on, by
// what it sees them carry itself: the sum over all is right however little one of them sees. Where in its
// first attempt a dispatcher starts is spread by its number. A grant not used in two windows lapses, lest
// many are saved up and spent at once. Who has seen nobody carry anything gets a part of one attempt a
// window. A grant that is due goes before locality and kept text: a dispatcher that sees little has one
// open for a moment now and then, and where half a fleet warms up the other half would drown beside
// slow-start grants unused. Where few warm up, what they keep nothing of is better read by the others.
func (d *Dispatcher) slowStartAllows(now Nanos, h *server) bool {
	if !d.inSlowStart(now, h) {
		return true
	}
	n := float64(d.place.Count)
	if h.grantFor != h.launched {
		h.grantFor, h.grantAt, h.spent = h.launched, h.launched, 0
		_, h.granted = math.Modf(float64(d.place.Number)/n + float64(mix(uint64(h.id))>>11)/(1<<53))
	}
	share := max(coldMargin*d.cold.Multiple*d.cold.From*d.carry[h.role], 1/n)
	h.granted += share * float64(now-h.grantAt) / float64(d.cold.Window)
	h.grantAt = now
	h.spent = max(h.spent, math.Floor(h.granted-2*share))
	return h.granted >= h.spent+1
}

// pickMixed is the design's rule for short prompts: the mixed server with fewest own streams reads them
// itself. While own streams are too few to tell, none do but under pressure: hundreds of dispatchers would
// each find it empty, and what it reads slows its streams. It also serves where no prefill server is on
// the list.
func (d *Dispatcher) pickMixed(now Nanos, j *job, pass int) int32 {
	if j.Prompt-j.Shared >= shortPrompt {
		return noHost
	}
	fewest := d.lowest(now, j, pass, func(h *server) (int64, bool) { return streams(h), h.role != Prefill })
	pressed := d.pressed(now, j, pass)
	bound := fewest + nearStreams
	if pressed {
		bound *= gateFactor
	} else if fewest < tellStreams {
		return noHost
	}
	d.findReplicas(now, j, Mixed, pass, int64(Never))
	return d.least(func(i int32, h *server) (rank, bool) {
		willing := h.role == Mixed && streams(h) <= bound && (pressed || h.high <= slowHarms)
		apart := d.apart(now, j, i)
		willing = willing && (apart < 2 || j.Prompt < shortPrompt)
		return rank{apart, streams(h)}, willing && d.eligible(now, j, i, pass)
	})
}

// pressed tells that no prefill server is likely to read this request in good time: each is on trial, has
// more tokens in wait than clients allow time for (by their own allowance for prompt length), or has kept
// attempts waiting of late. It guards against pools that shrink and against prefill servers taken up by
// work that this dispatcher can't see.
func (d *Dispatcher) pressed(now Nanos, j *job, pass int) bool {
	t := &d.classes[j.Class]
	wait := Nanos(lateRead * float64(t.Target))
	for i := range d.hosts {
		h := &d.hosts[i]
		if h.role != Prefill || h.trial || !d.eligible(now, j, int32(i), pass) {
			continue
		}
		late := h.out > 0 && (h.last > lateRead || now-h.moved > wait)
		if !late && Nanos(d.backlog(now, h))*t.TargetPer1k/1000 < wait {
			return false
		}
	}
	return true
}

// pickWithoutPrefill places a request while there is no prefill server at all: at a mixed server whatever
// its length, or at a decode server where those read. It guards against a pool of prefill servers that is
// lost whole.
func (d *Dispatcher) pickWithoutPrefill(now Nanos, j *job, pass int) int32 {
	if d.serving[Prefill] > 0 {
		return noHost
	}
	return d.least(func(i int32, h *server) (rank, bool) {
		reads := h.role == Mixed || h.role == Decode && d.launching.DecodeReads
		return rank{streams(h)}, reads && d.eligible(now, j, i, pass)
	})
}

// lowest is the least of a figure among the servers that have it and may be sent a request.
func (d *Dispatcher) lowest(now Nanos, j *job, pass int, of func(h *server) (int64, bool)) int64 {
	low := int64(Never)
	for i := range d.hosts {
		if x, ok := of(&d.hosts[i]); ok && d.eligible(now, j, int32(i), pass) {
			low = min(low, x)
		}
	}
	return low
}

func streams(h *server) int64 { return int64(h.streams) }

// backlog is the design's load signal of a prefill server: own unread prompts, plus what the server
// reported of late.
func (d *Dispatcher) backlog(now Nanos, h *server) int64 {
	if age := float64(now-h.loadAt) / float64(keepLoad*d.pace); h.load.Unread > 0 && age < 1 {
		return h.queued + int64(h.load.Unread*(1-age))
	}
	return h.queued
}

// pickPrefill: among prefill servers that hold the request's prefix and are not overloaded, the fewest
// queued prompt tokens, this prompt's own unheld ones counted in. A prefill server that has read this
// session before shares the longest prefix and goes first: sessions that roam are read anew each time, and
// what they leave drives out what others need.
func (d *Dispatcher) pickPrefill(now Nanos, j *job, pass int) int32 {
	lowest := d.lowest(now, j, pass, func(h *server) (int64, bool) {
		return d.backlog(now, h), h.role == Prefill
	})
	d.findReplicas(now, j, Prefill, pass, gateFactor*(lowest+j.Prompt))
	return d.least(func(i int32, h *server) (rank, bool) {
		log, held, apart, far := d.backlog(now, h), d.expectHeld(now, j, i), int64(2), int64(1)
		if log < gateFactor*(lowest+j.Prompt) {
			apart = d.apart(now, j, i)
		}
		if h.zone == d.place.Zone {
			far = 0
		}
		c := &d.cells[h.at]
		if c.link.most > 0 && chanceOf(uint64(j.ID)) >= c.near && !d.windowOpen(now, &c.link) {
			apart += 3 // what it reads would have to cross a jammed link
		}
		if d.inSlowStart(now, h) && d.warming[Prefill] > manyWarm*d.serving[Prefill] { // see slowStartAllows
			apart = -1
		}
		return rank{apart, log + j.Prompt - held, far}, h.role == Prefill && d.eligible(now, j, i, pass)
	})
}

// findReplicas finds the servers of a role that are likely to hold a request's prefix whoever sent it
// there: the first few in an order that the prefix and the ids give, the same at every dispatcher, and of
// them the one that the session gives. A session's turns come to many dispatchers, of which none could
// mark it. A prefix has more replicas the more requests share it. Those at which affinity yields are left
// out, so that the next in the same order takes over at every dispatcher that knows.
func (d *Dispatcher) findReplicas(now Nanos, j *job, role Role, pass int, full int64) {
	d.replicas, d.own = d.replicas[:0], noHost
	if j.Prefix == 0 && j.Session == 0 {
		return
	}
	most := 1 + int(homeSpread*d.holds.share(uint64(j.Prefix))*float64(len(d.hosts)))
	if d.holds.all < float64(len(d.hosts)) { // too few to tell a rare one from one that all others send
		most += fewHomes
	}
	if j.Prefix == 0 {
		most = len(d.hosts)
	}
	for last := uint64(math.MaxUint64); len(d.replicas) < most; {
		best, top := noHost, uint64(0)
		for i := range d.hosts {
			h := &d.hosts[i]
			if x := mix(uint64(j.Prefix) ^ mix(uint64(h.id))); h.role == role && x < last && x > top &&
				d.backlog(now, h) < full && d.eligible(now, j, int32(i), pass) {
				best, top = int32(i), x
			}
		}
		if best == noHost {
			break
		}
		d.replicas, last = append(d.replicas, best), top
	}
	if j.Session != 0 {
		top := uint64(0)
		for _, i := range d.replicas {
			x := mix(uint64(j.Session)^mix(uint64(d.hosts[i].id))) >> 1
			if d.hosts[i].zone == d.place.Zone {
				x += 1 << 63
			}
			if x >= top {
				d.own, top = i, x
			}
		}
	}
}

// apart tells how far a server is from holding all of a request's prefix: 0, its session; 1, what it
// shares with others; 2, nothing.
func (d *Dispatcher) apart(now Nanos, j *job, i int32) int64 {
	held := d.expectHeld(now, j, i)
	switch {
	case i == d.own || held > j.Shared:
		return 0
	case held > 0 || slices.Contains(d.replicas, i):
		return 1
	}
	return 2
}

// farSlow tells that pulls from other cells take far longer than those within one, and long enough to
// matter: the links crawl. It lapses as soon as a few quick ones are seen, or none for some time.
func (d *Dispatcher) farSlow(now Nanos) bool {
	since := now - 4*d.pace
	far := d.pulls[1].quantile(since, 0.5)
	return far > slowHarms/2 && far > gateFactor*d.pulls[0].quantile(since, 0.5)
}

// crawls tells that the attempt that is out pulls its state over links that crawl: neither its decode
// server nor the load is to blame for its time.
func (d *Dispatcher) crawls(now Nanos, j *job) bool {
	return j.phase == toWrite && d.hosts[j.reader].cell != d.hosts[j.at].cell && d.farSlow(now)
}

// pickDecode: the fewest own streams; within one of the fewest the prefill server's cell, then its zone.
// While far links crawl, locality holds like a prefill server's affinity: until a near decode server has
// twice the fewest. While own streams are too few to tell, locality is granted by chance, as often as the
// near decode servers can bear if all dispatchers do so; the rest goes where decode servers are more than
// their prefill servers need.
func (d *Dispatcher) pickDecode(now Nanos, j *job, pass int) int32 {
	from := &d.hosts[j.reader]
	shut := !d.windowOpen(now, &d.cells[from.at].link)
	fewest := d.lowest(now, j, pass, func(h *server) (int64, bool) {
		return streams(h), h.role != Prefill && !(shut && h.cell != from.cell)
	})
	bound, reach, more := fewest+nearStreams, int64(0), 1.0
	if d.farSlow(now) {
		bound, more = bound*gateFactor, gateFactor
	}
	if c := &d.cells[from.at]; fewest < tellStreams && d.rng.unit() >= more*c.near {
		if reach = 1; d.rng.unit() >= more*c.stay {
			reach = 2
		}
	}
	return d.least(func(i int32, h *server) (rank, bool) {
		far := int64(2)
		if h.cell == from.cell {
			far = 0
		} else if h.zone == from.zone {
			far = 1
		}
		r := rank{far, 2 * streams(h), int64(h.load.Memory * 100)}
		if d.inSlowStart(now, h) && d.warming[h.role] > manyWarm*d.serving[h.role] { // too
			r[1]--
		}
		if c := &d.cells[h.at]; reach > 0 && far == reach && d.rng.unit() < c.spare[far-1] {
			r[0] = -1
		}
		near := !(shut && far > 0)
		return r, h.role != Prefill && near && streams(h) <= bound && d.eligible(now, j, i, pass)
	})
}

// sharePlaces finds, from the servers in service, how much of what a cell's prefill servers read its
// decode servers, or its zone's, can take if prefill servers are all alike and decode servers are too, and
// how much decode servers have to spare for others.
func (d *Dispatcher) sharePlaces() {
	for i := range d.cells {
		c := &d.cells[i]
		z := &d.zones[c.zone]
		c.near = min(1, c.pens/max(c.has[Prefill], 1e-9))
		c.stay = min(1, z.spare/max(z.lack, 1e-9))
		c.spare = [2]float64{}
		if c.pens > 0 {
			c.spare[0] = max(0, 1-c.has[Prefill]/c.pens)
			c.spare[1] = c.spare[0] * max(0, 1-z.lack/max(z.spare, 1e-9))
		}
	}
}
