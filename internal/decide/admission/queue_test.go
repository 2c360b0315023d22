package admission

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

const (
	ms  = Nanos(1e6)
	sec = Nanos(1e9)
)

func newDoor(t testing.TB, most int, tenants ...TenantLimits) *Queue {
	t.Helper()
	q, err := New(Config{
		MaxWaiting: most, MaxKnownClients: 1024, LatencyObjective: sec, Signer: NewTicketSigner([]byte("a key")),
	})
	if err != nil {
		t.Fatal(err)
	}
	setTenants(t, q, tenants...)
	return q
}

func setTenants(t testing.TB, q *Queue, tenants ...TenantLimits) {
	t.Helper()
	for i, limits := range tenants {
		if err := q.SetTenant(i, limits); err != nil {
			t.Fatal(err)
		}
	}
}

// meet makes a client known.
func meet(q *Queue, now Nanos, tenant int, clients ...uint64) {
	for _, c := range clients {
		for range knownAfter {
			q.interactive.clients.recordServed(now, tenant, c, 1000*sec)
		}
	}
}

var orders RequestID

func ask(tenant int, client uint64, prompt int64) Request {
	orders++
	return Request{ID: orders, Tenant: tenant, Client: client, Source: 1, PromptTokens: prompt, MaxAnswerTokens: 0, LatencyObjective: sec, Deadline: 1 << 60}
}

// TestFairAgainstFluid: over any stretch in which a flow has requests waiting, what it is let in lies within its own largest
// and the largest request of all of what an ideal fluid schedule would give it.
func TestFairAgainstFluid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		rng := rand.New(rand.NewPCG(seed, 0))
		n := 2 + rng.IntN(5)
		var ts []TenantLimits
		sum := 0.0
		for range n {
			w := float64(1 + rng.IntN(8))
			sum += w
			ts = append(ts, TenantLimits{Weight: w})
		}
		q := newDoor(t, 100000, ts...)
		owner, cost := map[RequestID]int{}, map[RequestID]float64{}
		largest := 0.0
		for i := range n { // all have enough waiting for the whole stretch
			for range 400 {
				request := ask(i, 0, int64(1+rng.IntN(1000)))
				if c, _ := q.Enqueue(1, request); c != Queued {
					rt.Fatalf("refused: %v", c)
				}
				owner[request.ID], cost[request.ID] = i, EstimatedCost(request.PromptTokens, 0)
				largest = max(largest, cost[request.ID])
			}
		}
		got, total := make([]float64, n), 0.0
		for range 300 {
			id, ok := q.NextAdmissible(0, 0)
			if !ok {
				rt.Fatal("nothing to let in while jobs wait")
			}
			q.Admit(2, id)
			got[owner[id]] += cost[id]
			total += cost[id]
			for i := range n {
				for k := range n { // the bound of start-time fair queueing between any two
					apart := math.Abs(got[i]/ts[i].Weight - got[k]/ts[k].Weight)
					if most := largest/ts[i].Weight + largest/ts[k].Weight; apart > most+1e-6 {
						rt.Fatalf("seed %d: tenants %d and %d are %.0f apart for their weights, want at most %.0f", seed, i, k, apart, most)
					}
				}
			}
		}
		for i := range n {
			if fluid := total * ts[i].Weight / sum; math.Abs(got[i]-fluid) > float64(n+1)*largest {
				rt.Fatalf("seed %d: tenant %d got %.0f, a fluid schedule %.0f", seed, i, got[i], fluid)
			}
		}
	})
}

// TestWorkConserving: whatever comes, is cancelled, expires or changes, while a request may be let in there is one; every
// request leaves exactly once, and nothing is left behind.
func TestWorkConserving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := newDoor(t, 50, TenantLimits{Weight: 1}, TenantLimits{Weight: 3, MaxRunning: 4}, TenantLimits{Weight: 2, MaxWaiting: 5, RequestsPerSecond: 50})
		meet(q, 1, 0, 1, 2, 3)
		waiting, running := map[RequestID]Request{}, []Request{}
		now := Nanos(1)
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now += Nanos(rapid.IntRange(0, 50).Draw(rt, "ms")) * ms
			switch rapid.IntRange(0, 5).Draw(rt, "what") {
			case 0, 1:
				request := ask(rapid.IntRange(0, 2).Draw(rt, "tenant"), uint64(rapid.IntRange(0, 5).Draw(rt, "client")), int64(rapid.IntRange(1, 5000).Draw(rt, "prompt")))
				request.Deadline = now + 2*sec
				if c, a := q.Enqueue(now, request); c == Queued {
					waiting[request.ID] = request
					if id, a, ok := q.PopDisplaced(now); ok {
						if _, here := waiting[id]; !here || id == request.ID || a.RetryAfter <= 0 {
							rt.Fatalf("displaced %d, to come back after %d", id, a.RetryAfter)
						}
						delete(waiting, id)
					}
				} else if a.RetryAfter <= 0 {
					rt.Fatalf("refused for %v with no time to come back", c)
				}
			case 2:
				id, ok := q.NextAdmissible(0, 0)
				may := false
				for _, request := range waiting {
					_, r := q.TenantLoad(request.Tenant)
					may = may || request.Tenant != 1 || r < 4
				}
				if ok != may {
					rt.Fatalf("next: %v, though a job may be let in: %v", ok, may)
				}
				if ok {
					request, here := waiting[id]
					if !here {
						rt.Fatalf("job %d does not wait", id)
					}
					q.Admit(now, id)
					delete(waiting, id)
					running = append(running, request)
				}
			case 3:
				if len(running) > 0 {
					q.RecordFinished(now, running[0], Result{Served: rapid.Bool().Draw(rt, "served"), AnswerTokens: int64(rapid.IntRange(0, 100).Draw(rt, "answer"))})
					running = running[1:]
				}
			case 4:
				for id := range waiting {
					if !q.Cancel(now, id) || q.Cancel(now, id) {
						rt.Fatal("a job that waits can be cancelled once")
					}
					delete(waiting, id)
					break
				}
			case 5:
				for {
					id, ok := q.NextExpired(now)
					if !ok {
						break
					}
					if _, here := waiting[id]; !here {
						rt.Fatalf("expired job %d does not wait", id)
					}
					q.Reject(now, id, TooLate)
					delete(waiting, id)
				}
				if err := q.SetTenant(0, TenantLimits{Weight: rapid.Float64Range(0.1, 10).Draw(rt, "weight")}); err != nil {
					rt.Fatal(err)
				}
			}
			if q.Waiting() != len(waiting) || q.interactive.byExpiry.Len() != len(waiting) {
				rt.Fatalf("%d wait, %d by their time, want %d", q.Waiting(), q.interactive.byExpiry.Len(), len(waiting))
			}
			sum := 0
			for i := range 3 {
				w, r := q.TenantLoad(i)
				if r < 0 || w < 0 {
					rt.Fatalf("tenant %d: %d waiting, %d running", i, w, r)
				}
				sum += w
			}
			if sum != len(waiting) {
				rt.Fatalf("tenants have %d waiting, want %d", sum, len(waiting))
			}
		}
		for id := range waiting {
			q.Cancel(now, id)
		}
		if q.Waiting() != 0 || q.interactive.waitingCost != 0 {
			rt.Fatalf("%d wait with cost %v when all are gone", q.Waiting(), q.interactive.waitingCost)
		}
	})
}

// TestSameDecisions: equal calls give equal decisions, whatever maps do.
func TestSameDecisions(t *testing.T) {
	run := func() string {
		orders = 1000000
		rng := rand.New(rand.NewPCG(7, 7))
		q := newDoor(t, 200, TenantLimits{Weight: 1}, TenantLimits{Weight: 2, RequestsPerSecond: 300})
		out := ""
		for i := range 5000 {
			now := Nanos(i) * ms
			request := ask(rng.IntN(2), uint64(rng.IntN(40)), int64(1+rng.IntN(3000)))
			request.Source, request.Deadline = uint64(rng.IntN(9)), now+sec
			c, a := q.Enqueue(now, request)
			out += fmt.Sprint(c, a.RetryAfter, " ")
			for {
				id, ok := q.NextExpired(now)
				if !ok {
					break
				}
				out += fmt.Sprint("x", id, q.Reject(now, id, TooLate).RetryAfter, " ")
			}
			if id, ok := q.NextAdmissible(0, 0); ok && rng.IntN(3) > 0 {
				q.Admit(now, id)
				out += fmt.Sprint("l", id, " ")
				q.RecordFinished(now, Request{Tenant: rng.IntN(2), Client: uint64(rng.IntN(40)), PromptTokens: 5}, Result{Served: true, AnswerTokens: 3})
			}
		}
		return out
	}
	if a, b := run(), run(); a != b {
		t.Error("two equal runs decide differently")
	}
}

// serve lets so much cost in for each millisecond and gives the wait of each request of a client, in milliseconds.
func serve(q *Queue, credit *float64, from, to Nanos, perMS float64, came map[RequestID]Nanos, done func(id RequestID, wait Nanos)) {
	for now := from; now < to; now += ms {
		*credit = min(*credit+perMS, 10*perMS)
		for *credit > 0 {
			id, ok := q.NextAdmissible(0, 0)
			if !ok {
				break
			}
			request := q.interactive.requests[id].Request
			*credit -= EstimatedCost(request.PromptTokens, request.MaxAnswerTokens)
			q.RecordSent(now, request)
			q.Admit(now, id)
			q.RecordFinished(now, request, Result{Served: true, AnswerTokens: 0})
			done(id, now-came[id])
		}
	}
}

// TestFlood: a client that floods, under one name or under many made-up ones, does not make a small known client
// wait longer than a few of its own requests' time.
func TestFlood(t *testing.T) {
	for name, flooder := range map[string]func(i int) uint64{
		"one name":   func(int) uint64 { return 77 },
		"many names": func(i int) uint64 { return 1000 + uint64(i) },
	} {
		t.Run(name, func(t *testing.T) {
			q := newDoor(t, 20000, TenantLimits{Weight: 1})
			meet(q, 1, 0, 1, 2, 3, 77)
			came, small := map[RequestID]Nanos{}, map[RequestID]bool{}
			var worst, worstFlood Nanos
			credit := 0.0
			n := 0
			done := func(id RequestID, wait Nanos) {
				if small[id] {
					worst = max(worst, wait)
				} else {
					worstFlood = max(worstFlood, wait)
				}
			}
			for now := Nanos(0); now < 4*sec; now += 10 * ms {
				for range 30 { // fifteen times what is served
					n++
					request := ask(0, flooder(n), 100)
					request.Source = 9
					if c, _ := q.Enqueue(now, request); c == Queued {
						came[request.ID] = now
					}
				}
				if now%(50*ms) == 0 {
					request := ask(0, 1+uint64(now/(50*ms))%3, 100)
					if c, _ := q.Enqueue(now, request); c != Queued {
						t.Fatalf("a small client was refused: %v", c)
					}
					came[request.ID], small[request.ID] = now, true
				}
				serve(q, &credit, now, now+10*ms, 20, came, done)
			}
			if worst > 50*ms {
				t.Errorf("a small client waited %d ms, want at most 50: five jobs take 25", worst/ms)
			}
			if worstFlood < 500*ms {
				t.Errorf("the flood waited %d ms at most: it was none", worstFlood/ms)
			}
		})
	}
}

// TestIdleTenant: an hour without a request saves nothing up.
func TestIdleTenant(t *testing.T) {
	q := newDoor(t, 1000, TenantLimits{Weight: 1}, TenantLimits{Weight: 1})
	for range 100 {
		request := ask(0, 0, 100)
		q.Enqueue(1, request)
		id, _ := q.NextAdmissible(0, 0)
		q.Admit(1, id)
	}
	now := 3600 * sec
	owner := map[RequestID]int{}
	for range 50 {
		for i := range 2 {
			request := ask(i, 0, 100)
			q.Enqueue(now, request)
			owner[request.ID] = i
		}
	}
	got := [2]int{}
	for range 40 {
		id, _ := q.NextAdmissible(0, 0)
		q.Admit(now, id)
		got[owner[id]]++
	}
	if got[0] < 18 || got[1] < 18 {
		t.Errorf("of 40 let in %v, want half each", got)
	}
}

// TestHugeJob: one huge request between many small ones of another client delays them by itself at most once.
func TestHugeJob(t *testing.T) {
	q := newDoor(t, 1000, TenantLimits{Weight: 1})
	meet(q, 1, 0, 1, 2)
	huge := ask(0, 1, 100000)
	q.Enqueue(1, huge)
	q.Enqueue(1, ask(0, 1, 100000))
	small := 0
	for range 200 {
		q.Enqueue(1, ask(0, 2, 100))
	}
	for i := range 150 {
		id, _ := q.NextAdmissible(0, 0)
		if q.interactive.requests[id].Client == 2 {
			small++
		}
		q.Admit(1, id)
		_ = i
	}
	if small < 149 {
		t.Errorf("%d of 150 let in were small, want all but one: the second huge one owes for the first", small)
	}
}

// TestWeightsChange: from the change on, service follows the new weights.
func TestWeightsChange(t *testing.T) {
	q := newDoor(t, 10000, TenantLimits{Weight: 1}, TenantLimits{Weight: 1})
	owner := map[RequestID]int{}
	for range 2000 {
		for i := range 2 {
			request := ask(i, 0, 100)
			q.Enqueue(1, request)
			owner[request.ID] = i
		}
	}
	count := func(n int) [2]int {
		got := [2]int{}
		for range n {
			id, _ := q.NextAdmissible(0, 0)
			q.Admit(2, id)
			got[owner[id]]++
		}
		return got
	}
	if got := count(200); got[0] < 99 || got[1] < 99 {
		t.Errorf("evenly weighted: %v", got)
	}
	if err := q.SetTenant(1, TenantLimits{Weight: 4}); err != nil {
		t.Fatal(err)
	}
	if got := count(500); got[1] < 396 || got[1] > 404 {
		t.Errorf("at four to one: %v of 500, want 400 for the second", got)
	}
}

// TestTickets: what is booked holds once, for its owner, at its time; nothing else does.
func TestTickets(t *testing.T) {
	q := newDoor(t, 16, TenantLimits{Weight: 1}, TenantLimits{Weight: 1})
	now := sec
	var refused []*Ticket
	for i := range 200 {
		request := ask(0, 5, 100)
		c, a := q.Enqueue(now, request)
		if c != Queued && a.Ticket != nil {
			refused = append(refused, a.Ticket)
		}
		if id, ok := q.NextAdmissible(0, 0); ok && i%4 == 0 {
			q.RecordSent(now, q.interactive.requests[id].Request)
			q.Admit(now, id)
		}
		now += 10 * ms
	}
	if len(refused) < 50 {
		t.Fatalf("%d booked", len(refused))
	}
	s := q.interactive.reservations.signer
	for i := range refused {
		b := s.Encode(refused[i])
		if got, err := s.Decode(b); err != nil || *got != *refused[i] {
			t.Fatalf("came back as %v, %v", got, err)
		}
		for k := range b { // no bit can be changed
			b[k] ^= 1
			if _, err := s.Decode(b); err == nil {
				t.Fatalf("byte %d changed and taken", k)
			}
			b[k] ^= 1
		}
	}
	if _, err := NewTicketSigner([]byte("another")).Decode(s.Encode(refused[0])); err == nil {
		t.Error("a ticket of another key was taken")
	}
	tk := refused[len(refused)-1]
	at := tk.Slot * q.interactive.reservations.slotLength
	for _, c := range []struct {
		name   string
		now    Nanos
		tenant int
		client uint64
		want   bool
	}{
		{"far too early", at - 3*q.interactive.reservations.slotLength, 0, 5, false},
		{"another tenant", at, 1, 5, false},
		{"another client", at, 0, 6, false},
		{"far too late", at + 6*q.interactive.reservations.slotLength, 0, 5, false},
		{"a little early", at - q.interactive.reservations.slotLength/2, 0, 5, true},
		{"twice", at, 0, 5, false},
	} {
		if got := q.interactive.reservations.redeem(c.now, c.tenant, c.client, tk); got != c.want {
			t.Errorf("%s: %v, want %v", c.name, got, c.want)
		}
	}
	if q.interactive.reservations.redeem(at, 0, 5, &Ticket{Tenant: 0, Client: 5, Slot: tk.Slot, Serial: tk.Serial + 4000}) {
		t.Error("a serial that was never given was taken")
	}
}

// TestComingBack: those refused in one burst come back as advised and nearly all are let in, in time, also when they
// come a little off their time or the pace has fallen to half meanwhile; the same crowd back at one instant, without
// tickets, is refused again.
func TestComingBack(t *testing.T) {
	for _, c := range []struct {
		name  string
		pace  float64 // of the queue after the burst
		off   Nanos   // clocks run off by up to so much
		least float64
	}{{"as advised", 1, 0, 0.95}, {"clocks off", 1, 150 * ms, 0.95}, {"half the pace", 0.5, 0, 0.95}} {
		t.Run(c.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(3, 3))
			q := newDoor(t, 256, TenantLimits{Weight: 1})
			came := map[RequestID]Nanos{}
			type back struct {
				at Nanos
				t  *Ticket
				j  Request
			}
			var backs []back
			served := map[RequestID]bool{}
			done := func(id RequestID, _ Nanos) { served[id] = true }
			now, credit := sec, 0.0
			turn := func(pace float64) {
				for {
					id, ok := q.NextExpired(now)
					if !ok {
						break
					}
					q.Reject(now, id, TooLate)
				}
				serve(q, &credit, now, now+ms, pace, came, done)
				now += ms
			}
			for range 300 { // a second and more of five times the pace
				for range 5 {
					request := ask(0, uint64(1+rng.IntN(500)), 100)
					request.Deadline = now + 2*sec
					if cause, a := q.Enqueue(now, request); cause != Queued {
						if a.Ticket == nil {
							continue
						}
						off := Nanos(0)
						if c.off > 0 {
							off = Nanos(rng.Int64N(2*c.off)) - c.off
						}
						backs = append(backs, back{now + a.RetryAfter + off, a.Ticket, request})
					}
					came[request.ID] = now
				}
				for range 4 {
					turn(25)
				}
			}
			if len(backs) < 100 {
				t.Fatalf("%d refused with a booking, %+v", len(backs), q.TenantCounts(0))
			}
			tried, kept := 0, map[RequestID]bool{}
			for end := now + 80*sec; now < end; {
				for i := range backs {
					if b := &backs[i]; b.t != nil && now >= b.at {
						request := b.j
						orders++
						request.ID, request.Deadline, request.Ticket = orders, now+2*sec, b.t
						b.t = nil
						tried++
						if cause, _ := q.Enqueue(now, request); cause == Queued {
							came[request.ID], kept[request.ID] = now, true
						}
					}
				}
				turn(25 * c.pace)
			}
			ok := 0
			for id := range kept {
				if served[id] {
					ok++
				}
			}
			share := float64(ok) / float64(tried)
			t.Logf("%d came back as advised, %.3f of them were let in", tried, share)
			if tried < 100 || share < c.least {
				t.Errorf("%.3f of %d, want %.2f at least", share, tried, c.least)
			}
		})
	}
}

// TestMemoryBound: ten thousand clients with one request each, then a flood of names: flows and requests stay bounded.
func TestMemoryBound(t *testing.T) {
	q := newDoor(t, 2000, TenantLimits{Weight: 1})
	for i := range 200000 {
		now := Nanos(i) * ms / 10
		request := ask(0, uint64(i+1), 100)
		request.Source = uint64(i % 50000)
		q.Enqueue(now, request)
		if id, ok := q.NextAdmissible(0, 0); ok && i%3 == 0 {
			q.Admit(now, id)
		}
		if q.Waiting() > 2000 || q.FlowCount() > 2000+1024+1 {
			t.Fatalf("%d waiting in %d flows", q.Waiting(), q.FlowCount())
		}
	}
}

// TestQuickTracksFirst: within a client the request goes first whose expected time is up first.
func TestQuickTracksFirst(t *testing.T) {
	q := newDoor(t, 100, TenantLimits{Weight: 1})
	meet(q, 1, 0, 5)
	slow, quick := ask(0, 5, 100), ask(0, 5, 100)
	slow.LatencyObjective, quick.LatencyObjective = 10*sec, sec
	q.Enqueue(1, slow)
	q.Enqueue(2, quick)
	if id, _ := q.NextAdmissible(0, 0); id != quick.ID {
		t.Error("the draft goes before the question that came after it")
	}
}

// TestHoarding: a client that asks a thousand times for a place leaves others places in each slot.
func TestHoarding(t *testing.T) {
	q := newDoor(t, 64, TenantLimits{Weight: 1})
	meet(q, 1, 0, 5, 6)
	now := sec
	for range 2000 { // a pace is known, and the queue is full
		q.Enqueue(now, ask(0, 7, 100))
		if id, ok := q.NextAdmissible(0, 0); ok && q.Waiting() > 50 {
			q.RecordSent(now, q.interactive.requests[id].Request)
			q.Admit(now, id)
		}
		now += ms
	}
	var first Nanos
	hoarded := 0
	for range 1000 {
		if c, a := q.Enqueue(now, ask(0, 5, 100)); c != Queued && a.Ticket != nil {
			hoarded++
			if first == 0 {
				first = a.RetryAfter
			}
		}
	}
	if hoarded < 20 {
		t.Fatalf("%d booked", hoarded)
	}
	other := ask(0, 6, 100)
	if c, _ := q.Enqueue(now, other); c != Queued {
		t.Fatal(c)
	}
	a := q.Reject(now, other.ID, Overloaded)
	if a.Ticket == nil {
		t.Fatalf("%+v: want a booking", a)
	}
	if a.RetryAfter > first+2*q.interactive.reservations.slotLength {
		t.Errorf("after %d bookings of another client one has to wait %d ms, the first of those %d ms", hoarded, a.RetryAfter/ms, first/ms)
	}
}

// TestAllAtOnce: the refused come back together, too early for their tickets: they are refused as any others, what
// waits stays bounded, and a small known client goes in at once.
func TestAllAtOnce(t *testing.T) {
	q := newDoor(t, 64, TenantLimits{Weight: 1})
	meet(q, 1, 0, 6)
	now := sec
	var backs []Request
	for i := range 2000 {
		request := ask(0, 7, 100)
		if c, a := q.Enqueue(now, request); c != Queued && a.Ticket != nil && a.Ticket.Slot > (now+4*sec)/q.interactive.reservations.slotLength {
			request.Ticket = a.Ticket
			backs = append(backs, request)
		}
		if id, ok := q.NextAdmissible(0, 0); ok && i%2 == 0 {
			q.RecordSent(now, q.interactive.requests[id].Request)
			q.Admit(now, id)
		}
		now += ms
	}
	if len(backs) < 50 {
		t.Fatalf("%d to come back", len(backs))
	}
	before := q.TenantCounts(0)
	for _, request := range backs {
		orders++
		request.ID = orders
		q.Enqueue(now, request)
	}
	after := q.TenantCounts(0)
	if after.ReservationsRedeemed != before.ReservationsRedeemed || q.Waiting() > 64 {
		t.Errorf("%d tickets held before their time, %d wait", after.ReservationsRedeemed-before.ReservationsRedeemed, q.Waiting())
	}
	q.Admit(now, func() RequestID { id, _ := q.NextAdmissible(0, 0); return id }())
	small := ask(0, 6, 100)
	if c, _ := q.Enqueue(now, small); c != Queued {
		t.Fatalf("a small client is refused: %v", c)
	}
	q.Admit(now, func() RequestID { id, _ := q.NextAdmissible(0, 0); return id }())
	if id, _ := q.NextAdmissible(0, 0); id != small.ID {
		if _, waits := q.interactive.requests[small.ID]; waits {
			t.Error("the small client is not among the next two")
		}
	}
}

// TestUnplaced: after requests that the module could not place, fewer stand before it; attempts bring them back.
func TestUnplaced(t *testing.T) {
	q := newDoor(t, 10, TenantLimits{Weight: 1})
	old := []Nanos{sec, sec, sec, sec}
	most := func() int {
		n := 0
		for n < len(old) && q.CanAdmit(old[:n]) {
			n++
		}
		return n
	}
	got := []int{most()}
	for range 3 {
		q.RecordNotSent()
		got = append(got, most())
	}
	for range 3 * 8 {
		q.RecordSent(sec, Request{PromptTokens: 1})
	}
	got = append(got, most())
	if want := []int{4, 2, 1, 1, 4}; !slices.Equal(got, want) {
		t.Errorf("jobs inside at most: %v, want %v", got, want)
	}
}

// TestToShed: an overloaded dispatcher sheds an eighth of what waits, from the heaviest flow.
func TestToShed(t *testing.T) {
	q := newDoor(t, 1000, TenantLimits{Weight: 1}, TenantLimits{Weight: 1})
	for range 80 {
		q.Enqueue(1, ask(0, 0, 100))
	}
	q.Enqueue(1, ask(1, 0, 100))
	for _, c := range []struct {
		worked       Nanos
		memory, most uint64
		want         int
	}{{10 * ms, 0, 0, 0}, {200 * ms, 0, 0, 10}, {0, 100, 0, 0}, {0, 100, 100, 0}, {0, 101, 100, 10}} {
		if got := q.ShedCount(c.worked, c.memory, c.most); got != c.want {
			t.Errorf("after %d ms with %d of %d bytes: %d to shed, want %d", c.worked/ms, c.memory, c.most, got, c.want)
		}
	}
	for range 79 {
		id, _ := q.NextToShed()
		if q.interactive.requests[id].Tenant != 0 {
			t.Fatal("shed from the lighter tenant")
		}
		q.Reject(2, id, Overloaded)
	}
}

func BenchmarkDoor(b *testing.B) {
	for _, flows := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			q := newDoor(b, flows*3, TenantLimits{Weight: 1})
			q.interactive.clients = newKnownClients(flows * 8)
			for i := range flows {
				meet(q, 1, 0, uint64(i+1))
			}
			next := uint64(0)
			come := func() {
				next++
				request := ask(0, 1+next%uint64(flows), 100)
				q.Enqueue(Nanos(next), request)
			}
			for range 2 * flows {
				come()
			}
			b.ReportAllocs()
			for b.Loop() {
				come()
				id, _ := q.NextAdmissible(0, 0)
				request := q.interactive.requests[id].Request
				q.Admit(Nanos(next), id)
				q.RecordFinished(Nanos(next), request, Result{Served: true, AnswerTokens: 0})
			}
		})
	}
}

// TestSmallComeBackSoon: one who is refused while another's flood waits is told to stay away for what stands before
// it by its own share, not until the flood has passed.
func TestSmallComeBackSoon(t *testing.T) {
	q := newDoor(t, 1000, TenantLimits{Weight: 1})
	meet(q, 0, 0, 7, 8)
	for range 100 {
		if c, _ := q.Enqueue(sec, ask(0, 7, 1000)); c != Queued {
			t.Fatal(c)
		}
	}
	now := sec
	for range 20 {
		now += 10 * ms
		id, _ := q.NextAdmissible(0, 0)
		q.Admit(now, id)
		q.RecordSent(now, Request{PromptTokens: 1000})
	}
	small, large := q.ReserveRetry(now, ask(0, 8, 1000), 0), q.ReserveRetry(now, ask(0, 7, 1000), 0)
	if small.Ticket == nil || large.Ticket == nil || small.RetryAfter > large.RetryAfter/2 || large.RetryAfter < 500*ms {
		t.Errorf("the small one is to stay away for %d ms, the flooding one for %d ms of the 800 ms that wait", small.RetryAfter/ms, large.RetryAfter/ms)
	}
}

// TestDisplace: a queue full of one flood takes the requests of others in its stead, the newest first, down to an even
// share and no further; those back as advised stay.
func TestDisplace(t *testing.T) {
	q := newDoor(t, 64, TenantLimits{Weight: 1, MaxWaiting: 100}, TenantLimits{Weight: 1, MaxWaiting: 4})
	meet(q, 0, 0, 5, 6, 7)
	meet(q, 0, 1, 8, 9)
	last := RequestID(0)
	for {
		request := ask(0, 5, 100)
		if c, _ := q.Enqueue(0, request); c != Queued {
			break
		}
		last = request.ID
	}
	full := q.Waiting()
	for i := range full {
		request := ask(0, 6, 100)
		c, _ := q.Enqueue(0, request)
		if fair := i < full/2; fair != (c == Queued) {
			t.Fatalf("job %d of the other client, of %d that fit: %v", i, full, c)
		}
		id, _, ok := q.PopDisplaced(0)
		if ok != (c == Queued) || ok && id != last-RequestID(i) {
			t.Fatalf("job %d displaces %d, %v, want the newest, %d", i, id, ok, last-RequestID(i))
		}
		if q.Waiting() != full {
			t.Fatalf("%d wait, want %d", q.Waiting(), full)
		}
	}
	// Within a tenant's own limit as well, but not beyond it.
	for range 5 {
		q.Enqueue(0, ask(1, 8, 100))
	}
	if w, _ := q.TenantLoad(1); w != 4 {
		t.Fatalf("%d of the second tenant wait, want its 4", w)
	}
	q.interactive.displacedRequests = q.interactive.displacedRequests[:0]
	if c, _ := q.Enqueue(0, ask(1, 9, 100)); c != Queued {
		t.Error(c)
	}
	if w, _ := q.TenantLoad(1); w != 4 || len(q.interactive.displacedRequests) != 1 || q.interactive.displacedRequests[0].Client != 8 {
		t.Errorf("%d wait, %v displaced; want one of its heavier client", w, q.interactive.displacedRequests)
	}
	// One that leaves before it is answered is forgotten.
	if gone := q.interactive.displacedRequests[0].ID; q.Cancel(0, gone) || len(q.interactive.displacedRequests) != 0 {
		t.Error("a displaced job that left is still to be answered")
	}
}

// TestBackground: background work goes in when nobody else waits and nothing is unlaunched, is not counted among those
// who fill the queue, is shed first, and comes back by bookings as any.
func TestBackground(t *testing.T) {
	q := newDoor(t, 40, TenantLimits{Weight: 1})
	back := func() Request {
		request := ask(0, 0, 100)
		request.Background = true
		return request
	}
	var first Request
	for i := range 12 {
		request := back()
		if i == 0 {
			first = request
		}
		if c, a := q.Enqueue(0, request); (c == Queued) != (i < 9) || c != Queued && a.RetryAfter <= 0 { // a quarter of the room, but for the returners' eighth
			t.Fatalf("background job %d: %v, %+v", i, c, a)
		}
	}
	for range 35 {
		if c, _ := q.Enqueue(0, ask(0, 0, 100)); c != Queued {
			t.Fatal("background work takes others' room")
		}
	}
	for range 35 {
		id, ok := q.NextAdmissible(1, 0)
		if !ok || q.interactive.requests[id] == nil {
			t.Fatal("background work goes before others")
		}
		q.Admit(1, id)
	}
	if _, ok := q.NextAdmissible(1, 1); ok {
		t.Error("background work goes in while the module has something to place")
	}
	id, ok := q.NextAdmissible(1, 0)
	if !ok || id != first.ID {
		t.Fatalf("%d, %v: want the first background job", id, ok)
	}
	q.Admit(1, id)
	if _, ok := q.NextAdmissible(1, 0); ok || q.BackgroundInFlight() != 1 {
		t.Errorf("a second one goes in while the first has not begun; %d out", q.BackgroundInFlight())
	}
	q.RecordFirstToken(2, first, 1)
	q.RecordFinished(2, first, Result{Served: true, AnswerTokens: 10})
	if q.BackgroundInFlight() != 0 {
		t.Errorf("%d out", q.BackgroundInFlight())
	}
	q.Enqueue(3, ask(0, 0, 100))
	if id, _ := q.NextToShed(); q.background.requests[id] == nil {
		t.Error("what somebody waits for is shed before background work")
	}
	now := 2 * sec
	n := 0
	for {
		id, ok := q.NextExpired(now)
		if !ok {
			break
		}
		if a := q.Reject(now, id, TooLate); a.RetryAfter <= 0 {
			t.Errorf("refused with %+v", a)
		}
		n++
	}
	if n != 9 || q.Waiting() != 0 {
		t.Errorf("%d expired, %d wait", n, q.Waiting())
	}
}
