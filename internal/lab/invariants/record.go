package invariants

import (
	"fmt"
	"slices"

	"docksail/internal/lab/eventlog"
)

// never is the end of an attempt that has not ended.
const never = int64(1) << 62

// attempt is one attempt as it passed.
type attempt struct {
	server     int
	decode     bool
	sent, end  int64
	code, note string
}

// harmless tells that it is known not to have run.
func (a *attempt) harmless() bool {
	return !a.decode || a.code == "ResourceExhausted" || a.code == "FailedPrecondition" || a.note == "refused"
}

// try is what a client asked for once, and what it got.
type try struct {
	asked   eventlog.Entry
	request string // the dispatcher's name for it
	final   *eventlog.Entry
	finals  int
}

// heldState is a KV state that a server held.
type heldState struct {
	request  string
	server   int
	from, to int64
	how      string // it ended
}

// span is from when to when something was so.
type span struct{ from, to int64 }

type (
	attemptKey struct {
		request string
		attempt int
		server  int
	}
	stateKey struct {
		request string
		server  int
	}
	noticeKey struct{ dispatcher, server int }
)

// checker takes down what passed and finds the rules that it broke.
type checker struct {
	facts      Limits
	slack      int64
	violations []Violation

	attempts     map[string][]*attempt // by request
	requestOrder []string
	open         map[attemptKey]*attempt
	tries        map[string]*try // by the client's name and the number of the try
	tryOrder     []string
	tryOf        map[string]*try // by request
	ran          map[string][]eventlog.Entry
	noticed      map[noticeKey]int64 // a dispatcher was told that a server drains or is gone
	held         map[stateKey]int64  // since when
	states       []heldState
	downtimes    []span // of dispatchers
	downSince    map[int]int64
	cuts         map[int][]span // of servers that could not be heard
	cutSince     map[int]int64
}

func newChecker(facts Limits) *checker {
	return &checker{
		facts: facts, slack: int64(facts.Tolerance), attempts: map[string][]*attempt{}, open: map[attemptKey]*attempt{},
		tries: map[string]*try{}, tryOf: map[string]*try{}, ran: map[string][]eventlog.Entry{}, noticed: map[noticeKey]int64{},
		held: map[stateKey]int64{}, downSince: map[int]int64{}, cuts: map[int][]span{}, cutSince: map[int]int64{},
	}
}

func (c *checker) broken(rule int, at int64, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// record takes down one entry; entries come by time.
func (c *checker) record(e *eventlog.Entry) {
	switch e.Kind {
	case eventlog.DispatcherStopped:
		c.downSince[e.Dispatcher] = e.At
	case eventlog.DispatcherStarted:
		if at, ok := c.downSince[e.Dispatcher]; ok {
			c.downtimes = append(c.downtimes, span{at, e.At})
			delete(c.downSince, e.Dispatcher)
		}
	case eventlog.RequestSent:
		key := tryKey(e)
		c.tries[key] = &try{asked: *e}
		c.tryOrder = append(c.tryOrder, key)
	case eventlog.RequestAnswered, eventlog.RequestCanceled, eventlog.RequestUnanswered:
		c.recordFinal(e)
	case eventlog.AttemptSent:
		c.recordSent(e)
	case eventlog.AttemptEnded:
		if a := c.open[attemptKey{e.Request, e.Attempt, e.Server}]; a != nil && a.end == never {
			a.end, a.code, a.note = e.At, e.Code, e.Note
		}
	case eventlog.EndpointNotified:
		c.recordNotice(e)
	case eventlog.ServerOverloaded:
		c.broken(4, e.At, "cold server %d fell over, sent %d attempts", e.Server, e.Value)
	case eventlog.StateHeld:
		c.held[stateKey{e.Request, e.Server}] = e.At
	case eventlog.StateReleased:
		key := stateKey{e.Request, e.Server}
		if from, ok := c.held[key]; ok {
			c.states = append(c.states, heldState{e.Request, e.Server, from, e.At, e.Note})
			delete(c.held, key)
		}
	case eventlog.AnswerStarted:
		c.ran[e.RequestLabel] = append(c.ran[e.RequestLabel], *e)
	case eventlog.FaultChanged:
		c.recordCut(e)
	}
}

func tryKey(e *eventlog.Entry) string { return fmt.Sprintf("%s/%d", e.RequestLabel, e.ClientAttempt) }

func (c *checker) recordFinal(e *eventlog.Entry) {
	t := c.tries[tryKey(e)]
	if t == nil {
		c.broken(1, e.At, "an answer to %s that nobody asked", e.RequestLabel)
		return
	}
	t.finals++
	t.final = e
	if e.Request != "" {
		t.request = e.Request
		c.tryOf[e.Request] = t
	}
}

// recordSent takes down an attempt, and judges rule three: nothing new to a server that drains.
func (c *checker) recordSent(e *eventlog.Entry) {
	a := &attempt{server: e.Server, decode: e.Note == "write", sent: e.At, end: never}
	if c.attempts[e.Request] == nil {
		c.requestOrder = append(c.requestOrder, e.Request)
	}
	c.attempts[e.Request] = append(c.attempts[e.Request], a)
	c.open[attemptKey{e.Request, e.Attempt, e.Server}] = a
	if at, ok := c.noticed[noticeKey{e.Dispatcher, e.Server}]; ok && e.At > at+int64(c.facts.DrainGrace)+c.slack {
		c.broken(3, e.At, "request %s was sent to server %d %v after dispatcher %d was told that it drains or is gone",
			e.Request, e.Server, milliseconds(e.At-at), e.Dispatcher)
	}
}

func (c *checker) recordNotice(e *eventlog.Entry) {
	key := noticeKey{e.Dispatcher, e.Server}
	if e.Note == "HEALTH_SERVING" {
		delete(c.noticed, key)
	} else if _, ok := c.noticed[key]; !ok {
		c.noticed[key] = e.At
	}
}

func (c *checker) recordCut(e *eventlog.Entry) {
	switch e.Note {
	case "cut":
		c.cutSince[e.Server] = e.At
	case "uncut":
		c.cuts[e.Server] = append(c.cuts[e.Server], span{c.cutSince[e.Server], e.At})
		delete(c.cutSince, e.Server)
	}
}

// finish closes what is open at the end of a run.
func (c *checker) finish(entries []eventlog.Entry) {
	end := never
	if n := len(entries); n > 0 {
		end = entries[n-1].At
	}
	for server, at := range c.cutSince {
		c.cuts[server] = append(c.cuts[server], span{at, never})
	}
	for _, at := range c.downSince {
		c.downtimes = append(c.downtimes, span{at, never})
	}
	for key, from := range c.held {
		c.states = append(c.states, heldState{key.request, key.server, from, end, "still held at the end"})
	}
}

// overlaps tells whether something was so at some time from the one to the other, or nearly.
func (c *checker) overlaps(spans []span, from, to int64) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from <= to+c.slack && s.to >= from-c.slack })
}
