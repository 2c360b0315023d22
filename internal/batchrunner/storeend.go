package batchrunner

import (
	"errors"
	"time"

	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
	"docksail/internal/state/recordstore"
)

// storeRetryInterval is the wait before a change that could not be stored is tried again.
const storeRetryInterval = time.Second

// storeExpiredLines stores the failures of lines that may have run and whose deduplication window is over.
func (r *Runner) storeExpiredLines(a *activeBatch, lines []batchscheduler.LineIndex) {
	failureText := func(index batchscheduler.LineIndex, line batchstore.Line) []byte {
		reason := string(batchscheduler.ReasonDeduplicationExpired)
		return encodeFailure(a.record.ID, index, line.CustomID, codeMayHaveRun, reason)
	}
	_ = r.storeUntilDone(a, func() error { return r.lines.FailLines(a.record.ID, lines, failureText) })
	r.endStored(a)
}

// storeUntilDone calls store until it succeeds, no later call can or the runner stops. It returns the last error.
func (r *Runner) storeUntilDone(a *activeBatch, store func() error) error {
	for {
		err := store()
		if err == nil {
			return nil
		}
		r.log.Error("end of lines not stored", "batch_id", a.record.ID, "error", err)
		if isPermanent(err) {
			return err
		}
		select {
		case <-time.After(storeRetryInterval):
		case <-a.runnerCtx.Done():
			return err
		}
	}
}

// isPermanent reports whether an error of the store is about the records themselves, so that no later call succeeds.
func isPermanent(err error) bool {
	_, isCorrupt := errors.AsType[*recordstore.CorruptRecordError](err)
	return isCorrupt || errors.Is(err, batchstore.ErrCorrupt) || errors.Is(err, batchstore.ErrInvalidState) ||
		errors.Is(err, batchstore.ErrNotFound) || errors.Is(err, recordstore.ErrNotFound)
}

// beginStoring counts an end that was reported to the scheduler and is to be stored. r.mu must be held.
func (r *Runner) beginStoring(a *activeBatch) {
	a.unstoredEnds++
	r.unstoredEnds++
}

// endStored counts an end as stored and makes Run check whether the batch has ended.
func (r *Runner) endStored(a *activeBatch) {
	r.mu.Lock()
	a.unstoredEnds--
	r.unstoredEnds--
	r.mu.Unlock()
	r.wakeLoop()
}
