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
	ErrNone   = errors.New("no such file or batch")
	ErrQuota  = errors.New("over the quota of the tenant")
	ErrLarge  = errors.New("larger than a file may be")
	ErrState  = errors.New("not in its present state")
	ErrRotten = errors.New("not what was written")
)

// File is a file of a tenant's.
type File struct {
	ID      string `json:"id"`
	Tenant  string `json:"tenant"`
	Name    string `json:"name"`
	Purpose string `json:"purpose"`
	Bytes   int64  `json:"bytes"`
	Created int64  `json:"created"`           // Unix seconds
	Deleted bool   `json:"deleted,omitempty"` // gone for its tenant; a batch still reads it
}

// Batch is a batch of a tenant's. Times are Unix seconds; 0 = not yet.
type Batch struct {
	ID         string               `json:"id"`
	Tenant     string               `json:"tenant"`
	Input      string               `json:"input"`
	Endpoint   string               `json:"endpoint"`
	Window     string               `json:"window"`
	Metadata   map[string]string    `json:"metadata,omitempty"`
	State      batchscheduler.State `json:"state"`
	Total      int                  `json:"total"`
	Done       int                  `json:"done"`
	Lost       int                  `json:"lost"`
	Output     string               `json:"output,omitempty"` // files
	Errors     string               `json:"errors,omitempty"`
	Created    int64                `json:"created"`
	Expires    int64                `json:"expires"`
	InProgress int64                `json:"in_progress,omitempty"`
	Finalizing int64                `json:"finalizing,omitempty"`
	Ended      int64                `json:"ended,omitempty"`
	Cancelling int64                `json:"cancelling,omitempty"`
	Final      batchscheduler.State `json:"final,omitempty"` // what it becomes when it is finalized
	Faults     []Fault              `json:"faults,omitempty"`
}

// Fault is what is wrong with a batch's file.
type Fault struct {
	Line    int    `json:"line"` // from 1; 0 = the whole file
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Line is a line of a batch: where it lies in its file, and where it stands.
type Line struct {
	At     batchscheduler.At
	Offset int64
	Length int32
	Sum    uint32
	Cost   float32
	Group  uint64
	Custom string // its user's name for it
}

const (
	setFiles, setBatches = "files", "batches"
	idBytes              = 12
	lineHeader           = 1 + 8 + 4 + 4 + 4 + 8
	chunkLines           = 2000 // of a change: memory stays flat however many lines there are
)

func lines(id string) string   { return "lines/" + id }
func results(id string) string { return "results/" + id }

func key(n batchscheduler.Line) []byte { return binary.BigEndian.AppendUint32(nil, uint32(n)) }

// Store is the files and batches of one directory.
type Store struct {
	v     *recordstore.Vault
	dir   string
	quota int64 // bytes of files for a tenant
	ids   io.Reader
	fail  func(at string) error // tests end the process here

	mu   sync.Mutex
	used map[string]int64 // by tenant; with what is being uploaded
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
	s := &Store{v: v, dir: dir, quota: quota, ids: rand.Reader, used: map[string]int64{}, fail: func(string) error { return nil }}
	if err := s.tidy(); err != nil {
		v.Close()
		return nil, fmt.Errorf("store %s: %w", dir, err)
	}
	return s, nil
}

// Close closes the store.
func (s *Store) Close() error { return s.v.Close() }

// tidy removes contents that no record names, and counts what tenants use.
func (s *Store) tidy() error {
	known := map[string]bool{}
	if err := s.v.View(func(tx *recordstore.Tx) error {
		return tx.Each(setFiles, nil, func(k, value []byte, err error) error {
			known[string(k)] = true // also if its record has rotted: a person may still want what lies there
			var f File
			if err == nil && json.Unmarshal(value, &f) == nil {
				s.used[f.Tenant] += f.Bytes
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
			left = append(left, s.content(f.Name()))
		}
	}
	for _, name := range left {
		if err := os.Remove(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *Store) content(id string) string { return filepath.Join(s.dir, "files", id) }

func (s *Store) newID(kind string) (string, error) {
	b := make([]byte, idBytes)
	if _, err := io.ReadFull(s.ids, b); err != nil {
		return "", err
	}
	return kind + hex.EncodeToString(b), nil
}

func put(tx *recordstore.Tx, set, id string, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return tx.Put(set, []byte(id), b)
}

func get(tx *recordstore.Tx, set, id string, v any) error {
	b, err := tx.Get(set, []byte(id))
	if errors.Is(err, recordstore.ErrNone) {
		return fmt.Errorf("%s: %w", id, ErrNone)
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(b, v)
}

// reserve takes bytes of a tenant's quota.
func (s *Store) reserve(tenant string, n int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n > 0 && s.quota > 0 && s.used[tenant]+n > s.quota {
		return fmt.Errorf("%d bytes beside %d of %d: %w", n, s.used[tenant], s.quota, ErrQuota)
	}
	s.used[tenant] += n
	return nil
}

// keeper writes a file's content: beside, then whole in its place.
type keeper struct {
	s      *Store
	tenant string
	f      *os.File
	w      *bufio.Writer
	n      int64
	taken  int64
	most   int64
}

const takeAhead = 1 << 20 // bytes of quota that a writer takes at a time

func (s *Store) keeper(tenant string, most int64) (*keeper, error) {
	f, err := os.CreateTemp(filepath.Join(s.dir, "tmp"), "*")
	if err != nil {
		return nil, err
	}
	return &keeper{s: s, tenant: tenant, f: f, w: bufio.NewWriterSize(f, 64<<10), most: most}, nil
}

func (k *keeper) Write(p []byte) (int, error) {
	if k.most > 0 && k.n+int64(len(p)) > k.most {
		return 0, fmt.Errorf("more than %d bytes: %w", k.most, ErrLarge)
	}
	if need := k.n + int64(len(p)) - k.taken; need > 0 {
		n := max(need, takeAhead)
		if err := k.s.reserve(k.tenant, n); err != nil {
			if err = k.s.reserve(k.tenant, need); err != nil {
				return 0, err
			}
			n = need
		}
		k.taken += n
	}
	n, err := k.w.Write(p)
	k.n += int64(n)
	return n, err
}

// drop forgets what was written.
func (k *keeper) drop() {
	k.f.Close()
	os.Remove(k.f.Name())
	k.s.reserve(k.tenant, -k.taken)
}

// keep puts what was written in its place, for good.
func (k *keeper) keep(id string) error {
	err := k.w.Flush()
	if err == nil {
		err = k.f.Sync()
	}
	if err == nil {
		err = k.f.Close()
	}
	if err == nil {
		err = k.s.fail("content written")
	}
	if err == nil {
		err = os.Rename(k.f.Name(), k.s.content(id))
	}
	if err == nil {
		err = syncDir(filepath.Dir(k.s.content(id)))
	}
	if err != nil {
		k.drop()
		return err
	}
	k.s.reserve(k.tenant, k.n-k.taken)
	return k.s.fail("content in place")
}

func syncDir(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}

// Upload takes a file of at most so many bytes; what ends in the middle leaves nothing.
func (s *Store) Upload(now time.Time, tenant, name, purpose string, r io.Reader, most int64) (File, error) {
	k, err := s.keeper(tenant, most)
	if err != nil {
		return File{}, err
	}
	if _, err := io.Copy(k, r); err != nil {
		k.drop()
		return File{}, err
	}
	f := File{Tenant: tenant, Name: name, Purpose: purpose, Bytes: k.n, Created: now.Unix()}
	if f.ID, err = s.newID("file-"); err != nil {
		k.drop()
		return File{}, err
	}
	if err := k.keep(f.ID); err != nil {
		return File{}, err
	}
	return f, s.v.Update(func(tx *recordstore.Tx) error { return put(tx, setFiles, f.ID, f) })
}

// File gives a tenant's file.
func (s *Store) File(tenant, id string) (f File, err error) {
	err = s.v.View(func(tx *recordstore.Tx) error { return get(tx, setFiles, id, &f) })
	if err == nil && (f.Tenant != tenant || f.Deleted) {
		err = fmt.Errorf("%s: %w", id, ErrNone)
	}
	return f, err
}

// list gives a tenant's things by their IDs, after one.
func list[T any](s *Store, set, after string, most int, mine func(*T) bool) (all []T, more bool, err error) {
	err = s.v.View(func(tx *recordstore.Tx) error {
		return tx.Each(set, []byte(after), func(k, value []byte, err error) error {
			var x T
			if string(k) == after || err != nil || json.Unmarshal(value, &x) != nil || !mine(&x) {
				return nil
			}
			if len(all) == most {
				more = true
				return recordstore.ErrStop
			}
			all = append(all, x)
			return nil
		})
	})
	return all, more, err
}

// Files gives a tenant's files, so many after one; more tells that there are others.
func (s *Store) Files(tenant, after string, most int) (fs []File, more bool, err error) {
	return list(s, setFiles, after, most, func(f *File) bool { return f.Tenant == tenant && !f.Deleted })
}

// Content opens what a file holds.
func (s *Store) Content(tenant, id string) (*os.File, error) {
	if _, err := s.File(tenant, id); err != nil {
		return nil, err
	}
	return os.Open(s.content(id))
}

// Delete takes a file from its tenant; its content goes once no batch reads it.
func (s *Store) Delete(tenant, id string) error {
	f, err := s.File(tenant, id)
	if err != nil {
		return err
	}
	used := false
	if err := s.v.Update(func(tx *recordstore.Tx) error {
		if used, err = s.inUse(tx, id); err != nil {
			return err
		}
		if !used {
			return tx.Delete(setFiles, []byte(id))
		}
		f.Deleted = true
		return put(tx, setFiles, id, f)
	}); err != nil || used {
		return err
	}
	return s.remove(f)
}

func (s *Store) remove(f File) error {
	s.reserve(f.Tenant, -f.Bytes)
	return os.Remove(s.content(f.ID))
}

// inUse tells whether a batch that is not over reads a file.
func (s *Store) inUse(tx *recordstore.Tx, id string) (bool, error) {
	used := false
	err := tx.Each(setBatches, nil, func(_, value []byte, err error) error {
		var b Batch
		if err == nil && json.Unmarshal(value, &b) == nil && b.Input == id && !b.State.Over() {
			used = true
			return recordstore.ErrStop
		}
		return nil
	})
	return used, err
}

// Sweep deletes files that are older than a retention and not in use; it gives how many.
func (s *Store) Sweep(now time.Time, keep time.Duration) (int, error) {
	old, _, err := list(s, setFiles, "", 1<<30, func(f *File) bool { return !f.Deleted && now.Unix()-f.Created > int64(keep/time.Second) })
	n := 0
	for _, f := range old {
		used := false
		if err == nil {
			err = s.v.View(func(tx *recordstore.Tx) error { used, err = s.inUse(tx, f.ID); return err })
		}
		if err == nil && !used {
			if err = s.Delete(f.Tenant, f.ID); err == nil {
				n++
			}
		}
	}
	return n, err
}

// Create makes a batch over a file; it is validating.
func (s *Store) Create(now time.Time, b Batch, window time.Duration) (Batch, error) {
	if _, err := s.File(b.Tenant, b.Input); err != nil {
		return Batch{}, err
	}
	var err error
	if b.ID, err = s.newID("batch_"); err != nil {
		return Batch{}, err
	}
	b.State, b.Created, b.Expires = batchscheduler.Validating, now.Unix(), now.Add(window).Unix()
	return b, s.v.Update(func(tx *recordstore.Tx) error { return put(tx, setBatches, b.ID, b) })
}

// Batch gives a tenant's batch.
func (s *Store) Batch(tenant, id string) (b Batch, err error) {
	err = s.v.View(func(tx *recordstore.Tx) error { return get(tx, setBatches, id, &b) })
	if err == nil && b.Tenant != tenant {
		err = fmt.Errorf("%s: %w", id, ErrNone)
	}
	return b, err
}

// Batches gives a tenant's batches, so many after one.
func (s *Store) Batches(tenant, after string, most int) (bs []Batch, more bool, err error) {
	return list(s, setBatches, after, most, func(b *Batch) bool { return b.Tenant == tenant })
}

// Open gives the batches of all tenants that are not over.
func (s *Store) Open() ([]Batch, error) {
	bs, _, err := list(s, setBatches, "", 1<<30, func(b *Batch) bool { return !b.State.Over() })
	return bs, err
}

// Change changes a batch whose state may follow; f sees it as it is and has it at that state.
func (s *Store) Change(id string, to batchscheduler.State, f func(b *Batch)) (b Batch, err error) {
	err = s.v.Update(func(tx *recordstore.Tx) error {
		if err := get(tx, setBatches, id, &b); err != nil {
			return err
		}
		if b.State != to {
			if err := batchscheduler.Step(b.State, to); err != nil {
				return fmt.Errorf("%w: %w", ErrState, err)
			}
		}
		b.State = to
		f(&b)
		if b.State.Over() {
			if err := dropLines(tx, id); err != nil {
				return err
			}
		}
		return put(tx, setBatches, id, b)
	})
	if err == nil && b.State.Over() {
		err = s.letGo(b.Input)
	}
	return b, err
}

func dropLines(tx *recordstore.Tx, id string) error {
	return errors.Join(tx.Drop(lines(id)), tx.Drop(results(id)))
}

// letGo removes a file that was deleted while a batch read it.
func (s *Store) letGo(id string) error {
	var f File
	gone := false
	err := s.v.Update(func(tx *recordstore.Tx) error {
		if err := get(tx, setFiles, id, &f); errors.Is(err, ErrNone) {
			return nil
		} else if err != nil {
			return err
		}
		used, err := s.inUse(tx, id)
		if err != nil || used || !f.Deleted {
			return err
		}
		gone = true
		return tx.Delete(setFiles, []byte(id))
	})
	if err == nil && gone {
		err = s.remove(f)
	}
	return err
}

func (l *Line) encode() []byte {
	b := make([]byte, 0, lineHeader+len(l.Custom))
	b = append(b, byte(l.At))
	b = binary.BigEndian.AppendUint64(b, uint64(l.Offset))
	b = binary.BigEndian.AppendUint32(b, uint32(l.Length))
	b = binary.BigEndian.AppendUint32(b, l.Sum)
	b = binary.BigEndian.AppendUint32(b, uint32(l.Cost))
	b = binary.BigEndian.AppendUint64(b, l.Group)
	return append(b, l.Custom...)
}

func decodeLine(b []byte) (Line, error) {
	if len(b) < lineHeader {
		return Line{}, fmt.Errorf("line of %d bytes: %w", len(b), ErrRotten)
	}
	return Line{
		At: batchscheduler.At(b[0]), Offset: int64(binary.BigEndian.Uint64(b[1:])), Length: int32(binary.BigEndian.Uint32(b[9:])),
		Sum: binary.BigEndian.Uint32(b[13:]), Cost: float32(binary.BigEndian.Uint32(b[17:])), Group: binary.BigEndian.Uint64(b[21:]),
		Custom: string(b[lineHeader:]),
	}, nil
}

// AddLines writes lines of a batch that is validating, from a number on; those that an earlier, cut off validation wrote
// are written over.
func (s *Store) AddLines(id string, from batchscheduler.Line, ls []Line) error {
	for len(ls) > 0 {
		some := ls[:min(len(ls), chunkLines)]
		if err := s.v.Update(func(tx *recordstore.Tx) error {
			for i := range some {
				if err := tx.Put(lines(id), key(from+batchscheduler.Line(i)), some[i].encode()); err != nil {
					return err
				}
			}
			return nil
		}); err != nil {
			return err
		}
		from, ls = from+batchscheduler.Line(len(some)), ls[len(some):]
	}
	return nil
}

// Lines gives a batch's lines by their numbers; one whose record has rotted comes with an error and nothing else.
func (s *Store) Lines(id string, f func(n batchscheduler.Line, l Line, rotten error) error) error {
	return s.v.View(func(tx *recordstore.Tx) error {
		return tx.Each(lines(id), nil, func(k, value []byte, err error) error {
			var l Line
			if err == nil {
				l, err = decodeLine(value)
			}
			return f(batchscheduler.Line(binary.BigEndian.Uint32(k)), l, err)
		})
	})
}

// Line gives one line of a batch.
func (s *Store) Line(id string, n batchscheduler.Line) (l Line, err error) {
	err = s.v.View(func(tx *recordstore.Tx) error {
		b, err := tx.Get(lines(id), key(n))
		if err != nil {
			return err
		}
		l, err = decodeLine(b)
		return err
	})
	return l, err
}

// Input opens the file that a batch reads, also after its tenant has deleted it.
func (s *Store) Input(id string) (*os.File, error) { return os.Open(s.content(id)) }

// Text reads what a line says; the error wraps ErrRotten if it is not what was handed in.
func (s *Store) Text(input string, n batchscheduler.Line, l Line) ([]byte, error) {
	f, err := os.Open(s.content(input))
	if err != nil {
		return nil, err
	}
	defer f.Close()
	b := make([]byte, l.Length)
	if _, err := f.ReadAt(b, l.Offset); err != nil {
		return nil, fmt.Errorf("%s, line %d: %w", input, n+1, err)
	}
	if crc32.ChecksumIEEE(b) != l.Sum {
		return nil, fmt.Errorf("%s, line %d, at byte %d: %w", input, n+1, l.Offset, ErrRotten)
	}
	return b, nil
}

// Mark has it on disk where a line stands, before a launch of it goes out or after it came back unheard.
func (s *Store) Mark(id string, n batchscheduler.Line, at batchscheduler.At) error {
	return s.v.Batch(func(tx *recordstore.Tx) error {
		b, err := tx.Get(lines(id), key(n))
		if err != nil {
			return err
		}
		l, err := decodeLine(b)
		if err != nil {
			return err
		}
		l.At = at
		return tx.Put(lines(id), key(n), l.encode())
	})
}

// End keeps what a line came to, once: done with its result, or lost with its error, as the output or the error file is
// to have it. A line that has ended stays as it ended.
func (s *Store) End(id string, n batchscheduler.Line, done bool, text []byte) error {
	return s.v.Batch(func(tx *recordstore.Tx) error { return end(tx, id, n, done, func(Line) []byte { return text }) })
}

// EndRest keeps that lines were lost, with what text says of each.
func (s *Store) EndRest(id string, ns []batchscheduler.Line, text func(n batchscheduler.Line, l Line) []byte) error {
	for len(ns) > 0 {
		some := ns[:min(len(ns), chunkLines)]
		if err := s.v.Update(func(tx *recordstore.Tx) error {
			for _, n := range some {
				if err := end(tx, id, n, false, func(l Line) []byte { return text(n, l) }); err != nil {
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

func end(tx *recordstore.Tx, id string, n batchscheduler.Line, done bool, text func(l Line) []byte) error {
	if _, err := tx.Get(results(id), key(n)); !errors.Is(err, recordstore.ErrNone) {
		return err
	}
	var b Batch
	if err := get(tx, setBatches, id, &b); err != nil {
		return err
	}
	if b.State.Over() {
		return fmt.Errorf("%s is %v: %w", id, b.State, ErrState)
	}
	kind, at := byte(0), batchscheduler.Lost
	if done {
		kind, at = 1, batchscheduler.Done
		b.Done++
	} else {
		b.Lost++
	}
	var l Line
	if old, err := tx.Get(lines(id), key(n)); err == nil {
		if l, err = decodeLine(old); err == nil {
			l.At = at
			if err := tx.Put(lines(id), key(n), l.encode()); err != nil {
				return err
			}
		}
	}
	if err := tx.Put(results(id), key(n), append([]byte{kind}, text(l)...)); err != nil {
		return err
	}
	return put(tx, setBatches, id, b)
}

// Finalize writes the output and the error file of a batch that is finalizing and ends it as it was to end. Cut off
// anywhere, it is begun anew.
func (s *Store) Finalize(now time.Time, b Batch) (Batch, error) {
	files := [2]File{} // lost, done
	for kind := range files {
		k, err := s.keeper(b.Tenant, 0)
		if err != nil {
			return b, err
		}
		some := false
		err = s.v.View(func(tx *recordstore.Tx) error {
			return tx.Each(results(b.ID), nil, func(n, value []byte, err error) error {
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
			k.drop()
			return b, err
		}
		if !some {
			k.drop()
			continue
		}
		name := []string{"errors", "output"}[kind]
		f := File{
			ID: "file-" + strings.TrimPrefix(b.ID, "batch_") + name[:1], Tenant: b.Tenant, Name: b.ID + "_" + name + ".jsonl",
			Purpose: "batch_output", Bytes: k.n, Created: now.Unix(),
		}
		if err := k.keep(f.ID); err != nil {
			return b, err
		}
		files[kind] = f
	}
	if err := s.fail("files written"); err != nil {
		return b, err
	}
	err := s.v.Update(func(tx *recordstore.Tx) error {
		if err := get(tx, setBatches, b.ID, &b); err != nil {
			return err
		}
		if err := batchscheduler.Step(b.State, b.Final); err != nil {
			return fmt.Errorf("%w: %w", ErrState, err)
		}
		for kind, f := range files {
			if f.ID == "" {
				continue
			}
			if err := put(tx, setFiles, f.ID, f); err != nil {
				return err
			}
			if kind == 1 {
				b.Output = f.ID
			} else {
				b.Errors = f.ID
			}
		}
		b.State, b.Ended = b.Final, now.Unix()
		if err := dropLines(tx, b.ID); err != nil {
			return err
		}
		return put(tx, setBatches, b.ID, b)
	})
	if err != nil {
		return b, err
	}
	return b, s.letGo(b.Input)
}

// Verify looks at every record and every line's content; it names what has rotted.
func (s *Store) Verify() (all int, rotten []string, err error) {
	all, damaged, err := s.v.Verify()
	for _, d := range damaged {
		rotten = append(rotten, d.Error())
	}
	if err != nil {
		return all, rotten, err
	}
	open, err := s.Open()
	for _, b := range open {
		if err != nil {
			break
		}
		err = s.Lines(b.ID, func(n batchscheduler.Line, l Line, e error) error {
			if e == nil {
				if _, e = s.Text(b.Input, n, l); e != nil {
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
func (s *Store) Snapshot(w io.Writer) error { return s.v.Snapshot(w) }
