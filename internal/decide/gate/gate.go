// Package gate decides whether a dispatcher takes a request at all, before its module sees it, and how requests end that
// are still in hand when the dispatcher has to go. It does no I/O and reads no clock.
package gate

// Cause says why a request is not taken.
type Cause uint8

const (
	Taken    Cause = iota
	Leaving        // the dispatcher drains
	Full           // it has as many requests in hand as it may
	TooLong        // its prompt is longer than any may be
	NoTime         // its time is up before an answer could leave
	NoEngine       // no list of engines is known yet
)

func (c Cause) String() string {
	return [...]string{"taken", "dispatcher drains", "too many jobs in hand", "prompt too long", "no time left",
		"no engines known"}[c]
}

// Harmless tells that the request may be tried again as it is: the refusal is a nack with advice.
func (c Cause) Harmless() bool { return c != TooLong }

// Gate is the state of the dispatcher that counts here.
type Gate struct {
	Most    int   // requests in hand
	Prompt  int64 // tokens of a prompt
	Leaving bool
	Known   bool // a list of engines is known
}

// Take decides on a request. left is the client's time less what an answer needs to arrive; expected the request's
// expected time. The advice is how long to stay away, in nanoseconds: half an expected time, about what a
// burst's head takes to pass; a dispatcher that leaves advises none, as others take the request at once.
func (g *Gate) Take(inHand int, prompt, left, expected int64) (Cause, int64) {
	switch {
	case prompt > g.Prompt:
		return TooLong, 0
	case g.Leaving:
		return Leaving, 0
	case left <= 0:
		return NoTime, 0
	case !g.Known:
		return NoEngine, expected
	case inHand >= g.Most:
		return Full, expected / 2
	}
	return Taken, 0
}

// OverdueAfter is how long after its client's deadline a request without an answer is taken for forgotten, in nanoseconds:
// later than any answer that was decided, and well within the half second in which an answer still counts as given.
const OverdueAfter = 100e6

// End is how a request ends that is in hand when the dispatcher's time to drain is up.
type End uint8

const (
	Nacked    End = iota // it never ran: trying again is harmless
	Abandoned            // it may have run
)

// AtEnd decides that end from whether any attempt of the request was sent to a server that answers.
func AtEnd(redoable, mayHaveRun bool) End {
	if redoable || !mayHaveRun {
		return Nacked
	}
	return Abandoned
}
