package scenario

import (
	"context"
	"math"
	"sync"
	"time"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/faultproxy"
)

// injection is a fault that is being injected into a deployment.
type injection struct {
	*Deployment
	fault   Fault
	servers []int       // indexes of the affected servers
	mu      *sync.Mutex // shared by all injections, so that one changes the deployment at a time
}

// injectors holds the methods that inject the faults which are neither a ServerChange nor a PeriodicChange. Each
// returns at the end of the fault, or early once the context is done.
var injectors = map[FaultKind]func(in *injection, ctx context.Context){
	FaultCrash:             (*injection).crash,
	FaultCellRestart:       (*injection).crash,
	FaultRollingRestart:    (*injection).rollingRestart,
	FaultVanish:            (*injection).vanish,
	FaultAging:             (*injection).aging,
	FaultPartition:         (*injection).partition,
	FaultDrain:             (*injection).drain,
	FaultDispatcherRestart: (*injection).restartDispatcher,
	FaultDiscoveryOutage:   (*injection).discoveryOutage,
	FaultConnReset:         (*injection).resetConns,
	FaultHalfOpen:          (*injection).halfOpen,
	FaultTrickle:           (*injection).trickle,
	FaultDelay:             (*injection).delay,
}

// inject injects the fault and returns at its end.
func (in *injection) inject(ctx context.Context) {
	if change, ok := in.fault.ServerChange(); ok {
		in.changeServers(ctx, change)
	} else if change, ok := in.fault.PeriodicChange(); ok {
		in.changePeriodically(ctx, change)
	} else if injector := injectors[in.fault.Kind]; injector != nil {
		injector(in, ctx)
	} else { // implemented by the clients
		sleep(ctx, in.fault.Duration)
	}
}

// forEach calls f for each server that the fault affects.
func (in *injection) forEach(f func(i int, e *engine.Engine)) {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, i := range in.servers {
		f(i, in.Engines[i])
	}
}

// forEachProxy calls f for each proxy between an affected server and a dispatcher that include selects.
func (in *injection) forEachProxy(include func(dispatcher int) bool, f func(p *faultproxy.Proxy)) {
	in.forEach(func(i int, _ *engine.Engine) {
		for n := range in.proxies {
			if include(n) {
				f(in.proxies[n][i])
			}
		}
	})
}

func allDispatchers(int) bool { return true }

// setFaults changes the faults of the affected servers.
func (in *injection) setFaults(change func(f *engine.Faults)) {
	in.forEach(func(_ int, e *engine.Engine) { e.SetFaults(change) })
}

func (in *injection) crashServers() { in.forEach(func(i int, _ *engine.Engine) { in.crashServer(i) }) }

func (in *injection) restartServers() {
	in.forEach(func(i int, _ *engine.Engine) { in.restartServer(i) })
}

// logReachability logs for each affected server that it has become unreachable, or reachable again.
func (in *injection) logReachability(note string) {
	in.forEach(func(_ int, e *engine.Engine) {
		in.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Note: note, Server: e.Spec.ID})
	})
}

// setPartitioned makes the servers unreachable or reachable for the dispatchers that include selects.
func (in *injection) setPartitioned(partitioned bool, include func(dispatcher int) bool) {
	note := eventlog.NoteReconnected
	if partitioned {
		note = eventlog.NotePartitioned
	}
	in.forEach(func(i int, e *engine.Engine) {
		for n := range in.proxies {
			if include(n) {
				in.proxies[n][i].SetBlackhole(partitioned)
			}
		}
		in.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Note: note, Server: e.Spec.ID})
	})
}

func (in *injection) changeServers(ctx context.Context, change ServerChange) {
	in.setFaults(change.Begin)
	sleep(ctx, in.fault.Duration)
	in.setFaults(change.End)
}

func (in *injection) changePeriodically(ctx context.Context, change PeriodicChange) {
	for end := time.Now().Add(in.fault.Duration); time.Now().Before(end) && ctx.Err() == nil; {
		in.setFaults(change.Begin)
		sleep(ctx, change.ActiveTime)
		in.setFaults(change.End)
		sleep(ctx, change.Period-change.ActiveTime)
	}
}

func (in *injection) crash(ctx context.Context) {
	in.crashServers()
	sleep(ctx, in.fault.Duration)
	in.restartServers()
}

func (in *injection) rollingRestart(ctx context.Context) {
	for _, i := range in.servers {
		in.mu.Lock()
		in.crashServer(i)
		in.mu.Unlock()
		if !sleep(ctx, in.fault.Duration/time.Duration(len(in.servers))) {
			break
		}
	}
	in.restartServers()
}

func (in *injection) vanish(ctx context.Context) {
	in.setPartitioned(true, allDispatchers)
	sleep(ctx, in.fault.Duration)
	in.forEach(func(_ int, e *engine.Engine) { e.Crash() })
	in.setPartitioned(false, allDispatchers)
	in.restartServers()
}

func (in *injection) aging(ctx context.Context) {
	for step := range AgingSteps {
		in.setFaults(slowdown(AgingSlowdown(step)).Begin)
		if !sleep(ctx, in.fault.Duration/AgingSteps) {
			break
		}
	}
	in.forEach(func(i int, e *engine.Engine) {
		in.crashServer(i)
		e.SetFaults(slowdown(1).End)
	})
	sleep(ctx, in.fault.Duration/AgingSteps)
	in.restartServers()
}

func (in *injection) partition(ctx context.Context) {
	inOtherZone := func(n int) bool { return in.Script.Dispatchers[n].Zone != in.fault.Zone }
	in.setPartitioned(true, inOtherZone)
	sleep(ctx, in.fault.Duration)
	in.setPartitioned(false, inOtherZone)
}

// drain lists the servers as draining, and crashes them after two thirds of the fault.
func (in *injection) drain(ctx context.Context) {
	in.forEach(func(i int, e *engine.Engine) {
		in.health[e.Spec.ID] = pb.Health_HEALTH_DRAINING
		in.publishEndpoint(i, false, in.processStart(e))
	})
	sleep(ctx, in.fault.Duration*2/3)
	in.crashServers()
	sleep(ctx, in.fault.Duration/3)
	in.restartServers()
}

func (in *injection) restartDispatcher(ctx context.Context) {
	in.KillDispatcher(in.fault.Dispatcher)
	sleep(ctx, in.fault.Duration)
	if err := in.startDispatcher(in.fault.Dispatcher); err != nil {
		in.logger.Error("dispatcher restart failed", "dispatcher", in.fault.Dispatcher, "error", err)
	}
}

func (in *injection) discoveryOutage(ctx context.Context) {
	for _, server := range in.discoveryServers {
		server.Stop()
	}
	sleep(ctx, in.fault.Duration)
	for _, server := range in.discoveryServers {
		if err := server.Start(""); err != nil {
			in.logger.Error("discovery server restart failed", "error", err)
		}
	}
}

func (in *injection) resetConns(context.Context) {
	in.forEachProxy(allDispatchers, (*faultproxy.Proxy).ResetConns)
}

func (in *injection) halfOpen(ctx context.Context) {
	in.forEachProxy(allDispatchers, (*faultproxy.Proxy).BlackholeOpenConns)
	in.logReachability(eventlog.NotePartitioned)
	sleep(ctx, FaultDetectionTime)
	in.logReachability(eventlog.NoteReconnected)
}

func (in *injection) trickle(ctx context.Context) {
	in.forEachProxy(allDispatchers, func(p *faultproxy.Proxy) { p.SetTrickle(true) })
	sleep(ctx, in.fault.Duration)
	in.forEachProxy(allDispatchers, func(p *faultproxy.Proxy) { p.SetTrickle(false) })
}

func (in *injection) delay(ctx context.Context) {
	latency := time.Duration(in.fault.Factor * float64(time.Millisecond))
	in.forEachProxy(allDispatchers, func(p *faultproxy.Proxy) { p.SetDelay(latency) })
	sleep(ctx, in.fault.Duration)
	in.forEachProxy(allDispatchers, func(p *faultproxy.Proxy) { p.SetDelay(0) })
}

// sleep waits for a time. It returns false early if the context is done.
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

// ceil rounds up to an integer.
func ceil(x float64) int { return int(math.Ceil(x)) }
