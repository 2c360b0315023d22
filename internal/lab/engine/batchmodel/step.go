package batchmodel

// BeginStep starts a step if any task can go on. It returns how long the step takes, and events with the states that
// are to be fetched appended. It returns false if a step is running already or nothing can go on.
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

// fillSlots gives free slots to queued tasks in order, as far as memory allows. A task that does not fit holds back
// those behind it.
func (s *Server) fillSlots(events []Event) []Event {
	for len(s.queue) > 0 && len(s.running) < s.shape.Slots {
		t := s.queue[0]
		// Memory for the prompt and the first token of its answer: with less the task would be preempted at once.
		need := s.blocksFor(t.PromptTokens + t.decodedTokens + min(t.AnswerTokens-t.decodedTokens, 1))
		fetches := t.FetchState && t.decodedTokens == 0
		chain := t.Blocks
		if fetches {
			chain = nil // the complete state is fetched, also what is cached
		}
		blocks, cached, ok := s.Memory.Allocate(t.blocks[:0], chain, need)
		if !ok {
			break
		}
		s.queue = s.queue[1:]
		t.blocks = blocks
		t.readTokens = min(cached*s.Memory.BlockTokens, t.PromptTokens-1) // the last token is always read
		t.cachedTokens = t.readTokens
		t.phase = phasePrefill
		if fetches {
			t.phase = phaseFetching
			events = append(events, Event{Kind: NeedsFetch, ID: t.ID})
		}
		s.running = append(s.running, t)
	}
	return events
}

// composeStep chooses the chunks of prompts and the answers of the next step. It returns the sum of the chunks and
// the context tokens of the answers.
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
			// What was decoded before a preemption is read anew with the prompt.
			if n := min(budget, t.PromptTokens+t.decodedTokens-t.readTokens); n > 0 {
				s.chunks[t] = n
				budget -= n
				promptTokens += n
			}
		case phaseQueued, phaseFetching, phaseHeld:
		}
	}
	return promptTokens, contextTokens
}

// EndStep ends the step that BeginStep started and returns events with its results appended.
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

// decodeToken adds a token to an answer, unless it was preempted or removed during the step.
func (s *Server) decodeToken(t *task, events []Event) []Event {
	if t.phase != phaseDecode || s.byID[t.ID] != t {
		return events
	}
	events = s.growBlocks(t, events)
	if t.phase != phaseDecode {
		return events
	}
	events = append(events, Event{Kind: Token, ID: t.ID, N: t.decodedTokens})
	t.decodedTokens++
	s.Counts.DecodedTokens++
	if t.decodedTokens == t.AnswerTokens {
		events = append(events, Event{Kind: AnswerDone, ID: t.ID})
		s.remove(t)
	}
	return events
}

// growBlocks allocates memory for the next token of an answer. It preempts the newest answers until there is enough,
// which may include this one.
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

// newestDecoding returns the answer that arrived last: its preemption wastes least.
func (s *Server) newestDecoding() *task {
	var newest *task
	for _, t := range s.running {
		if t.phase == phaseDecode && (newest == nil || t.sequence > newest.sequence) {
			newest = t
		}
	}
	return newest
}

// preempt puts an answer back at the head of the queue and frees its memory.
func (s *Server) preempt(t *task, events []Event) []Event {
	s.Memory.Release(t.blocks)
	t.blocks, t.phase, t.readTokens = t.blocks[:0], phaseQueued, 0
	s.running = deleteTask(s.running, t)
	s.queue = append([]*task{t}, s.queue...)
	s.Counts.Preemptions++
	return append(events, Event{Kind: Preempted, ID: t.ID})
}

// endPrefill records the chunks of the step. Prompts that are complete leave their slot or go on with their answer.
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

// endChunk records that n more tokens of a prompt are read.
func (s *Server) endChunk(t *task, n int, events []Event) []Event {
	t.readTokens += n
	s.Counts.PrefilledTokens += uint64(n)
	s.publishBlocks(t, t.readTokens)
	if t.readTokens < t.PromptTokens+t.decodedTokens {
		return events
	}
	s.Counts.CachedTokens += uint64(t.cachedTokens)
	if t.decodedTokens == 0 {
		events = append(events, Event{Kind: PrefillDone, ID: t.ID, N: t.PromptTokens - t.cachedTokens})
	}
	if t.AnswerTokens > 0 {
		t.phase = phaseDecode
	} else {
		t.phase = phaseHeld
	}
	return events
}
