package batchrunner

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"docksail/internal/decide/batchscheduler"
)

// errorCode is the code of an error in the error file. Clients depend on its values.
type errorCode string

const (
	codeAbandoned       errorCode = "abandoned"
	codeBatchCancelled  errorCode = "batch_cancelled"
	codeBatchExpired    errorCode = "batch_expired"
	codeInterrupted     errorCode = "called_back"
	codeConnectionLost  errorCode = "connection_lost"
	codeCorrupt         errorCode = "rotten"
	codeInvalidRequest  errorCode = "invalid_request"
	codeMayHaveRun      errorCode = "may_have_run"
	codeResultNotStored errorCode = "result_not_kept"
)

// resultLine is a line of an output or error file.
type resultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *resultResponse `json:"response"` // null in an error file
	Error    *resultError    `json:"error"`    // null in an output file
}

type resultResponse struct {
	Status    int        `json:"status_code"`
	RequestID string     `json:"request_id"`
	Body      completion `json:"body"`
}

type resultError struct {
	Code    errorCode `json:"code"`
	Message string    `json:"message"`
}

// completion is an answer in the format of the completions API. The order of its fields is part of the file's format.
type completion struct {
	Choices []completionChoice `json:"choices"`
	ID      string             `json:"id"`
	Model   string             `json:"model"`
	Object  string             `json:"object"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	FinishReason string `json:"finish_reason"`
	Index        int    `json:"index"`
	LogProbs     any    `json:"logprobs"` // always null
	Text         string `json:"text"`
}

type completionUsage struct {
	CompletionTokens int `json:"completion_tokens"`
	PromptTokens     int `json:"prompt_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// lineID returns the ID of a line in result files.
func lineID(batchID string, index batchscheduler.LineIndex) string {
	return fmt.Sprintf("batch_req_%s_%d", strings.TrimPrefix(batchID, "batch_"), index+1)
}

// encodeAnswer returns the output file line for an answer.
func encodeAnswer(batchID string, index batchscheduler.LineIndex, request *lineRequest, received answer) []byte {
	promptTokens := request.Body.PromptTokens
	return encodeLine(resultLine{
		ID:       lineID(batchID, index),
		CustomID: request.CustomID,
		Response: &resultResponse{Status: http.StatusOK, RequestID: received.requestID, Body: completion{
			Choices: []completionChoice{{FinishReason: "stop", Text: received.text}},
			ID:      "cmpl-" + received.requestID,
			Model:   request.Body.Model,
			Object:  "text_completion",
			Usage: completionUsage{
				CompletionTokens: received.tokens, PromptTokens: promptTokens, TotalTokens: promptTokens + received.tokens,
			},
		}},
	})
}

// encodeFailure returns the error file line for a failed line.
func encodeFailure(
	batchID string, index batchscheduler.LineIndex, customID string, code errorCode, message string,
) []byte {
	return encodeLine(resultLine{
		ID: lineID(batchID, index), CustomID: customID, Error: &resultError{code, message},
	})
}

// encodeAttemptFailure returns the error file line for a line that failed after an attempt.
func encodeAttemptFailure(
	batchID string, index batchscheduler.LineIndex, customID string,
	result attemptResult, reason batchscheduler.FailureReason, isCancelled bool,
) []byte {
	code := result.code
	switch {
	case reason == batchscheduler.ReasonMayHaveRun || reason == batchscheduler.ReasonDeduplicationExpired:
		code = codeMayHaveRun
	case isCancelled:
		code, reason = codeBatchCancelled, batchscheduler.ReasonCancelled
	case reason == batchscheduler.ReasonWindowExpired:
		code = codeBatchExpired
	}
	message := string(reason)
	if result.message != "" {
		message += ": " + result.message
	}
	return encodeFailure(batchID, index, customID, code, message)
}

func encodeLine(line resultLine) []byte {
	encoded, err := json.Marshal(line)
	if err != nil {
		panic(err) // every field of resultLine can be marshaled
	}
	return encoded
}
