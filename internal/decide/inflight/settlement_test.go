package inflight

import (
	"testing"

	"pgregory.net/rapid"
)

const (
	testRelease = int64(1000)
	testIdle    = int64(15000)
)

// hidden is an attempt given up, with what nobody here knows: when its server is done with it.
type hidden struct {
	givenUp, until, over int64
	watched, confirmed   bool
}

// Whatever servers do with attempts that were given up, as long as they work no longer than they were told or show the end: after each
// end a release is begun within the release time, and the settlement comes to its end.
func TestSettlementFollowsEveryEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var attempts []*hidden
		for range rapid.IntRange(1, 4).Draw(t, "attempts") {
			h := &hidden{givenUp: rapid.Int64Range(0, 3000).Draw(t, "at"), watched: rapid.Bool().Draw(t, "watched")}
			h.until = h.givenUp + rapid.Int64Range(0, 4000).Draw(t, "told")
			h.over = h.givenUp + rapid.Int64Range(0, h.until-h.givenUp).Draw(t, "over")
			if h.watched {
				h.over = h.givenUp + rapid.Int64Range(0, testIdle-2000).Draw(t, "hung")
			}
			attempts = append(attempts, h)
		}
		latency := rapid.Int64Range(1, 90).Draw(t, "latency")
		s := NewReleaseTracker(testRelease, testIdle)
		var begun []int64
		answerAt, answerOf := never, int64(0)
		ended := false
		for now := int64(0); now < 60000 && !ended; now++ {
			active := false
			for _, h := range attempts {
				if h.givenUp == now {
					s.AttemptAbandoned(now, h.until, h.watched)
					s.RequestRelease(now, now)
				}
				if h.watched && !h.confirmed && now >= h.givenUp && now == max(h.over, h.givenUp+1) {
					h.confirmed = true
					s.EndConfirmed(now)
				}
				active = active || h.givenUp >= now
			}
			if now == answerAt {
				s.ReleaseAccepted(answerOf)
				answerAt = never
			}
			if answerAt != never || !s.ReleaseRequested() {
				continue
			}
			switch action, at := s.NextAction(now, ReleaseAllowed, false); action {
			case ActionSend:
				begun = append(begun, now)
				answerAt, answerOf = now+latency, now
			case ActionWait:
				if at <= now {
					t.Fatalf("at %d it waits until %d", now, at)
				}
			case ActionDone:
				ended = !active
			case ActionExpire:
				t.Fatalf("expired at %d", now)
			}
		}
		if !ended {
			t.Fatal("it does not end")
		}
		for _, h := range attempts {
			found := false
			for _, at := range begun {
				found = found || at >= h.over && at <= h.over+testRelease
			}
			if !found {
				t.Fatalf("attempt %+v: releases at %v, want one within %d of its end", *h, begun, testRelease)
			}
		}
	})
}

// A release that no server takes is tried on, counts as lost once, and is given up in the end.
func TestSettlementWithoutServers(t *testing.T) {
	s := NewReleaseTracker(testRelease, testIdle)
	s.RequestRelease(0, 0)
	lost := 0
	for now := int64(0); now < 2*testIdle; now += 10 {
		if s.DetectLoss(now) {
			lost++
		}
		if action, _ := s.NextAction(now, ReleaseAllowed, false); action == ActionExpire {
			if lost != 1 || now < testIdle {
				t.Errorf("lost %d times, given up at %d", lost, now)
			}
			return
		}
	}
	t.Error("never given up")
}

// A release waits for the end of the attempt that was given up just before, not for long. One that was begun before the end was shown does not count.
func TestSettlementWaitsForTheEnd(t *testing.T) {
	s := NewReleaseTracker(testRelease, testIdle)
	s.AttemptAbandoned(0, 4000, true)
	s.RequestRelease(0, 0)
	if action, at := s.NextAction(0, ReleaseAllowed, false); action != ActionWait || at != s.ReleaseTimeout() {
		t.Errorf("%d until %d, want a wait of %d", action, at, s.ReleaseTimeout())
	}
	if action, _ := s.NextAction(s.ReleaseTimeout(), ReleaseAllowed, false); action != ActionSend {
		t.Error("the end is not shown in time: it goes all the same")
	}
	s.EndConfirmed(107)
	s.ReleaseAccepted(100)
	if action, _ := s.NextAction(108, ReleaseAllowed, false); action != ActionSend || !s.ReleasePending() {
		t.Error("the release passed before the end")
	}
	s.ReleaseAccepted(108)
	if action, _ := s.NextAction(109, ReleaseAllowed, false); action != ActionDone {
		t.Error("nothing is left")
	}
}

// While an attempt needs the state nothing is sent.
func TestSettlementBlocked(t *testing.T) {
	s := NewReleaseTracker(testRelease, testIdle)
	s.RequestRelease(0, 0)
	if action, at := s.NextAction(0, ReleaseForbidden, false); action != ActionWait || at <= 0 {
		t.Errorf("%d until %d, want a wait", action, at)
	}
	if action, _ := s.NextAction(300, ReleaseAllowed, false); action != ActionSend {
		t.Error("it may be sent now")
	}
	if held := s.HeldFor(300); held != 300 {
		t.Errorf("held for %d, want 300", held)
	}
}

// Beside a read that may be on its way an owed release waits, but not for longer than the clock of what is held allows; one that would be repeated, for what
// may be nothing, waits for its end.
func TestSettlementBesideARead(t *testing.T) {
	s := NewReleaseTracker(testRelease, testIdle)
	s.AttemptAbandoned(0, 6000, false)
	s.RequestRelease(0, 0)
	if action, at := s.NextAction(0, ReleaseIfUrgent, true); action != ActionWait || at != 100 {
		t.Errorf("%d until %d, want a wait of 100", action, at)
	}
	if action, at := s.NextAction(580, ReleaseIfUrgent, true); action != ActionWait || at != 600 {
		t.Errorf("%d until %d, want a wait until 600", action, at)
	}
	if action, _ := s.NextAction(600, ReleaseIfUrgent, true); action != ActionSend {
		t.Error("the clock runs: it has to go")
	}
	s.ReleaseAccepted(600)
	if action, at := s.NextAction(601, ReleaseIfUrgent, true); action != ActionWait || at != 1400 {
		t.Errorf("%d until %d, want a wait until 1400", action, at)
	}
	if action, _ := s.NextAction(1400, ReleaseIfUrgent, true); action != ActionWait {
		t.Error("a repeat beside a read")
	}
	if action, _ := s.NextAction(1500, ReleaseAllowed, false); action != ActionSend {
		t.Error("the read is over: a repeat is due")
	}
}

// What an attempt may keep is watched also where nothing is to be released yet; it ends by itself.
func TestSettlementUnwanted(t *testing.T) {
	s := NewReleaseTracker(testRelease, testIdle)
	s.AttemptAbandoned(0, 3000, false)
	if action, at := s.NextAction(0, ReleaseAllowed, false); action != ActionWait || at != 3000 {
		t.Errorf("%d until %d, want a wait until 3000", action, at)
	}
	s.RequestRelease(100, 0)
	if action, _ := s.NextAction(100, ReleaseAllowed, false); action != ActionSend {
		t.Error("a release is wanted")
	}
	s.ReleaseAccepted(100)
	if action, at := s.NextAction(101, ReleaseAllowed, false); action != ActionWait || at != 900 {
		t.Errorf("%d until %d: the server may work on it until 3000", action, at)
	}
	if s.RoundTimeout(0) != 100 || s.RoundTimeout(99) != 800 {
		t.Error("rounds follow at a tenth of the release time, later at eight tenths of it")
	}
	if ParallelReleases(0) != 1 || ParallelReleases(1) != 2 || ParallelReleases(9) != mostParallel || !CanAddTracker(0) || CanAddTracker(mostSettlements) {
		t.Error("bounds")
	}
}

// A release that was sent while an attempt was out is followed by another when that is over.
func TestSettlementBesideAnAttempt(t *testing.T) {
	s := NewReleaseTracker(testRelease, testIdle)
	s.RequestRelease(0, 0)
	if action, _ := s.NextAction(0, ReleaseAllowed, true); action != ActionSend {
		t.Error("it may be sent beside the attempt")
	}
	s.ReleaseStarted(true)
	s.ReleaseAccepted(0)
	for now := int64(10); now < 5000; now += 500 {
		if action, at := s.NextAction(now, ReleaseAllowed, true); action != ActionWait || at <= now || at > now+testRelease {
			t.Errorf("%d until %d, want a wait for the attempt's end", action, at)
		}
	}
	if action, _ := s.NextAction(5000, ReleaseAllowed, false); action != ActionSend {
		t.Error("the attempt is over: the state that it may have kept is to be released")
	}
	s.ReleaseStarted(false)
	s.ReleaseAccepted(5000)
	if action, _ := s.NextAction(5001, ReleaseAllowed, false); action != ActionDone {
		t.Error("nothing is left")
	}
}

// A reset shows a server's end only where it follows at once.
func TestShowsEnd(t *testing.T) {
	s := NewReleaseTracker(testRelease, testIdle)
	for name, c := range map[string]struct {
		after   int64
		orderly bool
		want    bool
	}{"orderly": {9000, true, true}, "reset at once": {100, false, true}, "reset later": {101, false, false}} {
		if got := s.ConfirmsEnd(500+c.after, 500, c.orderly); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
