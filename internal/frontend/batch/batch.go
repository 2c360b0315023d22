// Package batch is the front for files of jobs, over HTTP/1.1 and HTTP/2: files are handed in and fetched, batches made,
// looked at and cancelled, as the public description of the batch API has it. It knows its callers by their keys, streams
// contents, and decides nothing.
package batch

import (
	"context"
	"crypto/sha256"
	"docksail/internal/batchrunner"
	"docksail/internal/state/batchstore"
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

	decide "docksail/internal/decide/batchscheduler"
)

// Limits bound what one call may bring.
type Limits struct {
	File    int64         // bytes of a file
	Window  time.Duration // longest completion window
	Headers int
}

// Server is the front.
type Server struct {
	s    *batchstore.Store
	r    *batchrunner.Runner
	lim  Limits
	keys map[[sha256.Size]byte]string // tenant by the hash of its key
	log  *slog.Logger
	ctx  context.Context // of batches under way
}

// New makes a front; keys are the hex SHA-256 of each key, by which its tenant is known. Batches run until ctx ends.
func New(ctx context.Context, s *batchstore.Store, r *batchrunner.Runner, lim Limits, keys map[string]string, log *slog.Logger) (*Server, error) {
	x := &Server{s: s, r: r, lim: lim, keys: map[[sha256.Size]byte]string{}, log: log, ctx: ctx}
	for hash, tenant := range keys {
		b, err := hex.DecodeString(hash)
		if err != nil || len(b) != sha256.Size {
			return nil, fmt.Errorf("key of tenant %q: %q is no SHA-256 in hex", tenant, hash)
		}
		x.keys[[sha256.Size]byte(b)] = tenant
	}
	return x, nil
}

const (
	headTime  = 10 * time.Second // a caller has so long for its headers
	idleTime  = 2 * time.Minute
	jsonBytes = 64 << 10 // of a call that is no file
	mostList  = 100
	usualList = 20
	mostMeta  = 16 // entries of a batch's metadata
	metaKey   = 64 // characters
	metaValue = 512
)

// Serve takes calls until the context ends; calls under way have a moment to end.
func (x *Server) Serve(ctx context.Context, ln net.Listener) error {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	srv := &http.Server{
		Handler: x.Handler(), ReadHeaderTimeout: headTime, IdleTimeout: idleTime, MaxHeaderBytes: x.lim.Headers, Protocols: &protocols,
		ErrorLog: slog.NewLogLogger(x.log.Handler(), slog.LevelInfo),
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
func (x *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, h := range map[string]func(w http.ResponseWriter, r *http.Request, tenant string) error{
		"POST /v1/files": x.upload, "GET /v1/files": x.files, "GET /v1/files/{id}": x.file, "GET /v1/files/{id}/content": x.content,
		"DELETE /v1/files/{id}": x.remove, "POST /v1/batches": x.create, "GET /v1/batches": x.batches, "GET /v1/batches/{id}": x.batch,
		"POST /v1/batches/{id}/cancel": x.cancel,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			tenant, ok := x.tenant(r)
			if !ok {
				x.fail(w, apiError{http.StatusUnauthorized, "invalid_request_error", "", "invalid_api_key", "no such key"})
				return
			}
			if err := h(w, r, tenant); err != nil {
				x.fail(w, err)
			}
		})
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		x.fail(w, apiError{http.StatusNotFound, "invalid_request_error", "", "unknown_url", "no such call: " + r.Method + " " + r.URL.Path})
	})
	return mux
}

// tenant knows a caller by its key. What is compared is a hash that nobody can choose, so the time taken says nothing.
func (x *Server) tenant(r *http.Request) (string, bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	tenant, ok := x.keys[sha256.Sum256([]byte(key))]
	return tenant, ok
}

// apiError is an error in the API's own shape.
type apiError struct {
	status                     int
	kind, param, code, message string
}

func (e apiError) Error() string { return e.message }

func bad(param, format string, args ...any) error {
	return apiError{http.StatusBadRequest, "invalid_request_error", param, "invalid_value", fmt.Sprintf(format, args...)}
}

func (x *Server) fail(w http.ResponseWriter, err error) {
	var e apiError
	switch {
	case errors.As(err, &e):
	case errors.Is(err, batchstore.ErrNone):
		e = apiError{http.StatusNotFound, "invalid_request_error", "id", "not_found", err.Error()}
	case errors.Is(err, batchstore.ErrState):
		e = apiError{http.StatusConflict, "invalid_request_error", "", "invalid_state", err.Error()}
	case errors.Is(err, batchstore.ErrLarge):
		e = apiError{http.StatusRequestEntityTooLarge, "invalid_request_error", "file", "file_too_large", err.Error()}
	case errors.Is(err, batchstore.ErrQuota):
		e = apiError{http.StatusForbidden, "insufficient_quota", "file", "quota_exceeded", err.Error()}
	default:
		x.log.Error("batch API", "err", err)
		e = apiError{http.StatusInternalServerError, "server_error", "", "", "the call failed here; its log says why"}
	}
	x.answer(w, e.status, map[string]any{"error": map[string]any{"message": e.message, "type": e.kind, "param": orNull(e.param), "code": orNull(e.code)}})
}

func orNull(s string) any {
	if s == "" {
		return nil
	}
	return s
}

func (x *Server) answer(w http.ResponseWriter, status int, v any) error {
	b, err := json.Marshal(v)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	w.Write(append(b, '\n')) // who has gone needs no answer
	return nil
}

func showFile(f batchstore.File) map[string]any {
	return map[string]any{
		"id": f.ID, "object": "file", "bytes": f.Bytes, "created_at": f.Created, "filename": f.Name, "purpose": f.Purpose,
		"status": "processed",
	}
}

// upload takes a file as multipart/form-data, without holding it in memory.
func (x *Server) upload(w http.ResponseWriter, r *http.Request, tenant string) error {
	const partsRoom = 64 << 10 // for the form's own text
	r.Body = http.MaxBytesReader(w, r.Body, x.lim.File+partsRoom)
	form, err := r.MultipartReader()
	if err != nil {
		return bad("file", "want multipart/form-data: %v", err)
	}
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			return bad("file", "the form has no file")
		}
		if err != nil {
			return bad("file", "form cut off: %v", err)
		}
		switch part.FormName() {
		case "purpose":
			b, err := io.ReadAll(io.LimitReader(part, metaValue))
			if err != nil {
				return bad("purpose", "form cut off: %v", err)
			}
			purpose = string(b)
		case "file":
			if purpose != "" && purpose != "batch" {
				return bad("purpose", "%q, want batch", purpose)
			}
			f, err := x.s.Upload(time.Now(), tenant, part.FileName(), "batch", part, x.lim.File)
			var large *http.MaxBytesError
			switch {
			case errors.As(err, &large):
				return fmt.Errorf("more than %d bytes: %w", x.lim.File, batchstore.ErrLarge)
			case errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, context.Canceled):
				return bad("file", "the file was cut off: %v", err)
			case err != nil:
				return err
			}
			return x.answer(w, http.StatusOK, showFile(f))
		}
	}
}

// page reads a list's limits.
func page(r *http.Request) (after string, most int, err error) {
	most = usualList
	if v := r.URL.Query().Get("limit"); v != "" {
		if most, err = strconv.Atoi(v); err != nil || most < 1 || most > mostList {
			return "", 0, bad("limit", "%q, want 1 to %d", v, mostList)
		}
	}
	return r.URL.Query().Get("after"), most, nil
}

func shown[T any](xs []T, more bool, show func(T) map[string]any) map[string]any {
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

func (x *Server) files(w http.ResponseWriter, r *http.Request, tenant string) error {
	after, most, err := page(r)
	if err != nil {
		return err
	}
	fs, more, err := x.s.Files(tenant, after, most)
	if err != nil {
		return err
	}
	return x.answer(w, http.StatusOK, shown(fs, more, showFile))
}

func (x *Server) file(w http.ResponseWriter, r *http.Request, tenant string) error {
	f, err := x.s.File(tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	return x.answer(w, http.StatusOK, showFile(f))
}

func (x *Server) content(w http.ResponseWriter, r *http.Request, tenant string) error {
	f, err := x.s.Content(tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	defer f.Close()
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", time.Time{}, f)
	return nil
}

func (x *Server) remove(w http.ResponseWriter, r *http.Request, tenant string) error {
	id := r.PathValue("id")
	if err := x.s.Delete(tenant, id); err != nil {
		return err
	}
	return x.answer(w, http.StatusOK, map[string]any{"id": id, "object": "file", "deleted": true})
}

func (x *Server) create(w http.ResponseWriter, r *http.Request, tenant string) error {
	var q struct {
		Input    string            `json:"input_file_id"`
		Endpoint string            `json:"endpoint"`
		Window   string            `json:"completion_window"`
		Metadata map[string]string `json:"metadata"`
	}
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, jsonBytes))
	if err := dec.Decode(&q); err != nil {
		return bad("", "the body is no batch: %v", err)
	}
	window, err := time.ParseDuration(q.Window)
	switch {
	case q.Endpoint != batchrunner.Endpoint:
		return bad("endpoint", "%q, want %s", q.Endpoint, batchrunner.Endpoint)
	case err != nil || window <= 0 || window > x.lim.Window:
		return bad("completion_window", "%q, want a time of at most %v, as 24h", q.Window, x.lim.Window)
	case len(q.Metadata) > mostMeta:
		return bad("metadata", "%d entries, want %d at most", len(q.Metadata), mostMeta)
	}
	for k, v := range q.Metadata {
		if len(k) > metaKey || len(v) > metaValue {
			return bad("metadata", "%.64q is longer than %d, or what it says than %d", k, metaKey, metaValue)
		}
	}
	b, err := x.s.Create(time.Now(), batchstore.Batch{Tenant: tenant, Input: q.Input, Endpoint: q.Endpoint, Window: q.Window, Metadata: q.Metadata}, window)
	if err != nil {
		return err
	}
	x.r.Submit(x.ctx, b)
	return x.answer(w, http.StatusOK, x.show(b))
}

func (x *Server) show(b batchstore.Batch) map[string]any {
	time0 := func(t int64) any {
		if t == 0 {
			return nil
		}
		return t
	}
	at := func(s decide.State) any {
		if b.State == s {
			return time0(b.Ended)
		}
		return nil
	}
	m := map[string]any{
		"id": b.ID, "object": "batch", "endpoint": b.Endpoint, "input_file_id": b.Input, "completion_window": b.Window,
		"status": b.State.String(), "output_file_id": orNull(b.Output), "error_file_id": orNull(b.Errors), "created_at": b.Created,
		"expires_at": b.Expires, "in_progress_at": time0(b.InProgress), "finalizing_at": time0(b.Finalizing), "cancelling_at": time0(b.Cancelling),
		"completed_at": at(decide.Completed), "failed_at": at(decide.Failed), "expired_at": at(decide.Expired), "cancelled_at": at(decide.Cancelled),
		"request_counts": map[string]any{"total": b.Total, "completed": b.Done, "failed": b.Lost}, "metadata": b.Metadata, "errors": nil,
	}
	if len(b.Faults) > 0 {
		var data []any
		for _, f := range b.Faults {
			e := map[string]any{"code": f.Code, "message": f.Message, "param": nil, "line": nil}
			if f.Line > 0 {
				e["line"] = f.Line
			}
			data = append(data, e)
		}
		m["errors"] = map[string]any{"object": "list", "data": data}
	}
	if through, ok := x.r.Forecast(b.ID); ok && b.State == decide.InProgress {
		m["forecast_at"] = through.Unix() // ours: when it will be through at its present pace
	}
	return m
}

func (x *Server) batch(w http.ResponseWriter, r *http.Request, tenant string) error {
	b, err := x.s.Batch(tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	return x.answer(w, http.StatusOK, x.show(b))
}

func (x *Server) batches(w http.ResponseWriter, r *http.Request, tenant string) error {
	after, most, err := page(r)
	if err != nil {
		return err
	}
	bs, more, err := x.s.Batches(tenant, after, most)
	if err != nil {
		return err
	}
	return x.answer(w, http.StatusOK, shown(bs, more, x.show))
}

func (x *Server) cancel(w http.ResponseWriter, r *http.Request, tenant string) error {
	b, err := x.r.Cancel(tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	return x.answer(w, http.StatusOK, x.show(b))
}
