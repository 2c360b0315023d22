package main

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"docksail/internal/earlysignal"
)

// runMainVariable names the environment variable that makes the test binary run the program in place of the tests.
const runMainVariable = "DOCKSAIL_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(runMainVariable) == "1" {
		main()
		os.Exit(0)
	}
	earlysignal.Restore()
	os.Exit(m.Run())
}

// program returns a command that runs the program in a separate process.
func program(args ...string) *exec.Cmd {
	c := exec.Command(os.Args[0], args...)
	c.Env = append(os.Environ(), runMainVariable+"=1")
	return c
}

// TestCheck checks that check prints a valid configuration and reports the error of an invalid one.
func TestCheck(t *testing.T) {
	output, err := program("check", "../../deploy/docksail.json").CombinedOutput()
	if err != nil || !bytes.Contains(output, []byte(`"question"`)) {
		t.Errorf("%v: %s", err, output)
	}
	file := filepath.Join(t.TempDir(), "bad.json")
	writeFile(t, file, "{\n\"listen\": 5}")
	output, err = program("check", file).CombinedOutput()
	if err == nil || !bytes.Contains(output, []byte("bad.json:2: listen: must be a string, not 5")) {
		t.Errorf("%v: %s", err, output)
	}
}

// TestKeyIsNotShown guards against the API key in what the program prints about its flags and its errors.
func TestKeyIsNotShown(t *testing.T) {
	const key = "example-key"
	for _, args := range [][]string{
		{"batch", "--help"},
		{"batch", "submit", "--help"},
		{"batch", "status"}, // an argument is missing
		{"batch", "status", "batch_1", "--no-such-flag"},
		{"batch", "status", "batch_1", "--at", "http://127.0.0.1:1"},
	} {
		command := program(args...)
		command.Env = append(command.Env, "DOCKSAIL_KEY="+key)
		if output, _ := command.CombinedOutput(); len(output) == 0 || bytes.Contains(output, []byte(key)) {
			t.Errorf("%v prints %q, want no key", args, output)
		}
	}
}

// TestKeyFromEnvironment checks that commands of the batch API send the key of the flag or, without it, the variable.
func TestKeyFromEnvironment(t *testing.T) {
	received := make(chan string, 1)
	api := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received <- r.Header.Get("Authorization")
		w.WriteHeader(http.StatusNotFound)
	}))
	defer api.Close()
	for want, flags := range map[string][]string{
		"Bearer from-environment": nil, "Bearer from-flag": {"--key", "from-flag"},
	} {
		command := program(append([]string{"batch", "status", "batch_1", "--at", api.URL}, flags...)...)
		command.Env = append(command.Env, "DOCKSAIL_KEY=from-environment")
		if output, err := command.CombinedOutput(); err == nil {
			t.Errorf("the unknown batch is found: %s", output)
		}
		if got := <-received; got != want {
			t.Errorf("the key is sent as %q, want %q", got, want)
		}
	}
}

// TestFormerStatusName checks that status has a hidden, deprecated alias with its former name.
func TestFormerStatusName(t *testing.T) {
	alias, _, err := rootCommand().Find([]string{"view"})
	if err != nil || alias.Name() != "view" || !alias.Hidden {
		t.Fatalf("found %q, hidden %v: %v", alias.Name(), alias.Hidden, err)
	}
	if want := `use "status"`; alias.Deprecated != want {
		t.Errorf("deprecated %q, want %q", alias.Deprecated, want)
	}
	if alias.Flags().Lookup("every") == nil {
		t.Error("the alias does not have the flag --every")
	}
	file := filepath.Join(t.TempDir(), "status")
	writeFile(t, file, `{"format": 1, "at": "2026-12-02T10:00:00Z", "View": {"InHand": 7}}`)
	for _, command := range []string{"status", "view"} {
		output, err := program(command, file).Output()
		if err != nil || !bytes.Contains(output, []byte("7 requests in flight")) {
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
