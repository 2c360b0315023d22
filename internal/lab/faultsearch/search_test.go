package faultsearch

import (
	"context"
	"testing"

	"docksail/internal/dispatch"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/scenario"
	"docksail/policy"
)

func base(t *testing.T) *scenario.Script {
	t.Helper()
	s, err := scenario.Load("../scenario/testdata/badday.json")
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestFixedSet checks that the random scenarios of a fixed set of seeds violate no invariant.
func TestFixedSet(t *testing.T) {
	s := Searcher{Base: base(t)}
	runs, err := s.Search(t.Context(), 1, 60, func(f *Finding) {
		text, err := f.Encode()
		if err != nil {
			t.Error(err)
		}
		t.Errorf("seed %d: %v%s\n%s", f.Seed, f.Violations, f.Panic, text)
	})
	if err != nil || runs != 60 {
		t.Errorf("%d scenarios run, want 60: %v", runs, err)
	}
}

// drainIgnorer is a faulty module that treats draining servers as serving.
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

// TestMinimize checks that a faulty module is detected, that the scenario is minimized, and that the encoded script
// reproduces the violations.
func TestMinimize(t *testing.T) {
	wrap := func(int) func(dispatch.Module) dispatch.Module {
		return func(m dispatch.Module) dispatch.Module { return drainIgnorer{m} }
	}
	s := Searcher{Base: base(t), WrapModule: wrap}
	ctx, stop := context.WithCancel(t.Context())
	var got *Finding
	if _, err := s.Search(ctx, 1, 40, func(f *Finding) {
		if got == nil && f.Violations[0].Rule == invariants.RuleDrain {
			got = f
			stop()
		}
	}); err != nil {
		t.Fatal(err)
	}
	if got == nil {
		t.Fatal("no violation was found in 40 scenarios")
	}
	if faults := got.Script.Faults; len(faults) > 2 || faults[0].Kind != scenario.FaultDrain {
		t.Errorf("faults left after %d runs: %+v", got.Runs, faults)
	}
	text, err := got.Encode()
	if err != nil {
		t.Fatal(err)
	}
	script, err := scenario.Parse("found", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if o, err := s.run(t.Context(), script); err != nil || len(o.violations) != len(got.Violations) {
		t.Errorf("violations of the encoded script %v, of the finding %v: %v", o.violations, got.Violations, err)
	}
}
