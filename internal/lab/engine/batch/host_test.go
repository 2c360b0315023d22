package batch

import (
	"testing"

	"pgregory.net/rapid"
)

var shape = Shape{Slots: 4, Queue: 8, Chunk: 512, Step: 10e6, PerRead: 50e3, PerRun: 100e3, PerThing: 80e3}

func newHost(t testing.TB, s Shape, tokens int) *Host {
	t.Helper()
	h, err := NewHost(s, tokens, 16)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

func chainOf(key uint64, tokens int) []Hash {
	var c []Hash
	h := Hash(0)
	for range tokens / 16 {
		h = Chain(h, key)
		c = append(c, h)
	}
	return c
}

// run steps a host until nothing is left to do and gives events and time.
func run(h *Host, most int) ([]Event, Nanos) {
	var all, events []Event
	total := Nanos(0)
	for range most {
		var took Nanos
		var ok bool
		took, events, ok = h.Begin(events[:0])
		all = append(all, events...)
		if !ok {
			return all, total
		}
		total += took
		all = append(all, h.End(nil)...)
	}
	return all, total
}

// TestTimes: a host takes as long as its shape says, for one prompt and for answers side by side.
func TestTimes(t *testing.T) {
	h := newHost(t, shape, 1<<16)
	if err := h.Arrive(Work{ID: 1, Prompt: 1000}); err != nil {
		t.Fatal(err)
	}
	events, took := run(h, 100)
	if want := 2*shape.Step + 1000*shape.PerRead; took != want || len(events) != 1 || events[0] != (Event{ReadDone, 1, 1000}) {
		t.Errorf("1,000 tokens in chunks of 512 took %d with %v, want %d", took, events, want)
	}
	if h.Held() != 1 || h.Memory.InUse() != 63 {
		t.Errorf("%d held in %d blocks, want 1 in 63", h.Held(), h.Memory.InUse())
	}
	h.Drop(1)
	for i := range 2 {
		if err := h.Arrive(Work{ID: ID(2 + i), Prompt: 160, Answer: 10, Fetch: true}); err != nil {
			t.Fatal(err)
		}
	}
	_, events, ok := h.Begin(nil)
	if ok || len(events) != 2 || events[0].What != NeedsFetch {
		t.Fatalf("%v, step %v: want two states to fetch and no step until they are there", events, ok)
	}
	h.Fetched(2)
	h.Fetched(3)
	events, took = run(h, 100)
	context := Nanos(0)
	for i := range Nanos(10) {
		context += 2 * (160 + i) * shape.PerThing / 1000
	}
	want := 10*(shape.Step+2*shape.PerRun) + context
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
		if err := h.Arrive(Work{ID: ID(i + 1), Prompt: 512, Chain: chainOf(9, 512)}); err != nil {
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
		h.Drop(ID(i + 1))
	}
}

// TestPreemption: memory runs out in the middle of a batch; the newest answer goes back, is read anew, and every token
// still comes once.
func TestPreemption(t *testing.T) {
	h := newHost(t, shape, 16*16)
	for i := range 3 {
		if err := h.Arrive(Work{ID: ID(i + 1), Prompt: 64, Answer: 60}); err != nil {
			t.Fatal(err)
		}
	}
	events, _ := run(h, 1000)
	next, done, preempted := map[ID]int{}, 0, 0
	for _, e := range events {
		switch e.What {
		case Token:
			if e.N != next[e.ID] {
				t.Fatalf("token %d of %d, want %d", e.N, e.ID, next[e.ID])
			}
			next[e.ID]++
		case Done:
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
		s.Slots, s.Queue, s.Chunk = rapid.IntRange(1, 5).Draw(t, "slots"), rapid.IntRange(0, 5).Draw(t, "queue"), rapid.IntRange(1, 300).Draw(t, "chunk")
		h, err := NewHost(s, rapid.IntRange(8, 60).Draw(t, "blocks")*16, 16)
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
				switch e.What {
				case NeedsFetch:
					h.Fetched(e.ID)
				case Token:
					if e.N != next[e.ID] {
						t.Fatalf("token %d of %d, want %d", e.N, e.ID, next[e.ID])
					}
					next[e.ID]++
				case Done:
					if next[e.ID] != w.Answer {
						t.Fatalf("done after %d of %d tokens", next[e.ID], w.Answer)
					}
					delete(here, e.ID)
				case ReadDone:
					if w.Answer == 0 {
						h.Drop(e.ID)
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
				w := Work{ID: id, Prompt: prompt, Answer: rapid.IntRange(0, 40).Draw(t, "answer"), Chain: chainOf(rapid.Uint64Range(1, 3).Draw(t, "text"), prompt)}
				w.Fetch = w.Answer > 0 && rapid.Bool().Draw(t, "fetch")
				if err := h.Arrive(w); err == nil {
					here[id] = w
				}
			case 2:
				_, events, ok := h.Begin(nil)
				take(events)
				if ok {
					take(h.End(nil))
				}
			case 3:
				for id := range here {
					h.Drop(id)
					delete(here, id)
					break
				}
			}
			if h.Running() > s.Slots || h.Queued()+h.Running() > s.Slots+s.Queue {
				t.Fatalf("%d run and %d wait in %d slots and a queue of %d", h.Running(), h.Queued(), s.Slots, s.Queue)
			}
		}
		for range 20000 {
			_, events, ok := h.Begin(nil)
			take(events)
			if !ok && len(events) == 0 {
				break
			}
			if ok {
				take(h.End(nil))
			}
		}
		if len(here) > 0 || h.Memory.InUse() != 0 {
			t.Fatalf("%d left over, %d blocks in use", len(here), h.Memory.InUse())
		}
	})
}
