// Package admission decides in what order requests that wait in the admission queue go in, which are refused, and when those come back.
//
// Requests wait in flows: a tenant, and within it a client. Service is shared by start-time fair queueing on both
// levels: tenants by weight, a tenant's flows evenly, each request at its cost in what it takes of the fleet. Clients that
// are not known yet share flows by the source they come from, so that made-up names bring nothing; a client is
// known once enough of its requests were served. Everything is bounded: requests waiting, flows, clients known.
//
// The package does no I/O and reads no clock. Equal calls give equal decisions.
package admission

import (
	"fmt"
	"slices"

	"docksail/internal/decide/background"
	"docksail/internal/order"
)

// Nanos is a time or a span in nanoseconds.
type Nanos = int64

// RequestID is a request's name at the server of this package.
type RequestID uint64

// Tenant is what a tenant may do.
type Tenant struct {
	Weight    float64 // its part of the service while others want some too
	Rate      float64 // requests a second, with one second's worth at once; 0 = no limit
	Waiting   int     // requests waiting in the admission queue; 0 = as many as fit
	Running   int     // requests let in and not over; 0 = no limit
	PromptMax int64   // tokens of a prompt; 0 = no limit
}

// Request is what is known of a request that comes.
type Request struct {
	ID       RequestID
	Tenant   int
	Client   uint64 // keyed hash of its client's name; 0 = none is named
	Source   uint64 // keyed hash of where it comes from
	Prompt   int64  // tokens to read
	Answer   int64  // most tokens of the answer
	Expected Nanos  // expected time of its first token
	Deadline Nanos  // an answer has to have left by then
	Ticket   *Ticket

	Background bool // it fills what is idle, and yields to all others
}

// Cause says why a request is refused.
type Cause uint8

const (
	Admitted   Cause = iota
	Full             // the queue holds all the requests it may
	TenantFull       // this tenant's requests waiting are at their limit
	OverRate         // the tenant asks faster than it may
	TooLong          // the prompt is longer than the tenant's may be
	TooLate          // it could not be let in in time
	Unknown          // no such tenant
	Shed             // the dispatcher itself is overloaded
	causes
)

func (c Cause) String() string {
	return [...]string{"admitted", "too many requests waiting", "too many requests of the tenant waiting", "faster than the tenant may ask",
		"prompt longer than the tenant's may be", "no chance to be in time", "unknown tenant", "dispatcher overloaded"}[c]
}

// Own tells that a limit of the caller's own was met.
func (c Cause) Own() bool { return c == TenantFull || c == OverRate || c == TooLong }

// PerTurn is how many requests may be let in within one turn of the server's loop: a turn that took long must be seen, and
// what has come meanwhile be heard, before the next.
const PerTurn = 16

const (
	// answerCost is what a token of an answer costs, in tokens read: a token written takes a step of its own, a token
	// read a share of one with some hundred others; slots and memory level it to this.
	answerCost = 8
	// expectedPart of the most tokens of an answer is what is charged before its length is known.
	expectedPart = 0.5
	// knownAfter requests served, a client has a flow of its own: a made-up name would have to be used as often.
	knownAfter = 3
	// forgetAfter so many expected times without a request, a client is not known any more.
	forgetAfter = 600
	// newcomers is the weight of all clients of one source that are not known, in clients: there may be many.
	newcomers = 4
	// shedLag of the shortest expected time that one turn of the loop works is overload of the dispatcher itself: a
	// request takes several turns; shedPart of what waits goes then, at each such turn.
	shedLag  = 1.0 / 8
	shedPart = 1.0 / 8
	// bookedRoom is the part of the queue that is kept for those who come back as advised.
	bookedRoom = 1.0 / 8
	// unlaunchedWait of the shortest expected time after a request was let in, and not sent, another may follow it: half
	// of the time for which the module itself lets a request wait.
	unlaunchedWait = 1.0 / 16
	// unlaunchedMost requests may be let in and not sent; half as many after each that the module could not place, one
	// at least, and insideStep more with each attempt: a refusal weighs as many attempts as make it rare.
	unlaunchedMost = 4
	insideStep     = 1.0 / 8
	// backRoom of the queue's room is there for background requests besides: they bring their own timeout.
	backRoom = 1.0 / 4
	// burstSeconds of its rate a tenant may ask at once.
	burstSeconds = 1
	// drainMemory is how fast the measured drain follows, in expected times: some, so that one gap says little.
	rateMemory = 4
	// hopeless is the share of its expected time, or of what its client has left, within which a request has to be let
	// in: the rest is for the work, and an answer that comes later is worth little.
	hopeless = 0.5
)

// Cost of a request in tokens read, as charged before its answer is known.
func Cost(prompt, answer int64) float64 {
	return max(float64(prompt)+answerCost*expectedPart*float64(answer), 1)
}

type queuedRequest struct {
	Request
	cost         float64
	arrivedAt    Nanos
	flow         *flow
	startBy      Nanos // what orders it within its flow
	overdueIndex Nanos // from then on it is too late to let it in
	order        uint64
	at           int  // place in the flow's heap
	overdueAt    int  // place among all by late
	in           bool // it came back as advised
}

// flow is the waiting requests of one client, or of the newcomers from one source.
type flow struct {
	key      flowKey
	tenant   *tenant
	weight   float64
	requests order.Heap[*queuedRequest]
	start    float64 // start tag of its next request
	order    uint64
	at       int // place in the tenant's heap
	last     Nanos

	heavyAt int // place among the tenant's by load
}

type flowKey struct {
	known bool
	key   uint64
}

type tenant struct {
	Tenant
	n       int
	flows   map[flowKey]*flow
	active  order.Heap[*flow]
	heavy   order.Heap[*flow] // the same, the heaviest first
	virtual float64           // virtual time of its flows
	start   float64           // start tag of its next request among tenants
	at      int               // place in the queue's heap
	waiting int
	running int
	tokens  float64 // of its rate
	tokenAt Nanos
	gone    bool
	Counts  Counts
}

// Counts are what a queue counted of a tenant.
type Counts struct {
	Arrived, Admitted, Cancelled                   uint64
	Refused                                        [causes]uint64
	Waited                                         Nanos // in all, of those let in
	Longest                                        Nanos
	Cost                                           float64 // of those let in
	Booked, Returned, KeptBookings, WithoutBooking uint64  // advice given; returned with it; let in; tickets not served
}

// Add adds up counts.
func (c *Counts) Add(o Counts) {
	c.Arrived, c.Admitted, c.Cancelled = c.Arrived+o.Arrived, c.Admitted+o.Admitted, c.Cancelled+o.Cancelled
	for i := range c.Refused {
		c.Refused[i] += o.Refused[i]
	}
	c.Waited, c.Longest, c.Cost = c.Waited+o.Waited, max(c.Longest, o.Longest), c.Cost+o.Cost
	c.Booked, c.Returned, c.KeptBookings, c.WithoutBooking = c.Booked+o.Booked, c.Returned+o.Returned, c.KeptBookings+o.KeptBookings, c.WithoutBooking+o.WithoutBooking
}

// Queue is the queue. Make it with New.
type Queue struct {
	// FirstCome lets requests in as they came, whoever sent them: a baseline to measure against. It is set before the
	// first request comes.
	FirstCome bool

	limit             int
	limitPerFlow      int
	tenants           []*tenant
	active            order.Heap[*tenant]
	virtual           float64
	requests          map[RequestID]*queuedRequest
	displacedRequests []displaced
	overdue           order.Heap[*queuedRequest]
	free              []*queuedRequest
	freeFlow          []*flow
	flows             int
	known             known
	orders            uint64
	sweepAt           uint64
	expected          Nanos // shortest expected time
	rate              serviceRate
	book              bookings
	total             float64 // cost waiting
	admitted          float64 // so many may be let in and not sent
	retryLimit        *Queue  // where background requests wait; nil in that one itself
	Background        *background.Limit
}

// New makes a queue for so many waiting requests, with so many known clients remembered. expected is the shortest
// expected time of the classes, by which spans are measured. tickets signs advice; nil gives none.
func New(most, clients int, expected Nanos, tickets *Signer) (*Queue, error) {
	if most < 1 || clients < 1 || expected < 1 {
		return nil, fmt.Errorf("admission queue for %d requests, %d clients, target %d: want all above 0", most, clients, expected)
	}
	d := &Queue{admitted: unlaunchedMost, limit: most, limitPerFlow: most + 1024, requests: make(map[RequestID]*queuedRequest), expected: expected,
		active: tenantHeap(), overdue: lateHeap()}
	d.Background = background.New(expected)
	d.known.init(clients)
	d.rate.memory = rateMemory * expected
	d.book.init(tickets, expected)
	d.retryLimit = &Queue{admitted: unlaunchedMost, limit: max(int(backRoom*float64(most)), 1), limitPerFlow: most + 1024, requests: make(map[RequestID]*queuedRequest), expected: expected,
		active: tenantHeap(), overdue: lateHeap()}
	d.retryLimit.known.init(1)
	d.retryLimit.rate.memory = d.rate.memory
	d.retryLimit.book.init(tickets, expected)
	return d, nil
}

// Check says what is wrong with a tenant's terms.
func (t Tenant) Check() error {
	if !(t.Weight > 0) || t.Rate < 0 || t.Waiting < 0 || t.Running < 0 || t.PromptMax < 0 {
		return fmt.Errorf("weight %v, rate %v, waiting %d, running %d, prompt %d: want a weight above 0 and no limit below 0",
			t.Weight, t.Rate, t.Waiting, t.Running, t.PromptMax)
	}
	return nil
}

// SetTenant adds tenant n, or changes what it may do; it holds for requests that wait too.
func (d *Queue) SetTenant(n int, t Tenant) error {
	if n < 0 || n > len(d.tenants) {
		return fmt.Errorf("tenant %d: want 0 to %d", n, len(d.tenants))
	}
	if err := t.Check(); err != nil {
		return fmt.Errorf("tenant %d: %w", n, err)
	}
	if n == len(d.tenants) {
		d.tenants = append(d.tenants, &tenant{n: n, flows: make(map[flowKey]*flow), active: flowHeap(), heavy: heavyHeap(),
			start: d.virtual, tokens: burstSeconds * t.Rate})
	}
	tn := d.tenants[n]
	tn.Tenant, tn.gone = t, false
	d.place(tn)
	if d.retryLimit != nil { // its limits hold for what somebody waits for; background work has the queue's
		return d.retryLimit.SetTenant(n, Tenant{Weight: t.Weight, PromptMax: t.PromptMax})
	}
	return nil
}

// Waiting counts requests in the admission queue, Background those of them that yield to all others.
func (d *Queue) Waiting() int {
	if d.retryLimit == nil {
		return len(d.requests)
	}
	return len(d.requests) + len(d.retryLimit.requests)
}

// BackgroundWaiting counts the background requests in the admission queue.
func (d *Queue) BackgroundWaiting() int { return len(d.retryLimit.requests) }

// of gives the queue in which a request waits.
func (d *Queue) of(id RequestID) *Queue {
	if d.retryLimit != nil && d.retryLimit.requests[id] != nil {
		return d.retryLimit
	}
	return d
}

// Flows counts flows that are remembered.
func (d *Queue) Flows() int { return d.flows }

// Counts gives what was counted of a tenant.
func (d *Queue) Counts(n int) Counts { return d.tenants[n].Counts }

// Tenant gives how many requests of a tenant wait and run.
func (d *Queue) Tenant(n int) (waiting, running int) {
	return d.tenants[n].waiting, d.tenants[n].running
}

// Admits tells whether another request may be let in, by how long ago those were that the module has not sent yet. One
// is enough: the next follows within the same turn once it is sent, and the order stays the queue's. Those that
// wait for long are such as the module can't place, or it is slow; the others need not stand behind them.
func (d *Queue) Admits(inside []Nanos) bool {
	fresh := 0
	for _, t := range inside {
		if t <= Nanos(unlaunchedWait*float64(d.expected)) {
			fresh++
		}
	}
	return fresh == 0 && len(inside) < int(d.admitted)
}

// NotSent tells that the module refused a request that was let in and never sent: fewer stand before it at once, so
// that the next attempt is not fought over by requests that the queue has put in order already.
func (d *Queue) NotSent() { d.admitted = max(d.admitted/2, 1) }

// Sent tells that the module has sent a request that was let in: this is the pace of what stands behind the queue.
func (d *Queue) Sent(now Nanos, j Request) {
	d.rate.taken(now, Cost(j.Prompt, j.Answer))
	d.admitted = min(d.admitted+insideStep, unlaunchedMost)
}

// lateAt is when it is too late to let a request in.
func lateAt(now Nanos, j *Request) Nanos {
	return now + Nanos(hopeless*float64(min(j.Expected, j.Deadline-now)))
}

// Arrive takes a request to wait, or refuses it with the time to stay away; a Ticket goes with advice if the queue gives
// any.
func (d *Queue) Arrive(now Nanos, j Request) (Cause, Advice) {
	if j.Background && d.retryLimit != nil {
		return d.retryLimit.Arrive(now, j)
	}
	if j.Tenant < 0 || j.Tenant >= len(d.tenants) || d.tenants[j.Tenant].gone {
		return Unknown, Advice{}
	}
	t := d.tenants[j.Tenant]
	t.Counts.Arrived++
	booked := false
	if j.Ticket != nil {
		if booked = d.book.redeem(now, j.Tenant, j.Client, j.Ticket); booked {
			t.Counts.Returned++
		} else {
			t.Counts.WithoutBooking++
		}
	}
	cost := Cost(j.Prompt, j.Answer)
	refuse := func(c Cause) (Cause, Advice) {
		t.Counts.Refused[c]++
		if c == TooLong {
			return c, Advice{}
		}
		if !c.Own() {
			d.refused(now)
		}
		a := d.advise(now, t, c, &j, cost, 0)
		if a.Ticket != nil {
			t.Counts.Booked++
		}
		return c, a
	}
	if t.PromptMax > 0 && j.Prompt > t.PromptMax {
		return refuse(TooLong)
	}
	t.fill(now)
	if t.Rate > 0 && t.tokens < 1 && !booked {
		return refuse(OverRate)
	}
	mine := d.flowOf(now, t, &j, false)
	var gives *queuedRequest // the request that makes room for this one
	if t.Waiting > 0 && t.waiting >= t.Waiting {
		if gives = d.displaces(now, t, t, mine, &j); gives == nil {
			return refuse(TenantFull)
		}
	}
	room := d.limit
	if !booked {
		room -= int(bookedRoom * float64(d.limit))
	}
	if len(d.requests) >= max(room, 1) && gives == nil {
		if gives = d.displaces(now, t, d.heaviest(), mine, &j); gives == nil {
			return refuse(Full)
		}
	}
	if !booked && d.wait(now, t, mine, cost) > lateAt(now, &j)-now {
		return refuse(TooLate)
	}
	if gives != nil {
		d.displacedRequests = append(d.displacedRequests, displaced{gives.Request, gives.cost})
		gives.flow.tenant.Counts.Refused[Full]++
		d.remove(now, gives)
	}
	if t.Rate > 0 {
		t.tokens--
	}
	f := d.flowOf(now, t, &j, true)
	w := d.newRequest()
	*w = queuedRequest{Request: j, cost: cost, arrivedAt: now, flow: f, startBy: now + j.Expected, order: d.nextOrder(), in: booked,
		overdueIndex: lateAt(now, &j)}
	w.Ticket = nil
	if d.FirstCome {
		w.startBy = now
	} else if booked { // it has waited its time elsewhere
		w.startBy = now
	}
	d.rate.begin(now, d.total > 0)
	d.requests[j.ID] = w
	d.overdue.Put(w)
	d.total += cost
	t.waiting++
	if f.requests.Len() == 0 {
		f.start = max(f.start, t.virtual)
		if t.waiting == 1 {
			t.start = max(t.start, d.virtual)
		}
	}
	f.requests.Put(w)
	d.placeFlow(f)
	d.place(t)
	return Admitted, Advice{}
}

// displaced is a request that gave up its place and is not answered yet.
type displaced struct {
	Request
	cost float64
}

// displaces gives the request that makes room for one of a flow of t (nil: it has none yet), among those of a tenant: the
// newest of its heaviest flow that is not back as advised, if that flow has more for its weight than the newcomer's
// would have. Else a flood would keep out, by filling the queue, those to whom the order inside it is fair.
func (d *Queue) displaces(now Nanos, t, from *tenant, mine *flow, j *Request) *queuedRequest {
	if from == nil || from.heavy.Len() == 0 {
		return nil
	}
	worst, load := from.heavy.Min(), 1.0
	if mine != nil {
		load = float64(mine.requests.Len()+1) / mine.weight
	} else if !d.FirstCome && !(j.Client != 0 && d.known.is(now, t.n, j.Client)) {
		load = 1.0 / newcomers
	}
	if d.FirstCome || worst == mine || load/t.Weight >= worst.load()/from.Weight {
		return nil
	}
	return worst.newest(false)
}

// heaviest gives the tenant whose heaviest flow has most waiting for its weight.
func (d *Queue) heaviest() *tenant {
	var worst *tenant
	most := 0.0
	for _, t := range d.tenants {
		if t.heavy.Len() > 0 {
			if by := t.heavy.Min().load() / t.Weight; by > most {
				worst, most = t, by
			}
		}
	}
	return worst
}

// newest gives the request of a flow that came last; those that are back as advised count only if told so.
func (f *flow) newest(booked bool) *queuedRequest {
	var newest *queuedRequest
	for _, w := range f.requests.All() {
		if (booked || !w.in) && (newest == nil || w.order > newest.order) {
			newest = w
		}
	}
	return newest
}

// Displaced gives a request that waited and made room for another, and how its client is to be answered; the server pulls
// until there is none.
func (d *Queue) Displaced(now Nanos) (RequestID, Advice, bool) {
	if len(d.displacedRequests) == 0 {
		if d.retryLimit != nil {
			return d.retryLimit.Displaced(now)
		}
		return 0, Advice{}, false
	}
	w := d.displacedRequests[0]
	d.displacedRequests = slices.Delete(d.displacedRequests, 0, 1)
	t := d.tenants[w.Tenant]
	a := d.advise(now, t, Full, &w.Request, w.cost, 0)
	if a.Ticket != nil {
		t.Counts.Booked++
	}
	return w.ID, a, true
}

// Next gives the next request to let in, if there is one, while so many that were let in are not sent yet. A background
// request comes when no other may, the module has nothing to place, and there is something to spare. It changes nothing:
// Let does.
func (d *Queue) Next(now Nanos, inside int) (RequestID, bool) {
	if d.active.Len() == 0 {
		if d.retryLimit != nil && len(d.requests) == 0 && inside == 0 && d.Background.May(now) {
			return d.retryLimit.Next(now, 0)
		}
		return 0, false
	}
	return d.active.Min().active.Min().requests.Min().ID, true
}

// Admit takes the request that Next gave out of the queue: it has been let in.
func (d *Queue) Admit(now Nanos, id RequestID) {
	if b := d.of(id); b != d {
		b.Admit(now, id)
		d.Background.Admit()
		return
	}
	w := d.requests[id]
	if w == nil {
		return
	}
	f, t := w.flow, w.flow.tenant
	d.virtual = max(d.virtual, t.start)
	t.virtual = max(t.virtual, f.start)
	f.start += w.cost / f.weight
	t.start += w.cost / t.Weight
	waited := now - w.arrivedAt
	if d.Background != nil {
		d.Background.Waited(now, waited)
	}
	t.Counts.Admitted++
	t.Counts.Waited += waited
	t.Counts.Longest = max(t.Counts.Longest, waited)
	t.Counts.Cost += w.cost
	if w.in {
		t.Counts.KeptBookings++
	}
	t.running++
	d.remove(now, w)
}

// Finished tells that a request that was let in is over: tenant and what it was charged by, and what it truly took. The
// difference is charged to its flow.
func (d *Queue) Finished(now Nanos, j Request, served bool, answered int64) {
	if j.Background && d.retryLimit != nil {
		d.retryLimit.Finished(now, j, served, answered)
		d.Background.Finished(now, answered > 0, served)
		return
	}
	if j.Tenant < 0 || j.Tenant >= len(d.tenants) {
		return
	}
	t := d.tenants[j.Tenant]
	t.running = max(t.running-1, 0)
	if served {
		d.known.served(now, t.n, j.Client, forgetAfter*d.expected)
	}
	truly := float64(j.Prompt) + answerCost*float64(answered)
	if f := d.flowOf(now, t, &j, false); f != nil && served {
		by := truly - Cost(j.Prompt, j.Answer)
		f.start = max(f.start+by/f.weight, t.virtual)
		t.start = max(t.start+by/t.Weight, d.virtual)
		d.placeFlow(f)
	}
	d.place(t)
}

// Cancel takes back a request that waits, as its client left or its time is up; false if it does not wait.
func (d *Queue) Cancel(now Nanos, id RequestID) bool {
	if b := d.of(id); b != d {
		return b.Cancel(now, id)
	}
	w := d.requests[id]
	if w == nil {
		if d.retryLimit != nil {
			d.retryLimit.Cancel(now, id) // it may have been displaced there
		}
		if i := slices.IndexFunc(d.displacedRequests, func(o displaced) bool { return o.ID == id }); i >= 0 {
			d.displacedRequests = slices.Delete(d.displacedRequests, i, i+1)
		}
		return false
	}
	w.flow.tenant.Counts.Cancelled++
	d.remove(now, w)
	return true
}

// Expired gives a waiting request for which it has become too late: the server refuses it, after Refuse has said how.
func (d *Queue) Expired(now Nanos) (RequestID, bool) {
	if d.overdue.Len() == 0 || now < d.overdue.Min().overdueIndex {
		if d.retryLimit != nil {
			return d.retryLimit.Expired(now)
		}
		return 0, false
	}
	return d.overdue.Min().ID, true
}

// NextExpiry is when time alone changes something at the earliest: Expired has a request to give, or background work may go
// on; false if nothing waits.
func (d *Queue) NextExpiry(now Nanos) (Nanos, bool) {
	at, some := Nanos(0), false
	if d.overdue.Len() > 0 {
		at, some = d.overdue.Min().overdueIndex, true
	}
	if d.retryLimit != nil && len(d.retryLimit.requests) > 0 {
		if t, ok := d.retryLimit.NextExpiry(now); ok && (!some || t < at) {
			at, some = t, true
		}
		if t, ok := d.Background.Until(now); ok && t < at {
			at = t
		}
	}
	return at, some
}

// Refuse takes a waiting request out and says how its client is to be answered.
func (d *Queue) Refuse(now Nanos, id RequestID, c Cause) Advice {
	if b := d.of(id); b != d {
		return b.Refuse(now, id, c)
	}
	w := d.requests[id]
	if w == nil {
		return Advice{}
	}
	d.refused(now)
	t, j, cost := w.flow.tenant, w.Request, w.cost
	t.Counts.Refused[c]++
	d.remove(now, w)
	a := d.advise(now, t, c, &j, cost, 0)
	if a.Ticket != nil {
		t.Counts.Booked++
	}
	return a
}

// RetryAfter says when a request should come back that was let in and then refused by the module, which asks for least from
// now, and books it in.
func (d *Queue) RetryAfter(now Nanos, j Request, least Nanos) Advice {
	if j.Tenant < 0 || j.Tenant >= len(d.tenants) {
		return Advice{}
	}
	if j.Background && d.retryLimit != nil {
		return d.retryLimit.RetryAfter(now, j, least)
	}
	d.refused(now)
	t := d.tenants[j.Tenant]
	a := d.advise(now, t, Full, &j, Cost(j.Prompt, j.Answer), least)
	if a.Ticket != nil {
		t.Counts.Booked++
	}
	return a
}

// refused tells that a request that somebody waits for found no place.
func (d *Queue) refused(now Nanos) {
	if d.Background != nil {
		d.Background.Refused(now)
	}
}

// FirstToken tells of a request's first token, so long after it came.
func (d *Queue) FirstToken(now Nanos, j Request, took Nanos) {
	if j.Background {
		d.Background.Began()
	} else {
		d.Background.FirstToken(now, took, j.Expected)
	}
}

// ToShed is how many waiting requests the server should refuse, the heaviest flow's first, after a turn of its loop worked
// for so long: a loop that lags makes every request late, so what waits goes before what runs suffers.
// The same holds while more memory is in use than there should be; most is 0 where that is not bounded.
func (d *Queue) ToShed(worked Nanos, memory, most uint64) int {
	if worked < Nanos(shedLag*float64(d.expected)) && (most == 0 || memory <= most) || d.Waiting() == 0 {
		return 0
	}
	return max(1, int(shedPart*float64(d.Waiting())))
}

// Heaviest gives the newest request of the flow that has most waiting for its weight, to be shed first.
func (d *Queue) Heaviest() (RequestID, bool) {
	if d.retryLimit != nil && len(d.retryLimit.requests) > 0 { // what yields to all others goes first
		return d.retryLimit.Heaviest()
	}
	t := d.heaviest()
	if t == nil {
		return 0, false
	}
	return t.heavy.Min().newest(true).ID, true
}

// remove takes a request out of its flow.
func (d *Queue) remove(now Nanos, w *queuedRequest) {
	f, t := w.flow, w.flow.tenant
	f.requests.Take(w)
	d.overdue.Take(w)
	f.last = now
	t.waiting--
	d.total = max(d.total-w.cost, 0)
	delete(d.requests, w.ID)
	if len(d.requests) == 0 {
		d.total = 0
		d.rate.end(now)
	}
	d.free = append(d.free, w)
	d.placeFlow(f)
	d.place(t)
	if f.requests.Len() == 0 && f.start <= t.virtual {
		d.forget(f)
	}
}

func (d *Queue) newRequest() *queuedRequest {
	if n := len(d.free); n > 0 {
		w := d.free[n-1]
		d.free = d.free[:n-1]
		return w
	}
	return new(queuedRequest)
}

func (d *Queue) nextOrder() uint64 {
	d.orders++
	return d.orders
}

// flowOf gives the flow of a request; with create it is made if there is none.
func (d *Queue) flowOf(now Nanos, t *tenant, j *Request, create bool) *flow {
	key := flowKey{known: j.Client != 0 && d.known.is(now, t.n, j.Client), key: j.Client}
	weight := 1.0
	if d.FirstCome {
		key = flowKey{}
	} else if !key.known {
		key.key, weight = j.Source, newcomers
	}
	f := t.flows[key]
	if f != nil || !create {
		return f
	}
	if d.flows >= d.limitPerFlow && !d.makeRoom() {
		key = flowKey{key: ^uint64(0)} // what finds no room shares one flow
		if f = t.flows[key]; f != nil {
			return f
		}
	}
	if n := len(d.freeFlow); n > 0 {
		f, d.freeFlow = d.freeFlow[n-1], d.freeFlow[:n-1]
	} else {
		f = &flow{requests: requestHeap()}
	}
	*f = flow{key: key, tenant: t, weight: weight, requests: f.requests, start: t.virtual, order: d.nextOrder(), last: now}
	t.flows[key] = f
	d.flows++
	return f
}

// makeRoom forgets flows that owe nothing any more. It looks at all of them, so only after as many arrivals as
// make that little for each.
func (d *Queue) makeRoom() bool {
	if d.orders < d.sweepAt {
		return false
	}
	d.sweepAt = d.orders + uint64(d.flows/16)
	for _, t := range d.tenants {
		for _, f := range t.flows { // which go does not depend on the order
			if f.requests.Len() == 0 && f.start <= t.virtual {
				d.forget(f)
			}
		}
	}
	return d.flows < d.limitPerFlow
}

func (d *Queue) forget(f *flow) {
	delete(f.tenant.flows, f.key)
	d.flows--
	f.tenant = nil
	d.freeFlow = append(d.freeFlow, f)
}

func (t *tenant) fill(now Nanos) {
	if t.Rate > 0 {
		t.tokens = min(t.tokens+float64(now-t.tokenAt)/1e9*t.Rate, max(burstSeconds*t.Rate, 1))
	}
	t.tokenAt = now
}
