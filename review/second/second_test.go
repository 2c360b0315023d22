// Package second runs the cases of the second independent review, each a script, where DOCKSAIL_REVIEW is set.
package second

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// play runs the script of a case, after the builds that it needs. Exit status 1 means that the rule was broken.
func play(t *testing.T, number string) {
	t.Helper()
	if os.Getenv("DOCKSAIL_REVIEW") == "" {
		t.Skip("a case of a review: set DOCKSAIL_REVIEW to run it")
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	builds := []*exec.Cmd{
		exec.Command("go", "build", "-ldflags=-linkmode=external", "-o", "bin/", "./cmd/..."),
		exec.Command("review/build-2.sh"),
	}
	for _, build := range builds {
		build.Dir = root
		if out, err := build.CombinedOutput(); err != nil {
			t.Fatalf("%v: %v\n%s", build.Args, err, out)
		}
	}
	script := exec.Command("review/" + number + "/run.sh")
	script.Dir = root
	out, err := script.CombinedOutput()
	t.Logf("review/%s/run.sh:\n%s", number, out)
	var exit *exec.ExitError
	switch {
	case err == nil:
	case errors.As(err, &exit) && exit.ExitCode() == 1:
		t.Error("the rule was broken")
	default:
		t.Fatalf("the case could not run: %v", err)
	}
}

// TestReviewZoneRepeat plays review/6: a deduplicated batch line runs again in a zone that does not know it.
func TestReviewZoneRepeat(t *testing.T) { play(t, "6") }

// TestReviewGatewayCancels plays review/7: calls of users who stay end without an answer when others on their
// connection leave.
func TestReviewGatewayCancels(t *testing.T) { play(t, "7") }

// TestReviewSecondAnswer plays review/8: a second answer is passed on to the client of the connection's next request.
func TestReviewSecondAnswer(t *testing.T) { play(t, "8") }

// TestReviewSilentWatch plays review/9: a watch that has fallen silent is not opened anew.
func TestReviewSilentWatch(t *testing.T) { play(t, "9") }

// TestReviewRepeatAfterWindow plays review/10: a prefill attempt that repeats a request waits for a release, and is
// sent when the window for repeats is over.
func TestReviewRepeatAfterWindow(t *testing.T) { play(t, "10") }
