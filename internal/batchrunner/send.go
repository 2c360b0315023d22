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

// Metadata keys of the dispatcher's gRPC frontend.
const (
	backgroundKey = "docksail-background"
	requestIDKey  = "docksail-job"
	pushbackKey   = "grpc-retry-pushback-ms"
)

// minAttemptTimeout is the least timeout of an attempt.
const minAttemptTimeout = time.Millisecond

// attemptResult is the result of an attempt to run a line.
type attemptResult struct {
	outcome    batchscheduler.Outcome
	retryAfter time.Duration // requested by a rejection
	code       errorCode     // for the error file, if the line fails
	message    string        // for the error file, appended to the reason; may be empty
	output     []byte        // line of the output file, if the outcome is OutcomeServed
}

// sendLine sends the request of a line and handles its result.
func (r *Runner) sendLine(a *activeBatch, index batchscheduler.LineIndex) {
	line, request, err := r.readLine(a, index)
	if err != nil {
		r.handleResult(a, index, line, attemptResult{
			outcome: batchscheduler.OutcomeInvalid, code: codeCorrupt, message: err.Error(),
		})
		return
	}
	if a.class.Timeout <= 0 {
		r.handleResult(a, index, line, attemptResult{
			outcome: batchscheduler.OutcomeInvalid, code: codeInvalidRequest, message: "its class is not configured for batches",
		})
		return
	}
	if !r.waitForConnection(a.ctx) {
		r.handleResult(a, index, line, notSent(a.ctx.Err().Error()))
		return
	}
	attempts := r.startAttempt(a, index)
	if !a.class.marksAttempts() {
		result := r.generate(a, index, request)
		if result.outcome.MayHaveRun() && a.runnerCtx.Err() == nil { // a stop is not the line's fault
			r.storeWaiting(a, index, attempts)
		}
		r.handleResult(a, index, line, result)
		return
	}
	result := attemptResult{outcome: batchscheduler.OutcomeRejected, retryAfter: storeRetryInterval}
	err = r.lines.SetLineState(a.record.ID, index, batchscheduler.LineInFlight, attempts)
	if err == nil {
		result = r.generate(a, index, request)
	} else {
		r.log.Error("line not sent", "batch_id", a.record.ID, "line", index+1, "error", err)
	}
	if result.outcome.DidNotRun() {
		r.storeWaiting(a, index, line.Attempts)
	}
	r.handleResult(a, index, line, result)
}

// readLine reads a line's record and request. If only the request cannot be read, the line is valid despite the error.
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

// generate sends a request to the dispatcher and returns the result of the attempt.
func (r *Runner) generate(
	a *activeBatch, index batchscheduler.LineIndex, request *lineRequest,
) attemptResult {
	timeout, ok := r.attemptTimeout(a, index)
	if !ok {
		return attemptResult{outcome: batchscheduler.OutcomeRejected} // which ends the line, as it may have run before
	}
	body := &request.Body
	ctx, trace := withCallTrace(metadata.AppendToOutgoingContext(a.ctx, backgroundKey, "1"))
	stream, err := r.client.Generate(ctx, &pb.GenerateRequest{
		Track:           body.Model,
		Tenant:          a.record.Tenant,
		PromptTokens:    uint32(body.PromptTokens),
		MaxTokens:       uint32(body.MaxTokens),
		Beginning:       body.Prefix,
		BeginningTokens: uint32(body.PrefixTokens),
		Client:          body.User,
		Prompt:          []byte(body.Prompt),
		Label:           a.record.ID + "/" + request.CustomID,
		PatienceNs:      uint64(timeout),
	})
	if err != nil {
		return failedAttempt(a.ctx, trace, err, nil)
	}
	received, err := receiveAnswer(stream)
	if err != nil {
		return failedAttempt(a.ctx, trace, err, stream.Trailer().Get(pushbackKey))
	}
	return attemptResult{
		outcome: batchscheduler.OutcomeServed, output: encodeAnswer(a.record.ID, index, request, received),
	}
}

// attemptTimeout returns the timeout of an attempt that begins now, or false if it may not begin any more.
func (r *Runner) attemptTimeout(
	a *activeBatch, index batchscheduler.LineIndex,
) (timeout time.Duration, ok bool) {
	batchDeadline, _ := a.ctx.Deadline()
	timeout = min(a.class.Timeout, time.Until(batchDeadline))
	r.mu.Lock()
	defer r.mu.Unlock()
	if repeatDeadline, ok := r.scheduler.RepeatDeadline(a.id, index); ok {
		remaining := time.Duration(repeatDeadline - r.now())
		if remaining <= 0 {
			return 0, false
		}
		timeout = min(timeout, remaining)
	}
	return max(timeout, minAttemptTimeout), true
}

// answer is the complete answer to a line's request.
type answer struct {
	requestID string // assigned by the dispatcher
	text      string
	tokens    int
}

// receiveAnswer receives an answer until the end of its stream.
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

// notSent returns the result of an attempt whose request has certainly not reached the dispatcher.
func notSent(message string) attemptResult {
	return attemptResult{outcome: batchscheduler.OutcomeNotSent, code: codeConnectionLost, message: message}
}

// failedAttempt returns the result of an attempt whose call failed with err. pushback has the values of the trailer
// that asks the client to retry later.
func failedAttempt(ctx context.Context, trace *callTrace, err error, pushback []string) attemptResult {
	call := status.Convert(err)
	switch code := call.Code(); {
	case !trace.isSent:
		return notSent(call.Message())
	case ctx.Err() != nil && len(pushback) == 0: // Cancel was called, the deadline passed or the runner stopped
		return attemptResult{
			outcome: batchscheduler.OutcomeConnectionLost, code: codeInterrupted, message: "called back while it was out",
		}
	case (code == codes.Unavailable || code == codes.ResourceExhausted) && len(pushback) > 0:
		pushbackMillis, _ := strconv.ParseInt(pushback[0], 10, 64) // an invalid number leaves the delay to the backoff
		return attemptResult{
			outcome:    batchscheduler.OutcomeRejected,
			retryAfter: time.Duration(max(pushbackMillis, 0)) * time.Millisecond,
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

// handleResult reports the result of an attempt to the scheduler and stores it if the line has ended. An answer is on
// disk before the scheduler counts the line as completed.
func (r *Runner) handleResult(
	a *activeBatch, index batchscheduler.LineIndex, line batchstore.Line, result attemptResult,
) {
	if result.outcome == batchscheduler.OutcomeServed {
		err := r.storeUntilDone(a, func() error {
			return r.lines.RecordResult(a.record.ID, index, batchstore.ResultCompleted, result.output)
		})
		if err != nil { // the runner stops, or the batch's records are corrupt
			result = attemptResult{
				outcome: batchscheduler.OutcomeConnectionLost, code: codeResultNotStored, message: err.Error(),
			}
		}
	}
	r.mu.Lock()
	verdict, reason := r.scheduler.ReportOutcome(r.now(), a.id, index, result.outcome, int64(result.retryAfter))
	r.beginStoring(a)
	isCancelled := a.record.State == batchscheduler.StateCancelling
	isStopping := a.runnerCtx.Err() != nil && !isCancelled && !a.expired
	r.mu.Unlock()

	if verdict == batchscheduler.VerdictFailed && !isStopping { // after a stop the next process resumes the line
		text := encodeAttemptFailure(a.record.ID, index, line.CustomID, result, reason, isCancelled)
		_ = r.storeUntilDone(a, func() error {
			return r.lines.RecordResult(a.record.ID, index, batchstore.ResultFailed, text)
		})
	}
	r.endStored(a)
}
