// Package serverconn decides about connections to servers that carry one request at a time: whether an idle connection
// is reused and when it is closed, whether a lost connection was stale, and how many connections attempts may use.
//
// The package does no I/O and reads no clock. All times are nanoseconds on one clock of the caller.
package serverconn

const (
	// MaxHeadFields is the most fields in the head of a response.
	MaxHeadFields = 128
	// MaxReadBytes is the most bytes that are read from a server at once, and so relayed after its client is blocked.
	MaxReadBytes = 16 << 10
	// ConnectionBytes is what a connection takes beside its buffers.
	ConnectionBytes = 2 << 10
	// TrackerBytes is what the releases of one request take.
	TrackerBytes = 1 << 10
)

const (
	// minIdleBeforeReuse is how long a connection stays idle before it is reused, in nanoseconds: a server may send a
	// second response, which would be taken for the response to the next request.
	minIdleBeforeReuse = int64(10e6)
	// idleTimeoutFraction is the fraction of the server's own idle timeout after which an idle connection is closed: a
	// request that is sent while the server closes the connection is lost.
	idleTimeoutFraction = 2.0 / 3
	// defaultIdleTimeout is how long an idle connection is kept if the server's idle timeout is unknown, in nanoseconds.
	defaultIdleTimeout = int64(10e9)
	// staleResetDivisor divides the connect timeout into the time within which the reset of a connection that the server
	// had already closed arrives: one round trip.
	staleResetDivisor = 50
	// maxConsecutiveStaleConns is the number of consecutive attempts of a request lost with stale connections after
	// which the next one uses a new connection, as a request has few attempts.
	maxConsecutiveStaleConns = 2
)

// ConnPolicy decides when connections to servers are reused, closed or considered stale.
type ConnPolicy struct {
	IdleTimeout    int64 // after which servers close idle connections; 0 if unknown
	ConnectTimeout int64 // after which an attempt to establish a connection fails
}

// IsReusable reports whether a connection that has been idle since idleSince may carry another request. It does not
// allow for servers that close idle connections earlier than configured: an attempt that is lost at once costs less
// than many more new connections.
func (p ConnPolicy) IsReusable(now, idleSince int64) bool {
	return now-idleSince >= minIdleBeforeReuse && now < p.IdleDeadline(idleSince)
}

// IdleDeadline returns when a connection that has been idle since idleSince is closed.
func (p ConnPolicy) IdleDeadline(idleSince int64) int64 {
	if p.IdleTimeout <= 0 {
		return idleSince + defaultIdleTimeout
	}
	return idleSince + int64(idleTimeoutFraction*float64(p.IdleTimeout))
}

// LostConn describes a connection that was lost with a request on it.
type LostConn struct {
	UseCount         int   // requests sent on it, including this one
	RequestSent      bool  // the complete request was passed to the operating system
	ResponseStarted  bool  // data of the response was received
	LostAfterSending int64 // time from the start of sending to the loss of the connection
}

// IsStale reports whether the server had probably closed the connection before the request was sent: it had carried
// another request, no response came, and it was lost at once or before the request was sent completely. Such a loss
// does not count as a failure of the server.
func (p ConnPolicy) IsStale(lost LostConn) bool {
	if lost.UseCount <= 1 || lost.ResponseStarted {
		return false
	}
	return !lost.RequestSent || lost.LostAfterSending < p.ConnectTimeout/staleResetDivisor
}

// MayUseIdleConn reports whether an attempt may use an idle connection. consecutiveStaleConns is how many attempts of
// its request in a row were lost with stale connections.
func MayUseIdleConn(consecutiveStaleConns int) bool {
	return consecutiveStaleConns < maxConsecutiveStaleConns
}

// ShouldCloseIdleConns reports whether the idle connections to a server are closed after an abandoned attempt whose
// request was sent at sentAt. They are if nothing was received from the server, on any connection, since then.
func ShouldCloseIdleConns(sentAt, lastHeardAt int64) bool { return lastHeardAt <= sentAt }

const (
	// releaseReserveFraction is the fraction of the connections to servers that is reserved for releases, so that
	// attempts cannot prevent the release of KV state.
	releaseReserveFraction = 1.0 / 16
	// minReleaseReserve is the minimum number of connections reserved for releases.
	minReleaseReserve = 1
)

// MaxAttemptConns returns how many of maxConns connections attempts may use, at least 1.
func MaxAttemptConns(maxConns int) int {
	reserve := max(int(releaseReserveFraction*float64(maxConns)), minReleaseReserve)
	return max(maxConns-reserve, 1)
}
