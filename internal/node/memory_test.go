package node

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"docksail/internal/decide/memory"
	"docksail/internal/eventloop"
)

// TestRefusalsAreLogged checks that what the budget refuses is logged with its kind, once in memoryLogInterval.
func TestRefusalsAreLogged(t *testing.T) {
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Close()
	var output bytes.Buffer
	monitor := newMemoryMonitor(loop, slog.New(slog.NewTextHandler(&output, nil)), 80<<20)
	if output.Len() > 0 {
		t.Errorf("logged %q before any refusal", &output)
	}
	for step := range int64(3) {
		for range 5 {
			if monitor.budget.Admits(memory.Requests, 0, 1<<30) {
				t.Fatal("a gigabyte was admitted")
			}
		}
		monitor.measure(1 + step*memoryLogInterval/2)
	}
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	if len(lines) != 2 || !strings.Contains(lines[0], " requests_refused=5 ") ||
		!strings.Contains(lines[1], " requests_refused=10 ") {
		t.Errorf("logged %q, want records of 5 and of 10 refusals", lines)
	}
}
