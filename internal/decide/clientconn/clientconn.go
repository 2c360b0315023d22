// Package clientconn decides about client connections that carry one request at a time: how long a connection may stay
// in each state, which one is evicted for a new one, how many there may be, and when they are closed in a drain.
//
// The package does no I/O and reads no clock. All times are nanoseconds on one clock of the caller.
package clientconn

// ConnState is the state of a client connection.
type ConnState uint8

// The states of a connection.
const (
	StateNew            ConnState = iota // nothing of its next request has been read
	StateReadingRequest                  // part of a request has been received
	StateActive                          // a request is in progress
	StateIdle                            // waiting for the next request
	StateLingering                       // its last answer has been written; further input is discarded
)

const (
	second = int64(1e9)
	// firstByteTimeout bounds StateNew. Clients send a request as soon as they are connected, and a connection that
	// sends nothing must be closed within 3 s.
	firstByteTimeout = 2 * second
	// requestTimeout bounds StateReadingRequest. An incomplete request is answered with an error, the first one on a
	// connection within 3 s of connecting.
	requestTimeout = 5 * second / 2
	// lingerTimeout bounds StateLingering, in which the rest of a large request body is discarded: closing the
	// connection with unread input would send a reset, which could destroy the answer.
	lingerTimeout = 3 * second
	// idleTimeout bounds StateIdle, as some clients never send a further request.
	idleTimeout = 30 * second
	// readStallTimeout is how long a client may read nothing of its last answer before its connection is closed.
	readStallTimeout = 15 * second
	// maxLingerTime bounds StateLingering for a client that reads its last answer slowly. Without it, a client could
	// hold a descriptor indefinitely by reading a byte at a time.
	maxLingerTime = 60 * second
	// minIncompleteTime is how long a connection must be without a complete request to be evicted before idle ones.
	minIncompleteTime = second / 4
)

// MaxDiscardBytes is the most input that is discarded on a lingering connection.
const MaxDiscardBytes = 80 << 20

// UnreadRecheckDelay is the delay before a connection with unread input is checked again after its deadline.
const UnreadRecheckDelay = second / 100

// StateDeadline returns when the time in a state ends for a connection that entered it at since, or 0 if it is not
// limited. For the first request of a connection, since must be the time of connecting.
func StateDeadline(state ConnState, since int64) int64 {
	switch state {
	case StateNew:
		return since + firstByteTimeout
	case StateReadingRequest:
		return since + requestTimeout
	case StateIdle:
		return since + idleTimeout
	case StateLingering:
		return since + lingerTimeout
	case StateActive: // the request has its own deadline
	}
	return 0
}

// MayKeepLingering reports whether a connection that has lingered since lingeringSince stays open beyond its state
// deadline. The client has unreadBytes of its last answer still to read, and last read some of it at lastReadAt.
func MayKeepLingering(now, lingeringSince, lastReadAt int64, unreadBytes int) bool {
	return unreadBytes > 0 && now-lastReadAt < readStallTimeout && now-lingeringSince < maxLingerTime
}

// AnswerEnd describes a connection at the end of an answer or, if it is idle, when the listener closes.
type AnswerEnd struct {
	CloseAnnounced bool // the answer told the client that the connection will close
	ListenerClosed bool // the process drains
	HasUnreadInput bool // input was received that has not been read
}

// NextState returns the state after the end of an answer. A connection that is to be closed lingers first, with its
// output closed and its input discarded: closing it with unread input would send a reset, which could destroy the
// answer.
func NextState(end AnswerEnd) ConnState {
	switch {
	case end.CloseAnnounced, end.ListenerClosed && !end.HasUnreadInput:
		return StateLingering
	case end.ListenerClosed:
		return StateNew // the unread input is a request that is still served
	}
	return StateIdle
}
