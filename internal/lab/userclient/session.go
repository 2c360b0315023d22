package userclient

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	pb "docksail/api/docksail/v1"
)

// session is one conversation. The prompt of each turn contains all previous turns.
type session struct {
	runner       *loadRunner
	index        int // position in the order of arrival, from 0
	class        *Class
	promptFactor int // multiple of the prompt length
	rng          *rand.Rand
}

// run runs the session, whose first turn is due at the given time. Latencies are measured from the due time, even if
// the request is sent later.
func (s *session) run(ctx context.Context, due time.Time) {
	class := s.class
	req := &pb.GenerateRequest{
		Track:     class.Name,
		Tenant:    class.Tenant,
		Session:   "s" + strconv.Itoa(s.index),
		MaxTokens: uint32(class.MaxAnswerTokens),
		Client:    s.clientName(),
	}
	promptTokens := 0
	if class.PrefixTokens > 0 {
		req.Beginning = class.DrawPrefix(s.rng)
		req.BeginningTokens = uint32(class.PrefixTokens)
		promptTokens = class.PrefixTokens
	}
	for turn := range 1 + s.rng.IntN(max(class.MaxTurns, 1)) {
		promptTokens += s.promptFactor * s.drawTurnTokens()
		req.PromptTokens = uint32(promptTokens)
		req.Label = fmt.Sprintf("%d.%d", s.index, turn)
		req.Prompt = []byte(req.Label)
		answerTokens, served := s.runRequest(ctx, req, due)
		if !served || ctx.Err() != nil {
			return
		}
		promptTokens += answerTokens
		due = time.Now().Add(time.Duration(float64(class.MaxIdleTime) * s.rng.Float64()))
		sleepUntil(ctx, due)
		if ctx.Err() != nil {
			return
		}
	}
}

func (s *session) clientName() string {
	switch {
	case s.class.NewClientPerSession:
		return fmt.Sprintf("%s-made-%d", s.class.Name, s.index)
	case s.class.ClientCount > 0:
		return fmt.Sprintf("%s-%d", s.class.Name, s.index%s.class.ClientCount)
	default:
		return ""
	}
}

// drawTurnTokens returns the random number of prompt tokens that the next turn adds.
func (s *session) drawTurnTokens() int {
	return s.class.MinTurnTokens + s.rng.IntN(max(s.class.MaxTurnTokens-s.class.MinTurnTokens, 1))
}

// runRequest runs a request that is due at the given time. It returns the length of the answer, or false if the
// request was not served.
func (s *session) runRequest(ctx context.Context, req *pb.GenerateRequest, due time.Time) (int, bool) {
	q := &request{
		session:    s,
		req:        req,
		due:        due,
		value:      s.class.requestValue(req),
		dispatcher: s.rng.IntN(len(s.runner.clients[s.class.Name])),
	}
	q.count(func(sum *Summary) {
		sum.Requests++
		sum.OfferedValue += q.value
	})
	served := q.attemptUntilDone(ctx)
	if s.runner.load.OnDone != nil {
		s.runner.load.OnDone(s.class.Name, q.last.firstTokenAt.Sub(due), q.last.code)
	}
	if !served {
		return 0, false
	}
	return q.last.tokens, true
}
