package policy

// noServer is an index that stands for no server.
const noServer = int32(-1)

// server holds what the router knows about one server.
type server struct {
	// The fields that every review and every selection read come first, within one cache line.
	latencies    *sampleRing // of first responses, as multiples of the service time; nil = none yet
	highLatency  float64     // high quantile of latencies
	ejectedUntil Nanos
	startedAt    Nanos // last known start; 0 = long ago
	fullUntil    Nanos // no new attempts until then, after a rejection
	outstanding  int32 // attempts of this dispatcher without a response yet
	cellIndex    int32 // index of its cell; noCell = none yet
	role         Role
	health       Health
	halfOpen     bool // after its ejection, one request at a time probes it until one succeeds
	unreachable  bool // no connection could be established, and no attempt has succeeded since

	id              ServerID
	zone            ZoneID
	cell            CellID
	goneInUpdate    uint64  // number of the list update that reported it gone
	queuedTokens    int64   // prompt tokens sent by this dispatcher and not processed yet
	streams         int32   // requests of this dispatcher whose answers it generates or will generate
	lastResponseAt  Nanos   // last response, or last attempt sent while none was outstanding
	longestWork     Nanos   // longest service time among the outstanding attempts
	lastQueued      bool    // the last attempt with a successful first response has queued
	failureShare    float64 // moving average of the share of attempts that failed
	byClass         []serverClass
	ejectionTime    Nanos // duration of the last ejection
	load            LoadReport
	loadReportedAt  Nanos
	creditStartedAt Nanos   // startedAt when the slow-start credit was reset
	creditedAt      Nanos   // time up to which credit has accrued
	credit          float64 // attempts allowed since the credit was reset
	creditSpent     float64 // attempts sent, and credit lapsed, since then
	replicaLookup   uint64  // number of the last affinityLookup in which it was a replica
}

// serverClass holds what the router knows about one class of requests at a server.
type serverClass struct {
	outstanding    int32 // attempts without a response yet
	lastResponseAt Nanos // last response, or last attempt sent while none was outstanding
	ejectedUntil   Nanos // requests of the class are not sent to the server until then
	ejectionTime   Nanos // duration of the last ejection
}

// attemptSent records that an attempt was sent.
func (srv *server) attemptSent(now Nanos, class ClassID) {
	c := &srv.byClass[class]
	if srv.outstanding == 0 {
		srv.lastResponseAt = now
	}
	if c.outstanding == 0 {
		c.lastResponseAt = now
	}
	srv.outstanding++
	c.outstanding++
}

// firstResponseReceived records the first response to an attempt.
func (srv *server) firstResponseReceived(now Nanos, class ClassID) {
	c := &srv.byClass[class]
	srv.lastResponseAt, c.lastResponseAt = now, now
	srv.outstanding--
	c.outstanding--
}

// resetHistory clears what does not apply to a new process of the server.
func (srv *server) resetHistory() {
	srv.failureShare, srv.halfOpen, srv.unreachable = 0, false, false
	srv.ejectedUntil, srv.ejectionTime = 0, 0
	srv.load = NoLoadReport
	srv.forgetLatencies()
	for i := range srv.byClass {
		srv.byClass[i].ejectedUntil, srv.byClass[i].ejectionTime = 0, 0
	}
}

// addLatency records the latency of a first response.
func (srv *server) addLatency(now Nanos, latency float64) {
	if srv.latencies == nil {
		srv.latencies = new(sampleRing)
	}
	srv.latencies.add(now, latency)
}

// forgetLatencies clears the recorded latencies. highLatency stays until the next review.
func (srv *server) forgetLatencies() {
	if srv.latencies != nil {
		*srv.latencies = sampleRing{}
	}
}

// streamCount returns the number of streams of a server, as a metric for lowestEligible and rank.
func streamCount(srv *server) int64 { return int64(srv.streams) }

// serverCounts are the numbers of servers by role.
type serverCounts struct {
	listed     [roleCount]float64 // listed as serving, ejected or not
	serving    [roleCount]float64 // listed as serving and not ejected
	warming    [roleCount]float64 // those of serving that are in slow start
	warm       [roleCount]float64 // listed as serving and not in slow start, ejected or not
	stale      bool               // a server has changed since the last count
	validUntil Nanos              // when the first of the counted ejections and slow starts ends
}

// countServers counts the servers if the counts may have changed, and reports whether it did. It avoids needless
// counting because reviews are frequent, fleets large and changes rare.
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
	r.counts.listed[srv.role]++
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
