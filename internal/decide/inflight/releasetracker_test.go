package inflight

import (
	"testing"

	"pgregory.net/rapid"
)

const (
	testReleaseTime = int64(1000)
	testIdleTimeout = int64(15000)
)

// newTestTracker returns a tracker with the times of these tests.
func newTestTracker() ReleaseTracker { return NewReleaseTracker(testReleaseTime, testIdleTimeout) }

// wantAction fails unless NextAction returns the action where a release is allowed and no attempt is outstanding.
func wantAction(t *testing.T, tracker *ReleaseTracker, now int64, want TrackerAction, why string) {
	t.Helper()
	if got, at := tracker.NextAction(now, ReleaseAllowed, false); got != want {
		t.Errorf("at %d: action %d until %d, want action %d: %s", now, got, at, want, why)
	}
}

// wantWait fails unless NextAction returns a wait until that time in the same case.
func wantWait(t *testing.T, tracker *ReleaseTracker, now, until int64, why string) {
	t.Helper()
	if got, at := tracker.NextAction(now, ReleaseAllowed, false); got != ActionWait || at != until {
		t.Errorf("at %d: action %d until %d, want a wait until %d: %s", now, got, at, until, why)
	}
}

// abandonedAttempt is an attempt that was abandoned, with what the tracker cannot know: when its server ends it.
type abandonedAttempt struct {
	abandonedAt, runUntil, endsAt int64
	watched, confirmed            bool
}

// drawAbandonedAttempt draws an attempt whose server runs it no longer than it was told, or shows its end.
func drawAbandonedAttempt(t *rapid.T) *abandonedAttempt {
	a := &abandonedAttempt{
		abandonedAt: rapid.Int64Range(0, 3000).Draw(t, "abandoned at"),
		watched:     rapid.Bool().Draw(t, "watched"),
	}
	a.runUntil = a.abandonedAt + rapid.Int64Range(0, 4000).Draw(t, "may run for")
	a.endsAt = a.abandonedAt + rapid.Int64Range(0, a.runUntil-a.abandonedAt).Draw(t, "runs for")
	if a.watched {
		a.endsAt = a.abandonedAt + rapid.Int64Range(0, testIdleTimeout-2000).Draw(t, "hangs for")
	}
	return a
}

// tell tells the tracker what becomes known of the attempt at this time.
func (a *abandonedAttempt) tell(tracker *ReleaseTracker, now int64) {
	if a.abandonedAt == now {
		if a.watched {
			tracker.WatchedAttemptAbandoned(now, a.runUntil)
		} else {
			tracker.AttemptAbandoned(now, a.runUntil)
		}
		tracker.RequestRelease(now, now)
	}
	if a.watched && !a.confirmed && now >= a.abandonedAt && now == max(a.endsAt, a.abandonedAt+1) {
		a.confirmed = true
		tracker.EndConfirmed(now)
	}
}

// TestTrackerFollowsEveryEnd: whatever servers do with abandoned attempts, as long as they run them no longer than they
// were told or show the end, a release is begun within the release time after each end, and the tracker ends.
func TestTrackerFollowsEveryEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var attempts []*abandonedAttempt
		for range rapid.IntRange(1, 4).Draw(t, "attempts") {
			attempts = append(attempts, drawAbandonedAttempt(t))
		}
		latency := rapid.Int64Range(1, 90).Draw(t, "latency")
		tracker := newTestTracker()
		var begun []int64
		answerAt, answerOf := never, int64(0)
		ended := false
		for now := int64(0); now < 60000 && !ended; now++ {
			active := false
			for _, a := range attempts {
				a.tell(&tracker, now)
				active = active || a.abandonedAt >= now
			}
			if now == answerAt {
				tracker.ReleaseAccepted(answerOf)
				answerAt = never
			}
			if answerAt != never || !tracker.ReleaseRequested() {
				continue
			}
			switch action, at := tracker.NextAction(now, ReleaseAllowed, false); action {
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
			t.Fatal("the tracker does not end")
		}
		for _, a := range attempts {
			found := false
			for _, at := range begun {
				found = found || at >= a.endsAt && at <= a.endsAt+testReleaseTime
			}
			if !found {
				t.Fatalf("attempt %+v: releases at %v, want one within %d of its end", *a, begun, testReleaseTime)
			}
		}
	})
}

// TestTrackerWithoutServers: a release that no server accepts is tried on, is reported as lost once, and expires.
func TestTrackerWithoutServers(t *testing.T) {
	tracker := newTestTracker()
	tracker.RequestRelease(0, 0)
	losses := 0
	for now := int64(0); now < 2*testIdleTimeout; now += 10 {
		if tracker.DetectLoss(now) {
			losses++
		}
		if action, _ := tracker.NextAction(now, ReleaseAllowed, false); action == ActionExpire {
			if losses != 1 || now < testIdleTimeout {
				t.Errorf("reported as lost %d times, expired at %d", losses, now)
			}
			return
		}
	}
	t.Error("the tracker does not expire")
}

// TestTrackerWaitsForConfirmation: a release waits for the end of the attempt that was abandoned just before, not for
// long. One that was begun before the end was shown does not count.
func TestTrackerWaitsForConfirmation(t *testing.T) {
	tracker := newTestTracker()
	tracker.WatchedAttemptAbandoned(0, 4000)
	tracker.RequestRelease(0, 0)
	wantWait(t, &tracker, 0, tracker.ReleaseTimeout(), "the attempt's end may show")
	wantAction(t, &tracker, tracker.ReleaseTimeout(), ActionSend, "the end has not shown in time")
	tracker.EndConfirmed(107)
	tracker.ReleaseAccepted(100)
	wantAction(t, &tracker, 108, ActionSend, "the accepted release was begun before the end")
	if !tracker.ReleasePending() {
		t.Error("the accepted release was begun before the end: one is still pending")
	}
	tracker.ReleaseAccepted(108)
	wantAction(t, &tracker, 109, ActionDone, "nothing is left")
}

// TestTrackerForbidden: nothing is sent while an attempt needs the state.
func TestTrackerForbidden(t *testing.T) {
	tracker := newTestTracker()
	tracker.RequestRelease(0, 0)
	if action, at := tracker.NextAction(0, ReleaseForbidden, false); action != ActionWait || at <= 0 {
		t.Errorf("action %d until %d, want a wait", action, at)
	}
	wantAction(t, &tracker, 300, ActionSend, "it is allowed now")
	if held := tracker.HeldFor(300); held != 300 {
		t.Errorf("held for %d, want 300", held)
	}
}

// TestTrackerBesidePrefill: beside a prefill attempt that may be on its way a pending release waits, but not for longer
// than held state may wait; a repeat, which may be needless, waits for the attempt's end.
func TestTrackerBesidePrefill(t *testing.T) {
	tracker := newTestTracker()
	tracker.AttemptAbandoned(0, 6000)
	tracker.RequestRelease(0, 0)
	for _, c := range []struct{ now, until int64 }{{0, 100}, {580, 600}} {
		if action, at := tracker.NextAction(c.now, ReleaseIfUrgent, true); action != ActionWait || at != c.until {
			t.Errorf("action %d until %d, want a wait until %d", action, at, c.until)
		}
	}
	if action, _ := tracker.NextAction(600, ReleaseIfUrgent, true); action != ActionSend {
		t.Error("state is held for too long: the release must be sent")
	}
	tracker.ReleaseAccepted(600)
	if action, at := tracker.NextAction(601, ReleaseIfUrgent, true); action != ActionWait || at != 1400 {
		t.Errorf("action %d until %d, want a wait until 1400", action, at)
	}
	if action, _ := tracker.NextAction(1400, ReleaseIfUrgent, true); action != ActionWait {
		t.Error("a repeat beside a prefill attempt")
	}
	wantAction(t, &tracker, 1500, ActionSend, "the prefill attempt is over: a repeat is due")
}

// TestTrackerUnrequested: abandoned attempts are followed also where nothing is to be released yet, and the tracker
// ends by itself.
func TestTrackerUnrequested(t *testing.T) {
	tracker := newTestTracker()
	tracker.AttemptAbandoned(0, 3000)
	wantWait(t, &tracker, 0, 3000, "the server may run it until then")
	tracker.RequestRelease(100, 0)
	wantAction(t, &tracker, 100, ActionSend, "a release is requested")
	tracker.ReleaseAccepted(100)
	wantWait(t, &tracker, 101, 900, "the server may run it until 3000")
}

// TestReleaseBounds: rounds follow at a tenth of the release time, later at eight tenths of it, and all is bounded.
func TestReleaseBounds(t *testing.T) {
	tracker := newTestTracker()
	if first, last := tracker.RoundTimeout(0), tracker.RoundTimeout(99); first != 100 || last != 800 {
		t.Errorf("round timeouts %d and %d, want 100 and 800", first, last)
	}
	for round, want := range map[int]int{0: 1, 1: 2, 9: maxParallelReleases} {
		if got := ParallelReleases(round); got != want {
			t.Errorf("round %d: %d parallel releases, want %d", round, got, want)
		}
	}
	if !CanAddTracker(0) || CanAddTracker(maxTrackers) {
		t.Error("the number of trackers is not bounded")
	}
}

// TestTrackerSentDuringAttempt: a release that was sent while an attempt was outstanding is followed by another when
// that attempt is over.
func TestTrackerSentDuringAttempt(t *testing.T) {
	tracker := newTestTracker()
	tracker.RequestRelease(0, 0)
	if action, _ := tracker.NextAction(0, ReleaseAllowed, true); action != ActionSend {
		t.Error("it may be sent beside the attempt")
	}
	tracker.ReleaseStarted(true)
	tracker.ReleaseAccepted(0)
	for now := int64(10); now < 5000; now += 500 {
		action, at := tracker.NextAction(now, ReleaseAllowed, true)
		if action != ActionWait || at <= now || at > now+testReleaseTime {
			t.Errorf("action %d until %d, want a wait for the attempt's end", action, at)
		}
	}
	wantAction(t, &tracker, 5000, ActionSend, "the attempt may have kept state")
	tracker.ReleaseStarted(false)
	tracker.ReleaseAccepted(5000)
	wantAction(t, &tracker, 5001, ActionDone, "nothing is left")
}

// TestConfirmsEnd: a reset shows the end of an attempt only where it follows at once.
func TestConfirmsEnd(t *testing.T) {
	tracker := newTestTracker()
	for name, c := range map[string]struct {
		after     int64
		peerClose PeerClose
		want      bool
	}{
		"clean close":   {9000, CleanClose, true},
		"reset at once": {100, ConnReset, true},
		"reset later":   {101, ConnReset, false},
	} {
		if got := tracker.ConfirmsEnd(500+c.after, 500, c.peerClose); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
