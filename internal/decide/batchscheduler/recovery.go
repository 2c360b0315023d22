package batchscheduler

// BatchEffect is what is known of the effect of a batch's lines when the batch is resumed.
type BatchEffect struct {
	Stored       Idempotency // under which the lines were sent
	IsStored     bool        // false for batches of an older program
	Configured   Idempotency // of the class in the settings
	IsConfigured bool        // false if the settings have no such class any more
}

// Resumed returns the idempotency under which a batch is resumed: the one that permits less of those that are known.
func (e BatchEffect) Resumed() Idempotency {
	switch {
	case e.IsStored && e.IsConfigured:
		return min(e.Stored, e.Configured)
	case e.IsStored:
		return e.Stored
	case e.IsConfigured:
		return e.Configured
	}
	return NonIdempotent
}

// AnyLineMayHaveRun reports whether any waiting line may have run. Lines that were sent as idempotent are not stored as
// in flight, which matters once their repetition may do harm.
func (e BatchEffect) AnyLineMayHaveRun() bool {
	return e.IsStored && e.Stored == Idempotent && e.Resumed() != Idempotent
}

// StoredLine is what is stored of a line when its batch is resumed after a restart.
type StoredLine struct {
	State          LineState
	Attempts       UncertainAttempts // including one in flight
	FirstAtUnknown bool              // Attempts.FirstAt is not known
}

// RecoverLine returns the state and attempts of a stored line after a restart at time now. The process that sent a line
// in flight has ended, and the attempt with it. The line waits again unless its repetition may do harm or it had all
// its attempts; then it has failed for the returned reason.
func RecoverLine(
	now Nanos, line StoredLine, idempotency Idempotency, window Nanos,
) (LineState, UncertainAttempts, FailureReason) {
	attempts := line.Attempts
	if line.State == LineInFlight && attempts.Count == 0 { // in flight for an idempotent class or an older program
		attempts.Count, line.FirstAtUnknown = 1, true
	}
	if line.State == LineCompleted || line.State == LineFailed || attempts.Count == 0 {
		return line.State, attempts, ""
	}
	record := lineRecord{LineSpec: LineSpec{Attempts: attempts}}
	batch := batchRecord{Batch: Batch{Idempotency: idempotency, DeduplicationWindow: window}}
	switch {
	case idempotency == NonIdempotent:
		return LineFailed, attempts, ReasonMayHaveRun
	case idempotency == Deduplicated && (line.FirstAtUnknown || !batch.mayAttempt(now, &record)):
		return LineFailed, attempts, ReasonDeduplicationExpired
	case attempts.Count >= maxUncertainAttempts:
		return LineFailed, attempts, ReasonTooManyAttempts
	}
	return LineWaiting, attempts, ""
}

// StartAttempt records that the request of a line in flight is sent now, which may be later than NextLine returned the
// line. It returns the attempts that may have run once this one does.
func (s *Scheduler) StartAttempt(now Nanos, id BatchID, index LineIndex) UncertainAttempts {
	line := &s.byID[id].lines[index]
	line.sentAt = now
	attempts := *line
	attempts.countUncertainAttempt()
	return attempts.Attempts
}
