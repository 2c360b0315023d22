package streamwatch

import (
	"testing"

	"pgregory.net/rapid"
)

const ms = int64(1e6)

func TestJudge(t *testing.T) {
	s := Stream{FirstTokenAt: 1000 * ms, LastTokenAt: 2000 * ms, TargetTokenGap: 50 * ms, FirstTokenTarget: 1000 * ms}
	limit := silentGaps * 50 * ms
	for _, c := range []struct {
		name  string
		now   int64
		with  func(s *Stream)
		want  Verdict
		again int64
	}{
		{"runs", 2100 * ms, func(*Stream) {}, Continue, 2000*ms + limit},
		{"slow, not silent", 2000*ms + limit - 1, func(*Stream) {}, Continue, 2000*ms + limit},
		{"silent", 2000*ms + limit, func(*Stream) {}, ServerSilent, 0},
		{"short gaps: an expected time at least", 2900 * ms, func(s *Stream) { s.TargetTokenGap = ms }, Continue, 3000 * ms},
		{"the client does not read: not the writer's fault", 2000*ms + limit, func(s *Stream) { s.ClientBlocked = true }, Continue, 2000*ms + unreadTimes*limit},
		{"the client does not read for long", 2000*ms + unreadTimes*limit, func(s *Stream) { s.ClientBlocked = true }, ClientNotReading, 0},
		{"time nearly up", 2500 * ms, func(s *Stream) { s.CallDeadline, s.AnswerLeadTime = 2510*ms, 20*ms }, DeadlineReached, 0},
		{"looked at before time is up", 2100 * ms, func(s *Stream) { s.CallDeadline, s.AnswerLeadTime = 2510*ms, 20*ms }, Continue, 2490 * ms},
		{"no token but the first", 1100 * ms, func(s *Stream) { s.LastTokenAt = 0 }, Continue, 1000*ms + limit},
	} {
		s := s
		c.with(&s)
		if got, again := Check(c.now, s); got != c.want || again != c.again {
			t.Errorf("%s: %v, again at %d ms, want %v at %d ms", c.name, got, again/ms, c.want, c.again/ms)
		}
	}
}

// TestEnds: whoever judges when told to never waits beyond the client's time, and a silent stream ends.
func TestEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Stream{
			FirstTokenAt: 1, LastTokenAt: 1, TargetTokenGap: rapid.Int64Range(1, 1e9).Draw(t, "gap"), FirstTokenTarget: rapid.Int64Range(1, 1e10).Draw(t, "expected"),
			AnswerLeadTime: 1000, ClientBlocked: rapid.Bool().Draw(t, "unread"),
		}
		if rapid.Bool().Draw(t, "ends") {
			s.CallDeadline = rapid.Int64Range(1, 1e12).Draw(t, "at")
		}
		now := int64(1)
		for range 10 {
			v, again := Check(now, s)
			if v != Continue {
				if s.CallDeadline > 0 && now > max(s.CallDeadline-s.AnswerLeadTime, 1) {
					t.Fatalf("judged at %d, time was up at %d", now, s.CallDeadline)
				}
				return
			}
			if again <= now {
				t.Fatalf("again at %d, not after %d", again, now)
			}
			now = again
		}
		t.Fatal("a stream with no tokens goes on for ever")
	})
}
