package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"google.golang.org/grpc/codes"

	pb "docksail/api/docksail/v1"
	"docksail/internal/eventloop"
	"docksail/internal/lab/eventlog"
)

const (
	reconnectDelay     = int64(50 * time.Millisecond)  // before a retry at another dispatcher after a connection loss
	decodeTimePerToken = int64(200 * time.Millisecond) // per token, in the timeout of a call
	retryJitter        = 0.2                           // maximum jitter of a retry without a reservation, as a fraction
)

// session is one conversation of a client, with one request at a time. The prompt of each turn includes all previous
// prompts and answers.
type session struct {
	group        *clientGroup
	index        int
	random       *rand.Rand
	promptFactor int // factor for the prompt length
	turn         int
	turnCount    int
	promptTokens int
	nextTimer    eventloop.Timer // of the next turn or attempt
	cancelTimer  eventloop.Timer

	// State of the request of the current turn. Times are in nanoseconds.
	request       *pb.GenerateRequest
	requestStart  eventloop.Nanos
	attemptNumber int
	dispatcher    int   // index of the dispatcher of the next attempt
	remaining     int64 // time until the client's timeout
	latencyTarget int64
	value         float64
	reservation   string // for the next attempt; empty = none
}

// startTurn starts the request of the next turn, or ends the session.
func (s *session) startTurn() {
	g, class := s.group, &s.group.class
	if s.turn == s.turnCount {
		g.openSessions--
		return
	}
	turnTokens := class.MinTurnTokens + s.random.IntN(max(class.MaxTurnTokens-class.MinTurnTokens, 1))
	s.promptTokens += s.promptFactor * turnTokens
	s.request.PromptTokens = uint32(s.promptTokens)
	s.request.Label = fmt.Sprintf("%d.%d", s.index, s.turn)
	s.request.Prompt = []byte(s.request.Label)
	s.turn++
	s.requestStart, s.attemptNumber, s.reservation = g.now(), 0, ""
	s.latencyTarget = int64(class.LatencyTarget) + s.promptTime()
	s.value = class.Value * float64(s.request.PromptTokens+4*s.request.MaxTokens)
	g.summary.Requests++
	g.summary.OfferedValue += s.value
	s.dispatcher = s.random.IntN(len(g.conns))
	s.sendAttempt()
}

// promptTime returns the part of the latency target that depends on the length of the prompt.
func (s *session) promptTime() int64 {
	return int64(s.group.class.LatencyTargetPer1k) * int64(s.promptTokens) / 1000
}

// timeout returns the client's timeout of the request.
func (s *session) timeout() int64 {
	class := &s.group.class
	return int64(class.Timeout) + 2*int64(class.LatencyTargetPer1k)*int64(s.promptTokens)/1000
}

// sendAttempt sends the next attempt, or ends the session as rejected if the client's timeout has passed.
func (s *session) sendAttempt() {
	g, class := s.group, &s.group.class
	now := g.now()
	s.remaining = s.timeout() - (now - s.requestStart)
	if s.remaining <= 0 { // the requested retry delay has used up the timeout
		g.summary.Rejected++
		g.openSessions--
		return
	}
	g.summary.Attempts++
	callTimeout := int64(class.CallTimeout)
	if callTimeout == 0 {
		callTimeout = s.remaining + int64(s.request.MaxTokens)*decodeTimePerToken
	}
	a := &attempt{
		session: s, hasReservation: s.reservation != "", deadline: g.sim.network.UnixNanos() + s.remaining,
		callTimeout: callTimeout,
		entry: eventlog.Entry{
			RequestLabel: s.request.Label, ClientAttempt: s.attemptNumber, Class: class.Name, Tenant: class.Tenant,
		},
	}
	s.drawCancel(a, now)
	s.request.PatienceNs = uint64(s.remaining)
	a.logEvent(eventlog.RequestSent, "")
	g.loop.SetTimer(&a.callTimer, now+callTimeout, func(eventloop.Nanos) { a.timeOut() })
	g.nextConn++
	a.send(g.conn(s.dispatcher, g.nextConn%len(g.conns[s.dispatcher])))
}

// drawCancel draws whether the client cancels the attempt, and after which time or number of tokens.
func (s *session) drawCancel(a *attempt, now eventloop.Nanos) {
	class := &s.group.class
	if s.random.Float64() >= class.CancelShare {
		return
	}
	if s.random.IntN(2) == 0 {
		delay := int64(s.random.Float64() * float64(class.LatencyTarget))
		s.group.loop.SetTimer(&s.cancelTimer, now+delay, func(eventloop.Nanos) { a.cancelByClient() })
		return
	}
	a.cancelAfterTokens = 1 + s.random.IntN(max(int(s.request.MaxTokens)/2, 1))
}

// attemptEnded counts the outcome of an attempt, then retries the request, starts the next turn or ends the session.
func (s *session) attemptEnded(a *attempt, o outcome) {
	g, now := s.group, s.group.now()
	g.loop.CancelTimer(&s.cancelTimer)
	if a.hasReservation {
		g.summary.ReservedRetries++
		if o.code == codes.OK {
			g.summary.ReservedRetriesServed++
		}
	}
	s.reservation = o.reservation
	switch {
	case o.code == codes.OK && a.isCorrupt:
		g.summary.Corrupt++
		g.openSessions--
	case o.code == codes.OK:
		s.countServed(a)
		s.promptTokens += a.tokenCount
		idle := int64(float64(g.class.MaxIdleTime) * s.random.Float64())
		g.loop.SetTimer(&s.nextTimer, now+idle, func(eventloop.Nanos) { s.startTurn() })
	case o.isCanceled:
		g.summary.Canceled++
		g.summary.OfferedValue -= s.value
		g.openSessions--
	default:
		s.retryOrFail(o, now)
	}
}

func (s *session) countServed(a *attempt) {
	summary, firstToken := s.group.summary, a.firstTokenAt-s.requestStart
	summary.Served++
	summary.FirstTokenTimes = append(summary.FirstTokenTimes, time.Duration(firstToken))
	if firstToken <= s.latencyTarget {
		summary.OnTime++
		summary.EarnedValue += s.value
	}
}

// retryOrFail schedules the next attempt if the outcome and the class permit it, or else ends the session.
func (s *session) retryOrFail(o outcome, now eventloop.Nanos) {
	g, class := s.group, &s.group.class
	wait := s.retryDelay(o)
	mayRetry := o.isRejection() || !class.NonIdempotent
	if o.retryAfter < 0 { // the dispatcher forbids a retry
		mayRetry = mayRetry && o.isConnectionLost
	}
	if mayRetry && s.attemptNumber < class.MaxRetries && now-s.requestStart+wait < s.timeout() {
		s.attemptNumber++
		g.loop.SetTimer(&s.nextTimer, now+wait, func(eventloop.Nanos) { s.sendAttempt() })
		return
	}
	switch {
	case o.isRejection():
		g.summary.Rejected++
	case o.isFinal:
		g.summary.Failed++
	default:
		g.summary.Unanswered++
	}
	g.openSessions--
}

// retryDelay returns how long the client waits before a retry, with jitter if the retry has no reservation. After a
// connection loss it selects the next dispatcher.
func (s *session) retryDelay(o outcome) int64 {
	wait := o.retryAfter
	if o.isConnectionLost {
		s.dispatcher = (s.dispatcher + 1) % len(s.group.conns)
		wait = reconnectDelay
	}
	if s.group.class.IgnoresRetryAfter {
		return 0
	}
	if s.reservation == "" {
		wait = int64(float64(wait) * (1 + retryJitter*s.random.Float64()))
	}
	return wait
}
