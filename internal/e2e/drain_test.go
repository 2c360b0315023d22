package e2e

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/scenario"
)

// TestDrainDuringConnect checks that an attempt that waits for its connection is not sent once the server drains.
func TestDrainDuringConnect(t *testing.T) {
	deployment, client := startDeployment(t, func(s *scenario.Script) { s.Servers[0].Count = 1 })
	deployment.Proxies(0)[0].SetBlackhole(true) // the proxy accepts connections, but nothing passes
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	result := make(chan answer, 1)
	go func() { result <- generate(ctx, client, newRequest("drained")) }()
	time.Sleep(50 * time.Millisecond)
	deployment.SetServerHealth(1, pb.Health_HEALTH_DRAINING)
	deployment.Proxies(0)[0].SetBlackhole(false)
	if got := <-result; got.status.Code() != codes.Unavailable {
		t.Errorf("ended with %v, want UNAVAILABLE: there is no other prefill server", got.status)
	}
	var wg sync.WaitGroup
	for range 20 { // no new attempt may go to the draining server
		wg.Go(func() { generate(context.Background(), client, newRequest("after")) })
	}
	wg.Wait()
	checkInvariants(t, deployment)
}

// TestDrain checks that a draining dispatcher finishes requests in flight and ends, and that later requests fail.
func TestDrain(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	address := deployment.Addresses()[0]
	checkHealth(t, address, healthpb.HealthCheckResponse_SERVING)
	health := healthpb.NewHealthClient(dialConn(t, address))
	watch, err := health.Watch(context.Background(), &healthpb.HealthCheckRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if update, err := watch.Recv(); err != nil || update.Status != healthpb.HealthCheckResponse_SERVING {
		t.Fatalf("health watch: %v, error %v, want SERVING", update, err)
	}
	started, result := startStream(client, "drain", 200)
	<-started
	dispatcher := deployment.Dispatcher(0)
	dispatcher.Drain(5 * time.Second)
	if update, err := watch.Recv(); err != nil || update.Status != healthpb.HealthCheckResponse_NOT_SERVING {
		t.Errorf("health watch after the drain began: %v, error %v, want NOT_SERVING", update, err)
	}
	if got := <-result; got.Code() != codes.OK {
		t.Errorf("the stream in flight ended with %v, want OK", got)
	}
	waitForEnd(t, dispatcher.Done())
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if got := generate(ctx, client, newRequest("late")); got.status.Code() != codes.Unavailable {
		t.Errorf("a request after the drain ended with %v, want UNAVAILABLE", got.status)
	}
}

func checkHealth(t *testing.T, address string, want healthpb.HealthCheckResponse_ServingStatus) {
	t.Helper()
	conn := dialConn(t, address)
	defer conn.Close()
	response, err := healthpb.NewHealthClient(conn).Check(context.Background(), &healthpb.HealthCheckRequest{})
	if err != nil {
		t.Fatal(err)
	}
	if response.Status != want {
		t.Errorf("health %v, want %v", response.Status, want)
	}
}

// startStream sends a request. started is closed after its first message or its failure. result receives its final
// status.
func startStream(client pb.GenerationClient, label string, maxTokens uint32) (
	started <-chan struct{}, result <-chan *status.Status,
) {
	startedChannel, resultChannel := make(chan struct{}), make(chan *status.Status, 1)
	request := newRequest(label)
	request.MaxTokens = maxTokens
	go func() {
		stream, err := client.Generate(context.Background(), request)
		if err == nil {
			_, err = stream.Recv()
		}
		close(startedChannel)
		for err == nil {
			_, err = stream.Recv()
		}
		if errors.Is(err, io.EOF) {
			err = nil
		}
		resultChannel <- status.Convert(err)
	}()
	return startedChannel, resultChannel
}

// TestDrainTimeout checks that a request that is still in flight when the drain times out is rejected.
func TestDrainTimeout(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	hangEngines(deployment, 3, 4)
	result := make(chan answer, 1)
	go func() { result <- generate(context.Background(), client, newRequest("hung")) }()
	time.Sleep(150 * time.Millisecond)
	dispatcher := deployment.Dispatcher(0)
	start := time.Now()
	dispatcher.Drain(200 * time.Millisecond)
	got := <-result
	if elapsed := time.Since(start); got.status.Code() != codes.Unavailable || elapsed > time.Second {
		t.Errorf("after %v: %v, want UNAVAILABLE within 1 s, as the request is idempotent", elapsed, got.status)
	}
	waitForEnd(t, dispatcher.Done())
}

// TestDrainAnswersWaitingRequests checks that a draining dispatcher answers each request in the admission queue once,
// and that requests canceled by their clients leave nothing behind.
func TestDrainAnswersWaitingRequests(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	hangEngines(deployment, 1, 2)
	var wg sync.WaitGroup
	var statuses statusCounts
	for i := range 60 {
		wg.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%3 == 0 {
				time.AfterFunc(150*time.Millisecond, cancel)
			}
			got := generate(ctx, client, newRequest(fmt.Sprint("waits", i)))
			statuses.add(got.status.Code())
		})
	}
	time.Sleep(100 * time.Millisecond)
	dispatcher := deployment.Dispatcher(0)
	dispatcher.Drain(300 * time.Millisecond)
	wg.Wait()
	if statuses.count(codes.Unavailable) != 40 || statuses.count(codes.Canceled) != 20 {
		t.Errorf("ended as %v, want 40 rejected and 20 canceled", &statuses)
	}
	waitForEnd(t, dispatcher.Done())
	for _, violation := range deployment.CheckInvariants() {
		t.Error(violation)
	}
}
