package recordstore

import (
	"io"

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
