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

// The operations of this file are those of concurrent clients that record results of one batch and read its counts. In
// the sequential model, only the first result of a line counts.

// operation is a call of RecordResult ("record") or Batch ("read").
type operation struct {
	kind      string
	line      int
	completed bool
}

// counts are the counts that Batch returned.
type counts struct{ completed, failed int }

const lineCount = 6

// history returns the operations of concurrent clients on a new store. It makes them with call.
func history(t *testing.T, call func(s *Store, id string, o operation) (counts, error)) []porcupine.Operation {
	t.Helper()
	s := openStore(t, t.TempDir())
	defer s.Close()
	b := createBatch(t, s, lineCount)
	var mu sync.Mutex
	var ops []porcupine.Operation
	var wg sync.WaitGroup
	startedAt := time.Now()
	for client := range 6 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(7, uint64(client)))
			for range 12 {
				o := operation{"read", 0, false}
				if rng.IntN(2) == 0 {
					o = operation{"record", rng.IntN(lineCount), rng.IntN(2) == 0}
				}
				callTime := time.Since(startedAt)
				got, err := call(s, b.ID, o)
				returnTime := time.Since(startedAt)
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{
					ClientId: client, Input: o, Call: int64(callTime), Output: got, Return: int64(returnTime),
				})
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return ops
}

// model is the sequential specification. Its state has one character per line: '.' without a result, 'c' completed,
// 'f' failed.
var model = porcupine.Model{
	Init: func() any { return strings.Repeat(".", lineCount) },
	Step: func(state, input, output any) (bool, any) {
		lines, o := state.(string), input.(operation)
		if o.kind == "record" {
			if lines[o.line] == '.' {
				result := "f"
				if o.completed {
					result = "c"
				}
				lines = lines[:o.line] + result + lines[o.line+1:]
			}
			return true, lines
		}
		return output.(counts) == counts{strings.Count(lines, "c"), strings.Count(lines, "f")}, lines
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, out) },
}

// callStore makes an operation on a store.
func callStore(s *Store, id string, o operation) (counts, error) {
	if o.kind == "record" {
		return counts{}, s.RecordResult(id, batchscheduler.LineIndex(o.line), resultKind(o.completed), []byte("{}"))
	}
	b, err := s.Batch("a", id)
	return counts{b.CompletedLines, b.FailedLines}, err
}

// TestLinearizable checks that histories of the store are linearizable, and that the checker rejects histories of a
// store that counts every result of a line and of one that returns stale counts.
func TestLinearizable(t *testing.T) {
	for range 5 {
		if !porcupine.CheckOperations(model, history(t, callStore)) {
			t.Error("a history of the store is not linearizable")
		}
	}
	var mu sync.Mutex
	resultsByLine := map[int]int{}
	stale := counts{}
	for name, call := range map[string]func(s *Store, id string, o operation) (counts, error){
		"every result counts": func(s *Store, id string, o operation) (counts, error) {
			got, err := callStore(s, id, o)
			mu.Lock()
			defer mu.Unlock()
			if o.kind == "record" {
				resultsByLine[o.line]++
			}
			for _, n := range resultsByLine {
				got.completed += n - 1
			}
			return got, err
		},
		"reads are stale": func(s *Store, id string, o operation) (counts, error) {
			got, err := callStore(s, id, o)
			mu.Lock()
			defer mu.Unlock()
			if o.kind == "read" {
				got, stale = stale, got
			}
			return got, err
		},
	} {
		if porcupine.CheckOperations(model, history(t, call)) {
			t.Errorf("%s: the checker accepts the history as linearizable", name)
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
	errDiskFull := errors.New("no space left on device")
	s.atFailpoint = func(at failpoint) error {
		if at == afterContentWritten {
			return errDiskFull
		}
		return nil
	}
	used := s.usedBytes["a"]
	if _, err := s.FinalizeBatch(t0, b); !errors.Is(err, errDiskFull) {
		t.Errorf("finalized with error %v, want the error of a full disk", err)
	}
	if again, _ := s.Batch("a", b.ID); again.State != batchscheduler.StateFinalizing || s.usedBytes["a"] != used {
		t.Errorf("%v, %d bytes used, want finalizing and %d", again.State, s.usedBytes["a"], used)
	}
	s.atFailpoint = func(failpoint) error { return nil }
	b, err = s.FinalizeBatch(t0, b)
	if err != nil || b.State != batchscheduler.StateExpired || b.OutputFileID == "" || b.ErrorFileID == "" {
		t.Errorf("%+v, %v", b, err)
	}
}
