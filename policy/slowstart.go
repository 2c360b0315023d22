package policy

import "math"

const (
	// maxWarmingShare is the share of a role's servers in slow start up to which the others can handle the load.
	maxWarmingShare = 1.0 / 2
	// slowStartUtilization is the share of the attempts that overload a starting server which are sent to it. The rest
	// allows for random variation.
	slowStartUtilization = 0.9
)

// throughputStats measures the answers that this dispatcher gets from a warm server of each role.
type throughputStats struct {
	answersPerWindow [roleCount]float64 // of one warm server in SlowStart.OverloadWindow
	warmAnswers      [roleCount]float64 // decayed number of answers from warm servers ...
	warmWindows      [roleCount]float64 // ... and of windows in which warm servers served
}

// measure updates the throughput for an elapsed time and the numbers of warm servers during it. The counts decay over
// decayTime. The throughput of a role does not change while none of its servers is warm.
func (t *throughputStats) measure(elapsed, window, decayTime Nanos, warm *[roleCount]float64) {
	if window <= 0 {
		return
	}
	decay := max(0, 1-float64(elapsed)/float64(decayTime))
	for role := range t.answersPerWindow {
		t.warmWindows[role] += warm[role] * (float64(elapsed) / float64(window))
		if t.warmWindows[role] > 0 {
			t.answersPerWindow[role] = t.warmAnswers[role] / t.warmWindows[role]
		}
		t.warmAnswers[role], t.warmWindows[role] = t.warmAnswers[role]*decay, t.warmWindows[role]*decay
	}
}

// answerInterval returns the average time between two answers of a server to this dispatcher, or 0 if it is unknown.
func (t *throughputStats) answerInterval(role Role, window Nanos) Nanos {
	if t.answersPerWindow[role] == 0 {
		return 0
	}
	return Nanos(float64(window) / t.answersPerWindow[role])
}

// inSlowStart reports whether a server has started so recently that it does not have its full capacity yet.
func (r *Router) inSlowStart(now Nanos, srv *server) bool {
	settings := &r.config.SlowStart
	return settings.OverloadWindow > 0 && srv.startedAt > 0 && now < srv.startedAt+settings.WarmupTime
}

// manyInSlowStart reports whether so many servers of a role are in slow start that the others would be overloaded.
func (r *Router) manyInSlowStart(role Role) bool {
	return r.counts.warming[role] > maxWarmingShare*r.counts.serving[role]
}

// slowStartAllows reports whether a server may be sent one more attempt (rule four). All dispatchers together may send
// a server in slow start only a share of what its warm peers get. Each dispatcher accrues credit for its own part, in
// proportion to the answers that it gets from warm servers, so that the sum is right for any split of the traffic.
//
// If more than maxWarmingShare of the servers are in slow start, a prefill server with credit takes precedence over
// locality and prefix affinity, and a decode server with credit over others at the same distance with as many streams:
// the other servers would be overloaded, and a dispatcher with little traffic rarely has credit to use. If few are in
// slow start, they get no precedence: prompts that they have not cached are better processed by the others.
func (r *Router) slowStartAllows(now Nanos, srv *server) bool {
	if !r.inSlowStart(now, srv) {
		return true
	}
	r.accrueCredit(now, srv)
	return srv.credit >= srv.creditSpent+1
}

// accrueCredit adds the slow-start credit of a server since the last call. Initial credits are offset by the
// dispatcher's index, so that dispatchers do not all send their first attempts at the same time. Credit that is not
// used within two windows lapses, so that it cannot accumulate to a burst. A dispatcher without answers yet accrues
// its part of one attempt per window.
func (r *Router) accrueCredit(now Nanos, srv *server) {
	settings, dispatchers := &r.config.SlowStart, float64(r.config.Self.Count)
	if srv.creditStartedAt != srv.startedAt {
		srv.creditStartedAt, srv.creditedAt, srv.creditSpent = srv.startedAt, srv.startedAt, 0
		offset := float64(r.config.Self.Index) / dispatchers
		_, srv.credit = math.Modf(offset + float64(mixBits(uint64(srv.id))>>11)/(1<<53))
	}
	perWindow := slowStartUtilization * settings.OverloadFactor * settings.InitialCapacity *
		r.throughput.answersPerWindow[srv.role]
	perWindow = max(perWindow, 1/dispatchers)
	srv.credit += perWindow * float64(now-srv.creditedAt) / float64(settings.OverloadWindow)
	srv.creditedAt = now
	srv.creditSpent = max(srv.creditSpent, math.Floor(srv.credit-2*perWindow))
}
