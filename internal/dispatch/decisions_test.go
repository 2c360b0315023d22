package dispatch

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"

	"docksail/internal/eventloop"
	"docksail/policy"
)

// TestEjectionRecord checks that an ejection is logged with the names of the server and the class, not their numbers.
func TestEjectionRecord(t *testing.T) {
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	defer loop.Close()
	module := &scriptedModule{}
	for _, class := range []policy.ClassID{policy.NoClass, 1} {
		module.decisions = append(module.decisions, policy.Decision{
			Action:   policy.LogEjection,
			Ejection: policy.Ejection{Server: 7, Class: class, Reason: policy.EjectedSilent, Duration: 2e9},
		})
	}
	var log bytes.Buffer
	dispatcher := NewDirect(loop, slog.New(slog.NewTextHandler(&log, nil)), &Config{
		Module: module, ClassNames: []string{"chat", "draft"}, Classes: make([]policy.Class, 2),
	})
	dispatcher.Attach(idleFrontend{}, &silentBackend{})
	dispatcher.RunIteration(loop.Now())
	records := strings.Split(strings.TrimSpace(log.String()), "\n")
	wants := []string{
		`msg="endpoint ejected" server_id=s reason=silent duration=2s`,
		`msg="endpoint ejected" server_id=s reason=silent duration=2s class=draft`,
	}
	if len(records) != len(wants) {
		t.Fatalf("got %d records, want %d: %q", len(records), len(wants), records)
	}
	for i, want := range wants {
		if !strings.HasSuffix(records[i], want) {
			t.Errorf("record %q, want it to end in %q", records[i], want)
		}
	}
}
