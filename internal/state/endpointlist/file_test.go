package endpointlist

import (
	"os"
	"path/filepath"
	"testing"

	"docksail/policy"
)

// savedList is a complete file of format 1. A dispatcher must go on reading and writing exactly these bytes.
const savedList = "315de4763a56bc726c66e148069c8e9e5cb1464e846660d0054c865efa58b82e\n" +
	`{"format":1,"version":3,"hosts":[` +
	`{"id":1,"address":"127.0.0.1:1001","role":1,"zone":"a","cell":"c","health":0,"started_unix_ns":5},` +
	`{"id":2,"address":"127.0.0.1:1002","role":1,"zone":"a","cell":"c","health":1,"started_unix_ns":0}]}`

// TestFileFormat compares a saved list with the bytes of format 1, and reads those bytes back.
func TestFileFormat(t *testing.T) {
	list := New()
	draining := host(2, 0, policy.Draining)
	if _, err := list.Apply(3, true, []Endpoint{host(1, 5, policy.Serving), draining}); err != nil {
		t.Fatal(err)
	}
	if got := string(list.Encode()); got != savedList {
		t.Errorf("encoded list is\n%s\nwant\n%s", got, savedList)
	}
	name := filepath.Join(t.TempDir(), "list")
	if err := os.WriteFile(name, []byte(savedList), 0o600); err != nil {
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
