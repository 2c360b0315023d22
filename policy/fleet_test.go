package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// steadyFleet simulates one router with steady traffic and a fleet of any size.
type steadyFleet struct {
	router        *Router
	now           Nanos
	timer         Nanos
	lastID        RequestID
	interval      Nanos // between two requests; does not depend on the size of the fleet
	nextArrivalAt Nanos
	pending       []steadyEnd // ordered by time
}

// steadyEnd is the scheduled end of an attempt and its outcome.
type steadyEnd struct {
	at      Nanos
	request RequestID
	attempt AttemptNumber
	outcome Outcome
}

const (
	steadyRound   = Nanos(10e6)
	steadyLatency = Nanos(200e6) // of each attempt
)

// newSteadyFleet returns a fleet with half as many prefill servers as decode servers.
func newSteadyFleet(tb testing.TB, servers, requestsPerSecond int) *steadyFleet {
	tb.Helper()
	f := &steadyFleet{now: 1e9, timer: Never, interval: 1e9 / Nanos(requestsPerSecond)}
	f.router = newRouter(tb, Config{
		Seed:        1,
		Self:        Identity{Count: 300},
		Classes:     []Class{{LatencyTarget: 1e9, LatencyTargetPer1k: 60e6, Timeout: 5e9}},
		Roles:       []Role{Prefill, Decode},
		SlowStart:   SlowStart{InitialCapacity: 0.3, WarmupTime: 10e9, OverloadFactor: 2.5, OverloadWindow: 3e9},
		Attempts:    AttemptLimits{MaxAttempts: 4, CanCancel: true},
		Responses:   ResponseSettings{DeadlineGrace: 50e6, RoundInterval: 4e6},
		ReleaseTime: 1e9,
	})
	f.router.ListUpdateStarted(true)
	for i := range servers {
		kind := KindID(0)
		if i%3 > 0 {
			kind = 1
		}
		f.router.ServerListed(ServerID(i+1), ZoneID(i%4), kind, CellID(i/8), Serving, 0)
	}
	f.router.ListUpdateEnded(f.now)
	f.applyDecisions()
	return f
}

// applyDecisions carries out the decisions that are due.
func (f *steadyFleet) applyDecisions() {
	for decision, ok := f.router.NextDecision(f.now); ok; decision, ok = f.router.NextDecision(f.now) {
		switch decision.Action {
		case SetTimer:
			f.timer = f.now + decision.Duration
		case SendAttempt:
			_, req := f.router.requests.find(decision.Request)
			outcome := Prefilled
			if req.phase == awaitingDecode {
				outcome = Served
			}
			attempt := AttemptNumber(req.attempts - 1)
			f.pending = append(f.pending, steadyEnd{f.now + steadyLatency, decision.Request, attempt, outcome})
		default:
		}
	}
}

// run simulates a duration.
func (f *steadyFleet) run(duration Nanos) {
	for until := f.now + duration; f.now < until; f.now += steadyRound {
		for len(f.pending) > 0 && f.pending[0].at <= f.now {
			end := f.pending[0]
			f.pending = f.pending[1:]
			f.router.AttemptEnded(f.now, end.request, end.attempt, end.outcome, steadyLatency, end.outcome == Served,
				NoLoadReport)
			f.applyDecisions()
		}
		if f.now >= f.nextArrivalAt {
			f.nextArrivalAt += f.interval
			f.lastID++
			f.router.RequestArrived(f.now, Request{
				ID: f.lastID, Tenant: -1, Session: SessionKey(f.lastID), Prefix: PrefixKey(f.lastID%50 + 1),
				PromptTokens: 4000, PrefixTokens: 1000, Deadline: f.now + 5e9,
			})
			f.applyDecisions()
		}
		if f.timer <= f.now {
			f.timer = Never
			f.router.TimerFired(f.now)
			f.applyDecisions()
		}
	}
}

// BenchmarkFleet measures one second of the traffic of one dispatcher, by request rate and size of the fleet.
func BenchmarkFleet(b *testing.B) {
	for _, perSecond := range []int{2, 30} {
		for _, servers := range []int{100, 200, 800, 3200} {
			b.Run(fmt.Sprintf("requests=%d/servers=%d", perSecond, servers), func(b *testing.B) {
				fleet := newSteadyFleet(b, servers, perSecond)
				fleet.run(10e9)
				for b.Loop() {
					fleet.run(1e9)
				}
			})
		}
	}
}

// TestLargeListLoadsQuickly guards against a time quadratic in the size of the endpoint list, during which a
// dispatcher that has just started would not be ready.
func TestLargeListLoadsQuickly(t *testing.T) {
	const limit = 2 * time.Second
	startedAt := time.Now()
	newSteadyFleet(t, 3200, 1)
	if took := time.Since(startedAt); took > limit {
		t.Errorf("list of 3,200 servers: took %v, want at most %v", took, limit)
	}
}

// TestReplicasHaveHighestHashes compares the replicas of prefixes with their definition: the eligible servers of the
// role with the highest rendezvous hashes.
func TestReplicasHaveHighestHashes(t *testing.T) {
	fleet := newSteadyFleet(t, 60, 10)
	fleet.run(5e9)
	router := fleet.router
	for n := range 200 {
		req := &requestState{Request: Request{
			ID: RequestID(1e6 + n), Prefix: PrefixKey(n % 70), Session: SessionKey(n + 1), PromptTokens: 4000,
		}}
		router.findReplicas(fleet.now, req, Prefill, passStrict, int64(Never))
		want := []int32{}
		for i := range router.servers {
			if router.servers[i].role == Prefill && router.eligible(fleet.now, req, int32(i), passStrict) {
				want = append(want, int32(i))
			}
		}
		hash := func(i int32) uint64 { return mixBits(uint64(req.Prefix) ^ mixBits(uint64(router.servers[i].id))) }
		slices.SortFunc(want, func(a, b int32) int { return cmp.Compare(hash(b), hash(a)) })
		want = want[:min(router.replicaCount(req), len(want))]
		got := []int32{}
		for i := range router.servers {
			if router.servers[i].replicaLookup == router.affinity.number {
				got = append(got, int32(i))
			}
		}
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("prefix %d: got replicas %v, want %v", req.Prefix, got, want)
		}
		if !slices.Contains(want, router.affinity.sessionReplica) {
			t.Fatalf("prefix %d: got session replica %d, want one of %v", req.Prefix, router.affinity.sessionReplica, want)
		}
	}
}

// TestServerCountsMatchRecount checks that after each review the counts are equal to those of a full recount, while
// servers are added, removed, restarted, drained and ejected at random.
func TestServerCountsMatchRecount(t *testing.T) {
	fleet := newSteadyFleet(t, 30, 20)
	router, rng := fleet.router, rand.New(rand.NewPCG(1, 2))
	for n := range 2000 {
		fleet.run(Nanos(rng.IntN(100)) * 1e6)
		switch id := ServerID(rng.IntN(40) + 1); rng.IntN(4) {
		case 0:
			startedAt := Nanos(0)
			if rng.IntN(2) == 0 {
				startedAt = fleet.now - Nanos(rng.IntN(12))*1e9
			}
			router.ListUpdateStarted(false)
			router.ServerListed(id, ZoneID(rng.IntN(3)), KindID(rng.IntN(2)), CellID(rng.IntN(6)), Health(rng.IntN(3)),
				max(startedAt, 0))
			router.ListUpdateEnded(fleet.now)
		case 1:
			if i, ok := router.serverIndex[id]; ok {
				router.eject(fleet.now, &router.servers[i], EjectedFailing)
			}
		}
		router.review(fleet.now)
		counts, cells, zones := router.counts, slices.Clone(router.locality.cells), slices.Clone(router.locality.zones)
		router.counts.stale = true
		router.countServers(fleet.now)
		router.locality.computeCapacities()
		if counts != router.counts || !slices.Equal(cells, router.locality.cells) ||
			!slices.Equal(zones, router.locality.zones) {
			t.Fatalf("step %d: got counts %v, want %v; got cells %v, want %v",
				n, counts, router.counts, cells, router.locality.cells)
		}
		checkCells(t, router)
	}
}

// checkCells checks the number of servers of each cell and the index of the cells.
func checkCells(t *testing.T, router *Router) {
	t.Helper()
	members := make([]int32, len(router.locality.cells))
	for i := range router.servers {
		if at := router.servers[i].cellIndex; at != noCell {
			members[at]++
		}
	}
	for i := range router.locality.cells {
		c := &router.locality.cells[i]
		if c.serverCount != members[i] || router.locality.index[c.key()] != int32(i) {
			t.Fatalf("cell %d: has %d servers, but its server count is %d or its index is wrong", i, members[i], c.serverCount)
		}
	}
}
