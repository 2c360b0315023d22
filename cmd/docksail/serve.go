package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"docksail/internal/dispatch"
	"docksail/internal/setup"
)

func serveCommand() *cobra.Command {
	var level slog.Level
	var every time.Duration
	c := &cobra.Command{
		Use:   "serve FILE",
		Short: "Run a dispatcher by its settings",
		Long: "Run a dispatcher by its settings. SIGTERM and SIGINT drain it: jobs in hand are finished within the\n" +
			"settings' drain_within, then it exits. A second signal ends it at once.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := setup.Load(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			beside := dispatch.LogBeside(ctx, slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
			log := slog.New(beside)
			r, err := dispatch.Run(s, log, nil)
			if err != nil {
				return err
			}
			log.Info("serving", "at", r.Addr, "zone", s.Zone, "number", s.Number, "of", s.Count)
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			tick := time.NewTicker(every)
			defer tick.Stop()
			asked := false
			for {
				select {
				case <-tick.C:
					r.Ask(func(d *dispatch.Dispatcher) {
						waiting, flows, tenants := d.Queue()
						log.Info("counts", "door_waiting", waiting, "door_flows", flows, "door_tenants", tenants, "in_hand", d.InHand(), "clients", d.Clients(), "counts", d.Counts,
							"door", d.Door(), "log_lost", beside.Lost())
					})
				case <-signals:
					if asked {
						r.Kill()
						return fmt.Errorf("ended at once by a second signal")
					}
					asked = true
					r.Drain(s.Drain)
				case <-r.Done():
					err := r.Wait()
					log.Info("ended", "err", err)
					time.Sleep(10 * time.Millisecond) // the log's writer
					return err
				}
			}
		},
	}
	c.Flags().TextVar(&level, "log", slog.LevelInfo, "least level of log lines: debug, info, warn, error")
	c.Flags().DurationVar(&every, "counts-every", 10*time.Second, "how often counts are logged")
	return c
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Say what is wrong with settings, or print what is in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := setup.Load(args[0])
			if err != nil {
				return err
			}
			if _, err := s.Module(1, 0); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			out, err := json.MarshalIndent(s, "", "  ")
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%s\n", out)
			return nil
		},
	}
}
