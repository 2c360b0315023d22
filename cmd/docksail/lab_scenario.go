package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"docksail/internal/lab/baselinepolicy"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/experiment"
	"docksail/internal/lab/faultsearch"
	"docksail/internal/lab/invariants"
	"docksail/internal/lab/scenario"
	"docksail/internal/lab/simulation"
)

const entriesUsage = "write what passed on the sockets to this file"

// scenarioCommand plays a scenario on the machine's clock.
func scenarioCommand() *cobra.Command {
	var entries string
	c := &cobra.Command{
		Use:   "scenario SCRIPT",
		Short: "Play a scenario in real time and check the invariants against what passed on the sockets",
		Args:  cobra.ExactArgs(1),
	}
	level := logFlag(c, slog.LevelWarn)
	c.Flags().StringVar(&entries, "entries", "", entriesUsage)
	c.RunE = func(c *cobra.Command, args []string) error {
		report, err := playScenario(c.Context(), args[0], newTextLogger(*level))
		if err != nil {
			return err
		}
		report.Print(c.OutOrStdout())
		if err := writeEntries(entries, report.Entries); err != nil {
			return err
		}
		return violationError(report.Violations)
	}
	return c
}

func playScenario(ctx context.Context, file string, log *slog.Logger) (*scenario.Report, error) {
	script, err := scenario.Load(file)
	if err != nil {
		return nil, err
	}
	deployment, err := scenario.Start(script, log)
	if err != nil {
		return nil, err
	}
	defer deployment.Close()
	return deployment.Run(ctx)
}

// simulateCommand plays a scenario in simulated time.
func simulateCommand() *cobra.Command {
	var entries, policyName string
	var sampleInterval time.Duration
	var seed int64
	var sums bool
	c := &cobra.Command{
		Use:   "simulate SCRIPT",
		Short: "Play a scenario in simulated time, with real dispatchers, and check the invariants",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			script, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				script.Seed = seed
			}
			report, err := experiment.Simulate(c.Context(), script, policyName, sampleInterval)
			if err != nil {
				return err
			}
			if err := writeEntries(entries, report.Entries); err != nil {
				return err
			}
			if err := printSimulation(c.OutOrStdout(), report, script.Seed, sums); err != nil {
				return err
			}
			return violationError(report.Violations)
		},
	}
	c.Flags().StringVar(&entries, "entries", "", entriesUsage)
	c.Flags().Int64Var(&seed, "seed", 0, "in place of the script's")
	c.Flags().StringVar(&policyName, "policy", "",
		"a textbook policy in place of docksail's: "+strings.Join(baselinepolicy.Names, ", "))
	c.Flags().DurationVar(&sampleInterval, "sample", 0,
		"write the servers' load into the entries at this interval; 0 = never")
	c.Flags().BoolVar(&sums, "sums", false, "print the summary as JSON")
	return c
}

// printSimulation writes a report for people, or its summary as JSON.
func printSimulation(w io.Writer, report *simulation.Report, seed int64, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(experiment.Summarize(&report.Report))
	}
	report.Print(w)
	_, err := fmt.Fprintf(w, "simulated %v with seed %d in %v, %d iterations of event loops\n",
		report.Simulated, seed, report.Elapsed.Round(time.Millisecond), report.LoopIterations)
	return err
}

// experimentCommand compares variants of a scenario.
func experimentCommand() *cobra.Command {
	var plot string
	c := &cobra.Command{
		Use:   "experiment EXPERIMENT",
		Short: "Compare variants of a scenario in simulated time, paired by seed",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			results, err := e.Run(c.Context(), func(done, total int) {
				fmt.Fprintf(os.Stderr, "\r%d of %d runs", done, total)
			})
			fmt.Fprintln(os.Stderr)
			if err != nil {
				return err
			}
			experiment.PrintResults(c.OutOrStdout(), results)
			if plot == "" {
				return nil
			}
			return experiment.PlotResults(results, plot)
		},
	}
	c.Flags().StringVar(&plot, "plot", "", "draw the share of the offered value that each variant earned into this PNG")
	return c
}

// searchCommand looks for scenarios that break an invariant.
func searchCommand() *cobra.Command {
	var firstSeed uint64
	var seeds int
	var timeout time.Duration
	var directory string
	c := &cobra.Command{
		Use:   "search SCRIPT",
		Short: "Play random faults against a script's servers in simulated time and minimize what breaks an invariant",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			script, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), timeout)
			defer cancel()
			findings := findingWriter{out: c.OutOrStdout(), directory: directory}
			searcher := faultsearch.Searcher{Base: script}
			played, err := searcher.Search(ctx, firstSeed, seeds, findings.write)
			if err = errors.Join(err, findings.err); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d scenarios played, from seed %d; %d break an invariant\n",
				played, firstSeed, findings.count)
			if findings.count > 0 {
				return fmt.Errorf("%d scenarios break an invariant", findings.count)
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&firstSeed, "first", 1, "first seed")
	c.Flags().IntVar(&seeds, "seeds", 1000, "how many seeds")
	c.Flags().DurationVar(&timeout, "within", 10*time.Minute, "longest time to search")
	c.Flags().StringVar(&directory, "into", ".", "directory for the scripts that break an invariant")
	return c
}

// findingWriter writes findings as scripts into a directory.
type findingWriter struct {
	out       io.Writer
	directory string
	count     int
	err       error
}

func (w *findingWriter) write(f *faultsearch.Finding) {
	w.count++
	name := filepath.Join(w.directory, fmt.Sprintf("found-%d.json", f.Seed))
	text, err := f.Encode()
	if err == nil {
		err = os.WriteFile(name, text, 0o644)
	}
	w.err = errors.Join(w.err, err)
	fmt.Fprintf(w.out, "seed %d: %v%s\n  %d faults in %v, after %d runs; replay with: docksail lab simulate %s\n",
		f.Seed, f.Violations, f.Panic, len(f.Script.Faults), f.Script.Duration, f.Plays, name)
}

// importCommand turns a day of the bench into a scenario.
func importCommand() *cobra.Command {
	var servers, dispatchers int
	c := &cobra.Command{
		Use:   "import DAY.json",
		Short: "Convert a day of the bench, scaled down, into a scenario",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			script, unsupported, err := scenario.Import(text, servers, dispatchers)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			for _, what := range unsupported {
				fmt.Fprintf(c.ErrOrStderr(), "cannot be played: %s\n", what)
			}
			encoded, err := script.Encode()
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(encoded)
			return err
		},
	}
	c.Flags().IntVar(&servers, "hosts", 12, "about how many servers")
	c.Flags().IntVar(&dispatchers, "dispatchers", 3, "how many dispatchers at most")
	return c
}

// violationError returns an error if any invariant was violated.
func violationError(violations []invariants.Violation) error {
	if len(violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d broken rules", len(violations))
}

// writeEntries writes entries to a file; an empty name writes none.
func writeEntries(name string, entries []eventlog.Entry) error {
	if name == "" {
		return nil
	}
	file, err := os.Create(name)
	if err != nil {
		return err
	}
	return errors.Join(eventlog.Write(file, entries), file.Close())
}
