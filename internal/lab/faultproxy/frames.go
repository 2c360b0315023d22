package faultproxy

import (
	"bytes"
	"encoding/binary"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
)

// frameHeaderSize is the size of the header of an HTTP/2 frame.
const frameHeaderSize = 9

// frame is an HTTP/2 frame with its decoded header.
type frame struct {
	kind    http2.FrameType
	flags   http2.Flags
	stream  uint32
	payload []byte
}

// frameReader splits the bytes of one direction of a connection into frames and decodes header blocks.
type frameReader struct {
	skip      int    // remaining bytes of the client preface
	buf       []byte // bytes not yet returned as frames
	decoder   *hpack.Decoder
	block     []byte // header block of a HEADERS frame and its CONTINUATION frames so far
	endStream bool   // END_STREAM flag of that HEADERS frame
}

// add appends bytes to the buffer.
func (r *frameReader) add(b []byte) {
	n := min(r.skip, len(b))
	r.skip -= n
	r.buf = append(r.buf, b[n:]...)
}

// next returns the next complete frame. Its payload is valid until add is called.
func (r *frameReader) next() (frame, bool) {
	if len(r.buf) < frameHeaderSize {
		return frame{}, false
	}
	length := int(r.buf[0])<<16 | int(r.buf[1])<<8 | int(r.buf[2])
	end := frameHeaderSize + length
	if len(r.buf) < end {
		return frame{}, false
	}
	f := frame{
		kind:    http2.FrameType(r.buf[3]),
		flags:   http2.Flags(r.buf[4]),
		stream:  binary.BigEndian.Uint32(r.buf[5:]) & streamIDMask,
		payload: r.buf[frameHeaderSize:end],
	}
	r.buf = r.buf[end:]
	return f, true
}

// compact releases the memory of the frames that next has returned.
func (r *frameReader) compact() { r.buf = bytes.Clone(r.buf) }

// headerBlock holds the headers or trailers of a stream.
type headerBlock struct {
	fields    []hpack.HeaderField
	endStream bool
}

// value returns the first value of a header field, or "" if there is none.
func (h headerBlock) value(name string) string {
	for _, field := range h.fields {
		if field.Name == name {
			return field.Value
		}
	}
	return ""
}

// readHeaders collects the header block of HEADERS and CONTINUATION frames. It returns the block when it is complete.
// It returns false if the block is incomplete or invalid, and for other frames.
func (r *frameReader) readHeaders(f frame) (headerBlock, bool) {
	switch f.kind {
	case http2.FrameHeaders:
		r.block = append(r.block[:0], headersFragment(f)...)
		r.endStream = f.flags.Has(http2.FlagHeadersEndStream)
	case http2.FrameContinuation:
		r.block = append(r.block, f.payload...)
	default:
		return headerBlock{}, false
	}
	if !f.flags.Has(http2.FlagHeadersEndHeaders) { // CONTINUATION frames use the same bit
		return headerBlock{}, false
	}
	fields, err := r.decoder.DecodeFull(r.block)
	if err != nil {
		return headerBlock{}, false
	}
	return headerBlock{fields: fields, endStream: r.endStream}, true
}

// headersFragment returns the header block fragment of a HEADERS frame: its payload without padding and priority.
func headersFragment(f frame) []byte {
	payload, padding := f.payload, 0
	if f.flags.Has(http2.FlagHeadersPadded) && len(payload) > 0 {
		padding, payload = int(payload[0]), payload[1:]
	}
	if f.flags.Has(http2.FlagHeadersPriority) && len(payload) >= prioritySize {
		payload = payload[prioritySize:]
	}
	return payload[:max(len(payload)-padding, 0)]
}
