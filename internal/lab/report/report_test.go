package report

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/experiment"
	"docksail/internal/lab/scenario"
)

// TestReport checks that the page of a simulated run has its classes, faults and plots, and that the complete entries
// of a truncated log are drawn.
func TestReport(t *testing.T) {
	s, err := scenario.Load("../scenario/testdata/badday.json")
	if err != nil {
		t.Fatal(err)
	}
	s.Duration = 10 * s.Duration / 46
	rep, err := experiment.Simulate(t.Context(), s, "", s.Duration/20)
	if err != nil {
		t.Fatal(err)
	}
	var b bytes.Buffer
	if err := eventlog.Write(&b, rep.Entries); err != nil {
		t.Fatal(err)
	}
	truncated, err := eventlog.Read(bytes.NewReader(b.Bytes()[:b.Len()*2/3]))
	if err == nil || !strings.Contains(err.Error(), "entry ") || len(truncated) < len(rep.Entries)/2 {
		t.Fatalf("%d of %d entries of a truncated log: %v", len(truncated), len(rep.Entries), err)
	}
	dir := t.TempDir()
	if err := WriteReport(dir, []RunEntries{{"whole", rep.Entries}, {"truncated", truncated}}); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"question", "booking", "crash", "truncated", "data:image/png;base64,"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("%q is missing on the page", want)
		}
	}
	if strings.Contains(string(page), "http://") || strings.Contains(string(page), "https://") {
		t.Error("the page refers to another host, want a self-contained page")
	}
	for _, name := range []string{"1-service.png", "1-queue.png", "2-sent.png"} {
		f, err := os.Open(filepath.Join(dir, name))
		if err != nil {
			t.Fatal(err)
		}
		if img, err := png.Decode(f); err != nil || img.Bounds().Dx() < 500 {
			t.Errorf("%s: %v", name, err)
		}
		f.Close()
	}
	// Guards against a panic, and against times since 1970, where a log lacks its beginning.
	withoutStart := rep.Entries[len(rep.Entries)/2:]
	if err := WriteReport(t.TempDir(), []RunEntries{{"without its beginning", withoutStart}}); err != nil {
		t.Error(err)
	}
	data, err := newRunData(RunEntries{"without its beginning", withoutStart})
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range data.classRows() {
		if millis, _ := strconv.ParseFloat(row.P99, 64); millis > 60e3 {
			t.Errorf("class %s: p99 of the first token %s ms, want less than a minute", row.Class, row.P99)
		}
	}
	answersOnly := slices.DeleteFunc(slices.Clone(rep.Entries), func(e eventlog.Entry) bool {
		return e.Kind == eventlog.RequestSent && e.Class != "question"
	})
	if err := WriteReport(t.TempDir(), []RunEntries{{"without requests of a class", answersOnly}}); err != nil {
		t.Error(err)
	}
	if err := WriteReport(dir, []RunEntries{{"none", nil}}); err == nil {
		t.Error("a log without entries was accepted, want an error")
	}
}
