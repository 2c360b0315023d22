// Package serverconn decides about connections to servers that carry one request at a time: which may be used again, when an
// unused one goes, how many attempts may have, and by which server a release is sent. It does no I/O and reads no clock.
package serverconn

// ConnPolicy judges connections by the time after which servers end those that stand idle.
type ConnPolicy struct {
	IdleTimeout    int64 // 0 = not told
	ConnectTimeout int64 // a connection is made in that time or not at all
}

const (
	// rest is how long a connection stands before it is used again: a second answer may follow the first, and would be
	// taken for that of the next request.
	rest = int64(10e6)
	// idleShare of the servers' own time an unused connection is kept: what is written as the server closes it is lost.
	idleShare = 2.0 / 3
)

// IsReusable tells whether a connection unused since then may carry another request. Servers that end unused connections sooner
// than is stated, some without a word, are not heeded: to lose one attempt in six at once costs less than to make half of
// the connections anew, as was measured.
func (p ConnPolicy) IsReusable(now, since int64) bool {
	return now-since >= rest && now < p.IdleDeadline(since)
}

// IdleDeadline tells when a connection unused since then is closed.
func (p ConnPolicy) IdleDeadline(since int64) int64 {
	if p.IdleTimeout <= 0 {
		return since + 10e9
	}
	return since + int64(idleShare*float64(p.IdleTimeout))
}

// staleParts of the time for making a connection is what a reset takes to come back: it is a round trip, and nothing was
// worked on.
const staleParts = 50

// IsStale tells that what was lost with a connection was lost because the connection had died before, unseen: it had
// carried something else earlier, nothing came back, and its end came at once, or before all was written. The server is not to blame.
func (p ConnPolicy) IsStale(used int, written, heard bool, after int64) bool {
	return used > 1 && !heard && (!written || after < p.ConnectTimeout/staleParts)
}

// mostStale attempts of a request in a row may be lost with connections that had died unseen; the next has a connection of its own: a
// request has few attempts.
const mostStale = 2

// MayUseIdleConn tells whether an attempt may go on a connection kept from before; stale attempts of its request before it were lost with one.
func MayUseIdleConn(stale int) bool { return stale < mostStale }

// ReleaseCandidate is what is known of a server by which a release might go.
type ReleaseCandidate struct {
	LastHeardAt int64 // last sign of life; 0 = none yet
	HasIdleConn bool  // a connection to it is fit
	Tried       bool  // this release went there in vain
	Gone        bool
}

// SelectReleaseServer picks the server by which a release goes: one that has not been tried, rather with a connection, heard last; -1 if there
// is none. After a first round in vain what counts is who was heard last: connections that are kept may be dead.
func SelectReleaseServer(ways []ReleaseCandidate, round int) int {
	best := -1
	better := func(a, b ReleaseCandidate) bool {
		switch {
		case a.Tried != b.Tried:
			return !a.Tried
		case a.HasIdleConn != b.HasIdleConn && (round == 0 || a.LastHeardAt == b.LastHeardAt):
			return a.HasIdleConn
		}
		return a.LastHeardAt > b.LastHeardAt
	}
	for i, w := range ways {
		if !w.Gone && (best < 0 || better(w, ways[best])) {
			best = i
		}
	}
	return best
}

// ShouldCloseIdleConns tells that the other connections to a server are not to be used again, as one that was given up had carried a
// request since then and nothing at all was heard from the server after it.
func ShouldCloseIdleConns(sent, heard int64) bool { return heard <= sent }

const (
	// reserveShare of the connections to servers, and one at the least, is kept for releases: attempts that fill all others must not keep
	// a state from being released.
	reserveShare = 1.0 / 16
	reserveLeast = 1
)

// MaxAttemptConns is how many of so many connections attempts may have.
func MaxAttemptConns(most int) int {
	return max(most-max(int(reserveShare*float64(most)), reserveLeast), 1)
}
