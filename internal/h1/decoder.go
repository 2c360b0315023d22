package h1

import "bytes"

// Event is the kind of a message part that a decoder has found.
type Event uint8

// The events of a message occur in this order. BodyData may occur any number of times.
const (
	NeedData    Event = iota // no event: more bytes are needed
	MessageHead              // the head, which is in Decoder.Head
	BodyData                 // a part of the body
	MessageEnd               // the end of the message

	stateChanged // no event: decoding continues with the remaining bytes in the next state
)

type decoderState uint8

const (
	stateHead decoderState = iota
	stateFixedBody
	stateChunkSize
	stateChunkData  // data is returned as it arrives
	stateWholeChunk // data is returned once the whole chunk has arrived
	stateChunkEnd
	stateTrailer
	stateBodyUntilClose
	stateMessageEnd
)

const (
	versionPrefix = "HTTP/1."
	// maxInformational bounds the informational (1xx) responses before a final response.
	maxInformational = 16

	statusContinue           = 100
	statusSwitchingProtocols = 101
	statusOK                 = 200
	statusNoContent          = 204
	statusNotModified        = 304
)

// Decoder decodes the messages of one direction of a connection. NewRequestDecoder and NewResponseDecoder return one.
type Decoder struct {
	Head Head // head of the message that is being decoded

	limits        Limits
	isRequest     bool
	state         decoderState
	remaining     int64 // bytes of the body or of the chunk that have not been decoded yet
	bodyBytes     int64 // decoded bytes of a body without Content-Length
	informational int   // number of informational responses before the current one
}

// NewRequestDecoder returns a decoder for requests.
func NewRequestDecoder(limits Limits) Decoder { return Decoder{limits: limits, isRequest: true} }

// NewResponseDecoder returns a decoder for responses.
func NewResponseDecoder(limits Limits) Decoder { return Decoder{limits: limits} }

// AtMessageStart reports whether the decoder is between messages: no byte of the next message has been consumed.
func (d *Decoder) AtMessageStart() bool { return d.state == stateHead }

// Next decodes the next event from the front of p and returns the number n of consumed bytes. The caller passes the
// remaining bytes, followed by those that have arrived since, to the next call. data is set for BodyData. data and the
// slices in Head point into p. The decoder must not be used again after an error.
func (d *Decoder) Next(p []byte) (event Event, data []byte, n int, err error) {
	for {
		consumed := 0
		switch d.state {
		case stateHead:
			event, consumed, err = d.decodeHead(p[n:])
		case stateFixedBody:
			event, data, consumed = d.decodeFixedBody(p[n:])
		case stateBodyUntilClose:
			event, data, consumed, err = d.decodeBodyUntilClose(p[n:])
		case stateChunkSize:
			event, consumed, err = d.decodeChunkSize(p[n:])
		case stateChunkData:
			event, data, consumed = d.decodeChunkData(p[n:])
		case stateWholeChunk:
			event, data, consumed, err = d.decodeWholeChunk(p[n:])
		case stateChunkEnd:
			event, consumed, err = d.decodeChunkEnd(p[n:])
		case stateTrailer:
			event, consumed, err = d.decodeTrailer(p[n:])
		case stateMessageEnd:
			d.state, d.informational, d.bodyBytes = stateHead, 0, 0
			event = MessageEnd
		}
		n += consumed
		if event != stateChanged {
			return event, data, n, err
		}
	}
}

// EndOfInput tells the decoder that no more bytes will arrive. It returns MessageEnd if this ends a message, NeedData
// if the decoder is between messages, and otherwise ErrTruncated.
func (d *Decoder) EndOfInput() (Event, error) {
	switch d.state {
	case stateBodyUntilClose:
		d.state = stateHead
		return MessageEnd, nil
	case stateHead:
		return NeedData, nil
	default:
		return NeedData, ErrTruncated
	}
}

// decodeHead consumes a complete head. Informational responses are skipped.
func (d *Decoder) decodeHead(p []byte) (Event, int, error) {
	if !d.isRequest {
		prefix := min(len(p), len(versionPrefix))
		if string(p[:prefix]) != versionPrefix[:prefix] {
			return NeedData, 0, malformed("an answer begins with %.20q", p)
		}
	}
	end, err := headEnd(p, d.limits.HeadBytes)
	if err != nil || end == 0 {
		return NeedData, 0, err
	}
	if err := d.Head.parse(p[:end], d.isRequest, d.limits.HeadFields); err != nil {
		return NeedData, 0, err
	}
	if !d.isRequest && d.Head.StatusCode < statusOK {
		d.informational++
		if d.informational > maxInformational || d.Head.StatusCode == statusSwitchingProtocols {
			return NeedData, end, malformed("status %d", d.Head.StatusCode)
		}
		return stateChanged, end, nil
	}
	if err := d.beginBody(); err != nil {
		return NeedData, end, err
	}
	return MessageHead, end, nil
}

// headEnd returns the length of the head at the front of p, including the empty line that ends it. It returns 0 while
// the head is incomplete.
func headEnd(p []byte, limit int) (int, error) {
	const emptyLine = "\r\n\r\n"
	i := bytes.Index(p, []byte(emptyLine))
	switch {
	case i >= 0 && i+len(emptyLine) <= limit:
		return i + len(emptyLine), nil
	case i >= 0 || len(p) > limit:
		return 0, ErrHeadTooLarge
	}
	return 0, nil
}

// beginBody sets the state for decoding the body that follows Head.
func (d *Decoder) beginBody() error {
	head := &d.Head
	d.bodyBytes = 0
	bodiless := head.StatusCode == statusNoContent || head.StatusCode == statusNotModified
	switch {
	case bodiless: // whatever its fields say
		d.state = stateMessageEnd
	case head.Chunked:
		d.state = stateChunkSize
	case head.ContentLength > 0:
		d.state, d.remaining = stateFixedBody, head.ContentLength
		if d.limits.BodyBytes > 0 && head.ContentLength > d.limits.BodyBytes {
			return ErrBodyTooLarge
		}
	case head.ContentLength < 0 && !d.isRequest:
		d.state, head.Close = stateBodyUntilClose, true
	default:
		d.state = stateMessageEnd
	}
	return nil
}

// decodeFixedBody consumes bytes of a body with a Content-Length.
func (d *Decoder) decodeFixedBody(p []byte) (Event, []byte, int) {
	n := int(min(int64(len(p)), d.remaining))
	if n == 0 {
		return NeedData, nil, 0
	}
	d.remaining -= int64(n)
	if d.remaining == 0 {
		d.state = stateMessageEnd
	}
	return BodyData, p[:n], n
}

// decodeBodyUntilClose consumes bytes of a body that ends when the connection is closed.
func (d *Decoder) decodeBodyUntilClose(p []byte) (Event, []byte, int, error) {
	d.bodyBytes += int64(len(p))
	if d.limits.BodyBytes > 0 && d.bodyBytes > d.limits.BodyBytes {
		return NeedData, nil, 0, ErrBodyTooLarge
	}
	if len(p) == 0 {
		return NeedData, nil, 0, nil
	}
	return BodyData, p, len(p), nil
}
