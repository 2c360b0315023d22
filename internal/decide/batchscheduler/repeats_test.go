package batchscheduler

import "testing"

const testWindow = 2 * second

// newRepeatScheduler returns a scheduler with a deduplicated batch of two lines, of which one is in flight at a time.
func newRepeatScheduler(t *testing.T) *Scheduler {
	t.Helper()
	s := newScheduler(t, 1, 1)
	addBatch(t, s, Batch{
		ID: 1, Idempotency: Deduplicated, DeduplicationWindow: testWindow, Deadline: 1000 * second, Lines: waitingLines(2),
	})
	return s
}

// sendNext returns the line that is sent at a time.
func sendNext(t *testing.T, s *Scheduler, now Nanos) LineIndex {
	t.Helper()
	_, l, ok := s.NextLine(now)
	if !ok {
		t.Fatal("no line is sent")
	}
	return l
}

func checkVerdict(t *testing.T, verdict Verdict, reason FailureReason, want Verdict, wantReason FailureReason) {
	t.Helper()
	if verdict != want || reason != wantReason {
		t.Errorf("verdict %v (%q), want %v (%q)", verdict, reason, want, wantReason)
	}
}

// TestRejectionOutlastsWindow guards against a repeat after the deduplication window because a rejection asked for a
// long wait.
func TestRejectionOutlastsWindow(t *testing.T) {
	s := newRepeatScheduler(t)
	l := sendNext(t, s, 0)
	verdict, reason := s.ReportOutcome(0, 1, l, OutcomeConnectionLost, 0)
	checkVerdict(t, verdict, reason, VerdictRetry, "")
	retryAt, _ := s.NextEventAt(0)
	if got := sendNext(t, s, retryAt); got != l {
		t.Fatalf("line %d is sent, want %d", got, l)
	}
	if deadline, ok := s.RepeatDeadline(1, l); !ok || deadline > testWindow || deadline < testWindow/2 {
		t.Errorf("the repeat must begin before %d ms, want the window of 2 s less a margin", deadline/1e6)
	}
	verdict, reason = s.ReportOutcome(retryAt, 1, l, OutcomeRejected, 30*second)
	checkVerdict(t, verdict, reason, VerdictFailed, ReasonDeduplicationExpired)
}

// TestWaitOutlastsWindow guards against a repeat after the deduplication window because no slot was free before.
func TestWaitOutlastsWindow(t *testing.T) {
	s := newRepeatScheduler(t)
	l := sendNext(t, s, 0)
	verdict, reason := s.ReportOutcome(0, 1, l, OutcomeConnectionLost, 0)
	checkVerdict(t, verdict, reason, VerdictRetry, "")
	other := sendNext(t, s, 0)
	if at, ok := s.NextEventAt(second); !ok || at > testWindow {
		t.Errorf("the next event is at %d ms, want it in the window", at/1e6)
	}
	if _, _, ok := s.ExpireNextLine(second); ok {
		t.Error("a line expires within its window")
	}
	s.ReportOutcome(testWindow, 1, other, OutcomeServed, 0)
	if _, got, ok := s.NextLine(testWindow); ok {
		t.Errorf("line %d is sent after its window", got)
	}
	if _, got, ok := s.ExpireNextLine(testWindow); !ok || got != l {
		t.Errorf("line %d expires (%v), want %d", got, ok, l)
	}
	if unsent, ended := s.UnsentLines(1); !ended || len(unsent) > 0 {
		t.Errorf("unsent lines %v, ended %v; want none and true", unsent, ended)
	}
}

// TestWindowCountsFromStart guards against a window that counts from the end of the first attempt that may have run,
// whose effect may be as old as its start.
func TestWindowCountsFromStart(t *testing.T) {
	s := newRepeatScheduler(t)
	l := sendNext(t, s, 0)
	verdict, reason := s.ReportOutcome(testWindow-second/10, 1, l, OutcomeConnectionLost, 0)
	checkVerdict(t, verdict, reason, VerdictFailed, ReasonDeduplicationExpired)
}

// TestZeroValuesPermitLeast guards against a zero value that counts as an answer, or as an effect that may be repeated.
func TestZeroValuesPermitLeast(t *testing.T) {
	var outcome Outcome
	var idempotency Idempotency
	s := newScheduler(t, 1, 1)
	addBatch(t, s, Batch{ID: 1, Idempotency: idempotency, Deadline: 1000 * second, Lines: waitingLines(1)})
	verdict, reason := s.ReportOutcome(0, 1, sendNext(t, s, 0), outcome, 0)
	checkVerdict(t, verdict, reason, VerdictFailed, ReasonMayHaveRun)
}

// TestEndOfLineThatMayHaveRun guards against a line whose repetition may do harm and which may have run being reported
// as one that did not run, because a later attempt or its batch ended otherwise.
func TestEndOfLineThatMayHaveRun(t *testing.T) {
	for _, c := range []struct {
		name    string
		outcome Outcome
		stop    bool
	}{{"invalid", OutcomeInvalid, false}, {"batch stopped", OutcomeRejected, true}} {
		t.Run(c.name, func(t *testing.T) {
			s := newRepeatScheduler(t)
			l := sendNext(t, s, 0)
			s.ReportOutcome(0, 1, l, OutcomeConnectionLost, 0)
			retryAt, _ := s.NextEventAt(0)
			sendNext(t, s, retryAt)
			if c.stop {
				s.StopBatch(1)
			}
			verdict, reason := s.ReportOutcome(retryAt, 1, l, c.outcome, 0)
			checkVerdict(t, verdict, reason, VerdictFailed, ReasonMayHaveRun)
		})
	}
	t.Run("waiting in a stopped batch", func(t *testing.T) {
		s := newRepeatScheduler(t)
		l := sendNext(t, s, 0)
		s.ReportOutcome(0, 1, l, OutcomeConnectionLost, 0)
		s.StopBatch(1)
		if unsent, ended := s.UnsentLines(1); !ended || len(unsent) != 2 || !s.MayHaveRun(1, l) || s.MayHaveRun(1, 1-l) {
			t.Errorf("unsent lines %v, ended %v; want both, and only line %d as one that may have run", unsent, ended, l)
		}
	})
}
