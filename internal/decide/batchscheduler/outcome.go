package batchscheduler

// Outcome says how an attempt of a line ended.
type Outcome uint8

const (
	// OutcomeServed means that the request was answered.
	OutcomeServed Outcome = iota
	// OutcomeRejected means that the request was not begun: a retry does no harm.
	OutcomeRejected
	// OutcomeFailed means that the request failed and may have run.
	OutcomeFailed
	// OutcomeConnectionLost means that the connection ended first; the request may have run.
	OutcomeConnectionLost
	// OutcomeInvalid means that the request will never be accepted.
	OutcomeInvalid
)

// mayHaveRun reports whether the request may have run without an answer.
func (o Outcome) mayHaveRun() bool { return o == OutcomeFailed || o == OutcomeConnectionLost }

// Verdict says what becomes of a line whose attempt has ended.
type Verdict uint8

const (
	// VerdictCompleted means that the line has ended with an answer.
	VerdictCompleted Verdict = iota
	// VerdictRetry means that NextLine returns the line again after a backoff.
	VerdictRetry
	// VerdictFailed means that the line has ended without an answer.
	VerdictFailed
)

// FailureReason says why a line has failed. Its text stands in the error file of the batch.
type FailureReason string

// Reasons of VerdictFailed, and ReasonCancelled of the lines that a cancelled batch never sent.
const (
	ReasonMayHaveRun           FailureReason = "may have run: it is not sent again"
	ReasonTooManyAttempts      FailureReason = "gave up after so many tries"
	ReasonInvalidRequest       FailureReason = "the request cannot be taken"
	ReasonWindowExpired        FailureReason = "the completion window is over"
	ReasonCancelled            FailureReason = "the batch was cancelled"
	ReasonDeduplicationExpired FailureReason = "may have run, and the window of its label is over"
	ReasonNotInFlight          FailureReason = "no such line is out"
)

const (
	// maxUncertainAttempts bounds the attempts of a line that may have run. Rejections are not bounded: a rejected line
	// is retried until the deadline of its batch.
	maxUncertainAttempts = 4
	// backoffFactor is how much longer each backoff is than the one before.
	backoffFactor = 2.0
	// maxBackoffMultiple bounds a backoff, as a multiple of the initial backoff.
	maxBackoffMultiple = 64
	// maxBackoffSteps bounds the multiplications for one backoff.
	maxBackoffSteps = 32
	// jitterFraction of a backoff is added at random, so that lines which were rejected together spread out.
	jitterFraction = 0.25
)

// ReportOutcome accounts that an attempt of a line has ended. retryAfter is how long a rejection asks to wait. The
// reason is set if the verdict is VerdictFailed.
func (s *Scheduler) ReportOutcome(
	now Nanos, id BatchID, index LineIndex, outcome Outcome, retryAfter Nanos,
) (Verdict, FailureReason) {
	b := s.byID[id]
	if b == nil || int(index) >= len(b.lines) || b.lines[index].State != LineInFlight {
		return VerdictFailed, ReasonNotInFlight
	}
	line := &b.lines[index]
	b.inFlight--
	s.inFlight--
	if outcome.mayHaveRun() && line.firstUncertainAt == 0 {
		line.firstUncertainAt = now
	}
	if outcome == OutcomeServed {
		b.completeLine(now, line)
		return VerdictCompleted, ""
	}
	if reason := b.countAttempt(now, line, outcome); reason != "" {
		line.State = LineFailed
		b.remainingCost -= line.Cost
		return VerdictFailed, reason
	}
	line.State, line.retryAt = LineWaiting, now+s.backoff(line, retryAfter)
	b.waiting++
	b.retries.PushOrFix(line)
	return VerdictRetry, ""
}

// completeLine accounts a line as completed.
func (b *batchRecord) completeLine(now Nanos, line *lineRecord) {
	line.State = LineCompleted
	b.remainingCost -= line.Cost
	b.completionTimes[b.completedCount%completionHistory] = now
	b.completedCount++
}

// countAttempt counts an attempt that was not served. It returns why the line has failed, or "" if it may be retried.
func (b *batchRecord) countAttempt(now Nanos, line *lineRecord, outcome Outcome) FailureReason {
	mayHaveRun := outcome.mayHaveRun()
	switch {
	case outcome == OutcomeInvalid:
		return ReasonInvalidRequest
	case mayHaveRun && b.Effect == NonIdempotent:
		return ReasonMayHaveRun
	case mayHaveRun && b.Effect == Deduplicated && now > line.firstUncertainAt+b.DeduplicationWindow:
		return ReasonDeduplicationExpired
	case b.stopped || now >= b.Deadline:
		return ReasonWindowExpired
	case outcome == OutcomeRejected:
		line.rejections++
		return ""
	}
	line.uncertainAttempts++
	if line.uncertainAttempts >= maxUncertainAttempts {
		return ReasonTooManyAttempts
	}
	return ""
}

// backoff returns how long a line waits for its next attempt, with jitter and not less than retryAfter.
func (s *Scheduler) backoff(line *lineRecord, retryAfter Nanos) Nanos {
	initial := float64(s.initialBackoff)
	wait := initial
	attempts := int(line.uncertainAttempts) + int(line.rejections)
	for range min(attempts-1, maxBackoffSteps) {
		wait = min(wait*backoffFactor, maxBackoffMultiple*initial)
	}
	return Nanos(max(wait, float64(retryAfter)) * (1 + jitterFraction*s.random()))
}
