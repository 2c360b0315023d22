package main

import (
	"context"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"

	"docksail/internal/asynclog"
	"docksail/internal/earlysignal"
	"docksail/internal/node"
	"docksail/internal/statuslog"
)

// nodeCommand returns the command node, which runs a dispatcher in service on the platform.
func nodeCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "node",
		Short: "Run a dispatcher in service on the platform",
		Long: `Run a dispatcher in service on the platform, with the configuration in the file that RELAY_CONFIG names.

SIGTERM and SIGINT drain the dispatcher: it tells clients to close their connections, stops accepting new ones after a
while and exits when no client is connected and no request or release is in progress. SIGHUP reads the file again and
applies its address of discovery.`,
		Args: cobra.NoArgs,
	}
	level, countsInterval := addLogLevelFlag(c, slog.LevelInfo), addCountsIntervalFlag(c)
	c.RunE = func(*cobra.Command, []string) error { return runNode(*level, *countsInterval) }
	return c
}

// runNode starts a dispatcher and runs until it has ended.
func runNode(level slog.Level, countsInterval time.Duration) error {
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
		case s := <-earlysignal.End():
			log.Info("signal received", "signal", s.String())
			dispatcher.Drain()
		case <-earlysignal.Reload():
			reloadNode(dispatcher, log)
		case <-dispatcher.Done():
			log.Info("dispatcher ended", "error", dispatcher.Err())
			time.Sleep(logFlushTime)
			return dispatcher.Err()
		}
	}
}

// reloadNode reads the configuration file of a dispatcher again and applies what may change.
func reloadNode(dispatcher *node.Node, log *slog.Logger) {
	changed, err := node.LoadConfig(os.Getenv)
	if err != nil {
		log.Error("configuration not reloaded", "error", err)
		return
	}
	dispatcher.Reload(changed)
}
