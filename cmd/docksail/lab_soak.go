package main

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"docksail/internal/lab/soak"
)

// modelServerCommand returns the command model-server, which runs one stand-in model server of a soak.
func modelServerCommand() *cobra.Command {
	var name, role, oracle string
	c := &cobra.Command{
		Use:    "model-server",
		Short:  "Run a stand-in model server that speaks the platform's protocol, for a soak",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			if role != "prefill" && role != "decode" {
				return fmt.Errorf("role is %q, must be prefill or decode", role)
			}
			server := soak.ModelServer{Name: name, IsPrefill: role == "prefill"}
			return server.Serve(oracle, c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&name, "name", "", "name of the server on the endpoint list")
	c.Flags().StringVar(&role, "role", "prefill", "role of the server: prefill or decode")
	c.Flags().StringVar(&oracle, "ledger", "", "address of the soak's oracle, to which the server reports")
	return c
}

// soakOptions are the flags of a soak.
type soakOptions struct {
	firstSeed    uint64
	seeds        int
	maxProcesses int
	length       time.Duration
	dispatcher   string // program of the dispatchers; empty = this program
	logs         string // directory of the dispatchers' logs
}

// soakCommand returns the command soak, which runs soaks of real processes under random faults.
func soakCommand() *cobra.Command {
	options := soakOptions{}
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run real dispatchers and stand-in servers under random faults and check the invariants",
		Long: `Each seed starts 10 to 40 processes on loopback: dispatchers as in service on the platform, stand-in model
servers, and proxies between them that block, delay and close connections. The same seed has the same schedule of
faults. Each violation of an invariant is reported with the trace of its request.`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error { return runSoaks(c.OutOrStdout(), options) },
	}
	c.Flags().Uint64Var(&options.firstSeed, "seed", 1, "first seed")
	c.Flags().IntVar(&options.seeds, "seeds", 1, "number of seeds, run one after another")
	c.Flags().IntVar(&options.maxProcesses, "processes", 0, "maximum number of processes; 0 = 10 to 40, by the seed")
	c.Flags().DurationVar(&options.length, "length", 10*time.Second, "duration of traffic and faults")
	c.Flags().StringVar(&options.dispatcher, "dispatcher", "",
		"program of the dispatchers, to test another build; empty = this program")
	c.Flags().StringVar(&options.logs, "logs", filepath.Join(os.TempDir(), "docksail-soak"),
		"directory for the dispatchers' logs")
	return c
}

// runSoaks runs one soak for each seed and prints the verdicts. It returns an error if a soak violated an invariant.
func runSoaks(w io.Writer, options soakOptions) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	dispatcher := options.dispatcher
	if dispatcher == "" {
		dispatcher = self
	}
	failed := 0
	for n := range options.seeds {
		seed := options.firstSeed + uint64(n)
		run := soak.Soak{
			Seed: seed, Duration: options.length, MaxProcesses: options.maxProcesses,
			LogDirectory: filepath.Join(options.logs, strconv.FormatUint(seed, 10)),
			Program:      commandFunc(self), DispatcherProgram: commandFunc(dispatcher),
		}
		verdict, err := run.Run()
		if err != nil {
			return fmt.Errorf("seed %d: %w", seed, err)
		}
		fmt.Fprint(w, verdict.Details())
		if verdict.Err() != nil {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds violated an invariant", failed, options.seeds)
	}
	return nil
}

// commandFunc returns a function that creates commands that run a program with the given arguments.
func commandFunc(program string) soak.CommandFunc {
	return func(args ...string) *exec.Cmd {
		c := exec.Command(program, args...)
		c.Env = os.Environ()
		return c
	}
}
