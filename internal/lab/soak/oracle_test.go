package soak

import (
	"errors"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

const testRequest = "request"

var (
	prefillConn = ConnID{"r1", 1}
	decodeConn  = ConnID{"w1", 2}
)

// after returns the instant the given number of milliseconds after the oracle's epoch.
func after(o *Oracle, millis int) Instant {
	return o.epoch + Instant(time.Duration(millis)*time.Millisecond)
}

// TestOracleRules checks that the oracle finds each kind of violation, and reports none where no rule is broken.
func TestOracleRules(t *testing.T) {
	for name, c := range map[string]struct {
		events func(o *Oracle)
		want   string // prefix of the violation's text; empty = no violation
	}{
		"an attempt starts after its client has canceled": {
			events: func(o *Oracle) {
				o.ClientCanceled(after(o, 0), testRequest)
				o.AttemptStarted(after(o, 400), testRequest, prefillConn)
			},
			want: "lost: an attempt started 400ms after its client had canceled",
		},
		"an attempt starts as its client cancels": {
			events: func(o *Oracle) {
				o.ClientCanceled(after(o, 0), testRequest)
				o.AttemptStarted(after(o, 300), testRequest, prefillConn)
			},
		},
		"an answer is missing": {
			events: func(o *Oracle) { o.AnswerMissing(testRequest, "EOF") },
			want:   "lost: EOF",
		},
		"an answer of a killed dispatcher is missing": {
			events: func(o *Oracle) {
				o.RequestSent(after(o, 0), testRequest, "d1")
				o.AnswerMissing(testRequest, "EOF")
				o.DispatcherKilled(after(o, 0), "d1", Forever)
			},
		},
		"a request that was read on an open connection gets no answer": {
			events: func(o *Oracle) {
				o.RequestComplete(after(o, 0), testRequest)
				o.AnswerMissingUnlessUnread(testRequest, "EOF")
				o.CheckRead(func(id string) bool { return id == testRequest })
			},
			want: "lost: read and not answered: EOF",
		},
		"a request that was never read gets no answer": {
			events: func(o *Oracle) {
				o.RequestComplete(after(o, 0), testRequest)
				o.AnswerMissingUnlessUnread(testRequest, "EOF")
				if excused := o.CheckRead(func(string) bool { return false }); excused != 1 {
					o.AnswerMissing(testRequest, "the missing answer is not counted as excused")
				}
			},
		},
		"a request that came before the rejection deadline is unanswered at the kill": {
			events: func(o *Oracle) {
				o.RequestSent(after(o, 600), testRequest, "d1")
				o.RequestComplete(after(o, 690), testRequest)
				o.AnswerMissingUnlessUnread(testRequest, "reset")
				o.DispatcherKilled(after(o, 3700), "d1", after(o, 700))
				o.CheckRead(func(string) bool { return true })
			},
		},
		"a request that came after the rejection deadline is unanswered at the kill": {
			events: func(o *Oracle) {
				o.RequestSent(after(o, 3600), testRequest, "d1")
				o.RequestComplete(after(o, 3690), testRequest)
				o.AnswerMissingUnlessUnread(testRequest, "reset")
				o.DispatcherKilled(after(o, 3700), "d1", after(o, 700))
				o.CheckRead(func(string) bool { return true })
			},
			want: "lost: read and not answered: reset",
		},
		"a stream that began after the rejection deadline is cut off": {
			events: func(o *Oracle) {
				o.RequestComplete(after(o, 800), testRequest)
				o.StreamTruncated(testRequest, after(o, 50))
			},
			want: "lost: a stream that began 750ms after SIGTERM was cut off",
		},
		"a stream that began before the rejection deadline is cut off": {
			events: func(o *Oracle) {
				o.RequestComplete(after(o, 700), testRequest)
				o.StreamTruncated(testRequest, after(o, 50))
			},
		},
		"two attempts are in flight": {
			events: func(o *Oracle) {
				o.AttemptReceived(after(o, 0), testRequest, true, prefillConn)
				o.AttemptReceived(after(o, 10), testRequest, true, ConnID{"r2", 3})
				time.Sleep(time.Second)
			},
			want: "duplicate: an attempt arrived while the one at r1 was in flight",
		},
		"the first of two attempts ends at once": {
			events: func(o *Oracle) {
				o.AttemptReceived(after(o, 0), testRequest, true, prefillConn)
				o.AttemptReceived(after(o, 10), testRequest, true, ConnID{"r2", 3})
				o.AttemptFinished(after(o, 20), testRequest, prefillConn, "refused")
				time.Sleep(time.Second)
			},
		},
		"the connection of the first of two attempts was closed": {
			events: func(o *Oracle) {
				o.AttemptStarted(after(o, 0), testRequest, prefillConn)
				o.AttemptReceived(after(o, 1), testRequest, true, prefillConn)
				o.ConnClosed(after(o, 5), prefillConn)
				o.AttemptReceived(after(o, 10), testRequest, true, ConnID{"r2", 3})
				time.Sleep(time.Second)
			},
		},
		"a waiting decode attempt keeps its state past a release": {
			events: func(o *Oracle) {
				o.PrefillFinished(after(o, 0), testRequest, prefillConn)
				o.AttemptReceived(after(o, 10), testRequest, false, decodeConn)
				o.ReleaseReceived(after(o, 20), testRequest, "r1")
				o.AttemptStarted(after(o, 30), testRequest, decodeConn)
				o.AttemptFinished(after(o, 40), testRequest, decodeConn, "no state")
				o.ConnClosed(after(o, 50), decodeConn)
			},
			want: "held: a state at r1 for 4.95s, until the end of the run",
		},
		"a release takes the state of a waiting decode attempt": {
			events: func(o *Oracle) {
				o.ReleasesRemoveAwaitedStates = true
				o.PrefillFinished(after(o, 0), testRequest, prefillConn)
				o.AttemptReceived(after(o, 10), testRequest, false, decodeConn)
				o.ReleaseReceived(after(o, 20), testRequest, "r1")
			},
		},
		"a decode attempt fetches the state": {
			events: func(o *Oracle) {
				o.PrefillFinished(after(o, 0), testRequest, prefillConn)
				o.AttemptReceived(after(o, 10), testRequest, false, decodeConn)
				if !o.FetchState(after(o, 20), testRequest, decodeConn) {
					o.AnswerMissing(testRequest, "the oracle does not know the state")
				}
			},
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				o := NewOracle(DefaultLimits(time.Second))
				c.events(o)
				violations := o.Check(after(o, 5000))
				switch {
				case c.want == "" && len(violations) > 0:
					t.Errorf("violations %q, want none", violations)
				case c.want != "" && (len(violations) != 1 || !strings.HasPrefix(violations[0], c.want)):
					t.Errorf("violations %q, want one that begins with %q", violations, c.want)
				}
			})
		})
	}
}

// TestVerdictErr checks that a verdict has an error if a rule was broken or no request was served.
func TestVerdictErr(t *testing.T) {
	served := Verdict{Served: 1, StatesHeld: 1}
	if err := served.Err(); err != nil {
		t.Errorf("error %v of a run that broke no rule, want none", err)
	}
	idle := Verdict{}
	if err := idle.Err(); !errors.Is(err, ErrNothingServed) {
		t.Errorf("error %v of a run that served nothing, want %v", err, ErrNothingServed)
	}
	broken := Verdict{Served: 1, StatesHeld: 1, Violations: []string{"held", "lost"}}
	var violations *ViolationsError
	if err := broken.Err(); !errors.As(err, &violations) || violations.Count != 2 {
		t.Errorf("error %v of a run that broke two rules, want a *ViolationsError of 2", err)
	}
}

// TestPlanAttempt checks that the plan of an attempt is the same each time, and differs between servers.
func TestPlanAttempt(t *testing.T) {
	first, again := planAttempt(1, "a", true, "r1"), planAttempt(1, "a", true, "r1")
	if first != again {
		t.Errorf("plans %+v and %+v of one attempt, want them equal", first, again)
	}
	if other := planAttempt(1, "a", true, "r2"); other == first {
		t.Errorf("plan %+v at two servers, want different ones", first)
	}
}
