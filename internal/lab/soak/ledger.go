// Package soak runs real dispatchers before stand-in model servers, each a process of its own, with a faulty network
// of proxies between them, and judges the rules from the account that the servers keep.
package soak

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Moment is a time on the machine's monotonic clock, which all processes share, in nanoseconds.
type Moment int64

// Now reads the machine's monotonic clock.
func Now() Moment {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_MONOTONIC, &t); err != nil {
		panic(err) // the clock is part of every Linux
	}
	return Moment(t.Nano())
}

func (m Moment) sub(o Moment) time.Duration { return time.Duration(m - o) }

// Limits are what the ledger judges by.
type Limits struct {
	ReleaseTime        time.Duration // the release time of the settings
	HoldTolerance      time.Duration // more than that a state may be held
	LateStartTolerance time.Duration // an attempt may begin so long after its client has left
	OverlapTolerance   time.Duration // an attempt may arrive so long before the end of the one before is seen: they pass different sockets
}

// DefaultLimits are the platform's, with some room for processes that wait for a core where the order of two sockets
// is judged.
func DefaultLimits(release time.Duration) Limits {
	return Limits{ReleaseTime: release, HoldTolerance: 300 * time.Millisecond, LateStartTolerance: 300 * time.Millisecond, OverlapTolerance: 300 * time.Millisecond}
}

// connKey names a connection between a proxy and a server: the server, and the proxy's port.
type connKey struct {
	server string
	port   int
}

// attempt is one that came whole to a server.
type attempt struct {
	read     bool
	arrived  Moment
	closed   Moment // the dispatcher ended its connection; 0 = not yet
	over     Moment // the server was done with it; 0 = not yet
	answered Moment // its answer was passed to the dispatcher; 0 = not yet
}

// out tells that the attempt is out. The dispatcher waits for it until it has its answer or ends it: an answer that
// is held up on the way is none yet. A write whose end has not come to its server waits there, and keeps its state.
func (t *attempt) out() bool {
	known := t.closed > 0 || t.over > 0 && t.answered > 0
	return !known || !t.read && t.over == 0
}

// account is what the servers know of one request.
type account struct {
	owner    string
	excused  bool
	left     Moment // its client left; 0 = not
	attempts map[connKey]*attempt
	lastOver Moment // the last of its attempts was over
	states   map[string]Moment
	trace    []string
}

// Oracle is the account that the stand-in servers keep together, and the judge of the rules on it.
type Oracle struct {
	limits   Limits
	mu       sync.Mutex
	accounts map[string]*account
	begun    map[connKey]beginning
	began    Moment
	broken   []brokenRule
	// ReleasesAlwaysTakeState has a release take a state also from under an attempt that waits for it: the pages leave
	// both open.
	ReleasesAlwaysTakeState bool
	PrefillsCompleted       int // that left a state
	ReleasesReceived        int // that came to a server
}

// brokenRule is a rule that was broken for a request, and when that was seen.
type brokenRule struct {
	at   Moment
	id   string
	text string
}

// beginning is an attempt that has left a dispatcher on a connection.
type beginning struct {
	id     string
	at     Moment
	closed Moment
}

// NewOracle makes an empty ledger.
func NewOracle(limits Limits) *Oracle {
	return &Oracle{limits: limits, accounts: map[string]*account{}, begun: map[connKey]beginning{}, began: Now()}
}

func (o *Oracle) account(id string) *account {
	a := o.accounts[id]
	if a == nil {
		a = &account{attempts: map[connKey]*attempt{}, states: map[string]Moment{}}
		o.accounts[id] = a
	}
	return a
}

// note adds a line to a request's trace.
func (o *Oracle) note(a *account, at Moment, format string, args ...any) {
	a.trace = append(a.trace, fmt.Sprintf("%.3f ", at.sub(o.began).Seconds())+fmt.Sprintf(format, args...))
}

// breakRule takes down a broken rule with the request's trace.
func (o *Oracle) breakRule(id string, a *account, format string, args ...any) {
	if a.excused {
		return
	}
	text := fmt.Sprintf("%s: request %s of %s\n    %s", fmt.Sprintf(format, args...), id, a.owner, strings.Join(a.trace, "\n    "))
	o.broken = append(o.broken, brokenRule{Now(), id, text})
}

// RequestSent tells that a client has sent a request to a dispatcher.
func (o *Oracle) RequestSent(at Moment, id, dispatcher string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.account(id)
	a.owner = dispatcher
	o.note(a, at, "sent to %s", dispatcher)
}

// ClientCanceled tells that a request's client has closed its connection.
func (o *Oracle) ClientCanceled(at Moment, id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.account(id)
	a.left = at
	o.note(a, at, "client left")
}

// Note adds what a client saw to the trace of its request.
func (o *Oracle) Note(at Moment, id, text string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.note(o.account(id), at, "%s", text)
}

// AnswerMissing takes down that a client did not get the answer that it was owed.
func (o *Oracle) AnswerMissing(id, why string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.breakRule(id, o.account(id), "lost: %s", why)
}

// DispatcherKilled tells that a dispatcher's process was killed at that time: what it held is not its duty any more,
// nor is what was seen of it since.
func (o *Oracle) DispatcherKilled(at Moment, dispatcher string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.accounts {
		if a.owner == dispatcher {
			a.excused = true
			o.note(a, at, "%s killed", dispatcher)
		}
	}
	o.broken = slices.DeleteFunc(o.broken, func(b brokenRule) bool { return b.at >= at && o.accounts[b.id].owner == dispatcher })
}

// AttemptStarted tells that the first byte of an attempt has left a dispatcher.
func (o *Oracle) AttemptStarted(at Moment, id string, on connKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.begun[on] = beginning{id: id, at: at}
	a := o.account(id)
	o.note(a, at, "begun to %s:%d", on.server, on.port)
	if a.left > 0 && at.sub(a.left) > o.limits.LateStartTolerance {
		o.breakRule(id, a, "lost: an attempt began %v after its client had left", at.sub(a.left))
	}
}

// ConnClosed tells that a dispatcher has ended, or ended its sending on, a connection.
func (o *Oracle) ConnClosed(at Moment, on connKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, ok := o.begun[on]
	if !ok || b.closed > 0 {
		return
	}
	b.closed = at
	o.begun[on] = b
	a := o.account(b.id)
	o.note(a, at, "closed by the dispatcher, %s:%d", on.server, on.port)
	if t := a.attempts[on]; t != nil {
		a.advance(at, t, func() { t.closed = at })
	}
}

// ResponseForwarded tells that bytes from a server were passed to the dispatcher.
func (o *Oracle) ResponseForwarded(at Moment, on connKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	b, ok := o.begun[on]
	if !ok {
		return
	}
	a := o.account(b.id)
	t := a.attempts[on]
	if t == nil || t.answered > 0 || t.read && t.over == 0 {
		return
	}
	o.note(a, at, "answer of %s:%d passed on", on.server, on.port)
	a.advance(max(t.over, at-answerTransit), t, func() { t.answered = at })
}

// answerTransit is how long an answer may take to its dispatcher; the clock of a state runs from the read's end, and
// no later than so long before the answer is there.
const answerTransit = Moment(100 * time.Millisecond)

// advance changes an attempt; if that ends it, the clock of what is held starts then.
func (a *account) advance(at Moment, t *attempt, change func()) {
	was := t.out()
	if change(); was && !t.out() {
		a.lastOver = max(a.lastOver, at)
	}
}

// out tells whether one of a request's attempts is out.
func (a *account) out() bool {
	for _, t := range a.attempts {
		if t.out() {
			return true
		}
	}
	return false
}

// judgeHeld looks at the states of a request as something happens to it.
func (o *Oracle) judgeHeld(at Moment, id string, a *account, what string) {
	if a.out() {
		return
	}
	for server, since := range a.states {
		since = max(since, a.lastOver)
		if held := at.sub(since); held > o.limits.ReleaseTime+o.limits.HoldTolerance {
			o.breakRule(id, a, "held: a state at %s for %v, then %s", server, held.Round(time.Millisecond), what)
			delete(a.states, server)
		}
	}
}

// AttemptReceived tells that an attempt has come whole to a server.
func (o *Oracle) AttemptReceived(at Moment, id string, read bool, on connKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.account(id)
	o.note(a, at, "arrived at %s:%d", on.server, on.port)
	o.judgeHeld(at, id, a, "an attempt")
	fresh := &attempt{read: read, arrived: at}
	if b := o.begun[on]; b.id == id { // the dispatcher may have ended it before it came
		fresh.closed = b.closed
	}
	for key, t := range a.attempts {
		if t.over == 0 && t.closed == 0 && fresh.closed == 0 && key != on {
			go o.judgeCopy(id, a, key, t)
		}
	}
	a.attempts[on] = fresh
}

// judgeCopy waits for the end of an attempt that was out as another arrived.
func (o *Oracle) judgeCopy(id string, a *account, key connKey, first *attempt) {
	time.Sleep(o.limits.OverlapTolerance)
	o.mu.Lock()
	defer o.mu.Unlock()
	if first.closed == 0 && first.over == 0 {
		o.breakRule(id, a, "duplicate: an attempt arrived while the one at %s was out", key.server)
	}
}

// PrefillFinished tells that a read has ended at its server: it holds the state.
func (o *Oracle) PrefillFinished(at Moment, id string, on connKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.account(id)
	o.note(a, at, "read at %s:%d", on.server, on.port)
	o.PrefillsCompleted++
	a.states[on.server] = at
	o.finish(at, a, on)
}

// AttemptFinished tells that a server is done with an attempt.
func (o *Oracle) AttemptFinished(at Moment, id string, on connKey, how string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.account(id)
	o.note(a, at, "over at %s:%d, %s", on.server, on.port, how)
	o.finish(at, a, on)
}

// finish takes down that a server is done with an attempt.
func (o *Oracle) finish(at Moment, a *account, on connKey) {
	if t := a.attempts[on]; t != nil && t.over == 0 {
		a.advance(at, t, func() { t.over = at })
	}
}

// FetchState has a server take the state of a request; false: there is none.
func (o *Oracle) FetchState(at Moment, id string, on connKey) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.account(id)
	found := len(a.states) > 0
	o.note(a, at, "fetched by %s:%d: %v", on.server, on.port, found)
	clear(a.states)
	return found
}

// ReleaseReceived tells that a release has come to a server. What an attempt waits for stays, unless releases take all.
func (o *Oracle) ReleaseReceived(at Moment, id, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	a := o.account(id)
	o.ReleasesReceived++
	o.note(a, at, "release at %s", server)
	for _, t := range a.attempts {
		if !t.read && t.over == 0 && !o.ReleasesAlwaysTakeState {
			return
		}
	}
	o.judgeHeld(at, id, a, "a release")
	clear(a.states)
}

// ServerStopped tells that a server's process is gone, with all that it held.
func (o *Oracle) ServerStopped(at Moment, server string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, a := range o.accounts {
		if _, held := a.states[server]; held {
			o.judgeHeld(at, id, a, "its server died")
			delete(a.states, server)
		}
		for on, t := range a.attempts {
			if on.server == server && t.out() {
				a.advance(at, t, func() { t.over, t.answered = at, at })
				o.note(a, at, "%s died", server)
			}
		}
	}
}

// Held gives the requests for which a state is held.
func (o *Oracle) Held() (ids []string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, a := range o.accounts {
		if len(a.states) > 0 && !a.excused {
			ids = append(ids, id)
		}
	}
	sort.Strings(ids)
	return ids
}

// Seen counts the lines of a request's trace that contain a text.
func (o *Oracle) Seen(id, text string) (n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, line := range o.account(id).trace {
		if strings.Contains(line, text) {
			n++
		}
	}
	return n
}

// Trace gives what happened to a request.
func (o *Oracle) Trace(id string) string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Join(o.account(id).trace, "\n")
}

// Check looks at what is still held and gives the rules that were broken.
func (o *Oracle) Check(at Moment) []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	for id, a := range o.accounts {
		o.judgeHeld(at, id, a, "the end of the run")
	}
	var texts []string
	for _, b := range o.broken {
		texts = append(texts, b.text)
	}
	return texts
}

// ReadAt is Read with the connection by its parts, for scripts.
func (o *Oracle) ReadAt(at Moment, id, server string, port int) {
	o.PrefillFinished(at, id, connKey{server, port})
}

// ArrivedAt is Arrived with the connection by its parts.
func (o *Oracle) ArrivedAt(at Moment, id string, read bool, server string, port int) {
	o.AttemptReceived(at, id, read, connKey{server, port})
}

// OverAt is Over with the connection by its parts.
func (o *Oracle) OverAt(at Moment, id, server string, port int) {
	o.AttemptFinished(at, id, connKey{server, port}, "over")
}

// ClosedAt is Closed of a request's attempt with the connection by its parts.
func (o *Oracle) ClosedAt(at Moment, id, server string, port int) {
	on := connKey{server, port}
	o.mu.Lock()
	o.begun[on] = beginning{id: id, at: at}
	o.mu.Unlock()
	o.ConnClosed(at, on)
}
