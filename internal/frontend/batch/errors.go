package batch

import (
	"errors"
	"fmt"
	"net/http"

	"docksail/internal/state/batchstore"
)

// Error types of the API.
const (
	typeInvalidRequest    = "invalid_request_error"
	typeInsufficientQuota = "insufficient_quota"
	typeServerError       = "server_error"
)

// apiError is an error response of the API.
type apiError struct {
	status    int    // of the HTTP response
	errorType string // one of the type constants
	param     string // name of the invalid parameter; may be empty
	code      string // may be empty
	message   string
}

// Error implements error.
func (e *apiError) Error() string { return e.message }

var (
	errInvalidKey = &apiError{
		status: http.StatusUnauthorized, errorType: typeInvalidRequest, code: "invalid_api_key", message: "invalid API key",
	}
	errInternal = &apiError{
		status: http.StatusInternalServerError, errorType: typeServerError,
		message: "internal error, see the log of the server",
	}
)

// unknownURL returns the error of a call with a method and path that the API does not have.
func unknownURL(r *http.Request) *apiError {
	return &apiError{
		status: http.StatusNotFound, errorType: typeInvalidRequest, code: "unknown_url",
		message: "unknown method or path: " + r.Method + " " + r.URL.Path,
	}
}

// invalidValue returns the error of a call with an invalid parameter.
func invalidValue(param, format string, args ...any) error {
	return &apiError{
		status: http.StatusBadRequest, errorType: typeInvalidRequest, param: param, code: "invalid_value",
		message: fmt.Sprintf(format, args...),
	}
}

// asAPIError converts an error to an error response: an *apiError stays as it is, a store error that the client caused
// keeps its text, and any other error becomes errInternal.
func asAPIError(err error) *apiError {
	if apiErr, ok := errors.AsType[*apiError](err); ok {
		return apiErr
	}
	apiErr := &apiError{errorType: typeInvalidRequest, message: err.Error()}
	switch {
	case errors.Is(err, batchstore.ErrNotFound):
		apiErr.status, apiErr.param, apiErr.code = http.StatusNotFound, "id", "not_found"
	case errors.Is(err, batchstore.ErrInvalidState):
		apiErr.status, apiErr.code = http.StatusConflict, "invalid_state"
	case errors.Is(err, batchstore.ErrFileTooLarge):
		apiErr.status, apiErr.param, apiErr.code = http.StatusRequestEntityTooLarge, "file", "file_too_large"
	case errors.Is(err, batchstore.ErrQuotaExceeded):
		apiErr.errorType = typeInsufficientQuota
		apiErr.status, apiErr.param, apiErr.code = http.StatusForbidden, "file", "quota_exceeded"
	default:
		return errInternal
	}
	return apiErr
}

// writeError writes an error as the response. It logs an internal error.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	apiErr := asAPIError(err)
	if apiErr == errInternal {
		s.log.Error("batch api call failed", "error", err)
	}
	body := errorResponse{Error: errorBody{
		Code: nullIfEmpty(apiErr.code), Message: apiErr.message, Param: nullIfEmpty(apiErr.param), Type: apiErr.errorType,
	}}
	if err := writeJSON(w, apiErr.status, body); err != nil {
		s.log.Error("batch API error not written", "error", err)
	}
}
