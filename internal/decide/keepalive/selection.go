package keepalive

// maxConns bounds the connections to one engine. More than one is needed only where the engine allows few streams on a
// connection. Further ones would only cost it.
const maxConns = 4

// ConnChoice says which kind of connection an attempt is sent on.
type ConnChoice uint8

// The choices.
const (
	UseConn  ConnChoice = iota // on an existing connection
	DialConn                   // on a new connection
	NoConn                     // on none: all are full and no more are allowed, so the attempt is not sent
)

// SelectConn returns the connection for an attempt: the ready one with the fewest streams, otherwise the connecting one
// with the fewest streams, otherwise a new one. index is the index in conns with UseConn, and -1 otherwise.
func SelectConn(conns []ConnStatus) (choice ConnChoice, index int) {
	index = fewestStreams(conns, func(c ConnStatus) bool { return c.Ready })
	if index < 0 {
		index = fewestStreams(conns, func(c ConnStatus) bool { return c.Connecting })
	}
	switch {
	case index >= 0:
		return UseConn, index
	case len(conns) < maxConns:
		return DialConn, -1
	}
	return NoConn, -1
}

// fewestStreams returns the index of the eligible connection with the fewest streams, or -1 if none is eligible.
func fewestStreams(conns []ConnStatus, eligible func(ConnStatus) bool) int {
	best := -1
	for i, conn := range conns {
		if eligible(conn) && (best < 0 || conn.StreamCount < conns[best].StreamCount) {
			best = i
		}
	}
	return best
}
