package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	backend "docksail/internal/backend/platform"
)

// seenRequest is one request that a scripted server got.
type seenRequest struct {
	server, method, path, requestID string
	conn                            int
	at                              time.Time
}

// netHarness is a dispatcher in service between scripted servers, a scripted discovery and the test as its client.
type netHarness struct {
	t           *testing.T
	node        *Node
	config      *Config
	endpoints   []backend.Endpoint
	mu          sync.Mutex
	requests    []seenRequest
	connCount   int
	lists       chan backend.EndpointList // news for whoever watches
	watchedFrom []string                  // what watches asked for
	replaced    []string                  // pieces of the settings and what stands in their place, pairwise
}

// responder answers a request; false: the connection is to be closed.
type responder func(c net.Conn, r *http.Request, nth int) bool

func writeText(c net.Conn, text string) bool { _, err := io.WriteString(c, text); return err == nil }

func respondPrefill(c net.Conn, _ *http.Request, _ int) bool {
	return writeText(c, prefillResponse)
}

func chunk(text string) string {
	return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
}

const (
	prefillResponse = "HTTP/1.1 202 Accepted\r\nContent-Length: 19\r\nX-Pressure: {\"x0\":0.1,\"x1\":0}\r\n\r\n{\"cached_tokens\":0}"
	streamHead      = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	event1          = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"}}]}\n\n"
	event2          = "data: [DONE]\n\n"
	streamBody      = event1 + event2
)

func respondDecode(c net.Conn, _ *http.Request, _ int) bool {
	return writeText(c, decodeResponse)
}

// server adds a scripted server; it takes every release.
func (h *netHarness) addServer(name, kind string, does responder) net.Listener {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { ln.Close() })
	h.endpoints = append(h.endpoints, backend.Endpoint{ID: name, Addr: ln.Addr().String(), Zone: "z", Kind: kind, State: "Ready"})
	go func() {
		nth := 0
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			h.mu.Lock()
			h.connCount++
			conn := h.connCount
			h.mu.Unlock()
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					io.Copy(io.Discard, r.Body)
					h.mu.Lock()
					h.requests = append(h.requests, seenRequest{name, r.Method, r.URL.Path, r.Header.Get("X-Txn"), conn, time.Now()})
					nth++
					n := nth
					h.mu.Unlock()
					if r.Method == "DELETE" {
						writeText(c, "HTTP/1.1 204 No Content\r\n\r\n")
					} else if !does(c, r, n) {
						return
					}
				}
			}()
		}
	}()
	return ln
}

// requestsWhere gives what servers have seen that fits.
func (h *netHarness) requestsWhere(fits func(seenRequest) bool) []seenRequest {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []seenRequest
	for _, x := range h.requests {
		if fits(x) {
			found = append(found, x)
		}
	}
	return found
}

func (h *netHarness) attemptsAt(host string) int {
	return len(h.requestsWhere(func(x seenRequest) bool { return x.server == host && x.method == "POST" }))
}

const testSettings = `{"family_info":{"release_ns":1000000000,"role_by_kind":["read","write"],"token_aim_ns":[60000000],
"aim_us_per_1000_prompt_tokens":[40000]},"limits":{"cancel":true,"conn_idle_ns":15000000000,"connect_timeout_ns":250000000,
"max_attempts":6,"max_retry_after_ns":1000000000,"retry_after":true},"localities":["z"],"machine_types":["prefill","decode"],
"me":0,"siblings":2,"zone":"z","membership_mode":"pushed","round_ns":4000000,"request_classes":[{"dedup_scope":"all",
"effect":"idempotent","give_up_ns":6000000000,"late_value":0.1,"name":"chat","on_time_ns":1500000000,"points":3,
"window_ns":5000000000}],"rules":{"answer_slack_ns":16000000,"cold_from":0.3,"cold_ns":1000000000,"fall_multiple":2.5,
"fall_ns":3000000000},"tenants":[],"unknown":{"key":1}}`

// startDiscovery serves a watch; each answers with its whole list first.
func (h *netHarness) startDiscovery() netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	watch := make(chan backend.EndpointList)
	h.lists = watch
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		h.watchedFrom = append(h.watchedFrom, r.URL.Query().Get("from"))
		h.mu.Unlock()
		w.(http.Flusher).Flush()
		for {
			select {
			case list := <-watch:
				json.NewEncoder(w).Encode(list)
			case <-time.After(500 * time.Millisecond):
				io.WriteString(w, "\n")
			case <-r.Context().Done():
				return
			case <-ctx.Done():
				return
			}
			w.(http.Flusher).Flush()
		}
	})}
	go server.Serve(ln)
	h.t.Cleanup(func() { cancel(); server.Close() })
	return netip.MustParseAddrPort(ln.Addr().String())
}

func newNetHarness(t *testing.T) *netHarness {
	return &netHarness{t: t}
}

// start puts the dispatcher between them.
func (h *netHarness) start(sockets int) {
	h.config = &Config{
		Name: "n0", Listen: netip.MustParseAddrPort("127.0.0.1:0"), Discovery: h.startDiscovery(), Seed: "8c1f30d27a5be964",
		Settings: json.RawMessage(strings.NewReplacer(h.replaced...).Replace(testSettings)),
	}
	h.config.Limits.Descriptors, h.config.Limits.MemoryMB, h.config.InitialList = sockets, 96, backend.EndpointList{Version: 41, Full: true, Endpoints: h.endpoints}
	n, err := Start(h.config, slog.New(slog.DiscardHandler))
	if err != nil {
		h.t.Fatal(err)
	}
	h.node = n
	h.t.Cleanup(func() { n.loop.Stop(); <-n.done })
	roundTrip(h.dial(), "GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n") // it takes clients from then on
}

// decodeResponse is the whole of a decode server's answer.
var decodeResponse = streamHead + chunk(event1) + chunk(event2) + "0\r\n\r\n"

const requestBody = `{"model":"chat","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"abcd"}]}`

// request makes the text of a request's request; change replaces pieces of it, pairwise.
func request(name string, change ...string) string {
	text := "POST /v1/chat/completions?v=1 HTTP/1.1\r\nHost: api.internal\r\nX-Txn: " + name + "\r\nX-Lane: chat\r\n" +
		"X-Entity: 7f3a9c21e0b4d655\r\nX-Remaining: 4.800\r\nX-Labels: prefix=5c0f6e1a2b3d4c59,prompt_len=5120,prefix_len=2048,max_out=800\r\n" +
		contentLength + "\r\n\r\n" + requestBody
	return strings.NewReplacer(change...).Replace(text)
}

var contentLength = "Content-Length: " + strconv.Itoa(len(requestBody))

func requestID(n int) string { return fmt.Sprintf("%016x", n) }

func (h *netHarness) dial() net.Conn {
	c, err := net.Dial("tcp", h.node.addr.String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(10 * time.Second))
	return c
}

// roundTrip sends a request and gives the answer: its status, its body, and the error with which that ended.
func roundTrip(c net.Conn, text string) (status int, got string, after string, err error) {
	if _, err := io.WriteString(c, text); err != nil {
		return 0, "", "", err
	}
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, "", "", err
	}
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), res.Header.Get("Retry-After"), err
}

// expectServed asks for a request and wants it served.
func (h *netHarness) expectServed(c net.Conn, n int) {
	h.t.Helper()
	status, got, _, err := roundTrip(c, request(requestID(n)))
	if status != 200 || got != streamBody || err != nil {
		h.t.Fatalf("request %d: %d %q, %v", n, status, got, err)
	}
}

func waitUntil(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !is(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%s: not within 5 s", what)
		}
	}
}
