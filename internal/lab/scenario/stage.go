package scenario

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	pb "docksail/api/docksail/v1"
	"docksail/internal/config"
	"docksail/internal/decide/admission"
	"docksail/internal/dispatch"
	"docksail/internal/grpcnode"
	"docksail/internal/lab/discoveryserver"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/faultproxy"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/userclient"
)

// Deployment is a day's parties, running.
type Deployment struct {
	Script     *Script
	Log        *eventlog.Log
	Engines    []*engine.Engine
	WrapModule func(n int) func(dispatch.Module) dispatch.Module // stands between a dispatcher and its module, for tests

	logger           *slog.Logger
	directory        string
	discoveryServers []*discoveryserver.Server
	proxies          [][]*faultproxy.Proxy // by dispatcher, by host
	mu               sync.Mutex
	dispatchers      []*grpcnode.Node
	addresses        []netip.AddrPort
	configs          []*config.Dispatcher
	health           map[int]pb.Health
	stoppedCounts    []dispatch.Counts // of the lives that ended
	startedAt        time.Time
	links            *engine.Links
}

// Start starts a day's parties.
func Start(s *Script, log *slog.Logger) (*Deployment, error) { return StartWithModule(s, log, nil) }

// StartWithModule is Open with something between dispatchers and their modules.
func StartWithModule(s *Script, log *slog.Logger, wrap func(n int) func(dispatch.Module) dispatch.Module) (st *Deployment, err error) {
	st = &Deployment{Script: s, Log: &eventlog.Log{}, WrapModule: wrap, logger: log, health: map[int]pb.Health{}}
	defer func() {
		if err != nil {
			st.Close()
		}
	}()
	if st.directory, err = os.MkdirTemp("", "docksail-drill"); err != nil {
		return st, err
	}
	st.links = engine.NewLinks(engine.CellLinkFactor, engine.CrossZoneFactor)
	for _, spec := range s.EngineSpecs() {
		e := engine.New(spec, engine.LinearModel{}, st.Log)
		if s.BatchModel {
			e.Links = st.links
		}
		if err := e.Start("127.0.0.1:0"); err != nil {
			return st, err
		}
		e.SkipWarmup()
		st.Engines = append(st.Engines, e)
		st.health[spec.ID] = pb.Health_HEALTH_SERVING
	}
	for n := range s.Dispatchers {
		l := discoveryserver.New(s.DiscoveryDelay, n, st.Log)
		if err := l.Start("127.0.0.1:0"); err != nil {
			return st, err
		}
		st.discoveryServers = append(st.discoveryServers, l)
		var rs []*faultproxy.Proxy
		for _, e := range st.Engines {
			r, err := faultproxy.New(e.Addr(), e.Spec.ID, n, st.Log)
			if err != nil {
				return st, err
			}
			rs = append(rs, r)
		}
		st.proxies = append(st.proxies, rs)
	}
	st.startedAt = time.Now()
	for i := range st.Engines {
		st.publishEndpoint(i, true, 0) // they have run for long
	}
	for n := range s.Dispatchers {
		d := s.DispatcherConfig(n)
		d.Listen = netip.MustParseAddrPort("127.0.0.1:0")
		d.Discovery.Watch = netip.MustParseAddrPort(st.discoveryServers[n].Addr())
		d.Discovery.CacheFile = filepath.Join(st.directory, fmt.Sprintf("list%d", n))
		st.configs = append(st.configs, d)
		st.dispatchers = append(st.dispatchers, nil)
		st.addresses = append(st.addresses, netip.AddrPort{})
		st.stoppedCounts = append(st.stoppedCounts, dispatch.Counts{})
		if err := st.startDispatcher(n); err != nil {
			return st, err
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	for n := range st.dispatchers { // until each knows the list
		for known := false; !known; {
			st.dispatchers[n].RunOnLoop(func(d *dispatch.Dispatcher) { known = d.HasEndpointList() })
			if time.Now().After(deadline) {
				return st, fmt.Errorf("dispatcher %d has no list of engines after 5 s", n)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return st, nil
}

func (st *Deployment) startDispatcher(n int) error {
	d := *st.configs[n]
	if st.addresses[n].IsValid() {
		d.Listen = st.addresses[n]
	}
	var wrap func(dispatch.Module) dispatch.Module
	if st.WrapModule != nil {
		wrap = st.WrapModule(n)
	}
	r, err := grpcnode.Start(&d, st.logger.With("dispatcher", n), wrap)
	if err != nil {
		return err
	}
	st.mu.Lock()
	st.dispatchers[n], st.addresses[n] = r, r.Addr
	st.mu.Unlock()
	st.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStarted, Dispatcher: n})
	return nil
}

// KillDispatcher ends dispatcher n outright; Restart starts it again with the list that it kept.
func (st *Deployment) KillDispatcher(n int) { st.killDispatcher(n) }

// RestartDispatcher starts dispatcher n again on its address.
func (st *Deployment) RestartDispatcher(n int) error { return st.startDispatcher(n) }

// SetDiscoveryRunning stops, or starts again, all listers.
func (st *Deployment) SetDiscoveryRunning(run bool) error {
	for _, l := range st.discoveryServers {
		if !run {
			l.Stop()
		} else if err := l.Start(""); err != nil {
			return err
		}
	}
	return nil
}

// SetServerHealth has the listers tell of a host's health at once.
func (st *Deployment) SetServerHealth(host int, health pb.Health) {
	st.health[host] = health
	st.publishEndpoint(host-1, true, st.processStart(st.Engines[host-1]))
}

// DispatcherConfig gives a copy of what dispatcher n was told.
func (st *Deployment) DispatcherConfig(n int) *config.Dispatcher {
	s := *st.configs[n]
	s.Tenants = slices.Clone(s.Tenants)
	return &s
}

// Proxies are those of dispatcher n, by host.
func (st *Deployment) Proxies(n int) []*faultproxy.Proxy { return st.proxies[n] }

// CheckInvariants judges what has passed so far.
func (st *Deployment) CheckInvariants() []invariants.Violation {
	return invariants.Check(st.Log.Entries(), st.Script.InvariantLimits())
}

func (st *Deployment) killDispatcher(n int) {
	st.mu.Lock()
	r := st.dispatchers[n]
	st.dispatchers[n] = nil
	st.mu.Unlock()
	if r != nil {
		r.RunOnLoop(func(d *dispatch.Dispatcher) { add(&st.stoppedCounts[n], d.Counts) })
		st.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStopped, Dispatcher: n})
		r.Kill()
	}
}

// DrainDispatcher has dispatcher n leave, and waits.
func (st *Deployment) DrainDispatcher(n int, within time.Duration) {
	st.mu.Lock()
	r := st.dispatchers[n]
	st.dispatchers[n] = nil
	st.mu.Unlock()
	r.Drain(within)
	r.Wait()
	st.Log.Add(eventlog.Entry{Kind: eventlog.DispatcherStopped, Dispatcher: n})
}

// Addresses are the addresses of the dispatchers.
func (st *Deployment) Addresses() []string {
	var ts []string
	for _, a := range st.addresses {
		ts = append(ts, a.String())
	}
	return ts
}

// Dispatcher gives dispatcher n; nil while it is down.
func (st *Deployment) Dispatcher(n int) *grpcnode.Node {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.dispatchers[n]
}

// Counts adds up what all dispatchers counted, over all their lives.
func (st *Deployment) Counts() dispatch.Counts {
	var sum dispatch.Counts
	for n := range st.dispatchers {
		add(&sum, st.stoppedCounts[n])
		if r := st.Dispatcher(n); r != nil {
			r.RunOnLoop(func(d *dispatch.Dispatcher) { add(&sum, d.Counts) })
		}
	}
	return sum
}

// Close ends all parties.
func (st *Deployment) Close() {
	for n := range st.dispatchers {
		st.killDispatcher(n)
	}
	for _, rs := range st.proxies {
		for _, r := range rs {
			r.Close()
		}
	}
	for _, l := range st.discoveryServers {
		l.Stop()
	}
	for _, e := range st.Engines {
		e.Crash()
	}
	if st.links != nil {
		st.links.Close()
	}
	if st.directory != "" {
		os.RemoveAll(st.directory)
	}
}

// publishEndpoint makes a host's state known through the listers; started 0 says long ago.
func (st *Deployment) publishEndpoint(i int, atOnce bool, started int64) {
	e := st.Engines[i]
	for n, l := range st.discoveryServers {
		l.Set(&pb.Host{
			Id: uint32(e.Spec.ID), Address: st.proxies[n][i].Addr(), Role: e.Spec.Role, Zone: e.Spec.Zone,
			Cell: e.Spec.Cell, Health: st.health[e.Spec.ID], StartedUnixNs: started,
		}, atOnce)
	}
}

// restartServer starts a crashed host again, cold.
func (st *Deployment) restartServer(i int) {
	e := st.Engines[i]
	if err := e.Start(""); err != nil {
		st.logger.Error("host does not start again", "host", e.Spec.ID, "err", err)
		return
	}
	st.health[e.Spec.ID] = pb.Health_HEALTH_SERVING
	at, _ := e.StartTime()
	st.publishEndpoint(i, false, at.UnixNano())
}

// processStart is the start of a host's process as the list has it: 0 for those that ran before the day.
func (st *Deployment) processStart(e *engine.Engine) int64 {
	at, _ := e.StartTime()
	if at.Before(st.startedAt) {
		return 0
	}
	return at.UnixNano()
}

// faultTargets gives the hosts of a trouble.
func (st *Deployment) faultTargets(t Fault, rng *rand.Rand) []int {
	if len(t.Servers) > 0 {
		var is []int
		for _, h := range t.Servers {
			is = append(is, h-1)
		}
		return is
	}
	var is []int
	for i, e := range st.Engines {
		s := e.Spec
		if (t.Role == "" || WireRoles[t.Role] == s.Role) && (t.Zone == "" || t.Zone == s.Zone) && (t.Cell == "" || t.Cell == s.Cell) {
			is = append(is, i)
		}
	}
	if t.Share > 0 {
		rng.Shuffle(len(is), func(a, b int) { is[a], is[b] = is[b], is[a] })
		is = is[:min(len(is), ceil(t.Share*float64(len(is))))]
		slices.Sort(is)
	}
	return is
}

// Report is what a day came to.
type Report struct {
	Summaries       map[string]*userclient.Summary
	Violations      []invariants.Violation
	Entries         []eventlog.Entry
	Counts          dispatch.Counts
	Attempts        int
	AdmissionCounts []admission.TenantCounts // by dispatcher, by tenant
	Elapsed         time.Duration
}

// Run plays the script to its end, lets what is left end, and judges the rules.
func (st *Deployment) Run(ctx context.Context) (*Report, error) {
	s := st.Script
	rng := rand.New(rand.NewPCG(uint64(s.Seed), 2))
	begin := time.Now()
	var wg sync.WaitGroup
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var mu sync.Mutex // one trouble changes the stage at a time
	for _, t := range s.Faults {
		hosts := st.faultTargets(t, rng)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !sleep(ctx, time.Until(begin.Add(t.Start))) {
				return
			}
			st.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Code: t.Kind, Note: "begins"})
			st.logger.Info("trouble begins", "kind", t.Kind, "hosts", hosts)
			st.injectFault(ctx, t, hosts, &mu)
			st.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Code: t.Kind, Note: "ends"})
		}()
	}
	load := userclient.Load{
		Targets: st.Addresses(), Classes: s.ClientClasses(), Duration: s.Duration, Seed: uint64(s.Seed), ConnsPerDispatcher: 2,
		Rate: func(at time.Duration) float64 {
			r := s.SessionsPerSecond
			for _, t := range s.Faults {
				if t.Kind == "burst" && at >= t.Start && at < t.Start+t.Duration {
					r *= t.Factor
				}
			}
			return r
		},
	}
	n := 0
	load.PromptFactor = func(at time.Duration) int {
		n++
		for _, t := range s.Faults {
			if t.Kind == "heavy" && at >= t.Start && at < t.Start+t.Duration && n%30 == 0 {
				return int(t.Factor)
			}
		}
		return 1
	}
	sums, err := userclient.RunLoad(ctx, load, st.Log)
	if err != nil {
		return nil, err
	}
	wg.Wait()
	time.Sleep(s.ReleaseTime + 300*time.Millisecond) // what is held has to have gone by then
	var doors []admission.TenantCounts
	for n := range st.dispatchers {
		if r := st.Dispatcher(n); r != nil {
			r.RunOnLoop(func(d *dispatch.Dispatcher) {
				for _, t := range d.TenantStatuses() {
					doors = append(doors, t.Counts)
				}
			})
		}
	}
	rep := &Report{AdmissionCounts: doors, Summaries: sums, Counts: st.Counts(), Entries: st.Log.Entries(), Elapsed: time.Since(begin)}
	rep.Violations = invariants.Check(rep.Entries, s.InvariantLimits())
	for _, e := range rep.Entries {
		if e.Kind == eventlog.AttemptSent {
			rep.Attempts++
		}
	}
	return rep, nil
}

func sleep(ctx context.Context, t time.Duration) bool {
	if t <= 0 {
		return ctx.Err() == nil
	}
	select {
	case <-time.After(t):
		return true
	case <-ctx.Done():
		return false
	}
}

// injectFault acts one trouble out, from its begin to its end.
func (st *Deployment) injectFault(ctx context.Context, t Fault, hosts []int, mu *sync.Mutex) {
	each := func(f func(i int, e *engine.Engine)) {
		mu.Lock()
		defer mu.Unlock()
		for _, i := range hosts {
			f(i, st.Engines[i])
		}
	}
	fail := func(change, back func(f *engine.Faults)) {
		each(func(_ int, e *engine.Engine) { e.SetFaults(change) })
		sleep(ctx, t.Duration)
		each(func(_ int, e *engine.Engine) { e.SetFaults(back) })
	}
	wire := func(f func(r *faultproxy.Proxy)) {
		each(func(i int, _ *engine.Engine) {
			for n := range st.proxies {
				f(st.proxies[n][i])
			}
		})
	}
	cut := func(yes bool, dispatchers func(n int) bool) {
		note := "cut"
		if !yes {
			note = "uncut"
		}
		each(func(i int, e *engine.Engine) {
			for n := range st.proxies {
				if dispatchers(n) {
					st.proxies[n][i].SetBlackhole(yes)
				}
			}
			st.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Note: note, Server: e.Spec.ID})
		})
	}
	gone := func(i int, e *engine.Engine) {
		e.Crash()
		st.health[e.Spec.ID] = pb.Health_HEALTH_GONE
		st.publishEndpoint(i, false, st.processStart(e))
	}
	all := func(int) bool { return true }
	switch t.Kind {
	case "crash", "rack":
		each(gone)
		sleep(ctx, t.Duration)
		each(func(i int, _ *engine.Engine) { st.restartServer(i) })
	case "waves":
		for _, i := range hosts {
			mu.Lock()
			gone(i, st.Engines[i])
			mu.Unlock()
			if !sleep(ctx, t.Duration/time.Duration(len(hosts))) {
				break
			}
		}
		each(func(i int, _ *engine.Engine) { st.restartServer(i) })
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
		sleep(ctx, t.Duration)
		each(func(_ int, e *engine.Engine) { e.Crash() })
		cut(false, all)
		each(func(i int, _ *engine.Engine) { st.restartServer(i) })
	case "ageing":
		const steps = 10
		for i := range steps {
			each(func(_ int, e *engine.Engine) {
				e.SetFaults(func(f *engine.Faults) { f.Slowdown = 1 + float64(i)/2 })
			})
			if !sleep(ctx, t.Duration/steps) {
				break
			}
		}
		each(func(i int, e *engine.Engine) {
			gone(i, e)
			e.SetFaults(func(f *engine.Faults) { f.Slowdown = 1 })
		})
		sleep(ctx, t.Duration/steps)
		each(func(i int, _ *engine.Engine) { st.restartServer(i) })
	case "pauses", "neighbour":
		turn, part := time.Second, 100*time.Millisecond
		on, off := func(f *engine.Faults) { f.Paused = true }, func(f *engine.Faults) { f.Paused = false }
		if t.Kind == "neighbour" {
			part = turn / 2
			on, off = func(f *engine.Faults) { f.Slowdown = t.Factor }, func(f *engine.Faults) { f.Slowdown = 1 }
		}
		for end := time.Now().Add(t.Duration); time.Now().Before(end) && ctx.Err() == nil; {
			each(func(_ int, e *engine.Engine) { e.SetFaults(on) })
			sleep(ctx, part)
			each(func(_ int, e *engine.Engine) { e.SetFaults(off) })
			sleep(ctx, turn-part)
		}
	case "cut":
		far := func(n int) bool { return st.Script.Dispatchers[n].Zone != t.Zone }
		cut(true, far)
		sleep(ctx, t.Duration)
		cut(false, far)
	case "drain":
		each(func(i int, e *engine.Engine) {
			st.health[e.Spec.ID] = pb.Health_HEALTH_DRAINING
			st.publishEndpoint(i, false, st.processStart(e))
		})
		sleep(ctx, t.Duration*2/3)
		each(gone)
		sleep(ctx, t.Duration/3)
		each(func(i int, _ *engine.Engine) { st.restartServer(i) })
	case "dispatcher":
		st.killDispatcher(t.Dispatcher)
		sleep(ctx, t.Duration)
		if err := st.startDispatcher(t.Dispatcher); err != nil {
			st.logger.Error("dispatcher does not start again", "err", err)
		}
	case "lister":
		for _, l := range st.discoveryServers {
			l.Stop()
		}
		sleep(ctx, t.Duration)
		for _, l := range st.discoveryServers {
			if err := l.Start(""); err != nil {
				st.logger.Error("lister does not start again", "err", err)
			}
		}
	case "reset":
		wire(func(r *faultproxy.Proxy) { r.ResetConns() })
	case "halfopen":
		wire(func(r *faultproxy.Proxy) { r.BlackholeOpenConns() })
		each(func(_ int, e *engine.Engine) {
			st.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Note: "cut", Server: e.Spec.ID})
		})
		sleep(ctx, FaultDetectionTime)
		each(func(_ int, e *engine.Engine) {
			st.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Note: "uncut", Server: e.Spec.ID})
		})
	case "trickle":
		wire(func(r *faultproxy.Proxy) { r.SetTrickle(true) })
		sleep(ctx, t.Duration)
		wire(func(r *faultproxy.Proxy) { r.SetTrickle(false) })
	case "delay":
		wire(func(r *faultproxy.Proxy) { r.SetDelay(time.Duration(t.Factor * 1e6)) })
		sleep(ctx, t.Duration)
		wire(func(r *faultproxy.Proxy) { r.SetDelay(0) })
	case "burst", "heavy": // the load acts them out
		sleep(ctx, t.Duration)
	}
}

// Print writes a report for people.
func (r *Report) Print(w io.Writer) {
	var names []string
	for name := range r.Summaries {
		names = append(names, name)
	}
	slices.Sort(names)
	fmt.Fprintf(w, "%-16s %7s %7s %8s %8s %8s %9s %5s %7s %6s %8s %8s %8s\n", "track", "jobs", "tries", "honoured", "on time",
		"nacked", "abandoned", "left", "no end", "wrong", "kept", "p50 ms", "p99 ms")
	for _, name := range names {
		s := r.Summaries[name]
		slices.Sort(s.FirstTokenTimes)
		fmt.Fprintf(w, "%-16s %7d %7d %8d %8d %8d %9d %5d %7d %6d %8.3f %8.0f %8.0f\n", name, s.Requests, s.Attempts, s.Served,
			s.OnTime, s.Rejected, s.Failed, s.Canceled, s.Unanswered, s.Corrupt, s.ValueShare(), quantile(s.FirstTokenTimes, 0.5), quantile(s.FirstTokenTimes, 0.99))
	}
	c := r.Counts
	fmt.Fprintf(w, "dispatchers: %d launches, %d recalled, %d late, %d broken, %d releases, %d reports (%d late), %d refused at the gate, "+
		"%d guarded\n", c.Attempts, c.Cancels, c.TimedOut, c.Broken, c.Releases, c.LoadReports, c.StaleLoadReports, c.RejectedAtIntake, c.InvalidDecisions)
	doors := r.AdmissionCounts
	if len(doors) > 8 { // their sum tells more than a page of them
		var sum admission.TenantCounts
		for _, c := range doors {
			sum.Add(c)
		}
		doors = []admission.TenantCounts{sum}
	}
	for i, c := range doors {
		if c.Arrived > 0 {
			fmt.Fprintf(w, "door %d: %d came, %d admitted, %d cancelled, refused %v, mean wait %d ms, longest %d ms, booked %d, returned %d, kept %d, not honoured %d\n",
				i, c.Arrived, c.Admitted, c.Cancelled, c.Rejected, c.TotalWait/int64(max(c.Admitted, 1))/1e6, c.MaxWait/1e6, c.ReservationsGranted, c.ReservationsRedeemed, c.ReservationsAdmitted, c.ReservationsInvalid)
		}
	}
	back, kept := 0, 0
	for _, s := range r.Summaries {
		back, kept = back+s.ReservedRetries, kept+s.ReservedRetriesServed
	}
	if back > 0 {
		fmt.Fprintf(w, "back as advised: %d, %.3f of them honoured\n", back, float64(kept)/float64(back))
	}
	if len(r.Violations) == 0 {
		fmt.Fprintf(w, "rules: all five kept, over %d launches on the sockets, in %v\n", r.Attempts, r.Elapsed.Round(time.Second))
		return
	}
	fmt.Fprintf(w, "rules: BROKEN, %d times\n", len(r.Violations))
	for i, v := range r.Violations {
		if i == 20 {
			fmt.Fprintf(w, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(w, "  %v\n", v)
	}
}

func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(q*float64(len(sorted)-1))]) / 1e6
}

func add(sum *dispatch.Counts, c dispatch.Counts) { sum.Add(c) }
