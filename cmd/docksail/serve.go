package main

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"time"

	"github.com/spf13/cobra"

	"docksail/internal/asynclog"
	"docksail/internal/batchservice"
	"docksail/internal/config"
	"docksail/internal/earlysignal"
	"docksail/internal/grpcnode"
	"docksail/internal/statusfile"
)

const statusFileInterval = time.Second

var errSecondSignal = errors.New("second signal received before the drain ended")

// serveCommand returns the command serve, which runs a dispatcher for gRPC clients.
func serveCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "serve FILE",
		Short: "Run a dispatcher with the configuration in a file",
		Long: `Run a dispatcher with the configuration in a file.

SIGTERM and SIGINT drain the dispatcher: requests in flight have the time drain_within of the configuration to finish,
then it exits. A second signal ends it immediately. SIGHUP reads the file again and applies the weights and limits of
tenants; all other settings apply only at the start.`,
		Args: cobra.ExactArgs(1),
	}
	level, countsInterval := addLogLevelFlag(c, slog.LevelInfo), addCountsIntervalFlag(c)
	c.RunE = func(_ *cobra.Command, args []string) error { return runServe(args[0], *level, *countsInterval) }
	return c
}

// runServe starts a dispatcher and, if it is configured, the batch API, and runs until the dispatcher has ended.
func runServe(file string, level slog.Level, countsInterval time.Duration) error {
	settings, err := config.Load(file)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	handler := asynclog.NewHandler(ctx, slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
	log := slog.New(handler)
	for _, warning := range settings.Warnings {
		log.Warn("configuration has a former name", "former_name", warning)
	}
	node, err := grpcnode.Start(settings, log, nil)
	if err != nil {
		return err
	}
	log.Info("dispatcher started", "address", node.Addr, "zone", settings.Zone,
		"index", settings.Index, "count", settings.Count)
	if settings.Batch.Listen.IsValid() {
		batches, err := batchservice.Start(ctx, settings, node.Addr, log)
		if err != nil {
			node.Kill()
			return err
		}
		defer batches.Stop()
	}
	p := &serveProcess{file: file, settings: settings, node: node, handler: handler, log: log}
	return p.run(countsInterval)
}

// serveProcess is a running dispatcher with its configuration and log.
type serveProcess struct {
	file     string // name of the configuration file
	settings *config.Dispatcher
	node     *grpcnode.Node
	handler  *asynclog.Handler // handler of log
	log      *slog.Logger
}

// run handles signals and writes the status until the dispatcher has ended. It returns the dispatcher's error.
func (p *serveProcess) run(countsInterval time.Duration) error {
	var statusFileTicks <-chan time.Time
	if p.settings.StatusFile != "" {
		ticker := time.NewTicker(statusFileInterval)
		defer ticker.Stop()
		statusFileTicks = ticker.C
	}
	countsTicker := time.NewTicker(countsInterval)
	defer countsTicker.Stop()
	draining := false
	for {
		select {
		case <-countsTicker.C:
			p.logCounts()
		case <-statusFileTicks:
			p.writeStatusFile()
		case <-earlysignal.Reload():
			p.reloadTenantLimits()
		case <-earlysignal.End():
			if draining {
				p.node.Kill()
				return errSecondSignal
			}
			draining = true
			p.node.Drain(p.settings.DrainTimeout)
		case <-p.node.Done():
			err := p.node.Wait()
			p.log.Info("dispatcher ended", "error", err)
			time.Sleep(logFlushTime)
			return err
		}
	}
}

func (p *serveProcess) logCounts() {
	if status, err := p.node.Status(); err == nil { // fails only if the dispatcher has ended
		p.log.Info("counts", "view", status, "log_lost", p.handler.Dropped())
	}
}

func (p *serveProcess) writeStatusFile() {
	status, err := p.node.Status()
	if err != nil { // the dispatcher has ended
		return
	}
	if err := statusfile.Write(p.settings.StatusFile, status, time.Now()); err != nil {
		p.log.Warn("status file not written", "error", err)
	}
}

// reloadTenantLimits reads the configuration file again and applies the weights and limits of tenants. An error, which
// is logged, leaves all of them unchanged.
func (p *serveProcess) reloadTenantLimits() {
	changed, err := config.Load(p.file)
	if err == nil {
		err = p.node.SetTenantLimits(changed)
	}
	if err != nil {
		p.log.Error("tenant limits not changed", "error", err)
		return
	}
	p.log.Info("tenant limits changed")
}
