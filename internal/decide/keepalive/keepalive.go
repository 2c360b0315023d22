// Package keepalive decides about a dispatcher's connections to one engine: which of them takes the next attempt,
// when another is made, when a silent one is asked for a sign of life and when it is given up. Whether the engine
// is fit for work is the decision module's matter. It does no I/O and reads no clock.
package keepalive

// Conn is what is known of one connection. Times are nanoseconds on one clock.
type Conn struct {
	Ready      bool  // made, and takes another stream
	Connecting bool  // under way
	Streams    int   // attempts on it
	HeardAt    int64 // last sign of life
	PingedAt   int64 // the last ping was sent then; 0 = none
	Pings      int   // pings since the engine last sent something of its own
	UsedAt     int64 // last attempt sent or ended
	SentAt     int64 // last attempt sent
}

// most connections to one engine: a second where the engine allows few streams on one; more would only cost it.
const most = 4

// Pick chooses the connection for an attempt: the ready one with fewest attempts, else one under way, else a new
// one. None, if all are full and there may be no more: the attempt is not sent.
func Pick(ls []Conn) (i int, dial, none bool) {
	best := -1
	for i, l := range ls {
		if l.Ready && (best < 0 || l.Streams < ls[best].Streams) {
			best = i
		}
	}
	if best >= 0 {
		return best, false, false
	}
	for i, l := range ls {
		if l.Connecting && (best < 0 || l.Streams < ls[best].Streams) {
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
	Keep  Verdict = iota
	Ping          // send a ping
	Dead          // half open or cut off: give it up, its attempts are broken
	Spare         // unused for long: close it
)

// Keeper judges connections by the shortest expected time that the settings name.
type Keeper struct{ Target int64 }

const (
	pingAfter = 4 // of an expected time is a quarter: unheard for so long with attempts out, it is asked
	// maxPings pings may go unanswered by anything but their like, and then one in pingAgainAfter: servers commonly end
	// a connection at the fourth ping within five minutes in which they sent nothing.
	maxPings       = 2
	pingAgainAfter = 305 * 1e9
	deadAfter      = 1  // expected time unheard after the ping: the network loses a packet or two in that
	spareAfter     = 60 // expected times unused
)

// Probe holds back attempts to an engine that may have started anew, and be cold, before the list of engines says so: to
// which the connection was lost, or one is made while there is no list. Its zero value holds nothing back.
type Probe struct{ allow int }

// trialOver answers, and it is an engine like any other: a cold one that is sent so many more, one for each answer,
// bears them or has been seen to fail.
const trialOver = 16

// Lost tells that it may have started anew.
func (t *Probe) Lost() { t.allow = 1 }

// Heard tells that it answered an attempt.
func (t *Probe) Heard() {
	if t.allow++; t.allow == 1 || t.allow > trialOver { // 1: nothing was held back
		t.allow = 0
	}
}

// Listed tells that there is news of it: how cold it is is known now.
func (t *Probe) Listed() { t.allow = 0 }

// Hold is how long an attempt may wait for a trial: its request has other engines to go to, and a state may be held for it.
func (k Keeper) Hold() int64 { return k.Target / pingAfter }

// On tells that attempts may be held back.
func (t *Probe) On() bool { return t.allow > 0 }

// May tells whether another attempt may go to it beside those that are out.
func (t *Probe) May(out int) bool { return t.allow == 0 || out < t.allow }

// Begin is when a connection is to be judged on which an attempt goes out after a time without any: what it was like
// while nothing was sent says nothing.
func (k Keeper) Begin(now int64) int64 { return now + k.Target/pingAfter }

// maxReleases things to be released are remembered for one engine while it has no connection; more are left to its own
// time.
const maxReleases = 1024

// MayRelease tells whether one more may be remembered beside n.
func MayRelease(n int) bool { return n < maxReleases }

// Check tells what to do with a connection now, and when to judge it again.
func (k Keeper) Check(now int64, l Conn) (Verdict, int64) {
	if l.PingedAt > 0 && l.HeardAt < l.PingedAt {
		if at := l.PingedAt + deadAfter*k.Target; now < at {
			return Keep, at
		}
		return Dead, 0
	}
	if l.Streams == 0 && l.HeardAt >= l.SentAt { // nothing was heard since the last attempt: it may have died of this connection
		if at := l.UsedAt + spareAfter*k.Target; now < at {
			return Keep, at
		}
		return Spare, 0
	}
	wait := k.Target / pingAfter
	if l.Pings >= maxPings {
		wait = pingAgainAfter
	}
	if at := max(l.HeardAt, l.PingedAt) + wait; now < at {
		return Keep, at
	}
	return Ping, now + deadAfter*k.Target
}

// late is the age, as a multiple of the expected time, from which on a load report counts as none: the module
// itself uses a report for one expected time after it came.
const late = 1

// Fresh tells whether a load report of an age may be handed to the module.
func (k Keeper) Fresh(age int64) bool { return age >= 0 && age < late*k.Target }
