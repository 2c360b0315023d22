// Package background decides how much background work may be at hand beside the work that somebody waits for: it fills
// what the fleet has idle and yields at the first sign that others wait for it. It does no I/O and reads no clock.
package background

// Nanos is a time or a span in nanoseconds.
type Nanos = int64

// Limiter is the account of background requests that were let in. Make it with New.
type Limiter struct {
	latencyObjective Nanos   // shortest expected time of the work that somebody waits for
	limit            float64 // so many may be at hand
	inFlight         int     // so many are
	starting         int     // of them, those that no token has come of yet
	pausedUntil      Nanos   // none is let in before
	decreasedAt      Nanos   // the last time that the allowance was cut
	limited          bool    // one more would have gone in since the allowance last grew
	Counts           Counts
}

// Counts are what was counted.
type Counts struct{ Admitted, Served, Decreases, Pauses uint64 }

const (
	// waitSign of the shortest expected time in the admission queue is a sign: an idle fleet takes a request at once.
	waitSign = 1.0 / 32
	// slowSign of a request's own expected time until its first token is a sign, half of it a strong one: on an idle fleet
	// it is a small part.
	slowSign, slowStop = 1.0 / 3, 1.0 / 2
	// cutEvery of the shortest expected time the allowance is cut once at most: what was let in before the cut needs
	// that long to show.
	cutEvery = 1.0 / 2
	// rest is how many expected times nothing is let in after a strong sign.
	rest = 2
	// startPart of the allowance may be waiting for a first token at once: reads stand before others' reads, answers
	// run beside them.
	startPart = 1.0 / 4
	// grow is by how much the allowance grows with each served request, over itself: by that many a round of all of them.
	grow = 1
)

// New makes an account; expected is the shortest expected time of the work that somebody waits for.
func New(expected Nanos) *Limiter { return &Limiter{latencyObjective: max(expected, 1), limit: 1} }

// CanAdmit tells whether another background request, which waits, may be let in now.
func (l *Limiter) CanAdmit(now Nanos) bool {
	if now < l.pausedUntil {
		return false
	}
	may := l.inFlight < max(int(l.limit), 1) && l.starting < max(int(l.limit*startPart), 1)
	l.limited = l.limited || !may
	return may
}

// PausedUntil is when May can change by time alone; false if it does not.
func (l *Limiter) PausedUntil(now Nanos) (Nanos, bool) { return l.pausedUntil, l.pausedUntil > now }

// InFlight counts the background requests at hand, Allowance how many there may be.
func (l *Limiter) InFlight() int { return l.inFlight }

// Limit is how many background requests may be at hand.
func (l *Limiter) Limit() float64 { return l.limit }

// RecordAdmitted tells that a background request was let in.
func (l *Limiter) RecordAdmitted() {
	l.inFlight++
	l.starting++
	l.Counts.Admitted++
}

// RecordStarted tells of a background request's first token.
func (l *Limiter) RecordStarted() { l.starting = max(l.starting-1, 0) }

// RecordFinished tells that a background request is over: whether its first token had come, and whether it was served.
func (l *Limiter) RecordFinished(now Nanos, began, served bool) {
	l.inFlight = max(l.inFlight-1, 0)
	if !began {
		l.starting = max(l.starting-1, 0)
	}
	if !served { // the fleet had no place for it
		l.decrease(now)
		return
	}
	l.Counts.Served++
	if l.limited { // what was not used says nothing
		l.limit += grow / l.limit
		l.limited = false
	}
}

// ObserveQueueWait tells how long a request that somebody waits for stood in the admission queue.
func (l *Limiter) ObserveQueueWait(now Nanos, by Nanos) {
	if l.inFlight > 0 && float64(by) > waitSign*float64(l.latencyObjective) {
		l.decrease(now)
	}
}

// ObserveFirstToken tells how long such a request took to its first token, of its expected time.
func (l *Limiter) ObserveFirstToken(now Nanos, took, expected Nanos) {
	switch part := float64(took) / float64(max(expected, 1)); {
	case part > slowStop:
		l.ObserveRejection(now)
	case part > slowSign && l.inFlight > 0:
		l.decrease(now)
	}
}

// ObserveRejection tells that such a request was refused, or came late: there is nothing to spare.
func (l *Limiter) ObserveRejection(now Nanos) {
	l.Counts.Pauses++
	l.pausedUntil = max(l.pausedUntil, now+rest*l.latencyObjective)
	l.decrease(now)
}

func (l *Limiter) decrease(now Nanos) {
	if l.Counts.Decreases > 0 && now < l.decreasedAt+Nanos(cutEvery*float64(l.latencyObjective)) {
		return
	}
	l.Counts.Decreases++
	l.decreasedAt = now
	l.limit, l.limited = max(l.limit/2, 1), false
}
