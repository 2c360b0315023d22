package keepalive

// maxConns bounds the connections to one engine. A second one helps where the engine allows few streams on one; more
// would only cost it.
const maxConns = 4

// ConnChoice is by which connection an attempt is sent.
type ConnChoice uint8

// The choices.
const (
	UseConn  ConnChoice = iota // an existing connection
	DialConn                   // a new connection
	NoConn                     // none: all are full and no more are allowed, so the attempt is not sent
)

// SelectConn returns by which connection an attempt is sent: the ready one with fewest streams, else the connecting one
// with fewest streams, else a new one. index is that of the existing connection with UseConn, otherwise -1.
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

// fewestStreams returns the index of the connection with fewest streams among the eligible ones, or -1.
func fewestStreams(conns []ConnStatus, eligible func(ConnStatus) bool) int {
	best := -1
	for i, conn := range conns {
		if eligible(conn) && (best < 0 || conn.StreamCount < conns[best].StreamCount) {
			best = i
		}
	}
	return best
}
