// Package faultsearch looks for broken rules: it plays random days in simulated time under the rule checker, and
// makes a day that breaks one as small as it can.
package faultsearch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"

	"docksail/internal/config"
	"docksail/internal/dispatch"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/scenario"
	"docksail/internal/lab/simulation"
)

// Searcher draws days from one script: its fleet, tracks and dispatchers, with troubles of its own.
type Searcher struct {
	Base       *scenario.Script
	WrapModule func(n int) func(dispatch.Module) dispatch.Module // for tests
}

// Finding is a day that breaks a rule, or panics.
type Finding struct {
	Seed       uint64
	Script     *scenario.Script // the least that was found
	Violations []invariants.Violation
	Panic      string // of the program
	Plays      int    // that the making small took
}

const (
	maxFaults       = 8
	maxLoadDuration = 20 * time.Second // of a drawn day's load
)

// RandomScenario makes a day of a seed.
func (x *Searcher) RandomScenario(seed uint64) *scenario.Script {
	rng := rand.New(rand.NewPCG(seed, 0x6578706c6f7265))
	s := *x.Base
	s.Seed, s.Duration = int64(seed>>1), time.Duration(2+rng.IntN(int(maxLoadDuration/time.Second)-1))*time.Second
	s.SessionsPerSecond *= 0.25 + 1.5*rng.Float64()
	s.Faults = nil
	kinds := scenario.FaultKinds()
	total := len(s.EngineSpecs())
	for range 1 + rng.IntN(maxFaults) {
		t := scenario.Fault{
			Kind: kinds[rng.IntN(len(kinds))], Start: time.Duration(rng.Int64N(int64(s.Duration))).Truncate(time.Millisecond),
			Duration: time.Duration(50+rng.IntN(6000)) * time.Millisecond,
		}
		for range 1 + rng.IntN(3) {
			if h := 1 + rng.IntN(total); !slices.Contains(t.Servers, h) {
				t.Servers = append(t.Servers, h)
			}
		}
		slices.Sort(t.Servers)
		switch t.Kind {
		case "errors":
			t.Factor = 0.1 + 0.9*rng.Float64()
		case "stall":
			t.Factor = float64(1 + rng.IntN(10))
		case "delay":
			t.Factor = float64(1 + rng.IntN(300))
		case "burst", "slow", "links", "neighbour", "heavy":
			t.Factor = 1 + 9*rng.Float64()
		case "deaf":
			t.Class = s.Classes[rng.IntN(len(s.Classes))].Name
		case "cut":
			t.Servers, t.Zone = nil, s.Servers[rng.IntN(len(s.Servers))].Zone
		case "dispatcher":
			t.Servers, t.Dispatcher = nil, rng.IntN(len(s.Dispatchers))
		case "lister":
			t.Servers = nil
		}
		s.Faults = append(s.Faults, t)
	}
	return &s
}

// play gives what a day breaks.
func (x *Searcher) play(ctx context.Context, s *scenario.Script) (broken []invariants.Violation, panicked string, err error) {
	defer func() {
		if p := recover(); p != nil {
			stack := make([]byte, 4<<10)
			panicked = fmt.Sprintf("%v\n%s", p, stack[:runtime.Stack(stack, false)])
		}
	}()
	day, err := simulation.New(s)
	if err != nil {
		return nil, "", err
	}
	day.WrapModule = x.WrapModule
	rep, err := day.Run(ctx)
	if err != nil {
		return nil, "", err
	}
	broken = rep.Violations
	if rep.Counts.InvalidDecisions > 0 {
		broken = append(broken, invariants.Violation{Message: fmt.Sprintf("the account of a job refused %d decisions", rep.Counts.InvalidDecisions)})
	}
	for name, sum := range rep.Summaries {
		if sum.Corrupt > 0 {
			broken = append(broken, invariants.Violation{Message: fmt.Sprintf("%d answers of track %s were not whole", sum.Corrupt, name)})
		}
	}
	return broken, "", nil
}

// Search plays the days of so many seeds from one on, several at a time, and gives those that break a rule, made
// small, by their seeds. It ends early with its context; tried tells how many it played.
func (x *Searcher) Search(ctx context.Context, first uint64, n int, found func(*Finding)) (tried int, err error) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	next := 0
	for range min(runtime.GOMAXPROCS(0), n) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				mu.Lock()
				i := next
				next++
				stop := err != nil
				mu.Unlock()
				if i >= n || stop || ctx.Err() != nil {
					return
				}
				s := x.RandomScenario(first + uint64(i))
				broken, panicked, e := x.play(ctx, s)
				if e == nil && (len(broken) > 0 || panicked != "") {
					f := &Finding{Seed: first + uint64(i), Script: s, Violations: broken, Panic: panicked}
					x.shrink(ctx, f)
					mu.Lock()
					found(f)
					mu.Unlock()
				}
				mu.Lock()
				if e == nil {
					tried++
				} else if ctx.Err() == nil && err == nil {
					err = fmt.Errorf("seed %d: %w", first+uint64(i), e)
				}
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return tried, err
}

// shrink makes a find as small as it can: it leaves out troubles, shortens them and the day, and thins the load, as
// long as the same rule is broken.
func (x *Searcher) shrink(ctx context.Context, f *Finding) {
	rule := invariants.Rule(-1)
	if len(f.Violations) > 0 {
		rule = f.Violations[0].Rule
	}
	try := func(change func(s *scenario.Script)) bool {
		s := *f.Script
		s.Faults = slices.Clone(s.Faults)
		change(&s)
		if ctx.Err() != nil {
			return false
		}
		f.Plays++
		broken, panicked, err := x.play(ctx, &s)
		same := rule >= 0 && slices.ContainsFunc(broken, func(v invariants.Violation) bool { return v.Rule == rule }) || rule < 0 && panicked != ""
		if err != nil || !same {
			return false
		}
		f.Script, f.Violations, f.Panic = &s, broken, panicked
		return true
	}
	for again := true; again; {
		again = false
		for i := 0; i < len(f.Script.Faults); {
			if try(func(s *scenario.Script) { s.Faults = slices.Delete(s.Faults, i, i+1) }) {
				again = true
			} else {
				i++
			}
		}
		for i := range f.Script.Faults {
			hosts := f.Script.Faults[i].Servers
			for k := 0; len(hosts) > 1 && k < len(hosts); {
				if try(func(s *scenario.Script) { s.Faults[i].Servers = slices.Delete(slices.Clone(hosts), k, k+1) }) {
					hosts, again = f.Script.Faults[i].Servers, true
				} else {
					k++
				}
			}
			if f.Script.Faults[i].Duration > 100*time.Millisecond && try(func(s *scenario.Script) { s.Faults[i].Duration /= 2 }) {
				again = true
			}
		}
		if f.Script.Duration > time.Second && try(func(s *scenario.Script) { s.Duration = s.Duration * 3 / 4 }) {
			again = true
		}
		if f.Script.SessionsPerSecond > 1 && try(func(s *scenario.Script) { s.SessionsPerSecond *= 0.75 }) {
			again = true
		}
		last := len(f.Script.Dispatchers) - 1
		if last > 0 && !slices.ContainsFunc(f.Script.Faults, func(t scenario.Fault) bool { return t.Dispatcher >= last }) &&
			try(func(s *scenario.Script) { s.Dispatchers = s.Dispatchers[:last] }) {
			again = true
		}
	}
}

// Encode is a find as a script's file has it, with what it breaks as its comment.
func (f *Finding) Encode() ([]byte, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "// Found by lab explore with seed %d.\n", f.Seed)
	for i, v := range f.Violations {
		if i == 3 {
			fmt.Fprintf(&b, "// and %d more\n", len(f.Violations)-i)
			break
		}
		fmt.Fprintf(&b, "// %v\n", v)
	}
	if f.Panic != "" {
		fmt.Fprintf(&b, "// panic: %s\n", strings.SplitN(f.Panic, "\n", 2)[0])
	}
	text, err := config.Print(*f.Script)
	if err != nil {
		return nil, err
	}
	b.Write(text)
	return []byte(b.String()), nil
}
