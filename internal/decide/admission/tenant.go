package admission

import (
	"fmt"

	"docksail/internal/indexedheap"
)

// burstSeconds is the burst that a tenant may send at once, in seconds of its rate.
const burstSeconds = 1

const nanosPerSecond = 1e9

// TenantLimits are the weight and the limits of a tenant.
type TenantLimits struct {
	Weight            float64 // share of the service relative to other tenants with waiting requests
	RequestsPerSecond float64 // with a burst of burstSeconds; 0 = no limit
	MaxWaiting        int     // requests in the queue; 0 = limited by the queue only
	MaxRunning        int     // requests that were admitted and have not ended; 0 = no limit
	MaxPromptTokens   int64   // 0 = no limit
}

// Validate returns an error if the weight is not above 0 or a limit is below 0.
func (l TenantLimits) Validate() error {
	if !(l.Weight > 0) || l.RequestsPerSecond < 0 || l.MaxWaiting < 0 || l.MaxRunning < 0 || l.MaxPromptTokens < 0 {
		return fmt.Errorf("weight %v must be above 0; rate %v, max waiting %d, running %d and prompt %d must be at least 0",
			l.Weight, l.RequestsPerSecond, l.MaxWaiting, l.MaxRunning, l.MaxPromptTokens)
	}
	return nil
}

// TenantCounts are the counters of a tenant since the queue was created.
type TenantCounts struct {
	Arrived              uint64
	Admitted             uint64
	Cancelled            uint64
	Rejected             [verdictCount]uint64 `json:"Refused"` // by verdict
	TotalWait            Nanos                `json:"Waited"`  // of the admitted requests
	MaxWait              Nanos                `json:"Longest"` // of the admitted requests
	AdmittedCost         float64              `json:"Cost"`
	ReservationsGranted  uint64               `json:"Booked"`
	ReservationsRedeemed uint64               `json:"Returned"`       // requests with a valid ticket
	ReservationsAdmitted uint64               `json:"KeptBookings"`   // admitted requests with a valid ticket
	ReservationsInvalid  uint64               `json:"WithoutBooking"` // requests with an invalid ticket
}

// Add adds the counters of other to c; MaxWait becomes the maximum of both.
func (c *TenantCounts) Add(other TenantCounts) {
	c.Arrived += other.Arrived
	c.Admitted += other.Admitted
	c.Cancelled += other.Cancelled
	for verdict := range c.Rejected {
		c.Rejected[verdict] += other.Rejected[verdict]
	}
	c.TotalWait += other.TotalWait
	c.MaxWait = max(c.MaxWait, other.MaxWait)
	c.AdmittedCost += other.AdmittedCost
	c.ReservationsGranted += other.ReservationsGranted
	c.ReservationsRedeemed += other.ReservationsRedeemed
	c.ReservationsAdmitted += other.ReservationsAdmitted
	c.ReservationsInvalid += other.ReservationsInvalid
}

func (c *TenantCounts) recordAdmitted(queued *queuedRequest, wait Nanos) {
	c.Admitted++
	c.TotalWait += wait
	c.MaxWait = max(c.MaxWait, wait)
	c.AdmittedCost += queued.cost
	if queued.hasReservation {
		c.ReservationsAdmitted++
	}
}

// tenant is the state of a tenant in a queue.
type tenant struct {
	TenantLimits
	number      int
	flows       map[flowKey]*flow
	activeFlows indexedheap.Heap[*flow] // flows with waiting requests, by start tag
	flowsByLoad indexedheap.Heap[*flow] // the same flows, the one with the most load first
	virtualTime float64                 // among its flows
	startTag    float64                 // virtual time among tenants at which the service of its next request starts
	activeIndex int                     // in fairQueue.activeTenants
	waiting     int
	running     int
	tokens      float64 // of the token bucket for RequestsPerSecond
	refilledAt  Nanos
	counts      TenantCounts
}

// setTenant adds a tenant or changes its limits; see Queue.SetTenant.
func (q *fairQueue) setTenant(number int, limits TenantLimits) error {
	if number < 0 || number > len(q.tenants) {
		return fmt.Errorf("tenant number is %d, must be 0 to %d", number, len(q.tenants))
	}
	if err := limits.Validate(); err != nil {
		return fmt.Errorf("tenant %d: %w", number, err)
	}
	if number == len(q.tenants) {
		q.tenants = append(q.tenants, &tenant{
			number:      number,
			flows:       make(map[flowKey]*flow),
			activeFlows: newFlowHeap(),
			flowsByLoad: newLoadHeap(),
			startTag:    q.virtualTime,
			tokens:      burstSeconds * limits.RequestsPerSecond,
		})
	}
	t := q.tenants[number]
	t.TenantLimits = limits
	q.updateTenant(t)
	return nil
}

// refillTokens adds the tokens for the time that has passed since the last refill. A time before that adds none.
func (t *tenant) refillTokens(now Nanos) {
	if now <= t.refilledAt {
		return
	}
	if t.RequestsPerSecond > 0 {
		refill := float64(now-t.refilledAt) / nanosPerSecond * t.RequestsPerSecond
		t.tokens = min(t.tokens+refill, max(burstSeconds*t.RequestsPerSecond, 1))
	}
	t.refilledAt = now
}
