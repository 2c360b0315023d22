package policy

import "slices"

// The state of a dispatcher: requests in hand, servers, who holds which prefix. Nothing here decides.

type phase uint8

const (
	toRead phase = iota
	toWrite
	streaming
)

// noServer stands for no server at all.
const noServer = int32(-1)

type requestState struct {
	Request
	phase         phase
	used          bool
	enqueued      bool // waits in the work queue
	finished      bool // finally answered, or its client left
	attemptOut    bool // an attempt is out
	canceled      bool // its attempt was cancelled
	stateHeld     bool // a state or place is held for it
	combined      bool // its attempt both reads and answers
	mayHaveRun    bool // some attempt may have run
	givenUp       bool // given up; what is held goes first
	overShare     bool // its tenant was beyond its share when it came
	attempts      int32
	attemptServer int32 // server of the attempt that is out
	prefillServer int32 // server that holds the state
	ranOn         int32 // server of the first attempt that may have run
	avoided       [4]int32
	avoidedCount  int32
	queuedTokens  int64 // counted as queued at the prefill server
	arrivedAt     Nanos
	sentAt        Nanos // when the attempt that is out was sent
	ranSince      Nanos
	heldSince     Nanos
	reviewAt      Nanos // to be looked at again
	target        Nanos // target of this request, whole
}

func (req *requestState) avoid(server int32) {
	req.avoided[req.avoidedCount%int32(len(req.avoided))] = server
	req.avoidedCount++
}

func (req *requestState) avoids(server int32) bool {
	for i := int32(0); i < req.avoidedCount && i < int32(len(req.avoided)); i++ {
		if req.avoided[i] == server {
			return true
		}
	}
	return false
}

// requestTable keeps requests in reused slots.
type requestTable struct {
	entries []requestState
	free    []int32
	byID    map[RequestID]int32
	queue   []int32 // slots that want a decision, first come first
	head    int
}

func newRequestTable() requestTable { return requestTable{byID: make(map[RequestID]int32)} }

func (s *requestTable) add(request Request) int32 {
	var slot int32
	if n := len(s.free); n > 0 {
		slot, s.free = s.free[n-1], s.free[:n-1]
	} else {
		slot = int32(len(s.entries))
		s.entries = append(s.entries, requestState{})
	}
	s.entries[slot] = requestState{
		Request: request, used: true,
		attemptServer: noServer, prefillServer: noServer, ranOn: noServer,
	}
	s.byID[request.ID] = slot
	return slot
}

func (s *requestTable) drop(slot int32) {
	delete(s.byID, s.entries[slot].ID)
	s.entries[slot].used = false
	s.free = append(s.free, slot)
}

func (s *requestTable) find(id RequestID) (int32, *requestState) {
	if slot, ok := s.byID[id]; ok {
		return slot, &s.entries[slot]
	}
	return -1, nil
}

func (s *requestTable) enqueue(slot int32) {
	if req := &s.entries[slot]; !req.enqueued {
		req.enqueued = true
		s.queue = append(s.queue, slot)
	}
}

func (s *requestTable) peek() (int32, bool) {
	if s.head == len(s.queue) {
		s.queue, s.head = s.queue[:0], 0
		return 0, false
	}
	return s.queue[s.head], true
}

func (s *requestTable) dequeue() {
	s.entries[s.queue[s.head]].enqueued = false
	s.head++
}

type server struct {
	// What every review and every pick reads comes first: it fits one cache line.
	latencies    *sampleRing // first answers, as shares of the request's target; nil = none yet
	highLatency  float64     // high quantile of them
	ejectedUntil Nanos       // ejected until then
	startedAt    Nanos       // last known start; 0 = long ago
	fullUntil    Nanos
	outstanding  int32 // own attempts there that have not answered
	cellIndex    int32 // its place among the cells; noCell = it has none yet
	role         Role
	health       Health
	halfOpen     bool // ejection over, to be probed by one request at a time
	unreachable  bool // has not answered since it could not be reached

	id               ServerID
	zone             ZoneID
	cell             CellID
	goneInUpdate     uint64  // the news that said it is gone
	queuedTokens     int64   // own prompt tokens sent there and not yet read
	streams          int32   // own requests there as a decode server, begun or not
	lastAnswerAt     Nanos   // last answer, or first attempt since it stood idle
	longestAllowance Nanos   // longest allowance for prompt length among the attempts out
	lastLatency      float64 // the last of the latencies
	failureShare     float64 // share of recent attempts that failed
	byClass          []serverClass
	ejectionTime     Nanos // length of the last ejection
	load             LoadReport
	loadAt           Nanos
	creditStart      Nanos   // start that the slow-start grants are for
	creditedAt       Nanos   // granted up to then
	credit           float64 // attempts granted since it started
	creditSpent      float64 // of those, the ones made or lapsed
	replicaPick      uint64  // the last pick for which it was a replica of the request's prefix
}

// serverClass is how one class does at a server.
type serverClass struct {
	outstanding  int32 // own attempts that have not been answered
	lastAnswerAt Nanos // last answer, or first attempt since none was out
	ejectedUntil Nanos // requests of it are kept from the server until then ...
	ejectionTime Nanos // ... for so long
}

// attemptSent records an attempt.
func (srv *server) attemptSent(now Nanos, class ClassID) {
	b := &srv.byClass[class]
	if srv.outstanding == 0 {
		srv.lastAnswerAt = now
	}
	if b.outstanding == 0 {
		b.lastAnswerAt = now
	}
	srv.outstanding, b.outstanding = srv.outstanding+1, b.outstanding+1
}

// attemptAnswered records the answer to an attempt.
func (srv *server) attemptAnswered(now Nanos, class ClassID) {
	b := &srv.byClass[class]
	srv.lastAnswerAt, b.lastAnswerAt = now, now
	srv.outstanding, b.outstanding = srv.outstanding-1, b.outstanding-1
}

// resetHistory forgets what no longer holds once a server runs another process.
func (srv *server) resetHistory() {
	srv.failureShare, srv.halfOpen, srv.unreachable = 0, false, false
	srv.ejectedUntil, srv.ejectionTime = 0, 0
	srv.load = NoLoadReport
	srv.forgetLatencies()
	for t := range srv.byClass {
		srv.byClass[t].ejectedUntil, srv.byClass[t].ejectionTime = 0, 0
	}
}

// addLatency records the latency of a first answer.
func (srv *server) addLatency(now Nanos, latency float64) {
	if srv.latencies == nil {
		srv.latencies = new(sampleRing)
	}
	srv.latencies.add(now, latency)
}

// forgetLatencies forgets the latencies so far; the next review finds none.
func (srv *server) forgetLatencies() {
	if srv.latencies != nil {
		*srv.latencies = sampleRing{}
	}
}

// freeServerSlot gives the slot for a new server: that of one which earlier news said is gone and to which
// nothing in hand refers, else another. It guards against fleets that are replaced again and again under
// new names.
func (d *Router) freeServerSlot() int32 {
	for i := range d.servers {
		srv, at := &d.servers[i], int32(i)
		old := srv.health == Gone && srv.goneInUpdate < d.listUpdates
		if !old || srv.outstanding > 0 || srv.streams > 0 || d.serverInUse(at) {
			continue
		}
		d.prefixes.dropServer(at)
		d.clearAvoided(at)
		delete(d.byID, srv.id)
		d.leaveCell(srv)
		return at
	}
	d.servers = append(d.servers, server{})
	return int32(len(d.servers) - 1)
}

// serverInUse tells whether a request in hand has an attempt or a state at a server, or may have run there.
func (d *Router) serverInUse(server int32) bool {
	return slices.ContainsFunc(d.requests.entries, func(req requestState) bool {
		return req.used && (req.attemptServer == server || req.prefillServer == server || req.ranOn == server)
	})
}

// clearAvoided forgets that requests have failed at a server.
func (d *Router) clearAvoided(server int32) {
	for i := range d.requests.entries {
		req := &d.requests.entries[i]
		for k := range min(req.avoidedCount, int32(len(req.avoided))) {
			if req.avoided[k] == server {
				req.avoided[k] = noServer
			}
		}
	}
}

// cellKey names a cell: its number counts within its zone.
type cellKey struct {
	zone ZoneID
	cell CellID
}

// noCell stands for no cell at all.
const noCell = int32(-1)

// joinCell has a server belong to a cell. A new cell takes the place of one without any server.
func (d *Router) joinCell(srv *server, key cellKey) {
	d.leaveCell(srv)
	at, known := d.cellIndex[key]
	if !known {
		at = int32(slices.IndexFunc(d.cells, func(c cellShare) bool { return c.servers == 0 }))
		if at == noCell {
			at = int32(len(d.cells))
			d.cells = append(d.cells, cellShare{})
		} else {
			delete(d.cellIndex, d.cells[at].key())
		}
		d.cells[at] = cellShare{id: key.cell, zone: key.zone}
		d.cellIndex[key] = at
	}
	d.cells[at].servers++
	srv.zone, srv.cell, srv.cellIndex = key.zone, key.cell, at
}

// leaveCell has a server belong to no cell.
func (d *Router) leaveCell(srv *server) {
	if srv.cellIndex != noCell {
		d.cells[srv.cellIndex].servers--
		srv.cellIndex = noCell
	}
}

const ringSize = 32

// sampleRing keeps the last few samples and when they came.
type sampleRing struct {
	count  int
	times  [ringSize]Nanos
	values [ringSize]float64
}

func (r *sampleRing) add(now Nanos, x float64) {
	r.values[r.count%ringSize], r.times[r.count%ringSize] = x, now
	r.count++
}

// leastSamples are needed to tell a quantile.
const leastSamples = 3

// quantile of the figures that came since a time; 0 if they are too few to tell.
func (r *sampleRing) quantile(since Nanos, q float64) float64 {
	if r.count < leastSamples || r.times[(r.count-leastSamples)%ringSize] < since {
		return 0
	}
	var fresh [ringSize]float64
	n := 0
	for i := 0; i < min(r.count, ringSize); i++ {
		if r.times[i] >= since {
			fresh[n] = r.values[i]
			n++
		}
	}
	slices.Sort(fresh[:n])
	return fresh[int(q*float64(n-1))]
}

// summarizeLatencies takes the quantiles of the latencies since a time, of each server and of all of a role. It
// gives the servers up to the last that has enough of them: in a large fleet, hardly any has.
func (d *Router) summarizeLatencies(since Nanos) (measured []server) {
	last := 0
	for i := range d.servers {
		if srv := &d.servers[i]; srv.latencies != nil {
			if srv.highLatency = srv.latencies.quantile(since, highQuantile); srv.highLatency > 0 {
				last = i + 1
			}
		}
	}
	for role := Prefill; role < roleCount; role++ {
		d.highLatency[role] = d.latencies[role].quantile(since, highQuantile)
		d.medianLatency[role] = d.latencies[role].quantile(since, 0.5)
		d.medianHighLatency[role] = 0
		if last > 0 {
			d.medianHighLatency[role] = d.median(role, func(srv *server) float64 { return srv.highLatency })
		}
	}
	return d.servers[:last]
}

// prefixMark marks a server as holding a prefix of some length, until a time.
type prefixMark struct {
	until  Nanos
	server int32
	tokens int32
}

// prefixMarks are the servers marked as holding one prefix.
type prefixMarks [8]prefixMark

var noMarks prefixMarks

const priorRequests = 4 // weight of what is usual against what was counted for one prefix

// prefixIndex remembers which servers hold which prefix; of more than fit, the oldest mark goes. It also
// counts, over a time, how many of the requests share one.
type prefixIndex struct {
	marks        map[uint64]prefixMarks
	requests     map[uint64]float64
	total        float64
	sharingPairs float64 // pairs of requests that share one ...
	pairs        float64 // ... among all pairs
	sweptAt      Nanos   // marks that have expired were dropped last
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{marks: make(map[uint64]prefixMarks), requests: make(map[uint64]float64)}
}

// count records that a request has a prefix.
func (b *prefixIndex) count(key uint64) {
	b.sharingPairs, b.pairs = b.sharingPairs+b.requests[key], b.pairs+b.total
	b.requests[key]++
	b.total++
}

// share is the part of all requests that share a prefix with one that is counted, as far as the others
// tell. Who has seen few requests goes by how often any two share one: where prefixes are many, one seen
// for the first time is rare.
func (b *prefixIndex) share(key uint64) float64 {
	usual := b.sharingPairs / max(b.pairs, 1)
	return (max(b.requests[key]-1, 0) + priorRequests*usual) / (max(b.total-1, 0) + priorRequests)
}

// decay lets the counts decay; those that have become small are dropped.
func (b *prefixIndex) decay(keep float64) {
	b.total, b.sharingPairs, b.pairs = b.total*keep, b.sharingPairs*keep*keep, b.pairs*keep*keep
	for key := range b.requests {
		if b.requests[key] *= keep; b.requests[key] < 1.0/16 {
			delete(b.requests, key)
		}
	}
}

func (b *prefixIndex) mark(key uint64, server int32, tokens int64, until Nanos) {
	list := b.marks[key]
	at := 0
	for i, e := range list {
		if e.until > 0 && e.server == server {
			at = i
			break
		}
		if e.until < list[at].until {
			at = i
		}
	}
	list[at] = prefixMark{until, server, int32(tokens)}
	b.marks[key] = list
}

// tokensAt is how many tokens a server is marked as holding.
func (marks *prefixMarks) tokensAt(now Nanos, server int32) int64 {
	for i := range marks {
		if mark := &marks[i]; mark.server == server && mark.until > now {
			return int64(mark.tokens)
		}
	}
	return 0
}

// dropServer forgets the marks of a server that has lost its cache.
func (b *prefixIndex) dropServer(server int32) {
	for key, list := range b.marks {
		for i := range list {
			if list[i].server == server {
				list[i] = prefixMark{}
			}
		}
		b.marks[key] = list
	}
}

// sweepInterval is how long after another marks are swept: what has expired counts for nothing meanwhile.
const sweepInterval = markLifetime / 16

// dropExpired forgets prefixes that no server holds any more.
func (b *prefixIndex) dropExpired(now Nanos) {
	if now < b.sweptAt+sweepInterval {
		return
	}
	b.sweptAt = now
	for key, list := range b.marks {
		live := false
		for _, e := range list {
			live = live || e.until > now
		}
		if !live {
			delete(b.marks, key)
		}
	}
}

// mixBits spreads the bits of a number, the same at every dispatcher (the finisher of splitmix64).
func mixBits(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// hashFraction is a number in [0, 1) that a key gives, the same at every dispatcher.
func hashFraction(key uint64) float64 { return float64(mixBits(key+1)>>11) / (1 << 53) }

// pcg is a permuted congruential generator (PCG-XSH-RR 64/32).
type pcg struct{ state uint64 }

func (c *pcg) intn(n int32) int32 {
	old := c.state
	c.state = old*6364136223846793005 + 1442695040888963407
	x := uint32(((old >> 18) ^ old) >> 27)
	rot := uint32(old >> 59)
	x = x>>rot | x<<((32-rot)&31)
	return int32(uint64(x) * uint64(n) >> 32)
}

// float is a number in [0, 1).
func (c *pcg) float() float64 { return float64(c.intn(1<<30)) / (1 << 30) }

// Router decides for one dispatcher. It shares nothing with others. Each of its parts keeps the few
// settings that it works by.
type Router struct {
	requestPart
	serverPart
	limitPart
	loadPart
	schedulePart

	rng      pcg
	logLines []string // lines for the log
	scratch  []float64
}

// concurrencyLimit bounds the attempts that are outstanding at once; a limit of 0 means none yet.
type concurrencyLimit struct {
	limit       float64
	outstanding int32
	lastSentAt  Nanos // the last that went out
}

func (w *concurrencyLimit) attemptSent(now Nanos) { w.outstanding, w.lastSentAt = w.outstanding+1, now }

// cellShare is a set of servers on one link: its share of all servers, and how its prefill and decode
// servers match.
type cellShare struct {
	id            CellID
	zone          ZoneID
	servers       int32 // that belong to it, gone or not
	share         [roleCount]float64
	decodeShare   float64          // its part of the servers that answer
	localCapacity float64          // how much of what its prefill servers read its own decode servers can take
	link          concurrencyLimit // own pulls from its prefill servers to other cells
	zoneCapacity  float64          // how much of the rest its zone can
	spareCapacity [2]float64       // share of its decode servers left for others: of its zone, of other zones
}

func (c *cellShare) key() cellKey { return cellKey{c.zone, c.id} }

// zoneShare is the decode capacity that cells of a zone miss, and that cells of it have to spare.
type zoneShare struct {
	missing, spare float64
}

// requestPart is the requests in hand and what is owed for them.
type requestPart struct {
	classes        []Class
	shortestTarget Nanos // of all classes, whatever their order: how fast news of the pool goes stale
	tenants        []Tenant
	answering      ResponseSettings
	requests       requestTable
	shares         []tokenBucket // of the tenants
}

// serverPart is the servers, what they hold and how they do.
type serverPart struct {
	self              Identity
	roles             []Role
	servers           []server
	byID              map[ServerID]int32
	listUpdates       uint64 // of the list, counted
	prefixes          prefixIndex
	latencies         [roleCount]sampleRing // first answers of late, as shares of the target
	highLatency       [roleCount]float64    // high quantile of them
	medianHighLatency [roleCount]float64    // median over servers of the high quantile of each
	medianLatency     [roleCount]float64    // and their median
	answersPerWindow  [roleCount]float64    // what a warm server answers for this dispatcher over a window
	warmAnswers       [roleCount]float64    // answers of warm servers of late ...
	warmWindows       [roleCount]float64    // ... and how many windows warm servers served in that time
	cells             []cellShare
	cellIndex         map[cellKey]int32 // their places
	zones             []zoneShare
	serving           [roleCount]float64 // servers in service ...
	warming           [roleCount]float64 // ... and those of them that warm up
	warm              [roleCount]float64 // servers that are listed as serving and don't warm up, ejected or not
	countsStale       bool               // a server has changed since these were counted
	countsUntil       Nanos              // the first ejection or slow start among them ends
	replicas          []replica          // servers likely to hold the prefix of the request in hand
	replicaPick       uint64             // the pick that they are for
	sessionReplica    int32              // the one of them that its session gives
	prefixMarks       prefixMarks        // marks of that request's prefix ...
	sessionMarks      prefixMarks        // ... and of its session
	transferLatencies [2]sampleRing      // first answers of decode servers, as shares of expected: near, far
}

// limitPart is what bounds attempts and what is held.
type limitPart struct {
	coldStart     SlowStart
	attemptLimits AttemptLimits
	releaseTime   Nanos
}

// loadPart is how much is in hand and how much the pools bear.
type loadPart struct {
	active        int32 // requests sent and not over
	requestLimit  float64
	lateShare     float64                     // share of late ones among the last few answers
	roleLimits    [roleCount]concurrencyLimit // own attempts unanswered at servers of a role
	limitReviewAt Nanos
	answered      bool // an answer came since then
}

// schedulePart is when to look again, and at what.
type schedulePart struct {
	listing        Discovery
	reviewInterval Nanos // longest time between two looks at everything in hand
	reviewedAt     Nanos
	reviewAt       Nanos // next look at everything in hand
	wakeAt         Nanos // the Wake that is out; Never = none
	watching       bool
	watchAt        Nanos
}

// median of a figure over the servers of a role that have one.
func (d *Router) median(role Role, figure func(srv *server) float64) float64 {
	xs := d.scratch[:0]
	for i := range d.servers {
		if srv := &d.servers[i]; srv.role == role && srv.health == Serving {
			if x := figure(srv); x > 0 {
				xs = append(xs, x)
			}
		}
	}
	d.scratch = xs
	if len(xs) == 0 {
		return 0
	}
	slices.Sort(xs)
	return xs[len(xs)/2]
}

// tokenBucket tells whether a tenant asks for more than its share; it fills at that rate, up to one second's
// worth.
type tokenBucket struct {
	level float64
	at    Nanos
}

// take tells whether one more is beyond the share.
func (b *tokenBucket) take(now Nanos, perSecond float64) bool {
	b.level = min(b.level+float64(now-b.at)/1e9*perSecond, max(perSecond, 1))
	b.at = now
	if b.level < 1 {
		return true
	}
	b.level--
	return false
}

// countServers counts the servers in service: of all, by role; by cell and zone, as parts of all. It tells
// whether there was anything to count anew: reviews are many, fleets large and changes rare.
func (d *Router) countServers(now Nanos) bool {
	if !d.countsStale && now < d.countsUntil {
		return false
	}
	d.countsStale, d.countsUntil = false, Never
	d.serving, d.warming, d.warm = [roleCount]float64{}, [roleCount]float64{}, [roleCount]float64{}
	for i := range d.cells {
		d.cells[i].share = [roleCount]float64{}
	}
	for i := range d.servers {
		if srv := &d.servers[i]; srv.health == Serving {
			d.countServer(now, srv)
		}
	}
	d.countCells()
	return true
}

// countServer counts a server that is listed as serving.
func (d *Router) countServer(now Nanos, srv *server) {
	warming := d.inSlowStart(now, srv)
	if warming {
		d.countsUntil = min(d.countsUntil, srv.startedAt+d.coldStart.WarmupTime)
	} else {
		d.warm[srv.role]++
	}
	if now < srv.ejectedUntil {
		d.countsUntil = min(d.countsUntil, srv.ejectedUntil)
		return
	}
	d.serving[srv.role]++
	if warming {
		d.warming[srv.role]++
	}
	d.cells[srv.cellIndex].share[srv.role]++
}

// countCells makes the counts of the cells parts of all, and adds up what the cells of a zone miss and spare.
func (d *Router) countCells() {
	for i := range d.zones {
		d.zones[i] = zoneShare{}
	}
	for i := range d.cells {
		c := &d.cells[i]
		c.decodeShare = (c.share[Decode] + c.share[Mixed]) / max(d.serving[Decode]+d.serving[Mixed], 1)
		c.share[Prefill] /= max(d.serving[Prefill], 1)
		for int(c.zone) >= len(d.zones) {
			d.zones = append(d.zones, zoneShare{})
		}
		d.zones[c.zone].missing += max(0, c.share[Prefill]-c.decodeShare)
		d.zones[c.zone].spare += max(0, c.decodeShare-c.share[Prefill])
	}
}

// measureThroughput finds how many answers a warm server of each role gives this dispatcher over a window,
// averaged over some time. The figure stays while no server is warm.
func (d *Router) measureThroughput(now, before, memory Nanos) {
	if d.coldStart.OverloadWindow <= 0 {
		return
	}
	keep := max(0, 1-float64(now-before)/float64(memory))
	for role := range d.answersPerWindow {
		d.warmWindows[role] += d.warm[role] * (float64(now-before) / float64(d.coldStart.OverloadWindow))
		if d.warmWindows[role] > 0 {
			d.answersPerWindow[role] = d.warmAnswers[role] / d.warmWindows[role]
		}
		d.warmAnswers[role], d.warmWindows[role] = d.warmAnswers[role]*keep, d.warmWindows[role]*keep
	}
}

// loadMarks looks up who holds what of a request's prompt, for expectedCached.
func (d *Router) loadMarks(req *requestState) {
	d.prefixMarks, d.sessionMarks = noMarks, noMarks
	if req.Prefix != 0 {
		d.prefixMarks = d.prefixes.marks[uint64(req.Prefix)]
	}
	if req.Session != 0 {
		d.sessionMarks = d.prefixes.marks[^uint64(req.Session)]
	}
}

// expectedCached is how many tokens of a request's prompt a server is expected to have cached. It goes by the
// marks that were loaded for the request.
func (d *Router) expectedCached(now Nanos, req *requestState, server int32) int64 {
	shared := min(d.prefixMarks.tokensAt(now, server), req.PrefixTokens)
	return min(max(shared, d.sessionMarks.tokensAt(now, server)), req.PromptTokens)
}

// replica is a server in the order in which the replicas of a prefix are taken: the highest hash first.
type replica struct {
	hash   uint64
	server int32
}

// rank orders servers for a pick: the least wins, the first figure counting most.
type rank [3]int64

// pickLowestRank picks the server of lowest rank among those admitted; ties are broken at random.
func (d *Router) pickLowestRank(of func(i int32, srv *server) (rank, bool)) int32 {
	best, ties, low := noServer, int32(0), rank{}
	for i := range d.servers {
		order, ok := of(int32(i), &d.servers[i])
		if !ok {
			continue
		}
		comparison := slices.Compare(order[:], low[:])
		if best == noServer || comparison < 0 {
			best, ties, low = int32(i), 1, order
		} else if comparison == 0 {
			if ties++; d.rng.intn(ties) == 0 {
				best = int32(i)
			}
		}
	}
	return best
}
