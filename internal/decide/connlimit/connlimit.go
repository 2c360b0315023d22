// Package connlimit decides which connections a front takes, by the address they come from, so that a flood of them ends
// where it is cheapest: at the accept. While there is room everybody is let in; as room gets short, an address may have
// only so many as leaves some for others, and those that connect fastest wait. It does no I/O and reads no clock, and
// remembers a bounded number of addresses.
package connlimit

import "fmt"

// Source is an address, as bytes; an IPv6 source is its network of 64 bits, as one server has a whole one.
type Source [16]byte

// SourceOf gives the source of an address in its form of 16 bytes.
func SourceOf(addr [16]byte) Source {
	v4 := addr[10] == 0xff && addr[11] == 0xff
	for _, b := range addr[:10] {
		v4 = v4 && b == 0
	}
	if !v4 {
		clear(addr[8:])
	}
	return Source(addr)
}

// Verdict says why a connection is not taken.
type Verdict uint8

const (
	Accepted           Verdict = iota
	LimitReached               // there are as many as there may be
	SourceLimitReached         // this source has its part of what there may be
	SourceRateExceeded         // this source connects faster than it may while room is short
)

func (c Verdict) String() string {
	return [...]string{"taken", "too many connections", "too many connections from one address", "connects too fast"}[c]
}

const (
	// shortAt of the connections that there may be, room counts as short: until then nobody is asked.
	shortAt = 1.0 / 2
	// sourcePart of what is free may be taken by one source while room is short: each next one finds some left,
	// however many take theirs.
	sourcePart = 1.0 / 8
	// leastEach a source may have however short room is, as long as there is any: one client needs a few.
	leastEach = 4
	// burst connections a source may make at once while room is short, and perSecond more each second.
	burst     = 32
	perSecond = 8
)

type entry struct {
	open int
	used float64 // of its burst
	at   int64
}

// Limiter is the connections of one front. Make it with New.
type Limiter struct {
	limit   int
	open    int
	sources map[Source]*entry
	free    []*entry
	sweepAt int64
	Counts  Counts
}

// Counts are what was counted since the start.
type Counts struct {
	Accepted           uint64
	LimitReached       uint64 `json:"Full"`
	SourceLimitReached uint64 `json:"TooMany"`
	SourceRateExceeded uint64 `json:"TooFast"`
	TrackedSources     int    `json:"Sources"` // sources remembered now
}

// New makes a crowd of so many connections at most.
func New(most int) (*Limiter, error) {
	if most < 1 {
		return nil, fmt.Errorf("%d connections: want 1 or more", most)
	}
	return &Limiter{limit: most, sources: make(map[Source]*entry)}, nil
}

// OpenConnections counts the connections that are open.
func (l *Limiter) OpenConnections() int { return l.open }

// Accept decides on a connection at a time in nanoseconds; Gone must follow for each that is taken.
func (l *Limiter) Accept(now int64, from Source) Verdict {
	if l.open >= l.limit {
		l.Counts.LimitReached++
		return LimitReached
	}
	e := l.sources[from]
	short := float64(l.open) >= shortAt*float64(l.limit)
	if e != nil {
		if now > e.at {
			e.used = max(0, e.used-float64(now-e.at)/1e9*perSecond)
			e.at = now
		}
		if short {
			if part := max(leastEach, int(sourcePart*float64(l.limit-l.open))); e.open >= part {
				l.Counts.SourceLimitReached++
				return SourceLimitReached
			}
			if e.used >= burst {
				l.Counts.SourceRateExceeded++
				return SourceRateExceeded
			}
		}
	}
	if e == nil {
		e = l.remember(now, from)
	}
	e.open++
	e.used = min(e.used+1, burst)
	l.open++
	l.Counts.Accepted++
	return Accepted
}

// Closed tells that a connection which was taken is over.
func (l *Limiter) Closed(now int64, from Source) {
	e := l.sources[from]
	if e == nil || e.open == 0 {
		return
	}
	e.open--
	l.open--
}

// remember makes an entry. Sources without connections whose burst has filled again are forgotten once in a burst's
// time, so there are at most as many as connections open and as may have come in that time.
func (l *Limiter) remember(now int64, from Source) *entry {
	if now >= l.sweepAt || len(l.sources) >= 2*l.limit {
		l.sweepAt = now + burst/perSecond*1e9
		for s, e := range l.sources {
			if e.open == 0 && (len(l.sources) >= 2*l.limit || float64(now-e.at)/1e9*perSecond >= e.used) {
				delete(l.sources, s)
				l.free = append(l.free, e)
			}
		}
	}
	var e *entry
	if n := len(l.free); n > 0 {
		e, l.free = l.free[n-1], l.free[:n-1]
		*e = entry{}
	} else {
		e = new(entry)
	}
	e.at = now
	l.sources[from] = e
	l.Counts.TrackedSources = len(l.sources)
	return e
}
