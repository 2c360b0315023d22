package h1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"testing"
)

// message is a decoded message.
type message struct {
	head   string
	status int
	body   string
}

// decode decodes p, which arrives in parts of at most partSize bytes. It returns the decoded messages, the number of
// bytes that the InputBuffer keeps, and the error that ended decoding.
func decode(decoder Decoder, p []byte, partSize int) (messages []message, kept int, err error) {
	var input InputBuffer
	var current message
	for len(p) > 0 && err == nil {
		size := min(partSize, len(p))
		input.Process(p[:size], func(b []byte) (consumed int) {
			for {
				event, data, n, decodeErr := decoder.Next(b[consumed:])
				consumed += n
				switch {
				case decodeErr != nil:
					err = decodeErr
					return len(b)
				case event == NeedData:
					return consumed
				case event == MessageHead:
					head := &decoder.Head
					current = message{head: string(head.Method) + " " + string(head.Target), status: head.StatusCode}
				case event == BodyData:
					current.body += string(data)
				case event == MessageEnd:
					messages = append(messages, current)
				}
			}
		})
		p = p[size:]
	}
	return messages, input.Len(), err
}

var testLimits = Limits{HeadBytes: 1 << 10, BodyBytes: 4 << 10}

// TestBodilessResponse guards against a response without a body that is waited for because its fields announce one.
func TestBodilessResponse(t *testing.T) {
	for _, status := range []int{204, 304} {
		for _, field := range []string{"Transfer-Encoding: chunked", "Content-Length: 5"} {
			input := fmt.Sprintf("HTTP/1.1 %d None\r\n%s\r\n\r\n", status, field)
			got, kept, err := decode(NewResponseDecoder(testLimits), []byte(input), len(input))
			if want := []message{{" ", status, ""}}; err != nil || kept != 0 || !slices.Equal(got, want) {
				t.Errorf("%d with %s: got %v, %d bytes kept, error %v; want %v", status, field, got, kept, err, want)
			}
		}
	}
}

// TestSplitAtEveryByte checks that the decoded messages do not depend on how their bytes are split.
func TestSplitAtEveryByte(t *testing.T) {
	requests := "POST /a?b=c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello" +
		"GET /b HTTP/1.1\r\nHost: x\r\n\r\n" +
		"POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"3;q=1\r\nabc\r\nA\r\n0123456789\r\n0\r\nTrailer: v\r\n\r\n"
	responses := "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\n" +
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
		"5\r\ndata:\r\n2\r\n\n\n\r\n0\r\n\r\nHTTP/1.1 204 None\r\n\r\nHTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}"
	for partSize := 1; partSize < len(responses); partSize++ {
		got, kept, err := decode(NewRequestDecoder(testLimits), []byte(requests), partSize)
		want := []message{{"POST /a?b=c", 0, "hello"}, {"GET /b", 0, ""}, {"POST /c", 0, "abc0123456789"}}
		if err != nil || kept != 0 || !slices.Equal(got, want) {
			t.Fatalf("requests in parts of %d bytes: got %v, %d bytes kept, error %v", partSize, got, kept, err)
		}
		wholeChunks := Limits{HeadBytes: 1 << 10, ChunkBytes: 64}
		for _, limits := range []Limits{testLimits, wholeChunks} {
			got, kept, err = decode(NewResponseDecoder(limits), []byte(responses), partSize)
			want := []message{{" ", 200, "data:\n\n"}, {" ", 204, ""}, {" ", 202, "{}"}}
			if err != nil || kept != 0 || !slices.Equal(got, want) {
				t.Fatalf("responses in parts of %d bytes: got %v, %d bytes kept, error %v", partSize, got, kept, err)
			}
		}
	}
}

// TestMalformed checks that messages that two parsers could interpret differently and messages over a limit are
// rejected, however their bytes are split.
func TestMalformed(t *testing.T) {
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
	responses := map[string]error{
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
	responseLimits := Limits{HeadBytes: 1 << 10, ChunkBytes: 1 << 10}
	for _, partSize := range []int{1, 7, 1 << 20} {
		for text, want := range requests {
			got, _, err := decode(NewRequestDecoder(testLimits), []byte(text), partSize)
			if !errors.Is(err, want) || len(got) > 0 {
				t.Errorf("request %.60q in parts of %d bytes: got %v, error %v, want error %v", text, partSize, got, err, want)
			}
		}
		for text, want := range responses {
			got, _, err := decode(NewResponseDecoder(responseLimits), []byte(text), partSize)
			if !errors.Is(err, want) || len(got) > 0 {
				t.Errorf("response %.60q in parts of %d bytes: got %v, error %v, want error %v", text, partSize, got, err, want)
			}
		}
	}
}

// FuzzRequest checks that net/http parses each accepted request the same way.
func FuzzRequest(f *testing.F) {
	f.Add([]byte("POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello"))
	f.Add([]byte("POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3;q=1\r\nabc\r\n0\r\nT: v\r\n\r\n"))
	f.Add([]byte("GET /?q HTTP/1.1\r\nHost: x\r\nConnection: close, x\r\n\r\n"))
	f.Add([]byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, p []byte) {
		got, _, err := decode(NewRequestDecoder(testLimits), p, len(p))
		byBytes, _, bytesErr := decode(NewRequestDecoder(testLimits), p, 1)
		if (err == nil) != (bytesErr == nil) || len(got) != len(byBytes) {
			t.Fatalf("whole: %v, error %v; byte by byte: %v, error %v", got, err, byBytes, bytesErr)
		}
		if len(got) == 0 {
			return
		}
		req, err := http.ReadRequest(bufio.NewReader(bytes.NewReader(p)))
		if err != nil {
			head := got[0].head
			comparablePath := strings.Contains(head, " /") && !strings.ContainsAny(head, "%#?")
			if !strings.HasPrefix(head, "CONNECT") && comparablePath {
				t.Fatalf("net/http rejects %q: %v", p, err)
			}
			return
		}
		body, err := io.ReadAll(req.Body)
		if req.Method+" "+req.RequestURI != got[0].head || err == nil && string(body) != got[0].body {
			t.Fatalf("decoded %v, net/http: %s %s with body %q, error %v", got[0], req.Method, req.RequestURI, body, err)
		}
	})
}
