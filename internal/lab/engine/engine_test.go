package engine

import (
	"context"
	"errors"
	"io"
	"slices"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
)

func startOne(t *testing.T, s Spec) (*Engine, pb.EngineClient) {
	t.Helper()
	e := New(s, Simple{}, nil)
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Crash)
	e.Warm()
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

// TestRecordedAgainstIntended: behind gRPC on the clock, reads and gaps take what the model intends, and little more.
func TestRecordedAgainstIntended(t *testing.T) {
	near := func(what string, got, want time.Duration) {
		t.Helper()
		t.Logf("%s: recorded %v, intended %v, ratio %.3f", what, got, want, float64(got)/float64(want))
		if got < want*98/100 || got > want*3/2 {
			t.Errorf("%s took %v, intended %v", what, got, want)
		}
	}
	spec := Spec{ID: 1, Role: pb.Role_ROLE_MIXED, Slots: 8, Queue: 8, Memory: 1 << 17, ReadRate: 20000, TokenGap: 20 * time.Millisecond,
		JobsPerSecond: 100, MoveRate: 1e6, Hold: 5 * time.Second, Batch: true}
	e, c := startOne(t, spec)
	var reads []time.Duration
	for i := range 5 {
		begin := time.Now()
		done, err := c.Read(context.Background(), &pb.Launch{Job: uint64(i), Request: &pb.GenerateRequest{PromptTokens: 4000, Label: string(rune('a' + i))}})
		if err != nil || done.ReadTokens != 4000 {
			t.Fatal(done, err)
		}
		reads = append(reads, time.Since(begin))
		c.Release(context.Background(), &pb.ReleaseRequest{Job: uint64(i)})
	}
	near("a read of 4,000 tokens", median(reads), 200*time.Millisecond+2*spec.TokenGap) // in two steps of at most 2,048
	var gaps []time.Duration
	stream, err := c.Write(context.Background(), &pb.Launch{Job: 100, Request: &pb.GenerateRequest{PromptTokens: 100, MaxTokens: 60}})
	last := time.Time{}
	for err == nil {
		if _, err = stream.Recv(); err == nil {
			if !last.IsZero() {
				gaps = append(gaps, time.Since(last))
			}
			last = time.Now()
		}
	}
	if !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	s := spec.shape()
	near("a gap of one answer alone", median(gaps), time.Duration(s.Step+s.PerRun+115*s.PerThing/1000))
	// A kept beginning is not read again.
	for i := range 2 {
		done, err := c.Read(context.Background(), &pb.Launch{Job: uint64(200 + i), Request: &pb.GenerateRequest{PromptTokens: 4000, BeginningTokens: 3200,
			Beginning: "shared", Session: string(rune('a' + i))}})
		if want := uint32(4000 - 3200*i); err != nil || done.ReadTokens != want {
			t.Errorf("read %d: %v, %v, want %d tokens read", i, done, err, want)
		}
	}
	if e.Held() != 2 {
		t.Errorf("%d states held, want 2", e.Held())
	}
	if _, err := c.Write(context.Background(), &pb.Launch{Job: 300, StateAddress: e.Addr(), Request: &pb.GenerateRequest{PromptTokens: 10, MaxTokens: 1}}); err != nil {
		t.Fatal(err)
	}
}

// TestStateGone: a write whose state is nowhere ends as stateless.
func TestStateGone(t *testing.T) {
	for _, batch := range []bool{false, true} {
		e, c := startOne(t, Spec{ID: 1, Role: pb.Role_ROLE_WRITER, Slots: 8, Queue: 8, Memory: 1 << 16, ReadRate: 1e4, TokenGap: time.Millisecond,
			JobsPerSecond: 100, MoveRate: 1e6, Hold: time.Second, Batch: batch})
		stream, err := c.Write(context.Background(), &pb.Launch{Job: 1, StateAddress: e.Addr(), Request: &pb.GenerateRequest{PromptTokens: 10, MaxTokens: 1}})
		if err == nil {
			_, err = stream.Recv()
		}
		if status.Code(err) != codes.FailedPrecondition {
			t.Errorf("batch %v: %v, want FAILED_PRECONDITION", batch, err)
		}
	}
}
