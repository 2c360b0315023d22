// Package recordstore stores small records in named sets, in one file that a single process has open. Every record
// carries a version and a checksum over its set, key and value, so that a corrupt record is detected and leaves others
// intact. The file is a bbolt database: a transaction is stored completely or not at all, even if the process crashes.
package recordstore

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"go.etcd.io/bbolt"
	bolterrors "go.etcd.io/bbolt/errors"

	"docksail/internal/state/durable"
)

var (
	// ErrLocked means that another process has the store open.
	ErrLocked = errors.New("locked by another process")
	// ErrNotFound means that a record does not exist.
	ErrNotFound = errors.New("record not found")
	// ErrStopIteration is returned by a callback of Tx.ForEach to end the iteration without an error.
	ErrStopIteration = errors.New("iteration stopped")
)

const (
	lockTimeout             = time.Second
	fileMode    fs.FileMode = 0o600
)

// Store is an open record store. Its methods may be called concurrently.
type Store struct {
	db   *bbolt.DB
	path string
}

// syncDir makes the entries of a directory durable. Tests replace it.
var syncDir = durable.SyncDir

// Open opens the store in a file, which it creates if it does not exist. Its error wraps ErrLocked if another process
// has the store open.
func Open(path string) (s *Store, err error) {
	defer recoverFault(path, &err)()
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, bolterrors.ErrTimeout) {
		return nil, fmt.Errorf("record store %s: %w", path, ErrLocked)
	}
	if err != nil {
		return nil, fmt.Errorf("record store %s: %w", path, err)
	}
	if err := syncDir(filepath.Dir(path)); err != nil { // the file may be new
		return nil, errors.Join(fmt.Errorf("record store %s: %w", path, err), db.Close())
	}
	return &Store{db, path}, nil
}

// Close closes the store.
func (s *Store) Close() (err error) {
	defer recoverFault(s.path, &err)()
	return s.db.Close()
}

// recoverFault returns a function to be deferred that turns a panic or a memory fault into an error. bbolt panics on
// corrupt pages and faults on references beyond the end of the file.
func recoverFault(path string, err *error) func() {
	previous := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(previous)
		if cause := recover(); cause != nil {
			*err = fmt.Errorf("record store %s is corrupt: %v", path, cause)
		}
	}
}

// Size returns the size of the store's file in bytes.
func (s *Store) Size() (int64, error) {
	info, err := os.Stat(s.path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Update calls change in a read-write transaction and commits it. The changes are on disk when Update returns; if it
// returns an error, none of them is.
func (s *Store) Update(change func(tx *Tx) error) (err error) {
	defer recoverFault(s.path, &err)()
	return s.db.Update(func(tx *bbolt.Tx) error { return change(&Tx{tx}) })
}

// UpdateBatched is like Update, but commits the changes of concurrent calls together, with one sync. It may call change
// more than once.
func (s *Store) UpdateBatched(change func(tx *Tx) error) (err error) {
	defer recoverFault(s.path, &err)()
	return s.db.Batch(func(tx *bbolt.Tx) error { return change(&Tx{tx}) })
}

// View calls read in a read-only transaction, which sees the store as it is when View is called.
func (s *Store) View(read func(tx *Tx) error) (err error) {
	defer recoverFault(s.path, &err)()
	return s.db.View(func(tx *bbolt.Tx) error { return read(&Tx{tx}) })
}

// Verify reads every record. It returns the number of records and an error for each corrupt one.
func (s *Store) Verify() (records int, corrupt []*CorruptRecordError, err error) {
	err = s.View(func(tx *Tx) error {
		names, err := tx.SetNames()
		if err != nil {
			return err
		}
		for _, set := range names {
			err := tx.ForEach(set, nil, func(_, _ []byte, err error) error {
				records++
				if e, ok := errors.AsType[*CorruptRecordError](err); ok {
					corrupt = append(corrupt, e)
				}
				return nil
			})
			if err != nil {
				return err
			}
		}
		return nil
	})
	return records, corrupt, err
}
