package batchmodel

// BeginStep starts a step if any task can proceed. It returns the duration of the step, and events with a NeedsFetch
// event appended for each state to fetch. It returns false if a step is already running or no task can proceed.
func (s *Server) BeginStep(events []Event) (Nanos, []Event, bool) {
	if s.inStep {
		return 0, events, false
	}
	events = s.fillSlots(events)
	promptTokens, contextTokens := s.composeStep()
	if promptTokens == 0 && len(s.decoding) == 0 {
		return 0, events, false
	}
	s.inStep = true
	s.Counts.Steps++
	duration := s.shape.StepTime +
		Nanos(promptTokens)*s.shape.TimePerPromptToken +
		Nanos(len(s.decoding))*s.shape.TimePerAnswer +
		Nanos(contextTokens)*s.shape.TimePer1kContext/1000
	return duration, events, true
}

// fillSlots assigns free slots to queued tasks in order, as long as there is enough memory. A task that does not fit
// blocks those behind it.
func (s *Server) fillSlots(events []Event) []Event {
	for len(s.queue) > 0 && len(s.running) < s.shape.Slots {
		t := s.queue[0]
		// Memory for the prompt and the next token of the answer: with less, the task would be preempted immediately.
		need := s.blocksFor(t.PromptTokens + t.decodedTokens + min(t.AnswerTokens-t.decodedTokens, 1))
		fetches := t.FetchState && t.decodedTokens == 0
		chain := t.Blocks
		if fetches {
			chain = nil // the complete state is fetched, including cached blocks
		}
		blocks, cached, ok := s.Memory.Allocate(t.blocks[:0], chain, need)
		if !ok {
			break
		}
		s.queue = s.queue[1:]
		t.blocks = blocks
		t.stateTokens = min(cached*s.Memory.BlockTokens, t.PromptTokens-1) // the last token is always computed
		t.cachedTokens = t.stateTokens
		t.phase = phasePrefill
		if fetches {
			t.phase = phaseFetching
			events = append(events, Event{Kind: NeedsFetch, ID: t.ID})
		}
		s.running = append(s.running, t)
	}
	return events
}

// composeStep selects the chunks of prompts and the answers for the next step. It returns the total of the chunks and
// of the answers' context tokens.
func (s *Server) composeStep() (promptTokens, contextTokens int) {
	clear(s.chunks)
	s.decoding = s.decoding[:0]
	budget := s.shape.MaxChunkTokens
	for _, t := range s.running {
		switch t.phase {
		case phaseDecode:
			s.decoding = append(s.decoding, t)
			contextTokens += t.PromptTokens + t.decodedTokens
		case phasePrefill:
			// Tokens decoded before a preemption are prefilled again together with the prompt.
			if n := min(budget, t.PromptTokens+t.decodedTokens-t.stateTokens); n > 0 {
				s.chunks[t] = n
				budget -= n
				promptTokens += n
			}
		case phaseQueued, phaseFetching, phaseHeld:
		}
	}
	return promptTokens, contextTokens
}

// EndStep ends the step started by BeginStep and returns events with the results of the step appended.
func (s *Server) EndStep(events []Event) []Event {
	if !s.inStep {
		return events
	}
	s.inStep = false
	for _, t := range s.decoding {
		events = s.decodeToken(t, events)
	}
	return s.endPrefill(events)
}

// decodeToken adds a token to an answer, unless the task was preempted or removed during the step.
func (s *Server) decodeToken(t *task, events []Event) []Event {
	if t.phase != phaseDecode || s.byID[t.ID] != t {
		return events
	}
	events = s.growBlocks(t, events)
	if t.phase != phaseDecode {
		return events
	}
	events = append(events, Event{Kind: Token, ID: t.ID, Value: t.decodedTokens})
	t.decodedTokens++
	s.Counts.DecodedTokens++
	if t.decodedTokens == t.AnswerTokens {
		events = append(events, Event{Kind: AnswerDone, ID: t.ID})
		s.remove(t)
	}
	return events
}

// growBlocks allocates memory for the next token of an answer. It preempts the newest answers, possibly including this
// one, until there is enough.
func (s *Server) growBlocks(t *task, events []Event) []Event {
	for t.phase == phaseDecode && s.blocksFor(t.PromptTokens+t.decodedTokens+1) > len(t.blocks) {
		if blocks, _, ok := s.Memory.Allocate(t.blocks, nil, 1); ok {
			t.blocks = blocks
			continue
		}
		events = s.preempt(s.newestDecoding(), events)
	}
	return events
}

// newestDecoding returns the answer that arrived last, whose preemption wastes the least work.
func (s *Server) newestDecoding() *task {
	var newest *task
	for _, t := range s.running {
		if t.phase == phaseDecode && (newest == nil || t.sequence > newest.sequence) {
			newest = t
		}
	}
	return newest
}

// preempt moves an answer to the head of the queue and releases its memory.
func (s *Server) preempt(t *task, events []Event) []Event {
	s.Memory.Release(t.blocks)
	t.blocks, t.phase, t.stateTokens = t.blocks[:0], phaseQueued, 0
	s.running = deleteTask(s.running, t)
	s.queue = append([]*task{t}, s.queue...)
	s.Counts.Preemptions++
	return append(events, Event{Kind: Preempted, ID: t.ID})
}

// endPrefill records the chunks of the step. A complete prefill either continues with its decode or leaves its slot.
func (s *Server) endPrefill(events []Event) []Event {
	running := s.running[:0]
	for _, t := range s.running {
		if n := s.chunks[t]; n > 0 && t.phase == phasePrefill {
			events = s.endChunk(t, n, events)
		}
		if t.phase == phaseHeld {
			s.held[t.ID] = t
			continue
		}
		running = append(running, t)
	}
	s.running = running
	return events
}

// endChunk records that a step has prefilled the next n tokens of a prompt.
func (s *Server) endChunk(t *task, n int, events []Event) []Event {
	t.stateTokens += n
	s.Counts.PrefilledTokens += uint64(n)
	s.publishBlocks(t, t.stateTokens)
	if t.stateTokens < t.PromptTokens+t.decodedTokens {
		return events
	}
	s.Counts.CachedTokens += uint64(t.cachedTokens)
	if t.decodedTokens == 0 {
		events = append(events, Event{Kind: PrefillDone, ID: t.ID, Value: t.PromptTokens - t.cachedTokens})
	}
	if t.AnswerTokens > 0 {
		t.phase = phaseDecode
	} else {
		t.phase = phaseHeld
	}
	return events
}
