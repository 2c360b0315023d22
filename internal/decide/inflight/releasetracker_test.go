package inflight

import (
	"testing"

	"pgregory.net/rapid"
)

const (
	testReleaseTime = int64(1000)
	testIdleTimeout = int64(15000)
)

// newTestTracker returns a tracker with testReleaseTime and testIdleTimeout.
func newTestTracker() ReleaseTracker { return NewReleaseTracker(testReleaseTime, testIdleTimeout) }

// wantAction checks the action of NextAction with a release allowed and no attempt outstanding.
func wantAction(t *testing.T, tracker *ReleaseTracker, now int64, want TrackerAction, reason string) {
	t.Helper()
	if got, at := tracker.NextAction(now, ReleaseAllowed, false); got != want {
		t.Errorf("at %d: action %d until %d, want action %d: %s", now, got, at, want, reason)
	}
}

// wantWait checks that NextAction returns a wait until the given time under the conditions of wantAction.
func wantWait(t *testing.T, tracker *ReleaseTracker, now, until int64, reason string) {
	t.Helper()
	if got, at := tracker.NextAction(now, ReleaseAllowed, false); got != ActionWait || at != until {
		t.Errorf("at %d: action %d until %d, want a wait until %d: %s", now, got, at, until, reason)
	}
}

// abandonedAttempt is an abandoned attempt and the time, unknown to the tracker, at which its server ends it.
type abandonedAttempt struct {
	abandonedAt, runUntil, endsAt int64
	watched, confirmed            bool
}

// drawAbandonedAttempt draws an attempt whose server ends it by runUntil or, if it is watched, confirms its end.
func drawAbandonedAttempt(t *rapid.T) *abandonedAttempt {
	a := &abandonedAttempt{
		abandonedAt: rapid.Int64Range(0, 3000).Draw(t, "abandoned at"),
		watched:     rapid.Bool().Draw(t, "watched"),
	}
	a.runUntil = a.abandonedAt + rapid.Int64Range(0, 4000).Draw(t, "may run for")
	a.endsAt = a.abandonedAt + rapid.Int64Range(0, a.runUntil-a.abandonedAt).Draw(t, "runs for")
	if a.watched {
		a.endsAt = a.abandonedAt + rapid.Int64Range(0, testIdleTimeout-2000).Draw(t, "watched for")
	}
	return a
}

// report reports to the tracker what becomes known about the attempt at this time.
func (a *abandonedAttempt) report(tracker *ReleaseTracker, now int64) {
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

// TestTrackerFollowsEveryEnd checks that a release is started within the release time after the end of each abandoned
// attempt on its server, and that the tracker then ends.
func TestTrackerFollowsEveryEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var attempts []*abandonedAttempt
		for range rapid.IntRange(1, 4).Draw(t, "attempts") {
			attempts = append(attempts, drawAbandonedAttempt(t))
		}
		latency := rapid.Int64Range(1, 90).Draw(t, "latency")
		tracker := newTestTracker()
		var started []int64
		answerAt, answerOf := never, int64(0)
		ended := false
		for now := int64(0); now < 60000 && !ended; now++ {
			active := false
			for _, a := range attempts {
				a.report(&tracker, now)
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
				started = append(started, now)
				answerAt, answerOf = now+latency, now
			case ActionWait:
				if at <= now {
					t.Fatalf("at %d: wait until %d, want a later time", now, at)
				}
			case ActionDone:
				ended = !active
			case ActionExpire:
				t.Fatalf("at %d: the tracker expires", now)
			}
		}
		if !ended {
			t.Fatal("the tracker does not end")
		}
		for _, a := range attempts {
			found := false
			for _, at := range started {
				found = found || at >= a.endsAt && at <= a.endsAt+testReleaseTime
			}
			if !found {
				t.Fatalf("attempt %+v: releases at %v, want one within %d of its end", *a, started, testReleaseTime)
			}
		}
	})
}

// TestTrackerWithoutServers checks that a release that no server accepts is reported as lost once and expires.
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
				t.Errorf("reported as lost %d times, expired at %d; want once, and not before the idle timeout", losses, now)
			}
			return
		}
	}
	t.Error("the tracker does not expire")
}

// TestTrackerWaitsForConfirmation checks that a release waits a limited time for the end of a watched attempt, and that
// a release started before that end has to be followed by another.
func TestTrackerWaitsForConfirmation(t *testing.T) {
	tracker := newTestTracker()
	tracker.WatchedAttemptAbandoned(0, 4000)
	tracker.RequestRelease(0, 0)
	wantWait(t, &tracker, 0, tracker.ReleaseTimeout(), "the end of the attempt may be confirmed")
	wantAction(t, &tracker, tracker.ReleaseTimeout(), ActionSend, "the end was not confirmed in time")
	tracker.EndConfirmed(107)
	tracker.ReleaseAccepted(100)
	wantAction(t, &tracker, 108, ActionSend, "the accepted release was started before the end")
	if !tracker.ReleasePending() {
		t.Error("the accepted release was started before the end, want one still pending")
	}
	tracker.ReleaseAccepted(108)
	wantAction(t, &tracker, 109, ActionDone, "all state is released")
}

// TestTrackerForbidden checks that no release is sent while an attempt needs the state.
func TestTrackerForbidden(t *testing.T) {
	tracker := newTestTracker()
	tracker.RequestRelease(0, 0)
	if action, at := tracker.NextAction(0, ReleaseForbidden, false); action != ActionWait || at <= 0 {
		t.Errorf("action %d until %d, want a wait", action, at)
	}
	wantAction(t, &tracker, 300, ActionSend, "a release is allowed now")
	if held := tracker.HeldFor(300); held != 300 {
		t.Errorf("held for %d, want 300", held)
	}
}

// TestTrackerDuringPrefill checks that during a prefill attempt that may not have arrived a pending release waits until
// it is urgent, and that a repeat waits for the end of the attempt.
func TestTrackerDuringPrefill(t *testing.T) {
	tracker := newTestTracker()
	tracker.AttemptAbandoned(0, 6000)
	tracker.RequestRelease(0, 0)
	for _, c := range []struct{ now, until int64 }{{0, 100}, {580, 600}} {
		if action, at := tracker.NextAction(c.now, ReleaseIfUrgent, true); action != ActionWait || at != c.until {
			t.Errorf("action %d until %d, want a wait until %d", action, at, c.until)
		}
	}
	if action, _ := tracker.NextAction(600, ReleaseIfUrgent, true); action != ActionSend {
		t.Error("the release is urgent, want it sent")
	}
	tracker.ReleaseAccepted(600)
	if action, at := tracker.NextAction(601, ReleaseIfUrgent, true); action != ActionWait || at != 1400 {
		t.Errorf("action %d until %d, want a wait until 1400", action, at)
	}
	if action, _ := tracker.NextAction(1400, ReleaseIfUrgent, true); action != ActionWait {
		t.Error("the release is repeated during a prefill attempt")
	}
	wantAction(t, &tracker, 1500, ActionSend, "the prefill attempt has ended: a repeat is due")
}

// TestTrackerUnrequested checks that an attempt abandoned before a release is requested is taken into account.
func TestTrackerUnrequested(t *testing.T) {
	tracker := newTestTracker()
	tracker.AttemptAbandoned(0, 3000)
	wantWait(t, &tracker, 0, 3000, "the server may run the attempt until 3000")
	tracker.RequestRelease(100, 0)
	wantAction(t, &tracker, 100, ActionSend, "a release is requested")
	tracker.ReleaseAccepted(100)
	wantWait(t, &tracker, 101, 900, "the server may run the attempt until 3000: a repeat is due at 900")
}

// TestReleaseBounds checks the round timeouts and the bounds of parallel releases and trackers.
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

// TestTrackerSentDuringAttempt checks that a release sent during an attempt is followed by another after its end.
func TestTrackerSentDuringAttempt(t *testing.T) {
	tracker := newTestTracker()
	tracker.RequestRelease(0, 0)
	if action, _ := tracker.NextAction(0, ReleaseAllowed, true); action != ActionSend {
		t.Error("no release is sent during the attempt, want one")
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
	wantAction(t, &tracker, 5001, ActionDone, "all state is released")
}

// TestConfirmsEnd checks that a reset confirms the end of an attempt only if it follows at once.
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
			t.Errorf("%s: confirms %v, want %v", name, got, c.want)
		}
	}
}
