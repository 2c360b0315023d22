package dispatch

import (
	"docksail/internal/config"
	"docksail/internal/decide/admission"
	"docksail/internal/eventloop"
	"docksail/internal/frontend/grpc"
	"fmt"
	"runtime/metrics"
)

// What people see of a dispatcher, and what they may change while it runs.

// Counts are what a dispatcher counted since its start.
type Counts struct {
	Requests          uint64
	Served            uint64
	Rejected          uint64
	Failed            uint64
	ClientDisconnects uint64 `json:"ClientsLeft"`
	RejectedAtIntake  uint64 `json:"Refused"`
	Attempts          uint64
	Cancels           uint64
	TimedOut          uint64
	Broken            uint64
	Releases          uint64
	ReleasesLost      uint64
	Messages          uint64 // messages relayed
	StaleLoadReports  uint64 `json:"LateReports"`
	LoadReports       uint64 `json:"Reports"`
	InvalidDecisions  uint64 // decisions that the request's state does not allow: faults of the program
	MissedDeadlines   uint64 `json:"Overdue"` // requests answered only by the dispatcher's own deadline: faults of the program
	Pings             uint64
	DeadConnections   uint64
}

// InFlight counts requests in hand, Clients open connections of clients.
func (d *Dispatcher) InFlight() int { return d.requests.Len() }

// ClientConnCount counts open connections of clients.
func (d *Dispatcher) ClientConnCount() int { return d.entry.ConnCount() }

// FrontendCounts gives what the front counted.
func (d *Dispatcher) FrontendCounts() grpc.Counts {
	if d.grpcEntry == nil {
		return grpc.Counts{}
	}
	return d.grpcEntry.Counts()
}

// HasEndpointList tells that a list of engines is known.
func (d *Dispatcher) HasEndpointList() bool { return d.gate.ListKnown }

// Add adds up counts.
func (c *Counts) Add(o Counts) {
	for _, f := range []struct {
		to   *uint64
		from uint64
	}{
		{&c.Requests, o.Requests},
		{&c.Served, o.Served},
		{&c.Rejected, o.Rejected},
		{&c.Failed, o.Failed},
		{&c.ClientDisconnects, o.ClientDisconnects},
		{&c.RejectedAtIntake, o.RejectedAtIntake},
		{&c.Attempts, o.Attempts},
		{&c.Cancels, o.Cancels},
		{&c.TimedOut, o.TimedOut},
		{&c.Broken, o.Broken},
		{&c.Releases, o.Releases},
		{&c.ReleasesLost, o.ReleasesLost},
		{&c.Messages, o.Messages},
		{&c.StaleLoadReports, o.StaleLoadReports},
		{&c.LoadReports, o.LoadReports},
		{&c.InvalidDecisions, o.InvalidDecisions},
		{&c.MissedDeadlines, o.MissedDeadlines},
		{&c.Pings, o.Pings},
		{&c.DeadConnections, o.DeadConnections},
	} {
		*f.to += f.from
	}
}

// memory reads how much the process uses, now and then.
type memory struct {
	most   uint64 // 0 = not bounded
	used   uint64
	at     eventloop.Nanos
	sample [1]metrics.Sample
}

const memoryEvery = 100e6 // nanoseconds between two readings, each some microseconds

func (m *memory) inUse(now eventloop.Nanos) uint64 {
	if m.most > 0 && (m.at == 0 || now-m.at >= memoryEvery) {
		m.at, m.sample[0].Name = now, "/memory/classes/heap/objects:bytes"
		metrics.Read(m.sample[:])
		m.used = m.sample[0].Value.Uint64()
	}
	return m.used
}

// TenantStatus is how a tenant does in the admission queue.
type TenantStatus struct {
	Name             string
	Weight           float64
	Waiting, Running int
	Counts           admission.TenantCounts
}

// Status is a dispatcher's state as people see it.
type Status struct {
	InFlight           int `json:"InHand"`
	ClientConns        int `json:"Clients"`
	Waiting            int
	Flows              int
	BackgroundWaiting  int     `json:"Background"`
	BackgroundInFlight int     `json:"BackgroundOut"`
	BackgroundLimit    float64 `json:"Spare"` // how many background requests may be in flight
	Counts             Counts
	Frontend           grpc.Counts    `json:"Front"`
	Tenants            []TenantStatus // in the settings' order; one without a name where they name none
}

// Status gives the state of now.
func (d *Dispatcher) Status() Status {
	v := Status{
		InFlight: d.requests.Len(), ClientConns: d.entry.ConnCount(), Waiting: d.queue.Waiting(), Flows: d.queue.FlowCount(), Counts: d.Counts,
		BackgroundWaiting: d.queue.BackgroundWaiting(), BackgroundInFlight: d.queue.BackgroundInFlight(), BackgroundLimit: d.queue.BackgroundLimit(),
		Frontend: d.FrontendCounts(),
	}
	for i, t := range d.tenantTerms {
		w, r := d.queue.TenantLoad(i)
		v.Tenants = append(v.Tenants, TenantStatus{Name: d.tenantNames[i], Weight: t.Weight, Waiting: w, Running: r, Counts: d.queue.TenantCounts(i)})
	}
	return v
}

// SetTenantLimits changes what tenants may do in the admission queue, for requests that wait too: all of them or, with an error, none. The
// tenants must be those of the start.
func (d *Dispatcher) SetTenantLimits(s *config.Dispatcher) error {
	if len(s.Tenants) != len(d.tenants) {
		return fmt.Errorf("%d tenants, want the %d of the start", len(s.Tenants), len(d.tenants))
	}
	for i, t := range s.Tenants {
		if n, ok := d.tenants[t.Name]; !ok || int(n) != i {
			return fmt.Errorf("tenant %q is new or in another place, want the tenants of the start", t.Name)
		}
	}
	terms := s.TenantLimits()
	for _, t := range terms {
		if err := t.Validate(); err != nil {
			return err
		}
	}
	for i, t := range terms {
		if err := d.queue.SetTenant(i, t); err != nil {
			return err
		}
	}
	d.tenantTerms = terms
	return nil
}
