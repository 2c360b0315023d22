package batchrunner

import (
	"context"
	"fmt"
	"time"

	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
)

// resume adds a stored batch to the scheduler, unless the batch is in a terminal state. A batch in StateValidating is
// validated first and not added if its input file is rejected.
func (r *Runner) resume(ctx context.Context, b batchstore.Batch) (err error) {
	// A batch submitted while Run reads the unfinished batches may be among them; it must not run twice.
	if !r.beginResume(b.ID) {
		return nil
	}
	defer r.endResume(b.ID)
	if b, err = r.store.Batch(b.Tenant, b.ID); err != nil || b.State.IsTerminal() {
		return err
	}
	if b.State == batchscheduler.StateValidating {
		if b, err = r.validate(b); err != nil || b.State != batchscheduler.StateInProgress {
			return err
		}
	}
	tenant, ok := r.tenants[b.Tenant]
	if !ok {
		return fmt.Errorf("tenant %q is not configured", b.Tenant)
	}
	recovered, err := r.recoverLines(b)
	if err != nil {
		return err
	}
	if err := r.recordFailures(b.ID, recovered.failures); err != nil {
		return err
	}
	if effect := recovered.class.Idempotency.String(); effect != b.Effect {
		if err := r.store.SetEffect(b.ID, effect); err != nil {
			return err
		}
	}
	if recovered.retried+len(recovered.failures) > 0 {
		r.log.Info("batch resumed", "batch_id", b.ID,
			"lines_retried", recovered.retried, "lines_failed", len(recovered.failures))
	}
	return r.activate(ctx, b, tenant, recovered)
}

// beginResume reserves a batch for one call of resume. It returns false if another call has reserved the batch or it is
// active.
func (r *Runner) beginResume(batchID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.resuming[batchID] || r.active[batchID] != nil {
		return false
	}
	r.resuming[batchID] = true
	return true
}

// endResume releases a batch reserved by beginResume.
func (r *Runner) endResume(batchID string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.resuming, batchID)
}

// lineFailure describes a line that fails while its batch is resumed.
type lineFailure struct {
	index    batchscheduler.LineIndex
	customID string
	code     errorCode
	message  string
}

// recoveredLines holds the lines of a batch that is resumed.
type recoveredLines struct {
	class    Class // of all lines
	lines    []batchscheduler.LineSpec
	retried  int // lines that were in flight and are sent again
	failures []lineFailure
}

// addFailed adds a failed line.
func (l *recoveredLines) addFailed(failure lineFailure) {
	l.failures = append(l.failures, failure)
	l.lines = append(l.lines, batchscheduler.LineSpec{State: batchscheduler.LineFailed})
}

// add adds a line whose record could be read.
func (l *recoveredLines) add(
	now batchscheduler.Nanos, index batchscheduler.LineIndex, line batchstore.Line, stored batchscheduler.StoredLine,
) {
	window := int64(l.class.DeduplicationWindow)
	state, attempts, reason := batchscheduler.RecoverLine(now, stored, l.class.Idempotency, window)
	switch {
	case reason == batchscheduler.ReasonTooManyAttempts:
		l.failures = append(l.failures, lineFailure{index, line.CustomID, codeConnectionLost, string(reason)})
	case reason != "":
		l.failures = append(l.failures, lineFailure{index, line.CustomID, codeMayHaveRun, string(reason)})
	case state != line.State:
		l.retried++
	}
	l.lines = append(l.lines, batchscheduler.LineSpec{
		Cost: float64(line.Cost), PrefixGroup: line.PrefixGroup, State: state, Attempts: attempts,
	})
}

// recoverLines reads the lines of a batch. Lines whose records are corrupt or missing fail, as do lines that may have
// run and must not run twice.
func (r *Runner) recoverLines(b batchstore.Batch) (recoveredLines, error) {
	var recovered recoveredLines
	var effect batchscheduler.BatchEffect
	hasClass := false
	bootNow := r.config.BootClock()
	now := r.now()
	err := r.store.ForEachLine(b.ID, func(index batchscheduler.LineIndex, line batchstore.Line, corrupt error) error {
		for int(index) > len(recovered.lines) {
			missing := batchscheduler.LineIndex(len(recovered.lines))
			recovered.addFailed(lineFailure{index: missing, code: codeCorrupt, message: "its record is missing"})
		}
		if corrupt != nil {
			recovered.addFailed(lineFailure{index: index, code: codeCorrupt, message: corrupt.Error()})
			return nil
		}
		if !hasClass {
			recovered.class, effect = r.resumedClass(b, index, line)
			hasClass = true
		}
		if effect.AnyLineMayHaveRun() && line.State == batchscheduler.LineWaiting {
			line.State = batchscheduler.LineInFlight
		}
		recovered.add(now, index, line, storedLine(line, now, bootNow))
		return nil
	})
	return recovered, err
}

// resumedClass returns the class of a batch, as its lines are to be sent, and what is known of their effect. line is
// one of them. If the settings have no such class, its timeout is 0: no line can be sent.
func (r *Runner) resumedClass(
	b batchstore.Batch, index batchscheduler.LineIndex, line batchstore.Line,
) (Class, batchscheduler.BatchEffect) {
	name := b.Class
	if name == "" {
		name = r.readClassName(b, index, line)
	}
	var effect batchscheduler.BatchEffect
	effect.Stored, effect.IsStored = batchscheduler.ParseIdempotency(b.Effect)
	class, ok := r.config.Classes[name]
	effect.Configured, effect.IsConfigured = class.Idempotency, ok
	class.Idempotency = effect.Resumed()
	return class, effect
}

// readClassName returns the name of the class that a line requests, or "" if its text cannot be read.
func (r *Runner) readClassName(b batchstore.Batch, index batchscheduler.LineIndex, line batchstore.Line) string {
	text, err := r.store.LineText(b.InputFileID, index, line)
	if err != nil {
		return ""
	}
	request, err := parseLine(text)
	if err != nil {
		return ""
	}
	return request.Body.Model
}

// recordFailures stores the failures of lines.
func (r *Runner) recordFailures(batchID string, failures []lineFailure) error {
	for _, f := range failures {
		text := encodeFailure(batchID, f.index, f.customID, f.code, f.message)
		if err := r.lines.RecordResult(batchID, f.index, batchstore.ResultFailed, text); err != nil {
			return err
		}
	}
	return nil
}

// activate adds a batch to the scheduler. Its deadline on the monotonic clock is the end of its completion window.
func (r *Runner) activate(ctx context.Context, b batchstore.Batch, tenant int, recovered recoveredLines) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastBatchID++
	remaining := time.Until(time.Unix(b.ExpiresUnix, 0))
	a := &activeBatch{id: r.lastBatchID, record: b, class: recovered.class, runnerCtx: ctx}
	a.ctx, a.cancel = context.WithDeadline(ctx, time.Now().Add(remaining))
	err := r.scheduler.AddBatch(batchscheduler.Batch{
		ID:                  a.id,
		Tenant:              tenant,
		Idempotency:         recovered.class.Idempotency,
		DeduplicationWindow: int64(recovered.class.DeduplicationWindow),
		Deadline:            r.now() + int64(remaining),
		Lines:               recovered.lines,
	})
	if err != nil {
		a.cancel()
		return err
	}
	r.active[b.ID], r.byID[a.id] = a, a
	if b.State == batchscheduler.StateCancelling || b.State == batchscheduler.StateFinalizing {
		r.scheduler.StopBatch(a.id)
	}
	r.wakeLoop()
	return nil
}
