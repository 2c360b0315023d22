package grpc

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/base64"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"golang.org/x/net/http2"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/reflection/grpc_reflection_v1"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/internal/h2"
	"docksail/policy"
)

var update = flag.Bool("update", false, "rewrite the golden files of this package")

// scriptedDispatcher answers each request as its session says, and records it. It belongs to the loop.
type scriptedDispatcher struct {
	loop        *eventloop.Loop
	requests    []string
	disconnects int
}

// Submit implements frontend.Dispatcher.
func (d *scriptedDispatcher) Submit(
	_ eventloop.Nanos, w frontend.ResponseWriter, r *frontend.Request,
) (policy.RequestID, error) {
	timeout := "none"
	if r.CallTimeout > 0 {
		timeout = fmt.Sprint((time.Duration(r.CallTimeout) + 999*time.Millisecond).Truncate(time.Second))
	}
	d.requests = append(d.requests, fmt.Sprintf("class=%s tenant=%s session=%s prefix=%s key=%s client=%s ticket=%q "+
		"background=%v prompt=%d shared=%d max=%d first=%d hint=%d timeout=%s repeat=%d trace=%s raw=%d",
		r.Class, r.Tenant, r.Session, r.Prefix, r.IdempotencyKey, r.Client, r.Ticket, r.Background, r.PromptTokens,
		r.PrefixTokens, r.MaxTokens, r.FirstTokenTimeout, r.LengthHint, timeout, r.PreviousAttempts, r.TraceParent,
		len(r.Raw)))
	id := policy.RequestID(len(d.requests))
	switch script := string(r.Session); script {
	case "rejected":
		return 0, frontend.RejectionError{Reason: "try later", RetryAfter: 1234567890, Ticket: []byte("ticket")}
	case "limited":
		return 0, frontend.RejectionError{Reason: "too many", RetryAfter: 1, TenantLimitExceeded: true}
	case "invalid":
		return 0, fmt.Errorf("class %q is unknown: %w", r.Class, frontend.ErrInvalidRequest)
	case "held":
		return id, nil
	default:
		d.loop.Post(func() { respondAs(script, id, w) })
		return id, nil
	}
}

// respondAs answers a request that was submitted.
func respondAs(script string, id policy.RequestID, w frontend.ResponseWriter) {
	switch script {
	case "late-rejected":
		w.Reject(id, frontend.RejectionError{Reason: "no"})
	case "failed":
		w.Fail(id, "its time is up")
	case "failed-after-begin":
		w.WriteTokens(id, []byte("one"))
		w.Fail(id, "the stream broke")
	default:
		w.WriteTokens(id, []byte("one"))
		w.WriteTokens(id, []byte("two"))
		w.Complete(id)
	}
}

// ClientDisconnected implements frontend.Dispatcher.
func (d *scriptedDispatcher) ClientDisconnected(eventloop.Nanos, policy.RequestID) { d.disconnects++ }

// ClientWritable implements frontend.Dispatcher.
func (*scriptedDispatcher) ClientWritable(eventloop.Nanos, policy.RequestID) {}

// RequestName implements frontend.Dispatcher.
func (*scriptedDispatcher) RequestName(id policy.RequestID) string { return fmt.Sprintf("life.%d", id) }

// testServer is a Server on a loop of its own.
type testServer struct {
	loop       *eventloop.Loop
	server     *Server
	dispatcher *scriptedDispatcher
	addr       netip.AddrPort
	client     *http.Client
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	loop, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{loop: loop, dispatcher: &scriptedDispatcher{loop: loop}}
	if s.server, err = New(loop, s.dispatcher, h2.DefaultLimits, 10, 1<<20, 1<<20); err != nil {
		t.Fatal(err)
	}
	if s.addr, err = s.server.Listen(netip.MustParseAddrPort("127.0.0.1:0"), false); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- loop.Run(func(eventloop.Nanos) { s.server.Flush() }) }()
	transport := &http2.Transport{
		AllowHTTP: true,
		DialTLSContext: func(ctx context.Context, network, addr string, _ *tls.Config) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, network, addr)
		},
	}
	s.client = &http.Client{Transport: transport, Timeout: 20 * time.Second}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		loop.Stop()
		if err := <-done; err != nil {
			t.Error(err)
		}
		loop.Close()
	})
	return s
}

// do runs a call on the loop and waits for it.
func (s *testServer) do(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() { f(); close(done) })
	<-done
}

// call makes a call with messages and header fields, which are NAME: VALUE, and returns the response as text.
func (s *testServer) call(t *testing.T, path string, messages [][]byte, fields ...string) string {
	t.Helper()
	var body bytes.Buffer
	for _, m := range messages {
		body.Write(binary.BigEndian.AppendUint32([]byte{0}, uint32(len(m))))
		body.Write(m)
	}
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+s.addr.String()+path, &body)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Content-Type", "application/grpc")
	request.Header.Set("Te", "trailers")
	for _, f := range fields {
		name, value, _ := strings.Cut(f, ": ")
		request.Header.Set(name, value)
	}
	response, err := s.client.Do(request)
	if err != nil {
		return "error " + err.Error()
	}
	defer response.Body.Close()
	received, err := io.ReadAll(response.Body)
	return fmt.Sprintf("%d %s%q %s%v", response.StatusCode, describe(response.Header), received,
		describe(response.Trailer), err)
}

// describe returns header fields as text, in the order of their names. Some builds of the protobuf module write a
// no-break space into their errors, which is taken for a space.
func describe(header http.Header) string {
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(header)) {
		fmt.Fprintf(&out, "%s=%q ", name, header[name])
	}
	return strings.ReplaceAll(out.String(), "%C2%A0", " ")
}

// text returns a message with string fields and numbers, alternately: field number, value.
func text(t *testing.T, fieldsAndValues ...any) []byte {
	t.Helper()
	var b []byte
	for i := 0; i < len(fieldsAndValues); i += 2 {
		field := protowire.Number(fieldsAndValues[i].(int))
		switch value := fieldsAndValues[i+1].(type) {
		case string:
			b = protowire.AppendTag(b, field, protowire.BytesType)
			b = protowire.AppendString(b, value)
		case int:
			b = protowire.AppendTag(b, field, protowire.VarintType)
			b = protowire.AppendVarint(b, uint64(value))
		}
	}
	return b
}

func marshal(t *testing.T, m proto.Message) []byte {
	t.Helper()
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

const (
	generatePath   = "/docksail.v1.Generation/Generate"
	healthPath     = "/grpc.health.v1.Health/Check"
	reflectionPath = "/grpc.reflection.v1.ServerReflection/ServerReflectionInfo"
)

// TestResponses compares what calls get and what the dispatcher is given with the golden file.
func TestResponses(t *testing.T) {
	generate := func(fieldsAndValues ...any) [][]byte { return [][]byte{text(t, fieldsAndValues...)} }
	health := func(service string) [][]byte {
		return [][]byte{marshal(t, &grpc_health_v1.HealthCheckRequest{Service: service})}
	}
	reflection := func(r *grpc_reflection_v1.ServerReflectionRequest) [][]byte { return [][]byte{marshal(t, r)} }
	full := generate(1, "chat", 2, "payer", 3, "served", 4, "prefix", 5, 100, 6, 40, 7, 20, 8, "key", 9, 5_000_000_000, 10, 7,
		11, "prompt", 12, "client", 13, "unknown")
	ticket := base64.RawStdEncoding.EncodeToString([]byte("ticket"))
	cases := []struct {
		name     string
		path     string
		messages [][]byte
		fields   []string
	}{
		{"served", generatePath, generate(1, "chat"), nil},
		{"served with all fields", generatePath, full, []string{
			"grpc-timeout: 10S", "grpc-previous-rpc-attempts: 2", "docksail-ticket-bin: " + ticket + "=",
			"docksail-background: 1", "traceparent: 00-ab-cd-01", "grpc-encoding: identity",
		}},
		{"rejected", generatePath, generate(3, "rejected"), nil},
		{"over the tenant's limit", generatePath, generate(3, "limited"), nil},
		{"rejected later", generatePath, generate(3, "late-rejected"), nil},
		{"invalid", generatePath, generate(1, "chat", 3, "invalid"), nil},
		{"failed", generatePath, generate(3, "failed"), nil},
		{"failed after its beginning", generatePath, generate(3, "failed-after-begin"), nil},
		{"second message", generatePath, append(generate(3, "held"), text(t, 1, "chat")), nil},
		{"no message", generatePath, nil, nil},
		{"timeout malformed", generatePath, generate(1, "chat"), []string{"grpc-timeout: soon"}},
		{"timeout zero", generatePath, generate(1, "chat"), []string{"grpc-timeout: 0S"}},
		{"encoding", generatePath, generate(1, "chat"), []string{"grpc-encoding: gzip"}},
		{"previous attempts", generatePath, generate(1, "chat"), []string{"grpc-previous-rpc-attempts: x"}},
		{"ticket malformed", generatePath, generate(1, "chat"), []string{"docksail-ticket-bin: %%"}},
		{"unknown method", "/docksail.v1.Generation/Other", generate(1, "chat"), nil},
		{"tag malformed", generatePath, [][]byte{{0xff}}, nil},
		{"string malformed", generatePath, [][]byte{{1<<3 | 2, 9, 'a'}}, nil},
		{"string not utf-8", generatePath, generate(1, "\xff"), nil},
		{"number malformed", generatePath, [][]byte{{5<<3 | 0, 0xff}}, nil},
		{"number too large", generatePath, generate(5, 1<<32), nil},
		{"hint too large", generatePath, generate(10, 1<<62+1), nil},
		{"wire type", generatePath, generate(1, 5), nil},
		{"unknown field malformed", generatePath, [][]byte{{14<<3 | 2, 9}}, nil},
		{"prefix longer than the prompt", generatePath, generate(5, 3, 6, 4), nil},
		{"health", healthPath, health(""), nil},
		{"health of the service", healthPath, health("docksail.v1.Generation"), nil},
		{"health of another", healthPath, health("other"), nil},
		{"health malformed", healthPath, [][]byte{{0xff}}, nil},
		{"reflection list", reflectionPath, reflection(&grpc_reflection_v1.ServerReflectionRequest{
			Host: "h", MessageRequest: &grpc_reflection_v1.ServerReflectionRequest_ListServices{},
		}), nil},
		{"reflection unknown file", reflectionPath, reflection(&grpc_reflection_v1.ServerReflectionRequest{
			MessageRequest: &grpc_reflection_v1.ServerReflectionRequest_FileByFilename{FileByFilename: "x.proto"},
		}), nil},
		{"reflection unknown symbol", reflectionPath, reflection(&grpc_reflection_v1.ServerReflectionRequest{
			MessageRequest: &grpc_reflection_v1.ServerReflectionRequest_FileContainingSymbol{FileContainingSymbol: ".x"},
		}), nil},
		{"reflection other question", reflectionPath, reflection(&grpc_reflection_v1.ServerReflectionRequest{
			MessageRequest: &grpc_reflection_v1.ServerReflectionRequest_AllExtensionNumbersOfType{},
		}), nil},
		{"reflection malformed", reflectionPath, [][]byte{{0xff}}, nil},
	}
	var out strings.Builder
	for _, c := range cases {
		s := startServer(t)
		fmt.Fprintf(&out, "=== %s\n%s\n", c.name, s.call(t, c.path, c.messages, c.fields...))
		s.do(func() {
			counts := s.server.Counts()
			fmt.Fprintf(&out, "%s\ndisconnects %d calls %d invalid %d overflows %d partial %d connections %d\n",
				strings.Join(s.dispatcher.requests, "\n"), s.dispatcher.disconnects, counts.Calls, counts.InvalidCalls,
				counts.OutputOverflows, counts.PartialMessagesRefused, s.server.ConnCount())
		})
	}
	compareGolden(t, "testdata/responses.golden", out.String())
}

// TestReflectionFiles checks that reflection returns the file of the service and those that it imports.
func TestReflectionFiles(t *testing.T) {
	s := startServer(t)
	request := &grpc_reflection_v1.ServerReflectionRequest{
		MessageRequest: &grpc_reflection_v1.ServerReflectionRequest_FileContainingSymbol{
			FileContainingSymbol: "docksail.v1.Generation",
		},
	}
	got := s.call(t, reflectionPath, [][]byte{marshal(t, request)})
	if !strings.Contains(got, "GenerateRequest") || !strings.Contains(got, `Grpc-Status=["0"]`) {
		t.Errorf("got %s", got)
	}
}

// TestDrain checks what a health watch, a call in flight and new calls get in a graceful shutdown.
func TestDrain(t *testing.T) {
	s := startServer(t)
	watch := make(chan string, 1)
	go func() {
		watch <- s.call(t, "/grpc.health.v1.Health/Watch", [][]byte{marshal(t, &grpc_health_v1.HealthCheckRequest{})})
	}()
	for open := 0; open == 0; time.Sleep(time.Millisecond) {
		s.do(func() {
			for c := range s.server.conns {
				open += openStreams(c)
			}
		})
	}
	time.Sleep(20 * time.Millisecond) // the watch's first message
	s.do(func() { s.server.Drain() })
	var out strings.Builder
	fmt.Fprintln(&out, <-watch)
	_, err := net.Dial("tcp", s.addr.String())
	idle := false
	for end := time.Now().Add(5 * time.Second); !idle && time.Now().Before(end); {
		s.do(func() { idle = s.server.IsIdle() })
	}
	fmt.Fprintf(&out, "refused=%v idle=%v\n", err != nil, idle)
	compareGolden(t, "testdata/drain.golden", out.String())
}

// compareGolden compares text with a golden file, or writes the file.
func compareGolden(t *testing.T, file, got string) {
	t.Helper()
	if *update {
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	gotLines, wantLines := strings.Split(got, "\n"), strings.Split(string(want), "\n")
	for i := range min(len(gotLines), len(wantLines)) {
		if gotLines[i] != wantLines[i] {
			t.Fatalf("%s: line %d:\n got %s\nwant %s", file, i+1, gotLines[i], wantLines[i])
		}
	}
	if len(gotLines) != len(wantLines) {
		t.Errorf("%s: %d lines, want %d", file, len(gotLines), len(wantLines))
	}
}

func openStreams(c *conn) int { return c.h.OpenStreamCount() }
