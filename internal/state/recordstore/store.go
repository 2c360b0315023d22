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

// ErrOwned says that another process has the vault open.
var ErrOwned = errors.New("another process has it open")

// ErrNone says that there is no such record.
var ErrNone = errors.New("no such record")

// Damage is a record that is not what was written, or that a later version of the program wrote.
type Damage struct {
	Set  string
	Key  []byte
	What string
}

func (d *Damage) Error() string { return fmt.Sprintf("record %q of %s: %s", d.Key, d.Set, d.What) }

const (
	version  = 1
	header   = 5 // version, checksum
	lockWait = time.Second
	mode     = 0o600
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Vault is such a file, open.
type Vault struct {
	db   *bbolt.DB
	path string
}

// Open opens a vault, or makes it. The error wraps ErrOwned if another process has it.
func Open(path string) (v *Vault, err error) {
	defer guard(path, &err)()
	db, err := bbolt.Open(path, mode, &bbolt.Options{Timeout: lockWait, FreelistType: bbolt.FreelistMapType})
	if errors.Is(err, berrors.ErrTimeout) {
		return nil, fmt.Errorf("vault %s: %w", path, ErrOwned)
	}
	if err != nil {
		return nil, fmt.Errorf("vault %s: %w", path, err)
	}
	return &Vault{db, path}, nil
}

// guard turns panics and faults over pages that make no sense into an error; the function that it gives is deferred.
func guard(path string, err *error) func() {
	was := debug.SetPanicOnFault(true)
	return func() {
		debug.SetPanicOnFault(was)
		if p := recover(); p != nil {
			*err = fmt.Errorf("vault %s is damaged: %v", path, p)
		}
	}
}

// Close closes it.
func (v *Vault) Close() (err error) {
	defer guard(v.path, &err)()
	return v.db.Close()
}

// Size is the length of its file in bytes.
func (v *Vault) Size() (int64, error) {
	info, err := os.Stat(v.path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// Tx is a change, or a look.
type Tx struct{ tx *bbolt.Tx }

// Update makes a change: all of it, durable when it returns, or with an error none.
func (v *Vault) Update(f func(tx *Tx) error) (err error) {
	defer guard(v.path, &err)()
	return v.db.Update(func(tx *bbolt.Tx) error { return f(&Tx{tx}) })
}

// Batch is Update, made together with others that come at the same time: one sync serves many. f may be called more than
// once.
func (v *Vault) Batch(f func(tx *Tx) error) (err error) {
	defer guard(v.path, &err)()
	return v.db.Batch(func(tx *bbolt.Tx) error { return f(&Tx{tx}) })
}

// View looks at one moment of the vault.
func (v *Vault) View(f func(tx *Tx) error) (err error) {
	defer guard(v.path, &err)()
	return v.db.View(func(tx *bbolt.Tx) error { return f(&Tx{tx}) })
}

func sum(set string, key, value []byte) uint32 {
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
	r := make([]byte, header, header+len(value))
	r[0] = version
	binary.BigEndian.PutUint32(r[1:], sum(set, key, value))
	if err := b.Put(key, append(r, value...)); err != nil {
		return fmt.Errorf("record %q of %s: %w", key, set, err)
	}
	return nil
}

func open(set string, key, r []byte) ([]byte, error) {
	switch {
	case len(r) < header:
		return nil, &Damage{set, bytes.Clone(key), "shorter than a record can be"}
	case r[0] != version:
		return nil, &Damage{set, bytes.Clone(key), fmt.Sprintf("version %d, want %d", r[0], version)}
	case binary.BigEndian.Uint32(r[1:]) != sum(set, key, r[header:]):
		return nil, &Damage{set, bytes.Clone(key), "its checksum does not fit"}
	}
	return r[header:], nil
}

// Get gives a record, valid until the end of the change or look; its error wraps ErrNone, or is a *Damage.
func (t *Tx) Get(set string, key []byte) ([]byte, error) {
	b := t.tx.Bucket([]byte(set))
	if b == nil {
		return nil, fmt.Errorf("%q of %s: %w", key, set, ErrNone)
	}
	r := b.Get(key)
	if r == nil {
		return nil, fmt.Errorf("%q of %s: %w", key, set, ErrNone)
	}
	return open(set, key, r)
}

// Delete takes a record out, if it is there.
func (t *Tx) Delete(set string, key []byte) error {
	if b := t.tx.Bucket([]byte(set)); b != nil {
		return b.Delete(key)
	}
	return nil
}

// Drop takes a whole set out, if it is there.
func (t *Tx) Drop(set string) error {
	if t.tx.Bucket([]byte(set)) == nil {
		return nil
	}
	return t.tx.DeleteBucket([]byte(set))
}

// Each gives the records of a set by their keys, from one on; a record that is damaged comes with its error. It ends
// with f's first error, of which ErrStop ends it well.
func (t *Tx) Each(set string, from []byte, f func(key, value []byte, damaged error) error) error {
	b := t.tx.Bucket([]byte(set))
	if b == nil {
		return nil
	}
	c := b.Cursor()
	for k, r := c.Seek(from); k != nil; k, r = c.Next() {
		value, err := open(set, k, r)
		if err := f(k, value, err); errors.Is(err, ErrStop) {
			return nil
		} else if err != nil {
			return err
		}
	}
	return nil
}

// ErrStop ends Each.
var ErrStop = errors.New("stop")

// Sets are the names of all sets.
func (t *Tx) Sets() []string {
	var names []string
	t.tx.ForEach(func(name []byte, _ *bbolt.Bucket) error {
		names = append(names, string(name))
		return nil
	})
	return names
}

// Verify reads every record and gives those that are damaged, and how many there are.
func (v *Vault) Verify() (all int, damaged []*Damage, err error) {
	err = v.View(func(tx *Tx) error {
		for _, set := range tx.Sets() {
			if err := tx.Each(set, nil, func(_, _ []byte, err error) error {
				all++
				var d *Damage
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
func (v *Vault) Snapshot(w io.Writer) (err error) {
	defer guard(v.path, &err)()
	return v.db.View(func(tx *bbolt.Tx) error {
		_, err := tx.WriteTo(w)
		return err
	})
}

const compactTx = 1 << 20 // bytes of a change while a vault is compacted

// Compact writes what a vault that nobody has open holds into a new file and puts that in its place; it gives the bytes
// before and after. If it is cut off the old file stands.
func Compact(path string) (before, after int64, err error) {
	defer guard(path, &err)()
	old, err := Open(path)
	if err != nil {
		return 0, 0, err
	}
	defer old.Close()
	next := path + ".compact"
	if err := os.Remove(next); err != nil && !errors.Is(err, os.ErrNotExist) {
		return 0, 0, err
	}
	db, err := bbolt.Open(next, mode, &bbolt.Options{Timeout: lockWait})
	if err != nil {
		return 0, 0, err
	}
	if err := bbolt.Compact(db, old.db, compactTx); err != nil {
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
