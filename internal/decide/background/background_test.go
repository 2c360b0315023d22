package background

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const sec = Nanos(1e9)

// TestFills: while nobody waits it grows until the fleet has no place left, and stays near there.
func TestFills(t *testing.T) {
	s := New(sec)
	const fits = 40
	running, now, refused, full := 0, Nanos(0), 0, 0
	for range 4000 {
		now += sec / 50
		for s.CanAdmit(now) {
			s.RecordAdmitted()
			if running >= fits {
				s.RecordFinished(now, false, false)
				refused++
				break
			}
			s.RecordStarted()
			running++
		}
		if running > 0 { // each runs for some time
			s.RecordFinished(now, true, true)
			running--
		}
		if running >= fits*3/4 {
			full++
		}
	}
	if full < 1000 || refused > 100 {
		t.Errorf("of 4,000 moments the fleet was three quarters full in %d, and %d jobs found no place", full, refused)
	}
}

// TestShortJobs: requests that are over with their first token are few at once; the allowance grows all the same while more
// would go in, and not while none would.
func TestShortJobs(t *testing.T) {
	s := New(sec)
	for range 100 {
		for s.CanAdmit(0) {
			s.RecordAdmitted()
		}
		for s.InFlight() > 0 {
			s.RecordFinished(0, true, true)
			s.starting = min(s.starting, s.InFlight())
		}
	}
	was := s.Limit()
	if was < 8 {
		t.Errorf("after a hundred rounds %v are allowed", was)
	}
	for range 100 {
		if !s.CanAdmit(0) {
			t.Fatal("one may not go in")
		}
		s.RecordAdmitted()
		s.RecordStarted()
		s.RecordFinished(0, true, true)
	}
	if s.Limit() > was+1 {
		t.Errorf("one at a time brought it from %v to %v", was, s.Limit())
	}
}

// TestYields: at a sign that others wait half goes, at a strong one nothing is let in for a time; signs that come
// together count once.
func TestYields(t *testing.T) {
	s := New(sec)
	for range 200 {
		s.RecordAdmitted()
		s.RecordStarted()
		s.RecordFinished(0, true, true)
		s.limit = max(s.limit, 32)
	}
	was := s.Limit()
	for range 8 {
		s.RecordAdmitted()
	}
	now := 10 * sec
	for range 10 {
		s.ObserveQueueWait(now, sec/10)
	}
	if got := s.Limit(); got != was/2 {
		t.Errorf("after ten signs at once %v of %v are allowed, want half", got, was)
	}
	s.ObserveQueueWait(now+sec, sec/100)
	s.ObserveFirstToken(now+sec, sec/10, sec)
	if got := s.Limit(); got != was/2 {
		t.Errorf("after no sign %v", got)
	}
	s.ObserveFirstToken(now+sec, sec*4/10, sec)
	if got := s.Limit(); got != was/4 {
		t.Errorf("after a late first token %v are allowed", got)
	}
	s.ObserveRejection(now + 2*sec)
	if s.CanAdmit(now + 3*sec) {
		t.Error("one is let in though others were refused")
	}
	if at, ok := s.PausedUntil(now + 3*sec); !ok || at != now+4*sec {
		t.Errorf("it goes on at %d, %v", at, ok)
	}
}

// TestAccount: whatever is told in whatever order, the account stays within its bounds and one request may go in after a
// quiet time.
func TestAccount(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		s, now, out, began := New(sec), Nanos(0), 0, 0
		for range 300 {
			now += rng.Int64N(sec / 10)
			switch rng.IntN(6) {
			case 0, 1:
				if s.CanAdmit(now) {
					s.RecordAdmitted()
					out++
				}
			case 2:
				if out > began {
					s.RecordStarted()
					began++
				}
			case 3:
				if out > 0 {
					wasBegun := began > 0
					if wasBegun {
						began--
					}
					out--
					s.RecordFinished(now, wasBegun, rng.IntN(3) > 0)
				}
			case 4:
				s.ObserveQueueWait(now, rng.Int64N(sec))
			case 5:
				s.ObserveFirstToken(now, rng.Int64N(sec), sec)
			}
			if s.InFlight() != out || s.starting != out-began || s.Limit() < 1 {
				rt.Fatalf("%d out, %d starting, %v allowed; want %d and %d", s.InFlight(), s.starting, s.Limit(), out, out-began)
			}
		}
		for range out {
			s.RecordFinished(now, began > 0, true)
			began--
		}
		if !s.CanAdmit(now + 10*sec) {
			rt.Fatal("after a quiet time none may go in")
		}
	})
}
