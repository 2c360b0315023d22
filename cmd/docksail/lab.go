package main

import (
	"context"
	"docksail/internal/lab/baselinepolicy"
	"docksail/internal/lab/benchmark"
	"docksail/internal/lab/calibrate"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/experiment"
	"docksail/internal/lab/faultsearch"
	"docksail/internal/lab/loadgen"
	"docksail/internal/lab/report"
	"docksail/internal/lab/scenario"
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
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "docksail/api/docksail/v1"
)

func labCommand() *cobra.Command {
	lab := &cobra.Command{Use: "lab", Short: "Play with stand-ins on loopback"}
	lab.AddCommand(demoCommand(), drillCommand(), simCommand(), runCommand(), exploreCommand(), reportCommand(), loadCommand(), calibrateCommand(), importCommand(), measureCommand(), enginesCommand(), baselineCommand(), modelServerCommand(), soakCommand())
	return lab
}

func demoCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "demo",
		Short: "Start stand-in engines, a lister and a dispatcher, and stream one answer",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			out := c.OutOrStdout()
			log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelWarn}))
			s := scenario.Demo()
			stage, err := scenario.Start(s, log)
			if err != nil {
				return err
			}
			defer stage.Close()
			fmt.Fprintf(out, "dispatcher at %s, %d stand-in engines\n", stage.Addresses()[0], len(stage.Engines))
			ctx, cancel := context.WithTimeout(c.Context(), 10*time.Second)
			defer cancel()
			conn, err := grpc.NewClient(stage.Addresses()[0], grpc.WithTransportCredentials(insecure.NewCredentials()))
			if err != nil {
				return err
			}
			defer conn.Close()
			begin := time.Now()
			stream, err := pb.NewGenerationClient(conn).Generate(ctx, &pb.GenerateRequest{
				Track:        s.Classes[0].Name,
				PromptTokens: 1200, MaxTokens: 40, Session: "demo", Label: "demo", Prompt: []byte("Is my shift confirmed?"),
			})
			if err != nil {
				return err
			}
			n := 0
			for {
				tok, err := stream.Recv()
				if err == io.EOF {
					break
				}
				if err != nil {
					return err
				}
				if n == 0 {
					fmt.Fprintf(out, "first token after %v\n", time.Since(begin).Round(time.Millisecond))
				}
				for _, t := range tok.Tokens {
					fmt.Fprintf(out, "%d ", t)
					n++
				}
			}
			fmt.Fprintf(out, "\nhonoured: %d tokens in %v\n", n, time.Since(begin).Round(time.Millisecond))
			return nil
		},
	}
}

func drillCommand() *cobra.Command {
	var level slog.Level
	var entries string
	c := &cobra.Command{
		Use:   "drill SCRIPT",
		Short: "Play a scripted day in real time and judge the rules from what passed on the sockets",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			log := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
			stage, err := scenario.Start(s, log)
			if err != nil {
				return err
			}
			defer stage.Close()
			rep, err := stage.Run(c.Context())
			if err != nil {
				return err
			}
			rep.Print(c.OutOrStdout())
			if entries != "" {
				if err := writeEntries(entries, rep.Entries); err != nil {
					return err
				}
			}
			if n := len(rep.Violations); n > 0 {
				return fmt.Errorf("%d broken rules", n)
			}
			return nil
		},
	}
	c.Flags().TextVar(&level, "log", slog.LevelWarn, "least level of log lines: debug, info, warn, error")
	c.Flags().StringVar(&entries, "entries", "", "write what passed on the sockets to this file")
	return c
}

func simCommand() *cobra.Command {
	var entries, policy string
	var sample time.Duration
	var seed int64
	var sums bool
	c := &cobra.Command{
		Use:   "sim SCRIPT",
		Short: "Play a scripted day in simulated time, with real dispatchers, and judge the rules",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			if c.Flags().Changed("seed") {
				s.Seed = seed
			}
			rep, err := experiment.Simulate(c.Context(), s, policy, sample)
			if err != nil {
				return err
			}
			if entries != "" {
				if err := writeEntries(entries, rep.Entries); err != nil {
					return err
				}
			}
			if sums {
				if err := json.NewEncoder(c.OutOrStdout()).Encode(experiment.Summarize(&rep.Report)); err != nil {
					return err
				}
			} else {
				rep.Print(c.OutOrStdout())
				fmt.Fprintf(c.OutOrStdout(), "simulated %v with seed %d in %v, %d turns of loops\n", rep.Simulated, s.Seed, rep.Elapsed.Round(time.Millisecond), rep.LoopIterations)
			}
			if n := len(rep.Violations); n > 0 {
				return fmt.Errorf("%d broken rules", n)
			}
			return nil
		},
	}
	c.Flags().StringVar(&entries, "entries", "", "write what passed on the sockets to this file")
	c.Flags().Int64Var(&seed, "seed", 0, "in place of the script's")
	c.Flags().StringVar(&policy, "policy", "", "a textbook policy in the module's place: "+strings.Join(baselinepolicy.Names, ", "))
	c.Flags().DurationVar(&sample, "sample", 0, "write the hosts' figures into the entries so often; 0 = never")
	c.Flags().BoolVar(&sums, "sums", false, "print what it came to as JSON")
	return c
}

func runCommand() *cobra.Command {
	var picture string
	c := &cobra.Command{
		Use:   "run EXPERIMENT",
		Short: "Compare variants of a day in simulated time, paired by seed",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			e, err := experiment.Load(args[0])
			if err != nil {
				return err
			}
			rs, err := e.Run(c.Context(), func(done, of int) { fmt.Fprintf(os.Stderr, "\r%d of %d plays", done, of) })
			fmt.Fprintln(os.Stderr)
			if err != nil {
				return err
			}
			experiment.PrintResults(c.OutOrStdout(), rs)
			if picture != "" {
				return experiment.PlotResults(rs, picture)
			}
			return nil
		},
	}
	c.Flags().StringVar(&picture, "plot", "", "draw the payoff that each variant kept into this PNG")
	return c
}

func exploreCommand() *cobra.Command {
	var first uint64
	var seeds int
	var within time.Duration
	var into string
	c := &cobra.Command{
		Use:   "explore SCRIPT",
		Short: "Play random days of a script's fleet in simulated time, look for broken rules and make what breaks one small",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := context.WithTimeout(c.Context(), within)
			defer cancel()
			var bad error
			finds := 0
			x := faultsearch.Searcher{Base: s}
			tried, err := x.Search(ctx, first, seeds, func(f *faultsearch.Finding) {
				finds++
				name := filepath.Join(into, fmt.Sprintf("found-%d.json", f.Seed))
				text, err := f.Text()
				if err == nil {
					err = os.WriteFile(name, text, 0o644)
				}
				bad = errors.Join(bad, err)
				fmt.Fprintf(c.OutOrStdout(), "seed %d: %v%s\n  %d troubles in %v, after %d plays; replay with: docksail lab sim %s\n", f.Seed, f.Violations, f.Panic,
					len(f.Script.Faults), f.Script.Duration, f.Plays, name)
			})
			if err = errors.Join(err, bad); err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d days played, from seed %d; %d break a rule\n", tried, first, finds)
			if finds > 0 {
				return fmt.Errorf("%d days break a rule", finds)
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&first, "first", 1, "first seed")
	c.Flags().IntVar(&seeds, "seeds", 1000, "how many seeds")
	c.Flags().DurationVar(&within, "within", 10*time.Minute, "most time to take")
	c.Flags().StringVar(&into, "into", ".", "directory for the scripts of what is found")
	return c
}

func reportCommand() *cobra.Command {
	var into string
	c := &cobra.Command{
		Use:   "report ENTRIES...",
		Short: "Draw the entries of runs, side by side, as one HTML page and PNG plots",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			var runs []report.Run
			for _, name := range args {
				f, err := os.Open(name)
				if err != nil {
					return err
				}
				es, err := eventlog.Read(f)
				f.Close()
				if err != nil && len(es) == 0 {
					return fmt.Errorf("%s: %w", name, err)
				} else if err != nil { // its writer was killed: what is whole is drawn
					fmt.Fprintf(os.Stderr, "%s: %v; the %d entries before it are drawn\n", name, err, len(es))
				}
				runs = append(runs, report.Run{Name: strings.TrimSuffix(filepath.Base(name), filepath.Ext(name)), Entries: es})
			}
			return report.Write(into, runs)
		},
	}
	c.Flags().StringVar(&into, "into", "report", "directory of the page and the plots")
	return c
}

func loadCommand() *cobra.Command {
	p := loadgen.Config{}
	c := &cobra.Command{
		Use:   "load SCRIPT",
		Short: "Send a script's load to running dispatchers, open loop, with times from when each job was due",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := scenario.Load(args[0])
			if err != nil {
				return err
			}
			if p.Script = s; p.Duration == 0 {
				p.Duration = s.Duration
			}
			tracks, err := loadgen.Run(c.Context(), p, func(at time.Duration, ended, honoured int64) {
				fmt.Fprintf(os.Stderr, "\r%4.0f s: %d jobs ended, %d honoured", at.Seconds(), ended, honoured)
			})
			fmt.Fprintln(os.Stderr)
			if err != nil {
				return err
			}
			return loadgen.Print(c.OutOrStdout(), tracks)
		},
	}
	c.Flags().StringSliceVar(&p.Targets, "target", []string{"127.0.0.1:7000"}, "addresses of dispatchers")
	c.Flags().StringVar(&p.Pattern, "pattern", "poisson", "how sessions come: "+strings.Join(loadgen.Patterns, ", "))
	c.Flags().StringVar(&p.RecordFile, "record", "", "entries whose sessions' times are played, of the pattern recorded")
	c.Flags().DurationVar(&p.Duration, "for", 0, "how long; 0 = the script's")
	c.Flags().IntVar(&p.ConnsPerDispatcher, "connections", 2, "to each dispatcher")
	return c
}

func calibrateCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "calibrate",
		Short: "Set the timings of the stand-in hosts, on the clock, beside what their model intends",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			lines, err := calibrate.Run(c.Context())
			if err != nil {
				return err
			}
			return calibrate.PrintComparisons(c.OutOrStdout(), lines)
		},
	}
}

// writeEntries writes what passed to a file.
func writeEntries(name string, es []eventlog.Entry) error {
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err := eventlog.Write(f, es); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

func measureCommand() *cobra.Command {
	p := benchmark.Config{}
	c := &cobra.Command{
		Use:   "measure",
		Short: "Measure a dispatcher beside the plain relay and no relay: CPU, added time, memory",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			p.Binary, p.Progress = self, c.OutOrStdout()
			return benchmark.Run(c.Context(), p)
		},
	}
	c.Flags().IntSliceVar(&p.Streams, "streams", []int{100, 1000, 5000}, "streams at once, one pass for each")
	c.Flags().DurationVar(&p.TokenInterval, "gap", 50*time.Millisecond, "time between the tokens of a stream")
	c.Flags().IntVar(&p.Tokens, "tokens", 60, "most tokens of an answer")
	c.Flags().DurationVar(&p.Duration, "for", 15*time.Second, "length of a pass")
	c.Flags().IntVar(&p.WaitingRequests, "waiting", 1000, "waiting jobs for the memory figure")
	c.Flags().IntVar(&p.IdleConns, "idle", 1000, "idle connections for the memory figure")
	return c
}

func enginesCommand() *cobra.Command {
	var gap time.Duration
	c := &cobra.Command{
		Use:    "engines",
		Short:  "Run stand-in engines and a lister until the input ends",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return benchmark.RunEngines(gap, c.InOrStdin(), c.OutOrStdout())
		},
	}
	c.Flags().DurationVar(&gap, "gap", 50*time.Millisecond, "time between the tokens of a stream")
	return c
}

func baselineCommand() *cobra.Command {
	var f benchmark.Addresses
	c := &cobra.Command{
		Use:    "baseline",
		Short:  "Run the plain relay until the input ends",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			return benchmark.RunBaselineRelay(f, c.InOrStdin(), c.OutOrStdout())
		},
	}
	c.Flags().StringArrayVar(&f.PrefillServers, "reader", nil, "address of a reader")
	c.Flags().StringArrayVar(&f.DecodeServers, "writer", nil, "address of a writer")
	return c
}

func importCommand() *cobra.Command {
	var hosts, dispatchers int
	c := &cobra.Command{
		Use:   "import DAY.json",
		Short: "Turn a bench's day, scaled down, into a script for drill",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			s, cannot, err := scenario.Import(text, hosts, dispatchers)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			for _, what := range cannot {
				fmt.Fprintf(c.ErrOrStderr(), "cannot be played: %s\n", what)
			}
			b, err := s.Encode()
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(b)
			return err
		},
	}
	c.Flags().IntVar(&hosts, "hosts", 12, "about how many hosts")
	c.Flags().IntVar(&dispatchers, "dispatchers", 3, "how many dispatchers at most")
	return c
}
