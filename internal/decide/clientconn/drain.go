package clientconn

const (
	// listenTimeAfterDrain is how long after the start of a drain the listener stays open, as new connections may still
	// be routed to this process.
	listenTimeAfterDrain = second / 2
	// serveTimeAfterClose is how long after the listener has closed new requests are still served. Later ones are
	// rejected at once, as the process may be killed before it answers.
	serveTimeAfterClose = listenTimeAfterDrain / 4
)

// ListenerCloseTime returns when the listener closes in a drain that starts now.
func ListenerCloseTime(now int64) int64 { return now + listenTimeAfterDrain }

// RejectionStartTime returns the time from which new requests are rejected, for a listener that closed at closedAt.
func RejectionStartTime(closedAt int64) int64 { return closedAt + serveTimeAfterClose }
