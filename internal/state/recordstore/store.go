// Package recordstore keeps small records in named sets, in one file of one process. Every record carries a version and a
// checksum over its set, its key and what it holds, so that what has rotted is found, named, and harms nothing else.
// The file is a bbolt database: a change is whole on disk or not there, whatever ends the process.
package recordstore

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"os"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
)

// ErrLocked says that another process has the vault open.
var ErrLocked = errors.New("another process has it open")

// ErrNotFound says that there is no such record.
var ErrNotFound = errors.New("no such record")

// CorruptRecordError is a record that is not what was written, or that a later version of the program wrote.
type CorruptRecordError struct {
	Set     string
	Key     []byte
	Problem string
}

func (e *CorruptRecordError) Error() string {
	return fmt.Sprintf("record %q of %s: %s", e.Key, e.Set, e.Problem)
}

const (
	recordVersion = 1
	headerBytes   = 5 // version, checksum
	lockTimeout   = time.Second
	fileMode      = 0o600
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Store is such a file, open.
type Store struct {
	db   *bbolt.DB
	path string
}

// Open opens a vault, or makes it. The error wraps ErrLocked if another process has it.
func Open(path string) (v *Store, err error) {
	defer recoverFault(path, &err)()
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, fmt.Errorf("vault %s: %w", path, ErrLocked)
	}
	if err != nil {
		return nil, fmt.Errorf("vault %s: %w", path, err)
	}
	return &Store{db, path}, nil
}

// recoverFault turns panics and faults over pages that make no sense into an error; the function that it gives is deferred.
func recoverFault(path string, err *error) func() {
	was := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(was)
		if p := recover(); p != nil {
			*err = fmt.Errorf("vault %s is damaged: %v", path, p)
		}
	}
}

// Close closes it.
func (s *Store) Close() (err error) {
	defer recoverFault(s.path, &err)()
	return s.db.Close()
}

// Size is the length of its file in bytes.
func (s *Store) Size() (int64, error) {
	info, err := os.Stat(s.path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Tx is a change, or a look.
type Tx struct{ tx *bbolt.Tx }

// Update makes a change: all of it, durable when it returns, or with an error none.
func (s *Store) Update(f func(tx *Tx) error) (err error) {
	defer recoverFault(s.path, &err)()
	return s.db.Update(func(tx *bbolt.Tx) error { return f(&Tx{tx}) })
}

// UpdateBatched is Update, made together with others that come at the same time: one sync serves many. f may be called more than
// once.
func (s *Store) UpdateBatched(f func(tx *Tx) error) (err error) {
	defer recoverFault(s.path, &err)()
	return s.db.Batch(func(tx *bbolt.Tx) error { return f(&Tx{tx}) })
}

// View looks at one moment of the vault.
func (s *Store) View(f func(tx *Tx) error) (err error) {
	defer recoverFault(s.path, &err)()
	return s.db.View(func(tx *bbolt.Tx) error { return f(&Tx{tx}) })
}

func recordChecksum(set string, key, value []byte) uint32 {
	c := crc32.Update(0, castagnoli, []byte(set))
	c = crc32.Update(c, castagnoli, []byte{0})
	c = crc32.Update(c, castagnoli, key)
	c = crc32.Update(c, castagnoli, []byte{0})
	return crc32.Update(c, castagnoli, value)
}

// Put writes a record.
func (t *Tx) Put(set string, key, value []byte) error {
	b, err := t.tx.CreateBucketIfNotExists([]byte(set))
	if err != nil {
		return fmt.Errorf("set %s: %w", set, err)
	}
	r := make([]byte, headerBytes, headerBytes+len(value))
	r[0] = recordVersion
	binary.BigEndian.PutUint32(r[1:], recordChecksum(set, key, value))
	if err := b.Put(key, append(r, value...)); err != nil {
		return fmt.Errorf("record %q of %s: %w", key, set, err)
	}
	return nil
}

func decodeRecord(set string, key, r []byte) ([]byte, error) {
	switch {
	case len(r) < headerBytes:
		return nil, &CorruptRecordError{set, bytes.Clone(key), "shorter than a record can be"}
	case r[0] != recordVersion:
		return nil, &CorruptRecordError{set, bytes.Clone(key), fmt.Sprintf("version %d, want %d", r[0], recordVersion)}
	case binary.BigEndian.Uint32(r[1:]) != recordChecksum(set, key, r[headerBytes:]):
		return nil, &CorruptRecordError{set, bytes.Clone(key), "its checksum does not fit"}
	}
	return r[headerBytes:], nil
}

// Get gives a record, valid until the end of the change or look; its error wraps ErrNotFound, or is a *Damage.
func (t *Tx) Get(set string, key []byte) ([]byte, error) {
	b := t.tx.Bucket([]byte(set))
	if b == nil {
		return nil, fmt.Errorf("%q of %s: %w", key, set, ErrNotFound)
	}
	r := b.Get(key)
	if r == nil {
		return nil, fmt.Errorf("%q of %s: %w", key, set, ErrNotFound)
	}
	return decodeRecord(set, key, r)
}

// Delete takes a record out, if it is there.
func (t *Tx) Delete(set string, key []byte) error {
	if b := t.tx.Bucket([]byte(set)); b != nil {
		return b.Delete(key)
	}
	return nil
}

// DropSet takes a whole set out, if it is there.
func (t *Tx) DropSet(set string) error {
	if t.tx.Bucket([]byte(set)) == nil {
		return nil
	}
	return t.tx.DeleteBucket([]byte(set))
}

// ForEach gives the records of a set by their keys, from one on; a record that is damaged comes with its error. It ends
// with f's first error, of which ErrStopIteration ends it well.
func (t *Tx) ForEach(set string, from []byte, f func(key, value []byte, damaged error) error) error {
	b := t.tx.Bucket([]byte(set))
	if b == nil {
		return nil
	}
	c := b.Cursor()
	for k, r := c.Seek(from); k != nil; k, r = c.Next() {
		value, err := decodeRecord(set, k, r)
		if err := f(k, value, err); errors.Is(err, ErrStopIteration) {
			return nil
		} else if err != nil {
			return err
		}
	}
	return nil
}

// ErrStopIteration ends Each.
var ErrStopIteration = errors.New("stop")

// SetNames are the names of all sets.
func (t *Tx) SetNames() []string {
	var names []string
	t.tx.ForEach(func(name []byte, _ *bbolt.Bucket) error {
		names = append(names, string(name))
		return nil
	})
	return names
}

// Verify reads every record and gives those that are damaged, and how many there are.
func (s *Store) Verify() (all int, damaged []*CorruptRecordError, err error) {
	err = s.View(func(tx *Tx) error {
		for _, set := range tx.SetNames() {
			if err := tx.ForEach(set, nil, func(_, _ []byte, err error) error {
				all++
				var d *CorruptRecordError
				if errors.As(err, &d) {
					damaged = append(damaged, d)
				}
				return nil
			}); err != nil {
				return err
			}
		}
		return nil
	})
	return all, damaged, err
}

// Snapshot writes the vault as it is at one moment; changes go on meanwhile.
func (s *Store) Snapshot(w io.Writer) (err error) {
	defer recoverFault(s.path, &err)()
	return s.db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(w)
		return err
	})
}

const compactTxBytes = 1 << 20 // bytes of a change while a vault is compacted

// Compact writes what a vault that nobody has open holds into a new file and puts that in its place; it gives the bytes
// before and after. If it is cut off the old file stands.
func Compact(path string) (before, after int64, err error) {
	defer recoverFault(path, &err)()
	old, err := Open(path)
	if err != nil {
		return 0, 0, err
	}
	defer old.Close()
	next := path + ".compact"
	if err := os.Remove(next); err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, 0, err
	}
	db, err := bbolt.Open(next, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return 0, 0, err
	}
	if err := bbolt.Compact(db, old.db, compactTxBytes); err != nil {
		db.Close()
		return 0, 0, err
	}
	if err := db.Close(); err != nil {
		return 0, 0, err
	}
	if before, err = old.Size(); err != nil {
		return 0, 0, err
	}
	info, err := os.Stat(next)
	if err != nil {
		return 0, 0, err
	}
	return before, info.Size(), os.Rename(next, path)
}
