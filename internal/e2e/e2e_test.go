// Package e2e holds end-to-end tests: real dispatchers on loopback sockets with stand-ins for the model servers.
package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
	"docksail/internal/dispatch"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/scenario"
)

// Metadata keys of rejections and retries.
const (
	pushbackKey = "grpc-retry-pushback-ms" // in trailers
	ticketKey   = "docksail-ticket-bin"    // in headers and trailers
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// faultsPlaceholder is replaced with the list of faults in scenarioText.
const faultsPlaceholder = "FAULTS"

// scenarioText is the small scenario that most tests start from: servers 1 and 2 do prefill, 3 and 4 do decode.
const scenarioText = `{
  "for": "5s", "sessions_per_second": 25, "lister_late": "50ms", "release_within": "300ms", "attempts": 5,
  "cold_start": {"from": 0.1, "warm_after": "6s", "overload_factor": 1.2, "overload_window": "1s"},
  "fleet": [
    {"count": 2, "role": "prefill", "zone": "a", "cell": "a1", "slots": 8, "queue": 60,
     "reads_per_second": 7000, "requests_per_second": 17},
    {"count": 2, "role": "decode", "zone": "a", "cell": "a1", "slots": 16, "queue": 60,
     "token_gap": "5ms", "requests_per_second": 40}
  ],
  "dispatchers": [{"zone": "a"}],
  "classes": [
    {"name": "question", "share": 0.7, "target": "600ms", "timeout": "2s", "token_gap": "50ms",
     "effect": "idempotent", "prompt": 100, "prompt_most": 600, "answer": 20, "retries": 1},
    {"name": "booking", "share": 0.3, "target": "600ms", "timeout": "2s", "token_gap": "50ms",
     "effect": "non_idempotent", "prompt": 100, "prompt_most": 600, "answer": 20, "retries": 1}
  ],
  "troubles": [FAULTS]
}`

// wrapFunc wraps the decision module of a dispatcher in one that is slow or faulty.
type wrapFunc = func(dispatch.Module) dispatch.Module

// newScript returns the small scenario with the given faults: JSON objects separated by commas.
func newScript(t *testing.T, faults string) *scenario.Script {
	t.Helper()
	script, err := scenario.Parse("scenario", []byte(strings.Replace(scenarioText, faultsPlaceholder, faults, 1)))
	if err != nil {
		t.Fatal(err)
	}
	return script
}

// runScript runs a scenario and logs its report. wrap may be nil.
func runScript(t *testing.T, script *scenario.Script, wrap wrapFunc) *scenario.Report {
	t.Helper()
	deployment, err := scenario.StartWithModule(script, discardLog, func(int) wrapFunc { return wrap })
	if err != nil {
		t.Fatal(err)
	}
	defer deployment.Close()
	report, err := deployment.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	var text strings.Builder
	report.Print(&text)
	t.Log("\n" + text.String())
	return report
}

// startDeployment starts the servers and the dispatcher of the small scenario, without its load, and connects a client.
// change modifies the scenario before the start; it may be nil.
func startDeployment(t *testing.T, change func(*scenario.Script)) (*scenario.Deployment, pb.GenerationClient) {
	t.Helper()
	script := newScript(t, "")
	if change != nil {
		change(script)
	}
	deployment, err := scenario.Start(script, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(deployment.Close)
	return deployment, dial(t, deployment.Addresses()[0])
}

func dial(t *testing.T, address string) pb.GenerationClient {
	t.Helper()
	return pb.NewGenerationClient(dialConn(t, address))
}

// dialFrom connects from the loopback address 127.0.0.host.
func dialFrom(t *testing.T, host byte, address string) pb.GenerationClient {
	t.Helper()
	dialer := loopbackDialer(host)
	return pb.NewGenerationClient(dialConn(t, address,
		grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		})))
}

func loopbackDialer(host byte) *net.Dialer {
	return &net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, host)}}
}

func dialConn(t *testing.T, address string, options ...grpc.DialOption) *grpc.ClientConn {
	t.Helper()
	options = append(options, grpc.WithTransportCredentials(insecure.NewCredentials()))
	conn, err := grpc.NewClient(address, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return conn
}

func newRequest(label string) *pb.GenerateRequest {
	return &pb.GenerateRequest{
		Track: "question", PromptTokens: 500, MaxTokens: 20, Label: label, Prompt: []byte(label),
	}
}

// answer is the outcome of a request.
type answer struct {
	tokens  int // received
	status  *status.Status
	trailer metadata.MD
}

// retryAfter returns the delay that the trailer asks the client for before it retries, or 0 if there is none. It is
// negative if the client must not retry.
func (a *answer) retryAfter() time.Duration {
	milliseconds, err := strconv.Atoi(strings.Join(a.trailer.Get(pushbackKey), ""))
	if err != nil {
		return 0
	}
	return time.Duration(milliseconds) * time.Millisecond
}

// generate sends a request and reads its stream to the end. The status is DATA_LOSS if a token is not the expected one.
func generate(ctx context.Context, client pb.GenerationClient, request *pb.GenerateRequest) answer {
	stream, err := client.Generate(ctx, request)
	if err != nil {
		return answer{status: status.Convert(err)}
	}
	count := 0
	for {
		message, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return answer{count, status.New(codes.OK, ""), stream.Trailer()}
		}
		if err != nil {
			return answer{count, status.Convert(err), stream.Trailer()}
		}
		for i, token := range message.Tokens {
			if int(message.Position)+i != count || token != engine.TokenAt(request, count) {
				return answer{count, status.New(codes.DataLoss, fmt.Sprintf("token %d is wrong", count)), nil}
			}
			count++
		}
	}
}

// statusCounts counts requests by status code. Its methods may be called from any goroutine.
type statusCounts struct {
	mu     sync.Mutex
	counts map[codes.Code]int
}

func (s *statusCounts) add(code codes.Code) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.counts == nil {
		s.counts = map[codes.Code]int{}
	}
	s.counts[code]++
}

func (s *statusCounts) count(code codes.Code) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[code]
}

func (s *statusCounts) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprint(s.counts)
}

// hangEngines makes engines accept requests and never answer them. IDs start at 1.
func hangEngines(deployment *scenario.Deployment, ids ...int) {
	for _, id := range ids {
		deployment.Engines[id-1].SetFaults(func(f *engine.Faults) { f.Hanging = true })
	}
}

// setDraining makes engines start or stop rejecting new requests, as they do while they drain. IDs start at 1.
func setDraining(deployment *scenario.Deployment, draining bool, ids ...int) {
	for _, id := range ids {
		deployment.Engines[id-1].SetFaults(func(f *engine.Faults) { f.Draining = draining })
	}
}

// waitUntilIdle waits until the engines have no requests and no held states, and the dispatcher has no request in
// flight.
func waitUntilIdle(t *testing.T, deployment *scenario.Deployment, timeout time.Duration) {
	t.Helper()
	var activity string
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if activity = describeActivity(deployment); activity == "" {
			return
		}
	}
	t.Errorf("not idle after %v:%s", timeout, activity)
}

// describeActivity lists requests and held states at the engines and the dispatcher; it is empty if there are none.
func describeActivity(deployment *scenario.Deployment) string {
	var text strings.Builder
	for _, e := range deployment.Engines {
		running, waiting := e.Load()
		if held := e.HeldStates(); running+waiting+held > 0 {
			fmt.Fprintf(&text, " engine %d has %d running, %d waiting, %d held states;",
				e.Spec.ID, running, waiting, held)
		}
	}
	deployment.Dispatcher(0).RunOnLoop(func(d *dispatch.Dispatcher) {
		if d.InFlight() > 0 {
			fmt.Fprintf(&text, " dispatcher has %d requests in flight", d.InFlight())
		}
	})
	return text.String()
}

// checkInvariants checks that no invariant was violated and that request states allowed all decisions of the policy.
func checkInvariants(t *testing.T, deployment *scenario.Deployment) {
	t.Helper()
	for _, violation := range deployment.CheckInvariants() {
		t.Error(violation)
	}
	deployment.Dispatcher(0).RunOnLoop(func(d *dispatch.Dispatcher) {
		if d.Counts.InvalidDecisions > 0 {
			t.Errorf("%d invalid decisions, want none", d.Counts.InvalidDecisions)
		}
	})
}

// checkReport checks that a report has no violations and no invalid decisions.
func checkReport(t *testing.T, report *scenario.Report) {
	t.Helper()
	if len(report.Violations) > 0 || report.Counts.InvalidDecisions > 0 {
		t.Errorf("violations %v and %d invalid decisions, want none", report.Violations, report.Counts.InvalidDecisions)
	}
}

// waitForEnd waits until a draining dispatcher has ended.
func waitForEnd(t *testing.T, done <-chan struct{}) {
	t.Helper()
	select {
	case <-done:
	case <-time.After(3 * time.Second):
		t.Fatal("the dispatcher did not end")
	}
}

// heapBytes collects garbage and returns the size of the heap.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
