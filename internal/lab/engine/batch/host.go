package batch

import (
	"errors"
	"fmt"
)

// Nanos is a time or a span in nanoseconds.
type Nanos = int64

// Shape is what a host is like. Spans are nanoseconds.
type Shape struct {
	Slots    int // prompts and answers at work at once
	Queue    int // more that may wait
	Chunk    int // most prompt tokens read in a step
	Step     Nanos
	PerRead  Nanos // for each prompt token read in the step
	PerRun   Nanos // for each answer that runs
	PerThing Nanos // for each 1,000 tokens of context of each answer that runs
}

// ID names work within a host.
type ID uint64

// Work is one prompt to be read, or an answer to be written after it or after a state that was read elsewhere.
type Work struct {
	ID     ID
	Chain  []Hash // of the whole blocks of the prompt
	Prompt int    // tokens
	Answer int    // tokens to write; 0 = the prompt is only read, and its state stays until Release
	Fetch  bool   // the prompt's state comes from elsewhere: Fetched tells when it is there
}

// Event is one thing that a step brought.
type Event struct {
	What What
	ID   ID
	N    int // of Token: its place from 0; of ReadDone: tokens that had to be read
}

// What is the kind of an event.
type What uint8

const (
	NeedsFetch What = iota // there is room for the state: get it
	ReadDone               // the prompt is read
	Token                  // a token of the answer
	Done                   // the answer is whole
	Preempted              // memory ran out: back to the queue, to be read anew
)

// Errors of Arrive.
var (
	ErrFull   = errors.New("slots and queue are full")
	ErrTooBig = errors.New("more than all memory")
)

type phase uint8

const (
	waiting phase = iota
	fetching
	reading
	writing
	holding // read, and its state waits
)

type work struct {
	Work
	phase   phase
	blocks  []int32
	read    int // prompt tokens that are there
	had     int // of them, those that were kept
	written int
	order   uint64
}

// Host is a model host's inside. Make it with NewHost. It works in steps: Begin, and after the time that it gives,
// End.
type Host struct {
	shape   Shape
	Memory  *Memory
	queue   []*work // first come first; those that were preempted first of all
	running []*work // reading, fetching and writing, in the order in which they got their slot
	held    map[ID]*work
	byID    map[ID]*work
	orders  uint64
	inStep  bool
	chunk   map[*work]int // prompt tokens that the step reads, by work
	writers []*work       // answers that the step goes on with
	Counts  Counts
}

// Counts are what a host counted.
type Counts struct{ Steps, Read, Kept, Written, Preempted, Turned uint64 }

// NewHost makes a host with memory for so many tokens in blocks of a size.
func NewHost(shape Shape, tokens, block int) (*Host, error) {
	if shape.Slots < 1 || shape.Queue < 0 || shape.Chunk < 1 || shape.Step <= 0 || block < 1 || tokens < block {
		return nil, fmt.Errorf("slots %d, queue %d, chunk %d, step %d, %d tokens in blocks of %d: want all above 0, and a block at least",
			shape.Slots, shape.Queue, shape.Chunk, shape.Step, tokens, block)
	}
	return &Host{shape: shape, Memory: NewMemory(tokens, block), held: make(map[ID]*work), byID: make(map[ID]*work), chunk: make(map[*work]int)}, nil
}

// Queued counts work that waits for a slot.
func (h *Host) Queued() int { return len(h.queue) }

// Running counts work that has a slot.
func (h *Host) Running() int { return len(h.running) }

// Held counts states that wait.
func (h *Host) Held() int { return len(h.held) }

// Unread counts prompt tokens that wait to be read or fetched.
func (h *Host) Unread() int {
	n := 0
	for _, list := range [][]*work{h.queue, h.running} {
		for _, w := range list {
			if w.phase != writing {
				n += w.Prompt - w.read
			}
		}
	}
	return n
}

func (h *Host) blocksFor(tokens int) int { return (tokens + h.Memory.Size - 1) / h.Memory.Size }

// Arrive takes work into the queue.
func (h *Host) Arrive(w Work) error {
	if h.byID[w.ID] != nil {
		return fmt.Errorf("work %d is here already", w.ID)
	}
	if h.blocksFor(w.Prompt+w.Answer) > h.Memory.Blocks() {
		return ErrTooBig
	}
	if len(h.queue)+len(h.running) >= h.shape.Slots+h.shape.Queue {
		h.Counts.Turned++
		return ErrFull
	}
	h.orders++
	k := &work{Work: w, order: h.orders}
	h.queue = append(h.queue, k)
	h.byID[w.ID] = k
	return nil
}

// Begin starts a step, if there is work that can go on, and gives how long it takes and which states are to be
// fetched now.
func (h *Host) Begin(events []Event) (Nanos, []Event, bool) {
	if h.inStep {
		return 0, events, false
	}
	for len(h.queue) > 0 && len(h.running) < h.shape.Slots {
		w := h.queue[0]
		// Memory for the prompt and the first token of its answer: less would be preempted at once.
		need := h.blocksFor(w.Prompt + w.written + min(w.Answer-w.written, 1))
		chain := w.Chain
		if w.Fetch && w.written == 0 {
			chain = nil // it comes whole
		}
		blocks, kept, ok := h.Memory.Take(w.blocks[:0], chain, need)
		if !ok {
			break // first come first: nobody passes it
		}
		h.queue = h.queue[1:]
		w.blocks, w.read = blocks, min(kept*h.Memory.Size, w.Prompt-1) // the last token is always read
		w.had = w.read
		if w.phase = reading; w.Fetch && w.written == 0 {
			w.phase = fetching
			events = append(events, Event{What: NeedsFetch, ID: w.ID})
		}
		h.running = append(h.running, w)
	}
	clear(h.chunk)
	h.writers = h.writers[:0]
	left, tokens, context := h.shape.Chunk, 0, 0
	for _, w := range h.running {
		switch w.phase {
		case writing:
			h.writers = append(h.writers, w)
			context += w.Prompt + w.written
		case reading:
			// What was written before a preemption is read anew with the prompt.
			if n := min(left, w.Prompt+w.written-w.read); n > 0 {
				h.chunk[w] = n
				left -= n
				tokens += n
			}
		}
	}
	if tokens == 0 && len(h.writers) == 0 {
		return 0, events, false
	}
	h.inStep = true
	h.Counts.Steps++
	return h.shape.Step + Nanos(tokens)*h.shape.PerRead + Nanos(len(h.writers))*h.shape.PerRun + Nanos(context)*h.shape.PerThing/1000, events, true
}

// End ends the step that Begin started and gives what it brought.
func (h *Host) End(events []Event) []Event {
	if !h.inStep {
		return events
	}
	h.inStep = false
	for _, w := range h.writers {
		if w.phase != writing || h.byID[w.ID] != w { // preempted or cancelled meanwhile
			continue
		}
		for h.blocksFor(w.Prompt+w.written+1) > len(w.blocks) {
			b, _, ok := h.Memory.Take(w.blocks, nil, 1)
			if ok {
				w.blocks = b
				continue
			}
			newest := h.newest()
			events = h.preempt(newest, events)
			if newest == w {
				break
			}
		}
		if w.phase != writing {
			continue
		}
		events = append(events, Event{What: Token, ID: w.ID, N: w.written})
		w.written++
		h.Counts.Written++
		if w.written == w.Answer {
			events = append(events, Event{What: Done, ID: w.ID})
			h.remove(w)
		}
	}
	for i := 0; i < len(h.running); i++ {
		w := h.running[i]
		n := h.chunk[w]
		if n == 0 || w.phase != reading {
			continue
		}
		w.read += n
		h.Counts.Read += uint64(n)
		for k := range min(w.read/h.Memory.Size, len(w.Chain)) {
			h.Memory.Name(w.blocks[k], w.Chain[k])
		}
		if w.read < w.Prompt+w.written {
			continue
		}
		h.Counts.Kept += uint64(w.had)
		if w.written == 0 {
			events = append(events, Event{What: ReadDone, ID: w.ID, N: w.Prompt - w.had})
		}
		if w.Answer > 0 {
			w.phase = writing
			continue
		}
		w.phase = holding
		h.running = append(h.running[:i], h.running[i+1:]...)
		i--
		h.held[w.ID] = w
	}
	return events
}

// newest is the answer that got its slot last: it has cost least.
func (h *Host) newest() *work {
	var last *work
	for _, w := range h.running {
		if w.phase == writing && (last == nil || w.order > last.order) {
			last = w
		}
	}
	return last
}

// preempt sends an answer back to the head of the queue.
func (h *Host) preempt(w *work, events []Event) []Event {
	h.Memory.Drop(w.blocks)
	w.blocks, w.phase, w.read = w.blocks[:0], waiting, 0
	for i, r := range h.running {
		if r == w {
			h.running = append(h.running[:i], h.running[i+1:]...)
			break
		}
	}
	h.queue = append([]*work{w}, h.queue...)
	h.Counts.Preempted++
	return append(events, Event{What: Preempted, ID: w.ID})
}

// Fetched tells that the state of work is there; it is written from the next step on.
func (h *Host) Fetched(id ID) bool {
	w := h.byID[id]
	if w == nil || w.phase != fetching {
		return false
	}
	w.phase, w.read = writing, w.Prompt
	for k := range min(w.Prompt/h.Memory.Size, len(w.Chain)) {
		h.Memory.Name(w.blocks[k], w.Chain[k])
	}
	return true
}

// Drop takes work out, wherever it stands: its client left, its state was fetched or is not wanted.
func (h *Host) Drop(id ID) bool {
	w := h.byID[id]
	if w == nil {
		return false
	}
	h.remove(w)
	return true
}

func (h *Host) remove(w *work) {
	delete(h.byID, w.ID)
	delete(h.held, w.ID)
	for _, list := range []*[]*work{&h.queue, &h.running} {
		for i, r := range *list {
			if r == w {
				*list = append((*list)[:i], (*list)[i+1:]...)
				break
			}
		}
	}
	h.Memory.Drop(w.blocks)
	w.blocks = nil
}
