package batchclient

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// TestSubmit checks the form of the upload, the body of the batch request and the authorization of both.
func TestSubmit(t *testing.T) {
	const content = "{\"custom_id\": \"1\"}\n"
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if got := r.Header.Get("Authorization"); got != "Bearer secret" {
			t.Errorf("%s: authorization %q", r.URL.Path, got)
		}
		switch r.URL.Path {
		case "/v1/files":
			file, header, err := r.FormFile("file")
			if err != nil || header.Filename != "lines.jsonl" || r.FormValue("purpose") != "batch" {
				t.Errorf("form file %v, purpose %q: %v", header, r.FormValue("purpose"), err)
				return
			}
			if got, err := io.ReadAll(file); err != nil || string(got) != content {
				t.Errorf("uploaded %q: %v", got, err)
			}
			fmt.Fprint(w, `{"id": "file-1"}`)
		case "/v1/batches":
			body, _ := io.ReadAll(r.Body)
			want := `{"completion_window":"24h","endpoint":"/v1/completions","input_file_id":"file-1"}`
			if string(body) != want {
				t.Errorf("batch request %s, want %s", body, want)
			}
			fmt.Fprint(w, `{"id": "batch-1", "status": "validating", "error_file_id": "file-2",
				"errors": {"data": [{"line": 3, "message": "bad"}]}}`)
		}
	}))
	defer server.Close()
	name := filepath.Join(t.TempDir(), "lines.jsonl")
	if err := os.WriteFile(name, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
	client := Client{Address: server.URL + "/", APIKey: "secret"}
	batch, err := client.Submit(t.Context(), name, "24h")
	if err != nil {
		t.Fatal(err)
	}
	if batch.ID != "batch-1" || batch.IsTerminal() || batch.ErrorFileID != "file-2" || batch.Errors.Data[0].Line != 3 {
		t.Errorf("batch %+v", batch)
	}
}

// TestResponseError checks that a response other than 2xx is returned as an error with the call, the status and the
// API's message.
func TestResponseError(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNotFound)
		fmt.Fprint(w, `{"error": {"message": "no such batch", "code": "not_found"}}`)
	}))
	defer server.Close()
	_, err := (&Client{Address: server.URL}).Batch(t.Context(), "x")
	var failure *ResponseError
	if !errors.As(err, &failure) || failure.Message != "no such batch" {
		t.Fatalf("error %v", err)
	}
	if want := "GET /v1/batches/x: 404 Not Found: no such batch"; err.Error() != want {
		t.Errorf("error %q, want %q", err, want)
	}
}

func TestPrintProgress(t *testing.T) {
	counts := RequestCounts{Total: 10, Completed: 4, Failed: 1}
	batch := Batch{ID: "b", Status: "in_progress", ForecastAt: 20, ExpiresAt: 10, Counts: counts}
	var out strings.Builder
	batch.PrintProgress(&out)
	bar := strings.Repeat("#", 15) + strings.Repeat(".", 15)
	if want := "[" + bar + "] 4 completed, 1 failed of 10"; !strings.Contains(out.String(), want) {
		t.Errorf("%q does not contain %q", out.String(), want)
	}
	if !strings.Contains(out.String(), "AFTER its completion window") {
		t.Errorf("%q has no warning about the completion window", out.String())
	}
}
