package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/scenario"
)

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
