// Package abuse detects a peer of an HTTP/2 connection that causes more work than its requests justify, for example by
// rapid stream resets or floods of PING, SETTINGS or empty frames. Each kind of event has a token bucket that refills
// with time and with useful traffic. The caller closes the connection of a peer that exceeds its allowance.
//
// The package does no I/O and reads no clock.
package abuse

// Event is an action of the peer that causes work without serving a request.
type Event uint8

// The events that are limited.
const (
	StreamReset       Event = iota // RST_STREAM for a stream whose response has not ended
	Ping                           // PING, or the acknowledgement of a PING that was never sent
	RepeatedSettings               // SETTINGS after the first
	EmptyFrame                     // an empty DATA or CONTINUATION frame, PRIORITY, or a frame of unknown type
	WindowUpdate                   // WINDOW_UPDATE
	StreamError                    // a stream error that the peer caused
	ClosedStreamReset              // RST_STREAM for a closed stream, possibly sent before the peer received the end
	eventCount
)

// String returns a plural noun for the event, for use in error messages.
func (e Event) String() string {
	return [...]string{
		"resets", "pings", "settings", "empty frames", "window updates", "stream errors", "resets of streams that are over",
	}[e]
}

// allowance configures the token bucket of a kind of event.
type allowance struct {
	burst          float64 // events that may occur at once
	perSecond      float64 // tokens added each second
	perUsefulFrame float64 // tokens added by each useful frame, see AddCredit
	maxCredit      float64 // tokens that useful frames may add beyond burst
}

// allowances permit a client to open and cancel streams at a moderate rate. A client that resets streams as fast as it
// opens them may do so for one full set of concurrent streams. Each complete request may be reset once while the end
// of its response is in transit. Concurrent streams may end, and be reset, at the same time, so credit for such resets
// accumulates up to maxCredit.
var allowances = [eventCount]allowance{
	StreamReset:       {burst: 200, perSecond: 100, perUsefulFrame: 0.5},
	Ping:              {burst: 20, perSecond: 2, perUsefulFrame: 1},
	RepeatedSettings:  {burst: 10, perSecond: 1},
	EmptyFrame:        {burst: 200, perSecond: 50, perUsefulFrame: 0.25},
	WindowUpdate:      {burst: 2000, perSecond: 1000, perUsefulFrame: 4},
	StreamError:       {burst: 50, perSecond: 10},
	ClosedStreamReset: {burst: 200, perSecond: 50, perUsefulFrame: 1, maxCredit: 10000},
}

const nanosPerSecond = 1e9

// Limiter limits the events of one connection. The zero value is ready for use.
type Limiter struct {
	used       [eventCount]float64 // tokens taken from each bucket; credit is negative
	refilledAt int64               // time in nanoseconds up to which the buckets are refilled
}

// AddCredit adds tokens for a useful frame, that is, a request or a frame with content in either direction. Clients
// that estimate the bandwidth of the connection send a PING for the data they receive: each such frame pays for one.
func (l *Limiter) AddCredit() {
	for e := range l.used {
		l.used[e] = max(-allowances[e].maxCredit, l.used[e]-allowances[e].perUsefulFrame)
	}
}

// Allow records an event at time now, in nanoseconds, and reports whether the peer is still within its allowance. A
// time earlier than that of a previous call adds no tokens.
func (l *Limiter) Allow(now int64, event Event) bool {
	l.refill(now)
	l.used[event]++
	return l.used[event] <= allowances[event].burst
}

// refill adds the tokens for the time that has passed since the last refill. Time alone fills a bucket, but adds no
// credit beyond that.
func (l *Limiter) refill(now int64) {
	if now <= l.refilledAt {
		return
	}
	seconds := float64(now-l.refilledAt) / nanosPerSecond
	for e := range l.used {
		l.used[e] = min(l.used[e], max(0, l.used[e]-seconds*allowances[e].perSecond))
	}
	l.refilledAt = now
}
