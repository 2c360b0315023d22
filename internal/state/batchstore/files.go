package batchstore

import (
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"docksail/internal/state/recordstore"
)

// Purposes of files in the API.
const (
	PurposeInput  = "batch"
	PurposeOutput = "batch_output"
)

// File is the record of a tenant's file.
type File struct {
	ID          string `json:"id"`
	Tenant      string `json:"tenant"`
	Name        string `json:"name"`
	Purpose     string `json:"purpose"`
	SizeBytes   int64  `json:"bytes"`
	CreatedUnix int64  `json:"created"`           // Unix seconds
	Deleted     bool   `json:"deleted,omitempty"` // hidden from its tenant while a batch still reads it
}

// UploadFile stores the content of r as a new file. Its error wraps ErrFileTooLarge if the content is larger than
// maxBytes and ErrQuotaExceeded if it exceeds the tenant's quota. A failed upload uses no quota; the next Open removes
// content that it may have left.
func (s *Store) UploadFile(now time.Time, tenant, name, purpose string, r io.Reader, maxBytes int64) (File, error) {
	w, err := s.newContentWriter(tenant, maxBytes)
	if err != nil {
		return File{}, err
	}
	if _, err := io.Copy(w, r); err != nil {
		w.discard()
		return File{}, err
	}
	file := File{Tenant: tenant, Name: name, Purpose: purpose, SizeBytes: w.written, CreatedUnix: now.Unix()}
	if file.ID, err = s.newID(fileIDPrefix); err != nil {
		w.discard()
		return File{}, err
	}
	if err := w.commit(file.ID); err != nil {
		return File{}, err
	}
	err = s.records.Update(func(tx *recordstore.Tx) error {
		if err := s.atFailpoint(beforeFileRecord); err != nil {
			return err
		}
		return putJSON(tx, filesSet, file.ID, file)
	})
	if err != nil {
		s.discardUnrecorded(file)
	}
	return file, err
}

// File returns a tenant's file. Its error wraps ErrNotFound if the tenant has none with that ID.
func (s *Store) File(tenant, id string) (file File, err error) {
	err = s.records.View(func(tx *recordstore.Tx) error { return getJSON(tx, filesSet, id, &file) })
	if err == nil && (file.Tenant != tenant || file.Deleted) {
		err = fmt.Errorf("%s: %w", id, ErrNotFound)
	}
	return file, err
}

// Files returns at most limit files of a tenant whose IDs are greater than after, sorted by ID.
func (s *Store) Files(tenant, after string, limit int) (Page[File], error) {
	return list(s, filesSet, after, limit, func(f *File) bool { return f.Tenant == tenant && !f.Deleted })
}

// OpenContent opens the content of a tenant's file.
func (s *Store) OpenContent(tenant, id string) (*os.File, error) {
	if _, err := s.File(tenant, id); err != nil {
		return nil, err
	}
	return os.Open(s.contentPath(id))
}

// OpenInput opens the content of a batch's input file, even if the tenant has deleted the file.
func (s *Store) OpenInput(id string) (*os.File, error) { return os.Open(s.contentPath(id)) }

// DeleteFile deletes a tenant's file. Its content is kept until no unfinished batch reads it.
func (s *Store) DeleteFile(tenant, id string) error {
	file, err := s.File(tenant, id)
	if err != nil {
		return err
	}
	inUse := false
	err = s.records.Update(func(tx *recordstore.Tx) error {
		if inUse, err = isInUse(tx, id); err != nil {
			return err
		}
		if !inUse {
			return tx.Delete(filesSet, []byte(id))
		}
		file.Deleted = true
		return putJSON(tx, filesSet, id, file)
	})
	if err != nil || inUse {
		return err
	}
	return s.removeContent(file)
}

// DeleteFilesOlderThan deletes the files that are older than retention and that no unfinished batch reads. It returns
// the number of deleted files.
func (s *Store) DeleteFilesOlderThan(now time.Time, retention time.Duration) (deleted int, err error) {
	retentionSeconds := int64(retention / time.Second)
	old, err := list(s, filesSet, "", unlimited, func(f *File) bool {
		return !f.Deleted && now.Unix()-f.CreatedUnix > retentionSeconds
	})
	if err != nil {
		return 0, err
	}
	for _, file := range old.Items {
		inUse := false
		err := s.records.View(func(tx *recordstore.Tx) error {
			inUse, err = isInUse(tx, file.ID)
			return err
		})
		if err != nil {
			return deleted, err
		}
		if inUse {
			continue
		}
		if err := s.DeleteFile(file.Tenant, file.ID); err != nil {
			return deleted, err
		}
		deleted++
	}
	return deleted, nil
}

// removeDeletedInput removes an input file that its tenant has deleted, unless an unfinished batch still reads it.
func (s *Store) removeDeletedInput(id string) error {
	var file File
	remove := false
	err := s.records.Update(func(tx *recordstore.Tx) error {
		err := getJSON(tx, filesSet, id, &file)
		if errors.Is(err, ErrNotFound) {
			return nil
		}
		if err != nil {
			return err
		}
		inUse, err := isInUse(tx, id)
		if err != nil || inUse || !file.Deleted {
			return err
		}
		remove = true
		return tx.Delete(filesSet, []byte(id))
	})
	if err != nil || !remove {
		return err
	}
	return s.removeContent(file)
}

// removeContent removes the content of a file whose record was deleted, and releases its quota.
func (s *Store) removeContent(file File) error {
	s.releaseQuota(file.Tenant, file.SizeBytes)
	return os.Remove(s.contentPath(file.ID))
}
