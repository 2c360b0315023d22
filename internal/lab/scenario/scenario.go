// Package scenario plays a scripted day in real time: stand-in engines, listers, relays, clients and real dispatchers
// on loopback, with troubles that begin and end by the script. What passed on the sockets is judged by the rules.
package scenario

import (
	"docksail/internal/config"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/userclient"
	"docksail/policy"
	"fmt"
	"maps"
	"math"
	"os"
	"slices"
	"time"

	pb "docksail/api/docksail/v1"
)

// Script is a day.
type Script struct {
	Seed        int64        `json:"seed"`
	For         Dur          `json:"for" need:"how long load comes"`
	Rate        float64      `json:"sessions_per_second" need:"sessions a second, at the usual"`
	ListerLate  Dur          `json:"lister_late"`
	Release     Dur          `json:"release_within"`
	Cold        Cold         `json:"cold_start" need:"what servers bear that have just started"`
	Fleet       []Hosts      `json:"fleet" need:"groups of servers"`
	Dispatchers []Dispatcher `json:"dispatchers" need:"a list of dispatchers"`
	Load        []Track      `json:"classes" was:"tracks" need:"a list of classes"`
	Troubles    []Trouble    `json:"troubles"`
	Noise       float64      `json:"report_noise"`
	Batch       bool         `json:"batching"` // Hosts play the batch model instead of the simple one
	Most        int64        `json:"attempts" was:"launches"`
	FirstCome   bool         `json:"first_come"`                          // the door keeps no order but that of arrival
	Waiting     int          `json:"requests_waiting" was:"jobs_waiting"` // at the door; 0 = the usual
	Connections int          `json:"connections"`                         // of clients; 0 = the usual
	Memory      int          `json:"memory_bytes"`                        // from which on the door sheds; 0 = no bound
}

// Dur is a length of time as text.
type Dur = time.Duration

// Cold is what cold hosts bear.
type Cold struct {
	From     float64 `json:"from"`
	Warm     Dur     `json:"warm_after"`
	Multiple float64 `json:"overload_factor" was:"topples_at"`
	Window   Dur     `json:"overload_window" was:"topples_over"`
}

// Hosts is a group of hosts alike.
type Hosts struct {
	Count             int     `json:"count" need:"how many"`
	Role              Role    `json:"role" need:"prefill, decode or mixed"`
	Zone              string  `json:"zone"`
	Cell              string  `json:"cell"`
	Slots             int     `json:"slots" need:"requests at once"`
	Queue             int     `json:"queue"`
	Memory            int64   `json:"memory_tokens"`
	ReadRate          float64 `json:"reads_per_second"` // prompt tokens
	TokenGap          Dur     `json:"token_gap"`
	RequestsPerSecond float64 `json:"requests_per_second" was:"jobs_per_second" need:"what one can do warm"`
	MoveRate          float64 `json:"moves_per_second"` // tokens of state
}

// Dispatcher is one dispatcher of the day.
type Dispatcher struct {
	Zone  string `json:"zone"`
	Count int    `json:"count"` // so many alike; 0 = one
}

// Track is a class of jobs: what the dispatcher is told of it and what its clients do.
type Track struct {
	Name         string        `json:"name" need:"a name"`
	Share        float64       `json:"share" need:"its share of the sessions"`
	Tenant       string        `json:"tenant"`
	Target       Dur           `json:"target" was:"expected" need:"time in which the first token is wanted"`
	Per1k        Dur           `json:"target_per_1000_tokens" was:"expected_per_1000_tokens"`
	Timeout      Dur           `json:"timeout" was:"patience" need:"the client's time"`
	Value        float64       `json:"value" was:"payoff"`
	TokenGap     Dur           `json:"token_gap" need:"time wanted between tokens"`
	Effect       config.Effect `json:"effect"`
	Group        config.Group  `json:"group"`
	Window       Dur           `json:"window"`
	Turns        int           `json:"turns"`
	Prompt       int           `json:"prompt" need:"least tokens that a turn adds"`
	PromptMost   int           `json:"prompt_most"`
	PrefixTokens int           `json:"prefix_tokens" was:"beginning"`
	Prefixes     int           `json:"prefixes" was:"beginnings"`
	Answer       int           `json:"answer" need:"most tokens of an answer"`
	Retries      int           `json:"retries"`
	Leave        float64       `json:"leave"`
	Idle         Dur           `json:"idle"`
	Clients      int           `json:"clients"`         // that name themselves
	Deaf         bool          `json:"no_advice"`       // come back at once whatever they are told
	Made         bool          `json:"made_up"`         // a new name for each job
	Background   bool          `json:"background"`      // its jobs yield to all others
	Conns        int           `json:"connections"`     // of its clients to each dispatcher; 0 = two
	Weight       float64       `json:"weight"`          // of its tenant
	Rate         float64       `json:"most_per_second"` // of its tenant
}

// Trouble is one thing that goes wrong.
type Trouble struct {
	Kind   string  `json:"kind" need:"what goes wrong"`
	At     Dur     `json:"at" need:"when"`
	For    Dur     `json:"for"`
	Hosts  []int   `json:"servers" was:"hosts"` // numbers of hosts, from 1, in the order of the fleet
	Share  float64 `json:"share"`               // or so many of them, by the seed
	Role   Role    `json:"role"`                // of this role
	Zone   string  `json:"zone"`
	Cell   string  `json:"cell"`
	Track  string  `json:"class" was:"track"`
	Factor float64 `json:"factor"`
	Number int     `json:"dispatcher"`
}

// Noticed is the time in which dispatchers have to notice connections that went silent with no reset, and let go of
// what is left behind them.
const Noticed = 5 * time.Second

// kinds of trouble, and what each needs.
var kinds = map[string]string{
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

// Roles are what they are on the wire.
var Roles = map[Role]pb.Role{Prefill: pb.Role_ROLE_READER, Decode: pb.Role_ROLE_WRITER, Mixed: pb.Role_ROLE_MIXED}

// UnmarshalText takes the name of a role.
func (r *Role) UnmarshalText(text []byte) error {
	if _, ok := Roles[Role(text)]; !ok && len(text) > 0 {
		return fmt.Errorf("%q, want prefill, decode or mixed", text)
	}
	*r = Role(text)
	return nil
}

// FormerNames are those of the release before.
func (*Role) FormerNames() map[string]string {
	return map[string]string{"reader": "prefill", "writer": "decode"}
}

// Kinds are the names of all troubles.
func Kinds() []string { return slices.Sorted(maps.Keys(kinds)) }

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
	s := &Script{Seed: 1, Release: time.Second, Most: 5}
	err := config.Decode(name, text, s, func(bad func(path, format string, args ...any)) {
		for i, h := range s.Fleet {
			if h.Role == "" {
				bad(fmt.Sprintf("fleet[%d].role", i), "is empty, want prefill, decode or mixed")
			}
			if h.Count < 1 || h.Slots < 1 || h.RequestsPerSecond <= 0 {
				bad(fmt.Sprintf("fleet[%d]", i), "want count, slots and requests_per_second above 0")
			}
			if h.Role != Decode && h.ReadRate <= 0 {
				bad(fmt.Sprintf("fleet[%d].reads_per_second", i), "is %v, want more than 0 for what reads", h.ReadRate)
			}
			if h.Role != Prefill && h.TokenGap <= 0 {
				bad(fmt.Sprintf("fleet[%d].token_gap", i), "is %v, want more than 0 for what writes", h.TokenGap)
			}
		}
		if len(s.Dispatchers) == 0 || len(s.Load) == 0 || s.For <= 0 {
			bad("dispatchers", "want one dispatcher, one class and some time at least")
		}
		total := len(s.Hosts())
		for i, t := range s.Troubles {
			at := fmt.Sprintf("troubles[%d]", i)
			if _, ok := kinds[t.Kind]; !ok {
				bad(at+".kind", "%q, want one of %v", t.Kind, Kinds())
			}
			for _, h := range t.Hosts {
				if h < 1 || h > total {
					bad(at+".servers", "%d, want 1 to %d", h, total)
				}
			}
			dispatchers := 0
			for _, d := range s.Dispatchers {
				dispatchers += max(d.Count, 1)
			}
			if t.Number < 0 || t.Number >= dispatchers {
				bad(at+".dispatcher", "%d, want 0 to %d", t.Number, dispatchers-1)
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

// Hosts spells out the fleet, numbered from 1.
func (s *Script) Hosts() []engine.Spec {
	var all []engine.Spec
	for _, h := range s.Fleet {
		for range h.Count {
			e := engine.Spec{
				ID: len(all) + 1, Role: Roles[h.Role], Zone: h.Zone, Cell: h.Cell, Slots: h.Slots, Queue: h.Queue,
				Memory: h.Memory, ReadRate: h.ReadRate, TokenGap: h.TokenGap, JobsPerSecond: h.RequestsPerSecond, ColdFrom: s.Cold.From,
				Warm: s.Cold.Warm, Topple: s.Cold.Multiple, ToppleOver: s.Cold.Window, MoveRate: h.MoveRate,
				Hold: 10 * time.Second, ReportEvery: 100 * time.Millisecond, Batch: s.Batch, ReportNoise: s.Noise,
			}
			if e.Memory == 0 {
				e.Memory = 200000
			}
			if e.MoveRate == 0 {
				e.MoveRate = 300000
			}
			if e.ReadRate == 0 {
				e.ReadRate = 5000
			}
			all = append(all, e)
		}
	}
	return all
}

// Settings are what dispatcher n is told.
func (s *Script) Settings(n int) *config.Dispatcher {
	d := config.Usual()
	d.Zone, d.Number, d.Count, d.Seed, d.HashKey = s.Dispatchers[n].Zone, int32(n), int32(len(s.Dispatchers)), uint64(s.Seed)+uint64(n), 7
	d.Attempts.Most = int32(s.Most)
	d.Attempts.Connect = 250 * time.Millisecond
	d.Rules.Release = s.Release
	d.Cold = config.Cold{From: s.Cold.From, Warm: s.Cold.Warm, Multiple: s.Cold.Multiple, Window: s.Cold.Window}
	d.FirstCome = s.FirstCome
	if s.Waiting > 0 {
		d.Limits.Waiting = s.Waiting
	}
	if s.Connections > 0 {
		d.Limits.Connections = s.Connections
	}
	d.Limits.Memory = s.Memory
	tenants := map[string]bool{}
	for _, t := range s.Load {
		d.Classes = append(d.Classes, config.Class{
			Name: t.Name, Target: t.Target, TargetPer1k: t.Per1k,
			Timeout: t.Timeout, Value: t.Value, TokenGap: t.TokenGap, Effect: t.Effect, Group: t.Group, Window: t.Window,
		})
		if t.Tenant != "" && !tenants[t.Tenant] {
			tenants[t.Tenant] = true
			d.Tenants = append(d.Tenants, config.Tenant{Name: t.Tenant, PerSecond: s.Rate, Weight: t.Weight, Rate: t.Rate})
		}
	}
	return d
}

// Clients are the load's tracks.
func (s *Script) Clients() []userclient.Class {
	var ts []userclient.Class
	for _, t := range s.Load {
		ts = append(ts, userclient.Class{
			Name: t.Name, Share: t.Share, Tenant: t.Tenant, Turns: t.Turns, Prompt: t.Prompt,
			PromptMost: t.PromptMost, PrefixTokens: t.PrefixTokens, Prefixes: t.Prefixes, Answer: t.Answer, Expected: t.Target,
			Per1k: t.Per1k, Timeout: t.Timeout, Value: max(t.Value, 1), Retries: t.Retries, Leave: t.Leave, Idle: t.Idle,
			Clients: t.Clients, Deaf: t.Deaf, Made: t.Made, Conns: t.Conns, Background: t.Background,
			NonIdempotent: policy.Idempotency(t.Effect) != policy.Idempotent,
		})
	}
	return ts
}

// Facts are what the rules are judged by.
func (s *Script) Facts() invariants.Facts {
	f := invariants.Facts{
		Classes: map[string]invariants.Class{}, Servers: map[int]invariants.Server{}, Release: s.Release,
		Grace: config.Usual().Rules.Drain, Slack: 250 * time.Millisecond,
	}
	for _, t := range s.Load {
		f.Classes[t.Name] = invariants.Class{Effect: policy.Idempotency(t.Effect), Group: policy.DedupScope(t.Group), Window: t.Window}
	}
	for _, h := range s.Hosts() {
		f.Servers[h.ID] = invariants.Server{Zone: h.Zone, Cell: h.Cell}
	}
	return f
}

// Demo is a small quiet day.
func Demo() *Script {
	return &Script{
		Seed: 1, For: time.Second, Rate: 5, Release: time.Second, Most: 5,
		Cold: Cold{From: 1, Warm: time.Second, Multiple: 100, Window: time.Second},
		Fleet: []Hosts{
			{Count: 2, Role: Prefill, Zone: "a", Cell: "a1", Slots: 8, Queue: 32, ReadRate: 20000, RequestsPerSecond: 10},
			{Count: 2, Role: Decode, Zone: "a", Cell: "a1", Slots: 32, Queue: 32, TokenGap: 20 * time.Millisecond, RequestsPerSecond: 10},
		},
		Dispatchers: []Dispatcher{{Zone: "a"}},
		Load: []Track{{
			Name: "question", Share: 1, Target: time.Second, Per1k: 60 * time.Millisecond, Timeout: 5 * time.Second,
			Value: 1, TokenGap: 50 * time.Millisecond, Prompt: 500, PromptMost: 1500, Answer: 60,
		}},
	}
}

func ceil(x float64) int { return int(math.Ceil(x)) }
