package abuse

import "testing"

func TestAllowances(t *testing.T) {
	for a := range eventCount {
		var g Limiter
		n := 0
		for ; g.Allow(1, a) && n < 1e6; n++ {
		}
		if float64(n) != burst[a] {
			t.Errorf("%v: %d at once, want %v", a, n, burst[a])
		}
		for b := range eventCount { // one kind's flood says nothing of another
			if b != a && !g.Allow(1, b) {
				t.Errorf("%v refused because of %v", b, a)
			}
		}
		if !g.Allow(int64(1e9*(3+1/perSecond[a])), a) {
			t.Errorf("%v: still refused when its allowance has filled", a)
		}
	}
}

// TestSteady: a peer at three quarters of the pace stays for ever, one at one and a half is sent away.
func TestSteady(t *testing.T) {
	for a := range eventCount {
		for _, pace := range []float64{0.75, 1.5} {
			var g Limiter
			stays := true
			for i := 1; i < 20000 && stays; i++ {
				stays = g.Allow(int64(float64(i)*1e9/(pace*perSecond[a])), a)
			}
			if stays != (pace < 1) {
				t.Errorf("%v at %v of the pace stays: %v", a, pace, stays)
			}
		}
	}
}

func TestClockBackwards(t *testing.T) {
	var g Limiter
	g.Allow(1e12, Ping)
	for i := range 100 {
		if !g.Allow(int64(1e12)-int64(i)*1e9, Ping) {
			return
		}
	}
	t.Error("a clock that runs backwards fills the allowance")
}

// TestCrossed: a thousand requests whose time is up in one instant may all be reset as their ends are under way; resets of
// streams that are over, beyond that, may not.
func TestCrossed(t *testing.T) {
	var g Limiter
	for range 1000 {
		g.AddCredit()
	}
	for range 1000 {
		if !g.Allow(1, ClosedStreamReset) {
			t.Fatal("a peer whose jobs ended together is sent away")
		}
	}
	n := 0
	for g.Allow(1, ClosedStreamReset) {
		if n++; n > 250 {
			t.Fatal("resets of streams that are over are not bounded")
		}
	}
}
