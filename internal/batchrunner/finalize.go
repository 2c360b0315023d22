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
}

// endingOf returns how a batch ends. All its lines except the unsent ones must have ended.
func (r *Runner) endingOf(a *activeBatch, unsent []batchscheduler.LineIndex) ending {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case a.record.State == batchscheduler.StateCancelling:
		return ending{batchscheduler.StateCancelled, codeBatchCancelled, batchscheduler.ReasonCancelled}
	case len(unsent) > 0 || a.expired:
		return ending{batchscheduler.StateExpired, codeBatchExpired, batchscheduler.ReasonWindowExpired}
	default:
		return ending{state: batchscheduler.StateCompleted}
	}
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
	failureText := func(index batchscheduler.LineIndex, line batchstore.Line) []byte {
		return encodeFailure(a.record.ID, index, line.CustomID, end.code, string(end.reason))
	}
	if err := r.store.FailLines(a.record.ID, unsent, failureText); err != nil {
		return err
	}
	b, err := r.store.Batch(a.record.Tenant, a.record.ID)
	if err != nil {
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
