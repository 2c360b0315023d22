package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// runMain is the environment variable with which the test binary runs the program in place of the tests.
const runMain = "DOCKSAIL_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMain) == "1" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// program returns a command that runs the program in a process of its own.
func program(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), runMain+"=1")
	return c
}

func TestCheck(t *testing.T) {
	output, err := program("check", "../../deploy/docksail.json").CombinedOutput()
	if err != nil || !bytes.Contains(output, []byte(`"question"`)) {
		t.Errorf("%v: %s", err, output)
	}
	file := filepath.Join(t.TempDir(), "bad.json")
	writeFile(t, file, "{\n\"listen\": 5}")
	output, err = program("check", file).CombinedOutput()
	if err == nil || !bytes.Contains(output, []byte("bad.json:2: listen: want a text, not 5")) {
		t.Errorf("%v: %s", err, output)
	}
}

// TestFormerStatusName checks that status still runs under its former name, hidden, with a note.
func TestFormerStatusName(t *testing.T) {
	alias, _, err := rootCommand().Find([]string{"view"})
	if err != nil || alias.Name() != "view" || !alias.Hidden {
		t.Fatalf("found %q, hidden %v: %v", alias.Name(), alias.Hidden, err)
	}
	if want := `use "status"`; alias.Deprecated != want {
		t.Errorf("deprecated %q, want %q", alias.Deprecated, want)
	}
	if alias.Flags().Lookup("every") == nil {
		t.Error("the former command has lost its flag --every")
	}
	file := filepath.Join(t.TempDir(), "status")
	writeFile(t, file, `{"format": 1, "at": "2026-12-02T10:00:00Z", "View": {"InHand": 7}}`)
	for _, command := range []string{"status", "view"} {
		output, err := program(command, file).Output()
		if err != nil || !bytes.Contains(output, []byte("7 requests in hand")) {
			t.Errorf("%s: %v, output %q", command, err, output)
		}
	}
}

func writeFile(t *testing.T, name, text string) {
	t.Helper()
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}
