package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"docksail/internal/lab/soak"
)

// pressureTest runs one dispatcher process with four prefill and four decode servers, burdens it with clients of one
// kind, and meanwhile probes it with small requests on new connections.
type pressureTest struct {
	kind        soak.PressureKind
	clients     int
	others      map[soak.PressureKind]int // clients of further kinds
	memoryMB    int
	descriptors int
	duration    time.Duration
	plan        func(id string, prefill bool) soak.AttemptPlan // nil = servers answer at once
	prepare     func(fleet *soak.Fleet)                        // nil = nothing to do before the clients start
}

const (
	probeInterval  = 150 * time.Millisecond
	probeRemaining = 4 * time.Second
	// maxAnswerDelay is how long after a client's time its final answer still counts: half a second and 50 ms of
	// tolerance, by the platform's page.
	maxAnswerDelay = 550 * time.Millisecond
)

// pressureResult is what a pressureTest has measured.
type pressureResult struct {
	fleet      *soak.Fleet
	dispatcher *soak.Dispatcher
	peakMB     float64
	probes     []probe
	statuses   map[int]int   // of the clients
	longest    time.Duration // time of an answer to the clients
}

// probe is a small request and its final answer.
type probe struct {
	outcome soak.Outcome
	latency time.Duration
}

// run runs the test and logs what was measured.
func (p pressureTest) run(t *testing.T) *pressureResult {
	t.Helper()
	fleet, err := soak.NewFleet(program, t.TempDir(), soakSettings, soak.DefaultLimits(time.Second))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(fleet.Close)
	fleet.MemoryMB, fleet.MaxDescriptors = p.memoryMB, p.descriptors
	if p.plan != nil {
		fleet.AttemptPlan = func(id string, prefill bool, _ string) soak.AttemptPlan { return p.plan(id, prefill) }
	}
	for n := range 4 {
		for _, prefill := range []bool{true, false} {
			if _, err := fleet.AddServer(fmt.Sprintf("s%d%v", n, prefill), prefill); err != nil {
				t.Fatal(err)
			}
		}
	}
	if p.prepare != nil {
		p.prepare(fleet)
	}
	dispatcher, err := fleet.AddDispatcher("d1")
	if err != nil {
		t.Fatal(err)
	}
	pressure := soak.Pressure{Kind: p.kind, Clients: p.clients, Dispatcher: dispatcher}
	result := &pressureResult{fleet: fleet, dispatcher: dispatcher}
	var running sync.WaitGroup
	running.Go(func() { pressure.Run(p.duration) })
	for kind, clients := range p.others {
		other := soak.Pressure{Kind: kind, Clients: clients, Dispatcher: dispatcher}
		running.Go(func() {
			other.Run(p.duration)
			t.Logf("%d clients, %s: %v", clients, kind, other.Statuses())
		})
	}
	result.probes = sendProbes(fleet, dispatcher, p.duration)
	running.Wait()
	result.peakMB = float64(dispatcher.PeakMemory()) / (1 << 20)
	result.statuses, result.longest = pressure.Statuses(), pressure.LongestAnswer()
	t.Logf("%d clients, %s: peak %.1f of %d MB, clients %v, longest %v, probes: %s",
		p.clients, p.kind, result.peakMB, p.memoryMB, result.statuses, result.longest, result.describeProbes())
	if counts, err := dispatcher.LogLines("msg=counts"); err == nil && len(counts) > 0 {
		t.Log(counts[len(counts)-1])
	}
	return result
}

// sendProbes sends a small request on a new connection at each interval, whether or not the earlier ones are answered.
func sendProbes(fleet *soak.Fleet, dispatcher *soak.Dispatcher, duration time.Duration) []probe {
	probes := make([]probe, int(duration/probeInterval))
	var sending sync.WaitGroup
	for n := range probes {
		sending.Go(func() {
			client := soak.NewClient(fleet)
			defer client.Close()
			request := soak.Request{
				ID: fmt.Sprintf("%016x", n+1), Session: fmt.Sprint(n), Remaining: probeRemaining, Class: "idempotent",
			}
			start := time.Now()
			if err := client.Send(dispatcher, request); err != nil {
				probes[n].outcome.Err = err
				return
			}
			probes[n].outcome = client.ReceiveAnswer(request)
			probes[n].latency = time.Since(start)
		})
		time.Sleep(probeInterval)
	}
	sending.Wait()
	return probes
}

// describeProbes returns the answers of the probes by status, and their latencies.
func (r *pressureResult) describeProbes() string {
	statuses := map[int]int{}
	var latencies []time.Duration
	for _, p := range r.probes {
		statuses[p.outcome.Status]++
		latencies = append(latencies, p.latency.Round(time.Millisecond))
	}
	slices.Sort(latencies)
	return fmt.Sprintf("%v, median %v, longest %v", statuses, latencies[len(latencies)/2], latencies[len(latencies)-1])
}

// wantWithinMemoryLimit checks that the process has stayed within its memory limit and has not ended.
func (r *pressureResult) wantWithinMemoryLimit(t *testing.T, limitMB int) {
	t.Helper()
	if r.peakMB == 0 || r.peakMB > float64(limitMB) {
		t.Errorf("peak memory %.1f MB, want at most %d MB and a running process", r.peakMB, limitMB)
	}
	if ended, err := r.dispatcher.WaitExit(0); ended {
		t.Errorf("the process has ended: %v", err)
	}
	lines, err := r.dispatcher.ProgramErrors()
	if err != nil || len(lines) > 0 {
		t.Errorf("program errors, %v: %s", err, strings.Join(lines, "\n"))
	}
}

// wantProbesAnswered checks that every probe got its final answer in time.
func (r *pressureResult) wantProbesAnswered(t *testing.T) {
	t.Helper()
	for n, p := range r.probes {
		if p.outcome.Err != nil || p.latency > probeRemaining+maxAnswerDelay {
			t.Errorf("probe %d: status %d, error %v after %v", n, p.outcome.Status, p.outcome.Err, p.latency)
		}
	}
}

// wantProbesServed checks that every probe was served in time.
func (r *pressureResult) wantProbesServed(t *testing.T) {
	t.Helper()
	r.wantProbesAnswered(t)
	for n, p := range r.probes {
		if p.outcome.Err == nil && p.outcome.Status != http.StatusOK {
			t.Errorf("probe %d: status %d after %v, want %d", n, p.outcome.Status, p.latency, http.StatusOK)
		}
	}
}

// prefillsLargeRequestsForever is the plan of servers that read the clients' requests and do not answer them.
func prefillsLargeRequestsForever(id string, prefill bool) soak.AttemptPlan {
	if prefill && soak.IsPressureID(id, soak.LargeRequests) {
		return soak.AttemptPlan{Work: time.Hour}
	}
	return soak.AttemptPlan{}
}

// TestLargeRequestsStayWithinMemoryLimit guards against copies of requests in flight that no limit counts: with
// hundreds of large requests at once the process passed its memory limit.
func TestLargeRequestsStayWithinMemoryLimit(t *testing.T) {
	for _, test := range []struct{ clients, memoryMB, descriptors int }{
		{250, 80, 512}, {400, 96, 768}, {500, 192, 1024},
	} {
		t.Run(fmt.Sprint(test.clients), func(t *testing.T) {
			result := pressureTest{
				kind: soak.LargeRequests, clients: test.clients, memoryMB: test.memoryMB, descriptors: test.descriptors,
				duration: 6 * time.Second, plan: prefillsLargeRequestsForever,
			}.run(t)
			result.wantWithinMemoryLimit(t, test.memoryMB)
			result.wantProbesAnswered(t)
		})
	}
}

// TestManyFieldsDelayNoOtherAnswer guards against work and memory that grow faster than the size of a head: with
// hundreds of heads of thousands of short fields, other clients got their answers seconds late or never.
func TestManyFieldsDelayNoOtherAnswer(t *testing.T) {
	for _, test := range []struct{ clients, memoryMB, descriptors int }{{250, 80, 512}, {500, 192, 1024}} {
		t.Run(fmt.Sprint(test.clients), func(t *testing.T) {
			result := pressureTest{
				kind: soak.ManyFields, clients: test.clients, memoryMB: test.memoryMB, descriptors: test.descriptors,
				duration: 6 * time.Second,
			}.run(t)
			result.wantWithinMemoryLimit(t, test.memoryMB)
			result.wantProbesServed(t)
		})
	}
}

// TestHalfRequestsDelayNoOtherAnswer guards against clients that stop half way through a head or a body: they neither
// fill the memory nor delay the answers of others.
func TestHalfRequestsDelayNoOtherAnswer(t *testing.T) {
	for _, kind := range []soak.PressureKind{soak.HalfRequests, soak.HalfHeads, soak.SlowWriters} {
		t.Run(kind.String(), func(t *testing.T) {
			result := pressureTest{
				kind: kind, clients: 250, memoryMB: 80, descriptors: 512, duration: 6 * time.Second,
			}.run(t)
			result.wantWithinMemoryLimit(t, 80)
			result.wantProbesServed(t)
		})
	}
}

// TestSlowReadersStayWithinMemoryLimit guards against answers that wait for clients that read slowly without a limit on
// all of them together.
func TestSlowReadersStayWithinMemoryLimit(t *testing.T) {
	result := pressureTest{
		kind: soak.SlowReaders, clients: 120, memoryMB: 80, descriptors: 512, duration: 8 * time.Second,
		plan: func(id string, prefill bool) soak.AttemptPlan {
			if !prefill && soak.IsPressureID(id, soak.SlowReaders) {
				return soak.AttemptPlan{Tokens: 400, TokenBytes: 60 << 10, TokenInterval: time.Millisecond}
			}
			return soak.AttemptPlan{}
		},
	}.run(t)
	result.wantWithinMemoryLimit(t, 80)
	result.wantProbesServed(t)
}

// TestFloodOnOneConnectionDelaysNoOtherAnswer guards against a client that sends small or malformed requests at full
// speed, each with new names: others get their answers in time, and memory does not grow without end.
func TestFloodOnOneConnectionDelaysNoOtherAnswer(t *testing.T) {
	for _, kind := range []soak.PressureKind{soak.Flood, soak.InvalidFlood, soak.ConnectionStorm} {
		t.Run(kind.String(), func(t *testing.T) {
			result := pressureTest{
				kind: kind, clients: 1, memoryMB: 80, descriptors: 512, duration: 6 * time.Second,
			}.run(t)
			result.wantWithinMemoryLimit(t, 80)
			result.wantProbesServed(t)
		})
	}
}

// TestManySmallRequestsDelayNoOtherAnswer guards against answers that come late while hundreds of clients ask again as
// soon as they are answered.
func TestManySmallRequestsDelayNoOtherAnswer(t *testing.T) {
	result := pressureTest{
		kind: soak.SmallRequests, clients: 250, memoryMB: 80, descriptors: 512, duration: 6 * time.Second,
	}.run(t)
	result.wantWithinMemoryLimit(t, 80)
	result.wantProbesAnswered(t)
}

// TestNoAttemptAfterClientLeft guards against attempts for clients that have closed their connection with bytes unread:
// none begins later than the tolerance after the close.
func TestNoAttemptAfterClientLeft(t *testing.T) {
	result := pressureTest{
		kind: soak.Deserters, clients: 200, memoryMB: 80, descriptors: 512, duration: 5 * time.Second,
		plan: func(id string, prefill bool) soak.AttemptPlan {
			if prefill && soak.IsPressureID(id, soak.Deserters) {
				return soak.AttemptPlan{Work: 300 * time.Millisecond}
			}
			return soak.AttemptPlan{}
		},
	}.run(t)
	result.wantWithinMemoryLimit(t, 80)
	for _, violation := range result.fleet.Oracle.Check(soak.Now()) {
		if strings.HasPrefix(violation, "lost: an attempt started") {
			t.Error(violation)
		}
	}
}

// TestSlowlyReadRequestIsAnsweredInTime guards against final answers that come seconds after their time where a server
// reads a large request slowly.
func TestSlowlyReadRequestIsAnsweredInTime(t *testing.T) {
	const readRate = 23 << 10 // bytes a second: a large request takes 11 s
	result := pressureTest{
		kind: soak.LargeRequests, clients: 24, memoryMB: 80, descriptors: 512, duration: 10 * time.Second,
		prepare: func(fleet *soak.Fleet) {
			for _, server := range fleet.Servers {
				server.Proxy.SetForwardRate(readRate)
			}
		},
	}.run(t)
	result.wantWithinMemoryLimit(t, 80)
	if limit := probeRemaining + maxAnswerDelay; result.longest > limit || result.statuses[0] > 0 {
		t.Errorf("longest answer %v, want at most %v; statuses %v", result.longest, limit, result.statuses)
	}
}

// TestSlowlyWrittenAnswerIsNotCutOff guards against answers that are cut off while their server still writes them, byte
// by byte: an event may take longer than a client tolerates silence.
func TestSlowlyWrittenAnswerIsNotCutOff(t *testing.T) {
	for name, eventTime := range map[string]time.Duration{
		"events of 2.4 s": 2400 * time.Millisecond, "events of 6 s": 6 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const pieceInterval = 300 * time.Millisecond
			plan := soak.AttemptPlan{Tokens: 2, TokenPieces: int(eventTime / pieceInterval), TokenInterval: pieceInterval}
			result := pressureTest{
				memoryMB: 80, descriptors: 512, duration: 3 * time.Second,
				plan: func(_ string, prefill bool) soak.AttemptPlan {
					if prefill {
						return soak.AttemptPlan{}
					}
					return plan
				},
			}.run(t)
			result.wantWithinMemoryLimit(t, 80)
			for n, p := range result.probes {
				if p.outcome.Started && p.outcome.Err != nil {
					t.Errorf("probe %d: %v after %v", n, p.outcome.Err, p.latency)
				}
			}
		})
	}
}

// TestMixedPressureStaysWithinMemoryLimit guards against kinds of pressure that are each limited but not together:
// their bytes share one budget, at the least limit of the platform as well as at the usual ones.
func TestMixedPressureStaysWithinMemoryLimit(t *testing.T) {
	for _, test := range []struct{ groupSize, memoryMB, descriptors int }{{15, 32, 256}, {40, 80, 512}, {80, 192, 1024}} {
		t.Run(fmt.Sprintf("%d MB", test.memoryMB), func(t *testing.T) {
			others := map[soak.PressureKind]int{soak.Flood: 2, soak.InvalidFlood: 2}
			for _, kind := range []soak.PressureKind{
				soak.ManyFields, soak.HalfRequests, soak.HalfHeads, soak.SlowReaders, soak.SlowWriters, soak.Deserters,
			} {
				others[kind] = test.groupSize
			}
			result := pressureTest{
				kind: soak.LargeRequests, clients: test.groupSize, others: others,
				memoryMB: test.memoryMB, descriptors: test.descriptors, duration: 8 * time.Second,
				plan: func(id string, prefill bool) soak.AttemptPlan {
					if !prefill && soak.IsPressureID(id, soak.SlowReaders) {
						return soak.AttemptPlan{Tokens: 400, TokenBytes: 60 << 10, TokenInterval: time.Millisecond}
					}
					return prefillsLargeRequestsForever(id, prefill)
				},
			}.run(t)
			result.wantWithinMemoryLimit(t, test.memoryMB)
			result.wantProbesAnswered(t)
		})
	}
}
