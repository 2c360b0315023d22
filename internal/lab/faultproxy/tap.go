package faultproxy

import (
	"maps"
	"slices"
	"strconv"
	"sync"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/grpc/codes"

	"docksail/internal/lab/eventlog"
)

// FrameRecorder reads the frames of one connection, both ways, as they pass.
type FrameRecorder struct {
	book *eventlog.Log
	host int
	disp int
	mu   sync.Mutex
	out  map[uint32]eventlog.Entry // launches that are out, by stream
	to   half
	from half
}

// half is one direction.
type half struct {
	skip  int // bytes of the preface still to come
	buf   []byte
	dec   *hpack.Decoder
	block []byte
	end   bool
}

// NewFrameRecorder reads what passes between a dispatcher and a host into a book.
func NewFrameRecorder(b *eventlog.Log, host, disp int) *FrameRecorder {
	return &FrameRecorder{
		book: b, host: host, disp: disp, out: map[uint32]eventlog.Entry{},
		to: half{skip: len(http2.ClientPreface), dec: hpack.NewDecoder(4096, nil)}, from: half{dec: hpack.NewDecoder(4096, nil)},
	}
}

// Sent sees bytes for the host.
func (r *FrameRecorder) Sent(p []byte) { r.see(&r.to, p, true) }

// Received sees bytes from the host.
func (r *FrameRecorder) Received(p []byte) { r.see(&r.from, p, false) }

func (r *FrameRecorder) see(h *half, p []byte, ahead bool) {
	if r.book == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(h.skip, len(p))
	h.skip -= n
	h.buf = append(h.buf, p[n:]...)
	for len(h.buf) >= 9 {
		size := int(h.buf[0])<<16 | int(h.buf[1])<<8 | int(h.buf[2])
		if len(h.buf) < 9+size {
			return
		}
		kind, flags := http2.FrameType(h.buf[3]), http2.Flags(h.buf[4])
		id := (uint32(h.buf[5])<<24 | uint32(h.buf[6])<<16 | uint32(h.buf[7])<<8 | uint32(h.buf[8])) & (1<<31 - 1)
		r.frame(h, kind, flags, id, h.buf[9:9+size], ahead)
		h.buf = h.buf[9+size:]
	}
	h.buf = append([]byte(nil), h.buf...)
}

func (r *FrameRecorder) frame(h *half, kind http2.FrameType, flags http2.Flags, id uint32, p []byte, ahead bool) {
	switch kind {
	case http2.FrameHeaders:
		pad := 0
		if flags.Has(http2.FlagHeadersPadded) && len(p) > 0 {
			pad, p = int(p[0]), p[1:]
		}
		if flags.Has(http2.FlagHeadersPriority) && len(p) >= 5 {
			p = p[5:]
		}
		h.block = append(h.block[:0], p[:max(len(p)-pad, 0)]...)
		h.end = flags.Has(http2.FlagHeadersEndStream)
		if flags.Has(http2.FlagHeadersEndHeaders) {
			r.headers(h, id, ahead)
		}
	case http2.FrameContinuation:
		h.block = append(h.block, p...)
		if flags.Has(http2.FlagContinuationEndHeaders) {
			r.headers(h, id, ahead)
		}
	case http2.FrameRSTStream:
		if len(p) == 4 {
			code := http2.ErrCode(uint32(p[0])<<24 | uint32(p[1])<<16 | uint32(p[2])<<8 | uint32(p[3]))
			note := "reset by the host"
			if ahead {
				note = "reset by the dispatcher"
			} else if code == http2.ErrCodeRefusedStream {
				note = "refused"
			}
			r.end(id, "", note)
		}
	case http2.FrameGoAway:
		if !ahead && len(p) >= 8 {
			last := (uint32(p[0])<<24 | uint32(p[1])<<16 | uint32(p[2])<<8 | uint32(p[3])) & (1<<31 - 1)
			for _, id := range slices.Sorted(maps.Keys(r.out)) {
				if id > last {
					r.end(id, "", "refused")
				}
			}
		}
	}
}

func (r *FrameRecorder) headers(h *half, id uint32, ahead bool) {
	fields, err := h.dec.DecodeFull(h.block)
	if err != nil {
		return
	}
	get := func(name string) string {
		for _, f := range fields {
			if f.Name == name {
				return f.Value
			}
		}
		return ""
	}
	if !ahead {
		if h.end {
			n, _ := strconv.Atoi(get("grpc-status"))
			r.end(id, codes.Code(n).String(), "status")
		}
		return
	}
	e := eventlog.Entry{Kind: eventlog.AttemptSent, Request: get("docksail-job"), Server: r.host, Dispatcher: r.disp}
	e.Attempt, _ = strconv.Atoi(get("docksail-shot"))
	switch get(":path") {
	case "/docksail.v1.Engine/Read":
		e.Note = "read"
	case "/docksail.v1.Engine/Write":
		e.Note = "write"
	default:
		return
	}
	r.out[id] = e
	r.book.Add(e)
}

func (r *FrameRecorder) end(id uint32, code, note string) {
	e, ok := r.out[id]
	if !ok {
		return
	}
	delete(r.out, id)
	e.Kind, e.Code, e.Note, e.At = eventlog.AttemptEnded, code, note, 0
	r.book.Add(e)
}

// Closed ends what is still out: the connection is over.
func (r *FrameRecorder) Closed() {
	if r.book == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(r.out)) {
		r.end(id, "", "closed")
	}
}
