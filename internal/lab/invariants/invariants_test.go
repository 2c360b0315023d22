package invariants

import (
	"testing"
	"time"

	"docksail/internal/lab/eventlog"
	"docksail/policy"
)

const (
	millisecond = int64(time.Millisecond)
	epoch       = int64(1e12)
)

var testLimits = Limits{
	Classes: map[string]Class{
		"idempotent":     {Idempotency: policy.Idempotent},
		"non-idempotent": {Idempotency: policy.NonIdempotent},
		"zone": {
			Idempotency: policy.Deduplicated, DedupScope: policy.DedupScopeZone, DedupWindow: time.Second,
		},
		"deduplicated": {Idempotency: policy.Deduplicated, DedupWindow: time.Second},
	},
	Servers:     map[int]Server{1: {"a", "a1"}, 2: {"a", "a2"}, 3: {"b", "b1"}, 4: {"a", "a1"}},
	ReleaseTime: 500 * time.Millisecond, DrainGrace: 500 * time.Millisecond, Tolerance: 50 * time.Millisecond,
}

// at returns the entry with the given time, and with its deadline converted from milliseconds of the test.
func at(ms int64, e eventlog.Entry) eventlog.Entry {
	e.At = epoch + ms*millisecond
	if e.Deadline != 0 {
		e.Deadline = epoch + e.Deadline*millisecond
	}
	return e
}

func attemptSent(ms int64, number, server int, phase string) eventlog.Entry {
	return at(ms, eventlog.Entry{Kind: eventlog.AttemptSent, Request: "j", Attempt: number, Server: server, Note: phase})
}

func attemptEnded(ms int64, number, server int, code, note string) eventlog.Entry {
	return at(ms, eventlog.Entry{
		Kind: eventlog.AttemptEnded, Request: "j", Attempt: number, Server: server, Code: code, Note: note,
	})
}

func requestSent(class string) eventlog.Entry {
	return at(0, eventlog.Entry{Kind: eventlog.RequestSent, RequestLabel: "x", Class: class, Deadline: 5000})
}

func answered(ms int64, class, code string) eventlog.Entry {
	return at(ms, eventlog.Entry{
		Kind: eventlog.RequestAnswered, RequestLabel: "x", Class: class, Code: code, Request: "j", Deadline: 5000,
	})
}

func unanswered(ms int64, code string) eventlog.Entry {
	return at(ms, eventlog.Entry{Kind: eventlog.RequestUnanswered, RequestLabel: "x", Code: code})
}

func answerStarted(ms int64, class string, server int) eventlog.Entry {
	return at(ms, eventlog.Entry{Kind: eventlog.AnswerStarted, RequestLabel: "x", Class: class, Server: server})
}

func notified(ms int64, dispatcher int, health string) eventlog.Entry {
	return at(ms, eventlog.Entry{Kind: eventlog.EndpointNotified, Server: 1, Dispatcher: dispatcher, Note: health})
}

// stateHeld returns the entry of a state held from millisecond 10, when the prefills of the tests end.
func stateHeld() eventlog.Entry {
	return at(10, eventlog.Entry{Kind: eventlog.StateHeld, Request: "j", Server: 1})
}

func stateReleased(ms int64, cause string) eventlog.Entry {
	return at(ms, eventlog.Entry{Kind: eventlog.StateReleased, Request: "j", Server: 1, Note: cause})
}

func faultChanged(ms int64, note string) eventlog.Entry {
	return at(ms, eventlog.Entry{Kind: eventlog.FaultChanged, Note: note, Server: 1})
}

// TestCheck checks that each kind of violation is found by its rule, and permitted events violate none.
func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name    string
		entries []eventlog.Entry
		want    Rule // 0 = no violation
	}{
		{"an ordinary request", []eventlog.Entry{
			requestSent("non-idempotent"),
			attemptSent(1, 0, 1, eventlog.NotePrefill),
			attemptEnded(2, 0, 1, "OK", "status"),
			attemptSent(3, 1, 2, eventlog.NoteDecode),
			attemptEnded(9, 1, 2, "OK", "status"), answered(10, "non-idempotent", "OK"),
		}, 0},
		{"without an outcome", []eventlog.Entry{requestSent("idempotent")}, 1},
		{"answered twice", []eventlog.Entry{
			requestSent("idempotent"),
			answered(5, "idempotent", "OK"),
			answered(6, "idempotent", "Unavailable"),
		}, 1},
		{"answered with a status that is not permitted", []eventlog.Entry{
			requestSent("idempotent"),
			answered(5, "idempotent", "Internal"),
		}, 1},
		{"rejected after its deadline", []eventlog.Entry{
			requestSent("idempotent"),
			answered(5100, "idempotent", "Unavailable"),
		}, 1},
		{"rejected at its deadline", []eventlog.Entry{
			requestSent("idempotent"),
			answered(5000, "idempotent", "Unavailable"),
		}, 0},
		{"unanswered", []eventlog.Entry{requestSent("idempotent"), unanswered(9, "DeadlineExceeded")}, 1},
		{"unanswered because its dispatcher was killed", []eventlog.Entry{
			requestSent("idempotent"), at(8, eventlog.Entry{Kind: eventlog.DispatcherStopped}),
			unanswered(9, "lost"),
		}, 0},
		{"sent after its answer", []eventlog.Entry{
			requestSent("idempotent"),
			answered(5, "idempotent", "Unavailable"),
			attemptSent(100, 0, 1, eventlog.NotePrefill),
		}, 1},
		{"an answer without a request", []eventlog.Entry{answered(5, "idempotent", "OK")}, 1},
		{"two attempts in flight", []eventlog.Entry{
			attemptSent(1, 0, 1, eventlog.NotePrefill),
			attemptSent(200, 1, 2, eventlog.NotePrefill),
		}, 2},
		{"an attempt that crosses with the end of the previous one", []eventlog.Entry{
			attemptSent(1, 0, 1, eventlog.NotePrefill),
			attemptSent(100, 1, 2, eventlog.NotePrefill),
			attemptEnded(120, 0, 1, "", "reset by the dispatcher"),
		}, 0},
		{"non-idempotent, sent again after it may have run", []eventlog.Entry{
			requestSent("non-idempotent"),
			attemptSent(1, 0, 1, eventlog.NoteDecode),
			attemptEnded(5, 0, 1, "", "closed"),
			attemptSent(6, 1, 2, eventlog.NoteDecode),
			attemptEnded(9, 1, 2, "OK", "status"),
			answered(10, "non-idempotent", "OK"),
		}, 2},
		{"non-idempotent, sent again after it was rejected", []eventlog.Entry{
			requestSent("non-idempotent"),
			attemptSent(1, 0, 1, eventlog.NoteDecode),
			attemptEnded(5, 0, 1, "ResourceExhausted", "status"),
			attemptSent(6, 1, 2, eventlog.NoteDecode),
			attemptEnded(9, 1, 2, "OK", "status"),
			answered(10, "non-idempotent", "OK"),
		}, 0},
		{"non-idempotent, sent again after its stream was refused", []eventlog.Entry{
			requestSent("non-idempotent"),
			attemptSent(1, 0, 1, eventlog.NoteDecode),
			attemptEnded(5, 0, 1, "", eventlog.NoteRefused),
			attemptSent(6, 1, 2, eventlog.NoteDecode),
			attemptEnded(9, 1, 2, "OK", "status"),
			answered(10, "non-idempotent", "OK"),
		}, 0},
		{"non-idempotent, rejected though it may have run", []eventlog.Entry{
			requestSent("non-idempotent"),
			attemptSent(1, 0, 1, eventlog.NoteDecode),
			attemptEnded(5, 0, 1, "Internal", "status"),
			answered(10, "non-idempotent", "Unavailable"),
		}, 2},
		{"non-idempotent, failed because it may have run", []eventlog.Entry{
			requestSent("non-idempotent"),
			attemptSent(1, 0, 1, eventlog.NoteDecode),
			attemptEnded(5, 0, 1, "Internal", "status"),
			answered(10, "non-idempotent", "Aborted"),
		}, 0},
		{"non-idempotent, ran twice in two attempts of the client", []eventlog.Entry{
			answerStarted(1, "non-idempotent", 1),
			answerStarted(2, "non-idempotent", 2),
		}, 2},
		{"deduplicated, sent to another zone", []eventlog.Entry{
			requestSent("zone"),
			attemptSent(1, 0, 1, eventlog.NoteDecode),
			attemptEnded(5, 0, 1, "", "closed"),
			attemptSent(6, 1, 3, eventlog.NoteDecode),
			attemptEnded(9, 1, 3, "OK", "status"), answered(10, "zone", "OK"),
		}, 2},
		{"deduplicated, sent within its zone", []eventlog.Entry{
			requestSent("zone"),
			attemptSent(1, 0, 1, eventlog.NoteDecode),
			attemptEnded(5, 0, 1, "", "closed"),
			attemptSent(6, 1, 2, eventlog.NoteDecode),
			attemptEnded(9, 1, 2, "OK", "status"), answered(10, "zone", "OK"),
		}, 0},
		{"deduplicated, sent after its window", []eventlog.Entry{
			requestSent("deduplicated"),
			attemptSent(1, 0, 1, eventlog.NoteDecode),
			attemptEnded(5, 0, 1, "", "closed"),
			attemptSent(1200, 1, 2, eventlog.NoteDecode),
			attemptEnded(1300, 1, 2, "OK", "status"), answered(1301, "deduplicated", "OK"),
		}, 2},
		{"deduplicated, rejected though it may have run in one zone", []eventlog.Entry{
			requestSent("zone"),
			attemptSent(1, 0, 1, eventlog.NoteDecode),
			attemptEnded(5, 0, 1, "", "closed"),
			answered(10, "zone", "Unavailable"),
		}, 2},
		{"sent to a server that drains", []eventlog.Entry{
			notified(0, 0, "HEALTH_DRAINING"),
			attemptSent(600, 0, 1, eventlog.NotePrefill),
			attemptEnded(601, 0, 1, "OK", "status"),
		}, 3},
		{"sent within the drain grace", []eventlog.Entry{
			notified(0, 0, "HEALTH_DRAINING"),
			attemptSent(400, 0, 1, eventlog.NotePrefill),
			attemptEnded(401, 0, 1, "OK", "status"),
		}, 0},
		{"sent once it serves again", []eventlog.Entry{
			notified(0, 0, "HEALTH_GONE"), notified(500, 0, "HEALTH_SERVING"),
			attemptSent(600, 0, 1, eventlog.NotePrefill), attemptEnded(601, 0, 1, "OK", "status"),
		}, 0},
		{"another dispatcher was notified", []eventlog.Entry{
			notified(0, 1, "HEALTH_GONE"),
			attemptSent(600, 0, 1, eventlog.NotePrefill),
			attemptEnded(601, 0, 1, "OK", "status"),
		}, 0},
		{"a server overloaded during slow start", []eventlog.Entry{
			at(0, eventlog.Entry{Kind: eventlog.ServerOverloaded, Server: 1, Value: 9}),
		}, 4},
		{"held too long", []eventlog.Entry{
			attemptSent(0, 0, 1, eventlog.NotePrefill), stateHeld(), attemptEnded(10, 0, 1, "OK", "status"),
			stateReleased(700, "released"),
		}, 5},
		{"held while an attempt is in flight", []eventlog.Entry{
			attemptSent(0, 0, 1, eventlog.NotePrefill), stateHeld(), attemptEnded(10, 0, 1, "OK", "status"),
			attemptSent(20, 1, 2, eventlog.NoteDecode),
			attemptEnded(2000, 1, 2, "", "closed"),
			stateReleased(2100, "released"),
		}, 0},
		{"never released", []eventlog.Entry{
			attemptSent(0, 0, 1, eventlog.NotePrefill), stateHeld(), attemptEnded(10, 0, 1, "OK", "status"),
			at(2000, eventlog.Entry{Kind: eventlog.FaultChanged, Code: "end"}),
		}, 5},
		{"held at a partitioned server", []eventlog.Entry{
			attemptSent(0, 0, 1, eventlog.NotePrefill), stateHeld(), attemptEnded(10, 0, 1, "OK", "status"),
			faultChanged(20, eventlog.NotePartitioned), faultChanged(900, eventlog.NoteReconnected),
			stateReleased(950, "ran out"),
		}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			got := Check(c.entries, testLimits)
			if c.want == 0 && len(got) > 0 {
				t.Errorf("violations %v, want none", got)
			}
			if c.want > 0 && (len(got) == 0 || got[0].Rule != c.want) {
				t.Errorf("violations %v, want one of rule %v", got, c.want)
			}
		})
	}
}
