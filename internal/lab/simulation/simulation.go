// Package simulation runs scripted scenarios in simulated time: the real dispatchers, with their HTTP/2, admission
// queue and decision module, on loops of one eventloop.SimulatedNetwork, together with model servers, discovery
// servers and clients on loops of the same network. The same script and seed give the same run, entry by entry, on any
// machine.
package simulation

import (
	"cmp"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	pb "docksail/api/docksail/v1"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/faultproxy"
	"docksail/internal/lab/scenario"
	"docksail/policy"
)

const (
	simulationEpoch = int64(1_000_000_000_000_000_000) // start of every simulation, Unix nanoseconds
	networkLatency  = int64(100 * time.Microsecond)    // from one loop to another
	initialUptime   = int64(24 * time.Hour)            // of the servers at the start of a simulation
	loadStartTime   = int64(time.Second)               // leaves time for dispatchers to receive the endpoint list
)

// addressKind is a kind of simulated machine, and the second byte of the addresses of that kind.
type addressKind byte

const (
	controlAddress addressKind = iota
	serverAddress
	discoveryAddress
	dispatcherAddress
	clientAddress
)

// simulatedAddr returns the address of machine n of a kind.
func simulatedAddr(kind addressKind, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, byte(kind), byte(n >> 8), byte(n)})
}

// simulatedAddrPort returns the address and port on which machine n of a kind serves.
func simulatedAddrPort(kind addressKind, n int) netip.AddrPort {
	return netip.AddrPortFrom(simulatedAddr(kind, n), 1)
}

// Simulation holds the simulated network of a scenario with all servers, dispatchers and clients.
type Simulation struct {
	Script         *scenario.Script
	Log            *eventlog.Log
	WrapModule     scenario.ModuleWrapper // wraps the decision modules of the dispatchers; nil = none
	Logger         *slog.Logger
	SampleInterval time.Duration // interval of ServerLoad entries; 0 = none

	network          *eventloop.SimulatedNetwork
	controlLoop      *eventloop.Loop // runs the events of the script
	transfers        *transferNetwork
	servers          []*modelServer
	serversByAddr    map[string]*modelServer
	health           []pb.Health // by index of the server
	discoveryServers []*discoveryServer
	dispatchers      []*dispatcher
	clientGroups     []*clientGroup
	loadStart        eventloop.Nanos
	stoppedCounts    dispatch.Counts // of dispatchers that were killed
	random           *rand.Rand
}

// New returns a simulation of a script. The dispatchers start with Run.
func New(script *scenario.Script) (*Simulation, error) {
	s := &Simulation{
		Script:        script,
		Log:           &eventlog.Log{},
		Logger:        slog.New(slog.DiscardHandler),
		network:       eventloop.NewSimulatedNetwork(simulationEpoch, networkLatency),
		serversByAddr: map[string]*modelServer{},
		loadStart:     loadStartTime,
		random:        rand.New(rand.NewPCG(uint64(script.Seed), 2)),
	}
	s.Log.Clock = s.network.UnixNanos
	s.controlLoop = s.network.NewLoop(simulatedAddr(controlAddress, 0), nil)
	s.transfers = newTransferNetwork(s.network.NewLoop(simulatedAddr(controlAddress, 1), nil))
	if err := s.startServers(); err != nil {
		return nil, err
	}
	if err := s.startDiscovery(); err != nil {
		return nil, err
	}
	s.network.NewTap = s.newTap
	for i, class := range script.ClientClasses() {
		loop := s.network.NewLoop(simulatedAddr(clientAddress, i), nil)
		s.clientGroups = append(s.clientGroups, newClientGroup(s, class, loop))
	}
	return s, nil
}

// startServers starts all servers with the batch model.
func (s *Simulation) startServers() error {
	for i, spec := range s.Script.EngineSpecs() {
		spec.BatchModel = true
		server := &modelServer{
			sim: s, spec: spec, addr: simulatedAddrPort(serverAddress, i),
			random: rand.New(rand.NewPCG(uint64(s.Script.Seed), uint64(spec.ID))),
		}
		if err := server.start(initialUptime); err != nil {
			return fmt.Errorf("server %d: %w", spec.ID, err)
		}
		s.servers = append(s.servers, server)
		s.serversByAddr[server.addr.String()] = server
		s.health = append(s.health, pb.Health_HEALTH_SERVING)
	}
	return nil
}

// startDiscovery starts the discovery servers and adds the dispatchers that use them, without starting these.
func (s *Simulation) startDiscovery() error {
	var endpoints []*pb.Host
	for i := range s.servers {
		endpoints = append(endpoints, s.endpoint(i))
	}
	for n := range s.Script.Dispatchers {
		discovery := &discoveryServer{
			sim: s, dispatcher: n, addr: simulatedAddrPort(discoveryAddress, n),
			endpoints: slices.Clone(endpoints), version: 1,
		}
		if err := discovery.start(); err != nil {
			return err
		}
		s.discoveryServers = append(s.discoveryServers, discovery)
		config := s.Script.DispatcherConfig(n)
		address := simulatedAddrPort(dispatcherAddress, n)
		config.Listen, config.Discovery.Watch, config.Limits.MaxMemoryBytes = address, discovery.addr, 0
		s.dispatchers = append(s.dispatchers, &dispatcher{index: n, addr: address, config: config})
	}
	return nil
}

// newTap returns what records the attempts on a connection from a dispatcher to a server, or nil for others.
func (s *Simulation) newTap(from *eventloop.Loop, to netip.AddrPort) eventloop.Tap {
	server := s.serversByAddr[to.String()]
	if server == nil {
		return nil
	}
	for _, d := range s.dispatchers {
		if d.loop == from {
			return faultproxy.NewFrameRecorder(s.Log, server.spec.ID, d.index)
		}
	}
	return nil
}

// scheduleAt calls f on the control loop at a time of the network, or at once if that time has passed.
func (s *Simulation) scheduleAt(t eventloop.Nanos, f func()) {
	timer := &eventloop.Timer{}
	s.controlLoop.Post(func() {
		s.controlLoop.SetTimer(timer, max(t, s.network.Now()), func(eventloop.Nanos) { f() })
	})
}

// scheduleAfter calls f on the control loop after a delay.
func (s *Simulation) scheduleAfter(delay eventloop.Nanos, f func()) {
	s.scheduleAt(s.network.Now()+delay, f)
}

// ServerLoad returns the current load of a server: its queued prompt tokens and its requests. Both are math.MaxInt
// while the server is stopped.
func (s *Simulation) ServerLoad(id policy.ServerID) (queuedPromptTokens, requests int) {
	server := s.servers[id-1]
	if server.loop == nil {
		return math.MaxInt, math.MaxInt
	}
	return server.model.QueuedPromptTokens(), server.requestCount()
}

// endpoint returns the current entry of server i in the endpoint list.
func (s *Simulation) endpoint(i int) *pb.Host {
	server := s.servers[i]
	endpoint := &pb.Host{
		Id: uint32(server.spec.ID), Address: server.addr.String(), Role: server.spec.Role, Zone: server.spec.Zone,
		Cell: server.spec.Cell, Health: s.health[i],
	}
	if server.startedAt > 0 {
		endpoint.StartedUnixNs = simulationEpoch + server.startedAt
	}
	return endpoint
}

// publishHealth sets the health of a server and publishes it after the script's discovery delay.
func (s *Simulation) publishHealth(server *modelServer, health pb.Health) {
	i := server.spec.ID - 1
	s.health[i] = health
	for _, discovery := range s.discoveryServers {
		discovery.set(s.endpoint(i), int64(s.Script.DiscoveryDelay))
	}
}

// specs returns the specifications of all servers.
func (s *Simulation) specs() []engine.Spec {
	specs := make([]engine.Spec, len(s.servers))
	for i, server := range s.servers {
		specs[i] = server.spec
	}
	return specs
}

// sortedKeys returns the sorted keys of a map. A simulation must not depend on the iteration order of maps.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// sortedKeysBy returns the keys of a map, sorted by ID.
func sortedKeysBy[K comparable, V any](m map[K]V, id func(K) uint64) []K {
	return slices.SortedFunc(maps.Keys(m), func(a, b K) int { return cmp.Compare(id(a), id(b)) })
}
