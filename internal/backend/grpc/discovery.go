package grpc

import (
	"errors"
	"log/slog"
	"net/netip"
	"os"
	"time"

	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/internal/state/endpointlist"
	"docksail/policy"
)

// checksPerListInterval is how many times in a MaxListInterval the endpoint list file or a silent discovery server is
// checked.
const checksPerListInterval = 8

// DiscoveryConfig configures the source of the endpoint list: a discovery server or a file.
type DiscoveryConfig struct {
	Addr            netip.AddrPort // address of the discovery server; not used if File is set
	File            string
	CacheFile       string // file that keeps the list for the next start; empty = none
	MaxListInterval int64  // nanoseconds
}

// endpointWatcher watches the endpoint list, applies updates to the backend's servers and reports them to the module.
// The watch on a discovery server is in watch.go; listfile.go reads the file.
type endpointWatcher struct {
	backend       *Backend
	addr          netip.AddrPort
	file          string
	cacheFile     string
	checkInterval int64 // nanoseconds
	timer         eventloop.Timer

	fileModTime time.Time
	listsToSave chan []byte // encoded lists for saveLists; nil = the list is not saved

	conn             *eventloop.Conn // nil = there is no connection
	http2            *h2.Conn
	isOpen           bool            // the connection is established
	now              eventloop.Nanos // time of the event that is being handled
	lastReceivedAt   eventloop.Nanos
	lastPingAt       eventloop.Nanos
	pingsWithoutData int
}

func (w *endpointWatcher) init(b *Backend, config DiscoveryConfig) {
	*w = endpointWatcher{
		backend: b, addr: config.Addr, file: config.File, cacheFile: config.CacheFile,
		checkInterval: config.MaxListInterval / checksPerListInterval,
	}
}

// start applies the cached list, if there is one, and requests the current list.
func (w *endpointWatcher) start() {
	now := w.backend.loop.Now()
	if w.cacheFile != "" {
		w.loadCache(now)
		w.listsToSave = make(chan []byte, 1)
		go saveLists(w.cacheFile, w.listsToSave, w.backend.log)
	}
	if w.file != "" {
		w.pollFile(w.backend.loop.Now())
		return
	}
	w.connect(w.backend.loop.Now())
}

// loadCache applies the list that the previous run of the dispatcher saved.
func (w *endpointWatcher) loadCache(now eventloop.Nanos) {
	b := w.backend
	endpoints, err := b.list.Load(w.cacheFile)
	switch {
	case err == nil:
		b.log.Info("cached endpoint list loaded", "servers", len(endpoints), "version", b.list.Version())
		w.report(now, true, endpoints)
	case !errors.Is(err, os.ErrNotExist):
		b.log.Warn("cached endpoint list not loaded", "error", err)
	}
}

// apply applies an update of the list, reports what it changes to the module and saves the new list.
func (w *endpointWatcher) apply(now eventloop.Nanos, version uint64, full bool, endpoints []endpointlist.Endpoint,
) error {
	changed, err := w.backend.list.Apply(endpointlist.Update{Version: version, Full: full, Endpoints: endpoints})
	if err != nil {
		return err
	}
	if full || len(changed) > 0 {
		w.report(now, full, changed)
		w.save()
	}
	return nil
}

// report updates the servers of endpoints and reports them to the module. After a full update it reports all servers,
// as the module forgets the others.
func (w *endpointWatcher) report(now eventloop.Nanos, full bool, endpoints []endpointlist.Endpoint) {
	b := w.backend
	if full {
		endpoints = b.list.Endpoints()
	}
	b.dispatcher.EndpointListUpdated(now, full, len(endpoints) > 0, func(module dispatch.Module) {
		for i := range endpoints {
			b.updateServer(now, module, &endpoints[i])
		}
	})
}

// updateServer applies an entry of the list to its server, which it creates if necessary, and reports it to the
// module.
func (b *Backend) updateServer(now eventloop.Nanos, module dispatch.Module, endpoint *endpointlist.Endpoint) {
	s := b.servers[endpoint.ID]
	if s == nil {
		s = &server{backend: b, id: endpoint.ID}
		b.servers[endpoint.ID] = s
	}
	s.update(now, endpoint)
	startedAt := policy.Nanos(0)
	if endpoint.StartedUnixNanos > 0 { // the engine's clock may be ahead of the dispatcher's
		startedAt = min(policy.Nanos(endpoint.StartedUnixNanos), b.dispatcher.ModuleTime(now))
	}
	module.ServerListed(endpoint.ID, b.list.ZoneID(endpoint.Zone), policy.KindID(endpoint.Role),
		b.list.CellID(endpoint.Zone, endpoint.Cell), endpoint.Health, startedAt)
	b.log.Info("endpoint updated", "server_id", endpoint.ID, "address", endpoint.Address, "role", int(endpoint.Role),
		"health", int(endpoint.Health))
}

// mayBeStale reports whether no watch is established, so that servers may have restarted since the last update.
func (w *endpointWatcher) mayBeStale() bool { return w.file == "" && !w.isOpen }

// save passes the list to saveLists. It replaces an older list that saveLists has not taken yet.
func (w *endpointWatcher) save() {
	if w.listsToSave == nil {
		return
	}
	encoded := w.backend.list.Encode()
	select {
	case w.listsToSave <- encoded:
		return
	default:
	}
	select {
	case <-w.listsToSave:
	default:
	}
	select {
	case w.listsToSave <- encoded:
	default:
	}
}

// saveLists writes lists to a file until the channel is closed. It runs on its own goroutine.
func saveLists(name string, lists <-chan []byte, log *slog.Logger) {
	for encoded := range lists {
		if err := endpointlist.Save(name, encoded); err != nil {
			log.Warn("endpoint list not saved", "error", err)
		}
	}
}

// close ends saveLists. It must be called after the loop has ended.
func (w *endpointWatcher) close() {
	if w.listsToSave != nil {
		close(w.listsToSave)
	}
}
