package recordstore

import (
	"io"

	"go.etcd.io/bbolt"
)

// Snapshot writes the store's file as it is when Snapshot is called; changes may go on meanwhile. Only tests use it.
func (s *Store) Snapshot(w io.Writer) (err error) {
	defer recoverFault(s.path, &err)()
	return s.db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(w)
		return err
	})
}
