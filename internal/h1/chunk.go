package h1

import "bytes"

const (
	maxChunkSizeLine   = 256 // bytes of a chunk size line, including extensions
	maxChunkSizeDigits = 15  // hexadecimal digits; larger sizes might not fit an int64
)

// decodeChunkSize consumes the size line of a chunk. It consumes nothing while the line is incomplete.
func (d *Decoder) decodeChunkSize(p []byte) (Event, int, error) {
	end := bytes.IndexByte(p, '\n')
	if end < 0 && len(p) <= maxChunkSizeLine {
		return NeedData, 0, checkPartialSizeLine(p)
	}
	if end < 1 || end > maxChunkSizeLine || p[end-1] != '\r' {
		return NeedData, 0, malformed("chunk size line %.20q", p)
	}
	size, err := parseChunkSize(p[:end-1])
	if err != nil {
		return NeedData, 0, err
	}
	d.bodyBytes += size
	if d.limits.BodyBytes > 0 && d.bodyBytes > d.limits.BodyBytes ||
		d.limits.ChunkBytes > 0 && size > int64(d.limits.ChunkBytes) {
		return NeedData, 0, ErrBodyTooLarge
	}
	d.remaining = size
	switch {
	case size == 0:
		d.state = stateTrailer
	case d.limits.ChunkBytes > 0:
		d.state = stateWholeChunk
	default:
		d.state = stateChunkData
	}
	return stateChanged, end + 1, nil
}

// checkPartialSizeLine returns an error if p is not the beginning of a size line, so that malformed input is rejected
// before its line is complete.
func checkPartialSizeLine(p []byte) error {
	for i, c := range p {
		if _, ok := hexDigit(c); ok {
			continue
		}
		if i > 0 && (c == '\r' || c == ';' || c == ' ' || c == '\t') {
			return nil
		}
		return malformed("chunk size %.20q", p)
	}
	return nil
}

// parseChunkSize parses a size line, which it receives without its line end. Extensions are validated and ignored.
func parseChunkSize(line []byte) (int64, error) {
	if i := bytes.IndexByte(line, ';'); i >= 0 {
		if !isFieldValue(line[i:]) {
			return 0, malformed("chunk extension %.20q", line[i:])
		}
		line = bytes.TrimRight(line[:i], " \t")
	}
	if len(line) == 0 || len(line) > maxChunkSizeDigits {
		return 0, malformed("chunk size %.20q", line)
	}
	size := int64(0)
	for _, c := range line {
		digit, ok := hexDigit(c)
		if !ok {
			return 0, malformed("chunk size %.20q", line)
		}
		size = size<<4 | digit
	}
	return size, nil
}

// hexDigit returns the value of a hexadecimal digit; ok is false if c is not one.
func hexDigit(c byte) (value int64, ok bool) {
	switch {
	case '0' <= c && c <= '9':
		return int64(c - '0'), true
	case 'a' <= c && c <= 'f':
		return int64(c-'a') + 10, true
	case 'A' <= c && c <= 'F':
		return int64(c-'A') + 10, true
	}
	return 0, false
}

// decodeChunkData consumes the chunk data that has arrived.
func (d *Decoder) decodeChunkData(p []byte) (Event, []byte, int) {
	n := int(min(int64(len(p)), d.remaining))
	if n == 0 {
		return NeedData, nil, 0
	}
	d.remaining -= int64(n)
	if d.remaining == 0 {
		d.state = stateChunkEnd
	}
	return BodyData, p[:n], n
}

// decodeWholeChunk consumes the data and the line end of a chunk. It consumes nothing while they are incomplete, so
// that no data is returned of a chunk whose length differs from its stated size.
func (d *Decoder) decodeWholeChunk(p []byte) (Event, []byte, int, error) {
	if int64(len(p)) < d.remaining+2 {
		return NeedData, nil, 0, nil
	}
	size := int(d.remaining)
	if p[size] != '\r' || p[size+1] != '\n' {
		return NeedData, nil, 0, malformed("a chunk does not fit its size")
	}
	d.state = stateChunkSize
	return BodyData, p[:size], size + 2, nil
}

// decodeChunkEnd consumes the line end after chunk data.
func (d *Decoder) decodeChunkEnd(p []byte) (Event, int, error) {
	if len(p) > 0 && p[0] != '\r' || len(p) > 1 && p[1] != '\n' {
		return NeedData, 0, malformed("a chunk does not fit its size")
	}
	if len(p) < 2 {
		return NeedData, 0, nil
	}
	d.state = stateChunkSize
	return stateChanged, 2, nil
}

// decodeTrailer consumes the trailer section and ignores its fields.
func (d *Decoder) decodeTrailer(p []byte) (Event, int, error) {
	if bytes.HasPrefix(p, []byte("\r\n")) {
		d.state = stateMessageEnd
		return stateChanged, 2, nil
	}
	if len(p) < 2 {
		return NeedData, 0, nil
	}
	end, err := headEnd(p, d.limits.HeadBytes)
	if err != nil || end == 0 {
		return NeedData, 0, err
	}
	var trailer Head
	if err := trailer.parseFields(p[:end], d.limits.HeadFields); err != nil {
		return NeedData, 0, err
	}
	d.state = stateMessageEnd
	return stateChanged, end, nil
}
