// Package background decides how many background requests may be in flight beside interactive ones. Background requests
// use the capacity that the fleet has idle; their concurrency limit follows additive increase, multiplicative decrease,
// and falls at the first sign that they delay an interactive request.
//
// The package does no I/O and reads no clock.
package background

// Nanos is a point in time or a duration in nanoseconds.
type Nanos = int64

// Limiter is the concurrency limiter of background requests. Create it with New.
type Limiter struct {
	latencyObjective Nanos   // the shortest of the interactive classes
	limit            float64 // background requests that may be in flight
	inFlight         int     // background requests that are in flight
	starting         int     // of those, the ones without a first token
	pausedUntil      Nanos   // nothing is admitted before
	decreasedAt      Nanos   // time of the last decrease
	limited          bool    // the limit has held a request back since it was last changed
	Counts           Counts
}

// Counts are counters since the limiter was created.
type Counts struct{ Admitted, Served, Decreases, Pauses uint64 }

const (
	// queueWaitSignal is the wait of an interactive request in the admission queue, as a part of the latency objective,
	// above which the limit is decreased: an idle fleet takes a request at once.
	queueWaitSignal = 1.0 / 32
	// firstTokenSignal is the time to first token of an interactive request, as a part of its own latency objective,
	// above which the limit is decreased. It is a small part on an idle fleet.
	firstTokenSignal = 1.0 / 3
	// firstTokenPauseSignal is the part of the latency objective above which admission is paused as well.
	firstTokenPauseSignal = 1.0 / 2
	// decreaseInterval is the minimum time between two decreases, as a part of the latency objective: requests admitted
	// before a decrease take that long to end.
	decreaseInterval = 1.0 / 2
	// pauseDuration is how long admission is paused, in latency objectives.
	pauseDuration = 2
	// startingPart is the part of the limit that may wait for a first token: prefills of background requests delay the
	// prefills of others, their decodes run beside them.
	startingPart = 1.0 / 4
	// increase is how much the limit grows while as many requests as the limit are served.
	increase = 1
)

// New returns a limiter that allows one request. latencyObjective is the shortest of the interactive classes.
func New(latencyObjective Nanos) *Limiter {
	return &Limiter{latencyObjective: max(latencyObjective, 1), limit: 1}
}

// CanAdmit reports whether a background request that waits may be admitted now. A false result is noted as a sign that
// the limit is in use, without which it does not grow.
func (l *Limiter) CanAdmit(now Nanos) bool {
	if now < l.pausedUntil {
		return false
	}
	canAdmit := l.inFlight < max(int(l.limit), 1) && l.starting < max(int(l.limit*startingPart), 1)
	l.limited = l.limited || !canAdmit
	return canAdmit
}

// PausedUntil returns the time at which a pause of admission ends, and whether there is one.
func (l *Limiter) PausedUntil(now Nanos) (end Nanos, paused bool) {
	return l.pausedUntil, l.pausedUntil > now
}

// InFlight returns the number of background requests in flight.
func (l *Limiter) InFlight() int { return l.inFlight }

// Limit returns how many background requests may be in flight.
func (l *Limiter) Limit() float64 { return l.limit }

// RecordAdmitted records that a background request was admitted.
func (l *Limiter) RecordAdmitted() {
	l.inFlight++
	l.starting++
	l.Counts.Admitted++
}

// RecordStarted records the first token of a background request.
func (l *Limiter) RecordStarted() { l.starting = max(l.starting-1, 0) }

// Outcome is how a background request ended.
type Outcome struct {
	Started bool // its first token had come
	Served  bool // it was answered in full
}

// RecordFinished records the end of a background request that was admitted. The limit grows if the request was served
// and the limit was in use, and is decreased if it was not served: the fleet had no capacity for it.
func (l *Limiter) RecordFinished(now Nanos, outcome Outcome) {
	l.inFlight = max(l.inFlight-1, 0)
	if !outcome.Started {
		l.starting = max(l.starting-1, 0)
	}
	if !outcome.Served {
		l.decrease(now)
		return
	}
	l.Counts.Served++
	if l.limited {
		l.limit += increase / l.limit
		l.limited = false
	}
}

// ObserveQueueWait takes into account how long an interactive request waited in the admission queue.
func (l *Limiter) ObserveQueueWait(now, wait Nanos) {
	if l.inFlight > 0 && float64(wait) > queueWaitSignal*float64(l.latencyObjective) {
		l.decrease(now)
	}
}

// ObserveFirstToken takes into account the time to first token of an interactive request with its latency objective.
func (l *Limiter) ObserveFirstToken(now, timeToFirstToken, latencyObjective Nanos) {
	switch part := float64(timeToFirstToken) / float64(max(latencyObjective, 1)); {
	case part > firstTokenPauseSignal:
		l.ObserveRejection(now)
	case part > firstTokenSignal && l.inFlight > 0:
		l.decrease(now)
	}
}

// ObserveRejection takes into account that an interactive request was rejected or very late: there is no capacity to
// spare, so admission is paused and the limit decreased.
func (l *Limiter) ObserveRejection(now Nanos) {
	l.Counts.Pauses++
	l.pausedUntil = max(l.pausedUntil, now+pauseDuration*l.latencyObjective)
	l.decrease(now)
}

// decrease halves the limit, unless the last decrease was too recent to have shown its effect.
func (l *Limiter) decrease(now Nanos) {
	if l.Counts.Decreases > 0 && now < l.decreasedAt+Nanos(decreaseInterval*float64(l.latencyObjective)) {
		return
	}
	l.Counts.Decreases++
	l.decreasedAt = now
	l.limit, l.limited = max(l.limit/2, 1), false
}
