package clientconn

import "testing"

func TestChooseEviction(t *testing.T) {
	const now = int64(100e9)
	for name, c := range map[string]struct {
		incompleteSince, idleSince, lingeringSince int64
		want                                       Eviction
	}{
		"no other connection":          {0, 0, 0, RejectNewConn},
		"no request for long":          {now - 300e6, now - 10e9, 0, EvictOldestIncomplete},
		"just connected, long idle":    {now - 1e6, now - 3e9, 0, EvictOldestIdle},
		"just connected, briefly idle": {now - 1e6, now - 1e6, 0, EvictOldestIdle},
		"just connected, none idle":    {now - 1e6, 0, 0, EvictOldestIncomplete},
		"only idle ones":               {0, now - 1e6, 0, EvictOldestIdle},
		"at minIncompleteTime":         {now - minIncompleteTime, now - 10e9, 0, EvictOldestIncomplete},
		"before minIncompleteTime":     {now - minIncompleteTime + 1, now, 0, EvictOldestIdle},
		"one lingers":                  {now - 10e9, now - 10e9, now - 1e6, EvictOldestLingering},
	} {
		if got := ChooseEviction(now, c.incompleteSince, c.idleSince, c.lingeringSince); got != c.want {
			t.Errorf("%s: got %d, want %d", name, got, c.want)
		}
	}
}

// TestNextState checks that once the listener has closed, unread input is still served and no connection stays idle.
func TestNextState(t *testing.T) {
	for _, c := range []struct {
		end  AnswerEnd
		want ConnState
	}{
		{AnswerEnd{}, StateIdle},
		{AnswerEnd{CloseAnnounced: true}, StateLingering},
		{AnswerEnd{ListenerClosed: true}, StateLingering},
		{AnswerEnd{ListenerClosed: true, HasUnreadInput: true}, StateNew},
		{AnswerEnd{CloseAnnounced: true, ListenerClosed: true, HasUnreadInput: true}, StateLingering},
	} {
		if got := NextState(c.end); got != c.want {
			t.Errorf("%+v: got %d, want %d", c.end, got, c.want)
		}
	}
}

// TestDescriptorShares checks that the shares do not exceed the limit, that servers have a third of it and, of larger
// limits, clients too.
func TestDescriptorShares(t *testing.T) {
	for n := 64; n <= 4096; n += 7 {
		clients, servers := DescriptorShares(n)
		tooMany := clients+servers+baseProcessDescriptors > n
		tooFew := servers < n/3 || clients < 1 || n >= 256 && clients < n/3
		if tooMany || tooFew {
			t.Fatalf("%d descriptors: got %d for clients, %d for servers", n, clients, servers)
		}
	}
}

// TestStateDeadline checks that a connection without a complete first request is closed within 3 s of connecting.
func TestStateDeadline(t *testing.T) {
	for _, state := range []ConnState{StateNew, StateReadingRequest} {
		if at := StateDeadline(state, 5); at <= 5 || at > 5+3*second {
			t.Errorf("state %d entered at 5: deadline %d, want within 3 s", state, at)
		}
	}
	if StateDeadline(StateActive, 5) != 0 {
		t.Error("a connection with a request in progress has a deadline")
	}
}

// TestMayKeepLingering checks that a connection stays open beyond its deadline only while its client reads an answer.
func TestMayKeepLingering(t *testing.T) {
	const now = int64(100e9)
	for _, c := range []struct {
		lastReadAt     int64
		unreadBytes    int
		lingeringSince int64
		want           bool
	}{
		{now - second, 1, now - 3*second, true},
		{now - second, 0, now - 3*second, false},
		{now - readStallTimeout, 1, now - 3*second, false},
		{now - second, 1, now - maxLingerTime, false},
	} {
		if got := MayKeepLingering(now, c.lingeringSince, c.lastReadAt, c.unreadBytes); got != c.want {
			t.Errorf("last read %d s ago, %d bytes unread: got %v", (now-c.lastReadAt)/second, c.unreadBytes, got)
		}
	}
}

// TestGrownBodyBytes checks that small bodies get buffers of few sizes, and large ones the memory that they need.
func TestGrownBodyBytes(t *testing.T) {
	const limit = 256 << 10
	for name, test := range map[string]struct {
		size          int
		contentLength int64
		want          int
	}{
		"small":                       {100, 300, 4 << 10},
		"small of unknown length":     {5000, -1, 8 << 10},
		"largest rounded":             {100, 32 << 10, 32 << 10},
		"large, its beginning":        {1000, 200 << 10, 2000},
		"large, a quarter":            {50 << 10, 200 << 10, 200 << 10},
		"large of unknown length":     {100 << 10, -1, 200 << 10},
		"up to the limit of a body":   {200 << 10, -1, limit},
		"all of a body of that limit": {limit, limit, limit},
	} {
		if got := GrownBodyBytes(test.size, test.contentLength, limit); got != test.want {
			t.Errorf("%s: got %d, want %d", name, got, test.want)
		}
	}
}
