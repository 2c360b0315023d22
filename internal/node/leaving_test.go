package node

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// TestNoDecodeAfterClientLeftWithInputUnread guards against attempts for a client that has closed its connection with
// more pipelined than the dispatcher had read: the close, behind the unread bytes, went unnoticed.
func TestNoDecodeAfterClientLeftWithInputUnread(t *testing.T) {
	const (
		pipelinedRequests = 40
		bodyBytes         = 60 << 10
		// noticeTime is how long after the close an attempt may still begin, by the platform's page.
		noticeTime = 100 * time.Millisecond
	)
	h := newNetHarness(t)
	finishPrefill := make(chan struct{})
	h.addServer("reader", "prefill", func(conn net.Conn) error {
		<-finishPrefill
		_, err := io.WriteString(conn, prefillResponse)
		return err
	})
	h.addServer("writer", "decode", respondWith(decodeResponse))
	h.start(512)
	conn := h.dial().(*net.TCPConn)
	var text strings.Builder
	text.WriteString(request(requestID(1)))
	for n := range pipelinedRequests {
		text.WriteString(requestWithBody(requestID(2+n), bodyBytes))
	}
	if err := conn.SetWriteBuffer(text.Len()); err != nil {
		t.Fatal(err)
	}
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = io.WriteString(conn, text.String()) // fails once the connection is closed
	}()
	waitUntil(t, "the prefill attempt", func() bool { return h.attemptsAt("reader") > 0 })
	time.Sleep(noticeTime) // the dispatcher reads as much as it will
	conn.Close()
	<-written
	time.Sleep(noticeTime)
	close(finishPrefill)
	time.Sleep(5 * noticeTime)
	if prefills, decodes := h.attemptsAt("reader"), h.attemptsAt("writer"); prefills != 1 || decodes != 0 {
		t.Errorf("%d prefill and %d decode attempts, want 1 and 0: the client had left", prefills, decodes)
	}
}
