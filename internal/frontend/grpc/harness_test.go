package grpc

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/internal/h2"
	"docksail/policy"
)

// scriptedDispatcher records each request and answers it by the script that its session names. It must be used on the
// loop's goroutine only.
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
		r.PrefixTokens, r.MaxTokens, r.FirstTokenTimeout, r.ExpectedDuration, timeout, r.PreviousAttempts, r.TraceParent,
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

// respondAs answers a submitted request by a script.
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

// testServer is a Server on its own loop.
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
	limits := Limits{HTTP2: h2.DefaultLimits, Connections: 10, OutputBytes: 1 << 20, PartialMessageBytes: 1 << 20}
	if s.server, err = New(loop, s.dispatcher, limits); err != nil {
		t.Fatal(err)
	}
	if s.addr, err = s.server.Listen(netip.MustParseAddrPort("127.0.0.1:0"), false); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- loop.Run(func(eventloop.Nanos) { s.server.Flush() }) }()
	transport := &http.Transport{Protocols: new(http.Protocols)}
	transport.Protocols.SetUnencryptedHTTP2(true)
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

// runOnLoop calls f on the loop's goroutine and waits until it has returned.
func (s *testServer) runOnLoop(f func()) {
	done := make(chan struct{})
	s.loop.Post(func() { f(); close(done) })
	<-done
}

// call makes a call with messages and header fields of the form "NAME: VALUE", and returns the response as text.
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

// describe returns header fields as text, sorted by name. It replaces the no-break space that some builds of the
// protobuf module write into their errors by a space.
func describe(header http.Header) string {
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(header)) {
		fmt.Fprintf(&out, "%s=%q ", name, header[name])
	}
	return strings.ReplaceAll(out.String(), "%C2%A0", " ")
}

// encode returns a protobuf message. Its arguments are field numbers and values in turn. A value is a string or an
// int.
func encode(fieldsAndValues ...any) []byte {
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
