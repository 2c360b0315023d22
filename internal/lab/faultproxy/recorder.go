package faultproxy

import (
	"encoding/binary"
	"maps"
	"slices"
	"strconv"
	"sync"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"

	"docksail/internal/lab/eventlog"
)

const (
	headerTableSize = 4096      // initial size of the HPACK dynamic table, in bytes
	streamIDMask    = 1<<31 - 1 // clears the reserved bit
	prioritySize    = 5         // bytes of the priority field in a HEADERS frame
)

// Notes of the log entries for the end of an attempt.
const (
	noteStatus            = "status"
	noteResetByDispatcher = "reset by the dispatcher"
	noteResetByServer     = "reset by the host"
	noteRefused           = "refused"
	noteClosed            = "closed"
)

// attemptNotes holds the notes of the log entries for sent attempts, by the path of the gRPC method.
var attemptNotes = map[string]string{
	"/docksail.v1.Engine/Read":  "read",
	"/docksail.v1.Engine/Write": "write",
}

// FrameRecorder reads the HTTP/2 frames of one connection between a dispatcher and a server in both directions. It
// adds an entry to the event log when an attempt is sent and when it ends.
type FrameRecorder struct {
	log        *eventlog.Log
	server     int
	dispatcher int

	mu       sync.Mutex
	inFlight map[uint32]eventlog.Entry // entries of the attempts in flight, by stream ID
	sent     frameReader
	received frameReader
}

// NewFrameRecorder returns a recorder for a connection from a dispatcher to a server. log may be nil.
func NewFrameRecorder(log *eventlog.Log, server, dispatcher int) *FrameRecorder {
	return &FrameRecorder{
		log:        log,
		server:     server,
		dispatcher: dispatcher,
		inFlight:   map[uint32]eventlog.Entry{},
		sent:       frameReader{skip: len(http2.ClientPreface), decoder: hpack.NewDecoder(headerTableSize, nil)},
		received:   frameReader{decoder: hpack.NewDecoder(headerTableSize, nil)},
	}
}

// Sent records bytes that the dispatcher sent.
func (r *FrameRecorder) Sent(b []byte) { r.read(&r.sent, b, r.handleSent) }

// Received records bytes that the server sent.
func (r *FrameRecorder) Received(b []byte) { r.read(&r.received, b, r.handleReceived) }

// Closed records the end of the connection, and with it the end of all attempts in flight.
func (r *FrameRecorder) Closed() {
	if r.log == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(r.inFlight)) {
		r.endAttempt(id, "", noteClosed)
	}
}

// read adds b to the reader and calls handle for each frame that is complete.
func (r *FrameRecorder) read(reader *frameReader, b []byte, handle func(frame)) {
	if r.log == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reader.add(b)
	for {
		f, ok := reader.next()
		if !ok {
			break
		}
		handle(f)
	}
	reader.compact()
}

// handleSent handles a frame from the dispatcher.
func (r *FrameRecorder) handleSent(f frame) {
	if f.kind == http2.FrameRSTStream {
		if len(f.payload) == 4 {
			r.endAttempt(f.stream, "", noteResetByDispatcher)
		}
		return
	}
	if headers, ok := r.sent.readHeaders(f); ok {
		r.startAttempt(f.stream, headers)
	}
}

// handleReceived handles a frame from the server.
func (r *FrameRecorder) handleReceived(f frame) {
	switch f.kind {
	case http2.FrameRSTStream:
		if len(f.payload) == 4 {
			note := noteResetByServer
			if http2.ErrCode(binary.BigEndian.Uint32(f.payload)) == http2.ErrCodeRefusedStream {
				note = noteRefused
			}
			r.endAttempt(f.stream, "", note)
		}
	case http2.FrameGoAway:
		if len(f.payload) >= 8 {
			r.refuseAfter(binary.BigEndian.Uint32(f.payload) & streamIDMask)
		}
	default:
		if headers, ok := r.received.readHeaders(f); ok && headers.endStream {
			status, _ := strconv.Atoi(headers.value("grpc-status"))
			r.endAttempt(f.stream, codes.Code(status).String(), noteStatus)
		}
	}
}

// startAttempt records that an attempt was sent. It ignores other methods.
func (r *FrameRecorder) startAttempt(stream uint32, headers headerBlock) {
	note, ok := attemptNotes[headers.value(":path")]
	if !ok {
		return
	}
	attempt, _ := strconv.Atoi(headers.value("docksail-shot"))
	e := eventlog.Entry{
		Kind:       eventlog.AttemptSent,
		Request:    headers.value("docksail-job"),
		Server:     r.server,
		Dispatcher: r.dispatcher,
		Attempt:    attempt,
		Note:       note,
	}
	r.inFlight[stream] = e
	r.log.Add(e)
}

// endAttempt records the end of an attempt, if it is in flight. code is empty if the server did not send a status.
func (r *FrameRecorder) endAttempt(stream uint32, code, note string) {
	e, ok := r.inFlight[stream]
	if !ok {
		return
	}
	delete(r.inFlight, stream)
	e.Kind, e.Code, e.Note, e.At = eventlog.AttemptEnded, code, note, 0
	r.log.Add(e)
}

// refuseAfter records as refused the attempts on streams above the last stream ID of a GOAWAY frame.
func (r *FrameRecorder) refuseAfter(lastStream uint32) {
	for _, id := range slices.Sorted(maps.Keys(r.inFlight)) {
		if id > lastStream {
			r.endAttempt(id, "", noteRefused)
		}
	}
}
