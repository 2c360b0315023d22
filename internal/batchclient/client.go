// Package batchclient is a client of docksail's HTTP API for batches and files.
package batchclient

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"docksail/internal/batchrunner"
)

const (
	filesPath   = "/v1/files"
	batchesPath = "/v1/batches"
)

// Client calls the batch API at an address.
type Client struct {
	Address string // for example http://127.0.0.1:7610
	APIKey  string // sent as the bearer token
}

// ResponseError is a response of the API with a status other than 2xx.
type ResponseError struct {
	Method  string
	Path    string
	Status  string
	Message string // from the API's error response; may be empty
}

// Error implements error.
func (e *ResponseError) Error() string {
	return fmt.Sprintf("%s %s: %s: %s", e.Method, e.Path, e.Status, e.Message)
}

// Submit uploads an input file, creates a batch from it and returns the batch.
func (c *Client) Submit(ctx context.Context, fileName, completionWindow string) (*Batch, error) {
	fileID, err := c.upload(ctx, fileName)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(map[string]any{
		"input_file_id": fileID, "endpoint": batchrunner.CompletionsEndpoint, "completion_window": completionWindow,
	})
	if err != nil {
		return nil, err
	}
	batch := &Batch{}
	return batch, c.callJSON(ctx, http.MethodPost, batchesPath, "application/json", bytes.NewReader(body), batch)
}

// upload sends a file and returns its ID.
func (c *Client) upload(ctx context.Context, name string) (id string, err error) {
	file, err := os.Open(name)
	if err != nil {
		return "", err
	}
	defer file.Close()
	body, formWriter := io.Pipe()
	form := multipart.NewWriter(formWriter)
	go func() {
		formWriter.CloseWithError(errors.Join(writeForm(form, filepath.Base(name), file), form.Close()))
	}()
	var uploaded struct{ ID string }
	err = c.callJSON(ctx, http.MethodPost, filesPath, form.FormDataContentType(), body, &uploaded)
	return uploaded.ID, err
}

// writeForm writes the fields of an upload.
func writeForm(form *multipart.Writer, fileName string, content io.Reader) error {
	if err := form.WriteField("purpose", "batch"); err != nil {
		return err
	}
	part, err := form.CreateFormFile("file", fileName)
	if err != nil {
		return err
	}
	_, err = io.Copy(part, content)
	return err
}

// Batch returns the batch with that ID.
func (c *Client) Batch(ctx context.Context, id string) (*Batch, error) {
	batch := &Batch{}
	return batch, c.callJSON(ctx, http.MethodGet, batchesPath+"/"+id, "", nil, batch)
}

// Cancel requests the cancellation of a batch and returns the updated batch.
func (c *Client) Cancel(ctx context.Context, id string) (*Batch, error) {
	batch := &Batch{}
	return batch, c.callJSON(ctx, http.MethodPost, batchesPath+"/"+id+"/cancel", "", nil, batch)
}

// CopyContent copies the content of a file to w.
func (c *Client) CopyContent(ctx context.Context, fileID string, w io.Writer) error {
	response, err := c.call(ctx, http.MethodGet, filesPath+"/"+fileID+"/content", "", nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(w, response.Body)
	return err
}

// callJSON makes a call and decodes the body of its response into result.
func (c *Client) callJSON(ctx context.Context, method, path, contentType string, body io.Reader, result any) error {
	response, err := c.call(ctx, method, path, contentType, body)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	return json.NewDecoder(response.Body).Decode(result)
}

// call makes a call and returns its response, whose body the caller closes. The error is a *ResponseError if the
// status is not 2xx.
func (c *Client) call(ctx context.Context, method, path, contentType string, body io.Reader) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.Address, "/")+path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Authorization", "Bearer "+c.APIKey)
	if contentType != "" {
		request.Header.Set("Content-Type", contentType)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	if response.StatusCode/100 == 2 {
		return response, nil
	}
	defer response.Body.Close()
	var failure struct {
		Error struct{ Message string }
	}
	// A body in another format, for example from a proxy, leaves the message empty.
	_ = json.NewDecoder(response.Body).Decode(&failure)
	return nil, &ResponseError{Method: method, Path: path, Status: response.Status, Message: failure.Error.Message}
}
