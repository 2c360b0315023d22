package batchrunner

import (
	"context"
	"errors"
	"io"
	"strconv"
	"strings"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
)

// Metadata of the dispatcher's gRPC frontend.
const (
	backgroundKey = "docksail-background"
	requestIDKey  = "docksail-job"
	pushbackKey   = "grpc-retry-pushback-ms"
)

// storeRetryInterval is how long a line waits whose state could not be stored.
const storeRetryInterval = time.Second

// attemptResult says how an attempt of a line ended.
type attemptResult struct {
	outcome    batchscheduler.Outcome
	retryAfter time.Duration // that a rejection asks for
	code       errorCode     // for the error file, if the line fails
	message    string        // for the error file, after the reason; may be empty
	output     []byte        // line of the output file, if the outcome is served
}

// sendLine sends the request of one line and records how it ended.
func (r *Runner) sendLine(a *activeBatch, index batchscheduler.LineIndex) {
	line, request, err := r.readLine(a, index)
	if err != nil {
		r.attemptEnded(a, index, line, attemptResult{
			outcome: batchscheduler.OutcomeInvalid, code: codeCorrupt, message: err.Error(),
		})
		return
	}
	class := r.config.Classes[request.Body.Model]
	if class.Effect != batchscheduler.Idempotent { // the next process must know that the line may have run
		if err := r.store.SetLineState(a.record.ID, index, batchscheduler.LineInFlight); err != nil {
			r.log.Error("line not sent", "batch_id", a.record.ID, "line", index+1, "error", err)
			r.attemptEnded(a, index, line, attemptResult{
				outcome: batchscheduler.OutcomeRejected, retryAfter: storeRetryInterval,
			})
			return
		}
	}
	r.attemptEnded(a, index, line, r.generate(a, index, request, class))
}

// readLine reads a line's record and request. The line is valid also with an error, as far as it could be read.
func (r *Runner) readLine(a *activeBatch, index batchscheduler.LineIndex) (batchstore.Line, *lineRequest, error) {
	line, err := r.store.Line(a.record.ID, index)
	if err != nil {
		return line, nil, err
	}
	text, err := r.store.LineText(a.record.InputFileID, index, line)
	if err != nil {
		return line, nil, err
	}
	request, err := parseLine(text)
	return line, request, err
}

// generate sends a request to the dispatcher and returns how it ended.
func (r *Runner) generate(
	a *activeBatch, index batchscheduler.LineIndex, request *lineRequest, class Class,
) attemptResult {
	deadline, _ := a.ctx.Deadline()
	timeout := min(class.Timeout, max(time.Until(deadline), time.Millisecond))
	body := &request.Body
	ctx := metadata.AppendToOutgoingContext(a.ctx, backgroundKey, "1")
	stream, err := r.client.Generate(ctx, &pb.GenerateRequest{
		Track:           body.Model,
		Tenant:          a.record.Tenant,
		PromptTokens:    uint32(body.PromptTokens),
		MaxTokens:       uint32(body.MaxTokens),
		Beginning:       body.Beginning,
		BeginningTokens: uint32(body.BeginningTokens),
		Client:          body.User,
		Prompt:          []byte(body.Prompt),
		Label:           a.record.ID + "/" + request.CustomID,
		PatienceNs:      uint64(timeout),
	})
	if err != nil {
		return failedAttempt(a.ctx, err, nil)
	}
	received, err := receiveAnswer(stream)
	if err != nil {
		return failedAttempt(a.ctx, err, stream.Trailer().Get(pushbackKey))
	}
	return attemptResult{
		outcome: batchscheduler.OutcomeServed, output: encodeAnswer(a.record.ID, index, request, received),
	}
}

// answer is the answer to a line's request.
type answer struct {
	requestID string // that the dispatcher gave it
	text      string
	tokens    int
}

// receiveAnswer receives a whole answer.
func receiveAnswer(stream grpc.ServerStreamingClient[pb.Tokens]) (answer, error) {
	var received answer
	var text strings.Builder
	for {
		tokens, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return answer{}, err
		}
		text.Write(tokens.Text)
		received.tokens += len(tokens.Tokens)
	}
	received.text = text.String()
	if header, err := stream.Header(); err == nil && len(header.Get(requestIDKey)) > 0 {
		received.requestID = header.Get(requestIDKey)[0]
	}
	return received, nil
}

// failedAttempt returns how an attempt ended whose call returned an error. pushback is the trailer that asks the client
// to retry later.
func failedAttempt(ctx context.Context, err error, pushback []string) attemptResult {
	call := status.Convert(err)
	switch code := call.Code(); {
	case ctx.Err() != nil && len(pushback) == 0: // by Cancel, the deadline or the runner's end
		return attemptResult{
			outcome: batchscheduler.OutcomeConnectionLost, code: codeCalledBack, message: "called back while it was out",
		}
	case (code == codes.Unavailable || code == codes.ResourceExhausted) && len(pushback) > 0:
		ms, _ := strconv.ParseInt(pushback[0], 10, 64) // without a number the line waits its backoff
		return attemptResult{
			outcome:    batchscheduler.OutcomeRejected,
			retryAfter: time.Duration(max(ms, 0)) * time.Millisecond,
			message:    call.Message(),
		}
	case code == codes.Aborted:
		return attemptResult{outcome: batchscheduler.OutcomeFailed, code: codeAbandoned, message: call.Message()}
	case code == codes.InvalidArgument:
		return attemptResult{outcome: batchscheduler.OutcomeInvalid, code: codeInvalidRequest, message: call.Message()}
	default:
		return attemptResult{
			outcome: batchscheduler.OutcomeConnectionLost, code: codeConnectionLost, message: call.Message(),
		}
	}
}

// attemptEnded reports the end of an attempt to the scheduler and stores it if the line has ended. An answer is on disk
// before the scheduler counts the line as completed.
func (r *Runner) attemptEnded(
	a *activeBatch, index batchscheduler.LineIndex, line batchstore.Line, result attemptResult,
) {
	if result.outcome == batchscheduler.OutcomeServed {
		err := r.store.RecordResult(a.record.ID, index, batchstore.ResultCompleted, result.output)
		if err != nil { // an idempotent line is sent again; any other may have run
			r.log.Error("result not stored", "batch_id", a.record.ID, "line", index+1, "error", err)
			result = attemptResult{
				outcome: batchscheduler.OutcomeConnectionLost, code: codeResultNotKept, message: err.Error(),
			}
		}
	}
	r.mu.Lock()
	verdict, reason := r.scheduler.ReportOutcome(r.now(), a.id, index, result.outcome, int64(result.retryAfter))
	a.unrecordedEnds++
	isCancelled := a.record.State == batchscheduler.StateCancelling
	isStopping := a.runnerCtx.Err() != nil && !isCancelled && !a.expired
	r.mu.Unlock()

	switch {
	case verdict == batchscheduler.VerdictFailed && !isStopping: // when stopping, the next process resumes the line
		text := encodeAttemptFailure(a.record.ID, index, line.CustomID, result, reason, isCancelled)
		if err := r.store.RecordResult(a.record.ID, index, batchstore.ResultFailed, text); err != nil {
			r.log.Error("line failure not stored", "batch_id", a.record.ID, "line", index+1, "error", err)
		}
	case verdict == batchscheduler.VerdictRetry && result.outcome == batchscheduler.OutcomeRejected &&
		line.State != batchscheduler.LineWaiting:
		if err := r.store.SetLineState(a.record.ID, index, batchscheduler.LineWaiting); err != nil {
			r.log.Error("line state not stored", "batch_id", a.record.ID, "line", index+1, "error", err)
		}
	}
	r.mu.Lock()
	a.unrecordedEnds--
	r.mu.Unlock()
	r.wakeLoop()
}
