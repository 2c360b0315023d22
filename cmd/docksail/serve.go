package main

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"docksail/internal/asynclog"
	"docksail/internal/batchservice"
	"docksail/internal/config"
	"docksail/internal/decide/admission"
	"docksail/internal/grpcnode"
)

func serveCommand() *cobra.Command {
	var level slog.Level
	var every time.Duration
	c := &cobra.Command{
		Use:   "serve FILE",
		Short: "Run a dispatcher by its settings",
		Long: "Run a dispatcher by its settings. SIGTERM and SIGINT drain it: requests in hand are finished within the\n" +
			"settings' drain_within, then it exits. A second signal ends it at once. SIGHUP reads the file again and takes over\n" +
			"the weights and limits of tenants; all else stays.",
		Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			s, err := config.Load(args[0])
			if err != nil {
				return err
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			beside := asynclog.NewHandler(ctx, slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
			log := slog.New(beside)
			for _, warning := range s.Warnings {
				log.Warn("settings", "former_name", warning)
			}
			r, err := grpcnode.Start(s, log, nil)
			if err != nil {
				return err
			}
			log.Info("serving", "at", r.Addr, "zone", s.Zone, "number", s.Index, "of", s.Count)
			if s.Batch.Listen.IsValid() {
				batches, err := batchservice.Start(ctx, s, r.Addr, log)
				if err != nil {
					r.Kill()
					return err
				}
				defer batches.Stop()
			}
			signals := make(chan os.Signal, 2)
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
			reload := make(chan os.Signal, 1)
			signal.Notify(reload, syscall.SIGHUP)
			var status <-chan time.Time
			if s.StatusFile != "" {
				t := time.NewTicker(time.Second)
				defer t.Stop()
				status = t.C
			}
			tick := time.NewTicker(every)
			defer tick.Stop()
			asked := false
			for {
				select {
				case <-tick.C:
					if v, err := r.Status(); err == nil {
						log.Info("counts", "view", v, "log_lost", beside.Dropped())
					}
				case <-status:
					if v, err := r.Status(); err == nil {
						if err := writeStatus(s.StatusFile, v); err != nil {
							log.Warn("status not written", "err", err)
						}
					}
				case <-reload:
					changed, err := config.Load(args[0])
					if err == nil {
						err = r.SetTenantLimits(changed)
					}
					if err != nil {
						log.Error("terms of tenants stay as they were", "err", err)
					} else {
						log.Info("terms of tenants changed")
					}
				case <-signals:
					if asked {
						r.Kill()
						return fmt.Errorf("ended at once by a second signal")
					}
					asked = true
					r.Drain(s.DrainTimeout)
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

// status is a view as the status file holds it.
type status struct {
	Format int       `json:"format"`
	At     time.Time `json:"at"`
	View   grpcnode.Status
}

const statusFormat = 1

func writeStatus(name string, v grpcnode.Status) error {
	b, err := json.Marshal(status{statusFormat, time.Now(), v})
	if err != nil {
		return err
	}
	next := name + ".next"
	if err := os.WriteFile(next, b, 0o600); err != nil {
		return err
	}
	return os.Rename(next, name)
}

func viewCommand() *cobra.Command {
	var every time.Duration
	c := &cobra.Command{
		Use:   "view STATUS-FILE",
		Short: "Show a dispatcher's door and counts, once or again and again",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			for {
				text, err := os.ReadFile(args[0])
				if err != nil {
					return err
				}
				var s status
				if err := json.Unmarshal(text, &s); err != nil {
					return fmt.Errorf("%s: %w", args[0], err)
				}
				if s.Format != statusFormat {
					return fmt.Errorf("%s: format %d, want %d", args[0], s.Format, statusFormat)
				}
				printView(c.OutOrStdout(), s)
				if every == 0 {
					return nil
				}
				select {
				case <-time.After(every):
				case <-c.Context().Done():
					return nil
				}
			}
		},
	}
	c.Flags().DurationVar(&every, "every", 0, "show it again so often")
	return c
}

func printView(out io.Writer, s status) {
	v := s.View
	age := time.Since(s.At).Round(time.Second)
	old := ""
	if age > 5*time.Second {
		old = "  (" + age.String() + " old: the dispatcher may have ended)"
	}
	fmt.Fprintf(out, "%s%s\n%d requests in hand, %d waiting in %d flows, %d connections\n", s.At.Format(time.TimeOnly), old, v.InFlight, v.Waiting, v.Flows, v.ClientConns)
	total := 0.0
	for _, t := range v.Tenants {
		total += t.Counts.AdmittedCost
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "tenant\tweight\twaiting\trunning\tcame\tlet in\tshare\tmean wait\tlongest\tbooked\tback\tkept\t")
	for _, t := range v.Tenants {
		n := t.Counts
		mean := time.Duration(n.TotalWait / int64(max(n.Admitted, 1)))
		fmt.Fprintf(w, "%s\t%g\t%d\t%d\t%d\t%d\t%.1f%%\t%v\t%v\t%d\t%d\t%d\t\n", cmp.Or(t.Name, "(all)"), t.Weight, t.Waiting, t.Running, n.Arrived, n.Admitted,
			100*n.AdmittedCost/max(total, 1), mean.Round(time.Millisecond), time.Duration(n.MaxWait).Round(time.Millisecond), n.ReservationsGranted, n.ReservationsRedeemed, n.ReservationsAdmitted)
	}
	w.Flush()
	for _, t := range v.Tenants {
		for cause, n := range t.Counts.Rejected {
			if n > 0 {
				fmt.Fprintf(out, "refused %s: %d, %v\n", cmp.Or(t.Name, "(all)"), n, admission.Verdict(cause))
			}
		}
	}
	k := v.Counts
	fmt.Fprintf(out, "%d served, %d rejected, %d failed, %d left; %d attempts, %d late, %d broken\n", k.Served, k.Rejected, k.Failed, k.ClientDisconnects,
		k.Attempts, k.TimedOut, k.Broken)
}

func checkCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Say what is wrong with settings, or print what is in force",
		Args:  cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			s, err := config.Load(args[0])
			if err != nil {
				return err
			}
			if _, err := s.NewPolicy(1, 0); err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			for _, warning := range s.Warnings {
				fmt.Fprintln(c.ErrOrStderr(), "warning:", warning)
			}
			out, err := s.Print()
			if err != nil {
				return err
			}
			_, err = c.OutOrStdout().Write(out)
			return err
		},
	}
}
