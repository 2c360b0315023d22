package grpc

import (
	"encoding/base64"
	"strconv"
	"time"

	"golang.org/x/net/http2/hpack"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/internal/h2"
	"docksail/policy"
)

const (
	headerRequestName   = "docksail-job"
	headerRetryPushback = "grpc-retry-pushback-ms"
	headerStatusDetails = "grpc-status-details-bin"

	noRetryPushback = "-1" // tells the client not to retry

	// Clients tell a rejected call from a failed one by these prefixes of the status message.
	rejectedMessagePrefix = "nacked: "
	failedMessagePrefix   = "abandoned: "
)

// responseWriter is the frontend.ResponseWriter of a call.
type responseWriter struct {
	conn   *conn
	stream *h2.Stream
}

// WriteTokens implements frontend.ResponseWriter.
func (w *responseWriter) WriteTokens(id policy.RequestID, p []byte) (blocked bool) {
	if !w.stream.HeadersSent() {
		w.stream.SendHeaders(w.requestNameField(id))
	}
	w.stream.SendMessage(p, false)
	w.conn.scheduleFlush()
	return w.stream.PendingBytes() > 0
}

// Complete implements frontend.ResponseWriter. The status is OK.
func (w *responseWriter) Complete(id policy.RequestID) { w.end(id, codes.OK, "") }

// Fail implements frontend.ResponseWriter. The status is ABORTED.
func (w *responseWriter) Fail(id policy.RequestID, reason string) {
	w.end(id, codes.Aborted, failedMessagePrefix+reason,
		hpack.HeaderField{Name: headerRetryPushback, Value: noRetryPushback})
}

// Reject implements frontend.ResponseWriter. The status is UNAVAILABLE, or RESOURCE_EXHAUSTED if the tenant's own
// limit was exceeded. The trailer says after which time to retry.
func (w *responseWriter) Reject(id policy.RequestID, rejection frontend.RejectionError) {
	code, message := codes.Unavailable, rejectedMessagePrefix+rejection.Reason
	if rejection.TenantLimitExceeded {
		code = codes.ResourceExhausted
	}
	retryAfterMillis := (rejection.RetryAfter + 1e6 - 1) / 1e6
	trailer := []hpack.HeaderField{
		{Name: headerRetryPushback, Value: strconv.FormatInt(retryAfterMillis, 10)},
		{Name: headerStatusDetails, Value: statusDetails(code, message, rejection.RetryAfter)},
	}
	if rejection.Ticket != nil {
		ticket := base64.RawStdEncoding.EncodeToString(rejection.Ticket)
		trailer = append(trailer, hpack.HeaderField{Name: headerTicket, Value: ticket})
	}
	w.end(id, code, message, trailer...)
}

// end ends the call with a status and further trailer fields. If no headers were sent, it adds the request's name to
// them.
func (w *responseWriter) end(id policy.RequestID, code codes.Code, message string, trailer ...hpack.HeaderField) {
	if id != 0 && !w.stream.HeadersSent() {
		trailer = append(trailer, w.requestNameField(id))
	}
	w.stream.EndWithStatus(code, message, trailer...)
	w.conn.scheduleFlush()
}

// requestNameField returns the header field that names a request.
func (w *responseWriter) requestNameField(id policy.RequestID) hpack.HeaderField {
	return hpack.HeaderField{Name: headerRequestName, Value: w.conn.server.dispatcher.RequestName(id)}
}

// statusDetails returns the value of grpc-status-details-bin: an encoded google.rpc.Status with a RetryInfo.
func statusDetails(code codes.Code, message string, retryAfter eventloop.Nanos) string {
	info, err := anypb.New(&errdetails.RetryInfo{RetryDelay: durationpb.New(time.Duration(retryAfter))})
	if err != nil {
		return ""
	}
	b, err := proto.Marshal(&status.Status{Code: int32(code), Message: message, Details: []*anypb.Any{info}})
	if err != nil {
		return ""
	}
	return base64.RawStdEncoding.EncodeToString(b)
}
