// Package platformconfig makes a decision module from the settings object that the platform gives a dispatcher, in
// the simulator's first message and in the configuration of a real one alike.
package platformconfig

import (
	"encoding/json"
	"fmt"
	"slices"

	"docksail/policy"
)

// settings is the part of the object that the decisions need; unknown keys are passed over.
type settings struct {
	Family struct {
		AimPer1k []float64 `json:"aim_us_per_1000_prompt_tokens"`
		Release  *int64    `json:"release_ns"`
		Roles    []string  `json:"role_by_kind"`
		TokenGap []int64   `json:"token_aim_ns"`
		PensRead bool      `json:"writers_read"`
	} `json:"family_info"`
	Limits struct {
		Cancel     bool  `json:"cancel"`
		Idle       int64 `json:"conn_idle_ns"`
		Connect    int64 `json:"connect_timeout_ns"`
		Most       int32 `json:"max_attempts"`
		MaxAdvice  int64 `json:"max_retry_after_ns"`
		RetryAfter bool  `json:"retry_after"`
	} `json:"limits"`
	Zones   []string `json:"localities"`
	Kinds   []string `json:"machine_types"`
	Me      int32    `json:"me"`
	Mode    string   `json:"membership_mode"`
	Classes []struct {
		Name    string  `json:"name"`
		Scope   string  `json:"dedup_scope"`
		Effect  string  `json:"effect"`
		GiveUp  int64   `json:"give_up_ns"`
		Late    float64 `json:"late_value"`
		OnTime  int64   `json:"on_time_ns"`
		Points  float64 `json:"points"`
		Windows int64   `json:"window_ns"`
	} `json:"request_classes"`
	Round int64 `json:"round_ns"`
	Rules struct {
		Slack    int64   `json:"answer_slack_ns"`
		Within   int64   `json:"ask_within_ns"`
		ColdFrom float64 `json:"cold_from"`
		Cold     int64   `json:"cold_ns"`
		Multiple float64 `json:"fall_multiple"`
		Fall     int64   `json:"fall_ns"`
	} `json:"rules"`
	Siblings int32 `json:"siblings"`
	Tenants  []struct {
		Name      string  `json:"name"`
		Allowance float64 `json:"allowance_per_s"`
	} `json:"tenants"`
	Zone string `json:"zone"`
}

var (
	roles   = map[string]policy.Role{"read": policy.Prefill, "write": policy.Decode, "both": policy.Mixed}
	effects = map[string]policy.Idempotency{
		"idempotent": policy.Idempotent, "deduplicated": policy.Deduplicated,
		"at_most_once": policy.NonIdempotent,
	}
	groups = map[string]policy.DedupScope{
		"": policy.DedupScopeAll, "all": policy.DedupScopeAll, "zone": policy.DedupScopeZone,
		"cell": policy.DedupScopeCell,
	}
)

// Config is a decision module and what the server that drives it has to know beside.
type Config struct {
	Policy     *policy.Router
	Zones      []string // names by number
	Kinds      []string
	Roles      []policy.Role // of the kinds
	ClassNames []string
	Classes    []policy.Class // of the classes
	Tenants    []string

	Seed           uint64       // of all chance
	ReleaseTime    policy.Nanos // nothing is held longer for a request that is over
	MaxRetryAfter  policy.Nanos // longest
	IdleTimeout    policy.Nanos // a server ends a connection that stood idle so long; 0 = not told
	ConnectTimeout policy.Nanos // a connection is made in that time or not at all; 0 = not told
	ListOnRequest  bool         // lists of servers are asked for, not pushed
}

// New makes a module from the object.
func New(seed uint64, text []byte) (*Config, error) {
	var s settings
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("setup: %w", err)
	}
	if len(s.Family.Roles) != len(s.Kinds) {
		return nil, fmt.Errorf("setup: role_by_kind has %d entries for %d machine_types", len(s.Family.Roles), len(s.Kinds))
	}
	if s.Family.Release == nil {
		return nil, fmt.Errorf("setup: family_info.release_ns is missing")
	}
	m := &Config{Zones: s.Zones, Kinds: s.Kinds}
	for _, name := range s.Family.Roles {
		role, ok := roles[name]
		if !ok {
			return nil, fmt.Errorf("setup: unknown role %q in role_by_kind", name)
		}
		m.Roles = append(m.Roles, role)
	}
	for i, c := range s.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return nil, fmt.Errorf("setup: request class %q has unknown effect %q", c.Name, c.Effect)
		}
		group, ok := groups[c.Scope]
		if !ok {
			return nil, fmt.Errorf("setup: request class %q has unknown dedup_scope %q", c.Name, c.Scope)
		}
		t := policy.Class{
			LatencyTarget: policy.Nanos(c.OnTime), Timeout: policy.Nanos(c.GiveUp), Value: c.Points,
			LateValue: c.Late, Idempotency: effect, DedupScope: group, DedupWindow: policy.Nanos(c.Windows),
		}
		if i < len(s.Family.AimPer1k) {
			t.LatencyTargetPer1k = policy.Nanos(s.Family.AimPer1k[i] * 1000)
		}
		if i < len(s.Family.TokenGap) {
			t.InterTokenTarget = policy.Nanos(s.Family.TokenGap[i])
		}
		m.Classes = append(m.Classes, t)
		m.ClassNames = append(m.ClassNames, c.Name)
	}
	var tenants []policy.Tenant
	for _, t := range s.Tenants {
		tenants = append(tenants, policy.Tenant{RequestsPerSecond: t.Allowance})
		m.Tenants = append(m.Tenants, t.Name)
	}
	d, err := policy.New(policy.Config{
		Seed:    seed,
		Self:    policy.Identity{Number: s.Me, Count: s.Siblings, Zone: policy.ZoneID(slices.Index(s.Zones, s.Zone))},
		Classes: m.Classes,
		Tenants: tenants,
		Roles:   m.Roles,
		SlowStart: policy.SlowStart{
			InitialCapacity: s.Rules.ColdFrom, WarmupTime: policy.Nanos(s.Rules.Cold), OverloadFactor: s.Rules.Multiple,
			OverloadWindow: policy.Nanos(s.Rules.Fall),
		},
		Attempts: policy.AttemptLimits{MaxAttempts: s.Limits.Most, CanCancel: s.Limits.Cancel, DecodeCanPrefill: s.Family.PensRead},
		Responses: policy.ResponseSettings{
			DeadlineGrace: policy.Nanos(s.Rules.Slack), RoundInterval: policy.Nanos(s.Round),
			SendRetryAfter: s.Limits.RetryAfter, MaxRetryAfter: policy.Nanos(s.Limits.MaxAdvice),
		},
		Discovery:   policy.Discovery{OnRequest: s.Mode == "on_request", MaxInterval: policy.Nanos(s.Rules.Within)},
		ReleaseTime: policy.Nanos(*s.Family.Release),
	})
	if err != nil {
		return nil, fmt.Errorf("setup: %w", err)
	}
	m.Policy, m.Seed, m.ReleaseTime, m.MaxRetryAfter = d, seed, policy.Nanos(*s.Family.Release), policy.Nanos(s.Limits.MaxAdvice)
	m.IdleTimeout, m.ConnectTimeout, m.ListOnRequest = policy.Nanos(s.Limits.Idle), policy.Nanos(s.Limits.Connect), s.Mode == "on_request"
	return m, nil
}

// SetLoadReportField takes one figure of a server's load report by its name; others are passed over.
func SetLoadReportField(load *policy.LoadReport, name string, x float64) {
	switch name {
	case "inflight":
		load.Requests = x
	case "x0":
		load.MemoryUtilization = x
	case "x1":
		load.QueuedPromptTokens = 1000 * x
	}
}
