// Package batch is the front for files of jobs, over HTTP/1.1 and HTTP/2: files are handed in and fetched, batches made,
// looked at and cancelled, as the public description of the batch API has it. It knows its callers by their keys, streams
// contents, and decides nothing.
package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"docksail/internal/batchrunner"
	decide "docksail/internal/decide/batchscheduler"
	"docksail/internal/state/batchstore"
)

// Limits bound what one call may bring.
type Limits struct {
	MaxFileBytes        int64         // bytes of a file
	MaxCompletionWindow time.Duration // longest completion window
	MaxHeaderBytes      int
}

// Server is the front.
type Server struct {
	store  *batchstore.Store
	runner *batchrunner.Runner
	limits Limits
	keys   map[[sha256.Size]byte]string // tenant by the hash of its key
	log    *slog.Logger
	ctx    context.Context // of batches under way
}

// New makes a front; keys are the hex SHA-256 of each key, by which its tenant is known. Batches run until ctx ends.
func New(ctx context.Context, store *batchstore.Store, batchRunner *batchrunner.Runner, limits Limits, keys map[string]string, log *slog.Logger) (*Server, error) {
	s := &Server{store: store, runner: batchRunner, limits: limits, keys: map[[sha256.Size]byte]string{}, log: log, ctx: ctx}
	for hash, tenant := range keys {
		b, err := hex.DecodeString(hash)
		if err != nil || len(b) != sha256.Size {
			return nil, fmt.Errorf("key of tenant %q: %q is no SHA-256 in hex", tenant, hash)
		}
		s.keys[[sha256.Size]byte(b)] = tenant
	}
	return s, nil
}

const (
	headerTimeout         = 10 * time.Second // a caller has so long for its headers
	idleTimeout           = 2 * time.Minute
	maxJSONBytes          = 64 << 10 // of a call that is no file
	maxPageSize           = 100
	defaultPageSize       = 20
	maxMetadataEntries    = 16 // entries of a batch's metadata
	maxMetadataKeyChars   = 64 // characters
	maxMetadataValueChars = 512
)

// Serve takes calls until the context ends; calls under way have a moment to end.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: s.limits.MaxHeaderBytes, Protocols: &protocols,
		ErrorLog: slog.NewLogLogger(s.log.Handler(), slog.LevelInfo),
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		end, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		if srv.Shutdown(end) != nil {
			srv.Close()
		}
	}()
	err := srv.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return nil
	}
	return err
}

// Handler is the API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, h := range map[string]func(w http.ResponseWriter, r *http.Request, tenant string) error{
		"POST /v1/files": s.uploadFile, "GET /v1/files": s.listFiles, "GET /v1/files/{id}": s.getFile, "GET /v1/files/{id}/content": s.getContent,
		"DELETE /v1/files/{id}": s.deleteFile, "POST /v1/batches": s.createBatch, "GET /v1/batches": s.listBatches, "GET /v1/batches/{id}": s.getBatch,
		"POST /v1/batches/{id}/cancel": s.cancelBatch,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			tenant, ok := s.authenticate(r)
			if !ok {
				s.writeError(w, apiError{http.StatusUnauthorized, "invalid_request_error", "", "invalid_api_key", "no such key"})
				return
			}
			if err := h(w, r, tenant); err != nil {
				s.writeError(w, err)
			}
		})
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, apiError{http.StatusNotFound, "invalid_request_error", "", "unknown_url", "no such call: " + r.Method + " " + r.URL.Path})
	})
	return mux
}

// authenticate knows a caller by its key. What is compared is a hash that nobody can choose, so the time taken says nothing.
func (s *Server) authenticate(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	tenant, ok := s.keys[sha256.Sum256([]byte(key))]
	return tenant, ok
}

// apiError is an error in the API's own shape.
type apiError struct {
	status                     int
	kind, param, code, message string
}

func (e apiError) Error() string { return e.message }

func invalidValue(param, format string, args ...any) error {
	return apiError{http.StatusBadRequest, "invalid_request_error", param, "invalid_value", fmt.Sprintf(format, args...)}
}

func (s *Server) writeError(w http.ResponseWriter, err error) {
	var e apiError
	switch {
	case errors.As(err, &e):
	case errors.Is(err, batchstore.ErrNotFound):
		e = apiError{http.StatusNotFound, "invalid_request_error", "id", "not_found", err.Error()}
	case errors.Is(err, batchstore.ErrInvalidState):
		e = apiError{http.StatusConflict, "invalid_request_error", "", "invalid_state", err.Error()}
	case errors.Is(err, batchstore.ErrFileTooLarge):
		e = apiError{http.StatusRequestEntityTooLarge, "invalid_request_error", "file", "file_too_large", err.Error()}
	case errors.Is(err, batchstore.ErrQuotaExceeded):
		e = apiError{http.StatusForbidden, "insufficient_quota", "file", "quota_exceeded", err.Error()}
	default:
		s.log.Error("batch API", "err", err)
		e = apiError{http.StatusInternalServerError, "server_error", "", "", "the call failed here; its log says why"}
	}
	s.writeJSON(w, e.status, map[string]any{"error": map[string]any{"message": e.message, "type": e.kind, "param": nullIfEmpty(e.param), "code": nullIfEmpty(e.code)}})
}

func nullIfEmpty(s string) any {
	if s == "" {
		return nil
	}
	return s
}

func (s *Server) writeJSON(w http.ResponseWriter, status int, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(b, '\n')) // who has gone needs no answer
	return nil
}

func fileJSON(f batchstore.File) map[string]any {
	return map[string]any{
		"id": f.ID, "object": "file", "bytes": f.SizeBytes, "created_at": f.CreatedUnix, "filename": f.Name, "purpose": f.Purpose,
		"status": "processed",
	}
}

// uploadFile takes a file as multipart/form-data, without holding it in memory.
func (s *Server) uploadFile(w http.ResponseWriter, r *http.Request, tenant string) error {
	const partsRoom = 64 << 10 // for the form's own text
	r.Body = http.MaxBytesReader(w, r.Body, s.limits.MaxFileBytes+partsRoom)
	form, err := r.MultipartReader()
	if err != nil {
		return invalidValue("file", "want multipart/form-data: %v", err)
	}
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			return invalidValue("file", "the form has no file")
		}
		if err != nil {
			return invalidValue("file", "form cut off: %v", err)
		}
		switch part.FormName() {
		case "purpose":
			b, err := io.ReadAll(io.LimitReader(part, maxMetadataValueChars))
			if err != nil {
				return invalidValue("purpose", "form cut off: %v", err)
			}
			purpose = string(b)
		case "file":
			if purpose != "" && purpose != "batch" {
				return invalidValue("purpose", "%q, want batch", purpose)
			}
			f, err := s.store.UploadFile(time.Now(), tenant, part.FileName(), "batch", part, s.limits.MaxFileBytes)
			var large *http.MaxBytesError
			switch {
			case errors.As(err, &large):
				return fmt.Errorf("more than %d bytes: %w", s.limits.MaxFileBytes, batchstore.ErrFileTooLarge)
			case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, context.Canceled):
				return invalidValue("file", "the file was cut off: %v", err)
			case err != nil:
				return err
			}
			return s.writeJSON(w, http.StatusOK, fileJSON(f))
		}
	}
}

// pageParams reads a list's limits.
func pageParams(r *http.Request) (after string, most int, err error) {
	most = defaultPageSize
	if v := r.URL.Query().Get("limit"); v != "" {
		if most, err = strconv.Atoi(v); err != nil || most < 1 || most > maxPageSize {
			return "", 0, invalidValue("limit", "%q, want 1 to %d", v, maxPageSize)
		}
	}
	return r.URL.Query().Get("after"), most, nil
}

func listJSON[T any](xs []T, more bool, show func(T) map[string]any) map[string]any {
	data := make([]any, 0, len(xs))
	for _, x := range xs {
		data = append(data, show(x))
	}
	l := map[string]any{"object": "list", "data": data, "has_more": more, "first_id": nil, "last_id": nil}
	if len(xs) > 0 {
		l["first_id"], l["last_id"] = show(xs[0])["id"], show(xs[len(xs)-1])["id"]
	}
	return l
}

func (s *Server) listFiles(w http.ResponseWriter, r *http.Request, tenant string) error {
	after, most, err := pageParams(r)
	if err != nil {
		return err
	}
	page, err := s.store.Files(tenant, after, most)
	if err != nil {
		return err
	}
	return s.writeJSON(w, http.StatusOK, listJSON(page.Items, page.HasMore, fileJSON))
}

func (s *Server) getFile(w http.ResponseWriter, r *http.Request, tenant string) error {
	f, err := s.store.File(tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	return s.writeJSON(w, http.StatusOK, fileJSON(f))
}

func (s *Server) getContent(w http.ResponseWriter, r *http.Request, tenant string) error {
	f, err := s.store.OpenContent(tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	defer f.Close()
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", time.Time{}, f)
	return nil
}

func (s *Server) deleteFile(w http.ResponseWriter, r *http.Request, tenant string) error {
	id := r.PathValue("id")
	if err := s.store.DeleteFile(tenant, id); err != nil {
		return err
	}
	return s.writeJSON(w, http.StatusOK, map[string]any{"id": id, "object": "file", "deleted": true})
}

func (s *Server) createBatch(w http.ResponseWriter, r *http.Request, tenant string) error {
	var q struct {
		Input    string            `json:"input_file_id"`
		Endpoint string            `json:"endpoint"`
		Window   string            `json:"completion_window"`
		Metadata map[string]string `json:"metadata"`
	}
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxJSONBytes))
	if err := dec.Decode(&q); err != nil {
		return invalidValue("", "the body is no batch: %v", err)
	}
	window, err := time.ParseDuration(q.Window)
	switch {
	case q.Endpoint != batchrunner.CompletionsEndpoint:
		return invalidValue("endpoint", "%q, want %s", q.Endpoint, batchrunner.CompletionsEndpoint)
	case err != nil || window <= 0 || window > s.limits.MaxCompletionWindow:
		return invalidValue("completion_window", "%q, want a time of at most %v, as 24h", q.Window, s.limits.MaxCompletionWindow)
	case len(q.Metadata) > maxMetadataEntries:
		return invalidValue("metadata", "%d entries, want %d at most", len(q.Metadata), maxMetadataEntries)
	}
	for k, v := range q.Metadata {
		if len(k) > maxMetadataKeyChars || len(v) > maxMetadataValueChars {
			return invalidValue("metadata", "%.64q is longer than %d, or what it says than %d", k, maxMetadataKeyChars, maxMetadataValueChars)
		}
	}
	b, err := s.store.CreateBatch(time.Now(), batchstore.Batch{Tenant: tenant, InputFileID: q.Input, Endpoint: q.Endpoint, CompletionWindow: q.Window, Metadata: q.Metadata}, window)
	if err != nil {
		return err
	}
	s.runner.Submit(s.ctx, b)
	return s.writeJSON(w, http.StatusOK, s.batchJSON(b))
}

func (s *Server) batchJSON(b batchstore.Batch) map[string]any {
	time0 := func(t int64) any {
		if t == 0 {
			return nil
		}
		return t
	}
	at := func(s decide.BatchState) any {
		if b.State == s {
			return time0(b.EndedUnix)
		}
		return nil
	}
	m := map[string]any{
		"id": b.ID, "object": "batch", "endpoint": b.Endpoint, "input_file_id": b.InputFileID, "completion_window": b.CompletionWindow,
		"status": b.State.String(), "output_file_id": nullIfEmpty(b.OutputFileID), "error_file_id": nullIfEmpty(b.ErrorFileID), "created_at": b.CreatedUnix,
		"expires_at": b.ExpiresUnix, "in_progress_at": time0(b.InProgressUnix), "finalizing_at": time0(b.FinalizingUnix), "cancelling_at": time0(b.CancellingUnix),
		"completed_at": at(decide.StateCompleted), "failed_at": at(decide.StateFailed), "expired_at": at(decide.StateExpired), "cancelled_at": at(decide.StateCancelled),
		"request_counts": map[string]any{"total": b.TotalLines, "completed": b.CompletedLines, "failed": b.FailedLines}, "metadata": b.Metadata, "errors": nil,
	}
	if len(b.ValidationErrors) > 0 {
		var data []any
		for _, f := range b.ValidationErrors {
			e := map[string]any{"code": f.Code, "message": f.Message, "param": nil, "line": nil}
			if f.LineNumber > 0 {
				e["line"] = f.LineNumber
			}
			data = append(data, e)
		}
		m["errors"] = map[string]any{"object": "list", "data": data}
	}
	if through, ok := s.runner.Forecast(b.ID); ok && b.State == decide.StateInProgress {
		m["forecast_at"] = through.Unix() // ours: when it will be through at its present pace
	}
	return m
}

func (s *Server) getBatch(w http.ResponseWriter, r *http.Request, tenant string) error {
	b, err := s.store.Batch(tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	return s.writeJSON(w, http.StatusOK, s.batchJSON(b))
}

func (s *Server) listBatches(w http.ResponseWriter, r *http.Request, tenant string) error {
	after, most, err := pageParams(r)
	if err != nil {
		return err
	}
	page, err := s.store.Batches(tenant, after, most)
	if err != nil {
		return err
	}
	return s.writeJSON(w, http.StatusOK, listJSON(page.Items, page.HasMore, s.batchJSON))
}

func (s *Server) cancelBatch(w http.ResponseWriter, r *http.Request, tenant string) error {
	b, err := s.runner.Cancel(tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	return s.writeJSON(w, http.StatusOK, s.batchJSON(b))
}
