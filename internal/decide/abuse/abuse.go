// Package abuse decides when the peer of one HTTP/2 connection costs more than it asks for: resets in rapid
// succession, pings, settings, empty frames. Each kind has an allowance that fills with time and with useful
// work; a peer that overdraws one is to be sent away. It does no I/O and reads no clock.
package abuse

// Event is something that a peer does that costs us and brings it nothing by itself.
type Event uint8

const (
	StreamReset       Event = iota // a stream reset by the peer before its answer ended
	Ping                           // a ping, or an acknowledgement that nobody asked for
	RepeatedSettings               // settings sent after the first
	EmptyFrame                     // an empty DATA or CONTINUATION frame, an unknown frame, PRIORITY
	WindowUpdate                   // a window update
	StreamError                    // a stream error of the peer's making
	ClosedStreamReset              // a reset of a stream that is over: it may have crossed with the end
	eventCount
)

func (a Event) String() string {
	return [...]string{"resets", "pings", "settings", "empty frames", "window updates", "stream errors", "resets of streams that are over"}[a]
}

// burst is how many of each may come at once, perSecond how many more each second, and perJob how many each
// request taken or byte-carrying frame brings. A client that opens and cancels at leisure stays far below; one
// that resets as fast as it opens is let do so for one full set of streams. Each request that came whole may be reset once as
// its end is under way: many whose time is up at once are.
var (
	burst     = [eventCount]float64{StreamReset: 200, Ping: 20, RepeatedSettings: 10, EmptyFrame: 200, WindowUpdate: 2000, StreamError: 50, ClosedStreamReset: 200}
	perSecond = [eventCount]float64{StreamReset: 100, Ping: 2, RepeatedSettings: 1, EmptyFrame: 50, WindowUpdate: 1000, StreamError: 10, ClosedStreamReset: 50}
	perUse    = [eventCount]float64{StreamReset: 0.5, Ping: 1, RepeatedSettings: 0, EmptyFrame: 0.25, WindowUpdate: 4, StreamError: 0, ClosedStreamReset: 1}
)

// credit is how many of each use may bring ahead: streams that are open together may end, and be reset, together.
var credit = [eventCount]float64{ClosedStreamReset: 10000}

// Limiter watches one connection. Its zero value is ready.
type Limiter struct {
	used [eventCount]float64 // drawn from each allowance
	at   int64               // allowances are filled up to then
}

// AddCredit takes down useful work: a frame with content, either way. Clients measure their link with a ping for what they
// are sent, so each piece of an answer pays for one.
func (l *Limiter) AddCredit() {
	for a := range l.used {
		l.used[a] = max(-credit[a], l.used[a]-perUse[a])
	}
}

// Allow takes down an act at a time in nanoseconds and tells whether the peer may stay. Time that runs
// backwards fills nothing.
func (l *Limiter) Allow(now int64, a Event) bool {
	if now > l.at {
		s := float64(now-l.at) / 1e9
		for b := range l.used {
			l.used[b] = min(l.used[b], max(0, l.used[b]-s*perSecond[b]))
		}
		l.at = now
	}
	l.used[a]++
	return l.used[a] <= burst[a]
}
