package h2

import (
	"bytes"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"
)

// noErrCode means that no frame with an error code was received.
const noErrCode = http2.ErrCode(999)

// echoHandler is a server's Handler that echoes each message and ends the stream when the client has closed its sending
// side.
type echoHandler struct {
	retain        bool // messages are retained and not echoed
	retainedBytes int
	resets        int
	messages      [][]byte
	lastStream    *Stream
}

func (e *echoHandler) HeadersReceived(s *Stream, _ *Header) { e.lastStream = s }
func (e *echoHandler) MessageReceived(s *Stream, message []byte) bool {
	e.messages = append(e.messages, bytes.Clone(message))
	if e.retain {
		e.retainedBytes += messagePrefixBytes + len(message)
		return true
	}
	s.SendMessage(message, false)
	return false
}

func (e *echoHandler) RequestEnded(s *Stream)                              { s.EndWithStatus(codes.OK, "") }
func (e *echoHandler) StreamFinished(*Stream, codes.Code, string, *Header) {}
func (e *echoHandler) StreamReset(*Stream, http2.ErrCode, bool)            { e.resets++ }
func (e *echoHandler) StreamFlushed(*Stream)                               {}
func (e *echoHandler) GoAwayReceived()                                     {}
func (e *echoHandler) PingAcked()                                          {}

// clientHandler is a client's Handler that records messages and statuses by stream ID.
type clientHandler struct {
	messages map[uint32][][]byte
	finished map[uint32]string // code and message of the status, appended for each call
	refused  int
	resets   int
	goAway   bool
}

func newClientHandler() *clientHandler {
	return &clientHandler{messages: map[uint32][][]byte{}, finished: map[uint32]string{}}
}

func (h *clientHandler) HeadersReceived(*Stream, *Header) {}
func (h *clientHandler) MessageReceived(s *Stream, message []byte) bool {
	h.messages[s.ID()] = append(h.messages[s.ID()], bytes.Clone(message))
	return false
}
func (h *clientHandler) RequestEnded(*Stream) {}
func (h *clientHandler) StreamFinished(s *Stream, code codes.Code, message string, _ *Header) {
	h.finished[s.ID()] += code.String() + " " + message
}

func (h *clientHandler) StreamReset(_ *Stream, _ http2.ErrCode, refused bool) {
	h.resets++
	if refused {
		h.refused++
	}
}
func (h *clientHandler) StreamFlushed(*Stream) {}
func (h *clientHandler) GoAwayReceived()       { h.goAway = true }
func (h *clientHandler) PingAcked()            {}

// transfer feeds the output of each end to the other until neither has any, in pieces of pieceBytes bytes.
func transfer(t *testing.T, a, b *Conn, pieceBytes func() int) {
	t.Helper()
	for a.HasOutput() || b.HasOutput() {
		for _, direction := range [][2]*Conn{{a, b}, {b, a}} {
			p := bytes.Clone(direction[0].TakeOutput())
			for len(p) > 0 {
				n := min(len(p), pieceBytes())
				if err := direction[1].Feed(1, p[:n]); err != nil {
					t.Fatalf("feed: %v", err)
				}
				p = p[n:]
			}
		}
	}
}

// inOnePiece makes transfer feed all output at once.
func inOnePiece() int { return 1 << 30 }

// scriptedPeer is a peer that sends any frames that a test writes, including invalid ones.
type scriptedPeer struct {
	conn    *Conn // the end under test
	handler *echoHandler
	frames  scriptedFrames
	output  bytes.Buffer // bytes for the next feed
	encoder *hpack.Encoder
	block   bytes.Buffer // output of encoder
	decoder *hpack.Decoder
}

// newScriptedClient returns a scripted client of a server with an echoHandler. It has sent its preface and settings.
func newScriptedClient(tb testing.TB) *scriptedPeer {
	tb.Helper()
	p := &scriptedPeer{handler: &echoHandler{}, decoder: hpack.NewDecoder(headerTableBytes, nil)}
	p.conn = NewServerConn(scriptedServerLimits, p.handler)
	framer := http2.NewFramer(&p.output, nil)
	framer.AllowIllegalWrites = true
	p.frames = scriptedFrames{tb, framer}
	p.encoder = hpack.NewEncoder(&p.block)
	p.output.WriteString(http2.ClientPreface)
	p.frames.WriteSettings()
	return p
}

// scriptedServerLimits are the limits of a scripted client's server.
var scriptedServerLimits = Limits{
	MaxStreams:         100,
	StreamWindow:       65535,
	ConnWindow:         1 << 20,
	MaxHeaderListBytes: 8 << 10,
	MaxMessageBytes:    1 << 16,
}

// encode returns the header block of fields, which alternate between names and values.
func (p *scriptedPeer) encode(fields ...string) []byte {
	p.block.Reset()
	for i := 0; i+1 < len(fields); i += 2 {
		_ = p.encoder.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]}) // cannot fail
	}
	return bytes.Clone(p.block.Bytes())
}

// encodeRequest returns the header block of a gRPC request with additional fields.
func (p *scriptedPeer) encodeRequest(extra ...string) []byte {
	fields := []string{":method", "POST", ":scheme", "http", ":path", "/x/Y", "content-type", "application/grpc"}
	return p.encode(append(fields, extra...)...)
}

// request returns the header block of a valid gRPC request.
func (p *scriptedPeer) request() []byte { return p.encodeRequest("te", "trailers") }

// headers sends a header block in one frame.
func (p *scriptedPeer) headers(id uint32, block []byte, end bool) {
	p.frames.WriteHeaders(http2.HeadersFrameParam{
		StreamID: id, BlockFragment: block, EndHeaders: true, EndStream: end,
	})
}

// feed passes the written bytes to the end under test. now is their time of arrival.
func (p *scriptedPeer) feed(now int64) error {
	data := bytes.Clone(p.output.Bytes())
	p.output.Reset()
	return p.conn.Feed(now, data)
}

// sentFrames summarizes the frames that the end under test has sent.
type sentFrames struct {
	goAway   http2.ErrCode            // code of the last GOAWAY, or noErrCode
	resets   map[uint32]http2.ErrCode // codes of RST_STREAM frames by stream
	statuses map[uint32]string        // grpc-status, or an HTTP status other than 200, by stream
}

// takeSentFrames takes and parses the output of the end under test.
func (p *scriptedPeer) takeSentFrames() sentFrames {
	framer := http2.NewFramer(nil, bytes.NewReader(bytes.Clone(p.conn.TakeOutput())))
	framer.ReadMetaHeaders = p.decoder
	a := sentFrames{goAway: noErrCode, resets: map[uint32]http2.ErrCode{}, statuses: map[uint32]string{}}
	for {
		frame, err := framer.ReadFrame()
		if err != nil {
			return a
		}
		switch f := frame.(type) {
		case *http2.GoAwayFrame:
			a.goAway = f.ErrCode
		case *http2.RSTStreamFrame:
			a.resets[f.StreamID] = f.ErrCode
		case *http2.MetaHeadersFrame:
			for _, h := range f.Fields {
				if h.Name == "grpc-status" || h.Name == ":status" && h.Value != "200" {
					a.statuses[f.StreamID] = h.Value
				}
			}
		}
	}
}

// scriptedFrames writes frames for a scriptedPeer. An error fails the test.
type scriptedFrames struct {
	tb     testing.TB
	framer *http2.Framer
}

func (w scriptedFrames) check(err error) {
	w.tb.Helper()
	if err != nil {
		w.tb.Fatal(err)
	}
}

func (w scriptedFrames) WriteSettings(settings ...http2.Setting) {
	w.check(w.framer.WriteSettings(settings...))
}

func (w scriptedFrames) WriteHeaders(param http2.HeadersFrameParam) {
	w.check(w.framer.WriteHeaders(param))
}

func (w scriptedFrames) WriteContinuation(id uint32, end bool, block []byte) {
	w.check(w.framer.WriteContinuation(id, end, block))
}

func (w scriptedFrames) WriteData(id uint32, end bool, data []byte) {
	w.check(w.framer.WriteData(id, end, data))
}

func (w scriptedFrames) WriteDataPadded(id uint32, end bool, data, padding []byte) {
	w.check(w.framer.WriteDataPadded(id, end, data, padding))
}

func (w scriptedFrames) WriteRSTStream(id uint32, code http2.ErrCode) {
	w.check(w.framer.WriteRSTStream(id, code))
}

func (w scriptedFrames) WritePing(ack bool, data [8]byte) { w.check(w.framer.WritePing(ack, data)) }

func (w scriptedFrames) WriteWindowUpdate(id, increment uint32) {
	w.check(w.framer.WriteWindowUpdate(id, increment))
}

func (w scriptedFrames) WriteGoAway(last uint32, code http2.ErrCode, debugData []byte) {
	w.check(w.framer.WriteGoAway(last, code, debugData))
}

func (w scriptedFrames) WritePriority(id uint32, param http2.PriorityParam) {
	w.check(w.framer.WritePriority(id, param))
}

func (w scriptedFrames) WriteRawFrame(kind http2.FrameType, flags http2.Flags, id uint32, payload []byte) {
	w.check(w.framer.WriteRawFrame(kind, flags, id, payload))
}
