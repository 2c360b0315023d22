// Package keepalive decides about a dispatcher's connections to one engine: which of them takes the next attempt,
// when another is made, when a silent one is asked for a sign of life and when it is given up. Whether the engine
// is fit for work is the decision module's matter. It does no I/O and reads no clock.
package keepalive

// ConnStatus is what is known of one connection. Times are nanoseconds on one clock.
type ConnStatus struct {
	Ready            bool  // made, and takes another stream
	Connecting       bool  // under way
	StreamCount      int   // attempts on it
	LastReceivedAt   int64 // last sign of life
	LastPingAt       int64 // the last ping was sent then; 0 = none
	PingsWithoutData int   // pings since the engine last sent something of its own
	LastUsedAt       int64 // last attempt sent or ended
	LastSentAt       int64 // last attempt sent
}

// most connections to one engine: a second where the engine allows few streams on one; more would only cost it.
const most = 4

// SelectConn chooses the connection for an attempt: the ready one with fewest attempts, else one under way, else a new
// one. None, if all are full and there may be no more: the attempt is not sent.
func SelectConn(ls []ConnStatus) (i int, dial, none bool) {
	best := -1
	for i, l := range ls {
		if l.Ready && (best < 0 || l.StreamCount < ls[best].StreamCount) {
			best = i
		}
	}
	if best >= 0 {
		return best, false, false
	}
	for i, l := range ls {
		if l.Connecting && (best < 0 || l.StreamCount < ls[best].StreamCount) {
			best = i
		}
	}
	switch {
	case best >= 0:
		return best, false, false
	case len(ls) < most:
		return -1, true, false
	}
	return -1, false, true
}

// Verdict is what to do with a connection.
type Verdict uint8

const (
	KeepConn    Verdict = iota
	SendPing            // send a ping
	CloseDead           // half open or cut off: give it up, its attempts are broken
	CloseUnused         // unused for long: close it
)

// Policy judges connections by the shortest expected time that the settings name.
type Policy struct{ LatencyTarget int64 }

const (
	pingAfter = 4 // of an expected time is a quarter: unheard for so long with attempts out, it is asked
	// maxPings pings may go unanswered by anything but their like, and then one in pingAgainAfter: servers commonly end
	// a connection at the fourth ping within five minutes in which they sent nothing.
	maxPings       = 2
	pingAgainAfter = 305 * 1e9
	deadAfter      = 1  // expected time unheard after the ping: the network loses a packet or two in that
	spareAfter     = 60 // expected times unused
)

// RestartThrottle holds back attempts to an engine that may have started anew, and be cold, before the list of engines says so: to
// which the connection was lost, or one is made while there is no list. Its zero value holds nothing back.
type RestartThrottle struct{ allow int }

// trialOver answers, and it is an engine like any other: a cold one that is sent so many more, one for each answer,
// bears them or has been seen to fail.
const trialOver = 16

// ConnLost tells that it may have started anew.
func (t *RestartThrottle) ConnLost() { t.allow = 1 }

// AnswerReceived tells that it answered an attempt.
func (t *RestartThrottle) AnswerReceived() {
	if t.allow++; t.allow == 1 || t.allow > trialOver { // 1: nothing was held back
		t.allow = 0
	}
}

// ListUpdated tells that there is news of it: how cold it is is known now.
func (t *RestartThrottle) ListUpdated() { t.allow = 0 }

// MaxHoldTime is how long an attempt may wait for a trial: its request has other engines to go to, and a state may be held for it.
func (p Policy) MaxHoldTime() int64 { return p.LatencyTarget / pingAfter }

// IsActive tells that attempts may be held back.
func (t *RestartThrottle) IsActive() bool { return t.allow > 0 }

// Allows tells whether another attempt may go to it beside those that are out.
func (t *RestartThrottle) Allows(out int) bool { return t.allow == 0 || out < t.allow }

// FirstCheck is when a connection is to be judged on which an attempt goes out after a time without any: what it was like
// while nothing was sent says nothing.
func (p Policy) FirstCheck(now int64) int64 { return now + p.LatencyTarget/pingAfter }

// maxReleases things to be released are remembered for one engine while it has no connection; more are left to its own
// time.
const maxReleases = 1024

// MayQueueRelease tells whether one more may be remembered beside n.
func MayQueueRelease(n int) bool { return n < maxReleases }

// Check tells what to do with a connection now, and when to judge it again.
func (p Policy) Check(now int64, l ConnStatus) (Verdict, int64) {
	if l.LastPingAt > 0 && l.LastReceivedAt < l.LastPingAt {
		if at := l.LastPingAt + deadAfter*p.LatencyTarget; now < at {
			return KeepConn, at
		}
		return CloseDead, 0
	}
	if l.StreamCount == 0 && l.LastReceivedAt >= l.LastSentAt { // nothing was heard since the last attempt: it may have died of this connection
		if at := l.LastUsedAt + spareAfter*p.LatencyTarget; now < at {
			return KeepConn, at
		}
		return CloseUnused, 0
	}
	wait := p.LatencyTarget / pingAfter
	if l.PingsWithoutData >= maxPings {
		wait = pingAgainAfter
	}
	if at := max(l.LastReceivedAt, l.LastPingAt) + wait; now < at {
		return KeepConn, at
	}
	return SendPing, now + deadAfter*p.LatencyTarget
}

// late is the age, as a multiple of the expected time, from which on a load report counts as none: the module
// itself uses a report for one expected time after it came.
const late = 1

// IsLoadReportFresh tells whether a load report of an age may be handed to the module.
func (p Policy) IsLoadReportFresh(age int64) bool { return age >= 0 && age < late*p.LatencyTarget }
