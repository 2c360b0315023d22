// Package platform is the front for clients that speak the platform's protocol over HTTP/1.1: it checks a request, asks
// the core and gives the answer in the platform's words. It reaches no server and decides nothing.
package platform

import (
	"docksail/internal/decide/clientconn"
	"docksail/internal/eventloop"
	"docksail/internal/frontend"
	"docksail/internal/h1"
	"docksail/internal/indexedheap"
	"docksail/policy"
	"errors"
	"log/slog"
	"net/netip"
)

const (
	headMost        = 16 << 10
	bodyMost        = 256 << 10
	outputMost      = 1 << 20   // queued for one client, at which its connection ends
	outputBusy      = 128 << 10 // from which on the server is held back
	pipelined       = 64 << 10  // bytes that may come behind a request that is in hand
	maxPooledBody   = 64 << 10  // a body's room larger than this is not kept
	maxPooledBodies = 16        // nor more of them
	pathRequests    = "/v1/chat/completions"
	pathReady       = "/health/ready"
	pathHealthy     = "/health/live"
)

// Counts are what the front counted since its start.
type Counts struct {
	Requests, InvalidRequests, DuplicateIDs, ConnectionLimitHits, ConnectionsRefused, OutputOverflows, StreamsTruncated uint64
	ResponsesByStatusClass                                                                                              [6]uint64 // by the first digit of their status
}

// Server accepts clients on a loop.
type Server struct {
	Counts Counts

	loop       *eventloop.Loop
	dispatcher frontend.Dispatcher
	log        *slog.Logger
	maxConns   int   // connections
	bodies     int64 // bytes of requests that have come in part, over all connections
	partial    int64
	ready      func() bool
	listener   *eventloop.Listener
	phase      phase
	phaseEnds  eventloop.Timer
	conns      int
	number     uint64                     // of the last connection
	byStage    [3]indexedheap.Heap[*conn] // silent or in part, resting, over: by since when
	byRequest  map[string]struct{}        // names of the requests in hand
	req        frontend.Request
	bodyPool   [][]byte // room for bodies
	scratch    []byte
}

// New makes a front for at most so many connections and bytes of requests in part; it opens with Listen. ready tells
// whether the dispatcher can take requests.
func New(l *eventloop.Loop, core frontend.Dispatcher, log *slog.Logger, most int, bodies int64, ready func() bool) *Server {
	s := &Server{loop: l, dispatcher: core, log: log, maxConns: most, bodies: bodies, ready: ready, byRequest: make(map[string]struct{})}
	for i := range s.byStage {
		s.byStage[i] = indexedheap.Heap[*conn]{
			Index: func(c *conn) *int { return &c.heapIndex },
			Less: func(a, b *conn) bool {
				return a.stageSince < b.stageSince || a.stageSince == b.stageSince && a.number < b.number
			},
		}
	}
	return s
}

// Listen opens the listener.
func (s *Server) Listen(at netip.AddrPort, share bool) (netip.AddrPort, error) {
	ln, err := s.loop.Listen(at, share, s.accept)
	if err != nil {
		return netip.AddrPort{}, err
	}
	s.listener = ln
	return ln.Addr(), nil
}

// PauseAccepting has clients that connect wait, or takes them again.
func (s *Server) PauseAccepting(yes bool) { s.listener.SetAcceptPaused(yes) }

// Flush implements dispatch.Frontend; what is written is queued already.
func (s *Server) Flush() {}

// ConnCount counts open connections.
func (s *Server) ConnCount() int { return s.conns }

// pipelinedWaiting is how many bytes have come behind the request that is or was in hand.
func (c *conn) pipelinedWaiting() int {
	if c.requestOpen {
		return c.pipelinedBytes
	}
	return c.feed.Len()
}

// answerDone has the connection stand for what follows when no request of it is in hand.
func (c *conn) answerDone() {
	closed := c.server.phase >= closed
	unread := closed && (c.pipelinedWaiting() > 0 || !c.conn.InputEmpty())
	stage := clientconn.NextState(clientconn.AnswerEnd{CloseAnnounced: c.closeAfter, ListenerClosed: closed, HasUnreadInput: unread})
	c.setStage(stage)
	if stage == clientconn.StateLingering {
		c.conn.CloseWriteAfterFlush()
		c.conn.SetReadPaused(false)
	}
}

func (s *Server) accept(lc *eventloop.Conn, _ netip.AddrPort) eventloop.Handler {
	if s.conns >= s.maxConns && !s.makeRoom() {
		s.Counts.ConnectionsRefused++
		return nil
	}
	s.conns++
	s.number++
	c := &conn{server: s, conn: lc, decoder: h1.NewRequestDecoder(h1.Limits{HeadBytes: headMost, BodyBytes: bodyMost}), number: s.number}
	c.onTimer = c.timerDue
	lc.SetOutputLimit(outputMost)
	lc.NotifyHalfCloseWhilePaused()
	return c
}

// makeRoom ends a connection for a new one, if there is one to end.
func (s *Server) makeRoom() bool {
	s.Counts.ConnectionLimitHits++
	silent, resting := s.firstQuiet(&s.byStage[0]), s.firstQuiet(&s.byStage[1])
	var c *conn
	switch clientconn.ChooseEviction(s.loop.Now(), silent.inStageSince(), resting.inStageSince()) {
	case clientconn.EvictOldestIncomplete:
		c = silent
	case clientconn.EvictOldestIdle:
		c = resting
	default:
		return false
	}
	s.heap(c.stage).Remove(c)
	c.conn.Close()
	return true
}

// firstQuiet gives the connection of a kind that has stood longest, passing over those with bytes that are not read or an
// answer that is not taken yet: to close one would reset it. nil if there is none among the first few.
func (s *Server) firstQuiet(stage *indexedheap.Heap[*conn]) (found *conn) {
	var passed [clientconn.MaxEvictionCandidates]*conn
	n := 0
	for ; n < clientconn.MaxEvictionCandidates && stage.Len() > 0 && found == nil; n++ {
		c := stage.Min()
		if c.conn.InputEmpty() && c.conn.QueuedBytes() == 0 {
			found = c
			break
		}
		stage.Remove(c)
		passed[n] = c
	}
	for _, c := range passed[:n] {
		stage.PushOrFix(c)
	}
	return found
}

// inStageSince tells since when the connection has stood as it is; 0 = there is none.
func (c *conn) inStageSince() eventloop.Nanos {
	if c == nil {
		return 0
	}
	return max(c.stageSince, 1)
}

// conn is one client's connection, and the client's end of the request that is in hand on it.
type conn struct {
	server         *Server
	conn           *eventloop.Conn
	decoder        h1.Decoder
	feed           h1.InputBuffer
	number         uint64
	stage          clientconn.ConnState
	stageSince     eventloop.Nanos // it has stood so
	requestSince   eventloop.Nanos // the first byte of the request under way, or of what waits behind the one in hand
	unsent         int             // bytes of the last answer that waited when it was looked at last ...
	readAt         eventloop.Nanos // ... and when the client was last seen to have taken some
	heapIndex      int
	timer          eventloop.Timer
	onTimer        func(eventloop.Nanos)
	now            eventloop.Nanos
	body           []byte
	parsed         parsedRequest
	healthPath     string // path of a request that is no request
	id             policy.RequestID
	headSent       bool // the head of an answer has been sent
	closeAfter     bool // the connection ends with this answer
	requestOpen    bool
	pipelinedBytes int // bytes that stand behind the request that is being taken
	discarded      int64
	gone           bool
}

// heap in which a connection of a stage stands; nil = none.
func (s *Server) heap(stage clientconn.ConnState) *indexedheap.Heap[*conn] {
	switch stage {
	case clientconn.StateNew, clientconn.StateReadingRequest:
		return &s.byStage[0]
	case clientconn.StateIdle:
		return &s.byStage[1]
	case clientconn.StateLingering:
		return &s.byStage[2]
	}
	return nil
}

// setStage takes down what the connection is about from now on: the turn's time, as it may be a server that brought it about.
func (c *conn) setStage(stage clientconn.ConnState) {
	c.now = c.server.loop.Now()
	if h := c.server.heap(c.stage); h != nil && c.heapIndex > 0 {
		h.Remove(c)
	}
	if c.stage != clientconn.StateNew || stage != clientconn.StateReadingRequest { // a first request counts from when its client connected
		c.stageSince = c.now
	}
	c.stage = stage
	c.unsent, c.readAt = c.conn.QueuedBytes(), c.now
	if h := c.server.heap(stage); h != nil {
		h.PushOrFix(c)
	}
	if at := clientconn.StateDeadline(stage, c.stageSince); at > 0 {
		c.server.loop.SetTimer(&c.timer, max(at, c.now+1), c.onTimer)
	} else {
		c.server.loop.CancelTimer(&c.timer)
	}
}

// timerDue ends a connection that has stood as it is for too long.
func (c *conn) timerDue(now eventloop.Nanos) {
	c.now = now
	switch {
	case c.stage == clientconn.StateReadingRequest:
		c.refuse(408, "the request did not come in time")
	case c.stage == clientconn.StateIdle:
		c.closeAfter = true
		c.answerDone()
	case c.stage == clientconn.StateNew && !c.conn.InputEmpty():
		c.server.loop.SetTimer(&c.timer, now+clientconn.UnreadRecheckDelay, c.onTimer)
	case c.stage == clientconn.StateLingering && c.lingers():
		c.server.loop.SetTimer(&c.timer, clientconn.StateDeadline(clientconn.StateLingering, now), c.onTimer)
	default:
		c.conn.Close()
	}
}

// lingers tells that the client still takes its last answer.
func (c *conn) lingers() bool {
	waiting := c.conn.QueuedBytes()
	if waiting < c.unsent {
		c.unsent, c.readAt = waiting, c.now
	}
	return clientconn.MayKeepLingering(c.now, c.stageSince, c.readAt, waiting)
}

func (c *conn) Opened(now eventloop.Nanos) {
	c.now = now
	c.setStage(clientconn.StateNew)
}

func (c *conn) Received(now eventloop.Nanos, p []byte) {
	c.now = now
	if c.stage == clientconn.StateLingering {
		if c.discarded += int64(len(p)); c.discarded > clientconn.MaxDiscardBytes {
			c.conn.Close()
		}
		return
	}
	if c.stage != clientconn.StateReadingRequest && c.feed.Len() == 0 {
		c.requestSince = now
	}
	if c.stage == clientconn.StateActive && c.feed.Len()+len(p) > pipelined {
		c.conn.SetReadPaused(true)
	}
	c.parse(p)
}

func (c *conn) parse(p []byte) {
	c.requestOpen = true
	c.feed.Process(p, c.takeRequests)
	c.requestOpen = false
}

// takeRequests takes requests from the front of p as long as none is in hand.
func (c *conn) takeRequests(p []byte) (n int) {
	for !c.gone && c.stage != clientconn.StateActive {
		if c.stage == clientconn.StateLingering {
			return len(p)
		}
		if n < len(p) && c.decoder.AtMessageStart() && c.stage != clientconn.StateReadingRequest {
			c.setStage(clientconn.StateReadingRequest)
		}
		piece, data, k, err := c.decoder.Next(p[n:])
		n += k
		switch {
		case errors.Is(err, h1.ErrHeadTooLarge):
			c.refuse(431, err.Error())
		case errors.Is(err, h1.ErrBodyTooLarge):
			c.refuse(413, err.Error())
		case err != nil:
			c.refuse(400, err.Error())
		case piece == h1.NeedData:
			return n
		case piece == h1.MessageHead:
			c.requestHead()
		case piece == h1.BodyData:
			c.addBody(data)
		case piece == h1.MessageEnd:
			c.pipelinedBytes = len(p) - n
			c.requestComplete()
		}
	}
	return n
}

// addBody adds to the body of the request under way.
func (c *conn) addBody(data []byte) {
	if c.server.partial += int64(len(data)); c.server.partial > c.server.bodies {
		c.server.partial -= int64(len(data))
		c.refuse(503, "too much has come in part")
		return
	}
	if n := len(c.server.bodyPool); c.body == nil && n > 0 {
		c.body, c.server.bodyPool = c.server.bodyPool[n-1], c.server.bodyPool[:n-1]
	}
	c.body = append(c.body, data...)
}

// dropBody forgets the body of the request under way. Its room is for the next one on whatever connection: most rest.
func (c *conn) dropBody() {
	c.server.partial -= int64(len(c.body))
	if cap(c.body) > 0 && cap(c.body) <= maxPooledBody && len(c.server.bodyPool) < maxPooledBodies {
		c.server.bodyPool = append(c.server.bodyPool, c.body[:0])
	}
	c.body = nil
}

// requestHead reads the head of a request.
func (c *conn) requestHead() {
	h := &c.decoder.Head
	c.closeAfter = h.Close
	c.healthPath = ""
	target, _, _ := cut(h.Target, '?')
	switch {
	case string(target) == pathReady || string(target) == pathHealthy:
		if string(h.Method) != "GET" || h.ContentLength > 0 || h.Chunked {
			c.refuse(405, "want GET without a body")
			return
		}
		c.healthPath = pathHealthy
		if string(target) == pathReady {
			c.healthPath = pathReady
		}
	case string(target) != pathRequests:
		c.refuse(404, "no such path")
	case string(h.Method) != "POST":
		c.refuse(405, "want POST")
	case h.HTTP10:
		c.refuse(505, "want HTTP/1.1")
	case h.ContentLength < 0 && !h.Chunked:
		c.refuse(411, "want Content-Length")
	default:
		if err := c.parsed.head(h); err != nil {
			c.refuse(400, err.Error())
			return
		}
		if h.ExpectContinue {
			c.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
		}
	}
}

// requestComplete deals with a request that has all come.
func (c *conn) requestComplete() {
	if c.healthPath != "" {
		status := 200
		if c.healthPath == pathReady && (c.server.phase >= draining || !c.server.ready()) {
			status = 503
		}
		c.answer(status, 0, "")
		return
	}
	r := &c.server.req
	if err := c.parsed.request(r, c.body, c.now-c.requestSince); err != nil {
		c.refuse(400, err.Error())
		return
	}
	if _, ok := c.server.byRequest[string(c.parsed.id)]; ok {
		c.server.Counts.DuplicateIDs++
		c.refuse(409, "a request with this id is in hand")
		return
	}
	c.server.Counts.Requests++
	c.setStage(clientconn.StateActive)
	if c.server.phase == refusing {
		c.dropBody()
		c.Reject(0, frontend.RejectionError{Reason: "the dispatcher leaves"})
		return
	}
	id, err := c.server.dispatcher.Submit(c.now, c, r)
	c.dropBody()
	var no frontend.RejectionError
	switch {
	case err == nil:
		c.id = id
		c.server.byRequest[string(c.parsed.id)] = struct{}{}
	case errors.As(err, &no):
		c.Reject(0, no)
	default:
		c.refuse(400, err.Error())
	}
}

func (c *conn) PeerHalfClosed(now eventloop.Nanos) {
	c.now = now
	c.conn.Close()
}

func (c *conn) OutputFlushed(now eventloop.Nanos) {
	c.now = now
	if c.id != 0 {
		c.server.dispatcher.ClientWritable(now, c.id)
	}
}

func (c *conn) Closed(now eventloop.Nanos, err error) {
	c.now, c.gone = now, true
	if errors.Is(err, eventloop.ErrOutputLimit) {
		c.server.Counts.OutputOverflows++
	}
	if h := c.server.heap(c.stage); h != nil && c.heapIndex > 0 {
		h.Remove(c)
	}
	c.server.loop.CancelTimer(&c.timer)
	c.dropBody()
	c.server.conns--
	if id := c.id; id != 0 {
		c.forgetRequest()
		c.server.dispatcher.ClientDisconnected(now, id)
	}
	if c.server.phase >= draining {
		c.server.loop.SkipNextWait()
	}
}

// forgetRequest has the connection stand for no request.
func (c *conn) forgetRequest() {
	c.id = 0
	delete(c.server.byRequest, string(c.parsed.id))
}
