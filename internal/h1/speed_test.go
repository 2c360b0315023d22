package h1

import (
	"strings"
	"testing"
)

const (
	speedRequest = "POST /v1/chat/completions HTTP/1.1\r\nHost: localhost\r\nX-Txn: 00000000000000aa\r\nX-Lane: a\r\n" +
		"X-Remaining: 5\r\nContent-Type: application/json\r\nContent-Length: 5\r\n\r\nhello"
	speedResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	speedChunk    = "20\r\ndata: 0123456789012345678901234\n\r\n"
)

// decodeAll decodes p, which holds complete messages.
func decodeAll(tb testing.TB, decoder *Decoder, p []byte) {
	tb.Helper()
	for {
		event, _, n, err := decoder.Next(p)
		p = p[n:]
		switch {
		case err != nil:
			tb.Fatal(err)
		case event == NeedData && len(p) > 0:
			tb.Fatalf("%d bytes are left", len(p))
		case event == NeedData:
			return
		}
	}
}

func speedInputs() map[string]struct {
	decoder Decoder
	input   []byte
} {
	limits := Limits{HeadBytes: 16 << 10, BodyBytes: 256 << 10}
	stream := []byte(speedResponse + strings.Repeat(speedChunk, 64) + "0\r\n\r\n")
	return map[string]struct {
		decoder Decoder
		input   []byte
	}{
		"request":               {NewRequestDecoder(limits), []byte(speedRequest)},
		"chunked response":      {NewResponseDecoder(Limits{HeadBytes: 16 << 10}), stream},
		"whole chunks response": {NewResponseDecoder(Limits{HeadBytes: 16 << 10, ChunkBytes: 64 << 10}), stream},
	}
}

// TestDecoderDoesNotAllocate holds that a decoder which has seen a message allocates nothing for the next.
func TestDecoderDoesNotAllocate(t *testing.T) {
	for name, c := range speedInputs() {
		if allocs := testing.AllocsPerRun(100, func() { decodeAll(t, &c.decoder, c.input) }); allocs > 0 {
			t.Errorf("%s: %g allocations a message, want none", name, allocs)
		}
	}
}

func BenchmarkDecoder(b *testing.B) {
	for name, c := range speedInputs() {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(c.input)))
			b.ReportAllocs()
			for b.Loop() {
				decodeAll(b, &c.decoder, c.input)
			}
		})
	}
}
