package grpc

import (
	"encoding/base64"
	"errors"
	"strconv"
	"strings"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"

	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/internal/h2"
	"docksail/policy"
)

const (
	pathGenerate = "/docksail.v1.Generation/Generate"

	headerTicket     = "docksail-ticket-bin" // see frontend.RejectionError
	headerBackground = "docksail-background" // any non-empty value marks a background request
)

// pendingCall is a call of Generate whose message has not arrived yet. It is the UserData of its stream until then;
// afterwards the stream's UserID is the ID of the request.
type pendingCall struct {
	writer           responseWriter
	arrivedAt        eventloop.Nanos
	timeout          int64 // nanoseconds; 0 = none
	previousAttempts int64
	ticket           []byte
	background       bool
	traceParent      string
}

// callError is the status that ends a call which cannot be submitted.
type callError struct {
	code   codes.Code
	reason string
}

func (e *callError) Error() string { return e.reason }

// invalidCall returns the status of a call that the client has made incorrectly.
func invalidCall(reason string) *callError { return &callError{codes.InvalidArgument, reason} }

// endWithError ends a call that cannot be submitted or, after it was submitted, turns out to be invalid.
func (c *conn) endWithError(stream *h2.Stream, err *callError) {
	if err.code == codes.InvalidArgument {
		c.server.counts.InvalidCalls++
	}
	stream.EndWithStatus(err.code, err.reason)
}

// HeadersReceived implements h2.Handler.
func (c *conn) HeadersReceived(stream *h2.Stream, header *h2.Header) {
	if path := header.Get(":path"); path != pathGenerate {
		c.openServiceCall(stream, path)
		return
	}
	call, err := parseMetadata(header)
	if err != nil {
		c.endWithError(stream, err)
		return
	}
	call.arrivedAt = c.now
	stream.UserData = call
}

// parseMetadata returns the call that a header list describes.
func parseMetadata(header *h2.Header) (*pendingCall, *callError) {
	call := &pendingCall{}
	if value := header.Get("grpc-timeout"); value != "" {
		timeout, err := h2.ParseTimeout(value)
		if err != nil {
			return nil, invalidCall(err.Error())
		}
		if timeout == 0 {
			return nil, &callError{codes.DeadlineExceeded, "the call's time is up"}
		}
		call.timeout = timeout
	}
	if value := header.Get("grpc-encoding"); value != "" && value != "identity" {
		reason := "grpc-encoding " + value + ": this server takes none but identity"
		return nil, &callError{codes.Unimplemented, reason}
	}
	if value := header.Get("grpc-previous-rpc-attempts"); value != "" {
		attempts, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return nil, invalidCall("grpc-previous-rpc-attempts " + strconv.Quote(value) + ": want a number")
		}
		call.previousAttempts = int64(attempts)
	}
	call.ticket = decodeTicket(header.Get(headerTicket))
	call.background = header.Get(headerBackground) != ""
	call.traceParent = header.Get("traceparent")
	return call, nil
}

// decodeTicket decodes the value of headerTicket, with or without padding. It returns nil if the value is empty or
// malformed.
func decodeTicket(value string) []byte {
	if value == "" {
		return nil
	}
	ticket, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(value, "="))
	if err != nil {
		return nil
	}
	return ticket
}

// MessageReceived implements h2.Handler. It retains no message.
func (c *conn) MessageReceived(stream *h2.Stream, p []byte) (retained bool) {
	switch call := stream.UserData.(type) {
	case *serviceCall:
		c.handleServiceMessage(stream, call, p)
	case *pendingCall:
		c.submit(stream, call, p)
	default:
		if id := policy.RequestID(stream.UserID); id != 0 {
			c.endWithError(stream, invalidCall("a second message: Generate takes one"))
			c.server.dispatcher.ClientDisconnected(c.now, id)
		}
	}
	return false
}

// submit decodes the message of a call and submits the request to the dispatcher.
func (c *conn) submit(stream *h2.Stream, call *pendingCall, message []byte) {
	request := &c.server.request
	if err := decodeRequest(request, message); err != nil {
		c.endWithError(stream, invalidCall(err.Error()))
		return
	}
	call.applyMetadata(request, c.now)
	request.Source = c.source
	stream.UserData = nil
	c.server.counts.Calls++
	call.writer = responseWriter{c, stream}
	id, err := c.server.dispatcher.Submit(c.now, &call.writer, request)
	var rejection frontend.RejectionError
	switch {
	case err == nil:
		stream.UserID = uint64(id)
	case errors.As(err, &rejection):
		call.writer.Reject(0, rejection)
	default:
		c.endWithError(stream, invalidCall(err.Error()))
	}
}

// applyMetadata sets the fields of request that the call's metadata determines. The call's timeout runs from the
// arrival of its header list.
func (call *pendingCall) applyMetadata(request *frontend.Request, now eventloop.Nanos) {
	request.PreviousAttempts = call.previousAttempts
	request.TraceParent = call.traceParent
	request.Ticket = call.ticket
	request.Background = call.background
	if call.timeout > 0 {
		request.CallTimeout = max(1, call.timeout-(now-call.arrivedAt))
	}
}

// RequestEnded implements h2.Handler.
func (c *conn) RequestEnded(stream *h2.Stream) {
	switch call := stream.UserData.(type) {
	case *pendingCall:
		c.endWithError(stream, invalidCall("no message: Generate takes one"))
	case *serviceCall:
		if call.path != pathHealthWatch {
			stream.EndWithStatus(codes.OK, "")
		}
	}
}

// StreamReset implements h2.Handler.
func (c *conn) StreamReset(stream *h2.Stream, _ http2.ErrCode, _ bool) {
	if id := policy.RequestID(stream.UserID); id != 0 {
		stream.UserID = 0
		c.server.dispatcher.ClientDisconnected(c.now, id)
	}
}

// StreamFlushed implements h2.Handler.
func (c *conn) StreamFlushed(stream *h2.Stream) {
	if stream.UserID != 0 {
		c.server.dispatcher.ClientWritable(c.now, policy.RequestID(stream.UserID))
	}
}

// StreamFinished implements h2.Handler. It is not called on a server's connections.
func (c *conn) StreamFinished(*h2.Stream, codes.Code, string, *h2.Header) {}

// GoAwayReceived implements h2.Handler. A server opens no streams.
func (c *conn) GoAwayReceived() {}

// PingAcked implements h2.Handler. The frontend sends no pings.
func (c *conn) PingAcked() {}
