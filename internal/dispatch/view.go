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
	Requests, Served, Rejected, Failed, ClientsLeft, Refused uint64
	Attempts, Cancels, TimedOut, Broken                      uint64
	Releases, ReleasesLost                                   uint64
	Messages                                                 uint64 // messages relayed
	LateReports, Reports                                     uint64
	InvalidDecisions                                         uint64 // decisions that the account of a request refused: faults of the program
	Overdue                                                  uint64 // requests that had to be answered by the dispatcher's own deadline: faults of the program
	Pings, DeadConnections                                   uint64
}

// InHand counts requests in hand, Clients open connections of clients.
func (d *Dispatcher) InHand() int { return d.requests.Len() }

// Clients counts open connections of clients.
func (d *Dispatcher) Clients() int { return d.entry.Conns() }

// Front gives what the front counted.
func (d *Dispatcher) Front() grpc.Counts {
	if d.grpcEntry == nil {
		return grpc.Counts{}
	}
	return d.grpcEntry.Count()
}

// Known tells that a list of engines is known.
func (d *Dispatcher) Known() bool { return d.gate.ListKnown }

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
		{&c.ClientsLeft, o.ClientsLeft},
		{&c.Refused, o.Refused},
		{&c.Attempts, o.Attempts},
		{&c.Cancels, o.Cancels},
		{&c.TimedOut, o.TimedOut},
		{&c.Broken, o.Broken},
		{&c.Releases, o.Releases},
		{&c.ReleasesLost, o.ReleasesLost},
		{&c.Messages, o.Messages},
		{&c.LateReports, o.LateReports},
		{&c.Reports, o.Reports},
		{&c.InvalidDecisions, o.InvalidDecisions},
		{&c.Overdue, o.Overdue},
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

// TenantView is how a tenant does in the admission queue.
type TenantView struct {
	Name             string
	Weight           float64
	Waiting, Running int
	Counts           admission.Counts
}

// View is a dispatcher's state as people see it.
type View struct {
	InHand, Clients, Waiting, Flows int
	Background, BackgroundOut       int     // waiting and at hand
	Spare                           float64 // so many may be at hand
	Counts                          Counts
	Front                           grpc.Counts
	Tenants                         []TenantView // in the settings' order; one without a name where they name none
}

// View gives the state of now.
func (d *Dispatcher) View() View {
	v := View{
		InHand: d.requests.Len(), Clients: d.entry.Conns(), Waiting: d.queue.Waiting(), Flows: d.queue.Flows(), Counts: d.Counts,
		Background: d.queue.BackgroundWaiting(), BackgroundOut: d.queue.BackgroundLimit.Out(), Spare: d.queue.BackgroundLimit.Allowance(),
		Front: d.Front(),
	}
	for i, t := range d.tenantTerms {
		w, r := d.queue.Tenant(i)
		v.Tenants = append(v.Tenants, TenantView{Name: d.tenantNames[i], Weight: t.Weight, Waiting: w, Running: r, Counts: d.queue.Counts(i)})
	}
	return v
}

// Terms changes what tenants may do in the admission queue, for requests that wait too: all of them or, with an error, none. The
// tenants must be those of the start.
func (d *Dispatcher) Terms(s *config.Dispatcher) error {
	if len(s.Tenants) != len(d.tenants) {
		return fmt.Errorf("%d tenants, want the %d of the start", len(s.Tenants), len(d.tenants))
	}
	for i, t := range s.Tenants {
		if n, ok := d.tenants[t.Name]; !ok || int(n) != i {
			return fmt.Errorf("tenant %q is new or in another place, want the tenants of the start", t.Name)
		}
	}
	terms := s.TenantTerms()
	for _, t := range terms {
		if err := t.Check(); err != nil {
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
