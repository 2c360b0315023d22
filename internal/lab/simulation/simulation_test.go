package simulation

import (
	"bytes"
	"context"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"docksail/internal/dispatch"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/scenario"
	"docksail/internal/lab/userclient"
	"docksail/policy"
)

// loadBadDay returns the script badday.json with a seed.
func loadBadDay(t *testing.T, seed int64) *scenario.Script {
	t.Helper()
	s, err := scenario.Load("../scenario/testdata/badday.json")
	if err != nil {
		t.Fatal(err)
	}
	s.Seed = seed
	return s
}

// run simulates a script, with the decision modules wrapped unless wrap is nil.
func run(t *testing.T, s *scenario.Script, wrap func(dispatch.Module) dispatch.Module) *Report {
	t.Helper()
	d, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	if wrap != nil {
		d.WrapModule = func(int) func(dispatch.Module) dispatch.Module { return wrap }
	}
	report, err := d.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return report
}

// TestRunsAreDeterministic checks that the same script and seed give the same entries, byte by byte, and that another
// seed gives others.
func TestRunsAreDeterministic(t *testing.T) {
	var runs [3]bytes.Buffer
	for i, seed := range []int64{5, 5, 6} {
		if err := eventlog.Write(&runs[i], run(t, loadBadDay(t, seed), nil).Entries); err != nil {
			t.Fatal(err)
		}
	}
	if runs[0].Len() < 100000 || !bytes.Equal(runs[0].Bytes(), runs[1].Bytes()) {
		t.Errorf("two runs of one seed wrote different entries (%d and %d bytes)", runs[0].Len(), runs[1].Len())
	}
	if bytes.Equal(runs[0].Bytes(), runs[2].Bytes()) {
		t.Error("two seeds gave the same run")
	}
}

// TestAllFaults checks the invariants over a scenario with all faults, for several seeds.
func TestAllFaults(t *testing.T) {
	for seed := range int64(12) {
		report := run(t, loadBadDay(t, 100+seed), nil)
		for _, v := range report.Violations {
			t.Errorf("seed %d: %v", 100+seed, v)
		}
		requests, served := 0, 0
		for name, s := range report.Summaries {
			requests, served = requests+s.Requests, served+s.Served
			if s.Corrupt > 0 {
				t.Errorf("seed %d: %d answers of class %s are corrupt", 100+seed, s.Corrupt, name)
			}
		}
		invalid := report.Counts.InvalidDecisions
		if invalid > 0 || requests < 500 || served < requests*3/4 || report.Simulated < 40*time.Second {
			t.Errorf("seed %d: %d of %d requests served in %v, %d invalid decisions",
				100+seed, served, requests, report.Simulated, invalid)
		}
	}
}

// drainIgnorer is a module that regards draining servers as serving.
type drainIgnorer struct{ dispatch.Module }

func (m drainIgnorer) ServerListed(
	id policy.ServerID, zone policy.ZoneID, kind policy.KindID, cell policy.CellID, health policy.Health,
	startedAt policy.Nanos,
) {
	if health == policy.Draining {
		health = policy.Serving
	}
	m.Module.ServerListed(id, zone, kind, cell, health, startedAt)
}

// releaseDropper is a module that drops all decisions to release a state.
type releaseDropper struct{ dispatch.Module }

func (m releaseDropper) NextDecision(now policy.Nanos) (policy.Decision, bool) {
	for {
		decision, ok := m.Module.NextDecision(now)
		if !ok || decision.Action != policy.ReleaseState {
			return decision, ok
		}
	}
}

// TestModuleViolationsAreDetected checks that the violations of modules that break an invariant are detected.
func TestModuleViolationsAreDetected(t *testing.T) {
	for _, c := range []struct {
		rule invariants.Rule
		wrap func(dispatch.Module) dispatch.Module
	}{
		{invariants.RuleDrain, func(m dispatch.Module) dispatch.Module { return drainIgnorer{m} }},
		{invariants.RuleRelease, func(m dispatch.Module) dispatch.Module { return releaseDropper{m} }},
	} {
		found := 0
		for seed := int64(1); seed <= 6 && found == 0; seed++ {
			for _, v := range run(t, loadBadDay(t, seed), c.wrap).Violations {
				if v.Rule == c.rule {
					found++
				}
			}
		}
		if found == 0 {
			t.Errorf("no violation of rule %v was found", c.rule)
		}
	}
}

// TestHalfOpen checks that dispatchers detect connections that went silent without a reset while they were idle, and
// replace them with the first attempts on them, well before an ejection of the servers would end.
func TestHalfOpen(t *testing.T) {
	s := loadBadDay(t, 3)
	s.Servers, s.Dispatchers = []scenario.ServerGroup{s.Servers[0], s.Servers[1]}, s.Dispatchers[:1]
	s.Servers[0].Count, s.Servers[1].Count = 2, 2
	s.SessionsPerSecond, s.Duration = 0.4, 60*time.Second // requests are seconds apart
	s.Faults = []scenario.Fault{{Kind: "halfopen", Start: 20 * time.Second, Servers: []int{1, 2, 3, 4}}}
	report := run(t, s, nil)
	requests, lost, loadStart := 0, 0, report.Entries[0].At+int64(time.Second)
	for _, e := range report.Entries {
		at := time.Duration(e.At - loadStart)
		if e.Kind == eventlog.RequestSent && at > 26*time.Second {
			requests++
		}
		isLost := e.Kind == eventlog.RequestAnswered && e.Code != "OK" || e.Kind == eventlog.RequestUnanswered
		if isLost && at > 32*time.Second {
			lost++
		}
	}
	if requests < 20 || lost > 0 || len(report.Violations) > 0 {
		t.Errorf("of %d requests from six seconds after the connections went silent, %d were lost; violations %v",
			requests, lost, report.Violations)
	}
}

// TestFixedFindings guards against regressions with the minimized scenarios in which package faultsearch has found
// violations.
func TestFixedFindings(t *testing.T) {
	names, err := filepath.Glob("../scenario/testdata/mended/*.json")
	if err != nil || len(names) == 0 {
		t.Fatal(names, err)
	}
	for _, name := range names {
		s, err := scenario.Load(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range run(t, s, nil).Violations {
			t.Errorf("%s: %v", name, v)
		}
	}
}

// outcomeCounter is a module that counts the outcomes of attempts.
type outcomeCounter struct {
	dispatch.Module
	counts *[policy.Canceled + 1]int
}

func (m outcomeCounter) AttemptEnded(
	now policy.Nanos, id policy.RequestID, number policy.AttemptNumber, outcome policy.Outcome, elapsed policy.Nanos,
	isLast bool, load policy.LoadReport,
) {
	m.counts[outcome]++
	m.Module.AttemptEnded(now, id, number, outcome, elapsed, isLast, load)
}

// TestStateGoneBeforeFetch checks that a prefill is repeated, without a violation of an invariant, if its server
// restarts before a decode server has fetched the state or while the state is transferred over a slow link.
func TestStateGoneBeforeFetch(t *testing.T) {
	s := loadBadDay(t, 9)
	s.Duration, s.SessionsPerSecond = 20*time.Second, 10
	s.Faults = []scenario.Fault{{
		Kind: scenario.FaultSlowLinks, Start: 2 * time.Second, Duration: 14 * time.Second, Role: scenario.Prefill, Factor: 60,
	}}
	for i := range 6 {
		s.Faults = append(s.Faults, scenario.Fault{
			Kind: scenario.FaultCrash, Start: time.Duration(3+2*i) * time.Second, Duration: 200 * time.Millisecond,
			Servers: []int{1 + i%3, 8 + i%3},
		})
	}
	var counts [policy.Canceled + 1]int
	report := run(t, s, func(m dispatch.Module) dispatch.Module { return outcomeCounter{m, &counts} })
	if counts[policy.StateMissing] < 3 || len(report.Violations) > 0 {
		t.Errorf("%d attempts found no state, want 3 or more; violations %v", counts[policy.StateMissing], report.Violations)
	}
	for name, sum := range report.Summaries {
		if sum.Corrupt > 0 || sum.Served < sum.Requests*4/10 {
			t.Errorf("%s: %d of %d requests served, %d corrupt", name, sum.Served, sum.Requests, sum.Corrupt)
		}
	}
}

// TestFloodSimulated checks that fair queueing protects small clients from the flood of one client: their p99 stays
// within eight times that without the flood, and nearly all their requests are on time. With FIFO admission that
// bound is broken and fewer are on time.
func TestFloodSimulated(t *testing.T) {
	for seed := range int64(3) {
		runChanged := func(change func(s *scenario.Script)) *userclient.Summary {
			s, err := scenario.Load("../../../experiments/flood-day.json")
			if err != nil {
				t.Fatal(err)
			}
			s.Seed = 50 + seed
			change(s)
			sum := run(t, s, nil).Summaries["small"]
			slices.Sort(sum.FirstTokenTimes)
			return sum
		}
		p99 := func(s *userclient.Summary) time.Duration { return s.FirstTokenTimes[len(s.FirstTokenTimes)*99/100] }
		calm := runChanged(func(s *scenario.Script) {
			s.SessionsPerSecond, s.Classes[0].Share, s.Classes[1].Share = 6, 1, 0
		})
		fair := runChanged(func(*scenario.Script) {})
		fifo := runChanged(func(s *scenario.Script) { s.FIFO = true })
		t.Logf("p99 %v without the flood, %v with it, %v with it and FIFO admission; value shares %.3f and %.3f",
			p99(calm), p99(fair), p99(fifo), fair.ValueShare(), fifo.ValueShare())
		bound := 8*p99(calm) + 100*time.Millisecond
		if p99(fair) > bound || fair.ValueShare() < 0.97 || p99(fifo) <= bound || fifo.ValueShare() >= fair.ValueShare() {
			t.Errorf("seed %d: p99 %v, %v without the flood; value share %.3f, %.3f with FIFO admission",
				50+seed, p99(fair), p99(calm), fair.ValueShare(), fifo.ValueShare())
		}
	}
}

// TestEveryFaultIsInjected checks that every kind of fault is a change of servers, has an injector, or is implemented
// by the clients.
func TestEveryFaultIsInjected(t *testing.T) {
	clientFaults := []scenario.FaultKind{scenario.FaultBurst, scenario.FaultLongPrompts}
	for _, kind := range scenario.FaultKinds() {
		_, isChange := scenario.Fault{Kind: kind}.ServerChange()
		_, isPeriodic := scenario.Fault{Kind: kind}.PeriodicChange()
		count := 0
		for _, is := range []bool{isChange, isPeriodic, injectors[kind] != nil, slices.Contains(clientFaults, kind)} {
			if is {
				count++
			}
		}
		if count != 1 {
			t.Errorf("fault %q is implemented in %d ways, want 1", kind, count)
		}
	}
}

// TestLatencyTargetDecidesNothing checks that `docksail serve` does the same, byte by byte, whatever latency target the
// operator names for one of the classes: it says what an answer is worth, not how long the work takes. The days have
// faults, background requests and a flood.
func TestLatencyTargetDecidesNothing(t *testing.T) {
	for _, file := range []string{"../scenario/testdata/badday.json", "../../../experiments/flood-day.json"} {
		var want []byte
		for _, factor := range []float64{1, 0.2, 2.5} {
			s, err := scenario.Load(file)
			if err != nil {
				t.Fatal(err)
			}
			s.Duration = min(s.Duration, 20*time.Second)
			for i := range s.Classes {
				s.Classes[i].CancelShare = 0 // clients of the laboratory leave within their target
			}
			s.Classes[0].LatencyTarget = scenario.Duration(factor * float64(s.Classes[0].LatencyTarget))
			var entries bytes.Buffer
			if err := eventlog.Write(&entries, run(t, s, nil).Entries); err != nil {
				t.Fatal(err)
			}
			if want == nil {
				want = entries.Bytes()
			}
			if !bytes.Equal(entries.Bytes(), want) {
				t.Errorf("%s: another day with %v times the latency target of class %s", filepath.Base(file), factor,
					s.Classes[0].Name)
			}
		}
	}
}

// TestTwiceTheCapacity checks that a minute at twice the capacity ends in no collapse and loses nothing: the servers do
// at least three quarters of what they can, nobody is left without an answer, and no queue grows until all in it wait
// for most of the time that they have, as that serves not one caller more.
func TestTwiceTheCapacity(t *testing.T) {
	s, err := scenario.Load("../../../experiments/twice-the-capacity.json")
	if err != nil {
		t.Fatal(err)
	}
	report := run(t, s, nil)
	for _, v := range report.Violations {
		t.Error(v)
	}
	const capacity = 34 * 60 // of two prefill servers in a minute
	served, unanswered := 0, 0
	var firstTokens []time.Duration
	for _, summary := range report.Summaries {
		served, unanswered = served+summary.Served, unanswered+summary.Unanswered
		firstTokens = append(firstTokens, summary.FirstTokenTimes...)
	}
	slices.Sort(firstTokens)
	median, timeout := firstTokens[len(firstTokens)/2], s.Classes[0].Timeout
	if served < capacity*3/4 || unanswered > 0 || median > timeout/2 {
		t.Errorf("%d served of %d that could be, %d without an answer, half of the first tokens after %v of %v; "+
			"want three quarters, none and half of the time", served, capacity, unanswered, median, timeout)
	}
	t.Logf("%d served of %d that could be, half of the first tokens within %v", served, capacity, median)
}
