package admission

import (
	"fmt"
)

// TenantLimits is what a tenant may do.
type TenantLimits struct {
	Weight            float64 // its part of the service while others want some too
	RequestsPerSecond float64 // requests a second, with one second's worth at once; 0 = no limit
	MaxWaiting        int     // requests waiting in the admission queue; 0 = as many as fit
	MaxRunning        int     // requests let in and not over; 0 = no limit
	MaxPromptTokens   int64   // tokens of a prompt; 0 = no limit
}

// TenantCounts are what a queue counted of a tenant.
type TenantCounts struct {
	Arrived              uint64
	Admitted             uint64
	Cancelled            uint64
	Rejected             [verdictCount]uint64 `json:"Refused"`
	TotalWait            Nanos                `json:"Waited"`  // of the requests admitted
	MaxWait              Nanos                `json:"Longest"` // of the requests admitted
	AdmittedCost         float64              `json:"Cost"`
	ReservationsGranted  uint64               `json:"Booked"`
	ReservationsRedeemed uint64               `json:"Returned"`       // requests that came with a ticket
	ReservationsAdmitted uint64               `json:"KeptBookings"`   // of these, the ones admitted
	ReservationsInvalid  uint64               `json:"WithoutBooking"` // tickets that were not honored
}

// Add adds up counts.
func (c *TenantCounts) Add(o TenantCounts) {
	c.Arrived, c.Admitted, c.Cancelled = c.Arrived+o.Arrived, c.Admitted+o.Admitted, c.Cancelled+o.Cancelled
	for i := range c.Rejected {
		c.Rejected[i] += o.Rejected[i]
	}
	c.TotalWait, c.MaxWait, c.AdmittedCost = c.TotalWait+o.TotalWait, max(c.MaxWait, o.MaxWait), c.AdmittedCost+o.AdmittedCost
	c.ReservationsGranted, c.ReservationsRedeemed, c.ReservationsAdmitted, c.ReservationsInvalid = c.ReservationsGranted+o.ReservationsGranted, c.ReservationsRedeemed+o.ReservationsRedeemed, c.ReservationsAdmitted+o.ReservationsAdmitted, c.ReservationsInvalid+o.ReservationsInvalid
}

// Validate says what is wrong with a tenant's terms.
func (l TenantLimits) Validate() error {
	if !(l.Weight > 0) || l.RequestsPerSecond < 0 || l.MaxWaiting < 0 || l.MaxRunning < 0 || l.MaxPromptTokens < 0 {
		return fmt.Errorf("weight %v, rate %v, waiting %d, running %d, prompt %d: want a weight above 0 and no limit below 0",
			l.Weight, l.RequestsPerSecond, l.MaxWaiting, l.MaxRunning, l.MaxPromptTokens)
	}
	return nil
}

// SetTenant adds tenant n, or changes what it may do; it holds for requests that wait too.
func (q *Queue) SetTenant(n int, t TenantLimits) error {
	if n < 0 || n > len(q.tenants) {
		return fmt.Errorf("tenant %d: want 0 to %d", n, len(q.tenants))
	}
	if err := t.Validate(); err != nil {
		return fmt.Errorf("tenant %d: %w", n, err)
	}
	if n == len(q.tenants) {
		q.tenants = append(q.tenants, &tenant{
			n: n, flows: make(map[flowKey]*flow), active: flowHeap(), heavy: heavyHeap(),
			start: q.virtual, tokens: burstSeconds * t.RequestsPerSecond,
		})
	}
	tn := q.tenants[n]
	tn.TenantLimits, tn.gone = t, false
	q.place(tn)
	if q.backgroundQueue != nil { // its limits hold for what somebody waits for; background work has the queue's
		return q.backgroundQueue.SetTenant(n, TenantLimits{Weight: t.Weight, MaxPromptTokens: t.MaxPromptTokens})
	}
	return nil
}

// TenantCounts gives what was counted of a tenant.
func (q *Queue) TenantCounts(n int) TenantCounts { return q.tenants[n].Counts }

// TenantLoad gives how many requests of a tenant wait and run.
func (q *Queue) TenantLoad(n int) (waiting, running int) {
	return q.tenants[n].waiting, q.tenants[n].running
}
