// Package batchservice runs the batch API of a dispatcher: the store of files and batches, the runner that sends
// their lines through the dispatcher, and the HTTP server.
package batchservice

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"docksail/internal/batchrunner"
	"docksail/internal/config"
	"docksail/internal/decide/batchscheduler"
	frontend "docksail/internal/frontend/batch"
	"docksail/internal/state/batchstore"
	"docksail/policy"
)

// cleanupInterval is the time between deletions of files past their retention.
const cleanupInterval = time.Hour

// Service is a running batch API. Use Start to create one.
type Service struct {
	log    *slog.Logger
	store  *batchstore.Store
	cancel context.CancelFunc
	tasks  sync.WaitGroup
}

// Start opens the store and serves the batch API configured by cfg for the dispatcher that listens at an address. The
// service runs until Stop is called or ctx ends. Stop must be called in either case.
func Start(ctx context.Context, cfg *config.Dispatcher, dispatcher netip.AddrPort, log *slog.Logger) (*Service, error) {
	store, err := batchstore.Open(cfg.Batch.Directory, cfg.Batch.QuotaBytes)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	s := &Service{log: log, store: store, cancel: cancel}
	if err := s.start(ctx, cfg, dispatcher); err != nil {
		cancel()
		store.Close()
		return nil, fmt.Errorf("batch API: %w", err)
	}
	return s, nil
}

// start creates the runner and the server and starts the service's tasks.
func (s *Service) start(ctx context.Context, cfg *config.Dispatcher, dispatcher netip.AddrPort) error {
	batch := &cfg.Batch
	runner, err := batchrunner.New(s.store, runnerConfig(cfg, dispatcher), s.log)
	if err != nil {
		return err
	}
	server, err := frontend.New(ctx, s.store, runner, frontendLimits(cfg), tenantsByKeyHash(batch.Keys), s.log)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp", batch.Listen.String())
	if err != nil {
		return err
	}
	s.log.Info("batch api started", "address", listener.Addr().String(), "directory", batch.Directory)
	s.runTask("batch runner", func() error { return runner.Run(ctx) })
	s.runTask("batch api", func() error { return server.Serve(ctx, listener) })
	if batch.FileRetention > 0 {
		s.runTask("file cleanup", func() error { return s.deleteOldFiles(ctx, batch.FileRetention) })
	}
	return nil
}

// runTask runs a task of the service in a goroutine that Stop waits for.
func (s *Service) runTask(name string, task func() error) {
	s.tasks.Go(func() {
		if err := task(); err != nil {
			s.log.Error("batch task failed", "task", name, "error", err)
		}
	})
}

// deleteOldFiles deletes files past their retention, immediately and then every cleanupInterval, until ctx ends.
func (s *Service) deleteOldFiles(ctx context.Context, retention time.Duration) error {
	ticker := time.NewTicker(cleanupInterval)
	defer ticker.Stop()
	for {
		deleted, err := s.store.DeleteFilesOlderThan(time.Now(), retention)
		if err != nil {
			s.log.Error("file cleanup failed", "error", err)
		} else if deleted > 0 {
			s.log.Info("old files deleted", "files", deleted)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

// Stop stops the service, waits for its tasks and closes the store.
func (s *Service) Stop() {
	s.cancel()
	s.tasks.Wait()
	if err := s.store.Close(); err != nil {
		s.log.Error("batch store close failed", "error", err)
	}
}

// runnerConfig returns the settings of the batch runner, which sends to the dispatcher's own address.
func runnerConfig(cfg *config.Dispatcher, dispatcher netip.AddrPort) batchrunner.Config {
	batch := &cfg.Batch
	address := dispatcher.String()
	if dispatcher.Addr().IsUnspecified() {
		address = net.JoinHostPort("localhost", strconv.Itoa(int(dispatcher.Port())))
	}
	runner := batchrunner.Config{
		Classes:           map[string]batchrunner.Class{},
		DispatcherAddress: address,
		MaxLinesInFlight:  batch.MaxLinesInFlight,
		InitialBackoff:    batch.InitialBackoff,
		MaxLines:          batch.MaxLines,
		MaxLineBytes:      batch.MaxLineBytes,
		Seed:              cfg.Seed,
	}
	for _, class := range cfg.Classes {
		runner.Classes[class.Name] = batchrunner.Class{
			Idempotency:         lineIdempotency(policy.Idempotency(class.Idempotency)),
			DeduplicationWindow: class.DedupWindow,
			Timeout:             class.Timeout,
		}
	}
	for _, tenant := range cfg.Tenants {
		weight := tenant.Weight
		if weight == 0 {
			weight = tenant.RequestsPerSecond
		}
		runner.Tenants = append(runner.Tenants, batchrunner.Tenant{Name: tenant.Name, Weight: weight})
	}
	return runner
}

// lineIdempotency converts the idempotency of a class to the scheduler's type.
func lineIdempotency(idempotency policy.Idempotency) batchscheduler.Idempotency {
	switch idempotency {
	case policy.Deduplicated:
		return batchscheduler.Deduplicated
	case policy.Idempotent:
		return batchscheduler.Idempotent
	default:
		return batchscheduler.NonIdempotent
	}
}

func frontendLimits(cfg *config.Dispatcher) frontend.Limits {
	return frontend.Limits{
		MaxFileBytes:        cfg.Batch.MaxFileBytes,
		MaxCompletionWindow: cfg.Batch.MaxCompletionWindow,
		MaxHeaderBytes:      cfg.Limits.MaxHeaderBytes,
	}
}

// tenantsByKeyHash returns the tenants by the lower-case hexadecimal hashes of their keys.
func tenantsByKeyHash(keys []config.Key) map[string]string {
	tenants := make(map[string]string, len(keys))
	for _, key := range keys {
		tenants[strings.ToLower(key.Hash)] = key.Tenant
	}
	return tenants
}
