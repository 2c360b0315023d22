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
	// answerTolerance is how long after its deadline a request may still be answered: half a second, plus the 50 ms
	// of tolerance of all durations.
	answerTolerance = 550 * time.Millisecond
	// streamTimeout is the longest time from the start of an answer to its end. It exceeds every suspension of a
	// server.
	streamTimeout = 12 * time.Second
	dialTimeout   = time.Second

	requestsPerCancel = 5 // clients cancel one of this many requests on average
	maxCancelDelay    = 1200 * time.Millisecond

	sessionCount = 40
	minDeadline  = 600 * time.Millisecond
	maxDeadline  = 4800 * time.Millisecond
)

const requestBody = `{"model":"chat","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"abcd"}]}`

// errStreamTruncated reports that an answer started and was not received completely.
var errStreamTruncated = errors.New("answer stream ended early")

// Request describes a request of a client.
type Request struct {
	ID          string
	Session     string
	Remaining   time.Duration   // how long the client waits for the first token
	CancelAfter time.Duration   // time until the client cancels the request; 0 = it does not
	Class       string          // name of its class, which is also the effect of the class
	Pauses      []time.Duration // between the pieces in which it is sent; none = it is sent in one
}

// text returns the request in wire format.
func (r *Request) text() string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\n"+
		"X-Txn: %s\r\nX-Lane: %s\r\nX-Entity: %s\r\nX-Remaining: %.3f\r\n"+
		"X-Labels: prefix=5c0f6e1a2b3d4c59,prompt_len=2048,prefix_len=1024,max_out=80\r\nContent-Length: %d\r\n\r\n%s",
		r.ID, r.Class, r.Session, r.Remaining.Seconds(), len(requestBody), requestBody)
}

// Outcome is the result of a request as its client observed it.
type Outcome struct {
	Status  int
	Err     error // no answer was received, or only a part of it
	Started bool  // the head of an answer was received
}

// Client sends one request at a time to a dispatcher and reuses its connection.
type Client struct {
	fleet       *Fleet
	conn        net.Conn // nil = none
	dispatcher  *Dispatcher
	incarnation int
	isReused    bool // the connection has carried a request before, or was idle

	// terminatedAtSend is when SIGTERM was sent to the process of the last request before that request, or 0.
	terminatedAtSend Instant

	habit           habit
	longestDeadline time.Duration
}

// NewClient returns a client for the dispatchers of a fleet.
func NewClient(f *Fleet) *Client { return &Client{fleet: f} }

// Close closes the client's connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Send sends a request to a dispatcher. It reuses the open connection if that leads to the same process.
func (c *Client) Send(d *Dispatcher, r Request) error {
	if c.dispatcher != d || c.incarnation != d.Incarnation() {
		c.Close()
	}
	c.isReused = c.conn != nil
	c.fleet.Oracle.RequestSent(Now(), r.ID, d.Name)
	if c.conn == nil {
		if err := c.connect(d); err != nil {
			return err
		}
	}
	if err := c.write(r); err != nil {
		return err
	}
	c.fleet.Oracle.RequestComplete(Now(), r.ID)
	return nil
}

// connect connects to a dispatcher.
func (c *Client) connect(d *Dispatcher) error {
	incarnation := d.Incarnation()
	conn, err := net.DialTimeout("tcp", d.Addr, dialTimeout)
	if err != nil {
		return err
	}
	c.conn, c.dispatcher, c.incarnation = conn, d, incarnation
	return nil
}

// CancelRequest closes the connection while a request is in flight on it.
func (c *Client) CancelRequest(id string) {
	c.Close()
	c.fleet.Oracle.ClientCanceled(Now(), id)
}

// ReceiveAnswer waits for the answer to the last request that was sent.
func (c *Client) ReceiveAnswer(r Request) Outcome {
	// On a closed connection the read fails as well and returns the error.
	_ = c.conn.SetReadDeadline(time.Now().Add(r.Remaining + answerTolerance))
	response, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		c.Close()
		return Outcome{Err: err}
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(streamTimeout))
	outcome := Outcome{Status: response.StatusCode, Started: true}
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		outcome.Err = fmt.Errorf("%w: %w", errStreamTruncated, err)
	}
	if outcome.Err != nil || response.Close {
		c.Close()
	}
	return outcome
}

// clientOutcome is the category of a request in the counts of the verdict.
type clientOutcome int

const (
	outcomeNotServed clientOutcome = iota
	outcomeServed
	outcomeCanceled
)

// sendRandomRequest sends one random request to a dispatcher and checks its answer.
func (c *Client) sendRandomRequest(rng *rand.Rand, id string) clientOutcome {
	dispatcher := c.chooseDispatcher(rng)
	request := randomRequest(rng, id, c.longestDeadline)
	request.Pauses = c.drawPauses(rng)
	if err := c.Send(dispatcher, request); err != nil { // the dispatcher's process is not running, or has ended
		c.Close()
		return outcomeNotServed
	}
	c.noteTermination(dispatcher)
	if request.CancelAfter > 0 {
		time.Sleep(request.CancelAfter)
		c.CancelRequest(id)
		return outcomeCanceled
	}
	return c.checkAnswer(id, c.ReceiveAnswer(request))
}

// randomRequest draws a request. The order of the draws determines the requests of a seed.
func randomRequest(rng *rand.Rand, id string, longestDeadline time.Duration) Request {
	r := Request{
		ID: id, Session: fmt.Sprintf("%x", rng.IntN(sessionCount)),
		Remaining: randomDuration(rng, minDeadline, max(longestDeadline, minDeadline+time.Millisecond)),
		Class:     effects[rng.IntN(len(effects))],
	}
	if rng.IntN(requestsPerCancel) == 0 {
		r.CancelAfter = randomDuration(rng, time.Millisecond, maxCancelDelay)
	}
	return r
}

// mayBeClosedUnread reports whether the dispatcher may have closed the connection before it had read the last request:
// it was idle or, where descriptors are short, one too many or for long without a complete request.
func (c *Client) mayBeClosedUnread() bool {
	return c.isReused || c.fleet.MaxDescriptors < defaultMaxDescriptors
}

// checkAnswer adds an outcome to the trace of its request and reports a missing answer to the oracle.
func (c *Client) checkAnswer(id string, outcome Outcome) clientOutcome {
	oracle := c.fleet.Oracle
	oracle.Note(Now(), id, fmt.Sprintf("client got %d, %v", outcome.Status, outcome.Err))
	switch {
	case outcome.Status == http.StatusOK && outcome.Err == nil:
		return outcomeServed
	case errors.Is(outcome.Err, errStreamTruncated):
		oracle.StreamTruncated(id, c.terminatedAtSend)
	case outcome.Started, outcome.Err == nil: // rejected or failed
	case c.mayBeClosedUnread() && !errors.Is(outcome.Err, os.ErrDeadlineExceeded):
		oracle.AnswerMissingUnlessUnread(id, outcome.Err.Error())
	default:
		oracle.AnswerMissing(id, outcome.Err.Error())
	}
	return outcomeNotServed
}
