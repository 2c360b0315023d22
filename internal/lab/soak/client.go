package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"time"
)

const (
	// answerTolerance is how much later than its deadline a client may get its answer: half a second, and 50 ms as
	// for all durations.
	answerTolerance = 550 * time.Millisecond
	// streamTimeout is how long after the answer has started it may end: servers are suspended for less.
	streamTimeout = 12 * time.Second
	dialTimeout   = time.Second

	cancelInterval = 5 // one request of so many has a client that leaves
	maxCancelDelay = 1200 * time.Millisecond

	sessionCount = 40
	minDeadline  = 600 * time.Millisecond
	maxDeadline  = 4800 * time.Millisecond
)

const requestBody = `{"model":"chat","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"abcd"}]}`

// errStreamCut is the error of an answer that has started and not ended.
var errStreamCut = errors.New("the stream ended before its end")

// Request is what a client asks for.
type Request struct {
	ID          string
	Session     string
	Remaining   time.Duration // how long the client waits for the first token
	CancelAfter time.Duration // how long until the client leaves; 0 = it stays
	Effect      string        // of its class, in lower case, which is the class's name too
}

// text returns the request as it goes on the wire.
func (r *Request) text() string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\n"+
		"X-Txn: %s\r\nX-Lane: %s\r\nX-Entity: %s\r\nX-Remaining: %.3f\r\n"+
		"X-Labels: prefix=5c0f6e1a2b3d4c59,prompt_len=2048,prefix_len=1024,max_out=80\r\nContent-Length: %d\r\n\r\n%s",
		r.ID, r.Effect, r.Session, r.Remaining.Seconds(), len(requestBody), requestBody)
}

// Outcome is how a request ended for its client.
type Outcome struct {
	Status  int
	Err     error // no answer came, or not all of it
	Started bool  // an answer began
}

// Client sends one request at a time to a dispatcher, on a connection that it keeps.
type Client struct {
	fleet       *Fleet
	conn        net.Conn // nil = none
	dispatcher  *Dispatcher
	incarnation int
	isReused    bool // the connection has carried a request before
}

// NewClient returns a client of a fleet's dispatchers.
func NewClient(f *Fleet) *Client { return &Client{fleet: f} }

// Close closes the client's connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Send sends a request to a dispatcher, on the kept connection if that leads to the same process.
func (c *Client) Send(d *Dispatcher, r Request) error {
	if c.dispatcher != d || c.incarnation != d.Incarnation() {
		c.Close()
	}
	c.isReused = c.conn != nil
	c.fleet.Oracle.RequestSent(Now(), r.ID, d.Name)
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", d.Addr, dialTimeout)
		if err != nil {
			return err
		}
		c.conn, c.dispatcher, c.incarnation = conn, d, d.Incarnation()
	}
	_, err := io.WriteString(c.conn, r.text())
	return err
}

// CancelRequest closes the connection while a request is in flight on it.
func (c *Client) CancelRequest(id string) {
	c.Close()
	c.fleet.Oracle.ClientCanceled(Now(), id)
}

// ReceiveAnswer waits for the answer to the request that was sent last.
func (c *Client) ReceiveAnswer(r Request) Outcome {
	// If the connection is closed the read fails, too, and says so.
	_ = c.conn.SetReadDeadline(time.Now().Add(r.Remaining + answerTolerance))
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		c.Close()
		return Outcome{Err: err}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(streamTimeout))
	outcome := Outcome{Status: response.StatusCode, Started: true}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		outcome.Err = fmt.Errorf("%w: %w", errStreamCut, err)
	}
	if outcome.Err != nil || response.Close {
		c.Close()
	}
	return outcome
}

// clientOutcome is how a request counts in the verdict.
type clientOutcome int

const (
	outcomeNotServed clientOutcome = iota
	outcomeServed
	outcomeCanceled
)

// sendRandomRequest sends one request to a dispatcher and judges its answer.
func (c *Client) sendRandomRequest(rng *rand.Rand, id string) clientOutcome {
	dispatcher := c.fleet.Dispatchers[rng.IntN(len(c.fleet.Dispatchers))]
	if rng.IntN(3) > 0 && c.dispatcher != nil { // the client keeps its connection
		dispatcher = c.dispatcher
	}
	request := randomRequest(rng, id)
	if err := c.Send(dispatcher, request); err != nil { // the dispatcher's process is not running
		c.Close()
		return outcomeNotServed
	}
	if request.CancelAfter > 0 {
		time.Sleep(request.CancelAfter)
		c.CancelRequest(id)
		return outcomeCanceled
	}
	return c.judgeAnswer(id, c.ReceiveAnswer(request))
}

// randomRequest draws a request. The order of the draws decides what a seed plays.
func randomRequest(rng *rand.Rand, id string) Request {
	r := Request{
		ID: id, Session: fmt.Sprintf("%x", rng.IntN(sessionCount)),
		Remaining: randomDuration(rng, minDeadline, maxDeadline),
		Effect:    effects[rng.IntN(len(effects))],
	}
	if rng.IntN(cancelInterval) == 0 {
		r.CancelAfter = randomDuration(rng, time.Millisecond, maxCancelDelay)
	}
	return r
}

// judgeAnswer adds the outcome to the request's trace and reports a missing answer to the oracle.
func (c *Client) judgeAnswer(id string, outcome Outcome) clientOutcome {
	oracle := c.fleet.Oracle
	oracle.Note(Now(), id, fmt.Sprintf("client got %d, %v", outcome.Status, outcome.Err))
	switch {
	case outcome.Status == http.StatusOK && outcome.Err == nil:
		return outcomeServed
	case outcome.Started, outcome.Err == nil: // rejected or failed, or a stream that was cut
	case c.isReused && !errors.Is(outcome.Err, os.ErrDeadlineExceeded):
		// The dispatcher closed the idle connection while the request was on its way.
	default:
		oracle.AnswerMissing(id, outcome.Err.Error())
	}
	return outcomeNotServed
}
