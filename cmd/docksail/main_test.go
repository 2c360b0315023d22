package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
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
	backend "docksail/internal/backend/platform"
	"docksail/internal/lab/engine"
	"docksail/internal/node"
	"docksail/policy"
)

// The test binary is the program when it is asked to be.
func TestMain(m *testing.M) {
	if os.Getenv("DOCKSAIL_MAIN") == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func program(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), "DOCKSAIL_MAIN=1")
	return c
}

func TestCheck(t *testing.T) {
	out, err := program("check", "../../deploy/docksail.json").CombinedOutput()
	if err != nil || !bytes.Contains(out, []byte(`"question"`)) {
		t.Errorf("%v: %s", err, out)
	}
	file := filepath.Join(t.TempDir(), "bad.json")
	if err := os.WriteFile(file, []byte("{\n\"listen\": 5}"), 0o600); err != nil {
		t.Fatal(err)
	}
	out, err = program("check", file).CombinedOutput()
	if err == nil || !bytes.Contains(out, []byte("bad.json:2: listen: want a text, not 5")) {
		t.Errorf("%v: %s", err, out)
	}
}

// serve starts stand-in engines and the program before them, with a fleet file; it gives a client.
func serve(t *testing.T) (*exec.Cmd, pb.GenerationClient, *bytes.Buffer, string) {
	t.Helper()
	dir := t.TempDir()
	var hosts []string
	for i, role := range []pb.Role{pb.Role_ROLE_READER, pb.Role_ROLE_WRITER} {
		e := engine.New(engine.Spec{
			ID: i + 1, Role: role, Slots: 8, Queue: 8, MemoryTokens: 1 << 20, PrefillRate: 1e5, TokenGap: 10 * time.Millisecond,
			RequestsPerSecond: 100, InitialCapacity: 1, TransferRate: 1e6, MaxHoldTime: time.Second,
		}, engine.LinearModel{}, nil)
		if err := e.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Crash)
		hosts = append(hosts, fmt.Sprintf(`{"id": %d, "address": "%s", "role": "%s"}`, i+1, e.Addr(), []string{"prefill", "decode"}[i]))
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	ln.Close()
	fleet, settings := filepath.Join(dir, "fleet.json"), filepath.Join(dir, "settings.json")
	// The writer is listed only by a later change of the file.
	write := func(name, text string) {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(fleet, `{"servers": [`+hosts[0]+`]}`)
	write(settings, fmt.Sprintf(`{"listen": "%s", "fleet": {"file": "%s", "ask_within": "400ms"}, "drain_within": "5s",
		"status_file": "%s/status", "tenants": [{"name": "ours", "requests_per_second": 50}],
		"classes": [{"name": "question", "target": "1s", "timeout": "5s", "token_gap": "50ms", "effect": "idempotent"}],
		"cold_start": {"from": 1, "warm_after": "1s", "overload_factor": 2, "overload_window": "1s"}, "rules": {"release_within": "500ms"}}`, addr, fleet, dir))
	cmd := program("serve", settings)
	var log bytes.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { cmd.Process.Kill() })
	time.Sleep(200 * time.Millisecond)
	write(fleet, `{"servers": [`+strings.Join(hosts, ", ")+`]}`)
	conn, err := grpc.NewClient(addr, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	client := pb.NewGenerationClient(conn)
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if _, err := answer(client, 1); err == nil {
			break
		} else if time.Now().After(end) {
			t.Fatalf("no answer in 10 s: %v", err)
		}
	}
	return cmd, client, &log, settings
}

func answer(c pb.GenerationClient, tokens uint32) (int, error) {
	s, err := c.Generate(context.Background(), &pb.GenerateRequest{Track: "question", Tenant: "ours", PromptTokens: 100, MaxTokens: tokens})
	if err != nil {
		return 0, err
	}
	for n := 0; ; n++ {
		if _, err := s.Recv(); errors.Is(err, io.EOF) {
			return n, nil
		} else if err != nil {
			return n, err
		}
	}
}

// TestServeAndDrain: a changed fleet file is taken up, a signal drains, and the stream in hand is finished.
func TestServeAndDrain(t *testing.T) {
	cmd, client, log, _ := serve(t)
	got := make(chan error, 1)
	go func() {
		n, err := answer(client, 100)
		if err == nil && n < 50 {
			err = fmt.Errorf("%d tokens", n)
		}
		got <- err
	}()
	time.Sleep(300 * time.Millisecond)
	cmd.Process.Signal(syscall.SIGTERM)
	if err := <-got; err != nil {
		t.Errorf("the stream in hand: %v", err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, log)
	}
	if !strings.Contains(log.String(), "drain started") {
		t.Errorf("no word of the drain: %s", log)
	}
}

// TestSecondSignal ends it at once.
func TestSecondSignal(t *testing.T) {
	cmd, client, log, _ := serve(t)
	go answer(client, 1000)
	time.Sleep(300 * time.Millisecond)
	cmd.Process.Signal(syscall.SIGTERM)
	time.Sleep(200 * time.Millisecond)
	begin := time.Now()
	cmd.Process.Signal(syscall.SIGTERM)
	if err := cmd.Wait(); err == nil || time.Since(begin) > 2*time.Second {
		t.Errorf("%v after %v: %s", err, time.Since(begin), log)
	}
}

// TestTermsAndView: SIGHUP takes changed limits over, or refuses wrong ones whole; view shows them.
func TestTermsAndView(t *testing.T) {
	cmd, client, _, settings := serve(t)
	text, err := os.ReadFile(settings)
	if err != nil {
		t.Fatal(err)
	}
	change := func(terms string) {
		if err := os.WriteFile(settings, bytes.Replace(text, []byte(`"requests_per_second": 50`), []byte(terms), 1), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd.Process.Signal(syscall.SIGHUP)
	}
	until := func(what, want string) {
		t.Helper()
		var out []byte
		for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
			out, _ = program("view", filepath.Join(filepath.Dir(settings), "status")).CombinedOutput()
			if strings.Contains(strings.Join(strings.Fields(string(out)), " "), want) {
				return
			}
		}
		t.Errorf("%s: view shows %s, want %q", what, out, want)
	}
	until("at the start", "ours 50 0 0")
	change(`"requests_per_second": 50, "weight": 7, "prompt_tokens": 10`)
	until("after the change", "ours 7 0 0")
	if _, err := answer(client, 1); err == nil {
		t.Error("a prompt over the new limit was taken")
	}
	until("after a refusal", "refused ours: 1, prompt longer")
	change(`"requests_per_second": 50, "weight": -1`)
	time.Sleep(1500 * time.Millisecond)
	until("after wrong terms", "ours 7 0 0")
	if err := os.WriteFile(filepath.Join(filepath.Dir(settings), "other"), []byte(`{"format": 9}`), 0o600); err != nil {
		t.Fatal(err)
	}
	if out, err := program("view", filepath.Join(filepath.Dir(settings), "other")).CombinedOutput(); err == nil || !bytes.Contains(out, []byte("format 9, want 1")) {
		t.Errorf("another format: %v, %s", err, out)
	}
}

// Servers of which a dispatcher has nothing have no line at the usual level: a large fleet has thousands of them.
func TestBeliefLevel(t *testing.T) {
	for name, c := range map[string]struct {
		belief node.ServerStatus
		want   slog.Level
	}{
		"nothing":         {node.ServerStatus{}, slog.LevelDebug},
		"an attempt out":  {node.ServerStatus{ServerStats: backend.ServerStats{InFlightAttempts: 1}, ServerEstimate: policy.ServerEstimate{Streams: 1}}, slog.LevelInfo},
		"a kept conn":     {node.ServerStatus{ServerStats: backend.ServerStats{IdleConns: 1}}, slog.LevelInfo},
		"ejected":         {node.ServerStatus{ServerEstimate: policy.ServerEstimate{Ejected: true}}, slog.LevelInfo},
		"no agreement":    {node.ServerStatus{ServerEstimate: policy.ServerEstimate{Streams: 1}}, slog.LevelInfo},
		"a report, alone": {node.ServerStatus{ServerStats: backend.ServerStats{LoadReportAge: 5}}, slog.LevelDebug},
	} {
		if got := beliefLevel(&c.belief); got != c.want {
			t.Errorf("%s: level %v, want %v", name, got, c.want)
		}
	}
}
