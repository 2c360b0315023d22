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

var updateGolden = flag.Bool("update", false, "record the golden runs anew")

const (
	goldenFile = "testdata/golden.json"
	// minGoldenRuns are six scenarios with each policy, and a long one with docksail's own, over five seeds.
	minGoldenRuns = 5 * (6*5 + 1)
)

// digestLength is how many hexadecimal digits of a SHA-256 sum testdata/golden.json keeps.
const digestLength = 16

// goldenRun is one simulated run, and the digests of what it produced at commit 61b72d4.
type goldenRun struct {
	Script  string `json:"script"` // relative to the repository's root
	Seed    int64  `json:"seed"`
	Policy  string `json:"policy,omitempty"` // a textbook policy in place of docksail's
	Sums    string `json:"sums"`             // of what `docksail lab sim --sums` prints
	Entries string `json:"entries"`          // of what `docksail lab sim --entries` writes
}

// TestGoldenRuns plays scenarios in simulated time and compares the outcome with recorded digests. A refactoring must
// not change any of them; a change of behavior on purpose records new ones, and its commit says why. The digests hold
// on amd64, where Go does not fuse floating-point operations.
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
			got := playGolden(t, want)
			if got != want {
				t.Errorf("sums %s, entries %s; want %s, %s", got.Sums, got.Entries, want.Sums, want.Entries)
			}
		})
	}
}

// recordGolden plays the runs, replaces their digests and writes them to the golden file, a run a line.
func recordGolden(t *testing.T, runs []goldenRun) {
	t.Helper()
	var file bytes.Buffer
	file.WriteString("[\n")
	for i := range runs {
		runs[i] = playGolden(t, runs[i])
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

// playGolden plays a recorded run again and returns it with the digests of the new outcome.
func playGolden(t *testing.T, run goldenRun) goldenRun {
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
