package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
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

// TestClientCancels checks that a client's cancel reaches the engines at every stage of a request, that no KV state
// stays held, and that no attempt follows.
func TestClientCancels(t *testing.T) {
	for _, test := range []struct {
		name          string
		setFault      func(*scenario.Deployment)
		afterMessages int           // messages to receive before the cancel
		delay         time.Duration // between the last of these messages and the cancel
	}{
		{
			"before the prefill", func(d *scenario.Deployment) { setDraining(d, true, 1, 2) },
			0, 30 * time.Millisecond,
		},
		{
			"during the prefill", func(d *scenario.Deployment) { hangEngines(d, 1, 2) },
			0, 100 * time.Millisecond,
		},
		{
			"between prefill and decode", func(d *scenario.Deployment) { setDraining(d, true, 3, 4) },
			0, 60 * time.Millisecond,
		},
		{
			"before the first token", func(d *scenario.Deployment) { hangEngines(d, 3, 4) },
			0, 150 * time.Millisecond,
		},
		{"mid-stream", func(*scenario.Deployment) {}, 3, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			deployment, client := startDeployment(t, nil)
			test.setFault(deployment)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			request := newRequest(test.name)
			request.MaxTokens = 400
			stream, err := client.Generate(ctx, request)
			if err != nil {
				t.Fatal(err)
			}
			for range test.afterMessages {
				if _, err := stream.Recv(); err != nil {
					t.Fatal(err)
				}
			}
			time.Sleep(test.delay)
			cancel()
			waitUntilIdle(t, deployment, deployment.Script.ReleaseTime+500*time.Millisecond)
			attempts := deployment.Counts().Attempts
			time.Sleep(200 * time.Millisecond)
			if current := deployment.Counts().Attempts; current != attempts {
				t.Errorf("%d attempts sent after the cancel, want none", current-attempts)
			}
			checkInvariants(t, deployment)
		})
	}
}

// TestDecodeServerStalls checks that a stream that stalls after its first tokens fails once, and that its client is
// told not to retry.
func TestDecodeServerStalls(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	for _, id := range []int{3, 4} {
		deployment.Engines[id-1].SetFaults(func(f *engine.Faults) { f.StallAfter = 2 })
	}
	start := time.Now()
	got := generate(context.Background(), client, newRequest("stall"))
	if got.tokens != 2 || got.status.Code() != codes.Aborted {
		t.Errorf("%d tokens, then %v, want two tokens, then ABORTED", got.tokens, got.status)
	}
	if pushback := got.trailer.Get(pushbackKey); len(pushback) != 1 || pushback[0] != "-1" {
		t.Errorf("pushback %v, want -1: a failed request must not be retried", pushback)
	}
	if elapsed := time.Since(start); elapsed > 6*time.Second {
		t.Errorf("took %v, want at most 6 s", elapsed)
	}
	waitUntilIdle(t, deployment, time.Second)
	checkInvariants(t, deployment)
}

// TestDecodeServerHangs checks that the other decode server serves all requests in time while one hangs.
func TestDecodeServerHangs(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	hangEngines(deployment, 3)
	for i := range 6 {
		got := generate(context.Background(), client, newRequest(fmt.Sprint("never", i)))
		if got.status.Code() != codes.OK || got.tokens == 0 {
			t.Errorf("request %d: %d tokens, %v, want an answer from the other decode server", i, got.tokens, got.status)
		}
	}
	waitUntilIdle(t, deployment, time.Second)
	checkInvariants(t, deployment)
}

// TestPrefillServerCrashesHoldingState checks that a request gets a full answer, after another prefill, or a rejection
// if its KV state is lost before the decode server fetches it.
func TestPrefillServerCrashesHoldingState(t *testing.T) {
	deployment, client := startDeployment(t, func(s *scenario.Script) {
		s.Classes[0].LatencyTarget = 2 * time.Second
		s.Classes[0].Timeout = 5 * time.Second
	})
	setDraining(deployment, true, 3, 4) // so that the prefill server holds the state
	result := make(chan answer, 1)
	go func() { result <- generate(context.Background(), client, newRequest("dies")) }()
	prefillEngines := deployment.Engines[:2]
	deadline := time.Now().Add(3 * time.Second)
	for prefillEngines[0].HeldStates()+prefillEngines[1].HeldStates() == 0 && time.Now().Before(deadline) {
		time.Sleep(time.Millisecond)
	}
	crashed := 0
	for _, e := range prefillEngines {
		if e.HeldStates() > 0 {
			crashed++
			e.Crash()
			if err := e.Start(""); err != nil {
				t.Fatal(err)
			}
		}
	}
	if crashed != 1 {
		t.Fatalf("%d prefill servers held the state and crashed, want 1", crashed)
	}
	setDraining(deployment, false, 3, 4)
	got := <-result
	code := got.status.Code()
	if code != codes.OK && code != codes.Unavailable || code == codes.OK && got.tokens == 0 {
		t.Errorf("%d tokens, %v, want an answer or a rejection", got.tokens, got.status)
	}
	waitUntilIdle(t, deployment, 2*time.Second)
	checkInvariants(t, deployment)
}

// TestAnswerNearDeadline checks that every request ends once and in time when its timeout is about as long as an answer
// takes.
func TestAnswerNearDeadline(t *testing.T) {
	script := newScript(t, "")
	for i := range script.Classes {
		script.Classes[i].LatencyTarget, script.Classes[i].Timeout = 110*time.Millisecond, 120*time.Millisecond
	}
	script.Duration, script.SessionsPerSecond = 3*time.Second, 60
	report := runScript(t, script, nil)
	checkReport(t, report)
	summary := report.Summaries["question"]
	if summary.Served == 0 || summary.Served == summary.Requests {
		t.Errorf("%d of %d served, want some but not all", summary.Served, summary.Requests)
	}
}

// TestDispatcherKilledAndRestarted checks that a dispatcher restarted while discovery is down uses its cached endpoint
// list, and that it still treats a server that started shortly before as in slow start.
func TestDispatcherKilledAndRestarted(t *testing.T) {
	const requests = 40
	deployment, client := startDeployment(t, nil)
	if got := generate(context.Background(), client, newRequest("before")); got.status.Code() != codes.OK {
		t.Fatal(got.status)
	}
	deployment.Engines[0].Crash()
	if err := deployment.Engines[0].Start(""); err != nil {
		t.Fatal(err)
	}
	deployment.SetServerHealth(1, pb.Health_HEALTH_SERVING) // publishes the new start time
	time.Sleep(200 * time.Millisecond)
	ctx := t.Context()
	longRequest := newRequest("killed")
	longRequest.MaxTokens = 2000
	result := make(chan answer, 1)
	go func() { result <- generate(ctx, client, longRequest) }()
	time.Sleep(200 * time.Millisecond)
	if err := deployment.SetDiscoveryRunning(false); err != nil {
		t.Fatal(err)
	}
	deployment.KillDispatcher(0)
	if got := <-result; got.status.Code() == codes.OK {
		t.Error("the stream ended with OK though its dispatcher was killed")
	}
	if err := deployment.RestartDispatcher(0); err != nil {
		t.Fatal(err)
	}
	var wg sync.WaitGroup
	var statuses statusCounts
	for i := range requests {
		wg.Go(func() {
			time.Sleep(time.Duration(i) * 60 * time.Millisecond)
			ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
			defer cancel()
			stream, err := client.Generate(ctx, newRequest(fmt.Sprint("after", i)), grpc.WaitForReady(true))
			for err == nil {
				_, err = stream.Recv()
			}
			if errors.Is(err, io.EOF) {
				err = nil
			}
			statuses.add(status.Code(err))
		})
	}
	wg.Wait()
	served := statuses.count(codes.OK)
	if served < requests/2 || served+statuses.count(codes.Unavailable)+statuses.count(codes.Aborted) != requests {
		t.Errorf("after the restart requests ended as %v, want at least half of %d served, the others rejected or failed",
			&statuses, requests)
	}
	checkInvariants(t, deployment)
}
