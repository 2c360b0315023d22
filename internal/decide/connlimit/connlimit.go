// Package connlimit decides which connections a front takes, by the address they come from, so that a flood of them ends
// where it is cheapest: at the accept. While there is room everybody is let in; as room gets short, an address may have
// only so many as leaves some for others, and those that connect fastest wait. It does no I/O and reads no clock, and
// remembers a bounded number of addresses.
package connlimit

import "fmt"

// Source is an address, as bytes; an IPv6 source is its network of 64 bits, as one server has a whole one.
type Source [16]byte

// Cut gives the source of an address in its form of 16 bytes.
func Cut(addr [16]byte) Source {
	v4 := addr[10] == 0xff && addr[11] == 0xff
	for _, b := range addr[:10] {
		v4 = v4 && b == 0
	}
	if !v4 {
		clear(addr[8:])
	}
	return Source(addr)
}

// Cause says why a connection is not taken.
type Cause uint8

const (
	Accepted Cause = iota
	Full           // there are as many as there may be
	TooMany        // this source has its part of what there may be
	TooFast        // this source connects faster than it may while room is short
)

func (c Cause) String() string {
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
	Accepted, Full, TooMany, TooFast uint64
	Sources                          int // remembered now
}

// New makes a crowd of so many connections at most.
func New(most int) (*Limiter, error) {
	if most < 1 {
		return nil, fmt.Errorf("%d connections: want 1 or more", most)
	}
	return &Limiter{limit: most, sources: make(map[Source]*entry)}, nil
}

// Open counts the connections that are open.
func (c *Limiter) Open() int { return c.open }

// Opened decides on a connection at a time in nanoseconds; Gone must follow for each that is taken.
func (c *Limiter) Opened(now int64, from Source) Cause {
	if c.open >= c.limit {
		c.Counts.Full++
		return Full
	}
	e := c.sources[from]
	short := float64(c.open) >= shortAt*float64(c.limit)
	if e != nil {
		if now > e.at {
			e.used = max(0, e.used-float64(now-e.at)/1e9*perSecond)
			e.at = now
		}
		if short {
			if part := max(leastEach, int(sourcePart*float64(c.limit-c.open))); e.open >= part {
				c.Counts.TooMany++
				return TooMany
			}
			if e.used >= burst {
				c.Counts.TooFast++
				return TooFast
			}
		}
	}
	if e == nil {
		e = c.remember(now, from)
	}
	e.open++
	e.used = min(e.used+1, burst)
	c.open++
	c.Counts.Accepted++
	return Accepted
}

// Closed tells that a connection which was taken is over.
func (c *Limiter) Closed(now int64, from Source) {
	e := c.sources[from]
	if e == nil || e.open == 0 {
		return
	}
	e.open--
	c.open--
}

// remember makes an entry. Sources without connections whose burst has filled again are forgotten once in a burst's
// time, so there are at most as many as connections open and as may have come in that time.
func (c *Limiter) remember(now int64, from Source) *entry {
	if now >= c.sweepAt || len(c.sources) >= 2*c.limit {
		c.sweepAt = now + burst/perSecond*1e9
		for s, e := range c.sources {
			if e.open == 0 && (len(c.sources) >= 2*c.limit || float64(now-e.at)/1e9*perSecond >= e.used) {
				delete(c.sources, s)
				c.free = append(c.free, e)
			}
		}
	}
	var e *entry
	if n := len(c.free); n > 0 {
		e, c.free = c.free[n-1], c.free[:n-1]
		*e = entry{}
	} else {
		e = new(entry)
	}
	e.at = now
	c.sources[from] = e
	c.Counts.Sources = len(c.sources)
	return e
}
