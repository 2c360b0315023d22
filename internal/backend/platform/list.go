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

// List is the platform's list of servers, or changes of it.
type List struct {
	Version    int64    `json:"version"`
	Full       bool     `json:"full"`
	Servers    []Server `json:"servers"`
	Unreadable []error  `json:"-"` // entries that are no Server; the others are taken without them
}

// Server is one entry of it.
type Server struct {
	ID      string  `json:"id"`
	Addr    string  `json:"addr"`
	Zone    string  `json:"zone"`
	Kind    string  `json:"kind"`
	Cell    int64   `json:"cell"`
	State   string  `json:"state"`
	Started float64 `json:"started_ms"`
}

// errNoServers is a whole list that names no servers at all, or none that can be read. An empty array is no such list: it
// says that there are none.
var errNoServers = errors.New("a whole list of which no server can be read")

// UnmarshalJSON reads a list entry by entry, so that one that cannot be read does not cost the others.
func (l *List) UnmarshalJSON(text []byte) error {
	var raw struct {
		Version int64             `json:"version"`
		Full    bool              `json:"full"`
		Servers []json.RawMessage `json:"servers"`
	}
	if err := json.Unmarshal(text, &raw); err != nil {
		return err
	}
	if raw.Full && raw.Servers == nil {
		return errNoServers
	}
	*l = List{Version: raw.Version, Full: raw.Full, Servers: make([]Server, 0, len(raw.Servers))}
	for _, entry := range raw.Servers {
		var server Server
		if err := json.Unmarshal(entry, &server); err != nil {
			l.Unreadable = append(l.Unreadable, fmt.Errorf("entry %.80q: %w", entry, err))
			if server.ID == "" {
				continue
			}
			server.State = "" // no state: a server that is known stays as it was
		}
		l.Servers = append(l.Servers, server)
	}
	if raw.Full && len(raw.Servers) > 0 && len(l.Servers) == 0 {
		return fmt.Errorf("%w: %w", errNoServers, l.Unreadable[0])
	}
	return nil
}

var states = map[string]policy.Health{"Ready": policy.Serving, "Terminating": policy.Draining, "Gone": policy.Gone}

// Known takes the list that the process was started with.
func (x *Exit) Known(now eventloop.Nanos, list List) {
	x.discovery.version = list.Version
	x.Take(now, list)
}

// Take hands news of the list on.
func (x *Exit) Take(now eventloop.Nanos, list List) {
	x.Counts.ListUpdates++
	for _, err := range list.Unreadable {
		x.log.Warn("line of the list not taken", "err", err)
	}
	if len(list.Servers) == 0 && !list.Full {
		return
	}
	var changed []*server
	x.dispatcher.ListUpdated(now, list.Full, len(list.Servers) > 0, func(module dispatch.Module) {
		changed = x.entries(now, module, list)
	})
	for _, srv := range changed {
		srv.applyHealth(now)
	}
}

// entries takes the lines of a list. It gives the servers that the list names, and those that a whole list leaves out: they are
// gone.
func (x *Exit) entries(now eventloop.Nanos, module dispatch.Module, list List) []*server {
	changed := make([]*server, 0, len(list.Servers))
	named := make(map[*server]bool, len(list.Servers))
	for _, e := range list.Servers {
		err := x.entry(now, module, e)
		srv := x.byName[e.ID]
		if err != nil {
			x.log.Warn("line of the list not taken", "err", err)
			if list.Full && srv != nil && srv.health != policy.Gone {
				x.entry(now, module, srv.entry) // it stays as it was
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
	for _, srv := range x.servers {
		if !named[srv] {
			srv.health = policy.Gone
			changed = append(changed, srv)
		}
	}
	return changed
}

// applyHealth has a server's connections follow what the list says of it now.
func (srv *server) applyHealth(now eventloop.Nanos) {
	if srv.health != policy.Serving {
		srv.endUnsent(now)
	}
	if srv.health == policy.Gone {
		srv.closeIdle()
		srv.unwatchAll(now)
		srv.x.forgetGone(srv)
	}
}

// entry takes one line.
func (x *Exit) entry(now eventloop.Nanos, mod dispatch.Module, e Server) error {
	health, ok := states[e.State]
	zone, kind := slices.Index(x.zones, e.Zone), slices.Index(x.kinds, e.Kind)
	srv := x.byName[e.ID]
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
		srv = &server{x: x, id: x.idOf(e.ID), name: e.ID, load: policy.NoLoad}
		x.servers = append(x.servers, srv)
		x.byName[e.ID], x.byID[srv.id] = srv, srv
	}
	started := int64(e.Started * 1e6)
	if srv.addr != addr || srv.startedAt < started { // another process: nothing unused to the old one is of use
		srv.closeIdle()
	}
	srv.entry = e
	srv.addr, srv.startedAt, srv.role, srv.health = addr, max(started, srv.startedAt), x.roles[kind], health
	mod.ServerListed(srv.id, policy.ZoneID(zone), policy.KindID(kind), policy.CellID(e.Cell), health,
		min(policy.Nanos(started), x.dispatcher.Time(now)))
	return nil
}

// forgetGone drops a server that has gone once nothing runs to it.
func (x *Exit) forgetGone(srv *server) {
	if srv.health != policy.Gone || len(srv.conns) > 0 || x.byID[srv.id] != srv {
		return
	}
	delete(x.byID, srv.id)
	delete(x.byName, srv.name)
	if i := slices.Index(x.servers, srv); i >= 0 {
		x.servers = slices.Delete(x.servers, i, i+1)
	}
}
