// Package clientconn decides about the connections of clients that carry one request at a time: how long each may stand as
// it is, which goes when descriptors are short, and how descriptors are shared out. It does no I/O and reads no clock.
package clientconn

// ConnState is what a connection is about.
type ConnState uint8

const (
	StateNew            ConnState = iota // nothing has come on it yet
	StateReadingRequest                  // a request has come in part
	StateActive                          // a request of it is in hand
	StateIdle                            // between requests
	StateLingering                       // it has had its last answer: what still comes is thrown away
)

const (
	second = int64(1e9)
	// A client that means it sends its request with its connection; others hold a descriptor for nothing. They are to
	// hear within 3 s of connecting.
	firstByteTimeout = 2 * second
	// A request whose bytes stop coming is answered for, also within 3 s of connecting if it is the first.
	requestTimeout = 5 * second / 2
	// Large bodies that nobody wants may still come for so long after the answer, so that it is not lost to a reset.
	lingerTimeout = 3 * second
	// Clients keep connections for their next request; one that asked once and never again goes after some time.
	idleTimeout = 30 * second
	// A connection between requests may be closed after this; before, its client may be about to ask.
	minIdle = 2 * second
	// A client may be slow to take its last answer; one that takes nothing of it for so long is gone.
	unreadTimeout = 15 * second
	// However slowly it takes it, a last answer has so long in all: some would hold a descriptor for ever by a byte now and then.
	maxLinger = 60 * second
	// In a crowd a client that has said nothing for so long is taken for one that never will.
	minSilent = second / 4
)

// MaxDiscardBytes is how many bytes are thrown away on a connection that is over.
const MaxDiscardBytes = 80 << 20

// StateDeadline tells when a connection that has stood as it is since then is to be ended; 0 = never.
func StateDeadline(stage ConnState, since int64) int64 {
	switch stage {
	case StateNew:
		return since + firstByteTimeout
	case StateReadingRequest:
		return since + requestTimeout
	case StateIdle:
		return since + idleTimeout
	case StateLingering:
		return since + lingerTimeout
	}
	return 0
}

// MayKeepLingering tells that a connection that is over stays beyond its time: so many bytes of its last answer still wait for the
// client, which last took some at that time; over is since when the connection is.
func MayKeepLingering(now, over, taken int64, waiting int) bool {
	return waiting > 0 && now-taken < unreadTimeout && now-over < maxLinger
}

// UnreadRecheckDelay is how long after its time a connection is looked at again on which something came in that moment: by then it
// is read.
const UnreadRecheckDelay = second / 100

// MaxEvictionCandidates is how many connections of a kind are looked at to find one that may end for a new one.
const MaxEvictionCandidates = 4

// Eviction is what makes room for a new connection.
type Eviction uint8

const (
	RejectNewConn         Eviction = iota // the new one goes
	EvictOldestIncomplete                 // of those on which no whole request has come yet, the first
	EvictOldestIdle
)

// ChooseEviction decides who goes when there may be no more connections: silent and resting are since when the first of each
// kind has stood so, of those that have neither unread bytes nor an answer that still waits; 0 = there is none. A client whose resting connection goes makes another for its next request; one
// whose first request has not been read yet fails. It guards against crowds that would have usual clients shut out.
func ChooseEviction(now, silent, resting int64) Eviction {
	switch {
	case silent > 0 && now-silent >= minSilent:
		return EvictOldestIncomplete
	case resting > 0 && now-resting >= minIdle:
		return EvictOldestIdle
	case silent > 0 && resting == 0:
		return EvictOldestIncomplete
	case resting > 0:
		return EvictOldestIdle
	}
	return RejectNewConn
}

const (
	// ownShare of the descriptors, and a few, are kept for the process itself, the list of servers and the moment in which a
	// descriptor is between two owners.
	ownShare = 1.0 / 32
	ownLeast = 24
	// serverShare of all is the servers': clients hold as many for requests, each of which has one attempt out at most. The
	// rest is the clients', as more knock than ask.
	serverShare = 1.0 / 3
)

// DescriptorShares tells how many connections clients and servers may have.
func DescriptorShares(descriptors int) (clients, servers int) {
	free := descriptors - ownLeast - int(ownShare*float64(descriptors))
	servers = max(int(serverShare*float64(descriptors)), 1)
	return max(free-servers, 1), servers
}

// bodyShare of the memory may be filled with requests that have come in part.
const bodyShare = 1.0 / 16

// MaxPartialRequestBytes is how many bytes of requests may be kept that have come in part.
func MaxPartialRequestBytes(memory int64) int64 { return int64(bodyShare * float64(memory)) }

const (
	// listenFor is how long after a signal to leave new connections are still dealt out to us.
	listenFor = second / 2
	// serveFor is how long after the listener has closed a request is still served: what came later than 0.7 s after
	// the signal may find the process killed before its answer, so it is refused at once.
	serveFor = listenFor / 4
)

// ListenerCloseTime tells when the listener closes after the signal to leave.
func ListenerCloseTime(now int64) int64 { return now + listenFor }

// RejectionStartTime tells from when on requests are refused after the listener has closed.
func RejectionStartTime(closed int64) int64 { return closed + serveFor }

// NextState tells what a connection is about when its answer has ended, or at rest when the listener closes. last: the client was
// told that the connection ends; closed: the listener is; unread: something has come on it that is not read. Who closes a connection over unread bytes
// resets it, and what was written last may be lost with it: the output ends first, and what comes is thrown away.
func NextState(last, closed, unread bool) ConnState {
	switch {
	case last, closed && !unread:
		return StateLingering
	case closed:
		return StateNew
	}
	return StateIdle
}
