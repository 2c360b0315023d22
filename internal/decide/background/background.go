// Package background decides how many background requests may be in flight beside interactive ones. Background
// requests use the fleet's idle capacity; their concurrency limit follows additive increase, multiplicative decrease
// (AIMD), and is decreased at the first sign that they delay an interactive request.
//
// The package does no I/O and reads no clock.
package background

// Nanos is a point in time or a duration in nanoseconds.
type Nanos = int64

// Limiter is the concurrency limiter of background requests. Create it with New.
type Limiter struct {
	limit        float64 // background requests that may be in flight
	inFlight     int     // background requests that are in flight
	starting     int     // those of them without a first token
	pausedUntil  Nanos   // no background request is admitted before
	decreasedAt  Nanos   // time of the last decrease
	limitReached bool    // the limit has delayed a request since it was last changed
	Counts       Counts
}

// Counts are counters since the limiter was created.
type Counts struct{ Admitted, Served, Decreases, Pauses uint64 }

const (
	// maxIdleWait is the wait of an interactive request in the admission queue above which the limit is decreased. With
	// idle capacity there is hardly any wait.
	maxIdleWait = Nanos(30e6)
	// decreaseInterval is the minimum time between two decreases, so that requests admitted before a decrease can end
	// first.
	decreaseInterval = Nanos(500e6)
	// pauseDuration is the duration of a pause of admission. Running background requests can end in it.
	pauseDuration = Nanos(2e9)
	// startingFraction is the fraction of the limit that may be waiting for a first token. It is small because
	// background prefills delay other prefills, whereas decodes run beside each other.
	startingFraction = 1.0 / 4
	// additiveIncrease is how much the limit grows when as many requests as the limit have been served.
	additiveIncrease = 1
)

// New returns a limiter with a limit of one request.
func New() *Limiter { return &Limiter{limit: 1} }

// CanAdmit reports whether a waiting background request may be admitted now. If the limit forbids it, this is
// recorded, because the limit only grows while it is reached.
func (l *Limiter) CanAdmit(now Nanos) bool {
	if now < l.pausedUntil {
		return false
	}
	canAdmit := l.inFlight < max(int(l.limit), 1) && l.starting < max(int(l.limit*startingFraction), 1)
	l.limitReached = l.limitReached || !canAdmit
	return canAdmit
}

// PausedUntil returns the time at which a pause of admission ends, and whether there is one.
func (l *Limiter) PausedUntil(now Nanos) (end Nanos, paused bool) {
	return l.pausedUntil, l.pausedUntil > now
}

// InFlight returns the number of background requests that were admitted and have not ended.
func (l *Limiter) InFlight() int { return l.inFlight }

// Limit returns the concurrency limit.
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
	Started bool // it had its first token
	Served  bool // it was answered in full
}

// RecordFinished records the end of a background request that was admitted. The limit grows if the request was served
// and the limit was reached. It is decreased if the request was not served, which indicates that the fleet had no
// capacity for it.
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
	if l.limitReached {
		l.limit += additiveIncrease / l.limit
		l.limitReached = false
	}
}

// ObserveQueueWait decreases the limit if an interactive request waited too long in the admission queue.
func (l *Limiter) ObserveQueueWait(now, wait Nanos) {
	if l.inFlight > 0 && wait > maxIdleWait {
		l.decrease(now)
	}
}

// ObserveFirstToken decreases the limit if an interactive request has queued: its first token came later than
// queuedAfter after its arrival, the time that its work takes at servers with idle capacity and a tolerance; 0 =
// unknown.
func (l *Limiter) ObserveFirstToken(now, timeToFirstToken, queuedAfter Nanos) {
	if queuedAfter > 0 && timeToFirstToken > queuedAfter && l.inFlight > 0 {
		l.decrease(now)
	}
}

// ObserveRejection pauses admission and decreases the limit because an interactive request was rejected: there is no
// idle capacity.
func (l *Limiter) ObserveRejection(now Nanos) {
	l.Counts.Pauses++
	l.pausedUntil = max(l.pausedUntil, now+pauseDuration)
	l.decrease(now)
}

// decrease halves the limit, unless the last decrease is too recent to have taken effect.
func (l *Limiter) decrease(now Nanos) {
	if l.Counts.Decreases > 0 && now < l.decreasedAt+decreaseInterval {
		return
	}
	l.Counts.Decreases++
	l.decreasedAt = now
	l.limit, l.limitReached = max(l.limit/2, 1), false
}
