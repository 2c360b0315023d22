// Package batchmodel models the inside of a model server: continuous batching in steps, KV memory in reference-counted
// blocks, shared cached prefixes, eviction of the least recently used block, and preemption of the newest answer when
// memory runs out. It does no I/O and reads no clock, so the same code runs behind gRPC in real time and in simulated
// time. Its timing does not reproduce measurements of a real server.
package batchmodel

import (
	"errors"
	"fmt"
	"slices"
)

// Nanos is a point in time or a duration, in nanoseconds.
type Nanos = int64

// Shape describes the capacity and the speed of a server. A step takes StepTime plus the times per token and answer.
type Shape struct {
	Slots              int // prompts and answers processed at once
	Queue              int // prompts and answers that may wait for a slot
	MaxChunkTokens     int // maximum number of prompt tokens in a step
	StepTime           Nanos
	TimePerPromptToken Nanos // for each prompt token in the step
	TimePerAnswer      Nanos // for each answer in the step
	TimePer1kContext   Nanos // for each 1,000 context tokens of the answers in the step
}

// ID identifies a Work within a server.
type ID uint64

// Work is a prefill, a prefill with the decode of its answer, or the decode of an answer after fetching the state.
type Work struct {
	ID           ID
	Blocks       []BlockHash // content of the full blocks of the prompt
	PromptTokens int
	AnswerTokens int  // 0: prefill only; the state is held until Remove
	FetchState   bool // fetch the state from another server; StateFetched reports its arrival
}

// Event is one result of a step.
type Event struct {
	Kind  EventKind
	ID    ID
	Value int // Token: position of the token, from 0; PrefillDone: number of prompt tokens that were not cached
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	NeedsFetch  EventKind = iota // memory is allocated, and the caller must fetch the state
	PrefillDone                  // the prefill is complete
	Token                        // a token of the answer was decoded
	AnswerDone                   // the answer is complete
	Preempted                    // memory ran out; the work is queued again and its prefill repeated
)

// Errors returned by Enqueue.
var (
	ErrQueueFull     = errors.New("all slots and the queue are full")
	ErrExceedsMemory = errors.New("work needs more blocks than the server has")
)

// phase is the processing phase of a task.
type phase uint8

const (
	phaseQueued   phase = iota
	phaseFetching       // has a slot and waits for StateFetched
	phasePrefill
	phaseDecode
	phaseHeld // prefill complete; the state is held until Remove
)

// task is a Work and its progress.
type task struct {
	Work
	phase         phase
	blocks        []int32
	stateTokens   int // tokens that were cached, prefilled or fetched; excludes those decoded since
	cachedTokens  int // part of stateTokens that was cached when the task got its slot
	decodedTokens int
	sequence      uint64 // order of arrival
}

// Server models one server, which works in steps: the caller calls BeginStep and, after the duration that this
// returns, EndStep. Create it with NewServer.
type Server struct {
	shape        Shape
	Memory       *Memory
	queue        []*task      // preempted tasks first, then in order of arrival
	running      []*task      // tasks with a slot, in the order in which they got it
	held         map[ID]*task // tasks in phaseHeld
	byID         map[ID]*task
	lastSequence uint64
	inStep       bool
	chunks       map[*task]int // prompt tokens of the current step
	decoding     []*task       // answers of the current step
	Counts       Counts
}

// Counts holds the totals of a server since it was created.
type Counts struct{ Steps, PrefilledTokens, CachedTokens, DecodedTokens, Preemptions, Rejected uint64 }

// NewServer returns a server with memory for the given number of tokens, in blocks of blockTokens each.
func NewServer(shape Shape, tokens, blockTokens int) (*Server, error) {
	valid := shape.Slots >= 1 && shape.Queue >= 0 && shape.MaxChunkTokens >= 1 && shape.StepTime > 0 &&
		blockTokens >= 1 && tokens >= blockTokens
	if !valid {
		return nil, fmt.Errorf("slots %d, queue %d, chunk %d, step %d, %d tokens in blocks of %d: "+
			"the queue must be at least 0, all others above 0, and the memory at least one block",
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

// Queued returns the number of tasks that wait for a slot.
func (s *Server) Queued() int { return len(s.queue) }

// Running returns the number of tasks with a slot.
func (s *Server) Running() int { return len(s.running) }

// HeldStates returns the number of states held.
func (s *Server) HeldStates() int { return len(s.held) }

// QueuedPromptTokens returns the number of prompt tokens that are not prefilled or fetched yet.
func (s *Server) QueuedPromptTokens() int {
	n := 0
	for _, list := range [][]*task{s.queue, s.running} {
		for _, t := range list {
			if t.phase != phaseDecode {
				n += t.PromptTokens - t.stateTokens
			}
		}
	}
	return n
}

// blocksFor returns the number of blocks that the given number of tokens takes.
func (s *Server) blocksFor(tokens int) int {
	return (tokens + s.Memory.BlockTokens - 1) / s.Memory.BlockTokens
}

// Enqueue adds work to the queue. It returns ErrExceedsMemory if the work can never run, and ErrQueueFull if the
// queue is full.
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

// StateFetched records that the state of a task has arrived. Its decode starts with the next step. StateFetched
// returns false if the task does not wait for a state.
func (s *Server) StateFetched(id ID) bool {
	t := s.byID[id]
	if t == nil || t.phase != phaseFetching {
		return false
	}
	t.phase, t.stateTokens = phaseDecode, t.PromptTokens
	s.publishBlocks(t, t.PromptTokens)
	return true
}

// publishBlocks lets other tasks share the full blocks within the first tokens of a prompt.
func (s *Server) publishBlocks(t *task, tokens int) {
	for i := range min(tokens/s.Memory.BlockTokens, len(t.Blocks)) {
		s.Memory.SetContent(t.blocks[i], t.Blocks[i])
	}
}

// Remove removes work in any phase: the client has canceled it, or its held state was fetched or is no longer needed.
// It returns false if there is no work with this ID.
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
