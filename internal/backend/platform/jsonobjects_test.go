package platform

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"docksail/internal/h1"
)

// TestObjectSplitter: wherever a stream of objects is cut, they come out as they were.
func TestObjectSplitter(t *testing.T) {
	want := []string{`{"a":"}{\"[","b":[{"c":1},[]]}`, "{\n\t\"x\": \"\\\\\"\n}", "[1]"}
	text := "\n" + want[0] + want[1] + "\r\n\n " + want[2] + "\n"
	for cut := range len(text) {
		var s objectSplitter
		var got []string
		for _, p := range []string{text[:cut], text[cut:]} {
			err := s.feed([]byte(p), func(text []byte) error { got = append(got, string(text)); return nil })
			if err != nil {
				t.Fatalf("cut at %d: %v", cut, err)
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("cut at %d: %q", cut, got)
		}
	}
	ignore := func([]byte) error { return nil }
	var s objectSplitter
	if s.feed([]byte("{} x"), ignore) == nil {
		t.Error("no error for other bytes between objects")
	}
	open := bytes.Repeat([]byte{'['}, 1<<20)
	err := error(nil)
	for range 20 {
		if err == nil {
			err = s.feed(open, ignore)
		}
	}
	if !errors.Is(err, h1.ErrBodyTooLarge) {
		t.Errorf("%v for an object without an end, want %v", err, h1.ErrBodyTooLarge)
	}
}
