// Package endpointlist keeps the list of engines as this dispatcher has received it: complete lists, updates by
// version, and numbers for the names of zones and cells. The list is also saved to a file, from which a dispatcher that
// was killed starts again.
package endpointlist

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"

	"docksail/policy"
)

// Endpoint is one engine of the list.
type Endpoint struct {
	ID        policy.ServerID `json:"id"`
	Address   netip.AddrPort  `json:"address"`
	Role      policy.Role     `json:"role"`
	Zone      string          `json:"zone"`
	Cell      string          `json:"cell"`
	Health    policy.Health   `json:"health"`
	StartedAt int64           `json:"started_unix_ns"` // 0 = long ago, or unknown
}

// Update is a message of the service that keeps the list.
type Update struct {
	Version   uint64
	Full      bool       // the complete list; otherwise only what changed since the version before
	Endpoints []Endpoint // an endpoint that left is listed as gone
}

// ErrMissedUpdates is the error of Apply where updates were missed, so that a full one is needed.
var ErrMissedUpdates = errors.New("updates of the endpoint list were missed: a full list is needed")

// InvalidEndpointError is the error of Apply for an endpoint that cannot be listed.
type InvalidEndpointError struct {
	ID     policy.ServerID
	Reason string
}

// Error implements error.
func (e *InvalidEndpointError) Error() string { return fmt.Sprintf("endpoint %d: %s", e.ID, e.Reason) }

// List is the endpoint list. It is made with New.
type List struct {
	version   uint64
	hasFull   bool // a full update was received since the start
	endpoints map[policy.ServerID]Endpoint
	zones     map[string]policy.ZoneID
	cells     map[cellName]policy.CellID
}

// cellName identifies a cell: cells are named within their zone.
type cellName struct{ zone, cell string }

// New returns an empty list.
func New() *List {
	return &List{
		endpoints: make(map[policy.ServerID]Endpoint),
		zones:     make(map[string]policy.ZoneID),
		cells:     make(map[cellName]policy.CellID),
	}
}

// ZoneID returns the number of the zone of that name, which is assigned at its first use.
func (l *List) ZoneID(zone string) policy.ZoneID {
	id, ok := l.zones[zone]
	if !ok {
		id = policy.ZoneID(len(l.zones))
		l.zones[zone] = id
	}
	return id
}

// CellID returns the number of the cell of that name within its zone, which is assigned at its first use.
func (l *List) CellID(zone, cell string) policy.CellID {
	name := cellName{zone, cell}
	id, ok := l.cells[name]
	if !ok {
		id = policy.CellID(len(l.cells))
		l.cells[name] = id
	}
	return id
}

// Find returns the endpoint of that ID as it was last listed, and whether it ever was.
func (l *List) Find(id policy.ServerID) (endpoint Endpoint, ok bool) {
	endpoint, ok = l.endpoints[id]
	return endpoint, ok
}

// Version returns the version of the last update.
func (l *List) Version() uint64 { return l.version }

// Endpoints returns all endpoints that were ever listed, sorted by ID.
func (l *List) Endpoints() []Endpoint {
	endpoints := make([]Endpoint, 0, len(l.endpoints))
	for _, endpoint := range l.endpoints {
		endpoints = append(endpoints, endpoint)
	}
	slices.SortFunc(endpoints, func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	return endpoints
}

// Apply applies an update completely or not at all, and returns the endpoints that it changed; a full update also
// changes those that it no longer names, to gone. An update whose version is known already changes nothing. An endpoint
// whose start is before the known one is ignored, as it was listed before a restart that is known already.
//
// The error is ErrMissedUpdates if an update before this one was missed or no full one was received, or an
// *InvalidEndpointError.
func (l *List) Apply(update Update) ([]Endpoint, error) {
	if !update.Full {
		switch {
		case !l.hasFull || update.Version > l.version+1:
			return nil, ErrMissedUpdates
		case update.Version <= l.version:
			return nil, nil
		}
	}
	for _, endpoint := range update.Endpoints {
		if err := endpoint.validate(); err != nil {
			return nil, err
		}
	}
	changed := l.setListed(update.Endpoints)
	if update.Full {
		changed = append(changed, l.setUnlistedGone(update.Endpoints)...)
		l.hasFull = true
	}
	l.version = update.Version
	return changed, nil
}

// validate returns an *InvalidEndpointError if the endpoint cannot be listed.
func (e Endpoint) validate() error {
	switch {
	case !e.Address.IsValid() || e.Address.Port() == 0:
		return &InvalidEndpointError{e.ID, fmt.Sprintf("address %v is invalid, want an IP address and a port", e.Address)}
	case e.Role > policy.Mixed:
		return &InvalidEndpointError{e.ID, fmt.Sprintf("role %d is unknown", e.Role)}
	}
	return nil
}

// setListed records the endpoints of an update and returns those that it took.
func (l *List) setListed(endpoints []Endpoint) (changed []Endpoint) {
	for _, endpoint := range endpoints {
		if known, ok := l.endpoints[endpoint.ID]; ok {
			if endpoint.StartedAt == 0 { // unknown, as of an endpoint that is gone
				endpoint.StartedAt = known.StartedAt
			} else if endpoint.StartedAt < known.StartedAt {
				continue
			}
		}
		l.endpoints[endpoint.ID] = endpoint
		changed = append(changed, endpoint)
	}
	return changed
}

// setUnlistedGone records that endpoints are gone which a full update does not name, and returns them.
func (l *List) setUnlistedGone(listed []Endpoint) (changed []Endpoint) {
	isListed := make(map[policy.ServerID]bool, len(listed))
	for _, endpoint := range listed {
		isListed[endpoint.ID] = true
	}
	for _, endpoint := range l.Endpoints() {
		if !isListed[endpoint.ID] && endpoint.Health != policy.Gone {
			endpoint.Health = policy.Gone
			l.endpoints[endpoint.ID] = endpoint
			changed = append(changed, endpoint)
		}
	}
	return changed
}
