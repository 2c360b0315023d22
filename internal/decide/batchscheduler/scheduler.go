// Package batchscheduler decides how the lines of batches are sent: which line of which batch is sent next, whether and
// when a line is retried, how a line in flight is recovered after a restart, and which state transitions of a batch are
// valid. It does no I/O and reads no clock.
package batchscheduler

import (
	"cmp"
	"fmt"
	"slices"
	"sort"

	"docksail/internal/indexedheap"
)

// Nanos is a time or a duration in nanoseconds.
type Nanos = int64

// BatchID identifies a batch within a scheduler.
type BatchID uint64

// LineIndex is the index of a line in its batch, counted from 0.
type LineIndex int32

// Batch describes a batch to AddBatch.
type Batch struct {
	ID                  BatchID
	Tenant              int // index into the weights given to New
	Idempotency         Idempotency
	DeduplicationWindow Nanos // for Deduplicated lines, counted from the start of the first attempt that may have run
	Deadline            Nanos // end of the completion window
	Lines               []LineSpec
}

// LineSpec describes a line to AddBatch.
type LineSpec struct {
	Cost        float64 // in prompt tokens or their equivalent
	PrefixGroup uint64  // lines of a group share a prompt prefix and are sent consecutively; 0 = no group
	State       LineState
	Attempts    UncertainAttempts
}

// UncertainAttempts describes the attempts of a line that may have run.
type UncertainAttempts struct {
	Count   uint8
	FirstAt Nanos // start of the first, if Count is above 0
}

// completionHistory is the number of recent line completions from which Forecast computes the rate of a batch.
const completionHistory = 256

// lineRecord is a line with the history of its attempts.
type lineRecord struct {
	LineSpec
	index       LineIndex
	rejections  uint8 // attempts that did not run, at most maxBackoffSteps
	sentAt      Nanos // start of the latest attempt
	retryAt     Nanos
	retryIndex  int // index in batchRecord.retries
	repeatIndex int // index in batchRecord.repeats
}

// batchRecord is a batch with the state of its lines.
type batchRecord struct {
	Batch
	lines           []lineRecord
	sendOrder       []LineIndex
	nextUnsent      int                           // index in sendOrder
	retries         indexedheap.Heap[*lineRecord] // lines that wait for another attempt, by retryAt
	repeats         indexedheap.Heap[*lineRecord] // those of them with a deduplication window, by its start
	waiting         int
	inFlight        int
	remainingCost   float64 // of lines that have not ended
	stopped         bool    // expired or cancelled: no line is sent
	completionTimes [completionHistory]Nanos
	completedCount  int
}

// tenant holds a tenant's state in start-time fair queueing.
type tenant struct {
	weight        float64
	virtualFinish float64 // virtual time at which its last sent line ends
}

// Scheduler holds the batches in progress and selects their lines. It is not safe for concurrent use.
type Scheduler struct {
	initialBackoff Nanos
	maxInFlight    int
	inFlight       int
	random         func() float64
	tenants        []tenant
	virtualTime    float64
	byID           map[BatchID]*batchRecord
	batches        []*batchRecord // ordered by ID
}

// New returns a scheduler for tenants with the given weights. A line waits initialBackoff, plus jitter, before its
// first retry, and at most maxInFlight lines are in flight at a time. random returns numbers in [0, 1).
func New(weights []float64, initialBackoff Nanos, maxInFlight int, random func() float64) (*Scheduler, error) {
	if initialBackoff <= 0 || maxInFlight < 1 || len(weights) == 0 {
		return nil, fmt.Errorf("%d tenants, initial backoff %d ns, max in flight %d: each must be above 0",
			len(weights), initialBackoff, maxInFlight)
	}
	s := &Scheduler{
		initialBackoff: initialBackoff, maxInFlight: maxInFlight, random: random, byID: map[BatchID]*batchRecord{},
	}
	for i, weight := range weights {
		if !(weight > 0) {
			return nil, fmt.Errorf("tenant %d: weight is %v, must be above 0", i, weight)
		}
		s.tenants = append(s.tenants, tenant{weight: weight})
	}
	return s, nil
}

// AddBatch adds a batch; NextLine then returns its waiting lines. Lines of an earlier process must be as RecoverLine
// returns them.
func (s *Scheduler) AddBatch(b Batch) error {
	if s.byID[b.ID] != nil || b.Tenant < 0 || b.Tenant >= len(s.tenants) {
		return fmt.Errorf("batch %d: the ID is in use or tenant %d is not in 0 to %d", b.ID, b.Tenant, len(s.tenants)-1)
	}
	record, err := newBatchRecord(b)
	if err != nil {
		return err
	}
	s.byID[b.ID] = record
	position := sort.Search(len(s.batches), func(i int) bool { return s.batches[i].ID >= b.ID })
	s.batches = slices.Insert(s.batches, position, record)
	return nil
}

func newBatchRecord(b Batch) (*batchRecord, error) {
	record := &batchRecord{
		Batch: b,
		lines: make([]lineRecord, len(b.Lines)),
		retries: indexedheap.Heap[*lineRecord]{
			Index: func(l *lineRecord) *int { return &l.retryIndex },
			Less:  func(a, b *lineRecord) bool { return a.retryAt < b.retryAt },
		},
		repeats: indexedheap.Heap[*lineRecord]{
			Index: func(l *lineRecord) *int { return &l.repeatIndex },
			Less:  func(a, b *lineRecord) bool { return a.Attempts.FirstAt < b.Attempts.FirstAt },
		},
	}
	for i, line := range b.Lines {
		if line.State == LineInFlight {
			return nil, fmt.Errorf("batch %d: line %d is in flight, its state was not recovered by RecoverLine", b.ID, i)
		}
		record.lines[i].LineSpec, record.lines[i].index = line, LineIndex(i)
		if line.State != LineWaiting {
			continue
		}
		record.remainingCost += line.Cost
		if line.Attempts.Count > 0 {
			record.addRetry(&record.lines[i], 0)
			continue
		}
		record.sendOrder = append(record.sendOrder, LineIndex(i))
		record.waiting++
	}
	sortByPrefixGroup(record.sendOrder, b.Lines)
	record.Lines = nil
	return record, nil
}

// sortByPrefixGroup moves the lines of each prefix group behind the first line of the group, in their order.
func sortByPrefixGroup(order []LineIndex, lines []LineSpec) {
	firstOfGroup := map[uint64]LineIndex{}
	for _, index := range order {
		group := lines[index].PrefixGroup
		if _, ok := firstOfGroup[group]; !ok {
			firstOfGroup[group] = index
		}
	}
	sortKey := func(index LineIndex) LineIndex {
		if group := lines[index].PrefixGroup; group != 0 {
			return firstOfGroup[group]
		}
		return index
	}
	slices.SortStableFunc(order, func(a, b LineIndex) int { return cmp.Compare(sortKey(a), sortKey(b)) })
}

// RemoveBatch removes a batch, if the scheduler has it.
func (s *Scheduler) RemoveBatch(id BatchID) {
	removed := s.byID[id]
	if removed == nil {
		return
	}
	s.inFlight -= removed.inFlight
	delete(s.byID, id)
	s.batches = slices.DeleteFunc(s.batches, func(b *batchRecord) bool { return b == removed })
}

// StopBatch stops a cancelled batch: NextLine returns none of its lines any more.
func (s *Scheduler) StopBatch(id BatchID) {
	if b := s.byID[id]; b != nil {
		b.stopped = true
	}
}

// ExpireNext stops one batch whose deadline has passed and returns its ID. It returns false if there is no such batch.
func (s *Scheduler) ExpireNext(now Nanos) (BatchID, bool) {
	for _, b := range s.batches {
		if !b.stopped && now >= b.Deadline {
			b.stopped = true
			return b.ID, true
		}
	}
	return 0, false
}

// UnsentLines reports whether a batch has ended, and returns the lines of an ended batch that will not be sent. A batch
// has ended if no line is in flight and, unless the batch was stopped, no line is waiting.
func (s *Scheduler) UnsentLines(id BatchID) (unsent []LineIndex, ended bool) {
	b := s.byID[id]
	if b == nil || b.inFlight > 0 || b.waiting > 0 && !b.stopped {
		return nil, false
	}
	for i := range b.lines {
		if b.lines[i].State == LineWaiting {
			unsent = append(unsent, LineIndex(i))
		}
	}
	return unsent, true
}

// NextEventAt returns when the next retry becomes due or the next deadline of a batch or line passes, and false if
// there is neither.
func (s *Scheduler) NextEventAt(now Nanos) (Nanos, bool) {
	next, ok := Nanos(0), false
	for _, b := range s.batches {
		if b.stopped {
			continue
		}
		at := b.Deadline
		if b.retries.Len() > 0 {
			at = min(at, b.retries.Min().retryAt)
		}
		if b.repeats.Len() > 0 {
			at = min(at, b.repeatDeadline(b.repeats.Min()))
		}
		if !ok || at < next {
			next, ok = at, true
		}
	}
	return max(next, now), ok
}

// Forecast returns when a batch ends if its lines continue to complete at the recent rate, and false if too few lines
// have completed.
func (s *Scheduler) Forecast(now Nanos, id BatchID) (Nanos, bool) {
	const minCompleted = 8
	b := s.byID[id]
	if b == nil || b.completedCount < minCompleted {
		return 0, false
	}
	n := min(b.completedCount, completionHistory)
	oldest := b.completionTimes[(b.completedCount-n)%completionHistory]
	nanosPerLine := float64(max(now-oldest, 1)) / float64(n)
	return now + Nanos(nanosPerLine*float64(b.waiting+b.inFlight)), true
}
