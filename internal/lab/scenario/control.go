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

// Tests that drive a deployment step by step, those of internal/e2e, call the exported methods of this file; a scenario
// reaches the same actions through its faults. So no command reaches some of them, and deadcode lists those.

// startDispatcher starts dispatcher n, on its former address if it ran before.
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

// RestartDispatcher starts dispatcher n, which was killed, on its former address and with its cached endpoint list.
func (d *Deployment) RestartDispatcher(n int) error { return d.startDispatcher(n) }

// KillDispatcher stops dispatcher n at once, without a drain. It does nothing if the dispatcher does not run.
func (d *Deployment) KillDispatcher(n int) {
	node := d.removeDispatcher(n)
	if node == nil {
		return
	}
	node.RunOnLoop(func(core *dispatch.Dispatcher) { d.stoppedCounts[n].Add(core.Counts) })
	d.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStopped, Dispatcher: n})
	node.Kill()
}

// DrainDispatcher drains dispatcher n within the given time and waits for its end.
func (d *Deployment) DrainDispatcher(n int, within time.Duration) {
	node := d.removeDispatcher(n)
	node.Drain(within)
	if err := node.Wait(); err != nil {
		d.logger.Error("dispatcher failed while draining", "dispatcher", n, "error", err)
	}
	d.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStopped, Dispatcher: n})
}

// removeDispatcher marks dispatcher n as stopped and returns the node that ran, or nil.
func (d *Deployment) removeDispatcher(n int) *grpcnode.Node {
	d.mu.Lock()
	defer d.mu.Unlock()
	node := d.dispatchers[n]
	d.dispatchers[n] = nil
	return node
}

// Dispatcher returns dispatcher n, or nil while it does not run.
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

// Proxies returns the proxies between dispatcher n and the servers, in the order of the servers.
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

// SetServerHealth publishes the health of a server, counted from 1, without the discovery delay.
func (d *Deployment) SetServerHealth(server int, health pb.Health) {
	d.health[server] = health
	d.publishEndpoint(server-1, true, d.processStart(d.Engines[server-1]))
}

// publishEndpoint tells the discovery servers the state of server i. The start time 0 stands for a process that has
// run for long.
func (d *Deployment) publishEndpoint(i int, immediately bool, startTime int64) {
	e := d.Engines[i]
	for n, server := range d.discoveryServers {
		server.Set(&pb.Host{
			Id: uint32(e.Spec.ID), Address: d.proxies[n][i].Addr(), Role: e.Spec.Role, Zone: e.Spec.Zone,
			Cell: e.Spec.Cell, Health: d.health[e.Spec.ID], StartedUnixNs: startTime,
		}, immediately)
	}
}

// processStart returns the start time of a server's process as it is published: 0 if it ran before the scenario.
func (d *Deployment) processStart(e *engine.Engine) int64 {
	at, _ := e.StartTime()
	if at.Before(d.startedAt) {
		return 0
	}
	return at.UnixNano()
}

// crashServer stops server i at once and publishes that it is gone.
func (d *Deployment) crashServer(i int) {
	e := d.Engines[i]
	e.Crash()
	d.health[e.Spec.ID] = pb.Health_HEALTH_GONE
	d.publishEndpoint(i, false, d.processStart(e))
}

// restartServer starts server i, which crashed.
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

// Counts returns the counts of all dispatchers, with those of incarnations that were killed.
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

// CheckInvariants returns the violations in what was logged so far.
func (d *Deployment) CheckInvariants() []invariants.Violation {
	return invariants.Check(d.Log.Entries(), d.Script.InvariantLimits())
}
