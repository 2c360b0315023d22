package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	firstFaultAt     = 500 * time.Millisecond // since the start of the run
	faultRecovery    = 100 * time.Millisecond // from the end of a fault to the next fault of the same target
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3500 * time.Millisecond
	maxDelay         = 400 * time.Millisecond
	maxSuspension    = 150 * time.Millisecond // of a dispatcher, according to the platform
)

func prefillName(n int) string    { return fmt.Sprintf("r%d", n) }
func decodeName(n int) string     { return fmt.Sprintf("w%d", n) }
func dispatcherName(n int) string { return fmt.Sprintf("d%d", n) }

// faultyUntil maps the name of a target to the end of its fault, including the recovery.
type faultyUntil map[string]time.Duration

// withoutFault returns the names of the targets that have no fault at the given time.
func (u faultyUntil) withoutFault(targets []string, at time.Duration) []string {
	var free []string
	for _, target := range targets {
		if u[target] <= at {
			free = append(free, target)
		}
	}
	return free
}

// eligibleServers returns the names of the servers of a role, or none if one more fault would leave fewer than half of
// them without a fault.
func (u faultyUntil) eligibleServers(at time.Duration, name func(int) string, count int) []string {
	var names []string
	faulty := 0
	for n := range count {
		names = append(names, name(n))
		if u[name(n)] > at {
			faulty++
		}
	}
	if 2*(faulty+1) > count {
		return nil
	}
	return names
}

// drawSchedule draws the faults of a run. Faults overlap, but at any time at least half of the servers of each role
// have none: with all servers unreachable, no dispatcher could keep the invariants. The order of the draws determines
// the schedule of a seed.
func drawSchedule(rng *rand.Rand, plan *Plan, duration time.Duration) []Fault {
	var faults []Fault
	until := faultyUntil{}
	interval := plan.faultInterval
	for at := firstFaultAt; at < duration; at += randomDuration(rng, interval/2, interval*3/2) {
		fault := Fault{
			Start: at, Kind: drawKind(rng, plan),
			Duration: randomDuration(rng, minFaultDuration, maxFaultDuration),
		}
		switch fault.Kind {
		case dispatcherSuspended:
			fault.Duration = randomDuration(rng, time.Millisecond, maxSuspension)
		case dispatcherTerminated:
			fault.Duration = gracePeriod(plan.longestDeadline)
			fault.Signals = drawSignals(rng, min(maxSignalSpread, fault.Duration), true)
		case dispatcherReloaded:
			fault.Signals = drawSignals(rng, fault.Duration, false)
		case dispatcherSignaledAtStart:
			fault.Duration = gracePeriod(plan.longestDeadline)
			fault.Signals = drawSignals(rng, startSignalSpread, rng.IntN(2) == 0)
		default: // the duration stays as drawn
		}
		if fault.Kind == dispatcherUnderPressure {
			fault.Pressure = PressureKind(rng.IntN(int(PressureKindCount)))
			fault.Clients = drawClients(rng, fault.Pressure, plan.maxDescriptors)
		}
		targets := until.withoutFault(plan.faultTargets(until, fault.Kind, at), at)
		if len(targets) == 0 {
			continue
		}
		fault.Target = targets[rng.IntN(len(targets))]
		if fault.Kind != dispatcherUnderPressure { // other faults of the target may come meanwhile
			until[fault.Target] = fault.Start + fault.Duration + faultRecovery
		}
		faults = append(faults, fault)
	}
	return faults
}

// drawClients draws the number of clients of a pressure: up to a quarter of the descriptors, fewer where each of them
// is a load of its own.
func drawClients(rng *rand.Rand, kind PressureKind, maxDescriptors int) int {
	switch kind {
	case Flood, InvalidFlood, ConnectionStorm:
		return 1 + rng.IntN(maxFloodClients)
	case SlowReaders:
		return maxDescriptors/16 + rng.IntN(maxDescriptors/16)
	default:
		return maxDescriptors/8 + rng.IntN(maxDescriptors/8)
	}
}

const (
	// signalsShare is the share of faults that are drawn from the kinds with signals only.
	signalsShare = 0.2
	// pressureShare is the share of faults that are pressure, in runs that have any.
	pressureShare = 0.15
	// pressurePause is the pause of clients after a refusal. The machine has to carry the clients, the proxies and the
	// servers beside the dispatchers.
	pressurePause = 300 * time.Millisecond
	// maxFloodClients is the most clients of a flood.
	maxFloodClients = 4
)

// drawKind draws a kind of fault. Only some runs have crowds or pressure.
func drawKind(rng *rand.Rand, plan *Plan) FaultKind {
	if plan.hasPressure && rng.Float64() < pressureShare {
		return dispatcherUnderPressure
	}
	if rng.Float64() < signalsShare {
		return dispatcherTerminated + FaultKind(rng.IntN(int(discoverySilent-dispatcherTerminated)))
	}
	for {
		kind := FaultKind(rng.IntN(int(faultKindCount)))
		if kind == dispatcherUnderPressure || kind == discoverySilentInCrowd && !plan.hasCrowds {
			continue
		}
		return kind
	}
}

// faultTargets returns the possible targets of a kind of fault, including targets that still have another fault.
func (p *Plan) faultTargets(until faultyUntil, kind FaultKind, at time.Duration) []string {
	if kind == discoverySilent || kind == discoverySilentInCrowd {
		return []string{discoveryTarget}
	}
	if kind < firstDispatcherFault {
		return append(until.eligibleServers(at, prefillName, p.Prefill),
			until.eligibleServers(at, decodeName, p.Decode)...)
	}
	var names []string
	for n := range p.Dispatchers {
		names = append(names, dispatcherName(n))
	}
	return names
}
