package benchmark

import (
	"encoding/json"
	"io"
	"strings"
	"testing"
	"time"
)

// TestRunEngines checks that the process of the engines writes its addresses under the expected JSON keys and ends
// when its input ends.
func TestRunEngines(t *testing.T) {
	input, stop := io.Pipe()
	output, out := io.Pipe()
	ended := make(chan error, 1)
	go func() { ended <- RunEngines(time.Millisecond, input, out) }()
	var addresses struct {
		Discovery                     string
		PrefillServers, DecodeServers []string
	}
	if err := json.NewDecoder(output).Decode(&addresses); err != nil {
		t.Fatal(err)
	}
	prefill, decode := len(addresses.PrefillServers), len(addresses.DecodeServers)
	if addresses.Discovery == "" || prefill != prefillEngineCount || prefill+decode != engineCount {
		t.Errorf("discovery %q, %d prefill and %d decode servers, want %d and %d",
			addresses.Discovery, prefill, decode, prefillEngineCount, engineCount-prefillEngineCount)
	}
	stop.Close()
	if err := <-ended; err != nil {
		t.Errorf("error %v at the end of the input, want none", err)
	}
}

// TestProcessUsage checks that memory and CPU time of a running process can be read.
func TestProcessUsage(t *testing.T) {
	p, err := startProcess("cat")
	if err != nil {
		t.Fatal(err)
	}
	defer p.stop()
	if memory, err := p.residentMemory(); err != nil || memory <= 0 {
		t.Errorf("resident memory %d, error %v; want more than 0", memory, err)
	}
	if cpu, err := p.cpuTime(); err != nil || cpu < 0 || cpu > time.Minute {
		t.Errorf("CPU time %v, error %v; want less than a minute", cpu, err)
	}
}

// TestPrintRatios checks the printed ratios, and that none are printed without CPU time.
func TestPrintRatios(t *testing.T) {
	newMeasurement := func(cpu time.Duration) *measurement {
		return &measurement{
			streams: 10, requests: 100, tokens: 1000, cpu: cpu, memoryGrowth: 5000,
		}
	}
	const memoryLine = "at 10 streams: resident memory grew by 500 bytes per stream, that of the baseline by 500\n"
	for name, c := range map[string]struct {
		dispatcher, baseline time.Duration // CPU time
		want                 string
	}{
		"half of the baseline's CPU": {
			time.Second, 2 * time.Second,
			memoryLine + "at 10 streams: 2.00 times the baseline's tokens per CPU second, 0.50 of its CPU per request\n",
		},
		"no CPU time": {0, 2 * time.Second, memoryLine},
	} {
		t.Run(name, func(t *testing.T) {
			var out strings.Builder
			config := Config{Output: &out}
			config.printRatios(newMeasurement(c.dispatcher), newMeasurement(c.baseline))
			if out.String() != c.want {
				t.Errorf("printed %q, want %q", out.String(), c.want)
			}
		})
	}
}
