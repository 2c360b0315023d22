package e2e

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"slices"
	"strconv"
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

// crowd is a day on which one client of many asks for more than the fleet bears; the tests change it.
const floodScenarioText = `{
  "for": "8s", "sessions_per_second": 60, "lister_late": "50ms", "release_within": "500ms", "attempts": 5, "requests_waiting": 400,
  "cold_start": {"from": 1, "warm_after": "1s", "overload_factor": 100, "overload_window": "1s"},
  "fleet": [
    {"count": 2, "role": "prefill", "zone": "a", "cell": "a1", "slots": 8, "queue": 60, "reads_per_second": 6000, "requests_per_second": 17},
    {"count": 2, "role": "decode", "zone": "a", "cell": "a1", "slots": 32, "queue": 60, "token_gap": "5ms", "requests_per_second": 40}
  ],
  "dispatchers": [{"zone": "a"}],
  "classes": [
    {"name": "small", "share": SMALL, "target": "1s", "timeout": "4s", "token_gap": "50ms", "effect": "idempotent",
     "prompt": 300, "prompt_most": 400, "answer": 20, "retries": 2, "clients": 6},
    {"name": "flood", "share": FLOOD, "target": "1s", "timeout": "4s", "token_gap": "50ms", "effect": "idempotent",
     "prompt": 300, "prompt_most": 400, "answer": 20, "retries": 2, HOW}
  ]
}`

func floodScript(t *testing.T, flood bool, how string) *scenario.Script {
	t.Helper()
	small, much := "0.1", "0.9"
	text := floodScenarioText
	if !flood {
		small, much = "1", "0"
		text = strings.Replace(text, `"sessions_per_second": 60`, `"sessions_per_second": 6`, 1)
	}
	s, err := scenario.Parse("crowd", []byte(strings.NewReplacer("SMALL", small, "FLOOD", much, "HOW", how).Replace(text)))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func quantile(first []time.Duration, q float64) time.Duration {
	if len(first) == 0 {
		return 0
	}
	slices.Sort(first)
	return first[int(q*float64(len(first)-1))]
}

// TestFloodOfOneClient: under one name, under made-up names, and ignoring all advice. The small clients' wait stays
// within a small factor of the same day without the flood, and far from what order of arrival makes of it.
func TestFloodOfOneClient(t *testing.T) {
	quietDay := runScript(t, floodScript(t, false, `"clients": 1`), nil)
	calmP50, calmP99 := quantile(quietDay.Summaries["small"].FirstTokenTimes, 0.5), quantile(quietDay.Summaries["small"].FirstTokenTimes, 0.99)
	for _, c := range []struct{ name, how string }{
		{"one name", `"clients": 1`},
		{"made-up names", `"made_up": true`},
		{"no advice taken", `"clients": 1, "no_advice": true`},
		{"many connections", `"clients": 1, "connections": 60, "no_advice": true`},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fair := runScript(t, floodScript(t, true, c.how), nil)
			s := floodScript(t, true, c.how)
			s.FIFO = true
			first := runScript(t, s, nil)
			a, b := fair.Summaries["small"], first.Summaries["small"]
			t.Logf("small clients, p50/p99 to the first token: without the flood %v/%v, with it %v/%v, in order of arrival %v/%v; honoured %d of %d, in order of arrival %d of %d",
				calmP50, calmP99, quantile(a.FirstTokenTimes, 0.5), quantile(a.FirstTokenTimes, 0.99), quantile(b.FirstTokenTimes, 0.5), quantile(b.FirstTokenTimes, 0.99), a.Served, a.Requests, b.Served, b.Requests)
			for _, report := range []*scenario.Report{fair, first} {
				if len(report.Violations) > 0 || report.Counts.InvalidDecisions > 0 {
					t.Errorf("%v, %d decisions refused", report.Violations, report.Counts.InvalidDecisions)
				}
			}
			if got := quantile(a.FirstTokenTimes, 0.5); got > 4*calmP50+100*time.Millisecond {
				t.Errorf("half of the small clients waited %v and more, without the flood %v", got, calmP50)
			}
			// One in a hundred waits for reads that run already, and for a turn of each of the others. The machine is busy with
			// other tests: the stated bound is held in simulated time, by TestFloodSimulated in internal/lab/sim.
			if got := quantile(a.FirstTokenTimes, 0.99); got > 10*calmP99+300*time.Millisecond {
				t.Errorf("one in a hundred of the small clients waited %v and more, without the flood %v", got, calmP99)
			}
			if a.Served < a.Requests*8/10 {
				t.Errorf("%d of %d small jobs honoured in the flood", a.Served, a.Requests)
			}
		})
	}
}

// TestFloodHoldsNoMemory: two hundred connections of one address send jobs as fast as they are refused; the heap is as
// large late in the flood as early in it, the door keeps its bounds, and clients of another address are served.
func TestFloodHoldsNoMemory(t *testing.T) {
	deployment, _ := startDeployment(t, func(s *scenario.Script) { s.MaxWaiting = 200 })
	to := deployment.Addresses()[0]
	if _, s, _ := generate(context.Background(), dialFrom(t, 8, to), newRequest("first")); s.Code() != codes.OK {
		t.Fatal(s)
	}
	ctx, stop := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var sent atomic.Int64
	for n := range 200 {
		c := dialFrom(t, 9, to)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for i := 0; ctx.Err() == nil; i++ {
				req := newRequest(fmt.Sprint("flood", n, ".", i))
				req.Client = req.Label
				sent.Add(1)
				if _, s, _ := generate(ctx, c, req); s.Code() == codes.OK {
					continue
				}
				select { // 2,000 a second at most
				case <-time.After(100 * time.Millisecond):
				case <-ctx.Done():
				}
			}
		}()
	}
	var heap []uint64
	var waits []time.Duration
	beside := dialFrom(t, 10, to)
	for i := range 12 {
		begin := time.Now()
		for tries := 0; ; tries++ {
			_, s, md := generate(context.Background(), beside, newRequest(fmt.Sprint("beside", i, ".", tries)))
			if s.Code() == codes.OK {
				break
			}
			if tries == 5 {
				t.Errorf("job %d of another address: %v", i, s)
				break
			}
			push, _ := strconv.Atoi(strings.Join(md.Get("grpc-retry-pushback-ms"), ""))
			time.Sleep(time.Duration(push) * time.Millisecond)
		}
		waits = append(waits, time.Since(begin))
		time.Sleep(max(0, 400*time.Millisecond-time.Since(begin)))
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		heap = append(heap, m.HeapAlloc)
		deployment.Dispatcher(0).RunOnLoop(func(d *dispatch.Dispatcher) {
			if v := d.Status(); v.Waiting > 200 || v.Flows > 1300 {
				t.Errorf("%d wait of 200, %d flows", v.Waiting, v.Flows)
			}
		})
	}
	stop()
	wg.Wait()
	early, late := slices.Max(heap[2:6]), slices.Max(heap[8:])
	t.Logf("%d jobs sent, heap at most %d KB early and %d KB late; beside it a job took %v at most", sent.Load(), early>>10, late>>10, slices.Max(waits))
	if late > early+(8<<20) {
		t.Errorf("heap grew from %d to %d bytes during the flood", early, late)
	}
	if w := slices.Max(waits); w > 10*time.Second {
		t.Errorf("a job of another address took %v", w)
	}
	if sent.Load() < 2000 {
		t.Errorf("%d jobs sent: no flood", sent.Load())
	}
	checkInvariants(t, deployment)
}

// TestFloodOfConnections: one address opens as many connections as it can; another's client is served as before.
func TestFloodOfConnections(t *testing.T) {
	deployment, _ := startDeployment(t, func(s *scenario.Script) { s.MaxConnections = 200 })
	to := deployment.Addresses()[0]
	from := &net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}}
	var conns []net.Conn
	defer func() {
		for _, c := range conns {
			c.Close()
		}
	}()
	for range 600 {
		c, err := from.Dial("tcp", to)
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
	}
	for i := range 8 {
		if _, s, _ := generate(context.Background(), dialFrom(t, 10, to), newRequest(fmt.Sprint("beside", i))); s.Code() != codes.OK {
			t.Errorf("client %d of another address: %v", i, s)
		}
	}
	status, err := deployment.Dispatcher(0).Status()
	if err != nil {
		t.Fatal(err)
	}
	c := status.Frontend.Connections
	t.Logf("%+v, %d open", c, status.ClientConns)
	if status.ClientConns > 200 || c.SourceLimitReached == 0 {
		t.Errorf("%d connections open of 200, %d refused for their address", status.ClientConns, c.SourceLimitReached)
	}
	checkInvariants(t, deployment)
}

// TestTenThousandClients: each sends one job at once; every one is answered, memory stays flat.
func TestTenThousandClients(t *testing.T) {
	deployment, client := startDeployment(t, func(s *scenario.Script) { s.MaxWaiting = 500 })
	clients := []pb.GenerationClient{client}
	for range 7 {
		clients = append(clients, dial(t, deployment.Addresses()[0]))
	}
	if _, s, _ := generate(context.Background(), client, newRequest("first")); s.Code() != codes.OK {
		t.Fatal(s)
	}
	flows, heap := 0, uint64(0)
	var mu sync.Mutex
	ends := map[codes.Code]int{}
	noAdvice := 0
	crowd := func(name string) {
		var wg sync.WaitGroup
		for i := range 10000 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				req := newRequest(fmt.Sprint(name, i))
				req.Client = req.Label
				ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
				defer cancel()
				_, s, md := generate(ctx, clients[i%len(clients)], req)
				mu.Lock()
				ends[s.Code()]++
				if s.Code() == codes.Unavailable && (len(s.Details()) == 0 || len(md.Get("grpc-retry-pushback-ms")) == 0) {
					noAdvice++
				}
				mu.Unlock()
			}()
			if i%1000 == 0 {
				time.Sleep(20 * time.Millisecond)
			}
		}
		wg.Wait()
		var m runtime.MemStats
		runtime.GC()
		runtime.GC() // what the clients' pools keep (sync.Pool) outlives one collection
		runtime.ReadMemStats(&m)
		heap = m.HeapAlloc
		deployment.Dispatcher(0).RunOnLoop(func(d *dispatch.Dispatcher) {
			v := d.Status()
			if v.Waiting != 0 || v.InFlight != 0 {
				t.Errorf("%d wait and %d are in hand when all are answered", v.Waiting, v.InFlight)
			}
			flows = v.Flows
		})
	}
	crowd("a")
	before := heap
	crowd("b")
	t.Logf("ends %v, flows remembered %d, heap %d then %d bytes", ends, flows, before, heap)
	if n := ends[codes.OK] + ends[codes.Unavailable]; n != 20000 || ends[codes.OK] == 0 || noAdvice > 0 {
		t.Errorf("ended as %v, %d nacks without advice; want all honoured or nacked with advice", ends, noAdvice)
	}
	if heap > before+(8<<20) {
		t.Errorf("heap grew from %d to %d bytes over the second crowd", before, heap)
	}
	checkInvariants(t, deployment)
}
