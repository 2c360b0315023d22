package scenario

import (
	"cmp"
	"time"

	"docksail/internal/config"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/userclient"
	"docksail/policy"
)

// Defaults for values of servers that a script omits.
const (
	defaultMemoryTokens = 200000
	defaultTransferRate = 300000 // tokens of KV state per second
	defaultPrefillRate  = 5000   // prompt tokens per second
)

// EngineSpecs returns the specifications of all servers, numbered from 1.
func (s *Script) EngineSpecs() []engine.Spec {
	var specs []engine.Spec
	for i := range s.Servers {
		for range s.Servers[i].Count {
			specs = append(specs, s.engineSpec(len(specs)+1, &s.Servers[i]))
		}
	}
	return specs
}

// engineSpec returns the specification of the server of a group with the given number.
func (s *Script) engineSpec(id int, g *ServerGroup) engine.Spec {
	return engine.Spec{
		ID:                id,
		Role:              WireRoles[g.Role],
		Zone:              g.Zone,
		Cell:              g.Cell,
		Slots:             g.Slots,
		Queue:             g.QueueLength,
		MemoryTokens:      cmp.Or(g.MemoryTokens, defaultMemoryTokens),
		PrefillRate:       cmp.Or(g.PrefillRate, defaultPrefillRate),
		TokenInterval:     g.TokenInterval,
		RequestsPerSecond: g.RequestsPerSecond,
		TransferRate:      cmp.Or(g.TransferRate, defaultTransferRate),
		InitialCapacity:   s.SlowStart.InitialCapacity,
		WarmupTime:        s.SlowStart.WarmupTime,
		OverloadFactor:    s.SlowStart.OverloadFactor,
		OverloadWindow:    s.SlowStart.OverloadWindow,
		MaxHoldTime:       10 * time.Second,
		ReportInterval:    100 * time.Millisecond,
		BatchModel:        s.BatchModel,
		ReportNoise:       s.ReportNoise,
	}
}

// DispatcherConfig returns the configuration of dispatcher n, counted from 0.
func (s *Script) DispatcherConfig(n int) *config.Dispatcher {
	d := config.Default()
	d.Zone, d.Index, d.Count = s.Dispatchers[n].Zone, int32(n), int32(len(s.Dispatchers))
	d.Seed, d.HashKey = uint64(s.Seed)+uint64(n), 7
	d.Attempts.MaxAttempts = int32(s.MaxAttempts)
	d.Attempts.ConnectTimeout = 250 * time.Millisecond
	d.Rules.ReleaseTime = s.ReleaseTime
	d.SlowStart = config.SlowStart{
		InitialCapacity: s.SlowStart.InitialCapacity,
		WarmupTime:      s.SlowStart.WarmupTime,
		OverloadFactor:  s.SlowStart.OverloadFactor,
		OverloadWindow:  s.SlowStart.OverloadWindow,
	}
	d.FIFO = s.FIFO
	if s.MaxWaiting > 0 {
		d.Limits.MaxWaiting = s.MaxWaiting
	}
	if s.MaxConnections > 0 {
		d.Limits.MaxConnections = s.MaxConnections
	}
	d.Limits.MaxMemoryBytes = s.MaxMemoryBytes
	tenants := map[string]bool{}
	for i := range s.Classes {
		c := &s.Classes[i]
		d.Classes = append(d.Classes, c.dispatcherClass())
		if c.Tenant != "" && !tenants[c.Tenant] {
			tenants[c.Tenant] = true
			d.Tenants = append(d.Tenants, config.Tenant{
				Name: c.Tenant, RequestsPerSecond: s.SessionsPerSecond, Weight: c.Weight,
				MaxRequestsPerSecond: c.MaxRequestsPerSecond,
			})
		}
	}
	return d
}

// dispatcherClass returns the configuration of the class for dispatchers.
func (c *Class) dispatcherClass() config.Class {
	return config.Class{
		Name:               c.Name,
		LatencyTarget:      c.LatencyTarget,
		LatencyTargetPer1k: c.LatencyTargetPer1k,
		Timeout:            c.Timeout,
		Value:              c.Value,
		InterTokenTarget:   c.TokenGap,
		Idempotency:        c.Idempotency,
		DedupScope:         c.DedupScope,
		DedupWindow:        c.DedupWindow,
	}
}

// ClientClasses returns the configuration of the clients of each class.
func (s *Script) ClientClasses() []userclient.Class {
	var classes []userclient.Class
	for i := range s.Classes {
		classes = append(classes, s.Classes[i].clientClass())
	}
	return classes
}

func (c *Class) clientClass() userclient.Class {
	return userclient.Class{
		Name:                c.Name,
		Share:               c.Share,
		Tenant:              c.Tenant,
		MaxTurns:            c.MaxTurns,
		MinTurnTokens:       c.MinTurnTokens,
		MaxTurnTokens:       c.MaxTurnTokens,
		PrefixTokens:        c.PrefixTokens,
		PrefixCount:         c.PrefixCount,
		MaxAnswerTokens:     c.MaxAnswerTokens,
		LatencyTarget:       c.LatencyTarget,
		LatencyTargetPer1k:  c.LatencyTargetPer1k,
		Timeout:             c.Timeout,
		Value:               max(c.Value, 1),
		MaxRetries:          c.MaxRetries,
		CancelShare:         c.CancelShare,
		MaxIdleTime:         c.MaxIdleTime,
		ClientCount:         c.ClientCount,
		IgnoresRetryAfter:   c.IgnoresRetryAfter,
		NewClientPerSession: c.NewClientPerSession,
		ConnsPerDispatcher:  c.ConnsPerDispatcher,
		Background:          c.Background,
		NonIdempotent:       policy.Idempotency(c.Idempotency) != policy.Idempotent,
	}
}

// InvariantLimits returns the limits for the check of the invariants.
func (s *Script) InvariantLimits() invariants.Limits {
	limits := invariants.Limits{
		Classes:     map[string]invariants.Class{},
		Servers:     map[int]invariants.Server{},
		ReleaseTime: s.ReleaseTime,
		DrainGrace:  config.Default().Rules.DrainGrace,
		Tolerance:   250 * time.Millisecond,
	}
	for i := range s.Classes {
		c := &s.Classes[i]
		limits.Classes[c.Name] = invariants.Class{
			Idempotency: policy.Idempotency(c.Idempotency),
			DedupScope:  policy.DedupScope(c.DedupScope),
			DedupWindow: c.DedupWindow,
		}
	}
	for _, spec := range s.EngineSpecs() {
		limits.Servers[spec.ID] = invariants.Server{Zone: spec.Zone, Cell: spec.Cell}
	}
	return limits
}
