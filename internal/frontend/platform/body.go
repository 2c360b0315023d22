package platform

import (
	"encoding/json"
	"errors"
	"fmt"
)

// body is the structure that the body of a request must have; servers check its content. Clients see the names body
// and message in errors of encoding/json.
type body struct {
	Model     *jsonString `json:"model"`
	Messages  []message   `json:"messages"`
	Stream    *bool       `json:"stream"`
	MaxTokens *int64      `json:"max_tokens"`
}

type message struct {
	Role    *jsonString `json:"role"`
	Content *jsonString `json:"content"`
}

// jsonString is a JSON string whose value is not needed.
type jsonString struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (*jsonString) UnmarshalJSON(b []byte) error {
	if len(b) == 0 || b[0] != '"' {
		return errors.New("want a string")
	}
	return nil
}

// checkBody returns an error if the body of a request does not have the structure of type body.
func checkBody(raw []byte) error {
	var b body
	if err := json.Unmarshal(raw, &b); err != nil {
		return err
	}
	if b.Model == nil || len(b.Messages) == 0 {
		return errors.New("want model and messages")
	}
	for i, m := range b.Messages {
		if m.Role == nil || m.Content == nil {
			return fmt.Errorf("message %d: role or content is missing", i)
		}
	}
	if b.MaxTokens != nil && (*b.MaxTokens < 0 || *b.MaxTokens > maxTokens) {
		return fmt.Errorf("max_tokens is %d, out of range", *b.MaxTokens)
	}
	return nil
}
