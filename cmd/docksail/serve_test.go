package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine"
)

const startTimeout = 10 * time.Second

// serveTest runs the command serve in front of stand-in engines.
type serveTest struct {
	command      *exec.Cmd
	client       pb.GenerationClient
	log          bytes.Buffer // complete after command has ended
	directory    string
	settingsFile string // name of the configuration file
}

// startServe starts two stand-in engines and a dispatcher that reads them from a file of servers. It returns when the
// dispatcher has served a request.
func startServe(t *testing.T) *serveTest {
	t.Helper()
	directory := t.TempDir()
	s := &serveTest{directory: directory, settingsFile: filepath.Join(directory, "settings.json")}
	servers := []string{
		startEngine(t, 1, pb.Role_ROLE_READER, "prefill"),
		startEngine(t, 2, pb.Role_ROLE_WRITER, "decode"),
	}
	address := freeAddress(t)
	serverFile := filepath.Join(directory, "fleet.json")
	writeFile(t, serverFile, `{"servers": [`+servers[0]+`]}`)
	writeFile(t, s.settingsFile, fmt.Sprintf(`{
		"listen": "%s", "fleet": {"file": "%s", "ask_within": "400ms"}, "drain_within": "5s",
		"status_file": "%s/status", "tenants": [{"name": "ours", "requests_per_second": 50}],
		"classes": [
			{"name": "question", "target": "1s", "timeout": "5s", "token_gap": "50ms", "effect": "idempotent"}],
		"cold_start": {"from": 1, "warm_after": "1s", "overload_factor": 2, "overload_window": "1s"},
		"rules": {"release_within": "500ms"}}`, address, serverFile, directory))
	s.command = program("serve", s.settingsFile)
	s.command.Stderr = &s.log
	if err := s.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.command.Process.Kill() }) // fails if it has ended
	// The decode server is added to the file later, to check that the dispatcher reads the changed file.
	time.Sleep(200 * time.Millisecond)
	writeFile(t, serverFile, `{"servers": [`+strings.Join(servers, ", ")+`]}`)
	s.client = connect(t, address)
	s.waitForAnswer(t)
	return s
}

// startEngine starts a stand-in engine and returns its entry for the file of servers.
func startEngine(t *testing.T, id int, role pb.Role, roleName string) string {
	t.Helper()
	e := engine.New(engine.Spec{
		ID: id, Role: role, Slots: 8, Queue: 8, MemoryTokens: 1 << 20, PrefillRate: 1e5,
		TokenInterval: 10 * time.Millisecond, RequestsPerSecond: 100, InitialCapacity: 1, TransferRate: 1e6,
		MaxHoldTime: time.Second,
	}, engine.LinearModel{}, nil)
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Crash)
	return fmt.Sprintf(`{"id": %d, "address": "%s", "role": "%s"}`, id, e.Addr(), roleName)
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

func connect(t *testing.T, address string) pb.GenerationClient {
	t.Helper()
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return pb.NewGenerationClient(conn)
}

func (s *serveTest) waitForAnswer(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(startTimeout); ; time.Sleep(50 * time.Millisecond) {
		_, err := s.generate(1)
		if err == nil {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("no answer within %v: %v", startTimeout, err)
		}
	}
}

// generate sends a request for at most maxTokens tokens and returns the number of messages received.
func (s *serveTest) generate(maxTokens uint32) (int, error) {
	stream, err := s.client.Generate(context.Background(), &pb.GenerateRequest{
		Track: "question", Tenant: "ours", PromptTokens: 100, MaxTokens: maxTokens,
	})
	if err != nil {
		return 0, err
	}
	for tokens := 0; ; tokens++ {
		if _, err := stream.Recv(); errors.Is(err, io.EOF) {
			return tokens, nil
		} else if err != nil {
			return tokens, err
		}
	}
}

func (s *serveTest) signal(t *testing.T, sig os.Signal) {
	t.Helper()
	if err := s.command.Process.Signal(sig); err != nil {
		t.Fatal(err)
	}
}

// TestServeAndDrain checks that a changed file of servers is read, that a signal starts the drain, and that the stream
// in flight is completed.
func TestServeAndDrain(t *testing.T) {
	s := startServe(t)
	result := make(chan error, 1)
	go func() {
		tokens, err := s.generate(100)
		if err == nil && tokens < 50 {
			err = fmt.Errorf("%d tokens", tokens)
		}
		result <- err
	}()
	time.Sleep(300 * time.Millisecond)
	s.signal(t, syscall.SIGTERM)
	if err := <-result; err != nil {
		t.Errorf("the stream in flight: %v", err)
	}
	if err := s.command.Wait(); err != nil {
		t.Errorf("%v: %s", err, &s.log)
	}
	if !strings.Contains(s.log.String(), "drain started") {
		t.Errorf("the drain is not logged: %s", &s.log)
	}
}

// TestSecondSignal checks that a second signal ends the program immediately and with an error.
func TestSecondSignal(t *testing.T) {
	s := startServe(t)
	go func() { _, _ = s.generate(1000) }() // ends with the program
	time.Sleep(300 * time.Millisecond)
	s.signal(t, syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	start := time.Now()
	s.signal(t, syscall.SIGTERM)
	if err := s.command.Wait(); err == nil || time.Since(start) > 2*time.Second {
		t.Errorf("%v after %v: %s", err, time.Since(start), &s.log)
	}
}

// TestTenantLimitsAndStatus checks that SIGHUP applies changed limits, that invalid limits change nothing, and that
// status shows the limits in force.
func TestTenantLimitsAndStatus(t *testing.T) {
	s := startServe(t)
	settings, err := os.ReadFile(s.settingsFile)
	if err != nil {
		t.Fatal(err)
	}
	reload := func(limits string) {
		t.Helper()
		writeFile(t, s.settingsFile, strings.Replace(string(settings), `"requests_per_second": 50`, limits, 1))
		s.signal(t, syscall.SIGHUP)
	}
	s.wantStatus(t, "at the start", "ours 50 0 0")
	reload(`"requests_per_second": 50, "weight": 7, "prompt_tokens": 10`)
	s.wantStatus(t, "after the change", "ours 7 0 0")
	if _, err := s.generate(1); err == nil {
		t.Error("a prompt over the new limit was admitted")
	}
	s.wantStatus(t, "after a rejection", "rejected ours: 1, prompt longer")
	reload(`"requests_per_second": 50, "weight": -1`)
	time.Sleep(1500 * time.Millisecond)
	s.wantStatus(t, "after invalid limits", "ours 7 0 0")
}

// wantStatus waits until the output of status, with runs of white space replaced by one space, contains want.
func (s *serveTest) wantStatus(t *testing.T, when, want string) {
	t.Helper()
	var output []byte
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		output, _ = program("status", filepath.Join(s.directory, "status")).CombinedOutput()
		if strings.Contains(strings.Join(strings.Fields(string(output)), " "), want) {
			return
		}
	}
	t.Errorf("%s: status shows %s, want %q", when, output, want)
}

// TestStatusFormat checks that status and its former name reject a status file of another format version.
func TestStatusFormat(t *testing.T) {
	file := filepath.Join(t.TempDir(), "other")
	writeFile(t, file, `{"format": 9}`)
	for _, command := range []string{"status", "view"} {
		output, err := program(command, file).CombinedOutput()
		if err == nil || !bytes.Contains(output, []byte("file format version is 9, must be 1")) {
			t.Errorf("%s of another format version: %v, %s", command, err, output)
		}
	}
}
