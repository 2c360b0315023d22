// Package batchstore stores the files and batches of the batch API: uploaded files, the state of every batch and line,
// and results. Changes are durable: a change is on disk before the call that made it returns.
//
// File contents are plain files; everything else is records in a recordstore.Store beside them. docs/storage.md
// describes the format.
package batchstore

import (
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"

	"docksail/internal/state/durable"
	"docksail/internal/state/recordstore"
)

// Errors that callers distinguish with errors.Is. The batch API returns their texts to its clients.
var (
	// ErrNotFound means that the tenant has no such file or batch.
	ErrNotFound = errors.New("no such file or batch")
	// ErrQuotaExceeded means that a file exceeds the tenant's quota.
	ErrQuotaExceeded = errors.New("tenant quota exceeded")
	// ErrFileTooLarge means that a file is larger than the caller allows.
	ErrFileTooLarge = errors.New("file too large")
	// ErrInvalidState means that the state of a batch does not allow the change.
	ErrInvalidState = errors.New("invalid batch state")
	// ErrCorrupt means that stored data is incomplete or does not match its checksum.
	ErrCorrupt = errors.New("corrupt data")
)

// Names within a store's directory. They are part of the stored format.
const (
	recordsFileName = "vault"
	contentsDirName = "files"
	uploadsDirName  = "tmp"
)

// Names of record sets and prefixes of IDs. They are part of the stored format.
const (
	filesSet      = "files"
	batchesSet    = "batches"
	fileIDPrefix  = "file-"
	batchIDPrefix = "batch_"
)

const (
	dirMode = 0o700
	// idBytes is the number of random bytes in an ID.
	idBytes = 12
	// maxLinesPerUpdate limits the lines of one record store update, so that memory does not grow with the batch.
	maxLinesPerUpdate = 2000
	// unlimited is a page size that no list exceeds.
	unlimited = 1 << 30
)

// failpoint is a step after or before which tests inject an error, as if the process had crashed or the disk were full.
type failpoint string

const (
	afterContentWritten failpoint = "content written"
	afterContentInPlace failpoint = "content in place"
	afterFilesWritten   failpoint = "files written"
	beforeFileRecord    failpoint = "file record"
	beforeBatchRecord   failpoint = "batch record"
)

// Store holds the files and batches of one directory. Its methods may be called concurrently.
type Store struct {
	records          *recordstore.Store
	dir              string
	tenantQuotaBytes int64 // 0 = unlimited
	idSource         io.Reader
	atFailpoint      func(at failpoint) error // returns nil except in tests

	mu        sync.Mutex
	usedBytes map[string]int64 // by tenant, including uploads in progress
}

// Open opens the store in a directory, which it creates if it does not exist. tenantQuotaBytes limits the total size of
// each tenant's files; 0 means unlimited. Open removes the remains of interrupted uploads. Its error wraps
// recordstore.ErrLocked if another process has the store open.
func Open(dir string, tenantQuotaBytes int64) (*Store, error) {
	if err := createDirs(dir); err != nil {
		return nil, err
	}
	records, err := recordstore.Open(filepath.Join(dir, recordsFileName))
	if err != nil {
		return nil, err
	}
	s := &Store{
		records:          records,
		dir:              dir,
		tenantQuotaBytes: tenantQuotaBytes,
		idSource:         rand.Reader,
		atFailpoint:      func(failpoint) error { return nil },
		usedBytes:        map[string]int64{},
	}
	if err := s.recoverContents(); err != nil {
		return nil, errors.Join(fmt.Errorf("store %s: %w", dir, err), records.Close())
	}
	return s, nil
}

// createDirs creates a store's directory and those in it, unless they exist. recordstore.Open makes the latter durable.
func createDirs(dir string) error {
	_, err := os.Stat(dir)
	isNew := errors.Is(err, os.ErrNotExist)
	for _, name := range []string{contentsDirName, uploadsDirName} {
		if err := os.MkdirAll(filepath.Join(dir, name), dirMode); err != nil {
			return err
		}
	}
	if isNew {
		return durable.SyncDir(filepath.Dir(dir))
	}
	return nil
}

// Close closes the store.
func (s *Store) Close() error { return s.records.Close() }

func (s *Store) contentPath(fileID string) string {
	return filepath.Join(s.dir, contentsDirName, fileID)
}

// newID returns a new random ID with a prefix.
func (s *Store) newID(prefix string) (string, error) {
	random := make([]byte, idBytes)
	if _, err := io.ReadFull(s.idSource, random); err != nil {
		return "", err
	}
	return prefix + hex.EncodeToString(random), nil
}

// putJSON stores a value as a JSON record.
func putJSON(tx *recordstore.Tx, set, id string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return tx.Put(set, []byte(id), encoded)
}

// getJSON decodes a JSON record into value. Its error wraps ErrNotFound if there is no such record.
func getJSON(tx *recordstore.Tx, set, id string, value any) error {
	encoded, err := tx.Get(set, []byte(id))
	if errors.Is(err, recordstore.ErrNotFound) {
		return fmt.Errorf("%s: %w", id, ErrNotFound)
	}
	if err != nil {
		return err
	}
	return json.Unmarshal(encoded, value)
}

// Page is a part of a list, ordered by ID.
type Page[T any] struct {
	Items   []T
	HasMore bool // more items follow the last one
}

// list returns at most limit items of a set that satisfy matches and whose IDs are greater than after, sorted by ID. It
// skips corrupt records.
func list[T any](s *Store, set, after string, limit int, matches func(*T) bool) (page Page[T], err error) {
	err = s.records.View(func(tx *recordstore.Tx) error {
		return tx.ForEach(set, []byte(after), func(key, encoded []byte, corrupt error) error {
			var item T
			if string(key) == after || corrupt != nil || json.Unmarshal(encoded, &item) != nil || !matches(&item) {
				return nil
			}
			if len(page.Items) == limit {
				page.HasMore = true
				return recordstore.ErrStopIteration
			}
			page.Items = append(page.Items, item)
			return nil
		})
	})
	return page, err
}
