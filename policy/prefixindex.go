package policy

const (
	// cacheHintLifetime is the time for which a prefix is expected to stay cached after its last use (docs/design.md).
	cacheHintLifetime = 30 * 1e9
	// sweepInterval is the time between two removals of expired hints, which have no effect until then.
	sweepInterval = cacheHintLifetime / 16
	// hintsPerPrefix is the number of servers that are recorded for one prefix.
	hintsPerPrefix = 8
	// priorWeight is the weight, in requests, of the average share of prefixes in the estimate of one prefix's share.
	priorWeight = 4
	// minRequestCount is the decayed count below which the count of a prefix is removed.
	minRequestCount = 1.0 / 16
	// defaultMaxPrefixes is the most prefixes that are remembered, unless LimitPrefixes sets another number.
	defaultMaxPrefixes = 1 << 17
)

// keyQueue remembers the order in which keys were added to a map, so that the oldest give way to new ones.
type keyQueue struct {
	keys   []uint64 // a ring, once it has reached its limit
	oldest int      // index in keys
	limit  int
}

// add adds a key. If there are limit keys already, it removes the oldest and returns it.
func (q *keyQueue) add(key uint64) (removed uint64, full bool) {
	if len(q.keys) < q.limit {
		q.keys = append(q.keys, key)
		return 0, false
	}
	removed, q.keys[q.oldest] = q.keys[q.oldest], key
	q.oldest = (q.oldest + 1) % q.limit
	return removed, true
}

// cacheHint says that a server is expected to have cached a number of tokens of a prefix until a time.
type cacheHint struct {
	until  Nanos
	server int32
	tokens int32
}

// prefixHints holds the hints for one prefix.
type prefixHints [hintsPerPrefix]cacheHint

// tokensAt returns how many tokens of the prefix a server is expected to have cached.
func (h *prefixHints) tokensAt(now Nanos, server int32) int64 {
	for i := range h {
		if hint := &h[i]; hint.server == server && hint.until > now {
			return int64(hint.tokens)
		}
	}
	return 0
}

// mostTokens returns how many tokens of the prefix the server with the largest part of it is expected to have cached.
func (h *prefixHints) mostTokens(now Nanos) int64 {
	most := int32(0)
	for i := range h {
		if hint := &h[i]; hint.until > now {
			most = max(most, hint.tokens)
		}
	}
	return int64(most)
}

// sessionHintKey returns the key of the hints for the prompt of a session. A collision with the key of a shared prefix
// is unlikely.
func sessionHintKey(session SessionKey) uint64 { return ^uint64(session) }

// prefixIndex records which servers have cached which prefixes, and how many of the recent requests share a prefix.
type prefixIndex struct {
	hints        map[uint64]prefixHints
	requests     map[uint64]float64 // decayed number of requests by prefix
	total        float64            // decayed number of requests that have a prefix
	sharingPairs float64            // decayed number of pairs of requests that share a prefix ...
	pairs        float64            // ... among all pairs
	sweptAt      Nanos              // when expired hints were last removed
	hintKeys     keyQueue           // of hints; clients name them, so their number is limited
	requestKeys  keyQueue           // of requests
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{
		hints: make(map[uint64]prefixHints), requests: make(map[uint64]float64),
		hintKeys: keyQueue{limit: defaultMaxPrefixes}, requestKeys: keyQueue{limit: defaultMaxPrefixes},
	}
}

// LimitPrefixes limits the number of prefixes and sessions that the router remembers. When there are more, the oldest
// are forgotten. It must be called before the first request.
func (r *Router) LimitPrefixes(limit int) {
	r.prefixes.hintKeys.limit, r.prefixes.requestKeys.limit = max(limit, 1), max(limit, 1)
}

// countRequest counts a request that has a prefix.
func (p *prefixIndex) countRequest(key uint64) {
	if _, known := p.requests[key]; !known {
		if oldest, full := p.requestKeys.add(key); full {
			delete(p.requests, oldest)
		}
	}
	p.sharingPairs, p.pairs = p.sharingPairs+p.requests[key], p.pairs+p.total
	p.requests[key]++
	p.total++
}

// requestShare estimates the share of all requests that have the prefix of a request, which must have been counted.
// With few counts, the estimate is close to the average share: the probability that two requests have the same prefix.
func (p *prefixIndex) requestShare(key uint64) float64 {
	averageShare := p.sharingPairs / max(p.pairs, 1)
	return (max(p.requests[key]-1, 0) + priorWeight*averageShare) / (max(p.total-1, 0) + priorWeight)
}

// decay multiplies the counts by a factor and removes those that have become small.
func (p *prefixIndex) decay(factor float64) {
	p.total, p.sharingPairs, p.pairs = p.total*factor, p.sharingPairs*factor*factor, p.pairs*factor*factor
	for key := range p.requests {
		if p.requests[key] *= factor; p.requests[key] < minRequestCount {
			delete(p.requests, key)
		}
	}
}

// addHint records that a server caches a prefix. If the prefix has hintsPerPrefix hints, it replaces the one that
// expires first.
func (p *prefixIndex) addHint(key uint64, server int32, tokens int64, until Nanos) {
	hints, known := p.hints[key]
	if !known {
		if oldest, full := p.hintKeys.add(key); full {
			delete(p.hints, oldest)
		}
	}
	slot := 0
	for i, hint := range hints {
		if hint.until > 0 && hint.server == server {
			slot = i
			break
		}
		if hint.until < hints[slot].until {
			slot = i
		}
	}
	hints[slot] = cacheHint{until, server, int32(tokens)}
	p.hints[key] = hints
}

// removeServer removes the hints of a server that has lost its cache.
func (p *prefixIndex) removeServer(server int32) {
	for key, hints := range p.hints {
		for i := range hints {
			if hints[i].server == server {
				hints[i] = cacheHint{}
			}
		}
		p.hints[key] = hints
	}
}

// removeExpired removes the prefixes whose hints have all expired.
func (p *prefixIndex) removeExpired(now Nanos) {
	if now < p.sweptAt+sweepInterval {
		return
	}
	p.sweptAt = now
	for key, hints := range p.hints {
		live := false
		for _, hint := range hints {
			live = live || hint.until > now
		}
		if !live {
			delete(p.hints, key)
		}
	}
}
