// Package memory decides how the bytes that peers make a process hold share its memory: what is admitted, when senders
// are paused, and when what does not fit is refused. All holders charge one Budget, whatever they hold the bytes for.
//
// The package does no I/O and reads no clock.
package memory

import "math"

// Use is what bytes are held for.
type Use uint8

// The uses.
const (
	Connections     Use = iota // the state of connections
	PartialRequests            // requests that have not arrived completely, and input pipelined behind others
	Requests                   // complete requests, until no attempt needs them any more
	Responses                  // answers of servers of which an event has not arrived completely
	Output                     // output that peers have not read yet
	UseCount
)

const (
	// heapFraction is the fraction of the process's memory that the garbage collector keeps the heap below. The rest is
	// for memory that the heap has returned and the system has not taken yet.
	heapFraction = 0.6
	// programBytes is the memory of the program's text and data, beside the heap.
	programBytes = 24 << 20
	// minHeapFraction is the fraction of the process's memory for the heap if the program takes most of it.
	minHeapFraction = 0.25
	// budgetFraction is the fraction of the heap that peers may fill. The rest is for the program itself and for garbage
	// that has not been collected: with less, the collector would run all the time.
	budgetFraction = 0.5
	// measuredFraction is the fraction of the process's memory that may be in use, as measured, while further large
	// requests are admitted.
	measuredFraction = 0.7
	// RequestBytes is what a request takes beside its message: its records, and those of its attempt's connection.
	RequestBytes = 4 << 10
	// ConnectionBytes is what a client's connection takes beside its buffers.
	ConnectionBytes = 2 << 10
	// KeptRequestBytes is the most buffer memory that the record of a request keeps for its next use.
	KeptRequestBytes = 32 << 10

	// smallBytes is the size up to which a request counts as small.
	smallBytes = 32 << 10
	// prefixFraction is the fraction of the process's memory for the prefixes and sessions that the policy remembers, and
	// prefixBytes what one of them takes.
	prefixFraction = 1.0 / 32
	prefixBytes    = 256
	// pausedFraction is the fraction of the budget that answers may fill before their senders are paused at once.
	pausedFraction = 1.0 / 4
	// pauseBytes is the output queued for one peer above which its sender is paused.
	pauseBytes = 32 << 10
)

// ceiling limits the bytes of a use, as fractions of the budget.
type ceiling struct {
	own   float64 // of the use itself
	total float64 // of all uses, when bytes are added to this one
}

// ceilings leave room for those uses that free others: answers end requests, complete requests become answers, and
// incomplete ones may never end.
var ceilings = [UseCount]ceiling{
	Connections:     {own: 1, total: 1},
	PartialRequests: {own: 1.0 / 4, total: 1.0 / 2},
	Requests:        {own: 3.0 / 4, total: 3.0 / 4},
	Responses:       {own: 1, total: 1},
	Output:          {own: 1, total: 1},
}

// smallCeiling applies to small requests, so that large ones do not keep them out.
const smallCeiling = 7.0 / 8

// IsLarge reports whether a message is too large to be copied: it is handed over.
func IsLarge(bytes int) bool { return bytes > KeptRequestBytes }

// HeapLimit returns the heap's limit in a process that may use the given memory, in bytes.
func HeapLimit(memory int64) int64 {
	limit := min(int64(heapFraction*float64(memory)), memory-programBytes)
	return max(limit, int64(minHeapFraction*float64(memory)))
}

// MaxPrefixes returns how many prefixes and sessions may be remembered in a process that may use the given memory, in
// bytes.
func MaxPrefixes(memory int64) int { return int(prefixFraction * float64(memory) / prefixBytes) }

// Budget counts the bytes that peers make the process hold. A nil *Budget has no limit.
type Budget struct {
	limit         int64
	measuredLimit int64
	admitsSmall   bool // whether small requests are always admitted
	measured      int64
	total         int64
	peak          int64
	used          [UseCount]int64
	refused       [UseCount]uint64
	paused        uint64
	outputBytes   func() int64 // nil = Output is charged by accounts
}

// New returns the budget of a process that may use the given memory, in bytes.
func New(memory int64) *Budget {
	return &Budget{
		limit:         int64(budgetFraction * float64(HeapLimit(memory))),
		measuredLimit: int64(measuredFraction * float64(memory)),
	}
}

// MeasureOutput makes the budget ask for the bytes of Output in place of accounts.
func (b *Budget) MeasureOutput(outputBytes func() int64) { b.outputBytes = outputBytes }

// refreshOutput updates the bytes of Output if they are measured.
func (b *Budget) refreshOutput() {
	if b.outputBytes != nil {
		b.add(Output, b.outputBytes()-b.used[Output])
	}
}

// NewForHeap returns the budget of a process whose heap alone is limited, in bytes, and which sheds small requests by
// itself when the heap exceeds that limit. Peers may fill all of it.
func NewForHeap(limit int64) *Budget {
	return &Budget{limit: limit, measuredLimit: math.MaxInt64, admitsSmall: true}
}

// Admits reports whether n more bytes may be held for a use, and counts the refusal if not. They belong to what holds
// held bytes already, and is small or large as a whole.
func (b *Budget) Admits(use Use, held, n int64) bool {
	if b == nil || b.fits(use, held, n) {
		return true
	}
	b.refused[use]++
	return false
}

// fits reports whether n more bytes of a use fit in the budget.
func (b *Budget) fits(use Use, held, n int64) bool {
	b.refreshOutput()
	limit, c := float64(b.limit), ceilings[use]
	if held+n <= smallBytes {
		return b.admitsSmall || float64(b.total+n) <= max(c.total, smallCeiling)*limit
	}
	measuredFits := use == Responses || b.measured <= b.measuredLimit // an answer under way is not given up for it
	return measuredFits && float64(b.used[use]+n) <= c.own*limit && float64(b.total+n) <= c.total*limit
}

// PauseThreshold returns the output queued for one peer above which its sender is paused.
func (b *Budget) PauseThreshold() int {
	if b == nil {
		return pauseBytes
	}
	b.refreshOutput()
	if float64(b.used[Responses]+b.used[Output]) > pausedFraction*float64(b.limit) {
		b.paused++
		return 0
	}
	return pauseBytes
}

// SetMeasured records the memory that the process has in use, as measured. It includes what no account counts and what
// the garbage collector has not freed yet.
func (b *Budget) SetMeasured(bytes int64) { b.measured = bytes }

// add changes the bytes that are held for a use.
func (b *Budget) add(use Use, delta int64) {
	if b == nil {
		return
	}
	b.used[use] += delta
	b.total += delta
	b.peak = max(b.peak, b.total)
}

// Account is what one holder charges to a budget for one use. The zero value charges nothing.
type Account struct {
	budget *Budget
	use    Use
	bytes  int64
}

// NewAccount returns an empty account.
func (b *Budget) NewAccount(use Use) Account { return Account{budget: b, use: use} }

// Bytes returns the bytes that the account charges.
func (a *Account) Bytes() int64 { return a.bytes }

// Set changes the bytes that the account charges. It must be 0 when the holder ends.
func (a *Account) Set(bytes int64) {
	if bytes != a.bytes {
		a.budget.add(a.use, bytes-a.bytes)
		a.bytes = bytes
	}
}

// Status is the state of a budget. The names of the fields are keys of the log record "counts".
type Status struct {
	LimitBytes int64
	HeldBytes  int64
	PeakBytes  int64 // the most that were held since the start
	// MeasuredBytes is the memory that the process had in use at the last measurement.
	MeasuredBytes   int64
	Connections     int64
	PartialRequests int64
	Requests        int64
	Responses       int64
	Output          int64
	// Refused counts what was not admitted, by use, in the order of the fields above.
	Refused [UseCount]uint64
	Paused  uint64 // pieces of answers that came while senders are paused at once
}

// Status returns the present state.
func (b *Budget) Status() Status {
	if b == nil {
		return Status{}
	}
	b.refreshOutput()
	return Status{
		LimitBytes: b.limit, HeldBytes: b.total, PeakBytes: b.peak, MeasuredBytes: b.measured,
		Connections: b.used[Connections], PartialRequests: b.used[PartialRequests], Requests: b.used[Requests],
		Responses: b.used[Responses], Output: b.used[Output], Refused: b.refused, Paused: b.paused,
	}
}
