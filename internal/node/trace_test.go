package node

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Traces of the simulated tests record what the dispatcher sent on its connections to servers, discovery and clients,
// in what order and when. A simulated test is deterministic, so a trace changes only if the program's behavior
// changes.

const traceDigestsFile = "testdata/traces.golden"

var (
	updateTraces   = flag.Bool("update-traces", false, "rewrite "+traceDigestsFile+" from the traces of this run")
	traceDirectory = flag.String("trace-dir", "", "write the traces of the simulated tests to this folder")
)

// traceDigests maps the name of a test to the digests of its harnesses' traces in their order.
var traceDigests = map[string][]string{}

// TestMain rewrites the golden file if -update-traces is set and all tests have passed.
func TestMain(m *testing.M) {
	flag.Parse()
	code := m.Run()
	if *updateTraces && code == 0 {
		if err := writeTraceDigests(); err != nil {
			fmt.Fprintln(os.Stderr, err)
			code = 1
		}
	}
	os.Exit(code)
}

// writeTraceDigests writes the digests of this run to the golden file.
func writeTraceDigests() error {
	var lines []string
	for name, digests := range traceDigests {
		lines = append(lines, strings.ReplaceAll(name, " ", "_")+" "+strings.Join(digests, " ")+"\n")
	}
	slices.Sort(lines)
	if err := os.MkdirAll(filepath.Dir(traceDigestsFile), 0o755); err != nil {
		return err
	}
	return os.WriteFile(traceDigestsFile, []byte(strings.Join(lines, "")), 0o644)
}

// goldenTraceDigests returns the digests that the golden file has for a test.
func goldenTraceDigests(t *testing.T) []string {
	t.Helper()
	text, err := os.ReadFile(traceDigestsFile)
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if fields := strings.Fields(line); fields[0] == strings.ReplaceAll(t.Name(), " ", "_") {
			return fields[1:]
		}
	}
	return nil
}

// trace records what the scripted peers of one harness received.
type trace struct {
	lines []string
	conns map[*scriptedConn]int // connection numbers, in the order of their first events
}

// add records one event of a connection.
func (tr *trace) add(at int64, c *scriptedConn, event, data string) {
	number, known := tr.conns[c]
	if !known {
		number = len(tr.conns) + 1
		tr.conns[c] = number
	}
	peer := "client"
	if c.server != nil {
		peer = c.server.addr.String()
	}
	tr.lines = append(tr.lines, fmt.Sprintf("%d %s conn %d: %s %q\n", at, peer, number, event, data))
}

// check compares the trace of a finished test with the golden file.
func (tr *trace) check(t *testing.T) {
	t.Helper()
	if t.Failed() || t.Skipped() {
		return
	}
	text := strings.Join(tr.lines, "")
	digest := fmt.Sprintf("%x", sha256.Sum256([]byte(text)))[:16]
	index := len(traceDigests[t.Name()])
	traceDigests[t.Name()] = append(traceDigests[t.Name()], digest)
	if *traceDirectory != "" {
		file := fmt.Sprintf("%s-%d.txt", strings.NewReplacer("/", "-", " ", "_").Replace(t.Name()), index)
		if err := os.WriteFile(filepath.Join(*traceDirectory, file), []byte(text), 0o644); err != nil {
			t.Error(err)
		}
	}
	if *updateTraces {
		return
	}
	if want := goldenTraceDigests(t); index >= len(want) || want[index] != digest {
		t.Errorf("the trace of %d events has digest %s, want %v at index %d: the order, times or bytes of what the "+
			"dispatcher sends have changed; compare the traces that -trace-dir writes before and after the change",
			len(tr.lines), digest, want, index)
	}
}
