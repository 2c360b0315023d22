package recordstore

import (
	"io"
	"testing"

	"go.etcd.io/bbolt"
)

// Snapshot writes a consistent copy of the store's file to w without blocking updates. Only tests use it.
func (s *Store) Snapshot(w io.Writer) (err error) {
	defer recoverFault(s.path, &err)()
	return s.db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(w)
		return err
	})
}

// ReplaceSyncDir replaces the function that syncs a directory until the test ends.
func ReplaceSyncDir(t *testing.T, sync func(name string) error) {
	t.Helper()
	previous := syncDir
	syncDir = sync
	t.Cleanup(func() { syncDir = previous })
}
