package engine

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine/batchmodel"
	"docksail/internal/lab/eventlog"
)

// maxConcurrentStreams limits the concurrent streams of one connection to the server.
const maxConcurrentStreams = 10000

// Start starts the process of the server on the given address; port 0 selects a free port. Later starts ignore addr
// and use the address of the first one.
func (e *Engine) Start(addr string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return fmt.Errorf("engine %d is already running", e.Spec.ID)
	}
	if e.addr != "" {
		addr = e.addr
	}
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("engine %d: %w", e.Spec.ID, err)
	}
	e.addr = listener.Addr().String()
	if err := e.resetProcess(); err != nil {
		listener.Close()
		return fmt.Errorf("engine %d: %w", e.Spec.ID, err)
	}
	e.listener = listener
	server := grpc.NewServer(grpc.MaxConcurrentStreams(maxConcurrentStreams))
	pb.RegisterEngineServer(server, e)
	e.server = server
	if e.batch != nil {
		go e.batch.run(e.process, e)
	}
	e.log.Add(eventlog.Entry{Kind: eventlog.ServerStarted, Server: e.Spec.ID})
	go func() { _ = server.Serve(listener) }() // fails only after Crash
	return nil
}

// resetProcess resets all state that does not survive a restart. The lock must be held.
func (e *Engine) resetProcess() error {
	e.started = time.Now()
	e.process, e.endProcess = context.WithCancel(context.Background())
	e.overloaded, e.recentAttempts = false, nil
	e.waiting, e.running = 0, 0
	e.prefillSlot = make(chan struct{}, 1)
	e.queuedPromptTokens = 0
	e.cancelPrefills = map[string]cancelPrefill{}
	e.prefixes = newPrefixCache(e.Spec.MemoryTokens / 2)
	e.states, e.usedTokens = map[string]*heldState{}, 0
	e.peers = map[string]*grpc.ClientConn{}
	e.report, e.batch = nil, nil
	if !e.Spec.BatchModel {
		return nil
	}
	batch, err := newBatchRunner(&e.Spec)
	if err != nil {
		return err
	}
	e.batch = batch
	e.reporter, err = batchmodel.NewReporter(uint64(e.Spec.ID), int64(e.Spec.ReportInterval), 0, e.Spec.ReportNoise)
	return err
}

// SkipWarmup gives the server its full capacity by setting its start time back.
func (e *Engine) SkipWarmup() {
	e.mu.Lock()
	e.started = e.started.Add(-24 * time.Hour)
	e.mu.Unlock()
}

// Crash ends the process immediately: connections are closed and all held states are lost.
func (e *Engine) Crash() {
	e.mu.Lock()
	server, listener, endProcess, peers := e.server, e.listener, e.endProcess, e.peers
	e.server = nil
	for name := range e.states {
		e.log.Add(eventlog.Entry{Kind: eventlog.StateReleased, Server: e.Spec.ID, Request: name, Note: releasedByCrash})
	}
	e.states = map[string]*heldState{}
	e.mu.Unlock()
	if server == nil {
		return
	}
	endProcess()
	server.Stop()
	listener.Close() // Stop does not close it if Serve has not been called yet
	for _, peer := range peers {
		peer.Close()
	}
}

// Addr returns the address on which the server listens, or last listened.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// StartTime returns the start time of the process, or false if no process is running.
func (e *Engine) StartTime() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started, e.server != nil
}
