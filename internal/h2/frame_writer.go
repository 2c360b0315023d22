package h2

import "golang.org/x/net/http2"

const (
	frameHeaderBytes = 9
	maxFrameBytes    = 16384 // maximum payload of a frame that this end accepts or sends
)

// frameWriter writes frames to a connection's output, which accepts all bytes. The framer returns an error only for an
// invalid frame, such as a window update by 0, and then writes nothing.
type frameWriter struct{ framer *http2.Framer }

func (w frameWriter) writeSettings(settings []http2.Setting) { _ = w.framer.WriteSettings(settings...) }

func (w frameWriter) writeSettingsAck() { _ = w.framer.WriteSettingsAck() }

func (w frameWriter) writeWindowUpdate(streamID, increment uint32) {
	_ = w.framer.WriteWindowUpdate(streamID, increment)
}

func (w frameWriter) writePing(ack bool, data [8]byte) { _ = w.framer.WritePing(ack, data) }

func (w frameWriter) writeGoAway(lastStreamID uint32, code http2.ErrCode, debugData []byte) {
	_ = w.framer.WriteGoAway(lastStreamID, code, debugData)
}

func (w frameWriter) writeRSTStream(streamID uint32, code http2.ErrCode) {
	_ = w.framer.WriteRSTStream(streamID, code)
}

func (w frameWriter) writeData(streamID uint32, endStream bool, data []byte) {
	_ = w.framer.WriteData(streamID, endStream, data)
}

// writeHeaders writes an encoded header block in a HEADERS frame, followed by as many CONTINUATION frames as needed.
func (w frameWriter) writeHeaders(streamID uint32, block []byte, maxBytes int, endStream bool) {
	first := block[:min(len(block), maxBytes)]
	block = block[len(first):]
	_ = w.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID:      streamID,
		BlockFragment: first,
		EndStream:     endStream,
		EndHeaders:    len(block) == 0,
	})
	for len(block) > 0 {
		part := block[:min(len(block), maxBytes)]
		block = block[len(part):]
		_ = w.framer.WriteContinuation(streamID, len(block) == 0, part)
	}
}

// appendDataHeader appends the header of a DATA frame to output.
func appendDataHeader(output []byte, streamID uint32, length int, endStream bool) []byte {
	var flags http2.Flags
	if endStream {
		flags = http2.FlagDataEndStream
	}
	return append(output,
		byte(length>>16), byte(length>>8), byte(length),
		byte(http2.FrameData), byte(flags),
		byte(streamID>>24), byte(streamID>>16), byte(streamID>>8), byte(streamID))
}

// outputWriter is the io.Writer with which the framer appends to a connection's output.
type outputWriter struct{ conn *Conn }

func (w outputWriter) Write(p []byte) (int, error) {
	w.conn.output = append(w.conn.output, p...)
	return len(p), nil
}
