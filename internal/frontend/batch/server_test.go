package batch

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"log/slog"
	"mime/multipart"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"docksail/internal/batchrunner"
	"docksail/internal/state/batchstore"
)

// responsesFile has the API's responses as of commit 61b72d4 except for the texts of error messages, with new IDs and
// times replaced by normalize. TestResponses rewrites the file if DOCKSAIL_WRITE_RESPONSES is set.
const responsesFile = "testdata/responses-61b72d4.txt"

// storeDir is a store's directory with batches in several states.
const storeDir = "../../state/batchstore/testdata/format-61b72d4"

const (
	inputFileID  = "file-0102030405060708090a0b0c"
	outputFileID = "file-3132333435363738393a3b3co"
)

// keyHash returns the SHA-256 hash of a key in hexadecimal.
func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// newTestServer returns a server with a copy of storeDir. Its runner is not started, so batches make no progress.
func newTestServer(t *testing.T) *Server {
	t.Helper()
	dir := t.TempDir()
	if err := os.CopyFS(dir, os.DirFS(storeDir)); err != nil {
		t.Fatal(err)
	}
	store, err := batchstore.Open(dir, 8<<10)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := store.Close(); err != nil {
			t.Error(err)
		}
	})
	log := slog.New(slog.DiscardHandler)
	runner, err := batchrunner.New(store, batchrunner.Config{
		DispatcherAddress: "127.0.0.1:1", MaxLinesInFlight: 1, InitialBackoff: time.Second,
		MaxLines: 10, MaxLineBytes: 1 << 10,
	}, log)
	if err != nil {
		t.Fatal(err)
	}
	limits := Limits{MaxFileBytes: 4 << 10, MaxCompletionWindow: 48 * time.Hour, MaxHeaderBytes: 16 << 10}
	s, err := New(t.Context(), store, runner, limits, map[string]string{keyHash("k1"): "a", keyHash("k2"): "b"}, log)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// uploadForm returns a multipart form with the given fields, and its content type. A field named "file" is sent as a
// file. A truncated form has no closing boundary.
func uploadForm(t *testing.T, truncated bool, fields ...[2]string) (body, contentType string) {
	t.Helper()
	var b bytes.Buffer
	form := multipart.NewWriter(&b)
	if err := form.SetBoundary("boundary"); err != nil {
		t.Fatal(err)
	}
	for _, field := range fields {
		var part io.Writer
		var err error
		if field[0] == "file" {
			part, err = form.CreateFormFile("file", "lines.jsonl")
		} else {
			part, err = form.CreateFormField(field[0])
		}
		if err == nil {
			_, err = io.WriteString(part, field[1])
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	if !truncated {
		if err := form.Close(); err != nil {
			t.Fatal(err)
		}
	}
	return b.String(), form.FormDataContentType()
}

var (
	newIDs   = regexp.MustCompile(`(file-|batch_)[0-9a-f]{24}`)
	newTimes = regexp.MustCompile(`"(created_at|expires_at|cancelling_at)":\d+`)
)

// normalize replaces the IDs and times that are not from storeDir.
func normalize(response string) string {
	response = newIDs.ReplaceAllStringFunc(response, func(id string) string {
		kind, digits := id[:len(id)-24], id[len(id)-24:]
		if isSequential(digits) {
			return id
		}
		return kind + "NEW"
	})
	return newTimes.ReplaceAllStringFunc(response, func(field string) string {
		name, value, _ := strings.Cut(field, ":")
		if strings.HasPrefix(value, "1700") {
			return field
		}
		return name + ":NOW"
	})
}

// isSequential reports whether each byte of an ID is one more than the byte before it, as in the IDs of storeDir.
func isSequential(digits string) bool {
	b, err := hex.DecodeString(digits)
	if err != nil {
		return false
	}
	for i := range len(b) - 1 {
		if b[i+1] != b[i]+1 {
			return false
		}
	}
	return true
}

// TestResponses compares the status, content type and body of the responses to every call of the API, including errors,
// with those in responsesFile.
func TestResponses(t *testing.T) {
	handler := newTestServer(t).Handler()
	const running, completed = "batch_25262728292a2b2c2d2e2f30", "batch_3132333435363738393a3b3c"
	const failed, cancelled = "batch_494a4b4c4d4e4f5051525354", "batch_6162636465666768696a6b6c"
	var entries []string
	for i := range maxMetadataEntries + 1 {
		entries = append(entries, fmt.Sprintf(`"k%d":"v"`, i))
	}
	batchBody := func(file, endpoint, window, metadata string) string {
		return fmt.Sprintf(`{"input_file_id":%q,"endpoint":%q,"completion_window":%q,"metadata":{%s}}`,
			file, endpoint, window, metadata)
	}
	var got strings.Builder
	call := func(key, method, path, contentType, body string) {
		t.Helper()
		r := httptest.NewRequest(method, path, strings.NewReader(body))
		if key != "" {
			r.Header.Set("Authorization", key)
		}
		if contentType != "" {
			r.Header.Set("Content-Type", contentType)
		}
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)
		fmt.Fprintf(&got, "%s %s %s %.60q\n%d %s\n%s\n\n", key, method, path, body, w.Code, w.Header().Get("Content-Type"),
			strings.TrimSuffix(normalize(w.Body.String()), "\n"))
	}
	const a, b = "Bearer k1", "Bearer k2"
	call("", http.MethodGet, "/v1/files", "", "")
	call("Bearer k3", http.MethodGet, "/v1/files", "", "")
	call("k1", http.MethodGet, "/v1/files", "", "")
	call(a, http.MethodGet, "/v1/models", "", "")
	call(a, http.MethodPut, "/v1/files", "", "")

	call(a, http.MethodGet, "/v1/files", "", "")
	call(a, http.MethodGet, "/v1/files?limit=2", "", "")
	call(a, http.MethodGet, "/v1/files?limit=2&after="+outputFileID, "", "")
	call(b, http.MethodGet, "/v1/files", "", "")
	call(a, http.MethodGet, "/v1/files?limit=0", "", "")
	call(a, http.MethodGet, "/v1/files?limit=101", "", "")
	call(a, http.MethodGet, "/v1/batches?limit=x", "", "")
	call(a, http.MethodGet, "/v1/files/"+inputFileID, "", "")
	call(b, http.MethodGet, "/v1/files/"+inputFileID, "", "")
	call(a, http.MethodGet, "/v1/files/"+outputFileID+"/content", "", "")
	call(a, http.MethodGet, "/v1/files/file-none/content", "", "")
	call(a, http.MethodDelete, "/v1/files/"+outputFileID, "", "")
	call(a, http.MethodDelete, "/v1/files/"+outputFileID, "", "")

	upload := func(truncated bool, fields ...[2]string) {
		t.Helper()
		body, contentType := uploadForm(t, truncated, fields...)
		call(a, http.MethodPost, "/v1/files", contentType, body)
	}
	upload(false, [2]string{"purpose", "batch"}, [2]string{"file", "{}\n"})
	upload(false, [2]string{"file", "{}\n"})
	upload(false, [2]string{"purpose", "training"}, [2]string{"file", "{}\n"})
	upload(false, [2]string{"purpose", "batch"})
	upload(true, [2]string{"purpose", "batch"}, [2]string{"file", "{}\n"})
	upload(true, [2]string{"purpose", "batch"})
	upload(false, [2]string{"file", strings.Repeat("x", 5<<10)})
	upload(false, [2]string{"file", strings.Repeat("x", 80<<10)})
	upload(false, [2]string{"file", strings.Repeat("x", 4<<10)})
	upload(false, [2]string{"file", strings.Repeat("x", 4<<10)})
	call(a, http.MethodPost, "/v1/files", "application/json", "{}")

	call(a, http.MethodGet, "/v1/batches", "", "")
	call(b, http.MethodGet, "/v1/batches?limit=1", "", "")
	call(a, http.MethodGet, "/v1/batches/"+running, "", "")
	call(a, http.MethodGet, "/v1/batches/"+completed, "", "")
	call(a, http.MethodGet, "/v1/batches/"+failed, "", "")
	call(b, http.MethodGet, "/v1/batches/"+cancelled, "", "")
	call(b, http.MethodGet, "/v1/batches/"+running, "", "")

	create := func(body string) {
		t.Helper()
		call(a, http.MethodPost, "/v1/batches", "application/json", body)
	}
	create("{")
	create(batchBody(inputFileID, "/v1/chat", "24h", ""))
	create(batchBody(inputFileID, "/v1/completions", "tomorrow", ""))
	create(batchBody(inputFileID, "/v1/completions", "49h", ""))
	create(batchBody(inputFileID, "/v1/completions", "24h", strings.Join(entries, ",")))
	create(batchBody(inputFileID, "/v1/completions", "24h", `"`+strings.Repeat("k", 65)+`":"v"`))
	create(batchBody(inputFileID, "/v1/completions", "24h", `"k":"`+strings.Repeat("v", 513)+`"`))
	create(batchBody("file-none", "/v1/completions", "24h", ""))

	call(a, http.MethodPost, "/v1/batches/"+running+"/cancel", "", "")
	call(a, http.MethodPost, "/v1/batches/"+running+"/cancel", "", "")
	call(a, http.MethodPost, "/v1/batches/"+completed+"/cancel", "", "")
	call(b, http.MethodPost, "/v1/batches/"+running+"/cancel", "", "")
	create(batchBody(inputFileID, "/v1/completions", "24h", `"for":"a test"`))

	if os.Getenv("DOCKSAIL_WRITE_RESPONSES") != "" {
		if err := os.WriteFile(responsesFile, []byte(got.String()), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(responsesFile)
	if err != nil {
		t.Fatal(err)
	}
	gotCalls, wantCalls := strings.Split(got.String(), "\n\n"), strings.Split(string(want), "\n\n")
	if len(gotCalls) != len(wantCalls) {
		t.Fatalf("%d calls, want %d as in %s", len(gotCalls), len(wantCalls), responsesFile)
	}
	for i := range wantCalls {
		if gotCalls[i] != wantCalls[i] {
			t.Errorf("call %d:\n%s\nwant\n%s", i, gotCalls[i], wantCalls[i])
		}
	}
}

// TestNewRejectsKeys checks that New rejects a key hash that is not a SHA-256 hash in hexadecimal.
func TestNewRejectsKeys(t *testing.T) {
	for _, hash := range []string{"", "12", strings.Repeat("x", 64)} {
		if _, err := New(t.Context(), nil, nil, Limits{}, map[string]string{hash: "a"}, nil); err == nil {
			t.Errorf("key hash %q was accepted", hash)
		}
	}
}
