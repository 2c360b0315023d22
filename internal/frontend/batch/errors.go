package batch

import (
	"errors"
	"fmt"
	"net/http"

	"docksail/internal/state/batchstore"
)

// Types of errors, as the API shows them.
const (
	typeInvalidRequest    = "invalid_request_error"
	typeInsufficientQuota = "insufficient_quota"
	typeServerError       = "server_error"
)

// apiError is an error as the API shows it.
type apiError struct {
	status    int    // of the HTTP response
	errorType string // one of the type constants
	param     string // name of the parameter that is at fault; may be empty
	code      string // may be empty
	message   string
}

// Error implements error.
func (e *apiError) Error() string { return e.message }

var (
	errInvalidKey = &apiError{
		status: http.StatusUnauthorized, errorType: typeInvalidRequest, code: "invalid_api_key", message: "no such key",
	}
	errInternal = &apiError{
		status: http.StatusInternalServerError, errorType: typeServerError,
		message: "the call failed here; its log says why",
	}
)

// unknownURL returns the error of a call that the API does not have.
func unknownURL(r *http.Request) *apiError {
	return &apiError{
		status: http.StatusNotFound, errorType: typeInvalidRequest, code: "unknown_url",
		message: "no such call: " + r.Method + " " + r.URL.Path,
	}
}

// invalidValue returns the error of a call with an invalid parameter.
func invalidValue(param, format string, args ...any) error {
	return &apiError{
		status: http.StatusBadRequest, errorType: typeInvalidRequest, param: param, code: "invalid_value",
		message: fmt.Sprintf(format, args...),
	}
}

// asAPIError returns an error as the API shows it: an internal error if it is neither an *apiError nor one of the
// store's errors that are the client's.
func asAPIError(err error) *apiError {
	if shown, ok := errors.AsType[*apiError](err); ok {
		return shown
	}
	shown := &apiError{errorType: typeInvalidRequest, message: err.Error()}
	switch {
	case errors.Is(err, batchstore.ErrNotFound):
		shown.status, shown.param, shown.code = http.StatusNotFound, "id", "not_found"
	case errors.Is(err, batchstore.ErrInvalidState):
		shown.status, shown.code = http.StatusConflict, "invalid_state"
	case errors.Is(err, batchstore.ErrFileTooLarge):
		shown.status, shown.param, shown.code = http.StatusRequestEntityTooLarge, "file", "file_too_large"
	case errors.Is(err, batchstore.ErrQuotaExceeded):
		shown.errorType = typeInsufficientQuota
		shown.status, shown.param, shown.code = http.StatusForbidden, "file", "quota_exceeded"
	default:
		return errInternal
	}
	return shown
}

// writeError writes an error as the response. It logs an error that is not the client's.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	shown := asAPIError(err)
	if shown == errInternal {
		s.log.Error("batch api call failed", "error", err)
	}
	body := errorResponse{Error: errorBody{
		Code: nullIfEmpty(shown.code), Message: shown.message, Param: nullIfEmpty(shown.param), Type: shown.errorType,
	}}
	if err := writeJSON(w, shown.status, body); err != nil {
		s.log.Error("batch API error not written", "error", err)
	}
}
