package batchrunner

import (
	"errors"
	"time"

	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
)

// storeRetryInterval is the wait before a change that could not be stored is tried again.
const storeRetryInterval = time.Second

// storeExpiredLines stores the failures of lines that may have run and whose deduplication window is over.
func (r *Runner) storeExpiredLines(a *activeBatch, lines []batchscheduler.LineIndex) {
	failureText := func(index batchscheduler.LineIndex, line batchstore.Line) []byte {
		reason := string(batchscheduler.ReasonDeduplicationExpired)
		return encodeFailure(a.record.ID, index, line.CustomID, codeMayHaveRun, reason)
	}
	r.storeUntilDone(a, func() error { return r.store.FailLines(a.record.ID, lines, failureText) })
	r.endStored(a)
}

// storeUntilDone calls store until it succeeds, the batch has ended or the runner stops. It reports whether store has
// succeeded.
func (r *Runner) storeUntilDone(a *activeBatch, store func() error) bool {
	for {
		err := store()
		if err == nil {
			return true
		}
		r.log.Error("end of lines not stored", "batch_id", a.record.ID, "error", err)
		if errors.Is(err, batchstore.ErrInvalidState) {
			return false
		}
		select {
		case <-time.After(storeRetryInterval):
		case <-a.runnerCtx.Done():
			return false
		}
	}
}

// endStored counts an end as stored and makes Run check whether the batch has ended.
func (r *Runner) endStored(a *activeBatch) {
	r.mu.Lock()
	a.unstoredEnds--
	r.mu.Unlock()
	r.wakeLoop()
}
