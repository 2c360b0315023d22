package platform

import (
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/policy"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"slices"
)

// EndpointList is the platform's list of servers, or changes of it.
type EndpointList struct {
	Version        int64      `json:"version"`
	Full           bool       `json:"full"`
	Endpoints      []Endpoint `json:"servers"`
	InvalidEntries []error    `json:"-"` // entries that are no Server; the others are taken without them
}

// Endpoint is one entry of it.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int64   `json:"cell"`
	State     string  `json:"state"`
	StartedMS float64 `json:"started_ms"`
}

// errNoReadableEndpoints is a whole list that names no servers at all, or none that can be read. An empty array is no such list: it
// says that there are none.
var errNoReadableEndpoints = errors.New("a whole list of which no server can be read")

// UnmarshalJSON reads a list entry by entry, so that one that cannot be read does not cost the others.
func (l *EndpointList) UnmarshalJSON(text []byte) error {
	var raw struct {
		Version int64             `json:"version"`
		Full    bool              `json:"full"`
		Servers []json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return err
	}
	if raw.Full && raw.Servers == nil {
		return errNoReadableEndpoints
	}
	*l = EndpointList{Version: raw.Version, Full: raw.Full, Endpoints: make([]Endpoint, 0, len(raw.Servers))}
	for _, entry := range raw.Servers {
		var server Endpoint
		if err := json.Unmarshal(entry, &server); err != nil {
			l.InvalidEntries = append(l.InvalidEntries, fmt.Errorf("entry %.80q: %w", entry, err))
			if server.ID == "" {
				continue
			}
			server.State = "" // no state: a server that is known stays as it was
		}
		l.Endpoints = append(l.Endpoints, server)
	}
	if raw.Full && len(raw.Servers) > 0 && len(l.Endpoints) == 0 {
		return fmt.Errorf("%w: %w", errNoReadableEndpoints, l.InvalidEntries[0])
	}
	return nil
}

var healthByState = map[string]policy.Health{"Ready": policy.Serving, "Terminating": policy.Draining, "Gone": policy.Gone}

// SetInitialList takes the list that the process was started with.
func (b *Backend) SetInitialList(now eventloop.Nanos, list EndpointList) {
	b.discovery.version = list.Version
	b.ApplyList(now, list)
}

// ApplyList hands news of the list on.
func (b *Backend) ApplyList(now eventloop.Nanos, list EndpointList) {
	b.Counts.ListUpdates++
	for _, err := range list.InvalidEntries {
		b.log.Warn("line of the list not taken", "err", err)
	}
	if len(list.Endpoints) == 0 && !list.Full {
		return
	}
	var changed []*server
	b.dispatcher.EndpointListUpdated(now, list.Full, len(list.Endpoints) > 0, func(module dispatch.Module) {
		changed = b.applyEntries(now, module, list)
	})
	for _, srv := range changed {
		srv.applyHealth(now)
	}
}

// applyEntries takes the lines of a list. It gives the servers that the list names, and those that a whole list leaves out: they are
// gone.
func (b *Backend) applyEntries(now eventloop.Nanos, module dispatch.Module, list EndpointList) []*server {
	changed := make([]*server, 0, len(list.Endpoints))
	named := make(map[*server]bool, len(list.Endpoints))
	for _, e := range list.Endpoints {
		err := b.applyEntry(now, module, e)
		srv := b.byName[e.ID]
		if err != nil {
			b.log.Warn("line of the list not taken", "err", err)
			if list.Full && srv != nil && srv.health != policy.Gone {
				b.applyEntry(now, module, srv.entry) // it stays as it was
			}
		}
		if srv != nil && !named[srv] {
			named[srv] = true
			changed = append(changed, srv)
		}
	}
	if !list.Full {
		return changed
	}
	for _, srv := range b.servers {
		if !named[srv] {
			srv.health = policy.Gone
			changed = append(changed, srv)
		}
	}
	return changed
}

// applyHealth has a server's connections follow what the list says of it now.
func (s *server) applyHealth(now eventloop.Nanos) {
	if s.health != policy.Serving {
		s.failUnsentAttempts(now)
	}
	if s.health == policy.Gone {
		s.closeIdleConns()
		s.dropLingering(now)
		s.backend.removeIfUnused(s)
	}
}

// applyEntry takes one line.
func (b *Backend) applyEntry(now eventloop.Nanos, mod dispatch.Module, e Endpoint) error {
	health, ok := healthByState[e.State]
	zone, kind := slices.Index(b.zones, e.Zone), slices.Index(b.kinds, e.Kind)
	srv := b.byName[e.ID]
	if health == policy.Gone {
		if srv != nil {
			srv.health = health
			mod.ServerListed(srv.id, policy.ZoneID(max(zone, 0)), policy.KindID(max(kind, 0)), policy.CellID(e.Cell), health, 0)
		}
		return nil
	}
	addr, err := netip.ParseAddrPort(e.Addr)
	switch {
	case e.ID == "" || !ok:
		return fmt.Errorf("server %q: state %q", e.ID, e.State)
	case err != nil:
		return fmt.Errorf("server %q: %w", e.ID, err)
	case zone < 0 || kind < 0:
		return fmt.Errorf("server %q: zone %q and kind %q: want ones of the settings", e.ID, e.Zone, e.Kind)
	}
	if srv == nil {
		srv = &server{backend: b, id: b.newServerID(e.ID), name: e.ID, loadReport: policy.NoLoadReport}
		b.servers = append(b.servers, srv)
		b.byName[e.ID], b.byID[srv.id] = srv, srv
	}
	started := int64(e.StartedMS * 1e6)
	if srv.addr != addr || srv.startedAt < started { // another process: nothing unused to the old one is of use
		srv.closeIdleConns()
	}
	srv.entry = e
	srv.addr, srv.startedAt, srv.role, srv.health = addr, max(started, srv.startedAt), b.roles[kind], health
	mod.ServerListed(srv.id, policy.ZoneID(zone), policy.KindID(kind), policy.CellID(e.Cell), health,
		min(policy.Nanos(started), b.dispatcher.ModuleTime(now)))
	return nil
}

// removeIfUnused drops a server that has gone once nothing runs to it.
func (b *Backend) removeIfUnused(srv *server) {
	if srv.health != policy.Gone || len(srv.conns) > 0 || b.byID[srv.id] != srv {
		return
	}
	delete(b.byID, srv.id)
	delete(b.byName, srv.name)
	if i := slices.Index(b.servers, srv); i >= 0 {
		b.servers = slices.Delete(b.servers, i, i+1)
	}
}
