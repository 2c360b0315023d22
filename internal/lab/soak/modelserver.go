package soak

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// eventsPerStream is the number of events in each stream, including the one that ends it.
const eventsPerStream = 4

const (
	tokenText  = "oqvh"
	tokenEvent = "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"" + tokenText + "\"}}]}\n\n"
	endEvent   = "data: [DONE]\n\n"
)

// errConnClosed reports that the connection of an attempt has ended.
var errConnClosed = errors.New("connection closed")

// ModelServer is a stand-in prefill or decode server that speaks the platform's protocol and reports to the oracle,
// which runs in another process.
type ModelServer struct {
	Name      string
	IsPrefill bool

	mu      sync.Mutex // allows one report at a time
	oracle  net.Conn
	decoder *json.Decoder
	encoder *json.Encoder
}

// Serve serves on a free port of the loopback interface until accepting fails. It reports to the oracle's address.
// Once it listens, it writes its own address to w as a line.
func (s *ModelServer) Serve(oracle string, w io.Writer) error {
	var err error
	if s.oracle, err = net.Dial("tcp", oracle); err != nil {
		return fmt.Errorf("connect to oracle: %w", err)
	}
	s.decoder, s.encoder = json.NewDecoder(s.oracle), json.NewEncoder(s.oracle)
	if err := s.encoder.Encode(s.Name); err != nil {
		return fmt.Errorf("send server name to oracle: %w", err)
	}
	listener, err := listenOnLoopback()
	if err != nil {
		return err
	}
	fmt.Fprintln(w, listener.Addr())
	for {
		c, err := listener.Accept()
		if err != nil {
			return err
		}
		conn := &modelServerConn{
			server: s, conn: c.(*net.TCPConn), port: c.RemoteAddr().(*net.TCPAddr).Port, closed: make(chan struct{}),
		}
		go conn.serve()
	}
}

// report sends a report to the oracle and returns its reply. If the oracle's connection is lost, it returns the report
// itself.
func (s *ModelServer) report(r report) report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.At = Now()
	if s.encoder.Encode(r) != nil || s.decoder.Decode(&r) != nil {
		s.oracle.Close()
	}
	return r
}

// modelServerConn is a connection to a model server. It carries one request at a time.
type modelServerConn struct {
	server *ModelServer
	conn   *net.TCPConn
	port   int           // local port of the proxy's connection
	closed chan struct{} // closed when reading from the connection has ended
}

// serve answers the requests on the connection.
func (c *modelServerConn) serve() {
	defer c.conn.Close()
	requests := make(chan *http.Request)
	go c.readRequests(requests)
	for {
		select {
		case r := <-requests:
			if !c.answer(r) {
				resetOnClose(c.conn)
				return
			}
		case <-c.closed:
			return
		}
	}
}

// readRequests reads complete requests until the connection ends. It also reads while a request is being answered, to
// detect the end of the connection.
func (c *modelServerConn) readRequests(requests chan<- *http.Request) {
	defer close(c.closed)
	in := bufio.NewReader(c.conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		requests <- r
	}
}

// answer answers one request. It reports whether the connection stays open; if not, the caller must reset it.
func (c *modelServerConn) answer(r *http.Request) bool {
	if r.Method == http.MethodDelete {
		c.answerRelease(strings.TrimPrefix(r.URL.Path, "/state/"))
		return true
	}
	id := r.Header.Get("X-Txn")
	received := report{Kind: reportAttemptReceived, ID: id, Port: c.port, IsPrefill: c.server.IsPrefill}
	plan := c.server.report(received).Plan
	if c.wait(plan.Work) != nil {
		c.reportFinished(id, "its connection ended")
		return true
	}
	if c.server.IsPrefill {
		return c.answerPrefill(id, plan)
	}
	return c.answerDecode(id, plan)
}

// answerRelease answers a release with the status that the soak's process returns.
func (c *modelServerConn) answerRelease(id string) {
	status := c.server.report(report{Kind: reportReleaseReceived, ID: id, Port: c.port}).Status
	if status == 0 {
		status = http.StatusNoContent
	}
	fmt.Fprintf(c.conn, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
}

// answerPrefill ends a prefill. The state is held whatever the answer is, and even if the connection is reset instead.
// It reports whether the connection stays open.
func (c *modelServerConn) answerPrefill(id string, plan AttemptPlan) bool {
	c.server.report(report{Kind: reportPrefillFinished, ID: id, Port: c.port})
	if plan.Reset {
		return false
	}
	status, text := http.StatusAccepted, `{"cached_tokens":0}`
	if plan.Status != 0 {
		status = plan.Status
	}
	fmt.Fprintf(c.conn, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), len(text), text)
	return true
}

// answerDecode fetches the state of a decode attempt and streams the answer, unless the plan has it fail. It reports
// whether the connection stays open.
func (c *modelServerConn) answerDecode(id string, plan AttemptPlan) bool {
	if plan.Reset {
		c.reportFinished(id, "reset")
		return false
	}
	if plan.Status != 0 {
		c.reportFinished(id, "refused")
		rejected := ""
		if plan.Status == http.StatusServiceUnavailable {
			rejected = "X-Turned-Away: 1\r\n"
		}
		fmt.Fprintf(c.conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n",
			plan.Status, http.StatusText(plan.Status), rejected)
		return true
	}
	if !c.server.report(report{Kind: reportStateFetched, ID: id, Port: c.port}).Held {
		c.reportFinished(id, "no state")
		fmt.Fprint(c.conn, "HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	if c.stream(plan) != nil {
		c.reportFinished(id, "stream cut")
		return false
	}
	c.reportFinished(id, "streamed")
	return true
}

// reportFinished reports the end of an attempt and its outcome to the oracle.
func (c *modelServerConn) reportFinished(id, outcome string) {
	c.server.report(report{Kind: reportAttemptFinished, ID: id, Port: c.port, Outcome: outcome})
}

// stream writes the events of an answer, with the interval after each, or after each piece of one.
func (c *modelServerConn) stream(plan AttemptPlan) error {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	if _, err := io.WriteString(c.conn, head); err != nil {
		return err
	}
	tokens := eventsPerStream - 1
	if plan.Tokens > 0 {
		tokens = plan.Tokens
	}
	for n := range tokens {
		pieces := 1
		if n > 0 {
			pieces = max(plan.TokenPieces, 1)
		}
		if err := c.writeEvent(plan.tokenEvent(), pieces, plan.TokenInterval); err != nil {
			return err
		}
	}
	if err := c.writeEvent(endEvent, 1, plan.TokenInterval); err != nil {
		return err
	}
	_, err := io.WriteString(c.conn, "0\r\n\r\n")
	return err
}

// tokenEvent returns the event of a token.
func (p *AttemptPlan) tokenEvent() string {
	before, after, _ := strings.Cut(tokenEvent, tokenText)
	size := max(p.TokenBytes-len(before)-len(after), len(tokenText))
	return before + strings.Repeat("o", size) + after
}

// writeEvent writes an event in pieces, with an interval after each.
func (c *modelServerConn) writeEvent(event string, pieces int, interval time.Duration) error {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
	for piece := range pieces {
		if _, err := io.WriteString(c.conn, chunk[len(chunk)*piece/pieces:len(chunk)*(piece+1)/pieces]); err != nil {
			return err
		}
		if err := c.wait(interval); err != nil {
			return err
		}
	}
	return nil
}

// wait waits for a duration. It returns errConnClosed if the connection ends before that.
func (c *modelServerConn) wait(d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-c.closed:
		return errConnClosed
	}
}
