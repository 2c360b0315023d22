package report

import (
	"bytes"
	"image/png"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/experiment"
	"docksail/internal/lab/scenario"
)

// TestReport: the page of a played day names its tracks and troubles and holds plots that are pictures; a record whose
// writer was killed in mid-write is drawn as far as it goes.
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
	torn, err := eventlog.Read(bytes.NewReader(b.Bytes()[:b.Len()*2/3]))
	if err == nil || !strings.Contains(err.Error(), "entry ") || len(torn) < len(rep.Entries)/2 {
		t.Fatalf("%d of %d entries of a torn record: %v", len(torn), len(rep.Entries), err)
	}
	dir := t.TempDir()
	if err := WriteReport(dir, []RunEntries{{"whole", rep.Entries}, {"torn", torn}}); err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile(filepath.Join(dir, "report.html"))
	if err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{"question", "booking", "crash", "torn", "data:image/png;base64,"} {
		if !strings.Contains(string(page), want) {
			t.Errorf("the page does not have %q", want)
		}
	}
	if strings.Contains(string(page), "http://") || strings.Contains(string(page), "https://") {
		t.Error("the page needs something from elsewhere")
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
	if err := WriteReport(dir, []RunEntries{{"none", nil}}); err == nil {
		t.Error("a record without entries is drawn")
	}
}
