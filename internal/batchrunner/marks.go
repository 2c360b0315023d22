package batchrunner

import (
	"time"

	"docksail/internal/bootclock"
	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
)

// marksAttempts reports whether a line is stored as in flight before its request is sent, because a later process must
// know that the line may have run.
func (c Class) marksAttempts() bool { return c.Idempotency != batchscheduler.Idempotent }

// startAttempt records that a line's request is sent now. It returns the attempts to store that may have run once this
// one does.
func (r *Runner) startAttempt(a *activeBatch, index batchscheduler.LineIndex) batchstore.Attempts {
	bootNow := r.config.BootClock()
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	attempts := r.scheduler.StartAttempt(now, a.id, index)
	age := time.Duration(now - attempts.FirstAt)
	return batchstore.Attempts{Count: attempts.Count, FirstStart: bootNow.Add(-age)}
}

// storeWaiting stores a line as waiting, with its attempts that may have run.
func (r *Runner) storeWaiting(a *activeBatch, index batchscheduler.LineIndex, attempts batchstore.Attempts) {
	_ = r.storeUntilDone(a, func() error {
		return r.lines.SetLineState(a.record.ID, index, batchscheduler.LineWaiting, attempts)
	})
}

// storedLine returns a stored line with its attempts on the scheduler's clock, which reads now at bootNow.
func storedLine(line batchstore.Line, now batchscheduler.Nanos, bootNow bootclock.Instant) batchscheduler.StoredLine {
	age, ok := bootNow.Since(line.Attempts.FirstStart)
	return batchscheduler.StoredLine{
		State:          line.State,
		Attempts:       batchscheduler.UncertainAttempts{Count: line.Attempts.Count, FirstAt: now - int64(age)},
		FirstAtUnknown: !ok,
	}
}
