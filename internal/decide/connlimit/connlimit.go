// Package connlimit decides which connections a frontend accepts, by source address, so that a flood of connections
// is stopped before it causes further work. Every connection is accepted while fewer than half of the limit are open.
// From there on, one source may hold only a fraction of the free connections, and its rate of new connections is
// limited by a token bucket.
//
// The package does no I/O, reads no clock and tracks a bounded number of sources.
package connlimit

import "fmt"

// Source identifies where connections come from: an IPv4 address, or an IPv6 /64 network, since a single host can use
// any address of its network.
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

// Verdict is the decision on a new connection: Accepted, or the reason for closing it.
type Verdict uint8

// The verdicts.
const (
	Accepted           Verdict = iota
	LimitReached               // the maximum number of connections is open
	SourceLimitReached         // the source has as many connections as it may hold
	SourceRateExceeded         // the source exceeds its rate of new connections
)

// String returns a short description of the verdict.
func (v Verdict) String() string {
	return [...]string{"taken", "too many connections", "too many connections from one address", "connects too fast"}[v]
}

const (
	// scarcityThreshold is the fraction of the limit that must be open for connections to count as scarce. Below it,
	// sources are not limited.
	scarcityThreshold = 1.0 / 2
	// maxSourceFraction is the fraction of the free connections that one source may hold while connections are scarce.
	// Since it refers to the free ones, each further source still finds some.
	maxSourceFraction = 1.0 / 8
	// minPerSource is how many connections a source may hold even if its fraction is smaller, as long as one is free.
	minPerSource = 4
	// newConnectionBurst and newConnectionsPerSecond configure the token bucket that limits the new connections of a
	// source while connections are scarce.
	newConnectionBurst      = 32
	newConnectionsPerSecond = 8

	nanosPerSecond = 1e9
)

// sourceState is the state of a tracked source.
type sourceState struct {
	open       int     // open connections
	tokensUsed float64 // tokens taken, at most newConnectionBurst
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
		return nil, fmt.Errorf("max connections is %d, must be at least 1", maxConnections)
	}
	return &Limiter{maxConnections: maxConnections, sources: make(map[Source]*sourceState)}, nil
}

// Accept decides on a new connection from source at time now, in nanoseconds. The caller must call Closed when an
// accepted connection has ended.
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
		state.tokensUsed = min(state.tokensUsed+1, newConnectionBurst)
		l.open++
		l.Counts.Accepted++
	}
	return verdict
}

// check returns the verdict on a new connection from a source; state is nil if the source is not tracked.
func (l *Limiter) check(now int64, state *sourceState) Verdict {
	if l.open >= l.maxConnections {
		return LimitReached
	}
	if state == nil {
		return Accepted
	}
	state.refill(now)
	if float64(l.open) < scarcityThreshold*float64(l.maxConnections) {
		return Accepted
	}
	maxOpen := max(minPerSource, int(maxSourceFraction*float64(l.maxConnections-l.open)))
	if state.open >= maxOpen {
		return SourceLimitReached
	}
	if state.tokensUsed > newConnectionBurst-1 { // a part of a token admits nothing
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

// tokensSinceRefill returns the tokens that have accrued since the last refill.
func (s *sourceState) tokensSinceRefill(now int64) float64 {
	return float64(now-s.refilledAt) / nanosPerSecond * newConnectionsPerSecond
}

// Closed records the end of an accepted connection.
func (l *Limiter) Closed(source Source) {
	state := l.sources[source]
	if state == nil || state.open == 0 {
		return
	}
	state.open--
	l.open--
}

// track starts tracking a source and returns its state.
func (l *Limiter) track(now int64, source Source) *sourceState {
	if now >= l.nextSweepAt || l.tooManySources() {
		l.nextSweepAt = now + newConnectionBurst/newConnectionsPerSecond*nanosPerSecond
		l.sweep(now)
	}
	state := l.newState()
	state.refilledAt = now
	l.sources[source] = state
	l.Counts.TrackedSources = len(l.sources)
	return state
}

// sweep drops the sources without connections whose bucket is full again, or all sources without connections if too
// many are tracked. Otherwise it runs at most once in the time in which an empty bucket fills, so the number of
// sources is bounded by the connections that are open or are opened in that time.
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
