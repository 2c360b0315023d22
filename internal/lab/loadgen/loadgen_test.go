package loadgen

import (
	"bytes"
	"log/slog"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"docksail/internal/lab/engine"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/scenario"
)

// TestRates: the mean of each pattern over a run is its base.
func TestRates(t *testing.T) {
	for _, pattern := range Patterns {
		rate, err := ArrivalRate(pattern, 40, 60*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		sum := 0.0
		for at := time.Duration(0); at < 60*time.Second; at += 10 * time.Millisecond {
			sum += rate(at) * 0.01
		}
		if math.Abs(sum/60-40) > 0.5 {
			t.Errorf("%s: %.2f a second on the mean, want 40", pattern, sum/60)
		}
	}
	if _, err := ArrivalRate("tides", 1, time.Second); err == nil {
		t.Error("an unknown pattern is taken")
	}
}

// TestNothingOmitted: engines that stand still for a second show in the times of the jobs that were due meanwhile; a
// generator that waited for answers would have sent few of them.
func TestNothingOmitted(t *testing.T) {
	s := scenario.Demo()
	s.SessionsPerSecond = 40
	s.Classes[0].Timeout, s.Classes[0].MaxAnswerTokens = 8*time.Second, 4
	stage, err := scenario.Start(s, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer stage.Close()
	time.AfterFunc(time.Second, func() {
		for _, e := range stage.Engines {
			e.SetFaults(func(f *engine.Faults) { f.Paused = true })
		}
		time.Sleep(time.Second)
		for _, e := range stage.Engines {
			e.SetFaults(func(f *engine.Faults) { f.Paused = false })
		}
	})
	tracks, err := Run(t.Context(), Config{Script: s, Targets: stage.Addresses(), Pattern: "poisson", Duration: 3 * time.Second, ConnsPerDispatcher: 1}, nil)
	if err != nil {
		t.Fatal(err)
	}
	x := tracks["question"]
	if x.Requests < 70 || x.Served < x.Requests*6/10 {
		t.Fatalf("%d jobs, %d honoured", x.Requests, x.Served)
	}
	if p := time.Duration(x.FirstTokenTime.ValueAtQuantile(90)); p < 300*time.Millisecond {
		t.Errorf("a tenth waited %v and more, though hosts stood still for a third of the time", p)
	}
	if p := time.Duration(x.FirstTokenTime.ValueAtQuantile(10)); p < 20*time.Millisecond { // a read of 500 tokens takes 25 ms
		t.Errorf("a tenth got their first token within %v", p)
	}
	var out bytes.Buffer
	if err := Print(&out, tracks); err != nil || !strings.Contains(out.String(), "question") {
		t.Errorf("%v, %q", err, out.String())
	}
}

// TestRecorded: sessions come at the times at which a record's first turns were asked.
func TestRecorded(t *testing.T) {
	name := filepath.Join(t.TempDir(), "r.json")
	f, err := os.Create(name)
	if err != nil {
		t.Fatal(err)
	}
	if err := eventlog.Write(f, []eventlog.Entry{
		{At: 1e9, Kind: eventlog.RequestSent, RequestLabel: "0.0"},
		{At: 1.2e9, Kind: eventlog.RequestSent, RequestLabel: "0.0", ClientAttempt: 1},
		{At: 3e9, Kind: eventlog.RequestSent, RequestLabel: "1.0"},
		{At: 4e9, Kind: eventlog.RequestSent, RequestLabel: "0.1"},
	}); err != nil {
		t.Fatal(err)
	}
	f.Close()
	if at, err := RecordedArrivals(name); err != nil || len(at) != 2 || at[1] != 2*time.Second {
		t.Errorf("%v, %v", at, err)
	}
}
