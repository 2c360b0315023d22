package policy

import "testing"

// replicasOf gives how many prefill servers of twenty a prefix's first requests of forty sessions go to, each at a dispatcher of its own
// that has seen so many other requests, one in every so many of them with that prefix; 0 = none.
func replicasOf(t *testing.T, others, every int) int {
	const prefix = PrefixKey(99)
	at := map[ServerID]bool{}
	for session := range 40 {
		d := newRouter(t, Config{
			Seed:        1,
			Self:        Identity{Number: int32(session), Count: 40},
			Classes:     []Class{{LatencyTarget: 1e9, Timeout: 5e9, Value: 1}},
			Roles:       []Role{Prefill},
			Attempts:    AttemptLimits{MaxAttempts: 3},
			Responses:   ResponseSettings{RoundInterval: 1e6},
			ReleaseTime: 1e9,
		})
		now := Nanos(1e9)
		d.ListUpdateStarted(true)
		for id := range ServerID(20) {
			d.ServerListed(id+1, 0, 0, 0, Serving, 0)
		}
		d.ListUpdateEnded(now)
		send := func(id RequestID, s SessionKey, p PrefixKey) ServerID {
			now += 1e6
			d.RequestArrived(now, Request{ID: id, Tenant: -1, Session: s, Prefix: p, PromptTokens: 1500, PrefixTokens: 1000, Deadline: now + 5e9})
			server := ServerID(0)
			for what, ok := d.NextDecision(now); ok; what, ok = d.NextDecision(now) {
				if what.Action == SendAttempt {
					server = what.Server
				}
			}
			d.AttemptEnded(now, id, 0, Prefilled, 1e6, true, NoLoadReport)
			for _, ok := d.NextDecision(now); ok; _, ok = d.NextDecision(now) {
			}
			return server
		}
		for n := range others {
			p := PrefixKey(1000 + n)
			if every > 0 && n%every == 0 {
				p = prefix
			}
			send(RequestID(n+1), SessionKey(5000+100*session+n), p)
		}
		d.prefixes.marks = map[uint64]prefixMarks{} // the marks of its own requests are not what is asked about
		at[send(1000, SessionKey(session+1), prefix)] = true
	}
	return len(at)
}

// What few others send goes to one replica at every dispatcher, what many send to several; who has seen too little to tell
// takes four, so that what is common does not overload one server while all are new.
func TestReplicas(t *testing.T) {
	for _, c := range []struct{ others, every, least, most int }{{24, 0, 1, 1}, {0, 0, 4, 4}, {6, 0, 4, 4}, {24, 4, 4, 12}, {12, 4, 4, 12}} {
		if n := replicasOf(t, c.others, c.every); n < c.least || n > c.most {
			t.Errorf("%d requests seen, one in %d with the prefix: %d replicas, want %d to %d", c.others, c.every, n, c.least, c.most)
		}
	}
}
