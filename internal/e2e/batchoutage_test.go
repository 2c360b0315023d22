package e2e

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/eventlog"
)

// batchProcess is the program with a batch API, before stand-in engines.
type batchProcess struct {
	t        *testing.T
	program  string // file
	settings string // file
	running  *exec.Cmd
	api      *batchAPI
	engines  *eventlog.Log // what the engines saw
}

// newBatchProcess builds the program, starts engines and writes the configuration. The program is not started yet.
func newBatchProcess(t *testing.T) *batchProcess {
	t.Helper()
	directory := t.TempDir()
	p := &batchProcess{t: t, program: filepath.Join(directory, "docksail"), engines: &eventlog.Log{}}
	if output, err := exec.Command("go", "build", "-o", p.program, "../../cmd/docksail").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	var servers []string
	for i, role := range []string{"prefill", "prefill", "decode", "decode"} {
		servers = append(servers, startBatchEngine(t, i+1, role, p.engines))
	}
	serverFile := filepath.Join(directory, "fleet.json")
	writeFile(t, serverFile, `{"servers": [`+strings.Join(servers, ",")+`]}`)
	apiAddress := freeAddress(t)
	p.api = &batchAPI{t, "http://" + apiAddress, mainKey}
	p.settings = filepath.Join(directory, "settings.json")
	writeFile(t, p.settings, fmt.Sprintf(`{"listen": %q, "zone": "a", "fleet": {"file": %q},
		"classes": [
			{"name": "draft", "target": "2s", "timeout": "10s", "token_gap": "100ms", "effect": "idempotent"},
			{"name": "book", "target": "2s", "timeout": "10s", "token_gap": "100ms", "effect": "non_idempotent"}],
		"cold_start": {"from": 1, "warm_after": "1s", "overload_factor": 100, "overload_window": "1s"},
		"rules": {"release_within": "500ms"}, "seed": 3,
		"batch": {"listen": %q, "dir": %q, "keys": [{"sha256": %q}], "again_after": "50ms", "lines_out": 24}}`,
		freeAddress(t), serverFile, apiAddress, filepath.Join(directory, "store"), hashOf(mainKey)))
	return p
}

// startBatchEngine starts a stand-in engine and returns its entry for the file of servers.
func startBatchEngine(t *testing.T, id int, role string, log *eventlog.Log) string {
	t.Helper()
	spec := engine.Spec{
		ID: id, Role: pb.Role_ROLE_READER, Zone: "a", Cell: "a1", Slots: 16, Queue: 64, MemoryTokens: 100000,
		PrefillRate: 20000, TokenGap: 4 * time.Millisecond, RequestsPerSecond: 100, TransferRate: 1e6,
		MaxHoldTime: 2 * time.Second,
	}
	if role == "decode" {
		spec.Role = pb.Role_ROLE_WRITER
	}
	e := engine.New(spec, engine.LinearModel{}, log)
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Crash)
	return fmt.Sprintf(`{"id": %d, "address": %q, "role": %q, "zone": "a", "cell": "a1", "health": "serving",
		"started_unix_ns": 0}`, id, e.Addr(), role)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	return listener.Addr().String()
}

func writeFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// start starts the program and waits until it answers.
func (p *batchProcess) start() {
	p.t.Helper()
	p.running = exec.Command(p.program, "serve", p.settings, "--log", "error")
	p.running.Stderr = os.Stderr
	if err := p.running.Start(); err != nil {
		p.t.Fatal(err)
	}
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if statusCode, _ := p.api.callRaw(http.MethodGet, filesPath, "", nil); statusCode == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			p.t.Fatal("the program does not come up")
		}
	}
}

// kill kills the program.
func (p *batchProcess) kill() {
	if p.running.Process == nil { // it could not be started
		return
	}
	_ = p.running.Process.Kill() // an error says that it has ended
	_ = p.running.Wait()         // it says that it was killed
}

// TestBatchSurvivesKills kills the process again and again while two batches run. Each line must end once, and none of
// a non-idempotent class may run twice.
func TestBatchSurvivesKills(t *testing.T) {
	t.Parallel()
	const lineCount = 250
	process := newBatchProcess(t)
	t.Cleanup(func() { process.kill() })
	process.start()
	api := process.api
	drafts := api.submit(batchLines(lineCount, "draft"), "10m")
	bookings := api.submit(batchLines(lineCount, "book"), "10m")
	for i := range 10 {
		time.Sleep(time.Duration(150+40*i) * time.Millisecond)
		process.kill()
		process.start()
	}
	draftBatch := api.waitFor(drafts, 60*time.Second, "completed")
	bookingBatch := api.waitFor(bookings, 60*time.Second, "completed")
	count := api.results(draftBatch.OutputFileID, map[string]*resultLine{})
	if count != lineCount || draftBatch.ErrorFileID != nil {
		t.Errorf("%d of %d drafts completed, %+v", count, lineCount, draftBatch)
	}
	lines := map[string]*resultLine{}
	completed := api.results(bookingBatch.OutputFileID, lines)
	failed := api.results(bookingBatch.ErrorFileID, lines)
	if completed+failed != lineCount || len(lines) != lineCount || completed < lineCount/5 || failed == 0 {
		t.Errorf("%d bookings completed and %d failed of %d", completed, failed, lineCount)
	}
	for name, line := range lines {
		if line.Error != nil && line.Error.Code != "may_have_run" {
			t.Errorf("%s: %v", name, line.Error)
		}
	}
	runs := map[string]int{}
	for _, entry := range process.engines.Entries() {
		if entry.Kind == eventlog.AnswerStarted && entry.Class == "book" {
			if runs[entry.RequestLabel]++; runs[entry.RequestLabel] > 1 {
				t.Errorf("booking %s ran twice", entry.RequestLabel)
			}
		}
	}
	t.Logf("killed ten times: drafts %d completed, bookings %d completed and %d that may have run, %d ran",
		count, completed, failed, len(runs))
}

// TestBatchSurvivesOutage checks that a batch waits while the engines are gone and while the dispatcher restarts, and
// that every line is answered.
func TestBatchSurvivesOutage(t *testing.T) {
	t.Parallel()
	const lineCount = 400
	deployment, _ := startDeployment(t, nil)
	api := startBatchAPI(t, deployment, t.TempDir(), nil)
	id := api.submit(batchLines(lineCount, "question"), "10m")
	api.waitFor(id, 5*time.Second, "in_progress")
	time.Sleep(300 * time.Millisecond)
	for _, e := range deployment.Engines {
		e.Crash()
	}
	time.Sleep(3 * time.Second)
	beforeReturn := api.waitFor(id, time.Second, "in_progress").RequestCounts.Completed
	for _, e := range deployment.Engines {
		if err := e.Start(""); err != nil {
			t.Fatal(err)
		}
		e.SkipWarmup()
	}
	time.Sleep(1500 * time.Millisecond)
	deployment.DrainDispatcher(0, 2*time.Second)
	if err := deployment.RestartDispatcher(0); err != nil {
		t.Fatal(err)
	}
	batch := api.waitFor(id, 60*time.Second, "completed")
	count := api.results(batch.OutputFileID, map[string]*resultLine{})
	if count != lineCount || beforeReturn >= lineCount || batch.ErrorFileID != nil {
		t.Errorf("%d of %d completed, %d before the engines came back; %+v", count, lineCount, beforeReturn, batch)
	}
	for _, violation := range deployment.CheckInvariants() {
		t.Error(violation)
	}
}
