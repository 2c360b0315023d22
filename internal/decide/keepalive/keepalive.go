// Package keepalive decides about the multiplexed connections to one engine: which one carries an attempt, when another
// is established, when a silent one is pinged and when one is closed. It also limits the attempts to an engine that may
// have restarted, and says which load reports are fresh enough to use.
//
// Whether an engine is healthy is decided by package policy. This package does no I/O and reads no clock. All times are
// nanoseconds on one clock of the caller.
package keepalive

// ConnStatus describes one connection.
type ConnStatus struct {
	Ready            bool  // established and able to open another stream
	Connecting       bool  // being established
	StreamCount      int   // outstanding attempts on the connection
	LastReceivedAt   int64 // when anything was last received on it
	LastPingAt       int64 // when the last ping was sent; 0 if none was
	PingsWithoutData int   // pings since the engine last sent anything but acknowledgements of pings
	LastUsedAt       int64 // when an attempt was last sent or ended
	LastSentAt       int64 // when an attempt was last sent
}

// Verdict says what to do with a connection.
type Verdict uint8

// The verdicts.
const (
	KeepConn    Verdict = iota // leave it as it is
	SendPing                   // ping the engine
	CloseDead                  // close it as dead; its attempts fail with it
	CloseUnused                // close it, as it has been unused for too long
)

// Policy says when a silent connection is pinged and closed.
type Policy struct {
	// PingTimeout is how long a ping may be unacknowledged.
	PingTimeout int64
}

// EnginePolicy is the policy of connections to engines. Its timeout allows for the retransmission of a lost packet or
// two.
var EnginePolicy = Policy{PingTimeout: 1e9}

// ReleaseTimeout is the timeout of the call that releases a KV state. The engine only has to note it.
const ReleaseTimeout = int64(1e9)

const (
	// pingDelayDivisor divides the ping timeout into the silence after which a connection with attempts is pinged.
	pingDelayDivisor = 4
	// maxPingsWithoutData is how many pings are sent at the short interval while the engine sends nothing but
	// acknowledgements. Further ones are pingIntervalWithoutData nanoseconds apart: servers commonly close a connection
	// at the fourth ping within five minutes in which they sent no data.
	maxPingsWithoutData     = 2
	pingIntervalWithoutData = int64(305e9)
	// unusedTimeout is how long a connection without attempts is kept open.
	unusedTimeout = int64(60e9)
	// reportLifetime is the age at which a load report is too old to be passed to package policy, which counts the age of
	// a report only from then on.
	reportLifetime = int64(1e9)
	// maxQueuedReleases bounds the releases that wait for a connection to one engine. KV state of further requests is
	// held until the engine's own timeout.
	maxQueuedReleases = 1024
)

// FirstCheck returns when to check a connection that sends an attempt after having been unused. Its silence while it
// was unused does not count.
func (p Policy) FirstCheck(now int64) int64 { return now + p.PingTimeout/pingDelayDivisor }

// Check returns what to do with a connection now and, unless it is to be closed, when to check it again.
func (p Policy) Check(now int64, conn ConnStatus) (verdict Verdict, checkAgainAt int64) {
	switch {
	case conn.LastPingAt > 0 && conn.LastReceivedAt < conn.LastPingAt:
		return keepUntil(now, conn.LastPingAt+p.PingTimeout, CloseDead)
	case conn.StreamCount == 0 && conn.LastReceivedAt >= conn.LastSentAt:
		// If no data has come since the last attempt was sent, the connection may be dead: it is pinged below.
		return keepUntil(now, conn.LastUsedAt+unusedTimeout, CloseUnused)
	}
	interval := p.PingTimeout / pingDelayDivisor
	if conn.PingsWithoutData >= maxPingsWithoutData {
		interval = pingIntervalWithoutData
	}
	if pingAt := max(conn.LastReceivedAt, conn.LastPingAt) + interval; now < pingAt {
		return KeepConn, pingAt
	}
	return SendPing, now + p.PingTimeout
}

// keepUntil returns KeepConn before the deadline and verdictAfter from then on.
func keepUntil(now, deadline int64, verdictAfter Verdict) (verdict Verdict, checkAgainAt int64) {
	if now < deadline {
		return KeepConn, deadline
	}
	return verdictAfter, 0
}

// IsLoadReportFresh reports whether a load report of this age, in nanoseconds, may be passed to package policy.
func IsLoadReportFresh(age int64) bool { return age >= 0 && age < reportLifetime }

// MayQueueRelease reports whether another release may wait for a connection to an engine when queued ones already do.
func MayQueueRelease(queued int) bool { return queued < maxQueuedReleases }
