package serverconn

import "testing"

func TestChoose(t *testing.T) {
	for what, c := range map[string]struct {
		ways  []ReleaseCandidate
		round int
		want  int
	}{
		"nobody":                   {nil, 0, -1},
		"all gone":                 {[]ReleaseCandidate{{Gone: true, HasIdleConn: true, LastHeardAt: 9}}, 0, -1},
		"heard last":               {[]ReleaseCandidate{{LastHeardAt: 1, HasIdleConn: true}, {LastHeardAt: 9, HasIdleConn: true}, {LastHeardAt: 5, HasIdleConn: true}}, 0, 1},
		"rather with a connection": {[]ReleaseCandidate{{LastHeardAt: 9}, {LastHeardAt: 1, HasIdleConn: true}}, 0, 1},
		"a kept one may be dead":   {[]ReleaseCandidate{{LastHeardAt: 9}, {LastHeardAt: 1, HasIdleConn: true}}, 1, 0},
		"heard at once, kept":      {[]ReleaseCandidate{{LastHeardAt: 9}, {LastHeardAt: 9, HasIdleConn: true}}, 1, 1},
		"not again where in vain":  {[]ReleaseCandidate{{LastHeardAt: 9, HasIdleConn: true, Tried: true}, {LastHeardAt: 1}}, 0, 1},
		"again if there is no other": {[]ReleaseCandidate{
			{LastHeardAt: 3, Tried: true},
			{LastHeardAt: 9, Tried: true},
			{LastHeardAt: 99, Gone: true},
		}, 0, 1},
	} {
		if got := SelectReleaseServer(c.ways, c.round); got != c.want {
			t.Errorf("%s: %d, want %d", what, got, c.want)
		}
	}
}

func TestFit(t *testing.T) {
	k := ConnPolicy{IdleTimeout: 15e9}
	for since, want := range map[int64]bool{0: false, 1e6: false, 20e6: true, 5e9: true, 12e9: false, 20e9: false} {
		if got := k.IsReusable(100e9, 100e9-since); got != want {
			t.Errorf("unused for %d: %v, want %v", since, got, want)
		}
	}
}

// What is lost at once with a connection used before is no fault of its server; what was answered, or worked on, or had a
// connection of its own, may be.
func TestLapsed(t *testing.T) {
	k := ConnPolicy{ConnectTimeout: 250e6}
	for what, c := range map[string]struct {
		used           int
		written, heard bool
		after          int64
		want           bool
	}{
		"at once":           {2, true, false, 1e6, true},
		"before it was out": {2, false, false, 100e6, true},
		"first use":         {1, true, false, 1e6, false},
		"first, not out":    {1, false, false, 1e6, false},
		"answered":          {2, true, true, 1e6, false},
		"worked on":         {2, true, false, 20e6, false},
	} {
		if got := k.IsStale(c.used, c.written, c.heard, c.after); got != c.want {
			t.Errorf("%s: %v, want %v", what, got, c.want)
		}
	}
}

// Attempts leave connections for releases, however few there are.
func TestAttemptConns(t *testing.T) {
	for most, want := range map[int]int{1: 1, 2: 1, 21: 20, 341: 320} {
		if got := MaxAttemptConns(most); got != want {
			t.Errorf("of %d: %d, want %d", most, got, want)
		}
	}
}

// A request that has lost two attempts in a row with kept connections gets one of its own.
func TestMayReuse(t *testing.T) {
	for stale, want := range []bool{true, true, false, false} {
		if got := MayUseIdleConn(stale); got != want {
			t.Errorf("after %d: %v, want %v", stale, got, want)
		}
	}
}
