package policy

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// fleetPlay has one module route a steady traffic over a fleet of any size.
type fleetPlay struct {
	module *Router
	now    Nanos
	wake   Nanos
	next   RequestID
	every  Nanos // a request comes so often: what one module sees does not grow with the fleet
	due    Nanos
	ends   []fleetEnd // in the order in which they fall due
}

type fleetEnd struct {
	at      Nanos
	request RequestID
	attempt AttemptNumber
	outcome Outcome
}

const (
	fleetStep    = Nanos(10e6)
	fleetLatency = Nanos(200e6) // of a read and of an answer
)

// newFleetPlay makes a module before half as many prefill servers as decode servers.
func newFleetPlay(tb testing.TB, servers, perSecond int) *fleetPlay {
	tb.Helper()
	module := newRouter(tb, Config{
		Seed:        1,
		Self:        Identity{Count: 300},
		Classes:     []Class{{LatencyTarget: 1e9, LatencyTargetPer1k: 60e6, Timeout: 5e9}},
		Roles:       []Role{Prefill, Decode},
		SlowStart:   SlowStart{InitialCapacity: 0.3, WarmupTime: 10e9, OverloadFactor: 2.5, OverloadWindow: 3e9},
		Attempts:    AttemptLimits{MaxAttempts: 4, CanCancel: true},
		Responses:   ResponseSettings{DeadlineGrace: 50e6, RoundInterval: 4e6},
		ReleaseTime: 1e9,
	})
	play := &fleetPlay{module: module, now: 1e9, wake: Never, every: 1e9 / Nanos(perSecond)}
	module.ListUpdateStarted(true)
	for i := range servers {
		kind := KindID(0)
		if i%3 > 0 {
			kind = 1
		}
		module.ServerListed(ServerID(i+1), ZoneID(i%4), kind, CellID(i/8), Serving, 0)
	}
	module.ListUpdateEnded(play.now)
	play.pull()
	return play
}

// pull carries out what the module decides.
func (p *fleetPlay) pull() {
	for decision, ok := p.module.NextDecision(p.now); ok; decision, ok = p.module.NextDecision(p.now) {
		switch decision.Action {
		case SetTimer:
			p.wake = p.now + decision.Duration
		case SendAttempt:
			_, req := p.module.requests.find(decision.Request)
			outcome := Prefilled
			if req.phase == awaitingDecode {
				outcome = Served
			}
			p.ends = append(p.ends, fleetEnd{p.now + fleetLatency, decision.Request, AttemptNumber(req.attempts - 1), outcome})
		}
	}
}

// run plays so long.
func (p *fleetPlay) run(span Nanos) {
	for until := p.now + span; p.now < until; p.now += fleetStep {
		for len(p.ends) > 0 && p.ends[0].at <= p.now {
			end := p.ends[0]
			p.ends = p.ends[1:]
			p.module.AttemptEnded(p.now, end.request, end.attempt, end.outcome, fleetLatency, end.outcome == Served, NoLoadReport)
			p.pull()
		}
		if p.now >= p.due {
			p.due += p.every
			p.next++
			p.module.RequestArrived(p.now, Request{
				ID: p.next, Tenant: -1, Session: SessionKey(p.next), Prefix: PrefixKey(p.next%50 + 1),
				PromptTokens: 4000, PrefixTokens: 1000, Deadline: p.now + 5e9,
			})
			p.pull()
		}
		if p.wake <= p.now {
			p.wake = Never
			p.module.TimerFired(p.now)
			p.pull()
		}
	}
}

// BenchmarkFleet is what one module takes for a second of traffic, by the size of the fleet and the requests in a second.
func BenchmarkFleet(b *testing.B) {
	for _, perSecond := range []int{2, 30} {
		for _, servers := range []int{100, 200, 800, 3200} {
			b.Run(fmt.Sprintf("requests=%d/servers=%d", perSecond, servers), func(b *testing.B) {
				play := newFleetPlay(b, servers, perSecond)
				play.run(10e9)
				for b.Loop() {
					play.run(1e9)
				}
			})
		}
	}
}

// TestLargeListIsTakenInTime: the list of the largest fleet, cell by cell, costs a moment of processor time. Looking for a
// cell among the servers of all others took three quarters of a minute of it, in which a dispatcher that has just started is not ready.
func TestLargeListIsTakenInTime(t *testing.T) {
	const limit = 2 * time.Second // a hundred times what it takes
	begun := time.Now()
	newFleetPlay(t, 3200, 1)
	if took := time.Since(begun); took > limit {
		t.Errorf("a list of 3,200 servers took %v, want %v at most", took, limit)
	}
}

// TestReplicasAreTheHighestHashes compares the replicas of prefixes with their definition: of the eligible servers of
// the role, the first by rendezvous hash.
func TestReplicasAreTheHighestHashes(t *testing.T) {
	play := newFleetPlay(t, 60, 10)
	play.run(5e9)
	d := play.module
	for n := range 200 {
		req := &requestState{Request: Request{ID: RequestID(1e6 + n), Prefix: PrefixKey(n % 70), Session: SessionKey(n + 1), PromptTokens: 4000}}
		d.findReplicas(play.now, req, Prefill, passStrict, int64(Never))
		want := []int32{}
		for i := range d.servers {
			if d.servers[i].role == Prefill && d.eligible(play.now, req, int32(i), passStrict) {
				want = append(want, int32(i))
			}
		}
		hash := func(i int32) uint64 { return mixBits(uint64(req.Prefix) ^ mixBits(uint64(d.servers[i].id))) }
		slices.SortFunc(want, func(a, b int32) int { return cmp.Compare(hash(b), hash(a)) })
		want = want[:min(d.replicaCount(req), len(want))]
		got := []int32{}
		for i := range d.servers {
			if d.servers[i].replicaLookup == d.affinity.number {
				got = append(got, int32(i))
			}
		}
		slices.Sort(want)
		if !slices.Equal(got, want) {
			t.Fatalf("prefix %d: replicas %v, want %v", req.Prefix, got, want)
		}
		if !slices.Contains(want, d.affinity.sessionReplica) {
			t.Fatalf("prefix %d: the session's replica %d is none of %v", req.Prefix, d.affinity.sessionReplica, want)
		}
	}
}

// TestCountsAreKeptUpToDate has servers come, go, start anew, drain and be ejected at random. After each review the counts
// are those that counting all of them anew gives.
func TestCountsAreKeptUpToDate(t *testing.T) {
	play := newFleetPlay(t, 30, 20)
	d, rng := play.module, rand.New(rand.NewPCG(1, 2))
	for n := range 2000 {
		play.run(Nanos(rng.IntN(100)) * 1e6)
		switch id := ServerID(rng.IntN(40) + 1); rng.IntN(4) {
		case 0:
			started := Nanos(0)
			if rng.IntN(2) == 0 {
				started = play.now - Nanos(rng.IntN(12))*1e9
			}
			d.ListUpdateStarted(false)
			d.ServerListed(id, ZoneID(rng.IntN(3)), KindID(rng.IntN(2)), CellID(rng.IntN(6)), Health(rng.IntN(3)), max(started, 0))
			d.ListUpdateEnded(play.now)
		case 1:
			if i, ok := d.serverIndex[id]; ok {
				d.eject(play.now, &d.servers[i], "test")
			}
		}
		d.review(play.now)
		serving, warming, warm := d.counts.serving, d.counts.warming, d.counts.warm
		cells, zones := slices.Clone(d.locality.cells), slices.Clone(d.locality.zones)
		d.counts.stale = true
		d.countServers(play.now)
		d.locality.shareCapacity()
		if serving != d.counts.serving || warming != d.counts.warming || warm != d.counts.warm || !slices.Equal(cells, d.locality.cells) || !slices.Equal(zones, d.locality.zones) {
			t.Fatalf("step %d: serving %v, warming up %v, warm %v, want %v, %v, %v; cells %v, want %v",
				n, serving, warming, warm, d.counts.serving, d.counts.warming, d.counts.warm, cells, d.locality.cells)
		}
		members := make([]int32, len(d.locality.cells))
		for i := range d.servers {
			if at := d.servers[i].cellIndex; at != noCell {
				members[at]++
			}
		}
		for i := range d.locality.cells {
			if d.locality.cells[i].serverCount != members[i] || d.locality.index[d.locality.cells[i].key()] != int32(i) {
				t.Fatalf("step %d: cell %d has %d servers, said to be %d", n, i, members[i], d.locality.cells[i].serverCount)
			}
		}
	}
}
