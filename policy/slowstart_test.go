package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// slowStartFleet simulates dispatchers that share servers of one role, of which the last one starts during the test.
// The first dispatchers get several times the mean traffic.
type slowStartFleet struct {
	routers          []*Router
	timers           []Nanos
	now              Nanos
	pending          []pendingEnd // ordered by time
	startingAttempts []Nanos      // times of the attempts at the server in slow start
	lastID           RequestID
}

// pendingEnd is the scheduled end of an attempt.
type pendingEnd struct {
	at      Nanos
	router  int
	request RequestID
	attempt AttemptNumber
}

const (
	slowStartServers  = 10
	slowStartRate     = 600                                   // requests per second, over all dispatchers
	slowStartLatency  = Nanos(60e6)                           // of a prefill
	slowStartAt       = Nanos(100e9)                          // when the last server starts
	slowStartServerID = ServerID(slowStartServers)            // the last server
	slowStartRound    = Nanos(4e6)                            // time between two rounds
	warmPerWindow     = slowStartRate / slowStartServers * 3. // requests of a warm server in an OverloadWindow
)

var slowStartSettings = SlowStart{
	InitialCapacity: 0.3, WarmupTime: 10e9, OverloadFactor: 2.5, OverloadWindow: 3e9,
}

// startRouter starts or restarts a dispatcher.
func (f *slowStartFleet) startRouter(t *testing.T, n int) {
	t.Helper()
	router := newRouter(t, Config{
		Seed:        uint64(n) + uint64(f.now),
		Self:        Identity{Index: int32(n), Count: int32(len(f.routers))},
		Classes:     []Class{{LatencyTarget: 1e9, Timeout: 5e9}},
		Roles:       []Role{Prefill},
		SlowStart:   slowStartSettings,
		Attempts:    AttemptLimits{MaxAttempts: 3},
		Responses:   ResponseSettings{RoundInterval: slowStartRound},
		ReleaseTime: 1e9,
	})
	f.routers[n], f.timers[n] = router, Never
	router.ListUpdateStarted(true)
	for id := ServerID(1); id <= slowStartServers; id++ {
		startedAt := Nanos(0)
		if id == slowStartServerID && f.now >= slowStartAt {
			startedAt = slowStartAt
		}
		router.ServerListed(id, 0, 0, 0, Serving, startedAt)
	}
	router.ListUpdateEnded(f.now)
}

// applyDecisions carries out the decisions of a router that are due.
func (f *slowStartFleet) applyDecisions(n int) {
	router := f.routers[n]
	for decision, ok := router.NextDecision(f.now); ok; decision, ok = router.NextDecision(f.now) {
		switch decision.Action {
		case SetTimer:
			f.timers[n] = f.now + decision.Duration
		case SendAttempt:
			_, req := router.requests.find(decision.Request)
			attempt := AttemptNumber(req.attempts - 1)
			f.pending = append(f.pending, pendingEnd{f.now + slowStartLatency, n, decision.Request, attempt})
			if decision.Server == slowStartServerID && f.now >= slowStartAt {
				f.startingAttempts = append(f.startingAttempts, f.now)
			}
		default:
		}
	}
}

// run simulates the traffic until a time.
func (f *slowStartFleet) run(until Nanos, rng *rand.Rand) {
	due := 0.0 // requests that are due
	for ; f.now < until; f.now += slowStartRound {
		for len(f.pending) > 0 && f.pending[0].at <= f.now {
			end := f.pending[0]
			f.pending = f.pending[1:]
			f.routers[end.router].AttemptEnded(f.now, end.request, end.attempt, Prefilled, slowStartLatency, true,
				NoLoadReport)
			f.applyDecisions(end.router)
		}
		for due += slowStartRate * float64(slowStartRound) / 1e9; due >= 1; due-- {
			n := int(float64(len(f.routers)) * math.Pow(rng.Float64(), 2)) // the first tenth of the routers gets a third
			f.lastID++
			f.routers[n].RequestArrived(f.now, Request{
				ID: f.lastID, Tenant: -1, Session: SessionKey(f.lastID), PromptTokens: 1000, Deadline: f.now + 5e9,
			})
			f.applyDecisions(n)
		}
		for n, at := range f.timers {
			if at <= f.now {
				f.timers[n] = Never
				f.routers[n].TimerFired(f.now)
				f.applyDecisions(n)
			}
		}
	}
}

// TestSlowStartStaysWithinCapacity checks that a server in slow start is not overloaded in any window, apart from
// random variation, by dispatchers with uneven traffic, a third of which restart during the slow start.
func TestSlowStartStaysWithinCapacity(t *testing.T) {
	for _, count := range []int{1, 25, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			f := &slowStartFleet{
				routers: make([]*Router, count), timers: make([]Nanos, count), now: slowStartAt - 15e9,
			}
			rng := rand.New(rand.NewPCG(uint64(count), 0))
			for n := range f.routers {
				f.startRouter(t, n)
			}
			f.run(slowStartAt, rng)
			for _, router := range f.routers {
				router.ListUpdateStarted(false)
				router.ServerListed(slowStartServerID, 0, 0, 0, Serving, slowStartAt)
				router.ListUpdateEnded(f.now)
			}
			f.run(slowStartAt+3e9, rng)
			for n := 0; n < count; n += 3 {
				f.startRouter(t, n)
			}
			f.run(slowStartAt+9e9, rng)
			most, from := 0, 0
			for to, at := range f.startingAttempts {
				for f.startingAttempts[from] <= at-slowStartSettings.OverloadWindow {
					from++
				}
				most = max(most, to-from+1)
			}
			budget := slowStartSettings.OverloadFactor * slowStartSettings.InitialCapacity * warmPerWindow
			if bound := budget + 2*math.Sqrt(budget) + 2; float64(most) > bound || most == 0 {
				t.Errorf("got %d attempts in a window, want 1 to %.0f", most, bound)
			}
			t.Logf("%d of %.0f attempts in the fullest window, %d in total", most, budget, len(f.startingAttempts))
		})
	}
}
