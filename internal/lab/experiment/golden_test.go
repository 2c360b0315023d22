package experiment

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/scenario"
)

var updateGolden = flag.Bool("update", false, "record new digests of the golden runs")

const (
	goldenFile = "testdata/golden.json"
	// minGoldenRuns counts, for each of five seeds, six scenarios with five policies and a long one with docksail's own.
	minGoldenRuns = 5 * (6*5 + 1)
)

// digestLength is the number of hexadecimal digits of a SHA-256 sum that testdata/golden.json contains.
const digestLength = 16

// goldenRun is a simulated run and the recorded digests of its output.
type goldenRun struct {
	Script  string `json:"script"` // relative to the repository's root
	Seed    int64  `json:"seed"`
	Policy  string `json:"policy,omitempty"` // baseline policy; empty: docksail's own
	Sums    string `json:"sums"`             // digest of the output of `docksail lab sim --sums`
	Entries string `json:"entries"`          // digest of the file that `docksail lab sim --entries` writes
}

// TestGoldenRuns compares simulated runs with digests recorded on amd64, where Go fuses no floating-point operations.
// Only an intended change of behavior may record new digests, with -update, and its commit must give the reason.
func TestGoldenRuns(t *testing.T) {
	text, err := os.ReadFile(goldenFile)
	if err != nil {
		t.Fatal(err)
	}
	var runs []goldenRun
	if err := json.Unmarshal(text, &runs); err != nil {
		t.Fatal(err)
	}
	if len(runs) < minGoldenRuns {
		t.Fatalf("%d recorded runs, want %d at least", len(runs), minGoldenRuns)
	}
	if *updateGolden {
		recordGolden(t, runs)
	}
	for _, want := range runs {
		t.Run(fmt.Sprintf("%s/seed=%d/%s", filepath.Base(want.Script), want.Seed, want.Policy), func(t *testing.T) {
			t.Parallel()
			got := runGolden(t, want)
			if got != want {
				t.Errorf("sums %s, entries %s; want %s, %s", got.Sums, got.Entries, want.Sums, want.Entries)
			}
		})
	}
}

// recordGolden executes the runs and writes them with their new digests to the golden file, one run per line.
func recordGolden(t *testing.T, runs []goldenRun) {
	t.Helper()
	var file bytes.Buffer
	file.WriteString("[\n")
	for i := range runs {
		runs[i] = runGolden(t, runs[i])
		line, err := json.Marshal(runs[i])
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&file, "  %s", line)
		if i < len(runs)-1 {
			file.WriteByte(',')
		}
		file.WriteByte('\n')
	}
	file.WriteString("]\n")
	if err := os.WriteFile(goldenFile, file.Bytes(), 0o600); err != nil {
		t.Fatal(err)
	}
}

// runGolden executes a recorded run and returns it with the digests of its output.
func runGolden(t *testing.T, run goldenRun) goldenRun {
	t.Helper()
	script, err := scenario.Load(filepath.Join("../../..", run.Script))
	if err != nil {
		t.Fatal(err)
	}
	script.Seed = run.Seed
	report, err := Simulate(t.Context(), script, run.Policy, 0)
	if err != nil {
		t.Fatal(err)
	}
	var sums, entries bytes.Buffer
	if err := json.NewEncoder(&sums).Encode(Summarize(&report.Report)); err != nil {
		t.Fatal(err)
	}
	if err := eventlog.Write(&entries, report.Entries); err != nil {
		t.Fatal(err)
	}
	run.Sums, run.Entries = digest(sums.Bytes()), digest(entries.Bytes())
	return run
}

func digest(p []byte) string {
	sum := sha256.Sum256(p)
	return hex.EncodeToString(sum[:])[:digestLength]
}
