package faultsearch

import (
	"context"
	"slices"
	"time"

	"docksail/internal/lab/invariants"
	"docksail/internal/lab/scenario"
)

const (
	minFaultDuration     = 100 * time.Millisecond // of a fault that is shortened
	minLoadDuration      = time.Second            // of a load that is shortened
	minSessionsPerSecond = 1                      // of a load that is thinned
)

// minimizer makes the script of a finding smaller as long as it fails in the same way.
type minimizer struct {
	searcher *Searcher
	finding  *Finding
	rule     invariants.Rule // that has to be violated; unused if the finding is a panic
}

// minimize leaves out faults, servers and dispatchers, and shortens and thins what is left, until nothing can be made
// smaller or the context ends.
func (s *Searcher) minimize(ctx context.Context, f *Finding) {
	m := minimizer{searcher: s, finding: f}
	if len(f.Violations) > 0 {
		m.rule = f.Violations[0].Rule
	}
	for m.pass(ctx) {
	}
}

// pass tries every way to make the script smaller once and reports whether one succeeded.
func (m *minimizer) pass(ctx context.Context) bool {
	smaller := m.removeFaults(ctx)
	for i := range m.finding.Script.Faults {
		smaller = m.removeServers(ctx, i) || smaller
		smaller = m.shortenFault(ctx, i) || smaller
	}
	smaller = m.shortenLoad(ctx) || smaller
	smaller = m.thinLoad(ctx) || smaller
	smaller = m.removeLastDispatcher(ctx) || smaller
	return smaller
}

// try runs a changed copy of the script and keeps it if it fails in the same way.
func (m *minimizer) try(ctx context.Context, change func(s *scenario.Script)) bool {
	if ctx.Err() != nil {
		return false
	}
	script := *m.finding.Script
	script.Faults = slices.Clone(script.Faults)
	change(&script)
	m.finding.Plays++
	o, err := m.searcher.run(ctx, &script)
	if err != nil || !m.isSameFailure(&o) {
		return false
	}
	m.finding.Script, m.finding.Violations, m.finding.Panic = &script, o.violations, o.panicked
	return true
}

// isSameFailure reports whether an outcome violates the same rule as the finding, or panics as it does.
func (m *minimizer) isSameFailure(o *outcome) bool {
	if len(m.finding.Violations) == 0 {
		return o.panicked != ""
	}
	return slices.ContainsFunc(o.violations, func(v invariants.Violation) bool { return v.Rule == m.rule })
}

func (m *minimizer) removeFaults(ctx context.Context) (smaller bool) {
	for i := 0; i < len(m.finding.Script.Faults); {
		if m.try(ctx, func(s *scenario.Script) { s.Faults = slices.Delete(s.Faults, i, i+1) }) {
			smaller = true
		} else {
			i++
		}
	}
	return smaller
}

// removeServers removes servers from fault i, all but one at most.
func (m *minimizer) removeServers(ctx context.Context, i int) (smaller bool) {
	servers := m.finding.Script.Faults[i].Servers
	for k := 0; len(servers) > 1 && k < len(servers); {
		rest := slices.Delete(slices.Clone(servers), k, k+1)
		if m.try(ctx, func(s *scenario.Script) { s.Faults[i].Servers = rest }) {
			servers, smaller = rest, true
		} else {
			k++
		}
	}
	return smaller
}

func (m *minimizer) shortenFault(ctx context.Context, i int) bool {
	return m.finding.Script.Faults[i].Duration > minFaultDuration &&
		m.try(ctx, func(s *scenario.Script) { s.Faults[i].Duration /= 2 })
}

func (m *minimizer) shortenLoad(ctx context.Context) bool {
	return m.finding.Script.Duration > minLoadDuration &&
		m.try(ctx, func(s *scenario.Script) { s.Duration = s.Duration * 3 / 4 })
}

func (m *minimizer) thinLoad(ctx context.Context) bool {
	return m.finding.Script.SessionsPerSecond > minSessionsPerSecond &&
		m.try(ctx, func(s *scenario.Script) { s.SessionsPerSecond *= 0.75 })
}

// removeLastDispatcher removes the last dispatcher unless it is the only one or a fault names it.
func (m *minimizer) removeLastDispatcher(ctx context.Context) bool {
	last := len(m.finding.Script.Dispatchers) - 1
	isNamed := slices.ContainsFunc(m.finding.Script.Faults, func(f scenario.Fault) bool { return f.Dispatcher >= last })
	return last > 0 && !isNamed &&
		m.try(ctx, func(s *scenario.Script) { s.Dispatchers = s.Dispatchers[:last] })
}
