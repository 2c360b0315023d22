package soak

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// heartbeatInterval is the longest time between two messages on a watch while discovery is healthy.
const heartbeatInterval = time.Second

// listedServer is the entry of a server in the endpoint list.
type listedServer struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"`
	Zone      string `json:"zone"`
	Kind      string `json:"kind"`
	Cell      int    `json:"cell"`
	State     string `json:"state"`
	StartedMS int64  `json:"started_ms"`
}

// endpointList is a watch event that holds the complete endpoint list.
type endpointList struct {
	Version int            `json:"version"`
	IsFull  bool           `json:"full"`
	Servers []listedServer `json:"servers"`
}

// SetDiscoverySilent stops or resumes all sending on the watches of discovery.
func (f *Fleet) SetDiscoverySilent(silent bool) { f.changeList(func() { f.discoverySilent = silent }) }

// changeList applies a change to the endpoint list or to discovery and wakes the watches.
func (f *Fleet) changeList(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	f.listVersion++
	for w := range f.watches {
		select {
		case w <- struct{}{}:
		default:
		}
	}
}

// endpointList returns the complete list. The caller must hold f.mu.
func (f *Fleet) endpointList() endpointList {
	list := endpointList{Version: f.listVersion, IsFull: true, Servers: []listedServer{}}
	for _, s := range f.Servers {
		list.Servers = append(list.Servers, listedServer{
			ID: s.Name, Addr: s.Proxy.Addr(), Zone: "z", Kind: s.role(), State: healthyState, StartedMS: s.startedMS,
		})
	}
	return list
}

// serveWatch serves one watch of the endpoint list. It sends the list at once and after each change, and an empty line
// as a heartbeat.
func (f *Fleet) serveWatch(w http.ResponseWriter, r *http.Request) {
	changes := make(chan struct{}, 1)
	f.mu.Lock()
	f.watches[changes] = true
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		delete(f.watches, changes)
		f.mu.Unlock()
	}()
	changes <- struct{}{}
	for {
		isHeartbeat := false
		select {
		case <-changes:
		case <-time.After(heartbeatInterval):
			isHeartbeat = true
		case <-r.Context().Done():
			return
		}
		f.mu.Lock()
		silent, list := f.discoverySilent, f.endpointList()
		f.mu.Unlock()
		// Write errors are ignored: they mean that the watch has ended, and then its context is done.
		switch {
		case silent:
			continue
		case isHeartbeat:
			_, _ = io.WriteString(w, "\n")
		default:
			_ = json.NewEncoder(w).Encode(list)
		}
		w.(http.Flusher).Flush()
	}
}
