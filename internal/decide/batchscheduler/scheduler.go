// Package batchscheduler decides how the lines of batches are sent: which line of which batch is sent next, which is
// retried and when, what a restart means for a line in flight, and which state of a batch may follow another. It does
// no I/O and reads no clock.
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

// BatchID names a batch of a scheduler.
type BatchID uint64

// LineIndex is a line's position in its batch, from 0.
type LineIndex int32

// Batch is a batch as AddBatch takes it.
type Batch struct {
	ID                  BatchID
	Tenant              int // index of the weights given to New
	Effect              Effect
	DeduplicationWindow Nanos // of Deduplicated lines, from the first attempt that may have run
	Deadline            Nanos // end of the completion window
	Lines               []LineSpec
}

// LineSpec is a line as AddBatch takes it.
type LineSpec struct {
	Cost        float64 // in tokens read
	PrefixGroup uint64  // lines of a group share the beginning of their prompts and are sent together; 0 = no group
	State       LineState
}

// completionHistory is the number of completed lines from whose times Forecast takes the pace of a batch.
const completionHistory = 256

type lineRecord struct {
	LineSpec
	index             LineIndex
	uncertainAttempts uint8 // attempts that may have run
	rejections        uint8 // wraps around, which begins the backoff anew
	firstUncertainAt  Nanos // end of the first attempt that may have run; 0 = none
	retryAt           Nanos
	heapPlace         int // in batchRecord.retries
}

type batchRecord struct {
	Batch
	lines           []lineRecord
	sendOrder       []LineIndex
	nextUnsent      int // in sendOrder
	retries         indexedheap.Heap[*lineRecord]
	waiting         int
	inFlight        int
	remainingCost   float64 // of lines that have not ended
	stopped         bool    // expired or cancelled: no line is sent
	completionTimes [completionHistory]Nanos
	completedCount  int
}

// tenant accounts a tenant's share by start-time fair queueing.
type tenant struct {
	weight       float64
	virtualStart float64
}

// Scheduler holds the batches that are under way. It is not safe for concurrent use.
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

// New returns a scheduler for tenants with these weights. A line waits initialBackoff after its first attempt, and at
// most maxInFlight lines are in flight at a time. random returns numbers in [0, 1).
func New(weights []float64, initialBackoff Nanos, maxInFlight int, random func() float64) (*Scheduler, error) {
	if initialBackoff <= 0 || maxInFlight < 1 || len(weights) == 0 {
		return nil, fmt.Errorf("%d tenants, an initial backoff of %d, at most %d lines in flight: want all above 0",
			len(weights), initialBackoff, maxInFlight)
	}
	s := &Scheduler{
		initialBackoff: initialBackoff, maxInFlight: maxInFlight, random: random, byID: map[BatchID]*batchRecord{},
	}
	for i, weight := range weights {
		if !(weight > 0) {
			return nil, fmt.Errorf("tenant %d: weight %v, want more than 0", i, weight)
		}
		s.tenants = append(s.tenants, tenant{weight: weight})
	}
	return s, nil
}

// AddBatch adds a batch, whose waiting lines are sent from now on. No line may be in flight: see RecoverLine.
func (s *Scheduler) AddBatch(b Batch) error {
	if s.byID[b.ID] != nil || b.Tenant < 0 || b.Tenant >= len(s.tenants) {
		return fmt.Errorf("batch %d of tenant %d: want a new one, of tenants 0 to %d", b.ID, b.Tenant, len(s.tenants)-1)
	}
	record, err := newBatchRecord(b)
	if err != nil {
		return err
	}
	s.byID[b.ID] = record
	place := sort.Search(len(s.batches), func(i int) bool { return s.batches[i].ID >= b.ID })
	s.batches = slices.Insert(s.batches, place, record)
	return nil
}

func newBatchRecord(b Batch) (*batchRecord, error) {
	record := &batchRecord{
		Batch: b,
		lines: make([]lineRecord, len(b.Lines)),
		retries: indexedheap.Heap[*lineRecord]{
			Index: func(l *lineRecord) *int { return &l.heapPlace },
			Less:  func(a, b *lineRecord) bool { return a.retryAt < b.retryAt },
		},
	}
	for i, line := range b.Lines {
		if line.State == LineInFlight {
			return nil, fmt.Errorf("batch %d, line %d is in flight: want it as RecoverLine returns it", b.ID, i)
		}
		record.lines[i].LineSpec, record.lines[i].index = line, LineIndex(i)
		if line.State == LineWaiting {
			record.sendOrder = append(record.sendOrder, LineIndex(i))
			record.waiting++
			record.remainingCost += line.Cost
		}
	}
	sortByPrefixGroup(record.sendOrder, b.Lines)
	record.Lines = nil
	return record, nil
}

// sortByPrefixGroup moves the lines of each prefix group to the first of them.
func sortByPrefixGroup(order []LineIndex, lines []LineSpec) {
	firstOfGroup := map[uint64]LineIndex{}
	for _, index := range order {
		group := lines[index].PrefixGroup
		if _, ok := firstOfGroup[group]; !ok {
			firstOfGroup[group] = index
		}
	}
	place := func(index LineIndex) LineIndex {
		if group := lines[index].PrefixGroup; group != 0 {
			return firstOfGroup[group]
		}
		return index
	}
	slices.SortStableFunc(order, func(a, b LineIndex) int { return cmp.Compare(place(a), place(b)) })
}

// RemoveBatch removes a batch.
func (s *Scheduler) RemoveBatch(id BatchID) {
	removed := s.byID[id]
	if removed == nil {
		return
	}
	s.inFlight -= removed.inFlight
	delete(s.byID, id)
	s.batches = slices.DeleteFunc(s.batches, func(b *batchRecord) bool { return b == removed })
}

// StopBatch makes a batch send no more lines, because it was cancelled.
func (s *Scheduler) StopBatch(id BatchID) {
	if b := s.byID[id]; b != nil {
		b.stopped = true
	}
}

// ExpireNext stops a batch whose deadline has passed and returns its ID. It returns false if there is none left.
func (s *Scheduler) ExpireNext(now Nanos) (BatchID, bool) {
	for _, b := range s.batches {
		if !b.stopped && now >= b.Deadline {
			b.stopped = true
			return b.ID, true
		}
	}
	return 0, false
}

// UnsentLines returns the lines of a batch that will never be sent, and whether the batch has ended: no line is in
// flight, and none waits unless the batch was stopped.
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

// NextEventAt returns when the next retry becomes due or the next deadline passes, and false if there is neither.
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
		if !ok || at < next {
			next, ok = at, true
		}
	}
	return max(next, now), ok
}

// Forecast returns when a batch will have ended at the pace of its last completed lines, and false if there are too few
// of them.
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
