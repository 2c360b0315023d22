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

// batchProcess is a docksail process that serves the batch API in front of stand-in engines.
type batchProcess struct {
	t            *testing.T
	program      string // path of the executable
	settingsFile string
	command      *exec.Cmd
	api          *batchClient
	engineLog    *eventlog.Log // shared by all engines
}

// newBatchProcess builds the program, starts engines and writes the settings file. It does not start the program.
func newBatchProcess(t *testing.T) *batchProcess {
	t.Helper()
	directory := t.TempDir()
	p := &batchProcess{t: t, program: filepath.Join(directory, "docksail"), engineLog: &eventlog.Log{}}
	if output, err := exec.Command("go", "build", "-o", p.program, "../../cmd/docksail").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, output)
	}
	var servers []string
	for i, role := range []string{"prefill", "prefill", "decode", "decode"} {
		servers = append(servers, startBatchEngine(t, i+1, role, p.engineLog))
	}
	serverFile := filepath.Join(directory, "fleet.json")
	writeFile(t, serverFile, `{"servers": [`+strings.Join(servers, ",")+`]}`)
	apiAddress := freeAddress(t)
	p.api = &batchClient{t, "http://" + apiAddress, mainKey}
	p.settingsFile = filepath.Join(directory, "settings.json")
	writeFile(t, p.settingsFile, fmt.Sprintf(`{"listen": %q, "zone": "a", "fleet": {"file": %q},
		"classes": [
			{"name": "draft", "target": "2s", "timeout": "10s", "token_gap": "100ms", "effect": "idempotent"},
			{"name": "book", "target": "2s", "timeout": "10s", "token_gap": "100ms", "effect": "non_idempotent"}],
		"cold_start": {"from": 1, "warm_after": "1s", "overload_factor": 100, "overload_window": "1s"},
		"rules": {"release_within": "500ms"}, "seed": 3,
		"batch": {"listen": %q, "dir": %q, "keys": [{"sha256": %q}], "again_after": "50ms", "lines_out": 24}}`,
		freeAddress(t), serverFile, apiAddress, filepath.Join(directory, "store"), hashKey(mainKey)))
	return p
}

// startBatchEngine starts a stand-in engine and returns its entry for the server file.
func startBatchEngine(t *testing.T, id int, role string, log *eventlog.Log) string {
	t.Helper()
	spec := engine.Spec{
		ID: id, Role: pb.Role_ROLE_READER, Zone: "a", Cell: "a1", Slots: 16, Queue: 64, MemoryTokens: 100000,
		PrefillRate: 20000, TokenInterval: 4 * time.Millisecond, RequestsPerSecond: 100, TransferRate: 1e6,
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

// freeAddress returns a loopback address with a port that was free a moment ago.
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

// start starts the program and waits until its batch API responds.
func (p *batchProcess) start() {
	p.t.Helper()
	p.command = exec.Command(p.program, "serve", p.settingsFile, "--log", "error")
	p.command.Stderr = os.Stderr
	if err := p.command.Start(); err != nil {
		p.t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if statusCode, _ := p.api.callRaw(http.MethodGet, filesPath, "", nil); statusCode == http.StatusOK {
			return
		}
		if time.Now().After(deadline) {
			p.t.Fatal("the batch API did not respond within 10 s")
		}
	}
}

// kill kills the program, if it was started, and waits for its end.
func (p *batchProcess) kill() {
	if p.command.Process == nil { // it was never started
		return
	}
	_ = p.command.Process.Kill() // it fails only if the process has ended
	_ = p.command.Wait()         // it returns an error because the process was killed
}

// TestBatchSurvivesKills kills and restarts the process repeatedly while two batches run. It checks that each line ends
// once and that no line of the non-idempotent class runs twice.
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
	completedDrafts := api.readResults(draftBatch.OutputFileID, map[string]*resultLine{})
	if completedDrafts != lineCount || draftBatch.ErrorFileID != nil {
		t.Errorf("%d of %d drafts completed, want all; batch %+v", completedDrafts, lineCount, draftBatch)
	}
	lines := map[string]*resultLine{}
	completedBookings := api.readResults(bookingBatch.OutputFileID, lines)
	failedBookings := api.readResults(bookingBatch.ErrorFileID, lines)
	if completedBookings+failedBookings != lineCount || len(lines) != lineCount ||
		completedBookings < lineCount/5 || failedBookings == 0 {
		t.Errorf("%d bookings completed and %d failed of %d, want a fifth completed, some failed and each ended once",
			completedBookings, failedBookings, lineCount)
	}
	for name, line := range lines {
		if line.Error != nil && line.Error.Code != "may_have_run" {
			t.Errorf("booking %s: error %v, want code may_have_run", name, line.Error)
		}
	}
	runCounts := map[string]int{}
	for _, entry := range process.engineLog.Entries() {
		if entry.Kind == eventlog.AnswerStarted && entry.Class == "book" {
			if runCounts[entry.RequestLabel]++; runCounts[entry.RequestLabel] > 1 {
				t.Errorf("booking %s ran twice", entry.RequestLabel)
			}
		}
	}
	t.Logf("after ten kills: %d drafts completed; %d bookings completed, %d failed with may_have_run, %d started",
		completedDrafts, completedBookings, failedBookings, len(runCounts))
}

// TestBatchSurvivesOutage checks that a batch waits while all engines are down and while the dispatcher restarts, and
// that every line is completed.
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
	completedBeforeRecovery := api.waitFor(id, time.Second, "in_progress").RequestCounts.Completed
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
	completed := api.readResults(batch.OutputFileID, map[string]*resultLine{})
	if completed != lineCount || completedBeforeRecovery >= lineCount || batch.ErrorFileID != nil {
		t.Errorf("%d of %d lines completed, %d of them before the engines restarted; batch %+v",
			completed, lineCount, completedBeforeRecovery, batch)
	}
	for _, violation := range deployment.CheckInvariants() {
		t.Error(violation)
	}
}
