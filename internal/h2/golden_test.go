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

var updateGolden = flag.Bool("update", false, "write the golden files of this package anew")

// transcript records, in order, the bytes that two ends exchange and the calls that their handlers receive.
type transcript struct{ bytes.Buffer }

// line records one line; a long one is cut, with a digest of all of it.
func (tr *transcript) line(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	if len(text) > 500 {
		text = fmt.Sprintf("%s... sha256 %x", text[:400], sha256.Sum256([]byte(text)))
	}
	fmt.Fprintln(tr, text)
}

// wire records output as its length, its first bytes and a digest of all.
func (tr *transcript) wire(from string, p []byte) {
	sum := sha256.Sum256(p)
	tr.line("%s sends %d bytes %x... sha256 %x", from, len(p), p[:min(len(p), 96)], sum[:8])
}

// recorder is a Handler that records each call and then does what its script says.
type recorder struct {
	tr        *transcript
	name      string
	streams   []*Stream // those whose headers have come, in order
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

// pair is a client's and a server's end whose bytes are recorded on their way.
type pair struct {
	tr             *transcript
	client, server *Conn
	ask, answer    *recorder
	now            int64
}

func newPair(tr *transcript, limits Limits) *pair {
	p := &pair{tr: tr, ask: &recorder{tr: tr, name: "client"}, answer: &recorder{tr: tr, name: "server"}}
	p.client, p.server = NewClientConn(limits, p.ask), NewServerConn(limits, p.answer)
	return p
}

// step records its name, runs it and carries bytes both ways until neither end has any.
func (p *pair) step(name string, do func()) {
	p.tr.line("-- %s", name)
	do()
	p.carry(inOnePiece)
}

func (p *pair) carry(piece func() int) {
	for p.client.HasOutput() || p.server.HasOutput() {
		p.move("client", p.client, p.server, piece)
		p.move("server", p.server, p.client, piece)
	}
	p.tr.line("open %d %d, resets %d %d", p.client.OpenStreamCount(), p.server.OpenStreamCount(),
		p.client.peerResetCount, p.server.peerResetCount)
}

func (p *pair) move(name string, from, to *Conn, piece func() int) {
	data := bytes.Clone(from.TakeOutput())
	if len(data) > 0 {
		p.tr.wire(name, data)
	}
	p.now += 1e6
	for len(data) > 0 {
		n := min(len(data), piece())
		if err := to.Feed(p.now, data[:n]); err != nil {
			p.tr.line("the other end of the %s: %v", name, err)
		}
		data = data[n:]
	}
}

// numbered returns n bytes that differ from place to place.
func numbered(n int) []byte {
	p := make([]byte, n)
	for i := range p {
		p[i] = byte(i * 7)
	}
	return p
}

// TestGoldenExchanges compares the bytes and calls of scripted exchanges with the recorded ones, so that a change of
// this package that moves a byte on the wire or the order of calls is seen.
func TestGoldenExchanges(t *testing.T) {
	for name, record := range map[string]func(tr *transcript){
		"exchange":        recordExchange,
		"request-faults":  func(tr *transcript) { recordRequestFaults(t, tr) },
		"response-faults": func(tr *transcript) { recordResponseFaults(t, tr) },
		"random": func(tr *transcript) {
			for seed := range uint64(60) {
				var one transcript
				recordRandom(&one, seed)
				tr.line("seed %d: %d bytes of transcript, sha256 %x", seed, one.Len(), sha256.Sum256(one.Bytes()))
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

// compareLines reports the first line in which two transcripts differ.
func compareLines(t *testing.T, got, want string) {
	t.Helper()
	g, w := strings.Split(got, "\n"), strings.Split(want, "\n")
	for i := range max(len(g), len(w)) {
		switch {
		case i >= len(g):
			t.Fatalf("line %d: got the end, want %s", i+1, w[i])
		case i >= len(w):
			t.Fatalf("line %d: got %s, want the end", i+1, g[i])
		case g[i] != w[i]:
			t.Fatalf("line %d:\n got %s\nwant %s", i+1, g[i], w[i])
		}
	}
}
