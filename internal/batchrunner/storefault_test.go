package batchrunner

import (
	"errors"
	"strings"
	"sync"
	"testing"
	"time"

	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
)

// failingStore is a lineStore whose next writes of results fail, as on a full disk.
type failingStore struct {
	lineStore
	mu       sync.Mutex
	failures int // writes that still fail
}

var errDiskFull = errors.New("no space left on device")

// fails counts a write and reports whether it fails.
func (s *failingStore) fails() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures--
	return s.failures >= 0
}

// RecordResult implements lineStore.
func (s *failingStore) RecordResult(
	batchID string, index batchscheduler.LineIndex, kind batchstore.ResultKind, text []byte,
) error {
	if s.fails() {
		return errDiskFull
	}
	return s.lineStore.RecordResult(batchID, index, kind, text)
}

// TestResultIsStoredLater guards against a result that is lost because it could not be stored at once: of an answer,
// which was told as one that may have run or asked for again, and of a failure, whose line was in neither file.
func TestResultIsStoredLater(t *testing.T) {
	for _, c := range []struct{ model, prompt, want string }{
		{"draft", "served", `"response":{"status_code":200`},
		{"labelled", "served", `"response":{"status_code":200`},
		{"book", "served", `"response":{"status_code":200`},
		{"book", "lost", `"code":"may_have_run"`},
		{"book", "invalid", `"code":"invalid_request"`},
	} {
		t.Run(c.model+" "+c.prompt, func(t *testing.T) {
			f := newIdleFixture(t, t.TempDir())
			f.runner.lines = &failingStore{lineStore: f.store, failures: 1}
			f.run()
			b := f.submit(line("one", c.model, c.prompt, ""), time.Hour)
			text := f.describe(f.waitFor(b.ID, isTerminal))
			if n := f.dispatcher.attemptCount(b.ID + "/one"); n != 1 || !strings.Contains(text, c.want) {
				t.Errorf("the line was sent %d times, want once and %s: %s", n, c.want, text)
			}
		})
	}
}
