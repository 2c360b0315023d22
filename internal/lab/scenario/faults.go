package scenario

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"docksail/internal/lab/engine"
)

// FaultKind is a kind of fault. Its values are part of the format of scripts.
type FaultKind string

// The kinds of faults, which faultKinds describes.
const (
	FaultCrash             FaultKind = "crash"
	FaultHang              FaultKind = "hang"
	FaultErrors            FaultKind = "errors"
	FaultSlow              FaultKind = "slow"
	FaultVanish            FaultKind = "vanish"
	FaultAging             FaultKind = "ageing"
	FaultSilentClass       FaultKind = "deaf"
	FaultSlowLinks         FaultKind = "links"
	FaultLateReports       FaultKind = "reports"
	FaultPauses            FaultKind = "pauses"
	FaultPartition         FaultKind = "cut"
	FaultBurst             FaultKind = "burst"
	FaultLongPrompts       FaultKind = "heavy"
	FaultCellRestart       FaultKind = "rack"
	FaultRollingRestart    FaultKind = "waves"
	FaultDrain             FaultKind = "drain"
	FaultStalledAnswers    FaultKind = "stall"
	FaultNoisyNeighbor     FaultKind = "neighbour"
	FaultDispatcherRestart FaultKind = "dispatcher"
	FaultDiscoveryOutage   FaultKind = "lister"
	FaultConnReset         FaultKind = "reset"
	FaultHalfOpen          FaultKind = "halfopen"
	FaultTrickle           FaultKind = "trickle"
	FaultDelay             FaultKind = "delay"
)

// faultKinds describes each kind of fault. Restarted servers are in slow start.
var faultKinds = map[FaultKind]string{
	FaultCrash:             "servers crash and restart at its end",
	FaultHang:              "servers accept requests and never answer",
	FaultErrors:            "servers fail a share of the requests at once (factor, 0 to 1)",
	FaultSlow:              "servers take factor times as long",
	FaultVanish:            "servers become unreachable without a reset, and restart at its end",
	FaultAging:             "servers get slower step by step, crash at its end, and restart after another tenth of it",
	FaultSilentClass:       "servers leave the requests of one class unanswered",
	FaultSlowLinks:         "transfers of KV states from the servers take factor times as long",
	FaultLateReports:       "load reports are delayed by its duration",
	FaultPauses:            "servers pause for a tenth of every second",
	FaultPartition:         "servers of a zone are unreachable for the dispatchers of other zones",
	FaultBurst:             "factor times as many sessions start",
	FaultLongPrompts:       "one prompt in thirty is factor times as long",
	FaultCellRestart:       "all servers of a cell crash at once and restart at its end",
	FaultRollingRestart:    "servers crash one after another over its duration and restart at its end",
	FaultDrain:             "servers are listed as draining, then crash and restart at its end",
	FaultStalledAnswers:    "answers stop after factor tokens",
	FaultNoisyNeighbor:     "servers take factor times as long for half of every second",
	FaultDispatcherRestart: "a dispatcher is killed and restarts at its end",
	FaultDiscoveryOutage:   "the discovery servers are stopped",
	FaultConnReset:         "all connections to the servers are reset once",
	FaultHalfOpen:          "open connections to the servers go silent once, without a reset; new ones work",
	FaultTrickle:           "bytes to and from the servers pass one at a time",
	FaultDelay:             "bytes to and from the servers are delayed by factor milliseconds",
}

// FaultDetectionTime is the time within which dispatchers must detect connections that went silent without a reset,
// and release the KV states of the requests on them.
const FaultDetectionTime = 5 * time.Second

// AgingSteps is the number of times that FaultAging slows its servers down before they crash.
const AgingSteps = 10

// sessionsPerLongPrompt is the number of sessions of which one has long prompts during FaultLongPrompts.
const sessionsPerLongPrompt = 30

// Fault is one fault of a scenario.
type Fault struct {
	Kind       FaultKind `json:"kind" need:"what goes wrong"`
	Start      Duration  `json:"at" need:"when"`
	Duration   Duration  `json:"for"`
	Servers    []int     `json:"servers" was:"hosts"` // numbers from 1, in the order of the fleet
	Share      float64   `json:"share"`               // without Servers: share of the matching servers, drawn by the seed
	Role       Role      `json:"role"`                // without Servers: only servers of this role, zone and cell
	Zone       string    `json:"zone"`
	Cell       string    `json:"cell"`
	Class      string    `json:"class" was:"track"`
	Factor     float64   `json:"factor"`
	Dispatcher int       `json:"dispatcher"`
}

// FaultKinds returns all kinds of faults, sorted.
func FaultKinds() []FaultKind { return slices.Sorted(maps.Keys(faultKinds)) }

// isActive reports whether the fault is active at a time since the start of the scenario.
func (f Fault) isActive(at time.Duration) bool { return at >= f.Start && at < f.Start+f.Duration }

// AgingSlowdown returns the slowdown of servers in a step of FaultAging, counted from 0.
func AgingSlowdown(step int) float64 { return 1 + float64(step)/2 }

// ServerChange is a change of the faults of servers, and the change that reverts it.
type ServerChange struct{ Begin, End func(f *engine.Faults) }

// ServerChange returns the change that implements the fault. It returns false if the fault is not a change that lasts
// from its start to its end.
func (f Fault) ServerChange() (ServerChange, bool) {
	switch f.Kind {
	case FaultHang:
		return ServerChange{
			Begin: func(e *engine.Faults) { e.Hanging = true },
			End:   func(e *engine.Faults) { e.Hanging = false },
		}, true
	case FaultErrors:
		return ServerChange{
			Begin: func(e *engine.Faults) { e.FailFast = f.Factor },
			End:   func(e *engine.Faults) { e.FailFast = 0 },
		}, true
	case FaultSlow:
		return slowdown(f.Factor), true
	case FaultSilentClass:
		return ServerChange{
			Begin: func(e *engine.Faults) { e.SilentClass = f.Class },
			End:   func(e *engine.Faults) { e.SilentClass = "" },
		}, true
	case FaultSlowLinks:
		return ServerChange{
			Begin: func(e *engine.Faults) { e.LinkSlowdown = f.Factor },
			End:   func(e *engine.Faults) { e.LinkSlowdown = 1 },
		}, true
	case FaultLateReports:
		return ServerChange{
			Begin: func(e *engine.Faults) { e.ReportDelay = f.Duration },
			End:   func(e *engine.Faults) { e.ReportDelay = 0 },
		}, true
	case FaultStalledAnswers:
		return ServerChange{
			Begin: func(e *engine.Faults) { e.StallAfter = int(f.Factor) },
			End:   func(e *engine.Faults) { e.StallAfter = 0 },
		}, true
	default:
		return ServerChange{}, false
	}
}

func slowdown(factor float64) ServerChange {
	return ServerChange{
		Begin: func(e *engine.Faults) { e.Slowdown = factor },
		End:   func(e *engine.Faults) { e.Slowdown = 1 },
	}
}

// PeriodicChange is a change of servers that begins once every Period and ends after ActiveTime.
type PeriodicChange struct {
	ServerChange
	Period     time.Duration
	ActiveTime time.Duration
}

// PeriodicChange returns the periodic change that implements the fault, or false if the fault is not periodic.
func (f Fault) PeriodicChange() (PeriodicChange, bool) {
	switch f.Kind {
	case FaultPauses:
		pause := ServerChange{
			Begin: func(e *engine.Faults) { e.Paused = true },
			End:   func(e *engine.Faults) { e.Paused = false },
		}
		return PeriodicChange{ServerChange: pause, Period: time.Second, ActiveTime: 100 * time.Millisecond}, true
	case FaultNoisyNeighbor:
		return PeriodicChange{
			ServerChange: slowdown(f.Factor), Period: time.Second, ActiveTime: 500 * time.Millisecond,
		}, true
	default:
		return PeriodicChange{}, false
	}
}

// Targets returns the indexes of the servers that the fault affects. If the fault has a share, it draws that share
// with random; shareCount rounds the number of servers in it.
func (f Fault) Targets(servers []engine.Spec, random *rand.Rand, shareCount func(x float64) int) []int {
	var targets []int
	if len(f.Servers) > 0 {
		for _, number := range f.Servers {
			targets = append(targets, number-1)
		}
		return targets
	}
	for i := range servers {
		if f.matches(&servers[i]) {
			targets = append(targets, i)
		}
	}
	if f.Share > 0 {
		random.Shuffle(len(targets), func(a, b int) { targets[a], targets[b] = targets[b], targets[a] })
		targets = targets[:min(len(targets), shareCount(f.Share*float64(len(targets))))]
		slices.Sort(targets)
	}
	return targets
}

// matches reports whether a server has the role, zone and cell of the fault.
func (f Fault) matches(s *engine.Spec) bool {
	return (f.Role == "" || WireRoles[f.Role] == s.Role) && (f.Zone == "" || f.Zone == s.Zone) &&
		(f.Cell == "" || f.Cell == s.Cell)
}

// SessionRate returns the number of sessions that start per second at a time since the start of the scenario.
func (s *Script) SessionRate(at time.Duration) float64 {
	rate := s.SessionsPerSecond
	for _, f := range s.Faults {
		if f.Kind == FaultBurst && f.isActive(at) {
			rate *= f.Factor
		}
	}
	return rate
}

// PromptFactors returns a function that must be called once for each session, in the order in which they start. The
// function returns the factor by which the prompt lengths of the session are multiplied.
func (s *Script) PromptFactors() func(at time.Duration) int {
	sessions := 0
	return func(at time.Duration) int {
		sessions++
		for _, f := range s.Faults {
			if f.Kind == FaultLongPrompts && f.isActive(at) && sessions%sessionsPerLongPrompt == 0 {
				return int(f.Factor)
			}
		}
		return 1
	}
}
