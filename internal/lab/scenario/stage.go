package scenario

import (
	"context"
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
)

// Stage is a day's parties, running.
type Stage struct {
	Script  *Script
	Book    *eventlog.Book
	Engines []*engine.Engine
	Wrap    func(n int) func(dispatch.Module) dispatch.Module // stands between a dispatcher and its module, for tests

	log     *slog.Logger
	dir     string
	listers []*discoveryserver.Lister
	relays  [][]*faultproxy.Relay // by dispatcher, by host
	mu      sync.Mutex
	disp    []*grpcnode.Node
	addrs   []netip.AddrPort
	sets    []*config.Dispatcher
	health  map[int]pb.Health
	counts  []dispatch.Counts // of the lives that ended
	began   time.Time
	links   *engine.Links
}

// Open starts a day's parties.
func Open(s *Script, log *slog.Logger) (*Stage, error) { return OpenWith(s, log, nil) }

// OpenWith is Open with something between dispatchers and their modules.
func OpenWith(s *Script, log *slog.Logger, wrap func(n int) func(dispatch.Module) dispatch.Module) (st *Stage, err error) {
	st = &Stage{Script: s, Book: &eventlog.Book{}, Wrap: wrap, log: log, health: map[int]pb.Health{}}
	defer func() {
		if err != nil {
			st.Close()
		}
	}()
	if st.dir, err = os.MkdirTemp("", "docksail-drill"); err != nil {
		return st, err
	}
	st.links = engine.NewLinks(engine.CellFactor, engine.ZoneSlower)
	for _, spec := range s.Hosts() {
		e := engine.New(spec, engine.Simple{}, st.Book)
		if s.Batch {
			e.Links = st.links
		}
		if err := e.Start("127.0.0.1:0"); err != nil {
			return st, err
		}
		e.Warm()
		st.Engines = append(st.Engines, e)
		st.health[spec.ID] = pb.Health_HEALTH_SERVING
	}
	for n := range s.Dispatchers {
		l := discoveryserver.New(s.ListerLate, n, st.Book)
		if err := l.Start("127.0.0.1:0"); err != nil {
			return st, err
		}
		st.listers = append(st.listers, l)
		var rs []*faultproxy.Relay
		for _, e := range st.Engines {
			r, err := faultproxy.New(e.Addr(), e.Spec.ID, n, st.Book)
			if err != nil {
				return st, err
			}
			rs = append(rs, r)
		}
		st.relays = append(st.relays, rs)
	}
	st.began = time.Now()
	for i := range st.Engines {
		st.list(i, true, 0) // they have run for long
	}
	for n := range s.Dispatchers {
		d := s.Settings(n)
		d.Listen = netip.MustParseAddrPort("127.0.0.1:0")
		d.Fleet.Watch = netip.MustParseAddrPort(st.listers[n].Addr())
		d.Fleet.Keep = filepath.Join(st.dir, fmt.Sprintf("list%d", n))
		st.sets = append(st.sets, d)
		st.disp = append(st.disp, nil)
		st.addrs = append(st.addrs, netip.AddrPort{})
		st.counts = append(st.counts, dispatch.Counts{})
		if err := st.startDispatcher(n); err != nil {
			return st, err
		}
	}
	deadline := time.Now().Add(5 * time.Second)
	for n := range st.disp { // until each knows the list
		for known := false; !known; {
			st.disp[n].RunOnLoop(func(d *dispatch.Dispatcher) { known = d.HasEndpointList() })
			if time.Now().After(deadline) {
				return st, fmt.Errorf("dispatcher %d has no list of engines after 5 s", n)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return st, nil
}

func (st *Stage) startDispatcher(n int) error {
	d := *st.sets[n]
	if st.addrs[n].IsValid() {
		d.Listen = st.addrs[n]
	}
	var wrap func(dispatch.Module) dispatch.Module
	if st.Wrap != nil {
		wrap = st.Wrap(n)
	}
	r, err := grpcnode.Start(&d, st.log.With("dispatcher", n), wrap)
	if err != nil {
		return err
	}
	st.mu.Lock()
	st.disp[n], st.addrs[n] = r, r.Addr
	st.mu.Unlock()
	st.Book.Add(eventlog.Entry{Kind: eventlog.Up, Disp: n})
	return nil
}

// Kill ends dispatcher n outright; Restart starts it again with the list that it kept.
func (st *Stage) Kill(n int) { st.killDispatcher(n) }

// Restart starts dispatcher n again on its address.
func (st *Stage) Restart(n int) error { return st.startDispatcher(n) }

// Listers stops, or starts again, all listers.
func (st *Stage) Listers(run bool) error {
	for _, l := range st.listers {
		if !run {
			l.Stop()
		} else if err := l.Start(""); err != nil {
			return err
		}
	}
	return nil
}

// Tell has the listers tell of a host's health at once.
func (st *Stage) Tell(host int, health pb.Health) {
	st.health[host] = health
	st.list(host-1, true, st.since(st.Engines[host-1]))
}

// Settings gives a copy of what dispatcher n was told.
func (st *Stage) Settings(n int) *config.Dispatcher {
	s := *st.sets[n]
	s.Tenants = slices.Clone(s.Tenants)
	return &s
}

// Relays are those of dispatcher n, by host.
func (st *Stage) Relays(n int) []*faultproxy.Relay { return st.relays[n] }

// Check judges what has passed so far.
func (st *Stage) Check() []invariants.Violation {
	return invariants.Check(st.Book.Entries(), st.Script.Facts())
}

func (st *Stage) killDispatcher(n int) {
	st.mu.Lock()
	r := st.disp[n]
	st.disp[n] = nil
	st.mu.Unlock()
	if r != nil {
		r.RunOnLoop(func(d *dispatch.Dispatcher) { add(&st.counts[n], d.Counts) })
		st.Book.Add(eventlog.Entry{Kind: eventlog.Down, Disp: n})
		r.Kill()
	}
}

// Drain has dispatcher n leave, and waits.
func (st *Stage) Drain(n int, within time.Duration) {
	st.mu.Lock()
	r := st.disp[n]
	st.disp[n] = nil
	st.mu.Unlock()
	r.Drain(within)
	r.Wait()
	st.Book.Add(eventlog.Entry{Kind: eventlog.Down, Disp: n})
}

// Targets are the addresses of the dispatchers.
func (st *Stage) Targets() []string {
	var ts []string
	for _, a := range st.addrs {
		ts = append(ts, a.String())
	}
	return ts
}

// Dispatcher gives dispatcher n; nil while it is down.
func (st *Stage) Dispatcher(n int) *grpcnode.Node {
	st.mu.Lock()
	defer st.mu.Unlock()
	return st.disp[n]
}

// Counts adds up what all dispatchers counted, over all their lives.
func (st *Stage) Counts() dispatch.Counts {
	var sum dispatch.Counts
	for n := range st.disp {
		add(&sum, st.counts[n])
		if r := st.Dispatcher(n); r != nil {
			r.RunOnLoop(func(d *dispatch.Dispatcher) { add(&sum, d.Counts) })
		}
	}
	return sum
}

// Close ends all parties.
func (st *Stage) Close() {
	for n := range st.disp {
		st.killDispatcher(n)
	}
	for _, rs := range st.relays {
		for _, r := range rs {
			r.Close()
		}
	}
	for _, l := range st.listers {
		l.Stop()
	}
	for _, e := range st.Engines {
		e.Crash()
	}
	if st.links != nil {
		st.links.Close()
	}
	if st.dir != "" {
		os.RemoveAll(st.dir)
	}
}

// list makes a host's state known through the listers; started 0 says long ago.
func (st *Stage) list(i int, atOnce bool, started int64) {
	e := st.Engines[i]
	for n, l := range st.listers {
		l.Set(&pb.Host{
			Id: uint32(e.Spec.ID), Address: st.relays[n][i].Addr(), Role: e.Spec.Role, Zone: e.Spec.Zone,
			Cell: e.Spec.Cell, Health: st.health[e.Spec.ID], StartedUnixNs: started,
		}, atOnce)
	}
}

// restart starts a crashed host again, cold.
func (st *Stage) restart(i int) {
	e := st.Engines[i]
	if err := e.Start(""); err != nil {
		st.log.Error("host does not start again", "host", e.Spec.ID, "err", err)
		return
	}
	st.health[e.Spec.ID] = pb.Health_HEALTH_SERVING
	at, _ := e.Started()
	st.list(i, false, at.UnixNano())
}

// since is the start of a host's process as the list has it: 0 for those that ran before the day.
func (st *Stage) since(e *engine.Engine) int64 {
	at, _ := e.Started()
	if at.Before(st.began) {
		return 0
	}
	return at.UnixNano()
}

// on gives the hosts of a trouble.
func (st *Stage) on(t Trouble, rng *rand.Rand) []int {
	if len(t.Hosts) > 0 {
		var is []int
		for _, h := range t.Hosts {
			is = append(is, h-1)
		}
		return is
	}
	var is []int
	for i, e := range st.Engines {
		s := e.Spec
		if (t.Role == "" || Roles[t.Role] == s.Role) && (t.Zone == "" || t.Zone == s.Zone) && (t.Cell == "" || t.Cell == s.Cell) {
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
	Sums       map[string]*userclient.Sum
	Violations []invariants.Violation
	Entries    []eventlog.Entry
	Counts     dispatch.Counts
	Launches   int
	Doors      []admission.TenantCounts // by dispatcher, by tenant
	Took       time.Duration
}

// Play plays the script to its end, lets what is left end, and judges the rules.
func (st *Stage) Play(ctx context.Context) (*Report, error) {
	s := st.Script
	rng := rand.New(rand.NewPCG(uint64(s.Seed), 2))
	begin := time.Now()
	var wg sync.WaitGroup
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	var mu sync.Mutex // one trouble changes the stage at a time
	for _, t := range s.Troubles {
		hosts := st.on(t, rng)
		wg.Add(1)
		go func() {
			defer wg.Done()
			if !sleep(ctx, time.Until(begin.Add(t.At))) {
				return
			}
			st.Book.Add(eventlog.Entry{Kind: eventlog.Trouble, Code: t.Kind, Note: "begins"})
			st.log.Info("trouble begins", "kind", t.Kind, "hosts", hosts)
			st.trouble(ctx, t, hosts, &mu)
			st.Book.Add(eventlog.Entry{Kind: eventlog.Trouble, Code: t.Kind, Note: "ends"})
		}()
	}
	load := userclient.Load{
		Targets: st.Targets(), Classes: s.Clients(), For: s.For, Seed: uint64(s.Seed), Conns: 2,
		Rate: func(at time.Duration) float64 {
			r := s.Rate
			for _, t := range s.Troubles {
				if t.Kind == "burst" && at >= t.At && at < t.At+t.For {
					r *= t.Factor
				}
			}
			return r
		},
	}
	n := 0
	load.Heavy = func(at time.Duration) int {
		n++
		for _, t := range s.Troubles {
			if t.Kind == "heavy" && at >= t.At && at < t.At+t.For && n%30 == 0 {
				return int(t.Factor)
			}
		}
		return 1
	}
	sums, err := userclient.Run(ctx, load, st.Book)
	if err != nil {
		return nil, err
	}
	wg.Wait()
	time.Sleep(s.Release + 300*time.Millisecond) // what is held has to have gone by then
	var doors []admission.TenantCounts
	for n := range st.disp {
		if r := st.Dispatcher(n); r != nil {
			r.RunOnLoop(func(d *dispatch.Dispatcher) {
				for _, t := range d.TenantStatuses() {
					doors = append(doors, t.Counts)
				}
			})
		}
	}
	rep := &Report{Doors: doors, Sums: sums, Counts: st.Counts(), Entries: st.Book.Entries(), Took: time.Since(begin)}
	rep.Violations = invariants.Check(rep.Entries, s.Facts())
	for _, e := range rep.Entries {
		if e.Kind == eventlog.Sent {
			rep.Launches++
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

// trouble acts one trouble out, from its begin to its end.
func (st *Stage) trouble(ctx context.Context, t Trouble, hosts []int, mu *sync.Mutex) {
	each := func(f func(i int, e *engine.Engine)) {
		mu.Lock()
		defer mu.Unlock()
		for _, i := range hosts {
			f(i, st.Engines[i])
		}
	}
	fail := func(change, back func(f *engine.Faults)) {
		each(func(_ int, e *engine.Engine) { e.Fail(change) })
		sleep(ctx, t.For)
		each(func(_ int, e *engine.Engine) { e.Fail(back) })
	}
	wire := func(f func(r *faultproxy.Relay)) {
		each(func(i int, _ *engine.Engine) {
			for n := range st.relays {
				f(st.relays[n][i])
			}
		})
	}
	cut := func(yes bool, dispatchers func(n int) bool) {
		note := "cut"
		if !yes {
			note = "uncut"
		}
		each(func(i int, e *engine.Engine) {
			for n := range st.relays {
				if dispatchers(n) {
					st.relays[n][i].Cut(yes)
				}
			}
			st.Book.Add(eventlog.Entry{Kind: eventlog.Trouble, Note: note, Server: e.Spec.ID})
		})
	}
	gone := func(i int, e *engine.Engine) {
		e.Crash()
		st.health[e.Spec.ID] = pb.Health_HEALTH_GONE
		st.list(i, false, st.since(e))
	}
	all := func(int) bool { return true }
	switch t.Kind {
	case "crash", "rack":
		each(gone)
		sleep(ctx, t.For)
		each(func(i int, _ *engine.Engine) { st.restart(i) })
	case "waves":
		for _, i := range hosts {
			mu.Lock()
			gone(i, st.Engines[i])
			mu.Unlock()
			if !sleep(ctx, t.For/time.Duration(len(hosts))) {
				break
			}
		}
		each(func(i int, _ *engine.Engine) { st.restart(i) })
	case "hang":
		fail(func(f *engine.Faults) { f.Hang = true }, func(f *engine.Faults) { f.Hang = false })
	case "errors":
		fail(func(f *engine.Faults) { f.FailFast = t.Factor }, func(f *engine.Faults) { f.FailFast = 0 })
	case "slow":
		fail(func(f *engine.Faults) { f.Slow = t.Factor }, func(f *engine.Faults) { f.Slow = 1 })
	case "deaf":
		fail(func(f *engine.Faults) { f.Deaf = t.Track }, func(f *engine.Faults) { f.Deaf = "" })
	case "links":
		fail(func(f *engine.Faults) { f.LinkSlow = t.Factor }, func(f *engine.Faults) { f.LinkSlow = 1 })
	case "reports":
		fail(func(f *engine.Faults) { f.ReportLate = t.For }, func(f *engine.Faults) { f.ReportLate = 0 })
	case "stall":
		fail(func(f *engine.Faults) { f.StallAfter = int(t.Factor) }, func(f *engine.Faults) { f.StallAfter = 0 })
	case "vanish":
		cut(true, all)
		sleep(ctx, t.For)
		each(func(_ int, e *engine.Engine) { e.Crash() })
		cut(false, all)
		each(func(i int, _ *engine.Engine) { st.restart(i) })
	case "ageing":
		const steps = 10
		for i := range steps {
			each(func(_ int, e *engine.Engine) {
				e.Fail(func(f *engine.Faults) { f.Slow = 1 + float64(i)/2 })
			})
			if !sleep(ctx, t.For/steps) {
				break
			}
		}
		each(func(i int, e *engine.Engine) {
			gone(i, e)
			e.Fail(func(f *engine.Faults) { f.Slow = 1 })
		})
		sleep(ctx, t.For/steps)
		each(func(i int, _ *engine.Engine) { st.restart(i) })
	case "pauses", "neighbour":
		turn, part := time.Second, 100*time.Millisecond
		on, off := func(f *engine.Faults) { f.Paused = true }, func(f *engine.Faults) { f.Paused = false }
		if t.Kind == "neighbour" {
			part = turn / 2
			on, off = func(f *engine.Faults) { f.Slow = t.Factor }, func(f *engine.Faults) { f.Slow = 1 }
		}
		for end := time.Now().Add(t.For); time.Now().Before(end) && ctx.Err() == nil; {
			each(func(_ int, e *engine.Engine) { e.Fail(on) })
			sleep(ctx, part)
			each(func(_ int, e *engine.Engine) { e.Fail(off) })
			sleep(ctx, turn-part)
		}
	case "cut":
		far := func(n int) bool { return st.Script.Dispatchers[n].Zone != t.Zone }
		cut(true, far)
		sleep(ctx, t.For)
		cut(false, far)
	case "drain":
		each(func(i int, e *engine.Engine) {
			st.health[e.Spec.ID] = pb.Health_HEALTH_DRAINING
			st.list(i, false, st.since(e))
		})
		sleep(ctx, t.For*2/3)
		each(gone)
		sleep(ctx, t.For/3)
		each(func(i int, _ *engine.Engine) { st.restart(i) })
	case "dispatcher":
		st.killDispatcher(t.Number)
		sleep(ctx, t.For)
		if err := st.startDispatcher(t.Number); err != nil {
			st.log.Error("dispatcher does not start again", "err", err)
		}
	case "lister":
		for _, l := range st.listers {
			l.Stop()
		}
		sleep(ctx, t.For)
		for _, l := range st.listers {
			if err := l.Start(""); err != nil {
				st.log.Error("lister does not start again", "err", err)
			}
		}
	case "reset":
		wire(func(r *faultproxy.Relay) { r.Reset() })
	case "halfopen":
		wire(func(r *faultproxy.Relay) { r.Mute() })
		each(func(_ int, e *engine.Engine) {
			st.Book.Add(eventlog.Entry{Kind: eventlog.Trouble, Note: "cut", Server: e.Spec.ID})
		})
		sleep(ctx, Noticed)
		each(func(_ int, e *engine.Engine) {
			st.Book.Add(eventlog.Entry{Kind: eventlog.Trouble, Note: "uncut", Server: e.Spec.ID})
		})
	case "trickle":
		wire(func(r *faultproxy.Relay) { r.Trickle(true) })
		sleep(ctx, t.For)
		wire(func(r *faultproxy.Relay) { r.Trickle(false) })
	case "delay":
		wire(func(r *faultproxy.Relay) { r.Delay(time.Duration(t.Factor * 1e6)) })
		sleep(ctx, t.For)
		wire(func(r *faultproxy.Relay) { r.Delay(0) })
	case "burst", "heavy": // the load acts them out
		sleep(ctx, t.For)
	}
}

// Print writes a report for people.
func (r *Report) Print(w io.Writer) {
	var names []string
	for name := range r.Sums {
		names = append(names, name)
	}
	slices.Sort(names)
	fmt.Fprintf(w, "%-16s %7s %7s %8s %8s %8s %9s %5s %7s %6s %8s %8s %8s\n", "track", "jobs", "tries", "honoured", "on time",
		"nacked", "abandoned", "left", "no end", "wrong", "kept", "p50 ms", "p99 ms")
	for _, name := range names {
		s := r.Sums[name]
		slices.Sort(s.First)
		fmt.Fprintf(w, "%-16s %7d %7d %8d %8d %8d %9d %5d %7d %6d %8.3f %8.0f %8.0f\n", name, s.Requests, s.Tries, s.Served,
			s.OnTime, s.Rejected, s.Failed, s.Left, s.Unanswered, s.Wrong, s.Kept(), quantile(s.First, 0.5), quantile(s.First, 0.99))
	}
	c := r.Counts
	fmt.Fprintf(w, "dispatchers: %d launches, %d recalled, %d late, %d broken, %d releases, %d reports (%d late), %d refused at the gate, "+
		"%d guarded\n", c.Attempts, c.Cancels, c.TimedOut, c.Broken, c.Releases, c.LoadReports, c.StaleLoadReports, c.RejectedAtIntake, c.InvalidDecisions)
	doors := r.Doors
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
	for _, s := range r.Sums {
		back, kept = back+s.Back, kept+s.BackKept
	}
	if back > 0 {
		fmt.Fprintf(w, "back as advised: %d, %.3f of them honoured\n", back, float64(kept)/float64(back))
	}
	if len(r.Violations) == 0 {
		fmt.Fprintf(w, "rules: all five kept, over %d launches on the sockets, in %v\n", r.Launches, r.Took.Round(time.Second))
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
