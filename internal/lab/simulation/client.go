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
	pathGenerate = "/docksail.v1.Generation/Generate"
	connsEach    = 2 // to each dispatcher, as on the clock
	connectTime  = int64(200 * time.Millisecond)
	lostWait     = int64(50 * time.Millisecond) // before another dispatcher is tried
	writeTime    = int64(200 * time.Millisecond)
)

// crowd are the users of one track: all that a grpc-go client of the laboratory does, on one simulated loop.
type crowd struct {
	d     *Simulation
	t     userclient.Class
	l     *eventloop.Loop
	wires [][]*wire // by dispatcher
	sum   *userclient.Summary
	turn  int
	open  int // sessions that are not over
}

// session is one conversation: each turn's prompt holds all that went before.
type session struct {
	k            *crowd
	n            int
	rng          *rand.Rand
	heavy        int
	turn, turns  int
	prompt       int
	req          *pb.GenerateRequest
	begin        eventloop.Nanos
	try, at      int
	left         int64
	expected     int64
	worth        float64
	ticket       string
	timer, quits eventloop.Timer
	now          *attempt
}

// attempt is one try of a job.
type attempt struct {
	s        *session
	w        *wire
	st       *h2.Stream
	entry    eventlog.Entry
	by       int64
	job      string
	first    eventloop.Nanos
	tokens   int
	wrong    bool
	leaves   int
	ticketed bool
	within   int64
	gap      int64 // mean, between its tokens
	over     bool
	call     eventloop.Timer
}

func (k *crowd) now() eventloop.Nanos { return k.l.ReadClock() }

// begin starts a session.
func (k *crowd) begin(n, heavy int, rng *rand.Rand) {
	t := k.t
	s := &session{k: k, n: n, rng: rng, heavy: heavy}
	name := ""
	if t.NewClientPerRequest {
		name = fmt.Sprintf("%s-made-%d", t.Name, n)
	} else if t.ClientCount > 0 {
		name = fmt.Sprintf("%s-%d", t.Name, n%t.ClientCount)
	}
	s.req = &pb.GenerateRequest{Track: t.Name, Tenant: t.Tenant, Session: "s" + strconv.Itoa(n), MaxTokens: uint32(t.MaxAnswerTokens), Client: name}
	if t.PrefixTokens > 0 {
		s.req.Beginning = t.DrawPrefix(rng)
		s.req.BeginningTokens = uint32(t.PrefixTokens)
		s.prompt = t.PrefixTokens
	}
	k.open++
	s.turns = 1 + rng.IntN(max(t.TurnCount, 1))
	s.next()
}

// next begins the session's next job.
func (s *session) next() {
	k, t := s.k, &s.k.t
	if s.turn == s.turns {
		k.open--
		return
	}
	s.prompt += s.heavy * (t.MinTurnTokens + s.rng.IntN(max(t.MaxTurnTokens-t.MinTurnTokens, 1)))
	s.req.PromptTokens = uint32(s.prompt)
	s.req.Label = fmt.Sprintf("%d.%d", s.n, s.turn)
	s.req.Prompt = []byte(s.req.Label)
	s.turn++
	s.begin, s.try, s.ticket = k.now(), 0, ""
	s.expected = int64(t.LatencyTarget) + int64(t.LatencyTargetPer1k)*int64(s.prompt)/1000
	s.worth = t.Value * float64(s.req.PromptTokens+4*s.req.MaxTokens)
	k.sum.Requests++
	k.sum.OfferedValue += s.worth
	s.at = s.rng.IntN(len(k.wires))
	s.send()
}

// send makes the job's next try.
func (s *session) send() {
	k, t := s.k, &s.k.t
	now := k.now()
	s.left = int64(t.Timeout) + 2*int64(t.LatencyTargetPer1k)*int64(s.prompt)/1000 - (now - s.begin)
	if s.left <= 0 {
		k.sum.Rejected++ // it waited as it was told, and its time was up
		k.open--
		return
	}
	k.sum.Attempts++
	call := int64(t.CallTimeout)
	if call == 0 {
		call = s.left + int64(s.req.MaxTokens)*writeTime
	}
	a := &attempt{
		s: s, leaves: -1, ticketed: s.ticket != "", by: k.d.world.UnixNanos() + s.left,
		entry: eventlog.Entry{RequestLabel: s.req.Label, ClientAttempt: s.try, Class: t.Name, Tenant: t.Tenant},
	}
	s.now = a
	if s.rng.Float64() < t.CancelShare {
		if s.rng.IntN(2) == 0 { // at some time, or after some tokens
			k.l.SetTimer(&s.quits, now+int64(s.rng.Float64()*float64(t.LatencyTarget)), func(eventloop.Nanos) { a.quit() })
		} else {
			a.leaves = 1 + s.rng.IntN(max(int(s.req.MaxTokens)/2, 1))
		}
	}
	s.req.PatienceNs = uint64(s.left)
	a.note(eventlog.RequestSent, "")
	k.l.SetTimer(&a.call, now+call, func(eventloop.Nanos) {
		a.cancel()
		a.note(eventlog.RequestUnanswered, "DeadlineExceeded: the client's own clock")
		a.end(codes.DeadlineExceeded, outcome{})
	})
	k.turn++
	a.w = k.wire(s.at, k.turn%len(k.wires[s.at]))
	if a.w == nil {
		k.l.Post(func() { a.lost("no connection") })
		return
	}
	if a.w.open {
		a.open(call)
	} else {
		e := a.w.on.(*ends)
		e.queue = append(e.queue, a)
		a.within = call
	}
}

// wire gives a connection to a dispatcher, made anew where the last was lost.
func (k *crowd) wire(disp, i int) *wire {
	w := k.wires[disp][i]
	if w != nil && !w.gone && (!w.open || w.h.CanOpenStream()) {
		return w
	}
	w = &wire{l: k.l, on: &ends{}}
	w.h = h2.NewClientConn(h2.DefaultLimits, w)
	lc, err := k.l.Dial(k.d.disp[disp].addr, connectTime, w)
	if err != nil {
		return nil
	}
	w.lc = lc
	k.wires[disp][i] = w
	return w
}

func (a *attempt) open(call int64) {
	var extra []hpack.HeaderField
	if a.s.try > 0 {
		extra = append(extra, hpack.HeaderField{Name: "grpc-previous-rpc-attempts", Value: strconv.Itoa(a.s.try)})
	}
	if a.s.ticket != "" {
		extra = append(extra, hpack.HeaderField{Name: "docksail-ticket-bin", Value: a.s.ticket, Sensitive: true})
	}
	if a.s.k.t.Background {
		extra = append(extra, hpack.HeaderField{Name: "docksail-background", Value: "1"})
	}
	b, err := proto.Marshal(a.s.req)
	if err != nil {
		panic(err)
	}
	a.st = a.w.h.OpenStream(pathGenerate, "docksail", call, extra...)
	a.st.UserData = a
	a.st.SendMessage(b, true)
	a.w.flush()
}

func (a *attempt) note(kind eventlog.Kind, code string) {
	e := a.entry
	e.Kind, e.Code, e.Request, e.Deadline, e.Value = kind, code, a.job, a.by, a.gap
	a.s.k.d.Log.Add(e)
}

// cancel resets the try's stream.
func (a *attempt) cancel() {
	if a.st != nil {
		st := a.st
		a.st, st.UserData = nil, nil
		st.Reset(http2.ErrCodeCancel)
		a.w.flush()
	}
}

func (a *attempt) quit() {
	if a.over {
		return
	}
	a.cancel()
	a.note(eventlog.RequestCanceled, "")
	a.end(codes.Canceled, outcome{left: true})
}

func (a *attempt) lost(why string) {
	if a.over {
		return
	}
	a.note(eventlog.RequestUnanswered, "lost: "+why)
	a.end(codes.Unavailable, outcome{lost: true})
}

type outcome struct {
	final, lost, left bool
	after             int64
	ticket            string
}

// end takes what became of a try into account: another, the session's next job, or nothing more.
func (a *attempt) end(code codes.Code, o outcome) {
	s, k := a.s, a.s.k
	t, sum, now := &k.t, k.sum, k.now()
	a.over = true
	k.l.CancelTimer(&a.call)
	k.l.CancelTimer(&s.quits)
	if a.ticketed {
		sum.ReservedRetries++
		if code == codes.OK {
			sum.ReservedRetriesServed++
		}
	}
	s.ticket = o.ticket
	switch {
	case code == codes.OK && a.wrong:
		sum.Corrupt++
		k.open--
		return
	case code == codes.OK:
		first := a.first - s.begin
		sum.Served++
		sum.FirstTokenTimes = append(sum.FirstTokenTimes, time.Duration(first))
		if first <= s.expected {
			sum.OnTime++
			sum.EarnedValue += s.worth
		}
		s.prompt += a.tokens
		k.l.SetTimer(&s.timer, now+int64(float64(t.Idle)*s.rng.Float64()), func(eventloop.Nanos) { s.next() })
		return
	case o.left:
		sum.Canceled++
		sum.OfferedValue -= s.worth
		k.open--
		return
	}
	nacked := (code == codes.Unavailable || code == codes.ResourceExhausted) && o.final
	again := nacked || !t.NonIdempotent
	wait := o.after
	if o.after < 0 {
		again = again && o.lost
	}
	if o.lost {
		s.at = (s.at + 1) % len(k.wires)
		wait = lostWait
	}
	if t.IgnoresRetryAfter {
		wait = 0
	} else if s.ticket == "" { // without a booking, spread
		wait = int64(float64(wait) * (1 + 0.2*s.rng.Float64()))
	}
	if !again || s.try >= t.MaxRetries || now-s.begin+wait >= int64(t.Timeout) {
		switch {
		case nacked:
			sum.Rejected++
		case o.final:
			sum.Failed++
		default:
			sum.Unanswered++
		}
		k.open--
		return
	}
	s.try++
	k.l.SetTimer(&s.timer, now+wait, func(eventloop.Nanos) { s.send() })
}

// ends is what a crowd does about a connection.
type ends struct {
	queue []*attempt // that wait for the connection
}

func (e *ends) opened(*wire) {
	queue := e.queue
	e.queue = nil
	for _, a := range queue {
		if !a.over {
			a.open(a.within)
		}
	}
}

func (e *ends) closed(*wire) {
	queue := e.queue
	e.queue = nil
	for _, a := range queue {
		a.lost("no connection")
	}
}

func (e *ends) headers(_ *wire, s *h2.Stream, h *h2.Header) {
	if a, ok := s.UserData.(*attempt); ok && a.job == "" {
		a.job = h.Get("docksail-job")
	}
}

func (e *ends) message(_ *wire, s *h2.Stream, p []byte) {
	a, ok := s.UserData.(*attempt)
	if !ok {
		return
	}
	var tok pb.Tokens
	if proto.Unmarshal(p, &tok) != nil {
		a.wrong = true
		return
	}
	if a.tokens == 0 {
		a.first = a.s.k.now()
		a.note(eventlog.FirstToken, "")
	}
	for i, got := range tok.Tokens {
		if int(tok.Position)+i != a.tokens || got != engine.TokenAt(a.s.req, a.tokens) {
			a.wrong = true
		}
		a.tokens++
	}
	if a.leaves > 0 && a.tokens >= a.leaves {
		a.quit()
	}
}

func (e *ends) finished(s *h2.Stream, code codes.Code, message string, trailer *h2.Header) {
	a, ok := s.UserData.(*attempt)
	if !ok || a.over {
		return
	}
	a.st, s.UserData = nil, nil
	if v := trailer.Get("docksail-job"); a.job == "" {
		a.job = v
	}
	push := trailer.Get("grpc-retry-pushback-ms")
	switch {
	case code == codes.OK:
		if a.tokens != engine.AnswerTokens(a.s.req) {
			a.wrong = true
		}
		if a.tokens > 1 {
			a.gap = (a.s.k.now() - a.first) / int64(a.tokens-1)
		}
		text := "OK"
		if a.wrong {
			text = "OK, but not the whole answer"
		}
		a.note(eventlog.RequestAnswered, text)
		a.end(code, outcome{final: true})
	case push != "":
		ms, _ := strconv.ParseInt(push, 10, 64)
		o := outcome{final: true, after: ms * 1e6}
		if ms >= 0 {
			o.after = max(o.after, retryDelay(trailer.Get("grpc-status-details-bin")))
		}
		if !a.s.k.t.IgnoresRetryAfter {
			o.ticket = trailer.Get("docksail-ticket-bin")
		}
		a.note(eventlog.RequestAnswered, code.String())
		a.end(code, o)
	default:
		a.note(eventlog.RequestUnanswered, code.String()+": "+message)
		a.end(code, outcome{})
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

func (e *ends) reset(s *h2.Stream) {
	if a, ok := s.UserData.(*attempt); ok && !a.over {
		a.st, s.UserData = nil, nil
		a.lost("the stream broke")
	}
}

// play makes the sessions of a day arrive at their times.
func (d *Simulation) play(rate func(at time.Duration) float64, heavy func(at time.Duration) int) {
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
		x, k := rng.Float64(), d.crowds[len(d.crowds)-1]
		for _, c := range d.crowds {
			if x -= c.t.Share; x < 0 {
				k = c
				break
			}
		}
		seed, i, times := rng.Uint64(), n, heavy(at)
		n++
		d.at(d.began+int64(at), func() {
			k.l.Post(func() { k.begin(i, times, rand.New(rand.NewPCG(seed, uint64(i)))) })
			next()
		})
	}
	next()
}

func addr(kind byte, n int) netip.Addr {
	return netip.AddrFrom4([4]byte{10, kind, byte(n >> 8), byte(n)})
}
