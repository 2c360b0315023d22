package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strings"
	"time"
)

const batchKey = "a-key-of-the-case"

// batchKeyHash returns the hash of batchKey for the settings.
func batchKeyHash() string {
	hash := sha256.Sum256([]byte(batchKey))
	return hex.EncodeToString(hash[:])
}

// batchAPI is a client of the batch API.
type batchAPI struct {
	url     string
	inputID string // of the file that was uploaded last
}

func (b *batchAPI) call(method, path, contentType string, body io.Reader, answer any) error {
	request, err := http.NewRequest(method, b.url+path, body)
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer "+batchKey)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: %s, %s", method, path, response.Status, text)
	}
	return json.Unmarshal(text, answer)
}

func (b *batchAPI) waitUntilUp() error {
	var list struct{}
	var err error
	for range 100 {
		if err = b.call(http.MethodGet, "/v1/batches", "", nil, &list); err == nil {
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return err
}

// submit uploads a file of lines of a class and makes a batch of it.
func (b *batchAPI) submit(class string, lines, maxTokens int, window string) (id string, err error) {
	var text strings.Builder
	for i := range lines {
		fmt.Fprintf(&text, `{"custom_id":"line-%d","method":"POST","url":"/v1/completions",`+
			`"body":{"model":%q,"prompt":"a reminder for shift %d","max_tokens":%d}}`+"\n", i, class, i, maxTokens)
	}
	var form bytes.Buffer
	writer := multipart.NewWriter(&form)
	if err := writer.WriteField("purpose", "batch"); err != nil {
		return "", err
	}
	part, err := writer.CreateFormFile("file", "lines.jsonl")
	if err != nil {
		return "", err
	}
	if _, err := io.WriteString(part, text.String()); err != nil {
		return "", err
	}
	if err := writer.Close(); err != nil {
		return "", err
	}
	var made struct {
		ID string `json:"id"`
	}
	if err := b.call(http.MethodPost, "/v1/files", writer.FormDataContentType(), &form, &made); err != nil {
		return "", err
	}
	b.inputID = made.ID
	body, err := json.Marshal(map[string]string{
		"input_file_id": made.ID, "endpoint": "/v1/completions", "completion_window": window,
	})
	if err != nil {
		return "", err
	}
	err = b.call(http.MethodPost, "/v1/batches", "application/json", bytes.NewReader(body), &made)
	return made.ID, err
}

// batchState is what the API says of a batch.
type batchState struct {
	Status       string                                 `json:"status"`
	OutputFileID string                                 `json:"output_file_id"`
	ErrorFileID  string                                 `json:"error_file_id"`
	Counts       struct{ Total, Completed, Failed int } `json:"request_counts"`
}

// hasEnded reports whether the batch is in a state that it will not leave.
func (s *batchState) hasEnded() bool {
	return s.Status == "completed" || s.Status == "failed" || s.Status == "expired" || s.Status == "cancelled"
}

func (b *batchAPI) state(id string) (state batchState, err error) {
	err = b.call(http.MethodGet, "/v1/batches/"+id, "", nil, &state)
	return state, err
}
