package grpc

import (
	"fmt"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"

	"docksail/internal/frontend"
)

// Field numbers of docksail.v1.GenerateRequest. The prompt itself is not decoded.
const (
	fieldClass             protowire.Number = 1
	fieldTenant            protowire.Number = 2
	fieldSession           protowire.Number = 3
	fieldPrefix            protowire.Number = 4
	fieldPromptTokens      protowire.Number = 5
	fieldPrefixTokens      protowire.Number = 6
	fieldMaxTokens         protowire.Number = 7
	fieldIdempotencyKey    protowire.Number = 8
	fieldFirstTokenTimeout protowire.Number = 9
	fieldLengthHint        protowire.Number = 10
	fieldClient            protowire.Number = 12
)

const (
	maxTokens = 1<<32 - 1
	maxNanos  = 1 << 62
)

// decodeRequest decodes a GenerateRequest without copying: the slices of request point into message. It ignores
// unknown fields.
func decodeRequest(request *frontend.Request, message []byte) error {
	*request = frontend.Request{Raw: message}
	for p := message; len(p) > 0; {
		field, wireType, n := protowire.ConsumeTag(p)
		if n < 0 {
			return fmt.Errorf("malformed message: %w", protowire.ParseError(n))
		}
		p = p[n:]
		n, err := decodeField(request, field, wireType, p)
		if err != nil {
			return err
		}
		p = p[n:]
	}
	if request.PrefixTokens > request.PromptTokens {
		return fmt.Errorf("beginning_tokens is %d, want at most prompt_tokens, %d", request.PrefixTokens,
			request.PromptTokens)
	}
	return nil
}

// decodeField decodes the value of a field at the front of p and returns the length of its encoding.
func decodeField(
	request *frontend.Request, field protowire.Number, wireType protowire.Type, p []byte,
) (n int, err error) {
	stringMember := stringField(request, field)
	numberMember, limit := numberField(request, field)
	switch {
	case stringMember != nil && wireType == protowire.BytesType:
		return decodeString(stringMember, field, p)
	case numberMember != nil && wireType == protowire.VarintType:
		return decodeNumber(numberMember, limit, field, p)
	case stringMember != nil || numberMember != nil:
		return 0, fmt.Errorf("malformed message: field %d has wire type %d", field, wireType)
	}
	if n = protowire.ConsumeFieldValue(field, wireType, p); n < 0 {
		return 0, malformedField(field, n)
	}
	return n, nil
}

// stringField returns the member of request that a string field sets, or nil if there is none.
func stringField(request *frontend.Request, field protowire.Number) *[]byte {
	switch field {
	case fieldClass:
		return &request.Class
	case fieldTenant:
		return &request.Tenant
	case fieldSession:
		return &request.Session
	case fieldPrefix:
		return &request.Prefix
	case fieldIdempotencyKey:
		return &request.IdempotencyKey
	case fieldClient:
		return &request.Client
	default:
		return nil
	}
}

// numberField returns the member of request that a numeric field sets and the largest value allowed in it; the member
// is nil if there is none.
func numberField(request *frontend.Request, field protowire.Number) (member *int64, limit uint64) {
	switch field {
	case fieldPromptTokens:
		return &request.PromptTokens, maxTokens
	case fieldPrefixTokens:
		return &request.PrefixTokens, maxTokens
	case fieldMaxTokens:
		return &request.MaxTokens, maxTokens
	case fieldFirstTokenTimeout:
		return &request.FirstTokenTimeout, maxNanos
	case fieldLengthHint:
		return &request.ExpectedDuration, maxNanos
	default:
		return nil, 0
	}
}

func decodeString(member *[]byte, field protowire.Number, p []byte) (n int, err error) {
	value, n := protowire.ConsumeBytes(p)
	if n < 0 {
		return 0, malformedField(field, n)
	}
	if !utf8.Valid(value) {
		return 0, fmt.Errorf("malformed message: field %d is no UTF-8", field)
	}
	*member = value
	return n, nil
}

func decodeNumber(member *int64, limit uint64, field protowire.Number, p []byte) (n int, err error) {
	value, n := protowire.ConsumeVarint(p)
	if n < 0 {
		return 0, malformedField(field, n)
	}
	if value > limit {
		return 0, fmt.Errorf("field %d is %d, want at most %d", field, value, limit)
	}
	*member = int64(value)
	return n, nil
}

// malformedField returns the error for a negative length n, which protowire returns for malformed input.
func malformedField(field protowire.Number, n int) error {
	return fmt.Errorf("malformed message: field %d: %w", field, protowire.ParseError(n))
}
