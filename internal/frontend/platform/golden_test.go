package platform

import (
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

var update = flag.Bool("update", false, "rewrite the golden files of this package")

// scriptedDispatcher answers each request at once, as the X-Entity field of the request says.
type scriptedDispatcher struct {
	requests     []string // what was submitted
	writers      []frontend.ResponseWriter
	next         policy.RequestID
	disconnected atomic.Int32
}

func (d *scriptedDispatcher) Submit(_ eventloop.Nanos, w frontend.ResponseWriter, r *frontend.Request) (policy.RequestID, error) {
	d.next++
	d.writers = append(d.writers, w)
	timeout := fmt.Sprint(r.FirstTokenTimeout)
	if r.FirstTokenTimeout > 4e9 && r.FirstTokenTimeout <= 5e9 {
		timeout = "5s" // less the time since the first byte came
	}
	d.requests = append(d.requests, fmt.Sprintf("id=%s path=%s header=%q class=%s tenant=%s session=%s prefix=%s prompt=%d shared=%d max=%d hint=%d repeat=%d timeout=%s body=%d",
		r.ClientID, r.Path, r.Header, r.Class, r.Tenant, r.Session, r.Prefix, r.PromptTokens, r.PrefixTokens, r.MaxTokens, r.LengthHint,
		r.PreviousAttempts, timeout, len(r.Raw)))
	id := d.next
	switch script := string(r.Session); script {
	case "rejected":
		return 0, frontend.RejectionError{Reason: "try later", RetryAfter: 1234567890}
	case "rejected-elsewhere":
		return 0, frontend.RejectionError{Reason: "try \"elsewhere\""}
	case "invalid":
		return 0, fmt.Errorf("class %q is unknown: %w", r.Class, frontend.ErrInvalidRequest)
	case "other-error":
		return 0, errors.New("some other error")
	case "held":
		return id, nil
	default:
		c := w.(*conn)
		c.server.loop.Post(func() { play(id, w, script) })
		return id, nil
	}
}

// play answers a request that was submitted.
func play(id policy.RequestID, w frontend.ResponseWriter, script string) {
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

func (d *scriptedDispatcher) ClientDisconnected(eventloop.Nanos, policy.RequestID) {
	d.disconnected.Add(1)
}
func (*scriptedDispatcher) ClientWritable(eventloop.Nanos, policy.RequestID) {}
func (*scriptedDispatcher) RequestName(policy.RequestID) string              { return "" }

const goldenBody = `{"model":"m","messages":[{"role":"user","content":"x"}]}`

// goldenRequest returns a request with more header lines, and a session that is the script of its answer.
func goldenRequest(session, body string, lines ...string) string {
	head := "POST /v1/chat/completions?a=b HTTP/1.1\r\nHost: h\r\nX-Txn: 00000000000000aa\r\nX-Lane: chat\r\nX-Remaining: 5\r\nX-Entity: " + session + "\r\n"
	for _, line := range lines {
		head += line + "\r\n"
	}
	return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
}

func get(path string, lines ...string) string {
	return "GET " + path + " HTTP/1.1\r\nHost: h\r\n" + strings.Join(append(lines, ""), "\r\n") + "\r\n"
}

// goldenExchanges are what clients send on one connection each, in the order of the golden file.
var goldenExchanges = []struct{ name, input string }{
	{"served", goldenRequest("served", goldenBody)},
	{"served and closed", goldenRequest("served", goldenBody, "Connection: close")},
	{"served two in a row", goldenRequest("served", goldenBody) + goldenRequest("served", goldenBody, "X-Resent: 1")},
	{"served with all fields", goldenRequest("served", goldenBody, "X-Org: payer", "X-Estimate: 250", "X-Labels: prefix=p, prompt_len=10,prefix_len=4, max_out=7,other=1",
		"X-Other: kept", "Connection: X-Hop, keep-alive", "X-Hop: dropped", "Idempotency-Key: k")},
	{"served chunked body", strings.Replace(strings.Split(goldenRequest("served", goldenBody), "Content-Length")[0], "X-Lane", "Transfer-Encoding: chunked\r\nX-Lane", 1) +
		fmt.Sprintf("\r\n%x\r\n%s\r\n0\r\n\r\n", len(goldenBody), goldenBody)},
	{"expects 100", goldenRequest("served", goldenBody, "Expect: 100-continue")},
	{"rejected at once", goldenRequest("rejected", goldenBody)},
	{"rejected elsewhere", goldenRequest("rejected-elsewhere", goldenBody)},
	{"rejected later", goldenRequest("late-rejected", goldenBody)},
	{"invalid for the dispatcher", goldenRequest("invalid", goldenBody)},
	{"other error", goldenRequest("other-error", goldenBody)},
	{"failed", goldenRequest("failed", goldenBody)},
	{"failed after its beginning", goldenRequest("failed-after-begin", goldenBody)},
	{"served after failure", goldenRequest("failed", goldenBody) + goldenRequest("served", goldenBody)},
	{"ready", get("/health/ready")},
	{"live", get("/health/live?x")},
	{"live http/1.0", "GET /health/live HTTP/1.0\r\n\r\n"},
	{"health method", "POST /health/live HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n"},
	{"health body", get("/health/ready", "Content-Length: 1") + "x"},
	{"path", get("/other")},
	{"method", get("/v1/chat/completions")},
	{"old version", "POST /v1/chat/completions HTTP/1.0\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"},
	{"no length", "POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\n\r\n"},
	{"no id", strings.Replace(goldenRequest("served", goldenBody), "X-Txn", "X-Txx", 1)},
	{"no class", strings.Replace(goldenRequest("served", goldenBody), "X-Lane", "X-Lxx", 1)},
	{"no remaining time", strings.Replace(goldenRequest("served", goldenBody), "X-Remaining", "X-Rxx", 1)},
	{"id", strings.Replace(goldenRequest("served", goldenBody), "aa\r\n", "ag\r\n", 1)},
	{"id length", strings.Replace(goldenRequest("served", goldenBody), "aa\r\n", "aaa\r\n", 1)},
	{"id twice", goldenRequest("served", goldenBody, "x-txn: 00000000000000ab")},
	{"class empty", strings.Replace(goldenRequest("served", goldenBody), "chat\r\n", "\r\n", 1)},
	{"class long", strings.Replace(goldenRequest("served", goldenBody), "chat\r\n", strings.Repeat("c", 65)+"\r\n", 1)},
	{"session long", goldenRequest(strings.Repeat("s", 65), goldenBody)},
	{"tenant empty", goldenRequest("served", goldenBody, "X-Org:")},
	{"tenant long", goldenRequest("served", goldenBody, "X-Org: "+strings.Repeat("s", 65))},
	{"remaining zero", strings.Replace(goldenRequest("served", goldenBody), "Remaining: 5", "Remaining: 0.0", 1)},
	{"remaining text", strings.Replace(goldenRequest("served", goldenBody), "Remaining: 5", "Remaining: 1e3", 1)},
	{"remaining points", strings.Replace(goldenRequest("served", goldenBody), "Remaining: 5", "Remaining: 1.2.3", 1)},
	{"remaining tiny", strings.Replace(goldenRequest("served", goldenBody), "Remaining: 5", "Remaining: .0000000001", 1)},
	{"remaining days", strings.Replace(goldenRequest("served", goldenBody), "Remaining: 5", "Remaining: 99999999", 1)},
	{"estimate", goldenRequest("served", goldenBody, "X-Estimate: -1")},
	{"estimate large", goldenRequest("served", goldenBody, "X-Estimate: 86400000001")},
	{"label without value", goldenRequest("served", goldenBody, "X-Labels: prompt_len")},
	{"label prefix empty", goldenRequest("served", goldenBody, "X-Labels: prefix=")},
	{"label number", goldenRequest("served", goldenBody, "X-Labels: max_out=x")},
	{"label too large", goldenRequest("served", goldenBody, "X-Labels: prompt_len=262145")},
	{"label prefix over prompt", goldenRequest("served", goldenBody, "X-Labels: prompt_len=3,prefix_len=4")},
	{"body no json", goldenRequest("served", `{"model"`)},
	{"body no model", goldenRequest("served", `{"messages":[{"role":"user","content":"x"}]}`)},
	{"body no messages", goldenRequest("served", `{"model":"m","messages":[]}`)},
	{"body message without content", goldenRequest("served", `{"model":"m","messages":[{"role":"user"}]}`)},
	{"body role no text", goldenRequest("served", `{"model":"m","messages":[{"role":7,"content":"x"}]}`)},
	{"body max tokens", goldenRequest("served", `{"model":"m","max_tokens":-1,"messages":[{"role":"user","content":"x"}]}`)},
	{"body stream no bool", goldenRequest("served", `{"model":"m","stream":1,"messages":[{"role":"user","content":"x"}]}`)},
	{"body too large", goldenRequest("served", strings.Repeat(" ", 256<<10+1))},
	{"head too long", get("/" + strings.Repeat("a", 16<<10))},
	{"malformed", "GET /\r\n\r\n"},
	{"malformed after served", goldenRequest("served", goldenBody) + "rubbish\r\n\r\n"},
	{"rest after a refusal is dropped", get("/other") + goldenRequest("served", goldenBody)},
}

// goldenServer serves with a scripted dispatcher on a loop of its own.
type goldenServer struct {
	loop       *eventloop.Loop
	server     *Server
	dispatcher *scriptedDispatcher
	addr       netip.AddrPort
}

func startGolden(t *testing.T, maxConns int, maxPartial int64) *goldenServer {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	g := &goldenServer{loop: loop, dispatcher: &scriptedDispatcher{}}
	limits := Limits{Connections: maxConns, PartialRequestBytes: maxPartial}
	g.server = New(loop, g.dispatcher, limits, func() bool { return true })
	if g.addr, err = g.server.Listen(netip.MustParseAddrPort("127.0.0.1:0"), false); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- loop.Run(nil) }()
	t.Cleanup(func() { loop.Stop(); <-done; loop.Close() })
	return g
}

// do runs a call on the loop and waits for it.
func (g *goldenServer) do(f func()) {
	done := make(chan struct{})
	g.loop.Post(func() { f(); close(done) })
	<-done
}

func (g *goldenServer) dial(t *testing.T) *net.TCPConn {
	t.Helper()
	c, err := net.Dial("tcp", g.addr.String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c.(*net.TCPConn)
}

// counts returns what the server has counted.
func (g *goldenServer) counts() (counts Counts) {
	g.do(func() { counts = g.server.Counts })
	return counts
}

// exchange sends input and returns what comes back until the server ends the connection or says nothing for a while.
func exchange(t *testing.T, c *net.TCPConn, input string) string {
	t.Helper()
	if _, err := io.WriteString(c, input); err != nil {
		t.Fatal(err)
	}
	return receive(t, c, 150*time.Millisecond)
}

// receive returns what comes until the connection ends, or until nothing has come for so long.
func receive(t *testing.T, c net.Conn, quiet time.Duration) string {
	t.Helper()
	var out strings.Builder
	p := make([]byte, 64<<10)
	for {
		c.SetReadDeadline(time.Now().Add(quiet))
		n, err := c.Read(p)
		out.Write(p[:n])
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return out.String() + "<open>"
		case errors.Is(err, io.EOF):
			return out.String() + "<end>"
		case err != nil:
			return out.String() + "<reset>"
		}
	}
}

// compareGolden compares text with a golden file, or writes the file.
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
			t.Fatalf("%s: line %d differs:\n got %q\nwant %q", file, i+1, got[min(i, len(got)-1)], expected[min(i, len(expected)-1)])
		}
	}
}

// TestResponseBytes compares the bytes that each exchange gets, what the dispatcher is given and what is counted with
// the golden file, sent at once and byte by byte.
func TestResponseBytes(t *testing.T) {
	type result struct{ received, submitted, counts string }
	play := func(t *testing.T, input string, step int) (r result) {
		g := startGolden(t, 10, 1<<20)
		c := g.dial(t)
		c.SetNoDelay(true)
		for len(input) > step {
			if _, err := io.WriteString(c, input[:step]); err != nil {
				break
			}
			input = input[step:]
			if step < 64 {
				g.do(func() {}) // so that parts are seldom read together
			}
		}
		r.received = exchange(t, c, input)
		r.counts = fmt.Sprintf("%v", g.counts())
		g.do(func() { r.submitted = strings.Join(g.dispatcher.requests, "\n") })
		return r
	}
	results := make([]result, len(goldenExchanges))
	t.Run("exchanges", func(t *testing.T) {
		for i, e := range goldenExchanges {
			t.Run(e.name, func(t *testing.T) {
				t.Parallel()
				results[i] = play(t, e.input, 1<<20)
				if len(e.input) > 4<<10 {
					return
				}
				if got := play(t, e.input, 7); got.received != results[i].received || got.counts != results[i].counts {
					t.Errorf("in parts of 7 bytes:\n%q %s\nat once:\n%q %s", got.received, got.counts, results[i].received, results[i].counts)
				}
			})
		}
	})
	var out strings.Builder
	for i, e := range goldenExchanges {
		fmt.Fprintf(&out, "=== %s\n%q\n%s\n%s\n", e.name, results[i].received, results[i].submitted, results[i].counts)
	}
	compareGolden(t, "testdata/responses.golden", out.String())
}

// TestResponseBytesAtLimits compares what clients get where a limit or a timeout of the front is met.
func TestResponseBytesAtLimits(t *testing.T) {
	cases := []struct {
		name string
		play func(t *testing.T) string
	}{
		{"id in flight twice", func(t *testing.T) string {
			g := startGolden(t, 10, 1<<20)
			first, second := g.dial(t), g.dial(t)
			return exchange(t, first, goldenRequest("held", goldenBody)) + exchange(t, second, goldenRequest("served", goldenBody))
		}},
		{"client leaves", func(t *testing.T) string {
			g := startGolden(t, 10, 1<<20)
			c := g.dial(t)
			got := exchange(t, c, goldenRequest("held", goldenBody))
			c.CloseWrite()
			got += receive(t, c, time.Second)
			for end := time.Now().Add(5 * time.Second); g.dispatcher.disconnected.Load() == 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			return got + fmt.Sprint(g.dispatcher.disconnected.Load())
		}},
		{"too many partial bytes", func(t *testing.T) string {
			g := startGolden(t, 10, 100)
			return exchange(t, g.dial(t), goldenRequest("served", goldenBody+strings.Repeat(" ", 100)))
		}},
		{"request incomplete", func(t *testing.T) string {
			g := startGolden(t, 10, 1<<20)
			c := g.dial(t)
			io.WriteString(c, "POST /")
			began := time.Now()
			got := receive(t, c, 2900*time.Millisecond)
			return fmt.Sprint(got, time.Since(began).Round(500*time.Millisecond))
		}},
		{"silent", func(t *testing.T) string {
			g := startGolden(t, 10, 1<<20)
			began := time.Now()
			got := receive(t, g.dial(t), 5*time.Second)
			return fmt.Sprint(got, time.Since(began).Round(500*time.Millisecond))
		}},
		{"silent after the last answer", func(t *testing.T) string {
			g := startGolden(t, 10, 1<<20)
			c := g.dial(t)
			got := exchange(t, c, get("/other"))
			began := time.Now()
			for open := 1; open > 0; {
				g.do(func() { open = g.server.ConnCount() })
				time.Sleep(5 * time.Millisecond)
			}
			return fmt.Sprint(got, time.Since(began).Round(time.Second))
		}},
		{"idle connection evicted", func(t *testing.T) string {
			g := startGolden(t, 1, 1<<20)
			first := g.dial(t)
			got := exchange(t, first, get("/health/live"))
			second := g.dial(t)
			return got + exchange(t, second, get("/health/live")) + receive(t, first, time.Second) + fmt.Sprintf("%v", g.counts())
		}},
		{"new connection refused", func(t *testing.T) string {
			g := startGolden(t, 1, 1<<20)
			got := exchange(t, g.dial(t), goldenRequest("held", goldenBody))
			return got + receive(t, g.dial(t), time.Second) + fmt.Sprintf("%v", g.counts())
		}},
		{"drain", drainBytes},
		{"drain under a stream", drainUnderStreamBytes},
	}
	results := make([]string, len(cases))
	t.Run("cases", func(t *testing.T) {
		for i, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				results[i] = c.play(t)
			})
		}
	})
	var out strings.Builder
	for i, c := range cases {
		fmt.Fprintf(&out, "=== %s\n%s\n", c.name, strconv.Quote(results[i]))
	}
	compareGolden(t, "testdata/limits.golden", out.String())
}

// drainBytes drains a server and returns what its clients get before the listener closes, after that, and once requests
// are refused.
func drainBytes(t *testing.T) string {
	g := startGolden(t, 20, 1<<20)
	idle, partial, pipelined, held := g.dial(t), g.dial(t), g.dial(t), g.dial(t)
	got := exchange(t, idle, get("/health/ready"))
	io.WriteString(pipelined, goldenRequest("held", goldenBody)+strings.Replace(goldenRequest("served", goldenBody), "00aa", "00bb", 1))
	io.WriteString(held, strings.Replace(goldenRequest("held", goldenBody), "00aa", "00cc", 1))
	var began time.Time
	g.do(func() { g.server.Drain(); began = time.Now() })
	got += "\nready " + exchange(t, g.dial(t), get("/health/ready"))
	got += "\nserved " + exchange(t, g.dial(t), strings.Replace(goldenRequest("served", goldenBody), "00aa", "00dd", 1))
	time.Sleep(time.Until(began.Add(520 * time.Millisecond)))
	got += "\nidle " + receive(t, idle, time.Second)
	time.Sleep(time.Until(began.Add(700 * time.Millisecond)))
	got += "\nlate " + exchange(t, partial, strings.Replace(goldenRequest("served", goldenBody), "00aa", "00ee", 1))
	g.do(func() {
		for id := policy.RequestID(1); id <= 2; id++ {
			for _, c := range g.connections() {
				if c.response.requestID == id {
					c.Reject(id, frontend.RejectionError{Reason: "gone"})
				}
			}
		}
	})
	got += "\npipelined " + receive(t, pipelined, time.Second)
	got += "\nheld " + receive(t, held, time.Second)
	for _, c := range []net.Conn{idle, partial, pipelined, held} {
		c.Close()
	}
	deadline := time.Now().Add(10 * time.Second)
	for drained := false; !drained; {
		g.do(func() { drained = g.server.IsIdle() })
		if time.Now().After(deadline) {
			t.Error("the server has not drained within 10 s")
			break
		}
	}
	_, err := net.Dial("tcp", g.addr.String())
	return got + fmt.Sprintf("\ndial fails: %v\n%v", err != nil, g.counts())
}

// drainUnderStreamBytes drains a server while it streams an answer.
func drainUnderStreamBytes(t *testing.T) string {
	g := startGolden(t, 20, 1<<20)
	c := g.dial(t)
	got := exchange(t, c, goldenRequest("held", goldenBody))
	g.do(func() { g.connections()[0].WriteTokens(1, []byte("data: 1\n\n")) })
	got += receive(t, c, 100*time.Millisecond)
	g.do(func() { g.server.Drain() })
	g.do(func() {
		writer := g.connections()[0]
		writer.WriteTokens(1, []byte("data: 2\n\n"))
		writer.Complete(1)
	})
	return got + receive(t, c, 100*time.Millisecond)
}

// connections returns the connections with a request in hand.
func (g *goldenServer) connections() (list []*conn) {
	for _, w := range g.dispatcher.writers {
		list = append(list, w.(*conn))
	}
	return list
}
