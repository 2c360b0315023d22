package platform

import (
	"bytes"
	"errors"
	"slices"
	"testing"

	"docksail/internal/h1"
)

// TestObjectSplitter checks that a stream is split into its objects wherever it is cut in two, and that an unexpected
// byte between objects and an object that is too long are rejected.
func TestObjectSplitter(t *testing.T) {
	want := []string{`{"a":"}{\"[","b":[{"c":1},[]]}`, "{\n\t\"x\": \"\\\\\"\n}", "[1]"}
	text := "\n" + want[0] + want[1] + "\r\n\n " + want[2] + "\n"
	for cut := range len(text) {
		var splitter objectSplitter
		var got []string
		for _, piece := range []string{text[:cut], text[cut:]} {
			err := splitter.feed([]byte(piece), func(object []byte) error { got = append(got, string(object)); return nil })
			if err != nil {
				t.Fatalf("cut at %d: %v", cut, err)
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("cut at %d: got %q", cut, got)
		}
	}
	ignore := func([]byte) error { return nil }
	var splitter objectSplitter
	if splitter.feed([]byte("{} x"), ignore) == nil {
		t.Error("no error for an unexpected byte between objects")
	}
	opening := bytes.Repeat([]byte{'['}, 1<<20)
	err := error(nil)
	for range 20 {
		if err == nil {
			err = splitter.feed(opening, ignore)
		}
	}
	if !errors.Is(err, h1.ErrBodyTooLarge) {
		t.Errorf("object without an end: got error %v, want %v", err, h1.ErrBodyTooLarge)
	}
}

// TestObjectLimitOfLastPiece guards against an object that is longer than permitted and is accepted because its last
// piece completes it.
func TestObjectLimitOfLastPiece(t *testing.T) {
	var splitter objectSplitter
	handled := 0
	handle := func([]byte) error { handled++; return nil }
	start := append([]byte(`{"a":"`), bytes.Repeat([]byte{'x'}, maxListObjectBytes-10)...)
	if err := splitter.feed(start, handle); err != nil {
		t.Fatal(err)
	}
	err := splitter.feed(append(bytes.Repeat([]byte{'x'}, 100), '"', '}'), handle)
	if !errors.Is(err, h1.ErrBodyTooLarge) || handled > 0 {
		t.Errorf("error %v, %d objects handled; want %v and none", err, handled, h1.ErrBodyTooLarge)
	}
}
