package keepalive

import "testing"

func TestPick(t *testing.T) {
	for _, c := range []struct {
		name string
		ls   []ConnStatus
		i    int
		dial bool
		none bool
	}{
		{"none yet", nil, -1, true, false},
		{"fewest launches", []ConnStatus{{Ready: true, StreamCount: 3}, {Ready: true, StreamCount: 1}, {Connecting: true}}, 1, false, false},
		{"under way", []ConnStatus{{Connecting: true, StreamCount: 2}, {}}, 0, false, false},
		{"all full", []ConnStatus{{StreamCount: 5}, {StreamCount: 5}}, -1, true, false},
		{"all full, no more allowed", make([]ConnStatus, most), -1, false, true},
	} {
		i, dial, none := SelectConn(c.ls)
		if i != c.i || dial != c.dial || none != c.none {
			t.Errorf("%s: %d %v %v, want %d %v %v", c.name, i, dial, none, c.i, c.dial, c.none)
		}
	}
}

// TestJudge follows one connection through silence.
func TestJudge(t *testing.T) {
	const s = int64(1e9)
	k := Policy{LatencyTarget: s}
	for _, c := range []struct {
		name string
		now  int64
		l    ConnStatus
		want Verdict
	}{
		{"heard of late", 10*s + s/4 - 1, ConnStatus{StreamCount: 1, LastReceivedAt: 10 * s}, KeepConn},
		{"silent", 10*s + s/4, ConnStatus{StreamCount: 1, LastReceivedAt: 10 * s}, SendPing},
		{"asked, has time", 11 * s, ConnStatus{StreamCount: 1, LastReceivedAt: 10 * s, LastPingAt: 10*s + s/4}, KeepConn},
		{"asked, no answer", 11*s + s/4, ConnStatus{StreamCount: 1, LastReceivedAt: 10 * s, LastPingAt: 10*s + s/4}, CloseDead},
		{"answered", 11*s + s/8, ConnStatus{StreamCount: 1, LastReceivedAt: 11 * s, LastPingAt: 10*s + s/4, PingsWithoutData: 1}, KeepConn},
		{"answered, silent again", 12 * s, ConnStatus{StreamCount: 1, LastReceivedAt: 11 * s, LastPingAt: 10*s + s/4, PingsWithoutData: 1}, SendPing},
		{"two pings answered by nothing else: no more of them", 100 * s, ConnStatus{StreamCount: 1, LastReceivedAt: 11 * s, LastPingAt: 10*s + s/4, PingsWithoutData: 2}, KeepConn},
		{"until servers have forgotten them", 320 * s, ConnStatus{StreamCount: 1, LastReceivedAt: 11 * s, LastPingAt: 10*s + s/4, PingsWithoutData: 2}, SendPing},
		{"nothing out: not asked", 30 * s, ConnStatus{LastReceivedAt: 10 * s, LastUsedAt: 10 * s}, KeepConn},
		{"nothing out, and nothing heard since the last launch", 30 * s, ConnStatus{LastReceivedAt: 10 * s, LastSentAt: 29 * s, LastUsedAt: 29*s + 1}, SendPing},
		{"unused for long", 70 * s, ConnStatus{LastReceivedAt: 10 * s, LastUsedAt: 10 * s}, CloseUnused},
	} {
		got, again := k.Check(c.now, c.l)
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if (got == KeepConn || got == SendPing) && again <= c.now {
			t.Errorf("%s: judged again at %d, not after %d", c.name, again, c.now)
		}
	}
}

func TestFresh(t *testing.T) {
	k := Policy{LatencyTarget: 1000}
	for age, want := range map[int64]bool{0: true, 999: true, 1000: false, 5000: false, -1: false} {
		if k.IsLoadReportFresh(age) != want {
			t.Errorf("a report %d old counts as fresh: %v, want %v", age, !want, want)
		}
	}
}

// TestIdleThenSilent: a connection that goes silent while nothing is out on it is given up within two expected times of
// the next attempt, even if that attempt ends before.
func TestIdleThenSilent(t *testing.T) {
	const s = int64(1e9)
	k := Policy{LatencyTarget: s}
	for _, out := range []int{1, 0} {
		l := ConnStatus{StreamCount: out, LastReceivedAt: 10 * s, LastSentAt: 100 * s, LastUsedAt: 100 * s}
		now := k.FirstCheck(100 * s)
		for {
			verdict, again := k.Check(now, l)
			if verdict == CloseDead {
				break
			}
			if verdict == SendPing {
				l.LastPingAt = now
				l.PingsWithoutData++
			}
			if now = again; now > 102*s {
				t.Fatalf("with %d out it still stands at %d", out, now)
			}
		}
	}
	if !MayQueueRelease(maxReleases-1) || MayQueueRelease(maxReleases) {
		t.Error("what is owed to an engine is not bounded")
	}
}

// TestTrial: after a silent loss one attempt at a time, one more with each answer, until there is news or enough of them.
func TestTrial(t *testing.T) {
	var x RestartThrottle
	x.AnswerReceived()
	if !x.Allows(1000) {
		t.Error("an engine that was not lost is held back")
	}
	x.ConnLost()
	for n := 1; n <= trialOver; n++ {
		if !x.Allows(n-1) || x.Allows(n) {
			t.Errorf("after %d answers not %d at once", n-1, n)
		}
		x.AnswerReceived()
	}
	if !x.Allows(1000) {
		t.Error("the trial does not end")
	}
	x.ConnLost()
	x.ListUpdated()
	if !x.Allows(1000) {
		t.Error("news does not end it")
	}
}
