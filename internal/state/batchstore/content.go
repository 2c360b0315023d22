package batchstore

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"docksail/internal/state/durable"
	"docksail/internal/state/recordstore"
)

const (
	// quotaReserveBytes is the quota that a contentWriter reserves at a time.
	quotaReserveBytes = 1 << 20
	// contentBufferBytes is the size of a contentWriter's buffer.
	contentBufferBytes = 64 << 10
)

// reserveQuota reserves bytes of a tenant's quota. Its error wraps ErrQuotaExceeded if too few are free.
func (s *Store) reserveQuota(tenant string, bytes int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if used := s.usedBytes[tenant]; bytes > 0 && s.tenantQuotaBytes > 0 && used+bytes > s.tenantQuotaBytes {
		return fmt.Errorf("%d bytes requested, %d of %d bytes used: %w", bytes, used, s.tenantQuotaBytes, ErrQuotaExceeded)
	}
	s.usedBytes[tenant] += bytes
	return nil
}

// releaseQuota releases bytes of a tenant's quota.
func (s *Store) releaseQuota(tenant string, bytes int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.usedBytes[tenant] -= bytes
}

// contentWriter writes the content of a new file into a temporary file and moves it into place once it is complete.
type contentWriter struct {
	store    *Store
	tenant   string
	file     *os.File
	buffer   *bufio.Writer
	written  int64 // bytes
	reserved int64 // bytes of the tenant's quota
	maxBytes int64 // 0 = unlimited
}

// newContentWriter returns a writer of at most maxBytes, or of any number if maxBytes is 0.
func (s *Store) newContentWriter(tenant string, maxBytes int64) (*contentWriter, error) {
	file, err := os.CreateTemp(filepath.Join(s.dir, uploadsDirName), "*")
	if err != nil {
		return nil, err
	}
	return &contentWriter{
		store: s, tenant: tenant, file: file, buffer: bufio.NewWriterSize(file, contentBufferBytes), maxBytes: maxBytes,
	}, nil
}

// Write implements io.Writer. Its error wraps ErrFileTooLarge or ErrQuotaExceeded if p would exceed the limit.
func (w *contentWriter) Write(p []byte) (int, error) {
	if w.maxBytes > 0 && w.written+int64(len(p)) > w.maxBytes {
		return 0, fmt.Errorf("more than %d bytes: %w", w.maxBytes, ErrFileTooLarge)
	}
	if missing := w.written + int64(len(p)) - w.reserved; missing > 0 {
		if err := w.reserve(missing); err != nil {
			return 0, err
		}
	}
	n, err := w.buffer.Write(p)
	w.written += int64(n)
	return n, err
}

// reserve reserves quotaReserveBytes, or only the needed bytes if these are more or the rest of the quota is less.
func (w *contentWriter) reserve(needed int64) error {
	size := max(needed, quotaReserveBytes)
	if w.store.reserveQuota(w.tenant, size) == nil {
		w.reserved += size
		return nil
	}
	if err := w.store.reserveQuota(w.tenant, needed); err != nil {
		return err
	}
	w.reserved += needed
	return nil
}

// discard removes the temporary file and releases the quota.
func (w *contentWriter) discard() {
	w.file.Close()
	_ = os.Remove(w.file.Name()) // the next Open removes a leftover file
	w.store.releaseQuota(w.tenant, w.reserved)
}

// commit syncs the content and moves it into place as the content of a file. If that fails, it discards the content.
func (w *contentWriter) commit(fileID string) error {
	if err := w.moveInPlace(fileID); err != nil {
		w.discard()
		_ = os.Remove(w.store.contentPath(fileID)) // it is there if the directory could not be synced
		return err
	}
	w.store.releaseQuota(w.tenant, w.reserved-w.written)
	if err := w.store.atFailpoint(afterContentInPlace); err != nil {
		w.store.releaseQuota(w.tenant, w.written)
		return err
	}
	return nil
}

// discardUnrecorded removes the content of files whose records could not be stored, and releases their quota. It keeps
// what has a record all the same, as a change whose sync has failed may be in place.
func (s *Store) discardUnrecorded(files ...File) {
	for _, file := range files {
		if file.ID == "" { // there was nothing to write
			continue
		}
		var recorded File
		err := s.records.View(func(tx *recordstore.Tx) error { return getJSON(tx, filesSet, file.ID, &recorded) })
		if !errors.Is(err, ErrNotFound) {
			continue
		}
		s.releaseQuota(file.Tenant, file.SizeBytes)
		_ = os.Remove(s.contentPath(file.ID)) // the next Open removes leftover content
	}
}

// moveInPlace syncs the temporary file, renames it to the path of the content and syncs the directory.
func (w *contentWriter) moveInPlace(fileID string) error {
	if err := w.buffer.Flush(); err != nil {
		return err
	}
	if err := w.file.Sync(); err != nil {
		return err
	}
	if err := w.file.Close(); err != nil {
		return err
	}
	if err := w.store.atFailpoint(afterContentWritten); err != nil {
		return err
	}
	path := w.store.contentPath(fileID)
	if err := os.Rename(w.file.Name(), path); err != nil {
		return err
	}
	return durable.SyncDir(filepath.Dir(path))
}
