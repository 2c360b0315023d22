package policy

// stage is one kind of work that an attempt asks of a server before its first response.
type stage uint8

const (
	prefillStage         stage = iota // a prefill server processes the prompt
	combinedStage                     // one server processes the prompt and begins the answer
	transferWithinCell                // a decode server fetches the KV state from its cell and begins the answer
	transferBetweenCells              // the same from another cell
	stageCount
)

const (
	// serviceTimeMemory is the number of samples over which a service time is estimated.
	serviceTimeMemory = 64
	// aboveEstimateWeight is the weight of a sample above the estimate. It is small because such a sample has probably
	// queued at its server.
	aboveEstimateWeight = 1.0 / 16
	// queuedFactor is the multiple of the service time from which an attempt is taken to have queued: it has waited
	// longer than it was served.
	queuedFactor = 2.0
	// minQueueDelay is the delay beyond the service time below which an attempt is not taken to have queued. A lost
	// packet or a decode step of a full batch delays an attempt by that much.
	minQueueDelay = Nanos(100e6)
)

// serviceTime estimates how long servers without a queue take for a stage, as a linear function of the number of
// tokens. It is fitted to the responses seen, by least squares in which samples above the line count less.
type serviceTime struct {
	weight, tokens, time, tokensSquared, tokensTime float64 // decayed sums of the samples
	count                                           int     // samples so far, up to minSamples
	mostTokens                                      float64 // largest number of tokens seen, slowly forgotten
}

// known reports whether there are enough samples for an estimate.
func (s *serviceTime) known() bool { return s.count >= minSamples }

// estimate returns the time for a number of tokens, or 0 before the first sample.
func (s *serviceTime) estimate(tokens float64) float64 {
	if s.weight == 0 {
		return 0
	}
	meanTokens, meanTime := s.tokens/s.weight, s.time/s.weight
	proportional := meanTime / max(meanTokens, 1)
	variance := s.tokensSquared/s.weight - meanTokens*meanTokens
	if variance <= minTokenVariance*meanTokens*meanTokens { // prompts of one length tell nothing of the others
		return meanTime + proportional*max(tokens-meanTokens, 0)
	}
	slope := (s.tokensTime/s.weight - meanTokens*meanTime) / variance
	slope = min(max(slope, 0), proportional)
	return meanTime + slope*(tokens-meanTokens)
}

// minTokenVariance is the variance of the numbers of tokens, relative to the square of their mean, below which the
// service time per token cannot be told from the rest.
const minTokenVariance = 1.0 / 100

// add adds a sample. One that has queued is not added once the service time is known.
func (s *serviceTime) add(tokens float64, elapsed Nanos) {
	weight := 1.0
	if s.known() {
		estimate := s.estimate(tokens)
		if hasQueued(elapsed, estimate) {
			return
		}
		if float64(elapsed) > estimate {
			weight = aboveEstimateWeight
		}
	} else {
		s.count++
	}
	kept, time := 1-weight/serviceTimeMemory, float64(elapsed)
	s.weight = s.weight*kept + weight
	s.tokens = s.tokens*kept + weight*tokens
	s.time = s.time*kept + weight*time
	s.tokensSquared = s.tokensSquared*kept + weight*tokens*tokens
	s.tokensTime = s.tokensTime*kept + weight*tokens*time
	s.mostTokens = max(s.mostTokens*(1-1.0/serviceTimeMemory), tokens)
}

// hasQueued reports whether an attempt that took a time has queued at its server, by the service time of its work.
func hasQueued(elapsed Nanos, estimate float64) bool {
	return float64(elapsed) > queuedThreshold(estimate)
}

// queuedThreshold returns the time above which an attempt has queued, by the service time of its work.
func queuedThreshold(estimate float64) float64 {
	return max(queuedFactor*estimate, estimate+float64(minQueueDelay))
}

// workModel estimates the work that is left for a request, in seconds as seen: by the service times of the stages, and
// by how long servers of a role took of late, as multiples of them.
type workModel struct {
	stages [stageCount]serviceTime
}

// uncachedTokens returns the number of tokens of a request's prompt that the prefill server with the largest part of
// it is expected to process.
func (r *Router) uncachedTokens(now Nanos, req *requestState) int64 {
	r.affinity.loadHints(&r.prefixes, req)
	shared := min(r.affinity.prefixHints.mostTokens(now), req.PrefixTokens)
	cached := max(shared, r.affinity.sessionHints.mostTokens(now))
	return max(req.PromptTokens-cached, 0)
}

// usualTime returns how long a stage usually takes of late for a number of tokens; 0 if it is unknown. More tokens than
// were seen are not extrapolated: what was never seen is tried.
func (r *Router) usualTime(s stage, role Role, tokens int64) Nanos {
	fit := r.work.fitOf(s)
	if !fit.known() {
		return 0
	}
	return Nanos(fit.estimate(min(float64(tokens), fit.mostTokens)) * r.loadFactor(role))
}

// loadFactor returns how many times the service time attempts at the servers of a role take now: as many as of late,
// but no more than the attempts of this dispatcher explain that are outstanding there. A queue that has been worked
// off says nothing of the next request, and if all were refused for it, no response would ever show that.
func (r *Router) loadFactor(role Role) float64 {
	outstanding := float64(r.roleLimits[role].outstanding) / max(r.counts.listed[role], 1)
	return max(min(r.latency.median[role], 1+outstanding), 1)
}

// handOverTime returns how long it usually takes until the answer of a prompt that has been processed begins.
func (r *Router) handOverTime(promptTokens int64) Nanos {
	if r.counts.serving[Decode] == 0 {
		return r.usualTime(transferWithinCell, Mixed, promptTokens)
	}
	return r.usualTime(transferWithinCell, Decode, promptTokens)
}

// workLeft returns how long the rest of a request usually takes until its answer begins, without a queue ahead of it.
// This is the one estimate that waits, refusals, timeouts and the order of requests follow from.
func (r *Router) workLeft(now Nanos, req *requestState) Nanos {
	handOver := r.handOverTime(req.PromptTokens)
	if req.phase == awaitingDecode {
		return handOver
	}
	return r.prefillTime(r.uncachedTokens(now, req)) + handOver
}

// Estimate is what the router expects of the work of a request that has not arrived yet.
type Estimate struct {
	Work        Nanos // until its answer begins, as it usually takes of late; 0 if that is unknown
	QueuedAfter Nanos // if its answer begins later than that, it has queued at a server; 0 if that is unknown
	RetryAfter  Nanos // when its client may find room if it is rejected
}

// Estimate estimates the work of a request. Admission and intake decide by it, as the router does.
func (r *Router) Estimate(now Nanos, request Request) Estimate {
	req := requestState{Request: request}
	return Estimate{
		Work: r.workLeft(now, &req), QueuedAfter: r.queuedAfter(r.uncachedTokens(now, &req), request.PromptTokens),
		RetryAfter: r.RetryAfter(),
	}
}

// queuedAfter returns the time to the first token above which a request has queued; 0 if that is unknown.
func (r *Router) queuedAfter(uncachedTokens, promptTokens int64) Nanos {
	prefill := r.work.serviceTime(prefillStage, uncachedTokens)
	handOver := r.work.serviceTime(transferWithinCell, promptTokens)
	if prefill == 0 || handOver == 0 {
		return 0
	}
	return Nanos(queuedThreshold(float64(prefill + handOver)))
}

// prefillTime returns how long the processing of uncached prompt tokens usually takes.
func (r *Router) prefillTime(tokens int64) Nanos {
	if r.counts.serving[Prefill] == 0 && r.counts.serving[Mixed] > 0 {
		return r.usualTime(combinedStage, Mixed, tokens)
	}
	return r.usualTime(prefillStage, Prefill, tokens)
}

// timeLeft returns how long the caller of a request still waits, less the round in which an answer is given.
func (r *Router) timeLeft(now Nanos, req *requestState) Nanos {
	return req.Deadline - r.config.Responses.RoundInterval - now
}

// latestStart returns the time at which the rest of a request has to begin for its answer to be in time. Requests are
// served in the order of their latest starts.
func (r *Router) latestStart(now Nanos, req *requestState) Nanos {
	return now + r.timeLeft(now, req) - r.workLeft(now, req)
}

// stageOf returns the stage of an attempt of a request at a server.
func (r *Router) stageOf(req *requestState, srv *server) stage {
	switch {
	case req.phase != awaitingDecode && srv.role == Prefill:
		return prefillStage
	case req.phase != awaitingDecode:
		return combinedStage
	case r.servers[req.prefillServer].inCellOf(srv):
		return transferWithinCell
	}
	return transferBetweenCells
}

// addSample records how long a stage took and returns that as a multiple of its service time.
func (m *workModel) addSample(s stage, tokens int64, elapsed Nanos) (multiple float64, queued bool) {
	fit := &m.stages[s]
	fit.add(float64(tokens), elapsed)
	return m.multiple(s, tokens, elapsed), fit.known() && hasQueued(elapsed, fit.estimate(float64(tokens)))
}

// multiple returns a time as a multiple of the service time of a stage, which makes the times of prompts of different
// lengths comparable; 1 if the service time is unknown.
func (m *workModel) multiple(s stage, tokens int64, elapsed Nanos) float64 {
	estimate := m.stages[s].estimate(float64(tokens))
	if estimate <= 0 {
		return 1
	}
	return float64(elapsed) / estimate
}

// fitOf returns the service time of a stage. While it is unknown for one of the transfers, the other's stands for it.
func (m *workModel) fitOf(s stage) *serviceTime {
	fit := &m.stages[s]
	switch {
	case fit.known():
	case s == transferWithinCell:
		return &m.stages[transferBetweenCells]
	case s == transferBetweenCells:
		return &m.stages[transferWithinCell]
	}
	return fit
}

// usualAttemptTime returns how long attempts at the servers of a role take of late; 0 if that is unknown.
func (r *Router) usualAttemptTime(role Role) Nanos {
	return Nanos(float64(r.work.meanServiceTime(roleStage[role])) * max(r.latency.median[role], 1))
}

// meanServiceTime returns the service time of a stage for a prompt of mean length; 0 if it is unknown.
func (m *workModel) meanServiceTime(s stage) Nanos {
	fit := m.fitOf(s)
	if !fit.known() {
		return 0
	}
	return Nanos(fit.time / fit.weight)
}

// serviceTime returns the service time of a stage for a number of tokens; 0 if it is unknown.
func (m *workModel) serviceTime(s stage, tokens int64) Nanos {
	fit := m.fitOf(s)
	if !fit.known() {
		return 0
	}
	return Nanos(fit.estimate(float64(tokens)))
}
