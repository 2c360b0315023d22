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

func load(t *testing.T, seed int64) *scenario.Script {
	t.Helper()
	s, err := scenario.Load("../scenario/testdata/badday.json")
	if err != nil {
		t.Fatal(err)
	}
	s.Seed = seed
	return s
}

func play(t *testing.T, s *scenario.Script, wrap func(dispatch.Module) dispatch.Module) *Report {
	t.Helper()
	d, err := New(s)
	if err != nil {
		t.Fatal(err)
	}
	if wrap != nil {
		d.WrapModule = func(int) func(dispatch.Module) dispatch.Module { return wrap }
	}
	rep, err := d.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	return rep
}

// TestSameRun: the same script and seed give the same entries, byte by byte; another seed gives others.
func TestSameRun(t *testing.T) {
	var runs [3]bytes.Buffer
	for i, seed := range []int64{5, 5, 6} {
		if err := eventlog.Write(&runs[i], play(t, load(t, seed), nil).Entries); err != nil {
			t.Fatal(err)
		}
	}
	if runs[0].Len() < 100000 || !bytes.Equal(runs[0].Bytes(), runs[1].Bytes()) {
		t.Errorf("two runs of one seed wrote %d and %d bytes, and not the same", runs[0].Len(), runs[1].Len())
	}
	if bytes.Equal(runs[0].Bytes(), runs[2].Bytes()) {
		t.Error("another seed gave the same run")
	}
}

// TestBadDays: the five rules over days with all troubles, each by its own seed.
func TestBadDays(t *testing.T) {
	for seed := range int64(12) {
		rep := play(t, load(t, 100+seed), nil)
		for _, v := range rep.Violations {
			t.Errorf("seed %d: %v", 100+seed, v)
		}
		jobs, honoured := 0, 0
		for name, s := range rep.Summaries {
			jobs, honoured = jobs+s.Requests, honoured+s.Served
			if s.Corrupt > 0 {
				t.Errorf("seed %d: %d answers of %s were not whole", 100+seed, s.Corrupt, name)
			}
		}
		if rep.Counts.InvalidDecisions > 0 || jobs < 500 || honoured < jobs*3/4 || rep.Simulated < 40*time.Second {
			t.Errorf("seed %d: %d of %d jobs honoured in %v, %d decisions refused", 100+seed, honoured, jobs, rep.Simulated, rep.Counts.InvalidDecisions)
		}
	}
}

// deafToDrains tells its module that hosts serve that drain.
type deafToDrains struct{ dispatch.Module }

func (m deafToDrains) ServerListed(id policy.ServerID, zone policy.ZoneID, kind policy.KindID, cell policy.CellID, health policy.Health, launched policy.Nanos) {
	if health == policy.Draining {
		health = policy.Serving
	}
	m.Module.ServerListed(id, zone, kind, cell, health, launched)
}

// keepsStates keeps what is held: it lets nothing go.
type keepsStates struct{ dispatch.Module }

func (m keepsStates) NextDecision(now policy.Nanos) (policy.Decision, bool) {
	for {
		what, ok := m.Module.NextDecision(now)
		if !ok || what.Action != policy.ReleaseState {
			return what, ok
		}
	}
}

// TestPlantedFaults: rules that are broken on purpose are found in simulated time too.
func TestPlantedFaults(t *testing.T) {
	for _, c := range []struct {
		rule invariants.Rule
		wrap func(dispatch.Module) dispatch.Module
	}{
		{3, func(m dispatch.Module) dispatch.Module { return deafToDrains{m} }},
		{5, func(m dispatch.Module) dispatch.Module { return keepsStates{m} }},
	} {
		found := 0
		for seed := int64(1); seed <= 6 && found == 0; seed++ {
			for _, v := range play(t, load(t, seed), c.wrap).Violations {
				if v.Rule == c.rule {
					found++
				}
			}
		}
		if found == 0 {
			t.Errorf("rule %d is broken on purpose and nothing is found", c.rule)
		}
	}
}

// TestHalfOpen: the only ways to the hosts go silent, with no reset, while nothing is out on them; they are noticed
// with the first launches and made anew, well before a host's rest would end.
func TestHalfOpen(t *testing.T) {
	s := load(t, 3)
	s.Servers, s.Dispatchers = []scenario.ServerGroup{s.Servers[0], s.Servers[1]}, s.Dispatchers[:1]
	s.Servers[0].Count, s.Servers[1].Count = 2, 2
	s.SessionsPerSecond, s.Duration = 0.4, 60*time.Second // pauses of seconds between jobs
	s.Faults = []scenario.Fault{{Kind: "halfopen", Start: 20 * time.Second, Servers: []int{1, 2, 3, 4}}}
	rep := play(t, s, nil)
	late, lost, last := 0, 0, rep.Entries[0].At+int64(time.Second)
	for _, e := range rep.Entries {
		at := time.Duration(e.At - last)
		if e.Kind == eventlog.RequestSent && at > 26*time.Second {
			late++
		}
		if (e.Kind == eventlog.RequestAnswered && e.Code != "OK" || e.Kind == eventlog.RequestUnanswered) && at > 32*time.Second {
			lost++
		}
	}
	if late < 20 || lost > 0 || len(rep.Violations) > 0 {
		t.Errorf("of %d tries six seconds and more after the connections went silent, %d were lost; %v", late, lost, rep.Violations)
	}
}

// TestFound: days that once broke a rule, found by lab explore and made small, break none.
func TestFound(t *testing.T) {
	names, err := filepath.Glob("../scenario/testdata/mended/*.json")
	if err != nil || len(names) == 0 {
		t.Fatal(names, err)
	}
	for _, name := range names {
		s, err := scenario.Load(name)
		if err != nil {
			t.Fatal(err)
		}
		for _, v := range play(t, s, nil).Violations {
			t.Errorf("%s: %v", name, v)
		}
	}
}

// outcomes counts how launches ended.
type outcomes struct {
	dispatch.Module
	n *[policy.Canceled + 1]int
}

func (m outcomes) AttemptEnded(now policy.Nanos, id policy.RequestID, shot policy.AttemptNumber, how policy.Outcome, elapsed policy.Nanos, over bool, load policy.LoadReport) {
	m.n[how]++
	m.Module.AttemptEnded(now, id, shot, how, elapsed, over, load)
}

// TestStateGoneBeforeFetch: readers restart between the offer of a state and its fetch, and while it moves over a slow
// link: the writer says that there is none, the prompt is read anew, no rule is broken.
func TestStateGoneBeforeFetch(t *testing.T) {
	s := load(t, 9)
	s.Duration, s.SessionsPerSecond = 20*time.Second, 10
	s.Faults = []scenario.Fault{{Kind: "links", Start: 2 * time.Second, Duration: 14 * time.Second, Role: scenario.Prefill, Factor: 60}}
	for i := range 6 {
		s.Faults = append(s.Faults, scenario.Fault{Kind: "crash", Start: time.Duration(3+2*i) * time.Second, Duration: 200 * time.Millisecond, Servers: []int{1 + i%3, 8 + i%3}})
	}
	var n [policy.Canceled + 1]int
	rep := play(t, s, func(m dispatch.Module) dispatch.Module { return outcomes{m, &n} })
	if n[policy.StateMissing] < 3 || len(rep.Violations) > 0 {
		t.Errorf("%d launches found no state; %v", n[policy.StateMissing], rep.Violations)
	}
	for name, sum := range rep.Summaries {
		if sum.Corrupt > 0 || sum.Served < sum.Requests*4/10 {
			t.Errorf("%s: %d of %d honoured, %d wrong", name, sum.Served, sum.Requests, sum.Corrupt)
		}
	}
}

// TestFloodSimulated: beside one client's flood the small ones' p99 stays within eight times that of the day without
// it, and nearly all are in time; in order of arrival half are.
func TestFloodSimulated(t *testing.T) {
	for seed := range int64(3) {
		day := func(change func(s *scenario.Script)) *userclient.Summary {
			s, err := scenario.Load("../../../experiments/flood-day.json")
			if err != nil {
				t.Fatal(err)
			}
			s.Seed = 50 + seed
			change(s)
			sum := play(t, s, nil).Summaries["small"]
			slices.Sort(sum.FirstTokenTimes)
			return sum
		}
		p99 := func(s *userclient.Summary) time.Duration { return s.FirstTokenTimes[len(s.FirstTokenTimes)*99/100] }
		calm := day(func(s *scenario.Script) { s.SessionsPerSecond, s.Classes[0].Share, s.Classes[1].Share = 6, 1, 0 })
		fair := day(func(*scenario.Script) {})
		first := day(func(s *scenario.Script) { s.FIFO = true })
		t.Logf("p99 %v without the flood, %v with it, %v in order of arrival; kept %.3f and %.3f", p99(calm), p99(fair), p99(first), fair.ValueShare(), first.ValueShare())
		if p99(fair) > 8*p99(calm)+100*time.Millisecond || fair.ValueShare() < 0.97 || first.ValueShare() > 0.8 {
			t.Errorf("seed %d: p99 %v beside %v without the flood; kept %.3f, in order of arrival %.3f", 50+seed, p99(fair), p99(calm), fair.ValueShare(), first.ValueShare())
		}
	}
}
