package batchstore

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"

	"docksail/internal/decide/batchscheduler"
)

// The tests of this file check concurrent histories of one batch, whose lines are ended and whose counts are read by
// many clients at once, against a sequential model: only the first result of a line counts.

// operation is a call of RecordResult or Batch.
type operation struct {
	kind      string // end, look
	line      int
	completed bool
}

// counts are the counts that Batch returned.
type counts struct{ completed, failed int }

const lineCount = 6

func history(t *testing.T, call func(s *Store, id string, o operation) (counts, error)) []porcupine.Operation {
	t.Helper()
	s := openStore(t, t.TempDir())
	defer s.Close()
	b := createBatch(t, s, lineCount)
	var mu sync.Mutex
	var ops []porcupine.Operation
	var wg sync.WaitGroup
	begin := time.Now()
	for client := range 6 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(client)))
			for range 12 {
				o := operation{"look", 0, false}
				if rng.IntN(2) == 0 {
					o = operation{"end", rng.IntN(lineCount), rng.IntN(2) == 0}
				}
				from := time.Since(begin)
				got, err := call(s, b.ID, o)
				to := time.Since(begin)
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{
					ClientId: client, Input: o, Call: int64(from), Output: got, Return: int64(to),
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return ops
}

// model has for each line '.', 'd' or 'l'.
var model = porcupine.Model{
	Init: func() any { return strings.Repeat(".", lineCount) },
	Step: func(state, input, output any) (bool, any) {
		lines, o := state.(string), input.(operation)
		if o.kind == "end" {
			if lines[o.line] == '.' {
				how := "l"
				if o.completed {
					how = "d"
				}
				lines = lines[:o.line] + how + lines[o.line+1:]
			}
			return true, lines
		}
		return output.(counts) == counts{strings.Count(lines, "d"), strings.Count(lines, "l")}, lines
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, out) },
}

func callStore(s *Store, id string, o operation) (counts, error) {
	if o.kind == "end" {
		return counts{}, s.RecordResult(id, batchscheduler.LineIndex(o.line), resultKind(o.completed), []byte("{}"))
	}
	b, err := s.Batch("a", id)
	return counts{b.CompletedLines, b.FailedLines}, err
}

// TestLinearizable checks concurrent histories of the store against the model. It also checks the checker: of a store
// that counts every result of a line, and of one that returns old counts, it must find that they are not linearizable.
func TestLinearizable(t *testing.T) {
	for range 5 {
		if !porcupine.CheckOperations(model, history(t, callStore)) {
			t.Error("a history of the store is not linearizable")
		}
	}
	var mu sync.Mutex
	results := map[int]int{}
	old := counts{}
	for name, call := range map[string]func(s *Store, id string, o operation) (counts, error){
		"every end counts": func(s *Store, id string, o operation) (counts, error) {
			got, err := callStore(s, id, o)
			mu.Lock()
			defer mu.Unlock()
			if o.kind == "end" {
				results[o.line]++
			}
			for _, n := range results {
				got.completed += n - 1
			}
			return got, err
		},
		"looks are old": func(s *Store, id string, o operation) (counts, error) {
			got, err := callStore(s, id, o)
			mu.Lock()
			defer mu.Unlock()
			if o.kind == "look" {
				got, old = old, got
			}
			return got, err
		},
	} {
		if porcupine.CheckOperations(model, history(t, call)) {
			t.Errorf("%s: the checker takes the history for linearizable", name)
		}
	}
}

// TestFullDisk checks that a batch stays in StateFinalizing while the disk is full, and can be finalized afterwards.
func TestFullDisk(t *testing.T) {
	s := openStore(t, t.TempDir())
	defer s.Close()
	b := createBatch(t, s, 3)
	for n := range 3 {
		text := fmt.Appendf(nil, `{"n":%d}`, n)
		if err := s.RecordResult(b.ID, batchscheduler.LineIndex(n), resultKind(n > 0), text); err != nil {
			t.Fatal(err)
		}
	}
	b, err := s.TransitionBatch(b.ID, batchscheduler.StateFinalizing, func(b *Batch) {
		b.FinalState = batchscheduler.StateExpired
	})
	if err != nil {
		t.Fatal(err)
	}
	full := errors.New("no space left on device")
	s.reach = func(at failpoint) error {
		if at == afterContentWritten {
			return full
		}
		return nil
	}
	used := s.usedBytes["a"]
	if _, err := s.FinalizeBatch(t0, b); !errors.Is(err, full) {
		t.Errorf("%v, want that the disk is full", err)
	}
	if again, _ := s.Batch("a", b.ID); again.State != batchscheduler.StateFinalizing || s.usedBytes["a"] != used {
		t.Errorf("%v, %d bytes used, want finalizing and %d", again.State, s.usedBytes["a"], used)
	}
	s.reach = func(failpoint) error { return nil }
	b, err = s.FinalizeBatch(t0, b)
	if err != nil || b.State != batchscheduler.StateExpired || b.OutputFileID == "" || b.ErrorFileID == "" {
		t.Errorf("%+v, %v", b, err)
	}
}
