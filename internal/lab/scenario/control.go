package scenario

import (
	"slices"
	"time"

	pb "docksail/api/docksail/v1"
	"docksail/internal/config"
	"docksail/internal/dispatch"
	"docksail/internal/grpcnode"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/faultproxy"
	"docksail/internal/lab/invariants"
)

// The tests of internal/e2e drive a deployment step by step with the exported methods of this file. Scenarios perform
// the same actions through their faults, so deadcode lists the methods that no command calls.

// startDispatcher starts dispatcher n, on its previous address if it ran before.
func (d *Deployment) startDispatcher(n int) error {
	c := *d.configs[n]
	if d.addresses[n].IsValid() {
		c.Listen = d.addresses[n]
	}
	var wrap func(dispatch.Module) dispatch.Module
	if d.wrapModule != nil {
		wrap = d.wrapModule(n)
	}
	node, err := grpcnode.Start(&c, d.logger.With("dispatcher", n), wrap)
	if err != nil {
		return err
	}
	d.mu.Lock()
	d.dispatchers[n], d.addresses[n] = node, node.Addr
	d.mu.Unlock()
	d.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStarted, Dispatcher: n})
	return nil
}

// RestartDispatcher starts dispatcher n after a kill, on its previous address and with its cached endpoint list.
func (d *Deployment) RestartDispatcher(n int) error { return d.startDispatcher(n) }

// KillDispatcher stops dispatcher n at once, without a drain. It does nothing if the dispatcher is not running.
func (d *Deployment) KillDispatcher(n int) {
	node := d.removeDispatcher(n)
	if node == nil {
		return
	}
	node.RunOnLoop(func(core *dispatch.Dispatcher) { d.stoppedCounts[n].Add(core.Counts) })
	d.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStopped, Dispatcher: n})
	node.Kill()
}

// DrainDispatcher drains dispatcher n, with the given time as the limit, and waits until it has stopped.
func (d *Deployment) DrainDispatcher(n int, within time.Duration) {
	node := d.removeDispatcher(n)
	node.Drain(within)
	if err := node.Wait(); err != nil {
		d.logger.Error("dispatcher failed while draining", "dispatcher", n, "error", err)
	}
	d.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStopped, Dispatcher: n})
}

// removeDispatcher marks dispatcher n as stopped and returns its node, or nil if it was not running.
func (d *Deployment) removeDispatcher(n int) *grpcnode.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.dispatchers[n]
	d.dispatchers[n] = nil
	return node
}

// Dispatcher returns dispatcher n, or nil while it is not running.
func (d *Deployment) Dispatcher(n int) *grpcnode.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.dispatchers[n]
}

// DispatcherConfig returns a copy of the configuration of dispatcher n.
func (d *Deployment) DispatcherConfig(n int) *config.Dispatcher {
	c := *d.configs[n]
	c.Tenants = slices.Clone(c.Tenants)
	return &c
}

// Addresses returns the addresses of all dispatchers.
func (d *Deployment) Addresses() []string {
	var addresses []string
	for _, address := range d.addresses {
		addresses = append(addresses, address.String())
	}
	return addresses
}

// Proxies returns the proxies between dispatcher n and the servers, by index of the server.
func (d *Deployment) Proxies(n int) []*faultproxy.Proxy { return d.proxies[n] }

// SetDiscoveryRunning starts or stops all discovery servers.
func (d *Deployment) SetDiscoveryRunning(running bool) error {
	for _, server := range d.discoveryServers {
		if !running {
			server.Stop()
		} else if err := server.Start(""); err != nil {
			return err
		}
	}
	return nil
}

// SetServerHealth publishes the health of a server, by its number from 1, without the discovery delay.
func (d *Deployment) SetServerHealth(server int, health pb.Health) {
	d.health[server] = health
	d.publishEndpoint(server-1, true, d.processStart(d.Engines[server-1]))
}

// publishEndpoint publishes the state of server i at the discovery servers. startTime is in Unix nanoseconds; 0 stands
// for a process that was started before the scenario.
func (d *Deployment) publishEndpoint(i int, immediately bool, startTime int64) {
	e := d.Engines[i]
	for n, server := range d.discoveryServers {
		server.Set(&pb.Host{
			Id: uint32(e.Spec.ID), Address: d.proxies[n][i].Addr(), Role: e.Spec.Role, Zone: e.Spec.Zone,
			Cell: e.Spec.Cell, Health: d.health[e.Spec.ID], StartedUnixNs: startTime,
		}, immediately)
	}
}

// processStart returns the published start time of a server's process: 0 if it was started before the scenario.
func (d *Deployment) processStart(e *engine.Engine) int64 {
	at, _ := e.StartTime()
	if at.Before(d.startedAt) {
		return 0
	}
	return at.UnixNano()
}

// crashServer kills server i and publishes that it is gone.
func (d *Deployment) crashServer(i int) {
	e := d.Engines[i]
	e.Crash()
	d.health[e.Spec.ID] = pb.Health_HEALTH_GONE
	d.publishEndpoint(i, false, d.processStart(e))
}

// restartServer starts server i after a crash.
func (d *Deployment) restartServer(i int) {
	e := d.Engines[i]
	if err := e.Start(""); err != nil {
		d.logger.Error("server restart failed", "server_id", e.Spec.ID, "error", err)
		return
	}
	d.health[e.Spec.ID] = pb.Health_HEALTH_SERVING
	at, _ := e.StartTime()
	d.publishEndpoint(i, false, at.UnixNano())
}

// Counts returns the sum of the counts of all dispatchers, including those of killed incarnations.
func (d *Deployment) Counts() dispatch.Counts {
	var sum dispatch.Counts
	for n := range d.dispatchers {
		sum.Add(d.stoppedCounts[n])
		if node := d.Dispatcher(n); node != nil {
			node.RunOnLoop(func(core *dispatch.Dispatcher) { sum.Add(core.Counts) })
		}
	}
	return sum
}

// CheckInvariants returns the violations of invariants in the event log so far.
func (d *Deployment) CheckInvariants() []invariants.Violation {
	return invariants.Check(d.Log.Entries(), d.Script.InvariantLimits())
}
