package config

import (
	"docksail/internal/decide/admission"
	"docksail/policy"
)

// NewPolicy returns a router with this configuration. zone is the ID of the dispatcher's own zone. The ID of a server
// kind is its role: policy.Prefill, policy.Decode or policy.Mixed.
func (d *Dispatcher) NewPolicy(seed uint64, zone policy.ZoneID) (*policy.Router, error) {
	var tenants []policy.Tenant
	for _, tenant := range d.Tenants {
		tenants = append(tenants, policy.Tenant{RequestsPerSecond: tenant.RequestsPerSecond})
	}
	return policy.New(policy.Config{
		Seed:    seed,
		Self:    policy.Identity{Index: d.Index, Count: d.Count, Zone: zone},
		Classes: d.PolicyClasses(),
		Tenants: tenants,
		Roles:   []policy.Role{policy.Prefill, policy.Decode, policy.Mixed},
		SlowStart: policy.SlowStart{
			InitialCapacity: d.SlowStart.InitialCapacity,
			WarmupTime:      policy.Nanos(d.SlowStart.WarmupTime),
			OverloadFactor:  d.SlowStart.OverloadFactor,
			OverloadWindow:  policy.Nanos(d.SlowStart.OverloadWindow),
		},
		Attempts: policy.AttemptLimits{
			MaxAttempts:      d.Attempts.MaxAttempts,
			CanCancel:        d.Attempts.CanCancel,
			DecodeCanPrefill: d.Attempts.DecodeCanPrefill,
		},
		Responses: policy.ResponseSettings{
			DeadlineGrace:  0,
			RoundInterval:  policy.Nanos(d.Responses.RoundInterval),
			SendRetryAfter: d.Responses.SendRetryAfter,
			MaxRetryAfter:  policy.Nanos(d.Responses.MaxRetryAfter),
		},
		Discovery:   policy.Discovery{MaxInterval: policy.Nanos(d.Discovery.MaxListInterval)},
		ReleaseTime: policy.Nanos(d.Rules.ReleaseTime),
	})
}

// PolicyClasses returns the classes of requests in the form of the policy.
func (d *Dispatcher) PolicyClasses() []policy.Class {
	var classes []policy.Class
	for _, class := range d.Classes {
		classes = append(classes, policy.Class{
			LatencyTarget:      policy.Nanos(class.LatencyTarget),
			LatencyTargetPer1k: policy.Nanos(class.LatencyTargetPer1k),
			Timeout:            policy.Nanos(class.Timeout),
			Value:              class.Value,
			LateValue:          class.LateValue,
			InterTokenTarget:   policy.Nanos(class.InterTokenTarget),
			Idempotency:        policy.Idempotency(class.Idempotency),
			DedupScope:         policy.DedupScope(class.DedupScope),
			DedupWindow:        policy.Nanos(class.DedupWindow),
		})
	}
	return classes
}

// TenantLimits returns the limits of tenants in the admission queue. If the configuration has no tenants, all requests
// belong to a single one without limits.
func (d *Dispatcher) TenantLimits() []admission.TenantLimits {
	if len(d.Tenants) == 0 {
		return []admission.TenantLimits{{Weight: 1}}
	}
	var limits []admission.TenantLimits
	for _, tenant := range d.Tenants {
		weight := tenant.Weight
		if weight == 0 {
			weight = tenant.RequestsPerSecond
		}
		limits = append(limits, admission.TenantLimits{
			Weight:            weight,
			RequestsPerSecond: tenant.MaxRequestsPerSecond,
			MaxWaiting:        tenant.MaxWaiting,
			MaxRunning:        tenant.MaxRunning,
			MaxPromptTokens:   tenant.MaxPromptTokens,
		})
	}
	return limits
}
