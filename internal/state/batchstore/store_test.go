package batchstore

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/recordstore"
)

var (
	t0       = time.Unix(1e9, 0)
	errCrash = errors.New("simulated crash")
)

// TestMain limits the number of random cases, because every change of a store syncs the disk.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.checks", "12"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// resultKind returns the kind of the result of a completed or failed line.
func resultKind(completed bool) ResultKind {
	if completed {
		return ResultCompleted
	}
	return ResultFailed
}

func openStore(t *testing.T, dir string) *Store {
	t.Helper()
	s, err := Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// createBatch creates a batch of n lines in StateInProgress.
func createBatch(t *testing.T, s *Store, n int) Batch {
	t.Helper()
	var text strings.Builder
	var ls []Line
	for i := range n {
		line := fmt.Sprintf(`{"custom_id": "c%d"}`, i)
		ls = append(ls, Line{
			Offset: int64(text.Len()), Length: int32(len(line)), Checksum: crc32.ChecksumIEEE([]byte(line)),
			Cost: 10, CustomID: fmt.Sprint("c", i),
		})
		text.WriteString(line + "\n")
	}
	f, err := s.UploadFile(t0, "a", "f", "batch", strings.NewReader(text.String()), 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	b, err := s.CreateBatch(t0, Batch{Tenant: "a", InputFileID: f.ID}, time.Hour)
	if err == nil {
		err = s.AddLines(b.ID, 0, ls)
	}
	if err == nil {
		b, err = s.TransitionBatch(b.ID, batchscheduler.StateInProgress, func(b *Batch) { b.TotalLines = n })
	}
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestCrashes reopens the store at random points while a batch runs and is finalized. In the end the result files must
// have the first result of every line exactly once, and no other file or record may be left.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		dir := t.TempDir() // a new directory at each call
		s := openStore(t, dir)
		defer func() { s.Close() }()
		const n = 12
		b := createBatch(t, s, n)
		reopen := func() {
			s.Close()
			s = openStore(t, dir)
		}
		firstResults := map[batchscheduler.LineIndex]string{}
		for len(firstResults) < n {
			index := batchscheduler.LineIndex(rapid.IntRange(0, n-1).Draw(rt, "line"))
			completed := rapid.Bool().Draw(rt, "done")
			text := fmt.Sprintf(`{"n":%d,"done":%v,"try":%d}`, index, completed, len(firstResults))
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0:
				reopen()
			case 1:
				if _, hasResult := firstResults[index]; !hasResult {
					if err := s.SetLineState(b.ID, index, batchscheduler.LineInFlight, Attempts{}); err != nil {
						rt.Fatal(err)
					}
				}
			default:
				if err := s.RecordResult(b.ID, index, resultKind(completed), []byte(text)); err != nil {
					rt.Fatal(err)
				}
				if _, hasResult := firstResults[index]; !hasResult {
					firstResults[index] = text
				}
			}
		}
		b, err := s.TransitionBatch(b.ID, batchscheduler.StateFinalizing, func(b *Batch) {
			b.FinalState = batchscheduler.StateCompleted
		})
		if err != nil {
			rt.Fatal(err)
		}
		for range rapid.IntRange(0, 4).Draw(rt, "crashes") {
			failpoints := []failpoint{afterContentWritten, afterContentInPlace, afterFilesWritten}
			point := rapid.SampledFrom(failpoints).Draw(rt, "where")
			skip := rapid.IntRange(0, 1).Draw(rt, "which")
			s.atFailpoint = func(at failpoint) error {
				if at == point {
					if skip--; skip < 0 {
						return errCrash
					}
				}
				return nil
			}
			if _, err := s.FinalizeBatch(t0, b); err == nil {
				break
			} else if !errors.Is(err, errCrash) {
				rt.Fatal(err)
			}
			reopen()
		}
		s.atFailpoint = func(failpoint) error { return nil }
		if b, err = s.Batch("a", b.ID); err != nil {
			rt.Fatal(err)
		}
		if !b.State.IsTerminal() {
			if b, err = s.FinalizeBatch(t0, b); err != nil {
				rt.Fatal(err)
			}
		}
		reopen()
		got, files := map[string]bool{}, 1
		for _, id := range []string{b.OutputFileID, b.ErrorFileID} {
			if id == "" {
				continue
			}
			files++
			f, err := s.OpenContent("a", id)
			if err != nil {
				rt.Fatal(err)
			}
			text, _ := io.ReadAll(f)
			f.Close()
			for line := range strings.SplitSeq(strings.TrimSpace(string(text)), "\n") {
				if got[line] || strings.Contains(line, `"done":true`) != (id == b.OutputFileID) {
					rt.Fatalf("result %s is duplicate or in the wrong file", line)
				}
				got[line] = true
			}
		}
		if len(got) != n {
			rt.Fatalf("%d results in the files, want %d", len(got), n)
		}
		for _, text := range firstResults {
			if !got[text] {
				rt.Fatalf("result %s is missing", text)
			}
		}
		contents, err := os.ReadDir(filepath.Join(dir, "files"))
		if err != nil || len(contents) != files {
			rt.Fatalf("%d contents on disk, want %d", len(contents), files)
		}
		if b, _ = s.Batch("a", b.ID); b.CompletedLines+b.FailedLines != n || b.State != batchscheduler.StateCompleted {
			rt.Fatalf("%+v", b)
		}
		if records, corrupt, err := s.Verify(); err != nil || len(corrupt) > 0 || records != files+1 {
			rt.Fatalf("%d records, want %d; %v %v", records, files+1, corrupt, err)
		}
	})
}

// TestOpenLocked checks that opening a store that is already open fails with ErrLocked.
func TestOpenLocked(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	defer s.Close()
	if _, err := Open(dir, 0); !errors.Is(err, recordstore.ErrLocked) {
		t.Errorf("opened twice: %v, want ErrLocked", err)
	}
}

// TestQuota checks that stored files count towards their tenant's quota, also after a restart, and that interrupted
// uploads and deleted files do not.
func TestQuota(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	upload := func(n int) (File, error) {
		return s.UploadFile(t0, "a", "f", "batch", bytes.NewReader(make([]byte, n)), 1<<20)
	}
	f, err := upload(600 << 10)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := upload(600 << 10); !errors.Is(err, ErrQuotaExceeded) {
		t.Errorf("%v, want ErrQuotaExceeded", err)
	}
	interrupted := io.MultiReader(bytes.NewReader(make([]byte, 100<<10)), failingReader{})
	if _, err := s.UploadFile(t0, "a", "f", "batch", interrupted, 1<<20); err == nil {
		t.Error("interrupted upload succeeded")
	}
	if _, err := s.UploadFile(t0, "b", "f", "batch", bytes.NewReader(make([]byte, 600<<10)), 1<<20); err != nil {
		t.Errorf("another tenant: %v", err)
	}
	s.Close()
	s = openStore(t, dir)
	defer s.Close()
	if _, err := upload(600 << 10); !errors.Is(err, ErrQuotaExceeded) {
		t.Errorf("after a restart: %v, want ErrQuotaExceeded", err)
	}
	if err := s.DeleteFile("a", f.ID); err != nil {
		t.Fatal(err)
	}
	if _, err := upload(600 << 10); err != nil {
		t.Errorf("after a deletion: %v", err)
	}
	if n, err := s.DeleteFilesOlderThan(t0.Add(2*time.Hour), time.Hour); err != nil || n != 2 {
		t.Errorf("%d files deleted, want 2: %v", n, err)
	}
	if left, _ := os.ReadDir(filepath.Join(dir, "files")); len(left) != 0 {
		t.Errorf("%d contents on disk, want none", len(left))
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// TestCorruptLine checks that a corrupt line text is reported with its line number and that the other lines are read.
func TestCorruptLine(t *testing.T) {
	dir := t.TempDir()
	s := openStore(t, dir)
	defer s.Close()
	b := createBatch(t, s, 5)
	name := s.contentPath(b.InputFileID)
	text, err := os.ReadFile(name)
	if err != nil {
		t.Fatal(err)
	}
	offset := bytes.Index(text, []byte("c3"))
	text[offset] ^= 2
	if err := os.WriteFile(name, text, 0o600); err != nil {
		t.Fatal(err)
	}
	found := 0
	if err := s.ForEachLine(b.ID, func(n batchscheduler.LineIndex, l Line, corrupt error) error {
		_, err := s.LineText(b.InputFileID, n, l)
		if errors.Is(err, ErrCorrupt) && n == 3 && strings.Contains(err.Error(), "line 4") {
			found++
		} else if err != nil || corrupt != nil {
			t.Error(n, err, corrupt)
		}
		return nil
	}); err != nil || found != 1 {
		t.Error(found, err)
	}
	if _, corrupt, err := s.Verify(); err != nil || len(corrupt) != 1 {
		t.Error(corrupt, err)
	}
}

// TestDeletedWhileRead checks that a file deleted while batches read it is hidden from its tenant at once and removed
// from disk when the last of these batches ends.
func TestDeletedWhileRead(t *testing.T) {
	s := openStore(t, t.TempDir())
	defer s.Close()
	b := createBatch(t, s, 1)
	c, err := s.CreateBatch(t0, Batch{Tenant: "a", InputFileID: b.InputFileID}, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.DeleteFile("a", b.InputFileID); err != nil {
		t.Fatal(err)
	}
	if _, err := s.File("a", b.InputFileID); !errors.Is(err, ErrNotFound) {
		t.Error(err)
	}
	_, err = s.CreateBatch(t0, Batch{Tenant: "a", InputFileID: b.InputFileID}, time.Hour)
	if !errors.Is(err, ErrNotFound) {
		t.Errorf("batch created for a deleted file: %v, want ErrNotFound", err)
	}
	for i, id := range []string{b.ID, c.ID} {
		if _, err := os.Stat(s.contentPath(b.InputFileID)); err != nil {
			t.Errorf("content of the input file before the end of batch %d: %v", i, err)
		}
		if _, err := s.TransitionBatch(id, batchscheduler.StateCancelling, func(*Batch) {}); err != nil {
			t.Fatal(err)
		}
		if _, err := s.TransitionBatch(id, batchscheduler.StateCancelled, func(*Batch) {}); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := os.Stat(s.contentPath(b.InputFileID)); !errors.Is(err, os.ErrNotExist) {
		t.Errorf("content of a deleted file that no batch reads: %v, want ErrNotExist", err)
	}
	_, err = s.TransitionBatch(b.ID, batchscheduler.StateInProgress, func(*Batch) {})
	if !errors.Is(err, ErrInvalidState) {
		t.Errorf("transition from cancelled to in progress: %v, want ErrInvalidState", err)
	}
}
