package abuse

import "testing"

// TestAllowances checks that each event has its burst, that events do not share it, and that it refills.
func TestAllowances(t *testing.T) {
	for event := range eventCount {
		var l Limiter
		n := 0
		for l.Allow(1, event) && n < 1e6 {
			n++
		}
		if float64(n) != allowances[event].burst {
			t.Errorf("%v: %d at once, want %v", event, n, allowances[event].burst)
		}
		for other := range eventCount {
			if other != event && !l.Allow(1, other) {
				t.Errorf("%v refused because of %v", other, event)
			}
		}
		if !l.Allow(int64(1e9*(3+1/allowances[event].perSecond)), event) {
			t.Errorf("%v: still refused after the allowance has refilled", event)
		}
	}
}

// TestSteadyRate checks that a peer at three quarters of an event's rate is always allowed, and one at one and a half
// times the rate is not.
func TestSteadyRate(t *testing.T) {
	for event := range eventCount {
		for _, pace := range []float64{0.75, 1.5} {
			var l Limiter
			allowed := true
			for i := 1; i < 20000 && allowed; i++ {
				allowed = l.Allow(int64(float64(i)*1e9/(pace*allowances[event].perSecond)), event)
			}
			if allowed != (pace < 1) {
				t.Errorf("%v at %v of the rate: allowed %v", event, pace, allowed)
			}
		}
	}
}

// TestClockBackwards checks that a clock that runs backwards refills nothing.
func TestClockBackwards(t *testing.T) {
	var l Limiter
	l.Allow(1e12, Ping)
	for i := range 100 {
		if !l.Allow(int64(1e12)-int64(i)*1e9, Ping) {
			return
		}
	}
	t.Error("a clock that runs backwards refills the allowance")
}

// TestClosedStreamResets checks that a thousand requests that time out at once may all be reset while their ends are on
// the way, and that resets of closed streams beyond that are limited.
func TestClosedStreamResets(t *testing.T) {
	var l Limiter
	for range 1000 {
		l.AddCredit()
	}
	for range 1000 {
		if !l.Allow(1, ClosedStreamReset) {
			t.Fatal("a peer whose requests ended together is refused")
		}
	}
	n := 0
	for l.Allow(1, ClosedStreamReset) {
		if n++; n > 250 {
			t.Fatal("resets of closed streams are not limited")
		}
	}
}
