package engine

import (
	"context"
	"errors"
	"io"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine/batchmodel"
	"docksail/internal/lab/eventlog"
)

// Reasons for the release of a state in the event log.
const (
	releasedByCrash   = "crash"
	releasedByTimeout = "ran out"
	releasedByPrefill = "read anew"
	releasedByFetch   = "fetched"
	releasedByRequest = "released"
)

// Metadata keys for the location of the server that fetches a state.
const (
	cellMetadata = "docksail-cell"
	zoneMetadata = "docksail-zone"
)

// stateChunkBytes is the size of the single message that represents a state.
const stateChunkBytes = 64

// heldState is the KV state of a completed prefill.
type heldState struct {
	attempt  uint32
	tokens   int64
	released chan struct{} // closed when the state is released
	batch    *batchRunner  // nil in the simple model
	batchID  batchmodel.ID
}

// holdState stores the state of a completed prefill. It returns an error if the prefill was canceled or its process
// has ended. The process is checked as well because the context may be canceled only after Crash has removed the
// states.
func (e *Engine) holdState(ctx, process context.Context, name string, state *heldState) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil || e.process != process {
		return status.Error(codes.Unavailable, "the process has ended")
	}
	if ctx.Err() != nil {
		if state.batch != nil {
			state.batch.remove(state.batchID)
		}
		return status.FromContextError(ctx.Err()).Err()
	}
	if state.batch == nil && e.usedTokens+state.tokens > e.Spec.MemoryTokens {
		return status.Error(codes.ResourceExhausted, "no memory for the read state")
	}
	e.releaseState(name, releasedByPrefill)
	e.states[name] = state
	e.usedTokens += state.tokens
	e.log.Add(eventlog.Entry{
		Kind: eventlog.StateHeld, Server: e.Spec.ID, Request: name, Attempt: int(state.attempt), Value: state.tokens,
	})
	return nil
}

// releaseState releases the state of a request, if there is one. The lock must be held.
func (e *Engine) releaseState(name, reason string) {
	state := e.states[name]
	if state == nil {
		return
	}
	delete(e.states, name)
	e.usedTokens -= state.tokens
	close(state.released)
	if state.batch != nil {
		state.batch.remove(state.batchID)
	}
	e.log.Add(eventlog.Entry{
		Kind: eventlog.StateReleased, Server: e.Spec.ID, Request: name, Attempt: int(state.attempt), Note: reason,
	})
}

// releaseIfHeld releases a state, unless it was already released or replaced by another one.
func (e *Engine) releaseIfHeld(name string, state *heldState, reason string) {
	e.mu.Lock()
	if e.states[name] == state {
		e.releaseState(name, reason)
	}
	e.mu.Unlock()
}

// Release implements the Engine service: it releases the state of a request and cancels its running prefills. Both
// apply only to attempts up to the given one.
func (e *Engine) Release(_ context.Context, r *pb.ReleaseRequest) (*pb.ReleaseDone, error) {
	name := requestID(r.Dispatcher, r.Job)
	e.mu.Lock()
	defer e.mu.Unlock()
	if state := e.states[name]; state != nil && state.attempt <= r.Shot {
		e.releaseState(name, releasedByRequest)
	}
	if cancel := e.cancelPrefills[name]; cancel != nil {
		cancel(r.Shot)
	}
	return &pb.ReleaseDone{}, nil
}

// Fetch implements the Engine service: it transfers a held state to another server and then releases it.
func (e *Engine) Fetch(r *pb.FetchRequest, out grpc.ServerStreamingServer[pb.StateChunk]) error {
	name := requestID(r.Dispatcher, r.Job)
	e.mu.Lock()
	state := e.states[name]
	slowdown := max(e.faults.LinkSlowdown, 1)
	e.mu.Unlock()
	if state == nil {
		return status.Error(codes.NotFound, "no state of this job")
	}
	if err := e.transfer(out.Context(), state.tokens, slowdown); err != nil {
		return status.FromContextError(err).Err()
	}
	select {
	case <-state.released:
		return status.Error(codes.NotFound, "the state was let go meanwhile")
	default:
	}
	chunk := &pb.StateChunk{State: make([]byte, stateChunkBytes), Tokens: uint32(state.tokens)}
	if err := out.Send(chunk); err != nil {
		return err
	}
	e.releaseIfHeld(name, state, releasedByFetch)
	return nil
}

// transfer waits for the duration of the transfer of a state to the server that fetches it, and for as long as faults
// block this server.
func (e *Engine) transfer(ctx context.Context, tokens int64, slowdown float64) error {
	cell := incomingMetadata(ctx, cellMetadata, "")
	if e.Links == nil {
		duration := e.model.TransferTime(&e.Spec, tokens, cell == e.Spec.Cell)
		return e.sleep(ctx, "", time.Duration(float64(duration)*slowdown))
	}
	zone := incomingMetadata(ctx, zoneMetadata, e.Spec.Zone)
	if err := e.Links.Transfer(ctx, &e.Spec, tokens, zone, cell, slowdown); err != nil {
		return err
	}
	return e.sleep(ctx, "", 0)
}

// incomingMetadata returns the first value of a metadata key, or defaultValue if there is none.
func incomingMetadata(ctx context.Context, key, defaultValue string) string {
	if values := metadata.ValueFromIncomingContext(ctx, key); len(values) > 0 {
		return values[0]
	}
	return defaultValue
}

// fetchState fetches the state of a request from the server that holds it. Its errors are status errors:
// FailedPrecondition if the state cannot be fetched.
func (e *Engine) fetchState(ctx context.Context, attempt *pb.Launch) error {
	peer, err := e.peer(attempt.StateAddress)
	if err != nil {
		return missingStateError(err)
	}
	ctx = metadata.AppendToOutgoingContext(ctx, cellMetadata, e.Spec.Cell, zoneMetadata, e.Spec.Zone)
	request := &pb.FetchRequest{Dispatcher: attempt.Dispatcher, Job: attempt.Job}
	stream, err := pb.NewEngineClient(peer).Fetch(ctx, request)
	if err != nil {
		return missingStateError(err)
	}
	for err == nil {
		_, err = stream.Recv()
	}
	switch {
	case errors.Is(err, io.EOF):
		return nil
	case ctx.Err() != nil:
		return status.FromContextError(ctx.Err()).Err()
	default:
		return missingStateError(err)
	}
}

func missingStateError(err error) error {
	return status.Error(codes.FailedPrecondition, "no state: "+err.Error())
}

// peer returns the connection to another server, which is created on first use.
func (e *Engine) peer(addr string) (*grpc.ClientConn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if peer := e.peers[addr]; peer != nil {
		return peer, nil
	}
	peer, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return nil, err
	}
	e.peers[addr] = peer
	return peer, nil
}
