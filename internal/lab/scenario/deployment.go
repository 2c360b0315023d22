package scenario

import (
	"fmt"
	"log/slog"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	pb "docksail/api/docksail/v1"
	"docksail/internal/config"
	"docksail/internal/dispatch"
	"docksail/internal/grpcnode"
	"docksail/internal/lab/discoveryserver"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/faultproxy"
)

const (
	anyLoopbackPort = "127.0.0.1:0"

	// startTimeout is the time within which every dispatcher must have received the endpoint list.
	startTimeout      = 5 * time.Second
	startPollInterval = 5 * time.Millisecond
)

// ModuleWrapper returns the function that wraps the decision module of dispatcher n. Tests use it to inject wrong
// decisions.
type ModuleWrapper func(n int) func(dispatch.Module) dispatch.Module

// Deployment holds the running servers, dispatchers and proxies of a scenario.
type Deployment struct {
	Script  *Script
	Log     *eventlog.Log
	Engines []*engine.Engine

	wrapModule       ModuleWrapper
	logger           *slog.Logger
	directory        string
	discoveryServers []*discoveryserver.Server // by dispatcher
	proxies          [][]*faultproxy.Proxy     // by dispatcher, by server
	configs          []*config.Dispatcher
	health           map[int]pb.Health // by server number
	startedAt        time.Time
	links            *engine.Links

	mu            sync.Mutex // guards dispatchers and addresses
	dispatchers   []*grpcnode.Node
	addresses     []netip.AddrPort
	stoppedCounts []dispatch.Counts // by dispatcher, sum of its killed incarnations
}

// Start starts the deployment of a script. The caller must Close it.
func Start(s *Script, logger *slog.Logger) (*Deployment, error) {
	return StartWithModule(s, logger, nil)
}

// StartWithModule is like Start, but wraps the decision modules of the dispatchers; wrap may be nil.
func StartWithModule(s *Script, logger *slog.Logger, wrap ModuleWrapper) (*Deployment, error) {
	d := &Deployment{Script: s, Log: &eventlog.Log{}, wrapModule: wrap, logger: logger, health: map[int]pb.Health{}}
	if err := d.start(); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

// start starts all parts of the deployment and waits until the dispatchers have the endpoint list.
func (d *Deployment) start() error {
	var err error
	if d.directory, err = os.MkdirTemp("", "docksail-scenario"); err != nil {
		return err
	}
	d.links = engine.NewLinks(engine.CellLinkFactor, engine.CrossZoneFactor)
	for _, spec := range d.Script.EngineSpecs() {
		if err := d.startEngine(spec); err != nil {
			return err
		}
	}
	for n := range d.Script.Dispatchers {
		if err := d.startDiscovery(n); err != nil {
			return err
		}
		if err := d.startProxies(n); err != nil {
			return err
		}
	}
	d.startedAt = time.Now()
	for i := range d.Engines {
		d.publishEndpoint(i, true, 0)
	}
	for n := range d.Script.Dispatchers {
		d.addDispatcher(n)
		if err := d.startDispatcher(n); err != nil {
			return err
		}
	}
	return d.awaitEndpointLists()
}

func (d *Deployment) startEngine(spec engine.Spec) error {
	e := engine.New(spec, engine.LinearModel{}, d.Log)
	if d.Script.BatchModel {
		e.Links = d.links
	}
	if err := e.Start(anyLoopbackPort); err != nil {
		return err
	}
	e.SkipWarmup()
	d.Engines = append(d.Engines, e)
	d.health[spec.ID] = pb.Health_HEALTH_SERVING
	return nil
}

// startDiscovery starts the discovery server of dispatcher n.
func (d *Deployment) startDiscovery(n int) error {
	server := discoveryserver.New(d.Script.DiscoveryDelay, n, d.Log)
	if err := server.Start(anyLoopbackPort); err != nil {
		return err
	}
	d.discoveryServers = append(d.discoveryServers, server)
	return nil
}

// startProxies starts the proxies between dispatcher n and all servers.
func (d *Deployment) startProxies(n int) error {
	var proxies []*faultproxy.Proxy
	for _, e := range d.Engines {
		proxy, err := faultproxy.New(e.Addr(), e.Spec.ID, n, d.Log)
		if err != nil {
			return err
		}
		proxies = append(proxies, proxy)
	}
	d.proxies = append(d.proxies, proxies)
	return nil
}

// addDispatcher adds the configuration of dispatcher n without starting it.
func (d *Deployment) addDispatcher(n int) {
	c := d.Script.DispatcherConfig(n)
	c.Listen = netip.MustParseAddrPort(anyLoopbackPort)
	c.Discovery.Watch = netip.MustParseAddrPort(d.discoveryServers[n].Addr())
	c.Discovery.CacheFile = filepath.Join(d.directory, fmt.Sprintf("list%d", n))
	d.configs = append(d.configs, c)
	d.dispatchers = append(d.dispatchers, nil)
	d.addresses = append(d.addresses, netip.AddrPort{})
	d.stoppedCounts = append(d.stoppedCounts, dispatch.Counts{})
}

// awaitEndpointLists waits until every dispatcher has received the endpoint list.
func (d *Deployment) awaitEndpointLists() error {
	deadline := time.Now().Add(startTimeout)
	for n, node := range d.dispatchers {
		for hasList := false; !hasList; {
			node.RunOnLoop(func(core *dispatch.Dispatcher) { hasList = core.HasEndpointList() })
			if time.Now().After(deadline) {
				return fmt.Errorf("dispatcher %d has not received the endpoint list after %v", n, startTimeout)
			}
			time.Sleep(startPollInterval)
		}
	}
	return nil
}

// Close stops all parts of the deployment and deletes its files.
func (d *Deployment) Close() {
	for n := range d.dispatchers {
		d.KillDispatcher(n)
	}
	for _, proxies := range d.proxies {
		for _, proxy := range proxies {
			proxy.Close()
		}
	}
	for _, server := range d.discoveryServers {
		server.Stop()
	}
	for _, e := range d.Engines {
		e.Crash()
	}
	if d.links != nil {
		d.links.Close()
	}
	if d.directory != "" {
		os.RemoveAll(d.directory)
	}
}
