package simwire

import (
	"encoding/json"
	"fmt"
	"slices"

	"docksail/policy"
)

// setup is the part of an instance's first message that the decisions need; unknown keys are passed over.
type setup struct {
	Family struct {
		AimPer1k []float64 `json:"aim_us_per_1000_prompt_tokens"`
		Release  *int64    `json:"release_ns"`
		Roles    []string  `json:"role_by_kind"`
		TokenGap []int64   `json:"token_aim_ns"`
		PensRead bool      `json:"writers_read"`
	} `json:"family_info"`
	Limits struct {
		Cancel     bool  `json:"cancel"`
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
	roles   = map[string]policy.Role{"read": policy.Reader, "write": policy.Writer, "both": policy.Mixed}
	effects = map[string]policy.Effect{"idempotent": policy.Redoable, "deduplicated": policy.Labelled,
		"at_most_once": policy.Irreversible}
	groups = map[string]policy.Group{"": policy.GroupAll, "all": policy.GroupAll, "zone": policy.GroupZone,
		"cell": policy.GroupCell}
)

// enlist starts an instance from the wire's settings.
func enlist(seed uint64, text []byte) (*instance, error) {
	var s setup
	if err := json.Unmarshal(text, &s); err != nil {
		return nil, fmt.Errorf("setup: %w", err)
	}
	if len(s.Family.Roles) != len(s.Kinds) {
		return nil, fmt.Errorf("setup: role_by_kind has %d entries for %d machine_types", len(s.Family.Roles), len(s.Kinds))
	}
	if s.Family.Release == nil {
		return nil, fmt.Errorf("setup: family_info.release_ns is missing")
	}
	in := &instance{zones: s.Zones, kinds: s.Kinds}
	var kinds []policy.Role
	for _, name := range s.Family.Roles {
		role, ok := roles[name]
		if !ok {
			return nil, fmt.Errorf("setup: unknown role %q in role_by_kind", name)
		}
		kinds = append(kinds, role)
	}
	var tracks []policy.Track
	for i, c := range s.Classes {
		effect, ok := effects[c.Effect]
		if !ok {
			return nil, fmt.Errorf("setup: request class %q has unknown effect %q", c.Name, c.Effect)
		}
		group, ok := groups[c.Scope]
		if !ok {
			return nil, fmt.Errorf("setup: request class %q has unknown dedup_scope %q", c.Name, c.Scope)
		}
		t := policy.Track{Expected: policy.Nanos(c.OnTime), Patience: policy.Nanos(c.GiveUp), Payoff: c.Points,
			LatePayoff: c.Late, Effect: effect, Group: group, Window: policy.Nanos(c.Windows)}
		if i < len(s.Family.AimPer1k) {
			t.ExpectedPer1k = policy.Nanos(s.Family.AimPer1k[i] * 1000)
		}
		if i < len(s.Family.TokenGap) {
			t.TokenGap = policy.Nanos(s.Family.TokenGap[i])
		}
		tracks = append(tracks, t)
		in.tracks = append(in.tracks, c.Name)
	}
	var tenants []policy.Tenant
	for _, t := range s.Tenants {
		tenants = append(tenants, policy.Tenant{PerSecond: t.Allowance})
		in.tenants = append(in.tenants, t.Name)
	}
	d, err := policy.New(seed,
		policy.Place{Number: s.Me, Count: s.Siblings, Zone: policy.ZoneID(slices.Index(s.Zones, s.Zone))},
		tracks, tenants, kinds,
		policy.ColdStart{From: s.Rules.ColdFrom, Warm: policy.Nanos(s.Rules.Cold), Multiple: s.Rules.Multiple,
			Window: policy.Nanos(s.Rules.Fall)},
		policy.Launching{Most: s.Limits.Most, Recall: s.Limits.Cancel, ReadAtPens: s.Family.PensRead},
		policy.Answering{Slack: policy.Nanos(s.Rules.Slack), Round: policy.Nanos(s.Round),
			Advice: s.Limits.RetryAfter, MaxAdvice: policy.Nanos(s.Limits.MaxAdvice)},
		policy.Listing{Asked: s.Mode == "on_request", Within: policy.Nanos(s.Rules.Within)},
		policy.Nanos(*s.Family.Release))
	if err != nil {
		return nil, fmt.Errorf("setup: %w", err)
	}
	in.d = d
	return in, nil
}
