package policy

import "math"

const (
	// manyWarmingShare is the share of a role's servers in slow start up to which the others bear the load.
	manyWarmingShare = 1.0 / 2
	// slowStartMargin is the used share of the attempts that overload a starting server: the rest is for chance.
	slowStartMargin = 0.9
)

// throughputStats measures how many answers a warm server of each role gives this dispatcher.
type throughputStats struct {
	answersPerWindow [roleCount]float64 // by one warm server over SlowStart.OverloadWindow
	warmAnswers      [roleCount]float64 // decayed number of answers of warm servers ...
	warmWindows      [roleCount]float64 // ... and of windows over which warm servers served
}

// measure updates the throughput after some time in which so many servers were warm. The counts decay over memory. The
// throughput of a role stays as it is while none of its servers is warm.
func (t *throughputStats) measure(elapsed, window, memory Nanos, warm *[roleCount]float64) {
	if window <= 0 {
		return
	}
	keep := max(0, 1-float64(elapsed)/float64(memory))
	for role := range t.answersPerWindow {
		t.warmWindows[role] += warm[role] * (float64(elapsed) / float64(window))
		if t.warmWindows[role] > 0 {
			t.answersPerWindow[role] = t.warmAnswers[role] / t.warmWindows[role]
		}
		t.warmAnswers[role], t.warmWindows[role] = t.warmAnswers[role]*keep, t.warmWindows[role]*keep
	}
}

// answerInterval returns the usual time between two answers of a server to this dispatcher, or 0 if it is unknown.
func (t *throughputStats) answerInterval(role Role, window Nanos) Nanos {
	if t.answersPerWindow[role] == 0 {
		return 0
	}
	return Nanos(float64(window) / t.answersPerWindow[role])
}

// inSlowStart reports whether a server has started so recently that it cannot bear its full share yet.
func (r *Router) inSlowStart(now Nanos, srv *server) bool {
	settings := &r.config.SlowStart
	return settings.OverloadWindow > 0 && srv.startedAt > 0 && now < srv.startedAt+settings.WarmupTime
}

// manyInSlowStart reports whether so many servers of a role are in slow start that the others would be overloaded.
func (r *Router) manyInSlowStart(role Role) bool {
	return r.counts.warming[role] > manyWarmingShare*r.counts.serving[role]
}

// slowStartAllows implements rule four: it reports whether a server may be sent one more attempt. All dispatchers
// together may send a server in slow start only a share of what its warm peers get. Each dispatcher accrues credit for
// its own part of it, from what it sees warm servers answer; so the sum is right however little one of them sees.
//
// Credit takes precedence over locality and prefix affinity where half of the servers are in slow start: a dispatcher
// with little traffic has credit only now and then, and the other half would be overloaded while it stays unused. Where
// few are in slow start, prompts of which they have cached nothing are better read by the others.
func (r *Router) slowStartAllows(now Nanos, srv *server) bool {
	if !r.inSlowStart(now, srv) {
		return true
	}
	r.accrueCredit(now, srv)
	return srv.credit >= srv.creditSpent+1
}

// accrueCredit adds a server's slow-start credit since the last call. The first credit is offset by the dispatcher's
// number. Credit that is not used within two windows lapses, so that it cannot be saved and spent at once. A dispatcher
// that has seen no answers accrues its part of one attempt a window.
func (r *Router) accrueCredit(now Nanos, srv *server) {
	settings, dispatchers := &r.config.SlowStart, float64(r.config.Self.Count)
	if srv.creditStartedAt != srv.startedAt {
		srv.creditStartedAt, srv.creditedAt, srv.creditSpent = srv.startedAt, srv.startedAt, 0
		offset := float64(r.config.Self.Number) / dispatchers
		_, srv.credit = math.Modf(offset + float64(mixBits(uint64(srv.id))>>11)/(1<<53))
	}
	perWindow := slowStartMargin * settings.OverloadFactor * settings.InitialCapacity *
		r.throughput.answersPerWindow[srv.role]
	perWindow = max(perWindow, 1/dispatchers)
	srv.credit += perWindow * float64(now-srv.creditedAt) / float64(settings.OverloadWindow)
	srv.creditedAt = now
	srv.creditSpent = max(srv.creditSpent, math.Floor(srv.credit-2*perWindow))
}
