package invariants

import (
	"fmt"
	"slices"

	"docksail/internal/lab/eventlog"
)

// notEnded is the end time of an interval or attempt that has not ended.
const notEnded = int64(1) << 62

// healthServing is the Note of an EndpointNotified entry of a server that accepts requests.
const healthServing = "HEALTH_SERVING"

// attempt is one attempt of a request at a server.
type attempt struct {
	server   int
	isDecode bool
	sentAt   int64
	endedAt  int64
	code     string
	note     string
}

// isKnownNotRun reports whether the attempt certainly had no effect.
func (a *attempt) isKnownNotRun() bool {
	return !a.isDecode || a.code == codeResourceExhausted || a.code == codeFailedPrecondition ||
		a.note == eventlog.NoteRefused
}

// clientAttempt is one attempt of a client to get an answer to a request, and its outcome.
type clientAttempt struct {
	sent         eventlog.Entry
	request      string // the dispatcher's identifier of the request
	outcome      *eventlog.Entry
	outcomeCount int
}

// interval is a closed interval of time.
type interval struct{ from, to int64 }

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

// checker collects the entries of a run and checks the rules on them. Times are Unix nanoseconds.
type checker struct {
	limits     Limits
	tolerance  int64
	violations []Violation

	attempts               map[string][]*attempt // by request
	requestOrder           []string
	openAttempts           map[attemptKey]*attempt
	clientAttempts         map[string]*clientAttempt // by clientAttemptKey
	clientAttemptOrder     []string
	clientAttemptByRequest map[string]*clientAttempt   // by request
	startedAnswers         map[string][]eventlog.Entry // by request label
	drainNotices           map[noticeKey]int64         // when a dispatcher was notified that a server drains or is gone
	heldSince              map[stateKey]int64          // of states that are still held
	heldStates             []heldState
	downtimes              []interval // of all dispatchers
	downSince              map[int]int64
	partitions             map[int][]interval // by server
	partitionedSince       map[int]int64
}

// newChecker returns a checker without entries.
func newChecker(limits Limits) *checker {
	return &checker{
		limits:                 limits,
		tolerance:              int64(limits.Tolerance),
		attempts:               map[string][]*attempt{},
		openAttempts:           map[attemptKey]*attempt{},
		clientAttempts:         map[string]*clientAttempt{},
		clientAttemptByRequest: map[string]*clientAttempt{},
		startedAnswers:         map[string][]eventlog.Entry{},
		drainNotices:           map[noticeKey]int64{},
		heldSince:              map[stateKey]int64{},
		downSince:              map[int]int64{},
		partitions:             map[int][]interval{},
		partitionedSince:       map[int]int64{},
	}
}

func (c *checker) addViolation(rule Rule, at int64, format string, args ...any) {
	c.violations = append(c.violations, Violation{rule, at, fmt.Sprintf(format, args...)})
}

// record adds one entry. Entries must be recorded in order of time.
func (c *checker) record(e *eventlog.Entry) {
	switch e.Kind {
	case eventlog.DispatcherStopped:
		c.downSince[e.Dispatcher] = e.At
	case eventlog.DispatcherStarted:
		c.recordDispatcherStart(e)
	case eventlog.RequestSent:
		c.recordRequest(e)
	case eventlog.RequestAnswered, eventlog.RequestCanceled, eventlog.RequestUnanswered:
		c.recordOutcome(e)
	case eventlog.AttemptSent:
		c.recordAttempt(e)
	case eventlog.AttemptEnded:
		if a := c.openAttempts[attemptKey{e.Request, e.Attempt, e.Server}]; a != nil && a.endedAt == notEnded {
			a.endedAt, a.code, a.note = e.At, e.Code, e.Note
		}
	case eventlog.EndpointNotified:
		c.recordNotice(e)
	case eventlog.ServerOverloaded:
		c.addViolation(RuleSlowStart, e.At, "server %d was overloaded by %d attempts during slow start", e.Server, e.Value)
	case eventlog.StateHeld:
		c.heldSince[stateKey{e.Request, e.Server}] = e.At
	case eventlog.StateReleased:
		c.recordRelease(e)
	case eventlog.AnswerStarted:
		c.startedAnswers[e.RequestLabel] = append(c.startedAnswers[e.RequestLabel], *e)
	case eventlog.FaultChanged:
		c.recordPartition(e)
	case eventlog.FirstToken, eventlog.ServerStarted, eventlog.ServerLoad: // not used by any rule
	}
}

func (c *checker) recordDispatcherStart(e *eventlog.Entry) {
	if at, ok := c.downSince[e.Dispatcher]; ok {
		c.downtimes = append(c.downtimes, interval{at, e.At})
		delete(c.downSince, e.Dispatcher)
	}
}

func (c *checker) recordRequest(e *eventlog.Entry) {
	key := clientAttemptKey(e)
	c.clientAttempts[key] = &clientAttempt{sent: *e}
	c.clientAttemptOrder = append(c.clientAttemptOrder, key)
}

func (c *checker) recordRelease(e *eventlog.Entry) {
	key := stateKey{e.Request, e.Server}
	if from, ok := c.heldSince[key]; ok {
		c.heldStates = append(c.heldStates, heldState{e.Request, e.Server, from, e.At, e.Note})
		delete(c.heldSince, key)
	}
}

// clientAttemptKey returns the key of the client's attempt that an entry is about.
func clientAttemptKey(e *eventlog.Entry) string {
	return fmt.Sprintf("%s/%d", e.RequestLabel, e.ClientAttempt)
}

func (c *checker) recordOutcome(e *eventlog.Entry) {
	t := c.clientAttempts[clientAttemptKey(e)]
	if t == nil {
		c.addViolation(RuleFinalAnswer, e.At, "%s has an outcome but was never sent", e.RequestLabel)
		return
	}
	t.outcomeCount++
	t.outcome = e
	if e.Request != "" {
		t.request = e.Request
		c.clientAttemptByRequest[e.Request] = t
	}
}

// recordAttempt records an attempt and checks RuleDrain on it.
func (c *checker) recordAttempt(e *eventlog.Entry) {
	a := &attempt{server: e.Server, isDecode: e.Note == eventlog.NoteDecode, sentAt: e.At, endedAt: notEnded}
	if c.attempts[e.Request] == nil {
		c.requestOrder = append(c.requestOrder, e.Request)
	}
	c.attempts[e.Request] = append(c.attempts[e.Request], a)
	c.openAttempts[attemptKey{e.Request, e.Attempt, e.Server}] = a
	noticedAt, ok := c.drainNotices[noticeKey{e.Dispatcher, e.Server}]
	if ok && e.At > noticedAt+int64(c.limits.DrainGrace)+c.tolerance {
		c.addViolation(RuleDrain, e.At,
			"request %s was sent to server %d %v after dispatcher %d was notified that the server drains or is gone",
			e.Request, e.Server, milliseconds(e.At-noticedAt), e.Dispatcher)
	}
}

func (c *checker) recordNotice(e *eventlog.Entry) {
	key := noticeKey{e.Dispatcher, e.Server}
	if e.Note == healthServing {
		delete(c.drainNotices, key)
	} else if _, ok := c.drainNotices[key]; !ok {
		c.drainNotices[key] = e.At
	}
}

func (c *checker) recordPartition(e *eventlog.Entry) {
	switch e.Note {
	case eventlog.NotePartitioned:
		c.partitionedSince[e.Server] = e.At
	case eventlog.NoteReconnected:
		c.partitions[e.Server] = append(c.partitions[e.Server], interval{c.partitionedSince[e.Server], e.At})
		delete(c.partitionedSince, e.Server)
	}
}

// closeOpenIntervals closes the intervals that are still open at the end of a run.
func (c *checker) closeOpenIntervals(entries []eventlog.Entry) {
	end := notEnded
	if n := len(entries); n > 0 {
		end = entries[n-1].At
	}
	for server, at := range c.partitionedSince {
		c.partitions[server] = append(c.partitions[server], interval{at, notEnded})
	}
	for _, at := range c.downSince {
		c.downtimes = append(c.downtimes, interval{at, notEnded})
	}
	for key, from := range c.heldSince {
		c.heldStates = append(c.heldStates, heldState{key.request, key.server, from, end, "still held at the end"})
	}
}

// overlaps reports whether one of the intervals overlaps with the interval between from and to, within the tolerance.
func (c *checker) overlaps(intervals []interval, from, to int64) bool {
	return slices.ContainsFunc(intervals, func(i interval) bool {
		return i.from <= to+c.tolerance && i.to >= from-c.tolerance
	})
}
