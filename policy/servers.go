package policy

// noServer is the index of no server.
const noServer = int32(-1)

// server is what is known about one server.
type server struct {
	// The fields that every review and every selection read come first: they fit into one cache line.
	latencies    *sampleRing // of first answers, as shares of the latency target; nil = none yet
	highLatency  float64     // high quantile of latencies
	ejectedUntil Nanos
	startedAt    Nanos // last known start; 0 = long ago
	fullUntil    Nanos // after a rejection
	outstanding  int32 // attempts of this dispatcher that have not been answered
	cellIndex    int32 // index of its cell; noCell = none yet
	role         Role
	health       Health
	halfOpen     bool // its ejection is over or ends soon: it is probed by one request at a time
	unreachable  bool // has not answered since no connection could be established

	id                 ServerID
	zone               ZoneID
	cell               CellID
	goneInUpdate       uint64  // number of the list update that said it is gone
	queuedTokens       int64   // prompt tokens sent by this dispatcher and not read yet
	streams            int32   // requests of this dispatcher that it answers or is to answer
	lastAnswerAt       Nanos   // last answer, or first attempt since nothing was outstanding
	maxPromptAllowance Nanos   // longest part of a latency target for the prompt's length, of outstanding attempts
	lastLatency        float64 // latency of the last first answer
	failureShare       float64 // moving average of the share of attempts that failed
	byClass            []serverClass
	ejectionTime       Nanos // length of the last ejection
	load               LoadReport
	loadReportedAt     Nanos
	creditStartedAt    Nanos   // start of the server for which slow-start credit is counted
	creditedAt         Nanos   // credit has accrued until then
	credit             float64 // attempts allowed since the server's start
	creditSpent        float64 // attempts made or lapsed since the server's start
	replicaLookup      uint64  // number of the last lookup in which it was a replica of the request's prefix
}

// serverClass is what is known about one class of requests at a server.
type serverClass struct {
	outstanding  int32 // attempts that have not been answered
	lastAnswerAt Nanos // last answer, or first attempt since nothing was outstanding
	ejectedUntil Nanos // requests of the class are not sent to the server until then
	ejectionTime Nanos // length of the last ejection
}

// attemptSent records that an attempt was sent.
func (srv *server) attemptSent(now Nanos, class ClassID) {
	c := &srv.byClass[class]
	if srv.outstanding == 0 {
		srv.lastAnswerAt = now
	}
	if c.outstanding == 0 {
		c.lastAnswerAt = now
	}
	srv.outstanding++
	c.outstanding++
}

// attemptAnswered records the first response to an attempt.
func (srv *server) attemptAnswered(now Nanos, class ClassID) {
	c := &srv.byClass[class]
	srv.lastAnswerAt, c.lastAnswerAt = now, now
	srv.outstanding--
	c.outstanding--
}

// resetHistory forgets what does not apply to a new process of the server.
func (srv *server) resetHistory() {
	srv.failureShare, srv.halfOpen, srv.unreachable = 0, false, false
	srv.ejectedUntil, srv.ejectionTime = 0, 0
	srv.load = NoLoadReport
	srv.forgetLatencies()
	for i := range srv.byClass {
		srv.byClass[i].ejectedUntil, srv.byClass[i].ejectionTime = 0, 0
	}
}

// addLatency records the latency of a first answer.
func (srv *server) addLatency(now Nanos, latency float64) {
	if srv.latencies == nil {
		srv.latencies = new(sampleRing)
	}
	srv.latencies.add(now, latency)
}

// forgetLatencies forgets the recorded latencies. highLatency stays until the next review.
func (srv *server) forgetLatencies() {
	if srv.latencies != nil {
		*srv.latencies = sampleRing{}
	}
}

// streamCount returns the server's streams as a figure for lowestEligible and rank.
func streamCount(srv *server) int64 { return int64(srv.streams) }

// serverCounts are the numbers of servers by role.
type serverCounts struct {
	serving    [roleCount]float64 // in service: listed as serving and not ejected
	warming    [roleCount]float64 // those in service that are in slow start
	warm       [roleCount]float64 // listed as serving and not in slow start, ejected or not
	stale      bool               // a server has changed since they were counted
	validUntil Nanos              // when the first counted ejection or slow start ends
}

// countServers counts the servers if something may have changed, and reports whether it did. Reviews are many, fleets
// large and changes rare.
func (r *Router) countServers(now Nanos) bool {
	if !r.counts.stale && now < r.counts.validUntil {
		return false
	}
	r.counts = serverCounts{validUntil: Never}
	for i := range r.locality.cells {
		r.locality.cells[i].share = [roleCount]float64{}
	}
	for i := range r.servers {
		if srv := &r.servers[i]; srv.health == Serving {
			r.countServer(now, srv)
		}
	}
	r.locality.normalize(&r.counts)
	return true
}

// countServer counts a server that is listed as serving.
func (r *Router) countServer(now Nanos, srv *server) {
	warming := r.inSlowStart(now, srv)
	if warming {
		r.counts.validUntil = min(r.counts.validUntil, srv.startedAt+r.config.SlowStart.WarmupTime)
	} else {
		r.counts.warm[srv.role]++
	}
	if now < srv.ejectedUntil {
		r.counts.validUntil = min(r.counts.validUntil, srv.ejectedUntil)
		return
	}
	r.counts.serving[srv.role]++
	if warming {
		r.counts.warming[srv.role]++
	}
	r.locality.cells[srv.cellIndex].share[srv.role]++
}
