package h1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
)

// message is one that a decoder gave out.
type message struct {
	head   string
	status int
	body   string
}

// decode feeds p in parts of at most so many bytes and gives the messages, and what error ended them.
func decode(d Decoder, p []byte, part int) (got []message, rest int, err error) {
	var f InputBuffer
	var m message
	for len(p) > 0 && err == nil {
		n := min(part, len(p))
		f.Process(p[:n], func(b []byte) (k int) {
			for {
				piece, data, n, e := d.Next(b[k:])
				k += n
				switch {
				case e != nil:
					err = e
					return len(b)
				case piece == NeedData:
					return k
				case piece == MessageHead:
					m = message{head: string(d.Head.Method) + " " + string(d.Head.Target), status: d.Head.StatusCode}
				case piece == BodyData:
					m.body += string(data)
				case piece == MessageEnd:
					got = append(got, m)
				}
			}
		})
		p = p[n:]
	}
	return got, f.Len(), err
}

var testLimits = Limits{HeadBytes: 1 << 10, BodyBytes: 4 << 10}

// Every split gives the same messages.
func TestSplitAtEveryByte(t *testing.T) {
	requests := "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello" +
		"GET /b HTTP/1.1\r\nHost: x\r\n\r\n" +
		"POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;q=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: v\r\n\r\n"
	answers := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"5\r\ndata:\r\n2\r\n\n\n\r\n0\r\n\r\nHTTP/1.1 204 None\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"
	for part := 1; part < len(answers); part++ {
		got, rest, err := decode(NewRequestDecoder(testLimits), []byte(requests), part)
		want := []message{{"POST /a?b=c", 0, "hello"}, {"GET /b", 0, ""}, {"POST /c", 0, "abc0123456789"}}
		if err != nil || rest != 0 || len(got) != 3 || got[0] != want[0] || got[1] != want[1] || got[2] != want[2] {
			t.Fatalf("requests in parts of %d: %v, %d left, %v", part, got, rest, err)
		}
		for _, lim := range []Limits{testLimits, {HeadBytes: 1 << 10, ChunkBytes: 64}} { // chunks as they come, and whole
			got, rest, err = decode(NewResponseDecoder(lim), []byte(answers), part)
			if err != nil || rest != 0 || len(got) != 3 || got[0] != (message{" ", 200, "data:\n\n"}) || got[1].status != 204 || got[2].body != "{}" {
				t.Fatalf("answers in parts of %d: %v, %d left, %v", part, got, rest, err)
			}
		}
	}
}

// What two readers could take in two ways, and what has no bound, is refused, however it is split.
func TestRefused(t *testing.T) {
	post := "POST / HTTP/1.1\r\nHost: x\r\n"
	requests := map[string]error{
		post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n":  ErrMalformed,
		post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n":  ErrMalformed,
		post + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc":                 ErrMalformed,
		post + "Content-Length: +3\r\n\r\nabc":                                     ErrMalformed,
		post + "Content-Length: -1\r\n\r\n":                                        ErrMalformed,
		post + "Content-Length: 99999999999999999999\r\n\r\n":                      ErrMalformed,
		post + "Content-Length: 5000\r\n\r\n":                                      ErrBodyTooLarge,
		post + "Transfer-Encoding: gzip, chunked\r\n\r\n":                          ErrMalformed,
		post + "Transfer-Encoding : chunked\r\n\r\n":                               ErrMalformed,
		post + "Transfer-Encoding: chunked\r\n\r\n-1\r\n":                          ErrMalformed,
		post + "Transfer-Encoding: chunked\r\n\r\n0x3\r\nabc\r\n":                  ErrMalformed,
		post + "Transfer-Encoding: chunked\r\n\r\n3\nabc\r\n":                      ErrMalformed,
		post + "Transfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n":                   ErrMalformed,
		post + "Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFFFFFFFF\r\n":            ErrMalformed,
		post + "Transfer-Encoding: chunked\r\n\r\nBB800000\r\n":                    ErrBodyTooLarge,
		post + "X: a\r\n folded\r\n\r\n":                                           ErrMalformed,
		post + "X: a\nY: b\r\n\r\n":                                                ErrMalformed,
		post + "X: \x00\r\n\r\n":                                                   ErrMalformed,
		post + "Host: y\r\n\r\n":                                                   ErrMalformed,
		"POST / HTTP/1.1\r\n\r\n":                                                  ErrMalformed,
		"POST  / HTTP/1.1\r\nHost: x\r\n\r\n":                                      ErrMalformed,
		"POST / HTTP/2.0\r\nHost: x\r\n\r\n":                                       ErrMalformed,
		"PO ST / HTTP/1.1\r\nHost: x\r\n\r\n":                                      ErrMalformed,
		post + "Expect: 200-maybe\r\n\r\n":                                         ErrMalformed,
		post + "X: " + strings.Repeat("a", 2<<10):                                  ErrHeadTooLarge,
		post + "Transfer-Encoding: chunked\r\n\r\n3;" + strings.Repeat("q", 1<<10): ErrMalformed,
	}
	answers := map[string]error{
		"ICY 200 OK\r\n\r\n":                                                      ErrMalformed,
		"HTTP/1.1 2x0 OK\r\n\r\n":                                                 ErrMalformed,
		"HTTP/1.1 OK 200\r\n\r\n":                                                 ErrMalformed,
		"HTTP/1.1 200 OK\r\nno colon here\r\n\r\n":                                ErrMalformed,
		"HTTP/1.1 101 Switching\r\n\r\n":                                          ErrMalformed,
		strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", 20):                       ErrMalformed,
		"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 2<<10):                     ErrHeadTooLarge,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz":                 ErrMalformed,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nBB800000\r\nxxxx":   ErrBodyTooLarge,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcdef":        ErrMalformed,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nHTTP/1": ErrMalformed,
	}
	for _, part := range []int{1, 7, 1 << 20} {
		for text, want := range requests {
			if got, _, err := decode(NewRequestDecoder(testLimits), []byte(text), part); !errors.Is(err, want) || len(got) > 0 {
				t.Errorf("request %.60q in parts of %d: %v, %v, want %v", text, part, got, err, want)
			}
		}
		for text, want := range answers {
			if got, _, err := decode(NewResponseDecoder(Limits{HeadBytes: 1 << 10, ChunkBytes: 1 << 10}), []byte(text), part); !errors.Is(err, want) || len(got) > 0 {
				t.Errorf("answer %.60q in parts of %d: %v, %v, want %v", text, part, got, err, want)
			}
		}
	}
}

// What we take as one request, net/http takes as the same one.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"))
	f.Add([]byte("POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;q=1\r\nabc\r\n0\r\nT: v\r\n\r\n"))
	f.Add([]byte("GET /?q HTTP/1.1\r\nHost: x\r\nConnection: close, x\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		got, _, err := decode(NewRequestDecoder(testLimits), p, len(p))
		byBytes, _, err2 := decode(NewRequestDecoder(testLimits), p, 1)
		if (err == nil) != (err2 == nil) || len(got) != len(byBytes) {
			t.Fatalf("at once %v, %v; byte by byte %v, %v", got, err, byBytes, err2)
		}
		if len(got) == 0 {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(p)))
		if err != nil {
			if !strings.HasPrefix(got[0].head, "CONNECT") && strings.Contains(got[0].head, " /") && !strings.ContainsAny(got[0].head, "%#?") {
				t.Fatalf("net/http does not take %q: %v", p, err)
			}
			return
		}
		body, err := io.ReadAll(req.Body)
		if req.Method+" "+req.RequestURI != got[0].head || err == nil && string(body) != got[0].body {
			t.Fatalf("we read %v, net/http %s %s with %q, %v", got[0], req.Method, req.RequestURI, body, err)
		}
	})
}
