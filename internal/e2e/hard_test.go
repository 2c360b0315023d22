package e2e

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/metadata"
	reflectpb "google.golang.org/grpc/reflection/grpc_reflection_v1"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
	"docksail/internal/dispatch"
	"docksail/internal/h2"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/scenario"
)

// stage is one dispatcher with two readers (hosts 1 and 2) and two writers (3 and 4).
func stage(t *testing.T, change func(s *scenario.Script)) (*scenario.Deployment, pb.GenerationClient) {
	t.Helper()
	s, err := scenario.Parse("day", []byte(strings.Replace(day, "TROUBLES", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	if change != nil {
		change(s)
	}
	st, err := scenario.Start(s, quiet)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(st.Close)
	return st, dial(t, st.Addresses()[0])
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

func job(label string) *pb.GenerateRequest {
	return &pb.GenerateRequest{Track: "question", PromptTokens: 500, MaxTokens: 20, Label: label, Prompt: []byte(label)}
}

// ask plays a job to its end: the tokens, the final status and the trailer.
func ask(ctx context.Context, c pb.GenerationClient, req *pb.GenerateRequest) (int, *status.Status, metadata.MD) {
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
func calm(t *testing.T, st *scenario.Deployment, within time.Duration) {
	t.Helper()
	var what string
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		what = ""
		for _, e := range st.Engines {
			running, waiting := e.Load()
			if running+waiting+e.HeldStates() > 0 {
				what += fmt.Sprintf(" host %d runs %d, has %d waiting, holds %d;", e.Spec.ID, running, waiting, e.HeldStates())
			}
		}
		st.Dispatcher(0).RunOnLoop(func(d *dispatch.Dispatcher) {
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

func clean(t *testing.T, st *scenario.Deployment) {
	t.Helper()
	for _, v := range st.CheckInvariants() {
		t.Error(v)
	}
	st.Dispatcher(0).RunOnLoop(func(d *dispatch.Dispatcher) {
		if d.Counts.InvalidDecisions > 0 {
			t.Errorf("the account of a job refused %d decisions", d.Counts.InvalidDecisions)
		}
	})
}

// TestClientCancels: at every point of a job's life the engine hears of it and nothing stays held.
func TestClientCancels(t *testing.T) {
	for _, c := range []struct {
		name   string
		set    func(st *scenario.Deployment)
		tokens int // cancel after so many; 0 = after the time
		after  time.Duration
	}{
		{"before the read", func(st *scenario.Deployment) { turn(st, true, 1, 2) }, 0, 30 * time.Millisecond},
		{"during the read", func(st *scenario.Deployment) { hang(st, 1, 2) }, 0, 100 * time.Millisecond},
		{"between read and write", func(st *scenario.Deployment) { turn(st, true, 3, 4) }, 0, 60 * time.Millisecond},
		{"before the first token", func(st *scenario.Deployment) { hang(st, 3, 4) }, 0, 150 * time.Millisecond},
		{"mid-stream", func(*scenario.Deployment) {}, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			st, client := stage(t, nil)
			c.set(st)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			req := job(c.name)
			req.MaxTokens = 400
			stream, err := client.Generate(ctx, req)
			if err != nil {
				t.Fatal(err)
			}
			if c.tokens > 0 {
				for range c.tokens {
					if _, err := stream.Recv(); err != nil {
						t.Fatal(err)
					}
				}
			} else {
				time.Sleep(c.after)
			}
			cancel()
			calm(t, st, st.Script.ReleaseTime+500*time.Millisecond)
			launches := st.Counts().Attempts
			time.Sleep(200 * time.Millisecond)
			if now := st.Counts().Attempts; now != launches {
				t.Errorf("%d launches after the client had left", now-launches)
			}
			clean(t, st)
		})
	}
}

func hang(st *scenario.Deployment, hosts ...int) {
	for _, h := range hosts {
		st.Engines[h-1].SetFaults(func(f *engine.Faults) { f.Hanging = true })
	}
}

func turn(st *scenario.Deployment, yes bool, hosts ...int) {
	for _, h := range hosts {
		st.Engines[h-1].SetFaults(func(f *engine.Faults) { f.Draining = yes })
	}
}

// TestWriterStalls: after its first token; the client hears of it with one clear abandonment.
func TestWriterStalls(t *testing.T) {
	st, client := stage(t, nil)
	for _, h := range []int{3, 4} {
		st.Engines[h-1].SetFaults(func(f *engine.Faults) { f.StallAfter = 2 })
	}
	begin := time.Now()
	n, s, trailer := ask(context.Background(), client, job("stall"))
	if n != 2 || s.Code() != codes.Aborted {
		t.Errorf("%d tokens, then %v, want two and ABORTED", n, s)
	}
	if push := trailer.Get("grpc-retry-pushback-ms"); len(push) != 1 || push[0] != "-1" {
		t.Errorf("pushback %v, want -1: an abandonment promises nothing", push)
	}
	if took := time.Since(begin); took > 6*time.Second {
		t.Errorf("took %v", took)
	}
	calm(t, st, time.Second)
	clean(t, st)
}

// TestWriterNeverBegins: the job is answered by another writer in its time.
func TestWriterNeverBegins(t *testing.T) {
	st, client := stage(t, nil)
	hang(st, 3)
	for i := range 6 {
		n, s, _ := ask(context.Background(), client, job(fmt.Sprint("never", i)))
		if s.Code() != codes.OK || n == 0 {
			t.Errorf("job %d: %d tokens, %v, want an answer from the other writer", i, n, s)
		}
	}
	calm(t, st, time.Second)
	clean(t, st)
}

// TestReaderDiesHoldingState, and the state is gone when the writer fetches it: the prompt is read anew.
func TestReaderDiesHoldingState(t *testing.T) {
	st, client := stage(t, func(s *scenario.Script) {
		s.Classes[0].LatencyTarget = 2 * time.Second
		s.Classes[0].Timeout = 5 * time.Second
	})
	turn(st, true, 3, 4) // the state has to wait at its reader
	var wg sync.WaitGroup
	wg.Add(1)
	var n int
	var s *status.Status
	go func() {
		defer wg.Done()
		n, s, _ = ask(context.Background(), client, job("dies"))
	}()
	for end := time.Now().Add(3 * time.Second); st.Engines[0].HeldStates()+st.Engines[1].HeldStates() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for _, e := range st.Engines[:2] {
		if e.HeldStates() > 0 {
			e.Crash()
			if err := e.Start(""); err != nil {
				t.Fatal(err)
			}
		}
	}
	turn(st, false, 3, 4)
	wg.Wait()
	if s.Code() != codes.OK && s.Code() != codes.Unavailable || s.Code() == codes.OK && n == 0 {
		t.Errorf("%d tokens, %v, want an answer or a nack", n, s)
	}
	calm(t, st, 2*time.Second)
	clean(t, st)
}

// TestClientStopsReading: its writer is held back, others run at full pace, memory stays bounded.
func TestClientStopsReading(t *testing.T) {
	st, client := stage(t, func(s *scenario.Script) { s.Servers[1].TokenGap = 200 * time.Microsecond })
	raw, err := net.Dial("tcp", st.Addresses()[0])
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	lim := h2.DefaultLimits
	lim.StreamWindow = 2048
	app := &still{}
	c := h2.NewClientConn(lim, app)
	s := c.OpenStream("/docksail.v1.Generation/Generate", "there", 0)
	req := job("still")
	req.MaxTokens = 60000
	b, err := proto.Marshal(req)
	if err != nil {
		t.Fatal(err)
	}
	s.SendMessage(b, true)
	raw.Write(c.TakeOutput())
	go func() { // reads frames, but credits nothing
		buf := make([]byte, 32<<10)
		for {
			n, err := raw.Read(buf)
			if err != nil {
				return
			}
			app.mu.Lock()
			c.Feed(1, buf[:n])
			raw.Write(c.TakeOutput())
			app.mu.Unlock()
		}
	}()
	took := func(label string) time.Duration {
		begin := time.Now()
		if n, s, _ := ask(context.Background(), client, job(label)); s.Code() != codes.OK || n == 0 {
			t.Errorf("%s: %d tokens, %v", label, n, s)
		}
		return time.Since(begin)
	}
	took("first")
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	for i := range 10 {
		if d := took(fmt.Sprint("other", i)); d > time.Second {
			t.Errorf("another client waited %v", d)
		}
	}
	time.Sleep(300 * time.Millisecond)
	app.mu.Lock()
	got := app.got
	app.mu.Unlock()
	if got == 0 || got > 2048 {
		t.Errorf("the still client was sent %d bytes, want up to its window of 2048", got)
	}
	held := false
	for end := time.Now().Add(15 * time.Second); !held && time.Now().Before(end); { // once the windows are full
		relayed := st.Counts().Messages
		time.Sleep(300 * time.Millisecond)
		held = st.Counts().Messages == relayed
	}
	if !held {
		t.Error("the writer of a client that takes nothing was not held back in 15 s")
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if grown := int64(after.HeapAlloc) - int64(before.HeapAlloc); grown > 4<<20 {
		t.Errorf("heap grew by %d bytes", grown)
	}
}

type still struct {
	mu  sync.Mutex
	got int
}

func (a *still) HeadersReceived(*h2.Stream, *h2.Header)                    {}
func (a *still) MessageReceived(_ *h2.Stream, p []byte) bool               { a.got += len(p) + 5; return true }
func (a *still) RequestEnded(*h2.Stream)                                   {}
func (a *still) StreamFinished(*h2.Stream, codes.Code, string, *h2.Header) {}
func (a *still) StreamReset(*h2.Stream, http2.ErrCode, bool)               {}
func (a *still) StreamFlushed(*h2.Stream)                                  {}
func (a *still) GoAwayReceived()                                           {}
func (a *still) PingAcked()                                                {}

// TestAnswerAndDeadlineCross: with patience about as long as an answer takes, each job still ends once, in time.
func TestAnswerAndDeadlineCross(t *testing.T) {
	s, err := scenario.Parse("day", []byte(strings.Replace(day, "TROUBLES", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.Classes {
		s.Classes[i].LatencyTarget, s.Classes[i].Timeout = 110*time.Millisecond, 120*time.Millisecond
	}
	s.Duration, s.SessionsPerSecond = 3*time.Second, 60
	rep := playScript(t, s, nil)
	if len(rep.Violations) > 0 || rep.Counts.InvalidDecisions > 0 {
		t.Errorf("%v, %d decisions refused", rep.Violations, rep.Counts.InvalidDecisions)
	}
	q := rep.Summaries["question"]
	if q.Served == 0 || q.Served == q.Requests {
		t.Errorf("%d of %d honoured: nothing crossed", q.Served, q.Requests)
	}
}

// TestDrainDuringConnect: a launch that waits for its connection is not sent once the host drains.
func TestDrainDuringConnect(t *testing.T) {
	st, client := stage(t, func(s *scenario.Script) { s.Servers[0].Count = 1 })
	st.Proxies(0)[0].SetBlackhole(true) // the connection is made, but its engine never speaks
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	done := make(chan *status.Status, 1)
	go func() {
		_, s, _ := ask(ctx, client, job("drained"))
		done <- s
	}()
	time.Sleep(50 * time.Millisecond)
	st.SetServerHealth(1, pb.Health_HEALTH_DRAINING)
	st.Proxies(0)[0].SetBlackhole(false)
	s := <-done
	if s.Code() != codes.Unavailable {
		t.Errorf("ended with %v, want a nack: there is no other reader", s)
	}
	for range 20 { // nothing new goes there
		ask(ctx, client, job("after"))
	}
	clean(t, st)
}

// TestKilledAndRestarted: with its listers away it serves by the list that it kept, and a host that has just
// started is still taken for cold.
func TestKilledAndRestarted(t *testing.T) {
	st, client := stage(t, nil)
	if _, s, _ := ask(context.Background(), client, job("before")); s.Code() != codes.OK {
		t.Fatal(s)
	}
	st.Engines[0].Crash()
	if err := st.Engines[0].Start(""); err != nil {
		t.Fatal(err)
	}
	st.SetServerHealth(1, pb.Health_HEALTH_SERVING) // with its new start
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	long := job("killed")
	long.MaxTokens = 2000
	lost := make(chan *status.Status, 1)
	go func() {
		_, s, _ := ask(ctx, client, long)
		lost <- s
	}()
	time.Sleep(200 * time.Millisecond)
	if err := st.SetDiscoveryRunning(false); err != nil {
		t.Fatal(err)
	}
	st.KillDispatcher(0)
	if s := <-lost; s.Code() == codes.OK {
		t.Error("the stream outlived its dispatcher")
	}
	if err := st.RestartDispatcher(0); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[codes.Code]int{}
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
			defer cancel()
			stream, err := client.Generate(ctx, job(fmt.Sprint("after", i)), grpc.WaitForReady(true))
			for err == nil {
				_, err = stream.Recv()
			}
			mu.Lock()
			if errors.Is(err, io.EOF) {
				err = nil
			}
			ends[status.Code(err)]++
			mu.Unlock()
		}()
	}
	wg.Wait()
	if ends[codes.OK] < 20 || ends[codes.OK]+ends[codes.Unavailable]+ends[codes.Aborted] != 40 {
		t.Errorf("after the restart jobs ended as %v, want half of 40 honoured at least, the others nacked or abandoned", ends)
	}
	clean(t, st)
}

// TestDrain: jobs in hand are finished, new ones refused, then the dispatcher ends.
func TestDrain(t *testing.T) {
	st, client := stage(t, nil)
	health := func() healthpb.HealthCheckResponse_ServingStatus {
		c, err := grpc.NewClient(st.Addresses()[0], grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		res, err := healthpb.NewHealthClient(c).Check(context.Background(), &healthpb.HealthCheckRequest{})
		if err != nil {
			t.Fatal(err)
		}
		return res.Status
	}
	if s := health(); s != healthpb.HealthCheckResponse_SERVING {
		t.Errorf("health %v before the drain", s)
	}
	watching, err := grpc.NewClient(st.Addresses()[0], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer watching.Close()
	watch, err := healthpb.NewHealthClient(watching).Watch(context.Background(), &healthpb.HealthCheckRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if res, err := watch.Recv(); err != nil || res.Status != healthpb.HealthCheckResponse_SERVING {
		t.Fatalf("health watch: %v, %v", res, err)
	}
	long := job("drain")
	long.MaxTokens = 200
	end := make(chan *status.Status, 1)
	began := make(chan bool)
	go func() {
		stream, err := client.Generate(context.Background(), long)
		if err == nil {
			_, err = stream.Recv()
		}
		close(began)
		for err == nil {
			_, err = stream.Recv()
		}
		if errors.Is(err, io.EOF) {
			err = nil
		}
		end <- status.Convert(err)
	}()
	<-began
	r := st.Dispatcher(0)
	r.Drain(5 * time.Second)
	if res, err := watch.Recv(); err != nil || res.Status != healthpb.HealthCheckResponse_NOT_SERVING {
		t.Errorf("health watch at the drain: %v, %v, want NOT_SERVING", res, err)
	}
	if s := <-end; s.Code() != codes.OK {
		t.Errorf("the stream in hand ended with %v", s)
	}
	select {
	case <-r.Done():
	case <-time.After(3 * time.Second):
		t.Fatal("the dispatcher did not end")
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if _, s, _ := ask(ctx, client, job("late")); s.Code() != codes.Unavailable {
		t.Errorf("a job after the drain ended with %v", s)
	}
}

// TestDrainTimeUp: what is not finished in the time to drain is answered all the same.
func TestDrainTimeUp(t *testing.T) {
	st, client := stage(t, nil)
	hang(st, 3, 4)
	end := make(chan *status.Status, 1)
	go func() {
		_, s, _ := ask(context.Background(), client, job("hung"))
		end <- s
	}()
	time.Sleep(150 * time.Millisecond)
	r := st.Dispatcher(0)
	begin := time.Now()
	r.Drain(200 * time.Millisecond)
	if s := <-end; s.Code() != codes.Unavailable || time.Since(begin) > time.Second {
		t.Errorf("after %v: %v, want a nack for a redoable job at the end of the drain", time.Since(begin), s)
	}
	select {
	case <-r.Done():
	case <-time.After(3 * time.Second):
		t.Fatal("the dispatcher did not end")
	}
}

// TestBadInput: a clear status, and other streams of the connection go on.
func TestBadInput(t *testing.T) {
	st, client := stage(t, nil)
	long := job("beside")
	long.MaxTokens = 200
	beside := make(chan *status.Status, 1)
	go func() {
		_, s, _ := ask(context.Background(), client, long)
		beside <- s
	}()
	for _, c := range []struct {
		name string
		req  *pb.GenerateRequest
		want string
	}{
		{"unknown track", &pb.GenerateRequest{Track: "nonsense", PromptTokens: 5}, `class "nonsense" is unknown`},
		{"no track", &pb.GenerateRequest{PromptTokens: 5}, `class "" is unknown`},
		{"prompt too long", &pb.GenerateRequest{Track: "question", PromptTokens: 1 << 31}, "prompt too long"},
		{"beginning longer than the prompt", &pb.GenerateRequest{Track: "question", PromptTokens: 5, BeginningTokens: 6}, "beginning_tokens"},
	} {
		if _, s, _ := ask(context.Background(), client, c.req); s.Code() != codes.InvalidArgument || !strings.Contains(s.Message(), c.want) {
			t.Errorf("%s: %v, want INVALID_ARGUMENT with %q", c.name, s, c.want)
		}
	}
	conn, err := grpc.NewClient(st.Addresses()[0], grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(bytesCodec{})))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	call := func(method string, p []byte) *status.Status {
		var out []byte
		return status.Convert(conn.Invoke(context.Background(), method, p, &out))
	}
	if s := call("/docksail.v1.Generation/Generate", []byte{0xff, 0xff, 0xff}); s.Code() != codes.InvalidArgument || !strings.Contains(s.Message(), "malformed") {
		t.Errorf("malformed message: %v", s)
	}
	if s := call("/docksail.v1.Generation/Generate", bytes.Repeat([]byte{0}, 5<<20)); s.Code() != codes.ResourceExhausted {
		t.Errorf("message over the limit: %v", s)
	}
	if s := call("/docksail.v1.Generation/Nonsense", nil); s.Code() != codes.Unimplemented {
		t.Errorf("unknown method: %v", s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Nanosecond)
	defer cancel()
	if _, s, _ := ask(ctx, client, job("no time")); s.Code() != codes.DeadlineExceeded && s.Code() != codes.Unavailable {
		t.Errorf("no time: %v", s)
	}
	if s := <-beside; s.Code() != codes.OK {
		t.Errorf("the stream beside ended with %v", s)
	}
	calm(t, st, time.Second)
	clean(t, st)
}

type bytesCodec struct{}

func (bytesCodec) Marshal(v any) ([]byte, error)   { return v.([]byte), nil }
func (bytesCodec) Unmarshal(b []byte, v any) error { *v.(*[]byte) = b; return nil }
func (bytesCodec) Name() string                    { return "proto" }

// TestNackSaysWhen: with no engine that takes work, a nack with advice comes at once enough to be of use.
func TestNackSaysWhen(t *testing.T) {
	st, client := stage(t, nil)
	turn(st, true, 1, 2)
	begin := time.Now()
	_, s, trailer := ask(context.Background(), client, job("nacked"))
	if s.Code() != codes.Unavailable || len(s.Details()) != 1 || len(trailer.Get("grpc-retry-pushback-ms")) != 1 {
		t.Errorf("%v with details %v and trailer %v, want UNAVAILABLE with RetryInfo and pushback", s, s.Details(), trailer)
	}
	if took := time.Since(begin); took > 600*time.Millisecond {
		t.Errorf("took %v, want less than the expected time", took)
	}
	clean(t, st)
}

// TestReflection: a client finds the service and its messages.
func TestReflection(t *testing.T) {
	st, _ := stage(t, nil)
	conn, err := grpc.NewClient(st.Addresses()[0], grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	stream, err := reflectpb.NewServerReflectionClient(conn).ServerReflectionInfo(context.Background())
	if err != nil {
		t.Fatal(err)
	}
	askOne := func(r *reflectpb.ServerReflectionRequest) *reflectpb.ServerReflectionResponse {
		if err := stream.Send(r); err != nil {
			t.Fatal(err)
		}
		res, err := stream.Recv()
		if err != nil {
			t.Fatal(err)
		}
		return res
	}
	list := askOne(&reflectpb.ServerReflectionRequest{MessageRequest: &reflectpb.ServerReflectionRequest_ListServices{}})
	if n := len(list.GetListServicesResponse().GetService()); n != 3 {
		t.Errorf("%d services listed, want 3", n)
	}
	file := askOne(&reflectpb.ServerReflectionRequest{MessageRequest: &reflectpb.ServerReflectionRequest_FileContainingSymbol{
		FileContainingSymbol: "docksail.v1.Generation",
	}})
	if len(file.GetFileDescriptorResponse().GetFileDescriptorProto()) == 0 {
		t.Errorf("no file for the service: %v", file)
	}
	none := askOne(&reflectpb.ServerReflectionRequest{MessageRequest: &reflectpb.ServerReflectionRequest_FileContainingSymbol{
		FileContainingSymbol: "no.such",
	}})
	if none.GetErrorResponse() == nil {
		t.Error("no error for an unknown symbol")
	}
}
