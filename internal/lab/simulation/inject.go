package simulation

import (
	"time"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/scenario"
)

// injection is a fault that is being injected into a simulation.
type injection struct {
	*Simulation
	fault    scenario.Fault
	duration int64          // of the fault, in nanoseconds
	servers  []*modelServer // affected servers
}

// injectors holds the methods that inject the faults which are neither a ServerChange nor a PeriodicChange. Each
// starts the fault and schedules the rest of it.
var injectors = map[scenario.FaultKind]func(in *injection){
	scenario.FaultCrash:             (*injection).crash,
	scenario.FaultCellRestart:       (*injection).crash,
	scenario.FaultRollingRestart:    (*injection).rollingRestart,
	scenario.FaultVanish:            (*injection).vanish,
	scenario.FaultAging:             (*injection).aging,
	scenario.FaultPartition:         (*injection).partition,
	scenario.FaultDrain:             (*injection).drain,
	scenario.FaultDispatcherRestart: (*injection).restartDispatcher,
	scenario.FaultDiscoveryOutage:   (*injection).discoveryOutage,
	scenario.FaultConnReset:         (*injection).resetConns,
	scenario.FaultHalfOpen:          (*injection).halfOpen,
	scenario.FaultTrickle:           (*injection).trickle,
	scenario.FaultDelay:             (*injection).delay,
}

// scheduleFaults schedules the faults of the script.
func (s *Simulation) scheduleFaults() {
	specs := s.specs()
	for _, fault := range s.Script.Faults {
		in := &injection{Simulation: s, fault: fault, duration: int64(fault.Duration)}
		for _, i := range fault.Targets(specs, s.random, func(x float64) int { return int(x + 1) }) {
			in.servers = append(in.servers, s.servers[i])
		}
		begin := s.loadStart + int64(fault.Start)
		s.scheduleAt(begin, func() {
			s.logFault(fault, eventlog.NoteFaultBegins)
			in.inject()
		})
		s.scheduleAt(begin+in.duration, func() { s.logFault(fault, eventlog.NoteFaultEnds) })
	}
}

func (s *Simulation) logFault(fault scenario.Fault, note string) {
	s.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Code: string(fault.Kind), Note: note})
}

// inject starts the fault and schedules the rest of it. Kinds without an injector are implemented by the clients.
func (in *injection) inject() {
	if change, ok := in.fault.ServerChange(); ok {
		in.setFaults(change.Begin)
		in.scheduleAfter(in.duration, func() { in.setFaults(change.End) })
	} else if change, ok := in.fault.PeriodicChange(); ok {
		in.changePeriodically(change)
	} else if injector := injectors[in.fault.Kind]; injector != nil {
		injector(in)
	}
}

// forEach calls f for each server that the fault affects.
func (in *injection) forEach(f func(m *modelServer)) {
	for _, m := range in.servers {
		f(m)
	}
}

// forEachRunning calls f for each running server that the fault affects.
func (in *injection) forEachRunning(f func(m *modelServer)) {
	for _, m := range in.servers {
		if m.loop != nil {
			f(m)
		}
	}
}

// setFaults changes the faults of the affected servers.
func (in *injection) setFaults(change func(f *engine.Faults)) {
	in.forEach(func(m *modelServer) { m.setFaults(change) })
}

func (in *injection) crashServers()   { in.forEach(in.crashServer) }
func (in *injection) restartServers() { in.forEach(in.restartServer) }

// crashServer kills a server and publishes that it is gone.
func (s *Simulation) crashServer(m *modelServer) {
	m.crash()
	s.publishHealth(m, pb.Health_HEALTH_GONE)
}

// restartServer starts a server, in slow start, unless it is running.
func (s *Simulation) restartServer(m *modelServer) {
	if m.loop != nil {
		return
	}
	if err := m.start(0); err != nil {
		panic(err) // it has run with the same specification before
	}
	s.publishHealth(m, pb.Health_HEALTH_SERVING)
}

// logReachability logs that a server has become unreachable, or reachable again.
func (s *Simulation) logReachability(m *modelServer, note string) {
	s.Log.Add(eventlog.Entry{Kind: eventlog.FaultChanged, Note: note, Server: m.spec.ID})
}

// setPartitioned makes the servers unreachable or reachable for the dispatchers that include selects.
func (in *injection) setPartitioned(partitioned bool, include func(d *dispatcher) bool) {
	note := eventlog.NoteReconnected
	if partitioned {
		note = eventlog.NotePartitioned
	}
	in.forEach(func(m *modelServer) {
		for _, d := range in.dispatchers {
			if include(d) && m.loop != nil {
				in.network.SetPartitioned(d.loop, m.loop, partitioned)
			}
		}
		in.logReachability(m, note)
	})
}

func (in *injection) changePeriodically(change scenario.PeriodicChange) {
	for at := int64(0); at < in.duration; at += int64(change.Period) {
		in.scheduleAfter(at, func() { in.setFaults(change.Begin) })
		in.scheduleAfter(at+int64(change.ActiveTime), func() { in.setFaults(change.End) })
	}
}

func (in *injection) crash() {
	in.crashServers()
	in.scheduleAfter(in.duration, in.restartServers)
}

func (in *injection) rollingRestart() {
	for i, m := range in.servers {
		in.scheduleAfter(in.duration*int64(i)/int64(len(in.servers)), func() { in.crashServer(m) })
	}
	in.scheduleAfter(in.duration, in.restartServers)
}

func (in *injection) vanish() {
	in.setPartitioned(true, func(*dispatcher) bool { return true })
	in.scheduleAfter(in.duration, func() {
		in.forEach(in.crashUnreachable)
		in.restartServers()
	})
}

// crashUnreachable crashes an unreachable server and reconnects its machine, which resets connections from then on.
func (in *injection) crashUnreachable(m *modelServer) {
	previousLoop := m.loop
	m.crash()
	for _, d := range in.dispatchers {
		if previousLoop != nil && d.loop != nil {
			in.network.SetPartitioned(d.loop, previousLoop, false)
		}
	}
	in.logReachability(m, eventlog.NoteReconnected)
}

func (in *injection) aging() {
	for step := range scenario.AgingSteps {
		in.scheduleAfter(in.duration*int64(step)/scenario.AgingSteps, func() {
			in.setFaults(func(f *engine.Faults) { f.Slowdown = scenario.AgingSlowdown(step) })
		})
	}
	in.scheduleAfter(in.duration, func() {
		in.forEach(func(m *modelServer) {
			in.crashServer(m)
			m.setFaults(func(f *engine.Faults) { f.Slowdown = 1 })
		})
	})
	in.scheduleAfter(in.duration+in.duration/scenario.AgingSteps, in.restartServers)
}

func (in *injection) partition() {
	inOtherZone := func(d *dispatcher) bool { return in.Script.Dispatchers[d.index].Zone != in.fault.Zone }
	in.setPartitioned(true, inOtherZone)
	in.scheduleAfter(in.duration, func() { in.setPartitioned(false, inOtherZone) })
}

// drain lists the servers as draining, and crashes them after two thirds of the fault.
func (in *injection) drain() {
	in.forEach(func(m *modelServer) { in.publishHealth(m, pb.Health_HEALTH_DRAINING) })
	in.scheduleAfter(in.duration*2/3, in.crashServers)
	in.scheduleAfter(in.duration, in.restartServers)
}

func (in *injection) restartDispatcher() {
	d := in.dispatchers[in.fault.Dispatcher]
	in.killDispatcher(d)
	in.scheduleAfter(in.duration, func() {
		if err := in.startDispatcher(d); err != nil {
			panic(err) // it has run with the same configuration before
		}
	})
}

func (in *injection) discoveryOutage() {
	for _, discovery := range in.discoveryServers {
		discovery.stop()
	}
	in.scheduleAfter(in.duration, func() {
		for _, discovery := range in.discoveryServers {
			if err := discovery.start(); err != nil {
				panic(err) // it has served on the same address before
			}
		}
	})
}

func (in *injection) resetConns() {
	in.forEachRunning(func(m *modelServer) { m.loop.ResetConnections() })
}

func (in *injection) halfOpen() {
	in.forEach(func(m *modelServer) {
		if m.loop != nil {
			m.loop.BlackholeConnections()
		}
		in.logReachability(m, eventlog.NotePartitioned)
	})
	in.scheduleAfter(int64(scenario.FaultDetectionTime), func() {
		in.forEach(func(m *modelServer) { in.logReachability(m, eventlog.NoteReconnected) })
	})
}

func (in *injection) trickle() {
	in.forEachRunning(func(m *modelServer) { m.loop.SetSlowdown(0, true) })
	in.scheduleAfter(in.duration, in.endSlowdown)
}

func (in *injection) delay() {
	latency := int64(in.fault.Factor * float64(time.Millisecond))
	in.forEachRunning(func(m *modelServer) { m.loop.SetSlowdown(latency, false) })
	in.scheduleAfter(in.duration, in.endSlowdown)
}

// endSlowdown ends a trickle or a delay.
func (in *injection) endSlowdown() {
	in.forEachRunning(func(m *modelServer) { m.loop.SetSlowdown(0, false) })
}
