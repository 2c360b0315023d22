package recordstore

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"pgregory.net/rapid"
)

// TestModel: random changes, some of which fail and some of which end with the vault closed and opened again, against a
// plain map.
func TestModel(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		path := filepath.Join(t.TempDir(), "v")
		v, err := Open(path)
		if err != nil {
			rt.Fatal(err)
		}
		defer func() { v.Close() }()
		want := map[string]string{}
		for range rapid.IntRange(1, 12).Draw(rt, "steps") {
			next := map[string]string{}
			for k, x := range want {
				next[k] = x
			}
			fails := rapid.Bool().Draw(rt, "fails")
			no := errors.New("no")
			err := v.Update(func(tx *Tx) error {
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
					return no
				}
				return nil
			})
			if fails != errors.Is(err, no) || !fails && err != nil {
				rt.Fatal(err)
			}
			if !fails {
				want = next
			}
			if rapid.IntRange(0, 3).Draw(rt, "reopen") == 0 {
				v.Close()
				if v, err = Open(path); err != nil {
					rt.Fatal(err)
				}
			}
			got := map[string]string{}
			v.View(func(tx *Tx) error {
				for _, set := range tx.SetNames() {
					tx.ForEach(set, nil, func(k, x []byte, err error) error {
						got[set+"/"+string(k)] = string(x)
						return err
					})
				}
				return nil
			})
			if fmt.Sprint(got) != fmt.Sprint(want) {
				rt.Fatalf("%v, want %v", got, want)
			}
		}
	})
}

func filled(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "v")
	v, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := v.Update(func(tx *Tx) error {
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
	v.Close()
	return path
}

// TestRot: one changed byte in what a record holds is found, named, and harms no other; changed bytes anywhere in the
// file end in errors or in records that are right, never in wrong ones.
func TestRot(t *testing.T) {
	path := filled(t)
	whole, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	at := bytes.Index(whole, bytes.Repeat([]byte{'h'}, 100))
	rotten := bytes.Clone(whole)
	rotten[at+50] ^= 4
	os.WriteFile(path, rotten, 0o600)
	v, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	all, damaged, err := v.Verify()
	if err != nil || all != 200 || len(damaged) != 1 || damaged[0].Set != "set" || !bytes.HasPrefix(damaged[0].Key, []byte("key")) {
		t.Errorf("%d records, %v, %v", all, damaged, err)
	}
	v.Close()
	found := 0
	for i := 0; i < len(whole); i += 97 {
		rotten := bytes.Clone(whole)
		rotten[i] ^= 1 << (i % 8)
		os.WriteFile(path, rotten, 0o600)
		v, err := Open(path)
		if err != nil {
			found++
			continue
		}
		err = v.View(func(tx *Tx) error {
			return tx.ForEach("set", nil, func(k, x []byte, err error) error {
				if err != nil {
					return err
				}
				var n int
				fmt.Sscanf(string(k), "key%03d", &n)
				if string(k) != fmt.Sprintf("key%03d", n) || !bytes.Equal(x, bytes.Repeat([]byte{byte('a' + n%26)}, 100)) {
					t.Fatalf("byte %d changed: %q is %q and nothing says so", i, k, x)
				}
				return nil
			})
		})
		if err != nil {
			found++
		}
		v.Close()
	}
	if found == 0 {
		t.Error("no change was found")
	}
}

// TestSnapshotAndCompact: a snapshot opens as the vault was; compacting gives room back and keeps every record, and one
// that was cut off before leaves nothing in the way.
func TestSnapshotAndCompact(t *testing.T) {
	path := filled(t)
	v, err := Open(path)
	if err != nil {
		t.Fatal(err)
	}
	snap := filepath.Join(t.TempDir(), "snap")
	f, err := os.Create(snap)
	if err != nil {
		t.Fatal(err)
	}
	if err := v.Snapshot(f); err != nil {
		t.Fatal(err)
	}
	f.Close()
	if err := v.Update(func(tx *Tx) error {
		for i := range 20000 {
			if err := tx.Put("big", fmt.Append(nil, i), make([]byte, 100)); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		t.Fatal(err)
	}
	if err := v.Update(func(tx *Tx) error { return tx.DropSet("big") }); err != nil {
		t.Fatal(err)
	}
	v.Close()
	os.WriteFile(path+".compact", []byte("half of one"), 0o600)
	before, after, err := Compact(path)
	if err != nil || after > before/4 {
		t.Errorf("from %d to %d bytes: %v", before, after, err)
	}
	for _, p := range []string{snap, path} {
		v, err := Open(p)
		if err != nil {
			t.Fatal(err)
		}
		if all, damaged, err := v.Verify(); err != nil || all != 200 || len(damaged) > 0 {
			t.Errorf("%s: %d records, %v, %v", p, all, damaged, err)
		}
		v.Close()
	}
}
