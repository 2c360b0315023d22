package faultsearch

import (
	"context"
	"testing"

	"docksail/internal/dispatch"
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

// TestFixedSet: a set of drawn days breaks no rule.
func TestFixedSet(t *testing.T) {
	x := Searcher{Base: base(t)}
	tried, err := x.Search(t.Context(), 1, 60, func(f *Finding) {
		text, err := f.Encode()
		if err != nil {
			t.Error(err)
		}
		t.Errorf("seed %d: %v%s\n%s", f.Seed, f.Violations, f.Panic, text)
	})
	if err != nil || tried != 60 {
		t.Errorf("%d days played: %v", tried, err)
	}
}

type deafToDrains struct{ dispatch.Module }

func (m deafToDrains) ServerListed(id policy.ServerID, zone policy.ZoneID, kind policy.KindID, cell policy.CellID, health policy.Health, launched policy.Nanos) {
	if health == policy.Draining {
		health = policy.Serving
	}
	m.Module.ServerListed(id, zone, kind, cell, health, launched)
}

// TestShrinks: a planted fault is found, and the day that shows it is made small: one drain is left, and the file plays
// to the same end.
func TestShrinks(t *testing.T) {
	wrap := func(int) func(dispatch.Module) dispatch.Module {
		return func(m dispatch.Module) dispatch.Module { return deafToDrains{m} }
	}
	x := Searcher{Base: base(t), WrapModule: wrap}
	ctx, stop := context.WithCancel(t.Context())
	var got *Finding
	if _, err := x.Search(ctx, 1, 40, func(f *Finding) {
		if got == nil && f.Violations[0].Rule == 3 {
			got = f
			stop()
		}
	}); err != nil {
		t.Fatal(err)
	}
	if got == nil {
		t.Fatal("the planted fault is not found in 40 days")
	}
	if s := got.Script; len(s.Faults) > 2 || s.Faults[0].Kind != "drain" {
		t.Errorf("left after %d plays: %+v", got.Plays, s.Faults)
	}
	text, err := got.Encode()
	if err != nil {
		t.Fatal(err)
	}
	s, err := scenario.Parse("found", text)
	if err != nil {
		t.Fatalf("%v\n%s", err, text)
	}
	if broken, _, err := x.play(t.Context(), s); err != nil || len(broken) != len(got.Violations) {
		t.Errorf("the file breaks %v, the find %v: %v", broken, got.Violations, err)
	}
}
