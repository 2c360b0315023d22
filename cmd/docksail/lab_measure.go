package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"docksail/internal/lab/benchmark"
	"docksail/internal/lab/calibrate"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/loadgen"
	"docksail/internal/lab/report"
	"docksail/internal/lab/scenario"
)

// reportCommand returns the command report, which plots recorded runs.
func reportCommand() *cobra.Command {
	var directory string
	c := &cobra.Command{
		Use:   "report ENTRIES...",
		Short: "Plot the entries of runs side by side as one HTML page and PNG images",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			var runs []report.RunEntries
			for _, name := range args {
				run, err := readRun(name)
				if err != nil {
					return err
				}
				runs = append(runs, run)
			}
			return report.WriteReport(directory, runs)
		},
	}
	c.Flags().StringVar(&directory, "into", "report", "directory of the page and the plots")
	return c
}

// readRun reads the entries of a run. If the file ends in an incomplete entry, as after a crash of its writer, it
// prints a warning and returns the complete entries.
func readRun(name string) (report.RunEntries, error) {
	file, err := os.Open(name)
	if err != nil {
		return report.RunEntries{}, err
	}
	defer file.Close()
	entries, err := eventlog.Read(file)
	if err != nil && len(entries) == 0 {
		return report.RunEntries{}, fmt.Errorf("%s: %w", name, err)
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "%s: %v; the %d entries before the error are plotted\n", name, err, len(entries))
	}
	runName := strings.TrimSuffix(filepath.Base(name), filepath.Ext(name))
	return report.RunEntries{Name: runName, Entries: entries}, nil
}

// loadCommand returns the command load, which sends open-loop load to running dispatchers.
func loadCommand() *cobra.Command {
	cfg := loadgen.Config{}
	c := &cobra.Command{
		Use:   "load SCRIPT",
		Short: "Send a script's load to running dispatchers in an open loop; latencies count from the scheduled times",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			script, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			cfg.Script = script
			if cfg.Duration == 0 {
				cfg.Duration = script.Duration
			}
			results, err := loadgen.GenerateLoad(c.Context(), cfg, func(elapsed time.Duration, ended, served int64) {
				fmt.Fprintf(os.Stderr, "\r%4.0f s: %d requests ended, %d served", elapsed.Seconds(), ended, served)
			})
			fmt.Fprintln(os.Stderr)
			if err != nil {
				return err
			}
			return loadgen.PrintResults(c.OutOrStdout(), results)
		},
	}
	c.Flags().StringSliceVar(&cfg.Targets, "target", []string{"127.0.0.1:7000"}, "addresses of dispatchers")
	c.Flags().StringVar(&cfg.Pattern, "pattern", "poisson",
		"arrival pattern of sessions: "+strings.Join(loadgen.Patterns, ", "))
	c.Flags().StringVar(&cfg.RecordFile, "record", "",
		"file of entries whose session arrivals are replayed by the pattern recorded")
	c.Flags().DurationVar(&cfg.Duration, "for", 0, "duration of the load; 0 = the script's duration")
	c.Flags().IntVar(&cfg.ConnsPerDispatcher, "connections", 2, "connections to each dispatcher")
	return c
}

// calibrateCommand returns the command calibrate, which measures the stand-in engines.
func calibrateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "calibrate",
		Short: "Compare the measured timings of the stand-in engines with those of their model",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			comparisons, err := calibrate.Measure(c.Context())
			if err != nil {
				return err
			}
			return calibrate.PrintComparisons(c.OutOrStdout(), comparisons)
		},
	}
}

// benchmarkCommand returns the command benchmark, which compares a dispatcher with the baseline relay.
func benchmarkCommand() *cobra.Command {
	cfg := benchmark.Config{}
	c := &cobra.Command{
		Use:   "benchmark",
		Short: "Compare CPU, added latency and memory of a dispatcher, the baseline relay and no relay",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			binary, err := os.Executable()
			if err != nil {
				return err
			}
			cfg.Program, cfg.Output = binary, c.OutOrStdout()
			return benchmark.Measure(c.Context(), cfg)
		},
	}
	c.Flags().IntSliceVar(&cfg.Streams, "streams", []int{100, 1000, 5000}, "concurrent streams; one pass for each number")
	c.Flags().DurationVar(&cfg.TokenInterval, "gap", 50*time.Millisecond, "time between the tokens of a stream")
	c.Flags().IntVar(&cfg.Tokens, "tokens", 60, "length of the longest answer, in tokens")
	c.Flags().DurationVar(&cfg.Duration, "for", 15*time.Second, "duration of a pass")
	c.Flags().IntVar(&cfg.WaitingRequests, "waiting", 1000, "number of waiting requests when memory is measured")
	c.Flags().IntVar(&cfg.IdleConns, "idle", 1000, "number of idle connections when memory is measured")
	return c
}

// enginesCommand returns the command engines, which runs the stand-in engines of a benchmark in a separate process.
func enginesCommand() *cobra.Command {
	var interval time.Duration
	c := &cobra.Command{
		Use:    "engines",
		Short:  "Run stand-in engines and discovery until standard input ends",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return benchmark.RunEngines(interval, c.InOrStdin(), c.OutOrStdout())
		},
	}
	c.Flags().DurationVar(&interval, "gap", 50*time.Millisecond, "time between the tokens of a stream")
	return c
}

// baselineRelayCommand returns the command baseline-relay, which runs the relay of a benchmark in a separate process.
func baselineRelayCommand() *cobra.Command {
	var addresses benchmark.Addresses
	c := &cobra.Command{
		Use:    "baseline-relay",
		Short:  "Run the baseline relay until standard input ends",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return benchmark.RunBaselineRelay(addresses, c.InOrStdin(), c.OutOrStdout())
		},
	}
	c.Flags().StringArrayVar(&addresses.PrefillServers, "reader", nil, "address of a prefill server")
	c.Flags().StringArrayVar(&addresses.DecodeServers, "writer", nil, "address of a decode server")
	return c
}
