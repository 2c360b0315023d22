package keepalive

import "testing"

func TestPick(t *testing.T) {
	for _, c := range []struct {
		name string
		ls   []Conn
		i    int
		dial bool
		none bool
	}{
		{"none yet", nil, -1, true, false},
		{"fewest launches", []Conn{{Ready: true, Streams: 3}, {Ready: true, Streams: 1}, {Connecting: true}}, 1, false, false},
		{"under way", []Conn{{Connecting: true, Streams: 2}, {}}, 0, false, false},
		{"all full", []Conn{{Streams: 5}, {Streams: 5}}, -1, true, false},
		{"all full, no more allowed", make([]Conn, most), -1, false, true},
	} {
		i, dial, none := Pick(c.ls)
		if i != c.i || dial != c.dial || none != c.none {
			t.Errorf("%s: %d %v %v, want %d %v %v", c.name, i, dial, none, c.i, c.dial, c.none)
		}
	}
}

// TestJudge follows one connection through silence.
func TestJudge(t *testing.T) {
	const s = int64(1e9)
	k := Keeper{Target: s}
	for _, c := range []struct {
		name string
		now  int64
		l    Conn
		want Verdict
	}{
		{"heard of late", 10*s + s/4 - 1, Conn{Streams: 1, HeardAt: 10 * s}, Keep},
		{"silent", 10*s + s/4, Conn{Streams: 1, HeardAt: 10 * s}, Ping},
		{"asked, has time", 11 * s, Conn{Streams: 1, HeardAt: 10 * s, PingedAt: 10*s + s/4}, Keep},
		{"asked, no answer", 11*s + s/4, Conn{Streams: 1, HeardAt: 10 * s, PingedAt: 10*s + s/4}, Dead},
		{"answered", 11*s + s/8, Conn{Streams: 1, HeardAt: 11 * s, PingedAt: 10*s + s/4, Pings: 1}, Keep},
		{"answered, silent again", 12 * s, Conn{Streams: 1, HeardAt: 11 * s, PingedAt: 10*s + s/4, Pings: 1}, Ping},
		{"two pings answered by nothing else: no more of them", 100 * s, Conn{Streams: 1, HeardAt: 11 * s, PingedAt: 10*s + s/4, Pings: 2}, Keep},
		{"until servers have forgotten them", 320 * s, Conn{Streams: 1, HeardAt: 11 * s, PingedAt: 10*s + s/4, Pings: 2}, Ping},
		{"nothing out: not asked", 30 * s, Conn{HeardAt: 10 * s, UsedAt: 10 * s}, Keep},
		{"nothing out, and nothing heard since the last launch", 30 * s, Conn{HeardAt: 10 * s, SentAt: 29 * s, UsedAt: 29*s + 1}, Ping},
		{"unused for long", 70 * s, Conn{HeardAt: 10 * s, UsedAt: 10 * s}, Spare},
	} {
		got, again := k.Check(c.now, c.l)
		if got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
		if (got == Keep || got == Ping) && again <= c.now {
			t.Errorf("%s: judged again at %d, not after %d", c.name, again, c.now)
		}
	}
}

func TestFresh(t *testing.T) {
	k := Keeper{Target: 1000}
	for age, want := range map[int64]bool{0: true, 999: true, 1000: false, 5000: false, -1: false} {
		if k.Fresh(age) != want {
			t.Errorf("a report %d old counts as fresh: %v, want %v", age, !want, want)
		}
	}
}

// TestIdleThenSilent: a connection that goes silent while nothing is out on it is given up within two expected times of
// the next attempt, even if that attempt ends before.
func TestIdleThenSilent(t *testing.T) {
	const s = int64(1e9)
	k := Keeper{Target: s}
	for _, out := range []int{1, 0} {
		l := Conn{Streams: out, HeardAt: 10 * s, SentAt: 100 * s, UsedAt: 100 * s}
		now := k.Begin(100 * s)
		for {
			verdict, again := k.Check(now, l)
			if verdict == Dead {
				break
			}
			if verdict == Ping {
				l.PingedAt = now
				l.Pings++
			}
			if now = again; now > 102*s {
				t.Fatalf("with %d out it still stands at %d", out, now)
			}
		}
	}
	if !MayRelease(maxReleases-1) || MayRelease(maxReleases) {
		t.Error("what is owed to an engine is not bounded")
	}
}

// TestTrial: after a silent loss one attempt at a time, one more with each answer, until there is news or enough of them.
func TestTrial(t *testing.T) {
	var x Probe
	x.Heard()
	if !x.May(1000) {
		t.Error("an engine that was not lost is held back")
	}
	x.Lost()
	for n := 1; n <= trialOver; n++ {
		if !x.May(n-1) || x.May(n) {
			t.Errorf("after %d answers not %d at once", n-1, n)
		}
		x.Heard()
	}
	if !x.May(1000) {
		t.Error("the trial does not end")
	}
	x.Lost()
	x.Listed()
	if !x.May(1000) {
		t.Error("news does not end it")
	}
}
