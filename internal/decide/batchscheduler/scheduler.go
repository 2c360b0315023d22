// Package batchscheduler decides about files of requests that nobody waits for: which line of which batch goes out next, which is
// tried again and when, what a restart means for a line that was out, and how batches go from state to state. It does
// no I/O and reads no clock.
package batchscheduler

import (
	"cmp"
	"docksail/internal/indexedheap"
	"fmt"
	"slices"
)

// Nanos is a time or a span in nanoseconds.
type Nanos = int64

// ID names a batch, Line its place in the file, from 0.
type (
	ID   uint64
	Line int32
)

// Effect is what a second attempt of a line does.
type Effect uint8

const (
	Redoable     Effect = iota // nothing
	Labelled                   // nothing, under its label and within its window
	Irreversible               // it would act twice
)

// State of a batch, as its users see it.
type State uint8

const (
	Validating State = iota
	Failed           // the file cannot be taken
	InProgress
	Finalizing
	Completed
	Expired
	Cancelling
	Cancelled
	states
)

func (s State) String() string {
	if s >= states {
		return "unknown"
	}
	return [...]string{"validating", "failed", "in_progress", "finalizing", "completed", "expired", "cancelling", "cancelled"}[s]
}

// Over tells that nothing changes any more.
func (s State) Over() bool { return s == Failed || s == Completed || s == Expired || s == Cancelled }

// next are the states that may follow each.
var next = [states][]State{
	Validating: {Failed, InProgress, Cancelling},
	InProgress: {Finalizing, Cancelling},
	Finalizing: {Completed, Expired, Cancelled}, // by why it had to end
	Cancelling: {Finalizing, Cancelled},
}

// Step tells whether a state may follow another.
func Step(from, to State) error {
	if from < states && slices.Contains(next[from], to) {
		return nil
	}
	return fmt.Errorf("a batch that is %v cannot become %v", from, to)
}

// At is where a line stands, as it is kept.
type At uint8

const (
	Waiting At = iota
	Out        // an attempt may be out
	Done       // its result is kept
	Lost       // it ended without one: the reason is kept
)

// Recover says where a line stands after a restart: one that was out has no attempt out any more, as the request's client
// is gone; whether it may go again depends on its effect.
func Recover(at At, effect Effect) (now At, mayHaveRun bool) {
	if at != Out {
		return at, false
	}
	if effect == Irreversible {
		return Lost, true
	}
	return Waiting, false
}

// Batch is a batch as it is added.
type Batch struct {
	ID     ID
	Tenant int
	Effect Effect
	Window Nanos // of a labelled one's attempts
	Ends   Nanos // its completion window
	Lines  []Entry
}

// Entry is a line as it is added.
type Entry struct {
	Cost  float64 // in tokens read
	Group uint64  // hash of what its prompt begins with; equal ones go out together. 0 = none
	At    At
}

// How a line's request ended.
type How uint8

const (
	Served    How = iota
	Nacked        // trying again is harmless
	Abandoned     // it may have run
	Broken        // the connection was lost; it may have run
	Bad           // it can never be taken
)

// Verdict is what becomes of a line whose request ended.
type Verdict uint8

const (
	IsDone  Verdict = iota
	GoAgain         // later, by Next
	IsLost          // for good
)

// Reasons for which a line is lost.
const (
	MayHaveRun  = "may have run: it is not sent again"
	TooOften    = "gave up after so many tries"
	CannotBe    = "the request cannot be taken"
	WindowOver  = "the completion window is over"
	ByCancel    = "the batch was cancelled"
	LabelIsOver = "may have run, and the window of its label is over"
)

const (
	// tries that may have run, of one line. Nacks are not counted: they last as long as the window does.
	tries = 4
	// waits grow by this with each try, to longest of the first: the fleet is asked again about once in that.
	growth, longest = 2.0, 64
	// spread of a wait, so that lines which were refused together do not come together.
	spread = 0.25
	// paceMemory is how many of the last results the pace of a forecast is taken from.
	paceMemory = 256
)

type line struct {
	Entry
	n            Line
	tries, nacks uint8
	sent         Nanos // first time that it may have run
	again        Nanos
	i            int // place among those that wait for their time
}

type batch struct {
	Batch
	lines   []line
	order   []Line // as they go out
	head    int    // of order: what lies before has been out
	later   indexedheap.Heap[*line]
	waiting int
	out     int
	left    float64 // cost of what is not over
	ended   bool    // no more goes out: over its window, or cancelled
	done    [paceMemory]Nanos
	dones   int
}

type tenant struct {
	weight, start float64
	n             int
}

// Scheduler is the account of all batches under way. Make it with New.
type Scheduler struct {
	first   Nanos // wait after a first try
	most    int   // lines out at once
	out     int
	chance  func() float64 // in [0, 1)
	tenants []tenant
	virtual float64
	byID    map[ID]*batch
	list    []*batch // by ID
}

// New makes a scheduler for tenants with weights; first is how long a line waits after its first try, most how many are
// out at once, chance gives numbers in [0, 1), by a seed.
func New(weights []float64, first Nanos, most int, chance func() float64) (*Scheduler, error) {
	if first <= 0 || most < 1 || len(weights) == 0 {
		return nil, fmt.Errorf("%d tenants, a first wait of %d, %d lines out: want all above 0", len(weights), first, most)
	}
	s := &Scheduler{first: first, most: most, chance: chance, byID: map[ID]*batch{}}
	for i, w := range weights {
		if !(w > 0) {
			return nil, fmt.Errorf("tenant %d: weight %v, want more than 0", i, w)
		}
		s.tenants = append(s.tenants, tenant{weight: w, n: i})
	}
	return s, nil
}

// Add takes a batch; of its lines those that wait go out.
func (s *Scheduler) Add(b Batch) error {
	if s.byID[b.ID] != nil || b.Tenant < 0 || b.Tenant >= len(s.tenants) {
		return fmt.Errorf("batch %d of tenant %d: want a new one, of tenants 0 to %d", b.ID, b.Tenant, len(s.tenants)-1)
	}
	k := &batch{Batch: b, lines: make([]line, len(b.Lines)), later: indexedheap.Heap[*line]{
		Place: func(l *line) *int { return &l.i },
		Less:  func(a, b *line) bool { return a.again < b.again },
	}}
	// Lines that begin alike go out one after another, in the order of the first of each kind.
	first := map[uint64]int{}
	for i, e := range b.Lines {
		if e.At == Out {
			return fmt.Errorf("batch %d, line %d is out: Recover says what becomes of it", b.ID, i)
		}
		k.lines[i].Entry, k.lines[i].n = e, Line(i)
		if e.At != Waiting {
			continue
		}
		if _, ok := first[e.Group]; !ok || e.Group == 0 {
			first[e.Group] = i
		}
		k.order = append(k.order, Line(i))
		k.waiting++
		k.left += e.Cost
	}
	at := func(l Line) int {
		if g := b.Lines[l].Group; g != 0 {
			return first[g]
		}
		return int(l)
	}
	slices.SortStableFunc(k.order, func(x, y Line) int { return cmp.Compare(at(x), at(y)) })
	k.Batch.Lines = nil
	s.byID[b.ID] = k
	i, _ := slices.BinarySearchFunc(s.list, b.ID, func(k *batch, id ID) int { return cmp.Compare(k.ID, id) })
	s.list = slices.Insert(s.list, i, k)
	return nil
}

// Remove forgets a batch.
func (s *Scheduler) Remove(id ID) {
	k := s.byID[id]
	if k == nil {
		return
	}
	s.out -= k.out
	delete(s.byID, id)
	s.list = slices.DeleteFunc(s.list, func(o *batch) bool { return o == k })
}

// Out counts the lines that are out.
func (s *Scheduler) Out() int { return s.out }

// Left counts a batch's lines that wait and that are out; false if there is no such batch.
func (s *Scheduler) Left(id ID) (waiting, out int, ok bool) {
	k := s.byID[id]
	if k == nil {
		return 0, 0, false
	}
	return k.waiting, k.out, true
}

// ready tells whether a line of a batch may go out now.
func (k *batch) ready(now Nanos) bool {
	return !k.ended && now < k.Ends && (k.head < len(k.order) || k.later.Len() > 0 && k.later.Min().again <= now)
}

// need is the cost a nanosecond at which a batch meets its window.
func (k *batch) need(now Nanos) float64 { return k.left / float64(max(k.Ends-now, 1)) }

// Next gives the next line to send, and takes it as out: of the tenant that has had least for its weight, of its batch
// that has most to do in what remains of its window.
func (s *Scheduler) Next(now Nanos) (ID, Line, bool) {
	if s.out >= s.most {
		return 0, 0, false
	}
	var best *batch
	for _, k := range s.list {
		if !k.ready(now) {
			continue
		}
		if best == nil || k.Tenant == best.Tenant && k.need(now) > best.need(now) ||
			k.Tenant != best.Tenant && s.before(k.Tenant, best.Tenant) {
			best = k
		}
	}
	if best == nil {
		return 0, 0, false
	}
	var n Line
	if best.later.Len() > 0 && best.later.Min().again <= now {
		l := best.later.Min()
		best.later.Take(l)
		n = l.n
	} else {
		n = best.order[best.head]
		best.head++
	}
	l := &best.lines[n]
	l.At = Out
	best.waiting--
	best.out++
	s.out++
	t := &s.tenants[best.Tenant]
	t.start = max(t.start, s.virtual)
	s.virtual = t.start
	t.start += l.Cost / t.weight
	return best.ID, n, true
}

func (s *Scheduler) before(a, b int) bool {
	x, y := max(s.tenants[a].start, s.virtual), max(s.tenants[b].start, s.virtual)
	return x < y || x == y && a < b
}

// NextAt is when a line comes whose time has not come yet, or a batch's window ends; false if there is none.
func (s *Scheduler) NextAt(now Nanos) (Nanos, bool) {
	at, some := Nanos(0), false
	for _, k := range s.list {
		if k.ended {
			continue
		}
		t := k.Ends
		if k.later.Len() > 0 {
			t = min(t, k.later.Min().again)
		}
		if !some || t < at {
			at, some = t, true
		}
	}
	return max(at, now), some
}

// Ended tells how the request of a line ended, with the time that a nack asks to stay away. The reason goes with IsLost.
func (s *Scheduler) Ended(now Nanos, id ID, n Line, how How, after Nanos) (Verdict, string) {
	k := s.byID[id]
	if k == nil || int(n) >= len(k.lines) || k.lines[n].At != Out {
		return IsLost, "no such line is out"
	}
	l := &k.lines[n]
	k.out--
	s.out--
	lost := func(why string) (Verdict, string) {
		l.At = Lost
		k.left -= l.Cost
		return IsLost, why
	}
	if l.sent == 0 && (how == Abandoned || how == Broken) {
		l.sent = now
	}
	switch {
	case how == Served:
		l.At = Done
		k.left -= l.Cost
		k.done[k.dones%paceMemory] = now
		k.dones++
		return IsDone, ""
	case how == Bad:
		return lost(CannotBe)
	case how != Nacked && k.Effect == Irreversible:
		return lost(MayHaveRun)
	case how != Nacked && k.Effect == Labelled && now > l.sent+k.Window:
		return lost(LabelIsOver)
	case k.ended || now >= k.Ends:
		return lost(WindowOver)
	}
	if how == Nacked {
		l.nacks = min(l.nacks+1, 255)
	} else if l.tries++; l.tries >= tries {
		return lost(TooOften)
	}
	wait := float64(s.first)
	for range min(int(l.tries)+int(l.nacks)-1, 32) {
		wait = min(wait*growth, longest*float64(s.first))
	}
	wait = max(wait, float64(after)) * (1 + spread*s.chance())
	l.At, l.again = Waiting, now+Nanos(wait)
	k.waiting++
	k.later.Put(l)
	return GoAgain, ""
}

// Stop has nothing more of a batch go out: it is cancelled.
func (s *Scheduler) Stop(id ID) {
	if k := s.byID[id]; k != nil {
		k.ended = true
	}
}

// Expired gives a batch whose window is over and has not been stopped yet; it is then.
func (s *Scheduler) Expired(now Nanos) (ID, bool) {
	for _, k := range s.list {
		if !k.ended && now >= k.Ends {
			k.ended = true
			return k.ID, true
		}
	}
	return 0, false
}

// Rest gives the lines of a stopped batch that never will go out, once none is out any more.
func (s *Scheduler) Rest(id ID) ([]Line, bool) {
	k := s.byID[id]
	if k == nil || k.out > 0 || k.waiting > 0 && !k.ended {
		return nil, false
	}
	var rest []Line
	for i := range k.lines {
		if k.lines[i].At == Waiting {
			rest = append(rest, Line(i))
		}
	}
	return rest, true
}

// Forecast is when a batch will be through at the pace of its last results; false while too few are known.
func (s *Scheduler) Forecast(now Nanos, id ID) (Nanos, bool) {
	k := s.byID[id]
	const few = 8
	if k == nil || k.dones < few {
		return 0, false
	}
	n := min(k.dones, paceMemory)
	from := k.done[(k.dones-n)%paceMemory]
	each := float64(max(now-from, 1)) / float64(n)
	return now + Nanos(each*float64(k.waiting+k.out)), true
}
