package engine

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine/batchmodel"
)

// cancelPrefill cancels a running prefill if its attempt number is at most the given one.
type cancelPrefill func(attempt uint32)

// prefillResult holds the numbers of prompt tokens that were prefilled and that were cached.
type prefillResult struct{ prefilledTokens, cachedTokens int64 }

// Read implements the Engine service: it runs a prefill and holds its state until the state is fetched or released.
func (e *Engine) Read(ctx context.Context, attempt *pb.Launch) (*pb.ReadDone, error) {
	if e.Spec.Role == pb.Role_ROLE_WRITER {
		return nil, status.Error(codes.Unimplemented, "a writer reads no prompts")
	}
	_ = grpc.SetTrailer(ctx, e.loadReport()) // fails only outside of an RPC
	ctx, leave, err := e.admit(ctx)
	if err != nil {
		return nil, err
	}
	defer leave()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	name := requestID(attempt.Dispatcher, attempt.Job)
	batch, process := e.beginPrefill(name, attempt.Shot, cancel)
	defer e.endPrefill(name)
	req := attempt.GetRequest()
	state := &heldState{
		attempt: attempt.Shot, tokens: int64(req.PromptTokens), released: make(chan struct{}), batch: batch,
	}
	result, err := e.prefillState(ctx, req, state)
	if err != nil {
		return nil, err
	}
	if err := e.holdState(ctx, process, name, state); err != nil {
		return nil, err
	}
	time.AfterFunc(e.Spec.MaxHoldTime, func() { e.releaseIfHeld(name, state, releasedByTimeout) })
	return &pb.ReadDone{ReadTokens: uint32(result.prefilledTokens), KeptTokens: uint32(result.cachedTokens)}, nil
}

// beginPrefill registers a prefill, so that Release can cancel it. It returns the batch runner, which is nil in the
// simple model, and the current process.
func (e *Engine) beginPrefill(
	name string, attempt uint32, cancel context.CancelFunc,
) (batch *batchRunner, process context.Context) {
	e.mu.Lock()
	defer e.mu.Unlock()
	cancelEarlier := e.cancelPrefills[name]
	e.cancelPrefills[name] = func(upTo uint32) {
		if cancelEarlier != nil {
			cancelEarlier(upTo)
		}
		if attempt <= upTo {
			cancel()
		}
	}
	return e.batch, e.process
}

func (e *Engine) endPrefill(name string) {
	e.mu.Lock()
	delete(e.cancelPrefills, name)
	e.mu.Unlock()
}

// prefillState runs the prefill of a state. Its errors are status errors.
func (e *Engine) prefillState(ctx context.Context, req *pb.GenerateRequest, state *heldState) (prefillResult, error) {
	if state.batch == nil {
		result, err := e.prefill(ctx, req)
		if err != nil {
			return prefillResult{}, status.FromContextError(err).Err()
		}
		return result, nil
	}
	id, prefilled, err := e.prefillBatch(ctx, state.batch, req)
	if err != nil {
		return prefillResult{}, err
	}
	state.batchID = id
	return prefillResult{prefilledTokens: int64(prefilled), cachedTokens: state.tokens - int64(prefilled)}, nil
}

// prefill runs a prefill with the timing of the simple model, in which prefills run one after another. Its error is
// that of the context.
func (e *Engine) prefill(ctx context.Context, req *pb.GenerateRequest) (prefillResult, error) {
	e.mu.Lock()
	cached := e.prefixes.lookUp(req)
	uncached := max(int64(req.PromptTokens)-cached, 1)
	e.queuedPromptTokens += uncached
	slot, process := e.prefillSlot, e.process
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.process == process {
			e.queuedPromptTokens -= uncached
		}
		e.mu.Unlock()
	}()
	select {
	case slot <- struct{}{}:
	case <-ctx.Done():
		return prefillResult{}, ctx.Err()
	}
	defer func() { <-slot }()
	e.mu.Lock()
	duration := e.model.PrefillTime(&e.Spec, uncached, e.capacityShare())
	e.mu.Unlock()
	if err := e.sleep(ctx, req.Track, duration); err != nil {
		return prefillResult{}, err
	}
	e.mu.Lock()
	e.prefixes.addPrompt(req)
	e.mu.Unlock()
	return prefillResult{prefilledTokens: uncached, cachedTokens: cached}, nil
}

// prefillBatch runs a prefill with the timing of the batch model, which then holds the state. It returns the ID of the
// state and the number of prefilled tokens. Its errors are status errors.
func (e *Engine) prefillBatch(
	ctx context.Context, batch *batchRunner, req *pb.GenerateRequest,
) (batchmodel.ID, int, error) {
	if err := e.sleep(ctx, req.Track, 0); err != nil { // waits while faults block the class
		return 0, 0, status.FromContextError(err).Err()
	}
	id, events, err := batch.enqueue(BatchWork(req, 0, false))
	if err != nil {
		return 0, 0, enqueueStatus(err)
	}
	for {
		event, err := batch.nextEvent(ctx, events)
		if err != nil {
			batch.remove(id)
			return 0, 0, status.FromContextError(err).Err()
		}
		if event.Kind == batchmodel.PrefillDone {
			batch.unsubscribe(id)
			return id, event.Value, nil
		}
	}
}
