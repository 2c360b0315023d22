package batchstore

import (
	"fmt"
	"hash/crc32"
	"strings"
	"testing"
	"time"

	"docksail/internal/decide/batchscheduler"
)

// IDs in the sample store, which newID makes from sequentialBytes.
const (
	inputFileID       = "file-0102030405060708090a0b0c"
	deletedFileID     = "file-0d0e0f101112131415161718"
	runningBatchID    = "batch_25262728292a2b2c2d2e2f30"
	completedBatchID  = "batch_3132333435363738393a3b3c"
	expiredBatchID    = "batch_3d3e3f404142434445464748"
	failedBatchID     = "batch_494a4b4c4d4e4f5051525354"
	validatingBatchID = "batch_55565758595a5b5c5d5e5f60"
	cancelledBatchID  = "batch_6162636465666768696a6b6c"
)

// sequentialBytes is an ID source that returns the bytes 1, 2, 3 and so on.
type sequentialBytes byte

func (s *sequentialBytes) Read(p []byte) (int, error) {
	for i := range p {
		*s++
		p[i] = byte(*s)
	}
	return len(p), nil
}

// sampleTime returns the time that many seconds after the first upload of the sample store.
func sampleTime(seconds int64) time.Time { return time.Unix(1_700_000_000+seconds, 0) }

// sampleLines returns the text of the input file and its lines.
func sampleLines() (text string, lines []Line) {
	var b strings.Builder
	for i := range 6 {
		line := fmt.Sprintf(`{"custom_id":"größe-%d","method":"POST","url":"/v1/completions",`+
			`"body":{"model":"draft","prompt":"Plan %d","max_tokens":8}}`, i, i)
		lines = append(lines, Line{
			Offset: int64(b.Len()), Length: int32(len(line)), Checksum: crc32.ChecksumIEEE([]byte(line)),
			Cost: float32(100*i) + 0.5, PrefixGroup: uint64(i%3) << 60, CustomID: fmt.Sprint("größe-", i),
		})
		b.WriteString(line + "\n")
	}
	return b.String(), lines
}

// sampleMetadata is the metadata of every batch of the sample store.
var sampleMetadata = map[string]string{"season": "winter", "for": "a test"}

// sampleWriter makes the changes of the sample store and fails the test on the first error.
type sampleWriter struct {
	t     *testing.T
	store *Store
}

func (w *sampleWriter) check(err error) {
	w.t.Helper()
	if err != nil {
		w.t.Fatal(err)
	}
}

func (w *sampleWriter) upload(tenant, name string) File {
	w.t.Helper()
	text, _ := sampleLines()
	f, err := w.store.UploadFile(sampleTime(0), tenant, name, "batch", strings.NewReader(text), 1<<20)
	w.check(err)
	return f
}

func (w *sampleWriter) createBatch(tenant, input string, lineCount int) Batch {
	w.t.Helper()
	b, err := w.store.CreateBatch(sampleTime(10), Batch{
		Tenant: tenant, InputFileID: input, Endpoint: "/v1/completions", CompletionWindow: "24h", Metadata: sampleMetadata,
	}, 24*time.Hour)
	w.check(err)
	if lineCount == 0 {
		return b
	}
	_, lines := sampleLines()
	w.check(w.store.AddLines(b.ID, 0, lines[:lineCount]))
	b, err = w.store.TransitionBatch(b.ID, batchscheduler.StateInProgress, func(b *Batch) {
		b.TotalLines, b.InProgressUnix = lineCount, sampleTime(20).Unix()
	})
	w.check(err)
	return b
}

func (w *sampleWriter) recordResult(b Batch, n batchscheduler.LineIndex, completed bool) {
	w.t.Helper()
	text := fmt.Appendf(nil, `{"custom_id":"größe-%d","done":%v}`, n, completed)
	w.check(w.store.RecordResult(b.ID, n, resultKind(completed), text))
}

func (w *sampleWriter) beginFinalizing(b Batch, final batchscheduler.BatchState) Batch {
	w.t.Helper()
	b, err := w.store.TransitionBatch(b.ID, batchscheduler.StateFinalizing, func(b *Batch) {
		b.FinalState, b.FinalizingUnix = final, sampleTime(40).Unix()
	})
	w.check(err)
	return b
}

// writeSampleStore writes a store with the operations by which commit 61b72d4 wrote formatDir.
func writeSampleStore(t *testing.T, dir string) {
	t.Helper()
	s, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	s.idSource = new(sequentialBytes)
	w := &sampleWriter{t, s}
	input, other, removed := w.upload("a", "lines.jsonl"), w.upload("b", "other.jsonl"), w.upload("a", "removed.jsonl")
	w.check(s.DeleteFile("a", removed.ID))

	running := w.createBatch("a", input.ID, 6)
	w.check(s.SetLineState(running.ID, 1, batchscheduler.LineInFlight, Attempts{}))
	w.recordResult(running, 2, true)
	w.recordResult(running, 3, false)
	w.check(s.SetLineState(running.ID, 4, batchscheduler.LineInFlight, Attempts{}))
	w.check(s.SetLineState(running.ID, 4, batchscheduler.LineWaiting, Attempts{}))

	completed := w.createBatch("a", input.ID, 3)
	for n := range batchscheduler.LineIndex(3) {
		w.recordResult(completed, n, n != 1)
	}
	_, err = s.FinalizeBatch(sampleTime(50), w.beginFinalizing(completed, batchscheduler.StateCompleted))
	w.check(err)

	expired := w.createBatch("a", input.ID, 1)
	w.recordResult(expired, 0, false)
	_, err = s.FinalizeBatch(sampleTime(50), w.beginFinalizing(expired, batchscheduler.StateExpired))
	w.check(err)

	failed := w.createBatch("a", input.ID, 0)
	_, err = s.TransitionBatch(failed.ID, batchscheduler.StateFailed, func(b *Batch) {
		b.EndedUnix = sampleTime(30).Unix()
		b.ValidationErrors = sampleValidationErrors
	})
	w.check(err)

	w.createBatch("b", other.ID, 0) // stays validating

	cancelled := w.createBatch("b", other.ID, 4)
	w.recordResult(cancelled, 0, true)
	_, err = s.TransitionBatch(cancelled.ID, batchscheduler.StateCancelling, func(b *Batch) {
		b.CancellingUnix = sampleTime(35).Unix()
	})
	w.check(err)
	w.check(s.FailLines(cancelled.ID, []batchscheduler.LineIndex{1, 3}, func(_ batchscheduler.LineIndex, l Line) []byte {
		return fmt.Appendf(nil, `{"custom_id":%q,"error":{"code":"batch_cancelled"}}`, l.CustomID)
	}))
	w.beginFinalizing(cancelled, batchscheduler.StateCancelled)
	w.check(s.DeleteFile("b", other.ID)) // its batches still read it
	w.check(s.Close())
}

var sampleValidationErrors = []ValidationError{
	{LineNumber: 2, Code: "invalid_value", Message: "max_tokens 0, want 1 to 1048576"},
	{Code: "unreadable", Message: "cut off"},
}
