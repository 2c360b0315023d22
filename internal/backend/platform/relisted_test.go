package platform

import (
	"bufio"
	"net"
	"testing"

	"docksail/internal/frontend"
	"docksail/internal/platformconfig"
	"docksail/policy"
)

// TestServerGoneAndBackInOneChange guards against a server that leaves the backend's maps while the module still lists
// it: one change names it as gone and then as ready again, restarted or moved, and it has an idle connection.
func TestServerGoneAndBackInOneChange(t *testing.T) {
	loop := newLoop(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	module, client := &scriptedModule{}, &slowClient{}
	backend := newBackend(t, loop, module, platformconfig.Config{IdleTimeout: 15e9, ConnectTimeout: 250e6})
	ready := readyServer("w1", listener.Addr().String())
	backend.SetInitialList(0, EndpointList{Full: true, Endpoints: []Endpoint{ready}})
	done := make(chan error)
	go func() { done <- loop.Run(backend.dispatcher.RunIteration) }()
	defer func() {
		loop.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}()
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
	conn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	respondToNextRequest(t, conn, bufio.NewReader(conn), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
	waitOnLoop(t, loop, "the connection to become idle", func() bool {
		return backend.byName["w1"].usableIdleConn(loop.Now()) != nil
	})
	onLoop(loop, func() {
		gone, restarted := ready, ready
		gone.State, restarted.StartedMS = "Gone", 1e12
		backend.ApplyList(loop.Now(), EndpointList{Endpoints: []Endpoint{gone, restarted}})
		srv := backend.byName["w1"]
		if srv == nil || srv.health != policy.Serving || backend.byID[srv.id] != srv || len(backend.servers) != 1 {
			t.Errorf("server %+v, %d servers by ID, %d in the list; want one that serves",
				srv, len(backend.byID), len(backend.servers))
		}
		if srv != nil && len(srv.conns) > 0 {
			t.Error("the connection to the former process is kept")
		}
	})
}
