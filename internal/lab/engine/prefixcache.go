package engine

import pb "docksail/api/docksail/v1"

// prefixCache is the prefixes that the simple model has cached: the least recently used are evicted.
type prefixCache struct {
	maxTokens int64
	entries   map[string]*cachedPrefix
	clock     int64 // counts uses
}

type cachedPrefix struct {
	tokens int64
	usedAt int64 // value of prefixCache.clock
}

func newPrefixCache(maxTokens int64) prefixCache {
	return prefixCache{maxTokens: maxTokens, entries: map[string]*cachedPrefix{}}
}

func sharedPrefixKey(req *pb.GenerateRequest) string { return "b" + req.Tenant + "/" + req.Beginning }

func sessionKey(req *pb.GenerateRequest) string { return "s" + req.Tenant + "/" + req.Session }

// lookUp returns how many tokens of a prompt are cached, by its shared prefix or its session.
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

// addPrompt caches a prompt that has been read, under its shared prefix and its session.
func (c *prefixCache) addPrompt(req *pb.GenerateRequest) {
	if req.Beginning != "" {
		c.add(sharedPrefixKey(req), int64(req.BeginningTokens))
	}
	if req.Session != "" {
		c.add(sessionKey(req), int64(req.PromptTokens))
	}
}

// add caches a prefix and evicts the least recently used ones above the limit. One always stays.
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
