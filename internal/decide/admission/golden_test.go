package admission

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"testing"
)

// goldenDigests are the SHA-256 digests of the decisions that playRandomOperations records, by seed. A change of a
// digest means that the queue decides differently than before.
var goldenDigests = map[uint64]string{
	1: "ac4e1db5c314b9e74ec55b108fec1bb9a56ec5ec5a47d37362617516664a49c4",
	2: "31a398bf9272de81c0297fd65b008d7bf2d77af74e7feba5c60f898a574cda7b",
	3: "4d2ac20915b0e5001243ee7a64fc4f4bbad77ad81bb1e6164d22e7f7824e9b10",
}

// TestGoldenDecisions checks that the queue still takes the recorded decisions.
func TestGoldenDecisions(t *testing.T) {
	for seed, want := range goldenDigests {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if got := playRandomOperations(t, seed); got != want {
				t.Errorf("digest of the decisions is %s, want %s", got, want)
			}
		})
	}
}

// TestVerdictTexts checks the texts that clients are sent.
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
			t.Errorf("verdict %d reads %q, want %q", v, v, want[v])
		}
	}
}

// playRandomOperations drives a queue through every operation in an order drawn from seed, and returns a digest of all
// decisions and of the counts at the end.
func playRandomOperations(t *testing.T, seed uint64) string {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 7))
	q := newDoor(t, 60, TenantLimits{Weight: 1}, TenantLimits{Weight: 3, MaxRunning: 4, MaxPromptTokens: 2500},
		TenantLimits{Weight: 2, MaxWaiting: 8, RequestsPerSecond: 40})
	digest := sha256.New()
	record := func(what string, values ...any) { fmt.Fprintln(digest, what, values) }
	type retry struct {
		at      Nanos
		request Request
	}
	var retries []retry
	var unsent, running []Request
	requests := map[RequestID]Request{}
	now, nextID := sec, RequestID(0)
	advised := func(what string, id RequestID, a RetryAdvice) {
		record(what, id, a.RetryAfter)
		if a.Ticket == nil {
			return
		}
		record("ticket", *a.Ticket, fmt.Sprintf("%x", q.book.signer.Encode(a.Ticket)))
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
			advised("rejected", request.ID, advice)
		}
	}
	for step := range 6000 {
		now += rng.Int64N(8 * ms)
		arrivals := 1 + rng.IntN(3)
		if step%1500 > 1000 { // the queue drains, and background requests get their turn
			arrivals = rng.IntN(4) / 3
		}
		for range arrivals {
			enqueue(Request{
				Tenant: rng.IntN(4), Client: uint64(rng.IntN(12)), Source: uint64(rng.IntN(5)),
				PromptTokens: int64(1 + rng.IntN(3000)), MaxAnswerTokens: int64(rng.IntN(500)),
				LatencyObjective: sec * Nanos(1+rng.IntN(4)), Background: rng.IntN(6) == 0,
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
			advised("displaced", id, a)
		}
		for id, ok := q.NextExpired(now); ok; id, ok = q.NextExpired(now) {
			advised("expired", id, q.Reject(now, id, TooLate))
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
				advised("unsent", request.ID, q.ReserveRetry(now, request, rng.Int64N(sec)))
				q.RecordFinished(now, request, false, 0)
				unsent = unsent[1:]
			}
		}
		if len(running) > 0 && rng.IntN(3) > 0 {
			request := running[0]
			running = running[1:]
			if rng.IntN(8) > 0 {
				q.RecordFirstToken(now, request, rng.Int64N(sec/2))
				q.RecordFinished(now, request, true, int64(rng.IntN(500)))
			} else {
				q.RecordFinished(now, request, false, 0)
			}
		}
		if rng.IntN(20) == 0 {
			id := nextID - RequestID(rng.IntN(30))
			record("cancel", id, q.Cancel(now, id))
		}
		if step%100 == 0 {
			for range q.ShedCount(rng.Int64N(sec/6), uint64(rng.IntN(102)), 100) {
				if id, ok := q.NextToShed(); ok {
					advised("shed", id, q.Reject(now, id, Overloaded))
				}
			}
		}
		if step%1000 == 999 {
			if err := q.SetTenant(0, TenantLimits{Weight: float64(1 + rng.IntN(4))}); err != nil {
				t.Fatal(err)
			}
		}
		at, ok := q.NextWakeup(now)
		record("state", q.Waiting(), q.BackgroundWaiting(), q.FlowCount(), at, ok, q.BackgroundLimiter.InFlight(),
			q.BackgroundLimiter.Limit())
	}
	for n := range 3 {
		record("counts", fmt.Sprintf("%v", q.TenantCounts(n)), fmt.Sprintf("%v", q.backgroundQueue.TenantCounts(n)))
		t.Logf("tenant %d: %+v", n, q.TenantCounts(n))
	}
	return hex.EncodeToString(digest.Sum(nil))
}
