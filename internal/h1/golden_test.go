package h1

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files of this package")

const (
	goldenPost    = "POST / HTTP/1.1\r\nHost: x\r\n"
	goldenChunked = goldenPost + "Transfer-Encoding: chunked\r\n\r\n"
	goldenStream  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
)

var (
	goldenBodyLimit  = Limits{HeadBytes: 1 << 10, BodyBytes: 8}
	goldenChunkLimit = Limits{HeadBytes: 1 << 10, ChunkBytes: 8}
)

// goldenMessages are well-formed and malformed inputs of the decoder, in the order of the golden file.
var goldenMessages = []struct {
	name     string
	response bool
	limits   Limits
	text     string
}{
	{"get", false, testLimits, "GET /a?b=c HTTP/1.1\r\nHost: x\r\nAccept:  a , b \t\r\n\r\n"},
	{"get http/1.0", false, testLimits, "GET / HTTP/1.0\r\n\r\n"},
	{
		"get then post", false, testLimits,
		"GET /b HTTP/1.1\r\nHost: x\r\n\r\nPOST /c HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
	},
	{"length zero", false, testLimits, goldenPost + "Content-Length: 0\r\n\r\n"},
	{
		"length", false, testLimits,
		"POST / HTTP/1.1\r\nHOST: x\r\ncontent-LENGTH: 5\r\nExpect: 100-Continue\r\nConnection: x, Close\r\n\r\nhello",
	},
	{"truncated body", false, testLimits, goldenPost + "Content-Length: 5\r\n\r\nhel"},
	{
		"chunked", false, testLimits,
		"POST /c HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: Chunked\r\n\r\n" +
			"3;q=1\r\nabc\r\nA \r\n0123456789\r\n0\r\nTrailer: v\r\n\r\nGET",
	},
	{"chunk extension with a control byte", false, testLimits, goldenChunked + "3;\x01\r\nabc\r\n"},
	{"chunk size empty", false, testLimits, goldenChunked + ";q\r\nabc\r\n"},
	{"chunk size of 16 digits", false, testLimits, goldenChunked + "0000000000000003\r\nabc\r\n"},
	{"chunk size not hexadecimal", false, testLimits, goldenChunked + "3g\r\nabc\r\n"},
	{"chunk longer than its size", false, testLimits, goldenChunked + "3\r\nabcd\r\n"},
	{"chunk ends in CR only", false, testLimits, goldenChunked + "3\r\nabc\rd\r\n"},
	{"chunk size line with LF", false, testLimits, goldenChunked + "3\nabc\r\n"},
	{"trailer malformed", false, testLimits, goldenChunked + "0\r\nno colon\r\n\r\n"},
	{"trailer too long", false, Limits{HeadBytes: 80}, goldenChunked + "0\r\nT: " + strings.Repeat("v", 90)},
	{"chunks exceed body limit", false, goldenBodyLimit, goldenChunked + "5\r\nhello\r\n5\r\nworld\r\n"},
	{"length exceeds body limit", false, goldenBodyLimit, goldenPost + "Content-Length: 9\r\n\r\n"},
	{
		"head too long", false,
		Limits{HeadBytes: 64},
		"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("a", 64) + "\r\n\r\n",
	},
	{
		"head of too many fields", false,
		Limits{HeadBytes: 1 << 10, HeadFields: 3},
		"GET / HTTP/1.1\r\nHost: x\r\na:\r\nb:\r\nc:\r\n\r\n",
	},
	{
		"trailer of too many fields", false,
		Limits{HeadBytes: 1 << 10, HeadFields: 3},
		goldenChunked + "0\r\na:\r\nb:\r\nc:\r\nd:\r\n\r\n",
	},
	{"length twice", false, testLimits, goldenPost + "Content-Length: 3\r\nContent-Length: 3\r\n\r\nabc"},
	{"length and chunked", false, testLimits, goldenPost + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\nabc"},
	{"length with sign", false, testLimits, goldenPost + "Content-Length: +3\r\n\r\nabc"},
	{"coding unknown", false, testLimits, goldenPost + "Transfer-Encoding: gzip, chunked\r\n\r\n"},
	{"coding in http/1.0", false, testLimits, "POST / HTTP/1.0\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"},
	{"expectation unknown", false, testLimits, goldenPost + "Expect: 200-maybe\r\n\r\n"},
	{"host missing", false, testLimits, "GET / HTTP/1.1\r\n\r\n"},
	{"host twice", false, testLimits, "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n"},
	{"version", false, testLimits, "GET / HTTP/2.0\r\nHost: x\r\n\r\n"},
	{"method", false, testLimits, "GE(T / HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"target", false, testLimits, "GET /\x7f HTTP/1.1\r\nHost: x\r\n\r\n"},
	{"request line", false, testLimits, "GET /\r\nHost: x\r\n\r\n"},
	{"line ends in LF", false, testLimits, "GET / HTTP/1.1\nHost: x\r\n\r\n"},
	{"folded line", false, testLimits, "GET / HTTP/1.1\r\nHost: x\r\nX: a\r\n b\r\n\r\n"},
	{"empty", false, testLimits, ""},

	{"response length", true, testLimits, "HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}HTTP"},
	{"response chunked", true, testLimits, goldenStream + "5\r\ndata:\r\n2\r\n\n\n\r\n0\r\n\r\nHTTP/1.1 200 OK\r\n"},
	{"response whole chunks", true, goldenChunkLimit, goldenStream + "5\r\ndata:\r\n2\r\n\n\n\r\n0\r\n\r\n"},
	{"response whole chunk unfit", true, goldenChunkLimit, goldenStream + "5\r\ndata::\r\n0\r\n\r\n"},
	{"response whole chunk too large", true, goldenChunkLimit, goldenStream + "9\r\n123456789\r\n0\r\n\r\n"},
	{"response until close", true, testLimits, "HTTP/1.1 200 OK\r\nX: y\r\n\r\nsome bytes"},
	{"response until close too large", true, goldenBodyLimit, "HTTP/1.0 200 OK\r\n\r\nsome bytes"},
	{
		"response without body", true, testLimits,
		"HTTP/1.1 204 None\r\n\r\nHTTP/1.1 304 Same\r\nContent-Length: 7\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	},
	{
		"response informational", true, testLimits,
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
	},
	{"response informational too many", true, testLimits, strings.Repeat("HTTP/1.1 100 \r\n\r\n", 17)},
	{"response switching protocols", true, testLimits, "HTTP/1.1 101 Switching\r\n\r\n"},
	{"response other protocol", true, testLimits, "ICY 200 OK\r\n\r\n"},
	{"response status", true, testLimits, "HTTP/1.1 2x0 OK\r\n\r\n"},
	{"response status low", true, testLimits, "HTTP/1.1 099 OK\r\n\r\n"},
	{"response status long", true, testLimits, "HTTP/1.1 2000\r\n\r\n"},
	{"response status alone", true, testLimits, "HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n"},
}

// transcript decodes the parts with a new decoder and returns its results as text.
func transcript(response bool, limits Limits, parts ...[]byte) string {
	var out strings.Builder
	decoder := NewRequestDecoder(limits)
	if response {
		decoder = NewResponseDecoder(limits)
	}
	var input InputBuffer
	failed := false
	for _, part := range parts {
		input.Process(part, func(p []byte) (consumed int) {
			for !failed {
				event, data, n, err := decoder.Next(p[consumed:])
				consumed += n
				fmt.Fprintf(&out, "%d %q +%d", event, data, n)
				if event == MessageHead {
					writeHead(&out, &decoder.Head)
				}
				if err != nil {
					failed = true
					fmt.Fprintf(&out, " error %v", err)
				}
				fmt.Fprintf(&out, " start=%v\n", decoder.AtMessageStart())
				if event == NeedData {
					break
				}
			}
			return consumed
		})
		fmt.Fprintf(&out, "kept %d\n", input.Len())
	}
	if !failed {
		event, err := decoder.EndOfInput()
		fmt.Fprintf(&out, "end %d %v start=%v\n", event, err, decoder.AtMessageStart())
	}
	return out.String()
}

func writeHead(out *strings.Builder, head *Head) {
	fmt.Fprintf(out, " head %q %q %d old=%v close=%v expect=%v length=%d chunked=%v",
		head.Method, head.Target, head.StatusCode, head.HTTP10, head.Close, head.ExpectContinue,
		head.ContentLength, head.Chunked)
	for _, field := range head.Fields {
		fmt.Fprintf(out, " %q=%q", field.Name, field.Value)
	}
}

// TestDecoderGolden compares the decoder's results with testdata/decoder.golden. Each message is decoded whole, split
// in two at every byte, and byte by byte.
func TestDecoderGolden(t *testing.T) {
	var out strings.Builder
	for _, message := range goldenMessages {
		p := []byte(message.text)
		fmt.Fprintf(&out, "=== %s\n%s", message.name, transcript(message.response, message.limits, p))
		splits := sha256.New()
		for i := range len(p) + 1 {
			fmt.Fprint(splits, transcript(message.response, message.limits, p[:i], p[i:]))
		}
		var singleBytes [][]byte
		for i := range p {
			singleBytes = append(singleBytes, p[i:i+1])
		}
		fmt.Fprint(splits, transcript(message.response, message.limits, singleBytes...))
		fmt.Fprintf(&out, "cuts %x\n", splits.Sum(nil))
	}
	const file = "testdata/decoder.golden"
	if *updateGolden {
		if err := os.WriteFile(file, []byte(out.String()), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	got, expected := strings.Split(out.String(), "\n"), strings.Split(string(want), "\n")
	if len(got) != len(expected) {
		t.Errorf("%d lines, want %d", len(got), len(expected))
	}
	for i := range min(len(got), len(expected)) {
		if got[i] != expected[i] {
			t.Fatalf("line %d:\n got %s\nwant %s", i+1, got[i], expected[i])
		}
	}
}
