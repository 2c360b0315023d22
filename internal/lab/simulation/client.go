package simulation

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc/codes"
	"google.golang.org/protobuf/proto"

	pb "docksail/api/docksail/v1"
	"docksail/internal/eventloop"
	"docksail/internal/h2"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/eventlog"
	"docksail/internal/lab/userclient"
)

const (
	pathGenerate              = "/docksail.v1.Generation/Generate"
	defaultConnsPerDispatcher = 2 // to each dispatcher, as on the clock
	connectTimeout            = int64(200 * time.Millisecond)
	reconnectBackoff          = int64(50 * time.Millisecond) // before another dispatcher is tried
	decodeTimePerToken        = int64(200 * time.Millisecond)
)

// clientGroup are the users of one track: all that a grpc-go client of the laboratory does, on one simulated loop.
type clientGroup struct {
	sim          *Simulation
	class        userclient.Class
	loop         *eventloop.Loop
	conns        [][]*grpcConn // by dispatcher
	summary      *userclient.Summary
	nextConn     int
	openSessions int // sessions that are not over
}

// session is one conversation: each turn's prompt holds all that went before.
type session struct {
	group                     *clientGroup
	index                     int
	rng                       *rand.Rand
	promptFactor              int
	turn, turnCount           int
	promptTokens              int
	request                   *pb.GenerateRequest
	requestStart              eventloop.Nanos
	attemptNumber, dispatcher int
	remaining                 int64
	latencyTarget             int64
	value                     float64
	reservation               string
	nextTimer, cancelTimer    eventloop.Timer
	now                       *attempt
}

// attempt is one try of a job.
type attempt struct {
	session           *session
	conn              *grpcConn
	stream            *h2.Stream
	entry             eventlog.Entry
	deadline          int64
	requestID         string
	firstTokenAt      eventloop.Nanos
	tokenCount        int
	isCorrupt         bool
	cancelAfterTokens int
	hasReservation    bool
	callTimeout       int64
	meanTokenGap      int64 // mean, between its tokens
	isDone            bool
	callTimer         eventloop.Timer
}

func (g *clientGroup) now() eventloop.Nanos { return g.loop.ReadClock() }

// startSession starts a session.
func (g *clientGroup) startSession(n, heavy int, rng *rand.Rand) {
	t := g.class
	s := &session{group: g, index: n, rng: rng, promptFactor: heavy}
	name := ""
	if t.NewClientPerRequest {
		name = fmt.Sprintf("%s-made-%d", t.Name, n)
	} else if t.ClientCount > 0 {
		name = fmt.Sprintf("%s-%d", t.Name, n%t.ClientCount)
	}
	s.request = &pb.GenerateRequest{Track: t.Name, Tenant: t.Tenant, Session: "s" + strconv.Itoa(n), MaxTokens: uint32(t.MaxAnswerTokens), Client: name}
	if t.PrefixTokens > 0 {
		s.request.Beginning = t.DrawPrefix(rng)
		s.request.BeginningTokens = uint32(t.PrefixTokens)
		s.promptTokens = t.PrefixTokens
	}
	g.openSessions++
	s.turnCount = 1 + rng.IntN(max(t.TurnCount, 1))
	s.startTurn()
}

// startTurn begins the session's next job.
func (s *session) startTurn() {
	k, t := s.group, &s.group.class
	if s.turn == s.turnCount {
		k.openSessions--
		return
	}
	s.promptTokens += s.promptFactor * (t.MinTurnTokens + s.rng.IntN(max(t.MaxTurnTokens-t.MinTurnTokens, 1)))
	s.request.PromptTokens = uint32(s.promptTokens)
	s.request.Label = fmt.Sprintf("%d.%d", s.index, s.turn)
	s.request.Prompt = []byte(s.request.Label)
	s.turn++
	s.requestStart, s.attemptNumber, s.reservation = k.now(), 0, ""
	s.latencyTarget = int64(t.LatencyTarget) + int64(t.LatencyTargetPer1k)*int64(s.promptTokens)/1000
	s.value = t.Value * float64(s.request.PromptTokens+4*s.request.MaxTokens)
	k.summary.Requests++
	k.summary.OfferedValue += s.value
	s.dispatcher = s.rng.IntN(len(k.conns))
	s.sendAttempt()
}

// sendAttempt makes the job's next try.
func (s *session) sendAttempt() {
	k, t := s.group, &s.group.class
	now := k.now()
	s.remaining = int64(t.Timeout) + 2*int64(t.LatencyTargetPer1k)*int64(s.promptTokens)/1000 - (now - s.requestStart)
	if s.remaining <= 0 {
		k.summary.Rejected++ // it waited as it was told, and its time was up
		k.openSessions--
		return
	}
	k.summary.Attempts++
	call := int64(t.CallTimeout)
	if call == 0 {
		call = s.remaining + int64(s.request.MaxTokens)*decodeTimePerToken
	}
	a := &attempt{
		session: s, cancelAfterTokens: -1, hasReservation: s.reservation != "", deadline: k.sim.network.UnixNanos() + s.remaining,
		entry: eventlog.Entry{RequestLabel: s.request.Label, ClientAttempt: s.attemptNumber, Class: t.Name, Tenant: t.Tenant},
	}
	s.now = a
	if s.rng.Float64() < t.CancelShare {
		if s.rng.IntN(2) == 0 { // at some time, or after some tokens
			k.loop.SetTimer(&s.cancelTimer, now+int64(s.rng.Float64()*float64(t.LatencyTarget)), func(eventloop.Nanos) { a.cancelByClient() })
		} else {
			a.cancelAfterTokens = 1 + s.rng.IntN(max(int(s.request.MaxTokens)/2, 1))
		}
	}
	s.request.PatienceNs = uint64(s.remaining)
	a.logEvent(eventlog.RequestSent, "")
	k.loop.SetTimer(&a.callTimer, now+call, func(eventloop.Nanos) {
		a.resetStream()
		a.logEvent(eventlog.RequestUnanswered, "DeadlineExceeded: the client's own clock")
		a.finish(codes.DeadlineExceeded, outcome{})
	})
	k.nextConn++
	a.conn = k.conn(s.dispatcher, k.nextConn%len(k.conns[s.dispatcher]))
	if a.conn == nil {
		k.loop.Post(func() { a.connectionLost("no connection") })
		return
	}
	if a.conn.isOpen {
		a.openStream(call)
	} else {
		e := a.conn.handler.(*clientConnHandler)
		e.pendingAttempts = append(e.pendingAttempts, a)
		a.callTimeout = call
	}
}

// conn gives a connection to a dispatcher, made anew where the last was lost.
func (g *clientGroup) conn(disp, i int) *grpcConn {
	w := g.conns[disp][i]
	if w != nil && !w.isClosed && (!w.isOpen || w.http2.CanOpenStream()) {
		return w
	}
	w = &grpcConn{loop: g.loop, handler: &clientConnHandler{}}
	w.http2 = h2.NewClientConn(h2.DefaultLimits, w)
	lc, err := g.loop.Dial(g.sim.dispatchers[disp].addr, connectTimeout, w)
	if err != nil {
		return nil
	}
	w.transport = lc
	g.conns[disp][i] = w
	return w
}

func (a *attempt) openStream(call int64) {
	var extra []hpack.HeaderField
	if a.session.attemptNumber > 0 {
		extra = append(extra, hpack.HeaderField{Name: "grpc-previous-rpc-attempts", Value: strconv.Itoa(a.session.attemptNumber)})
	}
	if a.session.reservation != "" {
		extra = append(extra, hpack.HeaderField{Name: "docksail-ticket-bin", Value: a.session.reservation, Sensitive: true})
	}
	if a.session.group.class.Background {
		extra = append(extra, hpack.HeaderField{Name: "docksail-background", Value: "1"})
	}
	b, err := proto.Marshal(a.session.request)
	if err != nil {
		panic(err)
	}
	a.stream = a.conn.http2.OpenStream(pathGenerate, "docksail", call, extra...)
	a.stream.UserData = a
	a.stream.SendMessage(b, true)
	a.conn.flush()
}

func (a *attempt) logEvent(kind eventlog.Kind, code string) {
	e := a.entry
	e.Kind, e.Code, e.Request, e.Deadline, e.Value = kind, code, a.requestID, a.deadline, a.meanTokenGap
	a.session.group.sim.Log.Add(e)
}

// resetStream resets the try's stream.
func (a *attempt) resetStream() {
	if a.stream != nil {
		st := a.stream
		a.stream, st.UserData = nil, nil
		st.Reset(http2.ErrCodeCancel)
		a.conn.flush()
	}
}

func (a *attempt) cancelByClient() {
	if a.isDone {
		return
	}
	a.resetStream()
	a.logEvent(eventlog.RequestCanceled, "")
	a.finish(codes.Canceled, outcome{canceledByClient: true})
}

func (a *attempt) connectionLost(why string) {
	if a.isDone {
		return
	}
	a.logEvent(eventlog.RequestUnanswered, "lost: "+why)
	a.finish(codes.Unavailable, outcome{connectionLost: true})
}

type outcome struct {
	isFinal, connectionLost, canceledByClient bool
	retryAfter                                int64
	reservation                               string
}

// finish takes what became of a try into account: another, the session's next job, or nothing more.
func (a *attempt) finish(code codes.Code, o outcome) {
	s, k := a.session, a.session.group
	t, sum, now := &k.class, k.summary, k.now()
	a.isDone = true
	k.loop.CancelTimer(&a.callTimer)
	k.loop.CancelTimer(&s.cancelTimer)
	if a.hasReservation {
		sum.ReservedRetries++
		if code == codes.OK {
			sum.ReservedRetriesServed++
		}
	}
	s.reservation = o.reservation
	switch {
	case code == codes.OK && a.isCorrupt:
		sum.Corrupt++
		k.openSessions--
		return
	case code == codes.OK:
		first := a.firstTokenAt - s.requestStart
		sum.Served++
		sum.FirstTokenTimes = append(sum.FirstTokenTimes, time.Duration(first))
		if first <= s.latencyTarget {
			sum.OnTime++
			sum.EarnedValue += s.value
		}
		s.promptTokens += a.tokenCount
		k.loop.SetTimer(&s.nextTimer, now+int64(float64(t.Idle)*s.rng.Float64()), func(eventloop.Nanos) { s.startTurn() })
		return
	case o.canceledByClient:
		sum.Canceled++
		sum.OfferedValue -= s.value
		k.openSessions--
		return
	}
	nacked := (code == codes.Unavailable || code == codes.ResourceExhausted) && o.isFinal
	again := nacked || !t.NonIdempotent
	wait := o.retryAfter
	if o.retryAfter < 0 {
		again = again && o.connectionLost
	}
	if o.connectionLost {
		s.dispatcher = (s.dispatcher + 1) % len(k.conns)
		wait = reconnectBackoff
	}
	if t.IgnoresRetryAfter {
		wait = 0
	} else if s.reservation == "" { // without a booking, spread
		wait = int64(float64(wait) * (1 + 0.2*s.rng.Float64()))
	}
	if !again || s.attemptNumber >= t.MaxRetries || now-s.requestStart+wait >= int64(t.Timeout) {
		switch {
		case nacked:
			sum.Rejected++
		case o.isFinal:
			sum.Failed++
		default:
			sum.Unanswered++
		}
		k.openSessions--
		return
	}
	s.attemptNumber++
	k.loop.SetTimer(&s.nextTimer, now+wait, func(eventloop.Nanos) { s.sendAttempt() })
}

// clientConnHandler is what a crowd does about a connection.
type clientConnHandler struct {
	pendingAttempts []*attempt // that wait for the connection
}

func (c *clientConnHandler) opened(*grpcConn) {
	queue := c.pendingAttempts
	c.pendingAttempts = nil
	for _, a := range queue {
		if !a.isDone {
			a.openStream(a.callTimeout)
		}
	}
}

func (c *clientConnHandler) closed(*grpcConn) {
	queue := c.pendingAttempts
	c.pendingAttempts = nil
	for _, a := range queue {
		a.connectionLost("no connection")
	}
}

func (c *clientConnHandler) headers(_ *grpcConn, s *h2.Stream, h *h2.Header) {
	if a, ok := s.UserData.(*attempt); ok && a.requestID == "" {
		a.requestID = h.Get("docksail-job")
	}
}

func (c *clientConnHandler) message(_ *grpcConn, s *h2.Stream, p []byte) {
	a, ok := s.UserData.(*attempt)
	if !ok {
		return
	}
	var tok pb.Tokens
	if proto.Unmarshal(p, &tok) != nil {
		a.isCorrupt = true
		return
	}
	if a.tokenCount == 0 {
		a.firstTokenAt = a.session.group.now()
		a.logEvent(eventlog.FirstToken, "")
	}
	for i, got := range tok.Tokens {
		if int(tok.Position)+i != a.tokenCount || got != engine.TokenAt(a.session.request, a.tokenCount) {
			a.isCorrupt = true
		}
		a.tokenCount++
	}
	if a.cancelAfterTokens > 0 && a.tokenCount >= a.cancelAfterTokens {
		a.cancelByClient()
	}
}

func (c *clientConnHandler) finished(s *h2.Stream, code codes.Code, message string, trailer *h2.Header) {
	a, ok := s.UserData.(*attempt)
	if !ok || a.isDone {
		return
	}
	a.stream, s.UserData = nil, nil
	if v := trailer.Get("docksail-job"); a.requestID == "" {
		a.requestID = v
	}
	push := trailer.Get("grpc-retry-pushback-ms")
	switch {
	case code == codes.OK:
		if a.tokenCount != engine.AnswerTokens(a.session.request) {
			a.isCorrupt = true
		}
		if a.tokenCount > 1 {
			a.meanTokenGap = (a.session.group.now() - a.firstTokenAt) / int64(a.tokenCount-1)
		}
		text := "OK"
		if a.isCorrupt {
			text = "OK, but not the whole answer"
		}
		a.logEvent(eventlog.RequestAnswered, text)
		a.finish(code, outcome{isFinal: true})
	case push != "":
		ms, _ := strconv.ParseInt(push, 10, 64)
		o := outcome{isFinal: true, retryAfter: ms * 1e6}
		if ms >= 0 {
			o.retryAfter = max(o.retryAfter, retryDelay(trailer.Get("grpc-status-details-bin")))
		}
		if !a.session.group.class.IgnoresRetryAfter {
			o.reservation = trailer.Get("docksail-ticket-bin")
		}
		a.logEvent(eventlog.RequestAnswered, code.String())
		a.finish(code, o)
	default:
		a.logEvent(eventlog.RequestUnanswered, code.String()+": "+message)
		a.finish(code, outcome{})
	}
}

// retryDelay reads a RetryInfo out of status details; 0 if there is none.
func retryDelay(text string) int64 {
	b, err := base64.RawStdEncoding.DecodeString(strings.TrimRight(text, "="))
	var st status.Status
	if err != nil || proto.Unmarshal(b, &st) != nil {
		return 0
	}
	for _, d := range st.Details {
		var info errdetails.RetryInfo
		if d.UnmarshalTo(&info) == nil {
			return int64(info.RetryDelay.AsDuration())
		}
	}
	return 0
}

func (c *clientConnHandler) reset(s *h2.Stream) {
	if a, ok := s.UserData.(*attempt); ok && !a.isDone {
		a.stream, s.UserData = nil, nil
		a.connectionLost("the stream broke")
	}
}

// scheduleSessions makes the sessions of a day arrive at their times.
func (d *Simulation) scheduleSessions(rate func(at time.Duration) float64, heavy func(at time.Duration) int) {
	rng := rand.New(rand.NewPCG(uint64(d.Script.Seed), 1))
	at, n := time.Duration(0), 0
	var next func()
	next = func() {
		for {
			r := rate(at)
			if r <= 0 {
				at += 10 * time.Millisecond
			} else {
				at += min(time.Duration(rng.ExpFloat64()/r*1e9), 200*time.Millisecond)
			}
			if at >= d.Script.Duration {
				return
			}
			if r > 0 {
				break
			}
		}
		x, k := rng.Float64(), d.clientGroups[len(d.clientGroups)-1]
		for _, c := range d.clientGroups {
			if x -= c.class.Share; x < 0 {
				k = c
				break
			}
		}
		seed, i, times := rng.Uint64(), n, heavy(at)
		n++
		d.scheduleAt(d.loadStart+int64(at), func() {
			k.loop.Post(func() { k.startSession(i, times, rand.New(rand.NewPCG(seed, uint64(i)))) })
			next()
		})
	}
	next()
}

func simulatedAddr(kind byte, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, kind, byte(n >> 8), byte(n)})
}
