package h2

import (
	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
)

// Handler receives the events of one connection's streams. It is called from inside Feed and other methods of Conn and
// Stream. It may call all methods of the Conn and its streams except Feed. Slices, headers and fields are valid only
// during the call.
type Handler interface {
	// HeadersReceived passes the headers of a request (on a server) or of a response (on a client).
	HeadersReceived(s *Stream, h *Header)

	// MessageReceived passes one complete message. If it returns true, the message's bytes count against the stream's
	// flow-control window until the handler returns them with Stream.CreditWindow.
	MessageReceived(s *Stream, message []byte) (retained bool)

	// RequestEnded reports, on a server, that the client has closed its sending side of the stream.
	RequestEnded(s *Stream)

	// StreamFinished reports, on a client, that the stream ended with a status.
	StreamFinished(s *Stream, code codes.Code, message string, trailer *Header)

	// StreamReset reports that the stream ended without a status: the peer reset it, an error of the peer ended it, or
	// the connection was lost. If refused is true, the peer has not processed the request.
	StreamReset(s *Stream, code http2.ErrCode, refused bool)

	// StreamFlushed reports that all pending output of the stream has been moved to the connection's output.
	StreamFlushed(s *Stream)

	// GoAwayReceived reports that the peer accepts no new streams on this connection.
	GoAwayReceived()

	// PingAcked reports that the peer has acknowledged a Ping.
	PingAcked()
}
