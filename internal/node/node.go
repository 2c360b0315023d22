package node

import (
	"docksail/internal/decide/clientconn"
	"docksail/internal/decide/discovery"
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
	// heapShare of the memory limit is the collector's: the rest is for the program's text, stacks and what the kernel
	// counts as ours.
	heapShare = 0.6
	// requestBytes is what a request in hand may take: most are a tenth of it.
	requestBytes    = 64 << 10
	maxPromptTokens = 1 << 20
	silenceLimit    = 5 * int64(time.Second) // a client is lost that waits longer after a running server's last event
)

// Node is one dispatcher in service.
type Node struct {
	loop       *eventloop.Loop
	dispatcher *dispatch.Dispatcher
	module     *policy.Dispatcher
	addr       netip.AddrPort
	frontend   *frontend.Server
	backend    *backend.Exit
	log        *slog.Logger
	done       chan struct{}
	err        error
}

// LimitResources sets the run-time to a small machine: one core, and a heap that keeps within the limit.
func LimitResources(t *Config) {
	runtime.GOMAXPROCS(max(1, int(t.Limits.Cores+0.5)))
	debug.SetMemoryLimit(int64(heapShare * float64(t.Limits.Memory<<20)))
}

// New makes a dispatcher on a loop by what it was told.
func New(l *eventloop.Loop, t *Config, life uint64, log *slog.Logger) (*Node, error) {
	m, err := platformconfig.New(t.seed(), t.Settings)
	if err != nil {
		return nil, err
	}
	clients, servers := clientconn.DescriptorShares(t.Limits.Sockets)
	memory := t.Limits.Memory << 20
	most := max(int(heapShare*float64(memory)/2/requestBytes), 16)
	n := &Node{loop: l, log: log, module: m.Policy, done: make(chan struct{})}
	if n.dispatcher, err = dispatch.Direct(l, log, m.Policy, m.ClassNames, m.Classes, m.Tenant, most, maxPromptTokens, int64(m.MaxRetryAfter), silenceLimit, life); err != nil {
		return nil, err
	}
	n.frontend = frontend.New(l, n.dispatcher, log, clients, clientconn.BodyMemory(memory), n.dispatcher.Known)
	n.backend = backend.New(l, n.dispatcher, log, m, servers, t.Discovery)
	n.dispatcher.Attach(n.frontend, n.backend)
	n.backend.Known(l.Now(), t.Known)
	if n.addr, err = n.dispatcher.Start(t.Listen, false); err != nil {
		return nil, fmt.Errorf("node %s: %w", t.Name, err)
	}
	n.frontend.Hold(true) // what the agent knows counts as told from now on: no request goes before it is asked
	open := func() { n.frontend.Hold(false) }
	n.backend.OnNews(open)
	var late eventloop.Timer
	l.At(&late, l.Now()+discovery.FirstListTimeout, func(eventloop.Nanos) { open() })
	return n, nil
}

// Run starts a dispatcher in service on a loop of its own goroutine.
func Run(t *Config, log *slog.Logger) (*Node, error) {
	l, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	n, err := New(l, t, uint64(time.Now().UnixNano()), log)
	if err != nil {
		l.Close()
		return nil, err
	}
	go func() {
		defer close(n.done)
		n.err = l.Run(n.dispatcher.Round)
		l.Close()
	}()
	return n, nil
}

// Reload takes over what may change under a dispatcher that runs: where discovery is.
func (n *Node) Reload(t *Config) {
	n.loop.Post(func() { n.backend.Discovery(n.loop.Now(), t.Discovery) })
}

// Drain has clients go elsewhere and the dispatcher end when nobody is left.
func (n *Node) Drain() { n.loop.Post(func() { n.dispatcher.DrainIdle(n.loop.Stop) }) }

// Done is closed at the end.
func (n *Node) Done() <-chan struct{} { return n.done }

// Err tells, after the end, what ended the loop; nil after Leave.
func (n *Node) Err() error { return n.err }

// View is how a dispatcher does.
type View struct {
	Requests, Clients, Servers, ServerConns int
	Dispatch                                dispatch.Counts
	Front                                   frontend.Counts
	Exit                                    backend.Counts
	HeapMB                                  float64
	Beliefs                                 []Belief `json:"-"`
}

// Belief is what the module holds of a server beside what crosses the sockets to it.
type Belief struct {
	policy.Belief
	backend.ServerView
}

// Differs tells that the two do not agree on the attempts that are out: a fault of the program.
func (b *Belief) Differs() bool {
	if b.Prefill {
		return int(b.Waiting) != b.Out
	}
	return int(b.Writing) != b.Out
}

// InUse tells that the dispatcher has something at the server, or keeps requests from it.
func (b *Belief) InUse() bool {
	return b.Waiting > 0 || b.Writing > 0 || b.Out > 0 || b.Idle > 0 || b.Aside || b.Differs()
}

// View gives the state of now, by way of the loop; false if the loop has ended or takes no call.
func (n *Node) View() (View, bool) {
	got := make(chan View, 1)
	posted := n.loop.Post(func() {
		got <- View{
			Beliefs: n.beliefs(), Requests: n.dispatcher.InHand(), Clients: n.frontend.Conns(), Servers: n.backend.Servers(), ServerConns: n.backend.Conns(),
			Dispatch: n.dispatcher.Counts, Front: n.frontend.Counts, Exit: n.backend.Counts,
		}
	})
	if !posted {
		return View{}, false
	}
	select {
	case v := <-got:
		v.HeapMB = float64(heapBytes()) / (1 << 20)
		return v, true
	case <-n.done:
		return View{}, false
	}
}

// beliefs compares what the module assumes of each server with what crosses the sockets to it. It belongs to the loop.
func (n *Node) beliefs() (all []Belief) {
	now := n.loop.Now()
	n.backend.Each(now, func(server backend.ServerView) {
		if held, ok := n.module.Believes(n.dispatcher.Time(now), server.ID); ok {
			all = append(all, Belief{held, server})
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
