package batchstore

import (
	"docksail/internal/decide/batchscheduler"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
)

// Concurrent histories of one batch: its lines are ended, marked and looked at by many at once. Each is checked against
// a plain model: of the ends of a line the first counts, and what is counted is what has ended.

type op struct {
	what string // end, look
	n    int
	done bool
}

type seen struct{ done, lost int }

const linearLines = 6

func history(t *testing.T, call func(s *Store, id string, o op) (seen, error)) []porcupine.Operation {
	t.Helper()
	s := openStore(t, t.TempDir())
	defer s.Close()
	b := begun(t, s, linearLines)
	var mu sync.Mutex
	var ops []porcupine.Operation
	var wg sync.WaitGroup
	begin := time.Now()
	for client := range 6 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			rng := rand.New(rand.NewPCG(7, uint64(client)))
			for range 12 {
				o := op{"look", 0, false}
				if rng.IntN(2) == 0 {
					o = op{"end", rng.IntN(linearLines), rng.IntN(2) == 0}
				}
				from := time.Since(begin)
				got, err := call(s, b.ID, o)
				to := time.Since(begin)
				if err != nil {
					t.Error(err)
				}
				mu.Lock()
				ops = append(ops, porcupine.Operation{ClientId: client, Input: o, Call: int64(from), Output: got, Return: int64(to)})
				mu.Unlock()
			}
		}()
	}
	wg.Wait()
	return ops
}

// model has for each line '.', 'd' or 'l'.
var model = porcupine.Model{
	Init: func() any { return strings.Repeat(".", linearLines) },
	Step: func(state, input, output any) (bool, any) {
		lines, o := state.(string), input.(op)
		if o.what == "end" {
			if lines[o.n] == '.' {
				how := "l"
				if o.done {
					how = "d"
				}
				lines = lines[:o.n] + how + lines[o.n+1:]
			}
			return true, lines
		}
		return output.(seen) == seen{strings.Count(lines, "d"), strings.Count(lines, "l")}, lines
	},
	Equal:             func(a, b any) bool { return a == b },
	DescribeOperation: func(in, out any) string { return fmt.Sprint(in, out) },
}

func plainly(s *Store, id string, o op) (seen, error) {
	if o.what == "end" {
		return seen{}, s.RecordResult(id, batchscheduler.LineIndex(o.n), resultKind(o.done), []byte("{}"))
	}
	b, err := s.Batch("a", id)
	return seen{b.CompletedLines, b.FailedLines}, err
}

// TestLinearizable: what the store shows many at once could have come one after another; of a store that counts each end
// of a line, and of one that shows what it saw some time ago, the checker says that it could not.
func TestLinearizable(t *testing.T) {
	for range 5 {
		if !porcupine.CheckOperations(model, history(t, plainly)) {
			t.Error("a history that no order explains")
		}
	}
	var mu sync.Mutex
	twice := map[int]int{}
	old := seen{}
	for name, call := range map[string]func(s *Store, id string, o op) (seen, error){
		"every end counts": func(s *Store, id string, o op) (seen, error) {
			got, err := plainly(s, id, o)
			mu.Lock()
			defer mu.Unlock()
			if o.what == "end" {
				twice[o.n]++
			}
			for _, n := range twice {
				got.done += n - 1
			}
			return got, err
		},
		"looks are old": func(s *Store, id string, o op) (seen, error) {
			got, err := plainly(s, id, o)
			mu.Lock()
			defer mu.Unlock()
			if o.what == "look" {
				got, old = old, got
			}
			return got, err
		},
	} {
		if porcupine.CheckOperations(model, history(t, call)) {
			t.Errorf("%s, and the checker finds nothing", name)
		}
	}
}

// TestFullDisk: a disk that is full while files are written leaves the batch finalizing; when there is room it ends.
func TestFullDisk(t *testing.T) {
	s := openStore(t, t.TempDir())
	defer s.Close()
	b := begun(t, s, 3)
	for n := range 3 {
		if err := s.RecordResult(b.ID, batchscheduler.LineIndex(n), resultKind(n > 0), fmt.Appendf(nil, `{"n":%d}`, n)); err != nil {
			t.Fatal(err)
		}
	}
	b, err := s.TransitionBatch(b.ID, batchscheduler.StateFinalizing, func(b *Batch) { b.FinalState = batchscheduler.StateExpired })
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
	if b, err = s.FinalizeBatch(t0, b); err != nil || b.State != batchscheduler.StateExpired || b.OutputFileID == "" || b.ErrorFileID == "" {
		t.Errorf("%+v, %v", b, err)
	}
}
