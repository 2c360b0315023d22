package userclient

import (
	"context"
	"errors"
	"io"
	"strconv"
	"sync/atomic"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/eventlog"
)

// Keys of the metadata of requests and answers.
const (
	previousAttemptsMetadata = "grpc-previous-rpc-attempts"
	backgroundMetadata       = "docksail-background"
	reservationMetadata      = "docksail-ticket-bin"
	requestNameMetadata      = "docksail-job"
	retryPushbackMetadata    = "grpc-retry-pushback-ms"
)

// tokenTimeAllowance is the time added to the timeout of a call for each token of the answer.
const tokenTimeAllowance = 200 * time.Millisecond

// outcome is the result of an attempt.
type outcome struct {
	code         codes.Code
	answered     bool // the status is from the dispatcher and not from grpc-go
	lost         bool // the connection was lost
	canceled     bool // the client canceled the attempt
	corrupt      bool // the answer has wrong or missing tokens
	firstTokenAt time.Time
	tokens       int           // number of tokens received
	retryAfter   time.Duration // negative: the dispatcher asks not to retry
	reservation  string        // to send with the next attempt
}

// isRejection reports whether the dispatcher rejected the attempt, which makes a retry safe.
func (o *outcome) isRejection() bool {
	return o.answered && (o.code == codes.Unavailable || o.code == codes.ResourceExhausted)
}

// attempt is one attempt of a client to get an answer to a request.
type attempt struct {
	*request
	number            int
	timeout           time.Duration // limit of the time to the first token
	sentAt            time.Time
	requestID         string // the dispatcher's identifier of the request; empty until it is known
	cancel            context.CancelFunc
	canceled          atomic.Bool
	cancelAfterTokens int // 0: never
	outcome           outcome
}

// run sends the attempt and waits for its end.
func (a *attempt) run(ctx context.Context, client pb.GenerationClient) {
	ctx, a.cancel = context.WithTimeout(a.withMetadata(ctx), a.callTimeout())
	defer a.cancel()
	a.scheduleCancel()
	a.req.PatienceNs = uint64(a.timeout)
	a.sentAt = time.Now()
	a.record(eventlog.RequestSent, "", 0)
	stream, err := client.Generate(ctx, a.req)
	for err == nil {
		var message *pb.Tokens
		if message, err = stream.Recv(); err == nil {
			a.receiveTokens(stream, message)
		}
	}
	var trailer metadata.MD
	if stream != nil {
		trailer = stream.Trailer()
	}
	if a.requestID == "" {
		a.requestID = firstValue(trailer, requestNameMetadata)
	}
	if errors.Is(err, io.EOF) {
		a.endWithAnswer()
	} else {
		a.endWithError(status.Convert(err), trailer)
	}
}

// callTimeout returns the timeout of the whole RPC.
func (a *attempt) callTimeout() time.Duration {
	if a.class.CallTimeout != 0 {
		return a.class.CallTimeout
	}
	return a.timeout + time.Duration(a.req.MaxTokens)*tokenTimeAllowance
}

// withMetadata returns the context with the request metadata of the attempt.
func (a *attempt) withMetadata(ctx context.Context) context.Context {
	if a.number > 0 {
		ctx = metadata.AppendToOutgoingContext(ctx, previousAttemptsMetadata, strconv.Itoa(a.number))
	}
	if a.class.Background {
		ctx = metadata.AppendToOutgoingContext(ctx, backgroundMetadata, "1")
	}
	if a.reservation != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, reservationMetadata, a.reservation)
	}
	return ctx
}

// scheduleCancel decides at random whether the client cancels this attempt, either after a time or after some tokens.
func (a *attempt) scheduleCancel() {
	if a.rng.Float64() >= a.class.CancelShare {
		return
	}
	if a.rng.IntN(2) == 0 {
		time.AfterFunc(time.Duration(a.rng.Float64()*float64(a.class.LatencyTarget)), a.cancelByClient)
		return
	}
	a.cancelAfterTokens = 1 + a.rng.IntN(max(int(a.req.MaxTokens)/2, 1))
}

func (a *attempt) cancelByClient() {
	a.canceled.Store(true)
	a.cancel()
}

// record adds an entry for the attempt to the event log. tokenInterval may be 0.
func (a *attempt) record(kind eventlog.Kind, code string, tokenInterval time.Duration) {
	a.runner.log.Add(eventlog.Entry{
		Kind:          kind,
		Code:          code,
		Request:       a.requestID,
		RequestLabel:  a.req.Label,
		ClientAttempt: a.number,
		Class:         a.class.Name,
		Tenant:        a.class.Tenant,
		Deadline:      a.sentAt.Add(a.timeout).UnixNano(),
		Value:         int64(tokenInterval),
	})
}

// receiveTokens checks and counts the tokens of a message.
func (a *attempt) receiveTokens(stream grpc.ServerStreamingClient[pb.Tokens], message *pb.Tokens) {
	if a.outcome.tokens == 0 {
		a.outcome.firstTokenAt = time.Now()
		if header, err := stream.Header(); err == nil {
			a.requestID = firstValue(header, requestNameMetadata)
		}
		a.record(eventlog.FirstToken, "", 0)
	}
	for i, token := range message.Tokens {
		position := a.outcome.tokens
		if int(message.Position)+i != position || token != engine.TokenAt(a.req, position) {
			a.outcome.corrupt = true
		}
		a.outcome.tokens++
	}
	if a.cancelAfterTokens > 0 && a.outcome.tokens >= a.cancelAfterTokens {
		a.cancelByClient()
	}
}

// endWithAnswer records the end of an answer with status OK.
func (a *attempt) endWithAnswer() {
	o := &a.outcome
	o.code, o.answered = codes.OK, true
	if o.tokens != engine.AnswerTokens(a.req) {
		o.corrupt = true
	}
	interval := time.Duration(0)
	if o.tokens > 1 {
		interval = time.Since(o.firstTokenAt) / time.Duration(o.tokens-1)
	}
	code := "OK"
	if o.corrupt {
		code = "OK, but not the whole answer"
	}
	a.record(eventlog.RequestAnswered, code, interval)
}

// endWithError records the end of an attempt with an error status.
func (a *attempt) endWithError(st *status.Status, trailer metadata.MD) {
	o := &a.outcome
	o.code = st.Code()
	pushback := trailer.Get(retryPushbackMetadata)
	switch {
	case a.canceled.Load():
		o.canceled = true
		a.record(eventlog.RequestCanceled, "", 0)
	case len(pushback) > 0:
		o.answered = true
		o.retryAfter = retryAfter(pushback[0], st)
		if !a.class.IgnoresRetryAfter {
			o.reservation = firstValue(trailer, reservationMetadata)
		}
		a.record(eventlog.RequestAnswered, o.code.String(), 0)
	case o.code == codes.Unavailable:
		o.lost = true
		a.record(eventlog.RequestUnanswered, "lost: "+st.Message(), 0)
	default:
		a.record(eventlog.RequestUnanswered, o.code.String()+": "+st.Message(), 0)
	}
}

// retryAfter returns the maximum of the pushback, in milliseconds, and the delay in the RetryInfo of the status. A
// negative pushback asks not to retry and overrides the RetryInfo.
func retryAfter(pushback string, st *status.Status) time.Duration {
	milliseconds, _ := strconv.Atoi(pushback)
	after := time.Duration(milliseconds) * time.Millisecond
	if milliseconds < 0 {
		return after
	}
	for _, detail := range st.Details() {
		if info, ok := detail.(*errdetails.RetryInfo); ok {
			after = max(after, info.RetryDelay.AsDuration())
		}
	}
	return after
}

// firstValue returns the first value of a metadata key, or "" if there is none.
func firstValue(md metadata.MD, key string) string {
	if values := md.Get(key); len(values) > 0 {
		return values[0]
	}
	return ""
}
