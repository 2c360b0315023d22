package dispatch

import "docksail/internal/decide/admission"

// Status is the state of a dispatcher as operators see it. It is written to the status file and to the log: names and
// order of the fields in JSON do not change.
type Status struct {
	InFlight           int `json:"InHand"`
	ClientConns        int `json:"Clients"`
	Waiting            int
	Flows              int
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

// TenantStatuses returns the state of the tenants in the settings' order: one without a name where tenants are not told
// apart, none without an admission queue.
func (d *Dispatcher) TenantStatuses() []TenantStatus { return d.admission.tenantStatuses() }

// SetTenantLimits changes the limits of the tenants, for waiting requests too: all of them or, with an error, none. The
// tenants must be those of the start.
func (d *Dispatcher) SetTenantLimits(tenants []Tenant) error {
	return d.admission.setTenantLimits(tenants)
}
