// Package h1 decodes HTTP/1.1 requests and responses. It does no I/O and reads no clock. It is strict: input that two
// parsers could interpret differently is an error, and every part of a message has a limit.
package h1

import (
	"errors"
	"fmt"
)

// Limits bound the size of a message.
type Limits struct {
	HeadBytes  int   // maximum size of a head, and of a trailer section
	HeadFields int   // maximum number of fields of a head, and of a trailer section; 0 = no limit
	BodyBytes  int64 // maximum size of a body; 0 = no limit
	ChunkBytes int   // maximum size of a chunk; chunks are then returned whole. 0 = chunk data is returned as it arrives
}

// Errors of a Decoder. They may be wrapped; callers compare with errors.Is.
var (
	ErrMalformed    = errors.New("message cannot be read")
	ErrHeadTooLarge = errors.New("head too long")
	ErrBodyTooLarge = errors.New("body too large")
	ErrTruncated    = errors.New("connection ended inside a message")
)

// malformed returns an error that wraps ErrMalformed and describes what is malformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}
