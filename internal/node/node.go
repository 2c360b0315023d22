// Package node runs a dispatcher on the platform: it loads the platform's configuration, creates the event loop, and
// connects the frontend, the dispatcher with its policy, and the backend on it.
package node

import (
	"fmt"
	"log/slog"
	"net/netip"
	"runtime"
	"runtime/debug"
	"time"

	backend "docksail/internal/backend/platform"
	"docksail/internal/decide/clientconn"
	"docksail/internal/decide/discovery"
	"docksail/internal/decide/intake"
	"docksail/internal/decide/memory"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	frontend "docksail/internal/frontend/platform"
	"docksail/internal/platformconfig"
	"docksail/policy"
)

const (
	// requestFraction is the fraction of the heap that requests in flight may use.
	requestFraction = 0.5
	// maxRequestBytes is the memory of a request in flight by which their number is limited. Package memory limits
	// their bytes.
	maxRequestBytes = 64 << 10
	// minRequests is the least limit of requests in flight.
	minRequests = 16

	maxPromptTokens = 1 << 20
	// maxSilence is how long a client waits for the next event of a stream before it gives up.
	maxSilence = 5 * int64(time.Second)
)

// Node is a dispatcher in service. Its exported methods may be called by any goroutine.
type Node struct {
	loop       *eventloop.Loop
	dispatcher *dispatch.Dispatcher
	policy     *policy.Router
	addr       netip.AddrPort
	frontend   *frontend.Server
	backend    *backend.Backend
	memory     *memoryMonitor
	log        *slog.Logger
	done       chan struct{}
	err        error // set before done is closed
}

// LimitResources limits the cores and the heap that the process uses to the limits of the configuration.
func LimitResources(config *Config) {
	runtime.GOMAXPROCS(max(1, int(config.Limits.Cores+0.5)))
	debug.SetMemoryLimit(memory.HeapLimit(config.Limits.MemoryMB << 20))
}

// New returns a dispatcher on a loop. It listens for clients and watches the endpoint list as soon as the loop runs.
// New must be called by the loop's goroutine, or before the loop runs. incarnation must be different at each start.
func New(loop *eventloop.Loop, config *Config, incarnation uint64, log *slog.Logger) (*Node, error) {
	platformConfig, err := platformconfig.New(config.seed(), config.Settings)
	if err != nil {
		return nil, err
	}
	clients, servers := clientconn.DescriptorShares(config.Limits.Descriptors)
	n := &Node{loop: loop, log: log, policy: platformConfig.Policy, done: make(chan struct{})}
	n.policy.LimitPrefixes(memory.MaxPrefixes(config.Limits.MemoryMB << 20))
	n.memory = newMemoryMonitor(loop, log, config.Limits.MemoryMB<<20)
	n.dispatcher = newDispatcher(loop, log, platformConfig, config, n.memory.budget, incarnation)
	limits := frontend.Limits{Connections: clients, Memory: n.memory.budget}
	n.frontend = frontend.New(loop, n.dispatcher, limits, n.dispatcher.HasEndpointList)
	n.frontend.LogRequests(log)
	n.backend = backend.New(loop, n.dispatcher, log, platformConfig, n.memory.budget, servers, config.Discovery)
	n.dispatcher.Attach(n.frontend, n.backend)
	n.backend.SetInitialList(loop.Now(), config.InitialList)
	if n.addr, err = n.dispatcher.Start(config.Listen, false); err != nil {
		return nil, fmt.Errorf("node %s: %w", config.Name, err)
	}
	n.pauseUntilFirstList()
	return n, nil
}

// newDispatcher returns a dispatcher without its frontend and backend.
func newDispatcher(
	loop *eventloop.Loop, log *slog.Logger, config *platformconfig.Config, nodeConfig *Config, budget *memory.Budget,
	incarnation uint64,
) *dispatch.Dispatcher {
	heap := float64(memory.HeapLimit(nodeConfig.Limits.MemoryMB << 20))
	maxRequests := max(int(heap*requestFraction/maxRequestBytes), minRequests)
	return dispatch.NewDirect(loop, log, &dispatch.Config{
		Module:        config.Policy,
		ClassNames:    config.ClassNames,
		Classes:       config.Classes,
		TenantNames:   config.Tenants,
		Intake:        intake.Limits{MaxRequests: maxRequests, MaxPromptTokens: maxPromptTokens},
		Memory:        budget,
		MaxRetryAfter: int64(config.MaxRetryAfter),
		MaxSilence:    maxSilence,
		Incarnation:   incarnation,
	})
}

// pauseUntilFirstList accepts no clients until discovery has sent a list or discovery.InitialListTimeout has passed.
// The platform regards what discovery knows when the process starts as delivered to it, so requests must not be routed
// by an older list.
func (n *Node) pauseUntilFirstList() {
	n.frontend.PauseAccepting(true)
	resume := func() { n.frontend.PauseAccepting(false) }
	n.backend.OnFirstList(resume)
	var timer eventloop.Timer
	n.loop.SetTimer(&timer, n.loop.Now()+discovery.InitialListTimeout, func(eventloop.Nanos) { resume() })
}

// Start starts a dispatcher whose loop runs on a goroutine of its own.
func Start(config *Config, log *slog.Logger) (*Node, error) {
	loop, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	n, err := New(loop, config, uint64(time.Now().UnixNano()), log)
	if err != nil {
		loop.Close()
		return nil, err
	}
	go func() {
		defer close(n.done)
		n.err = loop.Run(n.dispatcher.RunIteration)
		loop.Close()
	}()
	return n, nil
}

// Reload applies the only setting that may change while a dispatcher runs, the address of discovery.
func (n *Node) Reload(config *Config) {
	n.loop.Post(func() { n.backend.SetDiscoveryAddr(n.loop.Now(), config.Discovery) })
}

// Drain starts a graceful shutdown: the listener closes after a short time, later requests are rejected, and the loop
// ends when no client is connected and no request or release is in progress.
func (n *Node) Drain() { n.loop.Post(func() { n.dispatcher.DrainWithoutDeadline(n.loop.Stop) }) }

// Done returns a channel that is closed when the loop has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the error that ended the loop, or nil after a drain. It may be called only after Done is closed.
func (n *Node) Err() error { return n.err }
