package streamwatch

import (
	"testing"

	"pgregory.net/rapid"
)

const ms = int64(1e6)

func TestCheck(t *testing.T) {
	stream := Stream{
		FirstTokenAt: 1000 * ms, LastTokenAt: 2000 * ms, TargetTokenGap: 50 * ms, FirstTokenTarget: 1000 * ms,
	}
	blocked, shortGaps, withDeadline, oneToken := stream, stream, stream, stream
	blocked.ClientBlocked = true
	shortGaps.TargetTokenGap = ms
	withDeadline.CallDeadline, withDeadline.AnswerLeadTime = 2510*ms, 20*ms
	oneToken.LastTokenAt = 0

	const limit = maxSilenceGaps * 50 * ms
	for _, c := range []struct {
		name       string
		now        int64
		stream     Stream
		want       Verdict
		checkAgain int64
	}{
		{"tokens come", 2100 * ms, stream, Continue, 2000*ms + limit},
		{"slow, not silent", 2000*ms + limit - 1, stream, Continue, 2000*ms + limit},
		{"silent", 2000*ms + limit, stream, ServerSilent, 0},
		{"short gaps: one first-token target at least", 2900 * ms, shortGaps, Continue, 3000 * ms},
		{
			"client blocked: not the server's fault", 2000*ms + limit, blocked,
			Continue, 2000*ms + clientStallFactor*limit,
		},
		{"client blocked for long", 2000*ms + clientStallFactor*limit, blocked, ClientNotReading, 0},
		{"deadline near", 2500 * ms, withDeadline, DeadlineReached, 0},
		{"checked again before the deadline", 2100 * ms, withDeadline, Continue, 2490 * ms},
		{"no token but the first", 1100 * ms, oneToken, Continue, 1000*ms + limit},
	} {
		if got, checkAgain := Check(c.now, c.stream); got != c.want || checkAgain != c.checkAgain {
			t.Errorf("%s: %v, again at %d ms, want %v at %d ms", c.name, got, checkAgain/ms, c.want, c.checkAgain/ms)
		}
	}
}

// TestSilentStreamEnds: a caller that checks when told to never waits beyond the client's deadline, and a silent stream
// ends.
func TestSilentStreamEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Stream{
			FirstTokenAt: 1, LastTokenAt: 1, AnswerLeadTime: 1000,
			TargetTokenGap:   rapid.Int64Range(1, 1e9).Draw(t, "gap"),
			FirstTokenTarget: rapid.Int64Range(1, 1e10).Draw(t, "first-token target"),
			ClientBlocked:    rapid.Bool().Draw(t, "client blocked"),
		}
		if rapid.Bool().Draw(t, "has deadline") {
			s.CallDeadline = rapid.Int64Range(1, 1e12).Draw(t, "deadline")
		}
		now := int64(1)
		for range 10 {
			verdict, checkAgain := Check(now, s)
			if verdict != Continue {
				if s.CallDeadline > 0 && now > max(s.CallDeadline-s.AnswerLeadTime, 1) {
					t.Fatalf("checked at %d, the deadline was %d", now, s.CallDeadline)
				}
				return
			}
			if checkAgain <= now {
				t.Fatalf("again at %d, not after %d", checkAgain, now)
			}
			now = checkAgain
		}
		t.Fatal("a stream without tokens goes on for ever")
	})
}
