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

// maxConcurrentStreams is the limit of streams on a connection to the server.
const maxConcurrentStreams = 10000

// Start starts the process of the server on an address. Port 0 takes any free port; later starts use the same one
// again, whatever addr says.
func (e *Engine) Start(addr string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != nil {
		return fmt.Errorf("engine %d runs already", e.Spec.ID)
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
	go func() { _ = server.Serve(listener) }() // it returns an error only after Crash
	return nil
}

// resetProcess gives the server the state of a new process. The lock is held.
func (e *Engine) resetProcess() error {
	e.started = time.Now()
	e.process, e.endProcess = context.WithCancel(context.Background())
	e.overloaded, e.recentAttempts = false, nil
	e.waiting, e.running = 0, 0
	e.prefillSlot = make(chan struct{}, 1)
	e.unreadTokens = 0
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

// SkipWarmup lets the server have its full capacity, as if it had been started long ago.
func (e *Engine) SkipWarmup() {
	e.mu.Lock()
	e.started = e.started.Add(-24 * time.Hour)
	e.mu.Unlock()
}

// Crash ends the process at once: connections are reset and all held states are lost.
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
	listener.Close() // the server may not have begun to serve it
	for _, peer := range peers {
		peer.Close()
	}
}

// Addr returns the address at which it listens, or did before it crashed.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// StartTime returns when the process was started, and false if there is none.
func (e *Engine) StartTime() (time.Time, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.started, e.server != nil
}
