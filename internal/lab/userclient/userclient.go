// Package userclient is a stand-in for the clients of a dispatcher, on grpc-go. Sessions of several turns arrive at
// random times, retry as the dispatcher asks, and cancel some of their requests.
package userclient

import (
	"math"
	"math/rand/v2"
	"strconv"
	"time"

	"google.golang.org/grpc/codes"

	pb "docksail/api/docksail/v1"
)

// Class holds the parameters of the requests of a class.
type Class struct {
	Name                              string
	Share                             float64 // fraction of the sessions
	Tenant                            string
	MaxTurns                          int // maximum number of turns of a session
	MinTurnTokens, MaxTurnTokens      int // range of the prompt tokens that a turn adds
	PrefixTokens                      int // length of the shared prefix; 0: no shared prefix
	PrefixCount                       int // number of different shared prefixes
	MaxAnswerTokens                   int
	LatencyTarget, LatencyTargetPer1k time.Duration // to the first token; the second per 1,000 prompt tokens
	Timeout                           time.Duration // to the first token, over all attempts
	CallTimeout                       time.Duration // of a whole RPC; 0: the rest of Timeout plus time for the answer
	Value                             float64       // of a prompt token; see requestValue
	MaxRetries                        int
	NonIdempotent                     bool          // only rejected attempts are retried
	CancelShare                       float64       // fraction of the attempts that are canceled at a random point
	MaxIdleTime                       time.Duration // maximum time between two turns
	ClientCount                       int           // number of client names; 0: requests have no client name
	IgnoresRetryAfter                 bool          // retries immediately
	Background                        bool          // requests use only spare capacity of dispatchers
	NewClientPerSession               bool          // each session has its own client name
	ConnsPerDispatcher                int           // connections to each dispatcher, if more than those of Load
}

// Load holds the parameters of a stream of sessions.
type Load struct {
	Targets            []string // addresses of dispatchers; after a lost connection, a request goes to the next one
	Classes            []Class
	Rate               func(at time.Duration) float64 // sessions per second
	Duration           time.Duration
	Seed               uint64
	PromptFactor       func(at time.Duration) int // factor for the prompt length; nil: 1
	ConnsPerDispatcher int                        // connections to each dispatcher
	Arrivals           []time.Duration            // arrival times of sessions; if empty, Rate is used

	// OnDone is called at the end of each request with the time from when it was due to its first token, and the status
	// of its last attempt. It may be nil.
	OnDone func(class string, firstToken time.Duration, code codes.Code)
}

// Summary counts the results of the requests of a class.
type Summary struct {
	Requests, Served, OnTime, Rejected, Failed, Canceled, Unanswered, Corrupt int
	Attempts                                                                  int
	ReservedRetries, ReservedRetriesServed                                    int // attempts sent with a reservation
	EarnedValue, OfferedValue                                                 float64
	FirstTokenTimes                                                           []time.Duration // of served requests
}

// ValueShare returns the earned value as a fraction of the offered value, or NaN if no value was offered.
func (s *Summary) ValueShare() float64 {
	if s.OfferedValue == 0 {
		return math.NaN()
	}
	return s.EarnedValue / s.OfferedValue
}

// DrawPrefix returns a random shared prefix of the class. The prefixes have a Zipf distribution.
func (c *Class) DrawPrefix(rng *rand.Rand) string {
	const skew = 1.1
	if c.PrefixCount < 2 {
		return "b0"
	}
	return "b" + strconv.FormatUint(rand.NewZipf(rng, skew, 1, uint64(c.PrefixCount-1)).Uint64(), 10)
}

// latencyTarget returns the time to the first token within which a request earns its value.
func (c *Class) latencyTarget(req *pb.GenerateRequest) time.Duration {
	return c.LatencyTarget + c.LatencyTargetPer1k*time.Duration(req.PromptTokens)/1000
}

// timeout returns the time to the first token after which the client abandons a request.
func (c *Class) timeout(req *pb.GenerateRequest) time.Duration {
	return c.Timeout + 2*c.LatencyTargetPer1k*time.Duration(req.PromptTokens)/1000
}

// requestValue returns the value of a request. An answer token is worth four times as much as a prompt token.
func (c *Class) requestValue(req *pb.GenerateRequest) float64 {
	return c.Value * float64(req.PromptTokens+4*req.MaxTokens)
}
