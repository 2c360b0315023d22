// Package e2e holds tests that run real dispatchers on loopback sockets against stand-ins.
package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
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

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

// day is a small day that the tests change.
const scenarioText = `{
  "for": "5s", "sessions_per_second": 25, "lister_late": "50ms", "release_within": "300ms", "attempts": 5,
  "cold_start": {"from": 0.1, "warm_after": "6s", "overload_factor": 1.2, "overload_window": "1s"},
  "fleet": [
    {"count": 2, "role": "prefill", "zone": "a", "cell": "a1", "slots": 8, "queue": 60, "reads_per_second": 7000, "requests_per_second": 17},
    {"count": 2, "role": "decode", "zone": "a", "cell": "a1", "slots": 16, "queue": 60, "token_gap": "5ms", "requests_per_second": 40}
  ],
  "dispatchers": [{"zone": "a"}],
  "classes": [
    {"name": "question", "share": 0.7, "target": "600ms", "timeout": "2s", "token_gap": "50ms", "effect": "idempotent",
     "prompt": 100, "prompt_most": 600, "answer": 20, "retries": 1},
    {"name": "booking", "share": 0.3, "target": "600ms", "timeout": "2s", "token_gap": "50ms", "effect": "non_idempotent",
     "prompt": 100, "prompt_most": 600, "answer": 20, "retries": 1}
  ],
  "troubles": [TROUBLES]
}`

// stage is one dispatcher with two readers (hosts 1 and 2) and two writers (3 and 4).
func startDeployment(t *testing.T, change func(s *scenario.Script)) (*scenario.Deployment, pb.GenerationClient) {
	t.Helper()
	s, err := scenario.Parse("day", []byte(strings.Replace(scenarioText, "TROUBLES", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(s)
	}
	deployment, err := scenario.Start(s, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(deployment.Close)
	return deployment, dial(t, deployment.Addresses()[0])
}

func dial(t *testing.T, to string) pb.GenerationClient {
	t.Helper()
	c, err := grpc.NewClient(to, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return pb.NewGenerationClient(c)
}

// dialFrom connects from one address of the loopback network.
func dialFrom(t *testing.T, ip byte, to string) pb.GenerationClient {
	t.Helper()
	from := &net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, ip)}}
	conn, err := grpc.NewClient(to, grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, to string) (net.Conn, error) { return from.DialContext(ctx, "tcp", to) }))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	return pb.NewGenerationClient(conn)
}

func newRequest(label string) *pb.GenerateRequest {
	return &pb.GenerateRequest{Track: "question", PromptTokens: 500, MaxTokens: 20, Label: label, Prompt: []byte(label)}
}

// ask plays a job to its end: the tokens, the final status and the trailer.
func generate(ctx context.Context, c pb.GenerationClient, req *pb.GenerateRequest) (int, *status.Status, metadata.MD) {
	stream, err := c.Generate(ctx, req)
	if err != nil {
		return 0, status.Convert(err), nil
	}
	n := 0
	for {
		tok, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return n, status.New(codes.OK, ""), stream.Trailer()
		}
		if err != nil {
			return n, status.Convert(err), stream.Trailer()
		}
		for i, got := range tok.Tokens {
			if int(tok.Position)+i != n || got != engine.TokenAt(req, n) {
				return n, status.New(codes.DataLoss, fmt.Sprintf("token %d is wrong", n)), nil
			}
			n++
		}
	}
}

// calm waits until no engine does or holds anything and the dispatcher has no job in hand.
func waitUntilIdle(t *testing.T, deployment *scenario.Deployment, within time.Duration) {
	t.Helper()
	var what string
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		what = ""
		for _, e := range deployment.Engines {
			running, waiting := e.Load()
			if running+waiting+e.HeldStates() > 0 {
				what += fmt.Sprintf(" host %d runs %d, has %d waiting, holds %d;", e.Spec.ID, running, waiting, e.HeldStates())
			}
		}
		deployment.Dispatcher(0).RunOnLoop(func(d *dispatch.Dispatcher) {
			if d.InFlight() > 0 {
				what += fmt.Sprintf(" dispatcher has %d in hand", d.InFlight())
			}
		})
		if what == "" {
			return
		}
	}
	t.Errorf("after %v:%s", within, what)
}

func checkInvariants(t *testing.T, deployment *scenario.Deployment) {
	t.Helper()
	for _, v := range deployment.CheckInvariants() {
		t.Error(v)
	}
	deployment.Dispatcher(0).RunOnLoop(func(d *dispatch.Dispatcher) {
		if d.Counts.InvalidDecisions > 0 {
			t.Errorf("the account of a job refused %d decisions", d.Counts.InvalidDecisions)
		}
	})
}

func hangEngines(deployment *scenario.Deployment, hosts ...int) {
	for _, h := range hosts {
		deployment.Engines[h-1].SetFaults(func(f *engine.Faults) { f.Hanging = true })
	}
}

func setDraining(deployment *scenario.Deployment, yes bool, hosts ...int) {
	for _, h := range hosts {
		deployment.Engines[h-1].SetFaults(func(f *engine.Faults) { f.Draining = yes })
	}
}

func runScenario(t *testing.T, troubles string, wrap func(dispatch.Module) dispatch.Module, change func(s *scenario.Script)) *scenario.Report {
	t.Helper()
	s, err := scenario.Parse("day", []byte(strings.Replace(scenarioText, "TROUBLES", troubles, 1)))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(s)
	}
	return runScript(t, s, wrap)
}

func runScript(t *testing.T, s *scenario.Script, wrap func(dispatch.Module) dispatch.Module) *scenario.Report {
	t.Helper()
	deployment, err := scenario.StartWithModule(s, discardLog, func(int) func(dispatch.Module) dispatch.Module { return wrap })
	if err != nil {
		t.Fatal(err)
	}
	defer deployment.Close()
	report, err := deployment.Run(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	report.Print(&out)
	t.Log("\n" + out.String())
	return report
}
