package faultsearch

import (
	"context"
	"slices"
	"time"

	"docksail/internal/lab/invariants"
	"docksail/internal/lab/scenario"
)

const (
	minFaultDuration     = 100 * time.Millisecond // faults of at most this duration are not shortened
	minLoadDuration      = time.Second            // loads of at most this duration are not shortened
	minSessionsPerSecond = 1                      // rates of at most this value are not reduced
)

// minimizer reduces the script of a finding as long as it still fails in the same way.
type minimizer struct {
	searcher *Searcher
	finding  *Finding
	rule     invariants.Rule // rule that must be violated; unused if the finding is a panic
}

// minimize removes faults, servers and dispatchers and reduces the duration and the rate of the load, until no
// reduction succeeds or the context ends.
func (s *Searcher) minimize(ctx context.Context, f *Finding) {
	m := minimizer{searcher: s, finding: f}
	if len(f.Violations) > 0 {
		m.rule = f.Violations[0].Rule
	}
	for m.pass(ctx) {
	}
}

// pass tries every reduction of the script once and reports whether one succeeded.
func (m *minimizer) pass(ctx context.Context) bool {
	reduced := m.removeFaults(ctx)
	for i := range m.finding.Script.Faults {
		reduced = m.removeServers(ctx, i) || reduced
		reduced = m.shortenFault(ctx, i) || reduced
	}
	reduced = m.shortenLoad(ctx) || reduced
	reduced = m.reduceLoad(ctx) || reduced
	reduced = m.removeLastDispatcher(ctx) || reduced
	return reduced
}

// try runs a changed copy of the script. If the copy fails in the same way, it replaces the script of the finding.
func (m *minimizer) try(ctx context.Context, change func(s *scenario.Script)) bool {
	if ctx.Err() != nil {
		return false
	}
	script := *m.finding.Script
	script.Faults = slices.Clone(script.Faults)
	change(&script)
	m.finding.Runs++
	o, err := m.searcher.run(ctx, &script)
	if err != nil || !m.isSameFailure(&o) {
		return false
	}
	m.finding.Script, m.finding.Violations, m.finding.Panic = &script, o.violations, o.panicked
	return true
}

// isSameFailure reports whether an outcome violates the same rule as the finding, or also is a panic.
func (m *minimizer) isSameFailure(o *outcome) bool {
	if len(m.finding.Violations) == 0 {
		return o.panicked != ""
	}
	return slices.ContainsFunc(o.violations, func(v invariants.Violation) bool { return v.Rule == m.rule })
}

func (m *minimizer) removeFaults(ctx context.Context) (reduced bool) {
	for i := 0; i < len(m.finding.Script.Faults); {
		if m.try(ctx, func(s *scenario.Script) { s.Faults = slices.Delete(s.Faults, i, i+1) }) {
			reduced = true
		} else {
			i++
		}
	}
	return reduced
}

// removeServers removes servers from fault i. It keeps at least one.
func (m *minimizer) removeServers(ctx context.Context, i int) (reduced bool) {
	servers := m.finding.Script.Faults[i].Servers
	for k := 0; len(servers) > 1 && k < len(servers); {
		rest := slices.Delete(slices.Clone(servers), k, k+1)
		if m.try(ctx, func(s *scenario.Script) { s.Faults[i].Servers = rest }) {
			servers, reduced = rest, true
		} else {
			k++
		}
	}
	return reduced
}

func (m *minimizer) shortenFault(ctx context.Context, i int) bool {
	return m.finding.Script.Faults[i].Duration > minFaultDuration &&
		m.try(ctx, func(s *scenario.Script) { s.Faults[i].Duration /= 2 })
}

func (m *minimizer) shortenLoad(ctx context.Context) bool {
	return m.finding.Script.Duration > minLoadDuration &&
		m.try(ctx, func(s *scenario.Script) { s.Duration = s.Duration * 3 / 4 })
}

func (m *minimizer) reduceLoad(ctx context.Context) bool {
	return m.finding.Script.SessionsPerSecond > minSessionsPerSecond &&
		m.try(ctx, func(s *scenario.Script) { s.SessionsPerSecond *= 0.75 })
}

// removeLastDispatcher removes the last dispatcher, unless it is the only one or a fault refers to it.
func (m *minimizer) removeLastDispatcher(ctx context.Context) bool {
	last := len(m.finding.Script.Dispatchers) - 1
	isNamed := slices.ContainsFunc(m.finding.Script.Faults, func(f scenario.Fault) bool { return f.Dispatcher >= last })
	return last > 0 && !isNamed &&
		m.try(ctx, func(s *scenario.Script) { s.Dispatchers = s.Dispatchers[:last] })
}
