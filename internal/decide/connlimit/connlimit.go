// Package connlimit decides which connections a frontend accepts, by source address, so that a flood of connections is
// stopped where that is cheapest. Every connection is accepted while fewer than half of the limit are open. Above that,
// one source may hold only a part of what is free, and its rate of new connections is limited by a token bucket.
//
// The package does no I/O, reads no clock and tracks a bounded number of sources.
package connlimit

import "fmt"

// Source identifies where connections come from: an IPv4 address, or an IPv6 /64 network, since one host has a whole
// one.
type Source [16]byte

// SourceOf returns the source of an address in its 16-byte form.
func SourceOf(addr [16]byte) Source {
	if !isIPv4Mapped(addr) {
		clear(addr[8:])
	}
	return Source(addr)
}

func isIPv4Mapped(addr [16]byte) bool {
	for _, b := range addr[:10] {
		if b != 0 {
			return false
		}
	}
	return addr[10] == 0xff && addr[11] == 0xff
}

// Verdict is the decision on a new connection: Accepted, or the reason why it is closed.
type Verdict uint8

// The verdicts.
const (
	Accepted           Verdict = iota
	LimitReached               // the maximum number of connections is open
	SourceLimitReached         // the source holds its part of the connections
	SourceRateExceeded         // the source opens connections faster than it may
)

func (v Verdict) String() string {
	return [...]string{"taken", "too many connections", "too many connections from one address", "connects too fast"}[v]
}

const (
	// scarceFrom is the part of the limit from which on connections are scarce: below it, sources are not limited.
	scarceFrom = 1.0 / 2
	// maxSourcePart is the part of the free connections that one source may hold while connections are scarce. Each
	// further source finds some left, however many hold theirs.
	maxSourcePart = 1.0 / 8
	// minPerSource is how many connections a source may hold however scarce they are, as long as one is free: a single
	// client needs a few.
	minPerSource = 4
	// burst and perSecond configure a source's token bucket for new connections while connections are scarce.
	burst     = 32
	perSecond = 8

	nanosPerSecond = 1e9
)

// sourceState is what is tracked of a source.
type sourceState struct {
	open       int     // connections
	tokensUsed float64 // of burst
	refilledAt int64   // time in nanoseconds
}

// Limiter limits the connections of one frontend. Create it with New.
type Limiter struct {
	maxConnections int
	open           int
	sources        map[Source]*sourceState
	free           []*sourceState // for reuse
	nextSweepAt    int64          // time in nanoseconds
	Counts         Counts
}

// Counts are counters since the limiter was created.
type Counts struct {
	Accepted           uint64
	LimitReached       uint64 `json:"Full"`
	SourceLimitReached uint64 `json:"TooMany"`
	SourceRateExceeded uint64 `json:"TooFast"`
	TrackedSources     int    `json:"Sources"` // sources tracked now
}

// New returns a limiter for at most maxConnections connections. It returns an error if that is less than 1.
func New(maxConnections int) (*Limiter, error) {
	if maxConnections < 1 {
		return nil, fmt.Errorf("%d connections: want 1 or more", maxConnections)
	}
	return &Limiter{maxConnections: maxConnections, sources: make(map[Source]*sourceState)}, nil
}

// Accept decides on a new connection from source at time now, in nanoseconds. The caller must call Closed when a
// connection that was accepted has ended.
func (l *Limiter) Accept(now int64, source Source) Verdict {
	state := l.sources[source]
	verdict := l.check(now, state)
	switch verdict {
	case LimitReached:
		l.Counts.LimitReached++
	case SourceLimitReached:
		l.Counts.SourceLimitReached++
	case SourceRateExceeded:
		l.Counts.SourceRateExceeded++
	case Accepted:
		if state == nil {
			state = l.track(now, source)
		}
		state.open++
		state.tokensUsed = min(state.tokensUsed+1, burst)
		l.open++
		l.Counts.Accepted++
	}
	return verdict
}

// check returns the verdict on a connection of a source; state is nil for one that is not tracked.
func (l *Limiter) check(now int64, state *sourceState) Verdict {
	if l.open >= l.maxConnections {
		return LimitReached
	}
	if state == nil {
		return Accepted
	}
	state.refill(now)
	if float64(l.open) < scarceFrom*float64(l.maxConnections) {
		return Accepted
	}
	maxOpen := max(minPerSource, int(maxSourcePart*float64(l.maxConnections-l.open)))
	if state.open >= maxOpen {
		return SourceLimitReached
	}
	if state.tokensUsed >= burst {
		return SourceRateExceeded
	}
	return Accepted
}

func (s *sourceState) refill(now int64) {
	if now > s.refilledAt {
		s.tokensUsed = max(0, s.tokensUsed-s.tokensSinceRefill(now))
		s.refilledAt = now
	}
}

// tokensSinceRefill returns the tokens that the time since the last refill brings.
func (s *sourceState) tokensSinceRefill(now int64) float64 {
	return float64(now-s.refilledAt) / nanosPerSecond * perSecond
}

// Closed records the end of a connection that was accepted.
func (l *Limiter) Closed(source Source) {
	state := l.sources[source]
	if state == nil || state.open == 0 {
		return
	}
	state.open--
	l.open--
}

// track adds the state of a source.
func (l *Limiter) track(now int64, source Source) *sourceState {
	if now >= l.nextSweepAt || l.tooManySources() {
		l.nextSweepAt = now + burst/perSecond*nanosPerSecond
		l.sweep(now)
	}
	state := l.newState()
	state.refilledAt = now
	l.sources[source] = state
	l.Counts.TrackedSources = len(l.sources)
	return state
}

// sweep drops sources without connections whose bucket is full again, or all without connections if there are too many.
// It runs at most once in the time in which a bucket fills, so the number of sources is bounded by that of the open
// connections and of those that may be opened in that time.
func (l *Limiter) sweep(now int64) {
	for source, state := range l.sources {
		if state.open == 0 && (l.tooManySources() || state.tokensSinceRefill(now) >= state.tokensUsed) {
			delete(l.sources, source)
			l.free = append(l.free, state)
		}
	}
}

func (l *Limiter) tooManySources() bool { return len(l.sources) >= 2*l.maxConnections }

func (l *Limiter) newState() *sourceState {
	n := len(l.free)
	if n == 0 {
		return new(sourceState)
	}
	state := l.free[n-1]
	l.free = l.free[:n-1]
	*state = sourceState{}
	return state
}
