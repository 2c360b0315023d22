package simulation

import (
	"math/rand/v2"
	"net/netip"

	"docksail/internal/config"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/grpcnode"
	"docksail/internal/lab/eventlog"
)

// dispatcher is a real dispatcher on a simulated loop.
type dispatcher struct {
	index        int
	addr         netip.AddrPort
	config       *config.Dispatcher
	loop         *eventloop.Loop
	core         *dispatch.Dispatcher // nil while it is stopped
	incarnations uint64
}

// startDispatcher starts a dispatcher unless it is running.
func (s *Simulation) startDispatcher(d *dispatcher) error {
	if d.core != nil {
		return nil
	}
	d.incarnations++
	d.loop = s.network.NewLoop(d.addr.Addr(), nil)
	incarnation := uint64(d.index+1)<<16 | d.incarnations
	var wrap func(dispatch.Module) dispatch.Module
	if s.WrapModule != nil {
		wrap = s.WrapModule(d.index)
	}
	secrets := rand.NewChaCha8([32]byte{
		byte(incarnation), byte(incarnation >> 8), byte(incarnation >> 16), byte(d.config.Seed),
	})
	identity := grpcnode.Identity{Seed: d.config.Seed, Incarnation: incarnation, Secrets: secrets}
	core, err := grpcnode.NewDispatcher(d.loop, d.config, s.Logger.With("dispatcher", d.index), identity, wrap)
	if err != nil {
		return err
	}
	if _, err := core.Start(d.addr, false); err != nil {
		return err
	}
	d.core = core
	d.loop.SetOnIteration(core.RunIteration)
	d.loop.Post(func() {}) // triggers the first iteration of the loop
	s.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStarted, Dispatcher: d.index})
	return nil
}

// killDispatcher stops a dispatcher at once if it is running.
func (s *Simulation) killDispatcher(d *dispatcher) {
	if d.core == nil {
		return
	}
	s.stoppedCounts.Add(d.core.Counts)
	d.core = nil
	s.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStopped, Dispatcher: d.index})
	d.loop.Kill()
}
