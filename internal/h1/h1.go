// Package h1 decodes HTTP/1.1 messages for both ends of a connection: bytes go in, parts of messages come out. It
// holds no socket and reads no clock. It is strict: input that two parsers could understand differently is an error,
// and every part of a message has a limit.
package h1

import (
	"errors"
	"fmt"
)

// Limits bound a message.
type Limits struct {
	HeadBytes  int   // bytes of a head, and of the trailer section
	BodyBytes  int64 // bytes of a body; 0 = no limit
	ChunkBytes int   // bytes of a chunk, which is then returned whole; 0 = chunk data is returned as it arrives
}

// Errors of a Decoder. Each is returned as it is or wrapped; callers compare by errors.Is.
var (
	ErrMalformed    = errors.New("message cannot be read")
	ErrHeadTooLarge = errors.New("head too long")
	ErrBodyTooLarge = errors.New("body too large")
	ErrTruncated    = errors.New("connection ended inside a message")
)

// malformed returns an error that wraps ErrMalformed.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}
