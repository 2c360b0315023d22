// Package userclient is a stand-in for the users of a dispatcher, on grpc-go: sessions of several turns arrive at
// random times, try again when told to, and sometimes leave.
package userclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	pb "docksail/api/docksail/v1"
	"docksail/internal/lab/engine"
	"docksail/internal/lab/eventlog"
)

// Class is what the jobs of a track are like.
type Class struct {
	Name                              string
	Share                             float64 // of the sessions
	Tenant                            string
	TurnCount                         int
	MinTurnTokens, MaxTurnTokens      int // tokens that each turn adds
	PrefixTokens                      int // tokens of the shared beginning; 0 = none
	PrefixCount                       int // how many different ones
	MaxAnswerTokens                   int // most tokens
	LatencyTarget, LatencyTargetPer1k time.Duration
	Timeout                           time.Duration
	CallTimeout                       time.Duration // whole time of a call; 0 = patience and some time for the answer
	Value                             float64
	MaxRetries                        int
	NonIdempotent                     bool          // only a nack is followed by another try
	CancelShare                       float64       // share of the tries that the client leaves, at a random point
	Idle                              time.Duration // between turns
	ClientCount                       int           // how many name themselves; 0 = none does
	IgnoresRetryAfter                 bool          // comes back at once, whatever it is told
	Background                        bool          // its jobs yield to all others
	NewClientPerRequest               bool          // makes up a new name for each job
	ConnsPerDispatcher                int           // connections to each dispatcher, where they are more than the load's
}

// Load is a stream of sessions.
type Load struct {
	Targets            []string // dispatchers; each client takes one, and another after a lost connection
	Classes            []Class
	Rate               func(at time.Duration) float64 // sessions a second
	Duration           time.Duration
	Seed               uint64
	PromptFactor       func(at time.Duration) int                               // times as long prompts; nil = 1
	ConnsPerDispatcher int                                                      // connections to each dispatcher
	Arrivals           []time.Duration                                          // sessions come at these times instead, if there are any
	OnDone             func(track string, first time.Duration, code codes.Code) // told of each job's end; first counts from when it was due
}

// Summary is what became of the jobs of a track.
type Summary struct {
	Requests, Served, OnTime, Rejected, Failed, Canceled, Unanswered, Corrupt int
	Attempts                                                                  int
	ReservedRetries, ReservedRetriesServed                                    int // tries with a booking, and those honoured
	EarnedValue, OfferedValue                                                 float64
	FirstTokenTimes                                                           []time.Duration // to the first token, of those honoured
}

// ValueShare is the payoff in the expected time over the payoff asked for.
func (s *Summary) ValueShare() float64 {
	if s.OfferedValue == 0 {
		return math.NaN()
	}
	return s.EarnedValue / s.OfferedValue
}

// RunLoad plays a load to its end and gives what became of it, by track.
func RunLoad(ctx context.Context, l Load, b *eventlog.Log) (map[string]*Summary, error) {
	conns := map[string][][]pb.GenerationClient{}
	for i := range l.Classes { // each track's clients come from an address of their own
		from := &net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(2+i))}}
		for _, t := range l.Targets {
			var some []pb.GenerationClient
			for range max(l.ConnsPerDispatcher, l.Classes[i].ConnsPerDispatcher, 1) {
				c, err := grpc.NewClient(t, grpc.WithTransportCredentials(insecure.NewCredentials()),
					grpc.WithContextDialer(func(ctx context.Context, to string) (net.Conn, error) { return from.DialContext(ctx, "tcp", to) }),
					grpc.WithConnectParams(grpc.ConnectParams{MinConnectTimeout: 200 * time.Millisecond}))
				if err != nil {
					return nil, fmt.Errorf("client of %s: %w", t, err)
				}
				defer c.Close()
				some = append(some, pb.NewGenerationClient(c))
			}
			conns[l.Classes[i].Name] = append(conns[l.Classes[i].Name], some)
		}
	}
	sums := map[string]*Summary{}
	for _, t := range l.Classes {
		sums[t.Name] = &Summary{}
	}
	r := &runner{l: l, b: b, conns: conns, sums: sums}
	rng := rand.New(rand.NewPCG(l.Seed, 1))
	begin := time.Now()
	var wg sync.WaitGroup
	at := time.Duration(0)
	for n := 0; ; n++ {
		var more bool
		if at, more = l.next(at, n, rng); !more || ctx.Err() != nil {
			break
		}
		x, track := rng.Float64(), l.Classes[len(l.Classes)-1]
		for _, t := range l.Classes {
			if x -= t.Share; x < 0 {
				track = t
				break
			}
		}
		seed := rng.Uint64()
		heavy := 1
		if l.PromptFactor != nil {
			heavy = l.PromptFactor(at)
		}
		if wait := at - time.Since(begin); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
			}
		}
		wg.Add(1)
		due := begin.Add(at)
		go func() {
			defer wg.Done()
			r.session(ctx, n, track, heavy, due, rand.New(rand.NewPCG(seed, uint64(n))))
		}()
	}
	wg.Wait()
	return sums, nil
}

// next is when the session after the one at a time comes.
func (l *Load) next(at time.Duration, n int, rng *rand.Rand) (time.Duration, bool) {
	if len(l.Arrivals) > 0 {
		if n >= len(l.Arrivals) {
			return 0, false
		}
		return l.Arrivals[n], true
	}
	for {
		rate := l.Rate(at)
		if rate <= 0 {
			at += 10 * time.Millisecond
		} else {
			at += min(time.Duration(rng.ExpFloat64()/rate*1e9), 200*time.Millisecond)
		}
		if at >= l.Duration || rate > 0 {
			return at, at < l.Duration
		}
	}
}

// DrawPrefix draws one of the shared beginnings of a track: few are shared by most, by Zipf's law.
func (t *Class) DrawPrefix(rng *rand.Rand) string {
	const skew = 1.1
	if t.PrefixCount < 2 {
		return "b0"
	}
	return "b" + strconv.FormatUint(rand.NewZipf(rng, skew, 1, uint64(t.PrefixCount-1)).Uint64(), 10)
}

type runner struct {
	l     Load
	b     *eventlog.Log
	conns map[string][][]pb.GenerationClient // by track, by dispatcher
	mu    sync.Mutex
	sums  map[string]*Summary
	turn  atomic.Int64
}

// session plays one conversation: each turn's prompt holds all that went before.
// due is when its first turn should be sent: times count from then, even if the machine is late.
func (r *runner) session(ctx context.Context, n int, t Class, heavy int, due time.Time, rng *rand.Rand) {
	prompt := 0
	name := ""
	if t.NewClientPerRequest {
		name = fmt.Sprintf("%s-made-%d", t.Name, n)
	} else if t.ClientCount > 0 {
		name = fmt.Sprintf("%s-%d", t.Name, n%t.ClientCount)
	}
	req := &pb.GenerateRequest{
		Track: t.Name, Tenant: t.Tenant, Session: "s" + strconv.Itoa(n), MaxTokens: uint32(t.MaxAnswerTokens),
		Client: name,
	}
	if t.PrefixTokens > 0 {
		req.Beginning = t.DrawPrefix(rng)
		req.BeginningTokens = uint32(t.PrefixTokens)
		prompt = t.PrefixTokens
	}
	for turn := range 1 + rng.IntN(max(t.TurnCount, 1)) {
		prompt += heavy * (t.MinTurnTokens + rng.IntN(max(t.MaxTurnTokens-t.MinTurnTokens, 1)))
		req.PromptTokens = uint32(prompt)
		req.Label = fmt.Sprintf("%d.%d", n, turn)
		req.Prompt = []byte(req.Label)
		answer, ok := r.job(ctx, t, req, due, rng)
		if !ok || ctx.Err() != nil {
			return
		}
		prompt += answer
		due = time.Now().Add(time.Duration(float64(t.Idle) * rng.Float64()))
		select {
		case <-time.After(time.Until(due)):
		case <-ctx.Done():
			return
		}
	}
}

// job is one job with all its tries; it gives the tokens of the answer.
func (r *runner) job(ctx context.Context, t Class, req *pb.GenerateRequest, begin time.Time, rng *rand.Rand) (int, bool) {
	var last outcome
	if r.l.OnDone != nil {
		defer func() { r.l.OnDone(t.Name, last.first.Sub(begin), last.code) }()
	}
	expected := t.LatencyTarget + t.LatencyTargetPer1k*time.Duration(req.PromptTokens)/1000
	worth := t.Value * float64(req.PromptTokens+4*req.MaxTokens)
	sum := func(f func(s *Summary)) {
		r.mu.Lock()
		f(r.sums[t.Name])
		r.mu.Unlock()
	}
	sum(func(s *Summary) { s.Requests++; s.OfferedValue += worth })
	conns := r.conns[t.Name]
	at := rng.IntN(len(conns))
	ticket := ""
	for try := 0; ; try++ {
		left := t.Timeout + 2*t.LatencyTargetPer1k*time.Duration(req.PromptTokens)/1000 - time.Since(begin)
		if left <= 0 {
			sum(func(s *Summary) { s.Rejected++ }) // it waited as it was told, and its time was up
			return 0, false
		}
		sum(func(s *Summary) { s.Attempts++ })
		target := conns[at][int(r.turn.Add(1))%len(conns[at])]
		res := r.try(ctx, target, t, req, try, left, ticket, rng)
		last = res
		if ticket != "" {
			sum(func(s *Summary) {
				s.ReservedRetries++
				if res.code == codes.OK {
					s.ReservedRetriesServed++
				}
			})
		}
		ticket = res.ticket
		switch {
		case res.code == codes.OK && res.wrong:
			sum(func(s *Summary) { s.Corrupt++ })
			return 0, false
		case res.code == codes.OK:
			first := res.first.Sub(begin)
			sum(func(s *Summary) {
				s.Served++
				s.FirstTokenTimes = append(s.FirstTokenTimes, first)
				if first <= expected {
					s.OnTime++
					s.EarnedValue += worth
				}
			})
			return res.tokens, true
		case res.left:
			sum(func(s *Summary) { s.Canceled++; s.OfferedValue -= worth })
			return 0, false
		}
		nacked := (res.code == codes.Unavailable || res.code == codes.ResourceExhausted) && res.final
		again := nacked || !t.NonIdempotent
		wait := res.after
		if res.after < 0 {
			again = again && res.lost // the dispatcher asks to stay away
		}
		if res.lost {
			at = (at + 1) % len(conns)
			wait = 50 * time.Millisecond
		}
		if t.IgnoresRetryAfter {
			wait = 0
		} else if ticket == "" { // without a booking, spread
			wait = time.Duration(float64(wait) * (1 + 0.2*rng.Float64()))
		}
		if !again || try >= t.MaxRetries || time.Since(begin)+wait >= t.Timeout || ctx.Err() != nil {
			sum(func(s *Summary) {
				switch {
				case nacked:
					s.Rejected++
				case res.final:
					s.Failed++
				default:
					s.Unanswered++
				}
			})
			return 0, false
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

type outcome struct {
	code   codes.Code
	final  bool // the dispatcher's own answer
	lost   bool // the connection was
	left   bool // by the client's will
	wrong  bool // the answer is not the one that was asked for
	first  time.Time
	tokens int
	after  time.Duration
	ticket string
}

func (r *runner) try(ctx context.Context, c pb.GenerationClient, t Class, req *pb.GenerateRequest, try int,
	left time.Duration, ticket string, rng *rand.Rand,
) outcome {
	call := t.CallTimeout
	if call == 0 {
		call = left + time.Duration(req.MaxTokens)*200*time.Millisecond
	}
	ctx, cancel := context.WithTimeout(ctx, call)
	defer cancel()
	if try > 0 {
		ctx = metadata.AppendToOutgoingContext(ctx, "grpc-previous-rpc-attempts", strconv.Itoa(try))
	}
	if t.Background {
		ctx = metadata.AppendToOutgoingContext(ctx, "docksail-background", "1")
	}
	if ticket != "" {
		ctx = metadata.AppendToOutgoingContext(ctx, "docksail-ticket-bin", ticket)
	}
	leaves := -1
	var quit atomic.Bool
	if rng.Float64() < t.CancelShare {
		if rng.IntN(2) == 0 { // at some time, or after some tokens
			time.AfterFunc(time.Duration(rng.Float64()*float64(t.LatencyTarget)), func() { quit.Store(true); cancel() })
		} else {
			leaves = 1 + rng.IntN(max(int(req.MaxTokens)/2, 1))
		}
	}
	req.PatienceNs = uint64(left)
	now := time.Now()
	e := eventlog.Entry{RequestLabel: req.Label, ClientAttempt: try, Class: t.Name, Tenant: t.Tenant}
	gap := int64(0) // mean time between the tokens, nanoseconds
	note := func(kind eventlog.Kind, code string, job string) {
		e := e
		e.Value = gap
		e.Kind, e.Code, e.Request, e.Deadline = kind, code, job, now.Add(left).UnixNano()
		r.b.Add(e)
	}
	note(eventlog.RequestSent, "", "")
	stream, err := c.Generate(ctx, req)
	job := ""
	var res outcome
	for err == nil {
		var tok *pb.Tokens
		tok, err = stream.Recv()
		if err != nil {
			break
		}
		if res.tokens == 0 {
			res.first = time.Now()
			if md, e := stream.Header(); e == nil && len(md.Get("docksail-job")) > 0 {
				job = md.Get("docksail-job")[0]
			}
			note(eventlog.FirstToken, "", job)
		}
		for i, got := range tok.Tokens {
			if int(tok.Position)+i != res.tokens || got != engine.TokenAt(req, res.tokens) {
				res.wrong = true
			}
			res.tokens++
		}
		if leaves > 0 && res.tokens >= leaves {
			quit.Store(true)
			cancel()
		}
	}
	if stream != nil && job == "" {
		for _, md := range []metadata.MD{stream.Trailer()} {
			if v := md.Get("docksail-job"); len(v) > 0 {
				job = v[0]
			}
		}
	}
	if errors.Is(err, io.EOF) {
		res.code, res.final = codes.OK, true
		if res.tokens != engine.AnswerTokens(req) {
			res.wrong = true
		}
		if res.tokens > 1 {
			gap = int64(time.Since(res.first)) / int64(res.tokens-1)
		}
		code := "OK"
		if res.wrong {
			code = "OK, but not the whole answer"
		}
		note(eventlog.RequestAnswered, code, job)
		return res
	}
	st := status.Convert(err)
	res.code = st.Code()
	var md metadata.MD
	if stream != nil {
		md = stream.Trailer()
	}
	push := md.Get("grpc-retry-pushback-ms")
	switch {
	case quit.Load():
		res.left = true
		note(eventlog.RequestCanceled, "", job)
	case len(push) > 0:
		res.final = true
		if v := md.Get("docksail-ticket-bin"); len(v) > 0 && !t.IgnoresRetryAfter {
			res.ticket = v[0]
		}
		ms, _ := strconv.Atoi(push[0])
		res.after = time.Duration(ms) * time.Millisecond
		for _, d := range st.Details() {
			if info, ok := d.(*errdetails.RetryInfo); ok && ms >= 0 {
				res.after = max(res.after, info.RetryDelay.AsDuration())
			}
		}
		note(eventlog.RequestAnswered, res.code.String(), job)
	case res.code == codes.Unavailable:
		res.lost = true
		note(eventlog.RequestUnanswered, "lost: "+st.Message(), job)
	default:
		note(eventlog.RequestUnanswered, res.code.String()+": "+st.Message(), job)
	}
	return res
}
