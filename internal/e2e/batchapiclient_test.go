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

// Keys of the batch API, by tenant.
const (
	mainKey  = "k1" // of the tenant without a name
	otherKey = "k2" // of the tenant "other"
	wrongKey = "k3"
)

const (
	filesPath   = "/v1/files"
	batchesPath = "/v1/batches"
)

// apiError is the part of an answer that says why a call was refused.
type apiError struct {
	Code string `json:"code"`
}

// batchObject is a batch, or an error.
type batchObject struct {
	ID            string  `json:"id"`
	Status        string  `json:"status"`
	InputFileID   string  `json:"input_file_id"`
	OutputFileID  *string `json:"output_file_id"`
	ErrorFileID   *string `json:"error_file_id"`
	RequestCounts struct {
		Total     int `json:"total"`
		Completed int `json:"completed"`
		Failed    int `json:"failed"`
	} `json:"request_counts"`
	Metadata map[string]string `json:"metadata"`
	Errors   struct {
		Data []struct {
			Code string `json:"code"`
			Line int    `json:"line"`
		} `json:"data"`
	} `json:"errors"`
	Error *apiError `json:"error"`
}

// fileObject is a file, what became of it, or an error.
type fileObject struct {
	ID      string    `json:"id"`
	Deleted bool      `json:"deleted"`
	Error   *apiError `json:"error"`
}

// fileList is a page of files, or an error.
type fileList struct {
	Data    []fileObject `json:"data"`
	HasMore bool         `json:"has_more"`
	LastID  string       `json:"last_id"`
	Error   *apiError    `json:"error"`
}

// hasCode reports whether an error has a code; a missing error has none.
func (e *apiError) hasCode(code string) bool { return e != nil && e.Code == code }

// resultLine is a line of a batch's results or errors.
type resultLine struct {
	CustomID string `json:"custom_id"`
	Response *struct {
		Body struct {
			Choices []struct {
				Text string `json:"text"`
			} `json:"choices"`
		} `json:"body"`
	} `json:"response"`
	Error *apiError `json:"error"`
}

// batchAPI calls a batch API with a key.
type batchAPI struct {
	t       *testing.T
	address string // URL without a path
	key     string
}

// call makes a call, decodes its answer into reply and returns its status code, which is 0 if there was no answer.
func (a *batchAPI) call(method, path, contentType string, body io.Reader, reply any) int {
	a.t.Helper()
	statusCode, text := a.callRaw(method, path, contentType, body)
	if err := json.Unmarshal(text, reply); err != nil {
		a.t.Fatalf("%s %s: %d, %q: %v", method, path, statusCode, text, err)
	}
	return statusCode
}

// callRaw makes a call and returns its status code and body: 0 and an empty object if there was no answer.
func (a *batchAPI) callRaw(method, path, contentType string, body io.Reader) (int, []byte) {
	a.t.Helper()
	request, err := http.NewRequest(method, a.address+path, body)
	if err != nil {
		a.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+a.key)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	noAnswer := []byte("{}")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, noAnswer
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, noAnswer
	}
	return response.StatusCode, text
}

// upload uploads a file with a text.
func (a *batchAPI) upload(text string) (int, *fileObject) {
	a.t.Helper()
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	if err := form.WriteField("purpose", "batch"); err != nil {
		a.t.Fatal(err)
	}
	part, err := form.CreateFormFile("file", "lines.jsonl")
	if err != nil {
		a.t.Fatal(err)
	}
	if _, err := io.WriteString(part, text); err != nil {
		a.t.Fatal(err)
	}
	form.Close()
	file := &fileObject{}
	return a.call(http.MethodPost, filesPath, form.FormDataContentType(), &body, file), file
}

// submit uploads a file, creates its batch and returns the batch's ID.
func (a *batchAPI) submit(text, window string) string {
	a.t.Helper()
	statusCode, file := a.upload(text)
	if statusCode != http.StatusOK {
		a.t.Fatal(statusCode, file)
	}
	body := fmt.Sprintf(`{"input_file_id": %q, "endpoint": "/v1/completions", "completion_window": %q,
		"metadata": {"for": "a test"}}`, file.ID, window)
	var batch batchObject
	statusCode = a.call(http.MethodPost, batchesPath, "application/json", strings.NewReader(body), &batch)
	if statusCode != http.StatusOK || batch.Status != "validating" {
		a.t.Fatal(statusCode, batch)
	}
	return batch.ID
}

// waitFor waits until a batch has a status. Calls without an answer are repeated.
func (a *batchAPI) waitFor(id string, timeout time.Duration, status string) *batchObject {
	a.t.Helper()
	var last *batchObject
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		batch := &batchObject{}
		if a.call(http.MethodGet, batchesPath+"/"+id, "", nil, batch) != http.StatusOK {
			continue
		}
		last = batch
		if batch.Status == status {
			return batch
		}
	}
	a.t.Fatalf("within %v not %s: %+v", timeout, status, last)
	return nil
}

// results adds the lines of a file to lines, by custom ID, and returns their count. An ID must not be there yet.
// Without a file there are no lines.
func (a *batchAPI) results(fileID *string, lines map[string]*resultLine) int {
	a.t.Helper()
	if fileID == nil {
		return 0
	}
	statusCode, text := a.callRaw(http.MethodGet, filesPath+"/"+*fileID+"/content", "", nil)
	if statusCode != http.StatusOK {
		a.t.Fatal(statusCode)
	}
	count := 0
	for scanner := bufio.NewScanner(bytes.NewReader(text)); scanner.Scan(); count++ {
		line := &resultLine{}
		if err := json.Unmarshal(scanner.Bytes(), line); err != nil {
			a.t.Fatalf("%q: %v", scanner.Text(), err)
		}
		if lines[line.CustomID] != nil {
			a.t.Errorf("%s has ended twice", line.CustomID)
		}
		lines[line.CustomID] = line
	}
	return count
}

// batchLines returns a file of requests for a model, which is a class of requests.
func batchLines(count int, model string) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, `{"custom_id": "line%d", "method": "POST", "url": "/v1/completions", "body": {"model": %q, `+
			`"prompt": "Draw up a roster, please: %d", "max_tokens": 6, "prompt_tokens": 60}}`+"\n", i, model, i)
	}
	return text.String()
}

func hashOf(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// startBatchAPI serves the batch API of a deployment's first dispatcher, with the store in a directory. change may be
// nil.
func startBatchAPI(
	t *testing.T, deployment *scenario.Deployment, directory string, change func(*batchrunner.Config),
) *batchAPI {
	t.Helper()
	store, err := batchstore.Open(directory, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	config := batchrunner.Config{
		Tenants:           []batchrunner.Tenant{{Name: "", Weight: 1}, {Name: "other", Weight: 1}},
		DispatcherAddress: deployment.Addresses()[0],
		MaxLinesInFlight:  16,
		InitialBackoff:    50 * time.Millisecond,
		MaxLines:          1000,
		MaxLineBytes:      4096,
		Seed:              1,
		Classes: map[string]batchrunner.Class{
			"question": {Timeout: 2 * time.Second},
			"booking":  {Effect: batchscheduler.NonIdempotent, Timeout: 2 * time.Second},
		},
	}
	if change != nil {
		change(&config)
	}
	runner, err := batchrunner.New(store, config, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	limits := frontend.Limits{MaxFileBytes: 200 << 10, MaxCompletionWindow: time.Hour, MaxHeaderBytes: 16 << 10}
	tenants := map[string]string{hashOf(mainKey): "", hashOf(otherKey): "other"}
	server, err := frontend.New(ctx, store, runner, limits, tenants, discardLog)
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan error, 2)
	go func() { done <- runner.Run(ctx) }()
	go func() { done <- server.Serve(ctx, listener) }()
	t.Cleanup(func() {
		stop()
		for range 2 {
			if err := <-done; err != nil {
				t.Error(err)
			}
		}
		store.Close()
	})
	return &batchAPI{t, "http://" + listener.Addr().String(), mainKey}
}
