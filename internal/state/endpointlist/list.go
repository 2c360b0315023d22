// Package endpointlist holds the list of engines that this dispatcher has received. It applies full and partial updates
// by version and assigns IDs to the names of zones and cells. The list can be saved to a file, which a dispatcher loads
// after a restart.
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
	ID               policy.ServerID `json:"id"`
	Address          netip.AddrPort  `json:"address"`
	Role             policy.Role     `json:"role"`
	Zone             string          `json:"zone"`
	Cell             string          `json:"cell"`
	Health           policy.Health   `json:"health"`
	StartedUnixNanos int64           `json:"started_unix_ns"` // Unix time in nanoseconds; 0 = unknown or long ago
}

// Update is a full or partial update of the list, as the discovery service sends it.
type Update struct {
	Version   uint64
	Full      bool       // Endpoints is the complete list; otherwise what changed since the previous version
	Endpoints []Endpoint // a partial update lists a removed endpoint with health Gone
}

// ErrMissedUpdates is returned by Apply if updates were missed, so that a full one is needed.
var ErrMissedUpdates = errors.New("endpoint list updates were missed, a full list is required")

// InvalidEndpointError is returned by Apply for an endpoint with an invalid field.
type InvalidEndpointError struct {
	ID     policy.ServerID
	Reason string
}

// Error implements error.
func (e *InvalidEndpointError) Error() string { return fmt.Sprintf("endpoint %d: %s", e.ID, e.Reason) }

// List is the endpoint list. Use New to create one.
type List struct {
	version   uint64
	hasFull   bool // a full update was applied, so that partial ones may follow
	endpoints map[policy.ServerID]Endpoint
	zones     map[string]policy.ZoneID
	cells     map[cellName]policy.CellID
}

// cellName identifies a cell. The name of a cell is unique only within its zone.
type cellName struct{ zone, cell string }

// New returns an empty list.
func New() *List {
	return &List{
		endpoints: make(map[policy.ServerID]Endpoint),
		zones:     make(map[string]policy.ZoneID),
		cells:     make(map[cellName]policy.CellID),
	}
}

// ZoneID returns the ID of a zone, which is assigned when its name is first used.
func (l *List) ZoneID(zone string) policy.ZoneID {
	id, ok := l.zones[zone]
	if !ok {
		id = policy.ZoneID(len(l.zones))
		l.zones[zone] = id
	}
	return id
}

// CellID returns the ID of a cell of a zone, which is assigned when its name is first used.
func (l *List) CellID(zone, cell string) policy.CellID {
	name := cellName{zone, cell}
	id, ok := l.cells[name]
	if !ok {
		id = policy.CellID(len(l.cells))
		l.cells[name] = id
	}
	return id
}

// Find returns the endpoint with that ID as it was last listed, and false if it never was.
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

// Apply applies an update completely or not at all and returns the endpoints that it changed. A full update sets the
// endpoints that it does not list to Gone. A partial update whose version was already applied changes nothing. An
// endpoint that started before the known one with its ID is ignored, because it describes an earlier incarnation.
//
// The error is ErrMissedUpdates if a partial update does not follow the last applied one or no full update was applied,
// or an *InvalidEndpointError.
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
	changed := l.storeListed(update.Endpoints)
	if update.Full {
		changed = append(changed, l.markUnlistedGone(update.Endpoints)...)
		l.hasFull = true
	}
	l.version = update.Version
	return changed, nil
}

// validate returns an *InvalidEndpointError if a field of the endpoint is invalid.
func (e Endpoint) validate() error {
	switch {
	case !e.Address.IsValid() || e.Address.Port() == 0:
		return &InvalidEndpointError{e.ID, fmt.Sprintf("address %v is invalid, must be IP address and port", e.Address)}
	case e.Role > policy.Mixed:
		return &InvalidEndpointError{e.ID, fmt.Sprintf("role %d is unknown", e.Role)}
	}
	return nil
}

// storeListed stores the endpoints of an update and returns those that it did not ignore.
func (l *List) storeListed(endpoints []Endpoint) (changed []Endpoint) {
	for _, endpoint := range endpoints {
		if known, ok := l.endpoints[endpoint.ID]; ok {
			if endpoint.StartedUnixNanos == 0 { // unknown, for example when the endpoint is gone
				endpoint.StartedUnixNanos = known.StartedUnixNanos
			} else if endpoint.StartedUnixNanos < known.StartedUnixNanos {
				continue
			}
		}
		l.endpoints[endpoint.ID] = endpoint
		changed = append(changed, endpoint)
	}
	return changed
}

// markUnlistedGone sets the endpoints that a full update does not list to Gone and returns those that were not.
func (l *List) markUnlistedGone(listed []Endpoint) (changed []Endpoint) {
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
