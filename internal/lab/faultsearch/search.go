// Package faultsearch searches for scenarios that violate an invariant: it runs random scenarios in simulated time,
// and minimizes those that do.
package faultsearch

import (
	"context"
	"fmt"
	"runtime"
	"sync"

	"docksail/internal/lab/invariants"
	"docksail/internal/lab/scenario"
	"docksail/internal/lab/simulation"
)

// maxStackBytes limits the stack trace of a panic in a finding.
const maxStackBytes = 4 << 10

// Searcher runs random scenarios with the servers, classes and dispatchers of a base script.
type Searcher struct {
	Base       *scenario.Script
	WrapModule scenario.ModuleWrapper // for tests; may be nil
}

// outcome is the result of a run.
type outcome struct {
	violations []invariants.Violation
	panicked   string // message and stack of a panic; empty if there was none
}

func (o *outcome) isFailure() bool { return len(o.violations) > 0 || o.panicked != "" }

// run runs a script in simulated time and recovers from panics.
func (s *Searcher) run(ctx context.Context, script *scenario.Script) (o outcome, err error) {
	defer func() {
		if p := recover(); p != nil {
			stack := make([]byte, maxStackBytes)
			o.panicked = fmt.Sprintf("%v\n%s", p, stack[:runtime.Stack(stack, false)])
		}
	}()
	sim, err := simulation.New(script)
	if err != nil {
		return outcome{}, err
	}
	sim.WrapModule = s.WrapModule
	report, err := sim.Run(ctx)
	if err != nil {
		return outcome{}, err
	}
	return outcome{violations: failures(report)}, nil
}

// failures returns the violations of a run, and as violations with Rule 0 the failures that no invariant covers.
func failures(report *simulation.Report) []invariants.Violation {
	violations := report.Violations
	if count := report.Counts.InvalidDecisions; count > 0 {
		violations = append(violations, invariants.Violation{Message: fmt.Sprintf("%d invalid decisions", count)})
	}
	for class, summary := range report.Summaries {
		if summary.Corrupt > 0 {
			violations = append(violations, invariants.Violation{
				Message: fmt.Sprintf("%d answers of class %s were corrupt", summary.Corrupt, class),
			})
		}
	}
	return violations
}

// Search runs the random scenarios of count seeds, starting with first, several at a time. It minimizes each scenario
// that fails and calls found with it; calls of found are not concurrent. It returns the number of scenarios run,
// which is less than count if the context ends or a scenario cannot be run.
func (s *Searcher) Search(ctx context.Context, first uint64, count int, found func(*Finding)) (int, error) {
	search := search{searcher: s, first: first, count: count, found: found}
	var workers sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), count) {
		workers.Go(func() { search.work(ctx) })
	}
	workers.Wait()
	return search.runs, search.err
}

// search is the state of one Search call.
type search struct {
	searcher *Searcher
	first    uint64
	count    int

	mu       sync.Mutex // guards the fields below and serializes calls of found
	found    func(*Finding)
	assigned int   // number of seeds assigned to workers
	runs     int   // number of scenarios run
	err      error // first error of a run
}

// work runs scenarios until no seed is left, a scenario cannot be run or the context ends.
func (s *search) work(ctx context.Context) {
	for ctx.Err() == nil {
		seed, ok := s.nextSeed()
		if !ok {
			return
		}
		err := s.runSeed(ctx, seed)
		s.mu.Lock()
		if err == nil {
			s.runs++
		} else if ctx.Err() == nil && s.err == nil {
			s.err = fmt.Errorf("seed %d: %w", seed, err)
		}
		s.mu.Unlock()
	}
}

// nextSeed returns the next seed to run, or false if the search has ended.
func (s *search) nextSeed() (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.assigned >= s.count || s.err != nil {
		return 0, false
	}
	seed := s.first + uint64(s.assigned)
	s.assigned++
	return seed, true
}

// runSeed runs the scenario of a seed. If the scenario fails, runSeed minimizes it and calls found.
func (s *search) runSeed(ctx context.Context, seed uint64) error {
	script := s.searcher.RandomScenario(seed)
	o, err := s.searcher.run(ctx, script)
	if err != nil || !o.isFailure() {
		return err
	}
	f := &Finding{Seed: seed, Script: script, Violations: o.violations, Panic: o.panicked}
	s.searcher.minimize(ctx, f)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.found(f)
	return nil
}
