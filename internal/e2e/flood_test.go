package e2e

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc/codes"

	pb "docksail/api/docksail/v1"
	"docksail/internal/dispatch"
	"docksail/internal/lab/scenario"
)

// maxFloodHeapGrowth is how many bytes the heap may grow by during a flood.
const maxFloodHeapGrowth = 8 << 20

// floodScenarioText is a scenario in which one client sends more than the fleet can serve, beside six small clients.
// parseFloodScript fills in the shares of the two classes and the clients of the flood.
const floodScenarioText = `{
  "for": "8s", "sessions_per_second": 60, "lister_late": "50ms", "release_within": "500ms", "attempts": 5,
  "requests_waiting": 400,
  "cold_start": {"from": 1, "warm_after": "1s", "overload_factor": 100, "overload_window": "1s"},
  "fleet": [
    {"count": 2, "role": "prefill", "zone": "a", "cell": "a1", "slots": 8, "queue": 60,
     "reads_per_second": 6000, "requests_per_second": 17},
    {"count": 2, "role": "decode", "zone": "a", "cell": "a1", "slots": 32, "queue": 60,
     "token_gap": "5ms", "requests_per_second": 40}
  ],
  "dispatchers": [{"zone": "a"}],
  "classes": [
    {"name": "small", "share": SMALL_SHARE, "target": "1s", "timeout": "4s", "token_gap": "50ms",
     "effect": "idempotent", "prompt": 300, "prompt_most": 400, "answer": 20, "retries": 2, "clients": 6},
    {"name": "flood", "share": FLOOD_SHARE, "target": "1s", "timeout": "4s", "token_gap": "50ms",
     "effect": "idempotent", "prompt": 300, "prompt_most": 400, "answer": 20, "retries": 2, FLOOD_CLIENTS}
  ]
}`

// newFloodScript returns the scenario with a flood. clients are JSON fields that describe its clients.
func newFloodScript(t *testing.T, clients string) *scenario.Script {
	t.Helper()
	return parseFloodScript(t, floodScenarioText, "0.1", "0.9", clients)
}

// newCalmScript returns the scenario without a flood, with the same load of the small clients.
func newCalmScript(t *testing.T) *scenario.Script {
	t.Helper()
	text := strings.Replace(floodScenarioText, `"sessions_per_second": 60`, `"sessions_per_second": 6`, 1)
	return parseFloodScript(t, text, "1", "0", `"clients": 1`)
}

func parseFloodScript(t *testing.T, text, smallShare, floodShare, clients string) *scenario.Script {
	t.Helper()
	replacer := strings.NewReplacer("SMALL_SHARE", smallShare, "FLOOD_SHARE", floodShare, "FLOOD_CLIENTS", clients)
	script, err := scenario.Parse("flood", []byte(replacer.Replace(text)))
	if err != nil {
		t.Fatal(err)
	}
	return script
}

// percentiles are percentiles of the time to first token.
type percentiles struct{ p50, p99 time.Duration }

func (p percentiles) String() string { return fmt.Sprintf("%v/%v", p.p50, p.p99) }

func percentilesOf(times []time.Duration) percentiles {
	return percentiles{quantile(times, 0.5), quantile(times, 0.99)}
}

// quantile sorts times and returns their quantile q, or 0 if there are none.
func quantile(times []time.Duration, q float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	slices.Sort(times)
	return times[int(q*float64(len(times)-1))]
}

// TestFloodOfOneClient checks that a flood by one client delays small clients by a bounded factor only: under one name,
// under made-up names, ignoring retry advice, and on many connections. The times with FIFO admission are logged for
// comparison.
func TestFloodOfOneClient(t *testing.T) {
	calm := percentilesOf(runScript(t, newCalmScript(t), nil).Summaries["small"].FirstTokenTimes)
	for _, test := range []struct{ name, clients string }{
		{"one name", `"clients": 1`},
		{"made-up names", `"made_up": true`},
		{"retry advice ignored", `"clients": 1, "no_advice": true`},
		{"many connections", `"clients": 1, "connections": 60, "no_advice": true`},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			fairReport := runScript(t, newFloodScript(t, test.clients), nil)
			fifoScript := newFloodScript(t, test.clients)
			fifoScript.FIFO = true
			fifoReport := runScript(t, fifoScript, nil)
			fair, fifo := fairReport.Summaries["small"], fifoReport.Summaries["small"]
			flooded := percentilesOf(fair.FirstTokenTimes)
			t.Logf("small clients' p50/p99 time to first token: no flood %v, flood %v, flood with FIFO %v",
				calm, flooded, percentilesOf(fifo.FirstTokenTimes))
			t.Logf("served %d of %d, with FIFO %d of %d", fair.Served, fair.Requests, fifo.Served, fifo.Requests)
			checkReport(t, fairReport)
			checkReport(t, fifoReport)
			if flooded.p50 > 4*calm.p50+100*time.Millisecond {
				t.Errorf("p50 of the small clients' time to first token is %v, without the flood %v",
					flooded.p50, calm.p50)
			}
			// The slowest requests wait for prefills in progress and for one request of each other client. The bound
			// allows for load from parallel tests: TestFloodSimulated in internal/lab/simulation checks the documented
			// bound in simulated time.
			if flooded.p99 > 10*calm.p99+300*time.Millisecond {
				t.Errorf("p99 of the small clients' time to first token is %v, without the flood %v",
					flooded.p99, calm.p99)
			}
			if fair.Served < fair.Requests*8/10 {
				t.Errorf("%d of %d requests of small clients served, want at least 80%%", fair.Served, fair.Requests)
			}
		})
	}
}

// TestFloodHoldsNoMemory checks that a flood from one address on 200 connections does not grow the heap or exceed the
// limits of the admission queue, and that clients at another address are served.
func TestFloodHoldsNoMemory(t *testing.T) {
	const maxWaiting, maxFlows = 200, 1300
	deployment, _ := startDeployment(t, func(s *scenario.Script) { s.MaxWaiting = maxWaiting })
	address := deployment.Addresses()[0]
	if got := generate(context.Background(), dialFrom(t, 8, address), newRequest("first")); got.status.Code() != codes.OK {
		t.Fatal(got.status)
	}
	sentCount, stopFlood := startFlood(t, address)
	var heapSizes []uint64
	var latencies []time.Duration
	otherClient := dialFrom(t, 10, address)
	for i := range 12 {
		start := time.Now()
		generateWithRetries(t, otherClient, fmt.Sprint("beside", i))
		latencies = append(latencies, time.Since(start))
		time.Sleep(max(0, 400*time.Millisecond-time.Since(start)))
		heapSizes = append(heapSizes, heapBytes())
		deployment.Dispatcher(0).RunOnLoop(func(d *dispatch.Dispatcher) {
			if status := d.Status(); status.Waiting > maxWaiting || status.Flows > maxFlows {
				t.Errorf("%d requests waiting, want at most %d; %d flows", status.Waiting, maxWaiting, status.Flows)
			}
		})
	}
	stopFlood()
	earlyHeap, lateHeap, maxLatency := slices.Max(heapSizes[2:6]), slices.Max(heapSizes[8:]), slices.Max(latencies)
	t.Logf("%d requests sent; heap at most %d KiB early, %d KiB late; requests from the other address took at most %v",
		sentCount.Load(), earlyHeap>>10, lateHeap>>10, maxLatency)
	if lateHeap > earlyHeap+maxFloodHeapGrowth {
		t.Errorf("heap grew from %d to %d bytes during the flood", earlyHeap, lateHeap)
	}
	if maxLatency > 10*time.Second {
		t.Errorf("a request from the other address took %v", maxLatency)
	}
	if sentCount.Load() < 2000 {
		t.Errorf("%d requests sent, want at least 2000", sentCount.Load())
	}
	checkInvariants(t, deployment)
}

// startFlood sends at most 2,000 requests a second, on 200 connections, until stop is called. sentCount is their number
// so far.
func startFlood(t *testing.T, address string) (sentCount *atomic.Int64, stop func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	sentCount = &atomic.Int64{}
	var wg sync.WaitGroup
	for n := range 200 {
		client := dialFrom(t, 9, address)
		wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				request := newRequest(fmt.Sprint("flood", n, ".", i))
				request.Client = request.Label
				sentCount.Add(1)
				if got := generate(ctx, client, request); got.status.Code() == codes.OK {
					continue
				}
				select {
				case <-time.After(100 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		})
	}
	return sentCount, func() {
		cancel()
		wg.Wait()
	}
}

// generateWithRetries sends a request and retries it at the advised time while it is rejected, up to maxRetries times.
func generateWithRetries(t *testing.T, client pb.GenerationClient, label string) {
	t.Helper()
	const maxRetries = 5
	for retry := 0; ; retry++ {
		got := generate(context.Background(), client, newRequest(fmt.Sprint(label, ".", retry)))
		if got.status.Code() == codes.OK {
			return
		}
		if retry == maxRetries {
			t.Errorf("%s: %v", label, got.status)
			return
		}
		time.Sleep(got.retryAfter())
	}
}

// TestFloodOfConnections checks that clients at another address are served while one address opens as many connections
// as it can.
func TestFloodOfConnections(t *testing.T) {
	const maxConnections = 200
	deployment, _ := startDeployment(t, func(s *scenario.Script) { s.MaxConnections = maxConnections })
	address := deployment.Addresses()[0]
	dialer := loopbackDialer(9)
	var conns []net.Conn
	defer func() {
		for _, conn := range conns {
			conn.Close()
		}
	}()
	for range 3 * maxConnections {
		conn, err := dialer.Dial("tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	for i := range 8 {
		got := generate(context.Background(), dialFrom(t, 10, address), newRequest(fmt.Sprint("beside", i)))
		if got.status.Code() != codes.OK {
			t.Errorf("client %d at another address: %v", i, got.status)
		}
	}
	status, err := deployment.Dispatcher(0).Status()
	if err != nil {
		t.Fatal(err)
	}
	counts := status.Frontend.Connections
	t.Logf("%+v, %d open", counts, status.ClientConns)
	if status.ClientConns > maxConnections || counts.SourceLimitReached == 0 {
		t.Errorf("%d connections open, want at most %d; %d refused by the limit per address, want some",
			status.ClientConns, maxConnections, counts.SourceLimitReached)
	}
	checkInvariants(t, deployment)
}

// TestTenThousandClients checks that each of ten thousand clients is served, or rejected with retry advice, and that a
// second round does not grow the heap.
func TestTenThousandClients(t *testing.T) {
	const clientCount = 10000
	deployment, client := startDeployment(t, func(s *scenario.Script) { s.MaxWaiting = 500 })
	clients := []pb.GenerationClient{client}
	for range 7 {
		clients = append(clients, dial(t, deployment.Addresses()[0]))
	}
	if got := generate(context.Background(), client, newRequest("first")); got.status.Code() != codes.OK {
		t.Fatal(got.status)
	}
	var statuses statusCounts
	var withoutAdvice atomic.Int64
	sendRound := func(name string) {
		var wg sync.WaitGroup
		for i := range clientCount {
			wg.Go(func() {
				request := newRequest(fmt.Sprint(name, i))
				request.Client = request.Label
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				got := generate(ctx, clients[i%len(clients)], request)
				statuses.add(got.status.Code())
				hasAdvice := len(got.status.Details()) > 0 && len(got.trailer.Get(pushbackKey)) > 0
				if got.status.Code() == codes.Unavailable && !hasAdvice {
					withoutAdvice.Add(1)
				}
			})
			if i%1000 == 0 {
				time.Sleep(20 * time.Millisecond)
			}
		}
		wg.Wait()
	}
	sendRound("a")
	firstHeap := idleHeapBytes(t, deployment)
	sendRound("b")
	secondHeap := idleHeapBytes(t, deployment)
	t.Logf("ended as %v, heap %d bytes after the first round and %d after the second", &statuses, firstHeap, secondHeap)
	served := statuses.count(codes.OK)
	if served+statuses.count(codes.Unavailable) != 2*clientCount || served == 0 || withoutAdvice.Load() > 0 {
		t.Errorf("ended as %v, %d rejections without advice; want all served or rejected with advice",
			&statuses, withoutAdvice.Load())
	}
	if secondHeap > firstHeap+maxFloodHeapGrowth {
		t.Errorf("heap grew from %d to %d bytes in the second round", firstHeap, secondHeap)
	}
	checkInvariants(t, deployment)
}

// idleHeapBytes returns the size of the heap and checks that the dispatcher has no requests.
func idleHeapBytes(t *testing.T, deployment *scenario.Deployment) uint64 {
	t.Helper()
	runtime.GC() // sync.Pools of the clients outlive one collection
	size := heapBytes()
	deployment.Dispatcher(0).RunOnLoop(func(d *dispatch.Dispatcher) {
		status := d.Status()
		t.Logf("%d flows tracked", status.Flows)
		if status.Waiting != 0 || status.InFlight != 0 {
			t.Errorf("%d requests waiting and %d in flight after all were answered, want none",
				status.Waiting, status.InFlight)
		}
	})
	return size
}
