package platform

import (
	"bufio"
	"docksail/internal/decide/clientconn"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/policy"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"
)

// core takes every request and leaves its answer to the test.
type core struct{ calls []frontend.ResponseWriter }

func (k *core) Submit(_ eventloop.Nanos, call frontend.ResponseWriter, _ *frontend.Request) (policy.RequestID, error) {
	k.calls = append(k.calls, call)
	return policy.RequestID(len(k.calls)), nil
}
func (*core) ClientDisconnected(eventloop.Nanos, policy.RequestID) {}
func (*core) ClientWritable(eventloop.Nanos, policy.RequestID)     {}
func (*core) RequestName(policy.RequestID) string                  { return "" }

// served is a Server on a loop of its own, before a core that the test plays.
type served struct {
	t    *testing.T
	l    *eventloop.Loop
	s    *Server
	core *core
	addr netip.AddrPort
}

func serve(t *testing.T, connections int) *served {
	t.Helper()
	l, err := eventloop.New()
	if err != nil {
		t.Fatal(err)
	}
	v := &served{t: t, l: l, core: &core{}}
	v.s = New(l, v.core, Limits{Connections: connections, PartialRequestBytes: 1 << 20}, func() bool { return true })
	if v.addr, err = v.s.Listen(netip.MustParseAddrPort("127.0.0.1:0"), false); err != nil {
		t.Fatal(err)
	}
	done := make(chan error)
	go func() { done <- l.Run(nil) }()
	t.Cleanup(func() { l.Stop(); <-done; l.Close() })
	return v
}

// on runs a call on the loop and waits for it.
func (v *served) on(f func()) {
	got := make(chan struct{})
	v.l.Post(func() { f(); close(got) })
	<-got
}

// until turns the loop until something holds on it.
func (v *served) until(what string, is func() bool) {
	v.t.Helper()
	for end := time.Now().Add(10 * time.Second); ; {
		var ok bool
		if v.on(func() { ok = is() }); ok {
			return
		}
		if time.Now().After(end) {
			v.t.Fatalf("%s: not within 10 s", what)
		}
	}
}

// client connects.
func (v *served) client() net.Conn {
	v.t.Helper()
	c, err := net.Dial("tcp", v.addr.String())
	if err != nil {
		v.t.Fatal(err)
	}
	v.t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(20 * time.Second))
	return c
}

const body1 = `{"model":"m","messages":[{"role":"user","content":"x"}]}`

func request(head string) string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: h\r\nX-Txn: 00000000000000aa\r\nX-Lane: a\r\nX-Remaining: 5\r\n%sContent-Length: %d\r\n\r\n%s",
		head, len(body1), body1)
}

// stuffed has a request answered with a stream whose end the client has no room for, and gives how long that is.
func (v *served) stuffed(c net.Conn, head string) (length int) {
	v.t.Helper()
	io.WriteString(c, request(head))
	v.until("the request", func() bool { return len(v.core.calls) == 1 })
	piece := make([]byte, 60<<10)
	call := v.core.calls[0]
	for queued := 0; queued == 0; {
		v.on(func() { call.WriteTokens(1, piece) })
		length += len(piece)
		v.on(func() { queued = call.(*conn).transport.QueuedBytes() })
	}
	v.on(func() { call.Complete(1) })
	return length
}

// wholeAnswer reads a stream to its end and gives its length.
func wholeAnswer(t *testing.T, c net.Conn) int {
	t.Helper()
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatal(err)
	}
	b, err := io.ReadAll(res.Body)
	if err != nil {
		t.Errorf("the answer broke off: %v", err)
	}
	return len(b)
}

// A client that is slow to take its connection's last answer gets it whole.
func TestSlowClientGetsLastAnswer(t *testing.T) {
	v := serve(t, 10)
	c := v.client()
	length := v.stuffed(c, "Connection: close\r\n")
	call := v.core.calls[0].(*conn)
	v.until("the connection's time is up", func() bool {
		return call.closed || v.l.Now() > clientconn.StateDeadline(clientconn.StateLingering, call.lifecycle.stateSince)+100e6
	})
	if got := wholeAnswer(t, c); got != length {
		t.Errorf("%d bytes, want %d", got, length)
	}
	c.Close()
	v.until("the connection goes", func() bool { return v.s.ConnCount() == 0 })
}

// In a crowd a connection at rest whose answer still waits for its client is not ended.
func TestCrowdSparesAnswerUnderWay(t *testing.T) {
	v := serve(t, 1)
	c := v.client()
	length := v.stuffed(c, "")
	other := v.client()
	if b, _ := io.ReadAll(other); len(b) > 0 {
		t.Errorf("the new client got %q", b)
	}
	if got := wholeAnswer(t, c); got != length {
		t.Errorf("%d bytes, want %d", got, length)
	}
}

// A connection that has said nothing is not closed for that over a request that comes in that moment.
func TestRequestAsSilenceEnds(t *testing.T) {
	v := serve(t, 10)
	c := v.client()
	v.until("it is connected", func() bool { return v.s.ConnCount() == 1 })
	v.on(func() {
		var first eventloop.Timer // fires in the same turn, before the connection's own
		silent := v.s.incomplete.Min()
		v.l.SetTimer(&first, clientconn.StateDeadline(clientconn.StateNew, silent.lifecycle.stateSince)-1, func(eventloop.Nanos) { io.WriteString(c, request("")) })
	})
	v.until("the request", func() bool { return len(v.core.calls) == 1 || v.s.ConnCount() == 0 })
	if len(v.core.calls) != 1 {
		t.Error("the connection was closed over it")
	}
}

// The time of a request that waits behind another runs from when it came.
func TestAgeOfPipelinedRequest(t *testing.T) {
	v := serve(t, 10)
	c := v.client()
	io.WriteString(c, request(""))
	v.until("the first", func() bool { return len(v.core.calls) == 1 })
	io.WriteString(c, strings.Replace(request(""), "00aa", "00bb", 1))
	first := v.core.calls[0].(*conn)
	v.until("the second is read", func() bool { return first.pipelinedBytes() > 0 })
	var came, now eventloop.Nanos
	v.on(func() { came = v.l.Now() })
	v.until("some time", func() bool { now = v.l.Now(); return now > came+50e6 })
	v.on(func() { first.Reject(1, frontend.RejectionError{}) })
	v.until("the second", func() bool { return len(v.core.calls) == 2 })
	if left := v.s.request.FirstTokenTimeout; left > int64(5e9)-50e6 {
		t.Errorf("%d ms left of 5 s after 50 ms", left/1e6)
	}
}
