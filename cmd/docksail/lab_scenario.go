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

const entriesUsage = "file to which the recorded events of all connections are written"

// scenarioCommand returns the command scenario, which runs a scenario in real time.
func scenarioCommand() *cobra.Command {
	var entries string
	c := &cobra.Command{
		Use:   "scenario SCRIPT",
		Short: "Run a scenario in real time and check the invariants on the recorded events of its connections",
		Args:  cobra.ExactArgs(1),
	}
	level := addLogLevelFlag(c, slog.LevelWarn)
	c.Flags().StringVar(&entries, "entries", "", entriesUsage)
	c.RunE = func(c *cobra.Command, args []string) error {
		report, err := runScenario(c.Context(), args[0], newTextLogger(*level))
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

// runScenario runs the scenario in a file until it ends or the context does.
func runScenario(ctx context.Context, file string, log *slog.Logger) (*scenario.Report, error) {
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

// simulateCommand returns the command simulate, which runs a scenario in simulated time.
func simulateCommand() *cobra.Command {
	var entries, policyName string
	var sampleInterval time.Duration
	var seed int64
	var asJSON bool
	c := &cobra.Command{
		Use:   "simulate SCRIPT",
		Short: "Run a scenario in simulated time with real dispatchers and check the invariants",
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
			if err := printSimulation(c.OutOrStdout(), report, script.Seed, asJSON); err != nil {
				return err
			}
			return violationError(report.Violations)
		},
	}
	c.Flags().StringVar(&entries, "entries", "", entriesUsage)
	c.Flags().Int64Var(&seed, "seed", 0, "seed in place of the script's")
	c.Flags().StringVar(&policyName, "policy", "",
		"baseline policy in place of docksail's: "+strings.Join(baselinepolicy.Names, ", "))
	c.Flags().DurationVar(&sampleInterval, "sample", 0,
		"interval at which the servers' load is added to the entries; 0 = never")
	c.Flags().BoolVar(&asJSON, "sums", false, "print the summary as JSON")
	return c
}

// printSimulation prints a report as text or, if asJSON is set, its summary as JSON.
func printSimulation(w io.Writer, report *simulation.Report, seed int64, asJSON bool) error {
	if asJSON {
		return json.NewEncoder(w).Encode(experiment.Summarize(&report.Report))
	}
	report.Print(w)
	_, err := fmt.Fprintf(w, "simulated %v with seed %d in %v, %d iterations of event loops\n",
		report.Simulated, seed, report.Elapsed.Round(time.Millisecond), report.LoopIterations)
	return err
}

// experimentCommand returns the command experiment, which compares variants of a scenario.
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
	c.Flags().StringVar(&plot, "plot", "", "PNG file for a plot of each variant's share of the offered value")
	return c
}

// searchCommand returns the command search, which searches for scenarios that violate an invariant.
func searchCommand() *cobra.Command {
	var firstSeed uint64
	var seeds int
	var timeout time.Duration
	var directory string
	c := &cobra.Command{
		Use:   "search SCRIPT",
		Short: "Run a script with random faults in simulated time and minimize the scenarios that violate an invariant",
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
			runs, err := searcher.Search(ctx, firstSeed, seeds, findings.write)
			if err = errors.Join(err, findings.err); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d scenarios run, from seed %d; %d violate an invariant\n",
				runs, firstSeed, findings.count)
			if findings.count > 0 {
				return fmt.Errorf("%d scenarios violate an invariant", findings.count)
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&firstSeed, "first", 1, "first seed")
	c.Flags().IntVar(&seeds, "seeds", 1000, "number of seeds")
	c.Flags().DurationVar(&timeout, "within", 10*time.Minute, "time limit of the search")
	c.Flags().StringVar(&directory, "into", ".", "directory for the scripts that violate an invariant")
	return c
}

// findingWriter writes each finding as a script to a directory and prints a line about it.
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
		f.Seed, f.Violations, f.Panic, len(f.Script.Faults), f.Script.Duration, f.Runs, name)
}

// importCommand returns the command import, which converts a day of the bench into a scenario.
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
			for _, feature := range unsupported {
				fmt.Fprintf(c.ErrOrStderr(), "not supported by scenarios: %s\n", feature)
			}
			encoded, err := script.Encode()
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(encoded)
			return err
		},
	}
	c.Flags().IntVar(&servers, "hosts", 12, "approximate number of servers")
	c.Flags().IntVar(&dispatchers, "dispatchers", 3, "maximum number of dispatchers")
	return c
}

// violationError returns an error if any invariant was violated.
func violationError(violations []invariants.Violation) error {
	if len(violations) == 0 {
		return nil
	}
	return fmt.Errorf("%d invariant violations", len(violations))
}

// writeEntries writes entries to a file. It does nothing if the name is empty.
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
