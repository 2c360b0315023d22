package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// prefillFleet simulates several dispatchers and prefill servers. Each server processes its prompts one after another
// at a fixed rate.
type prefillFleet struct {
	routers  []*Router
	timers   []Nanos
	now      Nanos
	freeAt   map[ServerID]Nanos // when a server has processed all its prompts
	pending  []prefillEnd       // ordered by time
	requests []fairnessRequest  // by ID, from 1
}

// prefillEnd is the scheduled end of an attempt and its outcome.
type prefillEnd struct {
	pendingEnd
	outcome Outcome
}

// fairnessRequest is a request and how it has gone so far.
type fairnessRequest struct {
	promptTokens int64
	session      SessionKey
	class        ClassID
	tenant       TenantID
	sentAt       Nanos // when the outstanding attempt was sent
	answered     bool
	rejected     bool
}

const (
	fairnessRouters         = 4
	fairnessServers         = 6
	fairnessTokensPerSecond = 15000  // prompt tokens per second of one server
	fairnessPromptTokens    = 2000.0 // mean length of a prompt
	fairnessTimeout         = Nanos(6e9)
	fairnessDuration        = Nanos(60e9)
	fairnessRound           = Nanos(4e6)
)

// fairnessClass is the class of the tests with a single class.
var fairnessClass = Class{LatencyTarget: 1500e6, LatencyTargetPer1k: 40e6, Timeout: fairnessTimeout, Value: 1}

func newPrefillFleet(t *testing.T, tenants []Tenant, classes ...Class) *prefillFleet {
	t.Helper()
	f := &prefillFleet{now: 10e9, freeAt: map[ServerID]Nanos{}}
	for n := range fairnessRouters {
		router := newRouter(t, Config{
			Seed:     uint64(n),
			Self:     Identity{Index: int32(n), Count: fairnessRouters},
			Classes:  classes,
			Tenants:  tenants,
			Roles:    []Role{Prefill},
			Attempts: AttemptLimits{MaxAttempts: 6, CanCancel: true},
			Responses: ResponseSettings{
				DeadlineGrace: 16e6, RoundInterval: fairnessRound, SendRetryAfter: true, MaxRetryAfter: 1e9,
			},
			ReleaseTime: 1e9,
		})
		router.ListUpdateStarted(true)
		for id := ServerID(1); id <= fairnessServers; id++ {
			router.ServerListed(id, 0, 0, 0, Serving, 0)
		}
		router.ListUpdateEnded(f.now)
		f.routers, f.timers = append(f.routers, router), append(f.timers, Never)
	}
	return f
}

// endAttempt schedules the end of an attempt.
func (f *prefillFleet) endAttempt(at Nanos, router int, id RequestID, attempt AttemptNumber, outcome Outcome) {
	end := prefillEnd{pendingEnd{at, router, id, attempt}, outcome}
	i, _ := slices.BinarySearchFunc(f.pending, end, func(a, b prefillEnd) int {
		return cmp.Or(cmp.Compare(a.at, b.at), -1)
	})
	f.pending = slices.Insert(f.pending, i, end)
}

// applyDecisions carries out the decisions of a router that are due.
func (f *prefillFleet) applyDecisions(n int) {
	router := f.routers[n]
	for decision, ok := router.NextDecision(f.now); ok; decision, ok = router.NextDecision(f.now) {
		switch decision.Action {
		case SetTimer:
			f.timers[n] = f.now + decision.Duration
		case SendAttempt:
			_, req := router.requests.find(decision.Request)
			attempt := AttemptNumber(req.attempts - 1)
			request := &f.requests[decision.Request-1]
			request.sentAt = f.now
			prefillTime := Nanos(float64(request.promptTokens) / fairnessTokensPerSecond * 1e9)
			doneAt, timeoutAt := max(f.now, f.freeAt[decision.Server])+prefillTime, f.now+decision.Duration
			if doneAt <= timeoutAt {
				f.freeAt[decision.Server] = doneAt
				f.endAttempt(doneAt, n, decision.Request, attempt, Prefilled)
			} else { // times out in the server's queue
				f.endAttempt(timeoutAt, n, decision.Request, attempt, TimedOut)
			}
		case CancelAttempt:
			elapsed := f.now - f.requests[decision.Request-1].sentAt
			router.AttemptEnded(f.now, decision.Request, decision.Attempt, Canceled, elapsed, false, NoLoadReport)
		case RejectRequest, FailRequest:
			f.requests[decision.Request-1].rejected = true
		default:
		}
	}
}

// run simulates a minute of requests, at a load relative to the capacity of the servers, and goes on until the
// deadlines of all have passed and all attempts have ended. drawOwner draws the class and tenant of a request.
func (f *prefillFleet) run(load float64, rng *rand.Rand, drawOwner func() (ClassID, TenantID)) {
	rate, due := load*fairnessServers*fairnessTokensPerSecond/fairnessPromptTokens, 0.0
	for until := f.now + fairnessDuration; f.now < until+fairnessTimeout || len(f.pending) > 0; f.now += fairnessRound {
		for len(f.pending) > 0 && f.pending[0].at <= f.now {
			end := f.pending[0]
			f.pending = f.pending[1:]
			request, prefilled := &f.requests[end.request-1], end.outcome == Prefilled
			request.answered = request.answered || prefilled
			f.routers[end.router].AttemptEnded(f.now, end.request, end.attempt, end.outcome, f.now-request.sentAt,
				prefilled, NoLoadReport)
			f.applyDecisions(end.router)
		}
		for due += rate * float64(fairnessRound) / 1e9; due >= 1 && f.now < until; due-- {
			f.sendRequest(rng, drawOwner)
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

// sendRequest reports a random request to a random router.
func (f *prefillFleet) sendRequest(rng *rand.Rand, drawOwner func() (ClassID, TenantID)) {
	n := rng.IntN(len(f.routers))
	request := fairnessRequest{
		promptTokens: int64(200 + rng.ExpFloat64()*(fairnessPromptTokens-200)),
		session:      SessionKey(rng.IntN(120) + 1),
	}
	request.class, request.tenant = drawOwner()
	f.requests = append(f.requests, request)
	f.routers[n].RequestArrived(f.now, Request{
		ID: RequestID(len(f.requests)), Class: request.class, Tenant: request.tenant, Session: request.session,
		PromptTokens: request.promptTokens, Deadline: f.now + fairnessTimeout,
	})
	f.applyDecisions(n)
}

// answeredShare returns the answered share of the requests that match.
func (f *prefillFleet) answeredShare(matches func(fairnessRequest) bool) float64 {
	all, answered := 0, 0
	for _, request := range f.requests {
		if matches(request) {
			if all++; request.answered {
				answered++
			}
		}
	}
	return float64(answered) / float64(max(all, 1))
}

func anyRequest(fairnessRequest) bool { return true }

// TestLongPromptsAndSessionsDoNotStarve checks that the longest tenth of the prompts is answered at least two thirds
// as often as all prompts below capacity, and half as often above it. Below capacity, every session gets an answer.
func TestLongPromptsAndSessionsDoNotStarve(t *testing.T) {
	for _, c := range []struct{ load, minShare float64 }{{0.6, 2.0 / 3}, {0.9, 2.0 / 3}, {1.3, 1.0 / 2}} {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			f := newPrefillFleet(t, nil, fairnessClass)
			f.run(c.load, rand.New(rand.NewPCG(1, 0)), func() (ClassID, TenantID) { return 0, -1 })
			var lengths []int64
			sessions := map[SessionKey]bool{}
			for _, request := range f.requests {
				lengths = append(lengths, request.promptTokens)
				sessions[request.session] = sessions[request.session] || request.answered
			}
			slices.Sort(lengths)
			long := lengths[len(lengths)*9/10]
			all := f.answeredShare(anyRequest)
			longest := f.answeredShare(func(request fairnessRequest) bool { return request.promptTokens >= long })
			if all < 0.5 || longest < c.minShare*all {
				t.Errorf("answered: got %.2f of all, %.2f of the longest tenth, want at least 0.5 and %.2f times the first",
					all, longest, c.minShare)
			}
			rejected := 0
			for _, answered := range sessions {
				if !answered {
					rejected++
				}
			}
			if c.load < 1 && rejected > 0 {
				t.Errorf("got no answer for %d of %d sessions", rejected, len(sessions))
			}
			t.Logf("%d requests, answered %.2f, longest tenth %.2f, sessions without an answer %d of %d",
				len(f.requests), all, longest, rejected, len(sessions))
		})
	}
}

// TestNoClassStarves checks that under overload every class gets answers, independent of its latency target, its value
// and its place in the settings.
func TestNoClassStarves(t *testing.T) {
	slow := Class{LatencyTarget: 4e9, LatencyTargetPer1k: 40e6, Timeout: fairnessTimeout, Value: 5}
	for order, classes := range map[string][]Class{
		"quick first": {fairnessClass, slow},
		"slow first":  {slow, fairnessClass},
	} {
		rng := rand.New(rand.NewPCG(2, 0))
		f := newPrefillFleet(t, nil, classes...)
		f.run(1.3, rng, func() (ClassID, TenantID) { return ClassID(rng.IntN(2)), -1 })
		all := f.answeredShare(anyRequest)
		for id := range classes {
			got := f.answeredShare(func(request fairnessRequest) bool { return request.class == ClassID(id) })
			if got < 2*all/3 {
				t.Errorf("%s: answered: got %.2f of class %d, want at least two thirds of the share of all, %.2f",
					order, got, id, all)
			}
			t.Logf("%s: answered %.2f of class %d, %.2f of all", order, got, id, all)
		}
	}
}

// TestTenantWithinQuotaServedBetter checks that a tenant within its quota gets more answers than one far over it.
func TestTenantWithinQuotaServedBetter(t *testing.T) {
	const capacity = fairnessServers * fairnessTokensPerSecond / fairnessPromptTokens // requests a second
	rng := rand.New(rand.NewPCG(3, 0))
	tenants := []Tenant{{RequestsPerSecond: capacity / 2}, {RequestsPerSecond: capacity / 2}}
	f := newPrefillFleet(t, tenants, fairnessClass)
	f.run(1.5, rng, func() (ClassID, TenantID) {
		if rng.IntN(4) == 0 {
			return 0, 0
		}
		return 0, 1 // three times the rate of the other, over its quota
	})
	within := f.answeredShare(func(request fairnessRequest) bool { return request.tenant == 0 })
	over := f.answeredShare(func(request fairnessRequest) bool { return request.tenant == 1 })
	if within < over+0.05 || within < 0.5 {
		t.Errorf("answered: got %.2f of the tenant within its quota, %.2f of the other, want at least 0.5 and 0.05 more",
			within, over)
	}
	t.Logf("answered %.2f of the tenant within its quota, %.2f of the other", within, over)
}
