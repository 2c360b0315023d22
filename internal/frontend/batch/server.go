// Package batch serves the batch API over HTTP/1.1 and HTTP/2: clients upload and fetch files, and create, read and
// cancel batches (docs/batch.md). It authenticates clients by their keys and streams file contents.
package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"docksail/internal/batchrunner"
	"docksail/internal/state/batchstore"
)

const (
	headerTimeout   = 10 * time.Second
	idleTimeout     = 2 * time.Minute
	shutdownTimeout = time.Second
)

// Limits bounds the size of an upload, the completion window of a batch and the size of a call's headers.
type Limits struct {
	MaxFileBytes        int64
	MaxCompletionWindow time.Duration
	MaxHeaderBytes      int
}

// Server serves the batch API.
type Server struct {
	store    *batchstore.Store
	runner   *batchrunner.Runner
	limits   Limits
	tenants  map[[sha256.Size]byte]string // by the SHA-256 hash of their keys
	log      *slog.Logger
	batchCtx context.Context // context of the batches that clients create
}

// New returns a server. tenantsByKeyHash has the tenant of each key by the hexadecimal SHA-256 hash of the key. Batches
// run until ctx ends.
func New(
	ctx context.Context, store *batchstore.Store, runner *batchrunner.Runner,
	limits Limits, tenantsByKeyHash map[string]string, log *slog.Logger,
) (*Server, error) {
	tenants := map[[sha256.Size]byte]string{}
	for hash, tenant := range tenantsByKeyHash {
		b, err := hex.DecodeString(hash)
		if err != nil || len(b) != sha256.Size {
			return nil, fmt.Errorf("key hash of tenant %q is not a SHA-256 hash in hexadecimal", tenant)
		}
		tenants[[sha256.Size]byte(b)] = tenant
	}
	return &Server{store: store, runner: runner, limits: limits, tenants: tenants, log: log, batchCtx: ctx}, nil
}

// Serve serves connections of a listener until ctx ends, and then waits at most shutdownTimeout for calls in progress.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           s.Handler(),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    s.limits.MaxHeaderBytes,
		Protocols:         &protocols,
		ErrorLog:          slog.NewLogLogger(s.log.Handler(), slog.LevelInfo),
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		<-ctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		if server.Shutdown(shutdownCtx) != nil {
			server.Close()
		}
	}()
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		<-stopped
		return nil
	}
	return err
}

// handler handles a call of a tenant. If it returns an error, the error is written as the response.
type handler func(w http.ResponseWriter, r *http.Request, tenant string) error

// Handler returns the API as an http.Handler.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	for pattern, handle := range map[string]handler{
		"POST /v1/files":               s.uploadFile,
		"GET /v1/files":                s.listFiles,
		"GET /v1/files/{id}":           s.getFile,
		"GET /v1/files/{id}/content":   s.getContent,
		"DELETE /v1/files/{id}":        s.deleteFile,
		"POST /v1/batches":             s.createBatch,
		"GET /v1/batches":              s.listBatches,
		"GET /v1/batches/{id}":         s.getBatch,
		"POST /v1/batches/{id}/cancel": s.cancelBatch,
	} {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			tenant, ok := s.authenticate(r)
			if !ok {
				s.writeError(w, errInvalidKey)
				return
			}
			if err := handle(w, r, tenant); err != nil {
				s.writeError(w, err)
			}
		})
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) { s.writeError(w, unknownURL(r)) })
	return mux
}

// authenticate returns the tenant of a call's key, and false if the key is missing or unknown. It compares hashes,
// which a client cannot choose, so its duration reveals nothing about the keys.
func (s *Server) authenticate(r *http.Request) (tenant string, ok bool) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", false
	}
	tenant, ok = s.tenants[sha256.Sum256([]byte(key))]
	return tenant, ok
}
