package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"
	"time"

	"docksail/internal/dispatch"
	"docksail/internal/lab/baselinepolicy"
	"docksail/internal/lab/scenario"
	"docksail/internal/lab/simulation"
)

// Simulate plays a script in simulated time, by a baseline policy if one is named. If sampleInterval is above 0, the
// servers' figures are logged at that interval.
func Simulate(
	ctx context.Context, script *scenario.Script, policy string, sampleInterval time.Duration,
) (*simulation.Report, error) {
	sim, err := simulation.New(script)
	if err != nil {
		return nil, err
	}
	sim.SampleInterval = sampleInterval
	if policy != "" {
		if _, err := baselinepolicy.New(policy, 0, sim.ServerLoad); err != nil {
			return nil, err
		}
		sim.WrapModule = func(n int) func(dispatch.Module) dispatch.Module {
			return func(dispatch.Module) dispatch.Module {
				m, err := baselinepolicy.New(policy, uint64(script.Seed)<<8|uint64(n), sim.ServerLoad)
				if err != nil {
					panic(err) // the name was checked above
				}
				return m
			}
		}
	}
	return sim.Run(ctx)
}

// play is one run of an experiment.
type play struct{ variant, seedIndex int }

// runner plays the runs of an experiment, several at a time.
type runner struct {
	experiment *Experiment
	script     []byte
	onProgress func(done, of int) // nil = none

	mu      sync.Mutex
	plays   []play // all of them, in the order in which they start
	started int
	done    int
	results []Result
}

// Run plays all variants on all seeds, several at a time. onProgress, if not nil, is called after each run.
func (e *Experiment) Run(ctx context.Context, onProgress func(done, of int)) ([]Result, error) {
	script, err := os.ReadFile(e.Script)
	if err != nil {
		return nil, err
	}
	r := &runner{experiment: e, script: script, onProgress: onProgress, results: make([]Result, len(e.Variants))}
	for v := range e.Variants {
		r.results[v] = Result{e.Variants[v], make([]Summary, e.Seeds)}
	}
	for seed := range e.Seeds {
		for v := range e.Variants {
			r.plays = append(r.plays, play{v, seed})
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var workers sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), len(r.plays)) {
		workers.Go(func() {
			if err := r.work(ctx); err != nil {
				cancel(err)
			}
		})
	}
	workers.Wait()
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	return r.results, nil
}

// work plays runs until there is none left, one fails or the context is canceled.
func (r *runner) work(ctx context.Context) error {
	for ctx.Err() == nil {
		p, ok := r.next()
		if !ok {
			return nil
		}
		variant, seed := &r.experiment.Variants[p.variant], r.experiment.FirstSeed+int64(p.seedIndex)
		summary, err := variant.play(ctx, r.experiment.Script, r.script, seed)
		if err != nil {
			return fmt.Errorf("variant %q, seed %d: %w", variant.Name, seed, err)
		}
		r.finish(p, summary)
	}
	return nil
}

// next returns the next run to play. It reports false if all have started.
func (r *runner) next() (play, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started == len(r.plays) {
		return play{}, false
	}
	r.started++
	return r.plays[r.started-1], true
}

// finish records the outcome of a run.
func (r *runner) finish(p play, summary Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[p.variant].Runs[p.seedIndex] = summary
	r.done++
	if r.onProgress != nil {
		r.onProgress(r.done, len(r.plays))
	}
}

// play plays the variant on a seed. scriptName is for messages.
func (v *Variant) play(ctx context.Context, scriptName string, script []byte, seed int64) (Summary, error) {
	script, err := Override(script, v.Overrides)
	if err != nil {
		return Summary{}, err
	}
	parsed, err := scenario.Parse(scriptName+" ("+v.Name+")", script)
	if err != nil {
		return Summary{}, err
	}
	if v.Program != "" {
		return v.playByProgram(ctx, script, seed)
	}
	parsed.Seed = seed
	report, err := Simulate(ctx, parsed, v.Policy, 0)
	if err != nil {
		return Summary{}, err
	}
	return Summarize(&report.Report), nil
}

// playByProgram has another build play the script.
func (v *Variant) playByProgram(ctx context.Context, script []byte, seed int64) (Summary, error) {
	file, err := os.CreateTemp("", "docksail-trial")
	if err != nil {
		return Summary{}, err
	}
	defer os.Remove(file.Name())
	if _, err := file.Write(script); err != nil {
		return Summary{}, err
	}
	if err := file.Close(); err != nil {
		return Summary{}, err
	}
	cmd := exec.CommandContext(ctx, v.Program, "lab", "sim", file.Name(),
		"--seed", strconv.FormatInt(seed, 10), "--sums")
	out, runErr := cmd.Output()
	// A run that violated invariants prints its figures and ends with an error: only the figures count.
	var summary Summary
	if err := json.Unmarshal(out, &summary); err != nil {
		if runErr != nil {
			err = runErr
		}
		return summary, fmt.Errorf("%s printed no summary: %w", v.Program, err)
	}
	return summary, nil
}
