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

// TestArrivalRates checks the mean rate of each arrival pattern over a run.
func TestArrivalRates(t *testing.T) {
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
			t.Errorf("%s: mean rate %.2f sessions per second, want 40", pattern, sum/60)
		}
	}
	if _, err := ArrivalRate("tides", 1, time.Second); err == nil {
		t.Error("an unknown pattern was accepted")
	}
}

// TestNoCoordinatedOmission checks that a pause of all engines shows in the latencies of the requests that were due
// during the pause. A closed-loop generator would send few requests during that time.
func TestNoCoordinatedOmission(t *testing.T) {
	script := scenario.Demo()
	script.SessionsPerSecond = 40
	script.Classes[0].Timeout, script.Classes[0].MaxAnswerTokens = 8*time.Second, 4
	deployment, err := scenario.Start(script, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	defer deployment.Close()
	setPaused := func(paused bool) {
		for _, e := range deployment.Engines {
			e.SetFaults(func(f *engine.Faults) { f.Paused = paused })
		}
	}
	time.AfterFunc(time.Second, func() {
		setPaused(true)
		time.Sleep(time.Second)
		setPaused(false)
	})
	config := Config{
		Script: script, Targets: deployment.Addresses(), Pattern: "poisson", Duration: 3 * time.Second, ConnsPerDispatcher: 1,
	}
	results, err := GenerateLoad(t.Context(), config, nil)
	if err != nil {
		t.Fatal(err)
	}
	r := results["question"]
	if r.Requests < 70 || r.Served < r.Requests*6/10 {
		t.Fatalf("%d requests, %d served; want at least 70, of which at least 60 %% served", r.Requests, r.Served)
	}
	if p90 := time.Duration(r.FirstTokenTime.ValueAtQuantile(90)); p90 < 300*time.Millisecond {
		t.Errorf("p90 %v, want at least 300 ms: the engines were paused for a third of the time", p90)
	}
	if p10 := time.Duration(r.FirstTokenTime.ValueAtQuantile(10)); p10 < 20*time.Millisecond {
		t.Errorf("p10 %v, want at least 20 ms: a prefill of 500 tokens takes 25 ms", p10)
	}
	var table bytes.Buffer
	if err := PrintResults(&table, results); err != nil || !strings.Contains(table.String(), "question") {
		t.Errorf("error %v, table %q; want a row of class question", err, table.String())
	}
}

// TestRecordedArrivals checks that arrivals are the times of the first attempts at the first requests of sessions.
func TestRecordedArrivals(t *testing.T) {
	file := filepath.Join(t.TempDir(), "r.json")
	f, err := os.Create(file)
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
	if arrivals, err := RecordedArrivals(file); err != nil || len(arrivals) != 2 || arrivals[1] != 2*time.Second {
		t.Errorf("arrivals %v, error %v; want two, the second after 2 s", arrivals, err)
	}
}
