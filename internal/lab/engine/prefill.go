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

// cancelPrefill cancels a prefill under way if its attempt is not newer than the given one.
type cancelPrefill func(attempt uint32)

// prefillResult is how many tokens of a prompt were read and how many were cached.
type prefillResult struct{ readTokens, cachedTokens int64 }

// Read implements the Engine service: it reads a prompt and holds its state until it is fetched or released.
func (e *Engine) Read(ctx context.Context, attempt *pb.Launch) (*pb.ReadDone, error) {
	if e.Spec.Role == pb.Role_ROLE_WRITER {
		return nil, status.Error(codes.Unimplemented, "a writer reads no prompts")
	}
	_ = grpc.SetTrailer(ctx, e.loadReport()) // it fails only outside of a call
	ctx, leave, err := e.admit(ctx)
	if err != nil {
		return nil, err
	}
	defer leave()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	name := requestName(attempt.Dispatcher, attempt.Job)
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
	return &pb.ReadDone{ReadTokens: uint32(result.readTokens), KeptTokens: uint32(result.cachedTokens)}, nil
}

// beginPrefill makes the prefill of an attempt cancelable by Release. It returns the batch model, which is nil in the
// simple model, and the process to which the prefill belongs.
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

// prefillState reads a prompt into a state. Its errors are status errors.
func (e *Engine) prefillState(ctx context.Context, req *pb.GenerateRequest, state *heldState) (prefillResult, error) {
	if state.batch == nil {
		result, err := e.prefill(ctx, req)
		if err != nil {
			return prefillResult{}, status.FromContextError(err).Err()
		}
		return result, nil
	}
	id, read, err := e.prefillBatch(ctx, state.batch, req)
	if err != nil {
		return prefillResult{}, err
	}
	state.batchID = id
	return prefillResult{readTokens: int64(read), cachedTokens: state.tokens - int64(read)}, nil
}

// prefill reads a prompt by the simple model, one prompt after another. Its error is that of the context.
func (e *Engine) prefill(ctx context.Context, req *pb.GenerateRequest) (prefillResult, error) {
	e.mu.Lock()
	cached := e.prefixes.lookUp(req)
	unread := max(int64(req.PromptTokens)-cached, 1)
	e.unreadTokens += unread
	slot, process := e.prefillSlot, e.process
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		if e.process == process {
			e.unreadTokens -= unread
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
	duration := e.model.PrefillTime(&e.Spec, unread, e.warmth())
	e.mu.Unlock()
	if err := e.sleep(ctx, req.Track, duration); err != nil {
		return prefillResult{}, err
	}
	e.mu.Lock()
	e.prefixes.addPrompt(req)
	e.mu.Unlock()
	return prefillResult{readTokens: unread, cachedTokens: cached}, nil
}

// prefillBatch reads a prompt by the batch model, which holds its state afterwards. It returns the ID of the state and
// how many tokens were read. Its errors are status errors.
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
			return id, event.N, nil
		}
	}
}
