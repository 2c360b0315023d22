package main

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"syscall"
	"testing"
	"time"
)

// blockedStart is a dispatcher's process that waits for its configuration, which comes from a pipe.
type blockedStart struct {
	command *exec.Cmd
	log     bytes.Buffer // complete after command has ended
	pipe    *os.File     // write end
	file    string       // name of the configuration file
	text    string       // of the configuration
}

// startBlocked starts the command serve or node. It returns when the process reads its configuration.
func startBlocked(t *testing.T, command string) *blockedStart {
	t.Helper()
	directory := t.TempDir()
	s := &blockedStart{file: filepath.Join(directory, "config.json")}
	if err := syscall.Mkfifo(s.file, 0o600); err != nil {
		t.Fatal(err)
	}
	if command == "node" {
		s.command = program("node")
		s.command.Env = append(s.command.Env, "RELAY_CONFIG="+s.file)
		s.text = fmt.Sprintf(`{"name": "n0", "listen": %q, "discovery": %q, "seed": "8c1f",
			"limits": {"cores": 1, "memory_mb": 64, "sockets": 256}, "settings": %s}`,
			freeAddress(t), freeAddress(t), soakSettings)
	} else {
		serverFile := filepath.Join(directory, "fleet.json")
		writeFile(t, serverFile, `{"servers": []}`)
		s.command = program("serve", s.file)
		s.text = fmt.Sprintf(`{"listen": %q, "fleet": {"file": %q}, "drain_within": "1s", "classes": [
			{"name": "question", "target": "1s", "timeout": "5s", "token_gap": "50ms", "effect": "idempotent"}],
			"cold_start": {"from": 1, "warm_after": "1s", "overload_factor": 2, "overload_window": "1s"},
			"rules": {"release_within": "500ms"}}`, freeAddress(t), serverFile)
	}
	s.command.Stderr = &s.log
	if err := s.command.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.command.Process.Kill() }) // fails if it has ended
	var err error
	if s.pipe, err = os.OpenFile(s.file, os.O_WRONLY, 0); err != nil { // waits for the reader
		t.Fatal(err)
	}
	return s
}

// finishStart gives the process its configuration. Later reads find it in a file.
func (s *blockedStart) finishStart(t *testing.T) {
	t.Helper()
	writeFile(t, s.file+".new", s.text)
	if err := os.Rename(s.file+".new", s.file); err != nil {
		t.Fatal(err)
	}
	if _, err := s.pipe.WriteString(s.text); err != nil {
		t.Fatal(err)
	}
	if err := s.pipe.Close(); err != nil {
		t.Fatal(err)
	}
}

// TestSignalsDuringStart guards against a signal that ends a process which still starts, and against an order to end
// that is lost because many orders to reload came before it.
func TestSignalsDuringStart(t *testing.T) {
	const reloads = 2000 // the runtime merges signals that come together; of so many it takes more than it may buffer
	for _, command := range []string{"node", "serve"} {
		t.Run(command, func(t *testing.T) {
			s := startBlocked(t, command)
			for range reloads {
				if err := s.command.Process.Signal(syscall.SIGHUP); err != nil {
					t.Fatal(err)
				}
			}
			if err := s.command.Process.Signal(syscall.SIGTERM); err != nil {
				t.Fatal(err)
			}
			s.finishStart(t)
			ended := make(chan error, 1)
			go func() { ended <- s.command.Wait() }()
			select {
			case err := <-ended:
				if err != nil {
					t.Errorf("%v: %s", err, &s.log)
				}
			case <-time.After(startTimeout):
				t.Errorf("the process has not ended after %v", startTimeout)
			}
		})
	}
}

// TestSignalsAreHandledFirst guards against a long time from the start of the program in which signals end it: the
// package that handles them has to be initialized as soon as it can, which is right after os/signal.
func TestSignalsAreHandledFirst(t *testing.T) {
	command := program("--help")
	command.Env = append(command.Env, "GODEBUG=inittrace=1")
	output, err := command.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	var names []string
	for _, match := range regexp.MustCompile(`(?m)^init (\S+) @`).FindAllStringSubmatch(string(output), -1) {
		names = append(names, match[1])
	}
	earliest := slices.Index(names, "os/signal") + 1
	if earliest < 1 || len(names) <= earliest || names[earliest] != "docksail/internal/earlysignal" {
		t.Errorf("packages are initialized in the order %v", names)
	}
}
