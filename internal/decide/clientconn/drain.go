package clientconn

const (
	// listenTimeAfterDrain is how long after the start of a drain new connections may still be routed to this process.
	listenTimeAfterDrain = second / 2
	// serveTimeAfterClose is how long after the listener has closed requests are still served. A request that comes
	// later than about 0.7 s after the start of the drain is rejected at once, as the process may be killed before its
	// answer.
	serveTimeAfterClose = listenTimeAfterDrain / 4
)

// ListenerCloseTime returns when the listener closes in a drain that starts now.
func ListenerCloseTime(now int64) int64 { return now + listenTimeAfterDrain }

// RejectionStartTime returns from when on requests are rejected after the listener closed at closedAt.
func RejectionStartTime(closedAt int64) int64 { return closedAt + serveTimeAfterClose }
