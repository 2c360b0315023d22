package policy

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// callerPlay drives one router in simulated time, with the servers that a test lists.
type callerPlay struct {
	t         *testing.T
	router    *Router
	now       Nanos
	timer     Nanos
	decisions []timedDecision // without timers and ejections
}

// timedDecision is a decision and the time at which it was made.
type timedDecision struct {
	Decision
	at Nanos
}

// newCallerPlay returns a play with one class, in which callers wait for ten seconds at most.
func newCallerPlay(t *testing.T, classes ...Class) *callerPlay {
	t.Helper()
	return &callerPlay{t: t, now: 10e9, timer: Never, router: newRouter(t, Config{
		Seed: 1, Self: Identity{Count: 1}, Classes: classes, Roles: []Role{Prefill, Decode},
		Attempts: AttemptLimits{MaxAttempts: 6, CanCancel: true},
		Responses: ResponseSettings{
			DeadlineGrace: 16 * ms, RoundInterval: 4 * ms, SendRetryAfter: true, MaxRetryAfter: 10000 * ms,
		},
		ReleaseTime: 500 * ms,
	})}
}

// list lists servers of a role.
func (p *callerPlay) list(role Role, health Health, ids ...ServerID) {
	p.router.ListUpdateStarted(false)
	for _, id := range ids {
		p.router.ServerListed(id, 0, KindID(role), 0, health, 0)
	}
	p.router.ListUpdateEnded(p.now)
	p.take()
}

// arrive reports a request of a class with a time until its deadline.
func (p *callerPlay) arrive(id RequestID, class ClassID, timeLeft Nanos) {
	p.router.RequestArrived(p.now, Request{
		ID: id, Class: class, Tenant: -1, PromptTokens: 500, Deadline: p.now + timeLeft,
	})
	p.take()
}

// end reports the end of an attempt and the time that it took.
func (p *callerPlay) end(id RequestID, attempt AttemptNumber, outcome Outcome, elapsed Nanos, answered bool) {
	p.router.AttemptEnded(p.now, id, attempt, outcome, elapsed, answered, NoLoadReport)
	p.take()
}

func (p *callerPlay) take() {
	for decision, ok := p.router.NextDecision(p.now); ok; decision, ok = p.router.NextDecision(p.now) {
		switch decision.Action {
		case SetTimer:
			p.timer = p.now + decision.Duration
		case LogEjection:
		default:
			p.decisions = append(p.decisions, timedDecision{decision, p.now})
		}
	}
}

// advance lets a time pass.
func (p *callerPlay) advance(duration Nanos) {
	until := p.now + duration
	for p.timer <= until {
		p.now, p.timer = max(p.timer, p.now), Never
		p.router.TimerFired(p.now)
		p.take()
	}
	p.now = until
}

// first returns the first decision of an action about a request.
func (p *callerPlay) first(action Action, id RequestID) (timedDecision, bool) {
	i := slices.IndexFunc(p.decisions, func(d timedDecision) bool { return d.Action == action && d.Request == id })
	if i < 0 {
		return timedDecision{}, false
	}
	return p.decisions[i], true
}

// A caller that still has time is better served late than refused: while no server may be sent its request, the request
// waits until the deadline leaves no time for it, whatever the latency target of its class is, and whether or not an
// attempt was decided before.
func TestRequestWaitsWhileItsCallerHasTime(t *testing.T) {
	const timeLeft = 8000 * ms
	for _, c := range []struct {
		name          string
		latencyTarget Nanos
		wasAttempted  bool
	}{
		{"latency target 1 s", 1000 * ms, false},
		{"latency target 4 s", 4000 * ms, false},
		{"latency target 1 s, one attempt not sent", 1000 * ms, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := newCallerPlay(t, Class{LatencyTarget: c.latencyTarget, Timeout: 10000 * ms})
			if c.wasAttempted {
				p.list(Prefill, Serving, 1)
			}
			p.arrive(1, 0, timeLeft)
			if c.wasAttempted {
				p.list(Prefill, Draining, 1)
				p.end(1, 0, NotSent, 0, false)
			}
			p.advance(timeLeft + 1000*ms)
			rejection, ok := p.first(RejectRequest, 1)
			if !ok || rejection.at < 10e9+timeLeft-100*ms || rejection.at > 10e9+timeLeft {
				t.Errorf("rejected %d ms after its arrival (%v), want that in the last 100 ms of the %d that its caller waits",
					(rejection.at-10e9)/ms, ok, timeLeft/ms)
			}
		})
	}
}

// A caller that waits gains by every moment: a server that comes is sent a waiting request at once.
func TestServerThatComesIsSentWaitingRequestAtOnce(t *testing.T) {
	p := newCallerPlay(t, Class{LatencyTarget: 1000 * ms, Timeout: 10000 * ms})
	p.arrive(1, 0, 8000*ms)
	p.advance(1003 * ms)
	p.list(Prefill, Serving, 1)
	if attempt, ok := p.first(SendAttempt, 1); !ok || attempt.at != 10e9+1003*ms {
		t.Errorf("sent %d ms after its arrival (%v), want 1003, when a server was listed", (attempt.at-10e9)/ms, ok)
	}
}

// The caller with the least time left cannot wait for the others: its request is sent first when a server comes.
func TestLeastTimeLeftIsSentFirst(t *testing.T) {
	for name, targets := range map[string][2]Nanos{
		"equal targets":                         {1000 * ms, 1000 * ms},
		"the longer target has less time":       {1000 * ms, 2000 * ms},
		"targets longer than some callers have": {9000 * ms, 4000 * ms},
	} {
		p := newCallerPlay(t, Class{LatencyTarget: targets[0], Timeout: 10000 * ms},
			Class{LatencyTarget: targets[1], Timeout: 10000 * ms})
		p.arrive(1, 0, 8000*ms)
		p.arrive(2, 1, 3000*ms)
		p.arrive(3, 0, 5000*ms)
		p.advance(100 * ms)
		p.list(Prefill, Serving, 1)
		p.advance(1000 * ms)
		var sent []RequestID
		for _, decision := range p.decisions {
			if decision.Action == SendAttempt {
				sent = append(sent, decision.Request)
			}
		}
		if !slices.Equal(sent, []RequestID{2, 3, 1}) {
			t.Errorf("%s: sent in the order %v, want 2, 3, 1: by time left", name, sent)
		}
	}
}

// An operator who names another latency target says what an answer is worth, not how long the work takes: no decision
// changes, neither for the class itself nor for the one beside it.
func TestDecisionsIgnoreLatencyTarget(t *testing.T) {
	quick := Class{LatencyTarget: 1e9, LatencyTargetPer1k: 40e6, Timeout: 5e9, Value: 1, InterTokenTarget: 50e6}
	slow := Class{
		LatencyTarget: 4e9, LatencyTargetPer1k: 40e6, Timeout: 9e9, Value: 3, InterTokenTarget: 50e6,
		Idempotency: Deduplicated, DedupWindow: 3e9,
	}
	for name, change := range map[string]func(*Class){
		"a fifth of the latency target":   func(c *Class) { c.LatencyTarget /= 5 },
		"twice the latency target":        func(c *Class) { c.LatencyTarget *= 2 },
		"no allowance for long prompts":   func(c *Class) { c.LatencyTargetPer1k = 0 },
		"another value":                   func(c *Class) { c.Value, c.LateValue = 10, 0.5 },
		"another target between tokens":   func(c *Class) { c.InterTokenTarget *= 3 },
		"ten times the latency allowance": func(c *Class) { c.LatencyTargetPer1k *= 10 },
	} {
		for changed := range 2 {
			for seed := range uint64(3) {
				classes := []Class{quick, slow}
				want := runRandomEvents(t, seed, classes, []ClassID{0, 1})
				classes = []Class{quick, slow}
				change(&classes[changed])
				got := runRandomEvents(t, seed, classes, []ClassID{0, 1})
				if i := firstDifference(got, want); i >= 0 {
					t.Errorf("%s in class %d, seed %d: decision %d of %d differs", name, changed, seed, i, len(want))
				}
			}
		}
	}
}

// firstDifference returns the index of the first decision that differs, or -1.
func firstDifference(got, want []Decision) int {
	for i := range min(len(got), len(want)) {
		if got[i] != want[i] {
			return i
		}
	}
	if len(got) != len(want) {
		return min(len(got), len(want))
	}
	return -1
}

// A caller whose request cannot be reached in time learns so while it can still turn elsewhere: of six seconds of work
// whose callers have three, the half that cannot be done is refused within the first second, not at its deadline, and
// the rest is served.
func TestRequestsThatCannotBeReachedAreRefusedEarly(t *testing.T) {
	const prefillTime = 100 * ms
	p := newCallerPlay(t, Class{LatencyTarget: 30000 * ms, Timeout: 30000 * ms})
	p.list(Prefill, Serving, 1)
	for id := RequestID(1); id <= 8; id++ {
		p.arrive(id, 0, 20000*ms)
	}
	done := 0
	serveNext := func() { // the server does one prefill after the other
		p.advance(prefillTime)
		for ; done < len(p.decisions); done++ {
			if decision := p.decisions[done]; decision.Action == SendAttempt {
				p.end(decision.Request, 0, Prefilled, p.now-decision.at, true)
				done++
				return
			}
		}
	}
	for range 8 {
		serveNext()
	}
	arrivedAt := p.now
	const first, count = RequestID(101), 60
	for id := first; id < first+count; id++ {
		p.arrive(id, 0, 3000*ms)
	}
	for range 40 {
		serveNext()
	}
	early, late, sent := 0, 0, 0
	for id := first; id < first+count; id++ {
		rejection, rejected := p.first(RejectRequest, id)
		switch {
		case !rejected:
			sent++
		case rejection.at <= arrivedAt+1000*ms:
			early++
		default:
			late++
		}
	}
	if sent < 25 || late > 5 || early < 25 {
		t.Errorf("%d sent, %d refused within a second, %d later; want 25 or more, 25 or more, 5 at most", sent, early, late)
	}
}

// A client that is refused comes back when there may be room: once the work that waits is done, at the pace seen. That
// is so for each class alike.
func TestRetryAfterFollowsTheWorkThatWaits(t *testing.T) {
	p := newCallerPlay(t, Class{LatencyTarget: 200 * ms, Timeout: 30000 * ms},
		Class{LatencyTarget: 9000 * ms, Timeout: 30000 * ms})
	p.arrive(1, 0, 5*ms)
	p.arrive(2, 1, 5*ms)
	p.advance(10 * ms)
	for id := RequestID(1); id <= 2; id++ {
		if rejection, ok := p.first(RejectRequest, id); !ok || rejection.Duration != defaultRetryAfter {
			t.Errorf("request %d: Retry-After of %d ms (%v), want %d: nothing is known", id, rejection.Duration/ms, ok,
				defaultRetryAfter/ms)
		}
	}
	p.router.pace[awaitingPrefill].SetWaiting(true)
	for range 20 { // a prompt of 500 tokens is sent every 100 ms
		p.router.pace[awaitingPrefill].Record(int64(p.now), 500+requestTokens)
		p.advance(100 * ms)
	}
	for id := RequestID(101); id <= 140; id++ {
		p.arrive(id, 0, 20000*ms)
	}
	if got := p.router.RetryAfter(); got < 3600*ms || got > 4400*ms {
		t.Errorf("Retry-After of %d ms behind 40 prompts that take 100 ms each, want about 4000", got/ms)
	}
}

// A first attempt leaves its retry the time that the work takes as seen, and takes the rest: it is not cut off while
// its server works and there is time.
func TestAttemptLeavesItsRetryTheTimeOfTheWork(t *testing.T) {
	p := newCallerPlay(t, Class{LatencyTarget: 1000 * ms, Timeout: 10000 * ms})
	p.list(Prefill, Serving, 1)
	p.list(Decode, Serving, 2)
	for id := RequestID(1); id <= 8; id++ { // prefills take 200 ms, hand-overs 100 ms
		p.arrive(id, 0, 8000*ms)
		p.advance(200 * ms)
		p.end(id, 0, Prefilled, 200*ms, false)
		p.advance(100 * ms)
		p.router.StreamStarted(p.now, id, 1, 100*ms)
		p.end(id, 1, Served, 100*ms, true)
	}
	for _, c := range []struct{ timeLeft, want Nanos }{
		{8000 * ms, 7700 * ms}, // 300 ms are left for another prefill and hand-over
		{1000 * ms, 700 * ms},
		{500 * ms, 400 * ms}, // no time for two: the attempt gets it all but the hand-over
	} {
		id := RequestID(100 + c.timeLeft/ms)
		p.arrive(id, 0, c.timeLeft)
		attempt, ok := p.first(SendAttempt, id)
		if !ok || attempt.Duration < c.want-10*ms || attempt.Duration > c.want+10*ms {
			t.Errorf("with %d ms left: timeout of %d ms (%v), want %d", c.timeLeft/ms, attempt.Duration/ms, ok, c.want/ms)
		}
		p.end(id, 0, Prefilled, 200*ms, true)
	}
}

// A deduplicated request may be repeated while its servers remember the first run: an attempt at a decode server that
// hangs leaves time for that, if the window lasts as long.
func TestAttemptLeavesARepeatItsTimeWithinTheWindow(t *testing.T) {
	for window, want := range map[Nanos]Nanos{10000 * ms: 7900 * ms, 1000 * ms: 8000 * ms} {
		p := newCallerPlay(t, Class{
			LatencyTarget: 1000 * ms, Timeout: 10000 * ms, Idempotency: Deduplicated, DedupWindow: window,
		})
		p.list(Prefill, Serving, 1)
		p.list(Decode, Serving, 2)
		for id := RequestID(1); id <= 4; id++ {
			p.arrive(id, 0, 8000*ms)
			p.end(id, 0, Prefilled, 200*ms, false)
			if id <= 3 {
				p.router.StreamStarted(p.now, id, 1, 100*ms)
				p.end(id, 1, Served, 100*ms, true)
			}
		}
		attempt := p.decisions[len(p.decisions)-1]
		if attempt.Action != SendAttempt || attempt.Duration < want-10*ms || attempt.Duration > want+10*ms {
			t.Errorf("window of %d ms: got %v for %d ms, want an attempt for %d", window/ms, attempt.Action,
				attempt.Duration/ms, want/ms)
		}
	}
}

// A caller is not refused for a queue that has been worked off: after a burst that servers took two seconds to answer,
// who has one second is sent, and served in 50 ms.
func TestBurstThatIsOverRefusesNobody(t *testing.T) {
	p := newCallerPlay(t, Class{LatencyTarget: 1000 * ms, Timeout: 10000 * ms})
	p.list(Prefill, Serving, 1)
	for id := RequestID(1); id <= 3; id++ {
		p.arrive(id, 0, 5000*ms)
		p.end(id, 0, Prefilled, 50*ms, true)
	}
	for id := RequestID(11); id <= 50; id++ {
		p.arrive(id, 0, 5000*ms)
	}
	p.advance(2000 * ms)
	for id := RequestID(11); id <= 50; id++ {
		p.end(id, 0, Prefilled, 2000*ms, true)
	}
	p.advance(100 * ms)
	for id := RequestID(101); id <= 110; id++ {
		p.arrive(id, 0, 1000*ms)
		p.advance(50 * ms)
		p.end(id, 0, Prefilled, 50*ms, true)
		if _, sent := p.first(SendAttempt, id); !sent {
			t.Errorf("request %d was not sent, with a second left and no queue", id)
		}
	}
}

// A caller whose request was never sent, or did no harm, learns that it may be sent again, also at its deadline.
func TestRequestThatNeverRanIsRejectedAtItsDeadline(t *testing.T) {
	p := newCallerPlay(t, Class{LatencyTarget: 1000 * ms, Timeout: 10000 * ms, Idempotency: NonIdempotent})
	p.arrive(1, 0, 1000*ms)
	p.now += 1100 * ms // the timer fires late
	p.router.TimerFired(p.now)
	p.take()
	if _, rejected := p.first(RejectRequest, 1); !rejected {
		t.Errorf("got %+v, want a rejection", p.decisions)
	}
}

// TestTwiceTheCapacity checks that a minute at twice the capacity ends in no collapse and loses nothing: the servers do
// at least three quarters of the work that they can, and each request has its final answer before its deadline.
func TestTwiceTheCapacity(t *testing.T) {
	rng := rand.New(rand.NewPCG(4, 0))
	f := newPrefillFleet(t, nil, fairnessClass)
	f.run(2, rng, func() (ClassID, TenantID) { return 0, -1 })
	asked, done, unanswered := 0.0, 0.0, 0
	for _, request := range f.requests {
		asked += float64(request.promptTokens)
		if request.answered {
			done += float64(request.promptTokens)
		}
		if !request.answered && !request.rejected {
			unanswered++
		}
	}
	if share := done / asked; share < 0.75/2 || unanswered > 0 {
		t.Errorf("%.2f of the work answered, %d of %d requests without a final answer, want at least 0.375 and none",
			share, unanswered, len(f.requests))
	} else {
		t.Logf("%d requests, %.2f of the work answered", len(f.requests), share)
	}
}
