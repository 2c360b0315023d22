package batchstore

import (
	"errors"
	"strings"
	"testing"

	"docksail/internal/decide/batchscheduler"
)

var errDiskFull = errors.New("no space left on device")

// failAt makes the store fail at a failpoint a number of times.
func failAt(s *Store, at failpoint, times int) {
	s.atFailpoint = func(reached failpoint) error {
		if reached != at || times == 0 {
			return nil
		}
		times--
		return errDiskFull
	}
}

// checkQuota checks that the quota that tenant "a" uses is the size of its files.
func checkQuota(t *testing.T, s *Store) {
	t.Helper()
	files, err := s.Files("a", "", 100)
	if err != nil {
		t.Fatal(err)
	}
	size := int64(0)
	for _, file := range files.Items {
		size += file.SizeBytes
	}
	if s.usedBytes["a"] != size {
		t.Errorf("%d bytes of the quota are used, want the %d bytes of %d files", s.usedBytes["a"], size, len(files.Items))
	}
}

// TestQuotaOfFailedUpload guards against an upload whose record could not be written and which uses its tenant's quota
// until the next start.
func TestQuotaOfFailedUpload(t *testing.T) {
	s := openStore(t, t.TempDir())
	defer s.Close()
	for _, at := range []failpoint{afterContentWritten, afterContentInPlace, beforeFileRecord} {
		failAt(s, at, 1)
		if _, err := s.UploadFile(t0, "a", "f", PurposeInput, strings.NewReader("text"), 100); !errors.Is(err, errDiskFull) {
			t.Errorf("%s: error %v, want that of the full disk", at, err)
		}
		checkQuota(t, s)
	}
}

// TestQuotaOfRetriedFinalization guards against a finalization that reserves the quota of its result files again in
// each try.
func TestQuotaOfRetriedFinalization(t *testing.T) {
	for _, at := range []failpoint{afterContentWritten, afterContentInPlace, afterFilesWritten, beforeBatchRecord} {
		t.Run(string(at), func(t *testing.T) {
			s := openStore(t, t.TempDir())
			defer s.Close()
			b := createBatch(t, s, 2)
			for i, kind := range []ResultKind{ResultCompleted, ResultFailed} {
				if err := s.RecordResult(b.ID, batchscheduler.LineIndex(i), kind, []byte("result")); err != nil {
					t.Fatal(err)
				}
			}
			b, err := s.TransitionBatch(b.ID, batchscheduler.StateFinalizing, func(b *Batch) {
				b.FinalState = batchscheduler.StateCompleted
			})
			if err != nil {
				t.Fatal(err)
			}
			failAt(s, at, 3)
			for range 3 {
				if _, err := s.FinalizeBatch(t0, b); !errors.Is(err, errDiskFull) {
					t.Errorf("error %v, want that of the full disk", err)
				}
			}
			checkQuota(t, s)
			if b, err = s.FinalizeBatch(t0, b); err != nil || b.OutputFileID == "" || b.ErrorFileID == "" {
				t.Errorf("batch %+v, error %v; want both files", b, err)
			}
			checkQuota(t, s)
		})
	}
}
