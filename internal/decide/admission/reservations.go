package admission

import "math"

const (
	// slotCount is the number of time slots for which reservations can be made.
	slotCount = 256
	// slotLength is the length of a slot. The slots after that of a ticket in which it is valid cover the delay of a
	// retry on the network.
	slotLength = Nanos(250e6)
	// horizon is the total length of all slots.
	horizon = slotCount * slotLength
	// reservableFraction is the fraction of the throughput that can be reserved. The rest serves requests without a
	// reservation and absorbs a decrease in throughput.
	reservableFraction = 1.0 / 2
	// earlySlots and lateSlots are how many slots before and after its own a ticket is valid, to tolerate clock skew
	// and network delay.
	earlySlots = 1
	lateSlots  = 4
	// maxTicketsPerSlot is the maximum number of reservations of a slot.
	maxTicketsPerSlot = 4096
	// maxHolderFraction is the fraction of the capacity, of all slots up to that of a new reservation, that a holder
	// may reserve for each unit of its weight. One reservation is always allowed. A client that is rejected often thus
	// leaves capacity to others.
	maxHolderFraction = 1.0 / 8
	// holderBuckets is the number of hash buckets in which a slot sums the reserved cost of its holders.
	holderBuckets = 64
	// goldenRatioFraction is the fractional part of the golden ratio. Its multiples modulo 1 are spread evenly over
	// the slot, whatever the number of reservations.
	goldenRatioFraction = 0.6180339887498949
)

// reservationTable holds the reserved costs and the tickets of the upcoming time slots.
type reservationTable struct {
	signer *TicketSigner       // if nil, no reservations are made
	slots  [slotCount]timeSlot // ring buffer, indexed by slot number modulo slotCount
}

// timeSlot holds the reservations of one time slot.
type timeSlot struct {
	number       int64                          // start time divided by slotLength; -1 if unused
	cost         float64                        // total reserved cost
	granted      uint32                         // number of tickets granted
	redeemed     [maxTicketsPerSlot / 64]uint64 // bit set of the serials of the tickets used
	costByHolder [holderBuckets]float64         // reserved cost by hash of the holder
}

// reservationClaim describes a reservation to make.
type reservationClaim struct {
	notBefore Nanos   // earliest time of the retry
	holder    uint64  // hash of the client, or of its source if it is unknown
	weight    float64 // of the holder
	cost      float64
}

func newReservationTable(signer *TicketSigner) *reservationTable {
	r := &reservationTable{signer: signer}
	for i := range r.slots {
		r.slots[i].number = -1
	}
	return r
}

// slot returns the slot with the given number. It replaces the older slot at the same index of the ring buffer.
func (r *reservationTable) slot(number int64) *timeSlot {
	s := &r.slots[number%slotCount]
	if s.number != number {
		*s = timeSlot{number: number}
	}
	return s
}

// reserve makes a reservation in the first slot that has enough capacity at the given throughput. It returns the
// number of the slot and the serial of the reservation in it. ok is false if no slot has enough capacity.
func (r *reservationTable) reserve(
	now Nanos, claim reservationClaim, throughput float64,
) (slot int64, serial uint32, ok bool) {
	capacity := reservableFraction * throughput * float64(slotLength)
	first, last := now/slotLength+1, now/slotLength+slotCount-lateSlots-2
	heldCost := 0.0 // by the holder, in all slots so far
	for n := first; n <= last; n++ {
		s := r.slot(n)
		holderCost := &s.costByHolder[claim.holder%holderBuckets]
		heldCost += *holderCost
		maxHeldCost := claim.weight * maxHolderFraction * capacity * float64(n-first+1)
		holderFull := heldCost > 0 && heldCost+claim.cost > maxHeldCost
		if n < claim.notBefore/slotLength || holderFull || !s.hasCapacity(claim.cost, capacity) {
			continue
		}
		s.cost += claim.cost
		*holderCost += claim.cost
		s.granted++
		return n, s.granted - 1, true
	}
	return 0, 0, false
}

// hasCapacity reports whether cost can be reserved in a slot. A request that exceeds the capacity of a slot gets one
// of its own.
func (s *timeSlot) hasCapacity(cost, capacity float64) bool {
	return s.granted < maxTicketsPerSlot && (s.cost+cost <= capacity || s.granted == 0)
}

// redeem reports whether a ticket is valid now for the given tenant and client, and marks it as used.
func (r *reservationTable) redeem(now Nanos, tenant int, client uint64, ticket *Ticket) bool {
	if ticket.Tenant != tenant || ticket.Client != client || ticket.Serial >= maxTicketsPerSlot {
		return false
	}
	if n := now / slotLength; n < ticket.Slot-earlySlots || n > ticket.Slot+lateSlots {
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

// restore makes a ticket that was redeemed now valid again. It returns how long it is valid, at least 1 ns.
func (r *reservationTable) restore(now Nanos, ticket *Ticket) Nanos {
	s := &r.slots[ticket.Slot%slotCount]
	s.redeemed[ticket.Serial/64] &^= uint64(1) << (ticket.Serial % 64)
	return max((ticket.Slot+lateSlots+1)*slotLength-1-now, 1)
}

// retryTime returns when the client of a reservation should retry. The retries of a slot are spread over its length.
func (r *reservationTable) retryTime(slot int64, serial uint32) Nanos {
	_, fraction := math.Modf(float64(serial) * goldenRatioFraction)
	return slot*slotLength + Nanos(fraction*float64(slotLength))
}

// reserveRetry makes a reservation, if possible, for the retry of a rejected request and returns when its client should
// retry. That is at least minDelay from now and, if the tenant exceeded its rate, not before the rate allows it. It is
// at least the horizon of the reservations if none of their slots has capacity.
func (q *fairQueue) reserveRetry(
	now Nanos, t *tenant, request pricedRequest, reason Verdict, minDelay Nanos,
) RetryAdvice {
	throughput := q.throughput.CostPerNano()
	notBefore := now + minDelay
	if throughput <= 0 {
		notBefore = max(notBefore, now+request.RetryAfter)
	}
	if reason == TenantRateExceeded && t.RequestsPerSecond > 0 {
		notBefore = max(notBefore, now+Nanos((1-t.tokens)/t.RequestsPerSecond*nanosPerSecond))
		throughput = limitedThroughput(throughput, t.RequestsPerSecond/nanosPerSecond*request.cost)
	}
	if throughput <= 0 || q.reservations.signer == nil {
		return RetryAdvice{RetryAfter: max(notBefore-now, 1)}
	}
	if reason != TenantRateExceeded { // only requests ahead of it in its flow delay it, not all that wait
		wait := q.estimatedWait(t, q.findFlow(now, t, request.Request), request.cost)
		notBefore = max(notBefore, now+min(wait, horizon/2))
	}
	key, weight := q.clientKey(now, t, request.Request)
	claim := reservationClaim{
		notBefore: notBefore, holder: tenantHash(t.number, key.hash), weight: weight, cost: request.cost,
	}
	slot, serial, ok := q.reservations.reserve(now, claim, throughput)
	if !ok {
		return RetryAdvice{RetryAfter: max(horizon, notBefore-now)}
	}
	t.counts.ReservationsGranted++
	return RetryAdvice{
		RetryAfter: max(q.reservations.retryTime(slot, serial)-now, notBefore-now, 1),
		Ticket:     &Ticket{Tenant: t.number, Client: request.Client, Slot: slot, Serial: serial},
	}
}

// limitedThroughput returns the throughput available to a tenant whose rate limit amounts to tenantThroughput: the
// lower of the two, or tenantThroughput if the throughput has not been measured.
func limitedThroughput(throughput, tenantThroughput float64) float64 {
	if throughput = min(throughput, tenantThroughput); throughput <= 0 {
		return tenantThroughput
	}
	return throughput
}
