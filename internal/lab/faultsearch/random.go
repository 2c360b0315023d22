package faultsearch

import (
	"math/rand/v2"
	"slices"
	"time"

	"docksail/internal/lab/scenario"
)

const (
	maxFaults       = 8
	maxFaultServers = 3
	maxLoadDuration = 20 * time.Second

	minFaultMilliseconds  = 50
	faultMillisecondRange = 6000

	// randomStream separates the random numbers of scenarios from others with the same seed.
	randomStream = 0x6578706c6f7265
)

// RandomScenario returns the random scenario for a seed.
func (s *Searcher) RandomScenario(seed uint64) *scenario.Script {
	random := rand.New(rand.NewPCG(seed, randomStream))
	script := *s.Base
	script.Seed = int64(seed >> 1)
	script.Duration = time.Duration(2+random.IntN(int(maxLoadDuration/time.Second)-1)) * time.Second
	script.SessionsPerSecond *= 0.25 + 1.5*random.Float64()
	script.Faults = nil
	servers := len(script.EngineSpecs())
	for range 1 + random.IntN(maxFaults) {
		script.Faults = append(script.Faults, randomFault(random, &script, servers))
	}
	return &script
}

// randomFault returns a random fault for a script with the given number of servers.
func randomFault(random *rand.Rand, script *scenario.Script, servers int) scenario.Fault {
	kinds := scenario.FaultKinds()
	fault := scenario.Fault{
		Kind:     kinds[random.IntN(len(kinds))],
		Start:    time.Duration(random.Int64N(int64(script.Duration))).Truncate(time.Millisecond),
		Duration: time.Duration(minFaultMilliseconds+random.IntN(faultMillisecondRange)) * time.Millisecond,
	}
	for range 1 + random.IntN(maxFaultServers) {
		if server := 1 + random.IntN(servers); !slices.Contains(fault.Servers, server) {
			fault.Servers = append(fault.Servers, server)
		}
	}
	slices.Sort(fault.Servers)
	setParameters(random, script, &fault)
	return fault
}

// setParameters sets the parameters that the kind of the fault requires, and clears the servers if it has none.
func setParameters(random *rand.Rand, script *scenario.Script, fault *scenario.Fault) {
	switch fault.Kind {
	case scenario.FaultErrors:
		fault.Factor = 0.1 + 0.9*random.Float64()
	case scenario.FaultStalledAnswers:
		fault.Factor = float64(1 + random.IntN(10))
	case scenario.FaultDelay:
		fault.Factor = float64(1 + random.IntN(300))
	case scenario.FaultBurst, scenario.FaultSlow, scenario.FaultSlowLinks, scenario.FaultNoisyNeighbor,
		scenario.FaultLongPrompts:
		fault.Factor = 1 + 9*random.Float64()
	case scenario.FaultSilentClass:
		fault.Class = script.Classes[random.IntN(len(script.Classes))].Name
	case scenario.FaultPartition:
		fault.Servers, fault.Zone = nil, script.Servers[random.IntN(len(script.Servers))].Zone
	case scenario.FaultDispatcherRestart:
		fault.Servers, fault.Dispatcher = nil, random.IntN(len(script.Dispatchers))
	case scenario.FaultDiscoveryOutage:
		fault.Servers = nil
	default: // the other kinds have no parameters
	}
}
