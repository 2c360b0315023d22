package node

import (
	"docksail/internal/decide/clientconn"
	"docksail/internal/decide/discovery"
	"docksail/internal/decide/intake"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/platformconfig"
	"docksail/policy"
	"fmt"
	"log/slog"
	"net/netip"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"

	backend "docksail/internal/backend/platform"
	frontend "docksail/internal/frontend/platform"
)

const (
	// heapFraction of the memory limit is the collector's: the rest is for the program's text, stacks and what the kernel
	// counts as ours.
	heapFraction = 0.6
	// requestBytes is what a request in hand may take: most are a tenth of it.
	requestBytes    = 64 << 10
	maxPromptTokens = 1 << 20
	silenceLimit    = 5 * int64(time.Second) // a client is lost that waits longer after a running server's last event
)

// Node is one dispatcher in service.
type Node struct {
	loop       *eventloop.Loop
	dispatcher *dispatch.Dispatcher
	policy     *policy.Router
	addr       netip.AddrPort
	frontend   *frontend.Server
	backend    *backend.Backend
	log        *slog.Logger
	done       chan struct{}
	err        error
}

// LimitResources sets the run-time to a small machine: one core, and a heap that keeps within the limit.
func LimitResources(config *Config) {
	runtime.GOMAXPROCS(max(1, int(config.Limits.Cores+0.5)))
	debug.SetMemoryLimit(int64(heapFraction * float64(config.Limits.Memory<<20)))
}

// New makes a dispatcher on a loop by what it was told.
func New(l *eventloop.Loop, config *Config, incarnation uint64, log *slog.Logger) (*Node, error) {
	platformConfig, err := platformconfig.New(config.seed(), config.Settings)
	if err != nil {
		return nil, err
	}
	clients, servers := clientconn.DescriptorShares(config.Limits.Sockets)
	memory := config.Limits.Memory << 20
	maxRequests := max(int(heapFraction*float64(memory)/2/requestBytes), 16)
	n := &Node{loop: l, log: log, policy: platformConfig.Policy, done: make(chan struct{})}
	n.dispatcher = dispatch.NewDirect(l, log, &dispatch.Config{
		Module: platformConfig.Policy, ClassNames: platformConfig.ClassNames, Classes: platformConfig.Classes,
		TenantNames:   platformConfig.Tenants,
		Intake:        intake.Limits{MaxRequests: maxRequests, MaxPromptTokens: maxPromptTokens},
		MaxRetryAfter: int64(platformConfig.MaxRetryAfter), MaxSilence: silenceLimit, Incarnation: incarnation,
	})
	limits := frontend.Limits{Connections: clients, PartialRequestBytes: clientconn.MaxPartialRequestBytes(memory)}
	n.frontend = frontend.New(l, n.dispatcher, limits, n.dispatcher.HasEndpointList)
	n.backend = backend.New(l, n.dispatcher, log, platformConfig, servers, config.Discovery)
	n.dispatcher.Attach(n.frontend, n.backend)
	n.backend.SetInitialList(l.Now(), config.InitialList)
	if n.addr, err = n.dispatcher.Start(config.Listen, false); err != nil {
		return nil, fmt.Errorf("node %s: %w", config.Name, err)
	}
	n.frontend.PauseAccepting(true) // what the agent knows counts as told from now on: no request goes before it is asked
	open := func() { n.frontend.PauseAccepting(false) }
	n.backend.OnFirstList(open)
	var late eventloop.Timer
	l.SetTimer(&late, l.Now()+discovery.InitialListTimeout, func(eventloop.Nanos) { open() })
	return n, nil
}

// Start starts a dispatcher in service on a loop of its own goroutine.
func Start(config *Config, log *slog.Logger) (*Node, error) {
	l, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	n, err := New(l, config, uint64(time.Now().UnixNano()), log)
	if err != nil {
		l.Close()
		return nil, err
	}
	go func() {
		defer close(n.done)
		n.err = l.Run(n.dispatcher.RunIteration)
		l.Close()
	}()
	return n, nil
}

// Reload takes over what may change under a dispatcher that runs: where discovery is.
func (n *Node) Reload(config *Config) {
	n.loop.Post(func() { n.backend.SetDiscoveryAddr(n.loop.Now(), config.Discovery) })
}

// Drain has clients go elsewhere and the dispatcher end when nobody is left.
func (n *Node) Drain() { n.loop.Post(func() { n.dispatcher.DrainWithoutDeadline(n.loop.Stop) }) }

// Done is closed at the end.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err tells, after the end, what ended the loop; nil after Leave.
func (n *Node) Err() error { return n.err }

// Status is how a dispatcher does.
type Status struct {
	Requests, Clients, Servers, ServerConns int
	Dispatch                                dispatch.Counts
	Frontend                                frontend.Counts
	Backend                                 backend.Counts
	HeapMB                                  float64
	ServerStatuses                          []ServerStatus `json:"-"`
}

// ServerStatus is what the module holds of a server beside what crosses the sockets to it.
type ServerStatus struct {
	policy.ServerEstimate
	backend.ServerStats
}

// HasMismatch tells that the two do not agree on the attempts that are out: a fault of the program.
func (b *ServerStatus) HasMismatch() bool {
	if b.Prefill {
		return int(b.UnansweredAttempts) != b.InFlightAttempts
	}
	return int(b.Streams) != b.InFlightAttempts
}

// InUse tells that the dispatcher has something at the server, or keeps requests from it.
func (b *ServerStatus) InUse() bool {
	return b.UnansweredAttempts > 0 || b.Streams > 0 || b.InFlightAttempts > 0 || b.IdleConns > 0 || b.Ejected || b.HasMismatch()
}

// Status gives the state of now, by way of the loop; false if the loop has ended or takes no call.
func (n *Node) Status() (Status, bool) {
	got := make(chan Status, 1)
	posted := n.loop.Post(func() {
		got <- Status{
			ServerStatuses: n.serverStatuses(), Requests: n.dispatcher.InFlight(), Clients: n.frontend.ConnCount(), Servers: n.backend.Servers(), ServerConns: n.backend.Conns(),
			Dispatch: n.dispatcher.Counts, Frontend: n.frontend.Counts, Backend: n.backend.Counts,
		}
	})
	if !posted {
		return Status{}, false
	}
	select {
	case v := <-got:
		v.HeapMB = float64(heapBytes()) / (1 << 20)
		return v, true
	case <-n.done:
		return Status{}, false
	}
}

// serverStatuses compares what the module assumes of each server with what crosses the sockets to it. It belongs to the loop.
func (n *Node) serverStatuses() (all []ServerStatus) {
	now := n.loop.Now()
	n.backend.EachServer(now, func(server backend.ServerStats) {
		if held, ok := n.policy.EstimateServer(n.dispatcher.ModuleTime(now), server.ID); ok {
			all = append(all, ServerStatus{held, server})
		}
	})
	return all
}

// heapBytes reads how much memory objects take, without stopping the program for it as runtime.ReadMemStats does.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64()
}
