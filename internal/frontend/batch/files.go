package batch

import (
	"context"
	"errors"
	"fmt"
	"io"
	"mime/multipart"
	"net/http"
	"strconv"
	"time"

	"docksail/internal/state/batchstore"
)

const (
	// formOverheadBytes limits the size of an upload's form without the file.
	formOverheadBytes = 64 << 10
	// maxPurposeBytes limits how much of a form's purpose is read.
	maxPurposeBytes = 512

	maxPageSize     = 100
	defaultPageSize = 20
)

// uploadFile stores a file sent as multipart/form-data without holding it in memory.
func (s *Server) uploadFile(w http.ResponseWriter, r *http.Request, tenant string) error {
	r.Body = http.MaxBytesReader(w, r.Body, s.limits.MaxFileBytes+formOverheadBytes)
	form, err := r.MultipartReader()
	if err != nil {
		return invalidValue("file", "invalid multipart form: %v", err)
	}
	purpose := ""
	for {
		part, err := form.NextPart()
		if errors.Is(err, io.EOF) {
			return invalidValue("file", "file is missing in the form")
		}
		if err != nil {
			return invalidValue("file", "form could not be read: %v", err)
		}
		switch part.FormName() {
		case "purpose":
			text, err := io.ReadAll(io.LimitReader(part, maxPurposeBytes))
			if err != nil {
				return invalidValue("purpose", "form could not be read: %v", err)
			}
			purpose = string(text)
		case "file":
			if purpose != "" && purpose != batchstore.PurposeInput {
				return invalidValue("purpose", "purpose is %q, must be %s", purpose, batchstore.PurposeInput)
			}
			return s.storeUpload(w, tenant, part)
		}
	}
}

// storeUpload stores the file part of an upload's form and writes the response.
func (s *Server) storeUpload(w http.ResponseWriter, tenant string, part *multipart.Part) error {
	file, err := s.store.UploadFile(
		time.Now(), tenant, part.FileName(), batchstore.PurposeInput, part, s.limits.MaxFileBytes,
	)
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return fmt.Errorf("more than %d bytes: %w", s.limits.MaxFileBytes, batchstore.ErrFileTooLarge)
	}
	if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, context.Canceled) {
		return invalidValue("file", "upload interrupted: %v", err)
	}
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, newFileResponse(file))
}

// pageParams returns the ID after which the requested page of a list begins, and the size of the page.
func pageParams(r *http.Request) (after string, limit int, err error) {
	query := r.URL.Query()
	limit = defaultPageSize
	if text := query.Get("limit"); text != "" {
		limit, err = strconv.Atoi(text)
		if err != nil || limit < 1 || limit > maxPageSize {
			return "", 0, invalidValue("limit", "limit is %q, must be 1 to %d", text, maxPageSize)
		}
	}
	return query.Get("after"), limit, nil
}

func (s *Server) listFiles(w http.ResponseWriter, r *http.Request, tenant string) error {
	after, limit, err := pageParams(r)
	if err != nil {
		return err
	}
	page, err := s.store.Files(tenant, after, limit)
	if err != nil {
		return err
	}
	id := func(f batchstore.File) string { return f.ID }
	return writeJSON(w, http.StatusOK, newListResponse(page, newFileResponse, id))
}

func (s *Server) getFile(w http.ResponseWriter, r *http.Request, tenant string) error {
	file, err := s.store.File(tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, newFileResponse(file))
}

func (s *Server) getContent(w http.ResponseWriter, r *http.Request, tenant string) error {
	content, err := s.store.OpenContent(tenant, r.PathValue("id"))
	if err != nil {
		return err
	}
	defer content.Close()
	w.Header().Set("Content-Type", "application/octet-stream")
	http.ServeContent(w, r, "", time.Time{}, content)
	return nil
}

func (s *Server) deleteFile(w http.ResponseWriter, r *http.Request, tenant string) error {
	id := r.PathValue("id")
	if err := s.store.DeleteFile(tenant, id); err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, deletionResponse{Deleted: true, ID: id, Object: objectFile})
}
