package faultproxy

import (
	"bytes"
	"slices"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"docksail/internal/lab/eventlog"
)

// framesOf returns the prefix followed by the bytes of the frames that write writes.
func framesOf(t *testing.T, prefix string, write func(f *http2.Framer) error) []byte {
	t.Helper()
	buf := bytes.NewBufferString(prefix)
	if err := write(http2.NewFramer(buf, nil)); err != nil {
		t.Fatal(err)
	}
	return buf.Bytes()
}

// encodeHeaders returns the header block for pairs of names and values.
func encodeHeaders(t *testing.T, pairs ...string) []byte {
	t.Helper()
	var block bytes.Buffer
	encoder := hpack.NewEncoder(&block)
	for pair := range slices.Chunk(pairs, 2) {
		if err := encoder.WriteField(hpack.HeaderField{Name: pair[0], Value: pair[1]}); err != nil {
			t.Fatal(err)
		}
	}
	return block.Bytes()
}

// sendAttempt returns the frames of a prefill attempt on stream 1, whose headers have padding and a CONTINUATION
// frame.
func sendAttempt(t *testing.T) []byte {
	t.Helper()
	block := encodeHeaders(t, ":path", "/docksail.v1.Engine/Read", "docksail-job", "a.1", "docksail-shot", "2")
	return framesOf(t, http2.ClientPreface, func(f *http2.Framer) error {
		first := http2.HeadersFrameParam{StreamID: 1, BlockFragment: block[:5], PadLength: 3}
		if err := f.WriteHeaders(first); err != nil {
			return err
		}
		return f.WriteContinuation(1, true, block[5:])
	})
}

// TestFrameRecorder checks the log entries for each way in which an attempt ends, with bytes split at different sizes.
func TestFrameRecorder(t *testing.T) {
	trailers := encodeHeaders(t, "grpc-status", "14")
	for _, test := range []struct {
		name       string
		received   func(f *http2.Framer) error
		code, note string
	}{
		{"status", func(f *http2.Framer) error {
			return f.WriteHeaders(http2.HeadersFrameParam{
				StreamID: 1, BlockFragment: trailers, EndHeaders: true, EndStream: true,
			})
		}, "Unavailable", noteStatus},
		{"reset", func(f *http2.Framer) error {
			return f.WriteRSTStream(1, http2.ErrCodeCancel)
		}, "", noteResetByServer},
		{"refused", func(f *http2.Framer) error {
			return f.WriteRSTStream(1, http2.ErrCodeRefusedStream)
		}, "", noteRefused},
		{"refused by GOAWAY", func(f *http2.Framer) error {
			return f.WriteGoAway(0, http2.ErrCodeNo, nil)
		}, "", noteRefused},
		{"in flight at GOAWAY", func(f *http2.Framer) error {
			return f.WriteGoAway(1, http2.ErrCodeNo, nil)
		}, "", noteClosed},
	} {
		for _, size := range []int{1, 7, 1 << 10} {
			t.Run(test.name, func(t *testing.T) {
				log := &eventlog.Log{}
				r := NewFrameRecorder(log, 4, 5)
				for chunk := range slices.Chunk(sendAttempt(t), size) {
					r.Sent(chunk)
				}
				for chunk := range slices.Chunk(framesOf(t, "", test.received), size) {
					r.Received(chunk)
				}
				r.Closed()
				checkEntries(t, log.Entries(), test.code, test.note)
			})
		}
	}
}

// checkEntries checks that the entries are those of the attempt sent by sendAttempt and of its end.
func checkEntries(t *testing.T, entries []eventlog.Entry, code, note string) {
	t.Helper()
	if len(entries) != 2 {
		t.Fatalf("%d entries, want 2: %+v", len(entries), entries)
	}
	sent, ended := entries[0], entries[1]
	sent.At, ended.At = 0, 0
	want := eventlog.Entry{
		Kind: eventlog.AttemptSent, Request: "a.1", Attempt: 2, Server: 4, Dispatcher: 5, Note: "read",
	}
	if sent != want {
		t.Errorf("entry %+v, want %+v", sent, want)
	}
	want.Kind, want.Code, want.Note = eventlog.AttemptEnded, code, note
	if ended != want {
		t.Errorf("entry %+v, want %+v", ended, want)
	}
}
