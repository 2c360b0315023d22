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

// AttemptPlan is what a stand-in server does with an attempt. The one who runs the soak makes it, so that it follows
// from the seed.
type AttemptPlan struct {
	Work          time.Duration // until a read ends, or a write fetches its state
	TokenInterval time.Duration // between the events of a stream
	Status        int           // of the answer; 0 = as a sound server. A read that is answered otherwise leaves its state all the same
	Reset         bool          // the connection breaks instead of an answer
}

// report is what a server process tells the one who runs the soak; Plan, Held and Status are its answers.
type report struct {
	Op     string
	ID     string
	Port   int
	At     Moment
	Read   bool
	How    string
	Plan   AttemptPlan
	Held   bool
	Status int
}

const (
	opArrived  = "arrived"
	opRead     = "read"
	opOver     = "over"
	opFetch    = "fetch"
	opReleased = "released"
)

// ModelServer is a stand-in prefill or decode server that speaks the platform's protocol and keeps its account with a
// ledger in another process.
type ModelServer struct {
	Name    string
	Prefill bool

	mu     sync.Mutex
	ledger net.Conn
	in     *json.Decoder
	out    *json.Encoder
}

// Run serves on any port of the loopback until it fails, and writes its address to a line of w once it listens.
func (s *ModelServer) Run(ledger string, w io.Writer) error {
	var err error
	if s.ledger, err = net.Dial("tcp", ledger); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	s.in, s.out = json.NewDecoder(s.ledger), json.NewEncoder(s.ledger)
	if err := s.out.Encode(s.Name); err != nil {
		return fmt.Errorf("ledger: %w", err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	fmt.Fprintln(w, listener.Addr())
	for {
		c, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.serve(c.(*net.TCPConn))
	}
}

// tell reports to the ledger and gives its answer; the process has no purpose without one.
func (s *ModelServer) tell(r report) report {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.At = Now()
	if s.out.Encode(r) != nil || s.in.Decode(&r) != nil {
		s.ledger.Close()
	}
	return r
}

// serve answers the requests of one connection.
func (s *ModelServer) serve(c *net.TCPConn) {
	defer c.Close()
	port := c.RemoteAddr().(*net.TCPAddr).Port
	requests, ended := make(chan *http.Request), make(chan struct{})
	go func() {
		defer close(ended)
		in := bufio.NewReader(c)
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
	}()
	for {
		select {
		case r := <-requests:
			if !s.answer(c, port, r, ended) {
				c.SetLinger(0)
				return
			}
		case <-ended:
			return
		}
	}
}

var errClosed = errors.New("connection closed")

// answer answers one request; false: the connection is to be reset.
func (s *ModelServer) answer(c net.Conn, port int, r *http.Request, ended chan struct{}) bool {
	if r.Method == http.MethodDelete {
		status := s.tell(report{Op: opReleased, ID: strings.TrimPrefix(r.URL.Path, "/state/"), Port: port}).Status
		if status == 0 {
			status = http.StatusNoContent
		}
		fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: 0\r\n\r\n", status, http.StatusText(status))
		return true
	}
	id := r.Header.Get("X-Txn")
	plan := s.tell(report{Op: opArrived, ID: id, Port: port, Read: s.Prefill}).Plan
	over := func(how string) { s.tell(report{Op: opOver, ID: id, Port: port, How: how}) }
	if wait(plan.Work, ended) != nil {
		over("its connection ended")
		return true
	}
	if s.Prefill {
		return s.answerRead(c, id, port, plan)
	}
	if plan.Reset {
		over("reset")
		return false
	}
	if plan.Status != 0 {
		over("refused")
		turned := ""
		if plan.Status == http.StatusServiceUnavailable {
			turned = "X-Turned-Away: 1\r\n"
		}
		fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\n\r\n", plan.Status, http.StatusText(plan.Status), turned)
		return true
	}
	if !s.tell(report{Op: opFetch, ID: id, Port: port}).Held {
		over("no state")
		fmt.Fprint(c, "HTTP/1.1 410 Gone\r\nX-Turned-Away: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	how := "streamed"
	if s.stream(c, plan.TokenInterval, ended) != nil {
		how = "stream cut"
	}
	over(how)
	return how == "streamed"
}

// answerRead ends a read: whatever is answered, or not, its state is held.
func (s *ModelServer) answerRead(c net.Conn, id string, port int, plan AttemptPlan) bool {
	s.tell(report{Op: opRead, ID: id, Port: port})
	if plan.Reset {
		return false
	}
	status, text := http.StatusAccepted, `{"cached_tokens":0}`
	if plan.Status != 0 {
		status = plan.Status
	}
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(text), text)
	return true
}

const streamEvents = 4 // of each stream, with its end

// stream writes the events of an answer.
func (s *ModelServer) stream(c net.Conn, gap time.Duration, ended chan struct{}) error {
	if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return err
	}
	for n := range streamEvents {
		text := "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"oqvh\"}}]}\n\n"
		if n == streamEvents-1 {
			text = "data: [DONE]\n\n"
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return err
		}
		if err := wait(gap, ended); err != nil {
			return err
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err
}

// wait waits, or tells that the connection has ended.
func wait(span time.Duration, ended chan struct{}) error {
	select {
	case <-time.After(span):
		return nil
	case <-ended:
		return errClosed
	}
}
