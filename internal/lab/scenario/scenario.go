// Package scenario runs scripted scenarios in real time: real dispatchers on loopback with simulated model servers,
// discovery servers, fault proxies and clients, and faults that the script schedules. It checks the invariants on an
// event log of what passed on the connections.
package scenario

import (
	"fmt"
	"time"

	pb "docksail/api/docksail/v1"
	"docksail/internal/config"
)

// Script describes a scenario. Load reads it from a file.
type Script struct {
	Seed              int64         `json:"seed"`
	Duration          Duration      `json:"for" need:"how long load comes"`
	SessionsPerSecond float64       `json:"sessions_per_second" need:"sessions a second, without faults"`
	DiscoveryDelay    Duration      `json:"lister_late"`
	ReleaseTime       Duration      `json:"release_within"`
	SlowStart         SlowStart     `json:"cold_start" need:"how much servers in slow start can take"`
	Servers           []ServerGroup `json:"fleet" need:"groups of servers"`
	Dispatchers       []Dispatcher  `json:"dispatchers" need:"a list of dispatchers"`
	Classes           []Class       `json:"classes" was:"tracks" need:"a list of classes"`
	Faults            []Fault       `json:"troubles"`
	ReportNoise       float64       `json:"report_noise"`
	BatchModel        bool          `json:"batching"` // whether servers run the batch model
	MaxAttempts       int64         `json:"attempts" was:"launches"`
	FIFO              bool          `json:"first_come"`                          // admits in order of arrival
	MaxWaiting        int           `json:"requests_waiting" was:"jobs_waiting"` // in the admission queue; 0 = default
	MaxConnections    int           `json:"connections"`                         // of clients; 0 = default
	MaxMemoryBytes    int           `json:"memory_bytes"`                        // load is shed above it; 0 = no limit
}

// Duration is a duration that scripts write as text, such as "1.5s".
type Duration = time.Duration

// SlowStart describes the capacity of servers after their start, and when they are overloaded.
type SlowStart struct {
	InitialCapacity float64  `json:"from"` // share of the full capacity at the start
	WarmupTime      Duration `json:"warm_after"`
	OverloadFactor  float64  `json:"overload_factor" was:"topples_at"`
	OverloadWindow  Duration `json:"overload_window" was:"topples_over"`
}

// ServerGroup describes a number of identical servers.
type ServerGroup struct {
	Count             int      `json:"count" need:"how many"`
	Role              Role     `json:"role" need:"prefill, decode or mixed"`
	Zone              string   `json:"zone"`
	Cell              string   `json:"cell"`
	Slots             int      `json:"slots" need:"requests at once"`
	QueueLength       int      `json:"queue"`
	MemoryTokens      int64    `json:"memory_tokens"`
	PrefillRate       float64  `json:"reads_per_second"` // prompt tokens per second
	TokenInterval     Duration `json:"token_gap"`
	RequestsPerSecond float64  `json:"requests_per_second" was:"jobs_per_second" need:"what one can do after slow start"`
	TransferRate      float64  `json:"moves_per_second"` // tokens of KV state per second
}

// Dispatcher describes one or several dispatchers of a zone.
type Dispatcher struct {
	Zone  string `json:"zone"`
	Count int    `json:"count"` // 0 = one; Parse replaces it by single entries
}

// Class describes a class of requests: its configuration at dispatchers and the behavior of its clients.
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
	MaxTurns             int                `json:"turns"`
	MinTurnTokens        int                `json:"prompt" need:"least tokens that a turn adds"`
	MaxTurnTokens        int                `json:"prompt_most"`
	PrefixTokens         int                `json:"prefix_tokens" was:"beginning"`
	PrefixCount          int                `json:"prefixes" was:"beginnings"`
	MaxAnswerTokens      int                `json:"answer" need:"most tokens of an answer"`
	MaxRetries           int                `json:"retries"`
	CancelShare          float64            `json:"leave"`
	MaxIdleTime          Duration           `json:"idle"`
	ClientCount          int                `json:"clients"`         // number of client names; 0 = unnamed clients
	IgnoresRetryAfter    bool               `json:"no_advice"`       // whether clients retry at once
	NewClientPerSession  bool               `json:"made_up"`         // whether each session has a new client name
	Background           bool               `json:"background"`      // whether requests use only spare capacity
	ConnsPerDispatcher   int                `json:"connections"`     // from clients to each dispatcher; 0 = default
	Weight               float64            `json:"weight"`          // of the tenant
	MaxRequestsPerSecond float64            `json:"most_per_second"` // of the tenant
}

// Role is the role of a server in a script. The empty Role of a fault matches any role.
type Role string

// The roles of servers.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Mixed   Role = "mixed" // prefill and decode
)

// WireRoles maps roles to their values in the protocol.
var WireRoles = map[Role]pb.Role{Prefill: pb.Role_ROLE_READER, Decode: pb.Role_ROLE_WRITER, Mixed: pb.Role_ROLE_MIXED}

// UnmarshalText sets the role from its name or the empty text.
func (r *Role) UnmarshalText(text []byte) error {
	if _, ok := WireRoles[Role(text)]; !ok && len(text) > 0 {
		return fmt.Errorf("is %q, must be prefill, decode or mixed", text)
	}
	*r = Role(text)
	return nil
}

// FormerNames maps the names of roles in scripts of earlier releases to the current names.
func (*Role) FormerNames() map[string]string {
	return map[string]string{"reader": "prefill", "writer": "decode"}
}

// Demo returns a small scenario without faults.
func Demo() *Script {
	return &Script{
		Seed: 1, Duration: time.Second, SessionsPerSecond: 5, ReleaseTime: time.Second, MaxAttempts: 5,
		SlowStart: SlowStart{InitialCapacity: 1, WarmupTime: time.Second, OverloadFactor: 100, OverloadWindow: time.Second},
		Servers: []ServerGroup{
			{
				Count: 2, Role: Prefill, Zone: "a", Cell: "a1", Slots: 8, QueueLength: 32,
				PrefillRate: 20000, RequestsPerSecond: 10,
			},
			{
				Count: 2, Role: Decode, Zone: "a", Cell: "a1", Slots: 32, QueueLength: 32,
				TokenInterval: 20 * time.Millisecond, RequestsPerSecond: 10,
			},
		},
		Dispatchers: []Dispatcher{{Zone: "a"}},
		Classes: []Class{{
			Name: "question", Share: 1, Value: 1, Timeout: 5 * time.Second,
			LatencyTarget: time.Second, LatencyTargetPer1k: 60 * time.Millisecond, TokenGap: 50 * time.Millisecond,
			MinTurnTokens: 500, MaxTurnTokens: 1500, MaxAnswerTokens: 60,
		}},
	}
}
