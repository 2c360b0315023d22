package simulation

import (
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/eventlog"
)

const (
	pathGenerate = "/docksail.v1.Generation/Generate"

	headerRequestID       = "docksail-job"
	headerReservation     = "docksail-ticket-bin"
	headerBackground      = "docksail-background"
	headerPreviousAttempt = "grpc-previous-rpc-attempts"
	headerRetryPushback   = "grpc-retry-pushback-ms"
	headerStatusDetails   = "grpc-status-details-bin"
)

// attempt is one attempt of a client to get an answer to a request.
type attempt struct {
	session           *session
	conn              *grpcConn
	stream            *h2.Stream // nil while it is not open
	entry             eventlog.Entry
	deadline          int64 // Unix nanoseconds
	callTimeout       int64 // nanoseconds
	callTimer         eventloop.Timer
	cancelAfterTokens int // 0 = never
	hasReservation    bool

	requestID     string // the dispatcher's identifier of the request
	firstTokenAt  eventloop.Nanos
	tokenCount    int
	tokenInterval int64 // mean, nanoseconds
	isCorrupt     bool  // whether the answer has wrong or missing tokens
	isDone        bool
}

// outcome is the result of an attempt.
type outcome struct {
	code             codes.Code
	isFinal          bool // whether the dispatcher answered
	isConnectionLost bool
	isCanceled       bool // by the client
	retryAfter       int64
	reservation      string
}

// isRejection reports whether the dispatcher answered that it did not execute the request.
func (o *outcome) isRejection() bool {
	return o.isFinal && (o.code == codes.Unavailable || o.code == codes.ResourceExhausted)
}

// send sends the attempt on a connection as soon as that is open. The connection is nil if dialing it failed.
func (a *attempt) send(c *grpcConn) {
	a.conn = c
	if c == nil {
		a.session.group.loop.Post(func() { a.loseConnection("no connection") })
		return
	}
	if c.isOpen {
		a.openStream()
		return
	}
	if h, ok := c.handler.(*clientConnHandler); ok {
		h.pendingAttempts = append(h.pendingAttempts, a)
	}
}

// openStream sends the request on a new stream of the open connection.
func (a *attempt) openStream() {
	s := a.session
	var headers []hpack.HeaderField
	if s.attemptNumber > 0 {
		headers = append(headers, hpack.HeaderField{Name: headerPreviousAttempt, Value: strconv.Itoa(s.attemptNumber)})
	}
	if s.reservation != "" {
		headers = append(headers, hpack.HeaderField{Name: headerReservation, Value: s.reservation, Sensitive: true})
	}
	if s.group.class.Background {
		headers = append(headers, hpack.HeaderField{Name: headerBackground, Value: "1"})
	}
	message := mustMarshal(s.request)
	a.stream = a.conn.http2.OpenStream(pathGenerate, "docksail", a.callTimeout, headers...)
	a.stream.UserData = a
	a.stream.SendMessage(message, true)
	a.conn.flush()
}

func (a *attempt) logEvent(kind eventlog.Kind, code string) {
	e := a.entry
	e.Kind, e.Code, e.Request, e.Deadline, e.Value = kind, code, a.requestID, a.deadline, a.tokenInterval
	a.session.group.sim.Log.Add(e)
}

// resetStream resets the stream of the attempt if it is open.
func (a *attempt) resetStream() {
	if a.stream != nil {
		stream := a.stream
		a.stream, stream.UserData = nil, nil
		stream.Reset(http2.ErrCodeCancel)
		a.conn.flush()
	}
}

// timeOut ends the attempt after the timeout of its call.
func (a *attempt) timeOut() {
	a.resetStream()
	a.logEvent(eventlog.RequestUnanswered, "DeadlineExceeded: the client's own clock")
	a.finish(outcome{code: codes.DeadlineExceeded})
}

// cancelByClient ends the attempt because its client cancels it.
func (a *attempt) cancelByClient() {
	if a.isDone {
		return
	}
	a.resetStream()
	a.logEvent(eventlog.RequestCanceled, "")
	a.finish(outcome{code: codes.Canceled, isCanceled: true})
}

// loseConnection ends the attempt after its stream or connection has ended without an answer.
func (a *attempt) loseConnection(reason string) {
	if a.isDone {
		return
	}
	a.logEvent(eventlog.RequestUnanswered, "lost: "+reason)
	a.finish(outcome{code: codes.Unavailable, isConnectionLost: true})
}

// receiveTokens checks the tokens of a received message.
func (a *attempt) receiveTokens(message []byte) {
	var tokens pb.Tokens
	if proto.Unmarshal(message, &tokens) != nil {
		a.isCorrupt = true
		return
	}
	if a.tokenCount == 0 {
		a.firstTokenAt = a.session.group.now()
		a.logEvent(eventlog.FirstToken, "")
	}
	for i, token := range tokens.Tokens {
		if int(tokens.Position)+i != a.tokenCount || token != engine.TokenAt(a.session.request, a.tokenCount) {
			a.isCorrupt = true
		}
		a.tokenCount++
	}
	if a.cancelAfterTokens > 0 && a.tokenCount >= a.cancelAfterTokens {
		a.cancelByClient()
	}
}

// endWithStatus ends the attempt with the status of its stream.
func (a *attempt) endWithStatus(code codes.Code, message string, trailer *h2.Header) {
	pushback := trailer.Get(headerRetryPushback)
	switch {
	case code == codes.OK:
		a.endWithAnswer()
	case pushback != "":
		a.logEvent(eventlog.RequestAnswered, code.String())
		a.finish(a.refusedOutcome(code, pushback, trailer))
	default:
		a.logEvent(eventlog.RequestUnanswered, code.String()+": "+message)
		a.finish(outcome{code: code})
	}
}

// endWithAnswer ends an attempt whose stream ended with status OK.
func (a *attempt) endWithAnswer() {
	if a.tokenCount != engine.AnswerTokens(a.session.request) {
		a.isCorrupt = true
	}
	if a.tokenCount > 1 {
		a.tokenInterval = (a.session.group.now() - a.firstTokenAt) / int64(a.tokenCount-1)
	}
	result := "OK"
	if a.isCorrupt {
		result = "OK, but not the whole answer"
	}
	a.logEvent(eventlog.RequestAnswered, result)
	a.finish(outcome{code: codes.OK, isFinal: true})
}

// refusedOutcome returns the outcome of a request that the dispatcher rejected or failed, with the retry delay and the
// reservation that it returned.
func (a *attempt) refusedOutcome(code codes.Code, pushback string, trailer *h2.Header) outcome {
	milliseconds, _ := strconv.ParseInt(pushback, 10, 64)
	o := outcome{code: code, isFinal: true, retryAfter: milliseconds * int64(time.Millisecond)}
	if milliseconds >= 0 {
		o.retryAfter = max(o.retryAfter, retryInfoDelay(trailer.Get(headerStatusDetails)))
	}
	if !a.session.group.class.IgnoresRetryAfter {
		o.reservation = trailer.Get(headerReservation)
	}
	return o
}

// finish ends the attempt with an outcome.
func (a *attempt) finish(o outcome) {
	a.isDone = true
	a.session.group.loop.CancelTimer(&a.callTimer)
	a.session.attemptEnded(a, o)
}

// retryInfoDelay returns the delay of the RetryInfo in encoded status details, or 0 if there is none.
func retryInfoDelay(details string) int64 {
	text, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(details, "="))
	var st status.Status
	if err != nil || proto.Unmarshal(text, &st) != nil {
		return 0
	}
	for _, detail := range st.Details {
		var info errdetails.RetryInfo
		if detail.UnmarshalTo(&info) == nil {
			return int64(info.RetryDelay.AsDuration())
		}
	}
	return 0
}

// clientConnHandler passes the events of a client's connection to the attempts on it.
type clientConnHandler struct {
	pendingAttempts []*attempt // to be sent once the connection is open
}

func (h *clientConnHandler) opened(*grpcConn) {
	for _, a := range h.takePending() {
		if !a.isDone {
			a.openStream()
		}
	}
}

func (h *clientConnHandler) closed(*grpcConn) {
	for _, a := range h.takePending() {
		a.loseConnection("no connection")
	}
}

func (h *clientConnHandler) takePending() []*attempt {
	pending := h.pendingAttempts
	h.pendingAttempts = nil
	return pending
}

func (h *clientConnHandler) headers(_ *grpcConn, s *h2.Stream, header *h2.Header) {
	if a, ok := s.UserData.(*attempt); ok && a.requestID == "" {
		a.requestID = header.Get(headerRequestID)
	}
}

func (h *clientConnHandler) message(_ *grpcConn, s *h2.Stream, p []byte) {
	if a, ok := s.UserData.(*attempt); ok {
		a.receiveTokens(p)
	}
}

func (h *clientConnHandler) finished(s *h2.Stream, code codes.Code, message string, trailer *h2.Header) {
	a, ok := s.UserData.(*attempt)
	if !ok || a.isDone {
		return
	}
	a.stream, s.UserData = nil, nil
	if a.requestID == "" {
		a.requestID = trailer.Get(headerRequestID)
	}
	a.endWithStatus(code, message, trailer)
}

func (h *clientConnHandler) reset(s *h2.Stream) {
	if a, ok := s.UserData.(*attempt); ok && !a.isDone {
		a.stream, s.UserData = nil, nil
		a.loseConnection("the stream broke")
	}
}
