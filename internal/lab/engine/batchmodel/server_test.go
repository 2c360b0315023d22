package batchmodel

import (
	"testing"

	"pgregory.net/rapid"
)

var testShape = Shape{
	Slots: 4, Queue: 8, MaxChunkTokens: 512,
	StepTime: 10e6, TimePerPromptToken: 50e3, TimePerAnswer: 100e3, TimePer1kContext: 80e3,
}

func newTestServer(t *testing.T, tokens int) *Server {
	t.Helper()
	s, err := NewServer(testShape, tokens, 16)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// chainOf returns the hashes of a prompt whose blocks all have the same key.
func chainOf(key uint64, tokens int) []BlockHash {
	var c []BlockHash
	h := BlockHash(0)
	for range tokens / 16 {
		h = ChainHash(h, key)
		c = append(c, h)
	}
	return c
}

// runSteps runs up to maxSteps steps while there is work, and returns the events and the total duration.
func runSteps(server *Server, maxSteps int) ([]Event, Nanos) {
	var all, events []Event
	total := Nanos(0)
	for range maxSteps {
		var took Nanos
		var ok bool
		took, events, ok = server.BeginStep(events[:0])
		all = append(all, events...)
		if !ok {
			return all, total
		}
		total += took
		all = append(all, server.EndStep(nil)...)
	}
	return all, total
}

// TestStepTimes checks the durations of steps, for one prompt and for a batch of answers.
func TestStepTimes(t *testing.T) {
	server := newTestServer(t, 1<<16)
	if err := server.Enqueue(Work{ID: 1, PromptTokens: 1000}); err != nil {
		t.Fatal(err)
	}
	events, took := runSteps(server, 100)
	if want := 2*testShape.StepTime + 1000*testShape.TimePerPromptToken; took != want ||
		len(events) != 1 || events[0] != (Event{Kind: PrefillDone, ID: 1, Value: 1000}) {
		t.Errorf("1,000 tokens in chunks of 512 took %d with %v, want %d", took, events, want)
	}
	if server.HeldStates() != 1 || server.Memory.InUse() != 63 {
		t.Errorf("%d held in %d blocks, want 1 in 63", server.HeldStates(), server.Memory.InUse())
	}
	server.Remove(1)
	for i := range 2 {
		if err := server.Enqueue(Work{ID: ID(2 + i), PromptTokens: 160, AnswerTokens: 10, FetchState: true}); err != nil {
			t.Fatal(err)
		}
	}
	_, events, ok := server.BeginStep(nil)
	if ok || len(events) != 2 || events[0].Kind != NeedsFetch {
		t.Fatalf("%v, step %v: want two states to fetch and no step before they arrive", events, ok)
	}
	server.StateFetched(2)
	server.StateFetched(3)
	events, took = runSteps(server, 100)
	context := Nanos(0)
	for i := range Nanos(10) {
		context += 2 * (160 + i) * testShape.TimePer1kContext / 1000
	}
	want := 10*(testShape.StepTime+2*testShape.TimePerAnswer) + context
	if took < want-10 || took > want+10 || len(events) != 22 {
		t.Errorf("two answers of 10 took %d with %d events, want %d with 22", took, len(events), want)
	}
	if server.Memory.InUse() != 0 {
		t.Errorf("%d blocks in use at the end, want none", server.Memory.InUse())
	}
}

// TestCachedPrefixIsNotPrefilledAgain checks that only the last token of a cached prompt is prefilled again.
func TestCachedPrefixIsNotPrefilledAgain(t *testing.T) {
	server := newTestServer(t, 1<<16)
	for i := range 3 {
		if err := server.Enqueue(Work{ID: ID(i + 1), PromptTokens: 512, Blocks: chainOf(9, 512)}); err != nil {
			t.Fatal(err)
		}
		events, _ := runSteps(server, 100)
		want := 512
		if i > 0 {
			want = 1
		}
		if len(events) != 1 || events[0].Value != want {
			t.Errorf("prompt %d: %v, want %d tokens prefilled", i, events, want)
		}
		server.Remove(ID(i + 1))
	}
}

// TestPreemption checks that, when memory runs out, the newest answers are preempted and each token is still sent
// once.
func TestPreemption(t *testing.T) {
	server := newTestServer(t, 16*16)
	for i := range 3 {
		if err := server.Enqueue(Work{ID: ID(i + 1), PromptTokens: 64, AnswerTokens: 60}); err != nil {
			t.Fatal(err)
		}
	}
	events, _ := runSteps(server, 1000)
	next, done, preempted := map[ID]int{}, 0, 0
	for _, e := range events {
		switch e.Kind {
		case Token:
			if e.Value != next[e.ID] {
				t.Fatalf("token %d of %d, want %d", e.Value, e.ID, next[e.ID])
			}
			next[e.ID]++
		case AnswerDone:
			done++
		case Preempted:
			preempted++
			if e.ID == 1 {
				t.Error("the oldest answer was preempted")
			}
		case NeedsFetch, PrefillDone:
		}
	}
	if done != 3 || preempted == 0 || next[1]+next[2]+next[3] != 180 {
		t.Errorf("%d answers done, %d preempted, tokens %v", done, preempted, next)
	}
}

// TestServerProperties checks, for random work, that no work is lost, that tokens come once and in order, that all
// memory is released, and that the queue is bounded.
func TestServerProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := testShape
		s.Slots = rapid.IntRange(1, 5).Draw(t, "slots")
		s.Queue = rapid.IntRange(0, 5).Draw(t, "queue")
		s.MaxChunkTokens = rapid.IntRange(1, 300).Draw(t, "chunk")
		server, err := NewServer(s, rapid.IntRange(8, 60).Draw(t, "blocks")*16, 16)
		if err != nil {
			t.Fatal(err)
		}
		pending, next := map[ID]Work{}, map[ID]int{}
		id := ID(0)
		handleEvents := func(events []Event) {
			for _, e := range events {
				w, ok := pending[e.ID]
				if !ok {
					t.Fatalf("event %v of unknown work", e)
				}
				switch e.Kind {
				case NeedsFetch:
					server.StateFetched(e.ID)
				case Token:
					if e.Value != next[e.ID] {
						t.Fatalf("token %d of %d, want %d", e.Value, e.ID, next[e.ID])
					}
					next[e.ID]++
				case AnswerDone:
					if next[e.ID] != w.AnswerTokens {
						t.Fatalf("answer done after %d of %d tokens", next[e.ID], w.AnswerTokens)
					}
					delete(pending, e.ID)
				case PrefillDone:
					if w.AnswerTokens == 0 {
						server.Remove(e.ID)
						delete(pending, e.ID)
					}
				case Preempted:
				}
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0, 1:
				id++
				prompt := rapid.IntRange(1, 120).Draw(t, "prompt")
				answer := rapid.IntRange(0, 40).Draw(t, "answer")
				blocks := chainOf(rapid.Uint64Range(1, 3).Draw(t, "key"), prompt)
				w := Work{ID: id, PromptTokens: prompt, AnswerTokens: answer, Blocks: blocks}
				w.FetchState = w.AnswerTokens > 0 && rapid.Bool().Draw(t, "fetch")
				if err := server.Enqueue(w); err == nil {
					pending[id] = w
				}
			case 2:
				_, events, ok := server.BeginStep(nil)
				handleEvents(events)
				if ok {
					handleEvents(server.EndStep(nil))
				}
			case 3:
				for id := range pending {
					server.Remove(id)
					delete(pending, id)
					break
				}
			}
			if server.Running() > s.Slots || server.Queued()+server.Running() > s.Slots+s.Queue {
				t.Fatalf("%d run and %d wait in %d slots and a queue of %d", server.Running(), server.Queued(), s.Slots, s.Queue)
			}
		}
		for range 20000 {
			_, events, ok := server.BeginStep(nil)
			handleEvents(events)
			if !ok && len(events) == 0 {
				break
			}
			if ok {
				handleEvents(server.EndStep(nil))
			}
		}
		if len(pending) > 0 || server.Memory.InUse() != 0 {
			t.Fatalf("%d tasks did not end, %d blocks in use", len(pending), server.Memory.InUse())
		}
	})
}
