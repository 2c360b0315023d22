package scenario

import (
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

// durationFields are the keys of a script whose values are durations.
var durationFields = []string{
	"for", "lister_late", "release_within", "warm_after", "overload_window", "token_gap", "target",
	"target_per_1000_tokens", "timeout", "window", "idle", "at",
}

// Encode returns the script as JSON that Parse reads.
func (s *Script) Encode() ([]byte, error) {
	fields, err := s.encodedFields()
	if err != nil {
		return nil, err
	}
	text, err := json.MarshalIndent(fields, "", "  ")
	if err != nil {
		return nil, err
	}
	return append(text, '\n'), nil
}

// encodedFields returns the fields of the script with durations and enumerations as text.
func (s *Script) encodedFields() (map[string]any, error) {
	text, err := json.Marshal(s)
	if err != nil {
		return nil, err
	}
	var fields map[string]any
	if err := json.Unmarshal(text, &fields); err != nil {
		return nil, err
	}
	encodeValue(fields, "")
	classes, ok := fields["classes"].([]any)
	if !ok && len(s.Classes) > 0 {
		return nil, fmt.Errorf("scenario: classes are encoded as %T, must be a list", fields["classes"])
	}
	for i := range s.Classes {
		class, ok := classes[i].(map[string]any)
		if !ok {
			return nil, fmt.Errorf("scenario: class %d is encoded as %T, must be an object", i, classes[i])
		}
		class["effect"] = []string{"idempotent", "deduplicated", "non_idempotent"}[s.Classes[i].Idempotency]
		class["group"] = []string{"all", "zone", "cell"}[s.Classes[i].DedupScope]
	}
	return fields, nil
}

// encodeValue returns the value of a key in the format of scripts. It omits empty values of objects.
func encodeValue(value any, key string) any {
	switch value := value.(type) {
	case map[string]any:
		for k, v := range value {
			if v == nil || v == "" {
				delete(value, k)
			} else {
				value[k] = encodeValue(v, k)
			}
		}
	case []any:
		for i, v := range value {
			value[i] = encodeValue(v, "")
		}
	case float64:
		if slices.Contains(durationFields, key) {
			return time.Duration(value).String()
		}
		if value == math.Trunc(value) {
			return int64(value)
		}
	}
	return value
}
