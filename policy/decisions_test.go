package policy

import (
	"crypto/sha256"
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
)

// decisionRecorder drives one router with random events and hashes every decision it returns.
type decisionRecorder struct {
	router    *Router
	rng       *rand.Rand
	now       Nanos
	timer     Nanos // when the router wants TimerFired; Never = not set
	nextID    RequestID
	attempts  map[RequestID]AttemptNumber // last attempt of each request
	pending   []pendingAttempt
	held      []RequestID // requests whose KV state was held at some time
	decisions int
	digest    [sha256.Size]byte
}

// pendingAttempt is an attempt that has not ended.
type pendingAttempt struct {
	request       RequestID
	attempt       AttemptNumber
	server        ServerID
	sentAt        Nanos
	streamStarted bool
}

const (
	recordedServers = 24
	recordedSteps   = 6000
)

// roleOf returns the role of a server of the recorded fleet: two in eight are mixed.
func roleOf(id ServerID) Role {
	return []Role{Prefill, Decode, Prefill, Mixed, Decode, Prefill, Decode, Mixed}[id%8]
}

func newDecisionRecorder(t *testing.T, seed uint64, discovery Discovery, limits AttemptLimits) *decisionRecorder {
	t.Helper()
	classes := []Class{
		{LatencyTarget: 1e9, LatencyTargetPer1k: 40e6, Timeout: 5e9, Value: 1},
		{
			LatencyTarget: 3e9, LatencyTargetPer1k: 60e6, Timeout: 9e9, Value: 3, Idempotency: Deduplicated,
			DedupScope: DedupScopeZone, DedupWindow: 2e9,
		},
		{
			LatencyTarget: 2e9, Timeout: 6e9, Value: 2, Idempotency: Deduplicated, DedupScope: DedupScopeCell,
			DedupWindow: 4e9,
		},
		{LatencyTarget: 2e9, Timeout: 6e9, Value: 2, Idempotency: NonIdempotent},
	}
	router := newRouter(t, Config{
		Seed:        seed,
		Self:        Identity{Index: 1, Count: 3, Zone: 1},
		Classes:     classes,
		Tenants:     []Tenant{{RequestsPerSecond: 20}, {RequestsPerSecond: 60}},
		Roles:       []Role{Prefill, Decode, Mixed},
		SlowStart:   SlowStart{InitialCapacity: 0.3, WarmupTime: 8e9, OverloadFactor: 2.5, OverloadWindow: 3e9},
		Attempts:    limits,
		Responses:   ResponseSettings{DeadlineGrace: 16e6, RoundInterval: 4e6, SendRetryAfter: true, MaxRetryAfter: 800e6},
		Discovery:   discovery,
		ReleaseTime: 1500e6,
	})
	r := &decisionRecorder{
		router: router, rng: rand.New(rand.NewPCG(seed, 1)), now: 20e9, timer: Never,
		attempts: map[RequestID]AttemptNumber{},
	}
	r.listAll()
	return r
}

func (r *decisionRecorder) listServer(id ServerID, health Health, startedAt Nanos) {
	r.router.ServerListed(id, ZoneID(id%3), KindID(roleOf(id)), CellID(id%7/2), health, startedAt)
}

func (r *decisionRecorder) listAll() {
	r.router.ListUpdateStarted(true)
	for id := ServerID(1); id <= recordedServers; id++ {
		r.listServer(id, Serving, 0)
	}
	r.router.ListUpdateEnded(r.now)
}

// takeDecisions hashes the decisions that are due and records the attempts among them.
func (r *decisionRecorder) takeDecisions() {
	for decision, ok := r.router.NextDecision(r.now); ok; decision, ok = r.router.NextDecision(r.now) {
		r.decisions++
		ejection := ""
		if decision.Action == LogEjection {
			ejection = decision.Ejection.String()
		}
		r.digest = sha256.Sum256(fmt.Appendf(r.digest[:], "%d %d %d %d %d %d %d %d %s", r.now, decision.Action,
			decision.Request, decision.Server, decision.Attempt, decision.Duration, decision.CachedTokens,
			decision.SendBefore, ejection))
		switch decision.Action {
		case SetTimer:
			r.timer = r.now + decision.Duration
		case SendAttempt:
			attempt, isRetry := r.attempts[decision.Request]
			if isRetry {
				attempt++
			}
			r.attempts[decision.Request] = attempt
			r.pending = append(r.pending, pendingAttempt{decision.Request, attempt, decision.Server, r.now, false})
		case CancelAttempt:
			for i, p := range r.pending {
				if p.request == decision.Request && p.attempt == decision.Attempt {
					r.pending = append(r.pending[:i], r.pending[i+1:]...)
					r.router.AttemptEnded(r.now, p.request, p.attempt, Canceled, r.now-p.sentAt, r.rng.IntN(3) == 0,
						NoLoadReport)
					break
				}
			}
		default:
		}
	}
}

func (r *decisionRecorder) sendRequest() {
	r.nextID++
	request := Request{
		ID: r.nextID, Class: ClassID(r.rng.IntN(4)), Tenant: TenantID(r.rng.IntN(3) - 1),
		PromptTokens: 100 + r.rng.Int64N(5000), MaxOutputTokens: 100,
		Deadline: r.now + Nanos(50e6+r.rng.Int64N(8e9)),
	}
	if r.rng.IntN(4) > 0 {
		request.Session = SessionKey(r.rng.IntN(60) + 1)
	}
	if r.rng.IntN(3) > 0 {
		request.Prefix, request.PrefixTokens = PrefixKey(r.rng.IntN(12)+1), r.rng.Int64N(request.PromptTokens)
	}
	r.router.RequestArrived(r.now, request)
}

// advanceAttempt begins the stream of a pending attempt or ends the attempt. Server 5 fails often, server 2 is slow.
func (r *decisionRecorder) advanceAttempt() {
	if len(r.pending) == 0 {
		return
	}
	i := r.rng.IntN(len(r.pending))
	p := &r.pending[i]
	elapsed := r.now - p.sentAt
	if p.server == 2 {
		elapsed *= 6
	}
	if !p.streamStarted && roleOf(p.server) != Prefill && r.rng.IntN(2) == 0 {
		p.streamStarted = true
		r.router.StreamStarted(r.now, p.request, p.attempt, elapsed)
		return
	}
	ended := *p
	r.pending = append(r.pending[:i], r.pending[i+1:]...)
	outcome := Served
	if roleOf(p.server) == Prefill && !ended.streamStarted {
		outcome = Prefilled
		r.held = append(r.held, ended.request)
	}
	if r.rng.IntN(12) == 0 || ended.server == 5 && r.rng.IntN(3) > 0 {
		outcome = []Outcome{
			Rejected, StateMissing, Unreachable, NotSent, Failed, TimedOut, ConnectionLost,
			StaleConnection,
		}[r.rng.IntN(8)]
	}
	load := NoLoadReport
	if r.rng.IntN(3) == 0 {
		load = LoadReport{Requests: 3, MemoryUtilization: r.rng.Float64(), QueuedPromptTokens: r.rng.Float64() * 9000}
	}
	r.router.AttemptEnded(r.now, ended.request, ended.attempt, outcome, elapsed, outcome == Served, load)
}

func (r *decisionRecorder) changeList() {
	id := ServerID(r.rng.IntN(recordedServers+6) + 1)
	switch r.rng.IntN(12) {
	case 0:
		r.router.ListUpdateFailed(r.now)
	case 1:
		r.listAll()
	case 2, 3, 4:
		r.router.ListUpdateStarted(false)
		r.listServer(id, Serving, r.now-Nanos(r.rng.IntN(4)*1e9))
		r.router.ListUpdateEnded(r.now)
	default:
		r.router.ListUpdateStarted(false)
		r.listServer(id, Health(r.rng.IntN(3)), 0)
		r.router.ListUpdateEnded(r.now)
	}
}

// drain lists all servers of a role as draining.
func (r *decisionRecorder) drain(role Role) {
	r.router.ListUpdateStarted(false)
	for id := ServerID(1); id <= recordedServers+6; id++ {
		if roleOf(id) == role {
			r.listServer(id, Draining, 0)
		}
	}
	r.router.ListUpdateEnded(r.now)
}

func (r *decisionRecorder) run() {
	for step := range recordedSteps {
		r.now += Nanos(r.rng.Int64N(12e6))
		if r.rng.IntN(60) == 0 {
			r.now += Nanos(r.rng.Int64N(2e9))
		}
		if r.now >= r.timer {
			r.timer = Never
			r.router.TimerFired(r.now)
		}
		if step/1500%2 == 1 || r.rng.IntN(2) == 0 { // every other quarter of the run is an overload
			r.sendRequest()
		}
		switch step {
		case 4200:
			r.drain(Decode)
			r.drain(Mixed)
		case 4800:
			r.drain(Prefill)
		case 4500, 5100:
			r.listAll()
		}
		for range r.rng.IntN(3) {
			r.advanceAttempt()
		}
		switch r.rng.IntN(60) {
		case 0, 1:
			r.changeList()
		case 2, 3:
			r.router.RequestCanceled(r.now, r.nextID-RequestID(r.rng.IntN(20)))
		case 4, 5:
			if n := len(r.held); n > 0 {
				since := r.now - Nanos(r.rng.Int64N(2e9))
				if r.rng.IntN(2) == 0 {
					since = Never
				}
				r.router.StateHeldSince(r.now, r.held[r.rng.IntN(n)], since)
			}
		}
		r.takeDecisions()
	}
}

// TestDecisionsAsRecorded compares all decisions under random events with a recorded digest. Only a change that is
// meant to alter decisions may update the digests, and its commit must say so.
func TestDecisionsAsRecorded(t *testing.T) {
	if runtime.GOARCH != "amd64" {
		t.Skip("recorded on amd64; other architectures may fuse multiplications and additions and so round differently")
	}
	for _, c := range []struct {
		name       string
		seed       uint64
		discovery  Discovery
		limits     AttemptLimits
		wantDigest string
	}{
		{
			"attempts can be cancelled", 1,
			Discovery{MaxInterval: 10e9},
			AttemptLimits{MaxAttempts: 4, CanCancel: true},
			"862df0e744d17e79",
		},
		{
			"the endpoint list comes on request", 2,
			Discovery{OnRequest: true, MaxInterval: 10e9},
			AttemptLimits{MaxAttempts: 3},
			"1fa0c4a579c26cbf",
		},
		{
			"decode servers can read prompts", 3,
			Discovery{MaxInterval: 4e9},
			AttemptLimits{MaxAttempts: 5, CanCancel: true, DecodeCanPrefill: true},
			"2e8f845c26d4c2d5",
		},
		{
			"decode servers can read prompts, attempts cannot be cancelled", 4,
			Discovery{MaxInterval: 4e9},
			AttemptLimits{MaxAttempts: 6, DecodeCanPrefill: true},
			"fa137bafd149100b",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			recorder := newDecisionRecorder(t, c.seed, c.discovery, c.limits)
			recorder.run()
			if got := fmt.Sprintf("%x", recorder.digest[:8]); got != c.wantDigest {
				t.Errorf("digest of %d decisions: got %s, want %s", recorder.decisions, got, c.wantDigest)
			}
		})
	}
}
