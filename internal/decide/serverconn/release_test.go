package serverconn

import "testing"

func TestSelectReleaseServer(t *testing.T) {
	for name, c := range map[string]struct {
		candidates []ReleaseCandidate
		round      int
		want       int
	}{
		"no server":                {nil, 0, -1},
		"all gone":                 {[]ReleaseCandidate{{Gone: true, HasIdleConn: true, LastHeardAt: 9}}, 0, -1},
		"most recently heard from": {[]ReleaseCandidate{idle(1), idle(9), idle(5)}, 0, 1},
		"idle connection first":    {[]ReleaseCandidate{{LastHeardAt: 9}, idle(1)}, 0, 1},
		"idle one may be dead":     {[]ReleaseCandidate{{LastHeardAt: 9}, idle(1)}, 1, 0},
		"heard from equally, idle": {[]ReleaseCandidate{{LastHeardAt: 9}, idle(9)}, 1, 1},
		"untried before tried": {[]ReleaseCandidate{
			{LastHeardAt: 9, HasIdleConn: true, Tried: true}, {LastHeardAt: 1},
		}, 0, 1},
		"tried if there is no other": {[]ReleaseCandidate{
			{LastHeardAt: 3, Tried: true}, {LastHeardAt: 9, Tried: true}, {LastHeardAt: 99, Gone: true},
		}, 0, 1},
	} {
		if got := SelectReleaseServer(c.candidates, c.round); got != c.want {
			t.Errorf("%s: index %d, want %d", name, got, c.want)
		}
	}
}

// idle returns a candidate with an idle connection.
func idle(lastHeardAt int64) ReleaseCandidate {
	return ReleaseCandidate{LastHeardAt: lastHeardAt, HasIdleConn: true}
}
