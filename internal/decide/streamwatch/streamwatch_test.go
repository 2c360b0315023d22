package streamwatch

import (
	"testing"

	"pgregory.net/rapid"
)

const ms = int64(1e6)

func TestCheck(t *testing.T) {
	stream := Stream{FirstTokenAt: 1000 * ms, LastTokenAt: 2000 * ms}
	blocked, impatient, withDeadline, oneToken := stream, stream, stream, stream
	blocked.ClientBlocked = true
	impatient.MaxSilence = 1000 * ms
	withDeadline.CallDeadline, withDeadline.AnswerLeadTime = 2510*ms, 20*ms
	oneToken.LastTokenAt = 0

	const limit = defaultMaxSilence
	const byteLimit = limit / byteSilenceDivisor
	byBytes, hanging, endless := stream, stream, stream
	byBytes.LastByteAt, hanging.LastByteAt = 2000*ms+limit-ms, 2000*ms+byteLimit
	endless.LastByteAt = 2000*ms + maxTokenFactor*limit - 1
	for _, c := range []struct {
		name       string
		now        int64
		stream     Stream
		want       Verdict
		checkAgain int64
	}{
		{"recent token", 2100 * ms, stream, Continue, 2000*ms + limit},
		{"just below the silence limit", 2000*ms + limit - 1, stream, Continue, 2000*ms + limit},
		{"at the silence limit", 2000*ms + limit, stream, ServerSilent, 0},
		{"what the client tolerates, less a margin", 2899 * ms, impatient, Continue, 2900 * ms},
		{"the client's tolerance is over", 2900 * ms, impatient, ServerSilent, 0},
		{
			"client blocked, within its limit", 2000*ms + limit, blocked,
			Continue, 2000*ms + clientStallFactor*limit,
		},
		{"client blocked, at its limit", 2000*ms + clientStallFactor*limit, blocked, ClientNotReading, 0},
		{"bytes of the next token", 2000*ms + limit, byBytes, Continue, 2000*ms + limit - ms + byteLimit},
		{"bytes of the next token, then silence", 2000*ms + limit - ms + byteLimit, byBytes, ServerSilent, 0},
		{"silence inside the next token", 2000*ms + limit, hanging, ServerSilent, 0},
		{"one token for too long", 2000*ms + maxTokenFactor*limit, endless, ServerSilent, 0},
		{"deadline near", 2500 * ms, withDeadline, DeadlineReached, 0},
		{"checked again before the deadline", 2100 * ms, withDeadline, Continue, 2490 * ms},
		{"first token only", 1100 * ms, oneToken, Continue, 1000*ms + limit},
	} {
		if got, checkAgain := Check(c.now, c.stream); got != c.want || checkAgain != c.checkAgain {
			t.Errorf("%s: %v, next check at %d ms, want %v, %d ms", c.name, got, checkAgain/ms, c.want, c.checkAgain/ms)
		}
	}
}

// TestSilentStreamEnds checks that a silent stream ends, and not later than the client's deadline, if it is checked at
// the returned times.
func TestSilentStreamEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Stream{
			FirstTokenAt: 1, LastTokenAt: 1, AnswerLeadTime: 1000,
			MaxSilence:    rapid.Int64Range(0, 1e10).Draw(t, "max silence"),
			ClientBlocked: rapid.Bool().Draw(t, "client blocked"),
		}
		if rapid.Bool().Draw(t, "has deadline") {
			s.CallDeadline = rapid.Int64Range(1, 1e12).Draw(t, "deadline")
		}
		now := int64(1)
		for range 10 {
			verdict, checkAgain := Check(now, s)
			if verdict != Continue {
				if s.CallDeadline > 0 && now > max(s.CallDeadline-s.AnswerLeadTime, 1) {
					t.Fatalf("ended at %d, too late for the deadline at %d", now, s.CallDeadline)
				}
				return
			}
			if checkAgain <= now {
				t.Fatalf("next check at %d, want it after %d", checkAgain, now)
			}
			now = checkAgain
		}
		t.Fatal("a stream without tokens does not end")
	})
}
