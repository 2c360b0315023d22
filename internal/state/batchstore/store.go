// Package batchstore keeps files and batches of jobs: what was handed in, where every line stands, and the results, across
// any end of the process. Contents lie as plain files, all that is known of them in a vault beside them. A change is
// on disk before the call that made it returns.
package batchstore

import (
	"bufio"
	"bytes"
	"crypto/rand"
	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/recordstore"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Errors that callers tell apart.
var (
	ErrNotFound      = errors.New("no such file or batch")
	ErrQuotaExceeded = errors.New("over the quota of the tenant")
	ErrFileTooLarge  = errors.New("larger than a file may be")
	ErrInvalidState  = errors.New("not in its present state")
	ErrCorrupt       = errors.New("not what was written")
)

// File is a file of a tenant's.
type File struct {
	ID          string `json:"id"`
	Tenant      string `json:"tenant"`
	Name        string `json:"name"`
	Purpose     string `json:"purpose"`
	SizeBytes   int64  `json:"bytes"`
	CreatedUnix int64  `json:"created"`           // Unix seconds
	Deleted     bool   `json:"deleted,omitempty"` // gone for its tenant; a batch still reads it
}

// Batch is a batch of a tenant's. Times are Unix seconds; 0 = not yet.
type Batch struct {
	ID               string                    `json:"id"`
	Tenant           string                    `json:"tenant"`
	InputFileID      string                    `json:"input"`
	Endpoint         string                    `json:"endpoint"`
	CompletionWindow string                    `json:"window"`
	Metadata         map[string]string         `json:"metadata,omitempty"`
	State            batchscheduler.BatchState `json:"state"`
	TotalLines       int                       `json:"total"`
	CompletedLines   int                       `json:"done"`
	FailedLines      int                       `json:"lost"`
	OutputFileID     string                    `json:"output,omitempty"` // files
	ErrorFileID      string                    `json:"errors,omitempty"`
	CreatedUnix      int64                     `json:"created"`
	ExpiresUnix      int64                     `json:"expires"`
	InProgressUnix   int64                     `json:"in_progress,omitempty"`
	FinalizingUnix   int64                     `json:"finalizing,omitempty"`
	EndedUnix        int64                     `json:"ended,omitempty"`
	CancellingUnix   int64                     `json:"cancelling,omitempty"`
	FinalState       batchscheduler.BatchState `json:"final,omitempty"` // what it becomes when it is finalized
	ValidationErrors []ValidationError         `json:"faults,omitempty"`
}

// ValidationError is what is wrong with a batch's file.
type ValidationError struct {
	LineNumber int    `json:"line"` // from 1; 0 = the whole file
	Code       string `json:"code"`
	Message    string `json:"message"`
}

// Line is a line of a batch: where it lies in its file, and where it stands.
type Line struct {
	State       batchscheduler.LineState
	Offset      int64
	Length      int32
	Checksum    uint32
	Cost        float32
	PrefixGroup uint64
	CustomID    string // its user's name for it
}

const (
	filesSet, batchesSet = "files", "batches"
	idBytes              = 12
	lineHeaderBytes      = 1 + 8 + 4 + 4 + 4 + 8
	maxLinesPerUpdate    = 2000 // of a change: memory stays flat however many lines there are
)

func linesSet(id string) string   { return "lines/" + id }
func resultsSet(id string) string { return "results/" + id }

func lineKey(n batchscheduler.LineIndex) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }

// Store is the files and batches of one directory.
type Store struct {
	records          *recordstore.Store
	dir              string
	tenantQuotaBytes int64 // bytes of files for a tenant
	idSource         io.Reader
	failpoint        func(at string) error // tests end the process here

	mu        sync.Mutex
	usedBytes map[string]int64 // by tenant; with what is being uploaded
}

// Open opens the store of a directory, or makes it; quota bounds the bytes of each tenant's files. What an end in
// mid-upload left behind is cleared away.
func Open(dir string, quota int64) (*Store, error) {
	for _, d := range []string{filepath.Join(dir, "files"), filepath.Join(dir, "tmp")} {
		if err := os.MkdirAll(d, 0o700); err != nil {
			return nil, err
		}
	}
	v, err := recordstore.Open(filepath.Join(dir, "vault"))
	if err != nil {
		return nil, err
	}
	s := &Store{records: v, dir: dir, tenantQuotaBytes: quota, idSource: rand.Reader, usedBytes: map[string]int64{}, failpoint: func(string) error { return nil }}
	if err := s.removeOrphans(); err != nil {
		v.Close()
		return nil, fmt.Errorf("store %s: %w", dir, err)
	}
	return s, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.records.Close() }

// removeOrphans removes contents that no record names, and counts what tenants use.
func (s *Store) removeOrphans() error {
	known := map[string]bool{}
	if err := s.records.View(func(tx *recordstore.Tx) error {
		return tx.ForEach(filesSet, nil, func(k, value []byte, err error) error {
			known[string(k)] = true // also if its record has rotted: a person may still want what lies there
			var f File
			if err == nil && json.Unmarshal(value, &f) == nil {
				s.usedBytes[f.Tenant] += f.SizeBytes
			}
			return nil
		})
	}); err != nil {
		return err
	}
	left, err := filepath.Glob(filepath.Join(s.dir, "tmp", "*"))
	if err != nil {
		return err
	}
	files, err := os.ReadDir(filepath.Join(s.dir, "files"))
	if err != nil {
		return err
	}
	for _, f := range files {
		if !known[f.Name()] {
			left = append(left, s.contentPath(f.Name()))
		}
	}
	for _, name := range left {
		if err := os.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) contentPath(id string) string { return filepath.Join(s.dir, "files", id) }

func (s *Store) newID(kind string) (string, error) {
	b := make([]byte, idBytes)
	if _, err := io.ReadFull(s.idSource, b); err != nil {
		return "", err
	}
	return kind + hex.EncodeToString(b), nil
}

func putJSON(tx *recordstore.Tx, set, id string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return tx.Put(set, []byte(id), b)
}

func getJSON(tx *recordstore.Tx, set, id string, v any) error {
	b, err := tx.Get(set, []byte(id))
	if errors.Is(err, recordstore.ErrNotFound) {
		return fmt.Errorf("%s: %w", id, ErrNotFound)
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}

// reserveQuota takes bytes of a tenant's quota.
func (s *Store) reserveQuota(tenant string, n int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 && s.tenantQuotaBytes > 0 && s.usedBytes[tenant]+n > s.tenantQuotaBytes {
		return fmt.Errorf("%d bytes beside %d of %d: %w", n, s.usedBytes[tenant], s.tenantQuotaBytes, ErrQuotaExceeded)
	}
	s.usedBytes[tenant] += n
	return nil
}

// contentWriter writes a file's content: beside, then whole in its place.
type contentWriter struct {
	store    *Store
	tenant   string
	file     *os.File
	buffer   *bufio.Writer
	written  int64
	reserved int64
	maxBytes int64
}

const quotaReserveBytes = 1 << 20 // bytes of quota that a writer takes at a time

func (s *Store) newContentWriter(tenant string, most int64) (*contentWriter, error) {
	f, err := os.CreateTemp(filepath.Join(s.dir, "tmp"), "*")
	if err != nil {
		return nil, err
	}
	return &contentWriter{store: s, tenant: tenant, file: f, buffer: bufio.NewWriterSize(f, 64<<10), maxBytes: most}, nil
}

func (w *contentWriter) Write(p []byte) (int, error) {
	if w.maxBytes > 0 && w.written+int64(len(p)) > w.maxBytes {
		return 0, fmt.Errorf("more than %d bytes: %w", w.maxBytes, ErrFileTooLarge)
	}
	if need := w.written + int64(len(p)) - w.reserved; need > 0 {
		n := max(need, quotaReserveBytes)
		if err := w.store.reserveQuota(w.tenant, n); err != nil {
			if err = w.store.reserveQuota(w.tenant, need); err != nil {
				return 0, err
			}
			n = need
		}
		w.reserved += n
	}
	n, err := w.buffer.Write(p)
	w.written += int64(n)
	return n, err
}

// discard forgets what was written.
func (w *contentWriter) discard() {
	w.file.Close()
	os.Remove(w.file.Name())
	w.store.reserveQuota(w.tenant, -w.reserved)
}

// commit puts what was written in its place, for good.
func (w *contentWriter) commit(id string) error {
	err := w.buffer.Flush()
	if err == nil {
		err = w.file.Sync()
	}
	if err == nil {
		err = w.file.Close()
	}
	if err == nil {
		err = w.store.failpoint("content written")
	}
	if err == nil {
		err = os.Rename(w.file.Name(), w.store.contentPath(id))
	}
	if err == nil {
		err = syncDir(filepath.Dir(w.store.contentPath(id)))
	}
	if err != nil {
		w.discard()
		return err
	}
	w.store.reserveQuota(w.tenant, w.written-w.reserved)
	return w.store.failpoint("content in place")
}

func syncDir(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// UploadFile takes a file of at most so many bytes; what ends in the middle leaves nothing.
func (s *Store) UploadFile(now time.Time, tenant, name, purpose string, r io.Reader, most int64) (File, error) {
	k, err := s.newContentWriter(tenant, most)
	if err != nil {
		return File{}, err
	}
	if _, err := io.Copy(k, r); err != nil {
		k.discard()
		return File{}, err
	}
	f := File{Tenant: tenant, Name: name, Purpose: purpose, SizeBytes: k.written, CreatedUnix: now.Unix()}
	if f.ID, err = s.newID("file-"); err != nil {
		k.discard()
		return File{}, err
	}
	if err := k.commit(f.ID); err != nil {
		return File{}, err
	}
	return f, s.records.Update(func(tx *recordstore.Tx) error { return putJSON(tx, filesSet, f.ID, f) })
}

// File gives a tenant's file.
func (s *Store) File(tenant, id string) (f File, err error) {
	err = s.records.View(func(tx *recordstore.Tx) error { return getJSON(tx, filesSet, id, &f) })
	if err == nil && (f.Tenant != tenant || f.Deleted) {
		err = fmt.Errorf("%s: %w", id, ErrNotFound)
	}
	return f, err
}

// list gives a tenant's things by their IDs, after one.
func list[T any](s *Store, set, after string, most int, mine func(*T) bool) (all []T, more bool, err error) {
	err = s.records.View(func(tx *recordstore.Tx) error {
		return tx.ForEach(set, []byte(after), func(k, value []byte, err error) error {
			var x T
			if string(k) == after || err != nil || json.Unmarshal(value, &x) != nil || !mine(&x) {
				return nil
			}
			if len(all) == most {
				more = true
				return recordstore.ErrStopIteration
			}
			all = append(all, x)
			return nil
		})
	})
	return all, more, err
}

// Files gives a tenant's files, so many after one; more tells that there are others.
func (s *Store) Files(tenant, after string, most int) (fs []File, more bool, err error) {
	return list(s, filesSet, after, most, func(f *File) bool { return f.Tenant == tenant && !f.Deleted })
}

// OpenContent opens what a file holds.
func (s *Store) OpenContent(tenant, id string) (*os.File, error) {
	if _, err := s.File(tenant, id); err != nil {
		return nil, err
	}
	return os.Open(s.contentPath(id))
}

// DeleteFile takes a file from its tenant; its content goes once no batch reads it.
func (s *Store) DeleteFile(tenant, id string) error {
	f, err := s.File(tenant, id)
	if err != nil {
		return err
	}
	used := false
	if err := s.records.Update(func(tx *recordstore.Tx) error {
		if used, err = s.inUse(tx, id); err != nil {
			return err
		}
		if !used {
			return tx.Delete(filesSet, []byte(id))
		}
		f.Deleted = true
		return putJSON(tx, filesSet, id, f)
	}); err != nil || used {
		return err
	}
	return s.removeContent(f)
}

func (s *Store) removeContent(f File) error {
	s.reserveQuota(f.Tenant, -f.SizeBytes)
	return os.Remove(s.contentPath(f.ID))
}

// inUse tells whether a batch that is not over reads a file.
func (s *Store) inUse(tx *recordstore.Tx, id string) (bool, error) {
	used := false
	err := tx.ForEach(batchesSet, nil, func(_, value []byte, err error) error {
		var b Batch
		if err == nil && json.Unmarshal(value, &b) == nil && b.InputFileID == id && !b.State.IsTerminal() {
			used = true
			return recordstore.ErrStopIteration
		}
		return nil
	})
	return used, err
}

// DeleteFilesOlderThan deletes files that are older than a retention and not in use; it gives how many.
func (s *Store) DeleteFilesOlderThan(now time.Time, keep time.Duration) (int, error) {
	old, _, err := list(s, filesSet, "", 1<<30, func(f *File) bool { return !f.Deleted && now.Unix()-f.CreatedUnix > int64(keep/time.Second) })
	n := 0
	for _, f := range old {
		used := false
		if err == nil {
			err = s.records.View(func(tx *recordstore.Tx) error { used, err = s.inUse(tx, f.ID); return err })
		}
		if err == nil && !used {
			if err = s.DeleteFile(f.Tenant, f.ID); err == nil {
				n++
			}
		}
	}
	return n, err
}

// CreateBatch makes a batch over a file; it is validating.
func (s *Store) CreateBatch(now time.Time, b Batch, window time.Duration) (Batch, error) {
	if _, err := s.File(b.Tenant, b.InputFileID); err != nil {
		return Batch{}, err
	}
	var err error
	if b.ID, err = s.newID("batch_"); err != nil {
		return Batch{}, err
	}
	b.State, b.CreatedUnix, b.ExpiresUnix = batchscheduler.StateValidating, now.Unix(), now.Add(window).Unix()
	return b, s.records.Update(func(tx *recordstore.Tx) error { return putJSON(tx, batchesSet, b.ID, b) })
}

// Batch gives a tenant's batch.
func (s *Store) Batch(tenant, id string) (b Batch, err error) {
	err = s.records.View(func(tx *recordstore.Tx) error { return getJSON(tx, batchesSet, id, &b) })
	if err == nil && b.Tenant != tenant {
		err = fmt.Errorf("%s: %w", id, ErrNotFound)
	}
	return b, err
}

// Batches gives a tenant's batches, so many after one.
func (s *Store) Batches(tenant, after string, most int) (bs []Batch, more bool, err error) {
	return list(s, batchesSet, after, most, func(b *Batch) bool { return b.Tenant == tenant })
}

// UnfinishedBatches gives the batches of all tenants that are not over.
func (s *Store) UnfinishedBatches() ([]Batch, error) {
	bs, _, err := list(s, batchesSet, "", 1<<30, func(b *Batch) bool { return !b.State.IsTerminal() })
	return bs, err
}

// TransitionBatch changes a batch whose state may follow; f sees it as it is and has it at that state.
func (s *Store) TransitionBatch(id string, to batchscheduler.BatchState, f func(b *Batch)) (b Batch, err error) {
	err = s.records.Update(func(tx *recordstore.Tx) error {
		if err := getJSON(tx, batchesSet, id, &b); err != nil {
			return err
		}
		if b.State != to {
			if err := batchscheduler.CheckTransition(b.State, to); err != nil {
				return fmt.Errorf("%w: %w", ErrInvalidState, err)
			}
		}
		b.State = to
		f(&b)
		if b.State.IsTerminal() {
			if err := dropLines(tx, id); err != nil {
				return err
			}
		}
		return putJSON(tx, batchesSet, id, b)
	})
	if err == nil && b.State.IsTerminal() {
		err = s.removeIfUnused(b.InputFileID)
	}
	return b, err
}

func dropLines(tx *recordstore.Tx, id string) error {
	return errors.Join(tx.DropSet(linesSet(id)), tx.DropSet(resultsSet(id)))
}

// removeIfUnused removes a file that was deleted while a batch read it.
func (s *Store) removeIfUnused(id string) error {
	var f File
	gone := false
	err := s.records.Update(func(tx *recordstore.Tx) error {
		if err := getJSON(tx, filesSet, id, &f); errors.Is(err, ErrNotFound) {
			return nil
		} else if err != nil {
			return err
		}
		used, err := s.inUse(tx, id)
		if err != nil || used || !f.Deleted {
			return err
		}
		gone = true
		return tx.Delete(filesSet, []byte(id))
	})
	if err == nil && gone {
		err = s.removeContent(f)
	}
	return err
}

func (l *Line) encode() []byte {
	b := make([]byte, 0, lineHeaderBytes+len(l.CustomID))
	b = append(b, byte(l.State))
	b = binary.BigEndian.AppendUint64(b, uint64(l.Offset))
	b = binary.BigEndian.AppendUint32(b, uint32(l.Length))
	b = binary.BigEndian.AppendUint32(b, l.Checksum)
	b = binary.BigEndian.AppendUint32(b, uint32(l.Cost))
	b = binary.BigEndian.AppendUint64(b, l.PrefixGroup)
	return append(b, l.CustomID...)
}

func decodeLine(b []byte) (Line, error) {
	if len(b) < lineHeaderBytes {
		return Line{}, fmt.Errorf("line of %d bytes: %w", len(b), ErrCorrupt)
	}
	return Line{
		State: batchscheduler.LineState(b[0]), Offset: int64(binary.BigEndian.Uint64(b[1:])), Length: int32(binary.BigEndian.Uint32(b[9:])),
		Checksum: binary.BigEndian.Uint32(b[13:]), Cost: float32(binary.BigEndian.Uint32(b[17:])), PrefixGroup: binary.BigEndian.Uint64(b[21:]),
		CustomID: string(b[lineHeaderBytes:]),
	}, nil
}

// AddLines writes lines of a batch that is validating, from a number on; those that an earlier, cut off validation wrote
// are written over.
func (s *Store) AddLines(id string, from batchscheduler.LineIndex, ls []Line) error {
	for len(ls) > 0 {
		some := ls[:min(len(ls), maxLinesPerUpdate)]
		if err := s.records.Update(func(tx *recordstore.Tx) error {
			for i := range some {
				if err := tx.Put(linesSet(id), lineKey(from+batchscheduler.LineIndex(i)), some[i].encode()); err != nil {
					return err
				}
			}
			return nil
		}); err != nil {
			return err
		}
		from, ls = from+batchscheduler.LineIndex(len(some)), ls[len(some):]
	}
	return nil
}

// ForEachLine gives a batch's lines by their numbers; one whose record has rotted comes with an error and nothing else.
func (s *Store) ForEachLine(id string, f func(n batchscheduler.LineIndex, l Line, rotten error) error) error {
	return s.records.View(func(tx *recordstore.Tx) error {
		return tx.ForEach(linesSet(id), nil, func(k, value []byte, err error) error {
			var l Line
			if err == nil {
				l, err = decodeLine(value)
			}
			return f(batchscheduler.LineIndex(binary.BigEndian.Uint32(k)), l, err)
		})
	})
}

// Line gives one line of a batch.
func (s *Store) Line(id string, n batchscheduler.LineIndex) (l Line, err error) {
	err = s.records.View(func(tx *recordstore.Tx) error {
		b, err := tx.Get(linesSet(id), lineKey(n))
		if err != nil {
			return err
		}
		l, err = decodeLine(b)
		return err
	})
	return l, err
}

// OpenInput opens the file that a batch reads, also after its tenant has deleted it.
func (s *Store) OpenInput(id string) (*os.File, error) { return os.Open(s.contentPath(id)) }

// LineText reads what a line says; the error wraps ErrCorrupt if it is not what was handed in.
func (s *Store) LineText(input string, n batchscheduler.LineIndex, l Line) ([]byte, error) {
	f, err := os.Open(s.contentPath(input))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b := make([]byte, l.Length)
	if _, err := f.ReadAt(b, l.Offset); err != nil {
		return nil, fmt.Errorf("%s, line %d: %w", input, n+1, err)
	}
	if crc32.ChecksumIEEE(b) != l.Checksum {
		return nil, fmt.Errorf("%s, line %d, at byte %d: %w", input, n+1, l.Offset, ErrCorrupt)
	}
	return b, nil
}

// SetLineState has it on disk where a line stands, before a launch of it goes out or after it came back unheard.
func (s *Store) SetLineState(id string, n batchscheduler.LineIndex, at batchscheduler.LineState) error {
	return s.records.UpdateBatched(func(tx *recordstore.Tx) error {
		b, err := tx.Get(linesSet(id), lineKey(n))
		if err != nil {
			return err
		}
		l, err := decodeLine(b)
		if err != nil {
			return err
		}
		l.State = at
		return tx.Put(linesSet(id), lineKey(n), l.encode())
	})
}

// RecordResult keeps what a line came to, once: done with its result, or lost with its error, as the output or the error file is
// to have it. A line that has ended stays as it ended.
func (s *Store) RecordResult(id string, n batchscheduler.LineIndex, done bool, text []byte) error {
	return s.records.UpdateBatched(func(tx *recordstore.Tx) error {
		return recordResult(tx, id, n, done, func(Line) []byte { return text })
	})
}

// FailLines keeps that lines were lost, with what text says of each.
func (s *Store) FailLines(id string, ns []batchscheduler.LineIndex, text func(n batchscheduler.LineIndex, l Line) []byte) error {
	for len(ns) > 0 {
		some := ns[:min(len(ns), maxLinesPerUpdate)]
		if err := s.records.Update(func(tx *recordstore.Tx) error {
			for _, n := range some {
				if err := recordResult(tx, id, n, false, func(l Line) []byte { return text(n, l) }); err != nil {
					return err
				}
			}
			return nil
		}); err != nil {
			return err
		}
		ns = ns[len(some):]
	}
	return nil
}

func recordResult(tx *recordstore.Tx, id string, n batchscheduler.LineIndex, done bool, text func(l Line) []byte) error {
	if _, err := tx.Get(resultsSet(id), lineKey(n)); !errors.Is(err, recordstore.ErrNotFound) {
		return err
	}
	var b Batch
	if err := getJSON(tx, batchesSet, id, &b); err != nil {
		return err
	}
	if b.State.IsTerminal() {
		return fmt.Errorf("%s is %v: %w", id, b.State, ErrInvalidState)
	}
	kind, at := byte(0), batchscheduler.LineFailed
	if done {
		kind, at = 1, batchscheduler.LineCompleted
		b.CompletedLines++
	} else {
		b.FailedLines++
	}
	var l Line
	if old, err := tx.Get(linesSet(id), lineKey(n)); err == nil {
		if l, err = decodeLine(old); err == nil {
			l.State = at
			if err := tx.Put(linesSet(id), lineKey(n), l.encode()); err != nil {
				return err
			}
		}
	}
	if err := tx.Put(resultsSet(id), lineKey(n), append([]byte{kind}, text(l)...)); err != nil {
		return err
	}
	return putJSON(tx, batchesSet, id, b)
}

// FinalizeBatch writes the output and the error file of a batch that is finalizing and ends it as it was to end. Cut off
// anywhere, it is begun anew.
func (s *Store) FinalizeBatch(now time.Time, b Batch) (Batch, error) {
	files := [2]File{} // lost, done
	for kind := range files {
		k, err := s.newContentWriter(b.Tenant, 0)
		if err != nil {
			return b, err
		}
		some := false
		err = s.records.View(func(tx *recordstore.Tx) error {
			return tx.ForEach(resultsSet(b.ID), nil, func(n, value []byte, err error) error {
				if err != nil { // it is named in the error file, and harms no other
					value = append([]byte{0}, fmt.Appendf(nil, `{"id":null,"custom_id":null,"response":null,"error":{"code":"rotten","message":%q}}`, err.Error())...)
				}
				if len(value) < 1 || int(value[0]) != kind {
					return nil
				}
				some = true
				_, err = k.Write(append(bytes.Clone(value[1:]), '\n'))
				return err
			})
		})
		if err != nil {
			k.discard()
			return b, err
		}
		if !some {
			k.discard()
			continue
		}
		name := []string{"errors", "output"}[kind]
		f := File{
			ID: "file-" + strings.TrimPrefix(b.ID, "batch_") + name[:1], Tenant: b.Tenant, Name: b.ID + "_" + name + ".jsonl",
			Purpose: "batch_output", SizeBytes: k.written, CreatedUnix: now.Unix(),
		}
		if err := k.commit(f.ID); err != nil {
			return b, err
		}
		files[kind] = f
	}
	if err := s.failpoint("files written"); err != nil {
		return b, err
	}
	err := s.records.Update(func(tx *recordstore.Tx) error {
		if err := getJSON(tx, batchesSet, b.ID, &b); err != nil {
			return err
		}
		if err := batchscheduler.CheckTransition(b.State, b.FinalState); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidState, err)
		}
		for kind, f := range files {
			if f.ID == "" {
				continue
			}
			if err := putJSON(tx, filesSet, f.ID, f); err != nil {
				return err
			}
			if kind == 1 {
				b.OutputFileID = f.ID
			} else {
				b.ErrorFileID = f.ID
			}
		}
		b.State, b.EndedUnix = b.FinalState, now.Unix()
		if err := dropLines(tx, b.ID); err != nil {
			return err
		}
		return putJSON(tx, batchesSet, b.ID, b)
	})
	if err != nil {
		return b, err
	}
	return b, s.removeIfUnused(b.InputFileID)
}

// Verify looks at every record and every line's content; it names what has rotted.
func (s *Store) Verify() (all int, rotten []string, err error) {
	all, damaged, err := s.records.Verify()
	for _, d := range damaged {
		rotten = append(rotten, d.Error())
	}
	if err != nil {
		return all, rotten, err
	}
	open, err := s.UnfinishedBatches()
	for _, b := range open {
		if err != nil {
			break
		}
		err = s.ForEachLine(b.ID, func(n batchscheduler.LineIndex, l Line, e error) error {
			if e == nil {
				if _, e = s.LineText(b.InputFileID, n, l); e != nil {
					rotten = append(rotten, e.Error())
				}
			}
			return nil
		})
	}
	slices.Sort(rotten)
	return all, rotten, err
}

// Snapshot writes the vault as it is; contents are plain files that never change, to be copied beside.
func (s *Store) Snapshot(w io.Writer) error { return s.records.Snapshot(w) }
