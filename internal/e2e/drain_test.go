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
	"google.golang.org/grpc/credentials/insecure"
	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/scenario"
)

// TestDrainDuringConnect: a launch that waits for its connection is not sent once the host drains.
func TestDrainDuringConnect(t *testing.T) {
	deployment, client := startDeployment(t, func(s *scenario.Script) { s.Servers[0].Count = 1 })
	deployment.Proxies(0)[0].SetBlackhole(true) // the connection is made, but its engine never speaks
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	done := make(chan *status.Status, 1)
	go func() {
		_, s, _ := generate(ctx, client, newRequest("drained"))
		done <- s
	}()
	time.Sleep(50 * time.Millisecond)
	deployment.SetServerHealth(1, pb.Health_HEALTH_DRAINING)
	deployment.Proxies(0)[0].SetBlackhole(false)
	s := <-done
	if s.Code() != codes.Unavailable {
		t.Errorf("ended with %v, want a nack: there is no other reader", s)
	}
	for range 20 { // nothing new goes there
		generate(ctx, client, newRequest("after"))
	}
	checkInvariants(t, deployment)
}

// TestDrain: jobs in hand are finished, new ones refused, then the dispatcher ends.
func TestDrain(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	health := func() healthpb.HealthCheckResponse_ServingStatus {
		c, err := grpc.NewClient(deployment.Addresses()[0], grpc.WithTransportCredentials(insecure.NewCredentials()))
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
	watching, err := grpc.NewClient(deployment.Addresses()[0], grpc.WithTransportCredentials(insecure.NewCredentials()))
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
	long := newRequest("drain")
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
	r := deployment.Dispatcher(0)
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
	if _, s, _ := generate(ctx, client, newRequest("late")); s.Code() != codes.Unavailable {
		t.Errorf("a job after the drain ended with %v", s)
	}
}

// TestDrainTimeout: what is not finished in the time to drain is answered all the same.
func TestDrainTimeout(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	hangEngines(deployment, 3, 4)
	end := make(chan *status.Status, 1)
	go func() {
		_, s, _ := generate(context.Background(), client, newRequest("hung"))
		end <- s
	}()
	time.Sleep(150 * time.Millisecond)
	r := deployment.Dispatcher(0)
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

// TestDrainAnswersWaitingRequests: jobs that wait at the door when the dispatcher drains are answered, each once; those that leave
// leave no trace.
func TestDrainAnswersWaitingRequests(t *testing.T) {
	deployment, client := startDeployment(t, nil)
	hangEngines(deployment, 1, 2)
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := map[codes.Code]int{}
	for i := range 60 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%3 == 0 {
				time.AfterFunc(150*time.Millisecond, cancel)
			}
			_, s, _ := generate(ctx, client, newRequest(fmt.Sprint("waits", i)))
			mu.Lock()
			ends[s.Code()]++
			mu.Unlock()
		}()
	}
	time.Sleep(100 * time.Millisecond)
	r := deployment.Dispatcher(0)
	r.Drain(300 * time.Millisecond)
	wg.Wait()
	if ends[codes.Unavailable] != 40 || ends[codes.Canceled] != 20 {
		t.Errorf("ended as %v, want 40 nacked and 20 left", ends)
	}
	select {
	case <-r.Done():
	case <-time.After(3 * time.Second):
		t.Fatal("the dispatcher did not end")
	}
	for _, v := range deployment.CheckInvariants() {
		t.Error(v)
	}
}
