package grpc

import (
	"fmt"
	"unicode/utf8"

	"google.golang.org/protobuf/encoding/protowire"

	"docksail/internal/frontend"
)

// decode reads a message; unknown fields are passed over, as the format wants it.
func decode(r *frontend.Request, p []byte) error {
	*r = frontend.Request{Raw: p}
	for len(p) > 0 {
		num, typ, n := protowire.ConsumeTag(p)
		if n < 0 {
			return fmt.Errorf("malformed message: %w", protowire.ParseError(n))
		}
		p = p[n:]
		var to *[]byte
		var val *int64
		most := uint64(1<<32 - 1)
		switch num {
		case 1:
			to = &r.Class
		case 2:
			to = &r.Tenant
		case 3:
			to = &r.Session
		case 4:
			to = &r.Prefix
		case 5:
			val = &r.PromptTokens
		case 6:
			val = &r.PrefixTokens
		case 7:
			val = &r.MaxTokens
		case 8:
			to = &r.IdempotencyKey
		case 12:
			to = &r.Client
		case 9:
			val, most = &r.FirstTokenTimeout, 1<<62
		case 10:
			val, most = &r.LengthHint, 1<<62
		}
		switch {
		case to != nil && typ == protowire.BytesType:
			v, n := protowire.ConsumeBytes(p)
			if n < 0 {
				return fmt.Errorf("malformed message: field %d: %w", num, protowire.ParseError(n))
			}
			if !utf8.Valid(v) {
				return fmt.Errorf("malformed message: field %d is no UTF-8", num)
			}
			*to, p = v, p[n:]
		case val != nil && typ == protowire.VarintType:
			v, n := protowire.ConsumeVarint(p)
			if n < 0 {
				return fmt.Errorf("malformed message: field %d: %w", num, protowire.ParseError(n))
			}
			if v > most {
				return fmt.Errorf("field %d is %d, want at most %d", num, v, most)
			}
			*val, p = int64(v), p[n:]
		case to != nil || val != nil:
			return fmt.Errorf("malformed message: field %d has wire type %d", num, typ)
		default:
			n := protowire.ConsumeFieldValue(num, typ, p)
			if n < 0 {
				return fmt.Errorf("malformed message: field %d: %w", num, protowire.ParseError(n))
			}
			p = p[n:]
		}
	}
	if r.PrefixTokens > r.PromptTokens {
		return fmt.Errorf("beginning_tokens is %d, want at most prompt_tokens, %d", r.PrefixTokens, r.PromptTokens)
	}
	return nil
}
