package pace

import (
	"testing"

	"pgregory.net/rapid"
)

const ms = int64(1e6)

func TestJudge(t *testing.T) {
	s := Stream{Begun: 1000 * ms, Last: 2000 * ms, Gap: 50 * ms, Expected: 1000 * ms}
	patience := silentGaps * 50 * ms
	for _, c := range []struct {
		name  string
		now   int64
		with  func(s *Stream)
		want  Verdict
		again int64
	}{
		{"runs", 2100 * ms, func(*Stream) {}, GoesOn, 2000*ms + patience},
		{"slow, not silent", 2000*ms + patience - 1, func(*Stream) {}, GoesOn, 2000*ms + patience},
		{"silent", 2000*ms + patience, func(*Stream) {}, Silent, 0},
		{"short gaps: an expected time at least", 2900 * ms, func(s *Stream) { s.Gap = ms }, GoesOn, 3000 * ms},
		{"the client does not read: not the writer's fault", 2000*ms + patience, func(s *Stream) { s.Unread = true }, GoesOn, 2000*ms + unreadTimes*patience},
		{"the client does not read for long", 2000*ms + unreadTimes*patience, func(s *Stream) { s.Unread = true }, Unread, 0},
		{"time nearly up", 2500 * ms, func(s *Stream) { s.Ends, s.Ahead = 2510*ms, 20*ms }, TimeOut, 0},
		{"looked at before time is up", 2100 * ms, func(s *Stream) { s.Ends, s.Ahead = 2510*ms, 20*ms }, GoesOn, 2490 * ms},
		{"no token but the first", 1100 * ms, func(s *Stream) { s.Last = 0 }, GoesOn, 1000*ms + patience},
	} {
		s := s
		c.with(&s)
		if got, again := Judge(c.now, s); got != c.want || again != c.again {
			t.Errorf("%s: %v, again at %d ms, want %v at %d ms", c.name, got, again/ms, c.want, c.again/ms)
		}
	}
}

// TestEnds: whoever judges when told to never waits beyond the client's time, and a silent stream ends.
func TestEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := Stream{Begun: 1, Last: 1, Gap: rapid.Int64Range(1, 1e9).Draw(t, "gap"), Expected: rapid.Int64Range(1, 1e10).Draw(t, "expected"),
			Ahead: 1000, Unread: rapid.Bool().Draw(t, "unread")}
		if rapid.Bool().Draw(t, "ends") {
			s.Ends = rapid.Int64Range(1, 1e12).Draw(t, "at")
		}
		now := int64(1)
		for range 10 {
			v, again := Judge(now, s)
			if v != GoesOn {
				if s.Ends > 0 && now > max(s.Ends-s.Ahead, 1) {
					t.Fatalf("judged at %d, time was up at %d", now, s.Ends)
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
