// Package platform is the door for clients that speak the platform's protocol over HTTP/1.1: it checks a request, asks
// the core and gives the answer in the platform's words. It reaches no host and decides nothing.
package platform

import (
	"errors"
	"log/slog"
	"net/netip"

	"docksail/internal/decide/peers"
	"docksail/internal/front"
	"docksail/internal/h1"
	"docksail/internal/loop"
	"docksail/internal/order"
	"docksail/policy"
)

const (
	headMost    = 16 << 10
	bodyMost    = 256 << 10
	outputMost  = 1 << 20   // queued for one client, at which its connection ends
	outputBusy  = 128 << 10 // from which on the host is held back
	pipelined   = 64 << 10  // bytes that may come behind a request that is in hand
	spareMost   = 64 << 10  // a body's room larger than this is not kept
	spareCount  = 16        // nor more of them
	pathJobs    = "/v1/chat/completions"
	pathReady   = "/health/ready"
	pathHealthy = "/health/live"
)

// Counts are what the door counted since its start.
type Counts struct {
	Requests, Bad, Twice, Crowded, Shut, Overflows, Cut uint64
	Answers                                             [6]uint64 // by the first digit of their status
}

// Server accepts clients on a loop.
type Server struct {
	Counts Counts

	l       *loop.Loop
	core    front.Core
	log     *slog.Logger
	most    int   // connections
	bodies  int64 // bytes of requests that have come in part, over all connections
	partial int64
	ready   func() bool
	ln      *loop.Listener
	leaving bool
	closed  bool
	refuses bool // what comes is refused: the process may be killed before it could be answered
	n       int
	number  uint64               // of the last connection
	stages  [3]order.Heap[*conn] // silent or in part, resting, over: by since when
	open    map[string]struct{}  // names of the jobs in hand
	req     front.Request
	spare   [][]byte // room for bodies
	scratch []byte
}

// New makes a door for at most so many connections and bytes of requests in part; it opens with Listen. ready tells
// whether the dispatcher can take jobs.
func New(l *loop.Loop, core front.Core, log *slog.Logger, most int, bodies int64, ready func() bool) *Server {
	s := &Server{l: l, core: core, log: log, most: most, bodies: bodies, ready: ready, open: make(map[string]struct{})}
	for i := range s.stages {
		s.stages[i] = order.Heap[*conn]{Place: func(c *conn) *int { return &c.place },
			Less: func(a, b *conn) bool { return a.since < b.since || a.since == b.since && a.number < b.number }}
	}
	return s
}

// Listen opens the door.
func (s *Server) Listen(at netip.AddrPort, share bool) (netip.AddrPort, error) {
	ln, err := s.l.Listen(at, share, s.accept)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.ln = ln
	return ln.Addr(), nil
}

// Hold has clients that connect wait, or takes them again.
func (s *Server) Hold(yes bool) { s.ln.Hold(yes) }

// Flush implements dispatch.Entry; what is written is queued already.
func (s *Server) Flush() {}

// Conns counts open connections.
func (s *Server) Conns() int { return s.n }

// Idle tells that nobody is connected any more.
func (s *Server) Idle() bool { return s.n == 0 && s.closed }

// Leave has clients told to go elsewhere; after the time in which new ones still come, the door closes.
func (s *Server) Leave() {
	s.leaving = true
	var t loop.Timer
	s.l.At(&t, peers.LeaveAfter(s.l.Now()), func(now loop.Nanos) {
		s.ln.Finish()
		s.closed = true
		resting := &s.stages[1]
		for n := resting.Len(); n > 0; n-- { // one whose next request has come already has an answer first
			c := resting.Min()
			c.now = now
			c.next()
		}
		s.l.At(&t, peers.RefuseAfter(now), func(loop.Nanos) { s.refuses = true })
		s.l.Again()
	})
}

// waiting is how many bytes have come behind the request that is or was in hand.
func (c *conn) waiting() int {
	if c.taking {
		return c.behind
	}
	return c.feed.Waiting()
}

// next has the connection stand for what follows when no request of it is in hand.
func (c *conn) next() {
	stage := peers.Next(c.last, c.s.closed, c.s.closed && (c.waiting() > 0 || !c.lc.Quiet()))
	c.stand(stage)
	if stage == peers.Over {
		c.lc.EndOutput()
		c.lc.Pause(false)
	}
}

func (s *Server) accept(lc *loop.Conn, _ netip.AddrPort) loop.Handler {
	if s.n >= s.most && !s.makeRoom() {
		s.Counts.Shut++
		return nil
	}
	s.n++
	s.number++
	c := &conn{s: s, lc: lc, dec: h1.NewServer(h1.Limits{Head: headMost, Body: bodyMost}), number: s.number}
	c.onTimer = c.due
	lc.Bound(outputMost)
	lc.EndFirst()
	return c
}

// makeRoom ends a connection for a new one, if there is one to end.
func (s *Server) makeRoom() bool {
	s.Counts.Crowded++
	silent, resting := s.firstQuiet(&s.stages[0]), s.firstQuiet(&s.stages[1])
	var c *conn
	switch peers.Crowded(s.l.Now(), silent.stands(), resting.stands()) {
	case peers.FirstSilent:
		c = silent
	case peers.FirstResting:
		c = resting
	default:
		return false
	}
	s.heap(c.stage).Take(c)
	c.lc.Close()
	return true
}

// firstQuiet gives the connection of a kind that has stood longest, passing over those with bytes that are not read or an
// answer that is not taken yet: to close one would reset it. nil if there is none among the first few.
func (s *Server) firstQuiet(stage *order.Heap[*conn]) (found *conn) {
	var passed [peers.CrowdTries]*conn
	n := 0
	for ; n < peers.CrowdTries && stage.Len() > 0 && found == nil; n++ {
		c := stage.Min()
		if c.lc.Quiet() && c.lc.Queued() == 0 {
			found = c
			break
		}
		stage.Take(c)
		passed[n] = c
	}
	for _, c := range passed[:n] {
		stage.Put(c)
	}
	return found
}

// stands tells since when the connection has stood as it is; 0 = there is none.
func (c *conn) stands() loop.Nanos {
	if c == nil {
		return 0
	}
	return max(c.since, 1)
}

// conn is one client's connection, and the client's end of the job that is in hand on it.
type conn struct {
	s       *Server
	lc      *loop.Conn
	dec     h1.Decoder
	feed    h1.Feeder
	number  uint64
	stage   peers.Stage
	since   loop.Nanos // it has stood so
	came    loop.Nanos // the first byte of the request under way, or of what waits behind the one in hand
	unsent  int        // bytes of the last answer that waited when it was looked at last ...
	taken   loop.Nanos // ... and when the client was last seen to have taken some
	place   int
	timer   loop.Timer
	onTimer func(loop.Nanos)
	now     loop.Nanos
	body    []byte
	ask     ask
	aside   string // path of a request that is no job
	id      policy.RequestID
	begun   bool // the head of an answer has been sent
	last    bool // the connection ends with this answer
	taking  bool
	behind  int // bytes that stand behind the request that is being taken
	thrown  int64
	gone    bool
}

// heap in which a connection of a stage stands; nil = none.
func (s *Server) heap(stage peers.Stage) *order.Heap[*conn] {
	switch stage {
	case peers.Silent, peers.Part:
		return &s.stages[0]
	case peers.Resting:
		return &s.stages[1]
	case peers.Over:
		return &s.stages[2]
	}
	return nil
}

// stand takes down what the connection is about from now on: the turn's time, as it may be a host that brought it about.
func (c *conn) stand(stage peers.Stage) {
	c.now = c.s.l.Now()
	if h := c.s.heap(c.stage); h != nil && c.place > 0 {
		h.Take(c)
	}
	if c.stage != peers.Silent || stage != peers.Part { // a first request counts from when its client connected
		c.since = c.now
	}
	c.stage = stage
	c.unsent, c.taken = c.lc.Queued(), c.now
	if h := c.s.heap(stage); h != nil {
		h.Put(c)
	}
	if at := peers.Until(stage, c.since); at > 0 {
		c.s.l.At(&c.timer, max(at, c.now+1), c.onTimer)
	} else {
		c.s.l.Cancel(&c.timer)
	}
}

// due ends a connection that has stood as it is for too long.
func (c *conn) due(now loop.Nanos) {
	c.now = now
	switch {
	case c.stage == peers.Part:
		c.refuse(408, "the request did not come in time")
	case c.stage == peers.Resting:
		c.last = true
		c.next()
	case c.stage == peers.Silent && !c.lc.Quiet():
		c.s.l.At(&c.timer, now+peers.UnreadAgain, c.onTimer)
	case c.stage == peers.Over && c.lingers():
		c.s.l.At(&c.timer, peers.Until(peers.Over, now), c.onTimer)
	default:
		c.lc.Close()
	}
}

// lingers tells that the client still takes its last answer.
func (c *conn) lingers() bool {
	waiting := c.lc.Queued()
	if waiting < c.unsent {
		c.unsent, c.taken = waiting, c.now
	}
	return peers.Lingers(c.now, c.since, c.taken, waiting)
}

func (c *conn) Opened(now loop.Nanos) {
	c.now = now
	c.stand(peers.Silent)
}

func (c *conn) Data(now loop.Nanos, p []byte) {
	c.now = now
	if c.stage == peers.Over {
		if c.thrown += int64(len(p)); c.thrown > peers.Discard {
			c.lc.Close()
		}
		return
	}
	if c.stage != peers.Part && c.feed.Waiting() == 0 {
		c.came = now
	}
	if c.stage == peers.Busy && c.feed.Waiting()+len(p) > pipelined {
		c.lc.Pause(true)
	}
	c.pull(p)
}

func (c *conn) pull(p []byte) {
	c.taking = true
	c.feed.Feed(p, c.take)
	c.taking = false
}

// take takes requests from the front of p as long as none is in hand.
func (c *conn) take(p []byte) (n int) {
	for !c.gone && c.stage != peers.Busy {
		if c.stage == peers.Over {
			return len(p)
		}
		if n < len(p) && c.dec.Between() && c.stage != peers.Part {
			c.stand(peers.Part)
		}
		piece, data, k, err := c.dec.Next(p[n:])
		n += k
		switch {
		case errors.Is(err, h1.ErrHead):
			c.refuse(431, err.Error())
		case errors.Is(err, h1.ErrTooLarge):
			c.refuse(413, err.Error())
		case err != nil:
			c.refuse(400, err.Error())
		case piece == h1.None:
			return n
		case piece == h1.Start:
			c.start()
		case piece == h1.Data:
			c.keep(data)
		case piece == h1.Whole:
			c.behind = len(p) - n
			c.whole()
		}
	}
	return n
}

// keep adds to the body of the request under way.
func (c *conn) keep(data []byte) {
	if c.s.partial += int64(len(data)); c.s.partial > c.s.bodies {
		c.s.partial -= int64(len(data))
		c.refuse(503, "too much has come in part")
		return
	}
	if n := len(c.s.spare); c.body == nil && n > 0 {
		c.body, c.s.spare = c.s.spare[n-1], c.s.spare[:n-1]
	}
	c.body = append(c.body, data...)
}

// dropBody forgets the body of the request under way. Its room is for the next one on whatever connection: most rest.
func (c *conn) dropBody() {
	c.s.partial -= int64(len(c.body))
	if cap(c.body) > 0 && cap(c.body) <= spareMost && len(c.s.spare) < spareCount {
		c.s.spare = append(c.s.spare, c.body[:0])
	}
	c.body = nil
}

// start reads the head of a request.
func (c *conn) start() {
	h := &c.dec.Head
	c.last = h.Close
	c.aside = ""
	target, _, _ := cut(h.Target, '?')
	switch {
	case string(target) == pathReady || string(target) == pathHealthy:
		if string(h.Method) != "GET" || h.Length > 0 || h.Chunked {
			c.refuse(405, "want GET without a body")
			return
		}
		c.aside = pathHealthy
		if string(target) == pathReady {
			c.aside = pathReady
		}
	case string(target) != pathJobs:
		c.refuse(404, "no such path")
	case string(h.Method) != "POST":
		c.refuse(405, "want POST")
	case h.Old:
		c.refuse(505, "want HTTP/1.1")
	case h.Length < 0 && !h.Chunked:
		c.refuse(411, "want Content-Length")
	default:
		if err := c.ask.head(h); err != nil {
			c.refuse(400, err.Error())
			return
		}
		if h.Expect {
			c.lc.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
	}
}

// whole deals with a request that has all come.
func (c *conn) whole() {
	if c.aside != "" {
		status := 200
		if c.aside == pathReady && (c.s.leaving || !c.s.ready()) {
			status = 503
		}
		c.answer(status, 0, "")
		return
	}
	r := &c.s.req
	if err := c.ask.request(r, c.body, c.now-c.came); err != nil {
		c.refuse(400, err.Error())
		return
	}
	if _, ok := c.s.open[string(c.ask.name)]; ok {
		c.s.Counts.Twice++
		c.refuse(409, "a request with this id is in hand")
		return
	}
	c.s.Counts.Requests++
	c.stand(peers.Busy)
	if c.s.refuses {
		c.dropBody()
		c.Nack(0, front.Refusal{Why: "the dispatcher leaves"})
		return
	}
	id, err := c.s.core.Arrive(c.now, c, r)
	c.dropBody()
	var no front.Refusal
	switch {
	case err == nil:
		c.id = id
		c.s.open[string(c.ask.name)] = struct{}{}
	case errors.As(err, &no):
		c.Nack(0, no)
	default:
		c.refuse(400, err.Error())
	}
}

func (c *conn) PeerDone(now loop.Nanos) {
	c.now = now
	c.lc.Close()
}

func (c *conn) Drained(now loop.Nanos) {
	c.now = now
	if c.id != 0 {
		c.s.core.Room(now, c.id)
	}
}

func (c *conn) Closed(now loop.Nanos, err error) {
	c.now, c.gone = now, true
	if errors.Is(err, loop.ErrOutputBound) {
		c.s.Counts.Overflows++
	}
	if h := c.s.heap(c.stage); h != nil && c.place > 0 {
		h.Take(c)
	}
	c.s.l.Cancel(&c.timer)
	c.dropBody()
	c.s.n--
	if id := c.id; id != 0 {
		c.forget()
		c.s.core.Left(now, id)
	}
	if c.s.leaving {
		c.s.l.Again()
	}
}

// forget has the connection stand for no job.
func (c *conn) forget() {
	c.id = 0
	delete(c.s.open, string(c.ask.name))
}
