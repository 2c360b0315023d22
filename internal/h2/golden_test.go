package h2

import (
	"bytes"
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/codes"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files of this package")

// transcript records, in order, the bytes that two ends exchange and the calls that their handlers receive.
type transcript struct{ bytes.Buffer }

// line records one line. A long line is truncated and followed by the digest of the whole line.
func (tr *transcript) line(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(text) > 500 {
		text = fmt.Sprintf("%s... sha256 %x", text[:400], sha256.Sum256([]byte(text)))
	}
	fmt.Fprintln(tr, text)
}

// wire records the length, the first bytes and the digest of output.
func (tr *transcript) wire(from string, p []byte) {
	sum := sha256.Sum256(p)
	tr.line("%s sends %d bytes %x... sha256 %x", from, len(p), p[:min(len(p), 96)], sum[:8])
}

// recorder is a Handler that records each call and then calls the function that the test has set for it.
type recorder struct {
	tr        *transcript
	name      string
	streams   []*Stream // streams whose headers have been received, in order
	retain    bool
	onHeaders func(s *Stream)
	onMessage func(s *Stream, p []byte)
	onEnd     func(s *Stream)
}

func (r *recorder) HeadersReceived(s *Stream, h *Header) {
	r.tr.line("%s: headers of %d: %q", r.name, s.ID(), h.Fields)
	r.streams = append(r.streams, s)
	if r.onHeaders != nil {
		r.onHeaders(s)
	}
}

func (r *recorder) MessageReceived(s *Stream, p []byte) bool {
	sum := sha256.Sum256(p)
	r.tr.line("%s: message of %d: %d bytes sha256 %x", r.name, s.ID(), len(p), sum[:8])
	if r.onMessage != nil {
		r.onMessage(s, p)
	}
	return r.retain
}

func (r *recorder) RequestEnded(s *Stream) {
	r.tr.line("%s: request of %d ended", r.name, s.ID())
	if r.onEnd != nil {
		r.onEnd(s)
	}
}

func (r *recorder) StreamFinished(s *Stream, code codes.Code, message string, trailer *Header) {
	r.tr.line("%s: %d finished: %v %q %q", r.name, s.ID(), code, message, trailer.Fields)
}

func (r *recorder) StreamReset(s *Stream, code http2.ErrCode, refused bool) {
	r.tr.line("%s: %d reset: %v refused %v", r.name, s.ID(), code, refused)
}
func (r *recorder) StreamFlushed(s *Stream) { r.tr.line("%s: %d flushed", r.name, s.ID()) }
func (r *recorder) GoAwayReceived()         { r.tr.line("%s: GOAWAY received", r.name) }
func (r *recorder) PingAcked()              { r.tr.line("%s: ping acknowledged", r.name) }

// connPair is a client's and a server's Conn whose transferred bytes are recorded.
type connPair struct {
	tr                       *transcript
	client, server           *Conn
	clientCalls, serverCalls *recorder
	now                      int64
}

func newConnPair(tr *transcript, limits Limits) *connPair {
	p := &connPair{tr: tr, clientCalls: &recorder{tr: tr, name: "client"}, serverCalls: &recorder{tr: tr, name: "server"}}
	p.client, p.server = NewClientConn(limits, p.clientCalls), NewServerConn(limits, p.serverCalls)
	return p
}

// step records the name of a step, runs it and transfers output both ways until neither end has any.
func (p *connPair) step(name string, do func()) {
	p.tr.line("-- %s", name)
	do()
	p.transfer(inOnePiece)
}

// transfer moves output in pieces both ways until neither end has any, and records the open and reset streams.
func (p *connPair) transfer(pieceBytes func() int) {
	for p.client.HasOutput() || p.server.HasOutput() {
		p.transferOneWay("client", p.client, p.server, pieceBytes)
		p.transferOneWay("server", p.server, p.client, pieceBytes)
	}
	p.tr.line("open %d %d, resets %d %d", p.client.OpenStreamCount(), p.server.OpenStreamCount(),
		p.client.peerResetCount, p.server.peerResetCount)
}

// transferOneWay feeds the output of one end to the other in pieces.
func (p *connPair) transferOneWay(name string, from, to *Conn, pieceBytes func() int) {
	data := bytes.Clone(from.TakeOutput())
	if len(data) > 0 {
		p.tr.wire(name, data)
	}
	p.now += 1e6
	for len(data) > 0 {
		n := min(len(data), pieceBytes())
		if err := to.Feed(p.now, data[:n]); err != nil {
			p.tr.line("the other end of the %s: %v", name, err)
		}
		data = data[n:]
	}
}

// patternBytes returns n bytes of a pattern in which neighboring bytes differ.
func patternBytes(n int) []byte {
	p := make([]byte, n)
	for i := range p {
		p[i] = byte(i * 7)
	}
	return p
}

// TestGoldenExchanges compares the bytes and Handler calls of scripted exchanges with the golden files. It detects
// changes of the bytes on the wire and of the order of calls.
func TestGoldenExchanges(t *testing.T) {
	for name, record := range map[string]func(tr *transcript){
		"exchange":        recordExchange,
		"request-faults":  func(tr *transcript) { recordRequestFaults(t, tr) },
		"response-faults": func(tr *transcript) { recordResponseFaults(t, tr) },
		"random": func(tr *transcript) {
			for seed := range uint64(60) {
				var exchange transcript
				recordRandom(&exchange, seed)
				tr.line("seed %d: %d bytes of transcript, sha256 %x", seed, exchange.Len(), sha256.Sum256(exchange.Bytes()))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			var got transcript
			record(&got)
			file := "testdata/" + name + ".golden"
			if *updateGolden {
				if err := os.WriteFile(file, got.Bytes(), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			compareLines(t, got.String(), string(want))
		})
	}
}

// compareLines fails the test at the first line in which two transcripts differ.
func compareLines(t *testing.T, got, want string) {
	t.Helper()
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range max(len(gotLines), len(wantLines)) {
		switch {
		case i >= len(gotLines):
			t.Fatalf("line %d: got end of transcript, want %s", i+1, wantLines[i])
		case i >= len(wantLines):
			t.Fatalf("line %d: got %s, want end of transcript", i+1, gotLines[i])
		case gotLines[i] != wantLines[i]:
			t.Fatalf("line %d:\n got %s\nwant %s", i+1, gotLines[i], wantLines[i])
		}
	}
}
