package admission

import (
	"fmt"
)

// Tenant is what a tenant may do.
type Tenant struct {
	Weight    float64 // its part of the service while others want some too
	Rate      float64 // requests a second, with one second's worth at once; 0 = no limit
	Waiting   int     // requests waiting in the admission queue; 0 = as many as fit
	Running   int     // requests let in and not over; 0 = no limit
	PromptMax int64   // tokens of a prompt; 0 = no limit
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

// Check says what is wrong with a tenant's terms.
func (t Tenant) Check() error {
	if !(t.Weight > 0) || t.Rate < 0 || t.Waiting < 0 || t.Running < 0 || t.PromptMax < 0 {
		return fmt.Errorf("weight %v, rate %v, waiting %d, running %d, prompt %d: want a weight above 0 and no limit below 0",
			t.Weight, t.Rate, t.Waiting, t.Running, t.PromptMax)
	}
	return nil
}

// SetTenant adds tenant n, or changes what it may do; it holds for requests that wait too.
func (q *Queue) SetTenant(n int, t Tenant) error {
	if n < 0 || n > len(q.tenants) {
		return fmt.Errorf("tenant %d: want 0 to %d", n, len(q.tenants))
	}
	if err := t.Check(); err != nil {
		return fmt.Errorf("tenant %d: %w", n, err)
	}
	if n == len(q.tenants) {
		q.tenants = append(q.tenants, &tenant{
			n: n, flows: make(map[flowKey]*flow), active: flowHeap(), heavy: heavyHeap(),
			start: q.virtual, tokens: burstSeconds * t.Rate,
		})
	}
	tn := q.tenants[n]
	tn.Tenant, tn.gone = t, false
	q.place(tn)
	if q.backgroundQueue != nil { // its limits hold for what somebody waits for; background work has the queue's
		return q.backgroundQueue.SetTenant(n, Tenant{Weight: t.Weight, PromptMax: t.PromptMax})
	}
	return nil
}

// Counts gives what was counted of a tenant.
func (q *Queue) Counts(n int) Counts { return q.tenants[n].Counts }

// Tenant gives how many requests of a tenant wait and run.
func (q *Queue) Tenant(n int) (waiting, running int) {
	return q.tenants[n].waiting, q.tenants[n].running
}
