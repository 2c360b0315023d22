package platform

import (
	"slices"
	"testing"
)

// Wherever a stream of objects is cut, they come out as they were.
func TestValues(t *testing.T) {
	want := []string{`{"a":"}{\"[","b":[{"c":1},[]]}`, "{\n\t\"x\": \"\\\\\"\n}", "[1]"}
	text := "\n" + want[0] + want[1] + "\r\n\n " + want[2] + "\n"
	for cut := range len(text) {
		var v objectSplitter
		var got []string
		for _, p := range []string{text[:cut], text[cut:]} {
			if err := v.feed([]byte(p), func(text []byte) error { got = append(got, string(text)); return nil }); err != nil {
				t.Fatalf("cut at %d: %v", cut, err)
			}
		}
		if !slices.Equal(got, want) {
			t.Fatalf("cut at %d: %q", cut, got)
		}
	}
	var v objectSplitter
	if v.feed([]byte("{} x"), func([]byte) error { return nil }) == nil {
		t.Error("noise between objects was taken")
	}
	room := make([]byte, 1<<20)
	for i := range room {
		room[i] = '['
	}
	err := error(nil)
	for range 20 {
		if err == nil {
			err = v.feed(room, func([]byte) error { return nil })
		}
	}
	if err == nil {
		t.Error("an object without end was kept")
	}
}
