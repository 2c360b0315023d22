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

// lineRequest is a line of an input file.
type lineRequest struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     lineRequestBody `json:"body"`
}

type lineRequestBody struct {
	Model           string `json:"model"` // name of the class
	Prompt          string `json:"prompt"`
	MaxTokens       int    `json:"max_tokens"`
	PromptTokens    int    `json:"prompt_tokens"`    // 0 = estimated from the prompt's length
	Beginning       string `json:"beginning"`        // name of the prefix that it shares with other prompts
	BeginningTokens int    `json:"beginning_tokens"` // length of that prefix
	User            string `json:"user"`
}

const (
	// estimatedBytesPerToken gives the length of a prompt whose line does not name it.
	estimatedBytesPerToken = 4
	// prefixGroupBytes is how much of a prompt tells its prefix group if the line names no shared prefix.
	prefixGroupBytes = 512
	// maxTokens bounds the lengths of a prompt and of an answer.
	maxTokens = 1 << 20
	// outputTokenCost is what a token of the answer costs in tokens read, as in the admission queue.
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

// newValidationError returns a reason for which a line is not accepted. The batch API shows its code and message.
func newValidationError(code, format string, args ...any) *batchstore.ValidationError {
	return &batchstore.ValidationError{Code: code, Message: fmt.Sprintf(format, args...)}
}

// checkRequest returns why a line is not accepted, or nil.
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
		body.BeginningTokens < 0 || body.BeginningTokens > body.PromptTokens:
		return newValidationError("invalid_value", "prompt_tokens or beginning_tokens out of their range")
	}
	return nil
}

// prefixGroup returns the hash of what a prompt shares with others, or 0 if it is short and names no shared prefix.
func (b *lineRequestBody) prefixGroup() uint64 {
	shared := b.Beginning
	if shared == "" && len(b.Prompt) > prefixGroupBytes {
		shared = b.Prompt[:prefixGroupBytes]
	}
	if shared == "" {
		return 0
	}
	return max(xxhash.Sum64String(shared), 1)
}

// cost returns what a line costs in tokens read. Answers are taken to have half of their maximal length.
func (b *lineRequestBody) cost() float32 {
	return float32(b.PromptTokens + outputTokenCost*b.MaxTokens/2)
}
