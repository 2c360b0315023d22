package engine

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	orca "github.com/cncf/xds/go/xds/data/orca/v3"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/eventlog"
)

// startEngine starts an engine without warm-up and returns it with a client for it.
func startEngine(t *testing.T, s Spec) (*Engine, pb.EngineClient) {
	t.Helper()
	e := New(s, LinearModel{}, nil)
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Crash)
	e.SkipWarmup()
	c, err := grpc.NewClient(e.Addr(), grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return e, pb.NewEngineClient(c)
}

func median(xs []time.Duration) time.Duration {
	slices.Sort(xs)
	return xs[len(xs)/2]
}

// checkDuration checks that a measured duration is close to that of the model.
func checkDuration(t *testing.T, what string, got, want time.Duration) {
	t.Helper()
	t.Logf("%s: measured %v, model %v, ratio %.3f", what, got, want, float64(got)/float64(want))
	if got < want*98/100 || got > want*3/2 {
		t.Errorf("%s took %v, want %v", what, got, want)
	}
}

// measureTokenIntervals streams an answer and returns the intervals between its tokens.
func measureTokenIntervals(t *testing.T, c pb.EngineClient, req *pb.GenerateRequest) []time.Duration {
	t.Helper()
	var intervals []time.Duration
	stream, err := c.Write(context.Background(), &pb.Launch{Job: 100, Request: req})
	last := time.Time{}
	for err == nil {
		if _, err = stream.Recv(); err == nil {
			if !last.IsZero() {
				intervals = append(intervals, time.Since(last))
			}
			last = time.Now()
		}
	}
	if !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	return intervals
}

// TestBatchModelTimes checks that prefills and token intervals over gRPC in real time take as long as in the batch
// model.
func TestBatchModelTimes(t *testing.T) {
	spec := Spec{
		ID: 1, Role: pb.Role_ROLE_MIXED, Slots: 8, Queue: 8, MemoryTokens: 1 << 17,
		PrefillRate: 20000, TokenInterval: 20 * time.Millisecond, RequestsPerSecond: 100, TransferRate: 1e6,
		MaxHoldTime: 5 * time.Second, BatchModel: true,
	}
	e, c := startEngine(t, spec)
	var prefillTimes []time.Duration
	for i := range 5 {
		begin := time.Now()
		req := &pb.GenerateRequest{PromptTokens: 4000, Label: string(rune('a' + i))}
		done, err := c.Read(context.Background(), &pb.Launch{Job: uint64(i), Request: req})
		if err != nil || done.ReadTokens != 4000 {
			t.Fatal(done, err)
		}
		prefillTimes = append(prefillTimes, time.Since(begin))
		if _, err := c.Release(context.Background(), &pb.ReleaseRequest{Job: uint64(i)}); err != nil {
			t.Fatal(err)
		}
	}
	// A prefill takes two steps of at most 2,048 tokens.
	checkDuration(t, "prefill of 4,000 tokens", median(prefillTimes), 200*time.Millisecond+2*spec.TokenInterval)
	intervals := measureTokenIntervals(t, c, &pb.GenerateRequest{PromptTokens: 100, MaxTokens: 60})
	s := spec.BatchShape()
	checkDuration(t, "token interval of one answer", median(intervals),
		time.Duration(s.StepTime+s.TimePerAnswer+115*s.TimePer1kContext/1000))
	// A cached prefix is not prefilled again.
	for i := range 2 {
		done, err := c.Read(context.Background(), &pb.Launch{Job: uint64(200 + i), Request: &pb.GenerateRequest{
			PromptTokens: 4000, BeginningTokens: 3200,
			Beginning: "shared", Session: string(rune('a' + i)),
		}})
		if want := uint32(4000 - 3200*i); err != nil || done.ReadTokens != want {
			t.Errorf("prefill %d: %v, %v, want %d tokens prefilled", i, done, err, want)
		}
	}
	if e.HeldStates() != 2 {
		t.Errorf("%d states held, want 2", e.HeldStates())
	}
	req := &pb.GenerateRequest{PromptTokens: 10, MaxTokens: 1}
	if _, err := c.Write(context.Background(), &pb.Launch{Job: 300, StateAddress: e.Addr(), Request: req}); err != nil {
		t.Fatal(err)
	}
}

// TestDecodeWithoutState checks the status of a decode whose state is not held by any server.
func TestDecodeWithoutState(t *testing.T) {
	for _, batch := range []bool{false, true} {
		e, c := startEngine(t, Spec{
			ID: 1, Role: pb.Role_ROLE_WRITER, Slots: 8, Queue: 8, MemoryTokens: 1 << 16,
			PrefillRate: 1e4, TokenInterval: time.Millisecond, RequestsPerSecond: 100, TransferRate: 1e6,
			MaxHoldTime: time.Second, BatchModel: batch,
		})
		req := &pb.GenerateRequest{PromptTokens: 10, MaxTokens: 1}
		stream, err := c.Write(context.Background(), &pb.Launch{Job: 1, StateAddress: e.Addr(), Request: req})
		if err == nil {
			_, err = stream.Recv()
		}
		if status.Code(err) != codes.FailedPrecondition {
			t.Errorf("batch %v: %v, want FAILED_PRECONDITION", batch, err)
		}
	}
}

// TestLoadReportDelay checks that a load report of the batch model is delayed and contains its age, and that there is
// none before the delay has passed.
func TestLoadReportDelay(t *testing.T) {
	e, c := startEngine(t, Spec{
		ID: 1, Role: pb.Role_ROLE_READER, Slots: 8, Queue: 8, MemoryTokens: 1 << 16,
		PrefillRate: 1e6, RequestsPerSecond: 100, TransferRate: 1e6,
		MaxHoldTime: time.Second, BatchModel: true,
		ReportInterval: 10 * time.Millisecond, ReportDelay: 150 * time.Millisecond,
	})
	prefill := func(request uint64) (*orca.OrcaLoadReport, bool) {
		var md metadata.MD
		req := &pb.GenerateRequest{PromptTokens: 3200, Label: string(rune('a' + request))}
		if _, err := c.Read(context.Background(), &pb.Launch{Job: request, Request: req}, grpc.Trailer(&md)); err != nil {
			t.Fatal(err)
		}
		v := md.Get("endpoint-load-metrics-bin")
		if len(v) == 0 {
			return nil, false
		}
		r := &orca.OrcaLoadReport{}
		if err := proto.Unmarshal([]byte(v[0]), r); err != nil {
			t.Fatal(err)
		}
		return r, true
	}
	if _, ok := prefill(0); ok {
		t.Error("received a load report before the delay had passed")
	}
	time.Sleep(200 * time.Millisecond)
	r, ok := prefill(1)
	if !ok || r.NamedMetrics["age_ms"] < 150 || r.MemUtilization != 0 {
		t.Errorf("%v: want a report without memory in use, 150 ms old at least", r)
	}
	time.Sleep(200 * time.Millisecond)
	if r, _ := prefill(2); r == nil || r.MemUtilization < 0.04 || r.MemUtilization > 0.06 {
		t.Errorf("%v: want a memory utilization of about 0.05: 200 of 4,096 blocks", r)
	}
	e.SetFaults(func(f *Faults) { f.ReportDelay = time.Hour })
	if _, ok := prefill(3); ok {
		t.Error("received a load report an hour before the delay had passed")
	}
}

// TestPrefillEndsInCrashedProcess checks that a prefill that completes after its process has crashed leaves no state,
// neither while the server is down nor in the restarted process.
func TestPrefillEndsInCrashedProcess(t *testing.T) {
	entries := &eventlog.Log{}
	e := New(Spec{
		ID: 1, Role: pb.Role_ROLE_READER, Slots: 8, Queue: 8, MemoryTokens: 1 << 17, PrefillRate: 20000,
		MaxHoldTime: time.Second,
	}, LinearModel{}, entries)
	newState := func() *heldState { return &heldState{tokens: 10, released: make(chan struct{})} }
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Crash)
	crashedProcess := e.process
	e.Crash()
	err := e.holdState(context.Background(), crashedProcess, "1.1", newState())
	if status.Code(err) != codes.Unavailable {
		t.Errorf("a state was stored while the server was down: %v", err)
	}
	if err := e.Start(""); err != nil {
		t.Fatal(err)
	}
	err = e.holdState(context.Background(), crashedProcess, "1.1", newState())
	if status.Code(err) != codes.Unavailable {
		t.Errorf("a state of the previous process was stored: %v", err)
	}
	if err := e.holdState(context.Background(), e.process, "1.2", newState()); err != nil {
		t.Errorf("a state of the running process was rejected: %v", err)
	}
	held := 0
	for _, entry := range entries.Entries() {
		if entry.Kind == eventlog.StateHeld {
			held++
		}
	}
	if held != 1 || e.HeldStates() != 1 {
		t.Errorf("%d states logged, %d held, want only that of the running process", held, e.HeldStates())
	}
}
