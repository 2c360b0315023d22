package invariants

import (
	"testing"
	"time"

	"docksail/internal/lab/eventlog"
	"docksail/policy"
)

const ms = int64(1e6)

var facts = Limits{
	Classes: map[string]Class{
		"r": {Idempotency: policy.Idempotent}, "i": {Idempotency: policy.NonIdempotent},
		"z": {Idempotency: policy.Deduplicated, DedupScope: policy.DedupScopeZone, DedupWindow: time.Second}, "l": {Idempotency: policy.Deduplicated, DedupWindow: time.Second},
	},
	Servers:     map[int]Server{1: {"a", "a1"}, 2: {"a", "a2"}, 3: {"b", "b1"}, 4: {"a", "a1"}},
	ReleaseTime: 500 * time.Millisecond, DrainGrace: 500 * time.Millisecond, Tolerance: 50 * time.Millisecond,
}

// at spells an entry; times in milliseconds.
func at(t int64, e eventlog.Entry) eventlog.Entry {
	e.At = 1e12 + t*ms
	if e.Deadline != 0 {
		e.Deadline = 1e12 + e.Deadline*ms
	}
	return e
}

func sent(t int64, number, server int, what string) eventlog.Entry {
	return at(t, eventlog.Entry{Kind: eventlog.AttemptSent, Request: "j", Attempt: number, Server: server, Note: what})
}

func ended(t int64, number, server int, code, note string) eventlog.Entry {
	return at(t, eventlog.Entry{Kind: eventlog.AttemptEnded, Request: "j", Attempt: number, Server: server, Code: code, Note: note})
}

func asked(class string) eventlog.Entry {
	return at(0, eventlog.Entry{Kind: eventlog.RequestSent, RequestLabel: "x", Class: class, Deadline: 5000})
}

func final(t int64, class, code string) eventlog.Entry {
	return at(t, eventlog.Entry{Kind: eventlog.RequestAnswered, RequestLabel: "x", Class: class, Code: code, Request: "j", Deadline: 5000})
}

func TestCheck(t *testing.T) {
	for _, c := range []struct {
		name string
		es   []eventlog.Entry
		want int // rule; 0 = none
	}{
		{"an ordinary request", []eventlog.Entry{
			asked("i"), sent(1, 0, 1, "read"), ended(2, 0, 1, "OK", "status"), sent(3, 1, 2, "write"),
			ended(9, 1, 2, "OK", "status"), final(10, "i", "OK"),
		}, 0},
		{"never ended", []eventlog.Entry{asked("r")}, 1},
		{"ended twice", []eventlog.Entry{asked("r"), final(5, "r", "OK"), final(6, "r", "Unavailable")}, 1},
		{"ended with no word of ours", []eventlog.Entry{asked("r"), final(5, "r", "Internal")}, 1},
		{"rejected too late", []eventlog.Entry{asked("r"), final(5100, "r", "Unavailable")}, 1},
		{"rejected at the last moment", []eventlog.Entry{asked("r"), final(5000, "r", "Unavailable")}, 0},
		{"unanswered", []eventlog.Entry{asked("r"), at(9, eventlog.Entry{Kind: eventlog.RequestUnanswered, RequestLabel: "x", Code: "DeadlineExceeded"})}, 1},
		{"unanswered, as its dispatcher was killed", []eventlog.Entry{
			asked("r"), at(8, eventlog.Entry{Kind: eventlog.DispatcherStopped}),
			at(9, eventlog.Entry{Kind: eventlog.RequestUnanswered, RequestLabel: "x", Code: "lost"}),
		}, 0},
		{"sent after its end", []eventlog.Entry{asked("r"), final(5, "r", "Unavailable"), sent(100, 0, 1, "read")}, 1},
		{"an answer nobody asked for", []eventlog.Entry{final(5, "r", "OK")}, 1},
		{"two attempts out", []eventlog.Entry{sent(1, 0, 1, "read"), sent(200, 1, 2, "read")}, 2},
		{"an attempt that crosses with the end of the one before", []eventlog.Entry{sent(1, 0, 1, "read"), sent(100, 1, 2, "read"), ended(120, 0, 1, "", "reset by the dispatcher")}, 0},
		{"non-idempotent, sent again after it may have run", []eventlog.Entry{
			asked("i"), sent(1, 0, 1, "write"), ended(5, 0, 1, "", "closed"),
			sent(6, 1, 2, "write"), ended(9, 1, 2, "OK", "status"), final(10, "i", "OK"),
		}, 2},
		{"non-idempotent, sent again after it was turned away", []eventlog.Entry{
			asked("i"), sent(1, 0, 1, "write"), ended(5, 0, 1, "ResourceExhausted", "status"),
			sent(6, 1, 2, "write"), ended(9, 1, 2, "OK", "status"), final(10, "i", "OK"),
		}, 0},
		{"non-idempotent, sent again after its stream was refused", []eventlog.Entry{
			asked("i"), sent(1, 0, 1, "write"), ended(5, 0, 1, "", "refused"),
			sent(6, 1, 2, "write"), ended(9, 1, 2, "OK", "status"), final(10, "i", "OK"),
		}, 0},
		{"non-idempotent, rejected though it may have run", []eventlog.Entry{asked("i"), sent(1, 0, 1, "write"), ended(5, 0, 1, "Internal", "status"), final(10, "i", "Unavailable")}, 2},
		{"non-idempotent, failed as it may have run", []eventlog.Entry{asked("i"), sent(1, 0, 1, "write"), ended(5, 0, 1, "Internal", "status"), final(10, "i", "Aborted")}, 0},
		{"non-idempotent, ran twice over two tries", []eventlog.Entry{at(1, eventlog.Entry{Kind: eventlog.AnswerStarted, RequestLabel: "x", Class: "i", Server: 1}), at(2, eventlog.Entry{Kind: eventlog.AnswerStarted, RequestLabel: "x", Class: "i", Server: 2})}, 2},
		{"deduplicated, sent to another zone", []eventlog.Entry{
			asked("z"), sent(1, 0, 1, "write"), ended(5, 0, 1, "", "closed"), sent(6, 1, 3, "write"),
			ended(9, 1, 3, "OK", "status"), final(10, "z", "OK"),
		}, 2},
		{"deduplicated, sent within its zone", []eventlog.Entry{
			asked("z"), sent(1, 0, 1, "write"), ended(5, 0, 1, "", "closed"), sent(6, 1, 2, "write"),
			ended(9, 1, 2, "OK", "status"), final(10, "z", "OK"),
		}, 0},
		{"deduplicated, sent after its window", []eventlog.Entry{
			asked("l"), sent(1, 0, 1, "write"), ended(5, 0, 1, "", "closed"), sent(1200, 1, 2, "write"),
			ended(1300, 1, 2, "OK", "status"), final(1301, "l", "OK"),
		}, 2},
		{"deduplicated, rejected though it may have run in one zone", []eventlog.Entry{asked("z"), sent(1, 0, 1, "write"), ended(5, 0, 1, "", "closed"), final(10, "z", "Unavailable")}, 2},
		{"sent to a server that drains", []eventlog.Entry{at(0, eventlog.Entry{Kind: eventlog.EndpointNotified, Server: 1, Note: "HEALTH_DRAINING"}), sent(600, 0, 1, "read"), ended(601, 0, 1, "OK", "status")}, 3},
		{"sent within the grace", []eventlog.Entry{at(0, eventlog.Entry{Kind: eventlog.EndpointNotified, Server: 1, Note: "HEALTH_DRAINING"}), sent(400, 0, 1, "read"), ended(401, 0, 1, "OK", "status")}, 0},
		{"sent once it serves again", []eventlog.Entry{
			at(0, eventlog.Entry{Kind: eventlog.EndpointNotified, Server: 1, Note: "HEALTH_GONE"}), at(500, eventlog.Entry{Kind: eventlog.EndpointNotified, Server: 1, Note: "HEALTH_SERVING"}),
			sent(600, 0, 1, "read"), ended(601, 0, 1, "OK", "status"),
		}, 0},
		{"another dispatcher was told", []eventlog.Entry{at(0, eventlog.Entry{Kind: eventlog.EndpointNotified, Server: 1, Dispatcher: 1, Note: "HEALTH_GONE"}), sent(600, 0, 1, "read"), ended(601, 0, 1, "OK", "status")}, 0},
		{"a cold server fell over", []eventlog.Entry{at(0, eventlog.Entry{Kind: eventlog.ServerOverloaded, Server: 1, Value: 9})}, 4},
		{"held too long", []eventlog.Entry{
			sent(0, 0, 1, "read"), at(10, eventlog.Entry{Kind: eventlog.StateHeld, Request: "j", Server: 1}), ended(10, 0, 1, "OK", "status"),
			at(700, eventlog.Entry{Kind: eventlog.StateReleased, Request: "j", Server: 1, Note: "released"}),
		}, 5},
		{"held while an attempt is out", []eventlog.Entry{
			sent(0, 0, 1, "read"), at(10, eventlog.Entry{Kind: eventlog.StateHeld, Request: "j", Server: 1}), ended(10, 0, 1, "OK", "status"),
			sent(20, 1, 2, "write"), ended(2000, 1, 2, "", "closed"), at(2100, eventlog.Entry{Kind: eventlog.StateReleased, Request: "j", Server: 1, Note: "released"}),
		}, 0},
		{"never released", []eventlog.Entry{
			sent(0, 0, 1, "read"), at(10, eventlog.Entry{Kind: eventlog.StateHeld, Request: "j", Server: 1}), ended(10, 0, 1, "OK", "status"),
			at(2000, eventlog.Entry{Kind: eventlog.FaultChanged, Code: "end"}),
		}, 5},
		{"held at a server that could not be heard", []eventlog.Entry{
			sent(0, 0, 1, "read"), at(10, eventlog.Entry{Kind: eventlog.StateHeld, Request: "j", Server: 1}), ended(10, 0, 1, "OK", "status"),
			at(20, eventlog.Entry{Kind: eventlog.FaultChanged, Note: "cut", Server: 1}), at(900, eventlog.Entry{Kind: eventlog.FaultChanged, Note: "uncut", Server: 1}),
			at(950, eventlog.Entry{Kind: eventlog.StateReleased, Request: "j", Server: 1, Note: "ran out"}),
		}, 0},
	} {
		got := Check(c.es, facts)
		if c.want == 0 && len(got) > 0 {
			t.Errorf("%s: %v, want none", c.name, got)
		}
		if c.want > 0 && (len(got) == 0 || got[0].Rule != c.want) {
			t.Errorf("%s: %v, want rule %d", c.name, got, c.want)
		}
	}
}
