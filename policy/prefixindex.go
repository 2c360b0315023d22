package policy

const (
	// prefixMarkLifetime is how long after its last use a prefix is expected to be cached (docs/design.md).
	prefixMarkLifetime = 30 * 1e9
	// sweepInterval is the time between two removals of expired marks, which have no effect meanwhile.
	sweepInterval = prefixMarkLifetime / 16
	// marksPerPrefix is the number of servers that are remembered for one prefix.
	marksPerPrefix = 8
	// priorRequests is the weight of the usual share of a prefix, in requests, against its own count.
	priorRequests = 4
	// minRequestCount is the decayed count below which a prefix is forgotten.
	minRequestCount = 1.0 / 16
)

// prefixMark says that a server is expected to have cached so many tokens of a prefix until a time.
type prefixMark struct {
	until  Nanos
	server int32
	tokens int32
}

// prefixMarks are the marks of one prefix.
type prefixMarks [marksPerPrefix]prefixMark

// tokensAt returns how many tokens of the prefix a server is expected to have cached.
func (m *prefixMarks) tokensAt(now Nanos, server int32) int64 {
	for i := range m {
		if mark := &m[i]; mark.server == server && mark.until > now {
			return int64(mark.tokens)
		}
	}
	return 0
}

// sessionMarkKey returns the key under which the prompt of a session is marked. It differs from all keys of shared
// prefixes in practice.
func sessionMarkKey(session SessionKey) uint64 { return ^uint64(session) }

// prefixIndex remembers which servers have cached which prefixes, and how many of the recent requests share one.
type prefixIndex struct {
	marks        map[uint64]prefixMarks
	requests     map[uint64]float64 // decayed number of requests by prefix
	total        float64            // decayed number of requests that have a prefix
	sharingPairs float64            // decayed number of pairs of requests that share a prefix ...
	pairs        float64            // ... among all pairs
	sweptAt      Nanos              // when expired marks were removed last
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{marks: make(map[uint64]prefixMarks), requests: make(map[uint64]float64)}
}

// countRequest counts a request that has a prefix.
func (p *prefixIndex) countRequest(key uint64) {
	p.sharingPairs, p.pairs = p.sharingPairs+p.requests[key], p.pairs+p.total
	p.requests[key]++
	p.total++
}

// requestShare estimates, for a request that was counted, what part of all requests share its prefix. While few
// requests were counted it relies on how often any two share one: where prefixes are many, one that is new is rare.
func (p *prefixIndex) requestShare(key uint64) float64 {
	usual := p.sharingPairs / max(p.pairs, 1)
	return (max(p.requests[key]-1, 0) + priorRequests*usual) / (max(p.total-1, 0) + priorRequests)
}

// decay multiplies the counts by a factor and forgets those that have become small.
func (p *prefixIndex) decay(factor float64) {
	p.total, p.sharingPairs, p.pairs = p.total*factor, p.sharingPairs*factor*factor, p.pairs*factor*factor
	for key := range p.requests {
		if p.requests[key] *= factor; p.requests[key] < minRequestCount {
			delete(p.requests, key)
		}
	}
}

// mark records that a server caches a prefix. If all marks are taken it replaces the one that expires first.
func (p *prefixIndex) mark(key uint64, server int32, tokens int64, until Nanos) {
	marks := p.marks[key]
	slot := 0
	for i, mark := range marks {
		if mark.until > 0 && mark.server == server {
			slot = i
			break
		}
		if mark.until < marks[slot].until {
			slot = i
		}
	}
	marks[slot] = prefixMark{until, server, int32(tokens)}
	p.marks[key] = marks
}

// removeServer removes the marks of a server that has lost its cache.
func (p *prefixIndex) removeServer(server int32) {
	for key, marks := range p.marks {
		for i := range marks {
			if marks[i].server == server {
				marks[i] = prefixMark{}
			}
		}
		p.marks[key] = marks
	}
}

// removeExpired removes prefixes all of whose marks have expired.
func (p *prefixIndex) removeExpired(now Nanos) {
	if now < p.sweptAt+sweepInterval {
		return
	}
	p.sweptAt = now
	for key, marks := range p.marks {
		live := false
		for _, mark := range marks {
			live = live || mark.until > now
		}
		if !live {
			delete(p.marks, key)
		}
	}
}
