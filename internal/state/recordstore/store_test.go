package recordstore

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// TestModel compares a store with a map under random updates, of which some fail, and reopens the store at random.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		path := filepath.Join(t.TempDir(), "v")
		s, err := Open(path)
		if err != nil {
			rt.Fatal(err)
		}
		defer func() { s.Close() }()
		want := map[string]string{}
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			next := map[string]string{}
			maps.Copy(next, want)
			fails := rapid.Bool().Draw(rt, "fails")
			errAborted := errors.New("update aborted")
			err := s.Update(func(tx *Tx) error {
				for range rapid.IntRange(0, 5).Draw(rt, "changes") {
					set, key := fmt.Sprint("s", rapid.IntRange(0, 2).Draw(rt, "set")), fmt.Sprint(rapid.IntRange(0, 4).Draw(rt, "key"))
					if rapid.IntRange(0, 3).Draw(rt, "what") == 0 {
						delete(next, set+"/"+key)
						if err := tx.Delete(set, []byte(key)); err != nil {
							return err
						}
						continue
					}
					value := rapid.String().Draw(rt, "value")
					next[set+"/"+key] = value
					if err := tx.Put(set, []byte(key), []byte(value)); err != nil {
						return err
					}
				}
				if fails {
					return errAborted
				}
				return nil
			})
			if fails != errors.Is(err, errAborted) || !fails && err != nil {
				rt.Fatal(err)
			}
			if !fails {
				want = next
			}
			if rapid.IntRange(0, 3).Draw(rt, "reopen") == 0 {
				s.Close()
				if s, err = Open(path); err != nil {
					rt.Fatal(err)
				}
			}
			got := map[string]string{}
			err = s.View(func(tx *Tx) error {
				names, err := tx.SetNames()
				if err != nil {
					return err
				}
				for _, set := range names {
					if err := tx.ForEach(set, nil, func(key, value []byte, err error) error {
						got[set+"/"+string(key)] = string(value)
						return err
					}); err != nil {
						return err
					}
				}
				return nil
			})
			if err != nil {
				rt.Fatal(err)
			}
			if fmt.Sprint(got) != fmt.Sprint(want) {
				rt.Fatalf("%v, want %v", got, want)
			}
		}
	})
}

// writeFile writes a file and fails the test on an error.
func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

// createStore creates a store with 200 records of the set "set" and returns its path.
func createStore(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "v")
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Update(func(tx *Tx) error {
		for i := range 200 {
			if err := tx.Put("set", fmt.Appendf(nil, "key%03d", i), bytes.Repeat([]byte{byte('a' + i%26)}, 100)); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if _, err := Open(path); !errors.Is(err, ErrLocked) {
		t.Errorf("opened twice: %v", err)
	}
	s.Close()
	return path
}

// TestCorruption checks that a changed byte in a value is reported as one corrupt record, and that a changed byte
// anywhere in the file results in an error or in intact records, never in a wrong record.
func TestCorruption(t *testing.T) {
	path := createStore(t)
	intact, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	valueOffset := bytes.Index(intact, bytes.Repeat([]byte{'h'}, 100))
	corrupted := bytes.Clone(intact)
	corrupted[valueOffset+50] ^= 4
	writeFile(t, path, corrupted)
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	records, corrupt, err := s.Verify()
	if err != nil || records != 200 || len(corrupt) != 1 ||
		corrupt[0].Set != "set" || !bytes.HasPrefix(corrupt[0].Key, []byte("key")) {
		t.Errorf("%d records, %v, %v", records, corrupt, err)
	}
	s.Close()
	detected := 0
	for i := 0; i < len(intact); i += 97 {
		corrupted := bytes.Clone(intact)
		corrupted[i] ^= 1 << (i % 8)
		writeFile(t, path, corrupted)
		s, err := Open(path)
		if err != nil {
			detected++
			continue
		}
		err = s.View(func(tx *Tx) error {
			return tx.ForEach("set", nil, func(key, value []byte, err error) error {
				if err != nil {
					return err
				}
				var n int
				if _, err := fmt.Sscanf(string(key), "key%03d", &n); err != nil {
					t.Fatalf("byte %d changed: key %q was read without an error", i, key)
				}
				if string(key) != fmt.Sprintf("key%03d", n) || !bytes.Equal(value, bytes.Repeat([]byte{byte('a' + n%26)}, 100)) {
					t.Fatalf("byte %d changed: %q was read as %q without an error", i, key, value)
				}
				return nil
			})
		})
		if err != nil {
			detected++
		}
		s.Close()
	}
	if detected == 0 {
		t.Error("no change was detected")
	}
}

// TestSnapshotAndCompact checks that a snapshot has the records as of its creation, and that Compact frees space, keeps
// every record and overwrites the temporary file of an interrupted call.
func TestSnapshotAndCompact(t *testing.T) {
	path := createStore(t)
	s, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	snap := filepath.Join(t.TempDir(), "snap")
	f, err := os.Create(snap)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Snapshot(f); err != nil {
		t.Fatal(err)
	}
	f.Close()
	if err := s.Update(func(tx *Tx) error {
		for i := range 20000 {
			if err := tx.Put("big", fmt.Append(nil, i), make([]byte, 100)); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if err := s.Update(func(tx *Tx) error { return tx.DropSet("big") }); err != nil {
		t.Fatal(err)
	}
	s.Close()
	writeFile(t, path+compactSuffix, []byte("incomplete"))
	before, after, err := Compact(path)
	if err != nil || after > before/4 {
		t.Errorf("from %d to %d bytes: %v", before, after, err)
	}
	for _, p := range []string{snap, path} {
		s, err := Open(p)
		if err != nil {
			t.Fatal(err)
		}
		if records, corrupt, err := s.Verify(); err != nil || records != 200 || len(corrupt) > 0 {
			t.Errorf("%s: %d records, %v, %v", p, records, corrupt, err)
		}
		s.Close()
	}
}

// TestDirectoryIsSynced guards against a new or a compacted file that a crash of the machine undoes, as its directory
// was not synced, and against an error of that sync that is not reported.
func TestDirectoryIsSynced(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "vault")
	for _, c := range []struct {
		name   string
		change func() error
	}{
		{"open", func() error {
			s, err := Open(path)
			if err != nil {
				return err
			}
			return s.Close()
		}},
		{"compact", func() error {
			_, _, err := Compact(path)
			return err
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var synced []string
			ReplaceSyncDir(t, func(name string) error {
				synced = append(synced, name)
				return nil
			})
			if err := c.change(); err != nil || !slices.Contains(synced, dir) {
				t.Errorf("synced %v, error %v; want %s", synced, err, dir)
			}
			last := len(synced)
			ReplaceSyncDir(t, func(string) error {
				if last--; last > 0 {
					return nil
				}
				return errSync
			})
			if err := c.change(); !errors.Is(err, errSync) {
				t.Errorf("error %v, want that of the sync", err)
			}
		})
	}
}

var errSync = errors.New("input/output error")
