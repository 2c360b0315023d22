package clientconn

import "testing"

func TestCrowded(t *testing.T) {
	const now = int64(100e9)
	for what, c := range map[string]struct {
		silent, resting int64
		want            Eviction
	}{
		"nobody else":              {0, 0, RejectNewConn},
		"long silent":              {now - 300e6, now - 10e9, EvictOldestIncomplete},
		"just come, long at rest":  {now - 1e6, now - 3e9, EvictOldestIdle},
		"just come, just at rest":  {now - 1e6, now - 1e6, EvictOldestIdle},
		"just come, nobody rests":  {now - 1e6, 0, EvictOldestIncomplete},
		"nobody silent, some rest": {0, now - 1e6, EvictOldestIdle},
	} {
		if got := ChooseEviction(now, c.silent, c.resting); got != c.want {
			t.Errorf("%s: %d, want %d", what, got, c.want)
		}
	}
}

// At the closing of the door a connection is never closed over unread bytes, and none goes on resting.
func TestNext(t *testing.T) {
	for _, c := range []struct {
		last, closed, unread bool
		want                 ConnState
	}{{false, false, false, StateIdle}, {true, false, false, StateLingering}, {false, true, false, StateLingering}, {false, true, true, StateNew}, {true, true, true, StateLingering}} {
		if got := NextState(c.last, c.closed, c.unread); got != c.want {
			t.Errorf("last %v, closed %v, unread %v: %d, want %d", c.last, c.closed, c.unread, got, c.want)
		}
	}
}

// Whatever the limit, the shares fit into it and servers have as many as clients may hold for requests.
func TestShares(t *testing.T) {
	for n := 64; n <= 4096; n += 7 {
		clients, hosts := DescriptorShares(n)
		if clients+hosts+ownLeast > n || hosts < n/3 || clients < 1 || n >= 256 && clients < n/3 {
			t.Fatalf("%d descriptors: %d for clients, %d for hosts", n, clients, hosts)
		}
	}
}

// A first request is ended within 3 s of its client's connecting, as silence is.
func TestUntil(t *testing.T) {
	for _, stage := range []ConnState{StateNew, StateReadingRequest} {
		if at := StateDeadline(stage, 5); at <= 5 || at > 5+3*second {
			t.Errorf("stage %d ends at %d", stage, at)
		}
	}
	if StateDeadline(StateActive, 5) != 0 {
		t.Error("a connection with a job in hand has an end")
	}
}

// A connection stays beyond its time only for an answer that its client still takes.
func TestLingers(t *testing.T) {
	const now = int64(100e9)
	for _, c := range []struct {
		taken   int64
		waiting int
		want    bool
		over    int64
	}{
		{now - second, 1, true, now - 3*second},
		{now - second, 0, false, now - 3*second},
		{now - unreadTimeout, 1, false, now - 3*second},
		{now - second, 1, false, now - maxLinger},
	} {
		if got := MayKeepLingering(now, c.over, c.taken, c.waiting); got != c.want {
			t.Errorf("taken %d s ago, %d waiting: %v", (now-c.taken)/second, c.waiting, got)
		}
	}
}
