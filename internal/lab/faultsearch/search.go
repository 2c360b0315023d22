// Package faultsearch looks for broken rules: it plays random days in simulated time under the rule checker, and makes a
// day that breaks one as small as it can.
package faultsearch

import (
	"context"
	"docksail/internal/config"
	"docksail/internal/dispatch"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/scenario"
	"docksail/internal/lab/simulation"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"sync"
	"time"
)

// Explorer draws days from one script: its fleet, tracks and dispatchers, with troubles of its own.
type Explorer struct {
	Base *scenario.Script
	Wrap func(n int) func(dispatch.Module) dispatch.Module // for tests
}

// Find is a day that breaks a rule, or panics.
type Find struct {
	Seed   uint64
	Script *scenario.Script // the least that was found
	Broken []invariants.Violation
	Panic  string // of the program
	Plays  int    // that the making small took
}

const (
	mostTroubles = 8
	longest      = 20 * time.Second // of a drawn day's load
)

// Draw makes a day of a seed.
func (x *Explorer) Draw(seed uint64) *scenario.Script {
	rng := rand.New(rand.NewPCG(seed, 0x6578706c6f7265))
	s := *x.Base
	s.Seed, s.For = int64(seed>>1), time.Duration(2+rng.IntN(int(longest/time.Second)-1))*time.Second
	s.Rate *= 0.25 + 1.5*rng.Float64()
	s.Troubles = nil
	kinds := scenario.Kinds()
	total := len(s.Hosts())
	for range 1 + rng.IntN(mostTroubles) {
		t := scenario.Trouble{
			Kind: kinds[rng.IntN(len(kinds))], At: time.Duration(rng.Int64N(int64(s.For))).Truncate(time.Millisecond),
			For: time.Duration(50+rng.IntN(6000)) * time.Millisecond,
		}
		for range 1 + rng.IntN(3) {
			if h := 1 + rng.IntN(total); !slices.Contains(t.Hosts, h) {
				t.Hosts = append(t.Hosts, h)
			}
		}
		slices.Sort(t.Hosts)
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
			t.Track = s.Load[rng.IntN(len(s.Load))].Name
		case "cut":
			t.Hosts, t.Zone = nil, s.Fleet[rng.IntN(len(s.Fleet))].Zone
		case "dispatcher":
			t.Hosts, t.Number = nil, rng.IntN(len(s.Dispatchers))
		case "lister":
			t.Hosts = nil
		}
		s.Troubles = append(s.Troubles, t)
	}
	return &s
}

// play gives what a day breaks.
func (x *Explorer) play(ctx context.Context, s *scenario.Script) (broken []invariants.Violation, panicked string, err error) {
	defer func() {
		if p := recover(); p != nil {
			stack := make([]byte, 4<<10)
			panicked = fmt.Sprintf("%v\n%s", p, stack[:runtime.Stack(stack, false)])
		}
	}()
	day, err := simulation.Open(s)
	if err != nil {
		return nil, "", err
	}
	day.Wrap = x.Wrap
	rep, err := day.Play(ctx)
	if err != nil {
		return nil, "", err
	}
	broken = rep.Violations
	if rep.Counts.InvalidDecisions > 0 {
		broken = append(broken, invariants.Violation{What: fmt.Sprintf("the account of a job refused %d decisions", rep.Counts.InvalidDecisions)})
	}
	for name, sum := range rep.Sums {
		if sum.Wrong > 0 {
			broken = append(broken, invariants.Violation{What: fmt.Sprintf("%d answers of track %s were not whole", sum.Wrong, name)})
		}
	}
	return broken, "", nil
}

// Explore plays the days of so many seeds from one on, several at a time, and gives those that break a rule, made
// small, by their seeds. It ends early with its context; tried tells how many it played.
func (x *Explorer) Explore(ctx context.Context, first uint64, n int, found func(*Find)) (tried int, err error) {
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
				s := x.Draw(first + uint64(i))
				broken, panicked, e := x.play(ctx, s)
				if e == nil && (len(broken) > 0 || panicked != "") {
					f := &Find{Seed: first + uint64(i), Script: s, Broken: broken, Panic: panicked}
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
func (x *Explorer) shrink(ctx context.Context, f *Find) {
	rule := -1
	if len(f.Broken) > 0 {
		rule = f.Broken[0].Rule
	}
	try := func(change func(s *scenario.Script)) bool {
		s := *f.Script
		s.Troubles = slices.Clone(s.Troubles)
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
		f.Script, f.Broken, f.Panic = &s, broken, panicked
		return true
	}
	for again := true; again; {
		again = false
		for i := 0; i < len(f.Script.Troubles); {
			if try(func(s *scenario.Script) { s.Troubles = slices.Delete(s.Troubles, i, i+1) }) {
				again = true
			} else {
				i++
			}
		}
		for i := range f.Script.Troubles {
			hosts := f.Script.Troubles[i].Hosts
			for k := 0; len(hosts) > 1 && k < len(hosts); {
				if try(func(s *scenario.Script) { s.Troubles[i].Hosts = slices.Delete(slices.Clone(hosts), k, k+1) }) {
					hosts, again = f.Script.Troubles[i].Hosts, true
				} else {
					k++
				}
			}
			if f.Script.Troubles[i].For > 100*time.Millisecond && try(func(s *scenario.Script) { s.Troubles[i].For /= 2 }) {
				again = true
			}
		}
		if f.Script.For > time.Second && try(func(s *scenario.Script) { s.For = s.For * 3 / 4 }) {
			again = true
		}
		if f.Script.Rate > 1 && try(func(s *scenario.Script) { s.Rate *= 0.75 }) {
			again = true
		}
		last := len(f.Script.Dispatchers) - 1
		if last > 0 && !slices.ContainsFunc(f.Script.Troubles, func(t scenario.Trouble) bool { return t.Number >= last }) &&
			try(func(s *scenario.Script) { s.Dispatchers = s.Dispatchers[:last] }) {
			again = true
		}
	}
}

// Text is a find as a script's file has it, with what it breaks as its comment.
func (f *Find) Text() ([]byte, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "// Found by lab explore with seed %d.\n", f.Seed)
	for i, v := range f.Broken {
		if i == 3 {
			fmt.Fprintf(&b, "// and %d more\n", len(f.Broken)-i)
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
