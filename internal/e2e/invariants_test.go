package e2e

import (
	"os"
	"slices"
	"testing"

	"docksail/internal/dispatch"
	"docksail/internal/lab/scenario"
	"docksail/policy"
)

// broken tells whether a run broke a rule.
func violates(report *scenario.Report, rule int) bool {
	for _, v := range report.Violations {
		if int(v.Rule) == rule {
			return true
		}
	}
	return false
}

// A module that breaks a rule on purpose must be caught, and the same day without it must be clean.

// forgetsRequests never hears of some requests: the dispatcher's own deadline answers them.
type forgetsRequests struct {
	dispatch.Module
	n int
}

func (m *forgetsRequests) RequestArrived(now policy.Nanos, r policy.Request) {
	if m.n++; m.n%7 != 0 {
		m.Module.RequestArrived(now, r)
	}
}

// dropsStreams cancels some attempts whose answer has begun to stream, and tells their clients nothing.
type dropsStreams struct {
	dispatch.Module
	n       int
	cancels []policy.Decision
}

func (m *dropsStreams) StreamStarted(now policy.Nanos, id policy.RequestID, attempt policy.AttemptNumber, elapsed policy.Nanos) {
	m.Module.StreamStarted(now, id, attempt, elapsed)
	if m.n++; m.n%7 == 0 {
		m.cancels = append(m.cancels, policy.Decision{Action: policy.CancelAttempt, Request: id, Attempt: attempt})
	}
}

func (m *dropsStreams) NextDecision(now policy.Nanos) (policy.Decision, bool) {
	if n := len(m.cancels); n > 0 {
		what := m.cancels[n-1]
		m.cancels = m.cancels[:n-1]
		return what, true
	}
	return m.Module.NextDecision(now)
}

type retriesAfterRun struct{ dispatch.Module }

func (m retriesAfterRun) AttemptEnded(now policy.Nanos, id policy.RequestID, shot policy.AttemptNumber, how policy.Outcome, elapsed policy.Nanos, over bool, load policy.LoadReport) {
	if how == policy.Failed || how == policy.ConnectionLost || how == policy.TimedOut {
		how = policy.Unreachable // as if it had never run
	}
	m.Module.AttemptEnded(now, id, shot, how, elapsed, over, load)
}

type ignoresDrains struct{ dispatch.Module }

func (m ignoresDrains) ServerListed(id policy.ServerID, zone policy.ZoneID, kind policy.KindID, cell policy.CellID, h policy.Health, at policy.Nanos) {
	if h == policy.Draining {
		h = policy.Serving
	}
	m.Module.ServerListed(id, zone, kind, cell, h, at)
}

type overloadsColdServer struct {
	dispatch.Module
	cold bool // host 1 has been listed with a new start
}

func (m *overloadsColdServer) ServerListed(id policy.ServerID, zone policy.ZoneID, kind policy.KindID, cell policy.CellID, h policy.Health, at policy.Nanos) {
	m.cold = m.cold || id == 1 && at > 0 && h == policy.Serving
	m.Module.ServerListed(id, zone, kind, cell, h, at)
}

func (m *overloadsColdServer) NextDecision(now policy.Nanos) (policy.Decision, bool) {
	what, ok := m.Module.NextDecision(now)
	if m.cold && what.Action == policy.SendAttempt && what.Server == 2 {
		what.Server = 1 // all that the warm reader should read goes to the cold one
	}
	return what, ok
}

type neverReleases struct{ dispatch.Module }

func (m neverReleases) NextDecision(now policy.Nanos) (policy.Decision, bool) {
	for {
		what, ok := m.Module.NextDecision(now)
		if !ok || what.Action != policy.ReleaseState {
			return what, ok
		}
	}
}

func TestInvariantViolationsAreFound(t *testing.T) {
	for _, c := range []struct {
		name     string
		rule     int
		troubles string
		wrap     func(dispatch.Module) dispatch.Module
		change   func(s *scenario.Script)
	}{
		{"an answer dropped", 1, ``, func(m dispatch.Module) dispatch.Module { return &dropsStreams{Module: m} }, nil},
		{
			"an effect twice", 2, `{"kind": "errors", "at": "1s", "for": "3s", "servers": [3, 4], "factor": 0.5}`,
			func(m dispatch.Module) dispatch.Module { return retriesAfterRun{m} },
			func(s *scenario.Script) { s.Classes[0].Share, s.Classes[1].Share = 0, 1 },
		},
		{
			"a drain ignored", 3, `{"kind": "drain", "at": "1s", "for": "6s", "servers": [4]}`,
			func(m dispatch.Module) dispatch.Module { return ignoresDrains{m} }, nil,
		},
		{
			"a cold host flooded", 4, `{"kind": "crash", "at": "500ms", "for": "500ms", "servers": [1]}`,
			func(m dispatch.Module) dispatch.Module { return &overloadsColdServer{Module: m} }, nil,
		},
		{
			"a state never let go", 5, `{"kind": "hang", "at": "1s", "for": "3s", "servers": [3, 4]}`,
			func(m dispatch.Module) dispatch.Module { return neverReleases{m} }, nil,
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			caught := false
			for range 4 { // the dispatcher's own guards make some faults rare
				if caught = violates(runScenario(t, c.troubles, c.wrap, c.change), c.rule); caught {
					break
				}
			}
			if !caught {
				t.Errorf("rule %d was broken on purpose and not caught", c.rule)
			}
		})
		t.Run(c.name+", not", func(t *testing.T) {
			t.Parallel()
			if report := runScenario(t, c.troubles, nil, c.change); len(report.Violations) > 0 || report.Counts.InvalidDecisions > 0 {
				t.Errorf("rules broken by the module as it is: %v, %d decisions refused", report.Violations, report.Counts.InvalidDecisions)
			}
		})
	}
}

// Requests that the module forgets are answered in time all the same, and counted.
func TestForgottenRequestsAreAnswered(t *testing.T) {
	t.Parallel()
	report := runScenario(t, ``, func(m dispatch.Module) dispatch.Module { return &forgetsRequests{Module: m} }, nil)
	if len(report.Violations) > 0 || report.Counts.MissedDeadlines == 0 {
		t.Errorf("rules broken: %v, %d requests answered by the dispatcher's deadline", report.Violations, report.Counts.MissedDeadlines)
	}
}

// TestBadDay is the scripted bad day: all five rules kept, every answer whole.
func TestBadDay(t *testing.T) {
	text, err := os.ReadFile("../lab/scenario/testdata/badday.json")
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse("badday.json", text)
	if err != nil {
		t.Fatal(err)
	}
	report := runScript(t, s, nil)
	for _, v := range report.Violations {
		t.Error(v)
	}
	if report.Counts.InvalidDecisions > 0 {
		t.Errorf("the account of a job refused %d decisions", report.Counts.InvalidDecisions)
	}
	names := []string{}
	for name, sum := range report.Summaries {
		names = append(names, name)
		if sum.Corrupt > 0 {
			t.Errorf("track %s: %d answers were not whole", name, sum.Corrupt)
		}
		if sum.Served < sum.Requests/2 {
			t.Errorf("track %s: %d of %d jobs honoured, want half at least", name, sum.Served, sum.Requests)
		}
	}
	if slices.Sort(names); len(names) != 4 {
		t.Errorf("tracks %v, want four", names)
	}
}
