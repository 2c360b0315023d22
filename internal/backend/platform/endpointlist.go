package platform

import (
	"encoding/json"
	"errors"
	"fmt"
)

// EndpointList is the platform's list of servers or, unless it is full, a change of it.
type EndpointList struct {
	Version        int64      `json:"version"`
	Full           bool       `json:"full"`
	Endpoints      []Endpoint `json:"servers"`
	InvalidEntries []error    `json:"-"` // why entries could not be read; Endpoints has the others
}

// Endpoint is one entry of an endpoint list.
type Endpoint struct {
	ID        string  `json:"id"`
	Addr      string  `json:"addr"`
	Zone      string  `json:"zone"`
	Kind      string  `json:"kind"`
	Cell      int64   `json:"cell"`
	State     string  `json:"state"`
	StartedMS float64 `json:"started_ms"` // Unix milliseconds
}

// errNoReadableEndpoints is returned for a full list that has no servers, or only unreadable ones. A list with an
// empty array of servers is valid: it says that there are none.
var errNoReadableEndpoints = errors.New("full endpoint list without a readable server")

// UnmarshalJSON reads a list entry by entry, so that an invalid entry does not invalidate the others.
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
		l.addEntry(entry)
	}
	if raw.Full && len(raw.Servers) > 0 && len(l.Endpoints) == 0 {
		return fmt.Errorf("%w: %w", errNoReadableEndpoints, l.InvalidEntries[0])
	}
	return nil
}

// addEntry adds an entry to the list. One that is invalid but names its server is added without a state, by which a
// server that is known stays as it is.
func (l *EndpointList) addEntry(entry json.RawMessage) {
	var endpoint Endpoint
	if err := json.Unmarshal(entry, &endpoint); err != nil {
		l.InvalidEntries = append(l.InvalidEntries, fmt.Errorf("entry %.80q: %w", entry, err))
		if endpoint.ID == "" {
			return
		}
		endpoint.State = ""
	}
	l.Endpoints = append(l.Endpoints, endpoint)
}
