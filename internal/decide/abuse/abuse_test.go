package abuse

import "testing"

// TestAllowances checks that each event has a burst of its own, and that its bucket refills.
func TestAllowances(t *testing.T) {
	for event := range eventCount {
		var l Limiter
		n := 0
		for l.Allow(1, event) && n < 1e6 {
			n++
		}
		if float64(n) != allowances[event].burst {
			t.Errorf("%v: %d allowed at once, want %v", event, n, allowances[event].burst)
		}
		for other := range eventCount {
			if other != event && !l.Allow(1, other) {
				t.Errorf("%v refused because of %v", other, event)
			}
		}
		if !l.Allow(int64(1e9*(3+1/allowances[event].perSecond)), event) {
			t.Errorf("%v: still refused after the bucket has refilled", event)
		}
	}
}

// TestSteadyRate checks that a peer at three quarters of an event's rate is always allowed, and one at one and a half
// times the rate is not.
func TestSteadyRate(t *testing.T) {
	for event := range eventCount {
		for _, rateFactor := range []float64{0.75, 1.5} {
			var l Limiter
			allowed := true
			for i := 1; i < 20000 && allowed; i++ {
				allowed = l.Allow(int64(float64(i)*1e9/(rateFactor*allowances[event].perSecond)), event)
			}
			if allowed != (rateFactor < 1) {
				t.Errorf("%v at %v times the rate: allowed %v", event, rateFactor, allowed)
			}
		}
	}
}

// TestClockBackwards checks that no tokens are added while the clock runs backwards.
func TestClockBackwards(t *testing.T) {
	var l Limiter
	l.Allow(1e12, Ping)
	for i := range 100 {
		if !l.Allow(int64(1e12)-int64(i)*1e9, Ping) {
			return
		}
	}
	t.Error("100 PINGs allowed while the clock ran backwards")
}

// TestClosedStreamResets checks that a thousand requests that end at once may all be reset while the ends of their
// responses are in transit, and that further resets of closed streams are limited.
func TestClosedStreamResets(t *testing.T) {
	var l Limiter
	for range 1000 {
		l.AddCredit()
	}
	for range 1000 {
		if !l.Allow(1, ClosedStreamReset) {
			t.Fatal("a reset of a stream that ended together with others is refused")
		}
	}
	n := 0
	for l.Allow(1, ClosedStreamReset) {
		if n++; n > 250 {
			t.Fatal("resets of closed streams are not limited")
		}
	}
}
