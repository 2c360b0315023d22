package h1

import (
	"bytes"

	"golang.org/x/net/http/httpguts"
)

const asciiDEL = 0x7f // the only ASCII control character above the space

// Field is a header field. Its slices are valid for as long as those of its Head.
type Field struct{ Name, Value []byte }

// Head is the first part of a message: the request line or status line and the header fields. Its slices point into the
// decoded bytes and are valid until the decoder is called again.
type Head struct {
	Method, Target []byte // of a request
	StatusCode     int    // of a response
	HTTP10         bool   // the version is HTTP/1.0
	Close          bool   // the connection is closed after this message
	ExpectContinue bool   // the client waits for 100 Continue before it sends the body
	ContentLength  int64  // -1 = no Content-Length field
	Chunked        bool
	Fields         []Field
}

// Get returns the value of the first field with the given name, or nil if there is none. name must be in lower case.
func (h *Head) Get(name string) []byte {
	for _, f := range h.Fields {
		if equalFold(f.Name, name) {
			return f.Value
		}
	}
	return nil
}

// equalFold reports whether b equals lower, ignoring ASCII case. lower must be in lower case.
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

// cutLine returns the first line of p without its line end, and the rest of p. It returns an error unless the line ends
// in CR LF.
func cutLine(p []byte) (line, rest []byte, err error) {
	end := bytes.IndexByte(p, '\n')
	if end < 1 || p[end-1] != '\r' {
		return nil, nil, malformed("a line does not end in CR LF")
	}
	return p[:end-1], p[end+1:], nil
}

// parse parses a complete head, including the empty line that ends it. maxFields limits its fields; 0 = no limit.
func (h *Head) parse(p []byte, isRequest bool, maxFields int) error {
	*h = Head{ContentLength: -1, Fields: h.Fields[:0]}
	line, p, err := cutLine(p)
	if err != nil {
		return err
	}
	if isRequest {
		err = h.parseRequestLine(line)
	} else {
		err = h.parseStatusLine(line)
	}
	if err != nil {
		return err
	}
	if err := h.parseFields(p, maxFields); err != nil {
		return err
	}
	return h.interpretFields(isRequest)
}

// parseVersion parses the HTTP version of a request or status line.
func (h *Head) parseVersion(version []byte) error {
	switch string(version) {
	case "HTTP/1.1":
	case "HTTP/1.0":
		h.HTTP10, h.Close = true, true
	default:
		return malformed("version %.20q", version)
	}
	return nil
}

// parseRequestLine parses a line of the form METHOD TARGET VERSION.
func (h *Head) parseRequestLine(line []byte) error {
	method, rest, hasTarget := bytes.Cut(line, []byte{' '})
	target, version, hasVersion := bytes.Cut(rest, []byte{' '})
	if !hasTarget || !hasVersion || !isToken(method) || len(target) == 0 {
		return malformed("request line %.40q", line)
	}
	for _, c := range target {
		if c <= ' ' || c >= asciiDEL {
			return malformed("target %.40q", target)
		}
	}
	h.Method, h.Target = method, target
	return h.parseVersion(version)
}

// parseStatusLine parses a line of the form VERSION STATUS REASON. The reason is optional.
func (h *Head) parseStatusLine(line []byte) error {
	const (
		versionEnd = len("HTTP/1.1")
		codeEnd    = versionEnd + len(" 200")
	)
	if len(line) < codeEnd || line[versionEnd] != ' ' || len(line) > codeEnd && line[codeEnd] != ' ' {
		return malformed("status line %.40q", line)
	}
	for _, c := range line[versionEnd+1 : codeEnd] {
		if c < '0' || c > '9' {
			return malformed("status line %.40q", line)
		}
		h.StatusCode = 10*h.StatusCode + int(c-'0')
	}
	if h.StatusCode < statusContinue {
		return malformed("status %d", h.StatusCode)
	}
	return h.parseVersion(line[:versionEnd])
}

// isToken reports whether b is a token as RFC 9110 defines it.
func isToken(b []byte) bool {
	for _, c := range b {
		if !httpguts.IsTokenRune(rune(c)) {
			return false
		}
	}
	return len(b) > 0
}

// isFieldValue reports whether b contains no control characters other than tabs.
func isFieldValue(b []byte) bool {
	for _, c := range b {
		if c < ' ' && c != '\t' || c == asciiDEL {
			return false
		}
	}
	return true
}

// parseFields parses field lines up to the empty line, which must end p. A field takes more memory than its line, so
// their number has a limit of its own.
func (h *Head) parseFields(p []byte, maxFields int) error {
	for {
		line, rest, err := cutLine(p)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			if len(rest) > 0 {
				return malformed("bytes after the end of a head")
			}
			return nil
		}
		name, value, ok := bytes.Cut(line, []byte{':'})
		value = bytes.Trim(value, " \t")
		if !ok || !isToken(name) || !isFieldValue(value) {
			return malformed("header line %.40q", line)
		}
		if maxFields > 0 && len(h.Fields) == maxFields {
			return ErrHeadTooLarge
		}
		h.Fields = append(h.Fields, Field{name, value})
		p = rest
	}
}

// interpretFields sets the members of Head that depend on header fields, such as the framing of the body and whether
// the connection is closed. It returns an error if fields contradict each other.
func (h *Head) interpretFields(isRequest bool) error {
	hosts, lengths, codings := 0, 0, 0
	for _, f := range h.Fields {
		var err error
		switch {
		case equalFold(f.Name, "content-length"):
			lengths++
			err = h.setContentLength(f.Value, lengths)
		case equalFold(f.Name, "transfer-encoding"):
			codings++
			err = h.setTransferEncoding(f.Value, codings)
		case equalFold(f.Name, "connection"):
			h.setConnectionOptions(f.Value)
		case equalFold(f.Name, "expect"):
			err = h.setExpect(f.Value)
		case equalFold(f.Name, "host"):
			hosts++
		}
		if err != nil {
			return err
		}
	}
	switch {
	case lengths > 0 && h.Chunked:
		return malformed("both Content-Length and Transfer-Encoding")
	case isRequest && (hosts > 1 || hosts == 0 && !h.HTTP10):
		return malformed("%d Host fields, want one", hosts)
	}
	return nil
}

// setContentLength sets ContentLength from a Content-Length field. count is the number of such fields so far.
func (h *Head) setContentLength(value []byte, count int) error {
	if count > 1 {
		return malformed("several Content-Length")
	}
	length, ok := parseLength(value)
	if !ok {
		return malformed("Content-Length %.20q", value)
	}
	h.ContentLength = length
	return nil
}

// setTransferEncoding sets Chunked from a Transfer-Encoding field. count is the number of such fields so far.
func (h *Head) setTransferEncoding(value []byte, count int) error {
	if count > 1 || !equalFold(value, "chunked") || h.HTTP10 {
		return malformed("Transfer-Encoding %.20q", value)
	}
	h.Chunked = true
	return nil
}

// setConnectionOptions sets Close if a Connection field lists "close".
func (h *Head) setConnectionOptions(value []byte) {
	for option := range bytes.SplitSeq(value, []byte{','}) {
		if equalFold(bytes.Trim(option, " \t"), "close") {
			h.Close = true
		}
	}
}

// setExpect sets ExpectContinue from an Expect field. Other expectations are not supported.
func (h *Head) setExpect(value []byte) error {
	if !equalFold(value, "100-continue") {
		return malformed("Expect %.20q", value)
	}
	h.ExpectContinue = true
	return nil
}

// maxLengthDigits is the most digits of a Content-Length; larger values might not fit an int64.
const maxLengthDigits = 18

// parseLength parses the value of a Content-Length; ok is false unless it consists of 1 to maxLengthDigits digits.
func parseLength(value []byte) (length int64, ok bool) {
	if len(value) == 0 || len(value) > maxLengthDigits {
		return 0, false
	}
	for _, c := range value {
		if c < '0' || c > '9' {
			return 0, false
		}
		length = 10*length + int64(c-'0')
	}
	return length, true
}
