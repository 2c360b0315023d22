package invariants

import (
	"fmt"
	"slices"

	"docksail/internal/lab/eventlog"
)

// notEnded is the end of an attempt that has not ended.
const notEnded = int64(1) << 62

// attempt is one attempt as it passed.
type attempt struct {
	server     int
	decode     bool
	sentAt, endedAt  int64
	code, note string
}

// isKnownNotRun tells that it is known not to have run.
func (a *attempt) isKnownNotRun() bool {
	return !a.decode || a.code == "ResourceExhausted" || a.code == "FailedPrecondition" || a.note == "refused"
}

// clientAttempt is what a client asked for once, and what it got.
type clientAttempt struct {
	sent   eventlog.Entry
	request string // the dispatcher's name for it
	outcome   *eventlog.Entry
	outcomeCount  int
}

// heldState is a KV state that a server held.
type heldState struct {
	request  string
	server   int
	from, to int64
	releaseCause      string // it ended
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
	limits      Limits
	tolerance      int64
	violations []Violation

	attempts     map[string][]*attempt // by request
	requestOrder []string
	openAttempts         map[attemptKey]*attempt
	clientAttempts        map[string]*clientAttempt // by the client's name and the number of the try
	clientAttemptOrder     []string
	clientAttemptByRequest        map[string]*clientAttempt // by request
	startedAnswers          map[string][]eventlog.Entry
	drainNotices      map[noticeKey]int64 // a dispatcher was told that a server drains or is gone
	heldSince         map[stateKey]int64  // since when
	heldStates       []heldState
	downtimes    []span // of dispatchers
	downSince    map[int]int64
	partitions         map[int][]span // of servers that could not be heard
	partitionedSince     map[int]int64
}

func newChecker(facts Limits) *checker {
	return &checker{
		limits: facts, tolerance: int64(facts.Tolerance), attempts: map[string][]*attempt{}, openAttempts: map[attemptKey]*attempt{},
		clientAttempts: map[string]*clientAttempt{}, clientAttemptByRequest: map[string]*clientAttempt{}, startedAnswers: map[string][]eventlog.Entry{}, drainNotices: map[noticeKey]int64{},
		heldSince: map[stateKey]int64{}, downSince: map[int]int64{}, partitions: map[int][]span{}, partitionedSince: map[int]int64{},
	}
}

func (c *checker) addViolation(rule int, at int64, format string, args ...any) {
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
		key := clientAttemptKey(e)
		c.clientAttempts[key] = &clientAttempt{sent: *e}
		c.clientAttemptOrder = append(c.clientAttemptOrder, key)
	case eventlog.RequestAnswered, eventlog.RequestCanceled, eventlog.RequestUnanswered:
		c.recordFinal(e)
	case eventlog.AttemptSent:
		c.recordSent(e)
	case eventlog.AttemptEnded:
		if a := c.openAttempts[attemptKey{e.Request, e.Attempt, e.Server}]; a != nil && a.endedAt == notEnded {
			a.endedAt, a.code, a.note = e.At, e.Code, e.Note
		}
	case eventlog.EndpointNotified:
		c.recordNotice(e)
	case eventlog.ServerOverloaded:
		c.addViolation(4, e.At, "cold server %d fell over, sent %d attempts", e.Server, e.Value)
	case eventlog.StateHeld:
		c.heldSince[stateKey{e.Request, e.Server}] = e.At
	case eventlog.StateReleased:
		key := stateKey{e.Request, e.Server}
		if from, ok := c.heldSince[key]; ok {
			c.heldStates = append(c.heldStates, heldState{e.Request, e.Server, from, e.At, e.Note})
			delete(c.heldSince, key)
		}
	case eventlog.AnswerStarted:
		c.startedAnswers[e.RequestLabel] = append(c.startedAnswers[e.RequestLabel], *e)
	case eventlog.FaultChanged:
		c.recordPartition(e)
	}
}

func clientAttemptKey(e *eventlog.Entry) string { return fmt.Sprintf("%s/%d", e.RequestLabel, e.ClientAttempt) }

func (c *checker) recordFinal(e *eventlog.Entry) {
	t := c.clientAttempts[clientAttemptKey(e)]
	if t == nil {
		c.addViolation(1, e.At, "an answer to %s that nobody asked", e.RequestLabel)
		return
	}
	t.outcomeCount++
	t.outcome = e
	if e.Request != "" {
		t.request = e.Request
		c.clientAttemptByRequest[e.Request] = t
	}
}

// recordSent takes down an attempt, and judges rule three: nothing new to a server that drains.
func (c *checker) recordSent(e *eventlog.Entry) {
	a := &attempt{server: e.Server, decode: e.Note == "write", sentAt: e.At, endedAt: notEnded}
	if c.attempts[e.Request] == nil {
		c.requestOrder = append(c.requestOrder, e.Request)
	}
	c.attempts[e.Request] = append(c.attempts[e.Request], a)
	c.openAttempts[attemptKey{e.Request, e.Attempt, e.Server}] = a
	if at, ok := c.drainNotices[noticeKey{e.Dispatcher, e.Server}]; ok && e.At > at+int64(c.limits.DrainGrace)+c.tolerance {
		c.addViolation(3, e.At, "request %s was sent to server %d %v after dispatcher %d was told that it drains or is gone",
			e.Request, e.Server, milliseconds(e.At-at), e.Dispatcher)
	}
}

func (c *checker) recordNotice(e *eventlog.Entry) {
	key := noticeKey{e.Dispatcher, e.Server}
	if e.Note == "HEALTH_SERVING" {
		delete(c.drainNotices, key)
	} else if _, ok := c.drainNotices[key]; !ok {
		c.drainNotices[key] = e.At
	}
}

func (c *checker) recordPartition(e *eventlog.Entry) {
	switch e.Note {
	case "cut":
		c.partitionedSince[e.Server] = e.At
	case "uncut":
		c.partitions[e.Server] = append(c.partitions[e.Server], span{c.partitionedSince[e.Server], e.At})
		delete(c.partitionedSince, e.Server)
	}
}

// finish closes what is open at the end of a run.
func (c *checker) finish(entries []eventlog.Entry) {
	end := notEnded
	if n := len(entries); n > 0 {
		end = entries[n-1].At
	}
	for server, at := range c.partitionedSince {
		c.partitions[server] = append(c.partitions[server], span{at, notEnded})
	}
	for _, at := range c.downSince {
		c.downtimes = append(c.downtimes, span{at, notEnded})
	}
	for key, from := range c.heldSince {
		c.heldStates = append(c.heldStates, heldState{key.request, key.server, from, end, "still held at the end"})
	}
}

// overlaps tells whether something was so at some time from the one to the other, or nearly.
func (c *checker) overlaps(spans []span, from, to int64) bool {
	return slices.ContainsFunc(spans, func(s span) bool { return s.from <= to+c.tolerance && s.to >= from-c.tolerance })
}
