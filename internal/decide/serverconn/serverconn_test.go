package serverconn

import "testing"

func TestIsReusable(t *testing.T) {
	p := ConnPolicy{IdleTimeout: 15e9}
	for idleFor, want := range map[int64]bool{0: false, 1e6: false, 20e6: true, 5e9: true, 12e9: false, 20e9: false} {
		if got := p.IsReusable(100e9, 100e9-idleFor); got != want {
			t.Errorf("idle for %d ns: reusable %v, want %v", idleFor, got, want)
		}
	}
}

// TestIsStale checks that a reused connection is stale if it is lost at once, and not stale if it is new, a response
// has started, or the server had time to process the request.
func TestIsStale(t *testing.T) {
	p := ConnPolicy{ConnectTimeout: 250e6}
	for name, c := range map[string]struct {
		lost LostConn
		want bool
	}{
		"lost at once":        {LostConn{UseCount: 2, RequestSent: true, LostAfterSending: 1e6}, true},
		"lost while sending":  {LostConn{UseCount: 2, LostAfterSending: 100e6}, true},
		"first use":           {LostConn{UseCount: 1, RequestSent: true, LostAfterSending: 1e6}, false},
		"first use, not sent": {LostConn{UseCount: 1, LostAfterSending: 1e6}, false},
		"response started": {
			LostConn{UseCount: 2, RequestSent: true, ResponseStarted: true, LostAfterSending: 1e6}, false,
		},
		"lost later": {LostConn{UseCount: 2, RequestSent: true, LostAfterSending: 20e6}, false},
	} {
		if got := p.IsStale(c.lost); got != c.want {
			t.Errorf("%s: stale %v, want %v", name, got, c.want)
		}
	}
}

// TestMaxAttemptConns checks that attempts leave connections for releases if there is more than one.
func TestMaxAttemptConns(t *testing.T) {
	for maxConns, want := range map[int]int{1: 1, 2: 1, 21: 20, 341: 320} {
		if got := MaxAttemptConns(maxConns); got != want {
			t.Errorf("of %d connections: %d for attempts, want %d", maxConns, got, want)
		}
	}
}

// TestMayUseIdleConn checks that after two attempts in a row lost with stale connections the next one uses a new
// connection.
func TestMayUseIdleConn(t *testing.T) {
	for consecutiveStaleConns, want := range []bool{true, true, false, false} {
		if got := MayUseIdleConn(consecutiveStaleConns); got != want {
			t.Errorf("after %d stale connections: got %v, want %v", consecutiveStaleConns, got, want)
		}
	}
}
