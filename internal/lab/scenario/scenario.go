// Package scenario plays a scripted day in real time: stand-in engines, listers, relays, clients and real dispatchers
// on loopback, with troubles that begin and end by the script. What passed on the sockets is judged by the rules.
package scenario

import (
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"time"

	pb "docksail/api/docksail/v1"
	"docksail/internal/config"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/userclient"
	"docksail/policy"
)

// Script is a day.
type Script struct {
	Seed              int64         `json:"seed"`
	Duration          Duration      `json:"for" need:"how long load comes"`
	SessionsPerSecond float64       `json:"sessions_per_second" need:"sessions a second, at the usual"`
	DiscoveryDelay    Duration      `json:"lister_late"`
	ReleaseTime       Duration      `json:"release_within"`
	SlowStart         SlowStart     `json:"cold_start" need:"what servers bear that have just started"`
	Servers           []ServerGroup `json:"fleet" need:"groups of servers"`
	Dispatchers       []Dispatcher  `json:"dispatchers" need:"a list of dispatchers"`
	Classes           []Class       `json:"classes" was:"tracks" need:"a list of classes"`
	Faults            []Fault       `json:"troubles"`
	ReportNoise       float64       `json:"report_noise"`
	BatchModel        bool          `json:"batching"` // Hosts play the batch model instead of the simple one
	MaxAttempts       int64         `json:"attempts" was:"launches"`
	FIFO              bool          `json:"first_come"`                          // the door keeps no order but that of arrival
	MaxWaiting        int           `json:"requests_waiting" was:"jobs_waiting"` // at the door; 0 = the usual
	MaxConnections    int           `json:"connections"`                         // of clients; 0 = the usual
	MaxMemoryBytes    int           `json:"memory_bytes"`                        // from which on the door sheds; 0 = no bound
}

// Duration is a length of time as text.
type Duration = time.Duration

// SlowStart is what cold hosts bear.
type SlowStart struct {
	InitialCapacity float64  `json:"from"`
	WarmupTime      Duration `json:"warm_after"`
	OverloadFactor  float64  `json:"overload_factor" was:"topples_at"`
	OverloadWindow  Duration `json:"overload_window" was:"topples_over"`
}

// ServerGroup is a group of hosts alike.
type ServerGroup struct {
	Count             int      `json:"count" need:"how many"`
	Role              Role     `json:"role" need:"prefill, decode or mixed"`
	Zone              string   `json:"zone"`
	Cell              string   `json:"cell"`
	Slots             int      `json:"slots" need:"requests at once"`
	QueueLength       int      `json:"queue"`
	MemoryTokens      int64    `json:"memory_tokens"`
	PrefillRate       float64  `json:"reads_per_second"` // prompt tokens
	TokenGap          Duration `json:"token_gap"`
	RequestsPerSecond float64  `json:"requests_per_second" was:"jobs_per_second" need:"what one can do warm"`
	TransferRate      float64  `json:"moves_per_second"` // tokens of state
}

// Dispatcher is one dispatcher of the day.
type Dispatcher struct {
	Zone  string `json:"zone"`
	Count int    `json:"count"` // so many alike; 0 = one
}

// Class is a class of jobs: what the dispatcher is told of it and what its clients do.
type Class struct {
	Name                 string             `json:"name" need:"a name"`
	Share                float64            `json:"share" need:"its share of the sessions"`
	Tenant               string             `json:"tenant"`
	LatencyTarget        Duration           `json:"target" was:"expected" need:"time in which the first token is wanted"`
	LatencyTargetPer1k   Duration           `json:"target_per_1000_tokens" was:"expected_per_1000_tokens"`
	Timeout              Duration           `json:"timeout" was:"patience" need:"the client's time"`
	Value                float64            `json:"value" was:"payoff"`
	TokenGap             Duration           `json:"token_gap" need:"time wanted between tokens"`
	Idempotency          config.Idempotency `json:"effect"`
	DedupScope           config.DedupScope  `json:"group"`
	DedupWindow          Duration           `json:"window"`
	TurnCount            int                `json:"turns"`
	MinTurnTokens        int                `json:"prompt" need:"least tokens that a turn adds"`
	MaxTurnTokens        int                `json:"prompt_most"`
	PrefixTokens         int                `json:"prefix_tokens" was:"beginning"`
	PrefixCount          int                `json:"prefixes" was:"beginnings"`
	MaxAnswerTokens      int                `json:"answer" need:"most tokens of an answer"`
	MaxRetries           int                `json:"retries"`
	CancelShare          float64            `json:"leave"`
	IdleTime             Duration           `json:"idle"`
	ClientCount          int                `json:"clients"`         // that name themselves
	IgnoresRetryAfter    bool               `json:"no_advice"`       // come back at once whatever they are told
	NewClientPerRequest  bool               `json:"made_up"`         // a new name for each job
	Background           bool               `json:"background"`      // its jobs yield to all others
	ConnsPerDispatcher   int                `json:"connections"`     // of its clients to each dispatcher; 0 = two
	Weight               float64            `json:"weight"`          // of its tenant
	MaxRequestsPerSecond float64            `json:"most_per_second"` // of its tenant
}

// Fault is one thing that goes wrong.
type Fault struct {
	Kind       string   `json:"kind" need:"what goes wrong"`
	Start      Duration `json:"at" need:"when"`
	Duration   Duration `json:"for"`
	Servers    []int    `json:"servers" was:"hosts"` // numbers of hosts, from 1, in the order of the fleet
	Share      float64  `json:"share"`               // or so many of them, by the seed
	Role       Role     `json:"role"`                // of this role
	Zone       string   `json:"zone"`
	Cell       string   `json:"cell"`
	Class      string   `json:"class" was:"track"`
	Factor     float64  `json:"factor"`
	Dispatcher int      `json:"dispatcher"`
}

// FaultDetectionTime is the time in which dispatchers have to notice connections that went silent with no reset, and
// let go of what is left behind them.
const FaultDetectionTime = 5 * time.Second

// faultKinds of trouble, and what each needs.
var faultKinds = map[string]string{
	"crash":      "hosts end at once and start again, cold, at its end",
	"hang":       "hosts take work and answer none",
	"errors":     "hosts fail a share of the work at once (factor, 0 to 1)",
	"slow":       "hosts take factor times as long",
	"vanish":     "hosts are cut off with no reset and start again, cold, at its end",
	"ageing":     "hosts get slower and slower until they crash at its end, and start again cold",
	"deaf":       "hosts leave one track unanswered",
	"links":      "states move factor times as slowly from the hosts",
	"reports":    "load reports are late by its length",
	"pauses":     "hosts stand still for a tenth of every second",
	"cut":        "a zone is cut off from the dispatchers of others",
	"burst":      "factor times as many sessions",
	"heavy":      "one prompt in thirty is factor times as long",
	"rack":       "all hosts of a cell start again, cold, at once",
	"waves":      "hosts are taken away one after another over its length, and start again, cold, at its end",
	"drain":      "hosts are drained as told by the lister, then end, and start again, cold, at its end",
	"stall":      "writers fall silent after factor tokens of each answer",
	"neighbour":  "hosts take factor times as long, in turns of half a second",
	"dispatcher": "a dispatcher is killed and starts again at its end",
	"lister":     "the listers are away",
	"reset":      "all connections to the hosts are reset, once",
	"halfopen":   "connections to the hosts go silent, once, with no reset; new ones pass",
	"trickle":    "bytes to and from the hosts pass one by one",
	"delay":      "bytes to and from the hosts pass factor milliseconds late",
}

// Role is what a script calls what servers can do: prefill, decode or mixed; empty = whatever.
type Role string

const (
	Prefill Role = "prefill" // reads prompts
	Decode  Role = "decode"  // writes answers
	Mixed   Role = "mixed"   // does both
)

// WireRoles are what they are on the wire.
var WireRoles = map[Role]pb.Role{Prefill: pb.Role_ROLE_READER, Decode: pb.Role_ROLE_WRITER, Mixed: pb.Role_ROLE_MIXED}

// UnmarshalText takes the name of a role.
func (r *Role) UnmarshalText(text []byte) error {
	if _, ok := WireRoles[Role(text)]; !ok && len(text) > 0 {
		return fmt.Errorf("%q, want prefill, decode or mixed", text)
	}
	*r = Role(text)
	return nil
}

// FormerNames are those of the release before.
func (*Role) FormerNames() map[string]string {
	return map[string]string{"reader": "prefill", "writer": "decode"}
}

// FaultKinds are the names of all troubles.
func FaultKinds() []string { return slices.Sorted(maps.Keys(faultKinds)) }

// Load reads a script from a file.
func Load(name string) (*Script, error) {
	text, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	return Parse(name, text)
}

// Parse reads a script; name stands for the file in errors.
func Parse(name string, text []byte) (*Script, error) {
	s := &Script{Seed: 1, ReleaseTime: time.Second, MaxAttempts: 5}
	err := config.Decode(name, text, s, func(bad func(path, format string, args ...any)) {
		for i, h := range s.Servers {
			if h.Role == "" {
				bad(fmt.Sprintf("fleet[%d].role", i), "is empty, want prefill, decode or mixed")
			}
			if h.Count < 1 || h.Slots < 1 || h.RequestsPerSecond <= 0 {
				bad(fmt.Sprintf("fleet[%d]", i), "want count, slots and requests_per_second above 0")
			}
			if h.Role != Decode && h.PrefillRate <= 0 {
				bad(fmt.Sprintf("fleet[%d].reads_per_second", i), "is %v, want more than 0 for what reads", h.PrefillRate)
			}
			if h.Role != Prefill && h.TokenGap <= 0 {
				bad(fmt.Sprintf("fleet[%d].token_gap", i), "is %v, want more than 0 for what writes", h.TokenGap)
			}
		}
		if len(s.Dispatchers) == 0 || len(s.Classes) == 0 || s.Duration <= 0 {
			bad("dispatchers", "want one dispatcher, one class and some time at least")
		}
		total := len(s.EngineSpecs())
		for i, t := range s.Faults {
			at := fmt.Sprintf("troubles[%d]", i)
			if _, ok := faultKinds[t.Kind]; !ok {
				bad(at+".kind", "%q, want one of %v", t.Kind, FaultKinds())
			}
			for _, h := range t.Servers {
				if h < 1 || h > total {
					bad(at+".servers", "%d, want 1 to %d", h, total)
				}
			}
			dispatchers := 0
			for _, d := range s.Dispatchers {
				dispatchers += max(d.Count, 1)
			}
			if t.Dispatcher < 0 || t.Dispatcher >= dispatchers {
				bad(at+".dispatcher", "%d, want 0 to %d", t.Dispatcher, dispatchers-1)
			}
		}
	})
	if err != nil {
		return nil, err
	}
	var all []Dispatcher
	for _, d := range s.Dispatchers {
		for range max(d.Count, 1) {
			all = append(all, Dispatcher{Zone: d.Zone})
		}
	}
	s.Dispatchers = all
	return s, nil
}

// EngineSpecs spells out the fleet, numbered from 1.
func (s *Script) EngineSpecs() []engine.Spec {
	var all []engine.Spec
	for _, h := range s.Servers {
		for range h.Count {
			e := engine.Spec{
				ID: len(all) + 1, Role: WireRoles[h.Role], Zone: h.Zone, Cell: h.Cell, Slots: h.Slots, Queue: h.QueueLength,
				MemoryTokens: h.MemoryTokens, PrefillRate: h.PrefillRate, TokenGap: h.TokenGap, RequestsPerSecond: h.RequestsPerSecond, InitialCapacity: s.SlowStart.InitialCapacity,
				WarmupTime: s.SlowStart.WarmupTime, OverloadFactor: s.SlowStart.OverloadFactor, OverloadWindow: s.SlowStart.OverloadWindow, TransferRate: h.TransferRate,
				MaxHoldTime: 10 * time.Second, ReportInterval: 100 * time.Millisecond, BatchModel: s.BatchModel, ReportNoise: s.ReportNoise,
			}
			if e.MemoryTokens == 0 {
				e.MemoryTokens = 200000
			}
			if e.TransferRate == 0 {
				e.TransferRate = 300000
			}
			if e.PrefillRate == 0 {
				e.PrefillRate = 5000
			}
			all = append(all, e)
		}
	}
	return all
}

// DispatcherConfig are what dispatcher n is told.
func (s *Script) DispatcherConfig(n int) *config.Dispatcher {
	d := config.Default()
	d.Zone, d.Index, d.Count, d.Seed, d.HashKey = s.Dispatchers[n].Zone, int32(n), int32(len(s.Dispatchers)), uint64(s.Seed)+uint64(n), 7
	d.Attempts.MaxAttempts = int32(s.MaxAttempts)
	d.Attempts.ConnectTimeout = 250 * time.Millisecond
	d.Rules.ReleaseTime = s.ReleaseTime
	d.SlowStart = config.SlowStart{InitialCapacity: s.SlowStart.InitialCapacity, WarmupTime: s.SlowStart.WarmupTime, OverloadFactor: s.SlowStart.OverloadFactor, OverloadWindow: s.SlowStart.OverloadWindow}
	d.FIFO = s.FIFO
	if s.MaxWaiting > 0 {
		d.Limits.MaxWaiting = s.MaxWaiting
	}
	if s.MaxConnections > 0 {
		d.Limits.MaxConnections = s.MaxConnections
	}
	d.Limits.MaxMemoryBytes = s.MaxMemoryBytes
	tenants := map[string]bool{}
	for _, t := range s.Classes {
		d.Classes = append(d.Classes, config.Class{
			Name: t.Name, LatencyTarget: t.LatencyTarget, LatencyTargetPer1k: t.LatencyTargetPer1k,
			Timeout: t.Timeout, Value: t.Value, InterTokenTarget: t.TokenGap, Idempotency: t.Idempotency, DedupScope: t.DedupScope, DedupWindow: t.DedupWindow,
		})
		if t.Tenant != "" && !tenants[t.Tenant] {
			tenants[t.Tenant] = true
			d.Tenants = append(d.Tenants, config.Tenant{Name: t.Tenant, RequestsPerSecond: s.SessionsPerSecond, Weight: t.Weight, MaxRequestsPerSecond: t.MaxRequestsPerSecond})
		}
	}
	return d
}

// ClientClasses are the load's tracks.
func (s *Script) ClientClasses() []userclient.Class {
	var ts []userclient.Class
	for _, t := range s.Classes {
		ts = append(ts, userclient.Class{
			Name: t.Name, Share: t.Share, Tenant: t.Tenant, TurnCount: t.TurnCount, MinTurnTokens: t.MinTurnTokens,
			MaxTurnTokens: t.MaxTurnTokens, PrefixTokens: t.PrefixTokens, PrefixCount: t.PrefixCount, MaxAnswerTokens: t.MaxAnswerTokens, LatencyTarget: t.LatencyTarget,
			LatencyTargetPer1k: t.LatencyTargetPer1k, Timeout: t.Timeout, Value: max(t.Value, 1), MaxRetries: t.MaxRetries, CancelShare: t.CancelShare, Idle: t.IdleTime,
			ClientCount: t.ClientCount, IgnoresRetryAfter: t.IgnoresRetryAfter, NewClientPerRequest: t.NewClientPerRequest, ConnsPerDispatcher: t.ConnsPerDispatcher, Background: t.Background,
			NonIdempotent: policy.Idempotency(t.Idempotency) != policy.Idempotent,
		})
	}
	return ts
}

// InvariantLimits are what the rules are judged by.
func (s *Script) InvariantLimits() invariants.Limits {
	f := invariants.Limits{
		Classes: map[string]invariants.Class{}, Servers: map[int]invariants.Server{}, ReleaseTime: s.ReleaseTime,
		DrainGrace: config.Default().Rules.DrainGrace, Tolerance: 250 * time.Millisecond,
	}
	for _, t := range s.Classes {
		f.Classes[t.Name] = invariants.Class{Idempotency: policy.Idempotency(t.Idempotency), DedupScope: policy.DedupScope(t.DedupScope), DedupWindow: t.DedupWindow}
	}
	for _, h := range s.EngineSpecs() {
		f.Servers[h.ID] = invariants.Server{Zone: h.Zone, Cell: h.Cell}
	}
	return f
}

// Demo is a small quiet day.
func Demo() *Script {
	return &Script{
		Seed: 1, Duration: time.Second, SessionsPerSecond: 5, ReleaseTime: time.Second, MaxAttempts: 5,
		SlowStart: SlowStart{InitialCapacity: 1, WarmupTime: time.Second, OverloadFactor: 100, OverloadWindow: time.Second},
		Servers: []ServerGroup{
			{Count: 2, Role: Prefill, Zone: "a", Cell: "a1", Slots: 8, QueueLength: 32, PrefillRate: 20000, RequestsPerSecond: 10},
			{Count: 2, Role: Decode, Zone: "a", Cell: "a1", Slots: 32, QueueLength: 32, TokenGap: 20 * time.Millisecond, RequestsPerSecond: 10},
		},
		Dispatchers: []Dispatcher{{Zone: "a"}},
		Classes: []Class{{
			Name: "question", Share: 1, LatencyTarget: time.Second, LatencyTargetPer1k: 60 * time.Millisecond, Timeout: 5 * time.Second,
			Value: 1, TokenGap: 50 * time.Millisecond, MinTurnTokens: 500, MaxTurnTokens: 1500, MaxAnswerTokens: 60,
		}},
	}
}

func ceil(x float64) int { return int(math.Ceil(x)) }
