package e2e

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"docksail/internal/batchrunner"
	"docksail/internal/decide/batchscheduler"
	frontend "docksail/internal/frontend/batch"
	"docksail/internal/lab/scenario"
	"docksail/internal/state/batchstore"
)

// api is a batch API and its caller.
type batchAPI struct {
	t       *testing.T
	at, key string
}

func (a *batchAPI) call(method, path, kind string, body io.Reader) (int, map[string]any) {
	a.t.Helper()
	status, b := a.raw(method, path, kind, body)
	var m map[string]any
	if err := json.Unmarshal(b, &m); err != nil {
		a.t.Fatalf("%s %s: %d, %q: %v", method, path, status, b, err)
	}
	return status, m
}

func (a *batchAPI) raw(method, path, kind string, body io.Reader) (int, []byte) {
	a.t.Helper()
	req, err := http.NewRequest(method, a.at+path, body)
	if err != nil {
		a.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+a.key)
	if kind != "" {
		req.Header.Set("Content-Type", kind)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, []byte("{}")
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, []byte("{}")
	}
	return res.StatusCode, b
}

func (a *batchAPI) upload(text string) (int, map[string]any) {
	a.t.Helper()
	var b bytes.Buffer
	form := multipart.NewWriter(&b)
	form.WriteField("purpose", "batch")
	part, err := form.CreateFormFile("file", "lines.jsonl")
	if err != nil {
		a.t.Fatal(err)
	}
	io.WriteString(part, text)
	form.Close()
	return a.call("POST", "/v1/files", form.FormDataContentType(), &b)
}

func (a *batchAPI) submit(text, window string) string {
	a.t.Helper()
	status, f := a.upload(text)
	if status != 200 {
		a.t.Fatal(status, f)
	}
	status, b := a.call("POST", "/v1/batches", "application/json", strings.NewReader(fmt.Sprintf(
		`{"input_file_id": %q, "endpoint": "/v1/completions", "completion_window": %q, "metadata": {"for": "a test"}}`, f["id"], window)))
	if status != 200 || b["status"] != "validating" {
		a.t.Fatal(status, b)
	}
	return b["id"].(string)
}

// until waits for a batch to be over.
func (a *batchAPI) waitFor(id string, within time.Duration, states ...string) map[string]any {
	a.t.Helper()
	var b map[string]any
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, m := a.call("GET", "/v1/batches/"+id, "", nil)
		if status != 200 {
			continue
		}
		b = m
		for _, s := range states {
			if b["status"] == s {
				return b
			}
		}
	}
	a.t.Fatalf("within %v not %v: %v", within, states, b)
	return nil
}

// results gives the lines of a batch's file, by custom id; each must stand there once.
func (a *batchAPI) results(b map[string]any, which string, into map[string]map[string]any) int {
	a.t.Helper()
	id, ok := b[which].(string)
	if !ok {
		return 0
	}
	status, text := a.raw("GET", "/v1/files/"+id+"/content", "", nil)
	if status != 200 {
		a.t.Fatal(status)
	}
	n := 0
	for scan := bufio.NewScanner(bytes.NewReader(text)); scan.Scan(); n++ {
		var l map[string]any
		if err := json.Unmarshal(scan.Bytes(), &l); err != nil {
			a.t.Fatalf("%q: %v", scan.Text(), err)
		}
		custom := l["custom_id"].(string)
		if into[custom] != nil {
			a.t.Errorf("%s has ended twice", custom)
		}
		into[custom] = l
	}
	return n
}

func errorCode(l map[string]any) string { return l["error"].(map[string]any)["code"].(string) }

func batchLines(n int, model string) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, `{"custom_id": "line%d", "method": "POST", "url": "/v1/completions", "body": {"model": %q, "prompt": "Draw up a roster, please: %d", "max_tokens": 6, "prompt_tokens": 60}}`+"\n", i, model, i)
	}
	return b.String()
}

func hashOf(key string) string {
	h := sha256.Sum256([]byte(key))
	return hex.EncodeToString(h[:])
}

// openAPI serves the batch API of a stage's dispatcher for the tenants of the keys.
func startBatchAPI(t *testing.T, deployment *scenario.Deployment, dir string, change func(p *batchrunner.Config)) *batchAPI {
	t.Helper()
	s, err := batchstore.Open(dir, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	p := batchrunner.Config{
		Tenants: []batchrunner.Tenant{{Name: "", Weight: 1}, {Name: "other", Weight: 1}}, DispatcherAddress: deployment.Addresses()[0], MaxLinesInFlight: 16, InitialBackoff: 50 * time.Millisecond, MaxLines: 1000, MaxLineBytes: 4096, Seed: 1,
		Classes: map[string]batchrunner.Class{"question": {Timeout: 2 * time.Second}, "booking": {Effect: batchscheduler.NonIdempotent, Timeout: 2 * time.Second}},
	}
	if change != nil {
		change(&p)
	}
	r, err := batchrunner.New(s, p, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	srv, err := frontend.New(ctx, s, r, frontend.Limits{MaxFileBytes: 200 << 10, MaxCompletionWindow: time.Hour, MaxHeaderBytes: 16 << 10}, map[string]string{hashOf("k1"): "", hashOf("k2"): "other"}, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 2)
	go func() { done <- r.Run(ctx) }()
	go func() { done <- srv.Serve(ctx, ln) }()
	t.Cleanup(func() {
		stop()
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		s.Close()
	})
	return &batchAPI{t, "http://" + ln.Addr().String(), "k1"}
}
