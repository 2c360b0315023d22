package h2

import (
	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
)

// Handler receives the events of one connection's streams. It is called from inside Feed and other methods of Conn and
// Stream. It may call the Conn and its streams, except Feed. Slices, headers and fields are valid during the call only.
type Handler interface {
	// HeadersReceived passes the headers of a request, on a server, or those of a response, on a client.
	HeadersReceived(s *Stream, h *Header)

	// MessageReceived passes one complete message. If it returns true, the handler retains the message's bytes in the
	// stream's window, which holds the peer back, until Stream.CreditWindow.
	MessageReceived(s *Stream, message []byte) (retained bool)

	// RequestEnded reports, on a server, that the client sends no more on the stream.
	RequestEnded(s *Stream)

	// StreamFinished reports, on a client, that the stream ended with a status.
	StreamFinished(s *Stream, code codes.Code, message string, trailer *Header)

	// StreamReset reports that the stream ended without a status: the peer reset it, a fault of the peer ended it, or the
	// connection is lost. If refused is true, the peer has not acted on the request.
	StreamReset(s *Stream, code http2.ErrCode, refused bool)

	// StreamFlushed reports that all output of the stream that had to wait is in the connection's output.
	StreamFlushed(s *Stream)

	// GoAwayReceived reports that the peer accepts no new streams on this connection.
	GoAwayReceived()

	// PingAcked reports that the peer has answered a Ping.
	PingAcked()
}
