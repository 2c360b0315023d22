package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
)

// shop is a few modules before prefill servers that work off what they get one after another, at a rate in prompt tokens.
type shop struct {
	modules []*Router
	wakes   []Nanos
	now     Nanos
	free    map[ServerID]Nanos // when a prefill server is through with what it has
	ends    []shopEnd          // in the order in which they fall due
	jobs    []shopJob          // by id, from 1
}

type shopEnd struct {
	ending
	how Outcome
}

type shopJob struct {
	prompt   int64
	session  SessionKey
	class    ClassID
	tenant   TenantID
	sent     Nanos // the attempt that is out
	answered bool
}

const (
	shopReaders  = 6
	shopRate     = 15000  // prompt tokens a second and prefill server
	shopPrompt   = 2000.0 // mean tokens of a prompt
	shopPatience = Nanos(6e9)
)

// shopClass is the class of a shop in which there is but one.
var shopClass = Class{LatencyTarget: 1500e6, LatencyTargetPer1k: 40e6, Timeout: shopPatience, Value: 1}

func newShop(t *testing.T, modules int, tenants []Tenant, classes ...Class) *shop {
	t.Helper()
	s := &shop{now: 10e9, free: map[ServerID]Nanos{}}
	for n := range modules {
		d := newRouter(t, Config{
			Seed:        uint64(n),
			Self:        Identity{Number: int32(n), Count: int32(modules)},
			Classes:     classes,
			Tenants:     tenants,
			Roles:       []Role{Prefill},
			Attempts:    AttemptLimits{MaxAttempts: 6, CanCancel: true},
			Responses:   ResponseSettings{DeadlineGrace: 16e6, RoundInterval: 4e6, SendRetryAfter: true, MaxRetryAfter: 1e9},
			ReleaseTime: 1e9,
		})
		d.ListUpdateStarted(true)
		for id := ServerID(1); id <= shopReaders; id++ {
			d.ServerListed(id, 0, 0, 0, Serving, 0)
		}
		d.ListUpdateEnded(s.now)
		s.modules, s.wakes = append(s.modules, d), append(s.wakes, Never)
	}
	return s
}

func (s *shop) end(at Nanos, n int, job RequestID, attempt AttemptNumber, outcome Outcome) {
	e := shopEnd{ending{at, n, job, attempt}, outcome}
	i, _ := slices.BinarySearchFunc(s.ends, e, func(a, b shopEnd) int { return cmp.Or(cmp.Compare(a.at, b.at), -1) })
	s.ends = slices.Insert(s.ends, i, e)
}

func (s *shop) pull(n int) {
	d := s.modules[n]
	for what, ok := d.NextDecision(s.now); ok; what, ok = d.NextDecision(s.now) {
		switch what.Action {
		case SetTimer:
			s.wakes[n] = s.now + what.Duration
		case SendAttempt:
			_, req := d.requests.find(what.Request)
			job := &s.jobs[what.Request-1]
			job.sent = s.now
			done := max(s.now, s.free[what.Server]) + Nanos(float64(job.prompt)/shopRate*1e9)
			if done <= s.now+what.Duration {
				s.free[what.Server] = done
				s.end(done, n, what.Request, AttemptNumber(req.attempts-1), Prefilled)
			} else { // withdrawn from the queue before its turn
				s.end(s.now+what.Duration, n, what.Request, AttemptNumber(req.attempts-1), TimedOut)
			}
		case CancelAttempt:
			d.AttemptEnded(s.now, what.Request, what.Attempt, Canceled, s.now-s.jobs[what.Request-1].sent, false, NoLoadReport)
		}
	}
}

// play has requests come for so long, at a load that is a part of what the prefill servers bear; whose draws a request's class and tenant.
func (s *shop) play(span Nanos, load float64, rng *rand.Rand, whose func() (ClassID, TenantID)) {
	const tick = Nanos(4e6)
	rate, owed := load*shopReaders*shopRate/shopPrompt, 0.0
	for until := s.now + span; s.now < until || len(s.ends) > 0; s.now += tick {
		for len(s.ends) > 0 && s.ends[0].at <= s.now {
			e := s.ends[0]
			s.ends = s.ends[1:]
			job := &s.jobs[e.job-1]
			job.answered = job.answered || e.how == Prefilled
			s.modules[e.module].AttemptEnded(s.now, e.job, e.shot, e.how, s.now-job.sent, e.how == Prefilled, NoLoadReport)
			s.pull(e.module)
		}
		for owed += rate * float64(tick) / 1e9; owed >= 1 && s.now < until; owed-- {
			n := rng.IntN(len(s.modules))
			job := shopJob{prompt: int64(200 + rng.ExpFloat64()*(shopPrompt-200)), session: SessionKey(rng.IntN(120) + 1)}
			job.class, job.tenant = whose()
			s.jobs = append(s.jobs, job)
			s.modules[n].RequestArrived(s.now, Request{ID: RequestID(len(s.jobs)), Class: job.class, Tenant: job.tenant, Session: job.session, PromptTokens: job.prompt, Deadline: s.now + shopPatience})
			s.pull(n)
		}
		for n, at := range s.wakes {
			if at <= s.now {
				s.wakes[n] = Never
				s.modules[n].TimerFired(s.now)
				s.pull(n)
			}
		}
	}
}

// share is the answered part of the requests that fit.
func (s *shop) share(fits func(shopJob) bool) float64 {
	all, answered := 0, 0
	for _, req := range s.jobs {
		if fits(req) {
			if all++; req.answered {
				answered++
			}
		}
	}
	return float64(answered) / float64(max(all, 1))
}

// Long prompts have their part of the answers: on a quiet day the longest tenth two thirds of what all have, beyond what the
// prefill servers bear half of it. And while there is room no session is refused throughout.
func TestLongPromptsAndSessionsAreServed(t *testing.T) {
	for _, c := range []struct{ load, least float64 }{{0.6, 2.0 / 3}, {0.9, 2.0 / 3}, {1.3, 1.0 / 2}} {
		t.Run(fmt.Sprint(c.load), func(t *testing.T) {
			s := newShop(t, 4, nil, shopClass)
			s.play(60e9, c.load, rand.New(rand.NewPCG(1, 0)), func() (ClassID, TenantID) { return 0, -1 })
			var prompts []int64
			sessions := map[SessionKey]bool{}
			for _, req := range s.jobs {
				prompts = append(prompts, req.prompt)
				sessions[req.session] = sessions[req.session] || req.answered
			}
			slices.Sort(prompts)
			long := prompts[len(prompts)*9/10]
			all := s.share(func(shopJob) bool { return true })
			longest := s.share(func(req shopJob) bool { return req.prompt >= long })
			if all < 0.5 || longest < c.least*all {
				t.Errorf("answered: %.2f of all, %.2f of the longest tenth, want %.2f of that at least", all, longest, c.least)
			}
			refused := 0
			for _, answered := range sessions {
				if !answered {
					refused++
				}
			}
			if c.load < 1 && refused > 0 {
				t.Errorf("%d of %d sessions are refused throughout", refused, len(sessions))
			}
			t.Logf("%d jobs, answered %.2f, longest tenth %.2f, sessions without any %d of %d", len(s.jobs), all, longest, refused, len(sessions))
		})
	}
}

// Beyond what the prefill servers bear no class is left out, whatever its target, its worth and its place in the settings.
func TestNoClassIsLeftOut(t *testing.T) {
	slow := Class{LatencyTarget: 4e9, LatencyTargetPer1k: 40e6, Timeout: shopPatience, Value: 5}
	for what, classes := range map[string][]Class{"quick first": {shopClass, slow}, "slow first": {slow, shopClass}} {
		rng := rand.New(rand.NewPCG(2, 0))
		s := newShop(t, 4, nil, classes...)
		s.play(60e9, 1.3, rng, func() (ClassID, TenantID) { return ClassID(rng.IntN(2)), -1 })
		all := s.share(func(shopJob) bool { return true })
		for id := range classes {
			got := s.share(func(req shopJob) bool { return req.class == ClassID(id) })
			if got < 2*all/3 {
				t.Errorf("%s: %.2f of class %d are answered, of all %.2f", what, got, id, all)
			}
			t.Logf("%s: %.2f of class %d, of all %.2f", what, got, id, all)
		}
	}
}

// A tenant that asks for what it is entitled to is served better than one that asks for far more.
func TestTenantWithinItsShare(t *testing.T) {
	const bears = shopReaders * shopRate / shopPrompt // requests a second
	rng := rand.New(rand.NewPCG(3, 0))
	s := newShop(t, 4, []Tenant{{RequestsPerSecond: bears / 2}, {RequestsPerSecond: bears / 2}}, shopClass)
	s.play(60e9, 1.5, rng, func() (ClassID, TenantID) {
		if rng.IntN(4) == 0 {
			return 0, 0
		}
		return 0, 1 // three times as much as the other, beyond its share
	})
	within := s.share(func(req shopJob) bool { return req.tenant == 0 })
	beyond := s.share(func(req shopJob) bool { return req.tenant == 1 })
	if within < beyond+0.05 || within < 0.5 {
		t.Errorf("answered: %.2f of the tenant within its share, %.2f of the other", within, beyond)
	}
	t.Logf("%.2f and %.2f", within, beyond)
}
