package soak

import (
	"encoding/json"
	"io"
	"net/http"
	"time"
)

// watchHeartbeat is how long a watch is silent at most while discovery is healthy.
const watchHeartbeat = time.Second

// listedServer is a server on the endpoint list.
type listedServer struct {
	ID        string `json:"id"`
	Addr      string `json:"addr"`
	Zone      string `json:"zone"`
	Kind      string `json:"kind"`
	Cell      int    `json:"cell"`
	State     string `json:"state"`
	StartedMS int64  `json:"started_ms"`
}

// endpointList is a watch event: the whole list.
type endpointList struct {
	Version int            `json:"version"`
	IsFull  bool           `json:"full"`
	Servers []listedServer `json:"servers"`
}

// SetDiscoverySilent makes discovery stop sending on its watches, or continue.
func (f *Fleet) SetDiscoverySilent(silent bool) { f.changeList(func() { f.discoverySilent = silent }) }

// changeList applies a change to the list or to discovery and wakes the watches.
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

// endpointList returns the whole list. The fleet is locked.
func (f *Fleet) endpointList() endpointList {
	list := endpointList{Version: f.listVersion, IsFull: true, Servers: []listedServer{}}
	for _, s := range f.Servers {
		list.Servers = append(list.Servers, listedServer{
			ID: s.Name, Addr: s.Proxy.Addr(), Zone: "z", Kind: s.role(), State: healthyState, StartedMS: s.startedMS,
		})
	}
	return list
}

// serveWatch serves one watch of the endpoint list: the list at once and after each change, and an empty line as a
// heartbeat.
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
		case <-time.After(watchHeartbeat):
			isHeartbeat = true
		case <-r.Context().Done():
			return
		}
		f.mu.Lock()
		silent, list := f.discoverySilent, f.endpointList()
		f.mu.Unlock()
		// Errors of writing are those of a watch that has ended: its context is done.
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
