package engine

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine/batchmodel"
	"docksail/internal/lab/eventlog"
)

// errStartDeadline is the status of an attempt whose answer did not start in time.
var errStartDeadline = status.Error(codes.DeadlineExceeded, "its time to begin is up")

// Write implements the Engine service: it fetches the state of the prompt, or runs the prefill itself, and then
// streams the answer.
func (e *Engine) Write(attempt *pb.Launch, out grpc.ServerStreamingServer[pb.Tokens]) error {
	out.SetTrailer(e.loadReport())
	if e.Spec.Role == pb.Role_ROLE_READER {
		return status.Error(codes.Unimplemented, "a reader writes no answers")
	}
	if attempt.StateAddress == "" && e.Spec.Role != pb.Role_ROLE_MIXED {
		return status.Error(codes.FailedPrecondition, "no state is named, and a writer reads no prompts")
	}
	ctx, leave, err := e.admit(out.Context())
	if err != nil {
		return err
	}
	defer leave()
	e.mu.Lock()
	batch := e.batch
	e.mu.Unlock()
	if batch != nil {
		return e.decodeBatch(ctx, batch, attempt, out)
	}
	return e.decode(ctx, attempt, out)
}

// decode streams an answer with the timing of the simple model.
func (e *Engine) decode(ctx context.Context, attempt *pb.Launch, out grpc.ServerStreamingServer[pb.Tokens]) error {
	begin := time.Now()
	if err := e.acquireSlot(ctx); err != nil {
		return status.FromContextError(err).Err()
	}
	defer e.releaseSlot()
	if startDeadlineExceeded(attempt, begin) {
		return errStartDeadline
	}
	req := attempt.GetRequest()
	if attempt.StateAddress != "" {
		if err := e.fetchState(ctx, attempt); err != nil {
			return err
		}
	} else if _, err := e.prefill(ctx, req); err != nil {
		return status.FromContextError(err).Err()
	}
	e.logAnswerStarted(attempt)
	for position := range AnswerTokens(req) {
		e.mu.Lock()
		interval := e.model.TokenInterval(&e.Spec, e.running, e.capacityShare())
		e.mu.Unlock()
		if err := e.sendToken(ctx, req, position, interval, out); err != nil {
			return err
		}
	}
	return nil
}

// decodeBatch streams an answer with the timing of the batch model.
func (e *Engine) decodeBatch(
	ctx context.Context, batch *batchRunner, attempt *pb.Launch, out grpc.ServerStreamingServer[pb.Tokens],
) error {
	req, begin := attempt.GetRequest(), time.Now()
	if err := e.sleep(ctx, req.Track, 0); err != nil { // waits while faults block the class
		return status.FromContextError(err).Err()
	}
	id, events, err := batch.enqueue(BatchWork(req, AnswerTokens(req), attempt.StateAddress != ""))
	if err != nil {
		return enqueueStatus(err)
	}
	defer batch.remove(id)
	started := false
	for {
		event, err := batch.nextEvent(ctx, events)
		if err != nil {
			return status.FromContextError(err).Err()
		}
		if !started && startDeadlineExceeded(attempt, begin) {
			return errStartDeadline
		}
		switch event.Kind {
		case batchmodel.NeedsFetch:
			if err := e.fetchState(ctx, attempt); err != nil {
				return err
			}
			batch.stateFetched(id)
		case batchmodel.Token:
			if !started {
				started = true
				e.logAnswerStarted(attempt)
			}
			if err := e.sendToken(ctx, req, event.Value, 0, out); err != nil {
				return err
			}
		case batchmodel.AnswerDone:
			return nil
		case batchmodel.PrefillDone, batchmodel.Preempted:
		}
	}
}

// startDeadlineExceeded reports whether the time within which the answer must start has passed.
func startDeadlineExceeded(attempt *pb.Launch, begin time.Time) bool {
	return attempt.BeginWithinNs > 0 && time.Since(begin) > time.Duration(attempt.BeginWithinNs)
}

func (e *Engine) logAnswerStarted(attempt *pb.Launch) {
	req := attempt.GetRequest()
	e.log.Add(eventlog.Entry{
		Kind:          eventlog.AnswerStarted,
		Server:        e.Spec.ID,
		Request:       requestID(attempt.Dispatcher, attempt.Job),
		Attempt:       int(attempt.Shot),
		RequestLabel:  req.Label,
		ClientAttempt: int(attempt.Repeat),
		Class:         req.Track,
	})
}

// sendToken waits for the interval and sends the token at a position. If a fault stalls the answer at this position,
// it waits for the end of the context instead.
func (e *Engine) sendToken(
	ctx context.Context, req *pb.GenerateRequest, position int, interval time.Duration,
	out grpc.ServerStreamingServer[pb.Tokens],
) error {
	if err := e.stall(ctx, position); err != nil {
		return err
	}
	if err := e.sleep(ctx, req.Track, interval); err != nil {
		return status.FromContextError(err).Err()
	}
	return out.Send(&pb.Tokens{
		Position: uint32(position),
		Tokens:   []uint32{TokenAt(req, position)},
		Text:     []byte("tok "),
	})
}
