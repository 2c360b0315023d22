// Package node puts a dispatcher into service on the platform: it loads the platform's configuration, creates the event
// loop, and connects the frontend, the dispatcher with its policy, and the backend on it.
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
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	frontend "docksail/internal/frontend/platform"
	"docksail/internal/platformconfig"
	"docksail/policy"
)

const (
	// heapFraction of the memory limit is for the heap. The rest is for the program's text, stacks, and what the kernel
	// counts as the process's.
	heapFraction = 0.6
	// requestFraction of the heap is for requests in hand, each of which takes maxRequestBytes at most: most take a
	// tenth of it.
	requestFraction = 0.5
	maxRequestBytes = 64 << 10
	minRequests     = 16

	maxPromptTokens = 1 << 20
	// silenceLimit is how long a client waits for the next event of a running server before it gives up.
	silenceLimit = 5 * int64(time.Second)
)

// Node is one dispatcher in service. Its methods may be called by any goroutine.
type Node struct {
	loop       *eventloop.Loop
	dispatcher *dispatch.Dispatcher
	policy     *policy.Router
	addr       netip.AddrPort
	frontend   *frontend.Server
	backend    *backend.Backend
	log        *slog.Logger
	done       chan struct{}
	err        error // set before done is closed
}

// LimitResources sets how many cores and how much heap the process uses by the limits of the configuration.
func LimitResources(config *Config) {
	runtime.GOMAXPROCS(max(1, int(config.Limits.Cores+0.5)))
	debug.SetMemoryLimit(int64(heapFraction * float64(config.Limits.MemoryMB<<20)))
}

// New returns a dispatcher on a loop, which listens for clients and watches the endpoint list as soon as the loop runs.
// It must be called by the loop's goroutine, or before the loop runs. incarnation must differ from one start to the
// next.
func New(l *eventloop.Loop, config *Config, incarnation uint64, log *slog.Logger) (*Node, error) {
	platformConfig, err := platformconfig.New(config.seed(), config.Settings)
	if err != nil {
		return nil, err
	}
	clients, servers := clientconn.DescriptorShares(config.Limits.Descriptors)
	memory := config.Limits.MemoryMB << 20
	maxRequests := max(int(heapFraction*float64(memory)*requestFraction/maxRequestBytes), minRequests)
	n := &Node{loop: l, log: log, policy: platformConfig.Policy, done: make(chan struct{})}
	n.dispatcher = newDispatcher(l, log, platformConfig, maxRequests, incarnation)
	limits := frontend.Limits{Connections: clients, PartialRequestBytes: clientconn.MaxPartialRequestBytes(memory)}
	n.frontend = frontend.New(l, n.dispatcher, limits, n.dispatcher.HasEndpointList)
	n.backend = backend.New(l, n.dispatcher, log, platformConfig, servers, config.Discovery)
	n.dispatcher.Attach(n.frontend, n.backend)
	n.backend.SetInitialList(l.Now(), config.InitialList)
	if n.addr, err = n.dispatcher.Start(config.Listen, false); err != nil {
		return nil, fmt.Errorf("node %s: %w", config.Name, err)
	}
	n.pauseUntilFirstList()
	return n, nil
}

// newDispatcher returns the dispatcher without its frontend and backend.
func newDispatcher(
	l *eventloop.Loop, log *slog.Logger, config *platformconfig.Config, maxRequests int, incarnation uint64,
) *dispatch.Dispatcher {
	return dispatch.NewDirect(l, log, &dispatch.Config{
		Module:        config.Policy,
		ClassNames:    config.ClassNames,
		Classes:       config.Classes,
		TenantNames:   config.Tenants,
		Intake:        intake.Limits{MaxRequests: maxRequests, MaxPromptTokens: maxPromptTokens},
		MaxRetryAfter: int64(config.MaxRetryAfter),
		MaxSilence:    silenceLimit,
		Incarnation:   incarnation,
	})
}

// pauseUntilFirstList accepts no clients until discovery has sent a list or its time is up: what discovery knows when
// the process starts counts as delivered to it, so no request may be sent by an older list.
func (n *Node) pauseUntilFirstList() {
	n.frontend.PauseAccepting(true)
	resume := func() { n.frontend.PauseAccepting(false) }
	n.backend.OnFirstList(resume)
	var timer eventloop.Timer
	n.loop.SetTimer(&timer, n.loop.Now()+discovery.InitialListTimeout, func(eventloop.Nanos) { resume() })
}

// Start returns a dispatcher in service, whose loop runs on a goroutine of its own.
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

// Reload applies what may change while a dispatcher runs: the address of discovery.
func (n *Node) Reload(config *Config) {
	n.loop.Post(func() { n.backend.SetDiscoveryAddr(n.loop.Now(), config.Discovery) })
}

// Drain begins a graceful shutdown: new clients are refused, and the loop ends with the last connection.
func (n *Node) Drain() { n.loop.Post(func() { n.dispatcher.DrainWithoutDeadline(n.loop.Stop) }) }

// Done returns a channel that is closed when the loop has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err returns the error that ended the loop; nil after a drain. It may be called once Done is closed.
func (n *Node) Err() error { return n.err }
