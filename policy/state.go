package policy

import "slices"

// What is known is kept here: requests in hand, servers, who holds which prefix. Nothing here decides.

type phase uint8

const (
	toRead phase = iota
	toWrite
	streaming
)

// noHost stands for no server at all.
const noHost = int32(-1)

type job struct {
	Request
	phase    phase
	used     bool
	queued   bool // waits in the work queue
	over     bool // finally answered, or its client left
	out      bool // an attempt is out
	withdrew bool // its attempt was cancelled
	held     bool // a state or place is held for it
	unsplit  bool // its attempt both reads and answers
	mayRun   bool // some attempt may have run
	doomed   bool // given up; what is held goes first
	beyond   bool // its tenant was beyond its share when it came
	launches int32
	at       int32 // server of the attempt that is out
	reader   int32 // server that holds the state
	ranAt    int32 // server of the first attempt that may have run
	shunned  [4]int32
	nshunned int32
	tokens   int64 // counted as queued at the prefill server
	born     Nanos
	sent     Nanos // when the attempt that is out was sent
	ranSince Nanos
	heldFrom Nanos
	due      Nanos // to be looked at again
	expected Nanos // target of this request, whole
}

func (j *job) shun(h int32) {
	j.shunned[j.nshunned%int32(len(j.shunned))] = h
	j.nshunned++
}

func (j *job) shuns(h int32) bool {
	for i := int32(0); i < j.nshunned && i < int32(len(j.shunned)); i++ {
		if j.shunned[i] == h {
			return true
		}
	}
	return false
}

// slab keeps requests in reused places.
type slab struct {
	jobs []job
	free []int32
	byID map[RequestID]int32
	work []int32 // slots that want a decision, first come first
	head int
}

func newSlab() slab { return slab{byID: make(map[RequestID]int32)} }

func (s *slab) add(given Request) int32 {
	var slot int32
	if n := len(s.free); n > 0 {
		slot, s.free = s.free[n-1], s.free[:n-1]
	} else {
		slot = int32(len(s.jobs))
		s.jobs = append(s.jobs, job{})
	}
	s.jobs[slot] = job{Request: given, used: true, at: noHost, reader: noHost, ranAt: noHost}
	s.byID[given.ID] = slot
	return slot
}

func (s *slab) drop(slot int32) {
	delete(s.byID, s.jobs[slot].ID)
	s.jobs[slot].used = false
	s.free = append(s.free, slot)
}

func (s *slab) find(id RequestID) (int32, *job) {
	if slot, ok := s.byID[id]; ok {
		return slot, &s.jobs[slot]
	}
	return -1, nil
}

func (s *slab) enqueue(slot int32) {
	if j := &s.jobs[slot]; !j.queued {
		j.queued = true
		s.work = append(s.work, slot)
	}
}

func (s *slab) peek() (int32, bool) {
	if s.head == len(s.work) {
		s.work, s.head = s.work[:0], 0
		return 0, false
	}
	return s.work[s.head], true
}

func (s *slab) dequeue() {
	s.jobs[s.work[s.head]].queued = false
	s.head++
}

type server struct {
	id       ServerID
	zone     ZoneID
	cell     CellID
	at       int32 // its place among the cells
	role     Role
	health   Health
	goneIn   uint64  // the news that said it is gone
	launched Nanos   // last known start; 0 = long ago
	queued   int64   // own prompt tokens sent there and not yet read
	out      int32   // own attempts there that have not answered
	streams  int32   // own requests there as a decode server, begun or not
	moved    Nanos   // last answer, or first attempt since it stood idle
	longest  Nanos   // longest allowance for prompt length among the attempts out
	answers  ring    // first answers, as shares of the request's target
	high     float64 // high quantile of them
	last     float64 // the last of them
	doubt    float64 // share of recent attempts that failed
	aside    Nanos   // ejected until then
	by       []trackAt
	spell    Nanos // length of the last ejection aside
	trial    bool  // back from aside, not yet proven
	downed   bool  // has not answered since it could not be reached
	fullTill Nanos
	load     Load
	loadAt   Nanos
	grantFor Nanos   // start that the slow-start grants are for
	grantAt  Nanos   // granted up to then
	granted  float64 // attempts granted since it started
	spent    float64 // of those, the ones made or lapsed
}

// trackAt is how one class does at a server.
type trackAt struct {
	out   int32 // own attempts that have not been answered
	moved Nanos // last answer, or first attempt since none was out
	quiet Nanos // requests of it are kept from the server until then ...
	spell Nanos // ... for so long
}

// took takes down an attempt, gave its answer.
func (h *server) took(now Nanos, track ClassID) {
	b := &h.by[track]
	if h.out == 0 {
		h.moved = now
	}
	if b.out == 0 {
		b.moved = now
	}
	h.out, b.out = h.out+1, b.out+1
}

func (h *server) gave(now Nanos, track ClassID) {
	b := &h.by[track]
	h.moved, b.moved = now, now
	h.out, b.out = h.out-1, b.out-1
}

// restarted forgets what no longer holds once a server's process is another.
func (h *server) restarted() {
	h.doubt, h.aside, h.spell, h.trial, h.downed, h.load = 0, 0, 0, false, false, NoLoad
	h.answers = ring{}
	for t := range h.by {
		h.by[t].quiet, h.by[t].spell = 0, 0
	}
}

// vacant gives the place for a new server: that of one which earlier news said is gone and to which
// nothing in hand refers, else another. It guards against fleets that are replaced again and again under
// new names.
func (d *Dispatcher) vacant() int32 {
	for i := range d.hosts {
		h, at := &d.hosts[i], int32(i)
		if h.health != Gone || h.goneIn >= d.news || h.out > 0 || h.streams > 0 || d.refersTo(at) {
			continue
		}
		d.holds.forget(at)
		d.unshun(at)
		delete(d.byID, h.id)
		return at
	}
	d.hosts = append(d.hosts, server{})
	return int32(len(d.hosts) - 1)
}

// refersTo tells whether a request in hand has an attempt or a state at a server, or may have run there.
func (d *Dispatcher) refersTo(at int32) bool {
	return slices.ContainsFunc(d.jobs.jobs, func(j job) bool {
		return j.used && (j.at == at || j.reader == at || j.ranAt == at)
	})
}

// unshun forgets that requests have failed at a server.
func (d *Dispatcher) unshun(at int32) {
	for i := range d.jobs.jobs {
		j := &d.jobs.jobs[i]
		for k := range min(j.nshunned, int32(len(j.shunned))) {
			if j.shunned[k] == at {
				j.shunned[k] = noHost
			}
		}
	}
}

// cellOf gives the place of a cell, a new one that of a cell without any server.
func (d *Dispatcher) cellOf(zone ZoneID, cell CellID) int32 {
	free := noHost
	for i := range d.cells {
		if d.cells[i].id == cell && d.cells[i].zone == zone {
			return int32(i)
		}
		empty := func(h server) bool { return h.at == int32(i) }
		if free == noHost && !slices.ContainsFunc(d.hosts, empty) {
			free = int32(i)
		}
	}
	if free == noHost {
		free = int32(len(d.cells))
		d.cells = append(d.cells, cellPart{})
	}
	d.cells[free] = cellPart{id: cell, zone: zone}
	return free
}

const ringSize = 32

// ring keeps the last few figures and when they came.
type ring struct {
	xs [ringSize]float64
	at [ringSize]Nanos
	n  int
}

func (r *ring) add(now Nanos, x float64) {
	r.xs[r.n%ringSize], r.at[r.n%ringSize] = x, now
	r.n++
}

// quantile of the figures that came since a time; 0 if they are too few to tell.
func (r *ring) quantile(since Nanos, q float64) float64 {
	var fresh [ringSize]float64
	n := 0
	for i := 0; i < min(r.n, ringSize); i++ {
		if r.at[i] >= since {
			fresh[n] = r.xs[i]
			n++
		}
	}
	if n < 3 {
		return 0
	}
	slices.Sort(fresh[:n])
	return fresh[int(q*float64(n-1))]
}

// holder marks a server as holding a prefix of some length, until a time.
type holder struct {
	until  Nanos
	host   int32
	tokens int32
}

const fewJobs = 4 // so many others weigh as much as what is usual

// prefixes remembers which servers hold which prefix; of more than fit, the oldest mark goes. It also
// counts, over a time, how many of the requests share one.
type beginnings struct {
	by   map[uint64][8]holder
	seen map[uint64]float64
	all  float64
	twos float64 // pairs of requests that share one ...
	both float64 // ... among all pairs
}

func newBeginnings() beginnings {
	return beginnings{by: make(map[uint64][8]holder), seen: make(map[uint64]float64)}
}

// count takes down that a request shares a prefix.
func (b *beginnings) count(key uint64) {
	b.twos, b.both = b.twos+b.seen[key], b.both+b.all
	b.seen[key]++
	b.all++
}

// share is the part of all requests that share a prefix with one that is counted, as far as the others
// tell. Who has seen few requests goes by how often any two share one: where prefixes are many, one seen
// for the first time is rare.
func (b *beginnings) share(key uint64) float64 {
	usual := b.twos / max(b.both, 1)
	return (max(b.seen[key]-1, 0) + fewJobs*usual) / (max(b.all-1, 0) + fewJobs)
}

// fade lets counts fade; what has faded to little is dropped.
func (b *beginnings) fade(keep float64) {
	b.all, b.twos, b.both = b.all*keep, b.twos*keep*keep, b.both*keep*keep
	for key := range b.seen {
		if b.seen[key] *= keep; b.seen[key] < 1.0/16 {
			delete(b.seen, key)
		}
	}
}

func (b *beginnings) mark(key uint64, h int32, tokens int64, until Nanos) {
	list := b.by[key]
	at := 0
	for i, e := range list {
		if e.until > 0 && e.host == h {
			at = i
			break
		}
		if e.until < list[at].until {
			at = i
		}
	}
	list[at] = holder{until, h, int32(tokens)}
	b.by[key] = list
}

func (b *beginnings) held(now Nanos, key uint64, h int32) int64 {
	for _, e := range b.by[key] {
		if e.until > now && e.host == h {
			return int64(e.tokens)
		}
	}
	return 0
}

// forget drops a server that has lost what it kept.
func (b *beginnings) forget(h int32) {
	for key, list := range b.by {
		for i := range list {
			if list[i].host == h {
				list[i] = holder{}
			}
		}
		b.by[key] = list
	}
}

// sweep drops prefixes that nobody holds any more.
func (b *beginnings) sweep(now Nanos) {
	for key, list := range b.by {
		live := false
		for _, e := range list {
			live = live || e.until > now
		}
		if !live {
			delete(b.by, key)
		}
	}
}

// mix spreads the bits of a number, the same at every dispatcher (the finisher of splitmix64).
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// chanceOf is a number in [0, 1) that a key gives, the same at every dispatcher.
func chanceOf(key uint64) float64 { return float64(mix(key+1)>>11) / (1 << 53) }

// chance is a permuted congruential generator (PCG-XSH-RR 64/32).
type chance struct{ state uint64 }

func (c *chance) below(n int32) int32 {
	old := c.state
	c.state = old*6364136223846793005 + 1442695040888963407
	x := uint32(((old >> 18) ^ old) >> 27)
	rot := uint32(old >> 59)
	x = x>>rot | x<<((32-rot)&31)
	return int32(uint64(x) * uint64(n) >> 32)
}

// unit is a number in [0, 1).
func (c *chance) unit() float64 { return float64(c.below(1<<30)) / (1 << 30) }

// Dispatcher decides for one dispatcher. It shares nothing with others. Each of its parts keeps the few
// settings that it works by.
type Dispatcher struct {
	intake
	pool
	guards
	pressure
	clockwork

	rng     chance
	says    []string // lines for the log
	scratch []float64
}

// window bounds what is out at once; 0 = no bound yet.
type window struct {
	most float64
	out  int32
	sent Nanos // the last that went out
}

func (w *window) send(now Nanos) { w.out, w.sent = w.out+1, now }

// cellPart is a set of servers on one link: its part of all servers, and how its prefill servers and
// decode servers go together.
type cellPart struct {
	id    CellID
	zone  ZoneID
	has   [roleCount]float64
	pens  float64    // its part of the servers that answer
	near  float64    // how much of what its prefill servers read its own decode servers can take
	link  window     // own pulls from its prefill servers to other cells
	stay  float64    // how much of the rest its zone can
	spare [2]float64 // share of its decode servers left for others of its zone, and of other zones
}

// zonePart is what a zone's cells lack, and have to spare, of decode servers.
type zonePart struct {
	lack, spare float64
}

// intake is the requests in hand and what is owed for them.
type intake struct {
	classes   []Class
	pace      Nanos // shortest target of all classes: how fast news of the pool goes stale, whatever their order
	tenants   []Tenant
	answering Answering
	jobs      slab
	shares    []bucket // of the tenants
}

// pool is the servers, what they hold and how they do.
type pool struct {
	place    Place
	roles    []Role
	hosts    []server
	byID     map[ServerID]int32
	news     uint64 // of the list, counted
	holds    beginnings
	recent   [roleCount]ring    // first answers of late, as shares of the target
	usual    [roleCount]float64 // high quantile of them
	peerHigh [roleCount]float64 // median over servers of the high quantile of each
	typical  [roleCount]float64 // and their median
	carry    [roleCount]float64 // what a warm server answers for this dispatcher over a window
	answers  [roleCount]float64 // answers of warm servers of late ...
	warmTime [roleCount]float64 // ... and how many windows warm servers served in that time
	cells    []cellPart
	zones    []zonePart
	serving  [roleCount]float64 // servers in service ...
	warming  [roleCount]float64 // ... and those of them that warm up
	replicas []int32            // servers likely to hold the prefix of the request in hand
	own      int32              // the one of them that its session gives
	pulls    [2]ring            // first answers of decode servers, as shares of expected: near, far
}

// guards is what bounds attempts and what is held.
type guards struct {
	cold      ColdStart
	launching AttemptLimits
	release   Nanos
}

// pressure is how much is in hand and how much the pools bear.
type pressure struct {
	active       int32 // requests sent and not over
	requestLimit float64
	lateShare    float64           // share of late ones among the last few answers
	waits        [roleCount]window // own attempts unanswered at servers of a role
	roomAt       Nanos
	told         bool // an answer came since then
}

// clockwork is when to look again, and at what.
type clockwork struct {
	listing  Listing
	step     Nanos // longest time between two looks at everything in hand
	lookedAt Nanos
	lookAt   Nanos // next look at everything in hand
	wakeAt   Nanos // the Wake that is out; Never = none
	watching bool
	watchAt  Nanos
}

// median of a figure over the servers of a role that have one.
func (d *Dispatcher) median(role Role, figure func(h *server) float64) float64 {
	xs := d.scratch[:0]
	for i := range d.hosts {
		if h := &d.hosts[i]; h.role == role && h.health == Serving {
			if x := figure(h); x > 0 {
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

// bucket tells whether a tenant asks for more than its share; it fills at that rate, to one second's
// worth.
type bucket struct {
	level float64
	at    Nanos
}

// take tells whether one more is beyond the share.
func (b *bucket) take(now Nanos, perSecond float64) bool {
	b.level = min(b.level+float64(now-b.at)/1e9*perSecond, max(perSecond, 1))
	b.at = now
	if b.level < 1 {
		return true
	}
	b.level--
	return false
}

// countPlaces counts the servers in service: of all, by role; by cell and zone, as parts of all.
func (d *Dispatcher) countPlaces(now Nanos) {
	d.serving, d.warming = [roleCount]float64{}, [roleCount]float64{}
	for i := range d.cells {
		d.cells[i].has = [roleCount]float64{}
	}
	for i := range d.zones {
		d.zones[i] = zonePart{}
	}
	for i := range d.hosts {
		if h := &d.hosts[i]; h.health == Serving && now >= h.aside {
			d.serving[h.role]++
			if d.inSlowStart(now, h) {
				d.warming[h.role]++
			}
			d.cells[h.at].has[h.role]++
		}
	}
	for i := range d.cells {
		c := &d.cells[i]
		c.pens = (c.has[Decode] + c.has[Mixed]) / max(d.serving[Decode]+d.serving[Mixed], 1)
		c.has[Prefill] /= max(d.serving[Prefill], 1)
		for int(c.zone) >= len(d.zones) {
			d.zones = append(d.zones, zonePart{})
		}
		d.zones[c.zone].lack += max(0, c.has[Prefill]-c.pens)
		d.zones[c.zone].spare += max(0, c.pens-c.has[Prefill])
	}
}

// carried finds what a warm server of each role answers for this dispatcher over a window, averaged over
// some time. It stays as it was while no server is warm.
func (d *Dispatcher) carried(now, was, memory Nanos) {
	if d.cold.Window <= 0 {
		return
	}
	keep := max(0, 1-float64(now-was)/float64(memory))
	for i := range d.hosts {
		if h := &d.hosts[i]; h.health == Serving && !d.inSlowStart(now, h) {
			d.warmTime[h.role] += float64(now-was) / float64(d.cold.Window)
		}
	}
	for role := range d.carry {
		if d.warmTime[role] > 0 {
			d.carry[role] = d.answers[role] / d.warmTime[role]
		}
		d.answers[role], d.warmTime[role] = d.answers[role]*keep, d.warmTime[role]*keep
	}
}

// expectHeld is how much of a request's prompt a server is expected to have kept.
func (d *Dispatcher) expectHeld(now Nanos, j *job, h int32) int64 {
	kept := int64(0)
	if j.Prefix != 0 {
		kept = min(d.holds.held(now, uint64(j.Prefix), h), j.Shared)
	}
	if j.Session != 0 {
		kept = max(kept, d.holds.held(now, ^uint64(j.Session), h))
	}
	return min(kept, j.Prompt)
}

// rank orders servers for a pick: the least wins, the first figure counting most.
type rank [3]int64

// least picks the server of least rank among those that the pick admits; chance settles ties.
func (d *Dispatcher) least(of func(i int32, h *server) (rank, bool)) int32 {
	best, ties, low := noHost, int32(0), rank{}
	for i := range d.hosts {
		r, ok := of(int32(i), &d.hosts[i])
		if !ok {
			continue
		}
		order := slices.Compare(r[:], low[:])
		if best == noHost || order < 0 {
			best, ties, low = int32(i), 1, r
		} else if order == 0 {
			if ties++; d.rng.below(ties) == 0 {
				best = int32(i)
			}
		}
	}
	return best
}
