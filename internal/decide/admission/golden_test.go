package admission

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
)

// goldenRuns are runs of random operations with the SHA-256 digests of the decisions. A different digest means that
// the queue decides differently.
var goldenRuns = []struct {
	name             string
	seed             uint64
	fifo             bool
	clients, sources int
	maxFlows         int // 0 = the default
	digest           string
}{
	{
		name: "seed 1", seed: 1, clients: 12, sources: 5,
		digest: "e4f3e9e3e1b5a6db2a80d6ac4420dc3525e63a96648dca6b7326a48204ff2f3c",
	},
	{
		name: "seed 2", seed: 2, clients: 12, sources: 5,
		digest: "340f0f13b2d8d8600cde07ab6214f8b620cee7ccc93859dd9dd5c010a086214a",
	},
	{
		name: "seed 3", seed: 3, clients: 12, sources: 5,
		digest: "d2bb0ef9351db978d85e13bbf6df87770da0e8d8fc33efc99781ff4429042f69",
	},
	{
		name: "FIFO", seed: 1, fifo: true, clients: 12, sources: 5,
		digest: "b2eb86b8f33c5871e9694ccffbeaac48c4ad218197a88a77b606d57fa08be2ee",
	},
	{
		name: "many flows", seed: 1, clients: 60, sources: 200, maxFlows: 20,
		digest: "4f55c94f5a2f260f5099d06bf0f341ec2161de60abd3c35a85bbc68129d44dc5",
	},
}

// TestGoldenDecisions checks that the queue's decisions equal the recorded ones.
func TestGoldenDecisions(t *testing.T) {
	for _, run := range goldenRuns {
		t.Run(run.name, func(t *testing.T) {
			q := newGoldenQueue(t, run.fifo)
			if run.maxFlows > 0 {
				q.interactive.maxFlows, q.background.maxFlows = run.maxFlows, run.maxFlows
			}
			if got := runRandomOperations(t, q, run.seed, run.clients, run.sources); got != run.digest {
				t.Errorf("digest of the decisions is %s, want %s", got, run.digest)
			}
		})
	}
}

func newGoldenQueue(t *testing.T, fifo bool) *Queue {
	t.Helper()
	q, err := New(Config{
		MaxWaiting: 60, MaxKnownClients: 1024, Signer: NewTicketSigner([]byte("a key")), FIFO: fifo,
	})
	if err != nil {
		t.Fatal(err)
	}
	setTenants(t, q, TenantLimits{Weight: 1}, TenantLimits{Weight: 3, MaxRunning: 4, MaxPromptTokens: 2500},
		TenantLimits{Weight: 2, MaxWaiting: 8, RequestsPerSecond: 40})
	return q
}

// TestVerdictTexts checks the texts of the verdicts, which clients receive as the reason for a rejection.
func TestVerdictTexts(t *testing.T) {
	want := []string{
		"admitted", "too many requests waiting", "too many requests of the tenant waiting",
		"faster than the tenant may ask", "prompt longer than the tenant's may be", "no chance to be in time",
		"unknown tenant", "dispatcher overloaded",
	}
	if len(want) != int(verdictCount) {
		t.Fatalf("%d texts for %d verdicts", len(want), verdictCount)
	}
	for v := range verdictCount {
		if v.String() != want[v] {
			t.Errorf("text of verdict %d is %q, want %q", v, v, want[v])
		}
	}
}

// runRandomOperations calls every operation of a queue in an order drawn from seed, and returns a digest of all
// decisions and of the final counts.
func runRandomOperations(t *testing.T, q *Queue, seed uint64, clients, sources int) string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	digest := sha256.New()
	record := func(event string, values ...any) { fmt.Fprintln(digest, event, values) }
	type retry struct {
		at      Nanos
		request Request
	}
	var retries []retry
	var unsent, running []Request
	requests := map[RequestID]Request{}
	now, nextID := sec, RequestID(0)
	recordAdvice := func(event string, id RequestID, a RetryAdvice) {
		record(event, id, a.RetryAfter)
		if a.Ticket == nil {
			return
		}
		record("ticket", *a.Ticket, fmt.Sprintf("%x", q.interactive.reservations.signer.Encode(a.Ticket)))
		request := requests[id]
		request.Ticket = a.Ticket
		if rng.IntN(4) > 0 {
			retries = append(retries, retry{now + a.RetryAfter + rng.Int64N(sec) - sec/2, request})
		}
	}
	enqueue := func(request Request) {
		nextID++
		request.ID, request.Deadline = nextID, now+Nanos(1+rng.IntN(3))*sec
		requests[request.ID] = request
		verdict, advice := q.Enqueue(now, request)
		record("enqueue", request.ID, verdict)
		if verdict != Queued {
			recordAdvice("rejected", request.ID, advice)
		}
	}
	for step := range 6000 {
		now += rng.Int64N(8 * ms)
		arrivals := 1 + rng.IntN(3)
		if step%1500 > 1000 { // the queue empties, so that background requests are admitted
			arrivals = rng.IntN(4) / 3
		}
		for range arrivals {
			enqueue(Request{
				Tenant: rng.IntN(4), Client: uint64(rng.IntN(clients)), Source: uint64(rng.IntN(sources)),
				PromptTokens: int64(1 + rng.IntN(3000)), MaxAnswerTokens: int64(rng.IntN(500)),
				Work: 100 * ms * Nanos(1+rng.IntN(4)), Background: rng.IntN(6) == 0,
			})
		}
		for i := 0; i < len(retries); i++ {
			if retries[i].at <= now {
				request := retries[i].request
				retries = append(retries[:i], retries[i+1:]...)
				enqueue(request)
			}
		}
		for id, a, ok := q.PopDisplaced(now); ok; id, a, ok = q.PopDisplaced(now) {
			recordAdvice("displaced", id, a)
		}
		for id, ok := q.NextExpired(now); ok; id, ok = q.NextExpired(now) {
			recordAdvice("expired", id, q.Reject(now, id, TooLate))
		}
		ages := make([]Nanos, len(unsent))
		for i := range ages {
			ages[i] = rng.Int64N(sec / 8)
		}
		if id, ok := q.NextAdmissible(now, len(unsent)); ok && q.CanAdmit(ages) {
			record("admit", id)
			q.Admit(now, id)
			unsent = append(unsent, requests[id])
		}
		if len(unsent) > 0 {
			request := unsent[0]
			switch rng.IntN(5) {
			case 0, 1, 2:
				q.RecordSent(now, request)
				running, unsent = append(running, request), unsent[1:]
			case 3:
				q.RecordNotSent()
				recordAdvice("unsent", request.ID, q.ReserveRetry(now, request, rng.Int64N(sec)))
				q.RecordFinished(now, request, Result{Served: false, AnswerTokens: 0})
				unsent = unsent[1:]
			}
		}
		if len(running) > 0 && rng.IntN(3) > 0 {
			request := running[0]
			running = running[1:]
			if rng.IntN(8) > 0 {
				q.RecordFirstToken(now, request, rng.Int64N(sec/2))
				q.RecordFinished(now, request, Result{Served: true, AnswerTokens: int64(rng.IntN(500))})
			} else {
				q.RecordFinished(now, request, Result{Served: false, AnswerTokens: 0})
			}
		}
		if rng.IntN(20) == 0 {
			id := nextID - RequestID(rng.IntN(30))
			record("cancel", id, q.Cancel(now, id))
		}
		if step%100 == 0 {
			for range q.ShedCount(rng.Int64N(sec/6), uint64(rng.IntN(102)), 100) {
				if id, ok := q.NextToShed(); ok {
					recordAdvice("shed", id, q.Reject(now, id, Overloaded))
				}
			}
		}
		if step%1000 == 999 {
			if err := q.SetTenant(0, TenantLimits{Weight: float64(1 + rng.IntN(4))}); err != nil {
				t.Fatal(err)
			}
		}
		at, ok := q.NextWakeup(now)
		record("state", q.Waiting(), q.BackgroundWaiting(), q.FlowCount(), at, ok, q.BackgroundInFlight(),
			q.BackgroundLimit())
	}
	for n := range 3 {
		record("counts", fmt.Sprintf("%v", q.TenantCounts(n)), fmt.Sprintf("%v", q.background.tenants[n].counts))
		t.Logf("tenant %d: %+v", n, q.TenantCounts(n))
	}
	return hex.EncodeToString(digest.Sum(nil))
}
