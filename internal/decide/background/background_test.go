package background

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"
)

const sec = Nanos(1e9)

var (
	served   = Outcome{Started: true, Served: true}
	rejected = Outcome{}
)

// TestLimitGrowsToCapacity checks that without interactive requests the limit grows to the fleet's capacity and stays
// near it.
func TestLimitGrowsToCapacity(t *testing.T) {
	l := New()
	const capacity = 40
	running, now, rejections, nearlyFull := 0, Nanos(0), 0, 0
	for range 4000 {
		now += sec / 50
		for l.CanAdmit(now) {
			l.RecordAdmitted()
			if running >= capacity {
				l.RecordFinished(now, rejected)
				rejections++
				break
			}
			l.RecordStarted()
			running++
		}
		if running > 0 { // one request ends in each step
			l.RecordFinished(now, served)
			running--
		}
		if running >= capacity*3/4 {
			nearlyFull++
		}
	}
	if nearlyFull < 1000 || rejections > 100 {
		t.Errorf("the fleet was three quarters full in %d of 4,000 steps, want 1,000; %d rejections, want at most 100",
			nearlyFull, rejections)
	}
}

// TestLimitGrowsOnlyInUse checks that the limit grows while it is reached, also by requests that end with their first
// token, and does not grow while fewer requests are in flight.
func TestLimitGrowsOnlyInUse(t *testing.T) {
	l := New()
	for range 100 {
		for l.CanAdmit(0) {
			l.RecordAdmitted()
		}
		for l.InFlight() > 0 {
			l.RecordFinished(0, served)
			l.starting = min(l.starting, l.InFlight())
		}
	}
	before := l.Limit()
	if before < 8 {
		t.Errorf("after 100 rounds at the limit it is %v, want 8 or more", before)
	}
	for range 100 {
		if !l.CanAdmit(0) {
			t.Fatal("a request is not admitted while none is in flight")
		}
		l.RecordAdmitted()
		l.RecordStarted()
		l.RecordFinished(0, served)
	}
	if l.Limit() > before+1 {
		t.Errorf("one request at a time raised the limit from %v to %v", before, l.Limit())
	}
}

// TestInteractiveLoadLowersLimit checks that a wait of interactive requests, or a first token that comes later than the
// work takes at idle servers, halves the limit, that a rejection pauses admission, and that simultaneous delays count
// once.
func TestInteractiveLoadLowersLimit(t *testing.T) {
	l := New()
	for range 200 {
		l.RecordAdmitted()
		l.RecordStarted()
		l.RecordFinished(0, served)
		l.limit = max(l.limit, 32)
	}
	before := l.Limit()
	for range 8 {
		l.RecordAdmitted()
	}
	now := 10 * sec
	for range 10 {
		l.ObserveQueueWait(now, sec/10)
	}
	if got := l.Limit(); got != before/2 {
		t.Errorf("after ten simultaneous long waits the limit is %v, want half of %v", got, before)
	}
	l.ObserveQueueWait(now+sec, sec/100)
	l.ObserveFirstToken(now+sec, sec/10, sec*3/10)
	l.ObserveFirstToken(now+sec, sec, 0) // how long it takes is unknown
	if got := l.Limit(); got != before/2 {
		t.Errorf("after a short wait and an early first token the limit is %v, want %v", got, before/2)
	}
	l.ObserveFirstToken(now+sec, sec*4/10, sec*3/10)
	if got := l.Limit(); got != before/4 {
		t.Errorf("after a late first token the limit is %v, want %v", got, before/4)
	}
	l.ObserveRejection(now + 2*sec)
	if l.CanAdmit(now + 3*sec) {
		t.Error("a request is admitted though interactive ones were rejected")
	}
	if end, paused := l.PausedUntil(now + 3*sec); !paused || end != now+4*sec {
		t.Errorf("paused until %d (%v), want %d", end, paused, now+4*sec)
	}
}

// TestCountsStayInBounds checks that the counts are right under random operations, and that a request is admitted
// after a time without operations.
func TestCountsStayInBounds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		l, now, inFlight, started := New(), Nanos(0), 0, 0
		for range 300 {
			now += rng.Int64N(sec / 10)
			switch rng.IntN(6) {
			case 0, 1:
				if l.CanAdmit(now) {
					l.RecordAdmitted()
					inFlight++
				}
			case 2:
				if inFlight > started {
					l.RecordStarted()
					started++
				}
			case 3:
				if inFlight > 0 {
					wasStarted := started > 0
					if wasStarted {
						started--
					}
					inFlight--
					l.RecordFinished(now, Outcome{Started: wasStarted, Served: rng.IntN(3) > 0})
				}
			case 4:
				l.ObserveQueueWait(now, rng.Int64N(sec))
			case 5:
				l.ObserveFirstToken(now, rng.Int64N(sec), sec*3/10)
			}
			if l.InFlight() != inFlight || l.starting != inFlight-started || l.Limit() < 1 {
				rt.Fatalf("%d in flight, %d starting, limit %v; want %d, %d and at least 1",
					l.InFlight(), l.starting, l.Limit(), inFlight, inFlight-started)
			}
		}
		for range inFlight {
			l.RecordFinished(now, Outcome{Started: started > 0, Served: true})
			started--
		}
		if !l.CanAdmit(now + 10*sec) {
			rt.Fatal("no request is admitted 10 s after the last operation")
		}
	})
}
