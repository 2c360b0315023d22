package platform

import (
	"fmt"
	"net/netip"
	"slices"

	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/policy"
)

// healthByState maps the states of an endpoint list to the health of a server.
var healthByState = map[string]policy.Health{
	"Ready":       policy.Serving,
	"Terminating": policy.Draining,
	"Gone":        policy.Gone,
}

// listing is a valid entry of the endpoint list.
type listing struct {
	addr      netip.AddrPort
	zone      int
	kind      int
	cell      int64
	health    policy.Health
	startedAt int64 // Unix nanoseconds
}

// SetInitialList applies the list that the process was started with.
func (b *Backend) SetInitialList(now eventloop.Nanos, list EndpointList) {
	b.discovery.version = list.Version
	b.ApplyList(now, list)
}

// ApplyList updates the servers from a full list or a change, and reports the update to the dispatcher. Servers that a
// full list does not name are gone.
func (b *Backend) ApplyList(now eventloop.Nanos, list EndpointList) {
	b.Counts.ListUpdates++
	for _, err := range list.InvalidEntries {
		b.log.Warn("endpoint list entry rejected", "error", err)
	}
	if len(list.Endpoints) == 0 && !list.Full {
		return
	}
	var affected []*server
	b.dispatcher.EndpointListUpdated(now, list.Full, len(list.Endpoints) > 0, func(module dispatch.Module) {
		affected = b.applyEntries(now, module, list)
	})
	for _, srv := range affected {
		srv.applyHealth(now)
	}
}

// applyEntries applies the entries of a list and returns the affected servers: those that the list names and, if it is
// full, those that it does not name.
func (b *Backend) applyEntries(now eventloop.Nanos, module dispatch.Module, list EndpointList) []*server {
	affected := make([]*server, 0, len(list.Endpoints))
	named := make(map[*server]bool, len(list.Endpoints))
	for _, endpoint := range list.Endpoints {
		b.applyEntry(now, module, endpoint, list.Full)
		srv := b.byName[endpoint.ID]
		if srv != nil && !named[srv] {
			named[srv] = true
			affected = append(affected, srv)
		}
	}
	if !list.Full {
		return affected
	}
	for _, srv := range b.servers {
		if !named[srv] {
			srv.health = policy.Gone
			affected = append(affected, srv)
		}
	}
	return affected
}

// applyEntry applies one entry. A known server whose entry is invalid keeps its previous listing, which is reported
// again if the list is full.
func (b *Backend) applyEntry(now eventloop.Nanos, module dispatch.Module, endpoint Endpoint, full bool) {
	srv := b.byName[endpoint.ID]
	if healthByState[endpoint.State] == policy.Gone {
		b.applyGone(module, srv, endpoint)
		return
	}
	parsed, err := b.parseEndpoint(endpoint)
	switch {
	case err == nil && srv == nil:
		srv = b.addServer(endpoint.ID)
	case err != nil:
		b.log.Warn("endpoint list entry rejected", "error", err)
		if !full || srv == nil || srv.health == policy.Gone {
			return
		}
		parsed = srv.listing
	}
	b.applyListing(now, module, srv, parsed)
}

// parseEndpoint validates an entry. It returns an error if the entry names an unknown state, zone or kind, or lacks an
// ID or a valid address.
func (b *Backend) parseEndpoint(e Endpoint) (listing, error) {
	health, known := healthByState[e.State]
	zone, kind := slices.Index(b.zones, e.Zone), slices.Index(b.kinds, e.Kind)
	addr, err := netip.ParseAddrPort(e.Addr)
	switch {
	case e.ID == "" || !known:
		return listing{}, fmt.Errorf("server %q: the ID is empty or the state %q is unknown", e.ID, e.State)
	case err != nil:
		return listing{}, fmt.Errorf("server %q: %w", e.ID, err)
	case zone < 0 || kind < 0:
		return listing{}, fmt.Errorf("server %q: zone %q or kind %q is not in the settings", e.ID, e.Zone, e.Kind)
	}
	return listing{
		addr: addr, zone: zone, kind: kind, cell: e.Cell, health: health, startedAt: int64(e.StartedMS * 1e6),
	}, nil
}

// applyListing updates a server from a valid entry.
func (b *Backend) applyListing(now eventloop.Nanos, module dispatch.Module, srv *server, l listing) {
	isOtherProcess := srv.listing.addr != l.addr || srv.startedAt < l.startedAt
	srv.listing = l
	srv.startedAt, srv.role, srv.health = max(l.startedAt, srv.startedAt), b.roles[l.kind], l.health
	if isOtherProcess {
		srv.closeIdleConns() // with the new health: the end of the last connection would remove a server that is gone
	}
	module.ServerListed(srv.id, policy.ZoneID(l.zone), policy.KindID(l.kind), policy.CellID(l.cell), l.health,
		min(policy.Nanos(l.startedAt), b.dispatcher.ModuleTime(now)))
}

// applyGone records that a server is gone, if it was known.
func (b *Backend) applyGone(module dispatch.Module, srv *server, e Endpoint) {
	if srv == nil {
		return
	}
	srv.health = policy.Gone
	zone, kind := slices.Index(b.zones, e.Zone), slices.Index(b.kinds, e.Kind)
	module.ServerListed(srv.id, policy.ZoneID(max(zone, 0)), policy.KindID(max(kind, 0)), policy.CellID(e.Cell),
		policy.Gone, 0)
}
