package batchrunner

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"docksail/internal/state/batchstore"
)

// lineRequest is a decoded line of an input file.
type lineRequest struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     lineRequestBody `json:"body"`
}

type lineRequestBody struct {
	Model        string `json:"model"` // name of the class
	Prompt       string `json:"prompt"`
	MaxTokens    int    `json:"max_tokens"`
	PromptTokens int    `json:"prompt_tokens"`    // 0 = estimated from the prompt's length
	Prefix       string `json:"beginning"`        // name of the prefix that the prompt shares with others
	PrefixTokens int    `json:"beginning_tokens"` // length of the prefix
	User         string `json:"user"`
}

const (
	// estimatedBytesPerToken is used to estimate the length of a prompt if the line does not give it.
	estimatedBytesPerToken = 4
	// prefixGroupBytes is the length of a prompt's start that defines its prefix group if the line names no prefix.
	prefixGroupBytes = 512
	// maxTokens limits the lengths of a prompt and of an answer.
	maxTokens = 1 << 20
	// outputTokenCost is the cost of an output token in prompt tokens, the same as in the admission queue.
	outputTokenCost = 8
)

// parseLine decodes a line of an input file.
func parseLine(text []byte) (*lineRequest, error) {
	request := &lineRequest{}
	decoder := json.NewDecoder(bytes.NewReader(text))
	if err := decoder.Decode(request); err != nil {
		return nil, err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("more than one value in the line")
	}
	if request.Body.PromptTokens == 0 {
		request.Body.PromptTokens = max(len(request.Body.Prompt)/estimatedBytesPerToken, 1)
	}
	return request, nil
}

// newValidationError returns the error of an invalid line. The batch API returns its code and message to clients.
func newValidationError(code, format string, args ...any) *batchstore.ValidationError {
	return &batchstore.ValidationError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// checkRequest returns the first validation error of a line, or nil if the line is valid.
func (r *Runner) checkRequest(request *lineRequest, endpoint string) *batchstore.ValidationError {
	body := &request.Body
	class, ok := r.config.Classes[body.Model]
	switch {
	case request.CustomID == "":
		return newValidationError("missing_custom_id", "custom_id is missing")
	case request.Method != http.MethodPost:
		return newValidationError("invalid_method", "method %q, want POST", request.Method)
	case request.URL != endpoint:
		return newValidationError("mismatched_url", "url %q, want %q as the batch has it", request.URL, endpoint)
	case !ok:
		return newValidationError("model_not_found", "model %q is not there", body.Model)
	case class.Timeout <= 0:
		return newValidationError("model_not_found", "model %q takes no batches", body.Model)
	case body.MaxTokens < 1 || body.MaxTokens > maxTokens:
		return newValidationError("invalid_value", "max_tokens %d, want 1 to %d", body.MaxTokens, maxTokens)
	case body.PromptTokens < 1 || body.PromptTokens > maxTokens,
		body.PrefixTokens < 0 || body.PrefixTokens > body.PromptTokens:
		return newValidationError("invalid_value", "prompt_tokens or beginning_tokens out of their range")
	}
	return nil
}

// prefixGroup returns the hash of the named prefix or of the prompt's start. It is 0 if no prefix is named and the
// prompt is short.
func (b *lineRequestBody) prefixGroup() uint64 {
	shared := b.Prefix
	if shared == "" && len(b.Prompt) > prefixGroupBytes {
		shared = b.Prompt[:prefixGroupBytes]
	}
	if shared == "" {
		return 0
	}
	return max(xxhash.Sum64String(shared), 1)
}

// cost returns the cost of a line in prompt tokens. It assumes an answer of half the maximum length.
func (b *lineRequestBody) cost() float32 {
	return float32(b.PromptTokens + outputTokenCost*b.MaxTokens/2)
}
