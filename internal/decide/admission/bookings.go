package admission

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"hash"
	"math"
)

// serviceRate measures how much cost is taken a nanosecond while requests wait: only then is it the pace of what stands
// behind the queue.
type serviceRate struct {
	memory Nanos
	since  Nanos // requests wait since then; 0 = none does
	busy   float64
	cost   float64
}

func (r *serviceRate) begin(now Nanos, waits bool) {
	if !waits {
		r.since = now
	}
}

// pass takes the time in which requests waited into account; old time fades.
func (r *serviceRate) pass(now Nanos) {
	if r.since == 0 || now <= r.since {
		return
	}
	t := float64(now - r.since)
	keep := math.Exp(-t / float64(r.memory))
	r.busy = r.busy*keep + t
	r.cost *= keep
	r.since = now
}

func (r *serviceRate) taken(now Nanos, cost float64) {
	if r.since == 0 {
		return
	}
	r.pass(now)
	r.cost += cost
}

func (r *serviceRate) end(now Nanos) {
	r.pass(now)
	r.since = 0
}

// rate is the cost a nanosecond; 0 if requests have hardly had to wait yet.
func (r *serviceRate) rate() float64 {
	if r.busy < float64(r.memory)/64 {
		return 0
	}
	return r.cost / r.busy
}

// wait is how long a request of some cost would wait in a flow, which may be none yet: no longer than for all that
// waits to pass, and no longer than for its flow's part of the pace.
func (q *Queue) wait(now Nanos, t *tenant, f *flow, cost float64) Nanos {
	q.rate.pass(now)
	rate := q.rate.rate()
	if rate <= 0 || len(q.requests) == 0 {
		return 0
	}
	weights, flows := 0.0, 0.0
	for _, o := range q.tenants {
		if o.waiting > 0 || o == t {
			weights += o.Weight
		}
	}
	mine, own := 1.0, cost
	if f != nil {
		mine = f.weight
		for _, w := range f.requests.Items() {
			own += w.cost
		}
	}
	for _, o := range t.active.Items() {
		if o != f {
			flows += o.weight
		}
	}
	share := t.Weight / weights * mine / (flows + mine)
	return Nanos(min(q.total+cost, own/share) / rate)
}

// RetryAdvice says when to come back.
type RetryAdvice struct {
	RetryAfter Nanos
	Ticket     *Ticket // to be brought then; nil if none could be booked
}

// Ticket is a booking: who may come back, and when.
type Ticket struct {
	Tenant int
	Client uint64
	Slot   int64 // number of its slot of time
	Serial uint32
}

const ticketSize = 8 + 8 + 8 + 4 + 16

// ErrInvalidTicket says that a ticket is none of ours.
var ErrInvalidTicket = errors.New("ticket is not ours or was changed")

// TicketSigner signs tickets with a key that lives as long as its queue.
type TicketSigner struct {
	mac hash.Hash
	sum []byte
}

// NewTicketSigner makes a signer; the key should be 32 random bytes.
func NewTicketSigner(key []byte) *TicketSigner { return &TicketSigner{mac: hmac.New(sha256.New, key)} }

func (s *TicketSigner) sign(p []byte) []byte {
	s.mac.Reset()
	s.mac.Write(p)
	s.sum = s.mac.Sum(s.sum[:0])
	return s.sum[:16]
}

// Encode gives a ticket as its client carries it.
func (s *TicketSigner) Encode(t *Ticket) []byte {
	b := make([]byte, 0, ticketSize)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Tenant))
	b = binary.BigEndian.AppendUint64(b, t.Client)
	b = binary.BigEndian.AppendUint64(b, uint64(t.Slot))
	b = binary.BigEndian.AppendUint32(b, t.Serial)
	return append(b, s.sign(b)...)
}

// Decode reads what Encode wrote; ErrInvalidTicket if it was not this signer.
func (s *TicketSigner) Decode(b []byte) (*Ticket, error) {
	if len(b) != ticketSize || !hmac.Equal(s.sign(b[:ticketSize-16]), b[ticketSize-16:]) {
		return nil, ErrInvalidTicket
	}
	return &Ticket{
		Tenant: int(binary.BigEndian.Uint64(b)), Client: binary.BigEndian.Uint64(b[8:]),
		Slot: int64(binary.BigEndian.Uint64(b[16:])), Serial: binary.BigEndian.Uint32(b[24:]),
	}, nil
}

const (
	slots = 256 // of time that can be booked ahead
	// slotPart of the shortest expected time is a slot: those who come back in it are spread over it by their serial.
	slotPart = 1.0 / 4
	// bookedPart of the pace is booked: the rest is for fresh arrivals, and for a pace that falls.
	bookedPart = 1.0 / 2
	// grace slots before and after its own a ticket is taken: clocks and networks are off by some.
	graceBefore, graceAfter = 1, 4
	// serials of a slot, at most.
	serials = 4096
	// heaviestPart of a slot's room may be booked for one client, by its weight for the newcomers of one source, one ticket
	// at least: who asks a thousand times for a place does not take the others' places.
	heaviestPart = 1.0 / 8
	// hands count the tickets of a slot by the hash of who has them.
	holderBuckets = 64
	// without a pace a refused client stays away for so many expected times.
	unknownWait = 1.0 / 2
)

// bookings is what is promised: for each slot of time the cost booked and the tickets given and used.
type bookings struct {
	signer *TicketSigner
	len    Nanos // of a slot
	slots  [slots]slot
}

type slot struct {
	number int64
	cost   float64
	given  uint32
	used   [serials / 64]uint64
	by     [holderBuckets]float64 // cost booked, by the hash of who has it
}

func (b *bookings) init(s *TicketSigner, expected Nanos) {
	b.signer = s
	b.len = max(Nanos(slotPart*float64(expected)), 1)
	for i := range b.slots {
		b.slots[i].number = -1
	}
}

// at gives the slot of a number; what stood in its place before is over.
func (b *bookings) at(n int64) *slot {
	s := &b.slots[n%slots]
	if s.number != n {
		*s = slot{number: n}
	}
	return s
}

// take books cost in the first slot from a time on that has room at a pace; false if none has.
func (b *bookings) take(now, from Nanos, who uint64, weight, cost, rate float64) (int64, uint32, bool) {
	room := bookedPart * rate * float64(b.len)
	now, last := now/b.len+1, now/b.len+slots-graceAfter-2
	held := 0.0 // by this hand, in all slots so far
	for n := now; n <= last; n++ {
		s := b.at(n)
		hand := &s.by[who%holderBuckets]
		held += *hand
		if n < from/b.len || held > 0 && held+cost > weight*heaviestPart*room*float64(n-now+1) {
			continue
		}
		if s.given < serials && (s.cost+cost <= room || s.given == 0) { // a request larger than a slot takes one of its own
			s.cost += cost
			*hand += cost
			s.given++
			return n, s.given - 1, true
		}
	}
	return 0, 0, false
}

// redeem tells whether a ticket is good now, once.
func (b *bookings) redeem(now Nanos, tenant int, client uint64, t *Ticket) bool {
	if t.Tenant != tenant || t.Client != client || t.Serial >= serials {
		return false
	}
	if n := now / b.len; n < t.Slot-graceBefore || n > t.Slot+graceAfter {
		return false
	}
	s := &b.slots[t.Slot%slots]
	if s.number != t.Slot || t.Serial >= s.given || s.used[t.Serial/64]&(1<<(t.Serial%64)) != 0 {
		return false
	}
	s.used[t.Serial/64] |= 1 << (t.Serial % 64)
	return true
}

// advise says when a refused client should come back, and books it in. Where a limit of the tenant's own was met,
// not before that lets it in, nor before least from now.
func (q *Queue) advise(now Nanos, t *tenant, c Verdict, request *Request, cost float64, least Nanos) RetryAdvice {
	q.rate.pass(now)
	rate := q.rate.rate()
	from := now + least
	if rate <= 0 {
		from = max(from, now+Nanos(unknownWait*float64(q.target)))
	}
	if c == TenantRateExceeded && t.RequestsPerSecond > 0 {
		from = max(from, now+Nanos((1-t.tokens)/t.RequestsPerSecond*1e9))
		rate = min(rate, t.RequestsPerSecond/1e9*cost) // its own pace bounds what can be promised
		if rate <= 0 {
			rate = t.RequestsPerSecond / 1e9 * cost
		}
	}
	if rate <= 0 || q.book.signer == nil {
		return RetryAdvice{RetryAfter: max(from-now, 1)}
	}
	if c != TenantRateExceeded { // what stands before it by its own share has to pass first, not all that waits
		ahead := q.wait(now, t, q.flowOf(now, t, request, false), cost)
		from = max(from, now+min(ahead, Nanos(slots/2)*q.book.len))
	}
	who, weight := request.Client, 1.0
	if who == 0 || !q.known.is(now, t.n, who) {
		who, weight = request.Source, newcomers
	}
	n, serial, ok := q.book.take(now, from, who^uint64(t.n)*0x9e3779b97f4a7c15, weight, cost, rate)
	if !ok {
		return RetryAdvice{RetryAfter: slots * q.book.len}
	}
	// Within its slot they are spread by their serial, as evenly as the golden ratio does it.
	const golden = 0.6180339887498949
	_, part := math.Modf(float64(serial) * golden)
	at := n*q.book.len + Nanos(part*float64(q.book.len))
	return RetryAdvice{RetryAfter: max(at-now, 1), Ticket: &Ticket{Tenant: t.n, Client: request.Client, Slot: n, Serial: serial}}
}

// known remembers, for a bounded number of clients, how many of their requests were served, in sets of a few: of a
// full set the one that was served least lately goes.
type known struct {
	sets [][knownWays]knownClient
}

const knownWays = 4

type knownClient struct {
	key    uint64
	tenant int
	served int
	until  Nanos
}

func (k *known) init(clients int) { k.sets = make([][knownWays]knownClient, max(clients/knownWays, 1)) }

func (k *known) set(tenant int, client uint64) *[knownWays]knownClient {
	return &k.sets[(client^uint64(tenant)*0x9e3779b97f4a7c15)%uint64(len(k.sets))]
}

func (k *known) is(now Nanos, tenant int, client uint64) bool {
	for i := range k.set(tenant, client) {
		if c := &k.set(tenant, client)[i]; c.key == client && c.tenant == tenant && now < c.until {
			return c.served >= knownAfter
		}
	}
	return false
}

func (k *known) served(now Nanos, tenant int, client uint64, keep Nanos) {
	if client == 0 {
		return
	}
	set := k.set(tenant, client)
	at := 0
	for i := range set {
		if c := &set[i]; c.key == client && c.tenant == tenant && now < c.until {
			c.served++
			c.until = now + keep
			return
		}
		if set[i].until < set[at].until {
			at = i
		}
	}
	set[at] = knownClient{key: client, tenant: tenant, served: 1, until: now + keep}
}
