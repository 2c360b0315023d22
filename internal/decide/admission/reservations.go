package admission

import "math"

const (
	// slotCount is the number of time slots for which reservations can be made.
	slotCount = 256
	// slotLengthPart is the length of a slot as a part of the latency objective.
	slotLengthPart = 1.0 / 4
	// reservablePart is the part of the throughput that can be reserved: the rest is for requests without a reservation,
	// and for a throughput that falls.
	reservablePart = 1.0 / 2
	// earlySlots and lateSlots are how many slots before and after its own a ticket is valid: clocks and networks are not
	// exact.
	earlySlots = 1
	lateSlots  = 4
	// maxTicketsPerSlot is the most reservations of a slot.
	maxTicketsPerSlot = 4096
	// maxHolderPart is the part of the capacity of all slots up to a client's own that may be reserved for the client, by
	// its weight, but at least one reservation: a client that is rejected a thousand times must not take the places of
	// others.
	maxHolderPart = 1.0 / 8
	// holderBuckets is the number of hash buckets in which a slot counts the reservations of its holders.
	holderBuckets = 64
	// defaultRetryPart is the delay of a retry as a part of the latency objective while no throughput is measured.
	defaultRetryPart = 1.0 / 2
	// goldenRatioPart spreads the reservations of a slot evenly over its time, however many are made.
	goldenRatioPart = 0.6180339887498949
)

// reservationTable holds the reservations of the coming time slots: the cost reserved, and which tickets were used.
type reservationTable struct {
	signer     *TicketSigner // nil: no reservations are made
	slotLength Nanos
	slots      [slotCount]timeSlot // a ring, by number
}

type timeSlot struct {
	number       int64
	cost         float64 // reserved
	granted      uint32  // tickets
	redeemed     [maxTicketsPerSlot / 64]uint64
	costByHolder [holderBuckets]float64 // reserved, by the hash of the holder
}

// reservationClaim is what is to be reserved.
type reservationClaim struct {
	notBefore Nanos
	holder    uint64  // hash of the client, or of the source of an unknown one
	weight    float64 // of the holder
	cost      float64
}

func newReservationTable(signer *TicketSigner, latencyObjective Nanos) *reservationTable {
	r := &reservationTable{signer: signer, slotLength: max(Nanos(slotLengthPart*float64(latencyObjective)), 1)}
	for i := range r.slots {
		r.slots[i].number = -1
	}
	return r
}

// slot returns the slot of a number and drops an older one in its place.
func (r *reservationTable) slot(number int64) *timeSlot {
	s := &r.slots[number%slotCount]
	if s.number != number {
		*s = timeSlot{number: number}
	}
	return s
}

// horizon returns the time that all slots cover.
func (r *reservationTable) horizon() Nanos { return slotCount * r.slotLength }

// reserve makes a reservation in the first slot that has enough capacity at the given throughput. It returns the number
// of the slot and the serial of the reservation in it, and whether there is such a slot.
func (r *reservationTable) reserve(
	now Nanos, claim reservationClaim, throughput float64,
) (slot int64, serial uint32, ok bool) {
	capacity := reservablePart * throughput * float64(r.slotLength)
	first, last := now/r.slotLength+1, now/r.slotLength+slotCount-lateSlots-2
	heldCost := 0.0 // by the holder, in all slots so far
	for n := first; n <= last; n++ {
		s := r.slot(n)
		holderCost := &s.costByHolder[claim.holder%holderBuckets]
		heldCost += *holderCost
		maxHeldCost := claim.weight * maxHolderPart * capacity * float64(n-first+1)
		holderFull := heldCost > 0 && heldCost+claim.cost > maxHeldCost
		if n < claim.notBefore/r.slotLength || holderFull || !s.hasCapacity(claim.cost, capacity) {
			continue
		}
		s.cost += claim.cost
		*holderCost += claim.cost
		s.granted++
		return n, s.granted - 1, true
	}
	return 0, 0, false
}

// hasCapacity reports whether cost can be reserved in a slot. A request larger than a slot takes one of its own.
func (s *timeSlot) hasCapacity(cost, capacity float64) bool {
	return s.granted < maxTicketsPerSlot && (s.cost+cost <= capacity || s.granted == 0)
}

// redeem reports whether a ticket is valid now for the given tenant and client, and marks it as used.
func (r *reservationTable) redeem(now Nanos, tenant int, client uint64, ticket *Ticket) bool {
	if ticket.Tenant != tenant || ticket.Client != client || ticket.Serial >= maxTicketsPerSlot {
		return false
	}
	if n := now / r.slotLength; n < ticket.Slot-earlySlots || n > ticket.Slot+lateSlots {
		return false
	}
	s := &r.slots[ticket.Slot%slotCount]
	if s.number != ticket.Slot || ticket.Serial >= s.granted {
		return false
	}
	word, bit := &s.redeemed[ticket.Serial/64], uint64(1)<<(ticket.Serial%64)
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

// retryTime returns the time of a reservation's retry: reservations are spread over their slot by their serial.
func (r *reservationTable) retryTime(slot int64, serial uint32) Nanos {
	_, part := math.Modf(float64(serial) * goldenRatioPart)
	return slot*r.slotLength + Nanos(part*float64(r.slotLength))
}

// reserveRetry returns when the client of a rejected request should retry, minDelay from now at the earliest, and makes
// a reservation for it. If the tenant exceeded its rate, the retry comes no earlier than the rate allows.
func (q *fairQueue) reserveRetry(
	now Nanos, t *tenant, request pricedRequest, reason Verdict, minDelay Nanos,
) RetryAdvice {
	throughput := q.throughput.costPerNano(now)
	notBefore := now + minDelay
	if throughput <= 0 {
		notBefore = max(notBefore, now+Nanos(defaultRetryPart*float64(q.latencyObjective)))
	}
	if reason == TenantRateExceeded && t.RequestsPerSecond > 0 {
		notBefore = max(notBefore, now+Nanos((1-t.tokens)/t.RequestsPerSecond*nanosPerSecond))
		throughput = limitedThroughput(throughput, t.RequestsPerSecond/nanosPerSecond*request.cost)
	}
	if throughput <= 0 || q.reservations.signer == nil {
		return RetryAdvice{RetryAfter: max(notBefore-now, 1)}
	}
	if reason != TenantRateExceeded { // the requests before it in its flow are admitted first, not all that wait
		wait := q.estimatedWait(now, t, q.findFlow(now, t, request.Request), request.cost)
		notBefore = max(notBefore, now+min(wait, q.reservations.horizon()/2))
	}
	key, weight := q.clientKey(now, t, request.Request)
	claim := reservationClaim{
		notBefore: notBefore, holder: tenantHash(t.number, key.hash), weight: weight, cost: request.cost,
	}
	slot, serial, ok := q.reservations.reserve(now, claim, throughput)
	if !ok {
		return RetryAdvice{RetryAfter: q.reservations.horizon()}
	}
	t.counts.ReservationsGranted++
	return RetryAdvice{
		RetryAfter: max(q.reservations.retryTime(slot, serial)-now, 1),
		Ticket:     &Ticket{Tenant: t.number, Client: request.Client, Slot: slot, Serial: serial},
	}
}

// limitedThroughput returns the throughput of a tenant whose rate allows at most tenantThroughput, which also stands in
// for a throughput that is not measured.
func limitedThroughput(throughput, tenantThroughput float64) float64 {
	if throughput = min(throughput, tenantThroughput); throughput <= 0 {
		return tenantThroughput
	}
	return throughput
}
