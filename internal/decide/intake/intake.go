// Package intake decides whether a dispatcher takes a request at all, before its module sees it, and how requests end that
// are still in hand when the dispatcher has to go. It does no I/O and reads no clock.
package intake

// Cause says why a request is not taken.
type Cause uint8

const (
	Accepted Cause = iota
	Draining       // the dispatcher drains
	Full           // it has as many requests in hand as it may
	TooLong        // its prompt is longer than any may be
	NoTime         // its time is up before an answer could leave
	NoServer       // no list of engines is known yet
)

func (c Cause) String() string {
	return [...]string{
		"taken", "dispatcher drains", "too many requests in hand", "prompt too long", "no time left",
		"no engines known",
	}[c]
}

// Harmless tells that the request may be tried again as it is: the request is rejected, with advice when to come back.
func (c Cause) Harmless() bool { return c != TooLong }

// Limits is the state of the dispatcher that counts here.
type Limits struct {
	Requests     int   // requests in hand
	PromptTokens int64 // tokens of a prompt
	Draining     bool
	ListKnown    bool // a list of engines is known
}

// Check decides on a request. left is the client's time less what an answer needs to arrive; expected the request's
// expected time. The advice is how long to stay away, in nanoseconds: half an expected time, about what a
// burst's head takes to pass; a dispatcher that leaves advises none, as others take the request at once.
func (g *Limits) Check(inHand int, prompt, left, expected int64) (Cause, int64) {
	switch {
	case prompt > g.PromptTokens:
		return TooLong, 0
	case g.Draining:
		return Draining, 0
	case left <= 0:
		return NoTime, 0
	case !g.ListKnown:
		return NoServer, expected
	case inHand >= g.Requests:
		return Full, expected / 2
	}
	return Accepted, 0
}

// OverdueAfter is how long after its client's deadline a request without an answer is taken for forgotten, in nanoseconds:
// later than any answer that was decided, and well within the half second in which an answer still counts as given.
const OverdueAfter = 100e6

// Answer is how a request ends that is in hand when the dispatcher's time to drain is up.
type Answer uint8

const (
	Rejected Answer = iota // it never ran: trying again is harmless
	Failed                 // it may have run
)

// AtDrainEnd decides that end from whether any attempt of the request was sent to a server that answers.
func AtDrainEnd(redoable, mayHaveRun bool) Answer {
	if redoable || !mayHaveRun {
		return Rejected
	}
	return Failed
}
