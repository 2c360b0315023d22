package batchstore

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
	"time"

	"go.etcd.io/bbolt"

	"docksail/internal/decide/batchscheduler"
)

// formatDir is a store's directory written by the program of commit 61b72d4 with the operations of writeSampleStore.
const formatDir = "testdata/format-61b72d4"

// formatRecordCount is the number of records in formatDir: 5 files, 6 batches, 10 lines and 5 results.
const formatRecordCount = 5 + 6 + 10 + 5

// dumpRecords returns the raw records of a store's database file in hexadecimal, by bucket and key.
func dumpRecords(t *testing.T, dir string) map[string]string {
	t.Helper()
	db, err := bbolt.Open(filepath.Join(dir, "vault"), 0o600, &bbolt.Options{Timeout: time.Second})
	if err != nil {
		t.Fatal(err)
	}
	records := map[string]string{}
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(bucket []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(key, value []byte) error {
				records[fmt.Sprintf("%s %x", bucket, key)] = hex.EncodeToString(value)
				return nil
			})
		})
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := db.Close(); err != nil {
		t.Fatal(err)
	}
	return records
}

// dumpFiles returns the contents of a store's files by their names.
func dumpFiles(t *testing.T, dir string) map[string]string {
	t.Helper()
	entries, err := os.ReadDir(filepath.Join(dir, "files"))
	if err != nil {
		t.Fatal(err)
	}
	contents := map[string]string{}
	for _, entry := range entries {
		content, err := os.ReadFile(filepath.Join(dir, "files", entry.Name()))
		if err != nil {
			t.Fatal(err)
		}
		contents[entry.Name()] = string(content)
	}
	return contents
}

// checkSameContents checks that two directories hold the same records or files.
func checkSameContents(t *testing.T, kind string, got, want map[string]string) {
	t.Helper()
	for name, content := range want {
		if got[name] != content {
			t.Errorf("%s %s is %q, want %q as 61b72d4 wrote it", kind, name, got[name], content)
		}
	}
	for name := range got {
		if _, ok := want[name]; !ok {
			t.Errorf("%s %s was not written by 61b72d4", kind, name)
		}
	}
}

// copyFormatDir returns a copy of formatDir, because opening a store modifies its directory.
func copyFormatDir(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(formatDir)); err != nil {
		t.Fatal(err)
	}
	return dir
}

// TestWritesFormat checks that writeSampleStore writes the same buckets, keys, records and files as commit 61b72d4 did.
func TestWritesFormat(t *testing.T) {
	dir := t.TempDir()
	writeSampleStore(t, dir)
	want := copyFormatDir(t)
	records := dumpRecords(t, want)
	if len(records) != formatRecordCount {
		t.Errorf("%d records in %s, want %d: %v",
			len(records), formatDir, formatRecordCount, slices.Sorted(maps.Keys(records)))
	}
	checkSameContents(t, "record", dumpRecords(t, dir), records)
	checkSameContents(t, "file", dumpFiles(t, dir), dumpFiles(t, want))
}

// TestReadsFormat checks that the files, batches, lines and results written by commit 61b72d4 are read unchanged.
func TestReadsFormat(t *testing.T) {
	s, err := Open(copyFormatDir(t), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	t.Run("verify", func(t *testing.T) {
		if records, corrupt, err := s.Verify(); err != nil || len(corrupt) > 0 || records != formatRecordCount {
			t.Errorf("%d records, want %d; %v, %v", records, formatRecordCount, corrupt, err)
		}
	})
	t.Run("files", func(t *testing.T) { checkFormatFiles(t, s) })
	t.Run("batches", func(t *testing.T) { checkFormatBatches(t, s) })
	t.Run("lines", func(t *testing.T) { checkFormatLines(t, s) })
	t.Run("results", func(t *testing.T) { checkFormatResults(t, s) })
}

func checkFormatFiles(t *testing.T, s *Store) {
	t.Helper()
	text, _ := sampleLines()
	created, finalized := sampleTime(0).Unix(), sampleTime(50).Unix()
	files, err := s.Files("a", "", 10)
	want := []File{
		{
			ID: inputFileID, Tenant: "a", Name: "lines.jsonl",
			Purpose: "batch", SizeBytes: int64(len(text)), CreatedUnix: created,
		},
		{
			ID: "file-3132333435363738393a3b3ce", Tenant: "a", Name: completedBatchID + "_errors.jsonl",
			Purpose: "batch_output", SizeBytes: 39, CreatedUnix: finalized,
		},
		{
			ID: "file-3132333435363738393a3b3co", Tenant: "a", Name: completedBatchID + "_output.jsonl",
			Purpose: "batch_output", SizeBytes: 76, CreatedUnix: finalized,
		},
		{
			ID: "file-3d3e3f404142434445464748e", Tenant: "a", Name: expiredBatchID + "_errors.jsonl",
			Purpose: "batch_output", SizeBytes: 39, CreatedUnix: finalized,
		},
	}
	if err != nil || files.HasMore {
		t.Errorf("files of tenant a: more %v, error %v", files.HasMore, err)
	}
	if !slices.Equal(files.Items, want) {
		t.Errorf("files of tenant a: %+v, want %+v", files.Items, want)
	}
	if files, err := s.Files("b", "", 10); err != nil || len(files.Items) != 0 {
		t.Errorf("files of tenant b, whose only file is deleted: %v, %v", files, err)
	}
	used := map[string]int64{"a": int64(len(text)) + 39 + 76 + 39, "b": int64(len(text))}
	if !maps.Equal(s.usedBytes, used) {
		t.Errorf("used bytes %v, want %v", s.usedBytes, used)
	}
	for id, want := range map[string]string{
		inputFileID: text,
		"file-3132333435363738393a3b3co": `{"custom_id":"größe-0","done":true}` + "\n" +
			`{"custom_id":"größe-2","done":true}` + "\n",
		"file-3132333435363738393a3b3ce": `{"custom_id":"größe-1","done":false}` + "\n",
	} {
		f, err := s.OpenContent("a", id)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(f)
		f.Close()
		if err != nil || string(got) != want {
			t.Errorf("content of %s: %q, %v, want %q", id, got, err, want)
		}
	}
}

func checkFormatBatches(t *testing.T, s *Store) {
	t.Helper()
	batch := func(tenant, id, input string, state batchscheduler.BatchState, change func(b *Batch)) Batch {
		b := Batch{
			ID: id, Tenant: tenant, InputFileID: input, Endpoint: "/v1/completions", CompletionWindow: "24h",
			Metadata: sampleMetadata, State: state,
			CreatedUnix: sampleTime(10).Unix(), ExpiresUnix: sampleTime(10).Add(24 * time.Hour).Unix(),
		}
		change(&b)
		return b
	}
	started, finalizing, ended := sampleTime(20).Unix(), sampleTime(40).Unix(), sampleTime(50).Unix()
	for tenant, want := range map[string][]Batch{
		"a": {
			batch("a", runningBatchID, inputFileID, batchscheduler.StateInProgress, func(b *Batch) {
				b.TotalLines, b.CompletedLines, b.FailedLines, b.InProgressUnix = 6, 1, 1, started
			}),
			batch("a", completedBatchID, inputFileID, batchscheduler.StateCompleted, func(b *Batch) {
				b.TotalLines, b.CompletedLines, b.FailedLines = 3, 2, 1
				b.InProgressUnix, b.FinalizingUnix, b.EndedUnix = started, finalizing, ended
				b.FinalState = batchscheduler.StateCompleted
				b.OutputFileID, b.ErrorFileID = "file-3132333435363738393a3b3co", "file-3132333435363738393a3b3ce"
			}),
			batch("a", expiredBatchID, inputFileID, batchscheduler.StateExpired, func(b *Batch) {
				b.TotalLines, b.FailedLines = 1, 1
				b.InProgressUnix, b.FinalizingUnix, b.EndedUnix = started, finalizing, ended
				b.FinalState = batchscheduler.StateExpired
				b.ErrorFileID = "file-3d3e3f404142434445464748e"
			}),
			batch("a", failedBatchID, inputFileID, batchscheduler.StateFailed, func(b *Batch) {
				b.EndedUnix, b.ValidationErrors = sampleTime(30).Unix(), sampleValidationErrors
			}),
		},
		"b": {
			batch("b", validatingBatchID, deletedFileID, batchscheduler.StateValidating, func(*Batch) {}),
			batch("b", cancelledBatchID, deletedFileID, batchscheduler.StateFinalizing, func(b *Batch) {
				b.TotalLines, b.CompletedLines, b.FailedLines = 4, 1, 2
				b.InProgressUnix, b.CancellingUnix, b.FinalizingUnix = started, sampleTime(35).Unix(), finalizing
				b.FinalState = batchscheduler.StateCancelled
			}),
		},
	} {
		got, err := s.Batches(tenant, "", 10)
		if err != nil || got.HasMore {
			t.Errorf("batches of tenant %s: more %v, error %v", tenant, got.HasMore, err)
		}
		if !reflect.DeepEqual(got.Items, want) {
			t.Errorf("batches of tenant %s: %+v, want %+v", tenant, got.Items, want)
		}
	}
}

func checkFormatLines(t *testing.T, s *Store) {
	t.Helper()
	_, lines := sampleLines()
	for i := range lines {
		lines[i].Cost = float32(100 * i) // stored as a whole number
	}
	lines[1].State = batchscheduler.LineInFlight
	lines[2].State = batchscheduler.LineCompleted
	lines[3].State = batchscheduler.LineFailed
	var got []Line
	err := s.ForEachLine(runningBatchID, func(n batchscheduler.LineIndex, l Line, corrupt error) error {
		text, err := s.LineText(inputFileID, n, l)
		if corrupt != nil || err != nil || !bytes.Contains(text, fmt.Appendf(nil, `"Plan %d"`, n)) {
			t.Errorf("line %d: %q, %v, %v", n, text, corrupt, err)
		}
		got = append(got, l)
		return nil
	})
	if err != nil {
		t.Error(err)
	}
	if !slices.Equal(got, lines) {
		t.Errorf("lines of %s: %+v, want %+v", runningBatchID, got, lines)
	}
	if l, err := s.Line(runningBatchID, 3); err != nil || l != lines[3] {
		t.Errorf("line 3: %+v, %v, want %+v", l, err, lines[3])
	}
}

// checkFormatResults finalizes the batch in StateFinalizing and checks its result files.
func checkFormatResults(t *testing.T, s *Store) {
	t.Helper()
	b, err := s.Batch("b", cancelledBatchID)
	if err != nil {
		t.Fatal(err)
	}
	if b, err = s.FinalizeBatch(sampleTime(60), b); err != nil || b.State != batchscheduler.StateCancelled {
		t.Fatalf("finalized as %v, %v, want %v", b.State, err, batchscheduler.StateCancelled)
	}
	for id, want := range map[string]string{
		b.OutputFileID: `{"custom_id":"größe-0","done":true}` + "\n",
		b.ErrorFileID: `{"custom_id":"größe-1","error":{"code":"batch_cancelled"}}` + "\n" +
			`{"custom_id":"größe-3","error":{"code":"batch_cancelled"}}` + "\n",
	} {
		f, err := s.OpenContent("b", id)
		if err != nil {
			t.Fatal(err)
		}
		got, err := io.ReadAll(f)
		f.Close()
		if err != nil || string(got) != want {
			t.Errorf("content of %s: %q, %v, want %q", id, got, err, want)
		}
	}
}
