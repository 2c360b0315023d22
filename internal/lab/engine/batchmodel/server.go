package batchmodel

import (
	"errors"
	"fmt"
)

// Nanos is a time or a span in nanoseconds.
type Nanos = int64

// Shape is what a host is like. Spans are nanoseconds.
type Shape struct {
	Slots              int // prompts and answers at work at once
	Queue              int // more that may wait
	MaxChunkTokens     int // most prompt tokens read in a step
	StepTime           Nanos
	TimePerPromptToken Nanos // for each prompt token read in the step
	TimePerAnswer      Nanos // for each answer that runs
	TimePer1kContext   Nanos // for each 1,000 tokens of context of each answer that runs
}

// ID names work within a host.
type ID uint64

// Work is one prompt to be read, or an answer to be written after it or after a state that was read elsewhere.
type Work struct {
	ID           ID
	Blocks       []BlockHash // of the whole blocks of the prompt
	PromptTokens int         // tokens
	AnswerTokens int         // tokens to write; 0 = the prompt is only read, and its state stays until Release
	FetchState   bool        // the prompt's state comes from elsewhere: Fetched tells when it is there
}

// Event is one thing that a step brought.
type Event struct {
	Kind EventKind
	ID   ID
	N    int // of Token: its place from 0; of PrefillDone: tokens that had to be read
}

// EventKind is the kind of an event.
type EventKind uint8

const (
	NeedsFetch  EventKind = iota // there is room for the state: get it
	PrefillDone                  // the prompt is read
	Token                        // a token of the answer
	AnswerDone                   // the answer is whole
	Preempted                    // memory ran out: back to the queue, to be read anew
)

// Errors of Arrive.
var (
	ErrQueueFull     = errors.New("slots and queue are full")
	ErrExceedsMemory = errors.New("more than all memory")
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

// Server is a model host's inside. Make it with NewServer. It works in steps: Begin, and after the time that it gives,
// End.
type Server struct {
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
type Counts struct{ Steps, PrefilledTokens, CachedTokens, DecodedTokens, Preemptions, Rejected uint64 }

// NewServer makes a host with memory for so many tokens in blocks of a size.
func NewServer(shape Shape, tokens, block int) (*Server, error) {
	if shape.Slots < 1 || shape.Queue < 0 || shape.MaxChunkTokens < 1 || shape.StepTime <= 0 || block < 1 || tokens < block {
		return nil, fmt.Errorf("slots %d, queue %d, chunk %d, step %d, %d tokens in blocks of %d: want all above 0, and a block at least",
			shape.Slots, shape.Queue, shape.MaxChunkTokens, shape.StepTime, tokens, block)
	}
	return &Server{shape: shape, Memory: NewMemory(tokens, block), held: make(map[ID]*work), byID: make(map[ID]*work), chunk: make(map[*work]int)}, nil
}

// Queued counts work that waits for a slot.
func (s *Server) Queued() int { return len(s.queue) }

// Running counts work that has a slot.
func (s *Server) Running() int { return len(s.running) }

// HeldStates counts states that wait.
func (s *Server) HeldStates() int { return len(s.held) }

// QueuedPromptTokens counts prompt tokens that wait to be read or fetched.
func (s *Server) QueuedPromptTokens() int {
	n := 0
	for _, list := range [][]*work{s.queue, s.running} {
		for _, w := range list {
			if w.phase != writing {
				n += w.PromptTokens - w.read
			}
		}
	}
	return n
}

func (s *Server) blocksFor(tokens int) int {
	return (tokens + s.Memory.BlockTokens - 1) / s.Memory.BlockTokens
}

// Enqueue takes work into the queue.
func (s *Server) Enqueue(w Work) error {
	if s.byID[w.ID] != nil {
		return fmt.Errorf("work %d is here already", w.ID)
	}
	if s.blocksFor(w.PromptTokens+w.AnswerTokens) > s.Memory.Blocks() {
		return ErrExceedsMemory
	}
	if len(s.queue)+len(s.running) >= s.shape.Slots+s.shape.Queue {
		s.Counts.Rejected++
		return ErrQueueFull
	}
	s.orders++
	k := &work{Work: w, order: s.orders}
	s.queue = append(s.queue, k)
	s.byID[w.ID] = k
	return nil
}

// BeginStep starts a step, if there is work that can go on, and gives how long it takes and which states are to be
// fetched now.
func (s *Server) BeginStep(events []Event) (Nanos, []Event, bool) {
	if s.inStep {
		return 0, events, false
	}
	for len(s.queue) > 0 && len(s.running) < s.shape.Slots {
		w := s.queue[0]
		// Memory for the prompt and the first token of its answer: less would be preempted at once.
		need := s.blocksFor(w.PromptTokens + w.written + min(w.AnswerTokens-w.written, 1))
		chain := w.Blocks
		if w.FetchState && w.written == 0 {
			chain = nil // it comes whole
		}
		blocks, kept, ok := s.Memory.Allocate(w.blocks[:0], chain, need)
		if !ok {
			break // first come first: nobody passes it
		}
		s.queue = s.queue[1:]
		w.blocks, w.read = blocks, min(kept*s.Memory.BlockTokens, w.PromptTokens-1) // the last token is always read
		w.had = w.read
		if w.phase = reading; w.FetchState && w.written == 0 {
			w.phase = fetching
			events = append(events, Event{Kind: NeedsFetch, ID: w.ID})
		}
		s.running = append(s.running, w)
	}
	clear(s.chunk)
	s.writers = s.writers[:0]
	left, tokens, context := s.shape.MaxChunkTokens, 0, 0
	for _, w := range s.running {
		switch w.phase {
		case writing:
			s.writers = append(s.writers, w)
			context += w.PromptTokens + w.written
		case reading:
			// What was written before a preemption is read anew with the prompt.
			if n := min(left, w.PromptTokens+w.written-w.read); n > 0 {
				s.chunk[w] = n
				left -= n
				tokens += n
			}
		}
	}
	if tokens == 0 && len(s.writers) == 0 {
		return 0, events, false
	}
	s.inStep = true
	s.Counts.Steps++
	return s.shape.StepTime + Nanos(tokens)*s.shape.TimePerPromptToken + Nanos(len(s.writers))*s.shape.TimePerAnswer + Nanos(context)*s.shape.TimePer1kContext/1000, events, true
}

// EndStep ends the step that Begin started and gives what it brought.
func (s *Server) EndStep(events []Event) []Event {
	if !s.inStep {
		return events
	}
	s.inStep = false
	for _, w := range s.writers {
		if w.phase != writing || s.byID[w.ID] != w { // preempted or cancelled meanwhile
			continue
		}
		for s.blocksFor(w.PromptTokens+w.written+1) > len(w.blocks) {
			b, _, ok := s.Memory.Allocate(w.blocks, nil, 1)
			if ok {
				w.blocks = b
				continue
			}
			newest := s.newest()
			events = s.preempt(newest, events)
			if newest == w {
				break
			}
		}
		if w.phase != writing {
			continue
		}
		events = append(events, Event{Kind: Token, ID: w.ID, N: w.written})
		w.written++
		s.Counts.DecodedTokens++
		if w.written == w.AnswerTokens {
			events = append(events, Event{Kind: AnswerDone, ID: w.ID})
			s.remove(w)
		}
	}
	for i := 0; i < len(s.running); i++ {
		w := s.running[i]
		n := s.chunk[w]
		if n == 0 || w.phase != reading {
			continue
		}
		w.read += n
		s.Counts.PrefilledTokens += uint64(n)
		for k := range min(w.read/s.Memory.BlockTokens, len(w.Blocks)) {
			s.Memory.SetContent(w.blocks[k], w.Blocks[k])
		}
		if w.read < w.PromptTokens+w.written {
			continue
		}
		s.Counts.CachedTokens += uint64(w.had)
		if w.written == 0 {
			events = append(events, Event{Kind: PrefillDone, ID: w.ID, N: w.PromptTokens - w.had})
		}
		if w.AnswerTokens > 0 {
			w.phase = writing
			continue
		}
		w.phase = holding
		s.running = append(s.running[:i], s.running[i+1:]...)
		i--
		s.held[w.ID] = w
	}
	return events
}

// newest is the answer that got its slot last: it has cost least.
func (s *Server) newest() *work {
	var last *work
	for _, w := range s.running {
		if w.phase == writing && (last == nil || w.order > last.order) {
			last = w
		}
	}
	return last
}

// preempt sends an answer back to the head of the queue.
func (s *Server) preempt(w *work, events []Event) []Event {
	s.Memory.Release(w.blocks)
	w.blocks, w.phase, w.read = w.blocks[:0], waiting, 0
	for i, r := range s.running {
		if r == w {
			s.running = append(s.running[:i], s.running[i+1:]...)
			break
		}
	}
	s.queue = append([]*work{w}, s.queue...)
	s.Counts.Preemptions++
	return append(events, Event{Kind: Preempted, ID: w.ID})
}

// StateFetched tells that the state of work is there; it is written from the next step on.
func (s *Server) StateFetched(id ID) bool {
	w := s.byID[id]
	if w == nil || w.phase != fetching {
		return false
	}
	w.phase, w.read = writing, w.PromptTokens
	for k := range min(w.PromptTokens/s.Memory.BlockTokens, len(w.Blocks)) {
		s.Memory.SetContent(w.blocks[k], w.Blocks[k])
	}
	return true
}

// Remove takes work out, wherever it stands: its client left, its state was fetched or is not wanted.
func (s *Server) Remove(id ID) bool {
	w := s.byID[id]
	if w == nil {
		return false
	}
	s.remove(w)
	return true
}

func (s *Server) remove(w *work) {
	delete(s.byID, w.ID)
	delete(s.held, w.ID)
	for _, list := range []*[]*work{&s.queue, &s.running} {
		for i, r := range *list {
			if r == w {
				*list = append((*list)[:i], (*list)[i+1:]...)
				break
			}
		}
	}
	s.Memory.Release(w.blocks)
	w.blocks = nil
}
