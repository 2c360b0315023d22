package clientconn

import "testing"

func TestChooseEviction(t *testing.T) {
	const now = int64(100e9)
	for name, c := range map[string]struct {
		incompleteSince, idleSince int64
		want                       Eviction
	}{
		"no other connection":                 {0, 0, RejectNewConn},
		"long without a request":              {now - 300e6, now - 10e9, EvictOldestIncomplete},
		"just connected, long idle":           {now - 1e6, now - 3e9, EvictOldestIdle},
		"just connected, just idle":           {now - 1e6, now - 1e6, EvictOldestIdle},
		"just connected, none idle":           {now - 1e6, 0, EvictOldestIncomplete},
		"none without a request, some idle":   {0, now - 1e6, EvictOldestIdle},
		"at the limit of preferred eviction":  {now - minIncompleteTime, now - 10e9, EvictOldestIncomplete},
		"before the limit, long or just idle": {now - minIncompleteTime + 1, now, EvictOldestIdle},
	} {
		if got := ChooseEviction(now, c.incompleteSince, c.idleSince); got != c.want {
			t.Errorf("%s: %d, want %d", name, got, c.want)
		}
	}
}

// TestNextState: when the listener closes, no connection is closed over unread input, and none stays idle.
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
			t.Errorf("%+v: %d, want %d", c.end, got, c.want)
		}
	}
}

// TestDescriptorShares: whatever the limit, the shares fit into it, and servers have as many as clients may hold for
// requests.
func TestDescriptorShares(t *testing.T) {
	for n := 64; n <= 4096; n += 7 {
		clients, servers := DescriptorShares(n)
		tooMany := clients+servers+minProcessDescriptors > n
		tooFew := servers < n/3 || clients < 1 || n >= 256 && clients < n/3
		if tooMany || tooFew {
			t.Fatalf("%d descriptors: %d for clients, %d for servers", n, clients, servers)
		}
	}
}

// TestStateDeadline: a first request is ended within 3 s of its client's connecting, as silence is.
func TestStateDeadline(t *testing.T) {
	for _, state := range []ConnState{StateNew, StateReadingRequest} {
		if at := StateDeadline(state, 5); at <= 5 || at > 5+3*second {
			t.Errorf("state %d ends at %d", state, at)
		}
	}
	if StateDeadline(StateActive, 5) != 0 {
		t.Error("a connection with a request in progress has a deadline")
	}
}

// TestMayKeepLingering: a connection stays beyond its deadline only for an answer that its client still takes.
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
		{now - unreadTimeout, 1, now - 3*second, false},
		{now - second, 1, now - maxLingerTime, false},
	} {
		if got := MayKeepLingering(now, c.lingeringSince, c.lastReadAt, c.unreadBytes); got != c.want {
			t.Errorf("last read %d s ago, %d bytes unread: %v", (now-c.lastReadAt)/second, c.unreadBytes, got)
		}
	}
}
