package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"docksail/internal/asynclog"
	"docksail/internal/node"
)

func nodeCommand() *cobra.Command {
	var level slog.Level
	var every time.Duration
	c := &cobra.Command{
		Use:   "node",
		Short: "Run a dispatcher in service on the platform",
		Long: "Run a dispatcher in service on the platform, by the file that RELAY_CONFIG names. SIGTERM has clients go\n" +
			"elsewhere and ends it when none is left; SIGHUP reads the file again and takes over where discovery is.",
		Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error {
			signals := make(chan os.Signal, 4) // before all else: a signal that comes during the start is kept
			signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
			t, err := node.LoadConfig(os.Getenv)
			if err != nil {
				return err
			}
			node.LimitResources(t)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			log := slog.New(asynclog.NewHandler(ctx, slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})))
			n, err := node.Start(t, log)
			if err != nil {
				return err
			}
			log.Info("in service", "name", t.Name, "at", t.Listen, "memory_mb", t.Limits.MemoryMB, "sockets", t.Limits.Descriptors)
			tick := time.NewTicker(every)
			defer tick.Stop()
			for {
				select {
				case <-tick.C:
					logView(log, n)
				case s := <-signals:
					if s != syscall.SIGHUP {
						log.Info("leaving", "signal", s.String())
						n.Drain()
						continue
					}
					changed, err := node.LoadConfig(os.Getenv)
					if err != nil {
						log.Error("configuration stays as it was", "err", err)
						continue
					}
					n.Reload(changed)
				case <-n.Done():
					log.Info("ended", "err", n.Err())
					time.Sleep(10 * time.Millisecond) // the log's writer
					return n.Err()
				}
			}
		},
	}
	c.Flags().TextVar(&level, "log", slog.LevelInfo, "least level of log lines: debug, info, warn, error")
	c.Flags().DurationVar(&every, "counts-every", 10*time.Second, "how often counts are logged")
	return c
}

// logView logs how a dispatcher does, with a line for each server that has something of it: in a large fleet these
// are few.
func logView(log *slog.Logger, n *node.Node) {
	view, ok := n.Status()
	if !ok {
		return
	}
	beliefs := view.ServerStatuses
	view.ServerStatuses = nil
	log.Info("counts", "view", view)
	for _, b := range beliefs {
		log.Log(context.Background(), beliefLevel(&b), "belief", "server", b.Name, "prefill", b.Prefill, "unread", b.QueuedPromptTokens, "reported", b.LoadReport.QueuedPromptTokens,
			"age_ms", b.LoadReportAge/1e6, "waiting", b.UnansweredAttempts, "writing", b.Streams, "out", b.InFlightAttempts, "idle", b.IdleConns, "aside", b.Ejected, "differs", b.HasMismatch())
	}
}

// beliefLevel is the level of a server's line: those of which the dispatcher has nothing are for who asks for all.
func beliefLevel(b *node.ServerStatus) slog.Level {
	if b.InUse() {
		return slog.LevelInfo
	}
	return slog.LevelDebug
}
