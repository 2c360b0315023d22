package engine

import pb "docksail/api/docksail/v1"

// prefixCache holds the cached prefixes of the simple model. It evicts the least recently used ones.
type prefixCache struct {
	maxTokens int64
	entries   map[string]*cachedPrefix
	clock     int64 // number of uses so far; orders the entries by use
}

type cachedPrefix struct {
	tokens int64
	usedAt int64 // value of prefixCache.clock at the last use
}

func newPrefixCache(maxTokens int64) prefixCache {
	return prefixCache{maxTokens: maxTokens, entries: map[string]*cachedPrefix{}}
}

func sharedPrefixKey(req *pb.GenerateRequest) string { return "b" + req.Tenant + "/" + req.Beginning }

func sessionKey(req *pb.GenerateRequest) string { return "s" + req.Tenant + "/" + req.Session }

// lookUp returns the number of cached tokens of a prompt, found by its shared prefix or its session.
func (c *prefixCache) lookUp(req *pb.GenerateRequest) int64 {
	c.clock++
	cached := int64(0)
	if p := c.entries[sharedPrefixKey(req)]; p != nil && req.Beginning != "" {
		p.usedAt = c.clock
		cached = min(p.tokens, int64(req.BeginningTokens))
	}
	if p := c.entries[sessionKey(req)]; p != nil && req.Session != "" {
		p.usedAt = c.clock
		cached = max(cached, min(p.tokens, int64(req.PromptTokens)))
	}
	return cached
}

// addPrompt caches the prompt of a completed prefill under its shared prefix and its session.
func (c *prefixCache) addPrompt(req *pb.GenerateRequest) {
	if req.Beginning != "" {
		c.add(sharedPrefixKey(req), int64(req.BeginningTokens))
	}
	if req.Session != "" {
		c.add(sessionKey(req), int64(req.PromptTokens))
	}
}

// add caches a prefix and evicts the least recently used ones until the rest is within maxTokens. At least one entry
// stays.
func (c *prefixCache) add(key string, tokens int64) {
	c.clock++
	c.entries[key] = &cachedPrefix{tokens: tokens, usedAt: c.clock}
	for {
		total, oldest := int64(0), ""
		for k, p := range c.entries {
			total += p.tokens
			if oldest == "" || p.usedAt < c.entries[oldest].usedAt {
				oldest = k
			}
		}
		if total <= c.maxTokens || len(c.entries) <= 1 {
			return
		}
		delete(c.entries, oldest)
	}
}
