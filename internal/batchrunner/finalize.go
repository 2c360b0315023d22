package batchrunner

import (
	"context"
	"time"

	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
)

// finalizeRetryInterval is the wait before a failed finalization is retried.
const finalizeRetryInterval = 2 * time.Second

// ending describes how a batch ends.
type ending struct {
	state  batchscheduler.BatchState    // terminal
	code   errorCode                    // of the unsent lines
	reason batchscheduler.FailureReason // of the unsent lines
	// mayHaveRun has the unsent lines that may have run in an earlier attempt and whose repetition may do harm.
	mayHaveRun map[batchscheduler.LineIndex]bool
}

// failure returns the code and reason with which an unsent line fails.
func (e *ending) failure(index batchscheduler.LineIndex) (errorCode, batchscheduler.FailureReason) {
	if e.mayHaveRun[index] {
		return codeMayHaveRun, batchscheduler.ReasonMayHaveRun
	}
	return e.code, e.reason
}

// endingOf returns how a batch ends. All its lines except the unsent ones must have ended.
func (r *Runner) endingOf(a *activeBatch, unsent []batchscheduler.LineIndex) ending {
	r.mu.Lock()
	defer r.mu.Unlock()
	end := ending{state: batchscheduler.StateCompleted, mayHaveRun: map[batchscheduler.LineIndex]bool{}}
	switch {
	case a.record.State == batchscheduler.StateCancelling:
		end.state, end.code = batchscheduler.StateCancelled, codeBatchCancelled
		end.reason = batchscheduler.ReasonCancelled
	case len(unsent) > 0 || a.expired:
		end.state, end.code = batchscheduler.StateExpired, codeBatchExpired
		end.reason = batchscheduler.ReasonWindowExpired
	}
	for _, index := range unsent {
		if r.scheduler.MayHaveRun(a.id, index) {
			end.mayHaveRun[index] = true
		}
	}
	return end
}

// finalizeBatch fails the unsent lines of a batch, writes its result files and removes it from the scheduler. It
// retries until it succeeds or ctx ends.
func (r *Runner) finalizeBatch(ctx context.Context, a *activeBatch, unsent []batchscheduler.LineIndex) {
	end := r.endingOf(a, unsent)
	if ctx.Err() != nil {
		return
	}
	for {
		err := r.tryFinalize(a, unsent, end)
		if err == nil {
			break
		}
		r.log.Error("batch finalization failed", "batch_id", a.record.ID, "error", err)
		select {
		case <-time.After(finalizeRetryInterval):
		case <-ctx.Done():
			return
		}
	}
	r.log.Info("batch ended", "batch_id", a.record.ID, "state", end.state.String())
	r.mu.Lock()
	defer r.mu.Unlock()
	a.cancel()
	r.scheduler.RemoveBatch(a.id)
	delete(r.active, a.record.ID)
	delete(r.byID, a.id)
}

// tryFinalize fails the unsent lines and writes the result files. It may be called again after an error.
func (r *Runner) tryFinalize(a *activeBatch, unsent []batchscheduler.LineIndex, end ending) error {
	b, err := r.store.Batch(a.record.Tenant, a.record.ID)
	if err != nil || b.State.IsTerminal() { // the change of an earlier try is in place although its sync failed
		return err
	}
	failureText := func(index batchscheduler.LineIndex, line batchstore.Line) []byte {
		code, reason := end.failure(index)
		return encodeFailure(a.record.ID, index, line.CustomID, code, string(reason))
	}
	if err := r.lines.FailLines(a.record.ID, unsent, failureText); err != nil {
		return err
	}
	if b.State != batchscheduler.StateFinalizing {
		b, err = r.store.TransitionBatch(b.ID, batchscheduler.StateFinalizing, func(b *batchstore.Batch) {
			b.FinalState, b.FinalizingUnix = end.state, time.Now().Unix()
		})
		if err != nil {
			return err
		}
	}
	_, err = r.store.FinalizeBatch(time.Now(), b)
	return err
}
