// Package simulation plays a scripted day in simulated time: the real dispatchers, with the HTTP/2, the door and the
// decision module that they have on the clock, on loops of one loop.World; model hosts, listers and clients are
// stand-ins on loops of the same world. The same script and seed give the same run, entry by entry, whatever the
// machine does.
package simulation

import (
	"cmp"
	"context"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	pb "docksail/api/docksail/v1"
	"docksail/internal/config"
	"docksail/internal/dispatch"
	"docksail/internal/eventloop"
	"docksail/internal/grpcnode"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/engine/batchmodel"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/faultproxy"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/scenario"
	"docksail/internal/lab/userclient"
	"docksail/policy"
)

const (
	simulationEpoch = int64(1_000_000_000_000_000_000) // Unix nanoseconds at which each day's world begins
	networkLatency  = int64(100 * time.Microsecond)    // from one loop to another
	initialUptime   = int64(24 * time.Hour)            // hosts have run for so long
	loadStartTime   = int64(time.Second)               // into the world the load begins: the lists are known by then
)

// Simulation is a day's parties.
type Simulation struct {
	Script         *scenario.Script
	Log            *eventlog.Log
	WrapModule     func(n int) func(dispatch.Module) dispatch.Module // as in drill.OpenWith
	Logger         *slog.Logger
	SampleInterval time.Duration // the figures of all hosts are written down so often; 0 = never

	network          *eventloop.SimulatedNetwork
	controlLoop      *eventloop.Loop // on which the script's times come
	transfers        *transferNetwork
	servers          []*modelServer
	serversByAddr    map[string]*modelServer
	health           []pb.Health
	discoveryServers []*discoveryServer
	dispatchers      []*dispatcher
	clientGroups     []*clientGroup
	loadStart        eventloop.Nanos
	stoppedCounts    dispatch.Counts // of the lives that ended
	random           *rand.Rand
}

// dispatcher is a real one, on a simulated loop.
type dispatcher struct {
	index        int
	addr         netip.AddrPort
	config       *config.Dispatcher
	loop         *eventloop.Loop
	core         *dispatch.Dispatcher // nil while it is down
	incarnations uint64
}

// New makes a day's parties.
func New(s *scenario.Script) (*Simulation, error) {
	d := &Simulation{
		Script: s, Log: &eventlog.Log{}, Logger: slog.New(slog.DiscardHandler), serversByAddr: map[string]*modelServer{}, loadStart: loadStartTime,
		random: rand.New(rand.NewPCG(uint64(s.Seed), 2)),
	}
	d.network = eventloop.NewSimulatedNetwork(simulationEpoch, networkLatency)
	d.Log.Clock = d.network.UnixNanos
	d.controlLoop = d.network.NewLoop(simulatedAddr(0, 0), nil)
	d.transfers = &transferNetwork{
		loop: d.network.NewLoop(simulatedAddr(0, 1), nil), model: batchmodel.NewNetwork(), serverLinks: map[int]int{}, cellLinks: map[string]int{},
		onDone: map[batchmodel.TransferID]func(){},
	}
	var list []*pb.Host
	for i, spec := range s.EngineSpecs() {
		spec.BatchModel = true
		h := &modelServer{sim: d, spec: spec, addr: netip.AddrPortFrom(simulatedAddr(1, i), 1), random: rand.New(rand.NewPCG(uint64(s.Seed), uint64(spec.ID)))}
		if err := h.start(initialUptime); err != nil {
			return nil, fmt.Errorf("host %d: %w", spec.ID, err)
		}
		d.servers = append(d.servers, h)
		d.serversByAddr[h.addr.String()] = h
		d.health = append(d.health, pb.Health_HEALTH_SERVING)
		list = append(list, d.endpoint(i))
	}
	for n := range s.Dispatchers {
		w := &discoveryServer{sim: d, dispatcher: n, addr: netip.AddrPortFrom(simulatedAddr(2, n), 1), endpoints: slices.Clone(list), version: 1}
		if err := w.start(); err != nil {
			return nil, err
		}
		d.discoveryServers = append(d.discoveryServers, w)
		set := s.DispatcherConfig(n)
		at := netip.AddrPortFrom(simulatedAddr(3, n), 1)
		set.Listen, set.Discovery.Watch, set.Limits.MaxMemoryBytes = at, w.addr, 0
		d.dispatchers = append(d.dispatchers, &dispatcher{index: n, addr: at, config: set})
	}
	d.network.NewTap = func(from *eventloop.Loop, to netip.AddrPort) eventloop.Tap {
		h := d.serversByAddr[to.String()]
		if h == nil {
			return nil
		}
		for _, x := range d.dispatchers {
			if x.loop == from {
				return faultproxy.NewFrameRecorder(d.Log, h.spec.ID, x.index)
			}
		}
		return nil
	}
	for i, t := range s.ClientClasses() {
		k := &clientGroup{sim: d, class: t, loop: d.network.NewLoop(simulatedAddr(4, i), nil), summary: &userclient.Summary{}}
		for range d.dispatchers {
			k.conns = append(k.conns, make([]*grpcConn, max(defaultConnsPerDispatcher, t.ConnsPerDispatcher)))
		}
		d.clientGroups = append(d.clientGroups, k)
	}
	return d, nil
}

// startDispatcher starts one, or starts it again.
func (d *Simulation) startDispatcher(x *dispatcher) error {
	if x.core != nil { // another trouble has started it again
		return nil
	}
	x.incarnations++
	x.loop = d.network.NewLoop(x.addr.Addr(), nil)
	life := uint64(x.index+1)<<16 | x.incarnations
	var wrap func(dispatch.Module) dispatch.Module
	if d.WrapModule != nil {
		wrap = d.WrapModule(x.index)
	}
	secrets := rand.NewChaCha8([32]byte{byte(life), byte(life >> 8), byte(life >> 16), byte(x.config.Seed)})
	disp, err := grpcnode.NewDispatcher(x.loop, x.config, d.Logger.With("dispatcher", x.index),
		grpcnode.Identity{Seed: x.config.Seed, Incarnation: life, Secrets: secrets}, wrap)
	if err != nil {
		return err
	}
	if _, err := disp.Start(x.addr, false); err != nil {
		return err
	}
	x.core = disp
	x.loop.SetOnIteration(disp.RunIteration)
	x.loop.Post(func() {})
	d.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStarted, Dispatcher: x.index})
	return nil
}

func (d *Simulation) killDispatcher(x *dispatcher) {
	if x.core == nil {
		return
	}
	d.stoppedCounts.Add(x.core.Counts)
	x.core = nil
	d.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStopped, Dispatcher: x.index})
	x.loop.Kill()
}

// scheduleAt has f called at a time of the world, after on the way to it.
func (d *Simulation) scheduleAt(t eventloop.Nanos, f func()) {
	timer := &eventloop.Timer{}
	d.controlLoop.Post(func() { d.controlLoop.SetTimer(timer, max(t, d.network.Now()), func(eventloop.Nanos) { f() }) })
}

func (d *Simulation) scheduleAfter(t eventloop.Nanos, f func()) { d.scheduleAt(d.network.Now()+t, f) }

// ServerLoad is the true load of a host: prompt tokens that are not read yet, and work at hand.
func (d *Simulation) ServerLoad(id policy.ServerID) (unread, work int) {
	h := d.servers[id-1]
	if h.loop == nil {
		return math.MaxInt, math.MaxInt
	}
	return h.model.QueuedPromptTokens(), h.model.Queued() + h.model.Running()
}

// endpoint is what a list says of a host.
func (d *Simulation) endpoint(i int) *pb.Host {
	h := d.servers[i]
	m := &pb.Host{Id: uint32(h.spec.ID), Address: h.addr.String(), Role: h.spec.Role, Zone: h.spec.Zone, Cell: h.spec.Cell, Health: d.health[i]}
	if h.startedAt > 0 {
		m.StartedUnixNs = simulationEpoch + h.startedAt
	}
	return m
}

func (d *Simulation) publishEndpoint(i int) {
	for _, w := range d.discoveryServers {
		w.set(d.endpoint(i), int64(d.Script.DiscoveryDelay))
	}
}

// Report is what a day came to, with what its playing took.
type Report struct {
	scenario.Report
	LoopIterations uint64 // of all loops
	Simulated      time.Duration
}

// Run plays the day to its end, lets what is left end, and judges the rules. A context that ends stops it.
func (d *Simulation) Run(ctx context.Context) (*Report, error) {
	s, begin := d.Script, time.Now()
	for _, x := range d.dispatchers {
		if err := d.startDispatcher(x); err != nil {
			return nil, err
		}
	}
	d.network.RunUntil(d.loadStart)
	last := s.Duration
	for _, t := range s.Faults {
		hosts := d.faultTargets(t)
		last = max(last, t.Start+t.Duration+t.Duration/10)
		d.scheduleAt(d.loadStart+int64(t.Start), func() {
			d.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Code: string(t.Kind), Note: "begins"})
			d.injectFault(t, hosts)
		})
		d.scheduleAt(d.loadStart+int64(t.Start+t.Duration), func() { d.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Code: string(t.Kind), Note: "ends"}) })
	}
	if d.SampleInterval > 0 {
		d.recordServerLoads()
	}
	heavies := 0
	d.scheduleSessions(func(at time.Duration) float64 {
		r := s.SessionsPerSecond
		for _, t := range s.Faults {
			if t.Kind == "burst" && at >= t.Start && at < t.Start+t.Duration {
				r *= t.Factor
			}
		}
		return r
	}, func(at time.Duration) int {
		heavies++
		for _, t := range s.Faults {
			if t.Kind == "heavy" && at >= t.Start && at < t.Start+t.Duration && heavies%30 == 0 {
				return int(t.Factor)
			}
		}
		return 1
	})
	const step = int64(time.Second)
	idle := func() bool { // nobody is owed anything any more
		for _, k := range d.clientGroups {
			if k.openSessions > 0 {
				return false
			}
		}
		return true
	}
	end := d.loadStart + int64(last)
	most := end + int64(10*time.Minute) // a client that waits for longer is a fault, which rule one shows
	for t := d.loadStart; t < end || t < most && !idle(); {
		t += step
		d.network.RunUntil(t)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	d.network.RunUntil(d.network.Now() + int64(s.ReleaseTime+300*time.Millisecond))
	rep := &Report{LoopIterations: d.network.Iterations, Simulated: time.Duration(d.network.Now())}
	rep.Summaries, rep.Counts, rep.Entries = map[string]*userclient.Summary{}, d.stoppedCounts, d.Log.Entries()
	for _, k := range d.clientGroups {
		rep.Summaries[k.class.Name] = k.summary
	}
	for _, x := range d.dispatchers {
		if x.core == nil {
			continue
		}
		rep.Counts.Add(x.core.Counts)
		for _, t := range x.core.TenantStatuses() {
			rep.AdmissionCounts = append(rep.AdmissionCounts, t.Counts)
		}
	}
	rep.Violations = invariants.Check(rep.Entries, s.InvariantLimits())
	for _, e := range rep.Entries {
		if e.Kind == eventlog.AttemptSent {
			rep.Attempts++
		}
	}
	rep.Elapsed = time.Since(begin)
	return rep, nil
}

// recordServerLoads writes down the figures of all hosts that run, and comes again.
func (d *Simulation) recordServerLoads() {
	for _, h := range d.servers {
		if h.loop != nil {
			d.Log.Add(eventlog.Entry{
				Kind: eventlog.ServerLoad, Server: h.spec.ID, Value: int64(h.model.QueuedPromptTokens()), ClientAttempt: h.model.Queued() + h.model.Running(),
				Attempt: 1000 * h.model.Memory.InUse() / h.model.Memory.Blocks(),
			})
		}
	}
	d.scheduleAfter(int64(d.SampleInterval), d.recordServerLoads)
}

// faultTargets gives the hosts of a trouble.
func (d *Simulation) faultTargets(t scenario.Fault) []*modelServer {
	var is []int
	if len(t.Servers) > 0 {
		for _, n := range t.Servers {
			is = append(is, n-1)
		}
	} else {
		for i, h := range d.servers {
			if (t.Role == "" || scenario.WireRoles[t.Role] == h.spec.Role) && (t.Zone == "" || t.Zone == h.spec.Zone) && (t.Cell == "" || t.Cell == h.spec.Cell) {
				is = append(is, i)
			}
		}
		if t.Share > 0 {
			d.random.Shuffle(len(is), func(a, b int) { is[a], is[b] = is[b], is[a] })
			is = is[:min(len(is), int(t.Share*float64(len(is))+1))]
			slices.Sort(is)
		}
	}
	var hs []*modelServer
	for _, i := range is {
		hs = append(hs, d.servers[i])
	}
	return hs
}

// injectFault acts one out, from its begin to its end.
func (d *Simulation) injectFault(t scenario.Fault, hosts []*modelServer) {
	length := int64(t.Duration)
	each := func(f func(h *modelServer)) {
		for _, h := range hosts {
			f(h)
		}
	}
	fail := func(change, back func(f *engine.Faults)) {
		each(func(h *modelServer) { h.setFaults(change) })
		d.scheduleAfter(length, func() { each(func(h *modelServer) { h.setFaults(back) }) })
	}
	gone := func(h *modelServer) {
		h.crash()
		d.health[h.spec.ID-1] = pb.Health_HEALTH_GONE
		d.publishEndpoint(h.spec.ID - 1)
	}
	again := func(h *modelServer) {
		if h.loop != nil {
			return
		}
		if err := h.start(0); err != nil {
			panic(err)
		}
		d.health[h.spec.ID-1] = pb.Health_HEALTH_SERVING
		d.publishEndpoint(h.spec.ID - 1)
	}
	cut := func(yes bool, which func(x *dispatcher) bool) {
		note := "cut"
		if !yes {
			note = "uncut"
		}
		each(func(h *modelServer) {
			for _, x := range d.dispatchers {
				if which(x) && h.loop != nil {
					d.network.SetPartitioned(x.loop, h.loop, yes)
				}
			}
			d.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Note: note, Server: h.spec.ID})
		})
	}
	all := func(*dispatcher) bool { return true }
	slow := func(by int64, trickle bool) {
		set := func(by int64, trickle bool) {
			each(func(h *modelServer) {
				if h.loop != nil {
					h.loop.SetSlowdown(by, trickle)
				}
			})
		}
		set(by, trickle)
		d.scheduleAfter(length, func() { set(0, false) })
	}
	switch t.Kind {
	case "crash", "rack":
		each(gone)
		d.scheduleAfter(length, func() { each(again) })
	case "waves":
		for i, h := range hosts {
			d.scheduleAfter(length*int64(i)/int64(len(hosts)), func() { gone(h) })
		}
		d.scheduleAfter(length, func() { each(again) })
	case "hang":
		fail(func(f *engine.Faults) { f.Hanging = true }, func(f *engine.Faults) { f.Hanging = false })
	case "errors":
		fail(func(f *engine.Faults) { f.FailFast = t.Factor }, func(f *engine.Faults) { f.FailFast = 0 })
	case "slow":
		fail(func(f *engine.Faults) { f.Slowdown = t.Factor }, func(f *engine.Faults) { f.Slowdown = 1 })
	case "deaf":
		fail(func(f *engine.Faults) { f.SilentClass = t.Class }, func(f *engine.Faults) { f.SilentClass = "" })
	case "links":
		fail(func(f *engine.Faults) { f.LinkSlowdown = t.Factor }, func(f *engine.Faults) { f.LinkSlowdown = 1 })
	case "reports":
		fail(func(f *engine.Faults) { f.ReportDelay = t.Duration }, func(f *engine.Faults) { f.ReportDelay = 0 })
	case "stall":
		fail(func(f *engine.Faults) { f.StallAfter = int(t.Factor) }, func(f *engine.Faults) { f.StallAfter = 0 })
	case "vanish":
		cut(true, all)
		d.scheduleAfter(length, func() {
			each(func(h *modelServer) {
				was := h.loop
				h.crash()
				for _, x := range d.dispatchers { // now its machine answers for the process that is gone
					if was != nil && x.loop != nil {
						d.network.SetPartitioned(x.loop, was, false)
					}
				}
				d.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Note: "uncut", Server: h.spec.ID})
			})
			each(again)
		})
	case "ageing":
		const steps = 10
		for i := range steps {
			d.scheduleAfter(length*int64(i)/steps, func() {
				each(func(h *modelServer) { h.setFaults(func(f *engine.Faults) { f.Slowdown = 1 + float64(i)/2 }) })
			})
		}
		d.scheduleAfter(length, func() {
			each(func(h *modelServer) {
				gone(h)
				h.setFaults(func(f *engine.Faults) { f.Slowdown = 1 })
			})
		})
		d.scheduleAfter(length+length/steps, func() { each(again) })
	case "pauses", "neighbour":
		turn, part := int64(time.Second), int64(100*time.Millisecond)
		on, off := func(f *engine.Faults) { f.Paused = true }, func(f *engine.Faults) { f.Paused = false }
		if t.Kind == "neighbour" {
			part = turn / 2
			on, off = func(f *engine.Faults) { f.Slowdown = t.Factor }, func(f *engine.Faults) { f.Slowdown = 1 }
		}
		for at := int64(0); at < length; at += turn {
			d.scheduleAfter(at, func() { each(func(h *modelServer) { h.setFaults(on) }) })
			d.scheduleAfter(at+part, func() { each(func(h *modelServer) { h.setFaults(off) }) })
		}
	case "cut":
		far := func(x *dispatcher) bool { return d.Script.Dispatchers[x.index].Zone != t.Zone }
		cut(true, far)
		d.scheduleAfter(length, func() { cut(false, far) })
	case "drain":
		each(func(h *modelServer) {
			d.health[h.spec.ID-1] = pb.Health_HEALTH_DRAINING
			d.publishEndpoint(h.spec.ID - 1)
		})
		d.scheduleAfter(length*2/3, func() { each(gone) })
		d.scheduleAfter(length, func() { each(again) })
	case "dispatcher":
		x := d.dispatchers[t.Dispatcher]
		d.killDispatcher(x)
		d.scheduleAfter(length, func() {
			if err := d.startDispatcher(x); err != nil {
				panic(err)
			}
		})
	case "lister":
		for _, w := range d.discoveryServers {
			w.stop()
		}
		d.scheduleAfter(length, func() {
			for _, w := range d.discoveryServers {
				if err := w.start(); err != nil {
					panic(err)
				}
			}
		})
	case "reset":
		each(func(h *modelServer) {
			if h.loop != nil {
				h.loop.ResetConnections()
			}
		})
	case "halfopen":
		each(func(h *modelServer) {
			if h.loop != nil {
				h.loop.BlackholeConnections()
			}
			d.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Note: "cut", Server: h.spec.ID})
		})
		d.scheduleAfter(int64(scenario.FaultDetectionTime), func() {
			each(func(h *modelServer) {
				d.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Note: "uncut", Server: h.spec.ID})
			})
		})
	case "trickle":
		slow(0, true)
	case "delay":
		slow(int64(t.Factor*1e6), false)
	case "burst", "heavy": // the load acts them out
	}
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func sortedKeysBy[K comparable, V any](m map[K]V, by func(K) uint64) []K {
	return slices.SortedFunc(maps.Keys(m), func(a, b K) int { return cmp.Compare(by(a), by(b)) })
}
