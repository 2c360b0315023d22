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

// Simulate runs a script in simulated time. If policy is not empty, the named baseline policy replaces the decision
// module. If sampleInterval is above 0, the load of the servers is logged at that interval.
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

// trial is one run of an experiment: a variant with a seed, both by index.
type trial struct{ variant, seedIndex int }

// runner runs the trials of an experiment concurrently.
type runner struct {
	experiment *Experiment
	script     []byte
	onProgress func(done, total int) // may be nil

	mu      sync.Mutex
	trials  []trial  // in the order in which they start
	started int      // number of trials started
	done    int      // number of trials done
	results []Result // by variant
}

// Run runs all variants with all seeds, several at a time. It calls onProgress, which may be nil, after each run.
func (e *Experiment) Run(ctx context.Context, onProgress func(done, total int)) ([]Result, error) {
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
			r.trials = append(r.trials, trial{v, seed})
		}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	var workers sync.WaitGroup
	for range min(runtime.GOMAXPROCS(0), len(r.trials)) {
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

// work runs trials until none is left, one fails or the context is canceled.
func (r *runner) work(ctx context.Context) error {
	for ctx.Err() == nil {
		t, ok := r.next()
		if !ok {
			return nil
		}
		variant, seed := &r.experiment.Variants[t.variant], r.experiment.FirstSeed+int64(t.seedIndex)
		summary, err := variant.run(ctx, r.experiment.Script, r.script, seed)
		if err != nil {
			return fmt.Errorf("variant %q, seed %d: %w", variant.Name, seed, err)
		}
		r.finish(t, summary)
	}
	return nil
}

// next returns the next trial to run, or false if all have started.
func (r *runner) next() (trial, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.started == len(r.trials) {
		return trial{}, false
	}
	r.started++
	return r.trials[r.started-1], true
}

// finish records the result of a trial.
func (r *runner) finish(t trial, summary Summary) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.results[t.variant].Runs[t.seedIndex] = summary
	r.done++
	if r.onProgress != nil {
		r.onProgress(r.done, len(r.trials))
	}
}

// run runs the variant with a seed. scriptName is used in error messages.
func (v *Variant) run(ctx context.Context, scriptName string, script []byte, seed int64) (Summary, error) {
	script, err := Override(script, v.Overrides)
	if err != nil {
		return Summary{}, err
	}
	parsed, err := scenario.Parse(scriptName+" ("+v.Name+")", script)
	if err != nil {
		return Summary{}, err
	}
	if v.Program != "" {
		return v.runWithProgram(ctx, script, seed)
	}
	parsed.Seed = seed
	report, err := Simulate(ctx, parsed, v.Policy, 0)
	if err != nil {
		return Summary{}, err
	}
	return Summarize(&report.Report), nil
}

// runWithProgram runs the script with the program of the variant.
func (v *Variant) runWithProgram(ctx context.Context, script []byte, seed int64) (Summary, error) {
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
	// A run that violates invariants exits with an error after printing its summary, which is still used.
	var summary Summary
	if err := json.Unmarshal(out, &summary); err != nil {
		if runErr != nil {
			err = runErr
		}
		return summary, fmt.Errorf("%s printed no summary: %w", v.Program, err)
	}
	return summary, nil
}
