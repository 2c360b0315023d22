package main

import (
	"docksail/internal/lab/soak"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"
)

// modelServerCommand runs one stand-in model server of a soak.
func modelServerCommand() *cobra.Command {
	var name, role, ledger string
	c := &cobra.Command{
		Use:    "model-server",
		Short:  "Run a stand-in model server that speaks the platform's protocol, for a soak",
		Args:   cobra.NoArgs,
		Hidden: true,
		RunE: func(c *cobra.Command, _ []string) error {
			if role != "prefill" && role != "decode" {
				return fmt.Errorf("role %q: want prefill or decode", role)
			}
			s := soak.ModelServer{Name: name, Prefill: role == "prefill"}
			return s.Run(ledger, c.OutOrStdout())
		},
	}
	c.Flags().StringVar(&name, "name", "", "its name on the list")
	c.Flags().StringVar(&role, "role", "prefill", "prefill or decode")
	c.Flags().StringVar(&ledger, "ledger", "", "where it keeps its account")
	return c
}

// soakCommand runs soaks of real processes under random faults.
func soakCommand() *cobra.Command {
	var first uint64
	var seeds, most int
	var length time.Duration
	var folder, dispatcher string
	c := &cobra.Command{
		Use:   "soak",
		Short: "Run real dispatchers before stand-in servers under random faults and judge the rules",
		Long: "Each seed starts 10 to 40 processes on loopback: dispatchers as in service on the platform, stand-in model servers, and between them proxies\n" +
			"that hold, delay and cut connections. The same seed plays the same schedule of faults. A broken rule is reported with the trace of its request.",
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			self, err := os.Executable()
			if err != nil {
				return err
			}
			if dispatcher == "" {
				dispatcher = self
			}
			broken := 0
			for n := range seeds {
				seed := first + uint64(n)
				s := soak.Soak{Seed: seed, Length: length, Most: most, Folder: filepath.Join(folder, fmt.Sprint(seed)), Program: runs(self), Dispatcher: runs(dispatcher)}
				v, err := s.Run()
				if err != nil {
					return fmt.Errorf("seed %d: %w", seed, err)
				}
				fmt.Fprint(c.OutOrStdout(), v.Report())
				if v.Sound() != nil {
					broken++
				}
			}
			if broken > 0 {
				return fmt.Errorf("%d of %d seeds broke a rule", broken, seeds)
			}
			return nil
		},
	}
	c.Flags().Uint64Var(&first, "seed", 1, "the first seed")
	c.Flags().IntVar(&seeds, "seeds", 1, "how many seeds, one after another")
	c.Flags().IntVar(&most, "processes", 0, "processes at most; 0 = what the seed gives, 10 to 40")
	c.Flags().DurationVar(&length, "length", 10*time.Second, "of traffic and faults")
	c.Flags().StringVar(&dispatcher, "dispatcher", "", "program of the dispatchers, to try another build; empty = this one")
	c.Flags().StringVar(&folder, "logs", filepath.Join(os.TempDir(), "docksail-soak"), "folder for the dispatchers' logs")
	return c
}

// runs makes commands of a program.
func runs(program string) soak.CommandFunc {
	return func(args ...string) *exec.Cmd {
		c := exec.Command(program, args...)
		c.Env = os.Environ()
		return c
	}
}
