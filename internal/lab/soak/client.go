package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// Client sends one request at a time to a dispatcher on a connection that it keeps.
type Client struct {
	fleet *Fleet
	conn  net.Conn
	to    *Dispatcher
	life  int
	used  bool // the connection has carried a request before
}

// NewClient makes a client of a fleet's dispatchers.
func NewClient(f *Fleet) *Client { return &Client{fleet: f} }

// Request is what a client asks for.
type Request struct {
	ID        string
	Session   string
	Remaining time.Duration // until when it waits for the first token
	LeaveIn   time.Duration // it leaves after so long; 0 = it stays
	Effect    string        // of its class, in lower case, which is the class's name too
}

const requestBody = `{"model":"chat","stream":true,"max_tokens":80,"messages":[{"role":"user","content":"abcd"}]}`

func (r *Request) text() string {
	return fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: api.internal\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Entity: %s\r\nX-Remaining: %.3f\r\n"+
		"X-Labels: prefix=5c0f6e1a2b3d4c59,prompt_len=2048,prefix_len=1024,max_out=80\r\nContent-Length: %d\r\n\r\n%s",
		r.ID, r.Effect, r.Session, r.Remaining.Seconds(), len(requestBody), requestBody)
}

// Close ends the client's connection.
func (c *Client) Close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// Send sends a request to a dispatcher, on the connection that is kept if it is one to the same process.
func (c *Client) Send(d *Dispatcher, r Request) error {
	if c.to != d || c.life != d.Incarnation() {
		c.Close()
	}
	c.used = c.conn != nil
	c.fleet.Oracle.RequestSent(Now(), r.ID, d.Name)
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", d.Addr, time.Second)
		if err != nil {
			return err
		}
		c.conn, c.to, c.life = conn, d, d.Incarnation()
	}
	_, err := io.WriteString(c.conn, r.text())
	return err
}

// CancelRequest closes the connection under a request.
func (c *Client) CancelRequest(id string) {
	c.Close()
	c.fleet.Oracle.ClientCanceled(Now(), id)
}

var errStreamCut = errors.New("the stream ended before its end")

// Outcome is how a request ended for its client.
type Outcome struct {
	Status  int
	Err     error // no answer came, or not all of it
	Started bool  // an answer began
}

// answerSlack is how much later than its deadline a client may get its answer: half a second, and 50 ms as all spans
// have.
const answerSlack = 550 * time.Millisecond

// streamSlack is how long after the answer's begin its end may come: servers are stopped for less.
const streamSlack = 12 * time.Second

// ReceiveAnswer waits for the answer to a request.
func (c *Client) ReceiveAnswer(r Request) (o Outcome) {
	c.conn.SetReadDeadline(time.Now().Add(r.Remaining + answerSlack))
	res, err := http.ReadResponse(bufio.NewReader(c.conn), nil)
	if err != nil {
		c.Close()
		return Outcome{Err: err}
	}
	c.conn.SetReadDeadline(time.Now().Add(streamSlack))
	o = Outcome{Status: res.StatusCode, Started: true}
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		o.Err = fmt.Errorf("%w: %w", errStreamCut, err)
	}
	if o.Err != nil || res.Close {
		c.Close()
	}
	return o
}
