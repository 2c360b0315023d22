package batch

import (
	"encoding/json"
	"net/http"
	"time"

	"docksail/internal/batchrunner"
	"docksail/internal/state/batchstore"
)

const (
	// maxRequestBytes limits the body of calls other than uploads.
	maxRequestBytes = 64 << 10

	maxMetadataEntries    = 16
	maxMetadataKeyBytes   = 64
	maxMetadataValueBytes = 512
)

// createRequest is the body of the call that creates a batch.
type createRequest struct {
	InputFileID      string            `json:"input_file_id"`
	Endpoint         string            `json:"endpoint"`
	CompletionWindow string            `json:"completion_window"`
	Metadata         map[string]string `json:"metadata"`
}

// check returns the completion window, or an error that names the invalid parameter.
func (q *createRequest) check(maxWindow time.Duration) (window time.Duration, err error) {
	window, err = time.ParseDuration(q.CompletionWindow)
	switch {
	case q.Endpoint != batchrunner.CompletionsEndpoint:
		return 0, invalidValue("endpoint", "endpoint is %q, must be %s", q.Endpoint, batchrunner.CompletionsEndpoint)
	case err != nil || window <= 0 || window > maxWindow:
		return 0, invalidValue(
			"completion_window", "completion_window is %q, must be a positive duration of at most %v, such as 24h",
			q.CompletionWindow, maxWindow,
		)
	case len(q.Metadata) > maxMetadataEntries:
		return 0, invalidValue("metadata", "metadata has %d entries, must be at most %d", len(q.Metadata), maxMetadataEntries)
	}
	for key, value := range q.Metadata {
		if len(key) > maxMetadataKeyBytes || len(value) > maxMetadataValueBytes {
			return 0, invalidValue("metadata", "key %.64q is longer than %d bytes or its value is longer than %d bytes",
				key, maxMetadataKeyBytes, maxMetadataValueBytes)
		}
	}
	return window, nil
}

func (s *Server) createBatch(w http.ResponseWriter, r *http.Request, tenant string) error {
	var request createRequest
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err := decoder.Decode(&request); err != nil {
		return invalidValue("", "invalid body: %v", err)
	}
	window, err := request.check(s.limits.MaxCompletionWindow)
	if err != nil {
		return err
	}
	b, err := s.store.CreateBatch(time.Now(), batchstore.Batch{
		Tenant:           tenant,
		InputFileID:      request.InputFileID,
		Endpoint:         request.Endpoint,
		CompletionWindow: request.CompletionWindow,
		Metadata:         request.Metadata,
	}, window)
	if err != nil {
		return err
	}
	s.runner.Submit(s.batchCtx, b)
	return writeJSON(w, http.StatusOK, s.newBatchResponse(b))
}

func (s *Server) getBatch(w http.ResponseWriter, r *http.Request, tenant string) error {
	b, err := s.store.Batch(tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, s.newBatchResponse(b))
}

func (s *Server) listBatches(w http.ResponseWriter, r *http.Request, tenant string) error {
	after, limit, err := pageParams(r)
	if err != nil {
		return err
	}
	page, err := s.store.Batches(tenant, after, limit)
	if err != nil {
		return err
	}
	id := func(b batchstore.Batch) string { return b.ID }
	return writeJSON(w, http.StatusOK, newListResponse(page, s.newBatchResponse, id))
}

func (s *Server) cancelBatch(w http.ResponseWriter, r *http.Request, tenant string) error {
	b, err := s.runner.Cancel(tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, s.newBatchResponse(b))
}
