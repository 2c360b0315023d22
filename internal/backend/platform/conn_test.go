package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/internal/platformconfig"
	"docksail/policy"
)

// waitTimeout limits the wait for a condition on a running loop.
const waitTimeout = 5 * time.Second

// TestPausedConnIsReadForNextRequest checks that a connection whose reading was paused for a slow client when the
// response ended is read again for the next request.
func TestPausedConnIsReadForNextRequest(t *testing.T) {
	loop := newLoop(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	module, client := &scriptedModule{}, &slowClient{}
	backend := newBackend(t, loop, module, platformconfig.Config{IdleTimeout: 15e9, ConnectTimeout: 250e6})
	endpoints := []Endpoint{readyServer("w1", listener.Addr().String())}
	backend.SetInitialList(0, EndpointList{Full: true, Endpoints: endpoints})
	done := make(chan error)
	go func() { done <- loop.Run(backend.dispatcher.RunIteration) }()
	defer func() {
		loop.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	submit := func() {
		onLoop(loop, func() {
			id, err := backend.dispatcher.Submit(loop.Now(), client, &frontend.Request{
				Class: []byte("a"), ClientRequestID: []byte("n"), Path: []byte("/"), Raw: []byte("x"), PromptTokens: 1,
			})
			if err != nil {
				t.Error(err)
			}
			module.decisions = append(module.decisions, policy.Decision{
				Action: policy.SendAttempt, Request: id, Server: backend.byName["w1"].id, Duration: 9e9,
			})
		})
	}
	const response = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"8\r\ndata: x\n\r\n9\r\ndata: y\n\n\r\n0\r\n\r\n"

	submit()
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for n := range 2 {
		respondToNextRequest(t, conn, reader, response) // the end is received with the data that pauses reading
		waitOnLoop(t, loop, "the response to be relayed", func() bool { return client.completed == n+1 })
		if n == 0 {
			waitOnLoop(t, loop, "the connection to become reusable", func() bool {
				return backend.byName["w1"].usableIdleConn(loop.Now()) != nil
			})
			submit()
		}
	}
}

// respondToNextRequest reads the next request on a connection and writes the response to it.
func respondToNextRequest(t *testing.T, conn net.Conn, reader *bufio.Reader, response string) {
	t.Helper()
	r, err := http.ReadRequest(reader)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, response); err != nil {
		t.Fatal(err)
	}
}

// onLoop runs f on the goroutine of a running loop and returns when f has returned.
func onLoop(loop *eventloop.Loop, f func()) {
	done := make(chan struct{})
	loop.Post(func() { f(); close(done) })
	<-done
}

// waitOnLoop waits until a condition holds, which it evaluates on the goroutine of a running loop.
func waitOnLoop(t *testing.T, loop *eventloop.Loop, awaited string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); ; {
		holds := false
		onLoop(loop, func() { holds = condition() })
		if holds {
			return
		}
		if time.Now().After(deadline) {
			t.Fatalf("waiting for %s: timed out after %v", awaited, waitTimeout)
		}
	}
}
