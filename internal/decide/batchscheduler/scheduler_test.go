package batchscheduler

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const sec = Nanos(1e9)

func newScheduler(t *testing.T, maxInFlight int, weights ...float64) *Scheduler {
	t.Helper()
	s, err := New(weights, sec/10, maxInFlight, rand.New(rand.NewPCG(1, 2)).Float64)
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
	es := make([]LineSpec, n)
	for i := range es {
		es[i].Cost = 100
	}
	return es
}

// TestEveryLineEndsOnce checks under random outcomes and restarts that each line ends once, and that a non-idempotent
// line that may have run is not sent again.
func TestEveryLineEndsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		effect := Effect(rapid.IntRange(0, 2).Draw(rt, "effect"))
		n := rapid.IntRange(1, 40).Draw(rt, "lines")
		b := Batch{
			ID: 7, Effect: effect, DeduplicationWindow: 5 * sec,
			Deadline: rapid.Int64Range(sec, 1000*sec).Draw(rt, "ends"), Lines: waitingLines(n),
		}
		s := newScheduler(t, 8, 1)
		if err := s.AddBatch(b); err != nil {
			rt.Fatal(err)
		}
		stored := make([]LineState, n) // in place of the store
		mayHaveRun := make([]bool, n)
		ended := make([]int, n)
		var inFlight []LineIndex
		now := Nanos(1)
		finish := func(l LineIndex, state LineState) {
			stored[l] = state
			ended[l]++
		}
		for range 4000 {
			now += rapid.Int64Range(0, sec/2).Draw(rt, "pass")
			s.ExpireNext(now)
			switch action := rapid.IntRange(0, 19).Draw(rt, "what"); {
			case action < 10:
				if _, l, ok := s.NextLine(now); ok {
					if effect == NonIdempotent && mayHaveRun[l] {
						rt.Fatalf("line %d is sent though it may have run", l)
					}
					stored[l] = LineInFlight
					inFlight = append(inFlight, l)
				}
			case action < 19:
				if len(inFlight) == 0 {
					continue
				}
				l := inFlight[0]
				inFlight = inFlight[1:]
				outcome := Outcome(rapid.IntRange(0, 4).Draw(rt, "how"))
				if outcome == OutcomeFailed || outcome == OutcomeConnectionLost {
					mayHaveRun[l] = true
				}
				switch verdict, reason := s.ReportOutcome(now, 7, l, outcome, 0); {
				case verdict == VerdictCompleted:
					finish(l, LineCompleted)
				case verdict == VerdictFailed && reason != "":
					finish(l, LineFailed)
				case verdict == VerdictRetry:
					stored[l] = LineWaiting
				default:
					rt.Fatalf("verdict %d without a reason", verdict)
				}
			default: // a restart
				restarted := newScheduler(t, 8, 1)
				lines := waitingLines(n)
				for i := range stored {
					state, failed := RecoverLine(stored[i], effect)
					if failed {
						ended[i]++
					}
					stored[i], lines[i].State = state, state
				}
				b.Lines, inFlight, s = lines, nil, restarted
				if err := s.AddBatch(b); err != nil {
					rt.Fatal(err)
				}
			}
			if s.InFlight() != len(inFlight) || s.InFlight() > 8 {
				rt.Fatalf("%d lines in flight, want %d", s.InFlight(), len(inFlight))
			}
			if unsent, isOver := s.UnsentLines(7); isOver && len(inFlight) == 0 {
				for _, l := range unsent {
					finish(l, LineFailed)
				}
				break
			}
		}
		if _, isOver := s.UnsentLines(7); !isOver {
			return // it was cut short by the number of steps
		}
		for i, n := range ended {
			if n != 1 {
				rt.Fatalf("line %d ended %d times", i, n)
			}
		}
	})
}

// TestFairness checks that tenants share by weight whatever the number and size of their batches, and that among a
// tenant's batches the one with the higher required rate is served faster.
func TestFairness(t *testing.T) {
	s := newScheduler(t, 1, 1, 3)
	for i, b := range []Batch{
		{ID: 1, Tenant: 0, Deadline: 1000 * sec, Lines: waitingLines(5000)},
		{ID: 2, Tenant: 1, Deadline: 1000 * sec, Lines: waitingLines(5000)},
		{ID: 3, Tenant: 0, Deadline: 100 * sec, Lines: waitingLines(5000)},
		{ID: 4, Tenant: 0, Deadline: 1000 * sec, Lines: waitingLines(5000)},
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
		t.Errorf("the tenant with three times the weight has %.3f", got)
	}
	if sent[3] < 400 {
		t.Errorf("sent %v: batch 3 has a tenth of the others' time", sent)
	}
}

// TestPrefixGroupsTogether checks that lines of a prefix group are sent one after another.
func TestPrefixGroupsTogether(t *testing.T) {
	s := newScheduler(t, 100, 1)
	lines := waitingLines(12)
	for i := range lines {
		lines[i].PrefixGroup = uint64(i % 3) // 0 is none
	}
	addBatch(t, s, Batch{ID: 1, Deadline: sec, Lines: lines})
	var got []LineIndex
	for {
		_, l, ok := s.NextLine(1)
		if !ok {
			break
		}
		got = append(got, l)
	}
	if want := "[0 1 4 7 10 2 5 8 11 3 6 9]"; fmt.Sprint(got) != want {
		t.Errorf("%v, want %v", got, want)
	}
}

// TestBackoff checks that a rejected line is retried later and later, not before the time it was asked to wait, and
// that a line fails after a few attempts that may have run.
func TestBackoff(t *testing.T) {
	s := newScheduler(t, 1, 1)
	addBatch(t, s, Batch{ID: 1, Deadline: 1000 * sec, Lines: waitingLines(1)})
	now, last := Nanos(1), Nanos(0)
	for i := range 8 {
		_, l, ok := s.NextLine(now)
		if !ok {
			t.Fatal(i)
		}
		retryAfter := Nanos(0)
		if i == 5 {
			retryAfter = 30 * sec
		}
		if verdict, _ := s.ReportOutcome(now, 1, l, OutcomeRejected, retryAfter); verdict != VerdictRetry {
			t.Fatal(verdict)
		}
		if _, _, ok := s.NextLine(now + last); ok {
			t.Errorf("attempt %d is retried without a wait", i)
		}
		at, _ := s.NextEventAt(now)
		if at < now+retryAfter || at-now < last/2 || at-now > 40*sec {
			t.Errorf("attempt %d waits %d ms", i, (at-now)/1e6)
		}
		now, last = at, 0
	}
	for i := range maxUncertainAttempts {
		_, l, ok := s.NextLine(now)
		if !ok {
			t.Fatal("no line is sent")
		}
		verdict, reason := s.ReportOutcome(now, 1, l, OutcomeFailed, 0)
		isLast := i == maxUncertainAttempts-1
		if (verdict == VerdictFailed) != isLast || verdict == VerdictFailed && reason != ReasonTooManyAttempts {
			t.Fatalf("after %d attempts that may have run: %v, %q", i+1, verdict, reason)
		}
		now += 100 * sec
	}
}

// TestDeadline checks that a batch whose deadline passes keeps what is completed, lets lines in flight end and
// returns the rest as unsent.
func TestDeadline(t *testing.T) {
	s := newScheduler(t, 4, 1)
	addBatch(t, s, Batch{ID: 1, Deadline: 10 * sec, Lines: waitingLines(10)})
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
		t.Error("a forecast from four results")
	}
	if id, ok := s.ExpireNext(10 * sec); !ok || id != 1 {
		t.Fatal("the batch does not expire")
	}
	if _, ok := s.ExpireNext(11 * sec); ok {
		t.Error("the batch expires twice")
	}
	if _, _, ok := s.NextLine(10 * sec); ok {
		t.Error("a line is sent after the deadline")
	}
	if _, isOver := s.UnsentLines(1); isOver {
		t.Error("the batch has ended while lines are in flight")
	}
	s.ReportOutcome(10*sec, 1, 4, OutcomeServed, 0)
	for l := LineIndex(5); l < 8; l++ {
		verdict, reason := s.ReportOutcome(10*sec, 1, l, OutcomeRejected, 0)
		if verdict != VerdictFailed || reason != ReasonWindowExpired {
			t.Errorf("%v %q", verdict, reason)
		}
	}
	if unsent, isOver := s.UnsentLines(1); !isOver || fmt.Sprint(unsent) != "[8 9]" {
		t.Errorf("%v, %v", unsent, isOver)
	}
}

// TestForecast checks that at a steady pace the forecast is the time that the remaining lines take.
func TestForecast(t *testing.T) {
	s := newScheduler(t, 1, 1)
	addBatch(t, s, Batch{ID: 1, Deadline: 1000 * sec, Lines: waitingLines(300)})
	now := Nanos(0)
	for range 100 {
		_, l, _ := s.NextLine(now)
		now += sec / 2
		s.ReportOutcome(now, 1, l, OutcomeServed, 0)
	}
	if at, ok := s.Forecast(now, 1); !ok || math.Abs(float64(at-now)/float64(100*sec)-1) > 0.05 {
		t.Errorf("forecast in %d s, want 100", (at-now)/sec)
	}
}

// TestCheckTransition checks the number of valid transitions and that no state follows a terminal one.
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
