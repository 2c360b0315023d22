package keepalive

import "testing"

func TestSelectConn(t *testing.T) {
	for _, c := range []struct {
		name   string
		conns  []ConnStatus
		choice ConnChoice
		index  int
	}{
		{"no connection yet", nil, DialConn, -1},
		{
			"fewest streams",
			[]ConnStatus{{Ready: true, StreamCount: 3}, {Ready: true, StreamCount: 1}, {Connecting: true}},
			UseConn, 1,
		},
		{"connecting", []ConnStatus{{Connecting: true, StreamCount: 2}, {}}, UseConn, 0},
		{"all full", []ConnStatus{{StreamCount: 5}, {StreamCount: 5}}, DialConn, -1},
		{"all full, no more allowed", make([]ConnStatus, maxConns), NoConn, -1},
	} {
		choice, index := SelectConn(c.conns)
		if choice != c.choice || index != c.index {
			t.Errorf("%s: choice %d, index %d, want choice %d, index %d", c.name, choice, index, c.choice, c.index)
		}
	}
}
