package e2e

import (
	"os"
	"slices"
	"testing"

	"docksail/internal/dispatch"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/scenario"
	"docksail/policy"
)

// The modules below break an invariant on purpose. That must be found; without them the same scenario must be clean.

// forgetsRequests does not pass on some requests: the dispatcher's own deadline answers them.
type forgetsRequests struct {
	dispatch.Module
	requests int
}

func (m *forgetsRequests) RequestArrived(now policy.Nanos, request policy.Request) {
	if m.requests++; m.requests%7 != 0 {
		m.Module.RequestArrived(now, request)
	}
}

// dropsStreams cancels some attempts whose answer has begun to stream, and does not answer their clients.
type dropsStreams struct {
	dispatch.Module
	streams int
	cancels []policy.Decision
}

func (m *dropsStreams) StreamStarted(
	now policy.Nanos, id policy.RequestID, attempt policy.AttemptNumber, elapsed policy.Nanos,
) {
	m.Module.StreamStarted(now, id, attempt, elapsed)
	if m.streams++; m.streams%7 == 0 {
		m.cancels = append(m.cancels, policy.Decision{Action: policy.CancelAttempt, Request: id, Attempt: attempt})
	}
}

func (m *dropsStreams) NextDecision(now policy.Nanos) (policy.Decision, bool) {
	if n := len(m.cancels); n > 0 {
		decision := m.cancels[n-1]
		m.cancels = m.cancels[:n-1]
		return decision, true
	}
	return m.Module.NextDecision(now)
}

// retriesAfterRun passes on attempts that may have run as if they had not.
type retriesAfterRun struct{ dispatch.Module }

func (m retriesAfterRun) AttemptEnded(
	now policy.Nanos, id policy.RequestID, attempt policy.AttemptNumber, outcome policy.Outcome,
	elapsed policy.Nanos, final bool, load policy.LoadReport,
) {
	if outcome == policy.Failed || outcome == policy.ConnectionLost || outcome == policy.TimedOut {
		outcome = policy.Unreachable
	}
	m.Module.AttemptEnded(now, id, attempt, outcome, elapsed, final, load)
}

// ignoresDrains passes on servers that drain as serving.
type ignoresDrains struct{ dispatch.Module }

func (m ignoresDrains) ServerListed(
	id policy.ServerID, zone policy.ZoneID, kind policy.KindID, cell policy.CellID,
	health policy.Health, startedAt policy.Nanos,
) {
	if health == policy.Draining {
		health = policy.Serving
	}
	m.Module.ServerListed(id, zone, kind, cell, health, startedAt)
}

// overloadsColdServer sends all prefill attempts to server 1 once that has restarted.
type overloadsColdServer struct {
	dispatch.Module
	restarted bool
}

func (m *overloadsColdServer) ServerListed(
	id policy.ServerID, zone policy.ZoneID, kind policy.KindID, cell policy.CellID,
	health policy.Health, startedAt policy.Nanos,
) {
	m.restarted = m.restarted || id == 1 && startedAt > 0 && health == policy.Serving
	m.Module.ServerListed(id, zone, kind, cell, health, startedAt)
}

func (m *overloadsColdServer) NextDecision(now policy.Nanos) (policy.Decision, bool) {
	decision, ok := m.Module.NextDecision(now)
	if m.restarted && decision.Action == policy.SendAttempt && decision.Server == 2 {
		decision.Server = 1
	}
	return decision, ok
}

// neverReleases drops the releases of KV state.
type neverReleases struct{ dispatch.Module }

func (m neverReleases) NextDecision(now policy.Nanos) (policy.Decision, bool) {
	for {
		decision, ok := m.Module.NextDecision(now)
		if !ok || decision.Action != policy.ReleaseState {
			return decision, ok
		}
	}
}

func TestInvariantViolationsAreFound(t *testing.T) {
	for _, test := range []struct {
		name   string
		rule   invariants.Rule
		faults string
		wrap   wrapModule
		change func(*scenario.Script)
	}{
		{
			"an answer is dropped", invariants.RuleFinalAnswer, ``,
			func(m dispatch.Module) dispatch.Module { return &dropsStreams{Module: m} }, nil,
		},
		{
			"a request runs twice", invariants.RuleNoDuplicates,
			`{"kind": "errors", "at": "1s", "for": "3s", "servers": [3, 4], "factor": 0.5}`,
			func(m dispatch.Module) dispatch.Module { return retriesAfterRun{m} },
			func(s *scenario.Script) { s.Classes[0].Share, s.Classes[1].Share = 0, 1 },
		},
		{
			"a drain is ignored", invariants.RuleDrain, `{"kind": "drain", "at": "1s", "for": "6s", "servers": [4]}`,
			func(m dispatch.Module) dispatch.Module { return ignoresDrains{m} }, nil,
		},
		{
			"a server in slow start is overloaded", invariants.RuleSlowStart,
			`{"kind": "crash", "at": "500ms", "for": "500ms", "servers": [1]}`,
			func(m dispatch.Module) dispatch.Module { return &overloadsColdServer{Module: m} }, nil,
		},
		{
			"a state is never released", invariants.RuleRelease,
			`{"kind": "hang", "at": "1s", "for": "3s", "servers": [3, 4]}`,
			func(m dispatch.Module) dispatch.Module { return neverReleases{m} }, nil,
		},
	} {
		run := func(t *testing.T, wrap wrapModule) *scenario.Report {
			t.Helper()
			script := newScript(t, test.faults)
			if test.change != nil {
				test.change(script)
			}
			return runScript(t, script, wrap)
		}
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			found := false
			for range 4 { // the dispatcher's own checks make some violations rare
				if found = violates(run(t, test.wrap), test.rule); found {
					break
				}
			}
			if !found {
				t.Errorf("rule %d was broken on purpose and no violation found", test.rule)
			}
		})
		t.Run(test.name+", not", func(t *testing.T) {
			t.Parallel()
			checkReport(t, run(t, nil))
		})
	}
}

// violates reports whether a run broke a rule.
func violates(report *scenario.Report, rule invariants.Rule) bool {
	return slices.ContainsFunc(report.Violations, func(v invariants.Violation) bool { return v.Rule == rule })
}

// TestForgottenRequestsAreAnswered checks that requests which the policy forgets are answered in time, and counted.
func TestForgottenRequestsAreAnswered(t *testing.T) {
	t.Parallel()
	wrap := func(m dispatch.Module) dispatch.Module { return &forgetsRequests{Module: m} }
	report := runScript(t, newScript(t, ""), wrap)
	if len(report.Violations) > 0 || report.Counts.MissedDeadlines == 0 {
		t.Errorf("violations %v, %d requests answered by the dispatcher's deadline",
			report.Violations, report.Counts.MissedDeadlines)
	}
}

// TestBadDay plays a scenario with all kinds of faults: no invariant is broken, and every answer is complete.
func TestBadDay(t *testing.T) {
	text, err := os.ReadFile("../lab/scenario/testdata/badday.json")
	if err != nil {
		t.Fatal(err)
	}
	script, err := scenario.Parse("badday.json", text)
	if err != nil {
		t.Fatal(err)
	}
	report := runScript(t, script, nil)
	checkReport(t, report)
	for class, summary := range report.Summaries {
		if summary.Corrupt > 0 {
			t.Errorf("class %s: %d answers were corrupt", class, summary.Corrupt)
		}
		if summary.Served < summary.Requests/2 {
			t.Errorf("class %s: %d of %d requests served, want at least half",
				class, summary.Served, summary.Requests)
		}
	}
	if len(report.Summaries) != 4 {
		t.Errorf("%d classes, want four", len(report.Summaries))
	}
}
