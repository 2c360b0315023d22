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

// The modules below behave wrongly on purpose. Checks must detect that, and find nothing with the unmodified module.

// requestDroppingModule drops every seventh request, so that the dispatcher's own deadline has to answer it.
type requestDroppingModule struct {
	dispatch.Module
	requests int
}

func (m *requestDroppingModule) RequestArrived(now policy.Nanos, request policy.Request) {
	if m.requests++; m.requests%7 != 0 {
		m.Module.RequestArrived(now, request)
	}
}

// streamDroppingModule cancels every seventh attempt that begins to stream and sends its client no final answer.
type streamDroppingModule struct {
	dispatch.Module
	streams int
	cancels []policy.Decision
}

func (m *streamDroppingModule) StreamStarted(
	now policy.Nanos, id policy.RequestID, attempt policy.AttemptNumber, elapsed policy.Nanos,
) {
	m.Module.StreamStarted(now, id, attempt, elapsed)
	if m.streams++; m.streams%7 == 0 {
		m.cancels = append(m.cancels, policy.Decision{Action: policy.CancelAttempt, Request: id, Attempt: attempt})
	}
}

func (m *streamDroppingModule) NextDecision(now policy.Nanos) (policy.Decision, bool) {
	if n := len(m.cancels); n > 0 {
		decision := m.cancels[n-1]
		m.cancels = m.cancels[:n-1]
		return decision, true
	}
	return m.Module.NextDecision(now)
}

// unsafeRetryModule reports attempts that may have run as unreachable to the policy, which then retries them.
type unsafeRetryModule struct{ dispatch.Module }

func (m unsafeRetryModule) AttemptEnded(
	now policy.Nanos, id policy.RequestID, attempt policy.AttemptNumber, outcome policy.Outcome,
	elapsed policy.Nanos, final bool, load policy.LoadReport,
) {
	if outcome == policy.Failed || outcome == policy.ConnectionLost || outcome == policy.TimedOut {
		outcome = policy.Unreachable
	}
	m.Module.AttemptEnded(now, id, attempt, outcome, elapsed, final, load)
}

// drainIgnoringModule reports draining servers as serving to the policy.
type drainIgnoringModule struct{ dispatch.Module }

func (m drainIgnoringModule) ServerListed(
	id policy.ServerID, zone policy.ZoneID, kind policy.KindID, cell policy.CellID,
	health policy.Health, startedAt policy.Nanos,
) {
	if health == policy.Draining {
		health = policy.Serving
	}
	m.Module.ServerListed(id, zone, kind, cell, health, startedAt)
}

// slowStartIgnoringModule sends all prefill attempts to server 1 once it has restarted.
type slowStartIgnoringModule struct {
	dispatch.Module
	restarted bool
}

func (m *slowStartIgnoringModule) ServerListed(
	id policy.ServerID, zone policy.ZoneID, kind policy.KindID, cell policy.CellID,
	health policy.Health, startedAt policy.Nanos,
) {
	m.restarted = m.restarted || id == 1 && startedAt > 0 && health == policy.Serving
	m.Module.ServerListed(id, zone, kind, cell, health, startedAt)
}

func (m *slowStartIgnoringModule) NextDecision(now policy.Nanos) (policy.Decision, bool) {
	decision, ok := m.Module.NextDecision(now)
	if m.restarted && decision.Action == policy.SendAttempt && decision.Server == 2 {
		decision.Server = 1
	}
	return decision, ok
}

// releaseDroppingModule drops the releases of KV state.
type releaseDroppingModule struct{ dispatch.Module }

func (m releaseDroppingModule) NextDecision(now policy.Nanos) (policy.Decision, bool) {
	for {
		decision, ok := m.Module.NextDecision(now)
		if !ok || decision.Action != policy.ReleaseState {
			return decision, ok
		}
	}
}

// TestInvariantViolationsAreFound checks that violations caused on purpose are detected, and that none are reported in
// the same scenarios with the unmodified module.
func TestInvariantViolationsAreFound(t *testing.T) {
	for _, test := range []struct {
		name   string
		rule   invariants.Rule
		faults string
		wrap   wrapFunc
		change func(*scenario.Script)
	}{
		{
			"an answer is dropped", invariants.RuleFinalAnswer, ``,
			func(m dispatch.Module) dispatch.Module { return &streamDroppingModule{Module: m} }, nil,
		},
		{
			"a request runs twice", invariants.RuleNoDuplicates,
			`{"kind": "errors", "at": "1s", "for": "3s", "servers": [3, 4], "factor": 0.5}`,
			func(m dispatch.Module) dispatch.Module { return unsafeRetryModule{m} },
			func(s *scenario.Script) { s.Classes[0].Share, s.Classes[1].Share = 0, 1 },
		},
		{
			"a drain is ignored", invariants.RuleDrain, `{"kind": "drain", "at": "1s", "for": "6s", "servers": [4]}`,
			func(m dispatch.Module) dispatch.Module { return drainIgnoringModule{m} }, nil,
		},
		{
			"a server in slow start is overloaded", invariants.RuleSlowStart,
			`{"kind": "crash", "at": "500ms", "for": "500ms", "servers": [1]}`,
			func(m dispatch.Module) dispatch.Module { return &slowStartIgnoringModule{Module: m} }, nil,
		},
		{
			"a state is never released", invariants.RuleRelease,
			`{"kind": "hang", "at": "1s", "for": "3s", "servers": [3, 4]}`,
			func(m dispatch.Module) dispatch.Module { return releaseDroppingModule{m} }, nil,
		},
	} {
		run := func(t *testing.T, wrap wrapFunc) *scenario.Report {
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
			for range 4 { // the dispatcher's own checks prevent some violations most of the time
				if found = violates(run(t, test.wrap), test.rule); found {
					break
				}
			}
			if !found {
				t.Errorf("rule %d was violated on purpose, but no violation was found", test.rule)
			}
		})
		t.Run(test.name+", unmodified module", func(t *testing.T) {
			t.Parallel()
			checkReport(t, run(t, nil))
		})
	}
}

// violates reports whether a run violated a rule.
func violates(report *scenario.Report, rule invariants.Rule) bool {
	return slices.ContainsFunc(report.Violations, func(v invariants.Violation) bool { return v.Rule == rule })
}

// TestDroppedRequestsAreAnswered checks that requests that the module drops are answered in time and counted.
func TestDroppedRequestsAreAnswered(t *testing.T) {
	t.Parallel()
	wrap := func(m dispatch.Module) dispatch.Module { return &requestDroppingModule{Module: m} }
	report := runScript(t, newScript(t, ""), wrap)
	if len(report.Violations) > 0 || report.Counts.MissedDeadlines == 0 {
		t.Errorf("violations %v, %d requests answered by the dispatcher's deadline; want none and at least one",
			report.Violations, report.Counts.MissedDeadlines)
	}
}

// TestBadDay checks that no invariant is violated, no answer is corrupt and at least half of the requests of each class
// are served in a scenario with most kinds of faults.
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
			t.Errorf("class %s: %d corrupt answers, want none", class, summary.Corrupt)
		}
		if summary.Served < summary.Requests/2 {
			t.Errorf("class %s: %d of %d requests served, want at least half",
				class, summary.Served, summary.Requests)
		}
	}
	if len(report.Summaries) != 4 {
		t.Errorf("%d classes, want 4", len(report.Summaries))
	}
}
