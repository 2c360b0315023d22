// Package batchmodel models the inside of a model server: continuous batching in steps, KV memory in
// reference-counted blocks, prefixes that stay cached and are shared, eviction of the least recently used block, and
// preemption of the newest answer when memory runs out. It does no I/O and reads no clock, so the same code runs behind
// gRPC in real time and in simulated time. Its figures are those of a model and measure no real server.
package batchmodel

import (
	"errors"
	"fmt"
	"slices"
)

// Nanos is a time or a duration in nanoseconds.
type Nanos = int64

// Shape describes the capacity and the speed of a server.
type Shape struct {
	Slots              int // prompts and answers that run at once
	Queue              int // further ones that may wait
	MaxChunkTokens     int // limit of prompt tokens that a step reads
	StepTime           Nanos
	TimePerPromptToken Nanos // added for each prompt token that the step reads
	TimePerAnswer      Nanos // added for each answer that the step continues
	TimePer1kContext   Nanos // added for each 1,000 tokens of context of these answers
}

// ID identifies work within a server.
type ID uint64

// Work is a prompt to read, an answer to write after its prompt, or an answer to write after a fetched state.
type Work struct {
	ID           ID
	Blocks       []BlockHash // content of the full blocks of the prompt
	PromptTokens int
	AnswerTokens int  // 0: the prompt is only read, and its state is held until Remove
	FetchState   bool // the state of the prompt is fetched from another server; StateFetched reports it
}

// Event is one result of a step.
type Event struct {
	Kind EventKind
	ID   ID
	N    int // Token: its position from 0; PrefillDone: how many prompt tokens were not cached
}

// EventKind says what an Event reports.
type EventKind uint8

// The kinds of events.
const (
	NeedsFetch  EventKind = iota // memory is allocated: the caller must fetch the state
	PrefillDone                  // the prompt is read
	Token                        // a token of the answer
	AnswerDone                   // the last token of the answer is written
	Preempted                    // memory ran out: the work is queued again and is read anew
)

// Errors returned by Enqueue.
var (
	ErrQueueFull     = errors.New("all slots and the queue are full")
	ErrExceedsMemory = errors.New("work needs more blocks than the server has")
)

// phase is the state of a task.
type phase uint8

const (
	phaseQueued   phase = iota
	phaseFetching       // has a slot and waits for its state
	phasePrefill
	phaseDecode
	phaseHeld // read; its state waits for Remove
)

// task is the bookkeeping of one Work.
type task struct {
	Work
	phase         phase
	blocks        []int32
	readTokens    int // tokens of prompt and answer whose state is in memory
	cachedTokens  int // those of readTokens that were cached when the task got its slot
	decodedTokens int
	sequence      uint64 // order of arrival
}

// Server is the model of one server. Make it with NewServer. It works in steps: BeginStep, and after the time that
// this returns, EndStep.
type Server struct {
	shape        Shape
	Memory       *Memory
	queue        []*task // preempted ones first, then in order of arrival
	running      []*task // with a slot, in the order in which they got it
	held         map[ID]*task
	byID         map[ID]*task
	lastSequence uint64
	inStep       bool
	chunks       map[*task]int // prompt tokens that the step reads
	decoding     []*task       // answers that the step continues
	Counts       Counts
}

// Counts are the totals of a server since its start.
type Counts struct{ Steps, PrefilledTokens, CachedTokens, DecodedTokens, Preemptions, Rejected uint64 }

// NewServer returns a server with memory for the given number of tokens, in blocks of blockTokens each.
func NewServer(shape Shape, tokens, blockTokens int) (*Server, error) {
	valid := shape.Slots >= 1 && shape.Queue >= 0 && shape.MaxChunkTokens >= 1 && shape.StepTime > 0 &&
		blockTokens >= 1 && tokens >= blockTokens
	if !valid {
		return nil, fmt.Errorf("slots %d, queue %d, chunk %d, step %d, %d tokens in blocks of %d: "+
			"want a queue of 0 or more, all others above 0, and memory for one block or more",
			shape.Slots, shape.Queue, shape.MaxChunkTokens, shape.StepTime, tokens, blockTokens)
	}
	return &Server{
		shape:  shape,
		Memory: NewMemory(tokens, blockTokens),
		held:   make(map[ID]*task),
		byID:   make(map[ID]*task),
		chunks: make(map[*task]int),
	}, nil
}

// Queued returns how many tasks wait for a slot.
func (s *Server) Queued() int { return len(s.queue) }

// Running returns how many tasks have a slot.
func (s *Server) Running() int { return len(s.running) }

// HeldStates returns how many states are held.
func (s *Server) HeldStates() int { return len(s.held) }

// QueuedPromptTokens returns how many prompt tokens are still to be read or fetched.
func (s *Server) QueuedPromptTokens() int {
	n := 0
	for _, list := range [][]*task{s.queue, s.running} {
		for _, t := range list {
			if t.phase != phaseDecode {
				n += t.PromptTokens - t.readTokens
			}
		}
	}
	return n
}

// blocksFor returns how many blocks the given number of tokens takes.
func (s *Server) blocksFor(tokens int) int {
	return (tokens + s.Memory.BlockTokens - 1) / s.Memory.BlockTokens
}

// Enqueue adds work to the queue. It returns ErrExceedsMemory if the work can never run and ErrQueueFull if there is
// no room for it now.
func (s *Server) Enqueue(w Work) error {
	if s.byID[w.ID] != nil {
		return fmt.Errorf("work %d is queued or running already", w.ID)
	}
	if s.blocksFor(w.PromptTokens+w.AnswerTokens) > s.Memory.Blocks() {
		return ErrExceedsMemory
	}
	if len(s.queue)+len(s.running) >= s.shape.Slots+s.shape.Queue {
		s.Counts.Rejected++
		return ErrQueueFull
	}
	s.lastSequence++
	t := &task{Work: w, sequence: s.lastSequence}
	s.queue = append(s.queue, t)
	s.byID[w.ID] = t
	return nil
}

// StateFetched records that the state of a task has arrived; its answer is written from the next step on. It returns
// false if the task does not wait for its state.
func (s *Server) StateFetched(id ID) bool {
	t := s.byID[id]
	if t == nil || t.phase != phaseFetching {
		return false
	}
	t.phase, t.readTokens = phaseDecode, t.PromptTokens
	s.publishBlocks(t, t.PromptTokens)
	return true
}

// publishBlocks makes the full blocks among the first tokens of a prompt available to other tasks.
func (s *Server) publishBlocks(t *task, tokens int) {
	for i := range min(tokens/s.Memory.BlockTokens, len(t.Blocks)) {
		s.Memory.SetContent(t.blocks[i], t.Blocks[i])
	}
}

// Remove takes out work in any phase: its client canceled, or its state was fetched or is no longer wanted. It returns
// false if there is no work of this ID.
func (s *Server) Remove(id ID) bool {
	t := s.byID[id]
	if t == nil {
		return false
	}
	s.remove(t)
	return true
}

func (s *Server) remove(t *task) {
	delete(s.byID, t.ID)
	delete(s.held, t.ID)
	s.queue = deleteTask(s.queue, t)
	s.running = deleteTask(s.running, t)
	s.Memory.Release(t.blocks)
	t.blocks = nil
}

// deleteTask returns the list without the task.
func deleteTask(list []*task, t *task) []*task {
	if i := slices.Index(list, t); i >= 0 {
		return slices.Delete(list, i, i+1)
	}
	return list
}
