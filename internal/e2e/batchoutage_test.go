package e2e

import (
	"fmt"
	"net"
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

// TestBatchSurvivesKills: the process is killed again and again while two batches run. Each line ends once; none of an
// irreversible track runs twice.
func TestBatchSurvivesKills(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	program := filepath.Join(dir, "docksail")
	if out, err := exec.Command("go", "build", "-o", program, "../../cmd/docksail").CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	records := &eventlog.Log{}
	var hosts []string
	for i, role := range []string{"prefill", "prefill", "decode", "decode"} {
		spec := engine.Spec{
			ID: i + 1, Role: pb.Role_ROLE_READER, Zone: "a", Cell: "a1", Slots: 16, Queue: 64, MemoryTokens: 100000, PrefillRate: 20000, TokenGap: 4 * time.Millisecond,
			RequestsPerSecond: 100, TransferRate: 1e6, MaxHoldTime: 2 * time.Second,
		}
		if role == "decode" {
			spec.Role = pb.Role_ROLE_WRITER
		}
		e := engine.New(spec, engine.LinearModel{}, records)
		if err := e.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Crash)
		hosts = append(hosts, fmt.Sprintf(`{"id": %d, "address": %q, "role": %q, "zone": "a", "cell": "a1", "health": "serving", "started_unix_ns": 0}`, i+1, e.Addr(), role))
	}
	free := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer ln.Close()
		return ln.Addr().String()
	}
	at := free()
	write := func(name, text string) string {
		name = filepath.Join(dir, name)
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return name
	}
	fleet := write("fleet.json", `{"servers": [`+strings.Join(hosts, ",")+`]}`)
	file := write("settings.json", fmt.Sprintf(`{"listen": %q, "zone": "a", "fleet": {"file": %q},
		"classes": [{"name": "draft", "target": "2s", "timeout": "10s", "token_gap": "100ms", "effect": "idempotent"},
			{"name": "book", "target": "2s", "timeout": "10s", "token_gap": "100ms", "effect": "non_idempotent"}],
		"cold_start": {"from": 1, "warm_after": "1s", "overload_factor": 100, "overload_window": "1s"}, "rules": {"release_within": "500ms"}, "seed": 3,
		"batch": {"listen": %q, "dir": %q, "keys": [{"sha256": %q}], "again_after": "50ms", "lines_out": 24}}`, free(), fleet, at, filepath.Join(dir, "store"), hashOf("k1")))
	var running *exec.Cmd
	start := func() {
		running = exec.Command(program, "serve", file, "--log", "error")
		running.Stderr = os.Stderr
		if err := running.Start(); err != nil {
			t.Fatal(err)
		}
	}
	kill := func() {
		running.Process.Kill()
		running.Wait()
	}
	start()
	t.Cleanup(func() { kill() })
	a := &batchAPI{t, "http://" + at, "k1"}
	up := func() {
		t.Helper()
		for end := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			if status, _ := a.raw("GET", "/v1/files", "", nil); status == 200 {
				return
			}
			if time.Now().After(end) {
				t.Fatal("the program does not come up")
			}
		}
	}
	up()
	const n = 250
	drafts, books := a.submit(batchLines(n, "draft"), "10m"), a.submit(batchLines(n, "book"), "10m")
	for i := range 10 {
		time.Sleep(time.Duration(150+40*i) * time.Millisecond)
		kill()
		start()
		up()
	}
	draft, booked := a.waitFor(drafts, 60*time.Second, "completed"), a.waitFor(books, 60*time.Second, "completed")
	all := map[string]map[string]any{}
	if got := a.results(draft, "output_file_id", all); got != n || draft["error_file_id"] != nil {
		t.Errorf("%d of %d drafts done, %v", got, n, draft)
	}
	all = map[string]map[string]any{}
	done, lost := a.results(booked, "output_file_id", all), a.results(booked, "error_file_id", all)
	if done+lost != n || len(all) != n || done < n/5 || lost == 0 {
		t.Errorf("%d bookings done and %d lost of %d", done, lost, n)
	}
	for name, l := range all {
		if l["error"] != nil && errorCode(l) != "may_have_run" {
			t.Errorf("%s: %v", name, l["error"])
		}
	}
	ran := map[string]int{}
	for _, e := range records.Entries() {
		if e.Kind == eventlog.AnswerStarted && e.Class == "book" {
			if ran[e.RequestLabel]++; ran[e.RequestLabel] > 1 {
				t.Errorf("booking %s ran twice", e.RequestLabel)
			}
		}
	}
	t.Logf("killed ten times: drafts %d done, bookings %d done and %d that may have run, %d ran", n, done, lost, len(ran))
}

// TestBatchSurvivesOutage: the engines are gone for a while, then the dispatcher drains and comes back: the batch waits, and
// every line is answered.
func TestBatchSurvivesOutage(t *testing.T) {
	t.Parallel()
	deployment, _ := startDeployment(t, nil)
	a := startBatchAPI(t, deployment, t.TempDir(), nil)
	id := a.submit(batchLines(400, "question"), "10m")
	a.waitFor(id, 5*time.Second, "in_progress")
	time.Sleep(300 * time.Millisecond)
	for _, e := range deployment.Engines {
		e.Crash()
	}
	time.Sleep(3 * time.Second)
	b := a.waitFor(id, time.Second, "in_progress")
	stood := b["request_counts"].(map[string]any)["completed"].(float64)
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
	b = a.waitFor(id, 60*time.Second, "completed")
	all := map[string]map[string]any{}
	if n := a.results(b, "output_file_id", all); n != 400 || stood >= 400 || b["error_file_id"] != nil {
		t.Errorf("%d of 400 done, %.0f before the engines came back; %v", n, stood, b)
	}
	for _, v := range deployment.CheckInvariants() {
		t.Error(v)
	}
}
