// Package serverconn decides about connections to servers that carry one request at a time: whether a connection is
// reused, when an idle one is closed, whether a lost one was stale, and how many connections attempts may use.
//
// The package does no I/O and reads no clock. All times are nanoseconds on one clock of the caller.
package serverconn

const (
	// minIdleTime is how long a connection stays idle before it is reused: a second response may follow the first, and
	// would be taken for the response to the next request.
	minIdleTime = int64(10e6)
	// idleTimeoutFraction is the fraction of the server's own idle timeout after which an idle connection is closed,
	// since a request that is sent while the server closes the connection is lost.
	idleTimeoutFraction = 2.0 / 3
	// defaultIdleTimeout is how long an idle connection is kept where the server's idle timeout is unknown.
	defaultIdleTimeout = int64(10e9)
	// staleResetDivisor divides the connect timeout into the time within which a server resets a connection that it has
	// already closed: one round trip, as no work is done.
	staleResetDivisor = 50
	// maxConsecutiveStaleConns is how many attempts of a request in a row may be lost with stale connections. The next
	// one uses a new connection, since a request has few attempts.
	maxConsecutiveStaleConns = 2
)

// ConnPolicy decides about connections to servers by two timeouts.
type ConnPolicy struct {
	IdleTimeout    int64 // after which servers close idle connections; 0 if unknown
	ConnectTimeout int64 // after which establishing a connection is given up
}

// IsReusable reports whether a connection that has been idle since idleSince may carry another request. Servers that
// close idle connections earlier than they state are not considered: measurements showed that losing one attempt in six
// at once costs less than establishing half of the connections anew.
func (p ConnPolicy) IsReusable(now, idleSince int64) bool {
	return now-idleSince >= minIdleTime && now < p.IdleDeadline(idleSince)
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
	UseCount         int   // requests that it has carried, with this one
	RequestSent      bool  // the operating system had the complete request
	ResponseStarted  bool  // data of the response was received
	LostAfterSending int64 // time from the start of sending to the loss
}

// IsStale reports whether the connection was already closed by the server when the request was sent: it had carried
// another request before, no response came, and it was lost at once or before the request was sent completely. Such a
// loss is not the server's fault.
func (p ConnPolicy) IsStale(lost LostConn) bool {
	if lost.UseCount <= 1 || lost.ResponseStarted {
		return false
	}
	return !lost.RequestSent || lost.LostAfterSending < p.ConnectTimeout/staleResetDivisor
}

// MayUseIdleConn reports whether an attempt may use an idle connection, after so many consecutive attempts of its
// request were lost with stale connections.
func MayUseIdleConn(consecutiveStaleConns int) bool {
	return consecutiveStaleConns < maxConsecutiveStaleConns
}

// ShouldCloseIdleConns reports whether the idle connections to a server are closed after an attempt was abandoned whose
// request was sent at sentAt: nothing was received from the server, on any connection, since then.
func ShouldCloseIdleConns(sentAt, lastHeardAt int64) bool { return lastHeardAt <= sentAt }

const (
	// releaseReserveFraction is the fraction of the connections to servers that is reserved for releases, so that
	// attempts cannot keep KV state from being released.
	releaseReserveFraction = 1.0 / 16
	// minReleaseReserve is the least number of connections that are reserved for releases.
	minReleaseReserve = 1
)

// MaxAttemptConns returns how many of maxConns connections attempts may use. It is at least 1.
func MaxAttemptConns(maxConns int) int {
	reserve := max(int(releaseReserveFraction*float64(maxConns)), minReleaseReserve)
	return max(maxConns-reserve, 1)
}
