package batchscheduler

// repeatMargin is how long before the end of its deduplication window the last repeat of a line begins: a process may
// be held up for as long between reading its clock and writing.
const repeatMargin Nanos = 150e6

// countUncertainAttempt counts the latest attempt as one that may have run.
func (l *lineRecord) countUncertainAttempt() {
	if l.Attempts.Count == 0 {
		l.Attempts.FirstAt = l.sentAt
	}
	l.Attempts.Count++
}

// mayHaveRunOnce reports whether a line whose repetition may do harm may have run.
func (b *batchRecord) mayHaveRunOnce(line *lineRecord) bool {
	return line.Attempts.Count > 0 && b.Idempotency != Idempotent
}

// mayAttempt reports whether an attempt of the line may begin at a time: the line cannot have run, it is idempotent, or
// its repetition is recognized.
func (b *batchRecord) mayAttempt(at Nanos, line *lineRecord) bool {
	if !b.mayHaveRunOnce(line) {
		return true
	}
	return b.Idempotency == Deduplicated && at < b.repeatDeadline(line)
}

// repeatDeadline returns the time before which an attempt of a deduplicated line that may have run must begin.
func (b *batchRecord) repeatDeadline(line *lineRecord) Nanos {
	return line.Attempts.FirstAt + b.DeduplicationWindow - repeatMargin
}

// addRetry makes a line wait for another attempt.
func (b *batchRecord) addRetry(line *lineRecord, retryAt Nanos) {
	line.State, line.retryAt = LineWaiting, retryAt
	b.waiting++
	b.retries.PushOrFix(line)
	if b.mayHaveRunOnce(line) {
		b.repeats.PushOrFix(line)
	}
}

// removeRetry removes a line that waits for another attempt from its heaps.
func (b *batchRecord) removeRetry(line *lineRecord) {
	b.retries.Remove(line)
	if b.mayHaveRunOnce(line) {
		b.repeats.Remove(line)
	}
}

// ExpireNextLine fails one waiting line that may have run and whose deduplication window is over. It returns false if
// there is no such line. The reason of the failure is ReasonDeduplicationExpired.
func (s *Scheduler) ExpireNextLine(now Nanos) (BatchID, LineIndex, bool) {
	for _, b := range s.batches {
		if b.stopped || b.repeats.Len() == 0 {
			continue
		}
		line := b.repeats.Min()
		if b.mayAttempt(now, line) {
			continue
		}
		b.removeRetry(line)
		b.waiting--
		b.failLine(line)
		return b.ID, line.index, true
	}
	return 0, 0, false
}

// RepeatDeadline returns the time before which the attempt in flight of a line must begin at a server, and false if it
// may begin at any time.
func (s *Scheduler) RepeatDeadline(id BatchID, index LineIndex) (Nanos, bool) {
	b := s.byID[id]
	if b == nil || int(index) >= len(b.lines) || !b.mayHaveRunOnce(&b.lines[index]) {
		return 0, false
	}
	return b.repeatDeadline(&b.lines[index]), true
}

// MayHaveRun reports whether a line may have run and its repetition may do harm.
func (s *Scheduler) MayHaveRun(id BatchID, index LineIndex) bool {
	b := s.byID[id]
	return b != nil && int(index) < len(b.lines) && b.mayHaveRunOnce(&b.lines[index])
}
