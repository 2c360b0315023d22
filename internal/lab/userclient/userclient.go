// Package userclient is a stand-in for the users of a dispatcher, on grpc-go: sessions of several turns arrive at
// random times, retry when they are told to, and sometimes cancel.
package userclient

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"google.golang.org/grpc/codes"

	pb "docksail/api/docksail/v1"
)

// Class describes the requests of a class.
type Class struct {
	Name                              string
	Share                             float64 // of the sessions
	Tenant                            string
	TurnCount                         int // limit of the turns of a session
	MinTurnTokens, MaxTurnTokens      int // prompt tokens that a turn adds
	PrefixTokens                      int // tokens of the shared prefix; 0: none
	PrefixCount                       int // how many different prefixes there are
	MaxAnswerTokens                   int
	LatencyTarget, LatencyTargetPer1k time.Duration // to the first token; the second for each 1,000 prompt tokens
	Timeout                           time.Duration // to the first token, over all attempts
	CallTimeout                       time.Duration // of a whole call; 0: what is left of Timeout and time for the answer
	Value                             float64       // of a token
	MaxRetries                        int
	NonIdempotent                     bool          // only a rejected attempt is retried
	CancelShare                       float64       // share of the attempts that are canceled at a random point
	Idle                              time.Duration // limit of the time between two turns
	ClientCount                       int           // how many client names there are; 0: requests name no client
	IgnoresRetryAfter                 bool          // retries at once, whatever it is told
	Background                        bool          // its requests yield to all others
	NewClientPerRequest               bool          // each session has a client name of its own
	ConnsPerDispatcher                int           // connections to each dispatcher, if more than the load's
}

// Load is a stream of sessions.
type Load struct {
	Targets            []string // dispatchers; a request goes to one, and to the next after a lost connection
	Classes            []Class
	Rate               func(at time.Duration) float64 // sessions a second
	Duration           time.Duration
	Seed               uint64
	PromptFactor       func(at time.Duration) int // multiple of the prompt length; nil: 1
	ConnsPerDispatcher int                        // connections to each dispatcher
	Arrivals           []time.Duration            // if there are any, sessions arrive at these times and not by Rate

	// OnDone is called at the end of each request with the time to its first token since it was due, and the status
	// of its last attempt. It may be nil.
	OnDone func(class string, firstToken time.Duration, code codes.Code)
}

// Summary counts how the requests of a class ended.
type Summary struct {
	Requests, Served, OnTime, Rejected, Failed, Canceled, Unanswered, Corrupt int
	Attempts                                                                  int
	ReservedRetries, ReservedRetriesServed                                    int // attempts with a reservation
	EarnedValue, OfferedValue                                                 float64
	FirstTokenTimes                                                           []time.Duration // of served requests
}

// ValueShare returns the value of the requests served on time as a share of the value of all requests.
func (s *Summary) ValueShare() float64 {
	if s.OfferedValue == 0 {
		return math.NaN()
	}
	return s.EarnedValue / s.OfferedValue
}

// DrawPrefix returns a random shared prefix of the class. A few are used by most sessions, by Zipf's law.
func (c *Class) DrawPrefix(rng *rand.Rand) string {
	const skew = 1.1
	if c.PrefixCount < 2 {
		return "b0"
	}
	return "b" + strconv.FormatUint(rand.NewZipf(rng, skew, 1, uint64(c.PrefixCount-1)).Uint64(), 10)
}

// latencyTarget returns the time to the first token within which a request has its value.
func (c *Class) latencyTarget(req *pb.GenerateRequest) time.Duration {
	return c.LatencyTarget + c.LatencyTargetPer1k*time.Duration(req.PromptTokens)/1000
}

// timeout returns the time to the first token after which the client gives a request up.
func (c *Class) timeout(req *pb.GenerateRequest) time.Duration {
	return c.Timeout + 2*c.LatencyTargetPer1k*time.Duration(req.PromptTokens)/1000
}

// requestValue returns the value of a request. A token of the answer counts four times as much as one of the prompt.
func (c *Class) requestValue(req *pb.GenerateRequest) float64 {
	return c.Value * float64(req.PromptTokens+4*req.MaxTokens)
}
