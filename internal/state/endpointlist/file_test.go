package endpointlist

import (
	"errors"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"docksail/policy"
)

// formatOneFile is a complete file of format 1. Load must accept it and Encode must write the same bytes.
const formatOneFile = "315de4763a56bc726c66e148069c8e9e5cb1464e846660d0054c865efa58b82e\n" +
	`{"format":1,"version":3,"hosts":[` +
	`{"id":1,"address":"127.0.0.1:1001","role":1,"zone":"a","cell":"c","health":0,"started_unix_ns":5},` +
	`{"id":2,"address":"127.0.0.1:1002","role":1,"zone":"a","cell":"c","health":1,"started_unix_ns":0}]}`

// TestFileFormat checks that a list is encoded as the bytes of format 1 and that those bytes can be loaded.
func TestFileFormat(t *testing.T) {
	list := New()
	draining := endpoint(2, 0, policy.Draining)
	if _, err := list.Apply(fullUpdate(3, endpoint(1, 5, policy.Serving), draining)); err != nil {
		t.Fatal(err)
	}
	if got := string(list.Encode()); got != formatOneFile {
		t.Errorf("encoded list is\n%s\nwant\n%s", got, formatOneFile)
	}
	name := filepath.Join(t.TempDir(), "list")
	if err := os.WriteFile(name, []byte(formatOneFile), 0o600); err != nil {
		t.Fatal(err)
	}
	read := New()
	if _, err := read.Load(name); err != nil {
		t.Fatal(err)
	}
	if got, _ := read.Find(2); got != draining || read.Version() != 3 {
		t.Errorf("read endpoint 2 as %+v at version %d, want %+v at version 3", got, read.Version(), draining)
	}
}

func TestSaveAndLoad(t *testing.T) {
	name := filepath.Join(t.TempDir(), "list")
	l := New()
	if _, err := l.Apply(fullUpdate(3, endpoint(1, 5, policy.Serving), endpoint(2, 0, policy.Draining))); err != nil {
		t.Fatal(err)
	}
	if err := Save(name, l.Encode()); err != nil {
		t.Fatal(err)
	}
	loaded := New()
	endpoints, err := loaded.Load(name)
	if err != nil || len(endpoints) != 2 || !reflect.DeepEqual(loaded.Endpoints(), l.Endpoints()) {
		t.Fatalf("loaded %+v, %v", loaded.Endpoints(), err)
	}
	if _, err := loaded.Apply(partialUpdate(4)); !errors.Is(err, ErrMissedUpdates) {
		t.Errorf("partial update after Load: %v, want %v", err, ErrMissedUpdates)
	}
	if err := Save(filepath.Join(t.TempDir(), "no", "such", "place"), l.Encode()); err == nil {
		t.Error("saved into a directory that does not exist")
	}
}

// TestLoadDetectsCorruption checks that Load rejects a file with any one byte changed or truncated to any length.
func TestLoadDetectsCorruption(t *testing.T) {
	const newlineOffset = 2 * 32 // after the digest; the only byte that is not checked
	name := filepath.Join(t.TempDir(), "list")
	load := func(content []byte) error {
		if err := os.WriteFile(name, content, 0o600); err != nil {
			t.Fatal(err)
		}
		_, err := New().Load(name)
		return err
	}
	text := []byte(formatOneFile)
	for i := range text {
		changed := append([]byte(nil), text...)
		changed[i] ^= 4
		if err := load(changed); !errors.Is(err, ErrCorruptFile) && i != newlineOffset {
			t.Fatalf("byte %d changed: %v, want %v", i, err, ErrCorruptFile)
		}
		if err := load(text[:i]); !errors.Is(err, ErrCorruptFile) {
			t.Fatalf("truncated to %d bytes: %v, want %v", i, err, ErrCorruptFile)
		}
	}
}

// TestLoadUnknownFormat checks that a file of another format is rejected.
func TestLoadUnknownFormat(t *testing.T) {
	body := []byte(`{"format":2,"version":3,"hosts":[]}`)
	name := filepath.Join(t.TempDir(), "list")
	if err := os.WriteFile(name, append([]byte(digest(body)+"\n"), body...), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, err := New().Load(name); !errors.Is(err, ErrUnknownFormat) {
		t.Errorf("%v, want %v", err, ErrUnknownFormat)
	}
}
