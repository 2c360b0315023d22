package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// ramp is a fleet of modules that share servers of one role, of which the last has just started, with traffic spread
// unevenly: the first modules get several times the mean.
type ramp struct {
	modules []*Router
	wakes   []Nanos
	now     Nanos
	ends    []ending // in the order in which they fall due
	cold    []Nanos  // attempts at the server that has just started
	next    RequestID
}

type ending struct {
	at     Nanos
	module int
	job    RequestID
	shot   AttemptNumber
}

const (
	rampHosts   = 10
	rampRate    = 600                       // requests a second, all modules together
	rampTook    = Nanos(60e6)               // a read
	rampStart   = Nanos(100e9)              // the last server starts
	rampColdID  = ServerID(rampHosts)       // which this is
	rampTick    = Nanos(4e6)                // time between two rounds
	rampCarried = rampRate / rampHosts * 3. // a warm server, over the window
)

var rampTerms = SlowStart{InitialCapacity: 0.3, WarmupTime: 10e9, OverloadFactor: 2.5, OverloadWindow: 3e9}

// join starts a module, or starts it anew.
func (r *ramp) join(t *testing.T, n int) {
	t.Helper()
	d := newRouter(t, Config{
		Seed:        uint64(n) + uint64(r.now),
		Self:        Identity{Number: int32(n), Count: int32(len(r.modules))},
		Classes:     []Class{{LatencyTarget: 1e9, Timeout: 5e9}},
		Roles:       []Role{Prefill},
		SlowStart:   rampTerms,
		Attempts:    AttemptLimits{MaxAttempts: 3},
		Responses:   ResponseSettings{RoundInterval: rampTick},
		ReleaseTime: 1e9,
	})
	r.modules[n], r.wakes[n] = d, Never
	d.ListUpdateStarted(true)
	for id := ServerID(1); id <= rampHosts; id++ {
		launched := Nanos(0)
		if id == rampColdID && r.now >= rampStart {
			launched = rampStart
		}
		d.ServerListed(id, 0, 0, 0, Serving, launched)
	}
	d.ListUpdateEnded(r.now)
}

// pull carries out what a module decides.
func (r *ramp) pull(n int) {
	d := r.modules[n]
	for what, ok := d.NextDecision(r.now); ok; what, ok = d.NextDecision(r.now) {
		switch what.Action {
		case SetTimer:
			r.wakes[n] = r.now + what.Duration
		case SendAttempt:
			_, req := d.requests.find(what.Request)
			r.ends = append(r.ends, ending{r.now + rampTook, n, what.Request, AttemptNumber(req.attempts - 1)})
			if what.Server == rampColdID && r.now >= rampStart {
				r.cold = append(r.cold, r.now)
			}
		}
	}
}

// run plays so long.
func (r *ramp) run(until Nanos, rng *rand.Rand) {
	owed := 0.0
	for ; r.now < until; r.now += rampTick {
		for len(r.ends) > 0 && r.ends[0].at <= r.now {
			e := r.ends[0]
			r.ends = r.ends[1:]
			r.modules[e.module].AttemptEnded(r.now, e.job, e.shot, Prefilled, rampTook, true, NoLoadReport)
			r.pull(e.module)
		}
		for owed += rampRate * float64(rampTick) / 1e9; owed >= 1; owed-- {
			n := int(float64(len(r.modules)) * math.Pow(rng.Float64(), 2)) // the first tenth gets a third of all
			r.next++
			r.modules[n].RequestArrived(r.now, Request{ID: r.next, Tenant: -1, Session: SessionKey(r.next), PromptTokens: 1000, Deadline: r.now + 5e9})
			r.pull(n)
		}
		for n, at := range r.wakes {
			if at <= r.now {
				r.wakes[n] = Never
				r.modules[n].TimerFired(r.now)
				r.pull(n)
			}
		}
	}
}

// However many dispatchers share the traffic, however unevenly, and though a third of them start anew in the middle, a server
// that has just started gets no more in any window than it bears and what is put down to chance.
func TestColdRamp(t *testing.T) {
	for _, count := range []int{1, 25, 300} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			r := &ramp{modules: make([]*Router, count), wakes: make([]Nanos, count), now: rampStart - 15e9}
			rng := rand.New(rand.NewPCG(uint64(count), 0))
			for n := range r.modules {
				r.join(t, n)
			}
			r.run(rampStart, rng)
			for _, d := range r.modules {
				d.ListUpdateStarted(false)
				d.ServerListed(rampColdID, 0, 0, 0, Serving, rampStart)
				d.ListUpdateEnded(r.now)
			}
			r.run(rampStart+3e9, rng)
			for n := 0; n < count; n += 3 {
				r.join(t, n)
			}
			r.run(rampStart+9e9, rng)
			most, from := 0, 0
			for to, at := range r.cold {
				for r.cold[from] <= at-rampTerms.OverloadWindow {
					from++
				}
				most = max(most, to-from+1)
			}
			budget := rampTerms.OverloadFactor * rampTerms.InitialCapacity * rampCarried
			if bound := budget + 2*math.Sqrt(budget) + 2; float64(most) > bound || most == 0 {
				t.Errorf("%d launches in a window, want some and at most %.0f", most, bound)
			}
			t.Logf("%d of %.0f in the fullest window, %d in all", most, budget, len(r.cold))
		})
	}
}
