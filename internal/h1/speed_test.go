package h1

import (
	"strings"
	"testing"
)

const (
	testRequest = "POST /v1/chat/completions HTTP/1.1\r\nHost: localhost\r\nX-Txn: 00000000000000aa\r\nX-Lane: a\r\n" +
		"X-Remaining: 5\r\nContent-Type: application/json\r\nContent-Length: 5\r\n\r\nhello"
	testResponse = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	testChunk    = "20\r\ndata: 0123456789012345678901234\n\r\n"
)

// decodeAll decodes p, which must consist of complete messages.
func decodeAll(tb testing.TB, decoder *Decoder, p []byte) {
	tb.Helper()
	for {
		event, _, n, err := decoder.Next(p)
		p = p[n:]
		switch {
		case err != nil:
			tb.Fatal(err)
		case event == NeedData && len(p) > 0:
			tb.Fatalf("%d bytes were not consumed", len(p))
		case event == NeedData:
			return
		}
	}
}

// testInputs returns decoders and inputs for them by name.
func testInputs() map[string]struct {
	decoder Decoder
	input   []byte
} {
	limits := Limits{HeadBytes: 16 << 10, BodyBytes: 256 << 10}
	stream := []byte(testResponse + strings.Repeat(testChunk, 64) + "0\r\n\r\n")
	return map[string]struct {
		decoder Decoder
		input   []byte
	}{
		"request":               {NewRequestDecoder(limits), []byte(testRequest)},
		"chunked response":      {NewResponseDecoder(Limits{HeadBytes: 16 << 10}), stream},
		"whole chunks response": {NewResponseDecoder(Limits{HeadBytes: 16 << 10, ChunkBytes: 64 << 10}), stream},
	}
}

// TestDecoderDoesNotAllocate checks that a decoder allocates no memory after its first message.
func TestDecoderDoesNotAllocate(t *testing.T) {
	for name, c := range testInputs() {
		if allocs := testing.AllocsPerRun(100, func() { decodeAll(t, &c.decoder, c.input) }); allocs > 0 {
			t.Errorf("%s: %g allocations per run, want 0", name, allocs)
		}
	}
}

func BenchmarkDecoder(b *testing.B) {
	for name, c := range testInputs() {
		b.Run(name, func(b *testing.B) {
			b.SetBytes(int64(len(c.input)))
			b.ReportAllocs()
			for b.Loop() {
				decodeAll(b, &c.decoder, c.input)
			}
		})
	}
}
