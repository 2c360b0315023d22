package recordstore

import (
	"errors"
	"os"
	"path/filepath"

	"go.etcd.io/bbolt"
)

const (
	// compactSuffix ends the name of the temporary file that Compact writes.
	compactSuffix = ".compact"
	// compactTxBytes limits the size of the transactions that Compact writes.
	compactTxBytes = 1 << 20
)

// Compact replaces the file of a store by a copy without free pages and returns the sizes of both in bytes. No process
// may have the store open. If Compact is interrupted, the old file stays.
func Compact(path string) (before, after int64, err error) {
	defer recoverFault(path, &err)()
	source, err := Open(path)
	if err != nil {
		return 0, 0, err
	}
	defer source.Close()
	copyPath := path + compactSuffix
	if err := os.Remove(copyPath); err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, 0, err
	}
	if err := writeCompactCopy(source, copyPath); err != nil {
		return 0, 0, err
	}
	if before, err = source.Size(); err != nil {
		return 0, 0, err
	}
	info, err := os.Stat(copyPath)
	if err != nil {
		return 0, 0, err
	}
	if err := os.Rename(copyPath, path); err != nil {
		return 0, 0, err
	}
	return before, info.Size(), syncDir(filepath.Dir(path))
}

// writeCompactCopy writes the records of a store into a new file.
func writeCompactCopy(source *Store, path string) error {
	db, err := bbolt.Open(path, fileMode, &bbolt.Options{Timeout: lockTimeout})
	if err != nil {
		return err
	}
	if err := bbolt.Compact(db, source.db, compactTxBytes); err != nil {
		return errors.Join(err, db.Close())
	}
	return db.Close()
}
