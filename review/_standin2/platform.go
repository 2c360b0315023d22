package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// modelHost is a stand-in for a model host of the platform. A prefill host reads a prompt and holds its state, a decode host
// streams an answer. A host that hangs takes requests and answers nothing, as long as it hangs.
type modelHost struct {
	id, role, zone, addr string
	record               *record
	server               *http.Server
	readTime             time.Duration // of a prompt
	mu                   sync.Mutex
	hangs                bool
	got                  map[string][]time.Time // arrivals of the last byte, by the request's id
}

func startModelHost(r *record, id, role, zone string) (*modelHost, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	h := &modelHost{
		id: id, role: role, zone: zone, addr: listener.Addr().String(), record: r, readTime: hostReadTime, got: map[string][]time.Time{},
	}
	h.server = &http.Server{Handler: h}
	go func() { _ = h.server.Serve(listener) }()
	return h, nil
}

func (h *modelHost) setHanging(hangs bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hangs = hangs
}

func (h *modelHost) isHanging() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hangs
}

// waitWhileHanging returns once the host does not hang.
func (h *modelHost) waitWhileHanging() {
	for h.isHanging() {
		time.Sleep(5 * time.Millisecond)
	}
}

// ServeHTTP implements http.Handler.
func (h *modelHost) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.Method == http.MethodDelete {
		h.waitWhileHanging()
		w.WriteHeader(http.StatusNoContent)
		return
	}
	_, _ = io.Copy(io.Discard, q.Body)
	id := q.Header.Get("X-Txn")
	h.mu.Lock()
	h.got[id] = append(h.got[id], time.Now())
	hangs := h.hangs
	h.mu.Unlock()
	h.record.addf("%s host %s got %s with %s s left, hangs: %v", h.role, h.id, id, q.Header.Get("X-Remaining"), hangs)
	if hangs {
		h.waitWhileHanging() // the time of its client is up by then
		return
	}
	if h.role == "prefill" {
		time.Sleep(h.readTime)
		w.WriteHeader(http.StatusAccepted)
		fmt.Fprint(w, `{"cached_tokens":0}`)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flusher, _ := w.(http.Flusher)
	for i := range 10 {
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"t%d \"},\"finish_reason\":null}]}\n\n", i)
		flusher.Flush()
		time.Sleep(20 * time.Millisecond)
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// hostReadTime is how long a prefill host reads a prompt, where a case says nothing else.
const hostReadTime = 200 * time.Millisecond

// arrivals returns when the requests with an id have come.
func (h *modelHost) arrivals(id string) []time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]time.Time(nil), h.got[id]...)
}

// entry is the host's entry of the list.
func (h *modelHost) entry() map[string]any {
	return map[string]any{
		"id": h.id, "addr": h.addr, "zone": h.zone, "kind": h.role, "cell": 1, "state": "Ready", "weight": 1.0, "started_ms": 0,
	}
}

// startRegistry starts a stand-in for discovery: the whole list, then an empty line every two seconds.
func startRegistry(list []byte) (addr string, err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	handler := http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		flusher, _ := w.(http.Flusher)
		fmt.Fprintf(w, "%s\n", list)
		flusher.Flush()
		for q.URL.Query().Get("watch") != "" {
			select {
			case <-time.After(2 * time.Second):
				fmt.Fprint(w, "\n")
				flusher.Flush()
			case <-q.Context().Done():
				return
			}
		}
	})
	go func() { _ = (&http.Server{Handler: handler}).Serve(listener) }()
	return listener.Addr().String(), nil
}

// platformCall sends one request as a client of the platform. It returns the status, or 0 if none came, and the answer.
func platformCall(client *http.Client, addr, id, key, lane string, left time.Duration) (status int, body string) {
	text := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":20,"messages":[{"role":"user","content":"a reminder"}]}`, lane)
	ctx, cancel := context.WithTimeout(context.Background(), left+time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(text))
	if err != nil {
		return 0, err.Error()
	}
	for name, value := range map[string]string{
		"X-Txn": id, "X-Lane": lane, "X-Entity": id, "X-Remaining": fmt.Sprintf("%.3f", left.Seconds()),
		"X-Labels": "prompt_len=400,max_out=20", "Idempotency-Key": key, "Content-Type": "application/json",
	} {
		q.Header.Set(name, value)
	}
	answer, err := client.Do(q)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	all, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(all)
}

// nodeConfigText returns the configuration of a dispatcher for RELAY_CONFIG.
func nodeConfigText(listen, discovery string, list []byte, settings string) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 96, "sockets": 512},
		"known":  json.RawMessage(list), "settings": json.RawMessage(settings),
	})
}
