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

// waitTimeout limits the wait for what a test expects of a running loop.
const waitTimeout = 5 * time.Second

// TestPausedConnIsReadForNextRequest: a connection whose reading was paused for a slow client when its response ended
// is read again when it carries the next request.
func TestPausedConnIsReadForNextRequest(t *testing.T) {
	l := newLoop(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	module, client := &scriptedModule{}, &slowClient{}
	b := newBackend(t, l, module, platformconfig.Config{IdleTimeout: 15e9, ConnectTimeout: 250e6})
	endpoints := []Endpoint{readyServer("w1", listener.Addr().String())}
	b.SetInitialList(0, EndpointList{Full: true, Endpoints: endpoints})
	done := make(chan error)
	go func() { done <- l.Run(b.dispatcher.RunIteration) }()
	defer func() {
		l.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
	submit := func() {
		onLoop(l, func() {
			id, err := b.dispatcher.Submit(l.Now(), client, &frontend.Request{
				Class: []byte("a"), ClientID: []byte("n"), Path: []byte("/"), Raw: []byte("x"), PromptTokens: 1,
			})
			if err != nil {
				t.Error(err)
			}
			module.decisions = append(module.decisions, policy.Decision{
				Action: policy.SendAttempt, Request: id, Server: b.byName["w1"].id, Duration: 9e9,
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
	in := bufio.NewReader(conn)
	for n := range 2 {
		answerNext(t, conn, in, response) // its end comes with the bytes that wait for the client
		waitOnLoop(t, l, "the response is relayed", func() bool { return client.completed == n+1 })
		if n == 0 {
			waitOnLoop(t, l, "the connection is reusable", func() bool {
				return b.byName["w1"].usableIdleConn(l.Now()) != nil
			})
			submit()
		}
	}
}

// answerNext reads the next request of a connection and writes the response to it.
func answerNext(t *testing.T, conn net.Conn, in *bufio.Reader, response string) {
	t.Helper()
	r, err := http.ReadRequest(in)
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

// onLoop runs f on a running loop.
func onLoop(l *eventloop.Loop, f func()) {
	done := make(chan struct{})
	l.Post(func() { f(); close(done) })
	<-done
}

// waitOnLoop waits until a condition holds, which it evaluates on a running loop.
func waitOnLoop(t *testing.T, l *eventloop.Loop, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); ; {
		holds := false
		onLoop(l, func() { holds = condition() })
		if holds {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("%s: not within %v", what, waitTimeout)
		}
	}
}
