package batchscheduler

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
)

// recordedSeeds is the number of random sequences whose decisions are recorded.
const recordedSeeds = 8

// recordedDecisions holds the digests of randomDecisions, indexed by seed. A change of decisions replaces them in the
// same commit.
var recordedDecisions = []uint64{
	0x5df131716b0301d5,
	0x97226e5a311eb39d,
	0x62bf9c8c9516a256,
	0x349dd4dae39028d1,
	0x36cff97aa8fdf38f,
	0xdd41c668fe57555,
	0x588d4e4ed88adcb0,
	0xbddb01b41121da8b,
}

// randomDecisions returns a digest of a scheduler's decisions in a random sequence of calls.
func randomDecisions(t *testing.T, seed uint64) uint64 {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 17))
	s, err := New([]float64{1, 2.5, 0.3}, second/10, 12, rng.Float64)
	if err != nil {
		t.Fatal(err)
	}
	digest := fnv.New64a()
	record := func(values ...any) { fmt.Fprintln(digest, values...) }
	effects := []Idempotency{Idempotent, Deduplicated, NonIdempotent}
	type sentLine struct {
		id    BatchID
		index LineIndex
	}
	var sent []sentLine
	now, lastID := Nanos(1), BatchID(0)
	for range 6000 {
		now += rng.Int64N(second / 20)
		switch action := rng.IntN(40); {
		case action == 0 && lastID < 30:
			lastID++
			lines := make([]LineSpec, rng.IntN(120))
			for i := range lines {
				lines[i] = LineSpec{
					Cost: float64(rng.IntN(5000)), PrefixGroup: uint64(rng.IntN(6)), State: LineState(rng.IntN(4) & 2),
				}
			}
			record("add", s.AddBatch(Batch{
				ID: (lastID * 7) % 31, Tenant: rng.IntN(3), Idempotency: effects[rng.IntN(3)], DeduplicationWindow: 3 * second,
				Deadline: now + rng.Int64N(200*second), Lines: lines,
			}) == nil)
		case action == 1:
			s.StopBatch(BatchID(rng.IntN(31)))
		case action == 2:
			id := BatchID(rng.IntN(31))
			unsent, ended := s.UnsentLines(id)
			record("unsent", unsent, ended)
			if ended {
				s.RemoveBatch(id)
			}
		case action < 6:
			id, ok := s.ExpireNext(now)
			record("expire", id, ok)
		case action < 9:
			at, ok := s.Forecast(now, BatchID(rng.IntN(31)))
			record("forecast", at, ok)
		case action < 25:
			id, index, ok := s.ExpireNextLine(now)
			record("expire line", id, index, ok)
			id, index, ok = s.NextLine(now)
			record("next", id, index, ok)
			if ok {
				sent = append(sent, sentLine{id, index})
			}
			at, ok := s.NextEventAt(now)
			record("event", at, ok)
		case len(sent) > 0:
			i := rng.IntN(len(sent))
			line := sent[i]
			sent = append(sent[:i], sent[i+1:]...)
			outcome, retryAfter := OutcomeServed+Outcome(rng.IntN(5)), rng.Int64N(second)*rng.Int64N(2)
			verdict, reason := s.ReportOutcome(now, line.id, line.index, outcome, retryAfter)
			record("outcome", uint8(verdict), reason)
		}
	}
	return digest.Sum64()
}

// TestRecordedDecisions checks that the scheduler still takes the recorded decisions.
func TestRecordedDecisions(t *testing.T) {
	if len(recordedDecisions) != recordedSeeds {
		t.Errorf("%d digests are recorded, want %d", len(recordedDecisions), recordedSeeds)
	}
	for seed, want := range recordedDecisions {
		if got := randomDecisions(t, uint64(seed)); got != want {
			t.Errorf("seed %d: digest %#x, want %#x", seed, got, want)
		}
	}
}
