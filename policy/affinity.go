package policy

import (
	"cmp"
	"slices"
)

const (
	// affinityYieldFactor is the multiple of the lowest load up to which a server is preferred for its cache or its
	// locality (docs/design.md). For prefill servers, the lowest load is the shortest queue plus the request's prompt.
	affinityYieldFactor = 2
	// replicasPerBusyServer is the number of replicas of a prefix for each server that its requests alone keep busy.
	replicasPerBusyServer = 1.5
	// extraReplicas is added while a dispatcher has counted fewer requests than there are servers. It prevents hot
	// spots while the dispatcher cannot yet tell which prefixes are common.
	extraReplicas = 3
)

// The cache distances say how much of a request's prompt a server is expected to have cached. A smaller one is better.
const (
	sessionCached int64 = iota // the earlier prompt of the request's session
	prefixCached               // the prefix that the request shares with others
	nothingCached
)

// replica is a candidate for a replica of a prefix. The candidates with the highest hashes are its replicas.
type replica struct {
	hash   uint64
	server int32
}

// affinityLookup is the result of findReplicas for one request.
type affinityLookup struct {
	number         uint64 // sequence number of the lookup; server.replicaLookup refers to it
	replicas       []replica
	sessionReplica int32       // the replica that the request's session hashes to; noServer = none
	prefixHints    prefixHints // of the request's prefix
	sessionHints   prefixHints // of the request's session
}

// loadHints looks up which servers are expected to have cached parts of a request's prompt.
func (a *affinityLookup) loadHints(index *prefixIndex, req *requestState) {
	a.prefixHints, a.sessionHints = prefixHints{}, prefixHints{}
	if req.Prefix != 0 {
		a.prefixHints = index.hints[uint64(req.Prefix)]
	}
	if req.Session != 0 {
		a.sessionHints = index.hints[sessionHintKey(req.Session)]
	}
}

// cachedTokens returns how many tokens of a request's prompt a server is expected to have cached, by the hints
// loaded for the request.
func (a *affinityLookup) cachedTokens(now Nanos, req *requestState, server int32) int64 {
	shared := min(a.prefixHints.tokensAt(now, server), req.PrefixTokens)
	return min(max(shared, a.sessionHints.tokensAt(now, server)), req.PromptTokens)
}

// findReplicas finds the replicas of a request's prefix among the servers of a role, by rendezvous hashing of prefix
// and server, so that all dispatchers find the same ones. It also finds the replica that the request's session hashes
// to, because the turns of a session arrive at different dispatchers. The more requests share a prefix, the more
// replicas it has. A server with a queue of fullQueue tokens or more is skipped; the server with the next hash takes
// its place at every dispatcher that knows of the queue.
func (r *Router) findReplicas(now Nanos, req *requestState, role Role, pass selectionPass, fullQueue int64) {
	lookup := &r.affinity
	lookup.replicas, lookup.sessionReplica = lookup.replicas[:0], noServer
	lookup.number++
	lookup.loadHints(&r.prefixes, req)
	if req.Prefix == 0 && req.Session == 0 {
		return
	}
	for i := range r.servers {
		srv := &r.servers[i]
		if srv.role == role && r.backlog(now, srv) < fullQueue && r.eligible(now, req, int32(i), pass) {
			hash := mixBits(uint64(req.Prefix) ^ mixBits(uint64(srv.id)))
			lookup.replicas = append(lookup.replicas, replica{hash, int32(i)})
		}
	}
	if count := r.replicaCount(req); len(lookup.replicas) > count {
		slices.SortFunc(lookup.replicas, func(a, b replica) int { return cmp.Compare(b.hash, a.hash) })
		lookup.replicas = lookup.replicas[:count]
	}
	r.findSessionReplica(req.Session)
}

// findSessionReplica sets replicaLookup of the replicas' servers and finds the replica that a session hashes to.
// Replicas in the dispatcher's own zone take precedence.
func (r *Router) findSessionReplica(session SessionKey) {
	lookup := &r.affinity
	highest := uint64(0)
	for _, candidate := range lookup.replicas {
		srv := &r.servers[candidate.server]
		srv.replicaLookup = lookup.number
		hash := mixBits(uint64(session)^mixBits(uint64(srv.id))) >> 1
		if srv.zone == r.config.Self.Zone {
			hash += 1 << 63
		}
		if session != 0 && hash >= highest {
			lookup.sessionReplica, highest = candidate.server, hash
		}
	}
}

// replicaCount returns the number of replicas of a request's prefix. Without a prefix, every server is a replica.
func (r *Router) replicaCount(req *requestState) int {
	if req.Prefix == 0 {
		return len(r.servers)
	}
	count := 1 + int(replicasPerBusyServer*r.prefixes.requestShare(uint64(req.Prefix))*float64(len(r.servers)))
	if r.prefixes.total < float64(len(r.servers)) { // too few requests to tell a rare prefix from a common one
		count += extraReplicas
	}
	return count
}

// cacheDistance returns the cache distance of a server for the request of the last lookup.
func (r *Router) cacheDistance(now Nanos, req *requestState, server int32) int64 {
	cached := r.affinity.cachedTokens(now, req, server)
	switch {
	case server == r.affinity.sessionReplica || cached > req.PrefixTokens:
		return sessionCached
	case cached > 0 || r.servers[server].replicaLookup == r.affinity.number:
		return prefixCached
	}
	return nothingCached
}

// recordCached records that a server is expected to cache the prompt of a request that is sent to it.
func (r *Router) recordCached(now Nanos, req *requestState, server int32) {
	if req.Prefix != 0 && req.PrefixTokens > 0 {
		r.prefixes.addHint(uint64(req.Prefix), server, req.PrefixTokens, now+cacheHintLifetime)
	}
	if req.Session != 0 {
		r.prefixes.addHint(sessionHintKey(req.Session), server, req.PromptTokens, now+cacheHintLifetime)
	}
}
