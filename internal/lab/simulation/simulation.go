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
	wall  = int64(1_000_000_000_000_000_000) // Unix nanoseconds at which each day's world begins
	delay = int64(100 * time.Microsecond)    // from one loop to another
	long  = int64(24 * time.Hour)            // hosts have run for so long
	start = int64(time.Second)               // into the world the load begins: the lists are known by then
)

// Simulation is a day's parties.
type Simulation struct {
	Script         *scenario.Script
	Log            *eventlog.Log
	WrapModule     func(n int) func(dispatch.Module) dispatch.Module // as in drill.OpenWith
	Logger         *slog.Logger
	SampleInterval time.Duration // the figures of all hosts are written down so often; 0 = never

	world   *eventloop.SimulatedNetwork
	ctl     *eventloop.Loop // on which the script's times come
	net     *moves
	hosts   []*host
	byAddr  map[string]*host
	health  []pb.Health
	listers []*lister
	disp    []*dispatcher
	crowds  []*crowd
	began   eventloop.Nanos
	counts  dispatch.Counts // of the lives that ended
	rng     *rand.Rand
}

// dispatcher is a real one, on a simulated loop.
type dispatcher struct {
	n     int
	addr  netip.AddrPort
	set   *config.Dispatcher
	l     *eventloop.Loop
	d     *dispatch.Dispatcher // nil while it is down
	lives uint64
}

// New makes a day's parties.
func New(s *scenario.Script) (*Simulation, error) {
	d := &Simulation{
		Script: s, Log: &eventlog.Log{}, Logger: slog.New(slog.DiscardHandler), byAddr: map[string]*host{}, began: start,
		rng: rand.New(rand.NewPCG(uint64(s.Seed), 2)),
	}
	d.world = eventloop.NewSimulatedNetwork(wall, delay)
	d.Log.Clock = d.world.UnixNanos
	d.ctl = d.world.NewLoop(addr(0, 0), nil)
	d.net = &moves{
		l: d.world.NewLoop(addr(0, 1), nil), net: batchmodel.NewNetwork(), ports: map[int]int{}, cells: map[string]int{},
		ended: map[batchmodel.TransferID]func(){},
	}
	var list []*pb.Host
	for i, spec := range s.EngineSpecs() {
		spec.BatchModel = true
		h := &host{d: d, spec: spec, addr: netip.AddrPortFrom(addr(1, i), 1), rng: rand.New(rand.NewPCG(uint64(s.Seed), uint64(spec.ID)))}
		if err := h.start(long); err != nil {
			return nil, fmt.Errorf("host %d: %w", spec.ID, err)
		}
		d.hosts = append(d.hosts, h)
		d.byAddr[h.addr.String()] = h
		d.health = append(d.health, pb.Health_HEALTH_SERVING)
		list = append(list, d.told(i))
	}
	for n := range s.Dispatchers {
		w := &lister{d: d, disp: n, addr: netip.AddrPortFrom(addr(2, n), 1), hosts: slices.Clone(list), version: 1}
		if err := w.start(); err != nil {
			return nil, err
		}
		d.listers = append(d.listers, w)
		set := s.DispatcherConfig(n)
		at := netip.AddrPortFrom(addr(3, n), 1)
		set.Listen, set.Discovery.Watch, set.Limits.MaxMemoryBytes = at, w.addr, 0
		d.disp = append(d.disp, &dispatcher{n: n, addr: at, set: set})
	}
	d.world.NewTap = func(from *eventloop.Loop, to netip.AddrPort) eventloop.Tap {
		h := d.byAddr[to.String()]
		if h == nil {
			return nil
		}
		for _, x := range d.disp {
			if x.l == from {
				return faultproxy.NewFrameRecorder(d.Log, h.spec.ID, x.n)
			}
		}
		return nil
	}
	for i, t := range s.ClientClasses() {
		k := &crowd{d: d, t: t, l: d.world.NewLoop(addr(4, i), nil), sum: &userclient.Summary{}}
		for range d.disp {
			k.wires = append(k.wires, make([]*wire, max(connsEach, t.ConnsPerDispatcher)))
		}
		d.crowds = append(d.crowds, k)
	}
	return d, nil
}

// startDispatcher starts one, or starts it again.
func (d *Simulation) startDispatcher(x *dispatcher) error {
	if x.d != nil { // another trouble has started it again
		return nil
	}
	x.lives++
	x.l = d.world.NewLoop(x.addr.Addr(), nil)
	life := uint64(x.n+1)<<16 | x.lives
	var wrap func(dispatch.Module) dispatch.Module
	if d.WrapModule != nil {
		wrap = d.WrapModule(x.n)
	}
	secrets := rand.NewChaCha8([32]byte{byte(life), byte(life >> 8), byte(life >> 16), byte(x.set.Seed)})
	disp, err := grpcnode.NewDispatcher(x.l, x.set, d.Logger.With("dispatcher", x.n),
		grpcnode.Identity{Seed: x.set.Seed, Incarnation: life, Secrets: secrets}, wrap)
	if err != nil {
		return err
	}
	if _, err := disp.Start(x.addr, false); err != nil {
		return err
	}
	x.d = disp
	x.l.SetOnIteration(disp.RunIteration)
	x.l.Post(func() {})
	d.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStarted, Dispatcher: x.n})
	return nil
}

func (d *Simulation) killDispatcher(x *dispatcher) {
	if x.d == nil {
		return
	}
	d.counts.Add(x.d.Counts)
	x.d = nil
	d.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStopped, Dispatcher: x.n})
	x.l.Kill()
}

// at has f called at a time of the world, after on the way to it.
func (d *Simulation) at(t eventloop.Nanos, f func()) {
	timer := &eventloop.Timer{}
	d.ctl.Post(func() { d.ctl.SetTimer(timer, max(t, d.world.Now()), func(eventloop.Nanos) { f() }) })
}

func (d *Simulation) after(t eventloop.Nanos, f func()) { d.at(d.world.Now()+t, f) }

// ServerLoad is the true load of a host: prompt tokens that are not read yet, and work at hand.
func (d *Simulation) ServerLoad(id policy.ServerID) (unread, work int) {
	h := d.hosts[id-1]
	if h.l == nil {
		return math.MaxInt, math.MaxInt
	}
	return h.model.QueuedPromptTokens(), h.model.Queued() + h.model.Running()
}

// told is what a list says of a host.
func (d *Simulation) told(i int) *pb.Host {
	h := d.hosts[i]
	m := &pb.Host{Id: uint32(h.spec.ID), Address: h.addr.String(), Role: h.spec.Role, Zone: h.spec.Zone, Cell: h.spec.Cell, Health: d.health[i]}
	if h.began > 0 {
		m.StartedUnixNs = wall + h.began
	}
	return m
}

func (d *Simulation) list(i int) {
	for _, w := range d.listers {
		w.set(d.told(i), int64(d.Script.DiscoveryDelay))
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
	for _, x := range d.disp {
		if err := d.startDispatcher(x); err != nil {
			return nil, err
		}
	}
	d.world.RunUntil(d.began)
	last := s.Duration
	for _, t := range s.Faults {
		hosts := d.on(t)
		last = max(last, t.Start+t.Duration+t.Duration/10)
		d.at(d.began+int64(t.Start), func() {
			d.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Code: t.Kind, Note: "begins"})
			d.trouble(t, hosts)
		})
		d.at(d.began+int64(t.Start+t.Duration), func() { d.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Code: t.Kind, Note: "ends"}) })
	}
	if d.SampleInterval > 0 {
		d.sample()
	}
	heavies := 0
	d.play(func(at time.Duration) float64 {
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
		for _, k := range d.crowds {
			if k.open > 0 {
				return false
			}
		}
		return true
	}
	end := d.began + int64(last)
	most := end + int64(10*time.Minute) // a client that waits for longer is a fault, which rule one shows
	for t := d.began; t < end || t < most && !idle(); {
		t += step
		d.world.RunUntil(t)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	d.world.RunUntil(d.world.Now() + int64(s.ReleaseTime+300*time.Millisecond))
	rep := &Report{LoopIterations: d.world.Iterations, Simulated: time.Duration(d.world.Now())}
	rep.Summaries, rep.Counts, rep.Entries = map[string]*userclient.Summary{}, d.counts, d.Log.Entries()
	for _, k := range d.crowds {
		rep.Summaries[k.t.Name] = k.sum
	}
	for _, x := range d.disp {
		if x.d == nil {
			continue
		}
		rep.Counts.Add(x.d.Counts)
		for _, t := range x.d.TenantStatuses() {
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

// sample writes down the figures of all hosts that run, and comes again.
func (d *Simulation) sample() {
	for _, h := range d.hosts {
		if h.l != nil {
			d.Log.Add(eventlog.Entry{
				Kind: eventlog.ServerLoad, Server: h.spec.ID, Value: int64(h.model.QueuedPromptTokens()), ClientAttempt: h.model.Queued() + h.model.Running(),
				Attempt: 1000 * h.model.Memory.InUse() / h.model.Memory.Blocks(),
			})
		}
	}
	d.after(int64(d.SampleInterval), d.sample)
}

// on gives the hosts of a trouble.
func (d *Simulation) on(t scenario.Fault) []*host {
	var is []int
	if len(t.Servers) > 0 {
		for _, n := range t.Servers {
			is = append(is, n-1)
		}
	} else {
		for i, h := range d.hosts {
			if (t.Role == "" || scenario.WireRoles[t.Role] == h.spec.Role) && (t.Zone == "" || t.Zone == h.spec.Zone) && (t.Cell == "" || t.Cell == h.spec.Cell) {
				is = append(is, i)
			}
		}
		if t.Share > 0 {
			d.rng.Shuffle(len(is), func(a, b int) { is[a], is[b] = is[b], is[a] })
			is = is[:min(len(is), int(t.Share*float64(len(is))+1))]
			slices.Sort(is)
		}
	}
	var hs []*host
	for _, i := range is {
		hs = append(hs, d.hosts[i])
	}
	return hs
}

// trouble acts one out, from its begin to its end.
func (d *Simulation) trouble(t scenario.Fault, hosts []*host) {
	length := int64(t.Duration)
	each := func(f func(h *host)) {
		for _, h := range hosts {
			f(h)
		}
	}
	fail := func(change, back func(f *engine.Faults)) {
		each(func(h *host) { h.fail(change) })
		d.after(length, func() { each(func(h *host) { h.fail(back) }) })
	}
	gone := func(h *host) {
		h.crash()
		d.health[h.spec.ID-1] = pb.Health_HEALTH_GONE
		d.list(h.spec.ID - 1)
	}
	again := func(h *host) {
		if h.l != nil {
			return
		}
		if err := h.start(0); err != nil {
			panic(err)
		}
		d.health[h.spec.ID-1] = pb.Health_HEALTH_SERVING
		d.list(h.spec.ID - 1)
	}
	cut := func(yes bool, which func(x *dispatcher) bool) {
		note := "cut"
		if !yes {
			note = "uncut"
		}
		each(func(h *host) {
			for _, x := range d.disp {
				if which(x) && h.l != nil {
					d.world.SetPartitioned(x.l, h.l, yes)
				}
			}
			d.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Note: note, Server: h.spec.ID})
		})
	}
	all := func(*dispatcher) bool { return true }
	slow := func(by int64, trickle bool) {
		set := func(by int64, trickle bool) {
			each(func(h *host) {
				if h.l != nil {
					h.l.SetSlowdown(by, trickle)
				}
			})
		}
		set(by, trickle)
		d.after(length, func() { set(0, false) })
	}
	switch t.Kind {
	case "crash", "rack":
		each(gone)
		d.after(length, func() { each(again) })
	case "waves":
		for i, h := range hosts {
			d.after(length*int64(i)/int64(len(hosts)), func() { gone(h) })
		}
		d.after(length, func() { each(again) })
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
		d.after(length, func() {
			each(func(h *host) {
				was := h.l
				h.crash()
				for _, x := range d.disp { // now its machine answers for the process that is gone
					if was != nil && x.l != nil {
						d.world.SetPartitioned(x.l, was, false)
					}
				}
				d.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Note: "uncut", Server: h.spec.ID})
			})
			each(again)
		})
	case "ageing":
		const steps = 10
		for i := range steps {
			d.after(length*int64(i)/steps, func() {
				each(func(h *host) { h.fail(func(f *engine.Faults) { f.Slowdown = 1 + float64(i)/2 }) })
			})
		}
		d.after(length, func() {
			each(func(h *host) {
				gone(h)
				h.fail(func(f *engine.Faults) { f.Slowdown = 1 })
			})
		})
		d.after(length+length/steps, func() { each(again) })
	case "pauses", "neighbour":
		turn, part := int64(time.Second), int64(100*time.Millisecond)
		on, off := func(f *engine.Faults) { f.Paused = true }, func(f *engine.Faults) { f.Paused = false }
		if t.Kind == "neighbour" {
			part = turn / 2
			on, off = func(f *engine.Faults) { f.Slowdown = t.Factor }, func(f *engine.Faults) { f.Slowdown = 1 }
		}
		for at := int64(0); at < length; at += turn {
			d.after(at, func() { each(func(h *host) { h.fail(on) }) })
			d.after(at+part, func() { each(func(h *host) { h.fail(off) }) })
		}
	case "cut":
		far := func(x *dispatcher) bool { return d.Script.Dispatchers[x.n].Zone != t.Zone }
		cut(true, far)
		d.after(length, func() { cut(false, far) })
	case "drain":
		each(func(h *host) {
			d.health[h.spec.ID-1] = pb.Health_HEALTH_DRAINING
			d.list(h.spec.ID - 1)
		})
		d.after(length*2/3, func() { each(gone) })
		d.after(length, func() { each(again) })
	case "dispatcher":
		x := d.disp[t.Dispatcher]
		d.killDispatcher(x)
		d.after(length, func() {
			if err := d.startDispatcher(x); err != nil {
				panic(err)
			}
		})
	case "lister":
		for _, w := range d.listers {
			w.stop()
		}
		d.after(length, func() {
			for _, w := range d.listers {
				if err := w.start(); err != nil {
					panic(err)
				}
			}
		})
	case "reset":
		each(func(h *host) {
			if h.l != nil {
				h.l.ResetConnections()
			}
		})
	case "halfopen":
		each(func(h *host) {
			if h.l != nil {
				h.l.BlackholeConnections()
			}
			d.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Note: "cut", Server: h.spec.ID})
		})
		d.after(int64(scenario.FaultDetectionTime), func() {
			each(func(h *host) {
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

func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

func sortedBy[K comparable, V any](m map[K]V, by func(K) uint64) []K {
	return slices.SortedFunc(maps.Keys(m), func(a, b K) int { return cmp.Compare(by(a), by(b)) })
}
