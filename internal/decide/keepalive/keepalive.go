// Package keepalive decides about the connections to one engine that carry many streams: which one takes an attempt,
// when another is established, when a silent one is pinged and when one is closed. It also limits attempts to an engine
// that may have restarted, and says which load reports are fresh enough to use.
//
// Whether an engine is fit for work is decided by package policy. This package does no I/O and reads no clock. All
// times are nanoseconds on one clock of the caller.
package keepalive

// ConnStatus is what is known about one connection.
type ConnStatus struct {
	Ready            bool  // established, and may open another stream
	Connecting       bool  // being established
	StreamCount      int   // attempts on it
	LastReceivedAt   int64 // when anything was last received on it
	LastPingAt       int64 // when the last ping was sent; 0 if none was
	PingsWithoutData int   // pings since the engine last sent something other than an answer to a ping
	LastUsedAt       int64 // when an attempt was last sent or ended
	LastSentAt       int64 // when an attempt was last sent
}

// Verdict is what to do with a connection.
type Verdict uint8

// The verdicts.
const (
	KeepConn    Verdict = iota // leave it as it is
	SendPing                   // send a ping
	CloseDead                  // close it as dead: its attempts have failed
	CloseUnused                // close it, as it was unused for long
)

// Policy decides about connections and load reports by the shortest latency target in the settings.
type Policy struct{ LatencyTarget int64 }

const (
	// pingDelayDivisor divides the latency target into the time after which a silent connection with attempts is pinged.
	pingDelayDivisor = 4
	// maxPingsWithoutData is how many pings are sent while the engine sends nothing but their answers. After that, one
	// is sent in pingIntervalWithoutData: servers commonly close a connection at the fourth ping within five minutes in
	// which they sent nothing.
	maxPingsWithoutData     = 2
	pingIntervalWithoutData = int64(305e9)
	// pingTimeoutTargets is how many latency targets a ping may be unanswered: the network loses a packet or two in that
	// time.
	pingTimeoutTargets = 1
	// unusedTimeoutTargets is how many latency targets a connection without attempts is kept.
	unusedTimeoutTargets = 60
	// reportLifetimeTargets is the age in latency targets at which a load report is too old. Package policy itself uses
	// a report for one latency target after it came.
	reportLifetimeTargets = 1
	// maxQueuedReleases bounds the releases that wait for a connection to one engine. Beyond it, state is left to the
	// engine's own timeout.
	maxQueuedReleases = 1024
)

// FirstCheck returns when to check a connection that sends an attempt after a time without any. What it did while
// nothing was sent says nothing about it.
func (p Policy) FirstCheck(now int64) int64 { return now + p.LatencyTarget/pingDelayDivisor }

// Check returns what to do with a connection now and, unless it is to be closed, when to check it again.
func (p Policy) Check(now int64, conn ConnStatus) (verdict Verdict, checkAgainAt int64) {
	switch {
	case conn.LastPingAt > 0 && conn.LastReceivedAt < conn.LastPingAt:
		return keepUntil(now, conn.LastPingAt+pingTimeoutTargets*p.LatencyTarget, CloseDead)
	case conn.StreamCount == 0 && conn.LastReceivedAt >= conn.LastSentAt:
		// Without data since the last attempt, the connection may have died; then it is pinged even without attempts.
		return keepUntil(now, conn.LastUsedAt+unusedTimeoutTargets*p.LatencyTarget, CloseUnused)
	}
	interval := p.LatencyTarget / pingDelayDivisor
	if conn.PingsWithoutData >= maxPingsWithoutData {
		interval = pingIntervalWithoutData
	}
	if pingAt := max(conn.LastReceivedAt, conn.LastPingAt) + interval; now < pingAt {
		return KeepConn, pingAt
	}
	return SendPing, now + pingTimeoutTargets*p.LatencyTarget
}

// keepUntil returns KeepConn before the deadline, and the verdict that closes the connection from then on.
func keepUntil(now, deadline int64, afterwards Verdict) (verdict Verdict, checkAgainAt int64) {
	if now < deadline {
		return KeepConn, deadline
	}
	return afterwards, 0
}

// IsLoadReportFresh reports whether a load report of this age may be passed to package policy.
func (p Policy) IsLoadReportFresh(age int64) bool {
	return age >= 0 && age < reportLifetimeTargets*p.LatencyTarget
}

// MayQueueRelease reports whether another release may wait for a connection to an engine beside those queued.
func MayQueueRelease(queued int) bool { return queued < maxQueuedReleases }
