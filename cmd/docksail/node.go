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
	"docksail/internal/statuslog"
)

// maxPendingSignals is how many signals are kept while the dispatcher starts.
const maxPendingSignals = 4

// nodeCommand runs a dispatcher in service on the platform.
func nodeCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "node",
		Short: "Run a dispatcher in service on the platform",
		Long: `Run a dispatcher in service on the platform, with the configuration in the file that RELAY_CONFIG names.

SIGTERM and SIGINT drain it: clients go elsewhere, and it ends when none is left. SIGHUP reads the file again and takes
over the addresses of discovery.`,
		Args: cobra.NoArgs,
	}
	level, countsInterval := logFlag(c, slog.LevelInfo), countsFlag(c)
	c.RunE = func(*cobra.Command, []string) error { return runNode(*level, *countsInterval) }
	return c
}

// runNode starts a dispatcher and runs until it has ended.
func runNode(level slog.Level, countsInterval time.Duration) error {
	signals := make(chan os.Signal, maxPendingSignals) // before all else: a signal during the start is kept
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	config, err := node.LoadConfig(os.Getenv)
	if err != nil {
		return err
	}
	node.LimitResources(config)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	handler := asynclog.NewHandler(ctx, slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	log := slog.New(handler)
	dispatcher, err := node.Start(config, log)
	if err != nil {
		return err
	}
	log.Info("dispatcher started", "name", config.Name, "address", config.Listen,
		"memory_mb", config.Limits.MemoryMB, "descriptors", config.Limits.Descriptors)
	countsTicker := time.NewTicker(countsInterval)
	defer countsTicker.Stop()
	for {
		select {
		case <-countsTicker.C:
			if status, ok := dispatcher.Status(); ok {
				statuslog.Write(log, status)
			}
		case s := <-signals:
			handleNodeSignal(dispatcher, s, log)
		case <-dispatcher.Done():
			log.Info("dispatcher ended", "error", dispatcher.Err())
			time.Sleep(logFlushTime)
			return dispatcher.Err()
		}
	}
}

// handleNodeSignal drains a dispatcher or, after SIGHUP, has it take over the changed configuration.
func handleNodeSignal(dispatcher *node.Node, s os.Signal, log *slog.Logger) {
	if s != syscall.SIGHUP {
		log.Info("signal received", "signal", s.String())
		dispatcher.Drain()
		return
	}
	changed, err := node.LoadConfig(os.Getenv)
	if err != nil {
		log.Error("configuration not reloaded", "error", err)
		return
	}
	dispatcher.Reload(changed)
}
