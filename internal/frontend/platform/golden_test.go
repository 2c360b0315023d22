package platform

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"docksail/internal/frontend"
	"docksail/policy"
)

var update = flag.Bool("update", false, "rewrite the golden files of this package")

// goldenServer is a server whose dispatcher records each request and answers it by the script that its session names.
type goldenServer struct {
	*testServer
	requests []string
}

func startGolden(t *testing.T, maxConns int) *goldenServer {
	t.Helper()
	g := &goldenServer{testServer: startServer(t, maxConns)}
	g.runOnLoop(func() { g.dispatcher.onSubmit = g.onSubmit })
	return g
}

// onSubmit records a request. It answers it at once by an error, or after the current event by a response.
func (g *goldenServer) onSubmit(id policy.RequestID, w frontend.ResponseWriter, r *frontend.Request) error {
	g.requests = append(g.requests, formatRequest(r))
	switch script := string(r.Session); script {
	case "rejected":
		return frontend.RejectionError{Reason: "try later", RetryAfter: 1234567890}
	case "rejected-elsewhere":
		return frontend.RejectionError{Reason: "try \"elsewhere\""}
	case "invalid":
		return fmt.Errorf("class %q is unknown: %w", r.Class, frontend.ErrInvalidRequest)
	case "other-error":
		return errors.New("some other error")
	case "held":
	default:
		g.loop.Post(func() { respondAs(script, id, w) })
	}
	return nil
}

// formatRequest returns a request as text. A timeout of 4 s to 5 s becomes 5 s, as it depends on when bytes arrived.
func formatRequest(r *frontend.Request) string {
	timeout := fmt.Sprint(r.FirstTokenTimeout)
	if r.FirstTokenTimeout > 4e9 && r.FirstTokenTimeout <= 5e9 {
		timeout = "5s"
	}
	return fmt.Sprintf("id=%s path=%s header=%q class=%s tenant=%s session=%s prefix=%s prompt=%d shared=%d max=%d "+
		"hint=%d repeat=%d timeout=%s body=%d", r.ClientRequestID, r.Path, r.Header, r.Class, r.Tenant, r.Session, r.Prefix,
		r.PromptTokens, r.PrefixTokens, r.MaxTokens, r.ExpectedDuration, r.PreviousAttempts, timeout, len(r.Raw))
}

// respondAs answers a submitted request by a script.
func respondAs(script string, id policy.RequestID, w frontend.ResponseWriter) {
	switch script {
	case "late-rejected":
		w.Reject(id, frontend.RejectionError{Reason: "no", RetryAfter: 1})
	case "failed":
		w.Fail(id, "its time is up")
	case "failed-after-begin":
		w.WriteTokens(id, []byte("data: 1\n\n"))
		w.Fail(id, "the stream broke")
	default:
		w.WriteTokens(id, []byte("data: 1\n\n"))
		w.WriteTokens(id, []byte("data: [DONE]\n\n"))
		w.Complete(id)
	}
}

// counts returns the counts of the server.
func (g *goldenServer) counts() (counts Counts) {
	g.runOnLoop(func() { counts = g.server.Counts })
	return counts
}

// conns returns the connections of the submitted requests, in the order of submission.
func (g *goldenServer) conns() (list []*conn) {
	for _, w := range g.dispatcher.writers {
		list = append(list, w.(*conn))
	}
	return list
}

// servedRequest is a request that the dispatcher serves.
var servedRequest = completionRequest("served", validBody)

// These functions return servedRequest with more header lines, with another body, and with one text replaced.
func servedWith(lines ...string) string      { return completionRequest("served", validBody, lines...) }
func servedWithBody(body string) string      { return completionRequest("served", body) }
func servedReplacing(from, to string) string { return strings.Replace(servedRequest, from, to, 1) }

// servedChunked returns servedRequest with its body in chunks.
func servedChunked() string {
	head, _, _ := strings.Cut(servedRequest, "Content-Length")
	return fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", head, len(validBody), validBody)
}

// goldenExchanges is the input of one connection each, in the order of the golden file.
var goldenExchanges = []struct{ name, input string }{
	{"served", servedRequest},
	{"served and closed", servedWith("Connection: close")},
	{"served two in a row", servedRequest + servedWith("X-Resent: 1")},
	{"served with all fields", servedWith("X-Org: payer", "X-Estimate: 250",
		"X-Labels: prefix=p, prompt_len=10,prefix_len=4, max_out=7,other=1", "X-Other: kept",
		"Connection: X-Hop, keep-alive", "X-Hop: dropped", "Idempotency-Key: k")},
	{"served chunked body", servedChunked()},
	{"expects 100", servedWith("Expect: 100-continue")},
	{"rejected at once", completionRequest("rejected", validBody)},
	{"rejected elsewhere", completionRequest("rejected-elsewhere", validBody)},
	{"rejected later", completionRequest("late-rejected", validBody)},
	{"invalid for the dispatcher", completionRequest("invalid", validBody)},
	{"other error", completionRequest("other-error", validBody)},
	{"failed", completionRequest("failed", validBody)},
	{"failed after its beginning", completionRequest("failed-after-begin", validBody)},
	{"served after failure", completionRequest("failed", validBody) + servedRequest},
	{"ready", getRequest("/health/ready")},
	{"live", getRequest("/health/live?x")},
	{"live http/1.0", "GET /health/live HTTP/1.0\r\n\r\n"},
	{"health method", "POST /health/live HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"},
	{"health body", getRequest("/health/ready", "Content-Length: 1") + "x"},
	{"path", getRequest("/other")},
	{"method", getRequest("/v1/chat/completions")},
	{"old version", "POST /v1/chat/completions HTTP/1.0\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"},
	{"no length", "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"no id", servedReplacing("X-Txn", "X-Txx")},
	{"no class", servedReplacing("X-Lane", "X-Lxx")},
	{"no remaining time", servedReplacing("X-Remaining", "X-Rxx")},
	{"id", servedReplacing("aa\r\n", "ag\r\n")},
	{"id length", servedReplacing("aa\r\n", "aaa\r\n")},
	{"id twice", servedWith("x-txn: 00000000000000ab")},
	{"class empty", servedReplacing("chat\r\n", "\r\n")},
	{"class long", servedReplacing("chat\r\n", strings.Repeat("c", 65)+"\r\n")},
	{"session long", completionRequest(strings.Repeat("s", 65), validBody)},
	{"tenant empty", servedWith("X-Org:")},
	{"tenant long", servedWith("X-Org: " + strings.Repeat("s", 65))},
	{"remaining zero", servedReplacing("Remaining: 5", "Remaining: 0.0")},
	{"remaining text", servedReplacing("Remaining: 5", "Remaining: 1e3")},
	{"remaining points", servedReplacing("Remaining: 5", "Remaining: 1.2.3")},
	{"remaining tiny", servedReplacing("Remaining: 5", "Remaining: .0000000001")},
	{"remaining days", servedReplacing("Remaining: 5", "Remaining: 99999999")},
	{"estimate", servedWith("X-Estimate: -1")},
	{"estimate large", servedWith("X-Estimate: 86400000001")},
	{"label without value", servedWith("X-Labels: prompt_len")},
	{"label prefix empty", servedWith("X-Labels: prefix=")},
	{"label number", servedWith("X-Labels: max_out=x")},
	{"label too large", servedWith("X-Labels: prompt_len=262145")},
	{"label prefix over prompt", servedWith("X-Labels: prompt_len=3,prefix_len=4")},
	{"body no json", servedWithBody(`{"model"`)},
	{"body no model", servedWithBody(`{"messages":[{"role":"user","content":"x"}]}`)},
	{"body no messages", servedWithBody(`{"model":"m","messages":[]}`)},
	{"body message without content", servedWithBody(`{"model":"m","messages":[{"role":"user"}]}`)},
	{"body role no text", servedWithBody(`{"model":"m","messages":[{"role":7,"content":"x"}]}`)},
	{"body max tokens", servedWithBody(`{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`)},
	{"body stream no bool", servedWithBody(`{"model":"m","stream":1,"messages":[{"role":"user","content":"x"}]}`)},
	{"body too large", completionRequest("served", strings.Repeat(" ", 256<<10+1))},
	{"head too long", getRequest("/" + strings.Repeat("a", 16<<10))},
	{"malformed", "GET /\r\n\r\n"},
	{"malformed after served", servedRequest + "rubbish\r\n\r\n"},
	{"rest after a refusal is dropped", getRequest("/other") + servedRequest},
	{"body messages no list", servedWithBody(`{"model":"m","messages":5}`)},
	{"body message no object", servedWithBody(`{"model":"m","messages":[5]}`)},
}

// lineOf returns line i, or the last one if there are fewer lines.
func lineOf(lines []string, i int) string { return lines[min(i, len(lines)-1)] }

// compareGolden compares text with a golden file, or writes the file if -update is set.
func compareGolden(t *testing.T, file, text string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(text), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	got, expected := strings.Split(text, "\n"), strings.Split(string(want), "\n")
	for i := range max(len(got), len(expected)) {
		if i >= len(got) || i >= len(expected) || got[i] != expected[i] {
			t.Fatalf("%s: line %d differs:\n got %q\nwant %q", file, i+1, lineOf(got, i), lineOf(expected, i))
		}
	}
}

// exchangeResult is the outcome of an exchange: the bytes that the client received, the requests that the dispatcher
// received, and the server's counts.
type exchangeResult struct{ received, submitted, counts string }

// runExchange sends input to a new server in parts of at most partSize bytes and returns the outcome.
func runExchange(t *testing.T, input string, partSize int) (result exchangeResult) {
	t.Helper()
	g := startGolden(t, 10)
	c := g.dial()
	for len(input) > partSize {
		if _, err := io.WriteString(c, input[:partSize]); err != nil {
			break // the server closed the connection before it had received all input
		}
		input = input[partSize:]
		g.runOnLoop(func() {}) // lets the server read this part, in most cases, before the next one is sent
	}
	result.received = exchange(t, c, input)
	result.counts = fmt.Sprint(g.counts())
	g.runOnLoop(func() { result.submitted = strings.Join(g.requests, "\n") })
	return result
}

// TestResponseBytes compares the outcome of each exchange with the golden file. It checks that short exchanges have
// the same responses and counts if they arrive in small parts.
func TestResponseBytes(t *testing.T) {
	results := make([]exchangeResult, len(goldenExchanges))
	t.Run("exchanges", func(t *testing.T) {
		for i, e := range goldenExchanges {
			t.Run(e.name, func(t *testing.T) {
				t.Parallel()
				want := runExchange(t, e.input, len(e.input))
				results[i] = want
				if len(e.input) > 4<<10 {
					return
				}
				got := runExchange(t, e.input, 7)
				if got.received != want.received || got.counts != want.counts {
					t.Errorf("in parts of 7 bytes: received %q, counts %s; at once: received %q, counts %s",
						got.received, got.counts, want.received, want.counts)
				}
			})
		}
	})
	var out strings.Builder
	for i, e := range goldenExchanges {
		r := results[i]
		fmt.Fprintf(&out, "=== %s\n%q\n%s\n%s\n", e.name, r.received, r.submitted, r.counts)
	}
	compareGolden(t, "testdata/responses.golden", out.String())
}
