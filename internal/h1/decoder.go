package h1

import "bytes"

// Event is what a decoder found.
type Event uint8

const (
	NeedData    Event = iota // more bytes are needed
	MessageHead              // a head: Decoder.Head holds it
	BodyData                 // a part of the body
	MessageEnd               // the message is at its end
)

type state uint8

const (
	inHead state = iota
	inLength
	inSize
	inChunk
	inChunkEnd
	inTrailer
	untilEnd
	atEnd
)

const sizeLine = 256 // bytes of a chunk's size line, with what extensions it has

// Decoder takes the messages of one connection apart. Feed it what has come: it takes from the front.
type Decoder struct {
	Head    Head
	lim     Limits
	request bool
	state   state
	left    int64
	total   int64
	odd     int // 1xx answers in front
}

// NewRequestDecoder makes a decoder of requests, NewResponseDecoder one of answers.
func NewRequestDecoder(lim Limits) Decoder { return Decoder{lim: lim, request: true} }

// NewResponseDecoder makes a decoder of answers.
func NewResponseDecoder(lim Limits) Decoder { return Decoder{lim: lim} }

// AtMessageStart tells that nothing of a message has been taken.
func (d *Decoder) AtMessageStart() bool { return d.state == inHead }

const mostOdd = 16 // 1xx answers that may come before one

// Next takes the next piece from the front of p: n bytes of it are done with. data, and the Head's slices, point into
// p. After an error the connection is of no more use.
func (d *Decoder) Next(p []byte) (piece Event, data []byte, n int, err error) {
	for {
		switch d.state {
		case inHead:
			k, err := d.headEnd(p[n:])
			if err != nil || k == 0 {
				return NeedData, nil, n, err
			}
			if err := d.Head.parse(p[n:n+k], d.request); err != nil {
				return NeedData, nil, n, err
			}
			n += k
			if !d.request && d.Head.StatusCode < 200 {
				if d.odd++; d.odd > mostOdd || d.Head.StatusCode == 101 {
					return NeedData, nil, n, bad("status %d", d.Head.StatusCode)
				}
				continue
			}
			if err := d.begin(); err != nil {
				return NeedData, nil, n, err
			}
			return MessageHead, nil, n, nil
		case inLength:
			k := int(min(int64(len(p)-n), d.left))
			if k == 0 {
				return NeedData, nil, n, nil
			}
			if d.left -= int64(k); d.left == 0 {
				d.state = atEnd
			}
			return BodyData, p[n : n+k], n + k, nil
		case untilEnd:
			k := len(p) - n
			if d.total += int64(k); d.lim.BodyBytes > 0 && d.total > d.lim.BodyBytes {
				return NeedData, nil, n, ErrBodyTooLarge
			}
			if k == 0 {
				return NeedData, nil, n, nil
			}
			return BodyData, p[n:], len(p), nil
		case inSize:
			k, err := d.size(p[n:])
			if err != nil || k == 0 {
				return NeedData, nil, n, err
			}
			n += k
		case inChunk:
			rest := p[n:]
			if d.lim.ChunkBytes > 0 { // whole, so that what does not fit is known before any of it is given out
				if int64(len(rest)) < d.left+2 {
					return NeedData, nil, n, nil
				}
				if rest[d.left] != '\r' || rest[d.left+1] != '\n' {
					return NeedData, nil, n, bad("a chunk does not fit its size")
				}
				k := int(d.left)
				d.state = inSize
				return BodyData, rest[:k], n + k + 2, nil
			}
			k := int(min(int64(len(rest)), d.left))
			if k == 0 {
				return NeedData, nil, n, nil
			}
			if d.left -= int64(k); d.left == 0 {
				d.state = inChunkEnd
			}
			return BodyData, rest[:k], n + k, nil
		case inChunkEnd:
			rest := p[n:]
			if len(rest) > 0 && rest[0] != '\r' || len(rest) > 1 && rest[1] != '\n' {
				return NeedData, nil, n, bad("a chunk does not fit its size")
			}
			if len(rest) < 2 {
				return NeedData, nil, n, nil
			}
			d.state, n = inSize, n+2
		case inTrailer:
			k, err := d.trailerEnd(p[n:])
			if err != nil || k == 0 {
				return NeedData, nil, n, err
			}
			n += k
			d.state = atEnd
		case atEnd:
			d.state, d.odd, d.total = inHead, 0, 0
			return MessageEnd, nil, n, nil
		}
	}
}

// EndOfInput tells the decoder that no more bytes come: Whole if that is how the message ends.
func (d *Decoder) EndOfInput() (Event, error) {
	switch d.state {
	case untilEnd:
		d.state = inHead
		return MessageEnd, nil
	case inHead:
		return NeedData, nil
	}
	return NeedData, ErrTruncated
}

// headEnd finds the end of a head; 0 while it has not come.
func (d *Decoder) headEnd(p []byte) (int, error) {
	if len(p) > 0 && !d.request && !bytes.HasPrefix([]byte("HTTP/1."), p[:min(len(p), 7)]) {
		return 0, bad("an answer begins with %.20q", p)
	}
	return blankLine(p, d.lim.HeadBytes)
}

func blankLine(p []byte, most int) (int, error) {
	i := bytes.Index(p, []byte("\r\n\r\n"))
	switch {
	case i >= 0 && i+4 <= most:
		return i + 4, nil
	case i >= 0 || len(p) > most:
		return 0, ErrHeadTooLarge
	}
	return 0, nil
}

// trailerEnd takes trailers, which nobody reads.
func (d *Decoder) trailerEnd(p []byte) (int, error) {
	if bytes.HasPrefix(p, []byte("\r\n")) {
		return 2, nil
	}
	if len(p) < 2 {
		return 0, nil
	}
	k, err := blankLine(p, d.lim.HeadBytes)
	if err != nil || k == 0 {
		return 0, err
	}
	var h Head
	return k, h.fields(p[:k])
}

// begin finds the state in which the body is read.
func (d *Decoder) begin() error {
	h := &d.Head
	d.total = 0
	switch {
	case h.Chunked:
		d.state = inSize
	case h.ContentLength > 0 && !(h.StatusCode == 204 || h.StatusCode == 304):
		if d.state, d.left = inLength, h.ContentLength; d.lim.BodyBytes > 0 && h.ContentLength > d.lim.BodyBytes {
			return ErrBodyTooLarge
		}
	case h.ContentLength < 0 && !d.request && h.StatusCode != 204 && h.StatusCode != 304:
		d.state, h.Close = untilEnd, true
	default:
		d.state = atEnd
	}
	return nil
}

// size reads the size line of a chunk; 0 while it has not all come.
func (d *Decoder) size(p []byte) (int, error) {
	i := bytes.IndexByte(p, '\n')
	if i < 0 && len(p) <= sizeLine {
		for k, c := range p { // noise is known before its line ends
			if _, ok := hexDigit(c); !ok && (k == 0 || c != '\r' && c != ';' && c != ' ' && c != '\t') {
				return 0, bad("chunk size %.20q", p)
			} else if !ok {
				break
			}
		}
		return 0, nil
	}
	if i < 1 || i > sizeLine || p[i-1] != '\r' {
		return 0, bad("chunk size line %.20q", p)
	}
	line := p[:i-1]
	if k := bytes.IndexByte(line, ';'); k >= 0 {
		if !validValue(line[k:]) {
			return 0, bad("chunk extension %.20q", line[k:])
		}
		line = bytes.TrimRight(line[:k], " \t")
	}
	if len(line) == 0 || len(line) > 15 {
		return 0, bad("chunk size %.20q", line)
	}
	n := int64(0)
	for _, c := range line {
		x, ok := hexDigit(c)
		if !ok {
			return 0, bad("chunk size %.20q", line)
		}
		n = n<<4 | x
	}
	if d.total += n; d.lim.BodyBytes > 0 && d.total > d.lim.BodyBytes || d.lim.ChunkBytes > 0 && n > int64(d.lim.ChunkBytes) {
		return 0, ErrBodyTooLarge
	}
	if d.state, d.left = inChunk, n; n == 0 {
		d.state = inTrailer
	}
	return i + 1, nil
}

func hexDigit(c byte) (int64, bool) {
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

// InputBuffer keeps what a decoder has not taken yet between one arrival of bytes and the next.
type InputBuffer struct{ rest []byte }

// Len is how many bytes are kept.
func (f *InputBuffer) Len() int { return len(f.rest) }

// Process hands over what has come to take, which gives how many bytes from the front it is done with. Too little for
// take is kept.
func (f *InputBuffer) Process(p []byte, take func(p []byte) int) {
	if len(f.rest) > 0 {
		f.rest = append(f.rest, p...)
		p = f.rest
	}
	n := take(p)
	switch {
	case n == len(p):
		f.drop()
	case len(f.rest) > 0:
		f.rest = f.rest[:copy(f.rest, f.rest[n:])]
	default:
		f.rest = append(f.rest, p[n:]...)
	}
}

const keepRoom = 1 << 10 // a buffer that has grown beyond this is not kept once it is empty

func (f *InputBuffer) drop() {
	if cap(f.rest) > keepRoom {
		f.rest = nil
	}
	f.rest = f.rest[:0]
}
