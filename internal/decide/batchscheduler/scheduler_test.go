package batchscheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const second = Nanos(1e9)

func newScheduler(t *testing.T, maxInFlight int, weights ...float64) *Scheduler {
	t.Helper()
	s, err := New(weights, second/10, maxInFlight, rand.New(rand.NewPCG(1, 2)).Float64)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func addBatch(t *testing.T, s *Scheduler, b Batch) {
	t.Helper()
	if err := s.AddBatch(b); err != nil {
		t.Fatal(err)
	}
}

// waitingLines returns n waiting lines of the same cost.
func waitingLines(n int) []LineSpec {
	lines := make([]LineSpec, n)
	for i := range lines {
		lines[i].Cost = 100
	}
	return lines
}

// TestEveryLineEndsOnce checks under random outcomes and restarts that each line ends once, that a non-idempotent line
// that may have run is not sent again, and a deduplicated one within its window only.
func TestEveryLineEndsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		idempotency := Idempotency(rapid.IntRange(0, 2).Draw(rt, "idempotency"))
		n := rapid.IntRange(1, 40).Draw(rt, "lines")
		b := Batch{
			ID: 7, Idempotency: idempotency, DeduplicationWindow: 5 * second,
			Deadline: rapid.Int64Range(second, 1000*second).Draw(rt, "deadline"), Lines: waitingLines(n),
		}
		s := newScheduler(t, 8, 1)
		if err := s.AddBatch(b); err != nil {
			rt.Fatal(err)
		}
		stored := make([]StoredLine, n) // stands in for the store
		mayHaveRun := make([]bool, n)
		sentAt := make([]Nanos, n)
		firstRunAt := make([]Nanos, n) // start of the first attempt that may have run
		ended := make([]int, n)
		var inFlight []LineIndex
		now := Nanos(1)
		finish := func(l LineIndex, state LineState) {
			stored[l].State = state
			ended[l]++
		}
		countRun := func(l LineIndex) {
			if !mayHaveRun[l] {
				mayHaveRun[l], firstRunAt[l] = true, sentAt[l]
			}
		}
		for range 4000 {
			now += rapid.Int64Range(0, second/2).Draw(rt, "elapsed")
			s.ExpireNext(now)
			for _, l, ok := s.ExpireNextLine(now); ok; _, l, ok = s.ExpireNextLine(now) {
				finish(l, LineFailed)
			}
			switch action := rapid.IntRange(0, 19).Draw(rt, "action"); {
			case action < 10:
				if _, l, ok := s.NextLine(now); ok {
					if idempotency == NonIdempotent && mayHaveRun[l] {
						rt.Fatalf("line %d is sent again although it may have run", l)
					}
					if idempotency == Deduplicated && mayHaveRun[l] && now >= firstRunAt[l]+b.DeduplicationWindow {
						rt.Fatalf("line %d is sent again %d ms after it may have run", l, (now-firstRunAt[l])/1e6)
					}
					sentAt[l] = now
					stored[l] = StoredLine{State: LineInFlight, Attempts: s.StartAttempt(now, 7, l)}
					inFlight = append(inFlight, l)
				}
			case action < 19:
				if len(inFlight) == 0 {
					continue
				}
				l := inFlight[0]
				inFlight = inFlight[1:]
				outcome := Outcome(rapid.IntRange(0, int(OutcomeNotSent)).Draw(rt, "outcome"))
				if outcome.MayHaveRun() {
					countRun(l)
				} else {
					stored[l] = StoredLine{State: LineWaiting, Attempts: s.byID[7].lines[l].Attempts}
				}
				switch verdict, reason := s.ReportOutcome(now, 7, l, outcome, 0); {
				case verdict == VerdictCompleted:
					finish(l, LineCompleted)
				case verdict == VerdictFailed && reason != "":
					finish(l, LineFailed)
				case verdict == VerdictRetry:
				default:
					rt.Fatalf("verdict %d without a reason", verdict)
				}
			default: // a restart
				restarted := newScheduler(t, 8, 1)
				lines := waitingLines(n)
				for _, l := range inFlight {
					countRun(l)
				}
				for i := range stored {
					state, attempts, failure := RecoverLine(now, stored[i], idempotency, b.DeduplicationWindow)
					if failure != "" {
						ended[i]++
					}
					stored[i] = StoredLine{State: state, Attempts: attempts}
					lines[i].State, lines[i].Attempts = state, attempts
				}
				b.Lines, inFlight, s = lines, nil, restarted
				if err := s.AddBatch(b); err != nil {
					rt.Fatal(err)
				}
			}
			if s.InFlight() != len(inFlight) || s.InFlight() > 8 {
				rt.Fatalf("%d lines in flight, want %d", s.InFlight(), len(inFlight))
			}
			if unsent, batchEnded := s.UnsentLines(7); batchEnded && len(inFlight) == 0 {
				for _, l := range unsent {
					finish(l, LineFailed)
				}
				break
			}
		}
		if _, batchEnded := s.UnsentLines(7); !batchEnded {
			return // the batch has not ended within the steps above
		}
		for i, n := range ended {
			if n != 1 {
				rt.Fatalf("line %d ended %d times", i, n)
			}
		}
	})
}

// TestFairness checks that tenants are served in proportion to their weights, however many batches they have, and that
// the batch with the higher required rate is served faster than the tenant's others.
func TestFairness(t *testing.T) {
	s := newScheduler(t, 1, 1, 3)
	for i, b := range []Batch{
		{ID: 1, Tenant: 0, Deadline: 1000 * second, Lines: waitingLines(5000)},
		{ID: 2, Tenant: 1, Deadline: 1000 * second, Lines: waitingLines(5000)},
		{ID: 3, Tenant: 0, Deadline: 100 * second, Lines: waitingLines(5000)},
		{ID: 4, Tenant: 0, Deadline: 1000 * second, Lines: waitingLines(5000)},
	} {
		if err := s.AddBatch(b); err != nil {
			t.Fatal(i, err)
		}
	}
	sent := map[BatchID]int{}
	for i := range 2000 {
		id, l, ok := s.NextLine(Nanos(i + 1))
		if !ok {
			t.Fatal("no line is sent")
		}
		sent[id]++
		s.ReportOutcome(Nanos(i+1), id, l, OutcomeServed, 0)
	}
	if got := float64(sent[2]) / 2000; math.Abs(got-0.75) > 0.01 {
		t.Errorf("the tenant with weight 3 of 4 has a share of %.3f, want 0.75", got)
	}
	if sent[3] < 400 {
		t.Errorf("lines sent by batch: %v, want at least 400 of batch 3, which has a tenth of the others' time", sent)
	}
}

// TestPrefixGroupsTogether checks that the lines of a prefix group are sent consecutively.
func TestPrefixGroupsTogether(t *testing.T) {
	s := newScheduler(t, 100, 1)
	lines := waitingLines(12)
	for i := range lines {
		lines[i].PrefixGroup = uint64(i % 3) // 0 = no group
	}
	addBatch(t, s, Batch{ID: 1, Deadline: second, Lines: lines})
	var got []LineIndex
	for {
		_, l, ok := s.NextLine(1)
		if !ok {
			break
		}
		got = append(got, l)
	}
	if want := "[0 1 4 7 10 2 5 8 11 3 6 9]"; fmt.Sprint(got) != want {
		t.Errorf("lines sent in the order %v, want %v", got, want)
	}
}

// rejectLine sends the only line of a scheduler's only batch, rejects it and returns its backoff.
func rejectLine(t *testing.T, s *Scheduler, now, retryAfter Nanos) (backoff Nanos) {
	t.Helper()
	id, l, ok := s.NextLine(now)
	if !ok {
		t.Fatal("no line is sent")
	}
	if verdict, _ := s.ReportOutcome(now, id, l, OutcomeRejected, retryAfter); verdict != VerdictRetry {
		t.Fatal(verdict)
	}
	retryAt, _ := s.NextEventAt(now)
	if _, _, ok := s.NextLine(retryAt - 1); ok {
		t.Error("the line is retried before its backoff has ended")
	}
	return retryAt - now
}

// TestBackoff checks that the backoff of a rejected line doubles up to its bound, with jitter, and is at least the
// requested wait, and that a line fails after maxUncertainAttempts attempts that may have run.
func TestBackoff(t *testing.T) {
	s := newScheduler(t, 1, 1)
	addBatch(t, s, Batch{ID: 1, Idempotency: Idempotent, Deadline: 1000 * second, Lines: waitingLines(1)})
	now := Nanos(1)
	for i := range 8 {
		least := second / 10 << min(i, 6)
		retryAfter := Nanos(0)
		if i == 5 {
			retryAfter = 30 * second
		}
		least = max(least, retryAfter)
		backoff := rejectLine(t, s, now, retryAfter)
		if backoff < least || backoff > least+least/4 {
			t.Errorf("attempt %d is retried after %d ms, want %d to a quarter more", i, backoff/1e6, least/1e6)
		}
		now += backoff
	}
	for i := range maxUncertainAttempts {
		_, l, ok := s.NextLine(now)
		if !ok {
			t.Fatal("no line is sent")
		}
		verdict, reason := s.ReportOutcome(now, 1, l, OutcomeFailed, 0)
		isLast := i == maxUncertainAttempts-1
		if (verdict == VerdictFailed) != isLast || verdict == VerdictFailed && reason != ReasonTooManyAttempts {
			t.Fatalf("after %d attempts that may have run: verdict %v, reason %q", i+1, verdict, reason)
		}
		now += 100 * second
	}
}

// TestBackoffStaysAtBound guards against a count of rejections that wraps around, which starts the backoff anew.
func TestBackoffStaysAtBound(t *testing.T) {
	s := newScheduler(t, 1, 1)
	addBatch(t, s, Batch{ID: 1, Deadline: 1e6 * second, Lines: waitingLines(1)})
	now := Nanos(1)
	for i := range 600 {
		backoff := rejectLine(t, s, now, 0)
		if longest := maxBackoffMultiple * second / 10; i > 20 && backoff < longest {
			t.Errorf("attempt %d is retried after %d ms, want %d", i, backoff/1e6, longest/1e6)
		}
		now += backoff
	}
}

// TestDeadline checks that a batch whose deadline passes sends no further line, waits for its lines in flight and
// returns the others as unsent.
func TestDeadline(t *testing.T) {
	s := newScheduler(t, 4, 1)
	addBatch(t, s, Batch{ID: 1, Deadline: 10 * second, Lines: waitingLines(10)})
	now := Nanos(1)
	for range 20 {
		id, l, ok := s.NextLine(now)
		if !ok {
			break
		}
		if l < 4 {
			s.ReportOutcome(now, id, l, OutcomeServed, 0)
		}
	}
	if _, ok := s.Forecast(now, 1); ok {
		t.Error("a forecast after four completed lines, want none")
	}
	if id, ok := s.ExpireNext(10 * second); !ok || id != 1 {
		t.Fatal("the batch does not expire")
	}
	if _, ok := s.ExpireNext(11 * second); ok {
		t.Error("the batch expires twice")
	}
	if _, _, ok := s.NextLine(10 * second); ok {
		t.Error("a line is sent after the deadline")
	}
	if _, batchEnded := s.UnsentLines(1); batchEnded {
		t.Error("the batch has ended while lines are in flight")
	}
	s.ReportOutcome(10*second, 1, 4, OutcomeServed, 0)
	for l := LineIndex(5); l < 8; l++ {
		verdict, reason := s.ReportOutcome(10*second, 1, l, OutcomeRejected, 0)
		if verdict != VerdictFailed || reason != ReasonWindowExpired {
			t.Errorf("verdict %v, reason %q", verdict, reason)
		}
	}
	if unsent, batchEnded := s.UnsentLines(1); !batchEnded || fmt.Sprint(unsent) != "[8 9]" {
		t.Errorf("unsent lines %v, ended %v, want [8 9] and true", unsent, batchEnded)
	}
}

// TestForecast checks the forecast of a batch whose lines complete at a constant rate.
func TestForecast(t *testing.T) {
	s := newScheduler(t, 1, 1)
	addBatch(t, s, Batch{ID: 1, Deadline: 1000 * second, Lines: waitingLines(300)})
	now := Nanos(0)
	for range 100 {
		_, l, _ := s.NextLine(now)
		now += second / 2
		s.ReportOutcome(now, 1, l, OutcomeServed, 0)
	}
	if at, ok := s.Forecast(now, 1); !ok || math.Abs(float64(at-now)/float64(100*second)-1) > 0.05 {
		t.Errorf("forecast in %d s, want 100", (at-now)/second)
	}
}

// TestCheckTransition checks the number of valid transitions and that terminal states have none.
func TestCheckTransition(t *testing.T) {
	ok := 0
	for a := range batchStateCount {
		for b := range batchStateCount {
			if CheckTransition(a, b) == nil {
				ok++
				if a.IsTerminal() {
					t.Errorf("%v becomes %v", a, b)
				}
			}
		}
	}
	if ok != 10 || CheckTransition(StateInProgress, StateFinalizing) != nil ||
		CheckTransition(StateInProgress, StateCompleted) == nil {
		t.Errorf("%d valid transitions, want 10", ok)
	}
}
