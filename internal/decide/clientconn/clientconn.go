// Package clientconn decides about connections of clients that carry one request at a time: how long each may stay in
// its state, which one is closed for a new one, how many there may be, and when they end in a drain.
//
// The package does no I/O and reads no clock. All times are nanoseconds on one clock of the caller.
package clientconn

// ConnState is the state of a connection.
type ConnState uint8

// The states of a connection.
const (
	StateNew            ConnState = iota // nothing was received on it yet
	StateReadingRequest                  // a request was received in part
	StateActive                          // a request of it is in progress
	StateIdle                            // between requests
	StateLingering                       // its last answer is written; further input is discarded
)

const (
	second = int64(1e9)
	// firstByteTimeout bounds StateNew. Clients send a request as soon as they are connected; a connection without one
	// only holds a descriptor. It is to be closed within 3 s.
	firstByteTimeout = 2 * second
	// requestTimeout bounds StateReadingRequest. A request that stays incomplete gets an error, the first one of a
	// connection also within 3 s of connecting.
	requestTimeout = 5 * second / 2
	// lingerTimeout bounds StateLingering. Meanwhile the rest of a large request body is received and discarded, since
	// closing the connection would send a reset that could destroy the answer.
	lingerTimeout = 3 * second
	// idleTimeout bounds StateIdle, as some clients never send a further request.
	idleTimeout = 30 * second
	// unreadTimeout is how long a client may read nothing of its last answer before it counts as gone.
	unreadTimeout = 15 * second
	// maxLingerTime bounds StateLingering for clients that read their last answer slowly, as a client could otherwise
	// hold a descriptor for ever by reading a byte now and then.
	maxLingerTime = 60 * second
	// minIncompleteTime is how long a connection has no complete request before it is preferred for eviction.
	minIncompleteTime = second / 4
)

// MaxDiscardBytes bounds the input that is discarded on a lingering connection.
const MaxDiscardBytes = 80 << 20

// UnreadRecheckDelay is how long after its deadline a connection is checked again that has input which is not read yet.
const UnreadRecheckDelay = second / 100

// StateDeadline returns when a connection that has been in a state since then is closed, or 0 for never.
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

// MayKeepLingering reports whether a connection that has been lingering since lingeringSince stays open beyond its
// deadline: unreadBytes of its last answer still wait for the client, which last read some at lastReadAt.
func MayKeepLingering(now, lingeringSince, lastReadAt int64, unreadBytes int) bool {
	return unreadBytes > 0 && now-lastReadAt < unreadTimeout && now-lingeringSince < maxLingerTime
}

// AnswerEnd is what is known about a connection when its answer has ended or, for an idle one, when the listener
// closes.
type AnswerEnd struct {
	CloseAnnounced bool // the answer told the client that the connection closes
	ListenerClosed bool // the process drains
	HasUnreadInput bool // something was received that is not read yet
}

// NextState returns the state that follows. Closing a connection with unread input would reset it, and could destroy
// the answer written last: therefore its output is closed first, and input is discarded while it lingers.
func NextState(end AnswerEnd) ConnState {
	switch {
	case end.CloseAnnounced, end.ListenerClosed && !end.HasUnreadInput:
		return StateLingering
	case end.ListenerClosed:
		return StateNew // the unread input is a request that still gets its answer
	}
	return StateIdle
}
