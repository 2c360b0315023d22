package grpcnode

import (
	"crypto/rand"
	"errors"
	"fmt"
	"log/slog"
	"net/netip"
	"time"

	"docksail/internal/config"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	frontend "docksail/internal/frontend/grpc"
)

// ErrEnded is returned by methods of a Node whose loop has ended.
var ErrEnded = errors.New("dispatcher has ended")

// Node is a dispatcher that runs its loop on its own goroutine. Its methods may be called from any goroutine.
type Node struct {
	// Addr is the address that the dispatcher listens on.
	Addr netip.AddrPort

	loop       *eventloop.Loop
	dispatcher *dispatch.Dispatcher
	frontend   *frontend.Server
	done       chan struct{}
	err        error
}

// Status is the state of a node. It is written to the status file and to the log, so the JSON names and the order of
// its fields must not change.
type Status struct {
	dispatch.Status
	Frontend frontend.Counts         `json:"Front"`
	Tenants  []dispatch.TenantStatus // in the order of the settings; one without a name if the settings name none
}

// Start starts a dispatcher configured by settings. wrap may be nil.
func Start(settings *config.Dispatcher, log *slog.Logger, wrap ModuleWrapper) (*Node, error) {
	loop, err := eventloop.New()
	if err != nil {
		return nil, err
	}
	n := &Node{loop: loop, done: make(chan struct{})}
	if err := n.start(settings, log, wrap); err != nil {
		loop.Close()
		return nil, err
	}
	go n.run()
	return n, nil
}

func (n *Node) start(settings *config.Dispatcher, log *slog.Logger, wrap ModuleWrapper) error {
	identity := Identity{Seed: settings.Seed, Incarnation: uint64(time.Now().UnixNano()), Secrets: rand.Reader}
	if identity.Seed == 0 {
		identity.Seed = identity.Incarnation
	}
	var err error
	if n.dispatcher, n.frontend, err = build(n.loop, settings, log, identity, wrap); err != nil {
		return err
	}
	if n.Addr, err = n.dispatcher.Start(settings.Listen, settings.SharePort); err != nil {
		return fmt.Errorf("dispatcher: %w", err)
	}
	return nil
}

func (n *Node) run() {
	defer close(n.done)
	n.err = n.loop.Run(n.dispatcher.RunIteration)
	n.loop.Close()
	n.dispatcher.Close()
}

// Drain makes the dispatcher accept no new clients and requests, and end once the others are answered, at the latest
// shortly after the timeout. It does not wait: Done is closed when the dispatcher has ended.
func (n *Node) Drain(timeout time.Duration) {
	n.loop.Post(func() { n.dispatcher.Drain(int64(timeout), n.loop.Stop) })
}

// Kill ends the dispatcher at once, without answering requests, and waits until it has ended.
func (n *Node) Kill() {
	n.loop.Stop()
	<-n.done
}

// Wait waits until the dispatcher has ended and returns the error of its loop.
func (n *Node) Wait() error {
	<-n.done
	return n.err
}

// Done returns a channel that is closed when the dispatcher has ended.
func (n *Node) Done() <-chan struct{} { return n.done }

// RunOnLoop calls f on the loop's goroutine and waits until it has returned. It returns false if the loop has ended,
// in which case f may or may not have been called.
func (n *Node) RunOnLoop(f func(d *dispatch.Dispatcher)) bool {
	called := make(chan struct{})
	if !n.loop.Post(func() { f(n.dispatcher); close(called) }) {
		return false
	}
	select {
	case <-called:
		return true
	case <-n.done:
		return false
	}
}

// Status returns the current state. It returns ErrEnded if the loop has ended.
func (n *Node) Status() (Status, error) {
	var status Status
	if !n.RunOnLoop(func(d *dispatch.Dispatcher) {
		status = Status{Status: d.Status(), Frontend: n.frontend.Counts(), Tenants: d.TenantStatuses()}
	}) {
		return Status{}, ErrEnded
	}
	return status, nil
}

// SetTenantLimits applies the tenants' limits of changed settings. If it returns an error, no limit has changed.
func (n *Node) SetTenantLimits(settings *config.Dispatcher) error {
	err := ErrEnded
	n.RunOnLoop(func(d *dispatch.Dispatcher) { err = d.SetTenantLimits(Tenants(settings)) })
	return err
}
