package dispatch

import "docksail/internal/decide/admission"

// Status is the state of a dispatcher. It is written to the status file and to the log, so the names and the order of
// the fields in JSON must not change.
type Status struct {
	InFlight           int `json:"InHand"`
	ClientConns        int `json:"Clients"`
	Waiting            int
	Flows              int     // flows of interactive requests that the admission queue remembers
	BackgroundWaiting  int     `json:"Background"`
	BackgroundInFlight int     `json:"BackgroundOut"`
	BackgroundLimit    float64 `json:"Spare"` // how many background requests may be in flight
	Counts             Counts
}

// TenantStatus is the state of a tenant in the admission queue.
type TenantStatus struct {
	Name             string
	Weight           float64
	Waiting, Running int
	Counts           admission.TenantCounts
}

// InFlight returns the number of requests in flight.
func (d *Dispatcher) InFlight() int { return d.requests.Len() }

// Status returns the current state. Without an admission queue the fields about the queue are 0.
func (d *Dispatcher) Status() Status {
	status := Status{InFlight: d.requests.Len(), ClientConns: d.frontend.ConnCount(), Counts: d.Counts}
	d.admission.addStatus(&status)
	return status
}

// TenantStatuses returns the state of the tenants in the order of the configuration: one without a name if tenants are
// not distinguished, none without an admission queue.
func (d *Dispatcher) TenantStatuses() []TenantStatus { return d.admission.tenantStatuses() }

// SetTenantLimits changes the limits of all tenants or, if it returns an error, of none. The limits apply to waiting
// requests, too. The tenants must be those that the dispatcher was started with, in the same order.
func (d *Dispatcher) SetTenantLimits(tenants []Tenant) error {
	return d.admission.setTenantLimits(tenants)
}
