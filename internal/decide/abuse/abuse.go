// Package abuse decides when the peer of one HTTP/2 connection costs more than it asks for: resets in rapid
// succession, pings, settings, empty frames. Each kind has an allowance that fills with time and with useful
// work; a peer that overdraws one is to be sent away. It does no I/O and reads no clock.
package abuse

// Act is something that a peer does that costs us and brings it nothing by itself.
type Act uint8

const (
	Reset    Act = iota // a stream reset by the peer before its answer ended
	Ping                // a ping, or an acknowledgement that nobody asked for
	Settings            // settings sent after the first
	Empty               // an empty DATA or CONTINUATION frame, an unknown frame, PRIORITY
	Update              // a window update
	Fault               // a stream error of the peer's making
	Crossed             // a reset of a stream that is over: it may have crossed with the end
	acts
)

func (a Act) String() string {
	return [...]string{"resets", "pings", "settings", "empty frames", "window updates", "stream errors", "resets of streams that are over"}[a]
}

// burst is how many of each may come at once, perSecond how many more each second, and perJob how many each
// request taken or byte-carrying frame brings. A client that opens and cancels at leisure stays far below; one
// that resets as fast as it opens is let do so for one full set of streams. Each request that came whole may be reset once as
// its end is under way: many whose time is up at once are.
var (
	burst     = [acts]float64{Reset: 200, Ping: 20, Settings: 10, Empty: 200, Update: 2000, Fault: 50, Crossed: 200}
	perSecond = [acts]float64{Reset: 100, Ping: 2, Settings: 1, Empty: 50, Update: 1000, Fault: 10, Crossed: 50}
	perUse    = [acts]float64{Reset: 0.5, Ping: 1, Settings: 0, Empty: 0.25, Update: 4, Fault: 0, Crossed: 1}
)

// credit is how many of each use may bring ahead: streams that are open together may end, and be reset, together.
var credit = [acts]float64{Crossed: 10000}

// Guard watches one connection. Its zero value is ready.
type Guard struct {
	used [acts]float64 // drawn from each allowance
	at   int64         // allowances are filled up to then
}

// Used takes down useful work: a frame with content, either way. Clients measure their link with a ping for what they
// are sent, so each piece of an answer pays for one.
func (g *Guard) Used() {
	for a := range g.used {
		g.used[a] = max(-credit[a], g.used[a]-perUse[a])
	}
}

// Allow takes down an act at a time in nanoseconds and tells whether the peer may stay. Time that runs
// backwards fills nothing.
func (g *Guard) Allow(now int64, a Act) bool {
	if now > g.at {
		s := float64(now-g.at) / 1e9
		for b := range g.used {
			g.used[b] = min(g.used[b], max(0, g.used[b]-s*perSecond[b]))
		}
		g.at = now
	}
	g.used[a]++
	return g.used[a] <= burst[a]
}
