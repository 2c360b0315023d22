package policy

import (
	"cmp"
	"slices"
)

const (
	// affinityYield is the multiple of the shortest queue and the prompt at which affinity yields (docs/design.md).
	affinityYield = 2
	// replicaSpread is the number of replicas of a prefix for each server that its requests would keep busy.
	replicaSpread = 1.5
	// extraReplicas are added while fewer requests than servers were seen. They prevent hot spots where a few prefixes
	// make most of the load and each dispatcher has seen too little of it to tell.
	extraReplicas = 3
)

// The cache distances: how much of a request's prompt a server is expected to have cached. Less is better.
const (
	holdsSession int64 = iota // the prompt of the request's session
	holdsPrefix               // the prefix that the request shares with others
	holdsNothing
)

// replica is a server that may hold a prefix. The servers with the highest hashes are the prefix's replicas.
type replica struct {
	hash   uint64
	server int32
}

// affinityLookup is the result of findReplicas for one request.
type affinityLookup struct {
	number         uint64 // counts the lookups; server.replicaLookup refers to it
	replicas       []replica
	sessionReplica int32       // the replica to which the request's session hashes; noServer = none
	prefixMarks    prefixMarks // of the request's prefix
	sessionMarks   prefixMarks // of the request's session
}

// loadMarks looks up which servers have cached what of a request's prompt.
func (a *affinityLookup) loadMarks(index *prefixIndex, req *requestState) {
	a.prefixMarks, a.sessionMarks = prefixMarks{}, prefixMarks{}
	if req.Prefix != 0 {
		a.prefixMarks = index.marks[uint64(req.Prefix)]
	}
	if req.Session != 0 {
		a.sessionMarks = index.marks[sessionMarkKey(req.Session)]
	}
}

// cachedTokens returns how many tokens of a request's prompt a server is expected to have cached, by the marks that
// were loaded for the request.
func (a *affinityLookup) cachedTokens(now Nanos, req *requestState, server int32) int64 {
	shared := min(a.prefixMarks.tokensAt(now, server), req.PrefixTokens)
	return min(max(shared, a.sessionMarks.tokensAt(now, server)), req.PromptTokens)
}

// findReplicas finds the servers of a role that are likely to hold a request's prefix, whichever dispatcher sent it
// there, by rendezvous hashing of prefix and server; and of those the one to which the session hashes, because the
// turns of a session come to many dispatchers, none of which could remember it. A prefix has more replicas the more
// requests share it. Servers with a queue of fullQueue tokens or more are left out, so that the next in the same order
// takes over at every dispatcher that knows of the queue.
func (r *Router) findReplicas(now Nanos, req *requestState, role Role, pass selectionPass, fullQueue int64) {
	lookup := &r.affinity
	lookup.replicas, lookup.sessionReplica = lookup.replicas[:0], noServer
	lookup.number++
	lookup.loadMarks(&r.prefixes, req)
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

// findSessionReplica marks the servers of the replicas and finds the one to which a session hashes. Replicas in the
// dispatcher's own zone take precedence.
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

// replicaCount returns how many replicas a request's prefix has. Without a prefix any server is one.
func (r *Router) replicaCount(req *requestState) int {
	if req.Prefix == 0 {
		return len(r.servers)
	}
	count := 1 + int(replicaSpread*r.prefixes.requestShare(uint64(req.Prefix))*float64(len(r.servers)))
	if r.prefixes.total < float64(len(r.servers)) { // too few to tell a rare prefix from one that all others send
		count += extraReplicas
	}
	return count
}

// cacheDistance returns the cache distance of a server for the request of the last lookup.
func (r *Router) cacheDistance(now Nanos, req *requestState, server int32) int64 {
	cached := r.affinity.cachedTokens(now, req, server)
	switch {
	case server == r.affinity.sessionReplica || cached > req.PrefixTokens:
		return holdsSession
	case cached > 0 || r.servers[server].replicaLookup == r.affinity.number:
		return holdsPrefix
	}
	return holdsNothing
}

// markCached records that a server will have cached the prompt of a request that is sent to it.
func (r *Router) markCached(now Nanos, req *requestState, server int32) {
	if req.Prefix != 0 && req.PrefixTokens > 0 {
		r.prefixes.mark(uint64(req.Prefix), server, req.PrefixTokens, now+prefixMarkLifetime)
	}
	if req.Session != 0 {
		r.prefixes.mark(sessionMarkKey(req.Session), server, req.PromptTokens, now+prefixMarkLifetime)
	}
}
