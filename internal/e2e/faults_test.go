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
		set    func(deployment *scenario.Deployment)
		tokens int // cancel after so many; 0 = after the time
		after  time.Duration
	}{
		{"before the read", func(deployment *scenario.Deployment) { setDraining(deployment, true, 1, 2) }, 0, 30 * time.Millisecond},
		{"during the read", func(deployment *scenario.Deployment) { hangEngines(deployment, 1, 2) }, 0, 100 * time.Millisecond},
		{"between read and write", func(deployment *scenario.Deployment) { setDraining(deployment, true, 3, 4) }, 0, 60 * time.Millisecond},
		{"before the first token", func(deployment *scenario.Deployment) { hangEngines(deployment, 3, 4) }, 0, 150 * time.Millisecond},
		{"mid-stream", func(*scenario.Deployment) {}, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			deployment, client := startDeployment(t, nil)
			c.set(deployment)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			req := newRequest(c.name)
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
			waitUntilIdle(t, deployment, deployment.Script.ReleaseTime+500*time.Millisecond)
			attempts := deployment.Counts().Attempts
			time.Sleep(200 * time.Millisecond)
			if now := deployment.Counts().Attempts; now != attempts {
				t.Errorf("%d attempts after the client had left", now-attempts)
			}
			checkInvariants(t, deployment)
		})
	}
}

// TestDecodeServerStalls: after its first token; the client hears of it with one clear abandonment.
func TestDecodeServerStalls(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	for _, h := range []int{3, 4} {
		deployment.Engines[h-1].SetFaults(func(f *engine.Faults) { f.StallAfter = 2 })
	}
	begin := time.Now()
	n, s, trailer := generate(context.Background(), client, newRequest("stall"))
	if n != 2 || s.Code() != codes.Aborted {
		t.Errorf("%d tokens, then %v, want two and ABORTED", n, s)
	}
	if push := trailer.Get("grpc-retry-pushback-ms"); len(push) != 1 || push[0] != "-1" {
		t.Errorf("pushback %v, want -1: an abandonment promises nothing", push)
	}
	if took := time.Since(begin); took > 6*time.Second {
		t.Errorf("took %v", took)
	}
	waitUntilIdle(t, deployment, time.Second)
	checkInvariants(t, deployment)
}

// TestDecodeServerHangs: the job is answered by another writer in its time.
func TestDecodeServerHangs(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	hangEngines(deployment, 3)
	for i := range 6 {
		n, s, _ := generate(context.Background(), client, newRequest(fmt.Sprint("never", i)))
		if s.Code() != codes.OK || n == 0 {
			t.Errorf("job %d: %d tokens, %v, want an answer from the other writer", i, n, s)
		}
	}
	waitUntilIdle(t, deployment, time.Second)
	checkInvariants(t, deployment)
}

// TestPrefillServerDiesHoldingState, and the state is gone when the writer fetches it: the prompt is read anew.
func TestPrefillServerDiesHoldingState(t *testing.T) {
	deployment, client := startDeployment(t, func(s *scenario.Script) {
		s.Classes[0].LatencyTarget = 2 * time.Second
		s.Classes[0].Timeout = 5 * time.Second
	})
	setDraining(deployment, true, 3, 4) // the state has to wait at its reader
	var wg sync.WaitGroup
	wg.Add(1)
	var n int
	var s *status.Status
	go func() {
		defer wg.Done()
		n, s, _ = generate(context.Background(), client, newRequest("dies"))
	}()
	for end := time.Now().Add(3 * time.Second); deployment.Engines[0].HeldStates()+deployment.Engines[1].HeldStates() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	for _, e := range deployment.Engines[:2] {
		if e.HeldStates() > 0 {
			e.Crash()
			if err := e.Start(""); err != nil {
				t.Fatal(err)
			}
		}
	}
	setDraining(deployment, false, 3, 4)
	wg.Wait()
	if s.Code() != codes.OK && s.Code() != codes.Unavailable || s.Code() == codes.OK && n == 0 {
		t.Errorf("%d tokens, %v, want an answer or a nack", n, s)
	}
	waitUntilIdle(t, deployment, 2*time.Second)
	checkInvariants(t, deployment)
}

// TestAnswerNearDeadline: with patience about as long as an answer takes, each job still ends once, in time.
func TestAnswerNearDeadline(t *testing.T) {
	s, err := scenario.Parse("day", []byte(strings.Replace(scenarioText, "TROUBLES", "", 1)))
	if err != nil {
		t.Fatal(err)
	}
	for i := range s.Classes {
		s.Classes[i].LatencyTarget, s.Classes[i].Timeout = 110*time.Millisecond, 120*time.Millisecond
	}
	s.Duration, s.SessionsPerSecond = 3*time.Second, 60
	report := runScript(t, s, nil)
	if len(report.Violations) > 0 || report.Counts.InvalidDecisions > 0 {
		t.Errorf("%v, %d decisions refused", report.Violations, report.Counts.InvalidDecisions)
	}
	q := report.Summaries["question"]
	if q.Served == 0 || q.Served == q.Requests {
		t.Errorf("%d of %d honoured: nothing crossed", q.Served, q.Requests)
	}
}

// TestDispatcherKilledAndRestarted: with its listers away it serves by the list that it kept, and a host that has just
// started is still taken for cold.
func TestDispatcherKilledAndRestarted(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	if _, s, _ := generate(context.Background(), client, newRequest("before")); s.Code() != codes.OK {
		t.Fatal(s)
	}
	deployment.Engines[0].Crash()
	if err := deployment.Engines[0].Start(""); err != nil {
		t.Fatal(err)
	}
	deployment.SetServerHealth(1, pb.Health_HEALTH_SERVING) // with its new start
	time.Sleep(200 * time.Millisecond)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	long := newRequest("killed")
	long.MaxTokens = 2000
	lost := make(chan *status.Status, 1)
	go func() {
		_, s, _ := generate(ctx, client, long)
		lost <- s
	}()
	time.Sleep(200 * time.Millisecond)
	if err := deployment.SetDiscoveryRunning(false); err != nil {
		t.Fatal(err)
	}
	deployment.KillDispatcher(0)
	if s := <-lost; s.Code() == codes.OK {
		t.Error("the stream outlived its dispatcher")
	}
	if err := deployment.RestartDispatcher(0); err != nil {
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
			stream, err := client.Generate(ctx, newRequest(fmt.Sprint("after", i)), grpc.WaitForReady(true))
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
	checkInvariants(t, deployment)
}
