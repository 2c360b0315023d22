// Package batchscheduler decides about files of requests that nobody waits for: which line of which batch goes out next, which is
// tried again and when, what a restart means for a line that was out, and how batches go from state to state. It does
// no I/O and reads no clock.
package batchscheduler

import (
	"cmp"
	"fmt"
	"slices"

	"docksail/internal/indexedheap"
)

// Nanos is a time or a span in nanoseconds.
type Nanos = int64

// ID names a batch, Line its place in the file, from 0.
type (
	BatchID   uint64
	LineIndex int32
)

// Effect is what a second attempt of a line does.
type Effect uint8

const (
	Idempotent    Effect = iota // nothing
	Deduplicated                // nothing, under its label and within its window
	NonIdempotent               // it would act twice
)

// BatchState of a batch, as its users see it.
type BatchState uint8

const (
	StateValidating BatchState = iota
	StateFailed                // the file cannot be taken
	StateInProgress
	StateFinalizing
	StateCompleted
	StateExpired
	StateCancelling
	StateCancelled
	batchStateCount
)

func (s BatchState) String() string {
	if s >= batchStateCount {
		return "unknown"
	}
	return [...]string{"validating", "failed", "in_progress", "finalizing", "completed", "expired", "cancelling", "cancelled"}[s]
}

// IsTerminal tells that nothing changes any more.
func (s BatchState) IsTerminal() bool {
	return s == StateFailed || s == StateCompleted || s == StateExpired || s == StateCancelled
}

// validTransitions are the states that may follow each.
var validTransitions = [batchStateCount][]BatchState{
	StateValidating: {StateFailed, StateInProgress, StateCancelling},
	StateInProgress: {StateFinalizing, StateCancelling},
	StateFinalizing: {StateCompleted, StateExpired, StateCancelled}, // by why it had to end
	StateCancelling: {StateFinalizing, StateCancelled},
}

// CheckTransition tells whether a state may follow another.
func CheckTransition(from, to BatchState) error {
	if from < batchStateCount && slices.Contains(validTransitions[from], to) {
		return nil
	}
	return fmt.Errorf("a batch that is %v cannot become %v", from, to)
}

// LineState is where a line stands, as it is kept.
type LineState uint8

const (
	LineWaiting   LineState = iota
	LineInFlight            // an attempt may be out
	LineCompleted           // its result is kept
	LineFailed              // it ended without one: the reason is kept
)

// RecoverLine says where a line stands after a restart: one that was out has no attempt out any more, as the request's client
// is gone; whether it may go again depends on its effect.
func RecoverLine(state LineState, effect Effect) (recovered LineState, mayHaveRun bool) {
	if state != LineInFlight {
		return state, false
	}
	if effect == NonIdempotent {
		return LineFailed, true
	}
	return LineWaiting, false
}

// Batch is a batch as it is added.
type Batch struct {
	ID                  BatchID
	Tenant              int
	Effect              Effect
	DeduplicationWindow Nanos // of a labelled one's attempts
	Deadline            Nanos // its completion window
	Lines               []LineSpec
}

// LineSpec is a line as it is added.
type LineSpec struct {
	Cost        float64 // in tokens read
	PrefixGroup uint64  // hash of what its prompt begins with; equal ones go out together. 0 = none
	State       LineState
}

// Outcome a line's request ended.
type Outcome uint8

const (
	OutcomeServed         Outcome = iota
	OutcomeRejected               // trying again is harmless
	OutcomeFailed                 // it may have run
	OutcomeConnectionLost         // the connection was lost; it may have run
	OutcomeInvalid                // it can never be taken
)

// Verdict is what becomes of a line whose request ended.
type Verdict uint8

const (
	VerdictCompleted Verdict = iota
	VerdictRetry             // later, by Next
	VerdictFailed            // for good
)

// Reasons for which a line is lost.
const (
	ReasonMayHaveRun           = "may have run: it is not sent again"
	ReasonTooManyAttempts      = "gave up after so many tries"
	ReasonInvalidRequest       = "the request cannot be taken"
	ReasonWindowExpired        = "the completion window is over"
	ReasonCancelled            = "the batch was cancelled"
	ReasonDeduplicationExpired = "may have run, and the window of its label is over"
)

const (
	// maxUncertainAttempts that may have run, of one line. Nacks are not counted: they last as long as the window does.
	maxUncertainAttempts = 4
	// waits grow by this with each try, to longest of the first: the fleet is asked again about once in that.
	backoffFactor, maxBackoffMultiple = 2.0, 64
	// jitterFraction of a wait, so that lines which were refused together do not come together.
	jitterFraction = 0.25
	// completionHistory is how many of the last results the pace of a forecast is taken from.
	completionHistory = 256
)

type lineRecord struct {
	LineSpec
	index                         LineIndex
	uncertainAttempts, rejections uint8
	firstUncertainAt              Nanos // first time that it may have run
	retryAt                       Nanos
	heapPlace                     int // place among those that wait for their time
}

type batchRecord struct {
	Batch
	lines           []lineRecord
	sendOrder       []LineIndex // as they go out
	nextUnsent      int         // of order: what lies before has been out
	retries         indexedheap.Heap[*lineRecord]
	waiting         int
	inFlight        int
	remainingCost   float64 // cost of what is not over
	stopped         bool    // no more goes out: over its window, or cancelled
	completionTimes [completionHistory]Nanos
	completedCount  int
}

type tenant struct {
	weight, virtualStart float64
	index                int
}

// Scheduler is the account of all batches under way. Make it with New.
type Scheduler struct {
	initialBackoff Nanos // wait after a first try
	maxInFlight    int   // lines out at once
	inFlight       int
	random         func() float64 // in [0, 1)
	tenants        []tenant
	virtualTime    float64
	byID           map[BatchID]*batchRecord
	batches        []*batchRecord // by ID
}

// New makes a scheduler for tenants with weights; first is how long a line waits after its first try, most how many are
// out at once, chance gives numbers in [0, 1), by a seed.
func New(weights []float64, initialBackoff Nanos, maxInFlight int, random func() float64) (*Scheduler, error) {
	if initialBackoff <= 0 || maxInFlight < 1 || len(weights) == 0 {
		return nil, fmt.Errorf("%d tenants, a first wait of %d, %d lines out: want all above 0", len(weights), initialBackoff, maxInFlight)
	}
	s := &Scheduler{initialBackoff: initialBackoff, maxInFlight: maxInFlight, random: random, byID: map[BatchID]*batchRecord{}}
	for i, w := range weights {
		if !(w > 0) {
			return nil, fmt.Errorf("tenant %d: weight %v, want more than 0", i, w)
		}
		s.tenants = append(s.tenants, tenant{weight: w, index: i})
	}
	return s, nil
}

// AddBatch takes a batch; of its lines those that wait go out.
func (s *Scheduler) AddBatch(b Batch) error {
	if s.byID[b.ID] != nil || b.Tenant < 0 || b.Tenant >= len(s.tenants) {
		return fmt.Errorf("batch %d of tenant %d: want a new one, of tenants 0 to %d", b.ID, b.Tenant, len(s.tenants)-1)
	}
	k := &batchRecord{Batch: b, lines: make([]lineRecord, len(b.Lines)), retries: indexedheap.Heap[*lineRecord]{
		Index: func(l *lineRecord) *int { return &l.heapPlace },
		Less:  func(a, b *lineRecord) bool { return a.retryAt < b.retryAt },
	}}
	// Lines that begin alike go out one after another, in the order of the first of each kind.
	first := map[uint64]int{}
	for i, e := range b.Lines {
		if e.State == LineInFlight {
			return fmt.Errorf("batch %d, line %d is out: Recover says what becomes of it", b.ID, i)
		}
		k.lines[i].LineSpec, k.lines[i].index = e, LineIndex(i)
		if e.State != LineWaiting {
			continue
		}
		if _, ok := first[e.PrefixGroup]; !ok || e.PrefixGroup == 0 {
			first[e.PrefixGroup] = i
		}
		k.sendOrder = append(k.sendOrder, LineIndex(i))
		k.waiting++
		k.remainingCost += e.Cost
	}
	at := func(l LineIndex) int {
		if g := b.Lines[l].PrefixGroup; g != 0 {
			return first[g]
		}
		return int(l)
	}
	slices.SortStableFunc(k.sendOrder, func(x, y LineIndex) int { return cmp.Compare(at(x), at(y)) })
	k.Batch.Lines = nil
	s.byID[b.ID] = k
	i, _ := slices.BinarySearchFunc(s.batches, b.ID, func(k *batchRecord, id BatchID) int { return cmp.Compare(k.ID, id) })
	s.batches = slices.Insert(s.batches, i, k)
	return nil
}

// RemoveBatch forgets a batch.
func (s *Scheduler) RemoveBatch(id BatchID) {
	k := s.byID[id]
	if k == nil {
		return
	}
	s.inFlight -= k.inFlight
	delete(s.byID, id)
	s.batches = slices.DeleteFunc(s.batches, func(o *batchRecord) bool { return o == k })
}

// Out counts the lines that are out.
func (s *Scheduler) Out() int { return s.inFlight }

// Left counts a batch's lines that wait and that are out; false if there is no such batch.
func (s *Scheduler) Left(id BatchID) (waiting, out int, ok bool) {
	k := s.byID[id]
	if k == nil {
		return 0, 0, false
	}
	return k.waiting, k.inFlight, true
}

// ready tells whether a line of a batch may go out now.
func (b *batchRecord) ready(now Nanos) bool {
	return !b.stopped && now < b.Deadline && (b.nextUnsent < len(b.sendOrder) || b.retries.Len() > 0 && b.retries.Min().retryAt <= now)
}

// requiredRate is the cost a nanosecond at which a batch meets its window.
func (b *batchRecord) requiredRate(now Nanos) float64 {
	return b.remainingCost / float64(max(b.Deadline-now, 1))
}

// NextLine gives the next line to send, and takes it as out: of the tenant that has had least for its weight, of its batch
// that has most to do in what remains of its window.
func (s *Scheduler) NextLine(now Nanos) (BatchID, LineIndex, bool) {
	if s.inFlight >= s.maxInFlight {
		return 0, 0, false
	}
	var best *batchRecord
	for _, k := range s.batches {
		if !k.ready(now) {
			continue
		}
		if best == nil || k.Tenant == best.Tenant && k.requiredRate(now) > best.requiredRate(now) ||
			k.Tenant != best.Tenant && s.tenantBefore(k.Tenant, best.Tenant) {
			best = k
		}
	}
	if best == nil {
		return 0, 0, false
	}
	var n LineIndex
	if best.retries.Len() > 0 && best.retries.Min().retryAt <= now {
		l := best.retries.Min()
		best.retries.Remove(l)
		n = l.index
	} else {
		n = best.sendOrder[best.nextUnsent]
		best.nextUnsent++
	}
	l := &best.lines[n]
	l.State = LineInFlight
	best.waiting--
	best.inFlight++
	s.inFlight++
	t := &s.tenants[best.Tenant]
	t.virtualStart = max(t.virtualStart, s.virtualTime)
	s.virtualTime = t.virtualStart
	t.virtualStart += l.Cost / t.weight
	return best.ID, n, true
}

func (s *Scheduler) tenantBefore(a, b int) bool {
	x, y := max(s.tenants[a].virtualStart, s.virtualTime), max(s.tenants[b].virtualStart, s.virtualTime)
	return x < y || x == y && a < b
}

// NextEventAt is when a line comes whose time has not come yet, or a batch's window ends; false if there is none.
func (s *Scheduler) NextEventAt(now Nanos) (Nanos, bool) {
	at, some := Nanos(0), false
	for _, k := range s.batches {
		if k.stopped {
			continue
		}
		t := k.Deadline
		if k.retries.Len() > 0 {
			t = min(t, k.retries.Min().retryAt)
		}
		if !some || t < at {
			at, some = t, true
		}
	}
	return max(at, now), some
}

// ReportOutcome tells how the request of a line ended, with the time that a nack asks to stay away. The reason goes with VerdictFailed.
func (s *Scheduler) ReportOutcome(now Nanos, id BatchID, n LineIndex, how Outcome, after Nanos) (Verdict, string) {
	k := s.byID[id]
	if k == nil || int(n) >= len(k.lines) || k.lines[n].State != LineInFlight {
		return VerdictFailed, "no such line is out"
	}
	l := &k.lines[n]
	k.inFlight--
	s.inFlight--
	lost := func(why string) (Verdict, string) {
		l.State = LineFailed
		k.remainingCost -= l.Cost
		return VerdictFailed, why
	}
	if l.firstUncertainAt == 0 && (how == OutcomeFailed || how == OutcomeConnectionLost) {
		l.firstUncertainAt = now
	}
	switch {
	case how == OutcomeServed:
		l.State = LineCompleted
		k.remainingCost -= l.Cost
		k.completionTimes[k.completedCount%completionHistory] = now
		k.completedCount++
		return VerdictCompleted, ""
	case how == OutcomeInvalid:
		return lost(ReasonInvalidRequest)
	case how != OutcomeRejected && k.Effect == NonIdempotent:
		return lost(ReasonMayHaveRun)
	case how != OutcomeRejected && k.Effect == Deduplicated && now > l.firstUncertainAt+k.DeduplicationWindow:
		return lost(ReasonDeduplicationExpired)
	case k.stopped || now >= k.Deadline:
		return lost(ReasonWindowExpired)
	}
	if how == OutcomeRejected {
		l.rejections = min(l.rejections+1, 255)
	} else if l.uncertainAttempts++; l.uncertainAttempts >= maxUncertainAttempts {
		return lost(ReasonTooManyAttempts)
	}
	wait := float64(s.initialBackoff)
	for range min(int(l.uncertainAttempts)+int(l.rejections)-1, 32) {
		wait = min(wait*backoffFactor, maxBackoffMultiple*float64(s.initialBackoff))
	}
	wait = max(wait, float64(after)) * (1 + jitterFraction*s.random())
	l.State, l.retryAt = LineWaiting, now+Nanos(wait)
	k.waiting++
	k.retries.PushOrFix(l)
	return VerdictRetry, ""
}

// StopBatch has nothing more of a batch go out: it is cancelled.
func (s *Scheduler) StopBatch(id BatchID) {
	if k := s.byID[id]; k != nil {
		k.stopped = true
	}
}

// ExpireNext gives a batch whose window is over and has not been stopped yet; it is then.
func (s *Scheduler) ExpireNext(now Nanos) (BatchID, bool) {
	for _, k := range s.batches {
		if !k.stopped && now >= k.Deadline {
			k.stopped = true
			return k.ID, true
		}
	}
	return 0, false
}

// UnsentLines gives the lines of a stopped batch that never will go out, once none is out any more.
func (s *Scheduler) UnsentLines(id BatchID) ([]LineIndex, bool) {
	k := s.byID[id]
	if k == nil || k.inFlight > 0 || k.waiting > 0 && !k.stopped {
		return nil, false
	}
	var rest []LineIndex
	for i := range k.lines {
		if k.lines[i].State == LineWaiting {
			rest = append(rest, LineIndex(i))
		}
	}
	return rest, true
}

// Forecast is when a batch will be through at the pace of its last results; false while too few are known.
func (s *Scheduler) Forecast(now Nanos, id BatchID) (Nanos, bool) {
	k := s.byID[id]
	const few = 8
	if k == nil || k.completedCount < few {
		return 0, false
	}
	n := min(k.completedCount, completionHistory)
	from := k.completionTimes[(k.completedCount-n)%completionHistory]
	each := float64(max(now-from, 1)) / float64(n)
	return now + Nanos(each*float64(k.waiting+k.inFlight)), true
}
