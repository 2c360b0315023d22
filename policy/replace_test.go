package policy

import "testing"

// Servers that are replaced under new names, each in a cell of its own, leave nothing behind.
func TestReplacedHostsLeaveNothing(t *testing.T) {
	d := newRouter(t, Config{
		Seed:        1,
		Self:        Identity{Count: 2},
		Classes:     []Class{{LatencyTarget: 1e9, Timeout: 5e9, Value: 1}},
		Roles:       []Role{Prefill, Decode},
		SlowStart:   SlowStart{InitialCapacity: 0.3, WarmupTime: 1e9, OverloadFactor: 2.5, OverloadWindow: 1e9},
		Attempts:    AttemptLimits{MaxAttempts: 6, CanCancel: true},
		Responses:   ResponseSettings{RoundInterval: 4e6},
		ReleaseTime: 1e9,
	})
	now, next := Nanos(1e9), ServerID(1)
	d.ListUpdateStarted(true)
	for ; next <= 14; next++ {
		d.ServerListed(next, ZoneID(next%3), KindID(next%2), CellID(next), Serving, 0)
	}
	d.ListUpdateEnded(now)
	drain := func() (launched ServerID) {
		for {
			what, ok := d.NextDecision(now)
			if !ok {
				return launched
			}
			if what.Action == SendAttempt {
				launched = what.Server
			}
		}
	}
	drain()
	for n := range 10000 {
		now += 50e6
		id := RequestID(n + 1)
		d.RequestArrived(now, Request{ID: id, Tenant: -1, Session: SessionKey(n/3 + 1), PromptTokens: 3000, Deadline: now + 5e9})
		reader := drain()
		if reader == 0 {
			t.Fatalf("job %d finds no reader", n)
		}
		d.ListUpdateStarted(false) // the prefill server goes while the request's state is there; its successor has another name and cell
		d.ServerListed(reader, ZoneID(reader%3), 0, CellID(reader), Gone, 0)
		for next%2 != 0 {
			next++
		}
		d.ServerListed(next, ZoneID(next%3), 0, CellID(next), Serving, 0)
		next++
		d.ListUpdateEnded(now)
		d.AttemptEnded(now, id, 0, Prefilled, 1e6, false, NoLoadReport)
		if writer := drain(); writer == 0 || writer%2 == 0 {
			t.Fatalf("job %d: writer %d", n, writer)
		}
		d.StreamStarted(now, id, 1, 1e6)
		d.AttemptEnded(now, id, 1, Served, 1e6, true, NoLoadReport)
		drain()
	}
	if len(d.servers) > 20 || len(d.serverIndex) > 20 || len(d.locality.cells) > 20 {
		t.Errorf("after 10000 replacements %d hosts, %d ids, %d cells, want about the 14 there are", len(d.servers),
			len(d.serverIndex), len(d.locality.cells))
	}
	if n := len(d.prefixes.marks); n > 2000 { // what is believed held for 30 s
		t.Errorf("%d marks of beginnings", n)
	}
}
