package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// queueModel is a reference model of a queue: the requests that wait and those that run.
type queueModel struct {
	rt      *rapid.T
	queue   *Queue
	now     Nanos
	waiting map[RequestID]Request
	running []Request
}

// TestWorkConserving checks under random operations that a request is admissible whenever the limits allow one, that
// each request leaves the queue exactly once, and that an empty queue has no cost.
func TestWorkConserving(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		q := newQueue(t, 50, TenantLimits{Weight: 1}, TenantLimits{Weight: 3, MaxRunning: 4},
			TenantLimits{Weight: 2, MaxWaiting: 5, RequestsPerSecond: 50})
		makeKnown(q, 1, 0, 1, 2, 3)
		m := &queueModel{rt: rt, queue: q, now: 1, waiting: map[RequestID]Request{}}
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			m.now += Nanos(rapid.IntRange(0, 50).Draw(rt, "ms")) * ms
			switch rapid.IntRange(0, 5).Draw(rt, "operation") {
			case 0, 1:
				m.enqueue()
			case 2:
				m.admit()
			case 3:
				m.finish()
			case 4:
				m.cancel()
			case 5:
				m.expire()
				m.changeWeight()
			}
			m.checkCounts()
		}
		for id := range m.waiting {
			q.Cancel(m.now, id)
		}
		if q.Waiting() != 0 || q.interactive.waitingCost != 0 {
			rt.Fatalf("%d requests of cost %v wait after all were canceled", q.Waiting(), q.interactive.waitingCost)
		}
	})
}

func (m *queueModel) enqueue() {
	request := newRequest(rapid.IntRange(0, 2).Draw(m.rt, "tenant"), uint64(rapid.IntRange(0, 5).Draw(m.rt, "client")),
		int64(rapid.IntRange(1, 5000).Draw(m.rt, "prompt tokens")))
	request.Deadline = m.now + 2*sec
	verdict, advice := m.queue.Enqueue(m.now, request)
	if verdict != Queued {
		if advice.RetryAfter <= 0 {
			m.rt.Fatalf("rejected as %q without a retry delay", verdict)
		}
		return
	}
	m.waiting[request.ID] = request
	if id, advice, ok := m.queue.PopDisplaced(m.now); ok {
		if _, waits := m.waiting[id]; !waits || id == request.ID || advice.RetryAfter <= 0 {
			m.rt.Fatalf("request %d displaced by %d, waiting before: %v, retry after %d",
				id, request.ID, waits, advice.RetryAfter)
		}
		delete(m.waiting, id)
	}
}

func (m *queueModel) admit() {
	id, ok := m.queue.NextAdmissible(0, 0)
	want := false
	for _, request := range m.waiting {
		_, running := m.queue.TenantLoad(request.Tenant)
		want = want || request.Tenant != 1 || running < 4
	}
	if ok != want {
		m.rt.Fatalf("a request is admissible: %v, want %v", ok, want)
	}
	if !ok {
		return
	}
	request, waits := m.waiting[id]
	if !waits {
		m.rt.Fatalf("request %d is admissible but does not wait", id)
	}
	m.queue.Admit(m.now, id)
	delete(m.waiting, id)
	m.running = append(m.running, request)
}

func (m *queueModel) finish() {
	if len(m.running) == 0 {
		return
	}
	m.queue.RecordFinished(m.now, m.running[0], Result{
		Served:       rapid.Bool().Draw(m.rt, "served"),
		AnswerTokens: int64(rapid.IntRange(0, 100).Draw(m.rt, "answer tokens")),
	})
	m.running = m.running[1:]
}

func (m *queueModel) cancel() {
	for id := range m.waiting {
		if !m.queue.Cancel(m.now, id) || m.queue.Cancel(m.now, id) {
			m.rt.Fatal("a waiting request was not canceled exactly once")
		}
		delete(m.waiting, id)
		return
	}
}

func (m *queueModel) expire() {
	for id, ok := m.queue.NextExpired(m.now); ok; id, ok = m.queue.NextExpired(m.now) {
		if _, waits := m.waiting[id]; !waits {
			m.rt.Fatalf("request %d expired but does not wait", id)
		}
		m.queue.Reject(m.now, id, TooLate)
		delete(m.waiting, id)
	}
}

func (m *queueModel) changeWeight() {
	weight := rapid.Float64Range(0.1, 10).Draw(m.rt, "weight")
	if err := m.queue.SetTenant(0, TenantLimits{Weight: weight}); err != nil {
		m.rt.Fatal(err)
	}
}

func (m *queueModel) checkCounts() {
	if m.queue.Waiting() != len(m.waiting) || m.queue.interactive.byExpiry.Len() != len(m.waiting) {
		m.rt.Fatalf("%d requests wait, %d of them by expiry, want %d",
			m.queue.Waiting(), m.queue.interactive.byExpiry.Len(), len(m.waiting))
	}
	sum := 0
	for number := range 3 {
		waiting, running := m.queue.TenantLoad(number)
		if running < 0 || waiting < 0 {
			m.rt.Fatalf("tenant %d: %d waiting, %d running", number, waiting, running)
		}
		sum += waiting
	}
	if sum != len(m.waiting) {
		m.rt.Fatalf("tenants have %d requests waiting, want %d", sum, len(m.waiting))
	}
}

// TestDeterministic checks that equal calls lead to equal decisions, independent of map iteration order.
func TestDeterministic(t *testing.T) {
	run := func() string {
		lastRequestID = 1000000
		rng := rand.New(rand.NewPCG(7, 7))
		q := newQueue(t, 200, TenantLimits{Weight: 1}, TenantLimits{Weight: 2, RequestsPerSecond: 300})
		decisions := ""
		for i := range 5000 {
			now := Nanos(i) * ms
			request := newRequest(rng.IntN(2), uint64(rng.IntN(40)), int64(1+rng.IntN(3000)))
			request.Source, request.Deadline = uint64(rng.IntN(9)), now+sec
			verdict, advice := q.Enqueue(now, request)
			decisions += fmt.Sprint(verdict, advice.RetryAfter, " ")
			for id, ok := q.NextExpired(now); ok; id, ok = q.NextExpired(now) {
				decisions += fmt.Sprint("expired", id, q.Reject(now, id, TooLate).RetryAfter, " ")
			}
			if id, ok := q.NextAdmissible(0, 0); ok && rng.IntN(3) > 0 {
				q.Admit(now, id)
				decisions += fmt.Sprint("admitted", id, " ")
				finished := Request{Tenant: rng.IntN(2), Client: uint64(rng.IntN(40)), PromptTokens: 5}
				q.RecordFinished(now, finished, Result{Served: true, AnswerTokens: 3})
			}
		}
		return decisions
	}
	if a, b := run(), run(); a != b {
		t.Error("two equal runs decide differently")
	}
}

// TestMemoryBound checks that the numbers of waiting requests and flows stay bounded under a flood of client names
// from many sources.
func TestMemoryBound(t *testing.T) {
	q := newQueue(t, 2000, TenantLimits{Weight: 1})
	for i := range 200000 {
		now := Nanos(i) * ms / 10
		request := newRequest(0, uint64(i+1), 100)
		request.Source = uint64(i % 50000)
		q.Enqueue(now, request)
		if id, ok := q.NextAdmissible(0, 0); ok && i%3 == 0 {
			q.Admit(now, id)
		}
		if q.Waiting() > 2000 || q.FlowCount() > 2000+extraFlows+1 {
			t.Fatalf("%d requests wait in %d flows, want at most 2,000 in %d", q.Waiting(), q.FlowCount(), 2000+extraFlows+1)
		}
	}
}

// TestUnsentLimit checks that requests that could not be sent lower the limit of unsent requests, and that sent
// requests raise it again.
func TestUnsentLimit(t *testing.T) {
	q := newQueue(t, 10, TenantLimits{Weight: 1})
	ages := []Nanos{sec, sec, sec, sec}
	limit := func() int {
		n := 0
		for n < len(ages) && q.CanAdmit(ages[:n]) {
			n++
		}
		return n
	}
	limits := []int{limit()}
	for range 3 {
		q.RecordNotSent()
		limits = append(limits, limit())
	}
	for range 3 * 8 {
		q.RecordSent(sec, Request{PromptTokens: 1})
	}
	limits = append(limits, limit())
	if want := []int{4, 2, 1, 1, 4}; !slices.Equal(limits, want) {
		t.Errorf("limits of unsent requests: %v, want %v", limits, want)
	}
}

// TestShedding checks that an overloaded dispatcher sheds an eighth of the waiting requests, starting with the flow
// that has the most load.
func TestShedding(t *testing.T) {
	q := newQueue(t, 1000, TenantLimits{Weight: 1}, TenantLimits{Weight: 1})
	for range 80 {
		q.Enqueue(1, newRequest(0, 0, 100))
	}
	q.Enqueue(1, newRequest(1, 0, 100))
	for _, test := range []struct {
		name                  string
		iteration             Nanos
		memoryUsed, maxMemory uint64
		want                  int
	}{
		{"normal iteration", 10 * ms, 0, 0, 0},
		{"slow iteration", 200 * ms, 0, 0, 10},
		{"memory not limited", 0, 100, 0, 0},
		{"memory at its limit", 0, 100, 100, 0},
		{"memory above its limit", 0, 101, 100, 10},
	} {
		if got := q.ShedCount(test.iteration, test.memoryUsed, test.maxMemory); got != test.want {
			t.Errorf("%s: %d requests to shed, want %d", test.name, got, test.want)
		}
	}
	for range 79 {
		id, _ := q.NextToShed()
		if q.interactive.requests[id].Tenant != 0 {
			t.Fatal("a request of the tenant with less load was shed")
		}
		q.Reject(2, id, Overloaded)
	}
}

// BenchmarkQueue measures one request from Enqueue to RecordFinished at several numbers of flows.
func BenchmarkQueue(b *testing.B) {
	for _, flows := range []int{10, 1000, 100000} {
		b.Run(fmt.Sprint(flows), func(b *testing.B) {
			q := newQueue(b, flows*3, TenantLimits{Weight: 1})
			q.interactive.clients = newKnownClients(flows * 8)
			for i := range flows {
				makeKnown(q, 1, 0, uint64(i+1))
			}
			next := uint64(0)
			enqueue := func() {
				next++
				q.Enqueue(Nanos(next), newRequest(0, 1+next%uint64(flows), 100))
			}
			for range 2 * flows {
				enqueue()
			}
			b.ReportAllocs()
			for b.Loop() {
				enqueue()
				id, _ := q.NextAdmissible(0, 0)
				request := q.interactive.requests[id].Request
				q.Admit(Nanos(next), id)
				q.RecordFinished(Nanos(next), request, Result{Served: true})
			}
		})
	}
}

// TestRequestWaitsAsLongAsItsCallerHasTime checks that a request expires when its caller has no time for the work any
// more, not before: the caller gains nothing by a refusal while there is time.
func TestRequestWaitsAsLongAsItsCallerHasTime(t *testing.T) {
	q := newQueue(t, 10, TenantLimits{Weight: 1})
	request := newRequest(0, 0, 100)
	request.Deadline, request.Work = 8*sec, sec/2
	if verdict, _ := q.Enqueue(0, request); verdict != Queued {
		t.Fatal(verdict)
	}
	if at, ok := q.NextWakeup(0); !ok || at != 7500*ms {
		t.Errorf("the request expires at %d ms (%v), want 7500", at/ms, ok)
	}
	late := newRequest(0, 0, 100)
	late.Deadline, late.Work = 400*ms, sec/2
	if verdict, _ := q.Enqueue(0, late); verdict != TooLate {
		t.Errorf("%v with less time left than the work takes, want %v", verdict, TooLate)
	}
}

// TestPauseOfServersTellsNobodyThatThereIsNoChance checks that after a pause of all servers, in which requests waited,
// the pace of what is sent then is measured, not that of the pause: arrivals that will be served in time are admitted.
func TestPauseOfServersTellsNobodyThatThereIsNoChance(t *testing.T) {
	q, now := newQueue(t, 1000, TenantLimits{Weight: 1}), Nanos(0)
	arrive := func() Verdict {
		request := newRequest(0, 0, 100)
		request.Deadline = now + 5*sec
		verdict, _ := q.Enqueue(now, request)
		return verdict
	}
	for range 20 {
		arrive()
	}
	now += 3 * sec // no server takes a request
	rejected := 0
	for range 70 { // then one is sent every 10 ms, and as many arrive
		now += 10 * ms
		sendNext(q, now)
		if arrive() != Queued {
			rejected++
		}
	}
	if rejected > 0 {
		t.Errorf("%d of 70 requests rejected with 5 s left, behind 20 that are sent in 0.2 s", rejected)
	}
}

// TestOverloadedLoopAdmitsOneAtATime checks that after an iteration of the event loop that took too long one request is
// admitted: those whose states are held, and who read streams, wait for the next iteration.
func TestOverloadedLoopAdmitsOneAtATime(t *testing.T) {
	q := newQueue(t, 10, TenantLimits{Weight: 1})
	for iteration, want := range map[Nanos]int{
		ms: maxAdmissionsPerIteration, overloadedIteration - 1: maxAdmissionsPerIteration, overloadedIteration: 1, sec: 1,
	} {
		if got := q.MaxAdmissions(iteration); got != want {
			t.Errorf("after an iteration of %d ms %d may be admitted, want %d", iteration/ms, got, want)
		}
	}
}
