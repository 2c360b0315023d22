package simulatorwire

import (
	"bytes"
	"os"
	"testing"
)

// TestTranscript checks that the events of a recorded run cause exactly the recorded decisions.
func TestTranscript(t *testing.T) {
	input, err := os.ReadFile("testdata/transcript.in")
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile("testdata/transcript.out")
	if err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	if err := Serve(bytes.NewReader(input), &output); err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := bytes.Split(output.Bytes(), []byte{'\n'}), bytes.Split(want, []byte{'\n'})
	for i := range min(len(gotLines), len(wantLines)) {
		if !bytes.Equal(gotLines[i], wantLines[i]) {
			t.Fatalf("line %d is %q, want %q", i+1, gotLines[i], wantLines[i])
		}
	}
	if len(gotLines) != len(wantLines) {
		t.Errorf("%d lines, want %d", len(gotLines), len(wantLines))
	}
}
