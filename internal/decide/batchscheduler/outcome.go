package batchscheduler

// Outcome says how an attempt of a line ended.
type Outcome uint8

const (
	// OutcomeUnknown is the zero value: nothing is known of the attempt, so that the request may have run.
	OutcomeUnknown Outcome = iota
	// OutcomeServed means that the request was served and its response received.
	OutcomeServed
	// OutcomeRejected means that the request did not run, so that a retry is safe.
	OutcomeRejected
	// OutcomeFailed means that the request failed and may have run.
	OutcomeFailed
	// OutcomeConnectionLost means that the connection was lost before the response; the request may have run.
	OutcomeConnectionLost
	// OutcomeInvalid means that the request was rejected as invalid and every retry would be.
	OutcomeInvalid
	// OutcomeNotSent means that the request did not reach the dispatcher, so that a retry is safe.
	OutcomeNotSent
)

// DidNotRun reports whether the request certainly did not run, although it may in a retry.
func (o Outcome) DidNotRun() bool { return o == OutcomeRejected || o == OutcomeNotSent }

// MayHaveRun reports whether the request may have run although no response came.
func (o Outcome) MayHaveRun() bool {
	return o == OutcomeUnknown || o == OutcomeFailed || o == OutcomeConnectionLost
}

// Verdict says what becomes of a line whose attempt has ended.
type Verdict uint8

const (
	// VerdictCompleted means that the line has ended with a response.
	VerdictCompleted Verdict = iota
	// VerdictRetry means that NextLine returns the line again after a backoff.
	VerdictRetry
	// VerdictFailed means that the line has ended without a response.
	VerdictFailed
)

// FailureReason says why a line has failed. Its text is written to the error file of the batch.
type FailureReason string

// Reasons of VerdictFailed; ReasonCancelled is used for the lines that a cancelled batch did not send.
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
	// maxUncertainAttempts bounds a line's attempts that may have run. Attempts that did not run are not counted:
	// they are retried until the deadline of the batch.
	maxUncertainAttempts = 4
	// backoffFactor is the ratio of each backoff to the previous one.
	backoffFactor = 2.0
	// maxBackoffMultiple bounds a backoff, as a multiple of the initial backoff.
	maxBackoffMultiple = 64
	// maxBackoffSteps bounds the count of rejections, and with it the multiplications for one backoff.
	maxBackoffSteps = 32
	// jitterFraction bounds the random part of a backoff, as a fraction of it. It spreads out the retries of lines that
	// were rejected together.
	jitterFraction = 0.25
)

// ReportOutcome records the end of a line's attempt and returns what becomes of the line. retryAfter is the least wait
// that a rejection asked for, or 0. The reason is empty unless the verdict is VerdictFailed.
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
	if outcome.MayHaveRun() {
		line.countUncertainAttempt()
	}
	if outcome == OutcomeServed {
		b.completeLine(now, line)
		return VerdictCompleted, ""
	}
	if reason := b.failureReason(now, line, outcome); reason != "" {
		b.failLine(line)
		return VerdictFailed, reason
	}
	if outcome.DidNotRun() {
		line.rejections = min(line.rejections+1, maxBackoffSteps)
	}
	retryAt := now + s.backoff(line, retryAfter)
	if !b.mayAttempt(retryAt, line) {
		b.failLine(line)
		return VerdictFailed, ReasonDeduplicationExpired
	}
	b.addRetry(line, retryAt)
	return VerdictRetry, ""
}

// completeLine records that a line has completed.
func (b *batchRecord) completeLine(now Nanos, line *lineRecord) {
	line.State = LineCompleted
	b.remainingCost -= line.Cost
	b.completionTimes[b.completedCount%completionHistory] = now
	b.completedCount++
}

// failLine records that a line has failed.
func (b *batchRecord) failLine(line *lineRecord) {
	line.State = LineFailed
	b.remainingCost -= line.Cost
}

// failureReason returns why a line whose attempt was not served has failed by it, or "" if it may be retried. A line
// whose repetition may do harm fails as one that may have run, whatever ends it.
func (b *batchRecord) failureReason(now Nanos, line *lineRecord, outcome Outcome) FailureReason {
	switch mayHaveRun := b.mayHaveRunOnce(line); {
	case mayHaveRun && b.Idempotency == NonIdempotent:
		return ReasonMayHaveRun
	case mayHaveRun && !b.mayAttempt(now, line):
		return ReasonDeduplicationExpired
	case mayHaveRun && (outcome == OutcomeInvalid || b.stopped || now >= b.Deadline):
		return ReasonMayHaveRun
	case outcome == OutcomeInvalid:
		return ReasonInvalidRequest
	case b.stopped || now >= b.Deadline:
		return ReasonWindowExpired
	case line.Attempts.Count >= maxUncertainAttempts:
		return ReasonTooManyAttempts
	}
	return ""
}

// backoff returns how long a line waits for its next attempt, with jitter and not less than retryAfter.
func (s *Scheduler) backoff(line *lineRecord, retryAfter Nanos) Nanos {
	initial := float64(s.initialBackoff)
	wait := initial
	attempts := int(line.Attempts.Count) + int(line.rejections)
	for range attempts - 1 {
		wait = min(wait*backoffFactor, maxBackoffMultiple*initial)
	}
	return Nanos(max(wait, float64(retryAfter)) * (1 + jitterFraction*s.random()))
}
