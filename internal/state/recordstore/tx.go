package recordstore

import (
	"errors"
	"fmt"

	"go.etcd.io/bbolt"
)

// Tx is a transaction. It is valid until the function that it was passed to returns.
type Tx struct{ tx *bbolt.Tx }

// Put stores a record. It creates the set if it does not exist.
func (t *Tx) Put(set string, key, value []byte) error {
	bucket, err := t.tx.CreateBucketIfNotExists([]byte(set))
	if err != nil {
		return fmt.Errorf("set %s: %w", set, err)
	}
	if err := bucket.Put(key, encodeRecord(set, key, value)); err != nil {
		return fmt.Errorf("record %q of set %s: %w", key, set, err)
	}
	return nil
}

// Get returns the value of a record, which is valid until the transaction ends. Its error wraps ErrNotFound or is a
// *CorruptRecordError.
func (t *Tx) Get(set string, key []byte) ([]byte, error) {
	bucket := t.tx.Bucket([]byte(set))
	if bucket == nil {
		return nil, fmt.Errorf("record %q of set %s: %w", key, set, ErrNotFound)
	}
	record := bucket.Get(key)
	if record == nil {
		return nil, fmt.Errorf("record %q of set %s: %w", key, set, ErrNotFound)
	}
	return decodeRecord(set, key, record)
}

// Delete removes a record if it exists.
func (t *Tx) Delete(set string, key []byte) error {
	bucket := t.tx.Bucket([]byte(set))
	if bucket == nil {
		return nil
	}
	return bucket.Delete(key)
}

// DropSet removes a set and its records if it exists.
func (t *Tx) DropSet(set string) error {
	if t.tx.Bucket([]byte(set)) == nil {
		return nil
	}
	return t.tx.DeleteBucket([]byte(set))
}

// ForEach calls visit for the records of a set in the order of their keys, starting at the first key that is not less
// than from. For a corrupt record, corrupt is a *CorruptRecordError and value is nil. ForEach ends at visit's first
// error and returns it, or nil if it is ErrStopIteration.
func (t *Tx) ForEach(set string, from []byte, visit func(key, value []byte, corrupt error) error) error {
	bucket := t.tx.Bucket([]byte(set))
	if bucket == nil {
		return nil
	}
	cursor := bucket.Cursor()
	for key, record := cursor.Seek(from); key != nil; key, record = cursor.Next() {
		value, corrupt := decodeRecord(set, key, record)
		err := visit(key, value, corrupt)
		if errors.Is(err, ErrStopIteration) {
			return nil
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// SetNames returns the names of all sets.
func (t *Tx) SetNames() ([]string, error) {
	var names []string
	err := t.tx.ForEach(func(name []byte, _ *bbolt.Bucket) error {
		names = append(names, string(name))
		return nil
	})
	return names, err
}
