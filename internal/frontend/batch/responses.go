package batch

import (
	"encoding/json"
	"net/http"

	"docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
)

// Object types of the API.
const (
	objectFile  = "file"
	objectBatch = "batch"
	objectList  = "list"
)

// The fields of the response types are in the order of their JSON names. A field of a pointer type is null while its
// value is not known.

type errorResponse struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Code    *string `json:"code"`
	Message string  `json:"message"`
	Param   *string `json:"param"`
	Type    string  `json:"type"`
}

type listResponse[T any] struct {
	Data    []T     `json:"data"`
	FirstID *string `json:"first_id"`
	HasMore bool    `json:"has_more"`
	LastID  *string `json:"last_id"`
	Object  string  `json:"object"`
}

type fileResponse struct {
	Bytes     int64  `json:"bytes"`
	CreatedAt int64  `json:"created_at"`
	FileName  string `json:"filename"`
	ID        string `json:"id"`
	Object    string `json:"object"`
	Purpose   string `json:"purpose"`
	Status    string `json:"status"`
}

type deletionResponse struct {
	Deleted bool   `json:"deleted"`
	ID      string `json:"id"`
	Object  string `json:"object"`
}

type batchResponse struct {
	CancelledAt      *int64                `json:"cancelled_at"`
	CancellingAt     *int64                `json:"cancelling_at"`
	CompletedAt      *int64                `json:"completed_at"`
	CompletionWindow string                `json:"completion_window"`
	CreatedAt        int64                 `json:"created_at"`
	Endpoint         string                `json:"endpoint"`
	ErrorFileID      *string               `json:"error_file_id"`
	Errors           *validationErrorsList `json:"errors"`
	ExpiredAt        *int64                `json:"expired_at"`
	ExpiresAt        int64                 `json:"expires_at"`
	FailedAt         *int64                `json:"failed_at"`
	FinalizingAt     *int64                `json:"finalizing_at"`
	ForecastAt       *int64                `json:"forecast_at,omitempty"` // extension of the API: estimated end
	ID               string                `json:"id"`
	InProgressAt     *int64                `json:"in_progress_at"`
	InputFileID      string                `json:"input_file_id"`
	Metadata         map[string]string     `json:"metadata"`
	Object           string                `json:"object"`
	OutputFileID     *string               `json:"output_file_id"`
	RequestCounts    requestCounts         `json:"request_counts"`
	Status           string                `json:"status"`
}

type requestCounts struct {
	Completed int `json:"completed"`
	Failed    int `json:"failed"`
	Total     int `json:"total"`
}

type validationErrorsList struct {
	Data   []validationError `json:"data"`
	Object string            `json:"object"`
}

type validationError struct {
	Code    string  `json:"code"`
	Line    *int    `json:"line"` // null = the whole file
	Message string  `json:"message"`
	Param   *string `json:"param"` // always null
}

// nullIfEmpty returns nil for an empty string.
func nullIfEmpty(s string) *string {
	if s == "" {
		return nil
	}
	return &s
}

// nullIfZero returns nil for the time 0, which stands for a state not reached yet.
func nullIfZero(unix int64) *int64 {
	if unix == 0 {
		return nil
	}
	return &unix
}

// writeJSON writes a value as the response.
func writeJSON(w http.ResponseWriter, status int, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(encoded, '\n')) // fails only if the client has disconnected
	return nil
}

// newListResponse returns the response for a page of a list. convert returns the response of an item, id the item's ID.
func newListResponse[T, R any](page batchstore.Page[T], convert func(T) R, id func(T) string) listResponse[R] {
	list := listResponse[R]{Data: make([]R, 0, len(page.Items)), HasMore: page.HasMore, Object: objectList}
	for _, item := range page.Items {
		list.Data = append(list.Data, convert(item))
	}
	if n := len(page.Items); n > 0 {
		list.FirstID, list.LastID = new(id(page.Items[0])), new(id(page.Items[n-1]))
	}
	return list
}

func newFileResponse(f batchstore.File) fileResponse {
	return fileResponse{
		Bytes: f.SizeBytes, CreatedAt: f.CreatedUnix, FileName: f.Name, ID: f.ID, Object: objectFile, Purpose: f.Purpose,
		Status: "processed",
	}
}

func (s *Server) newBatchResponse(b batchstore.Batch) batchResponse {
	endedAt := func(state batchscheduler.BatchState) *int64 {
		if b.State != state {
			return nil
		}
		return nullIfZero(b.EndedUnix)
	}
	response := batchResponse{
		CancelledAt:      endedAt(batchscheduler.StateCancelled),
		CancellingAt:     nullIfZero(b.CancellingUnix),
		CompletedAt:      endedAt(batchscheduler.StateCompleted),
		CompletionWindow: b.CompletionWindow,
		CreatedAt:        b.CreatedUnix,
		Endpoint:         b.Endpoint,
		ErrorFileID:      nullIfEmpty(b.ErrorFileID),
		Errors:           newValidationErrorsList(b.ValidationErrors),
		ExpiredAt:        endedAt(batchscheduler.StateExpired),
		ExpiresAt:        b.ExpiresUnix,
		FailedAt:         endedAt(batchscheduler.StateFailed),
		FinalizingAt:     nullIfZero(b.FinalizingUnix),
		ID:               b.ID,
		InProgressAt:     nullIfZero(b.InProgressUnix),
		InputFileID:      b.InputFileID,
		Metadata:         b.Metadata,
		Object:           objectBatch,
		OutputFileID:     nullIfEmpty(b.OutputFileID),
		RequestCounts:    requestCounts{Completed: b.CompletedLines, Failed: b.FailedLines, Total: b.TotalLines},
		Status:           b.State.String(),
	}
	if at, ok := s.runner.Forecast(b.ID); ok && b.State == batchscheduler.StateInProgress {
		response.ForecastAt = new(at.Unix())
	}
	return response
}

// newValidationErrorsList returns the list of validation errors, or nil if there are none.
func newValidationErrorsList(errors []batchstore.ValidationError) *validationErrorsList {
	if len(errors) == 0 {
		return nil
	}
	list := &validationErrorsList{Object: objectList}
	for _, e := range errors {
		response := validationError{Code: e.Code, Message: e.Message}
		if e.LineNumber > 0 {
			response.Line = &e.LineNumber
		}
		list.Data = append(list.Data, response)
	}
	return list
}
