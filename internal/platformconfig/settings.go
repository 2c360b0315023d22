package platformconfig

import (
	"errors"
	"fmt"
	"slices"

	"docksail/policy"
)

// modeOnRequest is the membership mode in which the endpoint list is sent only on request.
const modeOnRequest = "on_request"

// settings is the part of the platform's settings object that a dispatcher uses; other keys are ignored. Times are in
// nanoseconds unless the key names another unit.
type settings struct {
	Family struct {
		LatencyTargetPer1k []float64 `json:"aim_us_per_1000_prompt_tokens"` // by class
		ReleaseTime        *int64    `json:"release_ns"`
		RoleNames          []string  `json:"role_by_kind"`
		InterTokenTarget   []int64   `json:"token_aim_ns"` // by class
		DecodeCanPrefill   bool      `json:"writers_read"`
	} `json:"family_info"`
	Limits struct {
		CanCancel      bool  `json:"cancel"`
		IdleTimeout    int64 `json:"conn_idle_ns"`
		ConnectTimeout int64 `json:"connect_timeout_ns"`
		MaxAttempts    int32 `json:"max_attempts"`
		MaxRetryAfter  int64 `json:"max_retry_after_ns"`
		SendRetryAfter bool  `json:"retry_after"`
	} `json:"limits"`
	Zones         []string        `json:"localities"`
	Kinds         []string        `json:"machine_types"`
	Index         int32           `json:"me"` // index of this dispatcher
	Mode          string          `json:"membership_mode"`
	Classes       []classSettings `json:"request_classes"`
	RoundInterval int64           `json:"round_ns"`
	Rules         struct {
		DeadlineGrace   int64   `json:"answer_slack_ns"`
		MaxListInterval int64   `json:"ask_within_ns"`
		InitialCapacity float64 `json:"cold_from"`
		WarmupTime      int64   `json:"cold_ns"`
		OverloadFactor  float64 `json:"fall_multiple"`
		OverloadWindow  int64   `json:"fall_ns"`
	} `json:"rules"`
	Dispatchers int32 `json:"siblings"` // number of all dispatchers
	Tenants     []struct {
		Name              string  `json:"name"`
		RequestsPerSecond float64 `json:"allowance_per_s"`
	} `json:"tenants"`
	Zone string `json:"zone"`
}

// classSettings describes one class of requests.
type classSettings struct {
	Name          string  `json:"name"`
	DedupScope    string  `json:"dedup_scope"`
	Idempotency   string  `json:"effect"`
	Timeout       int64   `json:"give_up_ns"`
	LateValue     float64 `json:"late_value"`
	LatencyTarget int64   `json:"on_time_ns"`
	Value         float64 `json:"points"`
	DedupWindow   int64   `json:"window_ns"`
}

var (
	rolesByName = map[string]policy.Role{
		"read": policy.Prefill, "write": policy.Decode, "both": policy.Mixed,
	}
	idempotencyByName = map[string]policy.Idempotency{
		"idempotent": policy.Idempotent, "deduplicated": policy.Deduplicated, "at_most_once": policy.NonIdempotent,
	}
	dedupScopesByName = map[string]policy.DedupScope{
		"": policy.DedupScopeAll, "all": policy.DedupScopeAll, "zone": policy.DedupScopeZone,
		"cell": policy.DedupScopeCell,
	}
)

var errReleaseTimeMissing = errors.New("family_info.release_ns is missing")

// listOnRequest reports whether the endpoint list is sent only on request.
func (s *settings) listOnRequest() bool { return s.Mode == modeOnRequest }

// roles returns the role of each kind of server.
func (s *settings) roles() ([]policy.Role, error) {
	var roles []policy.Role
	for _, name := range s.Family.RoleNames {
		role, ok := rolesByName[name]
		if !ok {
			return nil, fmt.Errorf("unknown role %q in role_by_kind", name)
		}
		roles = append(roles, role)
	}
	return roles, nil
}

// classes returns the classes in the form of the policy.
func (s *settings) classes() ([]policy.Class, error) {
	var classes []policy.Class
	for i := range s.Classes {
		class, err := s.Classes[i].class()
		if err != nil {
			return nil, err
		}
		if targets := s.Family.LatencyTargetPer1k; i < len(targets) {
			class.LatencyTargetPer1k = policy.Nanos(targets[i] * 1000) // microseconds to nanoseconds
		}
		if targets := s.Family.InterTokenTarget; i < len(targets) {
			class.InterTokenTarget = policy.Nanos(targets[i])
		}
		classes = append(classes, class)
	}
	return classes, nil
}

func (c *classSettings) class() (policy.Class, error) {
	idempotency, ok := idempotencyByName[c.Idempotency]
	if !ok {
		return policy.Class{}, fmt.Errorf("request class %q has unknown effect %q", c.Name, c.Idempotency)
	}
	scope, ok := dedupScopesByName[c.DedupScope]
	if !ok {
		return policy.Class{}, fmt.Errorf("request class %q has unknown dedup_scope %q", c.Name, c.DedupScope)
	}
	return policy.Class{
		LatencyTarget: policy.Nanos(c.LatencyTarget),
		Timeout:       policy.Nanos(c.Timeout),
		Value:         c.Value,
		LateValue:     c.LateValue,
		Idempotency:   idempotency,
		DedupScope:    scope,
		DedupWindow:   policy.Nanos(c.DedupWindow),
	}, nil
}

func (s *settings) newPolicy(seed uint64, classes []policy.Class, roles []policy.Role) (*policy.Router, error) {
	var tenants []policy.Tenant
	for _, tenant := range s.Tenants {
		tenants = append(tenants, policy.Tenant{RequestsPerSecond: tenant.RequestsPerSecond})
	}
	return policy.New(policy.Config{
		Seed: seed,
		Self: policy.Identity{
			Index: s.Index, Count: s.Dispatchers, Zone: policy.ZoneID(slices.Index(s.Zones, s.Zone)),
		},
		Classes: classes,
		Tenants: tenants,
		Roles:   roles,
		SlowStart: policy.SlowStart{
			InitialCapacity: s.Rules.InitialCapacity,
			WarmupTime:      policy.Nanos(s.Rules.WarmupTime),
			OverloadFactor:  s.Rules.OverloadFactor,
			OverloadWindow:  policy.Nanos(s.Rules.OverloadWindow),
		},
		Attempts: policy.AttemptLimits{
			MaxAttempts:      s.Limits.MaxAttempts,
			CanCancel:        s.Limits.CanCancel,
			DecodeCanPrefill: s.Family.DecodeCanPrefill,
		},
		Responses: policy.ResponseSettings{
			DeadlineGrace:  policy.Nanos(s.Rules.DeadlineGrace),
			RoundInterval:  policy.Nanos(s.RoundInterval),
			SendRetryAfter: s.Limits.SendRetryAfter,
			MaxRetryAfter:  policy.Nanos(s.Limits.MaxRetryAfter),
		},
		Discovery:   policy.Discovery{OnRequest: s.listOnRequest(), MaxInterval: policy.Nanos(s.Rules.MaxListInterval)},
		ReleaseTime: policy.Nanos(*s.Family.ReleaseTime),
	})
}
