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

// API keys of the batch API.
const (
	mainKey    = "k1" // of the tenant with an empty name
	otherKey   = "k2" // of the tenant "other"
	unknownKey = "k3" // of no tenant
)

const (
	filesPath   = "/v1/files"
	batchesPath = "/v1/batches"
)

// apiError is the error object of a response.
type apiError struct {
	Code string `json:"code"`
}

// batchObject is a response that describes a batch, or an error response.
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

// fileObject is a response that describes a file or its deletion, or an error response.
type fileObject struct {
	ID      string    `json:"id"`
	Deleted bool      `json:"deleted"`
	Error   *apiError `json:"error"`
}

// fileList is a response with a page of files, or an error response.
type fileList struct {
	Data    []fileObject `json:"data"`
	HasMore bool         `json:"has_more"`
	LastID  string       `json:"last_id"`
	Error   *apiError    `json:"error"`
}

// hasCode reports whether the error has the given code. A nil error has no code.
func (e *apiError) hasCode(code string) bool { return e != nil && e.Code == code }

// resultLine is a line of a batch's output file or error file.
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

// batchClient calls the batch API with one API key.
type batchClient struct {
	t       *testing.T
	baseURL string
	key     string
}

// call makes a call, decodes the response into reply and returns its status code, which is 0 without a response.
func (c *batchClient) call(method, path, contentType string, body io.Reader, reply any) int {
	c.t.Helper()
	statusCode, text := c.callRaw(method, path, contentType, body)
	if err := json.Unmarshal(text, reply); err != nil {
		c.t.Fatalf("%s %s: status %d, body %q: %v", method, path, statusCode, text, err)
	}
	return statusCode
}

// callRaw makes a call and returns its status code and body: 0 and an empty JSON object without a response.
func (c *batchClient) callRaw(method, path, contentType string, body io.Reader) (int, []byte) {
	c.t.Helper()
	request, err := http.NewRequest(method, c.baseURL+path, body)
	if err != nil {
		c.t.Fatal(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	noResponse := []byte("{}")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, noResponse
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, noResponse
	}
	return response.StatusCode, text
}

// upload uploads a file and returns the status code and the response.
func (c *batchClient) upload(text string) (int, *fileObject) {
	c.t.Helper()
	var body bytes.Buffer
	form := multipart.NewWriter(&body)
	if err := form.WriteField("purpose", "batch"); err != nil {
		c.t.Fatal(err)
	}
	part, err := form.CreateFormFile("file", "lines.jsonl")
	if err != nil {
		c.t.Fatal(err)
	}
	if _, err := io.WriteString(part, text); err != nil {
		c.t.Fatal(err)
	}
	form.Close()
	file := &fileObject{}
	return c.call(http.MethodPost, filesPath, form.FormDataContentType(), &body, file), file
}

// submit uploads a file, creates a batch from it and returns the batch's ID.
func (c *batchClient) submit(text, window string) string {
	c.t.Helper()
	statusCode, file := c.upload(text)
	if statusCode != http.StatusOK {
		c.t.Fatal(statusCode, file)
	}
	body := fmt.Sprintf(`{"input_file_id": %q, "endpoint": "/v1/completions", "completion_window": %q,
		"metadata": {"for": "a test"}}`, file.ID, window)
	var batch batchObject
	statusCode = c.call(http.MethodPost, batchesPath, "application/json", strings.NewReader(body), &batch)
	if statusCode != http.StatusOK || batch.Status != "validating" {
		c.t.Fatal(statusCode, batch)
	}
	return batch.ID
}

// waitFor polls a batch until it has the status. Failed calls are repeated.
func (c *batchClient) waitFor(id string, timeout time.Duration, status string) *batchObject {
	c.t.Helper()
	var last *batchObject
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		batch := &batchObject{}
		if c.call(http.MethodGet, batchesPath+"/"+id, "", nil, batch) != http.StatusOK {
			continue
		}
		last = batch
		if batch.Status == status {
			return batch
		}
	}
	c.t.Fatalf("after %v the status is not %s: batch %+v", timeout, status, last)
	return nil
}

// readResults adds the lines of a result file to lines, by custom ID, and returns how many it read. An ID that is
// already in lines fails the test. A nil fileID stands for a file without lines.
func (c *batchClient) readResults(fileID *string, lines map[string]*resultLine) int {
	c.t.Helper()
	if fileID == nil {
		return 0
	}
	statusCode, text := c.callRaw(http.MethodGet, filesPath+"/"+*fileID+"/content", "", nil)
	if statusCode != http.StatusOK {
		c.t.Fatal(statusCode)
	}
	count := 0
	for scanner := bufio.NewScanner(bytes.NewReader(text)); scanner.Scan(); count++ {
		line := &resultLine{}
		if err := json.Unmarshal(scanner.Bytes(), line); err != nil {
			c.t.Fatalf("%q: %v", scanner.Text(), err)
		}
		if lines[line.CustomID] != nil {
			c.t.Errorf("custom ID %s has more than one result", line.CustomID)
		}
		lines[line.CustomID] = line
	}
	return count
}

// batchLines returns a batch input file with count requests. The model is the name of their request class.
func batchLines(count int, model string) string {
	var text strings.Builder
	for i := range count {
		fmt.Fprintf(&text, `{"custom_id": "line%d", "method": "POST", "url": "/v1/completions", "body": {"model": %q, `+
			`"prompt": "Draw up a roster, please: %d", "max_tokens": 6, "prompt_tokens": 60}}`+"\n", i, model, i)
	}
	return text.String()
}

// hashKey returns the hex SHA-256 of an API key, which stands for the key in configurations.
func hashKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}

// startBatchAPI serves the batch API in front of a deployment's first dispatcher, with its store in directory, and
// returns a client. change modifies the configuration of the batch runner; it may be nil.
func startBatchAPI(
	t *testing.T, deployment *scenario.Deployment, directory string, change func(*batchrunner.Config),
) *batchClient {
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
			"question": {Idempotency: batchscheduler.Idempotent, Timeout: 2 * time.Second},
			"booking":  {Idempotency: batchscheduler.NonIdempotent, Timeout: 2 * time.Second},
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
	tenants := map[string]string{hashKey(mainKey): "", hashKey(otherKey): "other"}
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
	return &batchClient{t, "http://" + listener.Addr().String(), mainKey}
}
