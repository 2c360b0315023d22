package platform

import (
	"encoding/json"
	"errors"
	"fmt"
)

// EndpointList is the platform's list of servers if it is full, else a change of that list.
type EndpointList struct {
	Version        int64      `json:"version"`
	Full           bool       `json:"full"`
	Endpoints      []Endpoint `json:"servers"`
	InvalidEntries []error    `json:"-"` // errors of the entries that could not be read
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

// errNoReadableEndpoints is returned for a full list that lacks the array of servers, or whose entries are all
// unreadable. An empty array is valid: there are no servers then.
var errNoReadableEndpoints = errors.New("full endpoint list without a readable server")

// UnmarshalJSON implements json.Unmarshaler. It decodes each entry separately, so that an invalid entry does not
// invalidate the others.
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

// addEntry adds an entry to the list. An invalid entry that names its server is added without a state, so that a known
// server keeps its listing.
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
