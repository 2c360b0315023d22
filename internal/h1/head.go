// Package h1 takes HTTP/1.1 messages apart and puts them together, for both ends of a connection: bytes in, pieces of
// messages out. It holds no socket and reads no clock. It is strict: what two readers could understand in two ways is
// an error, and every part of a message has a bound.
package h1

import (
	"bytes"
	"errors"
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// Limits bound a message.
type Limits struct {
	HeadBytes  int   // bytes of a head, and of trailers
	BodyBytes  int64 // bytes of a body; 0 = no bound
	ChunkBytes int   // bytes of one chunk, where chunks are given out whole; 0 = they are given out as they come
}

// Errors that callers tell apart; others are wrapped in ErrMalformed.
var (
	ErrMalformed    = errors.New("message cannot be read")
	ErrHeadTooLarge = errors.New("head too long")
	ErrBodyTooLarge = errors.New("body too large")
	ErrTruncated    = errors.New("connection ended inside a message")
)

// Field is one line of a head. Its slices are valid as long as the head's.
type Field struct{ Name, Value []byte }

// Head is the first part of a message. Its slices point into what was fed and are valid until the next call.
type Head struct {
	Method, Target []byte // of a request
	StatusCode     int    // of an answer
	HTTP10         bool   // HTTP/1.0
	Close          bool   // the connection ends with this message
	ExpectContinue bool   // the client waits for 100 Continue
	ContentLength  int64  // of the body; -1 = not told
	Chunked        bool
	Fields         []Field
}

// Get gives the value of the first field of a name, in lower case; nil if there is none.
func (h *Head) Get(name string) []byte {
	for _, f := range h.Fields {
		if equalFold(f.Name, name) {
			return f.Value
		}
	}
	return nil
}

// Count counts the fields of a name, in lower case.
func (h *Head) Count(name string) int {
	n := 0
	for _, f := range h.Fields {
		if equalFold(f.Name, name) {
			n++
		}
	}
	return n
}

// equalFold compares with a name in lower case; field names are ASCII.
func equalFold(b []byte, lower string) bool {
	if len(b) != len(lower) {
		return false
	}
	for i, c := range b {
		if 'A' <= c && c <= 'Z' {
			c += 'a' - 'A'
		}
		if c != lower[i] {
			return false
		}
	}
	return true
}

func bad(format string, args ...any) error {
	return fmt.Errorf("%w: %s", ErrMalformed, fmt.Sprintf(format, args...))
}

// cutLine gives the next line of p without its end; an error if a line ends in anything but CR LF.
func cutLine(p []byte) (line, rest []byte, err error) {
	i := bytes.IndexByte(p, '\n')
	if i < 1 || p[i-1] != '\r' {
		return nil, nil, bad("a line does not end in CR LF")
	}
	return p[:i-1], p[i+1:], nil
}

// parse reads a whole head, which ends in an empty line.
func (h *Head) parse(p []byte, request bool) error {
	*h = Head{ContentLength: -1, Fields: h.Fields[:0]}
	line, p, err := cutLine(p)
	if err != nil {
		return err
	}
	if request {
		err = h.requestLine(line)
	} else {
		err = h.statusLine(line)
	}
	if err != nil {
		return err
	}
	if err := h.fields(p); err != nil {
		return err
	}
	return h.framing(request)
}

func (h *Head) version(v []byte) error {
	switch string(v) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.HTTP10, h.Close = true, true
	default:
		return bad("version %.20q", v)
	}
	return nil
}

func (h *Head) requestLine(line []byte) error {
	method, rest, ok := bytes.Cut(line, []byte{' '})
	target, version, ok2 := bytes.Cut(rest, []byte{' '})
	if !ok || !ok2 || !validToken(method) || len(target) == 0 {
		return bad("request line %.40q", line)
	}
	for _, c := range target {
		if c <= ' ' || c >= 0x7f {
			return bad("target %.40q", target)
		}
	}
	h.Method, h.Target = method, target
	return h.version(version)
}

func (h *Head) statusLine(line []byte) error {
	if len(line) < 12 || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return bad("status line %.40q", line)
	}
	for _, c := range line[9:12] {
		if c < '0' || c > '9' {
			return bad("status line %.40q", line)
		}
		h.StatusCode = 10*h.StatusCode + int(c-'0')
	}
	if h.StatusCode < 100 {
		return bad("status %d", h.StatusCode)
	}
	return h.version(line[:8])
}

func validToken(b []byte) bool {
	for _, c := range b {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(b) > 0
}

func validValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// fields reads lines up to the empty one.
func (h *Head) fields(p []byte) error {
	for {
		line, rest, err := cutLine(p)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			if len(rest) > 0 {
				return bad("bytes after the end of a head")
			}
			return nil
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		value = bytes.Trim(value, " \t")
		if !ok || !validToken(name) || !validValue(value) {
			return bad("header line %.40q", line)
		}
		h.Fields = append(h.Fields, Field{name, value})
		p = rest
	}
}

// framing finds how the body is told apart from what follows. A head that says it in two ways is an error.
func (h *Head) framing(request bool) error {
	hosts, lengths, codings := 0, 0, 0
	for _, f := range h.Fields {
		switch {
		case equalFold(f.Name, "content-length"):
			if lengths++; lengths > 1 {
				return bad("several Content-Length")
			}
			n, ok := number(f.Value)
			if !ok {
				return bad("Content-Length %.20q", f.Value)
			}
			h.ContentLength = n
		case equalFold(f.Name, "transfer-encoding"):
			if codings++; codings > 1 || !equalFold(f.Value, "chunked") || h.HTTP10 {
				return bad("Transfer-Encoding %.20q", f.Value)
			}
			h.Chunked = true
		case equalFold(f.Name, "connection"):
			for v := range bytes.SplitSeq(f.Value, []byte{','}) {
				if equalFold(bytes.Trim(v, " \t"), "close") {
					h.Close = true
				}
			}
		case equalFold(f.Name, "expect"):
			if !equalFold(f.Value, "100-continue") {
				return bad("Expect %.20q", f.Value)
			}
			h.ExpectContinue = true
		case equalFold(f.Name, "host"):
			hosts++
		}
	}
	switch {
	case lengths > 0 && h.Chunked:
		return bad("both Content-Length and Transfer-Encoding")
	case request && (hosts > 1 || hosts == 0 && !h.HTTP10):
		return bad("%d Host fields, want one", hosts)
	}
	return nil
}

// number reads a length: digits only, and no more than any body could have.
func number(v []byte) (int64, bool) {
	if len(v) == 0 || len(v) > 18 {
		return 0, false
	}
	n := int64(0)
	for _, c := range v {
		if c < '0' || c > '9' {
			return 0, false
		}
		n = 10*n + int64(c-'0')
	}
	return n, true
}
