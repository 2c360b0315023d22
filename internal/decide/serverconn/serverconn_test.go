package serverconn

import "testing"

func TestIsReusable(t *testing.T) {
	p := ConnPolicy{IdleTimeout: 15e9}
	for idleFor, want := range map[int64]bool{0: false, 1e6: false, 20e6: true, 5e9: true, 12e9: false, 20e9: false} {
		if got := p.IsReusable(100e9, 100e9-idleFor); got != want {
			t.Errorf("idle for %d: %v, want %v", idleFor, got, want)
		}
	}
}

// TestIsStale: a reused connection that is lost at once was stale; one that was answered, that was lost after the
// server may have worked, or that was new, was not.
func TestIsStale(t *testing.T) {
	p := ConnPolicy{ConnectTimeout: 250e6}
	for name, c := range map[string]struct {
		lost LostConn
		want bool
	}{
		"at once":            {LostConn{UseCount: 2, RequestSent: true, LostAfterSending: 1e6}, true},
		"before it was sent": {LostConn{UseCount: 2, LostAfterSending: 100e6}, true},
		"first use":          {LostConn{UseCount: 1, RequestSent: true, LostAfterSending: 1e6}, false},
		"first use, unsent":  {LostConn{UseCount: 1, LostAfterSending: 1e6}, false},
		"answered": {
			LostConn{UseCount: 2, RequestSent: true, ResponseStarted: true, LostAfterSending: 1e6}, false,
		},
		"after some time": {LostConn{UseCount: 2, RequestSent: true, LostAfterSending: 20e6}, false},
	} {
		if got := p.IsStale(c.lost); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// TestMaxAttemptConns: attempts leave connections for releases, however few there are.
func TestMaxAttemptConns(t *testing.T) {
	for maxConns, want := range map[int]int{1: 1, 2: 1, 21: 20, 341: 320} {
		if got := MaxAttemptConns(maxConns); got != want {
			t.Errorf("of %d: %d, want %d", maxConns, got, want)
		}
	}
}

// TestMayUseIdleConn: a request that has lost two attempts in a row with stale connections gets a new one.
func TestMayUseIdleConn(t *testing.T) {
	for consecutiveStaleConns, want := range []bool{true, true, false, false} {
		if got := MayUseIdleConn(consecutiveStaleConns); got != want {
			t.Errorf("after %d: %v, want %v", consecutiveStaleConns, got, want)
		}
	}
}
