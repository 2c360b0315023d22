package batchmodel

import (
	"testing"

	"pgregory.net/rapid"
)

var shape = Shape{Slots: 4, Queue: 8, MaxChunkTokens: 512, StepTime: 10e6, TimePerPromptToken: 50e3, TimePerAnswer: 100e3, TimePer1kContext: 80e3}

func newHost(t testing.TB, s Shape, tokens int) *Server {
	t.Helper()
	h, err := NewServer(s, tokens, 16)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func chainOf(key uint64, tokens int) []BlockHash {
	var c []BlockHash
	h := BlockHash(0)
	for range tokens / 16 {
		h = ChainHash(h, key)
		c = append(c, h)
	}
	return c
}

// run steps a host until nothing is left to do and gives events and time.
func run(h *Server, most int) ([]Event, Nanos) {
	var all, events []Event
	total := Nanos(0)
	for range most {
		var took Nanos
		var ok bool
		took, events, ok = h.BeginStep(events[:0])
		all = append(all, events...)
		if !ok {
			return all, total
		}
		total += took
		all = append(all, h.EndStep(nil)...)
	}
	return all, total
}

// TestTimes: a host takes as long as its shape says, for one prompt and for answers side by side.
func TestTimes(t *testing.T) {
	h := newHost(t, shape, 1<<16)
	if err := h.Enqueue(Work{ID: 1, PromptTokens: 1000}); err != nil {
		t.Fatal(err)
	}
	events, took := run(h, 100)
	if want := 2*shape.StepTime + 1000*shape.TimePerPromptToken; took != want || len(events) != 1 || events[0] != (Event{PrefillDone, 1, 1000}) {
		t.Errorf("1,000 tokens in chunks of 512 took %d with %v, want %d", took, events, want)
	}
	if h.HeldStates() != 1 || h.Memory.InUse() != 63 {
		t.Errorf("%d held in %d blocks, want 1 in 63", h.HeldStates(), h.Memory.InUse())
	}
	h.Remove(1)
	for i := range 2 {
		if err := h.Enqueue(Work{ID: ID(2 + i), PromptTokens: 160, AnswerTokens: 10, FetchState: true}); err != nil {
			t.Fatal(err)
		}
	}
	_, events, ok := h.BeginStep(nil)
	if ok || len(events) != 2 || events[0].Kind != NeedsFetch {
		t.Fatalf("%v, step %v: want two states to fetch and no step until they are there", events, ok)
	}
	h.StateFetched(2)
	h.StateFetched(3)
	events, took = run(h, 100)
	context := Nanos(0)
	for i := range Nanos(10) {
		context += 2 * (160 + i) * shape.TimePer1kContext / 1000
	}
	want := 10*(shape.StepTime+2*shape.TimePerAnswer) + context
	if took < want-10 || took > want+10 || len(events) != 22 {
		t.Errorf("two answers of 10 took %d with %d events, want %d with 22", took, len(events), want)
	}
	if h.Memory.InUse() != 0 {
		t.Errorf("%d blocks in use when all is done", h.Memory.InUse())
	}
}

// TestKeptBeginning: what is kept is not read again, but for the last token.
func TestKeptBeginning(t *testing.T) {
	h := newHost(t, shape, 1<<16)
	for i := range 3 {
		if err := h.Enqueue(Work{ID: ID(i + 1), PromptTokens: 512, Blocks: chainOf(9, 512)}); err != nil {
			t.Fatal(err)
		}
		events, _ := run(h, 100)
		want := 512
		if i > 0 {
			want = 1
		}
		if len(events) != 1 || events[0].N != want {
			t.Errorf("prompt %d: %v, want %d tokens read", i, events, want)
		}
		h.Remove(ID(i + 1))
	}
}

// TestPreemption: memory runs out in the middle of a batch; the newest answer goes back, is read anew, and every token
// still comes once.
func TestPreemption(t *testing.T) {
	h := newHost(t, shape, 16*16)
	for i := range 3 {
		if err := h.Enqueue(Work{ID: ID(i + 1), PromptTokens: 64, AnswerTokens: 60}); err != nil {
			t.Fatal(err)
		}
	}
	events, _ := run(h, 1000)
	next, done, preempted := map[ID]int{}, 0, 0
	for _, e := range events {
		switch e.Kind {
		case Token:
			if e.N != next[e.ID] {
				t.Fatalf("token %d of %d, want %d", e.N, e.ID, next[e.ID])
			}
			next[e.ID]++
		case AnswerDone:
			done++
		case Preempted:
			preempted++
			if e.ID == 1 {
				t.Error("the oldest answer was preempted")
			}
		}
	}
	if done != 3 || preempted == 0 || next[1]+next[2]+next[3] != 180 {
		t.Errorf("%d done, %d preempted, tokens %v", done, preempted, next)
	}
}

// TestHost plays random work: nothing is lost, tokens come once and in order, memory adds up, the queue is bounded.
func TestHost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := shape
		s.Slots, s.Queue, s.MaxChunkTokens = rapid.IntRange(1, 5).Draw(t, "slots"), rapid.IntRange(0, 5).Draw(t, "queue"), rapid.IntRange(1, 300).Draw(t, "chunk")
		h, err := NewServer(s, rapid.IntRange(8, 60).Draw(t, "blocks")*16, 16)
		if err != nil {
			t.Fatal(err)
		}
		here, next := map[ID]Work{}, map[ID]int{}
		id := ID(0)
		take := func(events []Event) {
			for _, e := range events {
				w, ok := here[e.ID]
				if !ok {
					t.Fatalf("%v of work that is not here", e)
				}
				switch e.Kind {
				case NeedsFetch:
					h.StateFetched(e.ID)
				case Token:
					if e.N != next[e.ID] {
						t.Fatalf("token %d of %d, want %d", e.N, e.ID, next[e.ID])
					}
					next[e.ID]++
				case AnswerDone:
					if next[e.ID] != w.AnswerTokens {
						t.Fatalf("done after %d of %d tokens", next[e.ID], w.AnswerTokens)
					}
					delete(here, e.ID)
				case PrefillDone:
					if w.AnswerTokens == 0 {
						h.Remove(e.ID)
						delete(here, e.ID)
					}
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0, 1:
				id++
				prompt := rapid.IntRange(1, 120).Draw(t, "prompt")
				w := Work{ID: id, PromptTokens: prompt, AnswerTokens: rapid.IntRange(0, 40).Draw(t, "answer"), Blocks: chainOf(rapid.Uint64Range(1, 3).Draw(t, "text"), prompt)}
				w.FetchState = w.AnswerTokens > 0 && rapid.Bool().Draw(t, "fetch")
				if err := h.Enqueue(w); err == nil {
					here[id] = w
				}
			case 2:
				_, events, ok := h.BeginStep(nil)
				take(events)
				if ok {
					take(h.EndStep(nil))
				}
			case 3:
				for id := range here {
					h.Remove(id)
					delete(here, id)
					break
				}
			}
			if h.Running() > s.Slots || h.Queued()+h.Running() > s.Slots+s.Queue {
				t.Fatalf("%d run and %d wait in %d slots and a queue of %d", h.Running(), h.Queued(), s.Slots, s.Queue)
			}
		}
		for range 20000 {
			_, events, ok := h.BeginStep(nil)
			take(events)
			if !ok && len(events) == 0 {
				break
			}
			if ok {
				take(h.EndStep(nil))
			}
		}
		if len(here) > 0 || h.Memory.InUse() != 0 {
			t.Fatalf("%d left over, %d blocks in use", len(here), h.Memory.InUse())
		}
	})
}
